#include "bench/common_fleet.h"
#include "bench/common_out.h"

#include <stdio.h>
#include <string.h>

/*
 * Compares four limits for voluntary moves: the sliding window of
 * placement/place.c, a token bucket that holds half the budget and refills at
 * half its rate (so that no 60 s have more moves than the budget), a fixed
 * window of one minute, and no limit. Half of a fleet's nodes return empty, and
 * the hot keys change. Prints how soon the load is even again and the most
 * moves in any 60 s.
 */

#define DURATION_S 900
#define SHIFT_S 300
#define WINDOW_S 60

enum budget { SLIDING, BUCKET, WINDOW, UNLIMITED };

struct result {
	/* Time until peak to mean is at most 1.15; -1: never. */
	double balanced_after_s;
	double max_in_60s; /* most moves in any 60 s */
	double moves;
};

static double max_moves_in_60s(const uint32_t *moves)
{
	uint32_t most = 0;
	int t;
	int i;

	for (t = 0; t + WINDOW_S <= DURATION_S; t++) {
		uint32_t sum = 0;

		for (i = 0; i < WINDOW_S; i++)
			sum += moves[t + i];
		most = MAX(most, sum);
	}
	return most;
}

/* Lets the next pass make as many moves as the budget allows now. */
static void set_budget(struct fleet *f, enum budget budget, int second,
		       double *moves_left)
{
	double most = f->size->moves_per_minute;

	switch (budget) {
	case SLIDING:
		return;
	case BUCKET:
		*moves_left = MIN(most / 2, *moves_left + most / 2 / WINDOW_S);
		break;
	case WINDOW:
		if (second % WINDOW_S == 0)
			*moves_left = most;
		break;
	case UNLIMITED:
		*moves_left = 1e6;
		break;
	}
	memset(f->placement.made, 0, sizeof(f->placement.made));
	f->policy.moves_per_minute = (uint32_t)*moves_left;
}

static struct result run(const struct fleet_size *size, enum budget budget)
{
	uint32_t moves[DURATION_S] = { 0 };
	struct result r = { .balanced_after_s = -1 };
	struct fleet f;
	int64_t start;
	uint64_t before;
	double moves_left = size->moves_per_minute / 2.0;
	int s;
	size_t i;

	fleet_init(&f, size, 1);
	for (i = 0; i < size->nodes / 2; i++)
		f.nodes[i].state = PLACE_LOST;
	start = fleet_settle(&f);
	for (i = 0; i < size->nodes / 2; i++)
		fleet_replace_node(&f, i);
	for (s = 0; s < DURATION_S; s++) {
		if (s % SHIFT_S == SHIFT_S - 1)
			fleet_replace_hot_keys(&f);
		set_budget(&f, budget, s, &moves_left);
		before = fleet_voluntary_moves(&f);
		fleet_step(&f, start + s * 1000);
		moves[s] = (uint32_t)(fleet_voluntary_moves(&f) - before);
		moves_left -= moves[s];
		if (r.balanced_after_s < 0 && fleet_peak_to_mean(&f) <= 1.15)
			r.balanced_after_s = s;
	}
	r.max_in_60s = max_moves_in_60s(moves);
	r.moves = (double)fleet_voluntary_moves(&f);
	fleet_finish(&f);
	return r;
}

static void print_result(const struct fleet_size *size, const char *budget,
			 struct result r, int has_bound)
{
	char name[64];

	snprintf(name, sizeof(name), "budgets.%s.%s.reached", size->name,
		 budget);
	out_value(name, r.balanced_after_s, "s");
	snprintf(name, sizeof(name), "budgets.%s.%s.moves", size->name, budget);
	out_value(name, r.moves, "moves");
	snprintf(name, sizeof(name), "budgets.%s.%s.most_in_60s", size->name,
		 budget);
	if (has_bound)
		out_max(name, r.max_in_60s, "moves", size->moves_per_minute);
	else
		out_value(name, r.max_in_60s, "moves");
}

int main(void)
{
	const struct fleet_size *sizes[] = { &fleet_guild, &fleet_falaj };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		print_result(sizes[i], "sliding", run(sizes[i], SLIDING), 1);
		print_result(sizes[i], "bucket", run(sizes[i], BUCKET), 0);
		print_result(sizes[i], "window", run(sizes[i], WINDOW), 0);
		print_result(sizes[i], "none", run(sizes[i], UNLIMITED), 0);
	}
	return out_status();
}
