#include "membership/coord_priv.h"
#include "common/clk.h"
#include "common/log.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/*
 * A store that was restored from a copy lacks the changes that it acknowledged
 * since the copy, and gives their revisions out again. A coordinator in office
 * has the whole state in memory and writes it to the store again. One that is
 * elected later reads the copy: by the lost changes, other nodes than the
 * owners in the copy may serve, so it waits until their grants have ended.
 * Meanwhile it takes over the map of a member that has a newer one.
 * Either writes one transaction with its record, the roster and a snapshot of
 * the map, which goes on from a revision above all that were given out.
 */

/* Deletions of old change records in the transaction, whose size is limited. */
#define RESTORE_MAX_DELETES 20
/* The record, "map/head" and the roster. */
#define RESTORE_OTHER_PUTS 3

/* What the store has, as far as the transaction depends on it. */
struct copy_state {
	int64_t coord_mod_revision;
	int64_t head_mod_revision;
	unsigned parts; /* of the snapshot of the map */
	const char *logs[RESTORE_MAX_DELETES];
	size_t log_count;
};

int co_is_recovering(const struct coord *c)
{
	return c->restore.active && c->restore.from_copy;
}

int co_note_era(struct coord *c, uint64_t era)
{
	if (!c->era || !era || era == c->era)
		return 0;
	if (c->phase == CO_ACTIVE && !c->restore.active) {
		log_warn("state_lost_by_store",
			 "term=%llu era=%llu before=%llu map_revision=%llu",
			 (unsigned long long)c->record.term,
			 (unsigned long long)era, (unsigned long long)c->era,
			 (unsigned long long)c->map.rev);
		cnt_add(c->config.cnt, "store_restores", "", 1);
		memset(&c->restore, 0, sizeof(c->restore));
		c->restore.active = 1;
	}
	return 1;
}

void co_recover(struct coord *c)
{
	log_warn("state_from_copy",
		 "term=%llu era=%llu map_revision=%llu nodes=%u",
		 (unsigned long long)c->record.term, (unsigned long long)c->era,
		 (unsigned long long)c->map.rev, HASH_COUNT(c->members));
	cnt_add(c->config.cnt, "store_restores", "", 1);
	memset(&c->restore, 0, sizeof(c->restore));
	c->restore.active = 1;
	c->restore.from_copy = 1;
	/*
	 * Nodes that joined since the copy are not in its roster. They join
	 * again; their ids must not be those of other nodes meanwhile.
	 */
	c->next_id += CO_RECOVERY_IDS *
		      (uint32_t)g_random_int_range(1, CO_RECOVERY_ID_STEPS);
	own_coord_begin_recovery(&c->own);
}

int co_may_add_recovering(struct coord *c)
{
	if (clk_ms() < c->elected_ms + CO_ADOPT_MAP_MS)
		return 0;
	c->restore.has_new_nodes = 1;
	return 1;
}

/*
 * Fetches the map of a member that has a newer one than the copy. Once there is
 * none any more, the roster is the newest that is known.
 */
static void fetch_map(struct coord *c, int64_t now_ms)
{
	Wire__Fetch f = WIRE__FETCH__INIT;
	struct co_member *m, *tmp, *newest = NULL;

	HASH_ITER(hh, c->members, m, tmp) {
		if (m->conn && m->join == CO_JOIN_DONE &&
		    (!newest || m->map_rev > newest->map_rev))
			newest = m;
	}
	if (!newest)
		return;
	if (newest->map_rev <= c->map.rev) {
		if (now_ms >= c->elected_ms + CO_ADOPT_MAP_MS)
			own_coord_confirm_roster(&c->own);
		return;
	}
	if (now_ms < c->restore.fetch_at_ms)
		return;
	c->restore.fetch_at_ms = now_ms + CO_DOC_FETCH_RETRY_MS;
	log_info("map_fetch", "from=%s revision=%llu has_revision=%llu",
		 LOG_Q(newest->info->name), (unsigned long long)newest->map_rev,
		 (unsigned long long)c->map.rev);
	f.doc_rev = c->doc_rev;
	f.map_rev = c->map.rev;
	co_send(newest, FRAME_FETCH, &f.base);
}

/*
 * Returns 1 if the map gives a node that has joined another id than it has by
 * the roster of the copy.
 */
static int conflicts_with_members(const struct coord *c, const struct map *map)
{
	struct map_node *n, *tmp;

	HASH_ITER(hh, map->nodes, n, tmp) {
		const struct co_member *m =
			co_member_find_name(c, n->info->name);

		if (m && m->id != n->id && m->conn)
			return 1;
	}
	return 0;
}

