#include "ownership/hold.h"
#include "common/guard.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Returns the real time that passes while a slow clock counts span_ms. */
static int64_t with_drift(int64_t span_ms)
{
	return span_ms + span_ms * HOLD_DRIFT_PPM / 1000000 + 1;
}

void hold_init(struct hold *h, int64_t now_ms, int64_t longest_ms)
{
	memset(h, 0, sizeof(*h));
	h->earlier_end_ms = now_ms + with_drift(longest_ms);
}

static void free_slots_and_rows(struct hold *h)
{
	struct hold_slot *s, *next;

	HASH_ITER(hh, h->slots, s, next) {
		HASH_DEL(h->slots, s);
		free(s);
	}
	free(h->rows);
	h->rows = NULL;
	h->row_count = 0;
}

void hold_finish(struct hold *h)
{
	free_slots_and_rows(h);
}

void hold_clear(struct hold *h)
{
	struct hold_slot *s, *next;

	HASH_ITER(hh, h->slots, s, next) {
		s->end_ms = 0;
		s->serve_end_ms = 0;
		s->given = 0;
		s->listed = 0;
		s->fence = 0;
		s->handover[0] = 0;
	}
	free(h->rows);
	h->rows = NULL;
	h->row_count = 0;
	h->announced = 0;
	h->earlier_end_ms = 0;
}

static struct hold_slot *find_slot(const struct hold *h, uint32_t slot)
{
	struct hold_slot *s;

	HASH_FIND(hh, h->slots, &slot, sizeof(slot), s);
	return s;
}

static struct hold_slot *find_or_add_slot(struct hold *h, uint32_t slot,
					  uint32_t first, uint32_t last)
{
	struct hold_slot *s = find_slot(h, slot);

	if (!s) {
		s = calloc(1, sizeof(*s));
		if (!s)
			return NULL;
		s->slot = slot;
		HASH_ADD(hh, h->slots, slot, sizeof(s->slot), s);
	}
	s->first = first;
	s->last = last;
	return s;
}

static int overlaps(const struct hold_row *r, uint32_t first, uint32_t last)
{
	return r->first <= last && first <= r->last;
}

static int is_listed(const struct hold *h, uint32_t first, uint32_t last)
{
	for (size_t i = 0; i < h->row_count; i++) {
		if (overlaps(&h->rows[i], first, last))
			return 1;
	}
	return 0;
}

static void store_handovers(struct hold *h, const struct hold_row *released,
			    size_t count)
{
	struct hold_slot *s, *next;

	HASH_ITER(hh, h->slots, s, next) {
		for (size_t i = 0; i < count; i++) {
			const struct hold_row *r = &released[i];

			if (r->first <= s->first && s->last <= r->last)
				memcpy(s->handover, r->handover,
				       sizeof(s->handover));
		}
	}
}

size_t hold_count_missing(const struct hold *h)
{
	const struct hold_slot *s, *next;
	size_t missing = 0;

	HASH_ITER(hh, h->slots, s, next) {
		missing += s->given && !s->listed && s->fence;
	}
	return missing;
}

enum err hold_apply_announcement(struct hold *h, const struct hold_row *held,
				 size_t held_count,
				 const struct hold_row *released,
				 size_t released_count)
{
	struct hold_row *rows = malloc((held_count + 1) * sizeof(*rows));
	struct hold_slot *s, *next;

	if (!rows)
		return ERR_NOMEM;
	if (held_count)
		memcpy(rows, held, held_count * sizeof(*rows));
	free(h->rows);
	h->rows = rows;
	h->row_count = held_count;
	h->announced = 1;
	HASH_ITER(hh, h->slots, s, next) {
		s->listed = is_listed(h, s->first, s->last);
		/* Earlier answers were acted on or will be ignored. */
		if (!s->listed)
			s->end_ms = 0;
	}
	store_handovers(h, released, released_count);
	return ERR_OK;
}

