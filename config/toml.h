#ifndef CONFIG_TOML_H
#define CONFIG_TOML_H

#include "common/err.h"
#include "config/opt.h"

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

struct toml_item {
	/* Keys joined with '.'; a key with other characters is quoted. */
	const char *path;
	struct opt_value value;
	int line;
};

struct toml_syntax_error {
	int line;
	char text[200];
};

/*
 * Calls fn for each key of the text, tables before their keys, in the order
 * of the keys. fn returns true for a table to be entered. ERR_MALFORMED: a
 * syntax error, fn was not called, fault is filled in. The item lives until fn
 * returns.
 */
enum err toml_for_each(const char *text, size_t len,
		       int (*fn)(const struct toml_item *item, void *priv),
		       void *priv, struct toml_syntax_error *fault);

#ifdef __cplusplus
}
#endif

#endif
