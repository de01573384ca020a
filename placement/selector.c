#include "placement/selector.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/*
 * Round trips, and what the volume between data centres costs expressed as
 * time: requests leave their data centre when that saves more than this. A
 * second of waiting is worth about as much to a caller as 60 KB between
 * regions cost the operator.
 */
static const struct {
	double base_ms;
	double per_kb_ms;
} distances[SELECTOR_DISTANCES] = {
	[SELECTOR_SAME_VM] = { 0, 0 },
	[SELECTOR_SAME_DATA_CENTRE] = { 1, 0 },
	[SELECTOR_SAME_REGION] = { 15, 6 },
	[SELECTOR_OTHER_REGION] = { 35, 15 },
};

/* Latency of a target that has not answered yet. */
#define SELECTOR_LATENCY_MS 50.0
/* A reported load loses half of its weight in this time. */
#define SELECTOR_LOAD_HALF_MS 400.0
/* Weight of one outcome in the moving average of failures. */
#define SELECTOR_FAIL_WEIGHT 0.1
/* Failures are forgotten by half in this time, so that a target is retried. */
#define SELECTOR_FAIL_HALF_MS 2000.0
/* A failure costs the caller a retry or the whole request. */
#define SELECTOR_FAIL_MS 1500.0
/* A target without room, or one that cannot be reached, is left alone. */
#define SELECTOR_REFUSED_MS 30
#define SELECTOR_GONE_MS 400
/* A request that waits delays those that come after it, too. */
#define SELECTOR_QUEUE_FACTOR 3.0
/* Bodies above this tell what a line carries, smaller ones how long it is. */
#define SELECTOR_LARGE_BYTES 8192
/* Weight of one request in the averages of the way. */
#define SELECTOR_TRAVEL_WEIGHT 0.2
/* A slow line is forgotten by half in this time, so that it is tried again. */
#define SELECTOR_TRAVEL_HALF_MS 1500.0
/* A cold target is slow by about this factor. */
#define SELECTOR_COLD_FACTOR 2.0
/* Spread of the costs, so that ingresses do not all choose alike. */
#define SELECTOR_SPREAD 0.2

void selector_init(struct selector *c)
{
	memset(c, 0, sizeof(*c));
}

void selector_finish(struct selector *c)
{
	struct selector_target *t, *next;

	HASH_ITER(hh, c->targets, t, next) {
		HASH_DEL(c->targets, t);
		free(t);
	}
}

static struct selector_target *find(const struct selector *c, uint32_t id)
{
	struct selector_target *t;

	HASH_FIND(hh, c->targets, &id, sizeof(id), t);
	return t;
}

static struct selector_target *get(struct selector *c, uint32_t id)
{
	struct selector_target *t = find(c, id);

	if (t)
		return t;
	t = calloc(1, sizeof(*t));
	if (!t)
		return NULL;
	t->id = id;
	HASH_ADD(hh, c->targets, id, sizeof(t->id), t);
	return t;
}

static double decayed(double value, int64_t since_ms, double half_ms)
{
	return value * exp2(-(double)since_ms / half_ms);
}

/* Requests expected at the target now, its queue included. */
static double expected_load(const struct selector_target *t, int64_t now_ms)
{
	double seen = (double)t->load.running + t->load.queued;
	double load = t->under_way;

	if (!t->load_ms)
		return load;
	seen = decayed(seen, now_ms - t->load_ms, SELECTOR_LOAD_HALF_MS);
	seen += t->since_load;
	return seen > load ? seen : load;
}

static double expected_ms(const struct selector_target *t, uint32_t announced,
			  int64_t now_ms)
{
	double latency = t->load.latency_us ? t->load.latency_us / 1000.
					    : SELECTOR_LATENCY_MS;
	double places = t->load.places ? t->load.places : announced;
	double load = expected_load(t, now_ms);
	double ms;

	if (places < 1)
		places = 1;
	if (now_ms < t->cold_until_ms)
		latency *= SELECTOR_COLD_FACTOR;
	/* Before the places are full, a busier target is slightly slower. */
	ms = latency * (1 + 0.3 * load / places);
	if (load + 1 > places)
		ms += SELECTOR_QUEUE_FACTOR * latency * (load + 1 - places) /
		      places;
	return ms + SELECTOR_FAIL_MS * decayed(t->fail, now_ms - t->fail_ms,
					       SELECTOR_FAIL_HALF_MS);
}

