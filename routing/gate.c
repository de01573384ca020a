#include "routing/gate_priv.h"
#include "common/clk.h"
#include "common/step.h"
#include "routing/hdr.h"
#include "protocol/wire.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define GATE_HOT_KEYS 256
#define GATE_MIN_CONCURRENCY 1
/* Queue length and tenant share for a service that the document lacks. */
#define GATE_DEFAULT_QUEUE 64
#define GATE_DEFAULT_SHARE 0.5
/*
 * Period at which queued calls past their deadline are ended, and those that
 * waited for the target's rate limit are dispatched.
 */
#define GATE_QUEUE_SECONDS 0.005

static void on_queue_timer(struct ev_loop *loop, ev_timer *w, int events);

static void on_release_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	step_enter("gate_release_timer");
	gate_report_drained_slots(w->data);
}

uint32_t gate_concurrency_limit(const struct gate *g)
{
	return g->fixed_concurrency ? g->adaptive_limit.max
				    : adaptive_limit_get(&g->adaptive_limit);
}

void gate_set_adaptive(struct gate *g, int adaptive)
{
	g->fixed_concurrency = !adaptive;
}

enum err gate_new(struct gate **out, struct ev_loop *loop, struct view *view,
		  struct cnt *cnt, const struct dialect *dialect,
		  const struct gate_ops *ops, void *priv)
{
	struct gate *g = calloc(1, sizeof(*g));

	if (!g)
		return ERR_NOMEM;
	g->loop = loop;
	g->view = view;
	g->cnt = cnt;
	g->dialect = dialect;
	g->ops = ops;
	g->priv = priv;
	g->load_since_ms = clk_ms();
	if (hot_keys_init(&g->hot_keys, GATE_HOT_KEYS) != 0)
		goto no_hot;
	if (httpc_init(&g->http_client, loop, 0) != ERR_OK)
		goto no_client;
	admission_init(&g->admission, 0, 0, GATE_DEFAULT_SHARE);
	answer_line_init(&g->answer_line, 0);
	adaptive_limit_init(&g->adaptive_limit, GATE_MIN_CONCURRENCY,
			    GATE_MIN_CONCURRENCY);
	attempts_init(&g->attempts);
	labels_init(&g->labels);
	hist_init(&g->latency);
	health_init(&g->health, clk_ms());
	ev_timer_init(&g->queue_timer, on_queue_timer, GATE_QUEUE_SECONDS,
		      GATE_QUEUE_SECONDS);
	g->queue_timer.data = g;
	ev_timer_init(&g->release_timer, on_release_timer, 0., 0.);
	g->release_timer.data = g;
	*out = g;
	return ERR_OK;
no_client:
	hot_keys_finish(&g->hot_keys);
no_hot:
	free(g);
	return ERR_NOMEM;
}

static void call_free(struct gate_call *c)
{
	wire__forward__free_unpacked(c->f, NULL);
	httpc_request_finish(&c->http);
	free(c);
}

void gate_free(struct gate *g)
{
	struct gate_call *c, *next;

	if (!g)
		return;
	ev_timer_stop(g->loop, &g->queue_timer);
	ev_timer_stop(g->loop, &g->release_timer);
	DL_FOREACH_SAFE(g->calls, c, next) {
		if (c->state == CALL_IN_FLIGHT)
			httpc_cancel(&c->http);
		call_free(c);
	}
	httpc_finish(&g->http_client);
	gate_protect_free(g);
	gate_slots_finish(g);
	admission_finish(&g->admission);
	answer_line_finish(&g->answer_line);
	attempts_finish(&g->attempts);
	labels_finish(&g->labels);
	hot_keys_finish(&g->hot_keys);
	if (g->target)
		wire__target__free_unpacked(g->target, NULL);
	free(g);
}

static void count_event(struct gate *g, const Wire__Forward *f,
			const char *name)
{
	char labels[LABEL_BYTES];

	cnt_add(g->cnt, name,
		labels_write(&g->labels, f->service, f->tenant, labels), 1);
}

