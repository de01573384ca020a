#include "common/clk.h"
#include "common/guard.h"
#include "ctl/ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* How often the same transaction is sent after unknown results. */
#define MAX_SENDS 3
/* How long doc/head is read back after an unknown result. */
#define READ_BACK_MS 10000
#define READ_BACK_PAUSE_MS 250
/* A late first copy of the transaction has time to take effect. */
#define RESEND_PAUSE_MS 500

/* One transaction, kept whole so that it can be sent again unchanged. */
struct transaction {
	struct store_compare compare;
	char head_key[CTL_KEY_BYTES];
	struct buf head;
	struct store_put *puts;
	char (*keys)[CTL_KEY_BYTES];
	size_t put_count;
	struct doc_change change;
};

static void transaction_finish(struct transaction *w)
{
	buf_finish(&w->head);
	free(w->puts);
	free(w->keys);
}

static void add_put(const struct ctl *c, struct transaction *w,
		    const char *section, const struct doc_section *text)
{
	size_t i = w->put_count++;

	ctl_store_key(c, w->keys[i], "doc/s/", section);
	w->puts[i].key = w->keys[i];
	w->puts[i].value = text ? (const uint8_t *)text->text : NULL;
	w->puts[i].value_len = text ? text->len : 0;
	doc_change_add_section(&w->change, section);
}

static void add_sections(const struct ctl *c, struct transaction *w,
			 const struct doc_sections *base,
			 const struct doc_sections *next)
{
	for (size_t i = 0; i < next->count; i++) {
		const struct doc_section *now = &next->items[i];
		const struct doc_section *old =
			doc_sections_get(base, now->name);

		if (!old || old->digest != now->digest)
			add_put(c, w, now->name, now);
	}
	for (size_t i = 0; i < base->count; i++) {
		if (!doc_sections_get(next, base->items[i].name))
			add_put(c, w, base->items[i].name, NULL);
	}
}

/* The head with the change; its sections are borrowed from next. */
static enum err add_head(struct transaction *w, const struct ctl_doc *base,
			 const struct doc_sections *next)
{
	struct doc_head head = base->head;
	size_t i = w->put_count;
	enum err e;

	head.sections = *next;
	doc_head_add_change(&head, &w->change);
	e = doc_head_write(&head, &w->head);
	if (e != ERR_OK)
		return e;
	w->puts[i].key = w->head_key;
	w->puts[i].value = w->head.data;
	w->puts[i].value_len = w->head.len;
	w->put_count++;
	return ERR_OK;
}

/* ERR_NOT_FOUND: nothing differs. */
static enum err transaction_init(struct ctl *c, struct transaction *w,
				 const struct ctl_doc *base,
				 const struct doc_sections *next)
{
	size_t max_puts = base->sections.count + next->count + 1;

	memset(w, 0, sizeof(*w));
	w->puts = calloc(max_puts, sizeof(*w->puts));
	w->keys = calloc(max_puts, sizeof(*w->keys));
	if (!w->puts || !w->keys)
		return ERR_NOMEM;
	ctl_store_key(c, w->head_key, "doc/head", "");
	w->compare.key = w->head_key;
	w->compare.mod_revision = base->head_mod;
	if (!guard_on(GUARD_COMPARE)) {
		w->compare.key = "absent";
		w->compare.mod_revision = 0;
	}
	add_sections(c, w, &base->sections, next);
	if (!w->put_count)
		return ERR_NOT_FOUND;
	w->change.revision = base->head.revision + 1;
	w->change.wall_ms = clk_wall_ms();
	snprintf(w->change.author, sizeof(w->change.author), "%s", c->author);
	snprintf(w->change.attempt, sizeof(w->change.attempt), "%s-%u",
		 c->writer, ++c->attempts);
	return add_head(w, base, next);
}

struct head_read {
	struct doc_head head;
	enum err error;
};

static void on_head(const struct store_range *range, void *priv)
{
	struct head_read *h = priv;

	/* Absent: as before the first change. */
	if (range->count)
		h->error = doc_head_parse(&h->head,
					  (const char *)range->kvs[0].value,
					  range->kvs[0].value_len);
}