static double travel_ms(const struct selector_target *t, size_t bytes,
			int64_t now_ms)
{
	double ms = t->travel_ms;

	if (bytes > SELECTOR_LARGE_BYTES && t->travel_kb_ms > 0)
		ms = t->travel_kb_ms * (double)bytes / 1024.;
	return decayed(ms, now_ms - t->travel_at_ms, SELECTOR_TRAVEL_HALF_MS);
}

static double cost_of(struct selector *c, const struct selector_candidate *k,
		      size_t bytes, int64_t now_ms)
{
	static const struct selector_target unknown = { 0 };
	const struct selector_target *t = find(c, k->id);
	double ms = distances[k->distance].base_ms +
		    distances[k->distance].per_kb_ms * (double)bytes / 1024.;

	if (!t)
		t = &unknown;
	ms += expected_ms(t, k->places, now_ms);
	ms += travel_ms(t, bytes, now_ms);
	if (now_ms < t->avoid_until_ms)
		ms += SELECTOR_FAIL_MS;
	return ms;
}

size_t selector_pick(struct selector *c, const struct selector_candidate *list,
		     size_t count, size_t bytes, int64_t now_ms, double random,
		     double *cost_ms)
{
	size_t best = SIZE_MAX;
	double best_cost = 0;

	for (size_t i = 0; i < count; i++) {
		double cost = cost_of(c, &list[i], bytes, now_ms);
		/* Another part of the random number for each candidate. */
		double part = fmod(random * 997 + (double)i * 0.618034, 1.);

		cost *= 1 + SELECTOR_SPREAD * part;
		if (best != SIZE_MAX && cost >= best_cost)
			continue;
		best = i;
		best_cost = cost;
	}
	if (cost_ms)
		*cost_ms = best_cost;
	return best;
}

void selector_note_sent(struct selector *c, uint32_t id)
{
	struct selector_target *t = get(c, id);

	if (!t)
		return;
	t->under_way++;
	t->since_load++;
}

static void note_failure(struct selector_target *t, double failed,
			 int64_t now_ms)
{
	double fail =
		decayed(t->fail, now_ms - t->fail_ms, SELECTOR_FAIL_HALF_MS);

	t->fail = fail + SELECTOR_FAIL_WEIGHT * (failed - fail);
	t->fail_ms = now_ms;
}

void selector_note_ended(struct selector *c, uint32_t id,
			 enum selector_outcome outcome,
			 const struct selector_load *load, int64_t now_ms)
{
	struct selector_target *t = get(c, id);

	if (!t)
		return;
	if (t->under_way)
		t->under_way--;
	t->since_load--;
	if (load) {
		t->load = *load;
		t->load_ms = now_ms;
		t->since_load = 0;
	}
	switch (outcome) {
	case SELECTOR_ANSWERED:
		note_failure(t, 0, now_ms);
		break;
	case SELECTOR_FAILED:
		note_failure(t, 1, now_ms);
		break;
	case SELECTOR_REFUSED:
		t->avoid_until_ms = now_ms + SELECTOR_REFUSED_MS;
		break;
	case SELECTOR_UNREACHABLE:
		t->avoid_until_ms = now_ms + SELECTOR_GONE_MS;
		break;
	case SELECTOR_ABANDONED:
		break;
	}
}

void selector_note_network_time(struct selector *c, uint32_t id, size_t bytes,
				double ms, int64_t now_ms)
{
	struct selector_target *t = get(c, id);

	if (!t || ms < 0)
		return;
	t->travel_at_ms = now_ms;
	if (bytes > SELECTOR_LARGE_BYTES) {
		ms = ms * 1024. / (double)bytes;
		t->travel_kb_ms +=
			SELECTOR_TRAVEL_WEIGHT * (ms - t->travel_kb_ms);
	} else {
		t->travel_ms += SELECTOR_TRAVEL_WEIGHT * (ms - t->travel_ms);
	}
}

void selector_cold(struct selector *c, uint32_t id, int64_t until_ms)
{
	struct selector_target *t = get(c, id);

	if (t)
		t->cold_until_ms = until_ms;
}
