#include "bench/common_fleet.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Standard deviation of the logarithm of the shards' mean cold loads. */
#define SHARD_LOAD_SIGMA 0.3
#define DRIFT_SIGMA 0.1
#define DRIFT_HOURS 6.0
#define MAX_PINS 256

const struct fleet_size fleet_guild = {
	.name = "guild",
	.nodes = 6,
	.shards = 64,
	.regions = 3,
	.data_centres = 6,
	.capacity = 20,
	.weight_churn = 10,
	.weight_imbalance = 1,
	.moves_per_minute = 30,
	.rate_per_node = 400,
	.hot_share = 0.3,
	.hot_zipf_exponent = 1,
	.hottest_key_load = 0.5,
};

const struct fleet_size fleet_falaj = {
	.name = "falaj",
	.nodes = 6,
	.shards = 64,
	.regions = 3,
	.data_centres = 6,
	.capacity = 15,
	.weight_churn = 1,
	.weight_imbalance = 10,
	.moves_per_minute = 30,
	.rate_per_node = 400,
	.hot_share = 0.3,
	.hot_zipf_exponent = 1,
	.hottest_key_load = 0.5,
};

/* 14 million requests/s on 5,200 nodes; the 82 hot keys get about 1%. */
const struct fleet_size fleet_design = {
	.name = "design",
	.nodes = 5200,
	.shards = 65536,
	.regions = 6,
	.data_centres = 19,
	.capacity = 20,
	.weight_churn = 1,
	.weight_imbalance = 1,
	.moves_per_minute = 2000,
	.rate_per_node = 14e6 / 5200,
	.hot_share = 0.012,
	.hot_zipf_exponent = 0.5,
	.hottest_key_load = 1.0,
};

double fleet_random_normal(struct fleet *f)
{
	double r;
	double angle;

	if (f->has_spare_normal) {
		f->has_spare_normal = 0;
		return f->spare_normal;
	}
	r = sqrt(-2 * log(1 - g_rand_double(f->rand)));
	angle = 2 * G_PI * g_rand_double(f->rand);
	f->spare_normal = r * sin(angle);
	f->has_spare_normal = 1;
	return r * cos(angle);
}

static void init_nodes(struct fleet *f)
{
	uint32_t i;

	f->nodes = g_new0(struct place_node, f->size->nodes);
	for (i = 0; i < f->size->nodes; i++) {
		struct place_node *n = &f->nodes[i];

		n->id = ++f->next_id;
		n->capacity = f->size->capacity;
		n->data_centre = i % f->size->data_centres;
		n->region = n->data_centre % f->size->regions;
		n->eligible = 1;
	}
}

static void init_slots(struct fleet *f)
{
	size_t max_slots = f->size->shards + MAX_PINS;
	uint32_t i;

	f->slots = g_new0(struct place_slot, max_slots);
	f->true_load = g_new0(double, max_slots);
	f->reported = g_new0(struct place_average, max_slots);
	f->release_end_ms = g_new0(int64_t, max_slots);
	f->cold_load = g_new0(double, f->size->shards);
	f->mean_load = g_new0(double, f->size->shards);
	f->log_drift = g_new0(double, f->size->shards);
	f->slot_count = f->size->shards;
	for (i = 0; i < f->size->shards; i++) {
		f->slots[i].slot = i;
		f->mean_load[i] =
			exp(SHARD_LOAD_SIGMA * fleet_random_normal(f));
		f->cold_load[i] = f->mean_load[i];
	}
}

static void sum_loads(struct fleet *f)
{
	size_t i;

	for (i = 0; i < f->size->shards; i++)
		f->true_load[i] = f->cold_load[i];
	for (i = 0; i < f->key_count; i++) {
		const struct fleet_key *k = &f->keys[i];

		f->true_load[k->pin_slot ? k->pin_slot : k->shard] +=
			k->true_load;
	}
}

void fleet_init(struct fleet *f, const struct fleet_size *size, guint32 seed)
{
	memset(f, 0, sizeof(*f));
	f->size = size;
	f->rand = g_rand_new_with_seed(seed);
	f->policy.weight_churn = size->weight_churn;
	f->policy.weight_imbalance = size->weight_imbalance;
	f->policy.max_peak_to_mean = 1.15;
	f->policy.moves_per_minute = size->moves_per_minute;
	f->policy.auto_pins = 128;
	f->peak_ratios = g_array_new(FALSE, FALSE, sizeof(double));
	place_init(&f->placement, 0);
	place_moves_init(&f->moves);
	init_nodes(f);
	init_slots(f);
	fleet_replace_hot_keys(f);
}

void fleet_finish(struct fleet *f)
{
	place_moves_finish(&f->moves);
	g_array_free(f->peak_ratios, TRUE);
	g_rand_free(f->rand);
	g_free(f->nodes);
	g_free(f->slots);
	g_free(f->true_load);
	g_free(f->reported);
	g_free(f->release_end_ms);
	g_free(f->cold_load);
	g_free(f->mean_load);
	g_free(f->log_drift);
}

