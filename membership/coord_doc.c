#include "membership/coord_doc_priv.h"
#include "common/clk.h"
#include "common/log.h"
#include "membership/doc_push.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Follows the document in the store: watches its head, reads the sections that
 * changed and pushes these to the members. An event of the watch only starts a
 * read, so that a lost or repeated event does no harm.
 */

void co_doc_section_key(const struct coord *c, char *out, size_t size,
			const char *name)
{
	char key[DOC_NAME_BYTES + 32];

	snprintf(key, sizeof(key), "doc/s/%s", name);
	co_store_key(c, out, size, key);
}

static void read_doc(struct coord *c);

static const struct store_kv *find_key(const struct store_range *r,
				       const char *key)
{
	for (size_t i = 0; i < r->count; i++) {
		if (strcmp(r->kvs[i].key, key) == 0)
			return &r->kvs[i];
	}
	return NULL;
}

static enum err collect_sections(struct coord *c, const struct store_range *r,
				 const struct doc_head *head,
				 struct doc_sections *out)
{
	memset(out, 0, sizeof(*out));
	for (size_t i = 0; i < head->sections.count; i++) {
		const struct doc_section *want = &head->sections.items[i];
		const struct doc_section *got;
		const struct store_kv *kv;
		char key[DOC_NAME_BYTES + 128];
		enum err e;

		co_doc_section_key(c, key, sizeof(key), want->name);
		kv = find_key(r, key);
		if (!kv)
			return ERR_NOT_FOUND;
		e = doc_sections_set(out, want->name, (const char *)kv->value,
				     kv->value_len);
		if (e != ERR_OK)
			return e;
		got = doc_sections_get(out, want->name);
		if (!got || got->digest != want->digest)
			return ERR_MALFORMED;
	}
	return ERR_OK;
}

static void push_changes(struct coord *c, uint64_t base_rev,
			 const struct doc_sections *from)
{
	struct doc_sections changes;
	Wire__DocPush p;
	enum err e = doc_changes_between(from, &c->sections, &changes);

	if (c->config.document && changes.count > CO_DOC_PUSH_SECTIONS) {
		doc_sections_finish(&changes);
		return;
	}
	if (doc_push_init(&p, changes.count) != ERR_OK)
		e = ERR_NOMEM;
	p.term = c->record.term;
	p.base_rev = base_rev;
	p.rev = c->doc_rev;
	for (size_t i = 0; e == ERR_OK && i < changes.count; i++)
		e = doc_push_add(&p, &changes.items[i], !changes.items[i].text);
	/* Members that get no push fetch the document when they ask. */
	if (e == ERR_OK)
		co_push_doc(c, base_rev, &p);
	doc_push_finish(&p);
	doc_sections_finish(&changes);
}

/* Encodes the whole document for co_doc_send_full. */
static void encode_full(struct coord *c)
{
	Wire__DocPush p;
	enum err e = doc_push_init(&p, c->sections.count);

	buf_reset(&c->doc_frame);
	c->doc_frame_rev = 0;
	p.term = c->record.term;
	p.rev = c->doc_rev;
	if (e == ERR_OK)
		e = doc_push_add_all(&p, &c->sections);
	if (e == ERR_OK && frame_encode_deflated(FRAME_DOC_PUSH, &p.base,
						 &c->doc_frame) == ERR_OK)
		c->doc_frame_rev = c->doc_rev;
	doc_push_finish(&p);
}

/* The frame is kept, since many nodes may join under the same document. */
void co_doc_send_full(struct coord *c, struct co_member *m)
{
	if (!c->has_doc)
		return;
	if (!c->doc_frame_rev || c->doc_frame_rev != c->doc_rev)
		encode_full(c);
	if (!c->doc_frame_rev)
		return;
	co_send_encoded(m, &c->doc_frame);
	m->doc_sent_rev = c->doc_rev;
}

void co_doc_note_stored(struct coord *c, const struct doc_head *head,
			int64_t mod_revision, uint64_t era)
{
	c->doc_mod_revision = mod_revision;
	c->doc_era = era;
	c->doc_newest = doc_head_is_newest(head, era);
}

