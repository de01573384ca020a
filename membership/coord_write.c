#include "membership/coord_priv.h"
#include "common/clk.h"
#include "common/guard.h"
#include "common/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Writes the map and the roster to the store, one write at a time. Each is a
 * transaction that compares the revision of "coord" with that of this
 * coordinator's record, so that a deposed coordinator cannot write. While the
 * result is unknown, the same bytes are written again; the transaction also
 * compares the revision of "map/head", which each write replaces, so that a
 * write takes effect only once.
 */

static void clear_write(struct co_write *w)
{
	if (w->delta)
		wire__map_delta__free_unpacked(w->delta, NULL);
	free(w->delta_bytes);
	free(w->roster_bytes);
	memset(w, 0, sizeof(*w));
}

void co_write_finish(struct coord *c)
{
	co_queue_finish(&c->queue);
	clear_write(&c->write);
}

/* ---- result ---- */

struct co_service_stats *co_stats_get(struct coord *c, const char *service)
{
	struct co_service_stats *s;

	HASH_FIND_STR(c->stats, service, s);
	if (s)
		return s;
	s = calloc(1, sizeof(*s));
	if (!s)
		return NULL;
	snprintf(s->name, sizeof(s->name), "%s", service);
	HASH_ADD_STR(c->stats, name, s);
	return s;
}

static void count_move(struct coord *c, const struct co_slot_change *ch,
		       uint32_t old_owner, int64_t now_ms)
{
	const char *service = map_service_of_slot(&c->map, ch->slot);
	struct co_service_stats *s = service ? co_stats_get(c, service) : NULL;
	struct co_slot *slot = &c->slots[ch->slot];

	if (!s || !ch->owner)
		return;
	if (slot->unserved_since_ms) {
		int64_t gap_ms = now_ms - slot->unserved_since_ms;

		s->unavailable_ms += gap_ms;
		cnt_sample(c->config.cnt, "slot_unavailable_ms", "",
			   (uint64_t)gap_ms);
		slot->unserved_since_ms = 0;
	}
	if (!old_owner || old_owner == ch->owner)
		return;
	s->moves++;
	if (strcmp(ch->cause, "lost") == 0)
		s->moves_lost++;
	else if (strcmp(ch->cause, "drain") == 0)
		s->moves_drain++;
	else if (strcmp(ch->cause, "imbalance") == 0)
		s->moves_imbalance++;
	else if (strcmp(ch->cause, "pin") == 0)
		s->moves_pin++;
	else
		s->moves_other++;
}

void co_history_add(struct coord *c, const Wire__MapDelta *d)
{
	for (size_t i = 0; i < d->n_slots; i++) {
		struct co_history_entry *h =
			&c->history[c->history_next % CO_HISTORY_ENTRIES];

		h->rev = d->rev;
		h->wall_ms = d->wall_ms;
		h->slot = d->slots[i]->slot;
		h->owner = d->slots[i]->owner;
		snprintf(h->cause, sizeof(h->cause), "%s",
			 d->cause ? d->cause : "");
		c->history_next++;
		if (c->history_count < CO_HISTORY_ENTRIES)
			c->history_count++;
	}
}

/*
 * The first entries of the queue are the slots that were written; they stay
 * queued until the write ends.
 */
static void finish_slots(struct coord *c, int64_t now_ms,
			 const uint32_t *old_owners)
{
	struct co_queue *q = &c->queue;

	for (size_t i = 0; i < c->write.delta->n_slots; i++) {
		const struct co_slot_change *ch = &q->slots[i];
		struct co_slot *s = &c->slots[ch->slot];
		struct own_peer *p = own_coord_find(&c->own, old_owners[i]);

		count_move(c, ch, old_owners[i], now_ms);
		/*
		 * Moved without a release: the old owner must not serve by an
		 * older map than this one.
		 */
		if (p && !s->released)
			p->floor_rev = c->map.rev;
		s->released = 0;
		s->releasing = 0;
		s->changing = 0;
		s->new_owner = 0;
		s->handover[0] = 0;
	}
}

