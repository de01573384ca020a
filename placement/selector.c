#include "placement/selector.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/*
 * Cost of the distance in milliseconds: the round trip, and the price of the
 * traffic between data centres expressed as time. A request leaves its data
 * centre only if that saves more time than this. One second of a caller's
 * waiting is taken to cost about as much as 60 KB of traffic between regions.
 */
static const struct {
	double base_ms;
	double per_kb_ms;
} distance_costs[SELECTOR_DISTANCES] = {
	[SELECTOR_SAME_VM] = { 0, 0 },
	[SELECTOR_SAME_DATA_CENTRE] = { 1, 0 },
	[SELECTOR_SAME_REGION] = { 15, 6 },
	[SELECTOR_OTHER_REGION] = { 35, 15 },
};

/* Assumed latency of a target that has not answered yet. */
#define SELECTOR_DEFAULT_LATENCY_MS 50.0
/* Weight of one report in the average latency of its kind. */
#define SELECTOR_KIND_WEIGHT 0.05
/*
 * Weight of one report in the slowness of its target. What is reported is
 * itself an average, so few reports are enough.
 */
#define SELECTOR_SLOWNESS_WEIGHT 0.3
/* Half-life of a reported load. */
#define SELECTOR_LOAD_HALF_LIFE_MS 400.0
/* Weight of one outcome in the moving average of failures. */
#define SELECTOR_FAIL_WEIGHT 0.1
/* Half-life of the failure rate, so that a target is tried again. */
#define SELECTOR_FAIL_HALF_LIFE_MS 2000.0
/* Cost of a failure, which means a retry or an error for the caller. */
#define SELECTOR_FAIL_COST_MS 1500.0
/* Times for which a target is avoided after it refused or was unreachable. */
#define SELECTOR_REFUSED_AVOID_MS 30
#define SELECTOR_UNREACHABLE_AVOID_MS 400
/* Weight of waiting in a queue: a queued request delays later ones, too. */
#define SELECTOR_QUEUE_FACTOR 3.0
/*
 * Requests above this size are used to estimate the bandwidth of the path,
 * smaller ones its latency.
 */
#define SELECTOR_LARGE_BYTES 8192
/* Weight of one request in the averages of network time. */
#define SELECTOR_NETWORK_WEIGHT 0.2
/* Half-life of the network time, so that a slow path is tried again. */
#define SELECTOR_NETWORK_HALF_LIFE_MS 1500.0
/* Factor by which the latency of a cold target is assumed to be higher. */
#define SELECTOR_COLD_FACTOR 2.0
/*
 * Least room of a cold target in requests at a time, where its rate times its
 * latency is less: it gets requests once all others are several times full.
 */
#define SELECTOR_COLD_MIN_ROOM 0.25
/*
 * Time for which a cold target is avoided after it refused. Its room is used up
 * by the requests of all ingresses, and each of them would ask again every
 * SELECTOR_REFUSED_AVOID_MS.
 */
#define SELECTOR_COLD_AVOID_MS 500
/*
 * Largest random increase of a cost, so that ingresses with the same view do
 * not all select the same target.
 */
#define SELECTOR_COST_SPREAD 0.2

void selector_init(struct selector *s)
{
	memset(s, 0, sizeof(*s));
}

void selector_finish(struct selector *s)
{
	struct selector_kind *k, *next_kind;
	struct selector_target *t, *next;

	HASH_ITER(hh, s->targets, t, next) {
		HASH_DEL(s->targets, t);
		free(t);
	}
	HASH_ITER(hh, s->kinds, k, next_kind) {
		HASH_DEL(s->kinds, k);
		free(k);
	}
	free(s->options);
}

void selector_set_spread(struct selector *s, int on)
{
	s->spread = on;
}

static struct selector_kind *find_kind(const struct selector *s, uint32_t id)
{
	struct selector_kind *k;

	HASH_FIND(hh, s->kinds, &id, sizeof(id), k);
	return k;
}

static struct selector_kind *find_or_add_kind(struct selector *s, uint32_t id)
{
	struct selector_kind *k = find_kind(s, id);

	if (k)
		return k;
	k = s->kinds;
	if (k && HASH_COUNT(s->kinds) >= SELECTOR_MAX_KINDS) {
		HASH_DEL(s->kinds, k);
		free(k);
	}
	k = calloc(1, sizeof(*k));
	if (!k)
		return NULL;
	k->id = id;
	HASH_ADD(hh, s->kinds, id, sizeof(k->id), k);
	return k;
}

