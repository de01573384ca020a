#include "placement/place.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/*
 * Cost of one voluntary move, as a part of the mean node's load: with equal
 * weights, a move must lower the higher of its two nodes by more than this.
 */
#define PLACE_MOVE_COST 0.002
/* Additional weight of load above max_peak_to_mean, the document's bound. */
#define PLACE_BREACH_FACTOR 20.0
/*
 * Level at which balancing starts, as a part of the way from the level at
 * which it ends up to max_peak_to_mean.
 */
#define PLACE_START_PART 0.75
/*
 * Least load of a slot, as a part of the mean slot's load, so that slots
 * without traffic are spread over the nodes, too.
 */
#define PLACE_MIN_SLOT_PART 0.01
/*
 * Reduction in load, as a part of the mean, that makes a move to another region
 * as good as one within the region: links between regions are slow and
 * billed.
 */
#define PLACE_REGION_BONUS 0.02
/* Number of the heap's first entries that are compared as destinations. */
#define PLACE_CANDIDATES 7
/*
 * A change of the load by more than this many standard errors restarts the
 * average; one report in 15,000 is beyond that by chance.
 */
#define PLACE_JUMP_SIGMA 4.0
/* Most reports in the average. */
#define PLACE_AVERAGE_MAX_REPORTS 30
/*
 * A key is pinned when its load is at least PLACE_PIN_SHARE of the mean node's
 * load. The pin is dropped after the load has been below PLACE_UNPIN_SHARE for
 * PLACE_UNPIN_MS.
 */
#define PLACE_PIN_SHARE 0.05
#define PLACE_UNPIN_SHARE 0.02
#define PLACE_UNPIN_MS 60000

/* A pin is moved instead of a shard if it brings this part of its gain. */
#define PLACE_PIN_PART 0.5
/* Shorter lists are sorted with qsort. */
#define PLACE_RADIX_MIN 512
/*
 * Distance of the prefetch in the list of orphans, which is in the order of
 * load and so accesses the slots in no order of memory.
 */
#define PLACE_PREFETCH 8

/* One node during a pass. */
struct pass_node {
	const struct place_node *input;
	double load;
	double capacity;
	double weighted_capacity; /* capacity * weight, for new slots */
	double utilisation;	  /* load / capacity */
	int usable;		  /* may get slots */
	int keeps_slots;	  /* may keep the slots that it has */
	size_t first;		  /* its movable slots begin at order[first] */
	size_t count;		  /* number of its movable slots */
};

/* The key is stored in the heap, so that comparisons do not access nodes. */
struct heap_item {
	double key;
	size_t n;
};

/* Binary heap of nodes. */
struct heap {
	struct heap_item *items;
	size_t *pos; /* by node; NO_INDEX: not in the heap */
	size_t size;
	int sign; /* 1: least loaded first, -1: most loaded first */
};

struct pass {
	struct place *state;
	const struct place_policy *policy;
	const struct place_slot *slots;
	size_t slot_count;
	struct pass_node *nodes; /* sorted by id */
	size_t node_count;
	size_t *ids; /* hash table of node index + 1, open addressing */
	size_t id_mask;
	unsigned int id_shift;
	size_t *node_of_slot;	  /* by slot: node that its load counts for */
	size_t *order;		  /* movable slots, grouped by node */
	size_t *orphans;	  /* slots that must move */
	enum place_cause *causes; /* by slot; set for orphans */
	size_t orphan_count;
	struct heap least; /* usable nodes, least loaded first */
	struct heap most;  /* nodes to take slots from, most loaded first */
	double min_slot_load;
	double mean_utilisation; /* load / capacity of all usable nodes */
	uint32_t budget_left;	 /* voluntary moves left in this pass */
	struct place_moves *out;
};

#define NO_INDEX SIZE_MAX

void place_init(struct place *p, int64_t now_ms)
{
	memset(p, 0, sizeof(*p));
	p->started_ms = now_ms;
	p->period = now_ms / PLACE_BUDGET_MS;
}

void place_moves_init(struct place_moves *m)
{
	memset(m, 0, sizeof(*m));
}

void place_moves_finish(struct place_moves *m)
{
	free(m->items);
	place_moves_init(m);
}

