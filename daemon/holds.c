#include "daemon/node.h"
#include "common/clk.h"
#include "common/guard.h"
#include "common/log.h"
#include "common/step.h"

#include <stdlib.h>
#include <string.h>

/*
 * Chooses the keys that the answer to an announcement lets the target hold, and
 * releases slots. A release goes in steps:
 *  1. The next answer leaves the slot out.
 *  2. The gate takes no new requests for the slot.
 *  3. The slot is reported as released once none of its requests is in flight
 *     and the target holds none of its keys: an announcement says so, or the
 *     hold has expired.
 */

/* Returns the slot's service if its keys are numbers, else NULL. */
static const struct map_service *find_numbered_service(const struct map *m,
						       uint32_t slot)
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
	struct view *v = membership_view(n->membership);

	return v->ops->map(v);
}

int node_slot_uses_holds(struct node *n, uint32_t slot)
{
	return n->settings->hold_max_ms &&
	       find_numbered_service(node_map(n), slot);
}

void node_start_hold_release(struct node *n, uint32_t slot)
{
	const struct map_service *s = find_numbered_service(node_map(n), slot);
	uint32_t first, last;

	if (!s)
		return;
	map_slot_key_range(s, slot, &first, &last);
	if (hold_start_release(&n->hold, slot, first, last) != ERR_OK)
		log_error("hold_release_failed", "slot=%u error=%s", slot,
			  err_name(ERR_NOMEM));
	/* Once for all slots of a frame, since it looks at all slots. */
	ev_timer_start(n->loop, &n->release_timer);
}

static void on_release_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	step_enter("hold_release");
	node_report_hold_releases(w->data, clk_ms());
}

void node_holds_init(struct node *n)
{
	ev_timer_init(&n->release_timer, on_release_timer, 0., 0.);
	n->release_timer.data = n;
}

static void close_gate_for_slot(struct node *n, struct hold_slot *s)
{
	if (s->gate_stopped)
		return;
	s->gate_stopped = 1;
	gate_release(n->gate, s->slot);
}

/* Appends the row, or joins it to the last one if it continues that. */
static void append_row(struct announce_answer *a, const struct hold_row *r)
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

/* The forms of an answer, from the longest to the shortest. */
enum answer_detail {
	ANSWER_FULL,
	ANSWER_ONE_FENCE,    /* joins adjacent rows with different fences */
	ANSWER_NO_HANDOVERS, /* and joins all adjacent rows */
	ANSWER_DETAIL_COUNT
};

/*
 * Returns the fence under which to give the slot: that of the map, or a higher
 * one that the target was given, since it refuses a row with a lower fence than
 * it has seen. An earlier run of this daemon may have given a higher one than
 * the map has, which is why the announced fences count as well.
 */
static uint64_t choose_fence(struct node *n, const struct map_service *s,
			     uint32_t slot)
{
	uint64_t given = hold_given_fence(&n->hold, slot);
	uint64_t fence = node_map(n)->slots[slot].fence;
	uint64_t reported;
	uint32_t first, last;

	map_slot_key_range(s, slot, &first, &last);
	reported = hold_reported_fence(&n->hold, first, last);
	if (given > fence)
		fence = given;
	return reported > fence ? reported : fence;
}

/* Returns 1 if answers give the target the keys of the slot. */
static int answer_gives_slot(struct node *n, uint32_t slot)
{
	return node_map(n)->slots[slot].owner ==
		       membership_node_id(n->membership) &&
	       !hold_is_releasing(&n->hold, slot);
}

static uint64_t find_highest_fence(struct node *n, const struct map_service *s)
{
	uint64_t highest = 0;

	for (uint32_t i = 0; i < s->shards; i++) {
		uint32_t slot = s->first_slot + i;

		if (answer_gives_slot(n, slot) &&
		    choose_fence(n, s, slot) > highest)
			highest = choose_fence(n, s, slot);
	}
	return highest;
}

/*
 * Sets the row's fence and handover. The target needs the handover only until
 * it has the keys.
 */
static void fill_row(struct node *n, uint32_t slot, uint64_t fence,
		     enum answer_detail detail, struct hold_row *r)
{
	const char *handover = node_map(n)->slots[slot].handover;

	r->fence = fence;
	if (detail != ANSWER_NO_HANDOVERS && handover &&
	    strlen(handover) < sizeof(r->handover) &&
	    !hold_reports_range(&n->hold, r->first, r->last,
				node_map(n)->slots[slot].fence))
		memcpy(r->handover, handover, strlen(handover) + 1);
}

static void fill_rows(struct node *n, const struct map_service *s,
		      enum answer_detail detail, struct announce_answer *a)
{
	uint64_t highest = detail == ANSWER_FULL ? 0 : find_highest_fence(n, s);

	a->row_count = 0;
	for (uint32_t i = 0; i < s->shards; i++) {
		uint32_t slot = s->first_slot + i;
		struct hold_row row = { 0 };

		if (!answer_gives_slot(n, slot))
			continue;
		map_slot_key_range(s, slot, &row.first, &row.last);
		fill_row(n, slot, highest ? highest : choose_fence(n, s, slot),
			 detail, &row);
		append_row(a, &row);
	}
}

