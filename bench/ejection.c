#include "bench/common_out.h"
#include "placement/health.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

/*
 * Compares two sources for the ejection of failing targets: the results of
 * requests at the gates (placement/health.h), and the targets' health endpoints
 * alone, which lag by ten seconds and may be wrong.
 *
 * Six targets run for ten minutes. One is dead for two minutes while its
 * endpoint says healthy, one serves while its endpoint says unhealthy, one is
 * slow for a time, one starts cold, and all fail together for ten seconds (a
 * network fault).
 */

#define TARGETS 6
#define STEP_MS 100
#define RUN_MS 600000
#define REQUESTS_PER_S 40 /* requests/s to each target */
#define ENDPOINT_LAG_MS 10000

enum health_source { BY_GATES, BY_ENDPOINTS };

struct result {
	/* Target-seconds in which a serving target was ejected. */
	double wrongly_ejected_s;
	/* Target-seconds in which a dead or slow target was not ejected. */
	double missed_s;
	double max_ejected; /* most targets ejected at the same time */
};

static int is_dead(int i, int64_t t)
{
	if (i == 0 && t >= 120000 && t < 240000)
		return 1;
	return t >= 400000 && t < 410000;
}

static int is_slow(int i, int64_t t)
{
	return i == 2 && t >= 300000 && t < 360000;
}

/* Target 3 starts at 60 s and is cold until 90 s. */
static uint64_t latency_us(int i, int64_t t)
{
	if (is_slow(i, t))
		return 20000;
	return i == 3 && t >= 60000 && t < 90000 ? 8000 : 1000;
}

static int endpoint_says_healthy(int i, int64_t t)
{
	if (i == 0)
		return 1;
	if (i == 1)
		return 0;
	return t < ENDPOINT_LAG_MS || !is_dead(i, t - ENDPOINT_LAG_MS);
}

static void send_requests(struct health *seen, int i, int64_t t)
{
	int n;

	for (n = 0; n < REQUESTS_PER_S * STEP_MS / 1000; n++) {
		if (is_dead(i, t))
			health_failed(seen, t);
		else
			health_answered(seen, latency_us(i, t), t);
	}
	health_claim(seen, endpoint_says_healthy(i, t), 0, t);
}

static void update_states(struct health_target *nodes,
			  enum health_source health_source, int64_t t)
{
	int i;

	if (health_source == BY_GATES) {
		health_assess_service(nodes, TARGETS, t);
		return;
	}
	for (i = 0; i < TARGETS; i++)
		nodes[i].state = endpoint_says_healthy(i, t) ? HEALTH_OK
							     : HEALTH_EJECTED;
}

static void add_errors(struct result *s, const struct health_target *nodes,
		       int64_t t)
{
	double ejected = 0;
	int i;

	for (i = 0; i < TARGETS; i++) {
		int is_faulty = is_dead(i, t) || is_slow(i, t);
		int is_ejected = nodes[i].state == HEALTH_EJECTED;

		ejected += is_ejected;
		s->wrongly_ejected_s +=
			(is_ejected && !is_faulty) * STEP_MS / 1000.0;
		s->missed_s += (!is_ejected && is_faulty) * STEP_MS / 1000.0;
	}
	s->max_ejected = MAX(s->max_ejected, ejected);
}

static struct result run(enum health_source health_source)
{
	struct health_target nodes[TARGETS];
	struct health seen[TARGETS];
	struct result s = { 0 };
	int64_t t;
	int i;

	for (i = 0; i < TARGETS; i++) {
		health_target_init(&nodes[i], (uint32_t)i + 1, 0);
		health_init(&seen[i], 0);
	}
	for (t = 0; t < RUN_MS; t += STEP_MS) {
		if (t == 60000)
			health_target_init(&nodes[3], 4, t);
		for (i = 0; i < TARGETS; i++) {
			/* An ejected target owns no keys: no requests. */
			if (nodes[i].state != HEALTH_EJECTED)
				send_requests(&seen[i], i, t);
			health_report(&seen[i], t, &nodes[i].report);
		}
		update_states(nodes, health_source, t);
		add_errors(&s, nodes, t);
	}
	return s;
}

int main(void)
{
	struct result gates = run(BY_GATES);
	struct result endpoints = run(BY_ENDPOINTS);

	/*
	 * A target that answers well is never ejected; after a fault of its
	 * own it stays ejected for at most one ejection time. Two targets have
	 * faults.
	 */
	out_max("judging.gates.wrong", gates.wrongly_ejected_s, "target-s",
		2 * HEALTH_EJECT_MAX_MS / 1000.0);
	out_value("judging.endpoints.wrong", endpoints.wrongly_ejected_s,
		  "target-s");
	out_value("judging.gates.missed", gates.missed_s, "target-s");
	out_value("judging.endpoints.missed", endpoints.missed_s, "target-s");
	out_max("judging.gates.most_ejected", gates.max_ejected, "targets", 1);
	out_value("judging.endpoints.most_ejected", endpoints.max_ejected,
		  "targets");
	return out_status();
}
