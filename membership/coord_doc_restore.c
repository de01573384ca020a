#include "membership/coord_doc_priv.h"
#include "common/clk.h"
#include "common/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Keeps the document through a restore of the store. A restored store has the
 * head of a copy, and gives the revisions of the store and of the document out
 * again, so neither tells which of two documents is newer. The head tells the
 * era in which it was written:
 *  - written by an operator in the present era: it is the newest document;
 *  - else a document of a higher revision that a node has in force is newer,
 *    and is written back.
 * A head that was written back does not claim to be the newest: a node that
 * could not be reached then may have a newer document.
 *
 * These transactions compare the head alone, not the coordinator's record: a
 * deposed coordinator that writes its document back does no harm, since its
 * successor still replaces that by a newer one.
 */

#define KEY_BYTES (DOC_NAME_BYTES + 128)

static int has_sections_in_force(const struct coord *c,
				 const struct doc_head *h)
{
	if (h->sections.count != c->sections.count)
		return 0;
	for (size_t i = 0; i < h->sections.count; i++) {
		const struct doc_section *s = &h->sections.items[i];
		const struct doc_section *mine =
			doc_sections_get(&c->sections, s->name);

		if (!mine || mine->digest != s->digest)
			return 0;
	}
	return 1;
}

static uint64_t highest_member_revision(const struct coord *c)
{
	const struct co_member *m, *tmp;
	uint64_t rev = 0;

	HASH_ITER(hh, c->members, m, tmp) {
		if (m->doc_rev > rev)
			rev = m->doc_rev;
	}
	return rev;
}

/* A head with a revision that is not above that of the document in force. */
static enum co_doc_action judge_lower(struct coord *c,
				      const struct doc_reading *r)
{
	const struct doc_head *h = &r->head;
	int newest = doc_head_is_newest(h, r->era);

	if (h->revision == c->doc_rev && has_sections_in_force(c, h)) {
		co_doc_note_stored(c, h, r->mod_revision, r->era);
		return CO_DOC_KEEP;
	}
	if (newest && !(c->doc_newest && c->doc_era == r->era))
		return CO_DOC_RENUMBER;
	/* Within one era, a head without an era is no sign of a restore. */
	if (r->era && !newest && (h->era || c->doc_era != r->era))
		return CO_DOC_WRITE_BACK;
	log_error("document_head_refused",
		  "revision=%llu has_revision=%llu written_era=%llu era=%llu",
		  (unsigned long long)h->revision,
		  (unsigned long long)c->doc_rev, (unsigned long long)h->era,
		  (unsigned long long)r->era);
	return CO_DOC_KEEP;
}

enum co_doc_action co_doc_judge(struct coord *c, struct doc_reading *r,
				int64_t asked_ms)
{
	if (!r->mod_revision)
		return c->has_doc && r->era ? CO_DOC_WRITE_BACK : CO_DOC_KEEP;
	if (r->era == c->doc_era && r->mod_revision == c->doc_mod_revision) {
		/*
		 * The store still has the operator's newest document, so a
		 * member's higher revision is from before the restore.
		 */
		if (c->doc_newest && c->doc_behind_ms &&
		    asked_ms > c->doc_behind_ms)
			return CO_DOC_RENUMBER;
		return CO_DOC_KEEP;
	}
	if (r->head.revision > c->doc_rev)
		return CO_DOC_TAKE;
	return judge_lower(c, r);
}

uint64_t co_doc_unused_revision(const struct coord *c,
				const struct doc_head *head)
{
	const struct store *s = c->config.store;
	uint64_t members = highest_member_revision(c);
	uint64_t floor = s->ops->number_floor(s);
	uint64_t rev = c->doc_rev;

	if (head->revision > rev)
		rev = head->revision;
	if (members > rev)
		rev = members;
	return rev + 1 > floor ? rev + 1 : floor;
}

/* ---- writing the document in force ---- */

struct write_back {
	struct store_compare compare;
	struct store_put *puts;
	char (*keys)[KEY_BYTES];
	size_t put_count;
	char head_key[KEY_BYTES];
	struct buf head;
	struct doc_change change;
};