static void recompute_loads(struct fleet *f)
{
	size_t i;

	for (i = f->size->shards; i < f->slot_count; i++)
		f->true_load[i] = 0;
	sum_loads(f);
}

/* Removes the keys that have neither load nor a pin. */
static void drop_unused_keys(struct fleet *f)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < f->key_count; i++) {
		if (f->keys[i].true_load > 0 || f->keys[i].pin_slot)
			f->keys[n++] = f->keys[i];
	}
	f->key_count = n;
}

void fleet_replace_hot_keys(struct fleet *f)
{
	double total_cold_load = 0;
	double mean;
	double sum = 0;
	size_t i;

	for (i = 0; i < f->key_count; i++)
		f->keys[i].true_load = 0;
	drop_unused_keys(f);
	for (i = 0; i < f->size->shards; i++)
		total_cold_load += f->cold_load[i];
	for (i = 1; i <= FLEET_HOT_KEYS; i++)
		sum += pow((double)i, -f->size->hot_zipf_exponent);
	mean = total_cold_load / (1 - f->size->hot_share) / f->size->nodes;
	f->load_per_rps = mean / f->size->rate_per_node;
	for (i = 1; i <= FLEET_HOT_KEYS; i++) {
		struct fleet_key *k = &f->keys[f->key_count++];
		double load = f->size->hot_share * mean * f->size->nodes /
			      pow((double)i, -f->size->hot_zipf_exponent) / sum;

		memset(k, 0, sizeof(*k));
		k->hash = (uint64_t)g_rand_int(f->rand) << 32 |
			  g_rand_int(f->rand);
		k->shard = (uint32_t)(k->hash % f->size->shards);
		k->true_load = fmin(load, f->size->hottest_key_load * mean);
	}
	recompute_loads(f);
}

void fleet_drift(struct fleet *f)
{
	double retained = exp(-1 / DRIFT_HOURS);
	double step_sigma = DRIFT_SIGMA * sqrt(1 - retained * retained);
	uint32_t i;

	for (i = 0; i < f->size->shards; i++) {
		f->log_drift[i] = retained * f->log_drift[i] +
				  step_sigma * fleet_random_normal(f);
		f->cold_load[i] = f->mean_load[i] * exp(f->log_drift[i]);
	}
	recompute_loads(f);
}

static void finish_releases(struct fleet *f, int64_t now_ms)
{
	size_t i;

	for (i = 0; i < f->slot_count; i++) {
		if (!f->slots[i].to || f->release_end_ms[i] > now_ms)
			continue;
		f->slots[i].owner = f->slots[i].to;
		f->slots[i].to = 0;
	}
}

/*
 * Adds one report of the load to the average. A report counts requests, so it
 * has the standard error of a Poisson count.
 */
static void update_reported_load(struct fleet *f, struct place_average *a,
				 double true_load)
{
	double count = FLEET_REPORT_MS / 1000.0 / f->load_per_rps;
	double error =
		true_load > 0 ? fleet_random_normal(f) / sqrt(true_load * count)
			      : 0;

	place_average_update(a, true_load * fmax(0, 1 + error), count);
}

static void take_reports(struct fleet *f)
{
	size_t i;

	for (i = 0; i < f->slot_count; i++) {
		update_reported_load(f, &f->reported[i], f->true_load[i]);
		f->slots[i].load = f->reported[i].load;
	}
	for (i = 0; i < f->key_count; i++)
		update_reported_load(f, &f->keys[i].reported,
				     f->keys[i].true_load);
}

static void set_reported_load(struct fleet *f, size_t s, double load)
{
	f->reported[s].load = load;
	f->reported[s].reports = 1;
	f->slots[s].load = load;
}

static void add_pin(struct fleet *f, struct fleet_key *k)
{
	size_t s = f->slot_count++;

	k->pin_slot = s;
	k->cold_since_ms = 0;
	f->slots[s] = f->slots[k->shard];
	f->slots[s].slot = (uint32_t)s;
	f->slots[s].is_pin = 1;
	f->release_end_ms[s] = f->release_end_ms[k->shard];
	f->true_load[s] = 0;
	set_reported_load(f, s, k->reported.load);
	set_reported_load(
		f, k->shard,
		fmax(0, f->reported[k->shard].load - k->reported.load));
}

/* Removes the pin of the key. The last pin takes over its slot number. */
static void drop_pin(struct fleet *f, struct fleet_key *k)
{
	size_t last = --f->slot_count;
	size_t i;

	for (i = 0; i < f->key_count; i++) {
		if (f->keys[i].pin_slot == last)
			f->keys[i].pin_slot = k->pin_slot;
	}
	f->slots[k->pin_slot] = f->slots[last];
	f->slots[k->pin_slot].slot = (uint32_t)k->pin_slot;
	f->release_end_ms[k->pin_slot] = f->release_end_ms[last];
	f->reported[k->pin_slot] = f->reported[last];
	k->pin_slot = 0;
}

