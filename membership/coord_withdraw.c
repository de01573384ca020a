#include "membership/coord_priv.h"
#include "common/log.h"
#include "protocol/wire.h"

#include <stdlib.h>

int co_can_keep_slots(const struct co_member *m)
{
	return m->info->target && m->join == CO_JOIN_DONE && !m->lost &&
	       !m->removing && !m->leaving;
}

/*
 * Replaces queued moves of released slots by a new fence for the owner. The
 * target beside the owner may have been replaced since the move was queued, and
 * then needs one.
 */
static void keep_queued_slots(struct coord *c)
{
	struct co_queue *q = &c->queue;

	for (size_t i = 0; i < q->slot_count; i++) {
		uint32_t slot = q->slots[i].slot;
		const struct co_member *m;

		if (slot >= c->map.slot_count || !c->slots[slot].released)
			continue;
		m = co_member_find(c, c->map.slots[slot].owner);
		if (!m || !co_can_keep_slots(m))
			continue;
		q->slots[i].owner = m->id;
		q->slots[i].cause = "hold";
	}
}

/* Returns how many slots go back to the node. */
static size_t withdraw_releases(struct coord *c, struct co_member *m,
				int including_queued)
{
	uint32_t *slots = calloc(c->slot_count + 1, sizeof(*slots));
	size_t count = 0;

	for (uint32_t i = 0; slots && i < c->map.slot_count; i++) {
		struct co_slot *s = &c->slots[i];

		if (c->map.slots[i].owner != m->id ||
		    (!s->releasing && !s->released) ||
		    (s->changing && !including_queued))
			continue;
		s->releasing = 0;
		s->released = 0;
		s->new_owner = 0;
		s->unserved_since_ms = 0;
		s->handover[0] = 0;
		slots[count++] = i;
	}
	m->release_due = 0;
	co_send_cancel(c, m, slots, count);
	free(slots);
	return count;
}

void co_withdraw_moves(struct coord *c)
{
	struct co_member *m, *tmp;
	size_t count = 0;
	int requeued;

	if (own_coord_may_change(&c->own) ||
	    c->withdrawn_hold == c->own.hold_seq)
		return;
	/* The attempt under way ends within the time-out of a call. */
	if (c->write.active && !c->write.retry_at_ms)
		return;
	c->withdrawn_hold = c->own.hold_seq;
	requeued = co_write_requeue(c);
	if (requeued)
		keep_queued_slots(c);
	HASH_ITER(hh, c->members, m, tmp) {
		if (co_can_keep_slots(m))
			count += withdraw_releases(c, m, requeued);
	}
	if (count || !requeued)
		log_info("moves_withdrawn",
			 "hold=%u slots=%zu write_pending=%d", c->own.hold_seq,
			 count, c->write.active);
}
