#include "ctl/ctl.h"

static enum ctl_exit commit_document(struct ctl *c,
				     const struct doc_sections *next)
{
	struct ctl_commit change;
	enum ctl_exit result;
	struct ctl_doc base;

	result = ctl_doc_read_for_change(c, &base);
	if (result != CTL_DONE)
		return result;
	ctl_commit(c, &base, next, &change);
	result = ctl_report_commit(c, &base, &change);
	ctl_commit_finish(&change);
	ctl_doc_finish(&base);
	return result;
}

enum ctl_exit ctl_apply(struct ctl *c)
{
	enum ctl_exit result = CTL_INVALID;
	struct doc_sections next;
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
	result = commit_document(c, &next);
	doc_sections_finish(&next);
out:
	buf_finish(&text);
	buf_finish(&problems);
	return result;
}