static void count_outcome(struct gate *g, const Wire__Forward *f,
			  const Wire__ForwardReply *reply)
{
	char labels[LABEL_BYTES];

	switch (reply->outcome) {
	case OUTCOME_ANSWERED:
		count_event(g, f, "gate_answered");
		break;
	case OUTCOME_NOT_RUN:
		count_event(g, f, "gate_not_run");
		break;
	default:
		count_event(g, f, "gate_unknown");
	}
	if (reply->error == ERR_OK)
		return;
	snprintf(labels, sizeof(labels), "error=\"%s\"",
		 err_name(reply->error));
	cnt_add(g->cnt, "gate_errors", labels, 1);
}

/* Fills the parts that all replies have; load must live as long as reply. */
static void fill_reply(struct gate *g, Wire__ForwardReply *reply,
		       Wire__TargetLoad *load, const Wire__Forward *f,
		       int64_t left_ms)
{
	wire__target_load__init(load);
	load->running = g->in_flight;
	load->queued = g->admission.queued;
	load->places = admission_usable_places(&g->admission);
	load->latency_us = (uint32_t)g->health.latency_us;
	load->cold_ms = gate_cold_ms(g);
	reply->load = load;
	load->route_is_call = gate_protect_is_call(g, f);
	reply->attempt = f->attempt;
	reply->map_rev = g->view->ops->map(g->view)->rev;
	if (reply->error != ERR_SHED)
		return;
	if (!reply->retry_after_ms)
		reply->retry_after_ms =
			admission_retry_after_ms(&g->admission, clk_ms());
	reply->retry_after_ms = gate_protect_retry_after_ms(
		g, f, reply->retry_after_ms, left_ms);
}

void gate_call_end(struct gate_call *c, Wire__ForwardReply *reply)
{
	struct gate *g = c->g;
	Wire__TargetLoad load;
	int64_t now = clk_ms();
	int was_in_flight = c->state == CALL_IN_FLIGHT;
	uint32_t slot = c->slot;

	DL_DELETE(g->calls, c);
	attempts_end(&g->attempts, c->attempt,
		     reply->outcome != OUTCOME_NOT_RUN, now);
	if (c->item.state == ADMISSION_RUNNING)
		admission_done(&g->admission, &c->item, now);
	else
		admission_remove(&g->admission, &c->item);
	if (was_in_flight)
		g->in_flight--;
	if (c->large_answer)
		answer_line_end(&g->answer_line, c->f->route);
	if (reply->outcome == OUTCOME_ANSWERED)
		answer_line_note(&g->answer_line, c->f->route, reply->body.len);
	reply->arrived = c->sent_ns != 0;
	fill_reply(g, reply, &load, c->f, c->deadline_ms - now);
	load.took_us = (uint32_t)((clk_ns() - c->arrived_ns) / 1000);
	load.kind_latency_us = (uint32_t)(admission_kind_service_ms(
						  &g->admission, c->f->route) *
					  1000);
	count_outcome(g, c->f, reply);
	if (c->fn)
		c->fn(reply, c->priv);
	reply->load = NULL;
	call_free(c);
	if (was_in_flight && slot != MAP_NO_SLOT)
		gate_slot_call_ended(g, slot);
	gate_dispatch_queued(g);
}

void gate_call_fail(struct gate_call *c, enum wire_outcome outcome,
		    enum err error)
{
	Wire__ForwardReply reply = WIRE__FORWARD_REPLY__INIT;

	reply.outcome = outcome;
	reply.error = error;
	gate_call_end(c, &reply);
}

static struct gate_call *call_from_item(struct admission_item *item)
{
	return (struct gate_call *)((char *)item -
				    offsetof(struct gate_call, item));
}

void gate_dispatch_queued(struct gate *g)
{
	struct admission_item *item;

	/* A call that fails at once calls this function again. */
	if (g->dispatching)
		return;
	g->dispatching = 1;
	gate_update_cold(g);
	while ((item = admission_next(&g->admission, clk_ms())))
		gate_call_start(call_from_item(item));
	g->dispatching = 0;
}

