#include "routing/ingress_priv.h"
#include "common/clk.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/*
 * Pause until the map is looked at again. ingress_view_changed ends it earlier;
 * the pause covers a map change that was missed.
 */
#define IN_MAP_WAIT_MS 20
/* Backoff after the first attempt and its limit, both before jitter. */
#define IN_BACKOFF_BASE_MS 10
#define IN_BACKOFF_MAX_MS 320
/* Weight of the latest answer in the moving average of the size. */
#define IN_ANSWER_BYTES_WEIGHT 0.05

static void on_reply(const Wire__ForwardReply *reply, void *priv);

/*
 * If the table is full, the oldest budget is dropped: its owner has most likely
 * left.
 */
static struct in_budget *
add_budget(struct ingress *in, const struct in_budget_key *key, double ratio)
{
	struct in_budget *b = in->budgets;

	if (b && HASH_COUNT(in->budgets) >= IN_MAX_BUDGETS) {
		HASH_DEL(in->budgets, b);
		free(b);
	}
	b = calloc(1, sizeof(*b));
	if (!b)
		return NULL;
	b->key = *key;
	retry_budget_init(&b->retry_budget, ratio);
	HASH_ADD(hh, in->budgets, key, sizeof(b->key), b);
	return b;
}

static struct retry_budget *get_budget(struct in_request *q)
{
	struct in_budget_key key;
	struct in_budget *b;

	memset(&key, 0, sizeof(key));
	memcpy(key.service, q->service, strlen(q->service));
	key.owner = q->owner;
	HASH_FIND(hh, q->in->budgets, &key, sizeof(key), b);
	if (!b)
		b = add_budget(q->in, &key, q->retry_ratio);
	if (!b)
		return NULL;
	retry_budget_set_ratio(&b->retry_budget, q->retry_ratio);
	return &b->retry_budget;
}

void in_free_retry_state(struct ingress *in)
{
	struct in_budget *b, *next;
	struct in_service_state *s, *after;

	HASH_ITER(hh, in->budgets, b, next) {
		HASH_DEL(in->budgets, b);
		free(b);
	}
	HASH_ITER(hh, in->service_states, s, after) {
		HASH_DEL(in->service_states, s);
		free(s->spread);
		free(s);
	}
}

static void count_event(struct in_request *q, const char *name)
{
	char labels[LABEL_BYTES];

	cnt_add(q->in->cnt, name,
		labels_write(&q->in->labels, q->service, q->tenant, labels), 1);
}

static int64_t remaining_ms(const struct in_request *q)
{
	return q->deadline_ms - clk_ms();
}

static int64_t elapsed_ms(const struct in_request *q)
{
	return (clk_ns() - q->arrived_ns) / 1000000;
}

/*
 * Answers the request with an error. The outcome is unknown if an earlier
 * attempt may have run, otherwise not-run.
 */
static void fail_request(struct in_request *q, enum err error,
			 uint32_t retry_after_ms)
{
	/*
	 * Jitter, so that callers refused together do not return together. With
	 * limits.protect_calls, gates give them different times.
	 */
	if (retry_after_ms && !q->in->settings->protect_calls &&
	    q->in->dialect->fractional_retry_after)
		retry_after_ms = (uint32_t)(retry_after_ms *
					    g_random_double_range(0.7, 1.5));
	in_answer_error(q, q->may_have_run ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
			error, retry_after_ms);
}

static void pause_request(struct in_request *q, int64_t ms)
{
	q->state = IN_PAUSED;
	ev_now_update(q->in->loop);
	ev_timer_stop(q->in->loop, &q->timer);
	ev_timer_set(&q->timer, (double)ms / 1000., 0.);
	ev_timer_start(q->in->loop, &q->timer);
}

/*
 * Returns how long a request may wait for an owner. If the slot is moving
 * between live nodes, the new owner has it within one announcement interval,
 * and an answer after the latency target is still worth something. If the
 * owner was lost, its hold has to expire first, which takes longer: the caller
 * is soon told to retry later.
 */
static int64_t max_owner_wait_ms(const struct in_request *q, enum err error)
{
	if (!q->target_ms)
		return INT64_MAX;
	switch (error) {
	case ERR_RELEASING:
	case ERR_NO_GRANT:
		return q->target_ms;
	case ERR_NOT_OWNER:
		return q->target_ms / 2;
	default:
		return q->target_ms / 8;
	}
}

