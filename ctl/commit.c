#include "common/clk.h"
#include "common/guard.h"
#include "ctl/ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* How often the same transaction is sent while its result is unknown. */
#define MAX_SENDS 3
/* For how long the reading back of doc/head is retried. */
#define READ_BACK_MS 10000
#define READ_BACK_PAUSE_MS 250
/* Lets an earlier copy of the transaction take effect before the next one. */
#define RESEND_PAUSE_MS 500

/* A transaction; it keeps all its data, to be sent again unchanged. */
struct transaction {
	struct store_compare compare;
	char head_key[CTL_KEY_BYTES];
	struct buf head;
	struct store_put *puts;
	char (*keys)[CTL_KEY_BYTES];
	size_t put_count;
	struct doc_change change;
};

static void transaction_finish(struct transaction *txn)
{
	buf_finish(&txn->head);
	free(txn->puts);
	free(txn->keys);
}

/* Adds the put of a section; section NULL deletes it. */
static void add_put(const struct ctl *c, struct transaction *txn,
		    const char *name, const struct doc_section *section)
{
	size_t i = txn->put_count++;

	ctl_store_key(c, txn->keys[i], "doc/s/", name);
	txn->puts[i].key = txn->keys[i];
	txn->puts[i].value = section ? (const uint8_t *)section->text : NULL;
	txn->puts[i].value_len = section ? section->len : 0;
	doc_change_add_section(&txn->change, name);
}

static void add_sections(const struct ctl *c, struct transaction *txn,
			 const struct doc_sections *base,
			 const struct doc_sections *next)
{
	for (size_t i = 0; i < next->count; i++) {
		const struct doc_section *section = &next->items[i];
		const struct doc_section *old =
			doc_sections_get(base, section->name);

		if (!old || old->digest != section->digest)
			add_put(c, txn, section->name, section);
	}
	for (size_t i = 0; i < base->count; i++) {
		if (!doc_sections_get(next, base->items[i].name))
			add_put(c, txn, base->items[i].name, NULL);
	}
}

/* Adds the put of doc/head with the change; its sections are those of next. */
static enum err add_head(struct transaction *txn, const struct ctl_doc *base,
			 const struct doc_sections *next)
{
	struct doc_head head = base->head;
	size_t i = txn->put_count;
	enum err e;

	head.sections = *next;
	head.era = base->era;
	head.written_back = 0;
	doc_head_add_change(&head, &txn->change);
	e = doc_head_write(&head, &txn->head);
	if (e != ERR_OK)
		return e;
	txn->puts[i].key = txn->head_key;
	txn->puts[i].value = txn->head.data;
	txn->puts[i].value_len = txn->head.len;
	txn->put_count++;
	return ERR_OK;
}

/*
 * Revisions that were given out since the copy are not known, and nodes may
 * have them in force with another content.
 */
static uint64_t next_revision(const struct ctl *c, const struct ctl_doc *base)
{
	uint64_t next = base->head.revision + 1;
	uint64_t floor;

	if (!base->from_copy &&
	    !doc_head_may_lack_changes(&base->head, base->era))
		return next;
	floor = c->store->ops->number_floor(c->store);
	return next > floor ? next : floor;
}

/*
 * Builds the transaction that changes the document from base to next.
 * ERR_NOT_FOUND: they are equal. The caller calls transaction_finish in each
 * case.
 */
static enum err transaction_init(struct ctl *c, struct transaction *txn,
				 const struct ctl_doc *base,
				 const struct doc_sections *next)
{
	size_t max_puts = base->sections.count + next->count + 1;

	memset(txn, 0, sizeof(*txn));
	txn->puts = calloc(max_puts, sizeof(*txn->puts));
	txn->keys = calloc(max_puts, sizeof(*txn->keys));
	if (!txn->puts || !txn->keys)
		return ERR_NOMEM;
	ctl_store_key(c, txn->head_key, "doc/head", "");
	txn->compare.key = txn->head_key;
	txn->compare.mod_revision = base->head_mod_revision;
	if (!guard_on(GUARD_COMPARE)) {
		txn->compare.key = "absent";
		txn->compare.mod_revision = 0;
	}
	add_sections(c, txn, &base->sections, next);
	if (!txn->put_count)
		return ERR_NOT_FOUND;
	txn->change.revision = next_revision(c, base);
	txn->change.wall_ms = clk_wall_ms();
	snprintf(txn->change.author, sizeof(txn->change.author), "%s",
		 c->author);
	snprintf(txn->change.attempt, sizeof(txn->change.attempt), "%s-%u",
		 c->writer, ++c->attempts);
	return add_head(txn, base, next);
}