const char *place_cause_name(enum place_cause cause)
{
	static const char *const names[] = { "unowned", "lost",	     "drain",
					     "assign",	"imbalance", "pin" };

	return names[cause];
}

static double slot_load(const struct pass *ps, size_t s)
{
	return fmax(ps->slots[s].load, ps->min_slot_load);
}

static double utilisation(const struct pass *ps, size_t n)
{
	return ps->nodes[n].utilisation;
}

static void set_load(struct pass_node *n, double load)
{
	n->load = load;
	n->utilisation = load / n->capacity;
}

/* Nodes are in the order of their ids, which break ties. */
static int item_before(const struct heap_item *a, const struct heap_item *b)
{
	return a->key < b->key || (a->key == b->key && a->n < b->n);
}

static void heap_put(struct heap *h, size_t pos, struct heap_item item)
{
	h->items[pos] = item;
	h->pos[item.n] = pos;
}

static size_t heap_up(struct heap *h, size_t pos, struct heap_item item)
{
	while (pos > 0) {
		size_t parent = (pos - 1) / 2;

		if (!item_before(&item, &h->items[parent]))
			break;
		heap_put(h, pos, h->items[parent]);
		pos = parent;
	}
	return pos;
}

static size_t heap_down(struct heap *h, size_t pos, struct heap_item item)
{
	for (;;) {
		size_t child = 2 * pos + 1;

		if (child >= h->size)
			break;
		if (child + 1 < h->size &&
		    item_before(&h->items[child + 1], &h->items[child]))
			child++;
		if (!item_before(&h->items[child], &item))
			break;
		heap_put(h, pos, h->items[child]);
		pos = child;
	}
	return pos;
}

/*
 * Destinations are compared by load over weighted capacity (slow start),
 * sources by load over full capacity.
 */
static double heap_key(const struct pass *ps, const struct heap *h, size_t n)
{
	const struct pass_node *node = &ps->nodes[n];

	return h->sign > 0 ? node->load / node->weighted_capacity
			   : -node->utilisation;
}

static void heap_fix(const struct pass *ps, struct heap *h, size_t n)
{
	struct heap_item item = { heap_key(ps, h, n), n };
	size_t pos = h->pos[n];

	if (pos == NO_INDEX)
		return;
	pos = heap_up(h, pos, item);
	pos = heap_down(h, pos, item);
	heap_put(h, pos, item);
}

static void heap_add(const struct pass *ps, struct heap *h, size_t n)
{
	struct heap_item item = { heap_key(ps, h, n), n };

	heap_put(h, h->size++, item);
	heap_fix(ps, h, n);
}

static void heap_drop(const struct pass *ps, struct heap *h, size_t n)
{
	size_t pos = h->pos[n];
	struct heap_item last = h->items[--h->size];

	h->pos[n] = NO_INDEX;
	if (last.n == n)
		return;
	heap_put(h, pos, last);
	heap_fix(ps, h, last.n);
}

static void add_load(struct pass *ps, size_t n, double load)
{
	set_load(&ps->nodes[n], ps->nodes[n].load + load);
	heap_fix(ps, &ps->least, n);
	heap_fix(ps, &ps->most, n);
}

static int compare_ids(const void *a, const void *b)
{
	uint32_t x = ((const struct pass_node *)a)->input->id;
	uint32_t y = ((const struct pass_node *)b)->input->id;

	return (x > y) - (x < y);
}

/* Multiplicative (Fibonacci) hash, which spreads consecutive ids. */
static size_t id_hash(const struct pass *ps, uint32_t id)
{
	return (id * UINT32_C(2654435769)) >> ps->id_shift;
}

static void fill_ids(struct pass *ps)
{
	size_t n;

	for (n = 0; n < ps->node_count; n++) {
		size_t i = id_hash(ps, ps->nodes[n].input->id);

		while (ps->ids[i])
			i = (i + 1) & ps->id_mask;
		ps->ids[i] = n + 1;
	}
}

static size_t find_node(const struct pass *ps, uint32_t id)
{
	size_t i = id_hash(ps, id);

	for (; ps->ids[i]; i = (i + 1) & ps->id_mask) {
		if (ps->nodes[ps->ids[i] - 1].input->id == id)
			return ps->ids[i] - 1;
	}
	return NO_INDEX;
}

