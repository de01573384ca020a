#include "membership/coord_priv.h"
#include "common/clk.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static int is_silent(const struct coord *c, const struct co_member *m)
{
	const struct own_peer *p = own_coord_find(&c->own, m->id);

	return !p || !p->heard ||
	       clk_ms() - p->heard_ms > c->own.times.grant_ms;
}

static const char *member_state(const struct coord *c,
				const struct co_member *m)
{
	if (m->lost)
		return "lost";
	if (co_is_draining(c, m) || m->leaving)
		return "draining";
	return is_silent(c, m) ? "silent" : "live";
}

/* Fills in the owned count of all members in one pass over the slots. */
static void count_owned(struct coord *c)
{
	struct co_member *m, *tmp;

	HASH_ITER(hh, c->members, m, tmp) {
		m->owned = 0;
	}
	for (uint32_t s = 0; s < c->map.slot_count; s++) {
		m = co_member_find(c, c->map.slots[s].owner);
		if (m)
			m->owned++;
	}
}

static json_t *member_json(const struct coord *c, const struct co_member *m)
{
	const struct own_peer *p = own_coord_find(&c->own, m->id);

	return json_pack(
		"{s:I,s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:s,s:I,s:I,s:I}", "id",
		(json_int_t)m->id, "name", m->info->name, "region",
		m->info->region, "data_centre", m->info->data_centre, "state",
		member_state(c, m), "maybe_held", p && p->maybe_held,
		"doc_revision", (json_int_t)m->doc_rev, "map_revision",
		(json_int_t)m->map_rev, "service",
		m->info->target ? m->info->target->service : "", "slots",
		(json_int_t)m->owned, "requests", (json_int_t)m->requests,
		"in_flight", (json_int_t)m->in_flight);
}

/*
 * Returns the number of shards by the document. It differs from the map's if
 * the document was changed after the service came into the map.
 */
static json_int_t document_shards(const struct coord *c,
				  const struct map_service *s)
{
	const struct doc_service *d =
		c->has_doc ? doc_find_service(&c->doc, s->name) : NULL;

	return d ? (json_int_t)d->shards : (json_int_t)s->shards;
}

static json_t *service_json(struct coord *c, const struct map_service *s)
{
	const struct co_service_stats *st = co_stats_get(c, s->name);
	json_int_t owned = 0;

	for (uint32_t i = 0; i < s->shards; i++) {
		uint32_t slot = s->first_slot + i;

		owned += slot < c->map.slot_count &&
			 co_member_find(c, c->map.slots[slot].owner) != NULL;
	}
	if (!st)
		return NULL;
	return json_pack(
		"{s:s,s:I,s:I,s:I,s:I,s:f,s:I,s:{s:I,s:I,s:I,s:I,s:I},s:I}",
		"name", s->name, "shards", (json_int_t)s->shards,
		"document_shards", document_shards(c, s), "owned", owned,
		"unowned", (json_int_t)s->shards - owned, "peak_to_mean",
		st->peak_to_mean, "moves", (json_int_t)st->moves,
		"moves_by_cause", "lost", (json_int_t)st->moves_lost, "drain",
		(json_int_t)st->moves_drain, "imbalance",
		(json_int_t)st->moves_imbalance, "pin",
		(json_int_t)st->moves_pin, "other", (json_int_t)st->moves_other,
		"unavailable_ms", (json_int_t)st->unavailable_ms);
}

static int has_text(const json_t *list, const char *text)
{
	size_t i;
	json_t *item;

	json_array_foreach((json_t *)list, i, item) {
		if (!strcmp(json_string_value(item), text))
			return 1;
	}
	return 0;
}

/* Returns the data centres of members that operators empty. */
static json_t *drained_json(const struct coord *c)
{
	json_t *list = json_array();
	struct co_member *m, *tmp;

	HASH_ITER(hh, c->members, m, tmp) {
		const char *name = m->info->data_centre;

		if (coord_data_centre_is_drained(c, name) &&
		    !has_text(list, name))
			json_array_append_new(list, json_string(name));
	}
	return list;
}

static enum err write_json(json_t *root, struct buf *out)
{
	char *text = json_dumps(root, JSON_COMPACT);
	enum err e;

	json_decref(root);
	if (!text)
		return ERR_NOMEM;
	e = buf_add(out, text, strlen(text));
	free(text);
	return e;
}

