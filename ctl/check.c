#include "config/doc_lint.h"
#include "config/opt.h"
#include "ctl/ctl.h"

#include <stdio.h>

/* What is known of a valid document. */
struct check {
	const char *file;
	struct buf findings;
	int compared; /* revision and changes are set */
	uint64_t revision;
	struct buf changes;
};

/* Opens the store. Prints the reason and returns 0 if that is not possible. */
static int open_store(struct ctl *c)
{
	struct err_info info = { 0 };

	if (!c->endpoint || !opt_check_endpoint(c->endpoint)) {
		ctl_error("not compared: no valid --store or MPIN_STORE");
		return 0;
	}
	if (ctl_open(c, &info) != ERR_OK) {
		ctl_error("not compared: %s: %s", err_name(info.code),
			  info.detail);
		return 0;
	}
	return 1;
}

/*
 * Compares the document with the one in the store. What keeps it from that is
 * printed and does not matter otherwise.
 */
static enum err compare(struct ctl *c, const struct buf *text,
			struct check *check)
{
	struct doc_sections next;
	struct ctl_doc base;
	enum err e;

	/* The platform's operators have their own way to compare. */
	if (c->offline || c->interface->document || !open_store(c) ||
	    ctl_doc_read(c, &base) != CTL_DONE)
		return ERR_OK;
	ctl_doc_warn_from_copy(&base);
	e = doc_split((const char *)text->data, text->len, &next, NULL);
	if (e == ERR_OK) {
		e = doc_diff(&base.sections, &next, &check->changes);
		check->compared = e == ERR_OK;
		check->revision = base.head.revision;
		doc_sections_finish(&next);
	}
	ctl_doc_finish(&base);
	return e;
}

static void print_json(struct check *check)
{
	json_t *o = json_pack("{s:s, s:o}", "result", "valid", "findings",
			      ctl_lines_to_json(&check->findings));

	if (check->compared) {
		json_object_set_new(o, "revision",
				    json_integer((json_int_t)check->revision));
		json_object_set_new(o, "changes",
				    ctl_lines_to_json(&check->changes));
	}
	ctl_print_json(o);
}

static void print_text(struct check *check)
{
	unsigned long long revision = check->revision;

	printf("%s: valid, %s\n%s", check->file,
	       check->findings.len ? "with findings" : "no findings",
	       buf_text(&check->findings));
	if (!check->compared)
		return;
	if (check->changes.len)
		printf("differences to revision %llu:\n%s", revision,
		       buf_text(&check->changes));
	else
		printf("no difference to revision %llu\n", revision);
}

static enum ctl_exit check_valid(struct ctl *c, const struct doc *d,
				 const struct buf *text)
{
	struct check check = { .file = c->args[0] };
	enum ctl_exit result = CTL_DONE;
	enum err e;

	buf_init(&check.findings);
	buf_init(&check.changes);
	e = doc_lint(d, &check.findings);
	if (e == ERR_OK)
		e = compare(c, text, &check);
	if (e != ERR_OK)
		ctl_error("the document cannot be checked: %s", err_name(e));
	else if (c->json)
		print_json(&check);
	else
		print_text(&check);
	if (e != ERR_OK || check.findings.len)
		result = CTL_FAILED;
	buf_finish(&check.findings);
	buf_finish(&check.changes);
	return result;
}

enum ctl_exit ctl_check(struct ctl *c)
{
	return ctl_with_document(c, check_valid);
}
