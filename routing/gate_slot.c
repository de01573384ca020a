#include "routing/gate_priv.h"
#include "common/clk.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Period at which pending releases check whether their slots are drained. */
#define GATE_RELEASE_CHECK_SECONDS 0.02
/* Keys in one report; a node may send at most 3 KB/s of control data. */
#define GATE_REPORT_KEYS 16

struct gate_slot *gate_slot_find(const struct gate *g, uint32_t slot)
{
	struct gate_slot *s;

	HASH_FIND(hh, g->slots, &slot, sizeof(slot), s);
	return s;
}

struct gate_slot *gate_slot_get_or_add(struct gate *g, uint32_t slot)
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

/* Frees a slot that has no requests and no release to keep track of. */
static void free_slot_if_unused(struct gate *g, struct gate_slot *s)
{
	if (s->in_flight || s->requests || s->releasing ||
	    s->may_start_until_ns > clk_ns())
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

int gate_slot_is_drained(const struct gate *g, uint32_t slot)
{
	const struct gate_slot *s = gate_slot_find(g, slot);

	return s && s->releasing && !s->in_flight &&
	       clk_ns() >= s->may_start_until_ns;
}

/*
 * Returns 1 if a release has no calls in flight and is not reported yet. It may
 * still have to wait for abandoned calls.
 */
static int awaits_release_report(const struct gate_slot *s)
{
	return s->releasing && !s->in_flight && !s->release_reported;
}

static int is_report_due(const struct gate_slot *s)
{
	return awaits_release_report(s) && clk_ns() >= s->may_start_until_ns;
}

static void start_release_timer(struct gate *g)
{
	if (ev_is_active(&g->release_timer))
		return;
	ev_timer_set(&g->release_timer, GATE_RELEASE_CHECK_SECONDS,
		     GATE_RELEASE_CHECK_SECONDS);
	ev_timer_start(g->loop, &g->release_timer);
}

static void report_if_drained(struct gate *g, struct gate_slot *s)
{
	if (!is_report_due(s)) {
		if (awaits_release_report(s))
			start_release_timer(g);
		return;
	}
	s->release_reported = 1;
	g->ops->released(s->slot, g->priv);
}

void gate_slot_call_ended(struct gate *g, uint32_t slot)
{
	struct gate_slot *s = gate_slot_find(g, slot);

	if (!s)
		return;
	s->in_flight--;
	report_if_drained(g, s);
}

void gate_slot_mark_abandoned(struct gate *g, uint32_t slot,
			      int64_t not_after_ns)
{
	struct gate_slot *s = gate_slot_find(g, slot);

	if (s && not_after_ns > s->may_start_until_ns)
		s->may_start_until_ns = not_after_ns;
}

/* Returns MAP_NO_SLOT if the map does not have the service any more. */
static uint32_t find_current_slot(const struct gate_call *c)
{
	const struct map *m = c->g->view->ops->map(c->g->view);
	const struct map_service *s = map_find_service(m, c->f->service);

	if (!s)
		return MAP_NO_SLOT;
	return map_slot_of(m, s, c->f->key, strlen(c->f->key));
}

/*
 * Assigns calls to the slots that their keys have in the current map. A pin
 * that was added or removed since a call was admitted moves its key to another
 * slot, and a slot is drained only if no call for any of its current keys is
 * in flight. Returns the number of calls that have moved.
 */
static unsigned update_call_slots(struct gate *g)
{
	struct gate_slot *from, *to;
	struct gate_call *c;
	unsigned moved = 0;
	uint32_t slot;

	DL_FOREACH(g->calls, c) {
		if (c->slot == MAP_NO_SLOT)
			continue;
		slot = find_current_slot(c);
		if (slot == c->slot || slot == MAP_NO_SLOT)
			continue;
		if (c->state == CALL_IN_FLIGHT) {
			from = gate_slot_find(g, c->slot);
			to = gate_slot_get_or_add(g, slot);
			if (!from || !to)
				continue;
			from->in_flight--;
			to->in_flight++;
		}
		c->slot = slot;
		moved++;
	}
	return moved;
}

static struct gate_call *find_queued_call(struct gate *g, uint32_t slot)
{
	struct gate_call *c;

	DL_FOREACH(g->calls, c) {
		if (c->slot == slot && c->item.state == ADMISSION_QUEUED)
			return c;
	}
	return NULL;
}

void gate_report_drained_slots(struct gate *g)
{
	size_t count = 0, max = HASH_COUNT(g->slots);
	uint32_t *slots = malloc((max + 1) * sizeof(*slots));
	struct gate_slot *s, *next;

	ev_timer_stop(g->loop, &g->release_timer);
	HASH_ITER(hh, g->slots, s, next) {
		if (awaits_release_report(s) && slots)
			slots[count++] = s->slot;
		else if (awaits_release_report(s))
			start_release_timer(g); /* without memory: later */
	}
	/* A report may end the release of another slot. */
	for (size_t i = 0; i < count; i++) {
		s = gate_slot_find(g, slots[i]);
		if (s)
			report_if_drained(g, s);
	}
	free(slots);
}

/*
 * A node releases thousands of slots at a time, so that the work for one must
 * not grow with their number.
 */
void gate_release(struct gate *g, uint32_t slot)
{
	struct gate_slot *s = gate_slot_get_or_add(g, slot);
	struct gate_call *c;
	unsigned moved;

	/* If memory runs out, the coordinator repeats its release request. */
	if (!s)
		return;
	s->releasing = 1;
	s->release_reported = 0;
	moved = update_call_slots(g);
	while ((c = find_queued_call(g, slot)))
		gate_call_fail(c, OUTCOME_NOT_RUN, ERR_RELEASING);
	/* Other slots may have been drained by moving their calls. */
	if (moved) {
		gate_report_drained_slots(g);
		return;
	}
	s = gate_slot_find(g, slot);
	if (s && !s->release_reported)
		report_if_drained(g, s);
}

static void end_release(struct gate *g, uint32_t slot)
{
	struct gate_slot *s = gate_slot_find(g, slot);

	if (!s)
		return;
	s->releasing = 0;
	s->release_reported = 0;
	free_slot_if_unused(g, s);
}

void gate_release_cancel(struct gate *g, uint32_t slot)
{
	end_release(g, slot);
}

void gate_slot_gained(struct gate *g, uint32_t slot)
{
	end_release(g, slot);
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
		free_slot_if_unused(g, s);
	}
}

static Wire__HotKey *new_hot_key(const struct hot_keys_entry *e)
{
	Wire__HotKey *k = malloc(sizeof(*k));

	if (!k)
		return NULL;
	wire__hot_key__init(k);
	k->service = strdup(e->service);
	k->key = strdup(e->key);
	/* Use the lower bound of the estimate: a rare key must not look hot. */
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
		Wire__HotKey *k = new_hot_key(top[i]);

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
		.in_flight = g->in_flight,
		.queued = g->admission.queued,
		.shed = g->shed,
		.latency_us = (uint32_t)hist_quantile(&g->latency, 0.5),
	};

	health_report(&g->health, clk_ms(), &s.target);
	gate_update_cold(g);
	s.rate_limit_per_s = admission_rate(&g->admission);
	g->shed = 0;
	hist_init(&g->latency);
	return s;
}