static void add_put(struct write_back *w, const char *key, const char *name,
		    const struct doc_section *s)
{
	size_t i = w->put_count++;

	snprintf(w->keys[i], KEY_BYTES, "%s", key);
	w->puts[i].key = w->keys[i];
	w->puts[i].value = s ? (const uint8_t *)s->text : NULL;
	w->puts[i].value_len = s ? s->len : 0;
	doc_change_add_section(&w->change, name);
}

static const struct store_kv *find_key(const struct store_range *r,
				       const char *key)
{
	for (size_t i = 0; i < r->count; i++) {
		if (strcmp(r->kvs[i].key, key) == 0)
			return &r->kvs[i];
	}
	return NULL;
}

/* Adds the sections that differ from those in the store. */
static void add_sections(const struct coord *c, struct write_back *w,
			 const struct store_range *stored)
{
	char prefix[KEY_BYTES], key[KEY_BYTES];

	for (size_t i = 0; i < c->sections.count; i++) {
		const struct doc_section *s = &c->sections.items[i];
		const struct store_kv *kv;

		co_doc_section_key(c, key, sizeof(key), s->name);
		kv = find_key(stored, key);
		if (!kv || kv->value_len != s->len ||
		    memcmp(kv->value, s->text, s->len) != 0)
			add_put(w, key, s->name, s);
	}
	co_doc_section_key(c, prefix, sizeof(prefix), "");
	for (size_t i = 0; i < stored->count; i++) {
		const char *name = stored->kvs[i].key + strlen(prefix);

		if (strncmp(stored->kvs[i].key, prefix, strlen(prefix)) == 0 &&
		    !doc_sections_get(&c->sections, name))
			add_put(w, stored->kvs[i].key, name, NULL);
	}
}

static enum err add_head(const struct coord *c, struct write_back *w,
			 const struct doc_reading *r)
{
	const char *node = c->config.settings->name;
	struct doc_head head = r->head;
	enum err e;

	w->change.revision = c->doc_rev;
	w->change.wall_ms = clk_wall_ms();
	snprintf(w->change.author, sizeof(w->change.author),
		 "%.40s (written back)", node);
	snprintf(w->change.attempt, sizeof(w->change.attempt),
		 "%.24s-%016llx-%llx", node,
		 (unsigned long long)c->config.incarnation,
		 (unsigned long long)c->doc_rev);
	head.sections = c->sections;
	head.era = r->era;
	head.written_back = 1;
	doc_head_add_change(&head, &w->change);
	e = doc_head_write(&head, &w->head);
	w->puts[w->put_count].key = w->head_key;
	w->puts[w->put_count].value = w->head.data;
	w->puts[w->put_count++].value_len = w->head.len;
	return e;
}

static enum err write_back_init(const struct coord *c, struct write_back *w,
				const struct store_range *stored)
{
	const struct doc_reading *r = c->doc_reading;
	size_t max = stored->count + c->sections.count + 1;

	memset(w, 0, sizeof(*w));
	buf_init(&w->head);
	w->puts = calloc(max, sizeof(*w->puts));
	w->keys = calloc(max, sizeof(*w->keys));
	if (!w->puts || !w->keys)
		return ERR_NOMEM;
	co_store_key(c, w->head_key, sizeof(w->head_key), "doc/head");
	w->compare.key = w->head_key;
	w->compare.mod_revision = r->mod_revision;
	add_sections(c, w, stored);
	return add_head(c, w, r);
}

static void write_back_finish(struct write_back *w)
{
	buf_finish(&w->head);
	free(w->puts);
	free(w->keys);
}

/*
 * Ends a reading whose write failed. After a conflict, the new head is read at
 * once; else the head is read again with the next poll, which also tells
 * whether a write without an answer took effect.
 */
static void end_failed(struct coord *c, enum err e, const char *what,
		       uint64_t revision)
{
	log_warn(what, "error=%s revision=%llu era=%llu", err_name(e),
		 (unsigned long long)revision,
		 (unsigned long long)c->doc_reading->era);
	co_doc_end_reading(c, e == ERR_CONFLICT);
}

