#include "bench/common_out.h"
#include "placement/health.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

/*
 * Six targets whose endpoints lag or lie, judged by what the gates saw
 * against judged by the endpoints alone. For ten minutes: one target is dead
 * for two minutes while its endpoint says healthy, one serves while its
 * endpoint says unhealthy, one is slow, one starts cold, and all of them fail
 * for ten seconds together (a network fault). Endpoints lag by ten seconds.
 */

#define TARGETS 6
#define STEP_MS 100
#define RUN_MS 600000
#define RATE 40 /* requests/s to each target */
#define LAG_MS 10000

enum way { BY_GATES, BY_ENDPOINTS };

struct seconds {
	double wrong;  /* a serving target is ejected */
	double missed; /* a dead or very slow target is not ejected */
	double most;   /* targets ejected at the same time */
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

static int says_healthy(int i, int64_t t)
{
	if (i == 0)
		return 1;
	if (i == 1)
		return 0;
	return t < LAG_MS || !is_dead(i, t - LAG_MS);
}

static void serve(struct health *seen, int i, int64_t t)
{
	int n;

	for (n = 0; n < RATE * STEP_MS / 1000; n++) {
		if (is_dead(i, t))
			health_failed(seen, t);
		else
			health_answered(seen, latency_us(i, t), t);
	}
	health_claim(seen, says_healthy(i, t), 0, t);
}

static void decide(struct health_target *nodes, enum way way, int64_t t)
{
	int i;

	if (way == BY_GATES) {
		health_assess_service(nodes, TARGETS, t);
		return;
	}
	for (i = 0; i < TARGETS; i++)
		nodes[i].state =
			says_healthy(i, t) ? HEALTH_OK : HEALTH_EJECTED;
}

static void tally(struct seconds *s, const struct health_target *nodes,
		  int64_t t)
{
	double out = 0;
	int i;

	for (i = 0; i < TARGETS; i++) {
		int bad = is_dead(i, t) || is_slow(i, t);
		int is_out = nodes[i].state == HEALTH_EJECTED;

		out += is_out;
		s->wrong += (is_out && !bad) * STEP_MS / 1000.0;
		s->missed += (!is_out && bad) * STEP_MS / 1000.0;
	}
	s->most = MAX(s->most, out);
}

static struct seconds run(enum way way)
{
	struct health_target nodes[TARGETS];
	struct health seen[TARGETS];
	struct seconds s = { 0 };
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
			/* An ejected target has no keys, so no requests. */
			if (nodes[i].state != HEALTH_EJECTED)
				serve(&seen[i], i, t);
			health_report(&seen[i], t, &nodes[i].report);
		}
		decide(nodes, way, t);
		tally(&s, nodes, t);
	}
	return s;
}

int main(void)
{
	struct seconds gates = run(BY_GATES);
	struct seconds endpoints = run(BY_ENDPOINTS);

	/* A target that answers well is never bad; after a fault of its own
	 * it is out for at most one ejection. Two of them have faults. */
	out_max("judging.gates.wrong", gates.wrong, "target-s",
		2 * HEALTH_EJECT_MAX_MS / 1000.0);
	out_fig("judging.endpoints.wrong", endpoints.wrong, "target-s");
	out_fig("judging.gates.missed", gates.missed, "target-s");
	out_fig("judging.endpoints.missed", endpoints.missed, "target-s");
	out_max("judging.gates.most_ejected", gates.most, "targets", 1);
	out_fig("judging.endpoints.most_ejected", endpoints.most, "targets");
	return out_status();
}
