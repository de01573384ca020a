#include "routing/gate_priv.h"
#include "common/clk.h"
#include "common/guard.h"
#include "common/log.h"
#include "routing/hdr.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* The target is on the same VM, so connecting is quick. */
#define GATE_CONNECT_TIMEOUT_MS 500
#define GATE_NUMBER_BYTES 24  /* a number as text */
#define GATE_ROUTER_HEADERS 7 /* the most that one request gets */
#define GATE_URL_BYTES 64     /* a URL without its path */
/*
 * A target that answered one request twice is likely to do it again. For this
 * time each request has its own connection, so that a surplus answer cannot be
 * taken for the answer to the next request.
 */
#define GATE_NO_REUSE_MS 10000
/*
 * A target counts as lost after this many calls in a row that each got no
 * status line for this long. Calls that ended sooner are not counted, since
 * callers choose their deadlines.
 */
#define GATE_UNANSWERED_CALLS 8
#define GATE_UNANSWERED_MS 1000
/*
 * A target that answers some calls and fails others is suspected again no
 * sooner than this, so that it does not cost a log line a call.
 */
#define GATE_SUSPECT_PERIOD_MS 1000

/* Returns 1 if the key still has this slot; it may have been pinned since. */
static int is_current_slot(const struct gate_call *c)
{
	const struct map *m = c->g->view->ops->map(c->g->view);
	const struct map_service *s = map_find_service(m, c->f->service);

	return s && map_slot_of(m, s, c->f->key, strlen(c->f->key)) == c->slot;
}

static enum err check_ownership(const struct gate_call *c, uint64_t *fence,
				int64_t *not_after_ns)
{
	struct view *v = c->g->view;

	if (c->slot == MAP_NO_SLOT) {
		*fence = 0;
		*not_after_ns = INT64_MAX;
		return gate_check_leaving(c->g, 0);
	}
	if (gate_check_leaving(c->g, 1) != ERR_OK)
		return ERR_NO_TARGET;
	if (!is_current_slot(c))
		return ERR_NOT_OWNER;
	if (gate_slot_is_releasing(c->g, c->slot))
		return ERR_RELEASING;
	return v->ops->may_serve(v, c->slot, clk_ns(), fence, not_after_ns);
}

/* Checks that the fence and time limit in the headers are still valid. */
static enum err check_header_values(const struct gate_call *c, uint64_t fence,
				    int64_t not_after_ns)
{
	if (fence != c->fence)
		return ERR_NOT_OWNER;
	if (not_after_ns < c->not_after_ns || c->not_after_ns <= clk_ns())
		return ERR_NO_GRANT;
	return ERR_OK;
}

static enum err before_send(struct httpc_request *r, void *priv)
{
	struct gate_call *c = priv;
	int64_t not_after_ns;
	uint64_t fence;
	enum err e;

	/*
	 * libcurl repeats a request if the reused connection breaks before the
	 * answer. The first send may have run.
	 */
	if (r->send_started && !c->f->idempotent && guard_on(GUARD_SEND_ONCE))
		return ERR_CLOSED;
	if (clk_ms() >= c->deadline_ms)
		return ERR_DEADLINE;
	e = check_ownership(c, &fence, &not_after_ns);
	if (e == ERR_OK)
		e = check_header_values(c, fence, not_after_ns);
	if (e == ERR_OK)
		e = gate_check_cold_send(c->g, r->send_started);
	if (e != ERR_OK)
		return e;
	if (!c->sent_ns)
		c->sent_ns = clk_ns();
	c->in_flight_at_send = c->g->in_flight;
	return ERR_OK;
}

static uint32_t seconds_to_ms(const char *seconds)
{
	unsigned long n = strtoul(seconds, NULL, 10);

	return n < 3600 ? (uint32_t)n * 1000 : 3600 * 1000;
}

static void suspend_connection_reuse(struct gate *g)
{
	int64_t now_ms = clk_ms();

	if (now_ms >= g->no_reuse_until_ms)
		log_warn("target_answers_mixed", "id=%s fresh_ms=%d",
			 g->target ? LOG_Q(g->target->id) : "-",
			 GATE_NO_REUSE_MS);
	g->no_reuse_until_ms = now_ms + GATE_NO_REUSE_MS;
}