/*
 * Puts the document in force and takes over doc and sections. The store is not
 * known to have the document until co_doc_note_stored.
 */
static void put_in_force(struct coord *c, const struct doc_head *head,
			 const struct doc *doc,
			 const struct doc_sections *sections)
{
	struct doc_sections old = c->sections;
	uint64_t old_rev = c->doc_rev;

	if (c->has_doc)
		doc_finish(&c->doc);
	c->doc = *doc;
	c->doc.revision = head->revision;
	c->has_doc = 1;
	c->sections = *sections;
	c->doc_rev = head->revision;
	c->doc_mod_revision = 0;
	c->doc_era = 0;
	c->doc_newest = 0;
	log_info("document_read",
		 "revision=%llu author=%s written_era=%llu era=%llu",
		 (unsigned long long)head->revision, LOG_Q(head->author),
		 (unsigned long long)head->era,
		 (unsigned long long)c->config.store->era);
	push_changes(c, old_rev, &old);
	doc_sections_finish(&old);
}

/*
 * Reads the document of the sections, of which those in force need not be read
 * again. Takes ownership of the sections; out and out_sections are empty on an
 * error.
 */
static enum err read_sections(const struct coord *c, uint64_t revision,
			      struct doc_sections *sections, struct doc *out,
			      struct doc_sections *out_sections)
{
	struct doc_sections changes;
	struct doc_update u;
	enum err e = doc_changes_between(&c->sections, sections, &changes);

	doc_sections_finish(sections);
	if (e != ERR_OK) {
		doc_sections_finish(&changes);
		return e;
	}
	doc_update_init(&u, &c->doc, &c->sections, &changes);
	e = doc_update_end(&u, out, out_sections);
	if (e == ERR_OK)
		out->revision = revision;
	else
		log_error("document_invalid",
			  "error=%s revision=%llu problems=%s", err_name(e),
			  (unsigned long long)revision,
			  LOG_Q(buf_text(&u.problems)));
	doc_update_finish(&u);
	return e;
}

/* Takes ownership of the sections, also if they are invalid. */
static enum err replace_doc(struct coord *c, const struct doc_head *head,
			    struct doc_sections *sections)
{
	struct doc_sections result;
	struct doc doc;
	enum err e = read_sections(c, head->revision, sections, &doc, &result);

	if (e == ERR_OK)
		put_in_force(c, head, &doc, &result);
	return e;
}

/* Uses the document of this node where config.document provides it. */
static void copy_member_document(struct coord *c)
{
	struct doc_head head = { 0 };
	struct doc_sections sections;
	const struct doc_sections *s;
	const struct doc *d;
	struct doc doc;
	enum err e;

	s = c->config.document(&d, &head.revision, c->config.document_priv);
	if (!s || head.revision <= c->doc_rev)
		return;
	e = doc_copy(d, &doc);
	if (e == ERR_OK) {
		e = doc_sections_copy(s, &sections);
		if (e != ERR_OK)
			doc_finish(&doc);
	}
	if (e != ERR_OK) {
		log_error("document_copy_failed", "error=%s", err_name(e));
		return;
	}
	put_in_force(c, &head, &doc, &sections);
	c->placement_due = 1;
}

/* Returns the member with a newer document that was heard last, or NULL. */
static struct co_member *find_newer_member(const struct coord *c)
{
	struct co_member *m, *tmp, *found = NULL;
	int64_t heard_ms = 0;

	HASH_ITER(hh, c->members, m, tmp) {
		const struct own_peer *p;

		if (!m->conn || m->doc_rev <= c->doc_rev)
			continue;
		p = own_coord_find(&c->own, m->id);
		if (!p || p->heard_ms <= heard_ms)
			continue;
		heard_ms = p->heard_ms;
		found = m;
	}
	return found;
}

/*
 * Asks a member for a document that is newer than this node's. A coordinator
 * that the store turns away learns of a change in this way alone, and so do the
 * other nodes that the store turns away; and after a restore, only members may
 * have what the store has lost. Normally this node reads a change as soon as
 * the others do.
 */
