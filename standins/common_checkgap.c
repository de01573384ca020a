#include "standins/common_checkrule.h"

#include <utlist.h>

/* A gap that begins later than this is not attributed to the loss. */
#define LOSS_ATTRIBUTION_MS 10000

/* Returns the first run of the key that starts at or after t; NULL if none. */
static const struct check_run *find_next_start(const struct check_key *k,
					       int64_t t)
{
	size_t low = 0;
	size_t high = k->run_count;

	while (low < high) {
		size_t mid = low + (high - low) / 2;

		if (k->runs[mid]->start_ns < t)
			low = mid + 1;
		else
			high = mid;
	}
	return low < k->run_count ? k->runs[low] : NULL;
}

/* Returns the last run of the key that starts before t; NULL if none. */
static const struct check_run *find_last_start(const struct check_key *k,
					       int64_t t)
{
	const struct check_run *last = NULL;

	for (size_t i = 0; i < k->run_count && k->runs[i]->start_ns < t; i++)
		last = k->runs[i];
	return last;
}

static int is_excused(const struct common_check *c,
		      const struct check_request *q)
{
	const struct check_count *n;

	if (!q->sent_to)
		return 0;
	HASH_FIND_STR(c->excused_daemons, q->sent_to, n);
	return n != NULL;
}

/* A period in which a key was not served. */
struct gap {
	int64_t from_ns;
	int64_t to_ns;
	const struct check_request *first; /* NULL: no gap */
};

/*
 * Finds the period in which a request shows that its key was not served: from
 * its send to the next start of any run of the key, or to its failure. Returns
 * 0 if it shows none. For keys with few requests this is an upper bound: while
 * one request waits for a lost owner, another request might already be served.
 */
static int find_gap(const struct common_check *c, const struct check_request *q,
		    struct gap *g)
{
	const struct check_run *next = find_next_start(q->key, q->send_ns);
	int64_t limit_ns = q->heard_count ? q->heard_ns : c->last_event_ns;
	int failed = !q->runs && !check_has_outcome(q, "answered");

	g->first = q;
	g->from_ns = q->send_ns;
	g->to_ns =
		next && next->start_ns < limit_ns ? next->start_ns : limit_ns;
	if (is_excused(c, q))
		return 0;
	return failed ||
	       g->to_ns - g->from_ns >= c->min_wait_ms * CHECK_NS_PER_MS;
}

typedef void (*gap_fn)(struct common_check *c, const struct check_rule *rule,
		       const struct check_key *k, const struct gap *g);

/* Calls fn for each gap of a key; joins gaps without a start in between. */
static void for_each_gap(struct common_check *c, const struct check_rule *rule,
			 const struct check_key *k, gap_fn fn)
{
	struct gap open = { 0 };

	for (size_t i = 0; i < k->request_count; i++) {
		const struct check_run *start;
		struct gap g;

		if (!find_gap(c, k->requests[i], &g))
			continue;
		start = open.first ? find_next_start(k, open.to_ns) : NULL;
		if (open.first && (g.from_ns <= open.to_ns || !start ||
				   start->start_ns > g.from_ns)) {
			if (g.to_ns > open.to_ns)
				open.to_ns = g.to_ns;
			continue;
		}
		if (open.first)
			fn(c, rule, k, &open);
		open = g;
	}
	if (open.first)
		fn(c, rule, k, &open);
}

static void add_gap(struct common_check *c, const struct check_rule *rule,
		    const struct check_key *k, const struct gap *g)
{
	int64_t length = g->to_ns - g->from_ns;

	c->gap_count++;
	c->gap_sum_ns += length;
	if (length > c->longest_gap_ns)
		c->longest_gap_ns = length;
}

static int was_served_by_lost_node(const struct check_event *e,
				   const struct check_key *k)
{
	const struct check_run *last;

	if (!e->target)
		return 1;
	last = find_last_start(k, e->t_ns);
	return last && last->target == e->target;
}

/*
 * Measures the recovery from each loss after which the key was not served
 * until this gap: from the loss to the end of the gap.
 */
static void check_loss(struct common_check *c, const struct check_rule *rule,
		       const struct check_key *k, const struct gap *g)
{
	const struct check_event *e;

	LL_FOREACH(c->losses, e) {
		const struct check_run *start = find_next_start(k, e->t_ns);
		int64_t length = g->to_ns - e->t_ns;

		if (length <= 0 ||
		    g->from_ns - e->t_ns >
			    LOSS_ATTRIBUTION_MS * CHECK_NS_PER_MS ||
		    !was_served_by_lost_node(e, k) ||
		    (start && start->start_ns < g->from_ns))
			continue;
		if (length > c->longest_recovery_ns)
			c->longest_recovery_ns = length;
		if (length > c->max_gap_ms * CHECK_NS_PER_MS)
			check_add_violation(
				c, rule,
				"key %s: not served for %" PRId64
				" ms after a loss, first for request %s",
				k->name, length / CHECK_NS_PER_MS,
				g->first->id);
	}
}

void check_recovery(struct common_check *c, const struct check_rule *rule)
{
	const struct check_key *k;

	if (c->losses)
		c->longest_recovery_ns = 0;
	FOREACH_KEY(c, k)
	{
		for_each_gap(c, rule, k, add_gap);
		if (c->losses)
			for_each_gap(c, rule, k, check_loss);
	}
}
