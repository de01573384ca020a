#include "bench/common_fleet.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Spread of the shards' loads without hot keys (log-normal). */
#define SHARD_SIGMA 0.3
#define DRIFT_SIGMA 0.1
#define DRIFT_HOURS 6.0
#define PINS_MAX 256

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
	.hot_part = 0.3,
	.hot_skew = 1,
	.hot_max = 0.5,
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
	.hot_part = 0.3,
	.hot_skew = 1,
	.hot_max = 0.5,
};

/* 14 million requests/s on 5,200 nodes; the 82 keys have about 1% of them. */
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
	.hot_part = 0.012,
	.hot_skew = 0.5,
	.hot_max = 1.0,
};

double fleet_normal(struct fleet *f)
{
	double r;
	double angle;

	if (f->has_spare) {
		f->has_spare = 0;
		return f->spare;
	}
	r = sqrt(-2 * log(1 - g_rand_double(f->rand)));
	angle = 2 * G_PI * g_rand_double(f->rand);
	f->spare = r * sin(angle);
	f->has_spare = 1;
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
	size_t most = f->size->shards + PINS_MAX;
	uint32_t i;

	f->slots = g_new0(struct place_slot, most);
	f->truth = g_new0(double, most);
	f->seen = g_new0(struct place_average, most);
	f->done_ms = g_new0(int64_t, most);
	f->tail = g_new0(double, f->size->shards);
	f->base = g_new0(double, f->size->shards);
	f->drift = g_new0(double, f->size->shards);
	f->slot_count = f->size->shards;
	for (i = 0; i < f->size->shards; i++) {
		f->slots[i].slot = i;
		f->base[i] = exp(SHARD_SIGMA * fleet_normal(f));
		f->tail[i] = f->base[i];
	}
}

static void fill_truth(struct fleet *f)
{
	size_t i;

	for (i = 0; i < f->size->shards; i++)
		f->truth[i] = f->tail[i];
	for (i = 0; i < f->key_count; i++) {
		const struct fleet_key *k = &f->keys[i];

		f->truth[k->slot ? k->slot : k->shard] += k->truth;
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
	f->peaks = g_array_new(FALSE, FALSE, sizeof(double));
	place_init(&f->state, 0);
	place_moves_init(&f->moves);
	init_nodes(f);
	init_slots(f);
	fleet_shift_hot(f);
}

void fleet_finish(struct fleet *f)
{
	place_moves_finish(&f->moves);
	g_array_free(f->peaks, TRUE);
	g_rand_free(f->rand);
	g_free(f->nodes);
	g_free(f->slots);
	g_free(f->truth);
	g_free(f->seen);
	g_free(f->done_ms);
	g_free(f->tail);
	g_free(f->base);
	g_free(f->drift);
}

static void reset_pins(struct fleet *f)
{
	size_t i;

	for (i = f->size->shards; i < f->slot_count; i++)
		f->truth[i] = 0;
	fill_truth(f);
}

/* Keys without load and without a pin are forgotten. */
static void forget_keys(struct fleet *f)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < f->key_count; i++) {
		if (f->keys[i].truth > 0 || f->keys[i].slot)
			f->keys[n++] = f->keys[i];
	}
	f->key_count = n;
}

void fleet_shift_hot(struct fleet *f)
{
	double tail = 0;
	double mean;
	double sum = 0;
	size_t i;

	for (i = 0; i < f->key_count; i++)
		f->keys[i].truth = 0;
	forget_keys(f);
	for (i = 0; i < f->size->shards; i++)
		tail += f->tail[i];
	for (i = 1; i <= FLEET_HOT; i++)
		sum += pow((double)i, -f->size->hot_skew);
	mean = tail / (1 - f->size->hot_part) / f->size->nodes;
	f->unit = mean / f->size->rate_per_node;
	for (i = 1; i <= FLEET_HOT; i++) {
		struct fleet_key *k = &f->keys[f->key_count++];
		double load = f->size->hot_part * mean * f->size->nodes /
			      pow((double)i, -f->size->hot_skew) / sum;

		memset(k, 0, sizeof(*k));
		k->hash = (uint64_t)g_rand_int(f->rand) << 32 |
			  g_rand_int(f->rand);
		k->shard = (uint32_t)(k->hash % f->size->shards);
		k->truth = fmin(load, f->size->hot_max * mean);
	}
	reset_pins(f);
}

