#include "membership/coord_priv.h"
#include "common/clk.h"
#include "common/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Loads the state of a newly elected coordinator: reads all keys under the
 * prefix at one revision of the store.
 */

static int has_prefix(const char *key, const char *prefix)
{
	return strncmp(key, prefix, strlen(prefix)) == 0;
}

/* Returns why the entry cannot be a node of the roster; NULL if it can. */
static const char *check_roster_entry(const struct coord *c,
				      const Wire__RosterEntry *entry)
{
	if (!entry->node)
		return "no_node";
	if (!entry->node->id || !entry->node->name[0])
		return "no_id_or_name";
	/* It would count twice in the majorities of holds. */
	if (co_member_find(c, entry->node->id))
		return "id_twice";
	return NULL;
}

static enum err load_roster(struct coord *c, const struct store_kv *kv)
{
	Wire__Roster *r = wire__roster__unpack(NULL, kv->value_len, kv->value);
	enum err e = ERR_OK;

	if (!r)
		return ERR_MALFORMED;
	c->next_id = r->next_id;
	for (size_t i = 0; i < r->n_entries; i++) {
		const Wire__RosterEntry *entry = r->entries[i];
		const char *problem = check_roster_entry(c, entry);
		struct co_member *m;

		/*
		 * A coordinator without part of the roster would give away what
		 * the missing nodes still serve.
		 */
		if (problem) {
			log_warn("roster_malformed",
				 "key=%s entry=%zu reason=%s", LOG_Q(kv->key),
				 i, problem);
			e = ERR_MALFORMED;
			break;
		}
		m = co_member_add(c, entry->node);
		if (!m) {
			e = ERR_NOMEM;
			break;
		}
		m->join = CO_JOIN_DONE;
		/* set_floors fills in the floor once the map is loaded. */
		own_coord_add_inherited(&c->own, m->id,
					entry->node->incarnation, 0,
					entry->maybe_held);
	}
	wire__roster__free_unpacked(r, NULL);
	return e;
}

static enum err apply_packed_delta(struct coord *c, const uint8_t *data,
				   size_t len)
{
	Wire__MapDelta *d = wire__map_delta__unpack(NULL, len, data);
	enum err e;

	if (!d)
		return ERR_MALFORMED;
	e = map_apply(&c->map, d);
	if (e == ERR_OK) {
		co_history_add(c, d);
		co_recent_add(c, d, data, len);
	}
	/* Change records older than the snapshot may not be deleted yet. */
	if (e == ERR_STALE && d->rev <= c->map.rev)
		e = ERR_OK;
	wire__map_delta__free_unpacked(d, NULL);
	return e;
}

/*
 * Returns 1 if the key is the prefix and a number of at least so many digits,
 * as the coordinator writes it. Other keys under the prefix are not part of the
 * map.
 */
static int is_numbered_key(const char *key, const char *prefix, size_t digits)
{
	const char *number;

	if (!has_prefix(key, prefix))
		return 0;
	number = key + strlen(prefix);
	if (strlen(number) >= digits &&
	    !number[strspn(number, "0123456789abcdef")])
		return 1;
	log_warn("map_key_unknown", "key=%s", LOG_Q(key));
	return 0;
}

/*
 * Applies the snapshot, then the change records. The parts of a snapshot are
 * written in one transaction; concatenated, they are one encoded delta.
 */
static enum err load_map(struct coord *c, const struct store_range *r)
{
	char snap[128], log[128], head[128];
	struct buf bytes;
	enum err e = ERR_OK;

	co_store_key(c, snap, sizeof(snap), "map/snap/");
	co_store_key(c, log, sizeof(log), "map/log/");
	buf_init(&bytes);
	c->snapshot_parts = 0;
	c->log_records = 0;
	for (size_t i = 0; i < r->count && e == ERR_OK; i++) {
		if (!is_numbered_key(r->kvs[i].key, snap, 4))
			continue;
		c->snapshot_parts++;
		e = buf_add(&bytes, r->kvs[i].value, r->kvs[i].value_len);
	}
	if (e == ERR_OK && bytes.len)
		e = apply_packed_delta(c, bytes.data, bytes.len);
	co_store_key(c, head, sizeof(head), "map/head");
	c->head_mod_revision = 0;
	for (size_t i = 0; i < r->count && e == ERR_OK; i++) {
		if (strcmp(r->kvs[i].key, head) == 0)
			c->head_mod_revision = r->kvs[i].mod_revision;
		if (!is_numbered_key(r->kvs[i].key, log, 16))
			continue;
		c->log_records++;
		e = apply_packed_delta(c, r->kvs[i].value, r->kvs[i].value_len);
	}
	buf_finish(&bytes);
	return e;
}