static void finish_members(struct coord *c)
{
	struct co_member *m, *tmp;

	HASH_ITER(hh, c->members, m, tmp) {
		if (m->removing) {
			log_info("node_removed", "name=%s id=%u",
				 LOG_Q(m->info->name), m->id);
			own_coord_remove(&c->own, m->id);
			if (m->departed)
				co_confirm_leave(m);
			co_member_remove(c, m);
		} else if (m->join == CO_JOIN_WRITING) {
			co_join_written(c, m);
		}
	}
}

/*
 * Removes the written entries from the front of the queue. Changes that were
 * queued during the write follow them and stay.
 */
static void remove_written(struct co_queue *q, size_t slots, size_t pins)
{
	for (size_t i = 0; i < pins; i++) {
		free(q->pins[i].service);
		free(q->pins[i].key);
	}
	q->slot_count -= slots;
	q->pin_count -= pins;
	if (q->slot_count)
		memmove(q->slots, q->slots + slots,
			q->slot_count * sizeof(*q->slots));
	if (q->pin_count)
		memmove(q->pins, q->pins + pins,
			q->pin_count * sizeof(*q->pins));
}

static void finish_change(struct coord *c)
{
	struct co_write *w = &c->write;
	uint32_t *old_owners = NULL;
	int64_t now_ms = clk_ms();
	enum err e;

	if (w->delta) {
		old_owners = calloc(w->delta->n_slots + 1, sizeof(uint32_t));
		for (size_t i = 0; old_owners && i < w->delta->n_slots; i++) {
			uint32_t s = w->delta->slots[i]->slot;

			if (s < c->map.slot_count)
				old_owners[i] = c->map.slots[s].owner;
		}
		e = map_apply(&c->map, w->delta);
		if (e != ERR_OK || !old_owners) {
			free(old_owners);
			log_error("map_apply_failed", "error=%s", err_name(e));
			co_step_down(c, "map_apply_failed");
			return;
		}
		c->log_records++;
		co_slots_reserve(c, c->map.slot_count);
		co_history_add(c, w->delta);
		co_recent_add(c, w->delta, w->delta_bytes, w->delta_len);
		finish_slots(c, now_ms, old_owners);
		co_push_map(c, w->delta);
		log_info("map_changed", "revision=%llu slots=%zu cause=%s",
			 (unsigned long long)c->map.rev, w->delta->n_slots,
			 LOG_Q(w->delta->cause));
		for (size_t i = 0; w->delta->n_pins && i < c->slot_count; i++)
			c->slots[i].pinning = 0;
		remove_written(&c->queue, w->delta->n_slots, w->delta->n_pins);
		free(old_owners);
	}
	if (w->has_marks)
		own_coord_finish_marks(&c->own);
	finish_members(c);
	c->placement_due = 1;
	clear_write(w);
}

static void finish_write(struct coord *c)
{
	struct co_write *w = &c->write;

	if (w->kind == CO_WRITE_CHANGE) {
		finish_change(c);
		return;
	}
	c->log_records -= w->deletes;
	c->snapshot_parts =
		(unsigned)((w->delta_len + CO_SNAPSHOT_PART_BYTES - 1) /
			   CO_SNAPSHOT_PART_BYTES);
	clear_write(w);
}

/* ---- sending ---- */

static void retry_later(struct coord *c)
{
	c->write.retry_at_ms = clk_ms() + CO_RETRY_MS;
}

static void log_key(const struct coord *c, uint64_t rev, char *key)
{
	char name[64];

	snprintf(name, sizeof(name), "map/log/%016llx",
		 (unsigned long long)rev);
	co_store_key(c, key, CO_KEY_BYTES, name);
}