/* Makes the roster that of the map: both are written together. */
static void adopt_members(struct coord *c)
{
	struct co_member *m, *tmp;
	struct map_node *n, *next;

	HASH_ITER(hh, c->members, m, tmp) {
		if (map_find_node(&c->map, m->id))
			continue;
		m->dirty = 1;
		if (m->conn)
			own_coord_exclude_inherited(&c->own, m->id);
		else if (own_coord_drop_inherited(&c->own, m->id))
			co_member_remove(c, m);
	}
	HASH_ITER(hh, c->map.nodes, n, next) {
		m = co_member_find(c, n->id);
		if (!m)
			co_member_add(c, n->info);
		else if (!m->conn)
			co_member_set_info(m, n->info);
		c->next_id = MAX(c->next_id, n->id + 1);
		own_coord_correct_inherited(&c->own, n->id,
					    n->info->incarnation);
	}
}

/* What was decided by the map of the copy is void. */
static void reset_slots(struct coord *c)
{
	for (size_t i = 0; i < c->slot_count; i++) {
		c->slots[i].releasing = 0;
		c->slots[i].released = 0;
		c->slots[i].changing = 0;
		c->slots[i].new_owner = 0;
	}
	c->queue.slot_count = 0;
}

void co_adopt_map(struct coord *c, const struct co_member *m,
		  const Wire__MapDelta *d)
{
	uint64_t before = c->map.rev;
	struct map map;
	enum err e;

	if (!co_is_recovering(c) || d->base_rev || d->rev <= c->map.rev)
		return;
	map_init(&map);
	e = map_apply(&map, d);
	if (e == ERR_OK && !co_slots_reserve(c, map.slot_count))
		e = ERR_NOMEM;
	if (e == ERR_OK && (c->restore.in_flight || c->restore.has_new_nodes ||
			    conflicts_with_members(c, &map)))
		e = ERR_CONFLICT;
	if (e != ERR_OK) {
		log_warn("map_not_adopted", "error=%s from=%s revision=%llu",
			 err_name(e), LOG_Q(m->info->name),
			 (unsigned long long)d->rev);
		map_finish(&map);
		return;
	}
	map_finish(&c->map);
	c->map = map;
	reset_slots(c);
	adopt_members(c);
	log_info("map_adopted", "from=%s revision=%llu before=%llu nodes=%u",
		 LOG_Q(m->info->name), (unsigned long long)c->map.rev,
		 (unsigned long long)before, HASH_COUNT(c->members));
}

static void retry_later(struct coord *c)
{
	c->restore.in_flight = 0;
	c->restore.retry_at_ms = clk_ms() + CO_RETRY_MS;
}

/* Gives all slots new fences, since those in the copy may have been passed. */
static void renew_fences(struct coord *c)
{
	for (uint32_t s = 0; s < c->map.slot_count; s++)
		c->map.slots[s].fence = c->restore.rev;
	reset_slots(c);
}

static void send_maps(struct coord *c)
{
	struct co_member *m, *tmp;

	HASH_ITER(hh, c->members, m, tmp) {
		if (m->conn && m->join == CO_JOIN_DONE)
			co_sync_member(c, m);
	}
}

/* Tells the members the new revision of a map that is the same otherwise. */
static void push_revision(struct coord *c, uint64_t base_rev)
{
	Wire__MapDelta d = WIRE__MAP_DELTA__INIT;

	d.term = c->record.term;
	d.base_rev = base_rev;
	d.rev = c->map.rev;
	co_push_map(c, &d);
}

static void finish_restore(struct coord *c, int64_t revision, int64_t asked_ms)
{
	struct co_restore *r = &c->restore;
	uint64_t base_rev = c->map.rev;
	int from_copy = r->from_copy;

	c->record.mod_revision = revision;
	c->head_mod_revision = revision;
	c->era = r->era;
	c->record.state_era = r->era;
	c->snapshot_parts = r->parts;
	c->log_records = 0;
	c->live_lease = 0;
	c->live_at_ms = 0;
	if (from_copy)
		renew_fences(c);
	c->map.rev = r->rev;
	c->map.term = c->record.term;
	r->active = 0;
	own_coord_extend_authority(&c->own, asked_ms);
	log_info(
		"state_written_again",
		"term=%llu era=%llu from_copy=%d map_revision=%llu before=%llu",
		(unsigned long long)c->record.term, (unsigned long long)c->era,
		from_copy, (unsigned long long)c->map.rev,
		(unsigned long long)base_rev);
	if (from_copy) {
		own_coord_end_recovery(&c->own, c->map.rev, clk_ms());
		send_maps(c);
	} else {
		/* It may have got marks that are not due. */
		c->queue.roster_due = 1;
		push_revision(c, base_rev);
	}
	c->placement_due = 1;
}

