#include "daemon/node.h"
#include "common/clk.h"
#include "common/guard.h"
#include "common/log.h"

#include <stdlib.h>
#include <string.h>

/*
 * Keys that the target holds by itself: what it is given in the answer to an
 * announcement, and how a slot is released. A release goes in steps: the slot
 * is left out of the next answer, the gate then takes no new work for it, and
 * it is reported as released once nothing is in flight and the target has
 * said that it holds none of its keys, or its hold has run out.
 */

/* The service of the slot, if its keys are numbers that the target holds. */
static const struct map_service *numbered(const struct map *m, uint32_t slot)
{
	for (size_t i = 0; i < m->service_count; i++) {
		const struct map_service *s = &m->services[i];

		if (slot - s->first_slot < s->shards)
			return s->key_numbers ? s : NULL;
	}
	return NULL;
}

static const struct map *node_map(struct node *n)
{
	struct view *v = mem_view(n->mem);

	return v->ops->map(v);
}

int node_hold_applies(struct node *n, uint32_t slot)
{
	return n->set->hold_max_ms && numbered(node_map(n), slot);
}

void node_hold_release(struct node *n, uint32_t slot)
{
	const struct map_service *s = numbered(node_map(n), slot);
	uint32_t first, last;

	if (!s)
		return;
	map_slot_numbers(s, slot, &first, &last);
	if (hold_start_release(&n->hold, slot, first, last) != ERR_OK)
		log_error("hold_release_failed", "slot=%u error=%s", slot,
			  err_name(ERR_NOMEM));
	node_hold_tick(n, clk_ms());
}

static void stop_slot(struct node *n, struct hold_slot *s)
{
	if (s->gate_stopped)
		return;
	s->gate_stopped = 1;
	gate_release(n->gate, s->slot);
}

/* Appends the slot to the last row if it continues it. */
static void add_row(struct announce_answer *a, const struct hold_row *r)
{
	struct hold_row *last =
		a->row_count ? &a->rows[a->row_count - 1] : NULL;

	if (last && last->last + 1 == r->first && last->fence == r->fence &&
	    strcmp(last->handover, r->handover) == 0) {
		last->last = r->last;
		return;
	}
	if (a->row_count < ANNOUNCE_MAX_ROWS)
		a->rows[a->row_count++] = *r;
}

/* How much an answer is cut down to fit. */
enum answer_form {
	ANSWER_WHOLE,
	ANSWER_ONE_FENCE, /* neighbours with different fences are joined */
	ANSWER_COLD,	  /* and without handovers, so that all are joined */
	ANSWER_FORMS
};

/*
 * Never below one that the target has seen: it would refuse the row. An earlier
 * process of this daemon may have given it a higher one than the map's.
 */
static uint64_t fence_of(struct node *n, const struct map_service *s,
			 uint32_t slot)
{
	uint64_t given = hold_given_fence(&n->hold, slot);
	uint64_t fence = node_map(n)->slots[slot].fence;
	uint64_t reported;
	uint32_t first, last;

	map_slot_numbers(s, slot, &first, &last);
	reported = hold_reported_fence(&n->hold, first, last);
	if (given > fence)
		fence = given;
	return reported > fence ? reported : fence;
}

static int is_given(struct node *n, uint32_t slot)
{
	return node_map(n)->slots[slot].owner == mem_id(n->mem) &&
	       !hold_is_releasing(&n->hold, slot);
}

static uint64_t highest_fence(struct node *n, const struct map_service *s)
{
	uint64_t highest = 0;

	for (uint32_t i = 0; i < s->shards; i++) {
		uint32_t slot = s->first_slot + i;

		if (is_given(n, slot) && fence_of(n, s, slot) > highest)
			highest = fence_of(n, s, slot);
	}
	return highest;
}

/* A handover is of use only until the target has the keys. */
static void fill_row(struct node *n, uint32_t slot, uint64_t fence,
		     enum answer_form form, struct hold_row *r)
{
	const char *handover = node_map(n)->slots[slot].handover;

	r->fence = fence;
	if (form != ANSWER_COLD && handover &&
	    strlen(handover) < sizeof(r->handover) &&
	    !hold_reports_range(&n->hold, r->first, r->last,
				node_map(n)->slots[slot].fence))
		memcpy(r->handover, handover, strlen(handover) + 1);
}

static void fill_rows(struct node *n, const struct map_service *s,
		      enum answer_form form, struct announce_answer *a)
{
	uint64_t highest = form == ANSWER_WHOLE ? 0 : highest_fence(n, s);

	a->row_count = 0;
	for (uint32_t i = 0; i < s->shards; i++) {
		uint32_t slot = s->first_slot + i;
		struct hold_row row = { 0 };

		if (!is_given(n, slot))
			continue;
		map_slot_numbers(s, slot, &row.first, &row.last);
		fill_row(n, slot, highest ? highest : fence_of(n, s, slot),
			 form, &row);
		add_row(a, &row);
	}
}

static int fits(struct node *n, const struct announce_answer *a)
{
	size_t max = n->interface->answer_max_bytes;
	struct buf b;
	int ok;

	if (!max)
		return 1;
	buf_init(&b);
	n->interface->write_answer(a, &b);
	ok = b.len <= max;
	buf_finish(&b);
	return ok;
}