/* "map/head" shows whether the write in flight took effect. */
static void on_read_back(enum err e, const struct store_range *r, void *priv)
{
	struct coord *c = co_call_end(priv, NULL, NULL);
	const struct store_kv *kv;
	int64_t mod_revision;

	if (!c)
		return;
	if (e != ERR_OK || co_note_era(c, r->era)) {
		retry_later(c);
		return;
	}
	kv = r->count ? &r->kvs[0] : NULL;
	mod_revision = kv ? kv->mod_revision : 0;
	if (mod_revision == c->head_mod_revision) {
		/*
		 * It had no effect. If that is because the coordinator record
		 * was replaced, the next confirmation finds out.
		 */
		retry_later(c);
		return;
	}
	if (!kv || kv->value_len != strlen(c->write.attempt) ||
	    memcmp(kv->value, c->write.attempt, kv->value_len) != 0) {
		co_step_down(c, "map_written_by_another");
		return;
	}
	c->head_mod_revision = mod_revision;
	finish_write(c);
}

static void read_back(struct coord *c)
{
	struct co_call *call = co_call_new(c, 0);
	char key[CO_KEY_BYTES];

	if (!call) {
		retry_later(c);
		return;
	}
	co_store_key(c, key, sizeof(key), "map/head");
	c->config.store->ops->range(c->config.store, key, 0, on_read_back,
				    call);
}

static void on_written(enum err e, int64_t revision, void *priv)
{
	int64_t asked_ms;
	struct coord *c = co_call_end(priv, &asked_ms, NULL);

	if (!c || !c->write.active)
		return;
	/* The write may have been lost again, or not. */
	if (co_note_era(c, c->config.store->era)) {
		retry_later(c);
		return;
	}
	if (e == ERR_OK) {
		/* The transaction compared the record, so it confirms it. */
		own_coord_extend_authority(&c->own, asked_ms);
		c->head_mod_revision = revision;
		finish_write(c);
		return;
	}
	cnt_add(c->config.cnt, "store_write_failures", "", 1);
	log_warn("store_write_failed", "error=%s revision=%llu", err_name(e),
		 (unsigned long long)c->map.rev + 1);
	c->write.may_have_run |= e == ERR_TIMEOUT;
	if (e == ERR_TOO_LARGE)
		co_step_down(c, "write_too_large");
	else if (e == ERR_CONFLICT || e == ERR_TIMEOUT)
		read_back(c);
	else
		retry_later(c);
}

/* The comparisons of a write's transaction, with their keys. */
struct write_conditions {
	char coord_key[CO_KEY_BYTES];
	char head_key[CO_KEY_BYTES];
	struct store_compare compares[2];
	size_t count;
};

static void fill_conditions(struct coord *c, struct write_conditions *g,
			    struct store_put *head)
{
	co_store_key(c, g->coord_key, sizeof(g->coord_key), "coord");
	co_store_key(c, g->head_key, sizeof(g->head_key), "map/head");
	g->compares[0].key = g->coord_key;
	g->compares[0].mod_revision = c->record.mod_revision;
	g->compares[1].key = g->head_key;
	g->compares[1].mod_revision = c->head_mod_revision;
	g->count = guard_on(GUARD_COMPARE) ? 2 : 0;
	memset(head, 0, sizeof(*head));
	head->key = g->head_key;
	head->value = (const uint8_t *)c->write.attempt;
	head->value_len = strlen(c->write.attempt);
}

static void send_change(struct coord *c, struct co_call *call)
{
	struct co_write *w = &c->write;
	char key[CO_KEY_BYTES], roster_key[CO_KEY_BYTES];
	struct store_put puts[3];
	struct write_conditions g;
	size_t n = 1;

	memset(puts, 0, sizeof(puts));
	fill_conditions(c, &g, &puts[0]);
	log_key(c, c->map.rev + 1, key);
	puts[n].key = key;
	puts[n].value = w->delta_bytes;
	puts[n++].value_len = w->delta_len;
	if (w->roster_bytes) {
		co_store_key(c, roster_key, sizeof(roster_key), "roster");
		puts[n].key = roster_key;
		puts[n].value = w->roster_bytes;
		puts[n++].value_len = w->roster_len;
	}
	c->config.store->ops->txn(c->config.store, g.compares, g.count, puts, n,
				  on_written, call);
}

