#include "placement/ranges.h"

#include <stdlib.h>
#include <string.h>

/* One target during a pass. */
struct target {
	const struct place_node *node;
	double load;	   /* of the slots that it has or is to get */
	double fair_share; /* part of the whole load, by its capacity */
	size_t rows;	   /* runs of neighbouring slots that it has */
	int fixed;	   /* has no block whose move would help */
};

struct pass {
	struct target *targets;
	size_t target_count;
	const struct place_slot *slots;
	size_t slot_count;
	double *slot_loads; /* by slot, with RANGES_MIN_LOAD_PART added */
	uint32_t *owners;   /* by slot, after the moves decided so far */
	size_t block;	    /* neighbouring slots that move together */
	struct place_moves *out;
};

static int may_keep(const struct place_node *n)
{
	return n->state == PLACE_LIVE || n->state == PLACE_RESTARTING;
}

static int may_receive(const struct place_node *n)
{
	return n->state == PLACE_LIVE && n->eligible;
}

static struct target *find_target(const struct pass *p, uint32_t id)
{
	for (size_t i = 0; id && i < p->target_count; i++) {
		if (p->targets[i].node->id == id)
			return &p->targets[i];
	}
	return NULL;
}

size_t ranges_rows(const struct place_slot *slots, size_t count, uint32_t node)
{
	size_t rows = 0;

	for (size_t i = 0; i < count; i++)
		rows += slots[i].owner == node &&
			(!i || slots[i - 1].owner != node);
	return rows;
}

static size_t count_rows(const struct pass *p, uint32_t id)
{
	size_t rows = 0;

	for (size_t i = 0; i < p->slot_count; i++)
		rows += p->owners[i] == id && (!i || p->owners[i - 1] != id);
	return rows;
}

static enum err add_move(struct pass *p, size_t i, uint32_t to,
			 enum place_cause cause)
{
	struct place_moves *m = p->out;

	if (m->count == m->cap) {
		size_t cap = m->cap ? 2 * m->cap : 64;
		struct place_move *items =
			realloc(m->items, cap * sizeof(*items));

		if (!items)
			return ERR_NOMEM;
		m->items = items;
		m->cap = cap;
	}
	m->items[m->count++] = (struct place_move){
		.slot = p->slots[i].slot,
		.from = p->slots[i].owner,
		.to = to,
		.cause = cause,
	};
	p->owners[i] = to;
	return ERR_OK;
}

static const struct place_node *find_node(const struct place_node *nodes,
					  size_t count, uint32_t id)
{
	for (size_t i = 0; id && i < count; i++) {
		if (nodes[i].id == id)
			return &nodes[i];
	}
	return NULL;
}

/* Returns why the slot cannot stay with its owner, or -1 if it can. */
static int forced_cause(const struct place_slot *s, const struct place_node *n)
{
	if (!s->owner)
		return PLACE_UNOWNED;
	if (!n || n->state == PLACE_LOST)
		return PLACE_NODE_LOST;
	if (n->state == PLACE_DRAINING)
		return PLACE_DRAIN;
	if (!n->eligible)
		return PLACE_ASSIGN;
	return -1;
}

static double relative_shortfall(const struct target *t)
{
	return (t->fair_share - t->load) /
	       (t->fair_share > 0 ? t->fair_share : 1);
}

/*
 * Returns how many neighbouring slots to assign and to move together, a power
 * of two, so that a target's rows stay within RANGES_ROWS_PER_TARGET however
 * few targets there are.
 */
static size_t block_size(const struct pass *p)
{
	size_t receivers = 0;
	size_t block = 1;

	for (size_t k = 0; k < p->target_count; k++)
		receivers += may_receive(p->targets[k].node) != 0;
	while (receivers &&
	       block * receivers * RANGES_ROWS_PER_TARGET < p->slot_count)
		block *= 2;
	return block;
}

/* Returns the length of the run of one owner that ends before slot i. */
static size_t run_length_before(const struct pass *p, size_t i)
{
	size_t n = 0;

	while (n < i && p->owners[i - 1 - n] == p->owners[i - 1])
		n++;
	return n;
}

/*
 * Continues the run of the previous slot's target while that is below its fair
 * share and the run is short; else chooses the target that is furthest below
 * its fair share, so that neighbouring runs mostly have different targets.
 */
static struct target *choose_target(struct pass *p, size_t i)
{
	struct target *best = i ? find_target(p, p->owners[i - 1]) : NULL;

