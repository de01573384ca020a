#include "routing/gate_priv.h"
#include "common/clk.h"
#include "routing/hdr.h"
#include "protocol/wire.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define GATE_HOT_KEYS 256
#define GATE_MIN_CONCURRENCY 1
/* Queue and share while the document does not name the service. */
#define GATE_DEFAULT_QUEUE 64
#define GATE_DEFAULT_SHARE 0.5
/* Period at which queued calls past their deadline are ended. */
#define GATE_EXPIRY_SECONDS 0.005
/* Room for connecting and sending to a target that is leaving. */
#define GATE_DRAIN_MARGIN_MS 250

static void on_expiry(struct ev_loop *loop, ev_timer *w, int events);

static void on_busy(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	gate_slots_check(w->data);
}

uint32_t gate_limit(const struct gate *g)
{
	return g->fixed ? g->conc.max : conc_limit(&g->conc);
}

void gate_set_adaptive(struct gate *g, int adaptive)
{
	g->fixed = !adaptive;
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
	if (hot_init(&g->hot, GATE_HOT_KEYS) != 0)
		goto no_hot;
	if (httpc_init(&g->client, loop, 0) != ERR_OK)
		goto no_client;
	adm_init(&g->adm, 0, 0, GATE_DEFAULT_SHARE);
	conc_init(&g->conc, GATE_MIN_CONCURRENCY, GATE_MIN_CONCURRENCY);
	attempts_init(&g->attempts);
	labels_init(&g->labels);
	hist_init(&g->latency);
	judge_init(&g->judge, clk_ms());
	ev_timer_init(&g->expiry, on_expiry, GATE_EXPIRY_SECONDS,
		      GATE_EXPIRY_SECONDS);
	g->expiry.data = g;
	ev_timer_init(&g->busy, on_busy, 0., 0.);
	g->busy.data = g;
	*out = g;
	return ERR_OK;
no_client:
	hot_finish(&g->hot);
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
	ev_timer_stop(g->loop, &g->expiry);
	ev_timer_stop(g->loop, &g->busy);
	DL_FOREACH_SAFE(g->calls, c, next) {
		if (c->state == CALL_STARTED)
			httpc_cancel(&c->http);
		call_free(c);
	}
	httpc_finish(&g->client);
	gate_slots_finish(g);
	adm_finish(&g->adm);
	attempts_finish(&g->attempts);
	labels_finish(&g->labels);
	hot_finish(&g->hot);
	if (g->target)
		wire__target__free_unpacked(g->target, NULL);
	free(g);
}

static void count(struct gate *g, const Wire__Forward *f, const char *name)
{
	char labels[LABEL_BYTES];

	cnt_add(g->cnt, name,
		labels_write(&g->labels, f->service, f->tenant, labels), 1);
}

static void count_end(struct gate *g, const Wire__Forward *f,
		      const Wire__ForwardReply *reply)
{
	char labels[LABEL_BYTES];

	switch (reply->outcome) {
	case OUTCOME_ANSWERED:
		count(g, f, "gate_answered");
		break;
	case OUTCOME_NOT_RUN:
		count(g, f, "gate_not_run");
		break;
	default:
		count(g, f, "gate_unknown");
	}
	if (reply->error == ERR_OK)
		return;
	snprintf(labels, sizeof(labels), "error=\"%s\"",
		 err_name(reply->error));
	cnt_add(g->cnt, "gate_errors", labels, 1);
}

/* load lives as long as the reply. */
static void fill_reply(struct gate *g, Wire__ForwardReply *reply,
		       Wire__TargetLoad *load, uint64_t attempt)
{
	wire__target_load__init(load);
	load->running = g->started;
	load->queued = g->adm.queued;
	load->places = g->adm.limit;
	load->latency_us = (uint32_t)g->judge.latency_us;
	reply->load = load;
	reply->attempt = attempt;
	reply->map_rev = g->view->ops->map(g->view)->rev;
	if (reply->error == ERR_SHED)
		reply->retry_after_ms = adm_retry_after_ms(&g->adm);
}

