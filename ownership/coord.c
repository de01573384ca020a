#include "ownership/own.h"
#include "common/guard.h"
#include "ownership/majority.h"

#include <stdlib.h>
#include <string.h>

/* Returns the longest that span_ms of a peer's clock may last on this clock. */
static int64_t with_drift(int64_t span_ms)
{
	return span_ms + span_ms * OWN_DRIFT_PPM / 1000000 + 1;
}

struct own_times own_times_for(int64_t grant_ms)
{
	struct own_times t = { OWN_GRANT_MS,	  OWN_AUTHORITY_MS,
			       OWN_CONFIRM_MS,	  OWN_HOLD_AFTER_MS,
			       OWN_HOLD_END_MS,	  0,
			       OWN_HOLD_QUORUM_MS };

	if (!grant_ms)
		return t;
	t.authority_ms = t.authority_ms * grant_ms / OWN_GRANT_MS;
	t.confirm_ms = t.confirm_ms * grant_ms / OWN_GRANT_MS;
	t.hold_after_ms = t.hold_after_ms * grant_ms / OWN_GRANT_MS;
	t.hold_end_ms = t.hold_end_ms * grant_ms / OWN_GRANT_MS;
	t.grant_ms = grant_ms;
	return t;
}

void own_coord_init(struct own_coord *c, uint64_t term, int64_t asked_ms,
		    int64_t now_ms)
{
	struct own_times times = own_times_for(0);

	own_coord_init_times(c, &times, term, asked_ms, now_ms);
}

void own_coord_init_times(struct own_coord *c, const struct own_times *times,
			  uint64_t term, int64_t asked_ms, int64_t now_ms)
{
	memset(c, 0, sizeof(*c));
	c->times = *times;
	c->term = term;
	c->takeover_ms = now_ms;
	c->last_tick_ms = now_ms;
	c->phase = OWN_RESOLVING;
	own_coord_extend_authority(c, asked_ms);
}

void own_coord_finish(struct own_coord *c)
{
	struct own_peer *p, *tmp;

	HASH_ITER(hh, c->peers, p, tmp) {
		HASH_DEL(c->peers, p);
		free(p);
	}
}

void own_coord_extend_authority(struct own_coord *c, int64_t asked_ms)
{
	if (asked_ms > c->confirmed_ms)
		c->confirmed_ms = asked_ms;
	if (asked_ms + c->times.authority_ms > c->authority_end_ms)
		c->authority_end_ms = asked_ms + c->times.authority_ms;
}

int own_coord_has_authority(const struct own_coord *c, int64_t now_ms)
{
	return now_ms < c->authority_end_ms;
}

struct own_peer *own_coord_find(const struct own_coord *c, uint32_t node_id)
{
	struct own_peer *p;

	HASH_FIND(hh, c->peers, &node_id, sizeof(node_id), p);
	return p;
}

static struct own_peer *add_or_reset_peer(struct own_coord *c, uint32_t node_id,
					  uint64_t incarnation,
					  uint64_t floor_rev)
{
	struct own_peer *p = own_coord_find(c, node_id);
	int known = p != NULL;

	if (!p) {
		p = calloc(1, sizeof(*p));
		if (!p)
			return NULL;
		p->node_id = node_id;
		HASH_ADD(hh, c->peers, node_id, sizeof(p->node_id), p);
	}
	p->incarnation = incarnation;
	p->floor_rev = floor_rev;
	/*
	 * inherited and unrecorded are not reset: the majority of an earlier
	 * term is counted over the roster of that term, and the replaced
	 * incarnation's statement about its record stands. If it made none, its
	 * record is unknown for good, and the new one states nothing about it.
	 * It has ended, so it follows no earlier term.
	 */
	p->promised = known;
	p->replaced = known;
	p->grant_end_ms = 0;
	p->recorded = 0;
	p->commit_sent = 0;
	p->maybe_held = 0;
	p->leaving = 0;
	p->clear_seq = 0;
	p->ask_seq = 0;
	p->reply_seq = 0;
	p->acted_ms = 0;
	p->hold_end_ms = 0;
	return p;
}