/* An answer that is too long counts as none, and the target loses all. */
static void fit_rows(struct node *n, const struct map_service *s,
		     struct announce_answer *a)
{
	size_t all;

	for (int form = 0; form < ANSWER_FORMS; form++) {
		fill_rows(n, s, (enum answer_form)form, a);
		if (fits(n, a))
			return;
	}
	all = a->row_count;
	while (a->row_count && !fits(n, a))
		a->row_count--;
	log_error("target_rows_cut", "rows=%zu of=%zu", a->row_count, all);
}

/* What the rows give counts as held from now on. */
static void note_rows(struct node *n, const struct map_service *s,
		      const struct announce_answer *a, int64_t now_ms)
{
	size_t r = 0;

	for (uint32_t i = 0; i < s->shards; i++) {
		uint32_t slot = s->first_slot + i;
		uint32_t first, last;

		if (!is_given(n, slot))
			continue;
		map_slot_numbers(s, slot, &first, &last);
		while (r < a->row_count && a->rows[r].last < first)
			r++;
		if (r == a->row_count || a->rows[r].first > first)
			continue;
		if (hold_answer_add(&n->hold, slot, first, last,
				    a->rows[r].fence, now_ms,
				    a->time_ms) != ERR_OK)
			log_error("hold_add_failed", "slot=%u error=%s", slot,
				  err_name(ERR_NOMEM));
	}
}

/* The gate takes no new work for what the answer leaves out. */
static void stop_releasing(struct node *n)
{
	struct hold_slot *s, *next;

	HASH_ITER(hh, n->hold.slots, s, next) {
		if (s->releasing)
			stop_slot(n, s);
	}
}

/*
 * Fences in the map were given out to the target that the map names. Another
 * one, or another run of it, needs the higher ones that come with its name.
 */
static int map_names_target(struct node *n, const struct announcement *a)
{
	const struct map_node *m = map_find_node(node_map(n), mem_id(n->mem));
	const Wire__Target *t = m ? m->info->target : NULL;

	return t && t->born_ms == a->born_ms && strcmp(t->id, a->id) == 0;
}

void node_hold_answer(struct node *n, const struct announcement *a,
		      struct announce_answer *answer)
{
	const struct map *m = node_map(n);
	const struct map_service *s = map_find_service(m, a->service);
	int64_t now_ms = clk_ms();
	int64_t end_ms;

	if (hold_apply_announcement(&n->hold, a->held, a->held_count,
				    a->released, a->released_count) != ERR_OK)
		return;
	if (hold_count_missing(&n->hold))
		log_warn("target_keys_missing", "id=%s slots=%zu sequence=%llu",
			 LOG_Q(a->id), hold_count_missing(&n->hold),
			 (unsigned long long)a->sequence);
	hold_answer_begin(&n->hold);
	stop_releasing(n);
	node_hold_tick(n, now_ms);
	if (!s || !s->key_numbers || !map_names_target(n, a) ||
	    mem_right_end(n->mem, now_ms, &end_ms) != ERR_OK)
		return;
	answer->time_ms = hold_remaining_ms(
		now_ms, end_ms,
		own_times_for(settings_grant_ms(n->set)).grant_ms <
				n->set->hold_max_ms
			? own_times_for(settings_grant_ms(n->set)).grant_ms
			: n->set->hold_max_ms);
	if (!answer->time_ms)
		return;
	answer->has_holds = 1;
	fit_rows(n, s, answer);
	note_rows(n, s, answer, now_ms);
	log_debug("target_holds", "rows=%zu time_ms=%lld map_revision=%llu",
		  answer->row_count, (long long)answer->time_ms,
		  (unsigned long long)m->rev);
}

/* Slots whose release is complete are reported together. */
void node_hold_tick(struct node *n, int64_t now_ms)
{
	struct hold_slot *s, *next;
	uint32_t slots[MEM_RELEASED_MAX];
	const char *handovers[MEM_RELEASED_MAX];
	size_t count = 0;

	HASH_ITER(hh, n->hold.slots, s, next) {
		if (!s->releasing || s->release_sent ||
		    count == MEM_RELEASED_MAX)
			continue;
		/* Without a target nothing answers: no reason to wait. */
		if (s->end_ms <= now_ms || !n->target)
			stop_slot(n, s);
		if (!s->gate_stopped || !gate_slot_is_empty(n->gate, s->slot) ||
		    !hold_is_free(&n->hold, s->slot, s->first, s->last, now_ms))
			continue;
		slots[count] = s->slot;
		handovers[count++] = s->handover;
	}
	if (!count)
		return;
	mem_released_many(n->mem, slots, handovers, count);
	for (size_t i = 0; i < count; i++)
		hold_mark_release_sent(&n->hold, slots[i]);
}

enum err node_hold_may_serve(struct node *n, uint32_t slot, uint64_t fence,
			     int64_t now_ms, int64_t *end_ms)
{
	if (!node_hold_applies(n, slot) || !guard_on(GUARD_GRANT_CHECK))
		return ERR_OK;
	return hold_may_serve(&n->hold, slot, fence, now_ms, end_ms)
		       ? ERR_OK
		       : ERR_NO_GRANT;
}
