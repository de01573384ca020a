#include "routing/ingress_priv.h"
#include "common/clk.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* A newer map comes by itself; the pause covers one that was missed. */
#define IN_MAP_WAIT_MS 20
#define IN_BACKOFF_MS 10
#define IN_BACKOFF_MAX_MS 320
/* Headers of a forwarded request and its answer. */
#define IN_HEADER_BYTES 1024
/* Weight of one answer in the average size. */
#define IN_ANSWER_WEIGHT 0.05

static void on_reply(const Wire__ForwardReply *reply, void *priv);

/* The oldest goes: its owner has most likely left. */
static struct in_budget *
budget_add(struct ingress *in, const struct in_budget_key *key, double ratio)
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

static struct retry_budget *budget_of(struct in_request *q)
{
	struct in_budget_key key;
	struct in_budget *b;

	memset(&key, 0, sizeof(key));
	memcpy(key.service, q->service, strlen(q->service));
	key.owner = q->owner;
	HASH_FIND(hh, q->in->budgets, &key, sizeof(key), b);
	if (!b)
		b = budget_add(q->in, &key, q->retry_ratio);
	if (!b)
		return NULL;
	retry_budget_set_ratio(&b->retry_budget, q->retry_ratio);
	return &b->retry_budget;
}

void in_budgets_finish(struct ingress *in)
{
	struct in_budget *b, *next;
	struct in_share *s, *after;

	HASH_ITER(hh, in->budgets, b, next) {
		HASH_DEL(in->budgets, b);
		free(b);
	}
	HASH_ITER(hh, in->shares, s, after) {
		HASH_DEL(in->shares, s);
		free(s);
	}
}

static void count(struct in_request *q, const char *name)
{
	char labels[LABEL_BYTES];

	cnt_add(q->in->cnt, name,
		labels_write(&q->in->labels, q->service, q->tenant, labels), 1);
}

static int64_t time_left(const struct in_request *q)
{
	return q->deadline_ms - clk_ms();
}

static int64_t waited_ms(const struct in_request *q)
{
	return (clk_ns() - q->arrived_ns) / 1000000;
}

/* Ends the request; an earlier try that may have run decides the outcome. */
static void give_up(struct in_request *q, enum err error,
		    uint32_t retry_after_ms)
{
	/* Spread, so that callers refused together do not return together. */
	if (retry_after_ms && q->in->dialect->fine_retry_after)
		retry_after_ms = (uint32_t)(retry_after_ms *
					    g_random_double_range(0.7, 1.5));
	in_answer_error(q, q->may_have_run ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
			error, retry_after_ms);
}

static void pause_for(struct in_request *q, int64_t ms)
{
	q->place = IN_PAUSED;
	ev_now_update(q->in->loop);
	ev_timer_stop(q->in->loop, &q->timer);
	ev_timer_set(&q->timer, (double)ms / 1000., 0.);
	ev_timer_start(q->in->loop, &q->timer);
}

/*
 * How long a request may wait for an owner. Where the slot is moving between
 * live nodes, the new owner has it within an announcement's period, and an
 * answer after the time of full value still counts for something. Where the
 * owner is lost, its hold has to run out first: the caller is told to return.
 */
static int64_t owner_patience(const struct in_request *q, enum err error)
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

/* The key's owner is not known, not ready or another: no load was added. */
static void wait_for_map(struct in_request *q, enum err error)
{
	int64_t left = time_left(q);
	int64_t now_ms = clk_ms();

	if (!q->waiting_ms)
		q->waiting_ms = now_ms;
	if (left <= 0 || now_ms - q->waiting_ms >= owner_patience(q, error)) {
		give_up(q, error, 0);
		return;
	}
	count(q, "in_map_waits");
	pause_for(q, left < IN_MAP_WAIT_MS ? left : IN_MAP_WAIT_MS);
}

