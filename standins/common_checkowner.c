#include "standins/common_checkrule.h"

#include <utlist.h>

/* The run of a key that ends last on one target. */
struct last_end {
	const struct check_target *target;
	const struct check_run *run;
};

/*
 * last_end has room for an entry for each target. Keeping the run that ends
 * last, not the latest one, finds overlaps with a long run that began earlier.
 */
static void find_overlaps(struct common_check *c, const struct check_rule *rule,
			  const struct check_key *k, struct last_end *last_end)
{
	size_t n = 0;

	for (size_t i = 0; i < k->run_count; i++) {
		const struct check_run *r = k->runs[i];
		struct last_end *same_target = NULL;

		for (size_t j = 0; j < n; j++) {
			const struct check_run *o = last_end[j].run;

			if (last_end[j].target == r->target) {
				same_target = &last_end[j];
				continue;
			}
			if (o->end_ns <= r->start_ns)
				continue;
			check_add_violation(
				c, rule,
				"key %s: request %s on %s (fence %" PRId64
				") still ran when %s started on %s (fence "
				"%" PRId64 ")",
				k->name, o->request->id, o->target->name,
				o->fence, r->request->id, r->target->name,
				r->fence);
		}
		if (!same_target) {
			same_target = &last_end[n++];
			same_target->target = r->target;
			same_target->run = r;
		}
		if (r->end_ns > same_target->run->end_ns)
			same_target->run = r;
	}
}

void check_overlap(struct common_check *c, const struct check_rule *rule)
{
	const struct check_key *k;
	const struct check_target *t;
	struct last_end *last_end;
	size_t targets;

	LL_COUNT(c->targets, t, targets);
	last_end = check_abort_if_null(calloc(targets + 1, sizeof(*last_end)));
	FOREACH_KEY(c, k)
	find_overlaps(c, rule, k, last_end);
	free(last_end);
}

/*
 * Checks run r against top, the earlier run with the highest fence (NULL if
 * there is none). Returns the one with the higher fence.
 */
static const struct check_run *check_fence_order(struct common_check *c,
						 const struct check_rule *rule,
						 const struct check_run *top,
						 const struct check_run *r)
{
	if (!top || r->fence > top->fence)
		return r;
	if (r->fence < top->fence)
		check_add_violation(
			c, rule,
			"slot %" PRId64 ": request %s started on %s with fence "
			"%" PRId64 " after %s on %s with fence %" PRId64,
			r->slot, r->request->id, r->target->name, r->fence,
			top->request->id, top->target->name, top->fence);
	else if (r->target != top->target)
		check_add_violation(
			c, rule,
			"slot %" PRId64 ": requests %s on %s and %s on %s with "
			"one fence %" PRId64,
			r->slot, top->request->id, top->target->name,
			r->request->id, r->target->name, r->fence);
	return top;
}

/* The run with the highest fence of a slot so far. */
struct slot_highest {
	int64_t slot;
	const struct check_run *top;
	UT_hash_handle hh;
};

void check_slot_fences(struct common_check *c, const struct check_rule *rule)
{
	struct slot_highest *highest_by_slot = NULL;
	struct slot_highest *s;
	struct slot_highest *tmp;

	for (size_t i = 0; i < c->run_count; i++) {
		const struct check_run *r = c->runs[i];

		if (r->slot < 0 || r->fence < 0)
			continue;
		HASH_FIND(hh, highest_by_slot, &r->slot, sizeof(r->slot), s);
		if (!s) {
			s = check_abort_if_null(calloc(1, sizeof(*s)));
			s->slot = r->slot;
			HASH_ADD(hh, highest_by_slot, slot, sizeof(s->slot), s);
		}
		if (s->top && r->fence > s->top->fence &&
		    r->target != s->top->target)
			c->owner_changes++;
		s->top = check_fence_order(c, rule, s->top, r);
	}
	HASH_ITER(hh, highest_by_slot, s, tmp) {
		HASH_DEL(highest_by_slot, s);
		free(s);
	}
}

/*
 * A key changes its slot when it is pinned or unpinned. Fences are map
 * revisions, so that the fences of different slots can be compared. A change
 * between two slots of one target may lower the fence.
 */
void check_key_fences(struct common_check *c, const struct check_rule *rule)
{
	const struct check_key *k;

	FOREACH_KEY(c, k)
	{
		const struct check_run *top = NULL;

		for (size_t i = 0; i < k->run_count; i++) {
			const struct check_run *r = k->runs[i];

			if (r->fence < 0 ||
			    (top && r->target == top->target &&
			     r->slot != top->slot && r->fence < top->fence))
				continue;
			if (!top || r->fence >= top->fence) {
				top = r;
				continue;
			}
			/* check_slot_fences() covers one slot. */
			if (r->slot == top->slot)
				continue;
			check_add_violation(
				c, rule,
				"key %s: request %s started on %s with fence "
				"%" PRId64 " after %s on %s with fence "
				"%" PRId64,
				k->name, r->request->id, r->target->name,
				r->fence, top->request->id, top->target->name,
				top->fence);
		}
	}
}

void check_drained(struct common_check *c, const struct check_rule *rule)
{
	const struct check_event *e;

	LL_FOREACH(c->drains, e) {
		int64_t limit =
			e->t_ns + COMMON_CHECK_MAX_DRAIN_MS * CHECK_NS_PER_MS;

		for (size_t i = 0; i < c->run_count; i++) {
			const struct check_run *r = c->runs[i];

			if (r->target != e->target || r->start_ns <= limit)
				continue;
			check_add_violation(c, rule,
					    "request %s started on %s %" PRId64
					    " ms after its drain",
					    r->request->id, e->target->name,
					    (r->start_ns - e->t_ns) /
						    CHECK_NS_PER_MS);
		}
	}
}
