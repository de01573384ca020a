#include "ownership/own.h"
#include "common/guard.h"

#include <string.h>

void own_member_init(struct own_member *m, uint64_t incarnation)
{
	memset(m, 0, sizeof(*m));
	m->incarnation = incarnation;
	m->next_ask_ms = INT64_MAX;
}

void own_member_complete_join(struct own_member *m, uint32_t node_id,
			      int64_t now_ms)
{
	m->node_id = node_id;
	m->next_ask_ms = now_ms;
}

int own_member_ask_due(const struct own_member *m, int64_t now_ms)
{
	return now_ms >= m->next_ask_ms;
}

void own_member_make_ask(struct own_member *m, int64_t now_ms,
			 struct own_ask *ask)
{
	int64_t period = m->standby_rank ? OWN_STANDBY_ASK_MS : OWN_RETRY_MS;

	m->last_seq++;
	m->asked_ms[m->last_seq % OWN_ASK_HISTORY] = now_ms;
	m->next_ask_ms = now_ms + period;
	m->unanswered++;
	ask->node_id = m->node_id;
	ask->incarnation = m->incarnation;
	ask->term = m->term;
	ask->seq = m->last_seq;
	ask->ack_seq = m->reply_seq;
	ask->hold_term = m->hold_term;
	ask->hold_seq = m->hold_seq;
}

static void apply_hold(struct own_member *m, int64_t now_ms, int64_t asked_ms,
		       const struct own_reply *r)
{
	switch (r->hold) {
	case OWN_HOLD_NONE:
		m->held = 0;
		m->hold_term = 0;
		m->hold_seq = 0;
		break;
	case OWN_HOLD_COMMIT:
		if (!m->held)
			m->hold_start_ms = now_ms;
		m->held = 1;
		m->hold_end_ms = r->hold_ms ? asked_ms + r->hold_ms : INT64_MAX;
		/* fall through */
	case OWN_HOLD_PREPARE:
		m->hold_term = r->term;
		m->hold_seq = r->hold_seq;
		break;
	case OWN_HOLD_KEEP:
		break;
	}
}

static int is_new_reply(const struct own_member *m, const struct own_reply *r)
{
	uint32_t age = m->last_seq - r->seq;

	/*
	 * Replies are acted on in the order of the asks. A reply that arrives
	 * after a newer one could clear a hold recorded by the newer one.
	 */
	if (r->seq > m->last_seq || r->seq <= m->reply_seq)
		return 0;
	return age < OWN_ASK_HISTORY;
}

int own_member_handle_reply(struct own_member *m, int64_t now_ms,
			    const struct own_reply *r)
{
	int64_t asked_ms;
	int64_t end_ms;
	int is_new_prepare;

	if (r->incarnation != m->incarnation)
		return 0;
	if (r->term < m->term && guard_on(GUARD_TERM))
		return 0;
	if (r->seq == 0) {
		m->term = r->term;
		m->next_ask_ms = now_ms;
		return 0;
	}
	if (!is_new_reply(m, r))
		return 0;
	asked_ms = m->asked_ms[r->seq % OWN_ASK_HISTORY];
	is_new_prepare =
		r->hold == OWN_HOLD_PREPARE &&
		(m->hold_term != r->term || m->hold_seq != r->hold_seq);
	m->term = r->term;
	m->reply_seq = r->seq;
	m->confirmed_ms = asked_ms;
	m->unanswered = 0;
	m->standby_rank = r->standby_rank;
	m->floor_rev = r->floor_rev;
	apply_hold(m, now_ms, asked_ms, r);
	end_ms = asked_ms + r->grant_ms;
	if (r->grant_ms && end_ms > m->grant_end_ms)
		m->grant_end_ms = end_ms;
	m->next_ask_ms = asked_ms +
			 (m->standby_rank ? OWN_STANDBY_ASK_MS : OWN_RENEW_MS);
	/* The record counts only once an ask has reported it. */
	if (is_new_prepare)
		m->next_ask_ms = now_ms;
	return 1;
}

int own_member_observe_term(struct own_member *m, uint64_t term, int64_t now_ms)
{
	if (term < m->term && guard_on(GUARD_TERM))
		return 0;
	if (term != m->term) {
		m->term = term;
		m->unanswered = 0;
		if (m->node_id)
			m->next_ask_ms = now_ms;
	}
	return 1;
}

void own_member_wait(struct own_member *m)
{
	/* The record stays: other nodes may be in the hold. */
	m->held = 0;
	m->standby_rank = 0;
	m->unanswered = 0;
}

int own_member_in_hold(const struct own_member *m, int64_t now_ms)
{
	return m->held && now_ms < m->hold_end_ms;
}

enum err own_member_may_serve(const struct own_member *m, int64_t now_ms,
			      uint64_t map_rev, int64_t *end_ms)
{
	int in_hold = own_member_in_hold(m, now_ms);

	if (!in_hold && now_ms >= m->grant_end_ms)
		return ERR_NO_GRANT;
	if (map_rev < m->floor_rev && guard_on(GUARD_FLOOR))
		return ERR_STALE;
	*end_ms = m->grant_end_ms;
	if (in_hold && m->hold_end_ms > *end_ms)
		*end_ms = m->hold_end_ms;
	return ERR_OK;
}

static int64_t takeover_after_ms(const struct own_member *m)
{
	if (m->standby_rank)
		return (int64_t)OWN_TAKEOVER_AFTER_MS * m->standby_rank;
	return OWN_TAKEOVER_OTHERS_MS +
	       (int64_t)(m->node_id % OWN_TAKEOVER_STEPS) *
		       OWN_TAKEOVER_STEP_MS;
}

int own_member_should_take_over(const struct own_member *m, int64_t now_ms)
{
	if (!own_member_in_hold(m, now_ms) || !guard_on(GUARD_STANDBY))
		return 0;
	/*
	 * A hold of an earlier term is being resolved by a coordinator that
	 * has already replaced the one that gave it.
	 */
	return m->hold_term == m->term &&
	       now_ms - m->hold_start_ms >= takeover_after_ms(m);
}

int own_member_should_elect(const struct own_member *m, int64_t now_ms)
{
	if (!m->standby_rank || own_member_in_hold(m, now_ms) ||
	    !guard_on(GUARD_STANDBY))
		return 0;
	return m->unanswered > OWN_STANDBY_MISSES * m->standby_rank;
}