static enum err pass_alloc(struct pass *ps)
{
	size_t n = ps->node_count + 1;
	size_t s = ps->slot_count + 1;
	size_t size = 2;

	ps->id_shift = 31;
	while (size < 2 * n) {
		size *= 2;
		ps->id_shift--;
	}
	ps->id_mask = size - 1;
	ps->ids = calloc(size, sizeof(size_t));
	ps->nodes = calloc(n, sizeof(*ps->nodes));
	ps->least.items = calloc(n, sizeof(struct heap_item));
	ps->least.pos = calloc(n, sizeof(size_t));
	ps->most.items = calloc(n, sizeof(struct heap_item));
	ps->most.pos = calloc(n, sizeof(size_t));
	ps->node_of_slot = calloc(s, sizeof(size_t));
	ps->order = calloc(s, sizeof(size_t));
	ps->orphans = calloc(s, sizeof(size_t));
	ps->causes = calloc(s, sizeof(*ps->causes));
	if (!ps->ids || !ps->nodes || !ps->least.items || !ps->least.pos ||
	    !ps->most.items || !ps->most.pos || !ps->node_of_slot ||
	    !ps->order || !ps->orphans || !ps->causes)
		return ERR_NOMEM;
	memset(ps->least.pos, 0xff, n * sizeof(size_t));
	memset(ps->most.pos, 0xff, n * sizeof(size_t));
	ps->least.sign = 1;
	ps->most.sign = -1;
	return ERR_OK;
}

static void pass_free(struct pass *ps)
{
	free(ps->ids);
	free(ps->nodes);
	free(ps->least.items);
	free(ps->least.pos);
	free(ps->most.items);
	free(ps->most.pos);
	free(ps->node_of_slot);
	free(ps->order);
	free(ps->orphans);
	free(ps->causes);
}

static void read_nodes(struct pass *ps, const struct place_node *nodes,
		       int64_t now_ms)
{
	size_t i;

	for (i = 0; i < ps->node_count; i++) {
		struct pass_node *n = &ps->nodes[i];

		n->input = &nodes[i];
		n->capacity = n->input->capacity > 0 ? n->input->capacity : 1;
		n->weighted_capacity = n->capacity;
		if (n->input->weight > 0)
			n->weighted_capacity *= n->input->weight;
		n->usable = n->input->state == PLACE_LIVE && n->input->eligible;
		n->keeps_slots =
			n->usable ||
			(n->input->state == PLACE_RESTARTING &&
			 now_ms < n->input->deadline_ms && n->input->eligible);
	}
	qsort(ps->nodes, ps->node_count, sizeof(*ps->nodes), compare_ids);
	fill_ids(ps);
}

static int move_add(struct pass *ps, size_t s, size_t to,
		    enum place_cause cause)
{
	struct place_moves *out = ps->out;
	struct place_move *m;

	if (out->count == out->cap) {
		size_t cap = out->cap ? 2 * out->cap : 64;

		m = realloc(out->items, cap * sizeof(*m));
		if (!m)
			return -1;
		out->items = m;
		out->cap = cap;
	}
	m = &out->items[out->count++];
	m->slot = ps->slots[s].slot;
	m->from = ps->slots[s].owner;
	m->to = ps->nodes[to].input->id;
	m->cause = cause;
	return 0;
}

static void add_orphan(struct pass *ps, size_t s, enum place_cause cause)
{
	ps->node_of_slot[s] = NO_INDEX;
	ps->orphans[ps->orphan_count] = s;
	ps->causes[s] = cause;
	ps->orphan_count++;
}

static int is_fixed_to(const struct place_slot *slot, uint32_t id)
{
	size_t i;

	for (i = 0; i < slot->fixed_count; i++) {
		if (slot->fixed[i] == id)
			return 1;
	}
	return 0;
}

/* Can any of the nodes that the slot is fixed to get slots? */
static int is_any_fixed_usable(const struct pass *ps,
			       const struct place_slot *slot)
{
	size_t i;

	for (i = 0; i < slot->fixed_count; i++) {
		size_t n = find_node(ps, slot->fixed[i]);

		if (n != NO_INDEX && ps->nodes[n].usable)
			return 1;
	}
	return 0;
}