static struct selector_target *find_target(const struct selector *s,
					   uint32_t id)
{
	struct selector_target *t;

	HASH_FIND(hh, s->targets, &id, sizeof(id), t);
	return t;
}

static struct selector_target *find_or_add_target(struct selector *s,
						  uint32_t id)
{
	struct selector_target *t = find_target(s, id);

	if (t)
		return t;
	t = calloc(1, sizeof(*t));
	if (!t)
		return NULL;
	t->id = id;
	HASH_ADD(hh, s->targets, id, sizeof(t->id), t);
	return t;
}

static double decay(double value, int64_t since_ms, double half_ms)
{
	return value * exp2(-(double)since_ms / half_ms);
}

/* Expected number of requests at the target now, running and queued. */
static double expected_load(const struct selector_target *t, int64_t now_ms)
{
	double seen = (double)t->load.running + t->load.queued;
	double load = t->in_flight;

	if (!t->load_ms)
		return load;
	seen = decay(seen, now_ms - t->load_ms, SELECTOR_LOAD_HALF_LIFE_MS);
	seen += t->sent_since_load;
	return seen > load ? seen : load;
}

/*
 * Returns the latency of the target for requests of this kind, or over all
 * kinds if the kind is NULL. The latency over all kinds says more about what a
 * target was sent than about the target: those with short requests would get
 * ever more requests, and the others would idle.
 */
static double expected_latency_ms(const struct selector_target *t,
				  const struct selector_kind *kind)
{
	if (kind && kind->latency_ms > 0)
		return kind->latency_ms * (t->slowness > 0 ? t->slowness : 1);
	return t->load.latency_us ? t->load.latency_us / 1000.
				  : SELECTOR_DEFAULT_LATENCY_MS;
}

static int is_rate_limited_cold(const struct selector_target *t, int64_t now_ms)
{
	return now_ms < t->cold_until_ms && t->cold_per_s > 0;
}

/* Returns the places of the target that its rate keeps busy while cold. */
static double usable_places(const struct selector_target *t, double places,
			    double latency_ms, int64_t now_ms)
{
	if (!is_rate_limited_cold(t, now_ms))
		return places;
	return fmin(places, fmax(t->cold_per_s * latency_ms / 1000,
				 SELECTOR_COLD_MIN_ROOM));
}

static double fail_cost_ms(const struct selector_target *t, int64_t now_ms)
{
	return SELECTOR_FAIL_COST_MS * decay(t->fail_rate,
					     now_ms - t->fail_updated_ms,
					     SELECTOR_FAIL_HALF_LIFE_MS);
}

static double expected_places(const struct selector_target *t,
			      uint32_t announced)
{
	double places = t->load.places ? t->load.places : announced;

	return places < 1 ? 1 : places;
}

static double expected_service_ms(const struct selector_target *t,
				  const struct selector_kind *kind,
				  uint32_t announced, int64_t now_ms)
{
	double latency = expected_latency_ms(t, kind);
	double places = expected_places(t, announced);
	double load = expected_load(t, now_ms);
	double ms;

	places = usable_places(t, places, latency, now_ms);
	if (now_ms < t->cold_until_ms)
		latency *= SELECTOR_COLD_FACTOR;
	/* Even with free places, a busier target is slightly slower. */
	ms = latency * (1 + 0.3 * load / places);
	if (load + 1 > places)
		ms += SELECTOR_QUEUE_FACTOR * latency * (load + 1 - places) /
		      places;
	return ms + fail_cost_ms(t, now_ms);
}

static double expected_network_ms(const struct selector_target *t, size_t bytes,
				  int64_t now_ms)
{
	double ms = t->network_ms;

	if (bytes > SELECTOR_LARGE_BYTES && t->network_ms_per_kb > 0)
		ms = t->network_ms_per_kb * (double)bytes / 1024.;
	return decay(ms, now_ms - t->network_updated_ms,
		     SELECTOR_NETWORK_HALF_LIFE_MS);
}

static const struct selector_target *
find_target_or_unknown(const struct selector *s, uint32_t id)
{
	static const struct selector_target unknown = { 0 };
	const struct selector_target *t = find_target(s, id);

	return t ? t : &unknown;
}