static void fetch_from_member(struct coord *c, int64_t now_ms)
{
	Wire__Fetch f = WIRE__FETCH__INIT;
	struct co_member *m = find_newer_member(c);

	if (!m) {
		c->doc_fetch_at_ms = 0;
		return;
	}
	if (!c->doc_fetch_at_ms)
		c->doc_fetch_at_ms = now_ms + CO_DOC_FETCH_AFTER_MS;
	if (now_ms < c->doc_fetch_at_ms)
		return;
	c->doc_fetch_at_ms = now_ms + CO_DOC_FETCH_RETRY_MS;
	log_info("document_fetch", "from=%s revision=%llu has_revision=%llu",
		 LOG_Q(m->info->name), (unsigned long long)m->doc_rev,
		 (unsigned long long)c->doc_rev);
	f.doc_rev = c->doc_rev;
	f.map_rev = c->map.rev;
	co_send(m, FRAME_FETCH, &f.base);
}

/* Returns 1 if the store has the operators' newest document, in force here. */
static int is_newest_stored(const struct coord *c)
{
	return c->doc_newest && c->doc_era == c->config.store->era;
}

/*
 * Follows members that have a newer document. If an operator wrote the document
 * in force in the store's present era, it is newer than theirs in spite of its
 * revision; the head is read once more to be sure.
 */
static void follow_members(struct coord *c, int64_t now_ms)
{
	if (!c->config.store->era || !find_newer_member(c)) {
		c->doc_behind_ms = 0;
		c->doc_fetch_at_ms = 0;
		return;
	}
	if (!c->doc_behind_ms)
		c->doc_behind_ms = now_ms;
	if (!is_newest_stored(c)) {
		fetch_from_member(c, now_ms);
	} else if (now_ms >= c->doc_fetch_at_ms) {
		c->doc_fetch_at_ms = now_ms + CO_DOC_FETCH_RETRY_MS;
		read_doc(c);
	}
}

/*
 * Puts a member's document in force. Reading the head then finds that the store
 * lacks it, or that an operator has written a newer one meanwhile.
 */
static void take_from_member(struct coord *c, const Wire__DocPush *p)
{
	struct doc_sections sections;
	struct doc_head head = { .revision = p->rev };
	enum err e;

	if (is_newest_stored(c))
		return;
	e = doc_push_read(p, &sections);
	if (e != ERR_OK) {
		log_error("document_invalid", "error=%s revision=%llu",
			  err_name(e), (unsigned long long)p->rev);
		doc_sections_finish(&sections);
		return;
	}
	log_warn("document_of_member",
		 "revision=%llu has_revision=%llu era=%llu",
		 (unsigned long long)p->rev, (unsigned long long)c->doc_rev,
		 (unsigned long long)c->config.store->era);
	if (replace_doc(c, &head, &sections) != ERR_OK)
		return;
	co_services_update(c);
	c->placement_due = 1;
	read_doc(c);
}

void co_on_doc_push(struct coord *c, const Wire__DocPush *p)
{
	struct doc_sections sections, result;
	struct doc doc;
	enum err e;

	if (p->base_rev || p->rev <= c->doc_rev)
		return;
	if (!c->config.offer_document) {
		take_from_member(c, p);
		return;
	}
	e = doc_push_read(p, &sections);
	if (e != ERR_OK) {
		log_error("document_not_read", "revision=%llu error=%s",
			  (unsigned long long)p->rev, err_name(e));
		doc_sections_finish(&sections);
		return;
	}
	if (read_sections(c, p->rev, &sections, &doc, &result) == ERR_OK)
		c->config.offer_document(&doc, &result,
					 c->config.document_priv);
}

/*
 * An invalid document in the store does not stop the coordinator: the one in
 * force stays until a later change is read.
 */
enum err co_doc_load(struct coord *c, const struct store_range *range)
{
	const struct store_kv *kv;
	struct doc_sections sections;
	struct doc_head head;
	char key[128];
	enum err e;