/* Writes the parts of a snapshot and deletes change records that it covers. */
static void send_snapshot(struct coord *c, struct co_call *call)
{
	size_t parts = (c->write.delta_len + CO_SNAPSHOT_PART_BYTES - 1) /
		       CO_SNAPSHOT_PART_BYTES;
	size_t max = parts + c->snapshot_parts + CO_LOG_BEFORE_SNAPSHOT + 1;
	struct store_put *puts = calloc(max, sizeof(*puts));
	char(*keys)[CO_KEY_BYTES] = calloc(max, sizeof(*keys));
	struct write_conditions g;
	size_t n = 1;

	if (!puts || !keys) {
		co_call_end(call, NULL, NULL);
		retry_later(c);
		goto out;
	}
	fill_conditions(c, &g, &puts[0]);
	for (size_t i = 0; i < parts || i < c->snapshot_parts; i++, n++) {
		size_t at = i * CO_SNAPSHOT_PART_BYTES;
		size_t left = i < parts ? c->write.delta_len - at : 0;
		char name[64];

		snprintf(name, sizeof(name), "map/snap/%04zu", i);
		co_store_key(c, keys[n], sizeof(keys[n]), name);
		puts[n].key = keys[n];
		if (i >= parts)
			continue; /* deletes a part of the last snapshot */
		puts[n].value = c->write.delta_bytes + at;
		puts[n].value_len = left < CO_SNAPSHOT_PART_BYTES
					    ? left
					    : CO_SNAPSHOT_PART_BYTES;
	}
	/* Deletes the oldest records; the snapshot also covers the rest. */
	for (unsigned i = 0; i < c->write.deletes; i++, n++) {
		log_key(c, c->map.rev - c->log_records + 1 + i, keys[n]);
		puts[n].key = keys[n];
	}
	c->config.store->ops->txn(c->config.store, g.compares, g.count, puts, n,
				  on_written, call);
out:
	free(puts);
	free(keys);
}

static void send_write(struct coord *c)
{
	struct co_call *call = co_call_new(c, 0);

	c->write.retry_at_ms = 0;
	if (!call) {
		retry_later(c);
		return;
	}
	if (!guard_on(GUARD_PERSIST)) {
		co_call_end(call, NULL, NULL);
		finish_write(c);
		return;
	}
	if (c->write.kind == CO_WRITE_SNAPSHOT)
		send_snapshot(c, call);
	else
		send_change(c, call);
}

void co_new_attempt(struct coord *c, char *attempt, size_t size)
{
	snprintf(attempt, size, "%.40s/%016llx/%llu", c->config.settings->name,
		 (unsigned long long)c->config.incarnation,
		 (unsigned long long)++c->last_attempt);
}

static void begin_write(struct coord *c, enum co_write_kind kind)
{
	struct co_write *w = &c->write;

	w->active = 1;
	w->kind = kind;
	co_new_attempt(c, w->attempt, sizeof(w->attempt));
}

/*
 * Discards a change that does not apply to the map, since no later coordinator
 * could load the map if it were written. Placement decides again on what was
 * queued.
 */
static void discard_change(struct coord *c)
{
	struct co_member *m, *tmp;

	log_error("map_change_refused", "revision=%llu slots=%zu cause=%s",
		  (unsigned long long)c->map.rev, c->queue.slot_count,
		  LOG_Q(c->queue.cause));
	for (size_t i = 0; i < c->queue.slot_count; i++)
		c->slots[c->queue.slots[i].slot].changing = 0;
	HASH_ITER(hh, c->members, m, tmp) {
		m->removing = 0;
		m->dirty = 1;
		if (m->join == CO_JOIN_WRITING)
			m->join = CO_JOIN_QUEUED;
	}
	c->queue.slot_count = 0;
	c->queue.cause[0] = '\0';
	clear_write(&c->write);
	c->placement_due = 1;
}

