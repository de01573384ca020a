#ifndef CONFIG_JSON_ROWS_H
#define CONFIG_JSON_ROWS_H

#include "common/buf.h"
#include "common/err.h"

#include <stddef.h>
#include <stdint.h>

/*
 * Cuts the elements of one long list out of a JSON text without reading them,
 * so that only those that have changed need to be read. Cutting takes a pass
 * over the text.
 */

struct json_row {
	const char *text; /* in the text that was cut */
	size_t len;
	uint64_t digest; /* XXH3 of the text */
};

struct json_rows {
	struct buf rest; /* the text with the list empty */
	struct json_row *rows;
	size_t count;
};

/*
 * Cuts the list under the member list of the object under the member object of
 * the text, which is an object. A text that is malformed, or in which the list
 * cannot be told without reading the text, is not cut: it is the rest as a
 * whole, without rows. Neither rows nor rest are checked otherwise. The caller
 * finishes out in each case. Returns ERR_OK or ERR_NOMEM.
 */
enum err json_rows_cut(const char *text, size_t len, const char *object,
		       const char *list, struct json_rows *out);
void json_rows_finish(struct json_rows *r);

#endif