struct own_peer *own_coord_add_inherited(struct own_coord *c, uint32_t node_id,
					 uint64_t incarnation,
					 uint64_t floor_rev,
					 uint32_t maybe_held)
{
	struct own_peer *p =
		add_or_reset_peer(c, node_id, incarnation, floor_rev);

	if (!p)
		return NULL;
	/*
	 * The predecessor's last confirming read was sent before its record
	 * was replaced, so none of its grants ends later than this.
	 */
	p->grant_end_ms = c->takeover_ms + with_drift(c->times.authority_ms);
	p->inherited = 1;
	c->inherited_count++;
	p->maybe_held = maybe_held;
	return p;
}

struct own_peer *own_coord_begin_add(struct own_coord *c, uint32_t node_id,
				     uint64_t incarnation, uint64_t floor_rev)
{
	struct own_peer *p =
		add_or_reset_peer(c, node_id, incarnation, floor_rev);

	if (p)
		p->adding = 1;
	return p;
}

void own_coord_finish_add(struct own_coord *c, uint32_t node_id, int64_t now_ms)
{
	struct own_peer *p = own_coord_find(c, node_id);

	if (!p)
		return;
	p->adding = 0;
	p->grant_end_ms = now_ms + c->times.grant_ms;
}

void own_coord_remove(struct own_coord *c, uint32_t node_id)
{
	struct own_peer *p = own_coord_find(c, node_id);

	if (!p)
		return;
	HASH_DEL(c->peers, p);
	free(p);
}

void own_peer_set_lost(struct own_peer *p)
{
	/* unrecorded is not set: it may have recorded a hold others are in. */
	p->maybe_held = 0;
	p->commit_sent = 0;
	p->leaving = 1;
}

void own_coord_forget(struct own_coord *c, uint32_t node_id)
{
	struct own_peer *p = own_coord_find(c, node_id);

	if (!p)
		return;
	own_peer_set_lost(p);
	p->grant_end_ms = 0;
	p->promised = 1;
}

/* Returns 1 if the hold may be given or renewed. */
static int may_commit(const struct own_coord *c, int64_t now_ms)
{
	return !c->times.hold_max_ms || !guard_on(GUARD_HOLD_QUORUM) ||
	       majority_acted(c, now_ms);
}

int own_coord_is_in_office(const struct own_coord *c, int64_t now_ms)
{
	return own_coord_has_authority(c, now_ms) ||
	       (c->phase == OWN_HOLDING && majority_acted(c, now_ms));
}

/* Returns 1 if the peer is in no hold of this term or an earlier one. */
static int is_out_of_hold(const struct own_coord *c, const struct own_peer *p,
			  int64_t now_ms)
{
	if (!p->maybe_held && !p->commit_sent)
		return 1;
	if (!c->times.hold_max_ms || !c->promised_ms)
		return 0;
	if (now_ms <= p->hold_end_ms)
		return 0;
	return now_ms > c->promised_ms + with_drift(c->times.hold_quorum_ms +
						    c->times.hold_max_ms);
}

static int has_ended_on_all(const struct own_coord *c, int64_t now_ms)
{
	struct own_peer *p, *tmp;

	HASH_ITER(hh, c->peers, p, tmp) {
		if (now_ms <= p->grant_end_ms ||
		    (!p->adding && !is_out_of_hold(c, p, now_ms)))
			return 0;
	}
	return 1;
}

/*
 * Returns 1 if no node that is silent can be in a hold of an earlier term. A
 * majority without a record shows that only if the roster lacks no nodes.
 */
static int silent_holds_ended(const struct own_coord *c, int64_t now_ms)
{
	struct own_peer *p, *tmp;

	if (c->times.hold_max_ms && c->promised_ms &&
	    now_ms > c->promised_ms + with_drift(c->times.hold_quorum_ms +
						 c->times.hold_max_ms))
		return 1;
	if (c->roster_confirmed && majority_unrecorded(c))
		return 1;
	/* A node that joined after the copy may be in a hold, too. */
	if (c->saw_earlier_hold && !c->roster_confirmed)
		return 0;
	HASH_ITER(hh, c->peers, p, tmp) {
		if (p->inherited && !p->promised)
			return 0;
		/* It has a map that shows which nodes there are. */
		if (p->inherited && p->heard && !c->roster_confirmed)
			return 0;
	}
	return 1;
}

