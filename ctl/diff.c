#include "ctl/ctl.h"

#include <stdio.h>

static enum ctl_exit print_difference(const struct ctl *c,
				      const struct ctl_doc *base,
				      const struct doc_sections *next)
{
	struct buf lines;
	enum err e;

	buf_init(&lines);
	e = doc_diff(&base->sections, next, &lines);
	if (e != ERR_OK)
		ctl_error("documents cannot be compared: %s", err_name(e));
	else if (c->json)
		ctl_print_json(json_pack("{s:I, s:o}", "revision",
					 (json_int_t)base->head.revision,
					 "changes", ctl_lines_to_json(&lines)));
	else if (lines.len)
		fputs(buf_text(&lines), stdout);
	else
		printf("no difference to revision %llu\n",
		       (unsigned long long)base->head.revision);
	buf_finish(&lines);
	return e == ERR_OK ? CTL_DONE : CTL_FAILED;
}

enum ctl_exit ctl_diff(struct ctl *c)
{
	enum ctl_exit result = CTL_INVALID;
	struct doc_sections next;
	struct ctl_doc base;
	struct buf problems;
	struct buf text;

	buf_init(&problems);
	buf_init(&text);
	if (ctl_read_file(c->args[0], &text) != ERR_OK)
		goto out;
	if (doc_split(buf_text(&text), text.len, &next, &problems) != ERR_OK) {
		result = ctl_report_invalid(c, c->args[0], &problems);
		goto out;
	}
	result = ctl_doc_read(c, &base);
	if (result == CTL_DONE) {
		ctl_doc_warn_from_copy(&base);
		result = print_difference(c, &base, &next);
		ctl_doc_finish(&base);
	}
	doc_sections_finish(&next);
out:
	buf_finish(&text);
	buf_finish(&problems);
	return result;
}
