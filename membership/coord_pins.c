#include "membership/coord_place_priv.h"

#include <stdlib.h>
#include <string.h>

const struct doc_pin *pins_find_fixed(const struct doc_service *s,
				      const char *key)
{
	for (size_t i = 0; i < s->pin_count; i++) {
		if (strcmp(s->pins[i].key, key) == 0)
			return &s->pins[i];
	}
	return NULL;
}

/* Reuses a slot that no shard or pin uses any more, if there is one. */
static uint32_t free_pin_slot(const struct coord *c)
{
	for (uint32_t s = 0; s < c->map.slot_count; s++) {
		if (!map_service_of_slot(&c->map, s) && !c->slots[s].changing)
			return s;
	}
	return co_next_free_slot(c);
}

/*
 * A new pin gets the owner of the key's shard, and is added only while that
 * owner is not releasing the shard: with an older map, the owner would still
 * count the key as part of the shard.
 */
static void add_pin(struct coord *c, const struct place_input *in,
		    const struct hot_key *k)
{
	uint32_t shard = map_slot_of(&c->map, in->map, k->key, strlen(k->key));
	uint32_t slot;

	if (!place_is_settled(c, shard))
		return;
	slot = free_pin_slot(c);
	/* The shard must not move before the pin is in the map. */
	c->slots[shard].pinning = 1;
	co_queue_pin(c, slot, k->service, k->key, 0);
	co_queue_slot(c, slot, c->map.slots[shard].owner, "pin");
	if (slot < c->slot_count)
		c->slots[slot].load = k->load;
	c->slots[shard].load.load -= k->load.load;
	if (c->slots[shard].load.load < 0)
		c->slots[shard].load.load = 0;
}

static uint32_t shard_of_pin(const struct place_input *in,
			     const struct map_pin *pin)
{
	return in->map->first_slot +
	       (uint32_t)(pin->hash & (in->map->shards - 1));
}

/* Removes a pin if it has the owner of its shard, else moves it there first. */
static void drop_pin(struct coord *c, const struct place_input *in,
		     const struct map_pin *pin)
{
	uint32_t shard = shard_of_pin(in, pin);
	uint32_t owner = c->map.slots[shard].owner;

	if (!place_is_settled(c, shard) || !place_is_settled(c, pin->slot))
		return;
	if (c->map.slots[pin->slot].owner == owner) {
		co_queue_pin(c, pin->slot, pin->service, pin->key, 1);
		co_queue_slot(c, pin->slot, 0, "pin");
		return;
	}
	place_request_release(c, pin->slot, owner, "pin");
}

static size_t collect_keys(struct coord *c, const struct place_input *in,
			   struct hot_key **list, struct place_key *keys)
{
	struct placement_state *p = c->placement_state;
	struct hot_key *k, *tmp;
	size_t n = 0;

	HASH_ITER(hh, p->keys, k, tmp) {
		const struct map_pin *pin = map_find_pin(&c->map, k->hash);

		if (strcmp(k->service, in->doc->name) != 0)
			continue;
		memset(&keys[n], 0, sizeof(keys[n]));
		keys[n].hash = k->hash;
		keys[n].load = k->load.load;
		keys[n].pinned = pin != NULL;
		keys[n].fixed = pins_find_fixed(in->doc, k->key) != NULL;
		keys[n].cold_since_ms = k->cold_since_ms;
		list[n++] = k;
	}
	return n;
}

/* Keeps pinned keys in the table even if no node reports them. */
static void keep_pinned_keys(struct coord *c, const struct place_input *in,
			     int64_t now_ms)
{
	struct placement_state *p = c->placement_state;
	struct map_pin *pin, *tmp;

	HASH_ITER(hh, c->map.pins, pin, tmp) {
		if (strcmp(pin->service, in->doc->name) == 0)
			report_refresh_key(p, pin->service, pin->key, now_ms);
	}
	for (size_t i = 0; i < in->doc->pin_count; i++)
		report_refresh_key(p, in->doc->name, in->doc->pins[i].key,
				   now_ms);
}

void pins_update(struct coord *c, const struct place_input *in,
		 const struct place_policy *policy, int64_t now_ms)
{
	struct placement_state *p = c->placement_state;
	size_t max;
	struct hot_key **list;
	struct place_key *keys;
	struct place_pin *out;
	double load = 0;
	size_t eligible = 0;
	size_t count, n;

	keep_pinned_keys(c, in, now_ms);
	max = HASH_COUNT(p->keys) + 1;
	list = calloc(max, sizeof(struct hot_key *));
	keys = calloc(max, sizeof(*keys));
	out = calloc(max, sizeof(*out));
	if (!list || !keys || !out)
		goto done;
	for (size_t i = 0; i < in->slot_count; i++)
		load += in->slots[i].load;
	for (size_t i = 0; i < in->node_count; i++)
		eligible += in->nodes[i].eligible != 0;
	if (!eligible)
		goto done;
	count = collect_keys(c, in, list, keys);
	n = place_decide_pins(policy, load / (double)eligible, keys, count,
			      now_ms, out, max);
	for (size_t i = 0; i < count; i++)
		list[i]->cold_since_ms = keys[i].cold_since_ms;
	for (size_t i = 0; i < n; i++) {
		const struct hot_key *k = list[out[i].key];
		const struct map_pin *pin = map_find_pin(&c->map, k->hash);

		if (out[i].add && !pin)
			add_pin(c, in, k);
		else if (!out[i].add && pin)
			drop_pin(c, in, pin);
	}
done:
	free(list);
	free(keys);
	free(out);
}