void own_coord_confirm_roster(struct own_coord *c)
{
	c->roster_confirmed = 1;
}

void own_coord_begin_recovery(struct own_coord *c)
{
	c->recovering = 1;
}

void own_coord_correct_inherited(struct own_coord *c, uint32_t node_id,
				 uint64_t incarnation)
{
	struct own_peer *p = own_coord_find(c, node_id);

	if (p && !p->heard && !p->adding)
		p->incarnation = incarnation;
	if (p && p->inherited)
		return;
	if (p) {
		p->inherited = 1;
		c->inherited_count++;
	} else {
		own_coord_add_inherited(c, node_id, incarnation, 0, 0);
	}
	/* What was shown without it is open again. */
	if (c->phase == OWN_NORMAL)
		c->phase = OWN_RESOLVING;
	c->promised_ms = 0;
}

void own_coord_exclude_inherited(struct own_coord *c, uint32_t node_id)
{
	struct own_peer *p = own_coord_find(c, node_id);

	if (!p)
		return;
	c->inherited_count -= p->inherited != 0;
	p->inherited = 0;
}

int own_coord_drop_inherited(struct own_coord *c, uint32_t node_id)
{
	struct own_peer *p = own_coord_find(c, node_id);

	if (!p)
		return 1;
	own_coord_exclude_inherited(c, node_id);
	if (p->heard || p->adding)
		return 0;
	own_coord_remove(c, node_id);
	return 1;
}

void own_coord_note_hold_left(struct own_coord *c, uint32_t node_id,
			      int64_t now_ms)
{
	struct own_peer *p = own_coord_find(c, node_id);

	/* What it allowed its target to hold ends within a grant from now. */
	c->saw_earlier_hold = 1;
	if (p && p->grant_end_ms < now_ms + with_drift(c->times.grant_ms))
		p->grant_end_ms = now_ms + with_drift(c->times.grant_ms);
}

int own_coord_is_recovered(const struct own_coord *c, int64_t now_ms)
{
	if (c->phase != OWN_NORMAL || !silent_holds_ended(c, now_ms) ||
	    now_ms <= c->takeover_ms + with_drift(c->times.authority_ms))
		return 0;
	return has_ended_on_all(c, now_ms);
}

void own_coord_end_recovery(struct own_coord *c, uint64_t floor_rev,
			    int64_t now_ms)
{
	struct own_peer *p, *tmp;

	c->recovering = 0;
	HASH_ITER(hh, c->peers, p, tmp) {
		p->floor_rev = floor_rev;
		if (p->heard_ms && now_ms < p->heard_ms + c->times.grant_ms)
			p->grant_end_ms = now_ms + c->times.grant_ms;
	}
}

static enum own_hold choose_hold(const struct own_coord *c, int64_t now_ms)
{
	switch (c->phase) {
	case OWN_NORMAL:
		return OWN_HOLD_NONE;
	case OWN_PREPARING:
		return OWN_HOLD_PREPARE;
	case OWN_HOLDING:
		return may_commit(c, now_ms) ? OWN_HOLD_COMMIT : OWN_HOLD_KEEP;
	case OWN_RESOLVING:
	case OWN_RELEASING:
		break;
	}
	return OWN_HOLD_KEEP;
}

static uint32_t issue_grant(const struct own_coord *c, struct own_peer *p,
			    int64_t now_ms)
{
	int64_t left = c->authority_end_ms - now_ms;
	int64_t end_ms;

	if (c->recovering)
		return 0;
	if (!guard_on(GUARD_AUTHORITY))
		left = c->times.grant_ms;
	if (left <= 0)
		return 0;
	if (left > c->times.grant_ms)
		left = c->times.grant_ms;
	end_ms = now_ms + with_drift(left);
	if (end_ms > p->grant_end_ms)
		p->grant_end_ms = end_ms;
	return (uint32_t)left;
}

/*
 * Notes that a member has left its hold, once it acknowledges a reply that
 * cleared its record. An ask without a record is not enough: it may have been
 * sent before the member recorded the hold.
 */