static void on_written_back(enum err e, int64_t revision, void *priv)
{
	struct coord *c = co_call_end(priv, NULL, NULL);
	struct doc_reading *r;

	if (!c)
		return;
	r = c->doc_reading;
	if (e != ERR_OK) {
		end_failed(c, e, "document_write_back_failed", c->doc_rev);
		return;
	}
	/* A member's document was put in force meanwhile. */
	if (c->doc_rev != r->new_revision) {
		co_doc_end_reading(c, 1);
		return;
	}
	log_warn("document_written_back",
		 "revision=%llu era=%llu store_revision=%llu store_era=%llu",
		 (unsigned long long)c->doc_rev, (unsigned long long)r->era,
		 (unsigned long long)r->head.revision,
		 (unsigned long long)r->head.era);
	r->head.era = r->era;
	r->head.written_back = 1;
	co_doc_note_stored(c, &r->head, revision, r->era);
	co_doc_end_reading(c, 0);
}

static void send_write_back(struct coord *c, const struct store_range *stored)
{
	struct co_call *call = co_call_new(c, 0);
	struct write_back w;
	enum err e = write_back_init(c, &w, stored);

	c->doc_reading->new_revision = c->doc_rev;
	if (call && e == ERR_OK) {
		c->config.store->ops->txn(c->config.store, &w.compare, 1,
					  w.puts, w.put_count, on_written_back,
					  call);
	} else {
		if (call)
			co_call_end(call, NULL, NULL);
		end_failed(c, ERR_NOMEM, "document_write_back_failed",
			   c->doc_rev);
	}
	write_back_finish(&w);
}

static void on_stored(enum err e, const struct store_range *range, void *priv)
{
	struct coord *c = co_call_end(priv, NULL, NULL);
	const struct store_kv *kv;
	char key[KEY_BYTES];

	if (!c)
		return;
	co_store_key(c, key, sizeof(key), "doc/head");
	kv = find_key(range, key);
	if (e != ERR_OK)
		co_doc_end_reading(c, 0);
	else if (range->era != c->doc_reading->era ||
		 (kv ? kv->mod_revision : 0) != c->doc_reading->mod_revision)
		co_doc_end_reading(c, 1);
	else
		send_write_back(c, range);
}

void co_doc_write_back(struct coord *c)
{
	struct co_call *call = co_call_new(c, 0);
	char key[KEY_BYTES];

	if (!call) {
		co_doc_end_reading(c, 0);
		return;
	}
	co_store_key(c, key, sizeof(key), "doc/");
	c->config.store->ops->range(c->config.store, key, 1, on_stored, call);
}

/* ---- writing the newest document under a new revision ---- */

/*
 * The document is put in force only now: another coordinator may have given the
 * revision to another document, and only one of them is written.
 */
static void on_renumbered(enum err e, int64_t revision, void *priv)
{
	struct coord *c = co_call_end(priv, NULL, NULL);
	struct doc_reading *r;

	if (!c)
		return;
	r = c->doc_reading;
	if (e != ERR_OK) {
		end_failed(c, e, "document_renumber_failed", r->head.revision);
		return;
	}
	log_warn("document_renumbered",
		 "revision=%llu era=%llu has_revision=%llu author=%s",
		 (unsigned long long)r->head.revision,
		 (unsigned long long)r->era, (unsigned long long)c->doc_rev,
		 LOG_Q(r->head.author));
	r->mod_revision = revision;
	co_doc_apply_reading(c);
}

static void set_revision(struct doc_head *h, uint64_t revision)
{
	if (h->recent_count && h->recent[0].revision == h->revision)
		h->recent[0].revision = revision;
	h->revision = revision;
}

void co_doc_write_renumbered(struct coord *c)
{
	struct doc_reading *r = c->doc_reading;
	struct co_call *call = co_call_new(c, 0);
	struct store_compare compare = { .mod_revision = r->mod_revision };
	struct store_put put = { 0 };
	char key[KEY_BYTES];
	struct buf text;

	buf_init(&text);
	co_store_key(c, key, sizeof(key), "doc/head");
	set_revision(&r->head, r->new_revision);
	if (call && doc_head_write(&r->head, &text) == ERR_OK) {
		compare.key = key;
		put.key = key;
		put.value = text.data;
		put.value_len = text.len;
		c->config.store->ops->txn(c->config.store, &compare, 1, &put, 1,
					  on_renumbered, call);
	} else {
		if (call)
			co_call_end(call, NULL, NULL);
		end_failed(c, ERR_NOMEM, "document_renumber_failed",
			   r->new_revision);
	}
	buf_finish(&text);
}