/*
 * Pauses until a newer map, because the key's owner is unknown, not ready or
 * another node. No target was loaded, so no retry budget is used.
 */
static void wait_for_map(struct in_request *q, enum err error)
{
	int64_t left = remaining_ms(q);
	int64_t now_ms = clk_ms();

	if (!q->owner_wait_since_ms)
		q->owner_wait_since_ms = now_ms;
	if (left <= 0 ||
	    now_ms - q->owner_wait_since_ms >= max_owner_wait_ms(q, error)) {
		fail_request(q, error, 0);
		return;
	}
	count_event(q, "in_map_waits");
	pause_request(q, left < IN_MAP_WAIT_MS ? left : IN_MAP_WAIT_MS);
}

/*
 * Exponential backoff with jitter, so that requests that failed together are
 * not retried together.
 */
static int64_t backoff_ms(const struct in_request *q)
{
	int64_t ms = IN_BACKOFF_BASE_MS;

	for (unsigned i = 1; i < q->attempt_count && ms < IN_BACKOFF_MAX_MS;
	     i++)
		ms *= 2;
	return ms / 2 + g_random_int_range(0, (gint32)ms);
}

/*
 * Backs off because the owner cannot be reached or has no target. Nothing was
 * sent to a target, so no retry budget is used. A newer map ends the pause.
 * The pause grows, since many requests wait during a full outage.
 */
static void wait_for_owner(struct in_request *q,
			   const Wire__ForwardReply *reply)
{
	int64_t pause = backoff_ms(q);

	if (pause >= remaining_ms(q) ||
	    (q->target_ms && elapsed_ms(q) + pause >= q->target_ms / 2)) {
		fail_request(q, reply->error, reply->retry_after_ms);
		return;
	}
	count_event(q, "in_owner_waits");
	pause_request(q, pause);
}

struct in_service_state *in_service_state_get(struct ingress *in,
					      const char *service)
{
	struct in_service_state *s;

	HASH_FIND_STR(in->service_states, service, s);
	if (s)
		return s;
	s = calloc(1, sizeof(*s));
	if (!s)
		return NULL;
	memcpy(s->service, service, strlen(service) + 1);
	retry_share_init(&s->retry_share);
	HASH_ADD_STR(in->service_states, service, s);
	return s;
}

void in_count_request(struct in_request *q)
{
	const struct settings *settings = q->in->settings;
	const struct map *m = q->in->view->ops->map(q->in->view);
	struct in_service_state *s = in_service_state_get(q->in, q->service);

	if (s)
		retry_share_request(&s->retry_share, settings->retry_ratio,
				    settings->retry_slack,
				    HASH_COUNT(m->nodes));
}

int in_take_retry_budget(struct in_request *q)
{
	struct retry_budget *b = get_budget(q);
	struct in_service_state *s = in_service_state_get(q->in, q->service);

	if (q->target_sends >= q->max_target_sends) {
		count_event(q, "in_attempts_used");
		return 0;
	}
	if (!b || !s || !retry_budget_take(b)) {
		count_event(q, "in_budget_empty");
		return 0;
	}
	if (!retry_share_take(&s->retry_share, g_random_double())) {
		retry_budget_give_back(b);
		count_event(q, "in_share_empty");
		return 0;
	}
	return 1;
}

static void retry(struct in_request *q, const Wire__ForwardReply *reply)
{
	int64_t pause = q->keyed ? backoff_ms(q) : 0;

	if (pause >= remaining_ms(q) || !in_take_retry_budget(q)) {
		fail_request(q, reply->error, reply->retry_after_ms);
		return;
	}
	count_event(q, "in_repeats");
	pause_request(q, pause);
}

static void add_failed_target(struct in_request *q)
{
	if (q->failed_target_count < IN_MAX_FAILED_TARGETS)
		q->failed_targets[q->failed_target_count++] = q->owner;
}

/*
 * Retries a request without a key at another target. If the last attempt did
 * not reach its target, the retry adds no load, so no retry budget is used.
 */
static void retry_elsewhere(struct in_request *q,
			    const Wire__ForwardReply *reply)
{
	if (remaining_ms(q) <= 0 ||
	    q->failed_target_count >= IN_MAX_FAILED_TARGETS) {
		fail_request(q, reply->error, reply->retry_after_ms);
		return;
	}
	if (reply->arrived) {
		retry(q, reply);
		return;
	}
	count_event(q, "in_other_target");
	pause_request(q, 0);
}