static void note_cleared(const struct own_coord *c, struct own_peer *p,
			 int64_t now_ms, const struct own_ask *ask)
{
	if (c->phase != OWN_NORMAL || !(p->maybe_held || p->commit_sent))
		return;
	if (!p->clear_seq) {
		p->clear_seq = ask->seq;
		return;
	}
	if (ask->hold_term)
		return;
	if (ask->ack_seq < p->clear_seq && guard_on(GUARD_HOLD_ACK))
		return;
	p->maybe_held = 0;
	p->commit_sent = 0;
	p->clear_seq = 0;
	/* What it allowed its target to hold ends within a grant from now. */
	if (p->grant_end_ms < now_ms + with_drift(c->times.grant_ms))
		p->grant_end_ms = now_ms + with_drift(c->times.grant_ms);
}

static void note_ask(struct own_coord *c, struct own_peer *p, int64_t now_ms,
		     const struct own_ask *ask)
{
	p->heard_ms = now_ms;
	p->ask_seq = ask->seq;
	/* With a lower term the member may still follow a predecessor. */
	if (ask->term < c->term)
		return;
	if (p->reply_seq && ask->ack_seq == p->reply_seq)
		p->acted_ms = p->reply_ms;
	p->promised = 1;
	if (!p->heard) {
		p->heard = 1;
		/* A new process does not know what the earlier one recorded. */
		p->unrecorded = ask->hold_term == 0 &&
				(!p->replaced || !guard_on(GUARD_HOLD_RESTART));
	}
	if (ask->hold_term && ask->hold_term < c->term) {
		c->saw_earlier_hold = 1;
		if (!p->maybe_held)
			p->maybe_held = HASH_COUNT(c->peers);
	}
	if (c->phase == OWN_PREPARING && ask->hold_term == c->term &&
	    ask->hold_seq == c->hold_seq)
		p->recorded = 1;
	note_cleared(c, p, now_ms, ask);
}

enum own_ask_result own_coord_handle_ask(struct own_coord *c, int64_t now_ms,
					 const struct own_ask *ask,
					 struct own_reply *reply)
{
	struct own_peer *p = own_coord_find(c, ask->node_id);

	if (ask->term > c->term)
		return OWN_ASK_DEPOSED;
	if (!p || p->incarnation != ask->incarnation)
		return OWN_ASK_UNKNOWN;
	/*
	 * The slots of a leaving node are being given to others, so it must
	 * not serve again, not even by a hold.
	 */
	if (p->adding || p->leaving || ask->seq <= p->ask_seq)
		return OWN_ASK_IGNORE;
	note_ask(c, p, now_ms, ask);
	memset(reply, 0, sizeof(*reply));
	reply->term = c->term;
	reply->incarnation = p->incarnation;
	reply->seq = ask->seq;
	reply->floor_rev = p->floor_rev;
	reply->hold = choose_hold(c, now_ms);
	reply->hold_seq = c->hold_seq;
	reply->grant_ms = issue_grant(c, p, now_ms);
	p->reply_seq = ask->seq;
	p->reply_ms = now_ms;
	if (reply->hold == OWN_HOLD_COMMIT) {
		reply->hold_ms = (uint32_t)c->times.hold_max_ms;
		p->commit_sent = 1;
		p->hold_end_ms = now_ms + with_drift(c->times.hold_max_ms);
	}
	return OWN_ASK_REPLY;
}

static void start_preparing(struct own_coord *c)
{
	struct own_peer *p, *tmp;

	c->phase = OWN_PREPARING;
	c->hold_seq++;
	HASH_ITER(hh, c->peers, p, tmp) {
		p->recorded = 0;
	}
}

static int any_commit_sent(const struct own_coord *c)
{
	struct own_peer *p, *tmp;

	HASH_ITER(hh, c->peers, p, tmp) {
		if (p->commit_sent)
			return 1;
	}
	return 0;
}