static void on_restore_written(enum err e, int64_t revision, void *priv)
{
	int64_t asked_ms;
	struct coord *c = co_call_end(priv, &asked_ms, NULL);

	if (!c)
		return;
	if (e == ERR_TOO_LARGE) {
		co_step_down(c, "write_too_large");
		return;
	}
	/* Unless it succeeded, the state of the store is read again. */
	if (e != ERR_OK || c->config.store->era != c->restore.era) {
		log_warn("store_write_failed", "error=%s revision=%llu",
			 err_name(e), (unsigned long long)c->restore.rev);
		retry_later(c);
		return;
	}
	c->restore.in_flight = 0;
	finish_restore(c, revision, asked_ms);
}

/* Encodes the map at the revision under which it is written. */
static uint8_t *encode_map(struct coord *c, size_t *len)
{
	Wire__MapDelta *d = map_snapshot(&c->map);
	uint8_t *bytes;

	if (!d)
		return NULL;
	d->rev = c->restore.rev;
	d->term = c->record.term;
	for (size_t i = 0; c->restore.from_copy && i < d->n_slots; i++)
		d->slots[i]->fence = d->rev;
	*len = wire__map_delta__get_packed_size(d);
	bytes = malloc(*len ? *len : 1);
	if (bytes)
		wire__map_delta__pack(d, bytes);
	map_delta_free(d);
	return bytes;
}

/* The encoded state, its keys and the transaction's puts. */
struct state_write {
	struct buf record;
	uint8_t *roster;
	size_t roster_len;
	uint8_t *map;
	size_t map_len;
	char attempt[CO_ATTEMPT_BYTES];
	struct store_put *puts;
	char (*keys)[CO_KEY_BYTES];
	size_t count;
};

static void add_put(const struct coord *c, struct state_write *w,
		    const char *name, const void *value, size_t len)
{
	struct store_put *p = &w->puts[w->count];

	co_store_key(c, w->keys[w->count], CO_KEY_BYTES, name);
	p->key = w->keys[w->count];
	p->value = value;
	p->value_len = len;
	w->count++;
}

static void add_map_puts(struct coord *c, struct state_write *w,
			 const struct copy_state *s)
{
	for (size_t i = 0; i < c->restore.parts || i < s->parts; i++) {
		size_t at = i * CO_SNAPSHOT_PART_BYTES;
		size_t left = i < c->restore.parts ? w->map_len - at : 0;
		char name[64];

		snprintf(name, sizeof(name), "map/snap/%04zu", i);
		add_put(c, w, name, left ? w->map + at : NULL,
			MIN(left, CO_SNAPSHOT_PART_BYTES));
	}
	for (size_t i = 0; i < s->log_count; i++)
		w->puts[w->count++].key = s->logs[i];
}

static enum err encode_state(struct coord *c, struct state_write *w,
			     const struct copy_state *s)
{
	struct record record = c->record;
	size_t max;

	record.state_era = c->restore.era;
	w->roster = co_encode_roster(c, &w->roster_len);
	w->map = encode_map(c, &w->map_len);
	if (!w->roster || !w->map || record_write(&record, &w->record))
		return ERR_NOMEM;
	c->restore.parts =
		(unsigned)((w->map_len + CO_SNAPSHOT_PART_BYTES - 1) /
			   CO_SNAPSHOT_PART_BYTES);
	max = RESTORE_OTHER_PUTS + MAX(c->restore.parts, s->parts) +
	      s->log_count;
	w->puts = calloc(max, sizeof(*w->puts));
	w->keys = calloc(max, sizeof(*w->keys));
	if (!w->puts || !w->keys)
		return ERR_NOMEM;
	co_new_attempt(c, w->attempt, sizeof(w->attempt));
	add_put(c, w, "coord", w->record.data, w->record.len);
	add_put(c, w, "map/head", w->attempt, strlen(w->attempt));
	add_put(c, w, "roster", w->roster, w->roster_len);
	add_map_puts(c, w, s);
	return ERR_OK;
}