enum err hold_start_release(struct hold *h, uint32_t slot, uint32_t first,
			    uint32_t last)
{
	struct hold_slot *s = find_or_add_slot(h, slot, first, last);

	if (!s)
		return ERR_NOMEM;
	if (!s->releasing)
		s->handover[0] = 0;
	s->releasing = 1;
	s->release_sent = 0;
	s->listed = is_listed(h, first, last);
	return ERR_OK;
}

void hold_cancel_release(struct hold *h, uint32_t slot)
{
	struct hold_slot *s = find_slot(h, slot);

	if (!s)
		return;
	s->releasing = 0;
	s->gate_stopped = 0;
	s->release_sent = 0;
}

int hold_is_releasing(const struct hold *h, uint32_t slot)
{
	const struct hold_slot *s = find_slot(h, slot);

	return s && s->releasing;
}

int64_t hold_remaining_ms(int64_t now_ms, int64_t right_end_ms, int64_t max_ms)
{
	int64_t time = max_ms;

	if (right_end_ms != INT64_MAX && right_end_ms - now_ms < max_ms)
		time = right_end_ms - now_ms;
	time -= time * HOLD_DRIFT_PPM / 1000000 + HOLD_MARGIN_MS;
	return time > 0 ? time : 0;
}

void hold_answer_begin(struct hold *h)
{
	struct hold_slot *s, *next;

	HASH_ITER(hh, h->slots, s, next) {
		s->given = 0;
	}
}

enum err hold_answer_add(struct hold *h, uint32_t slot, uint32_t first,
			 uint32_t last, uint64_t fence, int64_t now_ms,
			 int64_t time_ms)
{
	struct hold_slot *s = find_or_add_slot(h, slot, first, last);

	if (!s)
		return ERR_NOMEM;
	s->given = 1;
	s->fence = fence;
	s->end_ms = now_ms + with_drift(time_ms);
	s->serve_end_ms = now_ms + time_ms;
	return ERR_OK;
}

uint64_t hold_given_fence(const struct hold *h, uint32_t slot)
{
	const struct hold_slot *s = find_slot(h, slot);

	return s ? s->fence : 0;
}

uint64_t hold_reported_fence(const struct hold *h, uint32_t first,
			     uint32_t last)
{
	uint64_t fence = 0;

	for (size_t i = 0; i < h->row_count; i++) {
		if (overlaps(&h->rows[i], first, last) &&
		    h->rows[i].fence > fence)
			fence = h->rows[i].fence;
	}
	return fence;
}

int hold_reports_range(const struct hold *h, uint32_t first, uint32_t last,
		       uint64_t fence)
{
	for (size_t i = 0; i < h->row_count; i++) {
		const struct hold_row *r = &h->rows[i];

		if (r->fence >= fence && r->first <= first && last <= r->last)
			return 1;
	}
	return 0;
}

int hold_may_serve(const struct hold *h, uint32_t slot, uint64_t fence,
		   int64_t now_ms, int64_t *end_ms)
{
	const struct hold_slot *s = find_slot(h, slot);

	if (!s || !s->given || s->fence < fence || now_ms >= s->serve_end_ms)
		return 0;
	if (s->serve_end_ms < *end_ms)
		*end_ms = s->serve_end_ms;
	return 1;
}

int hold_is_free(const struct hold *h, uint32_t slot, uint32_t first,
		 uint32_t last, int64_t now_ms)
{
	const struct hold_slot *s = find_slot(h, slot);
	int64_t end_ms = s ? s->end_ms : 0;

	if (!guard_on(GUARD_HOLD_FREE))
		return 1;
	if (s && s->given && now_ms < end_ms)
		return 0;
	if (!h->announced || is_listed(h, first, last)) {
		if (end_ms < h->earlier_end_ms)
			end_ms = h->earlier_end_ms;
		return now_ms >= end_ms;
	}
	return 1;
}

const char *hold_handover(const struct hold *h, uint32_t slot)
{
	const struct hold_slot *s = find_slot(h, slot);

	return s ? s->handover : "";
}

void hold_mark_release_sent(struct hold *h, uint32_t slot)
{
	struct hold_slot *s = find_slot(h, slot);

	if (s)
		s->release_sent = 1;
}