static void on_queue_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct gate *g = w->data;
	struct admission_item *item;

	(void)events;
	step_enter("gate_queue_timer");
	while ((item = admission_expire(&g->admission, clk_ms())))
		gate_call_fail(call_from_item(item), OUTCOME_NOT_RUN,
			       item->deadline_ms <= clk_ms() ? ERR_DEADLINE
							     : ERR_SHED);
	if (g->emptying)
		gate_end_emptied_calls(g);
	gate_dispatch_queued(g);
	if (!g->admission.queued)
		ev_timer_stop(loop, w);
}

/* Callbacks may change the list, so each search starts at its head. */
static struct gate_call *find_queued_call(struct gate *g)
{
	struct gate_call *c;

	DL_FOREACH(g->calls, c) {
		if (c->item.state == ADMISSION_QUEUED)
			return c;
	}
	return NULL;
}

/* libcurl would have to wait for a resolver if the address were a name. */
static int has_valid_address(const Wire__Target *t)
{
	struct in_addr a;

	return inet_pton(AF_INET, t->address, &a) == 1 && t->port > 0 &&
	       t->port <= 65535;
}

static uint32_t announced_concurrency(const Wire__Target *t)
{
	uint32_t concurrency = t->concurrency ? t->concurrency : 1;

	if (t->connections && t->connections < concurrency)
		concurrency = t->connections;
	return concurrency;
}

/*
 * Takes a new or repeated announcement of the target. What the gate measured is
 * reset only if the target's address or port changed.
 */
static void update_target(struct gate *g, const Wire__Target *t)
{
	uint32_t concurrency = announced_concurrency(t);
	int is_new = !g->target || g->target->port != t->port ||
		     strcmp(g->target->address, t->address) != 0;

	if (is_new || g->target->born_ms != t->born_ms ||
	    strcmp(g->target->id, t->id) != 0) {
		g->target_run++;
		g->loss_reported = LOSS_NONE;
		g->suspect_again_ms = 0;
		g->unanswered_calls = 0;
		gate_reset_target_state(g);
	}
	if (g->target)
		wire__target__free_unpacked(g->target, NULL);
	g->target = wire_copy_target(t);
	gate_set_cold(g, t->cold_ms);
	if (is_new) {
		health_init(&g->health, clk_ms());
		adaptive_limit_init(&g->adaptive_limit, GATE_MIN_CONCURRENCY,
				    concurrency);
		g->target_leaving = 0;
	} else {
		adaptive_limit_set_max(&g->adaptive_limit, concurrency);
	}
	admission_set_limits(&g->admission, gate_concurrency_limit(g),
			     g->admission.queue, g->admission.tenant_share);
}

void gate_set_target(struct gate *g, const Wire__Target *t)
{
	struct gate_call *c;

	if (t && has_valid_address(t)) {
		update_target(g, t);
		g->target_leaving = 0;
		gate_dispatch_queued(g);
		return;
	}
	if (g->target)
		wire__target__free_unpacked(g->target, NULL);
	g->target = NULL;
	while ((c = find_queued_call(g)))
		gate_call_fail(c, OUTCOME_NOT_RUN, ERR_NO_TARGET);
}

static void refuse_request(struct gate *g, const Wire__Forward *f,
			   enum wire_outcome outcome, enum err error,
			   gate_reply_fn fn, void *priv)
{
	Wire__ForwardReply reply = WIRE__FORWARD_REPLY__INIT;
	Wire__TargetLoad load;

	reply.outcome = outcome;
	reply.error = error;
	fill_reply(g, &reply, &load, f, f->deadline_ms);
	count_outcome(g, f, &reply);
	fn(&reply, priv);
}