/* The map describes a node more recently than the roster does. */
static void update_member_infos(struct coord *c)
{
	struct co_member *m, *tmp;

	HASH_ITER(hh, c->members, m, tmp) {
		const struct map_node *n = map_find_node(&c->map, m->id);

		if (n && n->info->incarnation == m->info->incarnation)
			co_member_set_info(m, n->info);
	}
}

static void set_floors(struct coord *c)
{
	struct own_peer *p, *tmp;

	HASH_ITER(hh, c->own.peers, p, tmp) {
		p->floor_rev = c->map.rev;
	}
}

static enum err load_range(struct coord *c, const struct store_range *r)
{
	char key[128];
	enum err e;

	co_store_key(c, key, sizeof(key), "coord");
	for (size_t i = 0; i < r->count; i++) {
		if (strcmp(r->kvs[i].key, key) == 0 &&
		    r->kvs[i].mod_revision != c->record.mod_revision)
			return ERR_CONFLICT;
	}
	co_store_key(c, key, sizeof(key), "roster");
	for (size_t i = 0; i < r->count; i++) {
		if (strcmp(r->kvs[i].key, key) != 0)
			continue;
		e = load_roster(c, &r->kvs[i]);
		if (e != ERR_OK)
			return e;
	}
	e = load_map(c, r);
	if (e != ERR_OK)
		return e;
	set_floors(c);
	update_member_infos(c);
	if (!co_slots_reserve(c, c->map.slot_count))
		return ERR_NOMEM;
	return co_doc_load(c, r);
}

static void on_loaded(enum err e, const struct store_range *r, void *priv)
{
	int64_t asked_ms;
	struct coord *c = co_call_end(priv, &asked_ms, NULL);

	if (!c)
		return;
	/* The term may have been given out since the copy. */
	if (e == ERR_OK && c->record.read_era && r->era != c->record.read_era) {
		co_step_down(c, "store_restored");
		return;
	}
	if (e == ERR_OK)
		e = load_range(c, r);
	if (e == ERR_TIMEOUT || e == ERR_STORE_DOWN) {
		if (own_coord_has_authority(&c->own, clk_ms()))
			co_load(c);
		else
			co_step_down(c, "store_down_while_loading");
		return;
	}
	if (e != ERR_OK) {
		log_error("load_failed", "error=%s", err_name(e));
		co_step_down(c, "load_failed");
		return;
	}
	own_coord_extend_authority(&c->own, asked_ms);
	c->era = r->era;
	c->phase = CO_ACTIVE;
	log_info("coordinator_active",
		 "term=%llu nodes=%u map_revision=%llu doc_revision=%llu",
		 (unsigned long long)c->record.term, HASH_COUNT(c->members),
		 (unsigned long long)c->map.rev,
		 (unsigned long long)c->doc_rev);
	if (c->recovery_due || c->record.state_era != c->era)
		co_recover(c);
	co_doc_start(c);
	co_services_update(c);
	co_member_tick(c, clk_ms());
}

void co_load(struct coord *c)
{
	struct co_call *call = co_call_new(c, 0);

	if (!call)
		return;
	c->config.store->ops->range(c->config.store,
				    c->config.settings->store_prefix, 1,
				    on_loaded, call);
}

void co_unload(struct coord *c)
{
	struct co_member *m, *tmp;
	struct co_service_stats *s, *next;

	HASH_ITER(hh, c->members, m, tmp) {
		co_member_remove(c, m);
	}
	HASH_ITER(hh, c->stats, s, next) {
		HASH_DEL(c->stats, s);
		free(s);
	}
	own_coord_finish(&c->own);
	map_finish(&c->map);
	map_init(&c->map);
	if (c->has_doc)
		doc_finish(&c->doc);
	c->has_doc = 0;
	doc_sections_finish(&c->sections);
	memset(&c->sections, 0, sizeof(c->sections));
	c->doc_rev = 0;
	free(c->slots);
	c->slots = NULL;
	c->slot_count = 0;
	c->next_id = 0;
	co_recent_finish(c);
	c->history_next = 0;
	c->history_count = 0;
}