static enum place_cause forced_cause(const struct pass_node *n)
{
	switch (n->input->state) {
	case PLACE_LOST:
	case PLACE_RESTARTING:
		return PLACE_NODE_LOST;
	case PLACE_DRAINING:
		return PLACE_DRAIN;
	case PLACE_LIVE:
		break;
	}
	return PLACE_ASSIGN;
}

/* Sets the node that the slot's load counts for; lists it if it must move. */
static void classify_slot(struct pass *ps, size_t s)
{
	const struct place_slot *slot = &ps->slots[s];
	uint32_t id = slot->to && !slot->held ? slot->to : slot->owner;
	size_t n = id ? find_node(ps, id) : NO_INDEX;

	ps->node_of_slot[s] = n;
	if (slot->held)
		return;
	if (!id)
		add_orphan(ps, s, PLACE_UNOWNED);
	else if (n == NO_INDEX)
		add_orphan(ps, s, PLACE_NODE_LOST);
	else if (!ps->nodes[n].keeps_slots)
		add_orphan(ps, s, forced_cause(&ps->nodes[n]));
	else if (!slot->to && slot->fixed_count && !is_fixed_to(slot, id) &&
		 is_any_fixed_usable(ps, slot))
		add_orphan(ps, s, PLACE_ASSIGN);
}

static void read_slots(struct pass *ps)
{
	double total = 0;
	size_t s;

	for (s = 0; s < ps->slot_count; s++)
		total += ps->slots[s].load;
	ps->min_slot_load =
		total > 0 ? PLACE_MIN_SLOT_PART * total / ps->slot_count : 1;
	for (s = 0; s < ps->slot_count; s++) {
		classify_slot(ps, s);
		if (ps->node_of_slot[s] != NO_INDEX)
			ps->nodes[ps->node_of_slot[s]].load += slot_load(ps, s);
	}
}

static void fill_heaps(struct pass *ps)
{
	size_t n;

	for (n = 0; n < ps->node_count; n++) {
		set_load(&ps->nodes[n], ps->nodes[n].load);
		if (ps->nodes[n].usable)
			heap_add(ps, &ps->least, n);
	}
}

/*
 * Computes the mean utilisation of the usable nodes, with the orphans: they
 * all go to usable nodes.
 */
static void compute_mean(struct pass *ps)
{
	double load = 0;
	double capacity = 0;
	size_t i;

	for (i = 0; i < ps->node_count; i++) {
		if (!ps->nodes[i].usable)
			continue;
		load += ps->nodes[i].load;
		capacity += ps->nodes[i].capacity;
	}
	for (i = 0; i < ps->orphan_count; i++)
		load += slot_load(ps, ps->orphans[i]);
	ps->mean_utilisation = capacity > 0 ? load / capacity : 0;
}

static double destination_score(const struct pass *ps, size_t n, double load,
				const struct pass_node *from)
{
	const struct pass_node *to = &ps->nodes[n];
	double after = (to->load + load) / to->weighted_capacity;

	if (from && from->input->region == to->input->region)
		after -= PLACE_REGION_BONUS * ps->mean_utilisation;
	return after;
}

static size_t better_destination(const struct pass *ps, size_t best, size_t n,
				 double load, const struct pass_node *from)
{
	double x;
	double y;

	if (best == NO_INDEX)
		return n;
	x = destination_score(ps, best, load, from);
	y = destination_score(ps, n, load, from);
	return y < x || (y == x && n < best) ? n : best;
}

/* Picks a destination among the least loaded nodes, other than the owner. */
static size_t pick_destination(const struct pass *ps, double load, size_t owner)
{
	const struct pass_node *from =
		owner == NO_INDEX ? NULL : &ps->nodes[owner];
	size_t best = NO_INDEX;
	size_t i;

	for (i = 0; i < ps->least.size && i < PLACE_CANDIDATES; i++) {
		size_t n = ps->least.items[i].n;

		if (n != owner)
			best = better_destination(ps, best, n, load, from);
	}
	return best;
}