/* Doubles with each try; the spread keeps callers from coming at once. */
static int64_t backoff_ms(const struct in_request *q)
{
	unsigned doublings = q->tries < 6 ? q->tries - 1 : 5;
	int64_t ms = (int64_t)IN_BACKOFF_MS << doublings;

	if (ms > IN_BACKOFF_MAX_MS)
		ms = IN_BACKOFF_MAX_MS;
	return ms / 2 + g_random_int_range(0, (gint32)ms);
}

/*
 * The owner cannot be reached or has no target. Nothing was sent to a target,
 * so no budget is used; a newer map ends the pause. The pause grows, since a
 * full outage leaves many requests waiting.
 */
static void wait_for_owner(struct in_request *q,
			   const Wire__ForwardReply *reply)
{
	int64_t pause = backoff_ms(q);

	if (pause >= time_left(q) ||
	    (q->target_ms && waited_ms(q) + pause >= q->target_ms / 2)) {
		give_up(q, reply->error, reply->retry_after_ms);
		return;
	}
	count(q, "in_owner_waits");
	pause_for(q, pause);
}

static struct in_share *share_of(struct ingress *in, const char *service)
{
	struct in_share *s;

	HASH_FIND_STR(in->shares, service, s);
	if (s)
		return s;
	s = calloc(1, sizeof(*s));
	if (!s)
		return NULL;
	memcpy(s->service, service, strlen(service) + 1);
	retry_share_init(&s->retry_share);
	HASH_ADD_STR(in->shares, service, s);
	return s;
}

void in_count_request(struct in_request *q)
{
	const struct settings *set = q->in->set;
	const struct map *m = q->in->view->ops->map(q->in->view);
	struct in_share *s = share_of(q->in, q->service);

	if (s)
		retry_share_request(&s->retry_share, set->retry_ratio,
				    set->retry_slack, HASH_COUNT(m->nodes));
}

/* One more send to a target: within the route's bound and both budgets. */
static int may_repeat(struct in_request *q)
{
	struct retry_budget *b = budget_of(q);
	struct in_share *s = share_of(q->in, q->service);

	if (q->arrivals >= q->max_arrivals) {
		count(q, "in_attempts_used");
		return 0;
	}
	if (!b || !s || !retry_share_take(&s->retry_share)) {
		count(q, "in_share_empty");
		return 0;
	}
	if (!retry_budget_take(b)) {
		count(q, "in_budget_empty");
		return 0;
	}
	return 1;
}

static void repeat(struct in_request *q, const Wire__ForwardReply *reply)
{
	int64_t pause = q->keyed ? backoff_ms(q) : 0;

	if (pause >= time_left(q) || !may_repeat(q)) {
		give_up(q, reply->error, reply->retry_after_ms);
		return;
	}
	count(q, "in_repeats");
	pause_for(q, pause);
}

static int was_tried(const struct in_request *q, uint32_t id)
{
	for (unsigned i = 0; i < q->tried_count; i++) {
		if (q->tried[i] == id)
			return 1;
	}
	return 0;
}

static void note_tried(struct in_request *q)
{
	if (q->tried_count < IN_MAX_TRIED)
		q->tried[q->tried_count++] = q->owner;
}

/*
 * Another target may serve it. Without an arrival at the last one, no target
 * gets more load, so no budget is used.
 */
static void try_another(struct in_request *q, const Wire__ForwardReply *reply)
{
	if (time_left(q) <= 0 || q->tried_count >= IN_MAX_TRIED) {
		give_up(q, reply->error, reply->retry_after_ms);
		return;
	}
	if (reply->arrived) {
		repeat(q, reply);
		return;
	}
	count(q, "in_other_target");
	pause_for(q, 0);
}