void gate_call_end(struct gate_call *c, Wire__ForwardReply *reply)
{
	struct gate *g = c->g;
	Wire__TargetLoad load;
	int64_t now = clk_ms();
	int was_started = c->state == CALL_STARTED;
	uint32_t slot = c->slot;

	DL_DELETE(g->calls, c);
	attempts_end(&g->attempts, c->attempt,
		     reply->outcome != OUTCOME_NOT_RUN, now);
	if (c->item.state == ADM_RUNNING)
		adm_done(&g->adm, &c->item, now);
	else
		adm_remove(&g->adm, &c->item);
	if (was_started)
		g->started--;
	reply->arrived = c->sent_ns != 0;
	fill_reply(g, reply, &load, c->f->attempt);
	load.took_us = (uint32_t)((clk_ns() - c->arrived_ns) / 1000);
	count_end(g, c->f, reply);
	if (c->fn)
		c->fn(reply, c->priv);
	reply->load = NULL;
	call_free(c);
	if (was_started && slot != MAP_NO_SLOT)
		gate_slot_ended(g, slot);
	gate_pump(g);
}

void gate_call_fail(struct gate_call *c, enum wire_outcome outcome,
		    enum err error)
{
	Wire__ForwardReply reply = WIRE__FORWARD_REPLY__INIT;

	reply.outcome = outcome;
	reply.error = error;
	gate_call_end(c, &reply);
}

static struct gate_call *call_of(struct adm_item *item)
{
	return (struct gate_call *)((char *)item -
				    offsetof(struct gate_call, item));
}

void gate_pump(struct gate *g)
{
	struct adm_item *item;

	/* Calls that fail at once come back here. */
	if (g->pumping)
		return;
	g->pumping = 1;
	while ((item = adm_next(&g->adm, clk_ms())))
		gate_call_start(call_of(item));
	g->pumping = 0;
}

static void on_expiry(struct ev_loop *loop, ev_timer *w, int events)
{
	struct gate *g = w->data;
	struct adm_item *item;

	(void)events;
	while ((item = adm_expire(&g->adm, clk_ms())))
		gate_call_fail(call_of(item), OUTCOME_NOT_RUN,
			       item->deadline_ms <= clk_ms() ? ERR_DEADLINE
							     : ERR_SHED);
	if (!g->adm.queued)
		ev_timer_stop(loop, w);
}

/* Callbacks may change the list, so each search starts anew. */
static struct gate_call *find_queued(struct gate *g)
{
	struct gate_call *c;

	DL_FOREACH(g->calls, c) {
		if (c->item.state == ADM_QUEUED)
			return c;
	}
	return NULL;
}

/* A name instead of a number would make libcurl wait for a resolver. */
static int is_address(const Wire__Target *t)
{
	struct in_addr a;

	return inet_pton(AF_INET, t->address, &a) == 1 && t->port > 0 &&
	       t->port <= 65535;
}

static uint32_t target_places(const Wire__Target *t)
{
	uint32_t places = t->concurrency ? t->concurrency : 1;

	if (t->connections && t->connections < places)
		places = t->connections;
	return places;
}

/* A repeated announcement does not outweigh what was observed here. */
static void target_came(struct gate *g, const Wire__Target *t)
{
	uint32_t places = target_places(t);
	int is_new = !g->target || g->target->port != t->port ||
		     strcmp(g->target->address, t->address) != 0;

	if (g->target)
		wire__target__free_unpacked(g->target, NULL);
	g->target = wire_copy_target(t);
	if (is_new) {
		judge_init(&g->judge, clk_ms());
		conc_init(&g->conc, GATE_MIN_CONCURRENCY, places);
		g->lost_reported = 0;
		g->silent = 0;
		g->leaving = 0;
	} else {
		conc_set_max(&g->conc, places);
	}
	adm_set(&g->adm, gate_limit(g), g->adm.queue, g->adm.tenant_share);
}