static void on_not_run(struct in_request *q, const Wire__ForwardReply *reply)
{
	if (reply->refused_by_all) {
		fail_request(q, reply->error, reply->retry_after_ms);
		return;
	}
	if (!q->keyed && reply->error != ERR_DEADLINE &&
	    reply->error != ERR_MALFORMED && reply->error != ERR_TOO_LARGE) {
		retry_elsewhere(q, reply);
		return;
	}
	switch (reply->error) {
	case ERR_NOT_OWNER:
	case ERR_RELEASING:
	case ERR_NO_GRANT:
	case ERR_STALE:
	case ERR_NO_SERVICE:
		wait_for_map(q, reply->error);
		return;
	case ERR_REFUSED:
	case ERR_CLOSED:
	case ERR_TIMEOUT:
	case ERR_NO_TARGET:
		wait_for_owner(q, reply);
		return;
	case ERR_SHED: /* the key has one owner; no other node can serve it */
	case ERR_DEADLINE:
	case ERR_MALFORMED:
	case ERR_TOO_LARGE:
		fail_request(q, reply->error, reply->retry_after_ms);
		return;
	case ERR_TARGET_REFUSED:
		/* A refusal with Retry-After is load shedding by the target. */
		if (reply->retry_after_ms) {
			fail_request(q, reply->error, reply->retry_after_ms);
			return;
		}
		break;
	default:
		break;
	}
	retry(q, reply);
}

static void on_unknown(struct in_request *q, const Wire__ForwardReply *reply)
{
	q->may_have_run = 1;
	if (q->forward.idempotent)
		retry(q, reply);
	else
		fail_request(q, reply->error, 0);
}

static enum selector_outcome
get_selector_outcome(const Wire__ForwardReply *reply)
{
	if (reply->outcome == OUTCOME_ANSWERED)
		return reply->status < 500 ? SELECTOR_ANSWERED
					   : SELECTOR_FAILED;
	if (reply->outcome == OUTCOME_UNKNOWN)
		return SELECTOR_FAILED;
	switch (reply->error) {
	case ERR_TARGET_REFUSED:
		return SELECTOR_TURNED_AWAY;
	case ERR_SHED:
	case ERR_DEADLINE:
		return SELECTOR_REFUSED;
	default:
		return SELECTOR_UNREACHABLE;
	}
}

static void record_answer_size(struct in_request *q, size_t bytes)
{
	struct in_service_state *s = in_service_state_get(q->in, q->service);

	if (s)
		s->answer_bytes += IN_ANSWER_BYTES_WEIGHT *
				   ((double)bytes - s->answer_bytes);
}

/* Updates what the selector knows of the target, by the end of the attempt. */
static void record_attempt_end(struct in_request *q,
			       const Wire__ForwardReply *reply)
{
	const Wire__TargetLoad *l = reply->load;
	struct selector_load load = { 0 };

	if (l) {
		load.running = l->running;
		load.queued = l->queued;
		load.places = l->places;
		load.latency_us = l->latency_us;
		load.kind = q->forward.route;
		load.kind_latency_us = l->kind_latency_us;
	}
	in_calls_note_reply(q, reply);
	if (reply->outcome == OUTCOME_ANSWERED) {
		record_answer_size(q, reply->body.len);
		byte_budget_note(&q->in->answers, q->forward.route,
				 reply->body.len);
	}
	q->target_sends += reply->arrived || reply->outcome == OUTCOME_UNKNOWN;
	if (!q->selector_in_flight)
		return;
	q->selector_in_flight = 0;
	if (l && l->took_us)
		selector_note_network_time(
			&q->in->selector, q->owner,
			q->forward.body.len + reply->body.len,
			(double)(clk_ns() - q->attempt_sent_ns) / 1e6 -
				l->took_us / 1000.,
			clk_ms());
	selector_note_ended(&q->in->selector, q->owner,
			    get_selector_outcome(reply), l ? &load : NULL,
			    clk_ms());
	if (l)
		in_note_cold(q, l->cold_ms);
	if (reply->outcome != OUTCOME_ANSWERED)
		add_failed_target(q);
}

