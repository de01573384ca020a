#include "placement/health.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Weight of one answer in the moving average of the latency. */
#define HEALTH_LATENCY_WEIGHT (1.0 / 16)
/* With fewer targets there is no median latency and no ejection. */
#define HEALTH_MIN_TARGETS 3

void health_init(struct health *h, int64_t now_ms)
{
	memset(h, 0, sizeof(*h));
	h->decayed_to_ms = now_ms;
}

static double decay_factor(const struct health *h, int64_t now_ms)
{
	if (now_ms <= h->decayed_to_ms)
		return 1;
	return exp(-(double)(now_ms - h->decayed_to_ms) / HEALTH_WINDOW_MS);
}

static void decay_counts(struct health *h, int64_t now_ms)
{
	double keep = decay_factor(h, now_ms);

	h->answered *= keep;
	h->refused *= keep;
	h->failed *= keep;
	if (now_ms > h->decayed_to_ms)
		h->decayed_to_ms = now_ms;
}

void health_answered(struct health *h, uint64_t latency_us, int64_t now_ms)
{
	double us = (double)latency_us;

	decay_counts(h, now_ms);
	h->answered += 1;
	if (h->latency_us == 0)
		h->latency_us = us;
	else
		h->latency_us += HEALTH_LATENCY_WEIGHT * (us - h->latency_us);
}

void health_refused(struct health *h, int64_t now_ms)
{
	decay_counts(h, now_ms);
	h->refused += 1;
}

void health_failed(struct health *h, int64_t now_ms)
{
	decay_counts(h, now_ms);
	h->failed += 1;
}

void health_claim(struct health *h, int healthy, double load, int64_t now_ms)
{
	h->claimed_unhealthy = !healthy;
	h->claimed_load = load;
	h->claimed_ms = now_ms > 0 ? now_ms : 1;
}

static int claim_is_fresh(const struct health *h, int64_t now_ms)
{
	return h->claimed_ms &&
	       now_ms - h->claimed_ms <= HEALTH_CLAIM_MAX_AGE_MS;
}

void health_report(const struct health *h, int64_t now_ms,
		   struct health_report *out)
{
	double all = h->answered + h->refused + h->failed;

	memset(out, 0, sizeof(*out));
	out->evidence = all * decay_factor(h, now_ms);
	out->latency_us = h->latency_us;
	out->claimed_unhealthy =
		h->claimed_unhealthy && claim_is_fresh(h, now_ms);
	if (all > 0) {
		out->fail_rate = h->failed / all;
		out->refuse_rate = h->refused / all;
	}
}

double health_estimate_load(const struct health *h, double own, int64_t now_ms)
{
	double claim = h->claimed_load;

	if (!claim_is_fresh(h, now_ms) || claim < own / 2 || claim > own * 2)
		return own;
	return (own + claim) / 2;
}

void health_target_init(struct health_target *n, uint32_t id, int64_t now_ms)
{
	memset(n, 0, sizeof(*n));
	n->id = id;
	n->state = HEALTH_COLD;
	n->weight = HEALTH_COLD_WEIGHT;
	n->warmup_start_ms = now_ms;
}