/*
 * Sets outcome and error of an answered call. A refusal means not-run only if
 * the request was sent once: if it was repeated, the first send may have run.
 */
static void classify_answer(struct gate_call *c, const struct gate_answer *a,
			    Wire__ForwardReply *reply)
{
	reply->outcome = OUTCOME_ANSWERED;
	c->fault = gate_answer_find_fault(c, a, reply->status);
	if (c->fault) {
		reply->outcome = OUTCOME_UNKNOWN;
		reply->error = ERR_MALFORMED;
		suspend_connection_reuse(c->g);
		return;
	}
	if (!gate_answer_is_refusal(c, a, reply->status))
		return;
	reply->error = ERR_TARGET_REFUSED;
	reply->outcome = c->http.sends > 1 ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
	if (a->retry_after)
		reply->retry_after_ms = seconds_to_ms(a->retry_after);
}

static enum err get_unsent_error(const struct gate_call *c)
{
	if (c->http.abort_error != ERR_OK)
		return c->http.abort_error;
	if (clk_ms() >= c->deadline_ms)
		return ERR_DEADLINE;
	return ERR_NO_TARGET;
}

static void update_judge(struct gate *g, const Wire__ForwardReply *reply,
			 uint64_t us)
{
	int64_t now_ms = clk_ms();

	if (reply->error == ERR_TARGET_REFUSED)
		health_refused(&g->health, now_ms);
	else if (reply->outcome == OUTCOME_ANSWERED)
		health_answered(&g->health, us, now_ms);
}

static void record_result(struct gate_call *c, const Wire__ForwardReply *reply)
{
	struct gate *g = c->g;
	uint64_t us = (uint64_t)(clk_ns() - c->sent_ns) / 1000;
	char labels[LABEL_BYTES];

	update_judge(g, reply, us);
	/* The latency of a quick refusal says nothing about the load. */
	if (reply->error == ERR_TARGET_REFUSED && !reply->retry_after_ms)
		return;
	adaptive_limit_sample(&g->adaptive_limit, us, c->in_flight_at_send,
			      reply->error == ERR_TARGET_REFUSED);
	admission_set_limits(&g->admission, gate_concurrency_limit(g),
			     g->admission.queue, g->admission.tenant_share);
	if (reply->outcome != OUTCOME_ANSWERED)
		return;
	hist_add(&g->latency, us);
	cnt_sample(
		g->cnt, "gate_target_us",
		labels_write(&g->labels, c->f->service, c->f->tenant, labels),
		us);
}

/*
 * What a call shows whose connection was not established. A refused connection
 * shows only that nothing listens; a process that has ended has no other
 * connection open either.
 */
static enum target_loss find_loss_unsent(const struct gate_call *c)
{
	const struct gate *g = c->g;

	if (c->http.error == ERR_REFUSED)
		return httpc_is_connected(&g->http_client, g->target->address,
					  g->target->port)
			       ? LOSS_SUSPECTED
			       : LOSS_ENDED;
	if (c->http.error == ERR_TIMEOUT && clk_ms() < c->deadline_ms)
		return LOSS_SUSPECTED;
	return LOSS_NONE;
}

/* Updates the count of unanswered calls, and returns what this call shows. */
static enum target_loss find_loss(const struct gate_call *c)
{
	const struct httpc_request *r = &c->http;
	struct gate *g = c->g;

	/* An earlier run may have ended; the next one holds its own keys. */
	if (!g->target || c->target_run != g->target_run)
		return LOSS_NONE;
	if (r->status) {
		g->unanswered_calls = 0;
		g->loss_reported = LOSS_NONE;
		return LOSS_NONE;
	}
	if (r->abort_error != ERR_OK)
		return LOSS_NONE;
	if (!r->send_started)
		return find_loss_unsent(c);
	if (clk_ns() - c->sent_ns < GATE_UNANSWERED_MS * 1000000LL)
		return LOSS_NONE;
	return ++g->unanswered_calls >= GATE_UNANSWERED_CALLS ? LOSS_SUSPECTED
							      : LOSS_NONE;
}