struct head_read {
	struct doc_head head;
	enum err error;
};

static void on_head(const struct store_range *range, void *priv)
{
	struct head_read *h = priv;

	/* Without doc/head the document is as before its first change. */
	if (range->count)
		h->error = doc_head_parse(&h->head,
					  (const char *)range->kvs[0].value,
					  range->kvs[0].value_len);
}

/* Reads doc/head; retries for READ_BACK_MS if the store does not answer. */
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

static int stops_differ(const struct doc_head *head,
			const struct doc_sections *base)
{
	const struct doc_section *a =
		doc_sections_get(&head->sections, "stops");
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
 * Finds the result of the attempt in doc/head. Returns 1 if it is known, or
 * cannot be known any more. Returns 0 if the head is the same as before: the
 * transaction has not taken effect so far.
 */
static int resolve_from_head(struct ctl_commit *commit,
			     const struct transaction *txn,
			     const struct ctl_doc *base, struct doc_head *head)
{
	const struct doc_change *own =
		doc_head_find_attempt(head, txn->change.attempt);

	if (own) {
		commit->revision = own->revision;
		set_result(commit, CTL_DONE, "written");
		return 1;
	}
	if (head->revision == base->head.revision)
		return 0;
	commit->stops_changed = stops_differ(head, &base->sections);
	/*
	 * If all changes since the base are still listed, others made them all.
	 * Else the attempt may be one that is no longer listed.
	 */
	if (doc_head_lists_all_since(head, base->head.revision))
		set_result(commit, CTL_RACE, "race");
	else
		set_result(commit, CTL_FAILED, "unknown");
	commit->current_head = *head;
	memset(head, 0, sizeof(*head));
	return 1;
}

/* Returns 1 if the result is set; 0: the transaction must be sent again. */
static int resolve_by_reading_back(struct ctl *c, struct ctl_commit *commit,
				   const struct transaction *txn,
				   const struct ctl_doc *base)
{
	struct doc_head head;
	enum err e = read_back(c, txn->head_key, &head);
	int resolved;

	if (e != ERR_OK) {
		set_result(commit, CTL_UNREACHABLE, "unknown");
		return 1;
	}
	resolved = resolve_from_head(commit, txn, base, &head);
	doc_head_finish(&head);
	return resolved;
}

static void send_until_resolved(struct ctl *c, struct ctl_commit *commit,
				const struct transaction *txn,
				const struct ctl_doc *base)
{
	for (int i = 0; i < MAX_SENDS; i++) {
		enum err e;

		if (i)
			ctl_sleep(c, RESEND_PAUSE_MS);
		e = ctl_store_txn(c, &txn->compare, txn->puts, txn->put_count);
		if (e == ERR_OK) {
			commit->revision = txn->change.revision;
			set_result(commit, CTL_DONE, "written");
			return;
		}
		/*
		 * Nothing was written if the first copy was not sent. After
		 * that, an earlier copy may still take effect.
		 */
		if (e == ERR_STORE_DOWN && !i) {
			set_result(commit, CTL_UNREACHABLE, "not_written");
			return;
		}
		if (resolve_by_reading_back(c, commit, txn, base))
			return;
	}
	set_result(commit, CTL_UNREACHABLE, "unknown");
}

void ctl_commit(struct ctl *c, const struct ctl_doc *base,
		const struct doc_sections *next, struct ctl_commit *commit)
{
	struct transaction txn;
	enum err e;

	memset(commit, 0, sizeof(*commit));
	e = transaction_init(c, &txn, base, next);
	if (e == ERR_OK) {
		memcpy(commit->attempt, txn.change.attempt,
		       sizeof(commit->attempt));
		send_until_resolved(c, commit, &txn, base);
	} else if (e == ERR_NOT_FOUND) {
		commit->revision = base->head.revision;
		set_result(commit, CTL_DONE, "no_change");
	} else {
		set_result(commit, CTL_FAILED, err_name(e));
	}
	transaction_finish(&txn);
}

void ctl_commit_finish(struct ctl_commit *commit)
{
	doc_head_finish(&commit->current_head);
}
