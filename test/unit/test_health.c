#include "placement/health.h"

#include <glib.h>

#define TARGETS 6

static void report_and_assess(struct health_target *nodes, struct health *gates,
			      int64_t now_ms)
{
	size_t i;

	for (i = 0; i < TARGETS; i++)
		health_report(&gates[i], now_ms, &nodes[i].report);
	health_assess_service(nodes, TARGETS, now_ms);
}

static void init_targets(struct health_target *nodes, struct health *gates)
{
	uint32_t i;

	for (i = 0; i < TARGETS; i++) {
		health_target_init(&nodes[i], i + 1, 0);
		health_init(&gates[i], 0);
	}
}

static int count_state(const struct health_target *nodes,
		       enum health_state state)
{
	int n = 0;
	int i;

	for (i = 0; i < TARGETS; i++)
		n += nodes[i].state == state;
	return n;
}

/* Guards against full load on a target that has just started. */
static void test_slow_start(void)
{
	struct health_target nodes[TARGETS];
	struct health gates[TARGETS];

	init_targets(nodes, gates);
	report_and_assess(nodes, gates, 0);
	g_assert_true(nodes[0].state == HEALTH_COLD);
	g_assert_true(nodes[0].weight == HEALTH_COLD_WEIGHT);
	report_and_assess(nodes, gates, HEALTH_WARMUP_MS / 2);
	g_assert_true(nodes[0].weight > 0.5 && nodes[0].weight < 0.6);
	report_and_assess(nodes, gates, HEALTH_WARMUP_MS);
	g_assert_true(nodes[0].state == HEALTH_OK);
	g_assert_true(nodes[0].weight == 1);
}

/* Guards against a health endpoint that calls a serving target bad. */
static void test_false_alarm(void)
{
	struct health_target nodes[TARGETS];
	struct health gates[TARGETS];
	int64_t t;
	int i;

	init_targets(nodes, gates);
	for (t = 0; t < 60000; t += 100) {
		for (i = 0; i < TARGETS; i++) {
			health_answered(&gates[i], 1000, t);
			health_claim(&gates[i], 0, 0, t);
		}
		report_and_assess(nodes, gates, t);
	}
	g_assert_true(count_state(nodes, HEALTH_OK) == TARGETS);
}

/* Guards against trusting an endpoint that calls a dead target healthy. */
static void test_false_health(void)
{
	struct health_target nodes[TARGETS];
	struct health gates[TARGETS];
	int64_t t;
	int i;

	init_targets(nodes, gates);
	for (t = 0; t < 15000; t += 100) {
		for (i = 1; i < TARGETS; i++)
			health_answered(&gates[i], 1000, t);
		health_failed(&gates[0], t);
		health_claim(&gates[0], 1, 0, t);
		report_and_assess(nodes, gates, t);
	}
	g_assert_true(nodes[0].state == HEALTH_EJECTED);
	g_assert_true(count_state(nodes, HEALTH_EJECTED) == 1);
}

/*
 * Guards against ejecting most targets of a service because of a wrong signal
 * or a cause common to them.
 */
static void test_ejection_limit(void)
{
	struct health_target nodes[TARGETS];
	struct health gates[TARGETS];
	int64_t t;
	int bad;
	int i;

	for (bad = 1; bad <= TARGETS; bad++) {
		init_targets(nodes, gates);
		for (t = 0; t < 20000; t += 100) {
			for (i = 0; i < TARGETS; i++) {
				if (i < bad)
					health_failed(&gates[i], t);
				else
					health_answered(&gates[i], 1000, t);
			}
			report_and_assess(nodes, gates, t);
		}
		g_assert_true(count_state(nodes, HEALTH_EJECTED) ==
			      (bad <= TARGETS / 2 ? 1 : 0));
	}
}

/* Guards against a target that never returns, or returns at full load. */
static void test_readmission(void)
{
	struct health_target nodes[TARGETS];
	struct health gates[TARGETS];
	int64_t t;
	int i;

	init_targets(nodes, gates);
	for (t = 0; t <= 40000; t += 100) {
		for (i = 0; i < TARGETS; i++) {
			if (i == 0 && t < 10000)
				health_failed(&gates[i], t);
			else if (i > 0)
				health_answered(&gates[i], 1000, t);
		}
		report_and_assess(nodes, gates, t);
		if (t == 10000)
			g_assert_true(nodes[0].state == HEALTH_EJECTED);
	}
	g_assert_true(nodes[0].state == HEALTH_COLD);
	g_assert_true(nodes[0].weight < 0.5);
}

/* Guards against a slow target that keeps all of its slots. */
static void test_slow(void)
{
	struct health_target nodes[TARGETS];
	struct health gates[TARGETS];
	int64_t t;
	int i;

	init_targets(nodes, gates);
	for (t = 0; t < HEALTH_WARMUP_MS + 10000; t += 100) {
		for (i = 0; i < TARGETS; i++)
			health_answered(&gates[i], i ? 1000 : 20000, t);
		report_and_assess(nodes, gates, t);
		/* During the slow start, latency does not count. */
		if (t < HEALTH_WARMUP_MS)
			g_assert_true(nodes[0].state == HEALTH_COLD);
	}
	g_assert_true(nodes[0].state == HEALTH_EJECTED);
}

/* Guards against using claimed loads that are wrong or old. */
static void test_load(void)
{
	struct health j;

	health_init(&j, 0);
	g_assert_true(health_estimate_load(&j, 10, 0) == 10);
	health_claim(&j, 1, 14, 0);
	g_assert_true(health_estimate_load(&j, 10, 1000) == 12);
	g_assert_true(health_estimate_load(&j, 10,
					   HEALTH_CLAIM_MAX_AGE_MS + 2) == 10);
	health_claim(&j, 1, 0, 10000);
	g_assert_true(health_estimate_load(&j, 10, 10000) == 10);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/health/slow-start", test_slow_start);
	g_test_add_func("/health/false-alarm", test_false_alarm);
	g_test_add_func("/health/false-health", test_false_health);
	g_test_add_func("/health/ejection-limit", test_ejection_limit);
	g_test_add_func("/health/readmission", test_readmission);
	g_test_add_func("/health/slow", test_slow);
	g_test_add_func("/health/load", test_load);
	return g_test_run();
}