void fleet_drift(struct fleet *f)
{
	double keep = exp(-1 / DRIFT_HOURS);
	double add = DRIFT_SIGMA * sqrt(1 - keep * keep);
	uint32_t i;

	for (i = 0; i < f->size->shards; i++) {
		f->drift[i] = keep * f->drift[i] + add * fleet_normal(f);
		f->tail[i] = f->base[i] * exp(f->drift[i]);
	}
	reset_pins(f);
}

static void finish_releases(struct fleet *f, int64_t now_ms)
{
	size_t i;

	for (i = 0; i < f->slot_count; i++) {
		if (!f->slots[i].to || f->done_ms[i] > now_ms)
			continue;
		f->slots[i].owner = f->slots[i].to;
		f->slots[i].to = 0;
	}
}

/* A report counts requests, so its error is that of a Poisson count. */
static void see(struct fleet *f, struct place_average *a, double truth)
{
	double count = FLEET_REPORT_MS / 1000.0 / f->unit;
	double error = truth > 0 ? fleet_normal(f) / sqrt(truth * count) : 0;

	place_average_update(a, truth * fmax(0, 1 + error), count);
}

static void take_reports(struct fleet *f)
{
	size_t i;

	for (i = 0; i < f->slot_count; i++) {
		see(f, &f->seen[i], f->truth[i]);
		f->slots[i].load = f->seen[i].load;
	}
	for (i = 0; i < f->key_count; i++)
		see(f, &f->keys[i].seen, f->keys[i].truth);
}

static void set_seen(struct fleet *f, size_t s, double load)
{
	f->seen[s].load = load;
	f->seen[s].reports = 1;
	f->slots[s].load = load;
}

static void add_pin(struct fleet *f, struct fleet_key *k)
{
	size_t s = f->slot_count++;

	k->slot = s;
	k->cold_since_ms = 0;
	f->slots[s] = f->slots[k->shard];
	f->slots[s].slot = (uint32_t)s;
	f->slots[s].is_pin = 1;
	f->done_ms[s] = f->done_ms[k->shard];
	f->truth[s] = 0;
	set_seen(f, s, k->seen.load);
	set_seen(f, k->shard, fmax(0, f->seen[k->shard].load - k->seen.load));
}

/* The last pin takes the number of the dropped one. */
static void drop_pin(struct fleet *f, struct fleet_key *k)
{
	size_t last = --f->slot_count;
	size_t i;

	for (i = 0; i < f->key_count; i++) {
		if (f->keys[i].slot == last)
			f->keys[i].slot = k->slot;
	}
	f->slots[k->slot] = f->slots[last];
	f->slots[k->slot].slot = (uint32_t)k->slot;
	f->done_ms[k->slot] = f->done_ms[last];
	f->seen[k->slot] = f->seen[last];
	k->slot = 0;
}

static void decide_pins(struct fleet *f, int64_t now_ms)
{
	struct place_key keys[FLEET_MAX_KEYS];
	struct place_pin out[FLEET_MAX_KEYS];
	double total = 0;
	size_t n;
	size_t i;

	for (i = 0; i < f->slot_count; i++)
		total += f->slots[i].load;
	for (i = 0; i < f->key_count; i++) {
		keys[i].hash = f->keys[i].hash;
		keys[i].load = f->keys[i].seen.load;
		keys[i].pinned = f->keys[i].slot != 0;
		keys[i].fixed = 0;
		keys[i].cold_since_ms = f->keys[i].cold_since_ms;
	}
	n = place_decide_pins(&f->policy, total / f->size->nodes, keys,
			      f->key_count, now_ms, out, FLEET_MAX_KEYS);
	for (i = 0; i < f->key_count; i++)
		f->keys[i].cold_since_ms = keys[i].cold_since_ms;
	for (i = 0; i < n; i++) {
		if (out[i].add)
			add_pin(f, &f->keys[out[i].key]);
		else
			drop_pin(f, &f->keys[out[i].key]);
	}
	reset_pins(f);
}