enum err coord_write_status(struct coord *c, struct buf *out)
{
	json_t *nodes, *services, *root;
	struct co_member *m, *tmp;

	if (c->phase != CO_ACTIVE)
		return ERR_NOT_FOUND;
	nodes = json_array();
	services = json_array();
	count_owned(c);
	HASH_ITER(hh, c->members, m, tmp) {
		json_array_append_new(nodes, member_json(c, m));
	}
	for (size_t i = 0; i < c->map.service_count; i++)
		json_array_append_new(services,
				      service_json(c, &c->map.services[i]));
	root = json_pack(
		"{s:I,s:s,s:I,s:I,s:b,s:I,s:o,s:o,s:o}", "term",
		(json_int_t)c->record.term, "coordinator",
		c->config.settings->name, "map_revision",
		(json_int_t)c->map.rev, "doc_revision", (json_int_t)c->doc_rev,
		"hold",
		c->own.phase == OWN_HOLDING || c->own.phase == OWN_RELEASING,
		"pins", (json_int_t)HASH_COUNT(c->map.pins), "nodes", nodes,
		"services", services, "drained_data_centres", drained_json(c));
	return root ? write_json(root, out) : ERR_NOMEM;
}

static json_t *history_json(const struct coord *c, uint32_t slot)
{
	json_t *list = json_array();
	size_t first = c->history_next - c->history_count;

	for (size_t i = first; i < c->history_next; i++) {
		const struct co_history_entry *h =
			&c->history[i % CO_HISTORY_ENTRIES];
		const struct co_member *m = co_member_find(c, h->owner);

		if (h->slot != slot)
			continue;
		json_array_append_new(
			list,
			json_pack("{s:I,s:I,s:I,s:s,s:s}", "revision",
				  (json_int_t)h->rev, "wall_ms",
				  (json_int_t)h->wall_ms, "owner_id",
				  (json_int_t)h->owner, "owner",
				  m ? m->info->name : "", "cause", h->cause));
	}
	return list;
}

static const char *placement_reason(const struct coord *c, uint32_t slot,
				    const struct co_member *m)
{
	const struct own_peer *p = m ? own_coord_find(&c->own, m->id) : NULL;

	if (!m)
		return "no node can serve it";
	if (m->lost)
		return "its owner is lost; the slot is being moved";
	if (p && (p->maybe_held || p->commit_sent))
		return "its owner may be in a hold; nothing moves";
	if (c->slots[slot].releasing)
		return "its owner is finishing requests before a move";
	if (c->slots[slot].released)
		return "released; waiting for the new owner";
	return "assigned";
}

enum err coord_write_explanation(struct coord *c, const char *service,
				 const char *key, struct buf *out)
{
	const struct map_service *s;
	const struct co_member *m;
	const struct map_pin *pin;
	uint32_t slot;
	json_t *root;

	if (c->phase != CO_ACTIVE)
		return ERR_NOT_FOUND;
	s = map_find_service(&c->map, service);
	if (!s)
		return ERR_NO_SERVICE;
	slot = map_slot_of(&c->map, s, key, strlen(key));
	if (slot >= c->map.slot_count)
		return ERR_NOT_FOUND;
	pin = map_find_pin(&c->map, map_hash_key(service, key, strlen(key)));
	m = co_member_find(c, c->map.slots[slot].owner);
	root = json_pack("{s:s,s:s,s:I,s:b,s:s,s:s,s:I,s:b,s:s,s:o}", "service",
			 service, "key", key, "slot", (json_int_t)slot,
			 "pinned", pin != NULL, "owner", m ? m->info->name : "",
			 "owner_state", m ? member_state(c, m) : "none",
			 "fence", (json_int_t)c->map.slots[slot].fence,
			 "releasing", c->slots[slot].releasing, "why",
			 placement_reason(c, slot, m), "history",
			 history_json(c, slot));
	return root ? write_json(root, out) : ERR_NOMEM;
}

enum err coord_forget(struct coord *c, const char *node)
{
	struct co_member *m;

	if (c->phase != CO_ACTIVE)
		return ERR_STALE;
	m = co_member_find_name(c, node);
	if (!m)
		return ERR_NOT_FOUND;
	if (!m->lost && !is_silent(c, m))
		return ERR_CONFLICT;
	own_coord_forget(&c->own, m->id);
	m->restart_until_ms = 0;
	return ERR_OK;
}
