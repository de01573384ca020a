#ifndef CONFIG_TOML_H
#define CONFIG_TOML_H

#include "common/err.h"
#include "config/opt.h"

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/* A key and its value. */
struct toml_item {
	/*
	 * Keys joined with '.'. A key with other characters than those of a
	 * bare TOML key is quoted.
	 */
	const char *path;
	struct opt_value value;
	int line;
};

struct toml_syntax_error {
	int line;
	char text[200];
};

/*
 * Parses TOML text and calls fn for each key, in the order of the keys; a
 * table comes before the keys in it. fn returns 1 if a table is to be entered.
 * The item is valid until fn returns. ERR_MALFORMED: there is a syntax error,
 * which is stored in error; fn has not been called.
 */
enum err toml_for_each(const char *text, size_t len,
		       int (*fn)(const struct toml_item *item, void *priv),
		       void *priv, struct toml_syntax_error *error);

#ifdef __cplusplus
}
#endif

#endif
