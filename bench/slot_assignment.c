#include "bench/common_fleet.h"
#include "bench/common_out.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Ways to assign slots, on the same loads, losses and shifts of the hot set:
 * the assigned table (placement/place.c), rendezvous hashing, and consistent
 * hashing with bounded loads. Hot keys are items of their own for all three.
 */

#define EVENTS 25
#define VNODES 100
#define BOUND 1.15
#define STEP_MS 1000
#define EVENT_MS 120000

struct point {
	uint64_t at;
	uint32_t node; /* index */
};

struct hashing {
	uint32_t nodes; /* all that will ever exist, index is id - 1 */
	uint8_t *alive;
	uint32_t live;
	double *load;
	uint32_t *owner;    /* by shard, index of node */
	struct point *ring; /* bounded loads only */
	size_t points;
	uint32_t shards;
	uint64_t moved;
	uint64_t least;
	GArray *peaks;
};

static uint64_t mix(uint64_t a, uint64_t b)
{
	uint64_t z = a * UINT64_C(0x9e3779b97f4a7c15) + b;

	z = (z ^ z >> 30) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ z >> 27) * UINT64_C(0x94d049bb133111eb);
	return z ^ z >> 31;
}

static uint32_t rendezvous(const struct hashing *h, uint64_t item)
{
	uint64_t best = 0;
	uint32_t owner = 0;
	uint32_t n;

	for (n = 0; n < h->nodes; n++) {
		uint64_t weight = mix(item + 1, n + 1);

		if (!h->alive[n] || weight < best)
			continue;
		best = weight;
		owner = n;
	}
	return owner;
}

static int by_point(const void *a, const void *b)
{
	uint64_t x = ((const struct point *)a)->at;
	uint64_t y = ((const struct point *)b)->at;

	return (x > y) - (x < y);
}

static void make_ring(struct hashing *h)
{
	uint32_t n;
	uint32_t v;

	h->points = (size_t)h->nodes * VNODES;
	h->ring = g_new(struct point, h->points);
	for (n = 0; n < h->nodes; n++) {
		for (v = 0; v < VNODES; v++) {
			struct point *p = &h->ring[(size_t)n * VNODES + v];

			p->at = mix(n + 1, v + UINT64_C(1000000007));
			p->node = n;
		}
	}
	qsort(h->ring, h->points, sizeof(*h->ring), by_point);
}

static void hashing_init(struct hashing *h, const struct fleet_size *size,
			 int bounded)
{
	memset(h, 0, sizeof(*h));
	h->nodes = size->nodes + EVENTS;
	h->live = size->nodes;
	h->shards = size->shards;
	h->alive = g_new0(uint8_t, h->nodes);
	memset(h->alive, 1, size->nodes);
	h->load = g_new0(double, h->nodes);
	h->owner = g_new0(uint32_t, h->shards);
	h->peaks = g_array_new(FALSE, FALSE, sizeof(double));
	if (bounded)
		make_ring(h);
}

static void hashing_finish(struct hashing *h)
{
	g_free(h->alive);
	g_free(h->load);
	g_free(h->owner);
	g_free(h->ring);
	g_array_free(h->peaks, TRUE);
}

/* First node on the ring, from the item on, that has room for it. */
static uint32_t bounded(const struct hashing *h, uint64_t item, double load,
			double most)
{
	uint64_t at = mix(item + 1, 77);
	size_t lo = 0;
	size_t hi = h->points;
	size_t i;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (h->ring[mid].at < at)
			lo = mid + 1;
		else
			hi = mid;
	}
	if (lo == h->points)
		lo = 0;
	for (i = 0; i < h->points; i++) {
		uint32_t n = h->ring[(lo + i) % h->points].node;

		if (h->alive[n] && (h->load[n] + load <= most ||
				    (h->load[n] == 0 && load > most)))
			return n;
	}
	return h->ring[lo].node;
}

