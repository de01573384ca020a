#include "membership/membership_priv.h"
#include "common/clk.h"
#include "common/guard.h"
#include "common/log.h"
#include "membership/doc_push.h"

#include <stdlib.h>
#include <string.h>

void membership_send_fetch(struct membership *m, const char *why)
{
	Wire__Fetch f = WIRE__FETCH__INIT;

	log_info("fetch", "why=%s doc_revision=%llu map_revision=%llu", why,
		 (unsigned long long)m->doc_rev,
		 (unsigned long long)m->map.rev);

	f.doc_rev = m->doc_rev;
	f.map_rev = m->map.rev;
	membership_send(m, FRAME_FETCH, &f.base);
}

static int owns_slot(const struct membership *m, uint32_t slot)
{
	return slot < m->map.slot_count && m->own.node_id &&
	       m->map.slots[slot].owner == m->own.node_id;
}

static void on_join_reply(struct membership *m, const Wire__JoinReply *r)
{
	int64_t now_ms = clk_ms();

	/*
	 * The coordinator recovers its state from a copy of the store. Another
	 * election would make its successor begin anew.
	 */
	if (r->error == ERR_NO_GRANT &&
	    own_member_observe_term(&m->own, r->term, now_ms)) {
		own_member_wait(&m->own);
		membership_note_coordinator_alive(m, now_ms);
		m->connect_failures = 0;
		if (!r->node_id)
			membership_drop_conn(m, "join_again");
		return;
	}
	if (r->error != ERR_OK) {
		log_warn("join_refused", "error=%s term=%llu",
			 err_name((enum err)r->error),
			 (unsigned long long)r->term);
		membership_drop_conn(m, "join_refused");
		m->connect_failures++;
		return;
	}
	if (!own_member_observe_term(&m->own, r->term, now_ms)) {
		membership_drop_conn(m, "old_term");
		m->connect_failures++;
		return;
	}
	m->joined = 1;
	m->connect_failures = 0;
	m->own.unanswered = 0;
	membership_note_coordinator_alive(m, now_ms);
	if (m->own.node_id != r->node_id)
		own_member_complete_join(&m->own, r->node_id, now_ms);
	else
		m->own.next_ask_ms = now_ms;
	log_info("joined", "id=%u term=%llu coordinator=%s", r->node_id,
		 (unsigned long long)r->term, m->coordinator.address);
	if (m->target_unsent)
		membership_send_target(m);
	if (m->leaving)
		membership_leave(m, m->leaving == 2);
}

static void on_doc_push(struct membership *m, const Wire__DocPush *p)
{
	struct doc_sections changes;
	enum err e;

	/* An older document never replaces a newer one. */
	if (p->rev <= m->doc_rev && guard_on(GUARD_REVISION))
		return;
	if (m->push_job.active && p->rev <= m->push_rev)
		return;
	if (p->base_rev && p->base_rev != m->doc_rev) {
		membership_send_fetch(m, "document_base");
		return;
	}
	e = doc_push_read_changes(p, &m->sections, &changes);
	if (e != ERR_OK) {
		log_error("document_not_read", "revision=%llu error=%s",
			  (unsigned long long)p->rev, err_name(e));
		doc_sections_finish(&changes);
		return;
	}
	m->push_rev = p->rev;
	doc_job_start(&m->push_job, &m->doc, &m->sections, &changes);
}

void membership_on_push_read(enum err e, struct doc *d,
			     struct doc_sections *sections,
			     const struct buf *problems, void *priv)
{
	struct membership *m = priv;

	if (e != ERR_OK) {
		log_error("document_invalid", "revision=%llu problems=%s",
			  (unsigned long long)m->push_rev,
			  LOG_Q(problems->len ? (const char *)problems->data
					      : ""));
		return;
	}
	d->revision = m->push_rev;
	membership_set_document(m, d, sections);
}

/* An older document never replaces a newer one. */
void membership_set_document(struct membership *m, struct doc *doc,
			     struct doc_sections *sections)
{
	if (doc->revision <= m->doc_rev && guard_on(GUARD_REVISION)) {
		doc_finish(doc);
		doc_sections_finish(sections);
		return;
	}
	if (m->has_doc)
		doc_finish(&m->doc);
	doc_sections_finish(&m->sections);
	m->sections = *sections;
	m->doc = *doc;
	m->doc_rev = doc->revision;
	m->has_doc = 1;
	log_info("document_in_force", "revision=%llu sections=%zu",
		 (unsigned long long)m->doc_rev, m->sections.count);
	/* Asks at once, so that the coordinator learns the revision. */
	m->own.next_ask_ms = m->own.node_id ? clk_ms() : INT64_MAX;
	membership_notify_changed(m);
}

const struct doc_sections *membership_document(const struct membership *m,
					       const struct doc **doc,
					       uint64_t *rev)
{
	*doc = &m->doc;
	*rev = m->doc_rev;
	return m->has_doc ? &m->sections : NULL;
}

/*
 * Writes the slots that this node gets by the change, which is not applied yet,
 * to a list that the caller frees, and their number to count. Slots that the
 * node has already are left out: a snapshot, too, names them, and what the node
 * has reported as released must not be served again. Returns NULL without
 * memory.
 */