static size_t pick_fixed_destination(const struct pass *ps,
				     const struct place_slot *slot, double load)
{
	size_t best = NO_INDEX;
	size_t i;

	for (i = 0; i < slot->fixed_count; i++) {
		size_t n = find_node(ps, slot->fixed[i]);

		if (n != NO_INDEX && ps->nodes[n].usable)
			best = better_destination(ps, best, n, load, NULL);
	}
	return best;
}

/*
 * Sort key of a slot: highest load first, the slot number breaks ties. The bit
 * patterns of positive floats are in the order of their values.
 */
struct sort_item {
	uint64_t key;
	size_t s;
};

static uint64_t sort_key(const struct pass *ps, size_t s)
{
	float load = (float)slot_load(ps, s);
	uint32_t bits;

	memcpy(&bits, &load, sizeof(bits));
	return (uint64_t)~bits << 32 | ps->slots[s].slot;
}

static int compare_keys(const void *a, const void *b)
{
	uint64_t x = ((const struct sort_item *)a)->key;
	uint64_t y = ((const struct sort_item *)b)->key;

	return (x > y) - (x < y);
}

/*
 * Radix sort of a with b as the buffer. The number of digits is even, so the
 * result is in a.
 */
static void radix_sort(struct sort_item *a, struct sort_item *b, size_t count)
{
	unsigned int shift;
	size_t i;

	for (shift = 0; shift < 64; shift += 8) {
		size_t start[257] = { 0 };
		struct sort_item *swap = a;

		for (i = 0; i < count; i++)
			start[(a[i].key >> shift & 255) + 1]++;
		for (i = 0; i < 256; i++)
			start[i + 1] += start[i];
		for (i = 0; i < count; i++)
			b[start[a[i].key >> shift & 255]++] = a[i];
		a = b;
		b = swap;
	}
}

static enum err sort_slots(const struct pass *ps, size_t *list, size_t count)
{
	struct sort_item *ranks;
	size_t i;

	if (count < 2)
		return ERR_OK;
	ranks = calloc(2 * count, sizeof(*ranks));
	if (!ranks)
		return ERR_NOMEM;
	for (i = 0; i < count; i++) {
		ranks[i].key = sort_key(ps, list[i]);
		ranks[i].s = list[i];
	}
	/* For a short list, the radix sort's counters cost more than qsort. */
	if (count < PLACE_RADIX_MIN)
		qsort(ranks, count, sizeof(*ranks), compare_keys);
	else
		radix_sort(ranks, ranks + count, count);
	for (i = 0; i < count; i++)
		list[i] = ranks[i].s;
	free(ranks);
	return ERR_OK;
}

static enum err move_orphan(struct pass *ps, size_t s)
{
	const struct place_slot *slot = &ps->slots[s];
	double load = slot_load(ps, s);
	size_t owner = slot->owner ? find_node(ps, slot->owner) : NO_INDEX;
	size_t to = pick_fixed_destination(ps, slot, load);

	if (to == NO_INDEX)
		to = pick_destination(ps, load, owner);
	/* Without another destination, a release is cancelled. */
	if (to == NO_INDEX && owner != NO_INDEX && ps->nodes[owner].usable)
		to = owner;
	if (to == NO_INDEX) {
		ps->out->unplaced++;
		return ERR_OK;
	}
	if (move_add(ps, s, to, ps->causes[s]))
		return ERR_NOMEM;
	add_load(ps, to, load);
	return ERR_OK;
}

static enum err move_orphans(struct pass *ps)
{
	size_t i;

	if (sort_slots(ps, ps->orphans, ps->orphan_count))
		return ERR_NOMEM;
	for (i = 0; i < ps->orphan_count; i++) {
		size_t s = ps->orphans[i];

		if (i + PLACE_PREFETCH < ps->orphan_count)
			__builtin_prefetch(
				&ps->slots[ps->orphans[i + PLACE_PREFETCH]]);
		if (move_orphan(ps, s))
			return ERR_NOMEM;
	}
	return ERR_OK;
}

/* May a voluntary move take the slot? */
static int is_movable(const struct pass *ps, size_t s)
{
	const struct place_slot *slot = &ps->slots[s];

	return ps->node_of_slot[s] != NO_INDEX &&
	       ps->nodes[ps->node_of_slot[s]].usable && !slot->held &&
	       !slot->to && !slot->fixed_count;
}

