#include "routing/ingress_priv.h"
#include "common/clk.h"
#include "common/log.h"
#include "common/step.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

/* Keep-alive connections of callers are closed after this idle time. */
#define IN_IDLE_SECONDS 60
/* Retry-After of requests refused since callers read their answers slowly. */
#define IN_ANSWERS_FULL_MS 1000

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	step_enter("ingress_timer");
	in_regions_refresh(w->data);
	in_start_attempt(w->data);
}

static struct in_request *request_new(struct ingress *in,
				      struct httpd_request *r)
{
	struct in_request *q = calloc(1, sizeof(*q));

	if (!q)
		return NULL;
	q->in = in;
	q->http = r;
	q->arrived_ns = clk_ns();
	wire__forward__init(&q->forward);
	ev_timer_init(&q->timer, on_timer, 0., 0.);
	q->timer.data = q;
	r->priv = q;
	DL_APPEND(in->requests, q);
	return q;
}

void in_request_free(struct in_request *q)
{
	ev_timer_stop(q->in->loop, &q->timer);
	byte_budget_give_back(&q->in->answers, q->answer_room);
	DL_DELETE(q->in->requests, q);
	q->http->priv = NULL;
	free(q->headers);
	free(q->header_list);
	free(q->key);
	free(q);
}

static enum err check_admission(const struct ingress *in, const struct doc *doc)
{
	if (in->open_requests > in->max_open_requests || in->refusing)
		return ERR_SHED;
	return doc ? ERR_OK : ERR_STALE;
}

/*
 * Reserves room for the answer. What is begun has to be answered whole, so that
 * callers who read slowly are only kept from beginning more.
 */
static enum err take_answer_room(struct in_request *q)
{
	struct ingress *in = q->in;
	int full = !byte_budget_take(&in->answers, q->forward.route,
				     in->http.held_bytes, &q->answer_room);

	if (full != in->answers_full)
		log_info(full ? "answers_full" : "answers_have_room",
			 "held=%zu reserved=%zu limit=%zu open=%u",
			 in->http.held_bytes, in->answers.reserved,
			 in->answers.limit, in->open_requests);
	in->answers_full = full;
	if (!full)
		return ERR_OK;
	cnt_add(in->cnt, "in_answers_full", "", 1);
	return ERR_SHED;
}

static void on_request(struct httpd_request *r, void *priv)
{
	struct ingress *in = priv;
	const struct doc *doc = in->view->ops->doc(in->view);
	struct in_request *q = request_new(in, r);
	enum err e;

	in->open_requests++;
	if (!q) {
		in_answer_no_memory(in, r);
		return;
	}
	e = check_admission(in, doc);
	if (e == ERR_OK)
		e = in_parse(q, doc);
	if (e != ERR_OK) {
		in_answer_error(q, OUTCOME_NOT_RUN, e, 0);
		return;
	}
	in_count_request(q);
	e = take_answer_room(q);
	if (e != ERR_OK) {
		in_answer_error(q, OUTCOME_NOT_RUN, e, IN_ANSWERS_FULL_MS);
		return;
	}
	in_start_attempt(q);
}

static void answer_not_run(struct httpd_request *r, struct ingress *in,
			   enum err error, const char *refused_by)
{
	struct in_request *q = request_new(in, r);

	in->open_requests++;
	if (!q) {
		in_answer_no_memory(in, r);
		return;
	}
	q->refused_by = refused_by;
	in_answer_error(q, OUTCOME_NOT_RUN, error, 0);
}

static void on_refuse(struct httpd_request *r, void *priv)
{
	answer_not_run(r, priv, ERR_CLOSED, NULL);
}

static void on_reject(struct httpd_request *r, void *priv)
{
	answer_not_run(r, priv, r->error,
		       r->parser_error ? r->parser_error : "http");
}

/*
 * The caller closed its connection. The attempt is cancelled; a target that
 * already runs a request that is not idempotent finishes it. The server needs
 * an answer even so; this one states no outcome.
 */
static void on_disconnected(struct httpd_request *r, void *priv)
{
	struct ingress *in = priv;

	if (!r->priv)
		return;
	cnt_add(in->cnt, "in_abandoned", "", 1);
	in_log_abandoned(r->priv);
	in_calls_note_end(r->priv, 0);
	in_cancel_attempt(r->priv);
	in_request_free(r->priv);
	httpd_answer_text(r, 504, "text/plain", "abandoned\n");
}