/* Logs the end of a call unless it was answered with a status below 500. */
static void log_failed_call(const struct gate_call *c,
			    const Wire__ForwardReply *reply, unsigned status)
{
	const struct gate *g = c->g;

	if (status && status < 500 && reply->outcome == OUTCOME_ANSWERED)
		return;
	log_request(LOG_INFO, "target_end",
		    "id=%s attempt=%016llx service=%s key=%s target=%s "
		    "outcome=%s error=%s status=%u ran_ms=%lld left_ms=%lld "
		    "waited_ms=%lld running=%u queued=%u places=%u sends=%u "
		    "fault=%s connection_ms=%lld connection_answers=%u",
		    LOG_Q(c->f->request_id), (unsigned long long)c->f->attempt,
		    LOG_Q(c->f->service), LOG_Q(c->f->key),
		    g->target ? LOG_Q(g->target->id) : "-",
		    outcome_name(reply->outcome), err_name(reply->error),
		    status,
		    c->sent_ns ? (long long)((clk_ns() - c->sent_ns) / 1000000)
			       : -1,
		    (long long)(c->deadline_ms - clk_ms()),
		    (long long)(c->item.started_ms - c->item.arrived_ms),
		    g->in_flight, g->admission.queued, g->admission.limit,
		    c->http.sends, c->fault ? c->fault : "none",
		    (long long)c->http.connection_age_ms,
		    c->http.connection_answers);
}

static void count_fault(struct gate *g, const char *fault)
{
	char labels[LABEL_BYTES];

	snprintf(labels, sizeof(labels), "fault=\"%s\"", fault);
	cnt_add(g->cnt, "gate_answer_faults", labels, 1);
}

/* Counts what the target wrote that is not the answer to its call. */
static void count_faults(struct gate_call *c)
{
	if (c->fault)
		count_fault(c->g, c->fault);
	/* Bytes on a connection without a request are of an earlier one. */
	if (!c->http.stray_connections)
		return;
	count_fault(c->g, "stray");
	suspend_connection_reuse(c->g);
}

static void end_answered_call(struct gate_call *c)
{
	Wire__ForwardReply reply = WIRE__FORWARD_REPLY__INIT;
	struct gate_answer a;

	reply.status = (uint32_t)c->http.status;
	if (gate_answer_read(&a, c) != ERR_OK) {
		gate_answer_finish(&a);
		gate_call_fail(c, OUTCOME_UNKNOWN, ERR_NOMEM);
		return;
	}
	classify_answer(c, &a, &reply);
	count_faults(c);
	/* An answer to another request may be old. */
	if (reply.error != ERR_MALFORMED)
		gate_note_target_state(c, &a.target);
	record_result(c, &reply);
	log_failed_call(c, &reply, reply.status);
	if (reply.outcome == OUTCOME_ANSWERED) {
		reply.headers = a.forwarded;
		reply.n_headers = a.count;
		reply.body.data = c->http.answer.data;
		reply.body.len = c->http.answer.len;
	} else {
		reply.status = 0;
	}
	gate_call_end(c, &reply);
	gate_answer_finish(&a);
}

/*
 * Applies only to targets that are sent a not-after time. Other targets report
 * which keys they hold, and a release waits for that report.
 */
void gate_call_mark_abandoned(const struct gate_call *c)
{
	if (c->slot != MAP_NO_SLOT && c->sent_ns && c->g->dialect->not_after)
		gate_slot_mark_abandoned(c->g, c->slot, c->not_after_ns);
}

static void count_failure(struct gate *g, enum err error)
{
	char labels[LABEL_BYTES];

	snprintf(labels, sizeof(labels), "error=\"%s\"", err_name(error));
	cnt_add(g->cnt, "gate_target_failures", labels, 1);
}

static void count_connect_failure(struct gate *g, int error)
{
	char labels[LABEL_BYTES];

	snprintf(labels, sizeof(labels), "errno=\"%d\"", error);
	cnt_add(g->cnt, "gate_connect_failures", labels, 1);
}