static void on_not_run(struct in_request *q, const Wire__ForwardReply *reply)
{
	if (!q->keyed && reply->error != ERR_DEADLINE &&
	    reply->error != ERR_MALFORMED && reply->error != ERR_TOO_LARGE) {
		try_another(q, reply);
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
	case ERR_SHED: /* the key has one owner, so nobody else can help */
	case ERR_DEADLINE:
	case ERR_MALFORMED:
	case ERR_TOO_LARGE:
		give_up(q, reply->error, reply->retry_after_ms);
		return;
	case ERR_TARGET_REFUSED:
		/* With a time to wait it is the target's way to shed. */
		if (reply->retry_after_ms) {
			give_up(q, reply->error, reply->retry_after_ms);
			return;
		}
		break;
	default:
		break;
	}
	repeat(q, reply);
}

static void on_unknown(struct in_request *q, const Wire__ForwardReply *reply)
{
	q->may_have_run = 1;
	if (q->f.idempotent)
		repeat(q, reply);
	else
		give_up(q, reply->error, 0);
}

static enum selector_outcome outcome_of(const Wire__ForwardReply *reply)
{
	if (reply->outcome == OUTCOME_ANSWERED)
		return reply->status < 500 ? SELECTOR_ANSWERED
					   : SELECTOR_FAILED;
	if (reply->outcome == OUTCOME_UNKNOWN)
		return SELECTOR_FAILED;
	switch (reply->error) {
	case ERR_SHED:
	case ERR_TARGET_REFUSED:
	case ERR_DEADLINE:
		return SELECTOR_REFUSED;
	default:
		return SELECTOR_UNREACHABLE;
	}
}

static void note_size(struct in_request *q, size_t bytes)
{
	struct in_share *s = share_of(q->in, q->service);

	if (s)
		s->answer_bytes +=
			IN_ANSWER_WEIGHT * ((double)bytes - s->answer_bytes);
}

/* What the try tells about its target. */
static void note_end(struct in_request *q, const Wire__ForwardReply *reply)
{
	const Wire__TargetLoad *l = reply->load;
	struct selector_load load = { 0 };

	if (l) {
		load.running = l->running;
		load.queued = l->queued;
		load.places = l->places;
		load.latency_us = l->latency_us;
	}
	if (reply->outcome == OUTCOME_ANSWERED)
		note_size(q, reply->body.len);
	q->arrivals += reply->arrived || reply->outcome == OUTCOME_UNKNOWN;
	if (!q->chosen)
		return;
	q->chosen = 0;
	if (l && l->took_us)
		selector_note_network_time(&q->in->selector, q->owner,
					   q->f.body.len + reply->body.len,
					   (double)(clk_ns() - q->sent_ns) /
							   1e6 -
						   l->took_us / 1000.,
					   clk_ms());
	selector_note_ended(&q->in->selector, q->owner, outcome_of(reply),
			    l ? &load : NULL, clk_ms());
	if (reply->outcome != OUTCOME_ANSWERED)
		note_tried(q);
}