/*
 * The answer was sent or the connection broke. A request that still exists has
 * no caller left.
 */
static void on_completed(struct httpd_request *r, void *priv)
{
	struct ingress *in = priv;

	in->open_requests--;
	if (!r->priv)
		return;
	in_cancel_attempt(r->priv);
	in_request_free(r->priv);
}

static const struct httpd_ops http_ops = {
	.request = on_request,
	.refuse = on_refuse,
	.reject = on_reject,
	.disconnected = on_disconnected,
	.completed = on_completed,
};

enum err ingress_new(struct ingress **out, struct ev_loop *loop,
		     const struct settings *settings,
		     const struct dialect *dialect, struct view *view,
		     struct gate *gate, struct peers *peers, struct cnt *cnt,
		     uint64_t incarnation, struct err_info *info)
{
	struct ingress *in = calloc(1, sizeof(*in));
	const struct httpd_limits limits = {
		.connections = (unsigned)settings->max_callers,
		.pipeline = (unsigned)settings->max_pipeline,
		.held_bytes = (size_t)settings->max_held_bytes,
	};
	enum err e;

	if (!in)
		return err_set(info, ERR_NOMEM, "cannot allocate the ingress");
	in->loop = loop;
	in->dialect = dialect;
	in->settings = settings;
	selector_init(&in->selector);
	byte_budget_init(&in->answers, (size_t)settings->max_answer_bytes);
	in->view = view;
	in->gate = gate;
	in->peers = peers;
	in->cnt = cnt;
	in->max_open_requests = (unsigned)settings->max_in_flight;
	/*
	 * Daemons that started together can have incarnations close to each
	 * other. The hash keeps their ranges of attempt ids apart.
	 */
	in->last_attempt = XXH3_64bits_withSeed(
		settings->name, strlen(settings->name), incarnation);
	labels_init(&in->labels);
	e = httpd_init_limited(&in->http, loop, settings->address,
			       (unsigned)settings->http_port,
			       (size_t)settings->max_body_bytes,
			       IN_IDLE_SECONDS, &limits, &http_ops, in, info);
	if (e != ERR_OK) {
		free(in);
		return e;
	}
	*out = in;
	return ERR_OK;
}

void ingress_free(struct ingress *in)
{
	if (!in)
		return;
	while (in->requests)
		in_answer_error(in->requests, OUTCOME_UNKNOWN, ERR_CLOSED, 0);
	httpd_finish(&in->http);
	in_free_retry_state(in);
	selector_finish(&in->selector);
	byte_budget_finish(&in->answers);
	labels_finish(&in->labels);
	free(in);
}

void ingress_quiesce(struct ingress *in)
{
	if (in->quiesced)
		return;
	in->quiesced = 1;
	httpd_quiesce(&in->http);
}

void ingress_refuse_requests(struct ingress *in)
{
	in->refusing = 1;
}

unsigned ingress_open_connections(const struct ingress *in)
{
	return in->http.conn_count;
}

unsigned ingress_open_requests(const struct ingress *in)
{
	return in->open_requests;
}

/*
 * Starts the next attempt from a timer. Not called directly, because an
 * attempt can end other requests of the list that the caller iterates over.
 */
static void schedule_attempt(struct in_request *q)
{
	struct ingress *in = q->in;

	q->state = IN_PAUSED;
	ev_timer_stop(in->loop, &q->timer);
	ev_timer_set(&q->timer, 0., 0.);
	ev_timer_start(in->loop, &q->timer);
}

/*
 * Sends an idempotent request to the new owner of its key. While a request is
 * in flight, its key changes owner only if the old owner was lost, so that the
 * reply may come late or never. Without a retry budget it waits for that reply.
 */
static void reroute_from_lost_owner(struct in_request *q)
{
	if (q->state != IN_AT_PEER || !q->forward.idempotent || !q->keyed ||
	    in_is_owner(q, q->owner) || !in_take_retry_budget(q))
		return;
	in_cancel_attempt(q);
	q->may_have_run = 1;
	cnt_add(q->in->cnt, "in_owner_changes", "", 1);
	schedule_attempt(q);
}

void ingress_view_changed(struct ingress *in)
{
	uint64_t rev = in->view->ops->map(in->view)->rev;
	struct in_request *q;

	DL_FOREACH(in->requests, q) {
		if (q->map_rev >= rev)
			continue;
		q->map_rev = rev;
		if (q->state == IN_PAUSED)
			schedule_attempt(q);
		else
			reroute_from_lost_owner(q);
	}
}
