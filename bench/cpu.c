#include "bench/common_fleet.h"
#include "bench/common_out.h"
#include "placement/health.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

/*
 * Measures the processor time of one decision pass at the design size. Takes
 * the lowest of five runs of the same pass, because other work on the machine
 * can only add to it.
 */

#define RUNS 5
#define MAX_MS 50
#define REPORTED_KEYS 20000

static double cpu_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

static void print_time(const char *check, double ms)
{
	char name[96];

	snprintf(name, sizeof(name), "cpu.%s", check);
	out_max(name, ms, "ms", MAX_MS);
}

static void time_pass(struct fleet *f, const char *check, int64_t now_ms)
{
	struct place state = f->placement;
	double best = 1e9;
	int i;

	for (i = 0; i < RUNS; i++) {
		double start = cpu_ms();

		f->placement = state;
		place_pass(&f->placement, &f->policy, f->nodes, f->size->nodes,
			   f->slots, f->slot_count, now_ms, &f->moves);
		best = MIN(best, cpu_ms() - start);
	}
	print_time(check, best);
}

static void set_data_centre_state(struct fleet *f, enum place_node_state state)
{
	size_t i;

	for (i = 0; i < f->size->nodes; i++) {
		if (f->nodes[i].data_centre == 0)
			f->nodes[i].state = state;
	}
}

static void time_passes(void)
{
	struct fleet f;
	size_t half = MAX(1, fleet_design.nodes / 2);
	int64_t t;
	size_t i;

	fleet_init(&f, &fleet_design, 1);
	f.policy.moves_per_minute = 100000;
	time_pass(&f, "first_assignment", 0);
	t = fleet_settle(&f);
	time_pass(&f, "quiet", t);
	fleet_replace_hot_keys(&f);
	time_pass(&f, "shift", t + 5000);
	set_data_centre_state(&f, PLACE_LOST);
	time_pass(&f, "data_centre_lost", t);
	set_data_centre_state(&f, PLACE_DRAINING);
	time_pass(&f, "data_centre_drains", t);
	set_data_centre_state(&f, PLACE_LIVE);
	/* The worst imbalance: half of the nodes own all slots. */
	for (i = 0; i < f.slot_count; i++)
		f.slots[i].owner = f.nodes[i % half].id;
	time_pass(&f, "half_empty", t + 60000);
	fleet_finish(&f);
}

static void time_pins(void)
{
	struct place_key *keys = g_new0(struct place_key, REPORTED_KEYS);
	struct place_pin *out = g_new0(struct place_pin, REPORTED_KEYS);
	struct place_policy p = { .auto_pins = 128 };
	GRand *r = g_rand_new_with_seed(1);
	double best = 1e9;
	int i;

	for (i = 0; i < REPORTED_KEYS; i++) {
		keys[i].hash = g_rand_int(r);
		keys[i].load = g_rand_double(r);
	}
	for (i = 0; i < RUNS; i++) {
		double start = cpu_ms();

		place_decide_pins(&p, 10, keys, REPORTED_KEYS, 1000, out,
				  REPORTED_KEYS);
		best = MIN(best, cpu_ms() - start);
	}
	print_time("pins", best);
	g_rand_free(r);
	g_free(keys);
	g_free(out);
}

static void time_health(void)
{
	uint32_t n = fleet_design.nodes;
	struct health_target *nodes = g_new0(struct health_target, n);
	double best = 1e9;
	uint32_t i;
	int k;

	for (k = 0; k < RUNS; k++) {
		double start;

		for (i = 0; i < n; i++) {
			health_target_init(&nodes[i], i + 1, 0);
			nodes[i].report.evidence = 100;
			nodes[i].report.latency_us = 1000 + i;
			nodes[i].report.fail_rate = i % 3 ? 0 : 0.9;
		}
		health_assess_service(nodes, n, 1000);
		start = cpu_ms();
		health_assess_service(nodes, n, 100000);
		best = MIN(best, cpu_ms() - start);
	}
	print_time("judge", best);
	g_free(nodes);
}

int main(void)
{
	time_passes();
	time_pins();
	time_health();
	return out_status();
}
