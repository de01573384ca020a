#include "bench/common_fleet.h"
#include "bench/common_out.h"

#include <stdio.h>

/*
 * Compares the weights of two operators, guild (against churn) and falaj
 * (against imbalance), on the same fleet with the same drifting loads and
 * changes of the hot keys, over eight hours.
 */

#define PASS_MS 5000
#define SHIFT_MS 300000
#define HOUR_MS 3600000
#define HOURS 8

struct result {
	double shard_moves;
	double pin_moves;
	double peak_mean;
	double peak_p99;
};

static struct result run(const struct fleet_size *size, double churn,
			 double imbalance)
{
	struct result r = { 0 };
	struct fleet f;
	int64_t start;
	int64_t t;
	guint i;

	fleet_init(&f, size, 1);
	f.policy.weight_churn = churn;
	f.policy.weight_imbalance = imbalance;
	start = fleet_settle(&f);
	for (t = 0; t < HOURS * HOUR_MS; t += PASS_MS) {
		if (t % SHIFT_MS == 0)
			fleet_replace_hot_keys(&f);
		if (t % HOUR_MS == 0)
			fleet_drift(&f);
		fleet_step(&f, start + t);
		fleet_record_peak(&f);
	}
	for (i = 0; i < f.peak_ratios->len; i++)
		r.peak_mean += g_array_index(f.peak_ratios, double, i) /
			       f.peak_ratios->len;
	r.peak_p99 = fleet_peak_quantile(&f, 0.99);
	r.shard_moves = (double)f.moves_by_cause[PLACE_IMBALANCE];
	r.pin_moves = (double)f.moves_by_cause[PLACE_PIN];
	fleet_finish(&f);
	return r;
}

static void print_result(const char *operator, struct result r)
{
	char name[64];

	snprintf(name, sizeof(name), "weights.%s.shard_moves", operator);
	out_value(name, r.shard_moves, "moves");
	snprintf(name, sizeof(name), "weights.%s.pin_moves", operator);
	out_value(name, r.pin_moves, "moves");
	snprintf(name, sizeof(name), "weights.%s.peak_mean", operator);
	out_value(name, r.peak_mean, "ratio");
	snprintf(name, sizeof(name), "weights.%s.peak_p99", operator);
	out_value(name, r.peak_p99, "ratio");
}

int main(void)
{
	struct result guild = run(&fleet_guild, 10, 1);
	struct result falaj = run(&fleet_guild, 1, 10);

	print_result("guild", guild);
	print_result("falaj", falaj);
	/* Each operator must do better in what it weighs higher. */
	out_max("weights.moves_guild_by_falaj",
		(guild.shard_moves + guild.pin_moves) /
			(falaj.shard_moves + falaj.pin_moves),
		"ratio", 1);
	out_max("weights.excess_falaj_by_guild",
		(falaj.peak_mean - 1) / (guild.peak_mean - 1), "ratio", 1);
	return out_status();
}
