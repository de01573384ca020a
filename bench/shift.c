#include "bench/common_fleet.h"
#include "bench/common_out.h"

#include <stdio.h>

/*
 * Replaces the 82 hot keys about every five minutes and prints how long the
 * peak-to-mean ratio of the load takes to return to 1.15, for the three fleet
 * sizes, also without pins and with other limits on moves.
 */

#define SHIFTS 6
/*
 * Not a multiple of the report period, so that the time from a report to the
 * next shift varies.
 */
#define SHIFT_PERIOD_MS 301000
#define GOAL_PEAK_TO_MEAN 1.15

struct result {
	double worst_reached_s; /* longest time to the goal; -1: never */
	double peak_after_60s; /* highest ratio later than 60 s after a shift */
	double peak_p99;       /* of the peak-to-mean ratio over time */
	double shard_moves_per_shift;
	double pin_moves_per_shift;
};

static struct result run(const struct fleet_size *size, guint32 seed,
			 uint32_t moves_per_minute, uint32_t auto_pins)
{
	struct result r = { 0 };
	struct fleet f;
	int64_t t;
	int64_t at;
	int shift;

	fleet_init(&f, size, seed);
	f.policy.moves_per_minute = moves_per_minute;
	f.policy.auto_pins = auto_pins;
	t = fleet_settle(&f);
	for (shift = 0; shift < SHIFTS; shift++) {
		int64_t reached = -1;

		fleet_replace_hot_keys(&f);
		for (at = 0; at < SHIFT_PERIOD_MS; at += 1000, t += 1000) {
			double peak;

			fleet_step(&f, t);
			peak = fleet_peak_to_mean(&f);
			fleet_record_peak(&f);
			if (peak <= GOAL_PEAK_TO_MEAN && reached < 0)
				reached = at;
			if (peak > GOAL_PEAK_TO_MEAN && at < 60000)
				reached = -1;
			if (at >= 60000 && peak > r.peak_after_60s)
				r.peak_after_60s = peak;
		}
		if (reached < 0 || r.worst_reached_s < 0)
			r.worst_reached_s = -1;
		else if ((double)reached / 1000 > r.worst_reached_s)
			r.worst_reached_s = (double)reached / 1000;
	}
	r.peak_p99 = fleet_peak_quantile(&f, 0.99);
	r.shard_moves_per_shift =
		(double)f.moves_by_cause[PLACE_IMBALANCE] / SHIFTS;
	r.pin_moves_per_shift = (double)f.moves_by_cause[PLACE_PIN] / SHIFTS;
	fleet_finish(&f);
	return r;
}

static void print_result(const char *name, const char *variant, struct result r,
			 int has_bound)
{
	char line[96];

	snprintf(line, sizeof(line), "shift.%s.%s.peak_after_60s", name,
		 variant);
	if (has_bound)
		out_max(line, r.peak_after_60s, "ratio", GOAL_PEAK_TO_MEAN);
	else
		out_value(line, r.peak_after_60s, "ratio");
	snprintf(line, sizeof(line), "shift.%s.%s.reached", name, variant);
	if (has_bound && r.worst_reached_s >= 0)
		out_max(line, r.worst_reached_s, "s", 60);
	else
		out_value(line, r.worst_reached_s, "s");
	snprintf(line, sizeof(line), "shift.%s.%s.peak_p99", name, variant);
	out_value(line, r.peak_p99, "ratio");
	snprintf(line, sizeof(line), "shift.%s.%s.shard_moves", name, variant);
	out_value(line, r.shard_moves_per_shift, "moves/shift");
	snprintf(line, sizeof(line), "shift.%s.%s.pin_moves", name, variant);
	out_value(line, r.pin_moves_per_shift, "moves/shift");
}

int main(void)
{
	const struct fleet_size *sizes[] = { &fleet_guild, &fleet_falaj,
					     &fleet_design };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		const struct fleet_size *s = sizes[i];

		print_result(s->name, "pins",
			     run(s, 1, s->moves_per_minute, 128), 1);
		print_result(s->name, "no_pins",
			     run(s, 1, s->moves_per_minute, 0), 0);
		print_result(s->name, "unlimited", run(s, 1, 100000, 128), 0);
		print_result(s->name, "quarter_budget",
			     run(s, 1, s->moves_per_minute / 4, 128), 0);
	}
	return out_status();
}