static int answer_fits_limit(struct node *n, const struct announce_answer *a)
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

/*
 * Fills in the longest form of the answer that is within the limit. The target
 * ignores a longer answer and so loses all its keys.
 */
static void fill_rows_within_limit(struct node *n, const struct map_service *s,
				   struct announce_answer *a)
{
	size_t full_count;

	for (int detail = 0; detail < ANSWER_DETAIL_COUNT; detail++) {
		fill_rows(n, s, (enum answer_detail)detail, a);
		if (answer_fits_limit(n, a))
			return;
	}
	full_count = a->row_count;
	while (a->row_count && !answer_fits_limit(n, a))
		a->row_count--;
	log_error("target_rows_cut", "rows=%zu of=%zu", a->row_count,
		  full_count);
}

/* Records that the target holds the slots that the rows cover. */
static void record_given_rows(struct node *n, const struct map_service *s,
			      const struct announce_answer *a, int64_t now_ms)
{
	size_t r = 0;

	for (uint32_t i = 0; i < s->shards; i++) {
		uint32_t slot = s->first_slot + i;
		uint32_t first, last;

		if (!answer_gives_slot(n, slot))
			continue;
		map_slot_key_range(s, slot, &first, &last);
		while (r < a->row_count && a->rows[r].last < first)
			r++;
		if (r == a->row_count || a->rows[r].first > first)
			continue;
		if (hold_answer_add(&n->hold, slot, first, last,
				    a->rows[r].fence, now_ms,
				    a->hold_ms) != ERR_OK)
			log_error("hold_add_failed", "slot=%u error=%s", slot,
				  err_name(ERR_NOMEM));
	}
}

/* Makes the gate take no new requests for slots that answers leave out. */
static void close_gate_for_releasing_slots(struct node *n)
{
	struct hold_slot *s, *next;

	HASH_ITER(hh, n->hold.slots, s, next) {
		if (s->releasing)
			close_gate_for_slot(n, s);
	}
}

/*
 * Returns 1 if the map names this run of this target. The fences in the map are
 * for the target that the map names. Another target or another run needs higher
 * ones, which come with the map that names it.
 */
static int map_names_this_target(struct node *n, const struct announcement *a)
{
	const struct map_node *m =
		map_find_node(node_map(n), membership_node_id(n->membership));
	const Wire__Target *t = m ? m->info->target : NULL;

	return t && t->born_ms == a->born_ms && strcmp(t->id, a->id) == 0;
}

void node_fill_hold_answer(struct node *n, const struct announcement *a,
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
	close_gate_for_releasing_slots(n);
	node_report_hold_releases(n, now_ms);
	if (!s || !s->key_numbers || !map_names_this_target(n, a) ||
	    membership_may_serve(n->membership, now_ms, &end_ms) != ERR_OK)
		return;
	answer->hold_ms = hold_remaining_ms(
		now_ms, end_ms,
		own_times_for(settings_grant_ms(n->settings)).grant_ms <
				n->settings->hold_max_ms
			? own_times_for(settings_grant_ms(n->settings)).grant_ms
			: n->settings->hold_max_ms);
	if (!answer->hold_ms)
		return;
	answer->has_holds = 1;
	fill_rows_within_limit(n, s, answer);
	record_given_rows(n, s, answer, now_ms);
	log_debug("target_holds", "rows=%zu time_ms=%lld map_revision=%llu",
		  answer->row_count, (long long)answer->hold_ms,
		  (unsigned long long)m->rev);
}

void node_report_hold_releases(struct node *n, int64_t now_ms)
{
	struct hold_slot *s, *next;
	uint32_t slots[MEMBERSHIP_RELEASED_MAX];
	const char *handovers[MEMBERSHIP_RELEASED_MAX];
	size_t count = 0;

	HASH_ITER(hh, n->hold.slots, s, next) {
		if (!s->releasing || s->release_sent ||
		    count == MEMBERSHIP_RELEASED_MAX)
			continue;
		/* Without a target, there will be no announcement to wait for.
		 */
		if (s->end_ms <= now_ms || !n->target)
			close_gate_for_slot(n, s);
		if (!s->gate_stopped ||
		    !gate_slot_is_drained(n->gate, s->slot) ||
		    !hold_is_free(&n->hold, s->slot, s->first, s->last, now_ms))
			continue;
		slots[count] = s->slot;
		handovers[count++] = s->handover;
	}
	if (!count)
		return;
	membership_report_released_many(n->membership, slots, handovers, count);
	for (size_t i = 0; i < count; i++)
		hold_mark_release_sent(&n->hold, slots[i]);
}

enum err node_hold_may_serve(struct node *n, uint32_t slot, uint64_t fence,
			     int64_t now_ms, int64_t *end_ms)
{
	if (!node_slot_uses_holds(n, slot) || !guard_on(GUARD_GRANT_CHECK))
		return ERR_OK;
	return hold_may_serve(&n->hold, slot, fence, now_ms, end_ms)
		       ? ERR_OK
		       : ERR_NO_GRANT;
}