static enum err check_message(const Wire__Forward *f)
{
	if (!f->attempt || !hdr_is_token(f->method) ||
	    !hdr_target_is_valid(f->path) || f->n_headers > GATE_MAX_HEADERS)
		return ERR_MALFORMED;
	for (size_t i = 0; i < f->n_headers; i++)
		if (!hdr_is_token(f->headers[i]->name) ||
		    !hdr_value_is_valid(f->headers[i]->value))
			return ERR_MALFORMED;
	return ERR_OK;
}

/*
 * Refuses early what this node may not serve, and finds the slot of a key. The
 * decisive check of ownership is made right before sending, see before_send.
 */
static enum err precheck_ownership(struct gate *g, const Wire__Forward *f,
				   uint32_t *slot)
{
	const struct map *m = g->view->ops->map(g->view);
	const struct map_service *s = map_find_service(m, f->service);
	int64_t not_after_ns;
	uint64_t fence;

	/* Any target of a service without keys may serve it. */
	if (!s && !f->key[0])
		return gate_check_leaving(g, 0);
	if (!f->key[0])
		return ERR_NO_KEY;
	if (gate_check_leaving(g, 1) != ERR_OK)
		return ERR_NO_TARGET;
	if (!s)
		return m->rev < f->map_rev ? ERR_STALE : ERR_NO_SERVICE;
	*slot = map_slot_of(m, s, f->key, strlen(f->key));
	if (gate_slot_is_releasing(g, *slot))
		return ERR_RELEASING;
	return g->view->ops->may_serve(g->view, *slot, clk_ns(), &fence,
				       &not_after_ns);
}

static enum err check_admissible(struct gate *g, const Wire__Forward *f,
				 uint32_t *slot)
{
	enum err e = check_message(f);

	if (e != ERR_OK)
		return e;
	if (g->quiesced)
		return ERR_NO_TARGET;
	if (!f->deadline_ms)
		return ERR_DEADLINE;
	e = precheck_ownership(g, f, slot);
	if (e != ERR_OK)
		return e;
	if (!g->target || strcmp(g->target->service, f->service) != 0)
		return ERR_NO_TARGET;
	return gate_check_cold(g);
}

static struct gate_call *call_new(struct gate *g, const Wire__Forward *f)
{
	struct gate_call *c = calloc(1, sizeof(*c));
	uint32_t deadline = f->deadline_ms;

	if (!c)
		return NULL;
	if (deadline > GATE_MAX_DEADLINE_MS)
		deadline = GATE_MAX_DEADLINE_MS;
	c->g = g;
	c->deadline_ms = clk_ms() + deadline;
	c->arrived_ns = clk_ns();
	c->f = wire_copy_forward(f);
	if (c->f)
		return c;
	free(c);
	return NULL;
}

static void record_load(struct gate *g, const Wire__Forward *f, uint32_t slot)
{
	struct gate_slot *s;

	if (slot == MAP_NO_SLOT)
		return;
	s = gate_slot_get_or_add(g, slot);
	if (s)
		s->requests++;
	hot_keys_add(&g->hot_keys,
		     map_hash_key(f->service, f->key, strlen(f->key)),
		     f->service, f->key, strlen(f->key));
}

/* Sets the document's limits, which may have changed since the last request. */
static void update_admission_limits(struct gate *g, const char *service)
{
	const struct doc *d = g->view->ops->doc(g->view);
	const struct doc_service *s = d ? doc_find_service(d, service) : NULL;
	uint32_t queue = s ? s->queue : GATE_DEFAULT_QUEUE;
	double share = s ? s->tenant_share : GATE_DEFAULT_SHARE;

	admission_set_limits(&g->admission, gate_concurrency_limit(g), queue,
			     share);
	gate_update_cold(g);
}

static struct admission_rank get_rank(const Wire__Forward *f, int64_t now_ms)
{
	struct admission_rank rank = { f->priority, INT64_MAX, f->route };

	if (f->has_value)
		rank.soft_deadline_ms = now_ms + f->value_ms;
	return rank;
}