static void tick_phase(struct own_coord *c, int64_t now_ms)
{
	int64_t age_ms = now_ms - c->confirmed_ms;
	int confirmed = age_ms < c->times.hold_end_ms;

	switch (c->phase) {
	case OWN_RESOLVING:
		if (c->recovering ? !silent_holds_ended(c, now_ms)
				  : !majority_unrecorded(c))
			return;
		c->phase = OWN_NORMAL;
		break;
	case OWN_NORMAL:
		if (age_ms < c->times.hold_after_ms || !guard_on(GUARD_HOLD))
			return;
		/* Members would serve by maps that may differ. */
		if (c->recovering)
			return;
		start_preparing(c);
		break;
	case OWN_PREPARING:
		/* No commit was sent, so no member is in the hold. */
		if (confirmed)
			c->phase = OWN_NORMAL;
		else if (majority_recorded(c))
			c->phase = OWN_HOLDING;
		break;
	case OWN_HOLDING:
		if (confirmed)
			c->phase =
				any_commit_sent(c) ? OWN_RELEASING : OWN_NORMAL;
		break;
	case OWN_RELEASING:
		break;
	}
}

int own_coord_tick(struct own_coord *c, int64_t now_ms)
{
	int changed;

	if (now_ms - c->last_tick_ms > OWN_PAUSE_MS)
		c->lost_after_ms = now_ms + OWN_PAUSE_MS;
	c->last_tick_ms = now_ms;
	if (!c->promised_ms && majority_promised(c))
		c->promised_ms = now_ms;
	tick_phase(c, now_ms);
	changed = c->phase != c->last_tick_phase;
	c->last_tick_phase = c->phase;
	return changed;
}

int own_coord_may_change(const struct own_coord *c)
{
	return c->phase != OWN_PREPARING && c->phase != OWN_HOLDING;
}

int own_coord_may_add(const struct own_coord *c)
{
	return c->phase != OWN_RESOLVING || !guard_on(GUARD_ROSTER_GROWTH);
}

int own_coord_needs_marks(const struct own_coord *c, int64_t now_ms)
{
	if (c->phase == OWN_RELEASING)
		return 1;
	if (c->recovering)
		return 0;
	if (c->phase != OWN_RESOLVING || majority_unrecorded(c))
		return 0;
	/*
	 * Silent nodes may be in an earlier hold and have to be marked. Nodes
	 * have until the grants of the predecessor end to send an ask.
	 */
	return majority_all_heard(c) ||
	       now_ms > c->takeover_ms + with_drift(c->times.authority_ms);
}

uint32_t own_coord_hold_mark(const struct own_coord *c,
			     const struct own_peer *p)
{
	uint32_t mark = p->maybe_held;

	if (!guard_on(GUARD_HOLD_MARKS))
		return 0;
	/* A restored store is given the roster in any phase. */
	if ((c->phase == OWN_PREPARING || c->phase == OWN_HOLDING) && !mark)
		mark = HASH_COUNT(c->peers);
	if (c->phase == OWN_RELEASING && p->commit_sent && !mark)
		mark = HASH_COUNT(c->peers);
	if (c->phase == OWN_RESOLVING && p->inherited && !p->leaving &&
	    !p->replaced && (mark ? mark > c->inherited_count : !p->unrecorded))
		mark = c->inherited_count;
	return mark;
}

void own_coord_finish_marks(struct own_coord *c)
{
	struct own_peer *p, *tmp;

	HASH_ITER(hh, c->peers, p, tmp) {
		p->maybe_held = own_coord_hold_mark(c, p);
		p->clear_seq = 0;
	}
	if (c->phase == OWN_RELEASING || c->phase == OWN_RESOLVING)
		c->phase = OWN_NORMAL;
}

int own_coord_is_lost(const struct own_coord *c, const struct own_peer *p,
		      int64_t now_ms, int64_t extra_ms)
{
	if (c->recovering || p->adding ||
	    !is_out_of_hold(c, p, now_ms - extra_ms))
		return 0;
	if (c->phase != OWN_NORMAL || !own_coord_has_authority(c, now_ms))
		return 0;
	if (!guard_on(GUARD_LOST_WAIT))
		return now_ms > p->heard_ms + OWN_RENEW_MS;
	return now_ms > p->grant_end_ms + extra_ms && now_ms > c->lost_after_ms;
}