	if (best && may_receive(best->node) && best->load < best->fair_share &&
	    run_length_before(p, i) < p->block)
		return best;
	best = NULL;

	for (size_t k = 0; k < p->target_count; k++) {
		struct target *t = &p->targets[k];

		if (!may_receive(t->node))
			continue;
		if (!best || relative_shortfall(t) > relative_shortfall(best))
			best = t;
	}
	return best;
}

/*
 * The destination of a slot: the target it is being released to, if that can
 * still serve, else a chosen one.
 */
static struct target *destination(struct pass *p, size_t i)
{
	struct target *t = find_target(p, p->slots[i].to);

	return t && may_receive(t->node) ? t : choose_target(p, i);
}

static enum err move_forced(struct pass *p, const struct place_node *nodes,
			    size_t node_count)
{
	for (size_t i = 0; i < p->slot_count; i++) {
		const struct place_slot *s = &p->slots[i];
		const struct place_node *n =
			find_node(nodes, node_count, s->owner);
		int cause = forced_cause(s, n);
		struct target *t;
		enum err e;

		if (cause < 0 || s->held)
			continue;
		t = destination(p, i);
		if (!t) {
			p->out->unplaced++;
			continue;
		}
		t->load += p->slot_loads[i];
		if (s->to == t->node->id) {
			p->owners[i] = s->to;
			continue;
		}
		e = add_move(p, i, t->node->id, (enum place_cause)cause);
		if (e != ERR_OK)
			return e;
	}
	return ERR_OK;
}

static double utilisation(const struct target *t)
{
	return t->fair_share > 0 ? t->load / t->fair_share : 0;
}

/* Finds the target to take slots from and the one to give them to. */
static void find_most_and_least_loaded(struct pass *p, struct target **most,
				       struct target **least)
{
	*most = NULL;
	*least = NULL;
	for (size_t i = 0; i < p->target_count; i++) {
		struct target *t = &p->targets[i];

		if (!may_receive(t->node))
			continue;
		if (!t->fixed &&
		    (!*most || utilisation(t) > utilisation(*most)))
			*most = t;
		if (t->rows < RANGES_MAX_ROWS &&
		    (!*least || utilisation(t) < utilisation(*least)))
			*least = t;
	}
}

/* Returns the index after the last slot of the block that starts at slot i. */
static size_t block_end(const struct pass *p, size_t i)
{
	size_t end = i + p->block;

	return end < p->slot_count ? end : p->slot_count;
}

/*
 * Sets *load to the load of the block that starts at slot i. Returns 0 if it
 * cannot move from the target as a whole.
 */
static int block_may_move(const struct pass *p, const struct target *from,
			  size_t i, double *load)
{
	uint32_t id = from->node->id;

	*load = 0;
	for (size_t k = i; k < block_end(p, i); k++) {
		const struct place_slot *s = &p->slots[k];

		if (p->owners[k] != id || s->owner != id || s->held || s->to)
			return 0;
		*load += p->slot_loads[k];
	}
	return 1;
}

/* Would taking the block at slot i leave its owner with too many rows? */
static int splits_last_row(const struct pass *p, const struct target *from,
			   size_t i)
{
	size_t end = block_end(p, i);

	return from->rows >= RANGES_MAX_ROWS && i && end < p->slot_count &&
	       p->owners[i - 1] == p->owners[i] &&
	       p->owners[end] == p->owners[i];
}

/*
 * Chooses the block with the highest load whose move makes the receiver no
 * busier than the source was and leaves the source at least 0.9 of its fair
 * share; the first one among equals. Sets *load to its load. Returns the index
 * of its first slot, or SIZE_MAX.
 */
static size_t choose_block(const struct pass *p, const struct target *from,
			   const struct target *to, double *load)
{
	size_t best = SIZE_MAX;
	double w;

	for (size_t i = 0; i < p->slot_count; i += p->block) {
		if (!block_may_move(p, from, i, &w))
			continue;
		if ((to->load + w) * from->fair_share >
			    from->load * to->fair_share ||
		    from->load - w < from->fair_share * 0.9)
			continue;
		if (splits_last_row(p, from, i))
			continue;
		if (best == SIZE_MAX || w > *load) {
			best = i;
			*load = w;
		}
	}
	return best;
}

/* Most slots that one pass moves to balance the load. */
static size_t max_moved_slots(const struct pass *p)
{
	size_t max = p->slot_count / RANGES_SLOTS_PER_MOVE;

	if (max < p->target_count * RANGES_MOVES_PER_TARGET)
		max = p->target_count * RANGES_MOVES_PER_TARGET;
	return max < RANGES_MIN_MOVES ? RANGES_MIN_MOVES : max;
}