void gate_set_target(struct gate *g, const Wire__Target *t)
{
	struct gate_call *c;

	if (t && is_address(t)) {
		target_came(g, t);
		g->leaving = 0;
		gate_pump(g);
		return;
	}
	if (g->target)
		wire__target__free_unpacked(g->target, NULL);
	g->target = NULL;
	while ((c = find_queued(g)))
		gate_call_fail(c, OUTCOME_NOT_RUN, ERR_NO_TARGET);
}

static void refuse(struct gate *g, const Wire__Forward *f,
		   enum wire_outcome outcome, enum err error, gate_reply_fn fn,
		   void *priv)
{
	Wire__ForwardReply reply = WIRE__FORWARD_REPLY__INIT;
	Wire__TargetLoad load;

	reply.outcome = outcome;
	reply.error = error;
	fill_reply(g, &reply, &load, f->attempt);
	count_end(g, f, &reply);
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

/* Early refusal; the check that counts is made right before hand-over. */
static enum err check_owner(struct gate *g, const Wire__Forward *f,
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

static enum err check(struct gate *g, const Wire__Forward *f, uint32_t *slot)
{
	enum err e = check_message(f);

	if (e != ERR_OK)
		return e;
	if (g->quiesced)
		return ERR_NO_TARGET;
	if (!f->deadline_ms)
		return ERR_DEADLINE;
	e = check_owner(g, f, slot);
	if (e != ERR_OK)
		return e;
	if (!g->target || strcmp(g->target->service, f->service) != 0)
		return ERR_NO_TARGET;
	return ERR_OK;
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

static void count_load(struct gate *g, const Wire__Forward *f, uint32_t slot)
{
	struct gate_slot *s;

	if (slot == MAP_NO_SLOT)
		return;
	s = gate_slot_get(g, slot);
	if (s)
		s->requests++;
	hot_add(&g->hot, map_hash(f->service, f->key, strlen(f->key)),
		f->service, f->key, strlen(f->key));
}

/* The document's limits may have changed since the last request. */
static void set_limits(struct gate *g, const char *service)
{
	const struct doc *d = g->view->ops->doc(g->view);
	const struct doc_service *s = d ? doc_find_service(d, service) : NULL;
	uint32_t queue = s ? s->queue : GATE_DEFAULT_QUEUE;
	double share = s ? s->tenant_share : GATE_DEFAULT_SHARE;

	adm_set(&g->adm, gate_limit(g), queue, share);
}

static struct adm_rank rank_of(const Wire__Forward *f, int64_t now_ms)
{
	struct adm_rank rank = { f->priority, INT64_MAX, f->route };

	if (f->has_value)
		rank.value_ms = now_ms + f->value_ms;
	return rank;
}

static void admit(struct gate_call *c)
{
	struct gate *g = c->g;
	int64_t now_ms = clk_ms();
	struct adm_rank rank = rank_of(c->f, now_ms);

	set_limits(g, c->f->service);
	switch (adm_submit_ranked(&g->adm, &c->item, c->f->tenant, now_ms,
				  c->deadline_ms, &rank)) {
	case ADM_RUN:
		gate_call_start(c);
		break;
	case ADM_QUEUE:
		if (!ev_is_active(&g->expiry)) {
			ev_timer_set(&g->expiry, GATE_EXPIRY_SECONDS,
				     GATE_EXPIRY_SECONDS);
			ev_timer_start(g->loop, &g->expiry);
		}
		break;
	case ADM_SHED:
		g->shed++;
		gate_call_fail(c, OUTCOME_NOT_RUN, ERR_SHED);
		break;
	}
}

/* An attempt that is known already: it may have run, or must not run. */
static void refuse_known(struct gate *g, const Wire__Forward *f,
			 const struct attempt *t, gate_reply_fn fn, void *priv)
{
	int ran = t->fate == FATE_RUNNING || t->fate == FATE_RAN;

	refuse(g, f, ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN, ERR_CONFLICT, fn,
	       priv);
}

void gate_submit(struct gate *g, const Wire__Forward *f, gate_reply_fn fn,
		 void *priv)
{
	struct attempt *t = attempts_find(&g->attempts, f->attempt);
	struct gate_call *c;
	uint32_t slot = MAP_NO_SLOT;
	enum err e;

	count(g, f, "gate_requests");
	if (t) {
		refuse_known(g, f, t, fn, priv);
		return;
	}
	e = check(g, f, &slot);
	t = attempts_add(&g->attempts, f->attempt);
	c = t && e == ERR_OK ? call_new(g, f) : NULL;
	if (!c) {
		if (t)
			attempts_end(&g->attempts, t, 0, clk_ms());
		refuse(g, f, OUTCOME_NOT_RUN, e == ERR_OK ? ERR_NOMEM : e, fn,
		       priv);
		return;
	}
	c->slot = slot;
	c->fn = fn;
	c->priv = priv;
	c->attempt = t;
	DL_APPEND(g->calls, c);
	count_load(g, f, slot);
	admit(c);
}

int gate_offer(struct gate *g, const Wire__Forward *f, int64_t after_ms,
	       gate_reply_fn fn, void *priv)
{
	int64_t now_ms = clk_ms();
	struct adm_rank rank = rank_of(f, now_ms);
	uint32_t slot = MAP_NO_SLOT;
	enum err e = check(g, f, &slot);

	if (e == ERR_OK) {
		set_limits(g, f->service);
		if (!adm_is_hopeless_after(&g->adm, &rank, now_ms,
					   now_ms + f->deadline_ms, after_ms))
			return 1;
		g->shed++;
		e = ERR_SHED;
	}
	refuse(g, f, OUTCOME_NOT_RUN, e, fn, priv);
	return 0;
}

/* What nobody waits for and may run again is not worth the target's time. */
static int is_droppable(const struct gate_call *c)
{
	return c->item.state == ADM_QUEUED || c->f->idempotent;
}

/* Not for a call whose callback could be running. */
static void drop(struct gate_call *c)
{
	if (c->state == CALL_STARTED) {
		httpc_cancel(&c->http);
		cnt_add(c->g->cnt, "gate_broken_off", "", 1);
		gate_call_given_up(c);
		gate_call_fail(c, OUTCOME_UNKNOWN, ERR_CLOSED);
	} else {
		gate_call_fail(c, OUTCOME_NOT_RUN, ERR_CLOSED);
	}
}

static struct gate_call *find_orphan(struct gate *g)
{
	struct gate_call *c;

	DL_FOREACH(g->calls, c) {
		if (!c->fn && is_droppable(c))
			return c;
	}
	return NULL;
}

void gate_forget(struct gate *g, gate_reply_fn fn, void *priv)
{
	struct gate_call *c;

	DL_FOREACH(g->calls, c) {
		if (c->fn == fn && c->priv == priv) {
			c->fn = NULL;
			c->priv = NULL;
		}
	}
	while ((c = find_orphan(g)))
		drop(c);
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
		drop(c);
}

static struct gate_call *find_queued_unkeyed(struct gate *g)
{
	struct gate_call *c;

	DL_FOREACH(g->calls, c) {
		if (c->item.state == ADM_QUEUED && !c->f->key[0])
			return c;
	}
	return NULL;
}

enum err gate_check_leaving(const struct gate *g, int keyed)
{
	if (!g->leaving)
		return ERR_OK;
	if (keyed &&
	    (!g->drain_ms ||
	     clk_ms() - g->leaving_ms < g->drain_ms - GATE_DRAIN_MARGIN_MS))
		return ERR_OK;
	return ERR_NO_TARGET;
}

void gate_set_drain(struct gate *g, int64_t drain_ms)
{
	g->drain_ms = drain_ms;
}

void gate_target_leaving(struct gate *g)
{
	struct gate_call *c;

	if (!g->leaving)
		g->leaving_ms = clk_ms();
	g->leaving = 1;
	while ((c = find_queued_unkeyed(g)))
		gate_call_fail(c, OUTCOME_NOT_RUN, ERR_NO_TARGET);
}

void gate_quiesce(struct gate *g)
{
	g->quiesced = 1;
}

int64_t gate_answer_age_ms(const struct gate *g)
{
	return g->answered_ms ? clk_ms() - g->answered_ms : INT64_MAX;
}

unsigned gate_in_flight(const struct gate *g)
{
	return g->started;
}
