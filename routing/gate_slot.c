#include "routing/gate_priv.h"
#include "common/clk.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Period at which releases that wait for a time are looked at. */
#define GATE_BUSY_SECONDS 0.02
/* Keys of one report; the design limits a node to 3 KB/s of control data. */
#define GATE_REPORT_KEYS 16

struct gate_slot *gate_slot_find(const struct gate *g, uint32_t slot)
{
	struct gate_slot *s;

	HASH_FIND(hh, g->slots, &slot, sizeof(slot), s);
	return s;
}

struct gate_slot *gate_slot_get(struct gate *g, uint32_t slot)
{
	struct gate_slot *s = gate_slot_find(g, slot);

	if (s)
		return s;
	s = calloc(1, sizeof(*s));
	if (!s)
		return NULL;
	s->slot = slot;
	HASH_ADD(hh, g->slots, slot, sizeof(s->slot), s);
	return s;
}

/* Forgets a slot about which there is nothing to say. */
static void put_slot(struct gate *g, struct gate_slot *s)
{
	if (s->in_flight || s->requests || s->releasing ||
	    s->busy_until_ns > clk_ns())
		return;
	HASH_DEL(g->slots, s);
	free(s);
}

void gate_slots_finish(struct gate *g)
{
	struct gate_slot *s, *next;

	HASH_ITER(hh, g->slots, s, next) {
		HASH_DEL(g->slots, s);
		free(s);
	}
}

int gate_slot_is_releasing(const struct gate *g, uint32_t slot)
{
	const struct gate_slot *s = gate_slot_find(g, slot);

	return s && s->releasing;
}

int gate_slot_is_empty(const struct gate *g, uint32_t slot)
{
	const struct gate_slot *s = gate_slot_find(g, slot);

	return s && s->releasing && !s->in_flight &&
	       clk_ns() >= s->busy_until_ns;
}

/* Only the time of what was given up is missing to the report, if anything. */
static int is_idle(const struct gate_slot *s)
{
	return s->releasing && !s->in_flight && !s->reported;
}

static int is_empty(const struct gate_slot *s)
{
	return is_idle(s) && clk_ns() >= s->busy_until_ns;
}

static void start_check(struct gate *g)
{
	if (ev_is_active(&g->busy))
		return;
	ev_timer_set(&g->busy, GATE_BUSY_SECONDS, GATE_BUSY_SECONDS);
	ev_timer_start(g->loop, &g->busy);
}

static void report_if_empty(struct gate *g, struct gate_slot *s)
{
	if (!is_empty(s)) {
		if (is_idle(s))
			start_check(g);
		return;
	}
	s->reported = 1;
	g->ops->released(s->slot, g->priv);
}

void gate_slot_ended(struct gate *g, uint32_t slot)
{
	struct gate_slot *s = gate_slot_find(g, slot);

	if (!s)
		return;
	s->in_flight--;
	report_if_empty(g, s);
}

void gate_slot_given_up(struct gate *g, uint32_t slot, int64_t not_after_ns)
{
	struct gate_slot *s = gate_slot_find(g, slot);

	if (s && not_after_ns > s->busy_until_ns)
		s->busy_until_ns = not_after_ns;
}

/* MAP_NO_SLOT if the map does not have the service any more. */
static uint32_t present_slot(const struct gate_call *c)
{
	const struct map *m = c->g->view->ops->map(c->g->view);
	const struct map_service *s = map_find_service(m, c->f->service);

	if (!s)
		return MAP_NO_SLOT;
	return map_slot_of(m, s, c->f->key, strlen(c->f->key));
}

/*
 * A pin that was added or removed since a call was admitted moves its key to
 * another slot. A slot is empty only if no call of any of its present keys is
 * in flight, so calls are counted to the slot that the map states now.
 */
static void move_calls(struct gate *g)
{
	struct gate_slot *from, *to;
	struct gate_call *c;
	uint32_t slot;

	DL_FOREACH(g->calls, c) {
		if (c->slot == MAP_NO_SLOT)
			continue;
		slot = present_slot(c);
		if (slot == c->slot || slot == MAP_NO_SLOT)
			continue;
		if (c->state == CALL_STARTED) {
			from = gate_slot_find(g, c->slot);
			to = gate_slot_get(g, slot);
			if (!from || !to)
				continue;
			from->in_flight--;
			to->in_flight++;
		}
		c->slot = slot;
	}
}

static struct gate_slot *find_empty(const struct gate *g)
{
	struct gate_slot *s, *next;

	HASH_ITER(hh, g->slots, s, next) {
		if (is_empty(s))
			return s;
	}
	return NULL;
}