static void group_slots(struct pass *ps)
{
	size_t next = 0;
	size_t s;
	size_t n;

	for (s = 0; s < ps->slot_count; s++) {
		if (is_movable(ps, s))
			ps->nodes[ps->node_of_slot[s]].count++;
	}
	for (n = 0; n < ps->node_count; n++) {
		ps->nodes[n].first = next;
		next += ps->nodes[n].count;
		ps->nodes[n].count = 0;
	}
	for (s = 0; s < ps->slot_count; s++) {
		struct pass_node *node;

		if (!is_movable(ps, s))
			continue;
		node = &ps->nodes[ps->node_of_slot[s]];
		ps->order[node->first + node->count++] = s;
	}
}

/*
 * Peak-to-mean ratios at which balancing ends (end_level) and starts
 * (start_level). The more weight imbalance has, the further they are below the
 * document's bound. The gap between them is a hysteresis: a service that stays
 * near one level does not move slots in every pass.
 */
static double end_level(const struct place_policy *p)
{
	double sum = p->weight_churn + p->weight_imbalance;
	double part = sum > 0 ? p->weight_churn / sum : 1;

	return 1 + (p->max_peak_to_mean - 1) * part;
}

static double start_level(const struct place_policy *p)
{
	double end = end_level(p);

	return end + PLACE_START_PART * (p->max_peak_to_mean - end);
}

/* Returns the higher utilisation of the two nodes after the move. */
static double peak_after_move(const struct pass *ps, size_t from, size_t to,
			      double load)
{
	const struct pass_node *a = &ps->nodes[from];
	const struct pass_node *b = &ps->nodes[to];

	return fmax((a->load - load) / a->capacity,
		    (b->load + load) / b->weighted_capacity);
}

/*
 * Is the reduction of the higher utilisation, relative to the mean, worth the
 * move?
 */
static int is_worth_moving(const struct pass *ps, size_t from, size_t to,
			   double load)
{
	const struct place_policy *p = ps->policy;
	double before_move = utilisation(ps, from) / ps->mean_utilisation;
	double after =
		peak_after_move(ps, from, to, load) / ps->mean_utilisation;
	double gain = before_move - after;
	double breach = fmax(0, before_move - p->max_peak_to_mean) -
			fmax(0, after - p->max_peak_to_mean);

	gain += PLACE_BREACH_FACTOR * breach;
	return gain > 0 &&
	       p->weight_imbalance * gain > p->weight_churn * PLACE_MOVE_COST;
}

/* Slot numbers break ties, so that the input's order does not matter. */
static int has_lower_number(const struct pass *ps, size_t s, size_t pos)
{
	return pos != NO_INDEX &&
	       ps->slots[s].slot < ps->slots[ps->order[pos]].slot;
}

/*
 * Chooses the slot whose move leaves the lowest peak. A pin is a single key, a
 * shard is many: a pin is preferred if it brings at least half of the gain
 * that a shard would. Returns the slot's position in ps->order, or NO_INDEX.
 */
static size_t choose_slot(const struct pass *ps, size_t from, size_t to)
{
	const struct pass_node *a = &ps->nodes[from];
	size_t best[2] = { NO_INDEX, NO_INDEX };
	double level[2] = { a->utilisation, a->utilisation };
	size_t i;

	for (i = a->first; i < a->first + a->count; i++) {
		size_t s = ps->order[i];
		int pin = ps->slots[s].is_pin != 0;
		double after = peak_after_move(ps, from, to, slot_load(ps, s));

		if (after > level[pin] || (after == level[pin] &&
					   !has_lower_number(ps, s, best[pin])))
			continue;
		level[pin] = after;
		best[pin] = i;
	}
	if (a->utilisation - level[1] >=
		    PLACE_PIN_PART * (a->utilisation - level[0]) &&
	    best[1] != NO_INDEX)
		return best[1];
	return best[0];
}

static void remove_from_order(struct pass *ps, size_t from, size_t pos)
{
	struct pass_node *n = &ps->nodes[from];
	size_t after = n->first + n->count - pos - 1;

	memmove(&ps->order[pos], &ps->order[pos + 1],
		after * sizeof(*ps->order));
	n->count--;
}

