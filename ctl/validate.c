#include "ctl/ctl.h"

#include <stdio.h>

static enum ctl_exit print_valid(struct ctl *c, const struct doc *d,
				 const struct buf *text)
{
	(void)text;
	if (c->json)
		ctl_print_json(json_pack("{s:s, s:i, s:i}", "result", "valid",
					 "services", (int)d->service_count,
					 "stops", (int)d->stop_count));
	else
		printf("%s: valid, services %zu, stops %zu\n", c->args[0],
		       d->service_count, d->stop_count);
	return CTL_DONE;
}

enum err ctl_parse_document(const struct ctl *c, const struct buf *text,
			    struct doc *d, struct buf *problems)
{
	const struct doc_source *source = c->interface->document;
	struct doc_sections sections;
	enum err e;

	if (!source)
		return doc_parse(d, (const char *)text->data, text->len,
				 problems);
	e = source->read(text->data, text->len, d, &sections, problems);
	if (e == ERR_OK)
		doc_sections_finish(&sections);
	return e;
}

enum ctl_exit ctl_with_document(struct ctl *c,
				enum ctl_exit (*use)(struct ctl *c,
						     const struct doc *d,
						     const struct buf *text))
{
	enum ctl_exit result = CTL_INVALID;
	struct buf problems;
	struct buf text;
	struct doc d;

	buf_init(&problems);
	buf_init(&text);
	if (ctl_read_file(c->args[0], &text) == ERR_OK) {
		buf_text(&text);
		if (ctl_parse_document(c, &text, &d, &problems) == ERR_OK) {
			result = use(c, &d, &text);
			doc_finish(&d);
		} else {
			result = ctl_report_invalid(c, c->args[0], &problems);
		}
	}
	buf_finish(&text);
	buf_finish(&problems);
	return result;
}

enum ctl_exit ctl_validate(struct ctl *c)
{
	return ctl_with_document(c, print_valid);
}
