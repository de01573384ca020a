#include "config/doc.h"

#include <stdlib.h>
#include <string.h>

/*
 * Guards against a document, a section or a head that crashes the parser,
 * against a document that is refused without a problem, and against one that
 * changes when it is split into sections and joined again.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Splits a valid document, joins it, splits it again and compares. */
static void check_sections(const char *text, size_t size)
{
	struct doc_sections first;
	struct doc_sections second;
	struct buf joined;
	struct buf diff;
	struct doc d;

	if (doc_split(text, size, &first, NULL) != ERR_OK)
		abort();
	buf_init(&joined);
	buf_init(&diff);
	if (doc_parse_sections(&d, &first, NULL) != ERR_OK)
		abort();
	doc_finish(&d);
	if (doc_join(&first, &joined) != ERR_OK)
		abort();
	if (doc_split(buf_text(&joined), joined.len, &second, NULL) != ERR_OK)
		abort();
	if (doc_diff(&first, &second, &diff) != ERR_OK || diff.len)
		abort();
	doc_sections_finish(&second);
	doc_sections_finish(&first);
	buf_finish(&diff);
	buf_finish(&joined);
}

/* Writes a head that can be parsed, and parses it again. */
static void check_head(const char *text, size_t size)
{
	struct doc_head h;
	struct doc_head again;
	struct buf out;

	if (doc_head_parse(&h, text, size) != ERR_OK)
		return;
	buf_init(&out);
	if (doc_head_write(&h, &out) != ERR_OK)
		abort();
	if (doc_head_parse(&again, buf_text(&out), out.len) != ERR_OK)
		abort();
	doc_head_finish(&again);
	doc_head_finish(&h);
	buf_finish(&out);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data;
	struct buf problems;
	struct doc d;
	enum err e;

	buf_init(&problems);
	e = doc_parse(&d, text, size, &problems);
	if ((e == ERR_OK) != (problems.len == 0))
		abort();
	buf_finish(&problems);
	if (e == ERR_OK) {
		doc_finish(&d);
		check_sections(text, size);
	}
	check_head(text, size);
	return 0;
}