/*
 * Makes one voluntary move from this node. Returns 1, or 0 if no move is worth
 * it.
 */
static int move_from(struct pass *ps, size_t from)
{
	size_t to = pick_destination(ps, 0, from);
	size_t pos;
	size_t s;
	double load;

	if (to == NO_INDEX)
		return 0;
	pos = choose_slot(ps, from, to);
	if (pos == NO_INDEX)
		return 0;
	s = ps->order[pos];
	load = slot_load(ps, s);
	if (!is_worth_moving(ps, from, to, load))
		return 0;
	if (move_add(ps, s, to,
		     ps->slots[s].is_pin ? PLACE_PIN : PLACE_IMBALANCE))
		return 0;
	remove_from_order(ps, from, pos);
	add_load(ps, from, -load);
	add_load(ps, to, load);
	ps->budget_left--;
	ps->state->made[ps->state->period % PLACE_BUDGET_PERIODS]++;
	return 1;
}

/* Drops the moves of periods that ended more than 60 s ago. */
static void advance_budget_period(struct place *p, int64_t now_ms)
{
	int64_t now = now_ms / PLACE_BUDGET_MS;

	if (now - p->period >= PLACE_BUDGET_PERIODS)
		memset(p->made, 0, sizeof(p->made));
	else
		while (p->period < now)
			p->made[++p->period % PLACE_BUDGET_PERIODS] = 0;
	if (p->period < now)
		p->period = now;
}

/* Returns the number of voluntary moves that may be made now. */
static uint32_t voluntary_moves_left(const struct place *p,
				     const struct place_policy *policy,
				     int64_t now_ms)
{
	double part = (double)(now_ms - p->started_ms) / 60000;
	double most = policy->moves_per_minute * fmin(1, part);
	double made = 0;
	int i;

	for (i = 0; i < PLACE_BUDGET_PERIODS; i++)
		made += p->made[i];
	return most > made ? (uint32_t)(most - made) : 0;
}

static double peak_to_mean(const struct pass *ps)
{
	double peak = 0;
	size_t n;

	for (n = 0; n < ps->node_count; n++) {
		if (ps->nodes[n].usable)
			peak = fmax(peak, utilisation(ps, n));
	}
	return ps->mean_utilisation > 0 ? peak / ps->mean_utilisation : 0;
}

/*
 * Moves slots from the nodes above the start level, until each is down to the
 * end level. Taking slots from all nodes above the end level would cost many
 * moves because of a single peak.
 */
static void balance(struct pass *ps)
{
	double start = start_level(ps->policy) * ps->mean_utilisation;
	double end = end_level(ps->policy) * ps->mean_utilisation;
	size_t n;

	if (ps->budget_left == 0)
		return;
	for (n = 0; n < ps->node_count; n++) {
		if (ps->nodes[n].usable && utilisation(ps, n) > start)
			heap_add(ps, &ps->most, n);
	}
	if (ps->most.size > 0)
		group_slots(ps);
	while (ps->most.size > 0 && ps->budget_left > 0) {
		n = ps->most.items[0].n;
		if (utilisation(ps, n) <= end || !move_from(ps, n))
			heap_drop(ps, &ps->most, n);
	}
}

enum err place_pass(struct place *p, const struct place_policy *policy,
		    const struct place_node *nodes, size_t node_count,
		    const struct place_slot *slots, size_t slot_count,
		    int64_t now_ms, struct place_moves *out)
{
	struct pass ps = { 0 };
	enum err e;

	out->count = 0;
	out->unplaced = 0;
	out->peak_to_mean = 0;
	ps.state = p;
	ps.policy = policy;
	ps.slots = slots;
	ps.slot_count = slot_count;
	ps.node_count = node_count;
	ps.out = out;
	advance_budget_period(p, now_ms);
	ps.budget_left = voluntary_moves_left(p, policy, now_ms);
	e = pass_alloc(&ps);
	if (e)
		goto out;
	read_nodes(&ps, nodes, now_ms);
	read_slots(&ps);
	compute_mean(&ps);
	fill_heaps(&ps);
	e = move_orphans(&ps);
	if (e)
		goto out;
	balance(&ps);
	out->peak_to_mean = peak_to_mean(&ps);
out:
	if (e)
		out->count = 0;
	pass_free(&ps);
	return e;
}