	if (c->config.document) {
		copy_member_document(c);
		return ERR_OK;
	}
	co_store_key(c, key, sizeof(key), "doc/head");
	kv = find_key(range, key);
	if (!kv)
		return ERR_OK;
	if (doc_head_parse(&head, (const char *)kv->value, kv->value_len) !=
	    ERR_OK) {
		log_error("document_head_malformed", "key=%s", key);
		return ERR_OK;
	}
	e = collect_sections(c, range, &head, &sections);
	if (e != ERR_OK) {
		log_error("document_incomplete", "error=%s", err_name(e));
		doc_sections_finish(&sections);
	} else if (replace_doc(c, &head, &sections) == ERR_OK) {
		co_doc_note_stored(c, &head, kv->mod_revision, range->era);
	}
	doc_head_finish(&head);
	return ERR_OK;
}

/* ---- reading a change: the head, then the sections that differ ---- */

static void finish_reading(struct coord *c)
{
	struct doc_reading *r = c->doc_reading;

	c->doc_reading = NULL;
	if (r) {
		doc_head_finish(&r->head);
		doc_sections_finish(&r->sections);
		free(r);
	}
	c->doc_read_pending = 0;
	if (c->doc_reread_due)
		read_doc(c);
}

void co_doc_end_reading(struct coord *c, int reread)
{
	c->doc_reread_due |= reread;
	finish_reading(c);
}

void co_doc_apply_reading(struct coord *c)
{
	struct doc_reading *r = c->doc_reading;

	/* A member's document was put in force meanwhile. */
	if (r->head.revision <= c->doc_rev) {
		co_doc_end_reading(c, 1);
		return;
	}
	if (replace_doc(c, &r->head, &r->sections) == ERR_OK)
		co_doc_note_stored(c, &r->head, r->mod_revision, r->era);
	memset(&r->sections, 0, sizeof(r->sections));
	co_services_update(c);
	c->placement_due = 1;
	finish_reading(c);
}

static const struct doc_section *find_missing(const struct doc_reading *r)
{
	for (size_t i = 0; i < r->head.sections.count; i++) {
		const struct doc_section *s = &r->head.sections.items[i];

		if (!doc_sections_get(&r->sections, s->name))
			return s;
	}
	return NULL;
}

static void read_next_section(struct coord *c);

static void on_section(enum err e, const struct store_range *range, void *priv)
{
	struct coord *c = co_call_end(priv, NULL, NULL);
	const struct doc_section *want, *got;

	if (!c)
		return;
	want = find_missing(c->doc_reading);
	if (e != ERR_OK || !range->count || !want) {
		finish_reading(c);
		return;
	}
	doc_sections_set(&c->doc_reading->sections, want->name,
			 (const char *)range->kvs[0].value,
			 range->kvs[0].value_len);
	got = doc_sections_get(&c->doc_reading->sections, want->name);
	/* The document changed meanwhile; its new head is read next. */
	if (!got || got->digest != want->digest) {
		finish_reading(c);
		return;
	}
	read_next_section(c);
}

static void read_next_section(struct coord *c)
{
	const struct doc_section *s = find_missing(c->doc_reading);
	struct co_call *call;
	char key[DOC_NAME_BYTES + 128];

	if (!s) {
		if (c->doc_reading->new_revision)
			co_doc_write_renumbered(c);
		else
			co_doc_apply_reading(c);
		return;
	}
	call = co_call_new(c, 0);
	if (!call) {
		finish_reading(c);
		return;
	}
	co_doc_section_key(c, key, sizeof(key), s->name);
	c->config.store->ops->range(c->config.store, key, 0, on_section, call);
}

/* Copies the sections that have not changed from the document in force. */
static void reuse_unchanged_sections(struct coord *c, struct doc_reading *r)
{
	for (size_t i = 0; i < r->head.sections.count; i++) {
		const struct doc_section *want = &r->head.sections.items[i];
		const struct doc_section *s =
			doc_sections_get(&c->sections, want->name);

		if (s && s->digest == want->digest)
			doc_sections_set(&r->sections, s->name, s->text,
					 s->len);
	}
}

static enum err parse_head(struct doc_reading *r,
			   const struct store_range *range)
{
	r->era = range->era;
	if (!range->count)
		return ERR_OK;
	r->mod_revision = range->kvs[0].mod_revision;
	return doc_head_parse(&r->head, (const char *)range->kvs[0].value,
			      range->kvs[0].value_len);
}