/* Moves the block that starts at slot i. */
static enum err move_block(struct pass *p, size_t i, struct target *from,
			   struct target *to, double load)
{
	enum err e = ERR_OK;

	for (size_t k = i; e == ERR_OK && k < block_end(p, i); k++)
		e = add_move(p, k, to->node->id, PLACE_IMBALANCE);
	from->load -= load;
	to->load += load;
	from->rows = count_rows(p, from->node->id);
	to->rows = count_rows(p, to->node->id);
	return e;
}

static enum err move_for_balance(struct ranges *r, struct pass *p,
				 int64_t now_ms)
{
	size_t max = max_moved_slots(p);
	struct target *most, *least;
	size_t moved = 0;

	find_most_and_least_loaded(p, &most, &least);
	if (!most || !least || most == least)
		return ERR_OK;
	p->out->peak_to_mean = utilisation(most);
	if (now_ms - r->balanced_ms < RANGES_BALANCE_MS ||
	    utilisation(most) < RANGES_MOVE_ABOVE)
		return ERR_OK;
	while (most && least && most != least && moved < max &&
	       utilisation(most) > RANGES_MOVE_UNTIL) {
		double load = 0;
		size_t i = choose_block(p, most, least, &load);
		enum err e = ERR_OK;

		/* E.g. one block has all its load: others still move. */
		if (i == SIZE_MAX) {
			most->fixed = 1;
		} else {
			e = move_block(p, i, most, least, load);
			moved += p->block;
		}
		if (e != ERR_OK)
			return e;
		find_most_and_least_loaded(p, &most, &least);
	}
	if (moved)
		r->balanced_ms = now_ms;
	return ERR_OK;
}

static void fill_targets(struct pass *p, const struct place_node *nodes,
			 size_t count)
{
	double capacity = 0;
	double load = 0;

	for (size_t i = 0; i < count; i++) {
		if (!may_keep(&nodes[i]) && !may_receive(&nodes[i]))
			continue;
		if (!nodes[i].eligible)
			continue;
		p->targets[p->target_count++].node = &nodes[i];
		capacity += nodes[i].capacity;
	}
	for (size_t i = 0; i < p->slot_count; i++) {
		struct target *t = find_target(p, p->slots[i].owner);

		load += p->slot_loads[i];
		if (t && t->node->state == PLACE_LIVE)
			t->load += p->slot_loads[i];
	}
	for (size_t i = 0; i < p->target_count; i++) {
		struct target *t = &p->targets[i];

		t->fair_share =
			capacity > 0 ? load * t->node->capacity / capacity : 0;
		t->rows = count_rows(p, t->node->id);
	}
}

static void fill_slot_loads(struct pass *p)
{
	double sum = 0;
	double base;

	for (size_t i = 0; i < p->slot_count; i++)
		sum += p->slots[i].load;
	base = p->slot_count
		       ? sum / (double)p->slot_count * RANGES_MIN_LOAD_PART
		       : 0;
	if (base <= 0)
		base = 1;
	for (size_t i = 0; i < p->slot_count; i++) {
		p->slot_loads[i] = p->slots[i].load + base;
		p->owners[i] = p->slots[i].owner;
	}
}

enum err ranges_pass(struct ranges *r, const struct place_node *nodes,
		     size_t node_count, const struct place_slot *slots,
		     size_t slot_count, int64_t now_ms, struct place_moves *out)
{
	struct pass p = {
		.targets = calloc(node_count + 1, sizeof(*p.targets)),
		.slots = slots,
		.slot_count = slot_count,
		.slot_loads = calloc(slot_count + 1, sizeof(*p.slot_loads)),
		.owners = calloc(slot_count + 1, sizeof(*p.owners)),
		.out = out,
	};
	enum err e = ERR_NOMEM;

	out->count = 0;
	out->unplaced = 0;
	out->peak_to_mean = 0;
	if (!p.targets || !p.slot_loads || !p.owners)
		goto out;
	fill_slot_loads(&p);
	fill_targets(&p, nodes, node_count);
	p.block = block_size(&p);
	e = move_forced(&p, nodes, node_count);
	if (e == ERR_OK)
		e = move_for_balance(r, &p, now_ms);
out:
	if (e != ERR_OK)
		out->count = 0;
	free(p.targets);
	free(p.slot_loads);
	free(p.owners);
	return e;
}
