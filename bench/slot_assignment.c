#include "bench/common_fleet.h"
#include "bench/common_out.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Compares three methods to assign slots to nodes under the same loads, node
 * losses and changes of the hot keys: the table kept by placement/place.c,
 * rendezvous hashing, and consistent hashing with bounded loads. All three
 * assign each hot key on its own.
 */

#define EVENTS 25
#define POINTS_PER_NODE 100
#define MAX_PEAK_TO_MEAN 1.15
#define STEP_MS 1000
#define EVENT_MS 120000

struct point {
	uint64_t position;
	uint32_t node; /* index */
};

struct hashing {
	uint32_t nodes; /* including replacements; index: id - 1 */
	uint8_t *is_alive;
	uint32_t live_count;
	double *load;
	uint32_t *owner_of_shard; /* index of a node, by shard */
	struct point *ring;	  /* bounded loads only */
	size_t ring_size;
	uint32_t shards;
	uint64_t moves;
	uint64_t min_moves;
	GArray *peak_ratios;
};

static uint64_t hash_pair(uint64_t a, uint64_t b)
{
	uint64_t z = a * UINT64_C(0x9e3779b97f4a7c15) + b;

	z = (z ^ z >> 30) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ z >> 27) * UINT64_C(0x94d049bb133111eb);
	return z ^ z >> 31;
}

static uint32_t rendezvous_owner(const struct hashing *h, uint64_t item)
{
	uint64_t best = 0;
	uint32_t owner = 0;
	uint32_t n;

	for (n = 0; n < h->nodes; n++) {
		uint64_t weight = hash_pair(item + 1, n + 1);

		if (!h->is_alive[n] || weight < best)
			continue;
		best = weight;
		owner = n;
	}
	return owner;
}

static int compare_points(const void *a, const void *b)
{
	uint64_t x = ((const struct point *)a)->position;
	uint64_t y = ((const struct point *)b)->position;

	return (x > y) - (x < y);
}

static void make_ring(struct hashing *h)
{
	uint32_t n;
	uint32_t v;

	h->ring_size = (size_t)h->nodes * POINTS_PER_NODE;
	h->ring = g_new(struct point, h->ring_size);
	for (n = 0; n < h->nodes; n++) {
		for (v = 0; v < POINTS_PER_NODE; v++) {
			struct point *p =
				&h->ring[(size_t)n * POINTS_PER_NODE + v];

			p->position =
				hash_pair(n + 1, v + UINT64_C(1000000007));
			p->node = n;
		}
	}
	qsort(h->ring, h->ring_size, sizeof(*h->ring), compare_points);
}

static void hashing_init(struct hashing *h, const struct fleet_size *size,
			 int has_ring)
{
	memset(h, 0, sizeof(*h));
	h->nodes = size->nodes + EVENTS;
	h->live_count = size->nodes;
	h->shards = size->shards;
	h->is_alive = g_new0(uint8_t, h->nodes);
	memset(h->is_alive, 1, size->nodes);
	h->load = g_new0(double, h->nodes);
	h->owner_of_shard = g_new0(uint32_t, h->shards);
	h->peak_ratios = g_array_new(FALSE, FALSE, sizeof(double));
	if (has_ring)
		make_ring(h);
}

static void hashing_finish(struct hashing *h)
{
	g_free(h->is_alive);
	g_free(h->load);
	g_free(h->owner_of_shard);
	g_free(h->ring);
	g_array_free(h->peak_ratios, TRUE);
}

/*
 * Returns the first node on the ring from the item's position on whose load
 * stays within max_load with the item.
 */
static uint32_t bounded_load_owner(const struct hashing *h, uint64_t item,
				   double load, double max_load)
{
	uint64_t at = hash_pair(item + 1, 77);
	size_t lo = 0;
	size_t hi = h->ring_size;
	size_t i;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (h->ring[mid].position < at)
			lo = mid + 1;
		else
			hi = mid;
	}
	if (lo == h->ring_size)
		lo = 0;
	for (i = 0; i < h->ring_size; i++) {
		uint32_t n = h->ring[(lo + i) % h->ring_size].node;

		if (h->is_alive[n] && (h->load[n] + load <= max_load ||
				       (h->load[n] == 0 && load > max_load)))
			return n;
	}
	return h->ring[lo].node;
}

/*
 * Assigns all hot keys and shards, counts the moved shards and records the
 * peak-to-mean ratio. Each shard of a dead node counts as a needed move.
 */
