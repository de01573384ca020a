#include "routing/gate_priv.h"
#include "common/clk.h"
#include "common/log.h"

#include <utlist.h>

/*
 * Places kept for offers: the body of the request goes from the node that took
 * it straight to the target, past this node's line. This gate still decides
 * when, and whether at all.
 */

/* The asker's report may come so much later than the end of the request. */
#define GATE_OVERDUE_MS 500

static void on_overdue(struct ev_loop *loop, ev_timer *w, int events)
{
	struct gate_call *c = w->data;

	(void)loop;
	(void)events;
	log_request(LOG_WARN, "place_overdue", "id=%s attempt=%016llx",
		    LOG_Q(c->f->request_id), (unsigned long long)c->f->attempt);
	cnt_add(c->g->cnt, "gate_places_overdue", "", 1);
	gate_call_fail(c, OUTCOME_UNKNOWN, ERR_TIMEOUT);
}

void gate_place_keep(struct gate_call *c)
{
	struct gate *g = c->g;
	Wire__ForwardReply reply = WIRE__FORWARD_REPLY__INIT;
	Wire__TargetLoad load;
	gate_reply_fn fn = c->fn;
	int64_t left_ms = c->deadline_ms - clk_ms() + GATE_OVERDUE_MS;

	if (gate_check_leaving(g, 0) != ERR_OK) {
		gate_call_fail(c, OUTCOME_NOT_RUN, ERR_NO_TARGET);
		return;
	}
	c->state = CALL_STARTED;
	c->sent_ns = clk_ns();
	c->in_flight = ++g->started;
	c->fn = NULL;
	ev_timer_init(&c->overdue, on_overdue, (double)left_ms / 1000., 0.);
	c->overdue.data = c;
	ev_now_update(g->loop);
	ev_timer_start(g->loop, &c->overdue);
	reply.outcome = OUTCOME_PLACE;
	reply.place = g->target;
	gate_fill_reply(g, &reply, &load, c->f->attempt);
	cnt_add(g->cnt, "gate_places", "", 1);
	if (fn)
		fn(&reply, c->priv);
}

static struct gate_call *find_placed(const struct gate *g, uint64_t attempt)
{
	struct gate_call *c;

	DL_FOREACH(g->calls, c) {
		if (c->offered && c->state == CALL_STARTED &&
		    c->f->attempt == attempt)
			return c;
	}
	return NULL;
}

void gate_place_end(struct gate *g, const Wire__PlaceEnd *end)
{
	struct gate_call *c = find_placed(g, end->attempt);
	Wire__ForwardReply reply = WIRE__FORWARD_REPLY__INIT;

	if (!c)
		return;
	reply.outcome = end->outcome;
	reply.error = end->error < ERR_COUNT ? end->error : ERR_MALFORMED;
	if (reply.outcome != OUTCOME_ANSWERED &&
	    reply.outcome != OUTCOME_NOT_RUN)
		reply.outcome = OUTCOME_UNKNOWN;
	reply.retry_after_ms = end->retry_after_ms;
	gate_call_judge(c, &reply);
	gate_call_end(c, &reply);
}