static struct gate_call *find_queued_of(struct gate *g, uint32_t slot)
{
	struct gate_call *c;

	DL_FOREACH(g->calls, c) {
		if (c->slot == slot && c->item.state == ADMISSION_QUEUED)
			return c;
	}
	return NULL;
}

static int any_waits(const struct gate *g)
{
	const struct gate_slot *s, *next;

	HASH_ITER(hh, g->slots, s, next) {
		if (is_idle(s))
			return 1;
	}
	return 0;
}

void gate_slots_check(struct gate *g)
{
	struct gate_slot *s;

	while ((s = find_empty(g)))
		report_if_empty(g, s);
	if (any_waits(g))
		start_check(g);
	else
		ev_timer_stop(g->loop, &g->busy);
}

void gate_release(struct gate *g, uint32_t slot)
{
	struct gate_slot *s = gate_slot_get(g, slot);
	struct gate_call *c;

	/* Without memory nothing is released; the coordinator asks again. */
	if (!s)
		return;
	s->releasing = 1;
	s->reported = 0;
	move_calls(g);
	while ((c = find_queued_of(g, slot)))
		gate_call_fail(c, OUTCOME_NOT_RUN, ERR_RELEASING);
	/* Moved calls can have left other slots empty. */
	gate_slots_check(g);
}

static void take_work(struct gate *g, uint32_t slot)
{
	struct gate_slot *s = gate_slot_find(g, slot);

	if (!s)
		return;
	s->releasing = 0;
	s->reported = 0;
	put_slot(g, s);
}

void gate_release_cancel(struct gate *g, uint32_t slot)
{
	take_work(g, slot);
}

void gate_slot_gained(struct gate *g, uint32_t slot)
{
	take_work(g, slot);
}

static void report_slots(struct gate *g, Wire__LoadReport *r)
{
	struct gate_slot *s, *next;

	r->slots = calloc(HASH_COUNT(g->slots) + 1, sizeof(Wire__SlotLoad *));
	HASH_ITER(hh, g->slots, s, next) {
		Wire__SlotLoad *l = r->slots ? malloc(sizeof(*l)) : NULL;

		if (l && s->requests) {
			wire__slot_load__init(l);
			l->slot = s->slot;
			l->requests = s->requests;
			r->slots[r->n_slots++] = l;
		} else {
			free(l);
		}
		s->requests = 0;
		put_slot(g, s);
	}
}

static Wire__HotKey *hot_key(const struct hot_keys_entry *e)
{
	Wire__HotKey *k = malloc(sizeof(*k));

	if (!k)
		return NULL;
	wire__hot_key__init(k);
	k->service = strdup(e->service);
	k->key = strdup(e->key);
	/* The lower bound: a rare key must not look hot. */
	k->requests = (uint32_t)(e->count - e->error);
	if (k->service && k->key)
		return k;
	free(k->service);
	free(k->key);
	free(k);
	return NULL;
}

static void report_keys(struct gate *g, Wire__LoadReport *r)
{
	const struct hot_keys_entry *top[GATE_REPORT_KEYS];
	size_t n = hot_keys_top(&g->hot_keys, top, GATE_REPORT_KEYS);

	r->keys = calloc(n + 1, sizeof(Wire__HotKey *));
	for (size_t i = 0; r->keys && i < n; i++) {
		Wire__HotKey *k = hot_key(top[i]);

		if (k)
			r->keys[r->n_keys++] = k;
	}
	hot_keys_reset(&g->hot_keys);
}

void gate_take_load(struct gate *g, Wire__LoadReport *r)
{
	int64_t now = clk_ms();

	gate_load_report_free(r);
	report_slots(g, r);
	report_keys(g, r);
	r->interval_ms = (uint32_t)(now - g->load_since_ms);
	g->load_since_ms = now;
}

void gate_load_report_free(Wire__LoadReport *r)
{
	for (size_t i = 0; i < r->n_slots; i++)
		free(r->slots[i]);
	for (size_t i = 0; i < r->n_keys; i++) {
		free(r->keys[i]->service);
		free(r->keys[i]->key);
		free(r->keys[i]);
	}
	free(r->slots);
	free(r->keys);
	r->slots = NULL;
	r->n_slots = 0;
	r->keys = NULL;
	r->n_keys = 0;
}

struct gate_stats gate_take_stats(struct gate *g)
{
	struct gate_stats s = {
		.in_flight = g->started,
		.queued = g->admission.queued,
		.shed = g->shed,
		.latency_us = (uint32_t)hist_quantile(&g->latency, 0.5),
	};

	health_report(&g->health, clk_ms(), &s.target);
	g->shed = 0;
	hist_init(&g->latency);
	return s;
}