double place_usable_places(uint32_t announced, double rate_limit_per_s,
			   double latency_us)
{
	double places = announced ? announced : 1;

	if (rate_limit_per_s <= 0 || latency_us <= 0)
		return places;
	return fmin(places, rate_limit_per_s * latency_us / 1e6);
}

void place_average_update(struct place_average *a, double report, double count)
{
	double most = fmax(a->load, report);
	double error = PLACE_JUMP_SIGMA * sqrt(most / count);
	double change = report - a->load;

	if (fabs(change) > error)
		a->reports = 0;
	if (a->reports < PLACE_AVERAGE_MAX_REPORTS)
		a->reports++;
	a->load += change / a->reports;
}

static int compare_loads(const void *a, const void *b)
{
	const struct place_key *x = *(struct place_key *const *)a;
	const struct place_key *y = *(struct place_key *const *)b;

	if (x->load != y->load)
		return x->load > y->load ? -1 : 1;
	return (x->hash > y->hash) - (x->hash < y->hash);
}

static void update_cold_since(struct place_key *k, double unpin, int64_t now_ms)
{
	if (k->load >= unpin)
		k->cold_since_ms = 0;
	else if (k->cold_since_ms == 0)
		k->cold_since_ms = now_ms > 0 ? now_ms : 1;
}

/*
 * Drops the pins whose key has been cold (little load) since cold_before or
 * earlier, and, until `shortage` pins are dropped to make room for new ones,
 * also those that have been cold for a shorter time. Lowest load first.
 */
static size_t drop_pins(struct place_key **sorted, size_t count,
			int64_t cold_before, size_t shortage,
			struct place_key *keys, struct place_pin *out,
			size_t max)
{
	size_t n = 0;
	size_t i;

	for (i = count; i-- > 0 && n < max;) {
		struct place_key *k = sorted[i];

		if (!k->pinned || k->fixed || k->cold_since_ms == 0)
			continue;
		if (k->cold_since_ms > cold_before && n >= shortage)
			continue;
		out[n].key = (size_t)(k - keys);
		out[n].add = 0;
		n++;
	}
	return n;
}

static size_t count_new_pins(struct place_key **sorted, size_t count,
			     double pin)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < count && sorted[i]->load >= pin; i++)
		n += !sorted[i]->pinned;
	return n;
}

size_t place_decide_pins(const struct place_policy *policy,
			 double mean_node_load, struct place_key *keys,
			 size_t key_count, int64_t now_ms,
			 struct place_pin *out, size_t max)
{
	double pin = PLACE_PIN_SHARE * mean_node_load;
	struct place_key **sorted;
	size_t pinned = 0;
	size_t shortage = 0;
	size_t wanted;
	size_t n;
	size_t i;

	if (mean_node_load <= 0 || key_count == 0)
		return 0;
	sorted = calloc(key_count, sizeof(struct place_key *));
	if (!sorted)
		return 0;
	for (i = 0; i < key_count; i++) {
		sorted[i] = &keys[i];
		if (!keys[i].pinned)
			continue;
		pinned += !keys[i].fixed;
		update_cold_since(&keys[i], PLACE_UNPIN_SHARE * mean_node_load,
				  now_ms);
	}
	qsort(sorted, key_count, sizeof(*sorted), compare_loads);
	wanted = count_new_pins(sorted, key_count, pin);
	if (pinned + wanted > policy->auto_pins)
		shortage = pinned + wanted - policy->auto_pins;
	n = drop_pins(sorted, key_count, now_ms - PLACE_UNPIN_MS, shortage,
		      keys, out, max);
	pinned -= n;
	for (i = 0; i < key_count && sorted[i]->load >= pin && n < max &&
		    pinned < policy->auto_pins;
	     i++) {
		if (sorted[i]->pinned)
			continue;
		out[n].key = (size_t)(sorted[i] - keys);
		out[n].add = 1;
		n++;
		pinned++;
	}
	free(sorted);
	return n;
}