static double distance_cost_ms(enum selector_distance distance, size_t bytes)
{
	return distance_costs[distance].base_ms +
	       distance_costs[distance].per_kb_ms * (double)bytes / 1024.;
}

static double candidate_cost(struct selector *s,
			     const struct selector_candidate *k,
			     const struct selector_kind *kind, size_t bytes,
			     int64_t now_ms)
{
	const struct selector_target *t = find_target_or_unknown(s, k->id);
	double ms = distance_cost_ms(k->distance, bytes);

	ms += expected_service_ms(t, kind, k->places, now_ms);
	ms += expected_network_ms(t, bytes, now_ms);
	if (now_ms < t->avoid_until_ms)
		ms += SELECTOR_FAIL_COST_MS;
	return ms;
}

/* Targets of one data centre are drawn together, whether on this VM or not. */
static unsigned spread_ring(enum selector_distance distance)
{
	switch (distance) {
	case SELECTOR_SAME_VM:
	case SELECTOR_SAME_DATA_CENTRE:
		return 0;
	case SELECTOR_SAME_REGION:
		return 1;
	default:
		return 2;
	}
}

static void fill_option(struct spread_option *o, struct selector *s,
			const struct selector_candidate *k,
			const struct selector_kind *kind, size_t bytes,
			int64_t now_ms)
{
	const struct selector_target *t = find_target_or_unknown(s, k->id);

	o->ring = spread_ring(k->distance);
	o->cost_ms = candidate_cost(s, k, kind, bytes, now_ms);
	o->distance_ms = distance_cost_ms(k->distance, bytes);
	o->latency_ms = expected_latency_ms(t, kind);
	o->penalty_ms =
		fail_cost_ms(t, now_ms) + expected_network_ms(t, bytes, now_ms);
	if (now_ms < t->avoid_until_ms)
		o->penalty_ms += SELECTOR_FAIL_COST_MS;
	if (now_ms < t->cold_until_ms)
		o->penalty_ms += (SELECTOR_COLD_FACTOR - 1) * o->latency_ms;
	o->places = usable_places(t, expected_places(t, k->places),
				  o->latency_ms, now_ms);
	o->load = expected_load(t, now_ms);
}

/* Returns 0 if there is no memory for the options. */
static int reserve_options(struct selector *s, size_t count)
{
	struct spread_option *options;

	if (count <= s->option_count)
		return 1;
	options = realloc(s->options, count * sizeof(*options));
	if (!options)
		return 0;
	s->options = options;
	s->option_count = count;
	return 1;
}

static size_t pick_spread(struct selector *s,
			  const struct selector_candidate *list, size_t count,
			  const struct selector_kind *kind, size_t bytes,
			  int64_t now_ms, double random, double *cost_ms)
{
	size_t chosen;

	for (size_t i = 0; i < count; i++)
		fill_option(&s->options[i], s, &list[i], kind, bytes, now_ms);
	chosen = spread_choose(s->options, count, random);
	if (cost_ms)
		*cost_ms = chosen < count ? s->options[chosen].cost_ms : 0;
	return chosen;
}

size_t selector_pick(struct selector *s, const struct selector_candidate *list,
		     size_t count, uint32_t kind_id, size_t bytes,
		     int64_t now_ms, double random, double *cost_ms)
{
	const struct selector_kind *kind =
		kind_id ? find_kind(s, kind_id) : NULL;
	size_t best = SIZE_MAX;
	double best_cost = 0;

	if (s->spread && reserve_options(s, count))
		return pick_spread(s, list, count, kind, bytes, now_ms, random,
				   cost_ms);
	for (size_t i = 0; i < count; i++) {
		double cost = candidate_cost(s, &list[i], kind, bytes, now_ms);
		/* A different random number for each candidate. */
		double part = fmod(random * 997 + (double)i * 0.618034, 1.);

		cost *= 1 + SELECTOR_COST_SPREAD * part;
		if (best != SIZE_MAX && cost >= best_cost)
			continue;
		best = i;
		best_cost = cost;
	}
	if (cost_ms)
		*cost_ms = best_cost;
	return best;
}

void selector_note_sent(struct selector *s, uint32_t id)
{
	struct selector_target *t = find_or_add_target(s, id);

	if (!t)
		return;
	t->in_flight++;
	t->sent_since_load++;
}