static uint32_t *find_gained_slots(const struct membership *m,
				   const Wire__MapDelta *d, size_t *count)
{
	uint32_t *slots = calloc(d->n_slots + 1, sizeof(*slots));

	*count = 0;
	for (size_t i = 0; slots && i < d->n_slots; i++) {
		if (map_is_gain(&m->map, d->slots[i], m->own.node_id))
			slots[(*count)++] = d->slots[i]->slot;
	}
	return slots;
}

/*
 * Cancels releases after a new coordinator took over. It does not know which
 * slots this node released to its predecessor; the predecessor cannot write any
 * more, so this node keeps all slots that the new coordinator's map gives it.
 */
static void resume_after_takeover(struct membership *m)
{
	if (m->synced_term == m->own.term || m->map.rev < m->own.floor_rev)
		return;
	m->synced_term = m->own.term;
	for (uint32_t s = 0; s < m->map.slot_count; s++) {
		if (owns_slot(m, s))
			m->config.ops->release_cancel(s, m->config.priv);
	}
}

static void on_map_push(struct membership *m, const Wire__MapDelta *d)
{
	uint32_t *gained;
	size_t gained_count;
	enum err e;

	if (d->term < m->own.term) {
		membership_drop_conn(m, "old_term");
		return;
	}
	/* An empty change says that this map is up to date. */
	if (d->base_rev && d->base_rev == d->rev && d->rev == m->map.rev) {
		resume_after_takeover(m);
		return;
	}
	gained = find_gained_slots(m, d, &gained_count);
	e = gained ? map_apply(&m->map, d) : ERR_NOMEM;
	if (e == ERR_OK) {
		for (size_t i = 0; i < gained_count; i++)
			m->config.ops->slot_gained(gained[i], m->config.priv);
		resume_after_takeover(m);
		membership_notify_changed(m);
	} else if (e != ERR_STALE) {
		log_error("map_refused", "error=%s revision=%llu", err_name(e),
			  (unsigned long long)d->rev);
	} else if (d->rev > m->map.rev) {
		membership_send_fetch(m, "map_base");
	}
	free(gained);
}

static void note_release_seq(struct membership *m, uint64_t term, uint64_t seq)
{
	m->release_term = term;
	m->release_seq = seq;
}

static void on_release(struct membership *m, const Wire__Release *r)
{
	if (r->term < m->own.term)
		return;
	/*
	 * The map at map_rev may have moved keys between pins and shards. With
	 * an older map, the release would miss such a key.
	 */
	if (m->map.rev < r->map_rev) {
		membership_send_fetch(m, "release_before_map");
		return;
	}
	note_release_seq(m, r->term, r->seq);
	for (size_t i = 0; i < r->n_slots; i++) {
		if (owns_slot(m, r->slots[i]))
			m->config.ops->release(r->slots[i], m->config.priv);
	}
}

static void on_release_cancel(struct membership *m,
			      const Wire__ReleaseCancel *r)
{
	if (r->term < m->own.term)
		return;
	note_release_seq(m, r->term, r->seq);
	for (size_t i = 0; i < r->n_slots; i++) {
		if (owns_slot(m, r->slots[i]))
			m->config.ops->release_cancel(r->slots[i],
						      m->config.priv);
	}
}

static void send_map(struct membership *m)
{
	Wire__MapDelta *d = map_snapshot(&m->map);

	if (!d)
		return;
	d->term = m->map.term;
	membership_send(m, FRAME_MAP_PUSH, &d->base);
	map_delta_free(d);
}

/*
 * The coordinator asks for the document, which it cannot read itself. It can
 * lack changes of the map only if the store has lost them.
 */
static void on_fetch(struct membership *m, const Wire__Fetch *f)
{
	Wire__DocPush p;

	if (m->map.rev > f->map_rev)
		send_map(m);
	if (!m->has_doc || m->doc_rev <= f->doc_rev)
		return;
	if (doc_push_init(&p, m->sections.count) == ERR_OK &&
	    doc_push_add_all(&p, &m->sections) == ERR_OK) {
		p.term = m->own.term;
		p.rev = m->doc_rev;
		membership_send(m, FRAME_DOC_PUSH, &p.base);
	}
	doc_push_finish(&p);
}

static void on_leave_reply(struct membership *m, const Wire__LeaveReply *r)
{
	if (!r->done || !m->leaving)
		return;
	m->left = 1;
	m->config.ops->left(m->config.priv);
}

void membership_on_frame(struct membership *m, const struct frame *f)
{
	switch (f->type) {
	case FRAME_HELLO:
	case FRAME_PONG:
		break;
	case FRAME_JOIN_REPLY:
		on_join_reply(m, (const Wire__JoinReply *)f->msg);
		break;
	case FRAME_DOC_PUSH:
		on_doc_push(m, (const Wire__DocPush *)f->msg);
		break;
	case FRAME_MAP_PUSH:
		on_map_push(m, (const Wire__MapDelta *)f->msg);
		break;
	case FRAME_RELEASE:
		on_release(m, (const Wire__Release *)f->msg);
		break;
	case FRAME_RELEASE_CANCEL:
		on_release_cancel(m, (const Wire__ReleaseCancel *)f->msg);
		break;
	case FRAME_FETCH:
		on_fetch(m, (const Wire__Fetch *)f->msg);
		break;
	case FRAME_LEAVE_REPLY:
		on_leave_reply(m, (const Wire__LeaveReply *)f->msg);
		break;
	default:
		log_warn("frame_unexpected", "type=%s", frame_name(f->type));
		break;
	}
}