static void assign(struct hashing *h, const struct fleet *f, int is_first)
{
	double total = 0;
	double peak = 0;
	uint32_t i;

	memset(h->load, 0, h->nodes * sizeof(*h->load));
	for (i = 0; i < h->shards; i++)
		total += f->cold_load[i];
	for (i = 0; i < f->key_count; i++)
		total += f->keys[i].true_load;
	for (i = 0; i < f->key_count; i++) {
		const struct fleet_key *k = &f->keys[i];
		uint32_t n =
			h->ring ? bounded_load_owner(h, k->hash, k->true_load,
						     MAX_PEAK_TO_MEAN * total /
							     h->live_count)
				: rendezvous_owner(h, k->hash);

		h->load[n] += k->true_load;
	}
	for (i = 0; i < h->shards; i++) {
		uint32_t n = h->owner_of_shard[i];

		if (h->ring)
			n = bounded_load_owner(h, i, f->cold_load[i],
					       MAX_PEAK_TO_MEAN * total /
						       h->live_count);
		else if (is_first || !h->is_alive[n])
			n = rendezvous_owner(h, i);
		if (!is_first) {
			h->min_moves += !h->is_alive[h->owner_of_shard[i]];
			h->moves += n != h->owner_of_shard[i];
		}
		h->owner_of_shard[i] = n;
		h->load[n] += f->cold_load[i];
	}
	for (i = 0; i < h->nodes; i++)
		peak = fmax(peak, h->load[i]);
	peak *= h->live_count / total;
	g_array_append_val(h->peak_ratios, peak);
}

/* Adds a node; with rendezvous hashing, it gets the shards it wins. */
static void add_node(struct hashing *h, uint32_t node)
{
	uint32_t i;

	h->is_alive[node] = 1;
	h->live_count++;
	if (h->ring)
		return;
	for (i = 0; i < h->shards; i++) {
		if (hash_pair(i + 1, node + 1) <
		    hash_pair(i + 1, h->owner_of_shard[i] + 1))
			continue;
		h->owner_of_shard[i] = node;
		h->moves++;
	}
}

static void remove_node(struct hashing *h, uint32_t node)
{
	h->is_alive[node] = 0;
	h->live_count--;
}

static void print_value(const char *size, const char *method,
			const char *metric, double value, const char *unit)
{
	char name[96];

	snprintf(name, sizeof(name), "ways.%s.%s.%s", size, method, metric);
	out_value(name, value, unit);
}

static void print_method(const char *size, const char *method, GArray *peaks,
			 double moved, double least)
{
	double sum = 0;
	double worst = 0;
	guint i;

	for (i = 0; i < peaks->len; i++) {
		sum += g_array_index(peaks, double, i);
		worst = fmax(worst, g_array_index(peaks, double, i));
	}
	print_value(size, method, "peak_mean", sum / peaks->len, "ratio");
	print_value(size, method, "peak_max", worst, "ratio");
	print_value(size, method, "shards_moved", moved, "moves");
	print_value(size, method, "churn", moved / least, "ratio");
}

static void run_table(struct fleet *f, int64_t *t)
{
	int64_t end = *t + EVENT_MS;

	for (; *t < end; *t += STEP_MS)
		fleet_step(f, *t);
	fleet_record_peak(f);
}

/*
 * Loses one node after another and replaces each by an empty one. The hot keys
 * are replaced at every fifth loss.
 */
static void run(const struct fleet_size *size)
{
	struct hashing h[2];
	struct fleet f;
	uint64_t least = 0;
	int64_t t;
	int e;
	int i;

	fleet_init(&f, size, 1);
	t = fleet_settle(&f);
	for (i = 0; i < 2; i++) {
		hashing_init(&h[i], size, i);
		assign(&h[i], &f, 1);
	}
	for (e = 0; e < EVENTS; e++) {
		size_t node = (size_t)g_rand_int_range(f.rand, 0,
						       (gint32)size->nodes);
		uint32_t id = f.nodes[node].id;

		if (e % 5 == 4)
			fleet_replace_hot_keys(&f);
		least += fleet_count_slots(&f, id);
		f.nodes[node].state = PLACE_LOST;
		run_table(&f, &t);
		for (i = 0; i < 2; i++) {
			remove_node(&h[i], id - 1);
			assign(&h[i], &f, 0);
		}
		fleet_replace_node(&f, node);
		run_table(&f, &t);
		for (i = 0; i < 2; i++) {
			add_node(&h[i], f.nodes[node].id - 1);
			assign(&h[i], &f, 0);
		}
	}
	print_method(size->name, "table", f.peak_ratios,
		     (double)(fleet_forced_moves(&f) +
			      f.moves_by_cause[PLACE_IMBALANCE]),
		     (double)least);
	print_value(size->name, "table", "pins_moved",
		    (double)f.moves_by_cause[PLACE_PIN], "moves");
	print_method(size->name, "rendezvous", h[0].peak_ratios,
		     (double)h[0].moves, (double)h[0].min_moves);
	print_method(size->name, "bounded_loads", h[1].peak_ratios,
		     (double)h[1].moves, (double)h[1].min_moves);
	for (i = 0; i < 2; i++)
		hashing_finish(&h[i]);
	fleet_finish(&f);
}

int main(void)
{
	run(&fleet_guild);
	run(&fleet_falaj);
	run(&fleet_design);
	return out_status();
}
