#include "routing/ingress_priv.h"
#include "common/clk.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

/* Connections of callers without a request are closed after this time. */
#define IN_IDLE_SECONDS 60

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	in_route(w->data);
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
	wire__forward__init(&q->f);
	ev_timer_init(&q->timer, on_timer, 0., 0.);
	q->timer.data = q;
	r->priv = q;
	DL_APPEND(in->requests, q);
	return q;
}

void in_request_free(struct in_request *q)
{
	ev_timer_stop(q->in->loop, &q->timer);
	DL_DELETE(q->in->requests, q);
	q->http->priv = NULL;
	free(q->headers);
	free(q->header_list);
	free(q->key);
	free(q);
}

static enum err check_ingress(const struct ingress *in, const struct doc *doc)
{
	if (in->open > in->max_open || in->refusing)
		return ERR_SHED;
	return doc ? ERR_OK : ERR_STALE;
}

static void on_request(struct httpd_request *r, void *priv)
{
	struct ingress *in = priv;
	const struct doc *doc = in->view->ops->doc(in->view);
	struct in_request *q = request_new(in, r);
	enum err e;

	in->open++;
	if (!q) {
		httpd_answer_text(r, 503, "text/plain", "no_memory\n");
		return;
	}
	e = r->error;
	if (e == ERR_OK)
		e = check_ingress(in, doc);
	if (e == ERR_OK)
		e = in_parse(q, doc);
	if (e != ERR_OK) {
		in_answer_error(q, OUTCOME_NOT_RUN, e, 0);
		return;
	}
	in_count_request(q);
	in_route(q);
}

static void on_refuse(struct httpd_request *r, void *priv)
{
	struct ingress *in = priv;
	struct in_request *q = request_new(in, r);

	in->open++;
	if (q)
		in_answer_error(q, OUTCOME_NOT_RUN, ERR_CLOSED, 0);
	else
		httpd_answer_text(r, 503, "text/plain", "no_memory\n");
}

/*
 * Nobody waits for the answer any more: the attempt is broken off where that
 * does no harm. The answer that libmicrohttpd still needs promises nothing.
 */
static void on_gone(struct httpd_request *r, void *priv)
{
	struct ingress *in = priv;

	if (!r->priv)
		return;
	cnt_add(in->cnt, "in_abandoned", "", 1);
	in_log_abandoned(r->priv);
	in_detach(r->priv);
	in_request_free(r->priv);
	httpd_answer_text(r, 504, "text/plain", "abandoned\n");
}

/* The connection ended; a request that is still here has no asker any more. */
static void on_over(struct httpd_request *r, void *priv)
{
	struct ingress *in = priv;

	in->open--;
	if (!r->priv)
		return;
	in_detach(r->priv);
	in_request_free(r->priv);
}

static const struct httpd_ops http_ops = {
	.request = on_request,
	.refuse = on_refuse,
	.disconnected = on_gone,
	.completed = on_over,
};

enum err ingress_new(struct ingress **out, struct ev_loop *loop,
		     const struct settings *set, const struct dialect *dialect,
		     struct view *view, struct gate *gate, struct peers *peers,
		     struct cnt *cnt, uint64_t incarnation,
		     struct err_info *info)
{
	struct ingress *in = calloc(1, sizeof(*in));
	enum err e;

	if (!in)
		return err_set(info, ERR_NOMEM, "ingress");
	in->loop = loop;
	in->dialect = dialect;
	in->set = set;
	choose_init(&in->choose);
	in->view = view;
	in->gate = gate;
	in->peers = peers;
	in->cnt = cnt;
	in->max_open = (unsigned)set->max_in_flight;
	/*
	 * Incarnations of daemons that started together can be close to each
	 * other; their attempts must not be.
	 */
	in->next_attempt =
		XXH3_64bits_withSeed(set->name, strlen(set->name), incarnation);
	labels_init(&in->labels);
	e = httpd_init_limited(&in->http, loop, set->address,
			       (unsigned)set->http_port,
			       (size_t)set->max_body_bytes, IN_IDLE_SECONDS,
			       (unsigned)set->max_callers, &http_ops, in, info);
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
	in_budgets_finish(in);
	choose_finish(&in->choose);
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

void ingress_refuse(struct ingress *in)
{
	in->refusing = 1;
}

unsigned ingress_open(const struct ingress *in)
{
	return in->open;
}

/* Timers, not calls: a try can end other requests of the list. */
static void route_soon(struct in_request *q)
{
	struct ingress *in = q->in;

	q->place = IN_PAUSED;
	ev_timer_stop(in->loop, &q->timer);
	ev_timer_set(&q->timer, 0., 0.);
	ev_timer_start(in->loop, &q->timer);
}

/*
 * A key whose request is under way moves only from a lost owner, which may
 * answer late or never. What may run twice is sent to the new owner.
 */
static void leave_lost_owner(struct in_request *q)
{
	if (q->place != IN_AT_PEER || !q->f.idempotent || !q->keyed ||
	    in_has_owner(q, q->owner))
		return;
	in_detach(q);
	q->may_have_run = 1;
	cnt_add(q->in->cnt, "in_owner_changes", "", 1);
	route_soon(q);
}

void ingress_view_changed(struct ingress *in)
{
	uint64_t rev = in->view->ops->map(in->view)->rev;
	struct in_request *q;

	DL_FOREACH(in->requests, q) {
		if (q->map_rev >= rev)
			continue;
		if (q->place == IN_PAUSED)
			route_soon(q);
		else
			leave_lost_owner(q);
	}
}