static void on_reply(const Wire__ForwardReply *reply, void *priv)
{
	struct in_request *q = priv;
	struct retry_budget *b;

	q->state = IN_IDLE;
	record_attempt_end(q, reply);
	/* The reply is to another attempt: whether this one ran is unknown. */
	if (reply->attempt != q->forward.attempt) {
		cnt_add(q->in->cnt, "in_mismatched_replies", "", 1);
		q->may_have_run = 1;
		fail_request(q, ERR_CONFLICT, 0);
		return;
	}
	switch (reply->outcome) {
	case OUTCOME_ANSWERED:
		b = get_budget(q);
		if (b)
			retry_budget_answered(b);
		if (!q->keyed && q->failed_target_count &&
		    q->in->settings->spread)
			count_event(q, "in_other_target_answered");
		in_answer_reply(q, reply);
		break;
	case OUTCOME_NOT_RUN:
		on_not_run(q, reply);
		break;
	default:
		on_unknown(q, reply);
	}
}

static void set_owner(struct in_request *q, const struct map *m, uint32_t owner)
{
	const struct map_node *n = map_find_node(m, owner);

	q->owner = owner;
	q->owner_name[0] = 0;
	if (n && strlen(n->info->name) < sizeof(q->owner_name))
		memcpy(q->owner_name, n->info->name, strlen(n->info->name) + 1);
}

/* Returns the key's owner in this node's map; 0 if there is none. */
static uint32_t find_owner(const struct in_request *q, const struct map *m)
{
	const struct map_service *s = map_find_service(m, q->service);
	uint32_t slot;

	if (!s)
		return 0;
	slot = map_slot_of(m, s, q->key, strlen(q->key));
	return slot < m->slot_count ? m->slots[slot].owner : 0;
}

int in_is_owner(const struct in_request *q, uint32_t owner)
{
	return find_owner(q, q->in->view->ops->map(q->in->view)) == owner;
}

/*
 * Sends an attempt to the owner. gate_submit may run on_reply from inside the
 * call, which may free the request.
 */
static void send_attempt(struct in_request *q)
{
	struct ingress *in = q->in;

	q->attempt_count++;
	q->forward.attempt = ++in->last_attempt;
	if (!q->forward.attempt)
		q->forward.attempt = ++in->last_attempt;
	q->forward.map_rev = q->map_rev;
	q->forward.sent_before = q->target_sends > 0;
	q->forward.deadline_ms = (uint32_t)remaining_ms(q);
	q->forward.has_value = q->target_ms != 0;
	q->forward.value_ms = (int32_t)q->target_ms - (int32_t)elapsed_ms(q);
	if (!q->keyed) {
		q->selector_in_flight = 1;
		selector_note_sent(&in->selector, q->owner);
		q->attempt_sent_ns = clk_ns();
	}
	if (q->owner == in->view->ops->self(in->view)) {
		q->state = IN_AT_GATE;
		gate_submit(in->gate, &q->forward, on_reply, q);
	} else {
		q->state = IN_AT_PEER;
		peers_forward(in->peers, q->owner, &q->forward, on_reply, q);
	}
}

void in_start_attempt(struct in_request *q)
{
	struct ingress *in = q->in;
	const struct map *m = in->view->ops->map(in->view);
	enum err e = in->view->ops->may_route(in->view, clk_ms());

	q->state = IN_IDLE;
	if (e != ERR_OK) {
		fail_request(q, e, 0);
		return;
	}
	if (remaining_ms(q) <= 0) {
		fail_request(q, ERR_DEADLINE, 0);
		return;
	}
	q->map_rev = m->rev;
	set_owner(q, m, q->keyed ? find_owner(q, m) : in_choose_target(q, m));
	if (in_regions_refuse(q, m))
		fail_request(q, ERR_NO_REGION, 0);
	else if (q->owner)
		send_attempt(q);
	else if (q->keyed)
		wait_for_map(q, ERR_NOT_OWNER);
	else
		fail_request(q, ERR_NO_TARGET, 0);
}

void in_cancel_attempt(struct in_request *q)
{
	struct ingress *in = q->in;

	if (q->state == IN_AT_GATE)
		gate_detach_requester(in->gate, on_reply, q);
	else if (q->state == IN_AT_PEER)
		peers_cancel(in->peers, on_reply, q);
	if (q->selector_in_flight)
		selector_note_ended(&in->selector, q->owner, SELECTOR_ABANDONED,
				    NULL, clk_ms());
	q->selector_in_flight = 0;
	q->state = IN_IDLE;
}