int co_write_abandon(struct coord *c)
{
	struct co_write *w = &c->write;

	if (!w->active)
		return 1;
	if (!w->retry_at_ms)
		return 0;
	w->may_have_run = 0;
	if (w->kind == CO_WRITE_SNAPSHOT)
		clear_write(w);
	else
		co_write_requeue(c);
	return 1;
}

int co_write_requeue(struct coord *c)
{
	struct co_write *w = &c->write;
	struct co_queue *q = &c->queue;
	struct co_member *m, *tmp;

	if (!w->active || w->kind == CO_WRITE_SNAPSHOT)
		return 1;
	if (!w->retry_at_ms || w->may_have_run)
		return 0;
	if (w->delta) {
		q->services_due |= w->delta->n_services > 0;
		for (size_t i = 0; i < w->delta->n_nodes; i++) {
			m = co_member_find(c, w->delta->nodes[i]->id);
			if (m)
				m->dirty = 1;
		}
		if (w->delta->cause && !q->cause[0])
			snprintf(q->cause, sizeof(q->cause), "%s",
				 w->delta->cause);
	}
	q->roster_due |= w->roster_bytes != NULL;
	q->marks_due |= w->has_marks;
	HASH_ITER(hh, c->members, m, tmp) {
		if (m->join == CO_JOIN_WRITING)
			m->join = CO_JOIN_QUEUED;
	}
	clear_write(w);
	return 1;
}

static int is_urgent(const struct co_queue *q)
{
	return q->slot_count || q->pin_count || q->services_due ||
	       q->roster_due;
}

static void start_change(struct coord *c)
{
	struct co_write *w = &c->write;
	struct co_queue *q = &c->queue;
	int delta = q->slot_count || q->pin_count || q->services_due ||
		    q->roster_due || co_has_dirty_member(c);

	if (!delta)
		return;
	if (!is_urgent(q) && clk_ms() - c->last_change_ms < CO_BATCH_MS)
		return;
	c->last_change_ms = clk_ms();
	begin_write(c, CO_WRITE_CHANGE);
	w->has_marks = q->marks_due;
	co_build_delta(c);
	if (w->delta && map_check(&c->map, w->delta) != ERR_OK) {
		discard_change(c);
		return;
	}
	if (q->roster_due)
		co_build_roster(c);
	q->roster_due = 0;
	q->marks_due = 0;
	q->services_due = 0;
	q->cause[0] = '\0';
	send_write(c);
}

static void start_snapshot(struct coord *c)
{
	struct co_write *w = &c->write;
	Wire__MapDelta *d = map_snapshot(&c->map);

	if (!d)
		return;
	begin_write(c, CO_WRITE_SNAPSHOT);
	w->deletes = c->log_records < CO_LOG_BEFORE_SNAPSHOT
			     ? c->log_records
			     : CO_LOG_BEFORE_SNAPSHOT;
	w->delta_len = wire__map_delta__get_packed_size(d);
	w->delta_bytes = malloc(w->delta_len);
	if (w->delta_bytes)
		wire__map_delta__pack(d, w->delta_bytes);
	map_delta_free(d);
	send_write(c);
}

void co_write_tick(struct coord *c, int64_t now_ms)
{
	if (c->write.active) {
		if (c->write.retry_at_ms && now_ms >= c->write.retry_at_ms)
			send_write(c);
		return;
	}
	if (!own_coord_may_change(&c->own))
		return;
	co_build_removals(c);
	if (c->log_records >= CO_LOG_BEFORE_SNAPSHOT)
		start_snapshot(c);
	if (!c->write.active)
		start_change(c);
}