static void state_write_finish(struct state_write *w)
{
	buf_finish(&w->record);
	free(w->roster);
	free(w->map);
	free(w->puts);
	free(w->keys);
}

static void write_state(struct coord *c, const struct copy_state *s)
{
	struct store *store = c->config.store;
	struct state_write w = { 0 };
	struct store_compare compares[2];
	struct co_call *call;

	buf_init(&w.record);
	c->restore.rev = MAX(c->map.rev + 1, store->ops->number_floor(store));
	call = co_call_new(c, 0);
	if (!call || encode_state(c, &w, s) != ERR_OK) {
		log_error("state_encode_failed", "map_revision=%llu",
			  (unsigned long long)c->map.rev);
		if (call)
			co_call_end(call, NULL, NULL);
		retry_later(c);
	} else {
		compares[0].key = w.keys[0];
		compares[0].mod_revision = s->coord_mod_revision;
		compares[1].key = w.keys[1];
		compares[1].mod_revision = s->head_mod_revision;
		store->ops->txn(store, compares, 2, w.puts, w.count,
				on_restore_written, call);
	}
	state_write_finish(&w);
}

/*
 * Returns 0 if the record belongs to a later coordinator. That of an earlier
 * one came back with the copy and is replaced.
 */
static int may_replace(const struct coord *c, const struct store_kv *kv)
{
	struct record found;

	if (record_parse(&found, kv->value, kv->value_len) != ERR_OK) {
		log_error("record_malformed", "key=%s", kv->key);
		return 1;
	}
	return found.term < c->record.term ||
	       record_same_writer(&found, &c->record);
}

static int has_prefix(const char *key, const char *prefix)
{
	return strncmp(key, prefix, strlen(prefix)) == 0;
}

/* Returns 0 if a later coordinator has been elected. */
static int read_copy(const struct coord *c, const struct store_range *r,
		     struct copy_state *s)
{
	char coord[CO_KEY_BYTES], head[CO_KEY_BYTES];
	char snap[CO_KEY_BYTES], log[CO_KEY_BYTES];

	memset(s, 0, sizeof(*s));
	co_store_key(c, coord, sizeof(coord), "coord");
	co_store_key(c, head, sizeof(head), "map/head");
	co_store_key(c, snap, sizeof(snap), "map/snap/");
	co_store_key(c, log, sizeof(log), "map/log/");
	for (size_t i = 0; i < r->count; i++) {
		const struct store_kv *kv = &r->kvs[i];

		if (strcmp(kv->key, coord) == 0) {
			if (!may_replace(c, kv))
				return 0;
			s->coord_mod_revision = kv->mod_revision;
		} else if (strcmp(kv->key, head) == 0) {
			s->head_mod_revision = kv->mod_revision;
		} else if (has_prefix(kv->key, snap)) {
			s->parts++;
		} else if (has_prefix(kv->key, log) &&
			   s->log_count < RESTORE_MAX_DELETES) {
			s->logs[s->log_count++] = kv->key;
		}
	}
	return 1;
}

static void on_copy_read(enum err e, const struct store_range *r, void *priv)
{
	struct coord *c = co_call_end(priv, NULL, NULL);
	struct copy_state s;

	if (!c)
		return;
	if (e != ERR_OK) {
		retry_later(c);
		return;
	}
	if (!read_copy(c, r, &s)) {
		co_step_down(c, "record_replaced");
		return;
	}
	c->restore.era = r->era;
	write_state(c, &s);
}

void co_restore_tick(struct coord *c, int64_t now_ms)
{
	struct co_restore *r = &c->restore;
	struct store *store = c->config.store;
	struct co_call *call;

	if (r->from_copy && now_ms >= r->defer_at_ms) {
		r->defer_at_ms = now_ms + CO_DEFER_JOINS_MS;
		co_defer_joins(c);
	}
	if (r->from_copy)
		fetch_map(c, now_ms);
	if (r->in_flight || now_ms < r->retry_at_ms || !co_write_abandon(c))
		return;
	if (r->from_copy && !own_coord_is_recovered(&c->own, now_ms))
		return;
	/* A successor whose record the store has lost may have moved slots. */
	if (!r->from_copy && !own_coord_is_in_office(&c->own, now_ms)) {
		co_step_down(c, "state_may_be_old");
		return;
	}
	call = co_call_new(c, 0);
	if (!call)
		return;
	r->in_flight = 1;
	store->ops->range(store, c->config.settings->store_prefix, 1,
			  on_copy_read, call);
}
