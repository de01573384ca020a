#include "membership/coord_place_priv.h"
#include "common/clk.h"

#include <stdlib.h>
#include <string.h>

#define HOT_KEYS_MAX 4096
#define HOT_KEY_KEEP_MS 60000
/* A rate computed over a shorter interval is too coarse. */
#define REPORT_MIN_MS 100

struct placement_state *placement_state_get(struct coord *c)
{
	if (!c->placement_state)
		c->placement_state = calloc(1, sizeof(struct placement_state));
	return c->placement_state;
}

void hot_key_free(struct placement_state *p, struct hot_key *k)
{
	HASH_DEL(p->keys, k);
	free(k->service);
	free(k->key);
	free(k);
}

static struct hot_key *get_key(struct placement_state *p, const char *service,
			       const char *key)
{
	uint64_t hash = map_hash_key(service, key, strlen(key));
	struct hot_key *k;

	HASH_FIND(hh, p->keys, &hash, sizeof(hash), k);
	if (k || HASH_COUNT(p->keys) >= HOT_KEYS_MAX)
		return k;
	k = calloc(1, sizeof(*k));
	if (!k)
		return NULL;
	k->hash = hash;
	k->service = strdup(service);
	k->key = strdup(key);
	HASH_ADD(hh, p->keys, hash, sizeof(k->hash), k);
	return k;
}

void report_refresh_key(struct placement_state *p, const char *service,
			const char *key, int64_t now_ms)
{
	struct hot_key *k = get_key(p, service, key);

	if (k)
		k->seen_ms = now_ms;
}

void report_expire_keys(struct placement_state *p, int64_t now_ms)
{
	struct hot_key *k, *tmp;

	HASH_ITER(hh, p->keys, k, tmp) {
		if (now_ms - k->seen_ms > HOT_KEY_KEEP_MS)
			hot_key_free(p, k);
	}
}

/* The load of a key that its node no longer reports decays to 0. */
static void update_key_loads(struct placement_state *p,
			     const struct co_member *m,
			     const Wire__LoadReport *r, double seconds,
			     int64_t now_ms)
{
	struct hot_key *k, *tmp;

	HASH_ITER(hh, p->keys, k, tmp)
		k->in_report = 0;
	for (size_t i = 0; i < r->n_keys; i++) {
		k = get_key(p, r->keys[i]->service, r->keys[i]->key);
		if (!k)
			continue;
		place_average_update(&k->load, r->keys[i]->requests / seconds,
				     seconds);
		k->seen_ms = now_ms;
		k->reporter = m->id;
		k->in_report = 1;
	}
	HASH_ITER(hh, p->keys, k, tmp) {
		if (k->reporter == m->id && !k->in_report)
			place_average_update(&k->load, 0, seconds);
	}
}

static void update_slot_loads(struct coord *c, struct co_member *m,
			      const Wire__LoadReport *r, double seconds)
{
	uint32_t *counts = calloc(c->map.slot_count + 1, sizeof(*counts));

	if (!counts)
		return;
	for (size_t i = 0; i < r->n_slots; i++) {
		if (r->slots[i]->slot >= c->map.slot_count)
			continue;
		counts[r->slots[i]->slot] = r->slots[i]->requests;
		m->requests += r->slots[i]->requests;
	}
	for (uint32_t s = 0; s < c->map.slot_count; s++) {
		if (c->map.slots[s].owner == m->id)
			place_average_update(&c->slots[s].load,
					     counts[s] / seconds, seconds);
	}
	free(counts);
}

static void update_target_report(struct co_member *m, const Wire__LoadReport *r)
{
	m->health.report.evidence = r->evidence;
	m->health.report.fail_rate = r->fail_rate;
	m->health.report.refuse_rate = r->refuse_rate;
	m->health.report.latency_us = r->answer_us;
	m->rate_limit_per_s = r->rate_limit > 0 ? r->rate_limit : 0;
}

void co_on_load_report(struct coord *c, struct co_member *m,
		       const Wire__LoadReport *r)
{
	struct placement_state *p = placement_state_get(c);
	double seconds = r->interval_ms / 1000.0;

	if (!p || r->interval_ms < REPORT_MIN_MS)
		return;
	m->in_flight = r->in_flight;
	update_target_report(m, r);
	update_slot_loads(c, m, r, seconds);
	update_key_loads(p, m, r, seconds, clk_ms());
}