/* Reads doc/head until the store answers. */
static enum err read_back(struct ctl *c, const char *key, struct doc_head *out)
{
	int64_t end = clk_ms() + READ_BACK_MS;
	struct head_read h;
	enum err e;

	for (;;) {
		memset(&h, 0, sizeof(h));
		e = ctl_store_range(c, key, 0, on_head, &h);
		if (e == ERR_OK || clk_ms() >= end)
			break;
		ctl_sleep(c, READ_BACK_PAUSE_MS);
	}
	if (e == ERR_OK)
		e = h.error;
	if (e == ERR_OK)
		*out = h.head;
	return e;
}

static int stops_differ(const struct doc_head *now,
			const struct doc_sections *base)
{
	const struct doc_section *a = doc_sections_get(&now->sections, "stops");
	const struct doc_section *b = doc_sections_get(base, "stops");

	if (!a || !b)
		return a != b;
	return a->digest != b->digest;
}

static void set_result(struct ctl_commit *commit, enum ctl_exit exit,
		       const char *result)
{
	commit->exit = exit;
	commit->result = result;
}

/*
 * Decides from doc/head what became of the attempt. True: decided. False: the
 * head is as it was, so the transaction has not taken effect so far.
 */
static int resolve_from_head(struct ctl_commit *commit,
			     const struct transaction *w,
			     const struct ctl_doc *base, struct doc_head *now)
{
	if (doc_head_find_attempt(now, w->change.attempt)) {
		commit->revision = w->change.revision;
		set_result(commit, CTL_DONE, "written");
		return 1;
	}
	if (now->revision == base->head.revision)
		return 0;
	commit->stops_changed = stops_differ(now, &base->sections);
	/*
	 * Whoever made the next revision won. If that is forgotten, this may
	 * have been the attempt itself.
	 */
	if (doc_head_find_revision(now, w->change.revision))
		set_result(commit, CTL_RACE, "race");
	else
		set_result(commit, CTL_FAILED, "unknown");
	commit->current_head = *now;
	memset(now, 0, sizeof(*now));
	return 1;
}

/* True if decided; false to send again. */
static int resolve_by_reading_back(struct ctl *c, struct ctl_commit *commit,
				   const struct transaction *w,
				   const struct ctl_doc *base)
{
	struct doc_head now;
	enum err e = read_back(c, w->head_key, &now);
	int resolved;

	if (e != ERR_OK) {
		set_result(commit, CTL_UNREACHABLE, "unknown");
		return 1;
	}
	resolved = resolve_from_head(commit, w, base, &now);
	doc_head_finish(&now);
	return resolved;
}

static void send_until_resolved(struct ctl *c, struct ctl_commit *commit,
				const struct transaction *w,
				const struct ctl_doc *base)
{
	for (int i = 0; i < MAX_SENDS; i++) {
		enum err e;

		if (i)
			ctl_sleep(c, RESEND_PAUSE_MS);
		e = ctl_store_txn(c, &w->compare, w->puts, w->put_count);
		if (e == ERR_OK) {
			commit->revision = w->change.revision;
			set_result(commit, CTL_DONE, "written");
			return;
		}
		/* An earlier copy may still take effect. */
		if (e == ERR_STORE_DOWN && !i) {
			set_result(commit, CTL_UNREACHABLE, "not_written");
			return;
		}
		if (resolve_by_reading_back(c, commit, w, base))
			return;
	}
	set_result(commit, CTL_UNREACHABLE, "unknown");
}

void ctl_commit(struct ctl *c, const struct ctl_doc *base,
		const struct doc_sections *next, struct ctl_commit *commit)
{
	struct transaction w;
	enum err e;

	memset(commit, 0, sizeof(*commit));
	e = transaction_init(c, &w, base, next);
	if (e == ERR_OK) {
		memcpy(commit->attempt, w.change.attempt,
		       sizeof(commit->attempt));
		send_until_resolved(c, commit, &w, base);
	} else if (e == ERR_NOT_FOUND) {
		commit->revision = base->head.revision;
		set_result(commit, CTL_DONE, "no_change");
	} else {
		set_result(commit, CTL_FAILED, err_name(e));
	}
	transaction_finish(&w);
}

void ctl_commit_finish(struct ctl_commit *commit)
{
	doc_head_finish(&commit->current_head);
}
