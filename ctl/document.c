#include "common/clk.h"
#include "ctl/ctl.h"

#include <string.h>

/* A coordinator reads the head every 2 s, CO_DOC_POLL_MS in membership/. */
#define WRITE_BACK_MS 3000
#define WRITE_BACK_PAUSE_MS 250

struct document_read {
	const struct ctl *c;
	struct ctl_doc *d;
};

static void read_record(struct document_read *r, const struct store_kv *kv)
{
	const char *name = kv->key + strlen(r->c->prefix) + strlen("doc/");
	struct ctl_doc *d = r->d;

	if (!strcmp(name, "head")) {
		d->error = doc_head_parse(&d->head, (const char *)kv->value,
					  kv->value_len);
		d->head_mod_revision = kv->mod_revision;
	} else if (!strncmp(name, "s/", 2)) {
		d->error = doc_sections_set(&d->sections, name + 2,
					    (const char *)kv->value,
					    kv->value_len);
	}
}

static void on_document(const struct store_range *range, void *priv)
{
	struct document_read *r = priv;

	r->d->era = range->era;
	for (size_t i = 0; i < range->count && r->d->error == ERR_OK; i++)
		read_record(r, &range->kvs[i]);
}

/*
 * Returns 1 if the sections match doc/head. They do not if someone wrote
 * sections without doc/head.
 */
static int is_consistent(const struct ctl_doc *d)
{
	const struct doc_sections *listed = &d->head.sections;

	if (listed->count != d->sections.count)
		return 0;
	for (size_t i = 0; i < listed->count; i++) {
		if (strcmp(listed->items[i].name, d->sections.items[i].name) !=
		    0)
			return 0;
		if (listed->items[i].digest != d->sections.items[i].digest)
			return 0;
	}
	return 1;
}

enum ctl_exit ctl_doc_read(struct ctl *c, struct ctl_doc *d)
{
	struct document_read r = { .c = c, .d = d };
	char key[CTL_KEY_BYTES];
	enum err e;

	memset(d, 0, sizeof(*d));
	ctl_store_key(c, key, "doc/", "");
	e = ctl_store_range(c, key, 1, on_document, &r);
	if (e != ERR_OK) {
		ctl_error("the store at %s cannot be read: %s", c->endpoint,
			  err_name(e));
		return CTL_UNREACHABLE;
	}
	if (d->error == ERR_OK && is_consistent(d))
		return CTL_DONE;
	ctl_error("the document in the store is damaged: %s",
		  d->error == ERR_OK ? "doc/head and sections differ"
				     : err_name(d->error));
	ctl_doc_finish(d);
	return CTL_FAILED;
}

/* Returns the revision that the coordinator has in force; 0: not known. */
static uint64_t read_in_force(struct ctl *c)
{
	uint64_t revision = 0;
	json_t *status;

	if (ctl_coord_get_json(c, "/status", 0, &status) == CTL_DONE)
		revision = (uint64_t)json_integer_value(
			json_object_get(status, "doc_revision"));
	json_decref(status);
	return revision;
}

/*
 * A head that does not tell its era, as before the first change or after one by
 * an earlier version, is from a copy if a higher revision is in force.
 */
static void check_from_copy(struct ctl *c, struct ctl_doc *d)
{
	if (!d->era || d->head.era == d->era)
		return;
	d->in_force = read_in_force(c);
	d->from_copy = d->head.era || d->in_force > d->head.revision;
}

enum ctl_exit ctl_doc_read_for_change(struct ctl *c, struct ctl_doc *d)
{
	int64_t end = clk_ms() + WRITE_BACK_MS;
	enum ctl_exit result;

	for (;;) {
		result = ctl_doc_read(c, d);
		if (result != CTL_DONE)
			return result;
		check_from_copy(c, d);
		if (!d->from_copy || clk_ms() >= end)
			return CTL_DONE;
		ctl_doc_finish(d);
		ctl_sleep(c, WRITE_BACK_PAUSE_MS);
	}
}

void ctl_doc_warn_from_copy(const struct ctl_doc *d)
{
	if (!d->head.era || !d->era || d->head.era == d->era)
		return;
	ctl_error("the store was restored from a copy: its revision %llu may "
		  "lack changes since the copy",
		  (unsigned long long)d->head.revision);
}

void ctl_doc_finish(struct ctl_doc *d)
{
	doc_head_finish(&d->head);
	doc_sections_finish(&d->sections);
}