static void end_failed_call(struct gate_call *c)
{
	Wire__ForwardReply reply = WIRE__FORWARD_REPLY__INIT;

	if (!c->http.send_started) {
		if (c->http.connect_errno)
			count_connect_failure(c->g, c->http.connect_errno);
		gate_call_fail(c, OUTCOME_NOT_RUN, get_unsent_error(c));
		return;
	}
	if (c->http.fault != HTTPC_FAULT_NONE) {
		c->fault = httpc_fault_name(c->http.fault);
		suspend_connection_reuse(c->g);
	}
	count_faults(c);
	health_failed(&c->g->health, clk_ms());
	count_failure(c->g, c->http.error);
	reply.outcome = OUTCOME_UNKNOWN;
	reply.error = c->http.error;
	log_failed_call(c, &reply, 0);
	if (c->http.error == ERR_TIMEOUT) {
		record_result(c, &reply);
		gate_call_mark_abandoned(c);
	}
	gate_call_fail(c, OUTCOME_UNKNOWN, c->http.error);
}

/* Returns 1 if ops->target_lost is due, and logs why. */
static int note_loss(const struct gate_call *c, enum target_loss loss)
{
	const struct httpc_request *r = &c->http;
	struct gate *g = c->g;

	if (loss <= g->loss_reported)
		return 0;
	if (loss == LOSS_SUSPECTED) {
		if (clk_ms() < g->suspect_again_ms)
			return 0;
		g->suspect_again_ms = clk_ms() + GATE_SUSPECT_PERIOD_MS;
	}
	log_warn("target_lost", "ended=%d error=%s connect_errno=%d id=%s",
		 loss == LOSS_ENDED, err_name(r->error), r->connect_errno,
		 LOG_Q(g->target->id));
	return 1;
}

static void on_request_done(struct httpc_request *r, void *priv)
{
	struct gate_call *c = priv;
	struct gate *g = c->g;
	enum target_loss loss = find_loss(c);
	int lost = note_loss(c, loss);

	if (r->error == ERR_OK)
		end_answered_call(c);
	else
		end_failed_call(c);
	gate_report_target_leaving(g);
	/* This comes last because the callback may remove the target. */
	if (!lost || loss <= g->loss_reported)
		return;
	g->loss_reported = loss;
	g->ops->target_lost(loss == LOSS_ENDED, g->priv);
}

static const struct httpc_ops call_ops = {
	.before_send = before_send,
	.done = on_request_done,
};

/* Buffers for the numbers in the headers that the router adds. */
struct header_values {
	char text[GATE_ROUTER_HEADERS][GATE_NUMBER_BYTES];
};

/* Adds a header if the dialect has a name for it and there is a value. */
static void add_header_if_named(struct httpc_header *h, size_t *n,
				const char *name, const char *value)
{
	if (name && value)
		h[(*n)++] = (struct httpc_header){ name, value };
}

static size_t add_router_headers(struct httpc_header *h,
				 const struct gate_call *c,
				 struct header_values *values)
{
	const struct dialect *d = c->g->dialect;
	const char *id = c->g->target->id[0] ? c->g->target->id : NULL;
	int keyed = c->slot != MAP_NO_SLOT;
	size_t n = 0;

	snprintf(values->text[0], GATE_NUMBER_BYTES, "%llu",
		 (unsigned long long)c->fence);
	snprintf(values->text[1], GATE_NUMBER_BYTES, "%u", c->slot);
	snprintf(values->text[2], GATE_NUMBER_BYTES, "%lld",
		 (long long)c->not_after_ns);
	snprintf(values->text[3], GATE_NUMBER_BYTES, "%lld",
		 (long long)(c->deadline_ms - clk_ms()));
	snprintf(values->text[4], GATE_NUMBER_BYTES, "%016llx",
		 (unsigned long long)c->f->attempt);
	if (keyed) {
		add_header_if_named(h, &n, d->fence, values->text[0]);
		add_header_if_named(h, &n, d->slot, values->text[1]);
		add_header_if_named(h, &n, d->not_after, values->text[2]);
	}
	add_header_if_named(h, &n, d->deadline, values->text[3]);
	add_header_if_named(h, &n, d->attempt, values->text[4]);
	add_header_if_named(h, &n, d->expected_target, id);
	add_header_if_named(h, &n, d->caller, c->f->caller);
	return n;
}