static int has_evidence(const struct health_target *n)
{
	return n->report.evidence >= HEALTH_MIN_EVIDENCE;
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Median latency of the targets with enough evidence; 0: they are too few. */
static double median_latency(const struct health_target *nodes, size_t count)
{
	double *values = calloc(count ? count : 1, sizeof(*values));
	double median = 0;
	size_t n = 0;
	size_t i;

	if (!values)
		return 0;
	for (i = 0; i < count; i++) {
		if (has_evidence(&nodes[i]) && nodes[i].report.latency_us > 0)
			values[n++] = nodes[i].report.latency_us;
	}
	qsort(values, n, sizeof(*values), compare_doubles);
	if (n >= HEALTH_MIN_TARGETS)
		median = values[(n - 1) / 2];
	free(values);
	return median;
}

/* Latency is ignored during the slow start, when every target is slow. */
static int is_bad(const struct health_target *n, double median, int64_t now_ms)
{
	if (!has_evidence(n))
		return 0;
	if (n->report.fail_rate > HEALTH_FAIL_RATE ||
	    n->report.refuse_rate > HEALTH_REFUSE_RATE)
		return 1;
	if (now_ms - n->warmup_start_ms < HEALTH_WARMUP_MS)
		return 0;
	return median > 0 && n->report.latency_us > HEALTH_SLOW_FACTOR * median;
}

static void update_warmup(struct health_target *n, int64_t now_ms)
{
	double part = (double)(now_ms - n->warmup_start_ms) / HEALTH_WARMUP_MS;

	if (part >= 1) {
		n->state = HEALTH_OK;
		n->weight = 1;
		return;
	}
	n->state = HEALTH_COLD;
	n->weight = HEALTH_COLD_WEIGHT + (1 - HEALTH_COLD_WEIGHT) * part;
}

static void mark_suspect(struct health_target *n)
{
	n->state = HEALTH_SUSPECT;
	n->weight = HEALTH_COLD_WEIGHT;
}

/* Updates the target's state, without ejecting it. */
static void assess(struct health_target *n, double median, int64_t now_ms)
{
	if (n->state == HEALTH_EJECTED) {
		if (now_ms < n->ejected_until_ms)
			return;
		n->warmup_start_ms = now_ms;
		n->bad_since_ms = 0;
		/* Requests from before the ejection no longer count. */
		n->report.evidence = 0;
	}
	update_warmup(n, now_ms);
	if (!is_bad(n, median, now_ms)) {
		n->bad_since_ms = 0;
		/* A claim counts only while there is not enough evidence. */
		if (n->report.claimed_unhealthy && !has_evidence(n))
			mark_suspect(n);
		return;
	}
	if (n->bad_since_ms == 0)
		n->bad_since_ms = now_ms > 0 ? now_ms : 1;
	mark_suspect(n);
}

static size_t max_ejected(size_t count)
{
	size_t most = (size_t)floor((double)count * HEALTH_MAX_EJECTED_PART);

	return most == 0 && count >= HEALTH_MIN_TARGETS ? 1 : most;
}

static double bad_rate(const struct health_target *n)
{
	return fmax(n->report.fail_rate, n->report.refuse_rate);
}

static struct health_target *find_worst_target(struct health_target *nodes,
					       size_t count, int64_t now_ms)
{
	struct health_target *found = NULL;
	size_t i;

	for (i = 0; i < count; i++) {
		struct health_target *n = &nodes[i];

		if (n->state != HEALTH_SUSPECT || n->bad_since_ms == 0 ||
		    now_ms - n->bad_since_ms < HEALTH_EJECT_AFTER_MS)
			continue;
		if (!found || bad_rate(n) > bad_rate(found) ||
		    (bad_rate(n) == bad_rate(found) && n->id < found->id))
			found = n;
	}
	return found;
}

static void eject(struct health_target *n, int64_t now_ms)
{
	int64_t ms =
		n->last_eject_ms ? 2 * n->last_eject_ms : HEALTH_EJECT_MIN_MS;

	/* Long enough after the last ejection, start with the shortest again.
	 */
	if (n->last_eject_ms &&
	    now_ms - n->ejected_until_ms > 2 * n->last_eject_ms)
		ms = HEALTH_EJECT_MIN_MS;
	if (ms > HEALTH_EJECT_MAX_MS)
		ms = HEALTH_EJECT_MAX_MS;
	n->last_eject_ms = ms;
	n->ejected_until_ms = now_ms + ms;
	n->state = HEALTH_EJECTED;
}

void health_assess_service(struct health_target *nodes, size_t count,
			   int64_t now_ms)
{
	double median = median_latency(nodes, count);
	size_t bad = 0;
	size_t ejected = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		assess(&nodes[i], median, now_ms);
		ejected += nodes[i].state == HEALTH_EJECTED;
		bad += nodes[i].state == HEALTH_EJECTED ||
		       nodes[i].bad_since_ms != 0;
	}
	if ((double)bad > HEALTH_COMMON_CAUSE_PART * (double)count)
		return;
	while (ejected < max_ejected(count)) {
		struct health_target *n =
			find_worst_target(nodes, count, now_ms);

		if (!n)
			return;
		eject(n, now_ms);
		ejected++;
	}
}