static void update_fail_rate(struct selector_target *t, double failed,
			     int64_t now_ms)
{
	double fail = decay(t->fail_rate, now_ms - t->fail_updated_ms,
			    SELECTOR_FAIL_HALF_LIFE_MS);

	t->fail_rate = fail + SELECTOR_FAIL_WEIGHT * (failed - fail);
	t->fail_updated_ms = now_ms;
}

static void update_slowness(struct selector *s, struct selector_target *t,
			    const struct selector_load *load)
{
	struct selector_kind *k;
	double ms = load->kind_latency_us / 1000.;
	double part;

	if (!load->kind || ms <= 0)
		return;
	k = find_or_add_kind(s, load->kind);
	if (!k)
		return;
	if (k->latency_ms <= 0)
		k->latency_ms = ms;
	k->latency_ms += SELECTOR_KIND_WEIGHT * (ms - k->latency_ms);
	part = ms / k->latency_ms;
	if (t->slowness <= 0)
		t->slowness = part;
	t->slowness += SELECTOR_SLOWNESS_WEIGHT * (part - t->slowness);
}

void selector_note_ended(struct selector *s, uint32_t id,
			 enum selector_outcome outcome,
			 const struct selector_load *load, int64_t now_ms)
{
	struct selector_target *t = find_or_add_target(s, id);

	if (!t)
		return;
	if (t->in_flight)
		t->in_flight--;
	t->sent_since_load--;
	if (load) {
		t->load = *load;
		t->load_ms = now_ms;
		t->sent_since_load = 0;
		update_slowness(s, t, load);
	}
	switch (outcome) {
	case SELECTOR_ANSWERED:
		update_fail_rate(t, 0, now_ms);
		break;
	case SELECTOR_FAILED:
		update_fail_rate(t, 1, now_ms);
		break;
	case SELECTOR_TURNED_AWAY:
		/*
		 * A target in trouble that refuses at once looks idle and would
		 * get ever more requests. The gate keeps a sound one from being
		 * full, so that its own refusals are rare.
		 */
		if (s->spread)
			update_fail_rate(t, 1, now_ms);
		/* fallthrough */
	case SELECTOR_REFUSED:
		t->avoid_until_ms =
			now_ms + (is_rate_limited_cold(t, now_ms)
					  ? SELECTOR_COLD_AVOID_MS
					  : SELECTOR_REFUSED_AVOID_MS);
		break;
	case SELECTOR_UNREACHABLE:
		t->avoid_until_ms = now_ms + SELECTOR_UNREACHABLE_AVOID_MS;
		break;
	case SELECTOR_ABANDONED:
		break;
	}
}

void selector_note_network_time(struct selector *s, uint32_t id, size_t bytes,
				double ms, int64_t now_ms)
{
	struct selector_target *t = find_or_add_target(s, id);

	if (!t || ms < 0)
		return;
	t->network_updated_ms = now_ms;
	if (bytes > SELECTOR_LARGE_BYTES) {
		ms = ms * 1024. / (double)bytes;
		t->network_ms_per_kb +=
			SELECTOR_NETWORK_WEIGHT * (ms - t->network_ms_per_kb);
	} else {
		t->network_ms += SELECTOR_NETWORK_WEIGHT * (ms - t->network_ms);
	}
}

void selector_set_cold(struct selector *s, uint32_t id, int64_t until_ms)
{
	struct selector_target *t = find_or_add_target(s, id);

	if (t)
		t->cold_until_ms = until_ms;
}

void selector_set_cold_rate(struct selector *s, uint32_t id, int64_t until_ms,
			    double per_s)
{
	struct selector_target *t = find_or_add_target(s, id);

	if (!t)
		return;
	t->cold_until_ms = until_ms;
	t->cold_per_s = per_s;
}

void selector_note_announced_cold(struct selector *s, uint32_t id,
				  int64_t born_ms, uint32_t cold_ms,
				  double per_s, int64_t now_ms)
{
	struct selector_target *t = find_or_add_target(s, id);

	if (!t || (t->announced_born_ms == born_ms &&
		   t->announced_cold_ms == cold_ms))
		return;
	t->announced_born_ms = born_ms;
	t->announced_cold_ms = cold_ms;
	selector_set_cold_rate(s, id, now_ms + cold_ms, per_s);
}

int64_t selector_report_age_ms(const struct selector *s, uint32_t id,
			       int64_t now_ms)
{
	const struct selector_target *t = find_target(s, id);

	return t && t->load_ms ? now_ms - t->load_ms : -1;
}