static void on_head(enum err e, const struct store_range *range, void *priv)
{
	int64_t asked_ms;
	struct coord *c = co_call_end(priv, &asked_ms, NULL);
	struct doc_reading *r;

	if (!c)
		return;
	r = e == ERR_OK ? calloc(1, sizeof(*r)) : NULL;
	c->doc_reading = r;
	if (!r) {
		finish_reading(c);
		return;
	}
	e = parse_head(r, range);
	if (e != ERR_OK) {
		log_error("document_head_malformed", "error=%s", err_name(e));
		finish_reading(c);
		return;
	}
	switch (co_doc_judge(c, r, asked_ms)) {
	case CO_DOC_KEEP:
		finish_reading(c);
		return;
	case CO_DOC_WRITE_BACK:
		co_doc_write_back(c);
		return;
	case CO_DOC_RENUMBER:
		r->new_revision = co_doc_unused_revision(c, &r->head);
		break;
	case CO_DOC_TAKE:
		break;
	}
	reuse_unchanged_sections(c, r);
	read_next_section(c);
}

static void read_doc(struct coord *c)
{
	struct co_call *call;
	char key[128];

	if (c->doc_read_pending) {
		c->doc_reread_due = 1;
		return;
	}
	call = co_call_new(c, 0);
	if (!call)
		return;
	c->doc_read_pending = 1;
	c->doc_reread_due = 0;
	co_store_key(c, key, sizeof(key), "doc/head");
	c->config.store->ops->range(c->config.store, key, 0, on_head, call);
}

static void on_event(const struct store_event *event, void *priv)
{
	struct coord *c = priv;
	char key[128];

	co_store_key(c, key, sizeof(key), "doc/head");
	if (strcmp(event->key, key) == 0)
		read_doc(c);
}

static void on_watch_ended(enum err why, void *priv)
{
	struct coord *c = priv;

	(void)why;
	c->doc_watch = NULL;
	read_doc(c);
}

static const struct store_watch_ops watch_ops = {
	.event = on_event,
	.ended = on_watch_ended,
};

void co_doc_start(struct coord *c)
{
	c->doc_read_pending = 0;
	c->doc_reread_due = 0;
	c->doc_poll_at_ms = 0;
	c->doc_fetch_at_ms = 0;
	c->doc_behind_ms = 0;
	co_doc_tick(c, clk_ms());
}

void co_doc_stop(struct coord *c)
{
	struct store *s = c->config.store;

	if (c->doc_watch)
		s->ops->unwatch(s, c->doc_watch);
	c->doc_watch = NULL;
	c->doc_reread_due = 0;
	finish_reading(c);
	c->doc_mod_revision = 0;
	c->doc_era = 0;
	c->doc_newest = 0;
}

/*
 * Reads the document periodically as well, since a watch can stop delivering
 * events without an error.
 */
void co_doc_tick(struct coord *c, int64_t now_ms)
{
	struct store *s = c->config.store;
	char key[128];

	if (c->config.document) {
		uint64_t before = c->doc_rev;

		copy_member_document(c);
		if (c->doc_rev != before)
			co_services_update(c);
		fetch_from_member(c, now_ms);
		return;
	}
	follow_members(c, now_ms);
	if (now_ms < c->doc_poll_at_ms)
		return;
	c->doc_poll_at_ms = now_ms + CO_DOC_POLL_MS;
	if (!c->doc_watch) {
		co_store_key(c, key, sizeof(key), "doc/head");
		c->doc_watch = s->ops->watch(s, key, 0, s->era, &watch_ops, c);
	}
	read_doc(c);
}

void co_services_update(struct coord *c)
{
	for (size_t i = 0; c->has_doc && i < c->doc.service_count; i++) {
		const struct doc_service *s = &c->doc.services[i];
		const struct map_service *m =
			map_find_service(&c->map, s->name);

		if (!s->keyed)
			continue;
		if (!m) {
			c->queue.services_due = 1;
			co_queue_cause(c, "service", s->name);
		} else if (m->shards != s->shards) {
			log_error("shards_differ",
				  "service=%s document=%u map=%u",
				  LOG_Q(s->name), s->shards, m->shards);
		}
	}
}