static int is_gone(const struct fleet *f, uint32_t id)
{
	size_t i;

	/* Ids are given in order, so most are at their first place. */
	if (id && id <= f->size->nodes && f->nodes[id - 1].id == id)
		return f->nodes[id - 1].state == PLACE_LOST;
	for (i = 0; i < f->size->nodes; i++) {
		if (f->nodes[i].id == id)
			return f->nodes[i].state == PLACE_LOST;
	}
	return 1;
}

static void carry_out(struct fleet *f, int64_t now_ms)
{
	size_t i;

	for (i = 0; i < f->moves.count; i++) {
		const struct place_move *m = &f->moves.items[i];

		f->made[m->cause]++;
		if (!m->from || is_gone(f, m->from)) {
			f->slots[m->slot].owner = m->to;
			f->slots[m->slot].to = 0;
			continue;
		}
		f->slots[m->slot].to = m->to;
		f->done_ms[m->slot] = now_ms + FLEET_RELEASE_MS;
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
	place_pass(&f->state, &f->policy, f->nodes, f->size->nodes, f->slots,
		   f->slot_count, now_ms, &f->moves);
	carry_out(f, now_ms);
}

void fleet_reset(struct fleet *f)
{
	memset(f->made, 0, sizeof(f->made));
	g_array_set_size(f->peaks, 0);
}

int64_t fleet_settle(struct fleet *f)
{
	int64_t t;

	for (t = 0; t < 600000; t += 5000)
		fleet_step(f, t);
	fleet_reset(f);
	return t;
}

double fleet_peak(const struct fleet *f)
{
	double *load = g_new0(double, f->next_id + 1);
	double total = 0;
	double peak = 0;
	double live = 0;
	size_t i;

	for (i = 0; i < f->slot_count; i++)
		load[f->slots[i].owner] += f->truth[i];
	for (i = 0; i < f->size->nodes; i++) {
		if (f->nodes[i].state != PLACE_LIVE)
			continue;
		total += load[f->nodes[i].id];
		peak = fmax(peak, load[f->nodes[i].id]);
		live++;
	}
	g_free(load);
	return total > 0 ? peak * live / total : 0;
}

void fleet_note(struct fleet *f)
{
	double peak = fleet_peak(f);

	g_array_append_val(f->peaks, peak);
}

static gint by_value(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

double fleet_peak_quantile(const struct fleet *f, double q)
{
	guint i;

	if (f->peaks->len == 0)
		return 0;
	g_array_sort(f->peaks, by_value);
	i = (guint)ceil(q * f->peaks->len);
	return g_array_index(f->peaks, double, i ? i - 1 : 0);
}

void fleet_replace(struct fleet *f, size_t node)
{
	f->nodes[node].id = ++f->next_id;
	f->nodes[node].state = PLACE_LIVE;
}

size_t fleet_slots_of(const struct fleet *f, uint32_t id)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < f->slot_count; i++)
		n += f->slots[i].owner == id;
	return n;
}

uint64_t fleet_voluntary(const struct fleet *f)
{
	return f->made[PLACE_IMBALANCE] + f->made[PLACE_PIN];
}

uint64_t fleet_forced(const struct fleet *f)
{
	return f->made[PLACE_UNOWNED] + f->made[PLACE_NODE_LOST] +
	       f->made[PLACE_DRAIN] + f->made[PLACE_ASSIGN];
}