static void decide_pins(struct fleet *f, int64_t now_ms)
{
	struct place_key keys[FLEET_MAX_KEYS];
	struct place_pin out[FLEET_MAX_KEYS];
	double total_load = 0;
	size_t n;
	size_t i;

	for (i = 0; i < f->slot_count; i++)
		total_load += f->slots[i].load;
	for (i = 0; i < f->key_count; i++) {
		keys[i].hash = f->keys[i].hash;
		keys[i].load = f->keys[i].reported.load;
		keys[i].pinned = f->keys[i].pin_slot != 0;
		keys[i].fixed = 0;
		keys[i].cold_since_ms = f->keys[i].cold_since_ms;
	}
	n = place_decide_pins(&f->policy, total_load / f->size->nodes, keys,
			      f->key_count, now_ms, out, FLEET_MAX_KEYS);
	for (i = 0; i < f->key_count; i++)
		f->keys[i].cold_since_ms = keys[i].cold_since_ms;
	for (i = 0; i < n; i++) {
		if (out[i].add)
			add_pin(f, &f->keys[out[i].key]);
		else
			drop_pin(f, &f->keys[out[i].key]);
	}
	recompute_loads(f);
}

static int is_node_lost(const struct fleet *f, uint32_t id)
{
	size_t i;

	/* Ids are assigned in order: most nodes are at index id - 1. */
	if (id && id <= f->size->nodes && f->nodes[id - 1].id == id)
		return f->nodes[id - 1].state == PLACE_LOST;
	for (i = 0; i < f->size->nodes; i++) {
		if (f->nodes[i].id == id)
			return f->nodes[i].state == PLACE_LOST;
	}
	return 1;
}

static void apply_moves(struct fleet *f, int64_t now_ms)
{
	size_t i;

	for (i = 0; i < f->moves.count; i++) {
		const struct place_move *m = &f->moves.items[i];

		f->moves_by_cause[m->cause]++;
		if (!m->from || is_node_lost(f, m->from)) {
			f->slots[m->slot].owner = m->to;
			f->slots[m->slot].to = 0;
			continue;
		}
		f->slots[m->slot].to = m->to;
		f->release_end_ms[m->slot] = now_ms + FLEET_RELEASE_MS;
	}
}

void fleet_step(struct fleet *f, int64_t now_ms)
{
	finish_releases(f, now_ms);
	if (now_ms - f->reported_ms >= FLEET_REPORT_MS) {
		f->reported_ms = now_ms;
		take_reports(f);
		decide_pins(f, now_ms);
	}
	place_pass(&f->placement, &f->policy, f->nodes, f->size->nodes,
		   f->slots, f->slot_count, now_ms, &f->moves);
	apply_moves(f, now_ms);
}

void fleet_reset_metrics(struct fleet *f)
{
	memset(f->moves_by_cause, 0, sizeof(f->moves_by_cause));
	g_array_set_size(f->peak_ratios, 0);
}

int64_t fleet_settle(struct fleet *f)
{
	int64_t t;

	for (t = 0; t < 600000; t += 5000)
		fleet_step(f, t);
	fleet_reset_metrics(f);
	return t;
}

double fleet_peak_to_mean(const struct fleet *f)
{
	double *load = g_new0(double, f->next_id + 1);
	double total_load = 0;
	double peak = 0;
	double live_count = 0;
	size_t i;

	for (i = 0; i < f->slot_count; i++)
		load[f->slots[i].owner] += f->true_load[i];
	for (i = 0; i < f->size->nodes; i++) {
		if (f->nodes[i].state != PLACE_LIVE)
			continue;
		total_load += load[f->nodes[i].id];
		peak = fmax(peak, load[f->nodes[i].id]);
		live_count++;
	}
	g_free(load);
	return total_load > 0 ? peak * live_count / total_load : 0;
}

void fleet_record_peak(struct fleet *f)
{
	double peak = fleet_peak_to_mean(f);

	g_array_append_val(f->peak_ratios, peak);
}

static gint compare_doubles(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

double fleet_peak_quantile(const struct fleet *f, double q)
{
	guint i;

	if (f->peak_ratios->len == 0)
		return 0;
	g_array_sort(f->peak_ratios, compare_doubles);
	i = (guint)ceil(q * f->peak_ratios->len);
	return g_array_index(f->peak_ratios, double, i ? i - 1 : 0);
}

void fleet_replace_node(struct fleet *f, size_t node)
{
	f->nodes[node].id = ++f->next_id;
	f->nodes[node].state = PLACE_LIVE;
}

size_t fleet_count_slots(const struct fleet *f, uint32_t id)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < f->slot_count; i++)
		n += f->slots[i].owner == id;
	return n;
}

uint64_t fleet_voluntary_moves(const struct fleet *f)
{
	return f->moves_by_cause[PLACE_IMBALANCE] +
	       f->moves_by_cause[PLACE_PIN];
}

uint64_t fleet_forced_moves(const struct fleet *f)
{
	return f->moves_by_cause[PLACE_UNOWNED] +
	       f->moves_by_cause[PLACE_NODE_LOST] +
	       f->moves_by_cause[PLACE_DRAIN] + f->moves_by_cause[PLACE_ASSIGN];
}