/* New owners; a shard of a dead node is forced to move. */
static void assign(struct hashing *h, const struct fleet *f, int is_first)
{
	double total = 0;
	double peak = 0;
	uint32_t i;

	memset(h->load, 0, h->nodes * sizeof(*h->load));
	for (i = 0; i < h->shards; i++)
		total += f->tail[i];
	for (i = 0; i < f->key_count; i++)
		total += f->keys[i].truth;
	for (i = 0; i < f->key_count; i++) {
		const struct fleet_key *k = &f->keys[i];
		uint32_t n = h->ring ? bounded(h, k->hash, k->truth,
					       BOUND * total / h->live)
				     : rendezvous(h, k->hash);

		h->load[n] += k->truth;
	}
	for (i = 0; i < h->shards; i++) {
		uint32_t n = h->owner[i];

		if (h->ring)
			n = bounded(h, i, f->tail[i], BOUND * total / h->live);
		else if (is_first || !h->alive[n])
			n = rendezvous(h, i);
		if (!is_first) {
			h->least += !h->alive[h->owner[i]];
			h->moved += n != h->owner[i];
		}
		h->owner[i] = n;
		h->load[n] += f->tail[i];
	}
	for (i = 0; i < h->nodes; i++)
		peak = fmax(peak, h->load[i]);
	peak *= h->live / total;
	g_array_append_val(h->peaks, peak);
}

/* Rendezvous hashing: a new node takes the shards it is the best for. */
static void add_node(struct hashing *h, uint32_t node)
{
	uint32_t i;

	h->alive[node] = 1;
	h->live++;
	if (h->ring)
		return;
	for (i = 0; i < h->shards; i++) {
		if (mix(i + 1, node + 1) < mix(i + 1, h->owner[i] + 1))
			continue;
		h->owner[i] = node;
		h->moved++;
	}
}

static void drop_node(struct hashing *h, uint32_t node)
{
	h->alive[node] = 0;
	h->live--;
}

static void line(const char *size, const char *way, const char *what,
		 double value, const char *unit)
{
	char name[96];

	snprintf(name, sizeof(name), "ways.%s.%s.%s", size, way, what);
	out_fig(name, value, unit);
}

static void print(const char *size, const char *way, GArray *peaks,
		  double moved, double least)
{
	double sum = 0;
	double worst = 0;
	guint i;

	for (i = 0; i < peaks->len; i++) {
		sum += g_array_index(peaks, double, i);
		worst = fmax(worst, g_array_index(peaks, double, i));
	}
	line(size, way, "peak_mean", sum / peaks->len, "ratio");
	line(size, way, "peak_max", worst, "ratio");
	line(size, way, "shards_moved", moved, "moves");
	line(size, way, "churn", moved / least, "ratio");
}

static void table_run(struct fleet *f, int64_t *t)
{
	int64_t end = *t + EVENT_MS;

	for (; *t < end; *t += STEP_MS)
		fleet_step(f, *t);
	fleet_note(f);
}

/* A node is lost, then replaced by an empty one; every fifth time, the hot
 * set is another one. */
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
			fleet_shift_hot(&f);
		least += fleet_slots_of(&f, id);
		f.nodes[node].state = PLACE_LOST;
		table_run(&f, &t);
		for (i = 0; i < 2; i++) {
			drop_node(&h[i], id - 1);
			assign(&h[i], &f, 0);
		}
		fleet_replace(&f, node);
		table_run(&f, &t);
		for (i = 0; i < 2; i++) {
			add_node(&h[i], f.nodes[node].id - 1);
			assign(&h[i], &f, 0);
		}
	}
	print(size->name, "table", f.peaks,
	      (double)(fleet_forced(&f) + f.made[PLACE_IMBALANCE]),
	      (double)least);
	line(size->name, "table", "pins_moved", (double)f.made[PLACE_PIN],
	     "moves");
	print(size->name, "rendezvous", h[0].peaks, (double)h[0].moved,
	      (double)h[0].least);
	print(size->name, "bounded_loads", h[1].peaks, (double)h[1].moved,
	      (double)h[1].least);
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