/* Filters the headers again rather than trust the daemon that sent them. */
static size_t add_forwarded_headers(struct httpc_header *h,
				    const struct dialect *d,
				    const Wire__Forward *f)
{
	size_t n = 0;

	for (size_t i = 0; i < f->n_headers; i++) {
		const char *name = f->headers[i]->name;

		if (hdr_is_forwardable(name, NULL) &&
		    !dialect_sets_header(d, name))
			h[n++] = (struct httpc_header){ name,
							f->headers[i]->value };
	}
	return n;
}

static enum err send_call(struct gate_call *c)
{
	const Wire__Target *t = c->g->target;
	size_t room = c->f->n_headers + GATE_ROUTER_HEADERS;
	struct httpc_header *headers = calloc(room, sizeof(*headers));
	size_t url_size = GATE_URL_BYTES + strlen(c->f->path);
	int separate = clk_ms() < c->g->no_reuse_until_ms;
	char *url = malloc(url_size);
	struct header_values values;
	enum err e = ERR_NOMEM;
	size_t n;

	if (!headers || !url)
		goto out;
	snprintf(url, url_size, "http://%s:%u%s", t->address, t->port,
		 c->f->path);
	c->target_run = c->g->target_run;
	n = add_router_headers(headers, c, &values);
	n += add_forwarded_headers(headers + n, c->g->dialect, c->f);
	c->http = (struct httpc_request){
		.ops = &call_ops,
		.priv = c,
		.method = c->f->method,
		.url = url,
		.headers = headers,
		.header_count = n,
		.body = c->f->body.data,
		.body_len = c->f->body.len,
		.timeout_ms = (int)(c->deadline_ms - clk_ms()),
		.connect_timeout_ms = GATE_CONNECT_TIMEOUT_MS,
		.unframed_ok = c->g->dialect->unframed_answers,
		/* A request without an id has nothing to be repeated. */
		.id_name =
			c->f->request_id[0] ? c->g->dialect->request_id : NULL,
		.id = c->f->request_id,
		/* What answered the earlier attempt has the same id. */
		.new_connection = separate || c->f->sent_before,
		.close_after = separate,
	};
	e = c->http.timeout_ms > 0 ? httpc_start(&c->g->http_client, &c->http)
				   : ERR_DEADLINE;
	/* httpc_start has copied URL and headers. */
	c->http.url = NULL;
	c->http.headers = NULL;
	c->http.header_count = 0;
out:
	free(headers);
	free(url);
	return e;
}

void gate_call_start(struct gate_call *c)
{
	struct gate *g = c->g;
	struct gate_slot *s = NULL;
	enum err e;

	if (clk_ms() >= c->deadline_ms) {
		gate_call_fail(c, OUTCOME_NOT_RUN, ERR_DEADLINE);
		return;
	}
	if (!g->target) {
		gate_call_fail(c, OUTCOME_NOT_RUN, ERR_NO_TARGET);
		return;
	}
	if (c->slot != MAP_NO_SLOT)
		s = gate_slot_get_or_add(g, c->slot);
	e = s || c->slot == MAP_NO_SLOT
		    ? check_ownership(c, &c->fence, &c->not_after_ns)
		    : ERR_NOMEM;
	/* Nobody waits for an answer after the deadline. */
	if (c->not_after_ns > c->deadline_ms * 1000000)
		c->not_after_ns = c->deadline_ms * 1000000;
	if (e == ERR_OK)
		e = send_call(c);
	if (e != ERR_OK) {
		gate_call_fail(c, OUTCOME_NOT_RUN, e);
		return;
	}
	c->state = CALL_IN_FLIGHT;
	g->in_flight++;
	if (s)
		s->in_flight++;
}