static enum admission_decision submit_to_admission(struct gate_call *c)
{
	struct gate *g = c->g;
	int64_t now_ms = clk_ms();
	struct admission_rank rank = get_rank(c->f, now_ms);

	update_admission_limits(g, c->f->service);
	c->large_answer = answer_line_begin(&g->answer_line, c->f->route);
	if (gate_protect_is_call(g, c->f))
		return admission_submit_call(&g->admission, &c->item,
					     c->f->tenant, now_ms,
					     c->deadline_ms, &rank);
	return admission_submit_ranked(&g->admission, &c->item, c->f->tenant,
				       now_ms, c->deadline_ms, &rank);
}

static void admit_call(struct gate_call *c)
{
	struct gate *g = c->g;

	gate_protect_note_request(g, c->f);
	if (!gate_protect_may_begin(g, c->f)) {
		gate_protect_refuse(c);
		return;
	}
	switch (submit_to_admission(c)) {
	case ADMISSION_RUN:
		gate_call_start(c);
		break;
	case ADMISSION_QUEUE:
		if (!ev_is_active(&g->queue_timer)) {
			ev_timer_set(&g->queue_timer, GATE_QUEUE_SECONDS,
				     GATE_QUEUE_SECONDS);
			ev_timer_start(g->loop, &g->queue_timer);
		}
		break;
	case ADMISSION_SHED:
		g->shed++;
		if (gate_protect_is_call(g, c->f))
			cnt_add(g->cnt, "gate_calls_shed", "", 1);
		gate_call_fail(c, OUTCOME_NOT_RUN, ERR_SHED);
		break;
	}
}

/*
 * Refuses an attempt that was submitted or queried before. The outcome is
 * unknown if the earlier submission may have run, else not-run.
 */
static void refuse_known_attempt(struct gate *g, const Wire__Forward *f,
				 const struct attempt *t, gate_reply_fn fn,
				 void *priv)
{
	int ran = t->status == ATTEMPT_STATUS_RUNNING ||
		  t->status == ATTEMPT_STATUS_RAN;

	refuse_request(g, f, ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
		       ERR_CONFLICT, fn, priv);
}

void gate_submit(struct gate *g, const Wire__Forward *f, gate_reply_fn fn,
		 void *priv)
{
	struct attempt *t = attempts_find(&g->attempts, f->attempt);
	struct gate_call *c;
	uint32_t slot = MAP_NO_SLOT;
	enum err e;

	count_event(g, f, "gate_requests");
	if (t) {
		refuse_known_attempt(g, f, t, fn, priv);
		return;
	}
	e = check_admissible(g, f, &slot);
	t = attempts_add(&g->attempts, f->attempt);
	c = t && e == ERR_OK ? call_new(g, f) : NULL;
	if (!c) {
		if (t)
			attempts_end(&g->attempts, t, 0, clk_ms());
		refuse_request(g, f, OUTCOME_NOT_RUN,
			       e == ERR_OK ? ERR_NOMEM : e, fn, priv);
		return;
	}
	c->slot = slot;
	c->fn = fn;
	c->priv = priv;
	c->attempt = t;
	DL_APPEND(g->calls, c);
	record_load(g, f, slot);
	admit_call(c);
}

static int would_shed_after(struct gate *g, const Wire__Forward *f,
			    int64_t after_ms)
{
	int64_t now_ms = clk_ms();
	struct admission_rank rank = get_rank(f, now_ms);

	if (gate_protect_is_call(g, f))
		return admission_would_shed_call_after(
			&g->admission, &rank, now_ms, now_ms + f->deadline_ms,
			after_ms);
	return admission_would_shed_after(&g->admission, &rank, now_ms,
					  now_ms + f->deadline_ms, after_ms);
}