static void on_reply(const Wire__ForwardReply *reply, void *priv)
{
	struct in_request *q = priv;
	struct retry_budget *b;

	q->place = IN_NOWHERE;
	note_end(q, reply);
	/* Not the reply of this try: nothing may be concluded from it. */
	if (reply->attempt != q->f.attempt) {
		cnt_add(q->in->cnt, "in_mismatched_replies", "", 1);
		q->may_have_run = 1;
		give_up(q, ERR_CONFLICT, 0);
		return;
	}
	switch (reply->outcome) {
	case OUTCOME_ANSWERED:
		b = budget_of(q);
		if (b)
			retry_budget_answered(b);
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

/* Owner of the key by this node's map; 0 if there is none. */
static uint32_t find_owner(const struct in_request *q, const struct map *m)
{
	const struct map_service *s = map_find_service(m, q->service);
	uint32_t slot;

	if (!s)
		return 0;
	slot = map_slot_of(m, s, q->key, strlen(q->key));
	return slot < m->slot_count ? m->slots[slot].owner : 0;
}

int in_has_owner(const struct in_request *q, uint32_t owner)
{
	return find_owner(q, q->in->view->ops->map(q->in->view)) == owner;
}

static enum selector_distance distance_of(const struct in_request *q,
					  const Wire__Node *n)
{
	const struct settings *set = q->in->set;

	if (n->id == q->in->view->ops->self(q->in->view))
		return SELECTOR_SAME_VM;
	if (strcmp(n->data_centre, set->data_centre) == 0)
		return SELECTOR_SAME_DATA_CENTRE;
	return strcmp(n->region, set->region) == 0 ? SELECTOR_SAME_REGION
						   : SELECTOR_OTHER_REGION;
}

/* Volume of the request and its answer, headers included. */
static size_t expected_bytes(const struct in_request *q)
{
	const struct in_share *s = share_of(q->in, q->service);

	return q->f.body.len + IN_HEADER_BYTES +
	       (size_t)(s ? s->answer_bytes : 0);
}

/* Best target of a service without keys; 0 if there is none. */
static uint32_t choose_target(struct in_request *q, const struct map *m)
{
	unsigned max = HASH_COUNT(m->nodes);
	struct selector_candidate *list = calloc(max + 1, sizeof(*list));
	struct map_node *n, *next;
	size_t count = 0;
	size_t best;
	uint32_t id;

	if (!list)
		return 0;
	HASH_ITER(hh, m->nodes, n, next) {
		const Wire__Target *t = n->info->target;

		if (!t || strcmp(t->service, q->service) != 0 ||
		    was_tried(q, n->id))
			continue;
		list[count].id = n->id;
		list[count].distance = distance_of(q, n->info);
		list[count++].places = t->concurrency;
	}
	best = selector_pick(&q->in->selector, list, count, expected_bytes(q),
			     clk_ms(), g_random_double(), NULL);
	id = best < count ? list[best].id : 0;
	free(list);
	return id;
}

/* Both may answer from inside the call and free the request. */
static void send_try(struct in_request *q)
{
	struct ingress *in = q->in;

	q->tries++;
	q->f.attempt = ++in->next_attempt;
	if (!q->f.attempt)
		q->f.attempt = ++in->next_attempt;
	q->f.map_rev = q->map_rev;
	q->f.deadline_ms = (uint32_t)time_left(q);
	q->f.has_value = q->target_ms != 0;
	q->f.value_ms = (int32_t)q->target_ms - (int32_t)waited_ms(q);
	if (!q->keyed) {
		q->chosen = 1;
		selector_note_sent(&in->selector, q->owner);
		q->sent_ns = clk_ns();
	}
	if (q->owner == in->view->ops->self(in->view)) {
		q->place = IN_AT_GATE;
		gate_submit(in->gate, &q->f, on_reply, q);
	} else {
		q->place = IN_AT_PEER;
		peers_forward(in->peers, q->owner, &q->f, on_reply, q);
	}
}

void in_route(struct in_request *q)
{
	struct ingress *in = q->in;
	const struct map *m = in->view->ops->map(in->view);
	enum err e = in->view->ops->may_route(in->view, clk_ms());

	q->place = IN_NOWHERE;
	if (e != ERR_OK) {
		give_up(q, e, 0);
		return;
	}
	if (time_left(q) <= 0) {
		give_up(q, ERR_DEADLINE, 0);
		return;
	}
	q->map_rev = m->rev;
	set_owner(q, m, q->keyed ? find_owner(q, m) : choose_target(q, m));
	if (q->owner)
		send_try(q);
	else if (q->keyed)
		wait_for_map(q, ERR_NOT_OWNER);
	else
		give_up(q, ERR_NO_TARGET, 0);
}

void in_detach(struct in_request *q)
{
	struct ingress *in = q->in;

	if (q->place == IN_AT_GATE)
		gate_forget(in->gate, on_reply, q);
	else if (q->place == IN_AT_PEER)
		peers_forget(in->peers, on_reply, q);
	if (q->chosen)
		selector_note_ended(&in->selector, q->owner, SELECTOR_ABANDONED,
				    NULL, clk_ms());
	q->chosen = 0;
	q->place = IN_NOWHERE;
}