int gate_check_offer(struct gate *g, const Wire__Forward *f, int64_t after_ms,
		     gate_reply_fn fn, void *priv)
{
	struct attempt *t = attempts_find(&g->attempts, f->attempt);
	uint32_t slot = MAP_NO_SLOT;
	enum err e;

	if (t) {
		refuse_known_attempt(g, f, t, fn, priv);
		return 0;
	}
	e = check_admissible(g, f, &slot);
	if (e == ERR_OK) {
		update_admission_limits(g, f->service);
		if (!would_shed_after(g, f, after_ms))
			return 1;
		g->shed++;
		e = ERR_SHED;
	}
	refuse_request(g, f, OUTCOME_NOT_RUN, e, fn, priv);
	return 0;
}

/*
 * Returns 1 if a call whose result is not needed is to be dropped: it is
 * queued, or it is idempotent and can be run again.
 */
static int is_droppable(const struct gate_call *c)
{
	return c->item.state == ADMISSION_QUEUED || c->f->idempotent;
}

/* Must not be used on a call whose reply function may be running. */
static void drop_call(struct gate_call *c)
{
	if (c->state == CALL_IN_FLIGHT) {
		httpc_cancel(&c->http);
		cnt_add(c->g->cnt, "gate_broken_off", "", 1);
		gate_call_mark_abandoned(c);
		gate_call_fail(c, OUTCOME_UNKNOWN, ERR_CLOSED);
	} else {
		gate_call_fail(c, OUTCOME_NOT_RUN, ERR_CLOSED);
	}
}

static struct gate_call *find_orphaned_call(struct gate *g)
{
	struct gate_call *c;

	DL_FOREACH(g->calls, c) {
		if (!c->fn && is_droppable(c))
			return c;
	}
	return NULL;
}

void gate_detach_requester(struct gate *g, gate_reply_fn fn, void *priv)
{
	struct gate_call *c;

	DL_FOREACH(g->calls, c) {
		if (c->fn == fn && c->priv == priv) {
			c->fn = NULL;
			c->priv = NULL;
		}
	}
	while ((c = find_orphaned_call(g)))
		drop_call(c);
}

enum wire_attempt_state gate_query(struct gate *g, uint64_t attempt)
{
	return attempts_query(&g->attempts, attempt, clk_ms());
}

void gate_cancel(struct gate *g, uint64_t attempt)
{
	struct gate_call *c;

	DL_FOREACH(g->calls, c) {
		if (c->f->attempt == attempt)
			break;
	}
	if (c && is_droppable(c))
		drop_call(c);
}

static struct gate_call *find_queued_unkeyed_call(struct gate *g)
{
	struct gate_call *c;

	DL_FOREACH(g->calls, c) {
		if (c->item.state == ADMISSION_QUEUED && !c->f->key[0])
			return c;
	}
	return NULL;
}

enum err gate_check_leaving(const struct gate *g, int keyed)
{
	if (gate_check_emptying(g, keyed) != ERR_OK)
		return ERR_NO_TARGET;
	if (!g->target_leaving)
		return ERR_OK;
	if (keyed &&
	    (!g->drain_ms || clk_ms() - g->leaving_since_ms <
				     g->drain_ms - GATE_DRAIN_MARGIN_MS))
		return ERR_OK;
	return ERR_NO_TARGET;
}

void gate_set_drain_ms(struct gate *g, int64_t drain_ms)
{
	g->drain_ms = drain_ms;
}

void gate_set_target_leaving(struct gate *g)
{
	struct gate_call *c;

	if (!g->target_leaving)
		g->leaving_since_ms = clk_ms();
	g->target_leaving = 1;
	while ((c = find_queued_unkeyed_call(g)))
		gate_call_fail(c, OUTCOME_NOT_RUN, ERR_NO_TARGET);
}

void gate_set_bandwidth(struct gate *g, uint32_t link_kbps)
{
	answer_line_finish(&g->answer_line);
	answer_line_init(&g->answer_line, link_kbps);
}

struct answer_line *gate_answer_line(struct gate *g)
{
	return &g->answer_line;
}

void gate_quiesce(struct gate *g)
{
	g->quiesced = 1;
}

unsigned gate_in_flight(const struct gate *g)
{
	return g->in_flight;
}
