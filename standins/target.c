/*
 * mpin-target: stand-in for a target. It announces itself to the daemon beside
 * it, runs each request for a service time, logs starts and ends, and refuses
 * requests by their fence, deadline and sender if the options ask for it. The
 * header Test-Fault of a request selects a fault in its answer. It can mix
 * bytes of several answers (standins/common_stutter.h), without late answers:
 * the daemon's own dialect has no id in answers that would tell them.
 */
#include "common/clk.h"
#include "common/log.h"
#include "standins/common_answer.h"
#include "standins/common_history.h"
#include "standins/common_stutter.h"
#include "standins/common_targetopt.h"
#include "transport/httpc.h"
#include "transport/httpd.h"

#include <glib.h>
#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#define ANNOUNCE_PERIOD_MS 2000
#define ANNOUNCE_RETRY_MS 200 /* period until the daemon accepts one */
#define ANNOUNCE_TIMEOUT_MS 1000
/* After DELETE /announce, exits once it was idle for this long. */
#define STOP_IDLE_MS 500
/* Exits this long after a signal at the latest. */
#define STOP_MAX_MS 60000
/*
 * A request with the fault "hang" is cut after this time, which bounds the
 * number of open connections.
 */
#define HANG_CLOSE_MS 60000
#define SLOW_BODY_PIECES 10
#define SLOW_BODY_PIECE_MS 50
#define MAX_BODY_BYTES (16 * 1024 * 1024)
#define IDLE_SECONDS 60

enum fault {
	FAULT_NONE,
	FAULT_CUT,	    /* closes the connection after half of the answer */
	FAULT_UNFRAMED,	    /* HTTP/1.0 answer without Content-Length */
	FAULT_UNFRAMED_CUT, /* the same with half of the answer */
	FAULT_HANG,	    /* no answer, then as FAULT_CUT */
	FAULT_SLOW_BODY,    /* sends the body in pieces with pauses */
};

static const char *const fault_names[] = {
	[FAULT_NONE] = "",
	[FAULT_CUT] = "cut",
	[FAULT_UNFRAMED] = "unframed",
	[FAULT_UNFRAMED_CUT] = "unframed-cut",
	[FAULT_HANG] = "hang",
	[FAULT_SLOW_BODY] = "slow-body",
};

struct slot_fence {
	char *name;
	uint64_t highest_fence; /* highest fence seen */
	UT_hash_handle hh;
};

struct target;

enum run_state { RUN_QUEUED, RUN_RUNNING, RUN_ANSWERING };

struct run {
	struct target *target;
	struct httpd_request *http;
	enum run_state state;
	enum fault fault;
	ev_timer timer;
	char *request;
	char *key;
	int64_t service_ms;
	unsigned status; /* of the answer */
	struct buf answer;
	size_t body_sent; /* bytes sent of a slow body */
	struct run *prev;
	struct run *next;
};

struct load {
	int running; /* requests */
	int queued;
};

struct target {
	struct target_options opt;
	struct ev_loop *loop;
	struct httpd server;
	struct httpc client;
	struct httpc_request announcement;
	int announcement_in_flight;
	int announced;
	char *announce_url;
	char *announce_body;
	int64_t cold_until_ms;
	ev_timer announce_timer;
	ev_timer health_timer;
	ev_timer stop_timer;
	ev_signal on_term;
	ev_signal on_int;
	FILE *log;
	GRand *rand;
	struct common_stutter stutter;
	struct slot_fence *slots;
	struct run *queue;
	struct load load;
	struct load delayed_load; /* load when health_timer last fired */
	int64_t last_work_ms;
	int64_t stop_ms; /* when the stop was requested; 0: not yet */
	int withdrawn;	 /* DELETE /announce was answered, or is not needed */
};

static const char *get_header(const struct run *r, const char *name)
{
	const char *v = httpd_get_header(r->http, name);

	return v ? v : "";
}

static int64_t get_header_number(const struct run *r, const char *name,
				 int64_t fallback)
{
	const char *v = httpd_get_header(r->http, name);
	char *end;
	int64_t n;

	if (!v || !v[0])
		return fallback;
	n = strtoll(v, &end, 10);
	return *end ? fallback : n;
}

static void log_run(const struct run *r, const char *ev, const char *reason)
{
	json_t *line = json_pack(
		"{s:I,s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:s}", "t_ns",
		(json_int_t)clk_ns(), "ev", ev, "request", r->request,
		"attempt", get_header(r, "Monsoonpin-Attempt"), "service",
		r->target->opt.service, "key", r->key, "slot",
		(json_int_t)get_header_number(r, "Monsoonpin-Slot", -1),
		"fence",
		(json_int_t)get_header_number(r, "Monsoonpin-Fence", -1),
		"method", r->http->method);

	if (line && reason)
		json_object_set_new(line, "reason", json_string(reason));
	if (line && strcmp(ev, "end") == 0)
		json_object_set_new(line, "status",
				    json_integer((json_int_t)r->status));
	if (r->target->log)
		common_history_write(r->target->log, line, 1);
	else
		json_decref(line);
}

static void refuse(struct run *r, const char *reason)
{
	struct httpd_header h[] = { { "Content-Type", "text/plain" },
				    { "Monsoonpin-Refused", "1" } };

	log_run(r, "refused", reason);
	r->state = RUN_ANSWERING;
	common_stutter_answer(&r->target->stutter, r->http, 503, h, 2, reason,
			      strlen(reason));
}

/* Returns the slot of this name, which is added with fence 0 if it is new. */
static struct slot_fence *get_slot(struct target *t, const char *name)
{
	struct slot_fence *s;

	HASH_FIND_STR(t->slots, name, s);
	if (s)
		return s;
	s = calloc(1, sizeof(*s));
	if (!s)
		abort();
	s->name = strdup(name);
	HASH_ADD_KEYPTR(hh, t->slots, s->name, strlen(s->name), s);
	return s;
}

/* Returns NULL if the request may start, else the reason to refuse it. */
static const char *find_refusal_reason(struct run *r)
{
	struct target *t = r->target;
	int64_t fence = get_header_number(r, "Monsoonpin-Fence", -1);
	int64_t not_after =
		get_header_number(r, "Monsoonpin-Not-After", INT64_MAX);
	struct slot_fence *s;

	if (t->opt.check_sender &&
	    (fence < 0 || !get_header(r, "Monsoonpin-Attempt")[0]))
		return "sender";
	if (t->opt.check_deadline && clk_ns() > not_after)
		return "deadline";
	if (!t->opt.check_fence || fence < 0)
		return NULL;
	s = get_slot(t, get_header(r, "Monsoonpin-Slot"));
	if ((uint64_t)fence < s->highest_fence)
		return "fence";
	s->highest_fence = (uint64_t)fence;
	return NULL;
}

static void start_next(struct target *t);

/* Sends the head and half of the answer; then the connection is closed. */
static void answer_cut(struct run *r)
{
	struct buf b;

	buf_init(&b);
	buf_addf(&b, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n",
		 r->answer.len);
	buf_add(&b, r->answer.data, r->answer.len / 2);
	httpd_answer_bytes(r->http, b.data, b.len);
	buf_finish(&b);
}

/* The end of the connection is the only end of this answer. */
static void answer_unframed(struct run *r)
{
	struct buf b;

	buf_init(&b);
	buf_addf(&b, "HTTP/1.0 200 OK\r\n\r\n");
	buf_add(&b, r->answer.data, r->answer.len);
	httpd_answer_bytes(r->http, b.data, b.len);
	buf_finish(&b);
}

static void on_hang_timeout(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	answer_cut(w->data);
}

static void on_piece_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct run *r = w->data;
	size_t left = r->answer.len - r->body_sent;
	size_t n = r->answer.len / SLOW_BODY_PIECES + 1;

	(void)events;
	if (n > left)
		n = left;
	httpd_stream_send(r->http, r->answer.data + r->body_sent, n);
	r->body_sent += n;
	if (r->body_sent < r->answer.len)
		return;
	ev_timer_stop(loop, w);
	httpd_stream_end(r->http);
}

static void start_timer(struct run *r,
			void (*fn)(struct ev_loop *, ev_timer *, int),
			int64_t after_ms, int64_t repeat_ms)
{
	ev_timer_stop(r->target->loop, &r->timer);
	ev_timer_init(&r->timer, fn, (double)after_ms / 1000.,
		      (double)repeat_ms / 1000.);
	r->timer.data = r;
	ev_timer_start(r->target->loop, &r->timer);
}

static void answer_whole(struct run *r)
{
	struct httpd_header h[] = { { "Content-Type", "text/plain" },
				    { "Test-Request", r->request } };

	common_stutter_answer(&r->target->stutter, r->http, r->status, h, 2,
			      r->answer.data, r->answer.len);
}

static void answer(struct run *r)
{
	r->state = RUN_ANSWERING;
	switch (r->fault) {
	case FAULT_NONE:
		answer_whole(r);
		break;
	case FAULT_CUT:
		answer_cut(r);
		break;
	case FAULT_UNFRAMED:
		answer_unframed(r);
		break;
	case FAULT_UNFRAMED_CUT:
		r->answer.len /= 2;
		answer_unframed(r);
		break;
	case FAULT_HANG:
		start_timer(r, on_hang_timeout, HANG_CLOSE_MS, 0);
		break;
	case FAULT_SLOW_BODY:
		httpd_stream_begin(r->http, 200, "text/plain");
		start_timer(r, on_piece_timer, SLOW_BODY_PIECE_MS,
			    SLOW_BODY_PIECE_MS);
		break;
	}
}

static void end_run(struct ev_loop *loop, ev_timer *w, int events)
{
	struct run *r = w->data;
	struct target *t = r->target;

	(void)loop;
	(void)events;
	t->load.running--;
	t->last_work_ms = clk_ms();
	log_run(r, "end", NULL);
	answer(r);
	start_next(t);
}

static void start_run(struct run *r)
{
	struct target *t = r->target;
	const char *refusal_reason = find_refusal_reason(r);

	r->status = 200;
	if (r->fault == FAULT_NONE)
		r->status = common_stutter_choose_status(&t->stutter);
	if (!refusal_reason && common_stutter_chooses_refusal(&t->stutter))
		refusal_reason = "stutter";
	if (refusal_reason) {
		refuse(r, refusal_reason);
		return;
	}
	r->state = RUN_RUNNING;
	t->load.running++;
	log_run(r, "start", NULL);
	start_timer(r, end_run, r->service_ms, 0);
}

static void start_next(struct target *t)
{
	while (t->queue && t->load.running < t->opt.concurrency) {
		struct run *r = t->queue;

		DL_DELETE(t->queue, r);
		t->load.queued--;
		start_run(r);
	}
}

static void start_or_queue_run(struct run *r)
{
	struct target *t = r->target;

	t->last_work_ms = clk_ms();
	if (t->load.running < t->opt.concurrency) {
		start_run(r);
		return;
	}
	if (t->load.queued >= t->opt.queue) {
		refuse(r, "queue");
		return;
	}
	r->state = RUN_QUEUED;
	t->load.queued++;
	DL_APPEND(t->queue, r);
}

/* Returns Test-Key or, without it, the second segment of /SERVICE/KEY/... */
static char *parse_key(const struct httpd_request *http)
{
	const char *key = httpd_get_header(http, "Test-Key");
	const char *second;

	if (key)
		return strdup(key);
	second = http->path[0] ? strchr(http->path + 1, '/') : NULL;
	if (!second)
		return strdup("");
	second++;
	return strndup(second, strcspn(second, "/?"));
}

static enum fault parse_fault(const struct run *r)
{
	const char *name = get_header(r, "Test-Fault");

	for (unsigned i = 0; i < G_N_ELEMENTS(fault_names); i++) {
		if (strcmp(name, fault_names[i]) == 0)
			return (enum fault)i;
	}
	return FAULT_NONE;
}

static int64_t choose_service_ms(struct run *r)
{
	const struct target_options *o = &r->target->opt;
	int64_t ms = o->service_ms;

	if (o->jitter_ms)
		ms += g_rand_int_range(r->target->rand, 0, o->jitter_ms + 1);
	ms = get_header_number(r, "Test-Service-Ms", ms);
	return CLAMP(ms, 0, TARGET_MAX_SERVICE_MS);
}

static struct run *run_new(struct target *t, struct httpd_request *http)
{
	struct run *r = calloc(1, sizeof(*r));
	int64_t bytes;

	if (!r)
		abort();
	r->target = t;
	r->http = http;
	http->priv = r;
	r->request = strdup(get_header(r, "Test-Request"));
	r->key = parse_key(http);
	r->fault = parse_fault(r);
	r->service_ms = choose_service_ms(r);
	buf_init(&r->answer);
	bytes = get_header_number(r, "Test-Answer-Bytes", 0);
	common_answer_build(&r->answer, r->request, r->key,
			    (size_t)CLAMP(bytes, 0, COMMON_ANSWER_MAX_BYTES));
	return r;
}

static void answer_health(struct target *t, struct httpd_request *http)
{
	const struct load *l =
		t->opt.health_lag_ms ? &t->delayed_load : &t->load;
	double load = (double)(l->running + l->queued) / t->opt.concurrency;
	char text[160];

	if (t->opt.false_load >= 0)
		load = t->opt.false_load / 100.;
	g_snprintf(text, sizeof(text),
		   "{\"state\":\"%s\",\"running\":%d,\"queued\":%d,"
		   "\"load\":%.2f}\n",
		   t->stop_ms ? "draining" : "ok", l->running, l->queued, load);
	httpd_answer_text(http, 200, "application/json", text);
}

static void on_request(struct httpd_request *http, void *priv)
{
	struct target *t = priv;

	if (http->error != ERR_OK) {
		httpd_answer_text(http, 413, "text/plain", "too large\n");
		return;
	}
	if (common_stutter_control(&t->stutter, http))
		return;
	if (strcmp(http->path, "/health") == 0 ||
	    strcmp(http->path, "/load") == 0) {
		answer_health(t, http);
		return;
	}
	start_or_queue_run(run_new(t, http));
}

static void on_completed(struct httpd_request *http, void *priv)
{
	struct target *t = priv;
	struct run *r = http->priv;

	common_stutter_completed(&t->stutter, http);
	if (!r)
		return;
	ev_timer_stop(t->loop, &r->timer);
	if (r->state == RUN_QUEUED) {
		DL_DELETE(t->queue, r);
		t->load.queued--;
	} else if (r->state == RUN_RUNNING) {
		t->load.running--;
	}
	buf_finish(&r->answer);
	free(r->request);
	free(r->key);
	free(r);
	http->priv = NULL;
}

static const struct httpd_ops server_ops = {
	.request = on_request,
	.completed = on_completed,
};

static void set_announce_timer(struct target *t, int64_t ms)
{
	ev_timer_stop(t->loop, &t->announce_timer);
	ev_timer_set(&t->announce_timer, (double)ms / 1000., 0.);
	ev_timer_start(t->loop, &t->announce_timer);
}

static void on_announced(struct httpc_request *q, void *priv)
{
	struct target *t = priv;
	int taken = q->error == ERR_OK && q->status / 100 == 2;

	httpc_request_finish(q);
	t->announcement_in_flight = 0;
	if (strcmp(q->method, "DELETE") == 0) {
		t->withdrawn = 1;
		return;
	}
	if (taken != t->announced)
		log_info(taken ? "announced" : "announce_failed",
			 "service=%s status=%d error=%s", t->opt.service,
			 q->status, err_name(q->error));
	t->announced = taken;
	set_announce_timer(t, taken ? ANNOUNCE_PERIOD_MS : ANNOUNCE_RETRY_MS);
}

static const struct httpc_ops announce_ops = { .done = on_announced };

static void make_announcement(struct target *t)
{
	const struct target_options *o = &t->opt;
	int64_t cold_ms = t->cold_until_ms - clk_ms();
	json_t *checks = json_array();
	json_t *a;

	if (o->check_fence)
		json_array_append_new(checks, json_string("fence"));
	if (o->check_deadline)
		json_array_append_new(checks, json_string("deadline"));
	if (o->check_sender)
		json_array_append_new(checks, json_string("sender"));
	a = json_pack("{s:s,s:s,s:i,s:i,s:i,s:o}", "service", o->service,
		      "address", o->address, "port", o->port, "concurrency",
		      o->concurrency, "connections", o->connections, "checks",
		      checks);
	if (cold_ms > 0)
		json_object_set_new(a, "cold_ms", json_integer(cold_ms));
	free(t->announce_body);
	t->announce_body = json_dumps(a, JSON_COMPACT);
	json_decref(a);
}

static void announce(struct target *t, const char *method)
{
	static const struct httpc_header json = { "Content-Type",
						  "application/json" };
	struct httpc_request *q = &t->announcement;

	make_announcement(t);
	memset(q, 0, sizeof(*q));
	q->ops = &announce_ops;
	q->priv = t;
	q->method = method;
	q->url = t->announce_url;
	q->headers = &json;
	q->header_count = 1;
	q->body = t->announce_body;
	q->body_len = strlen(t->announce_body);
	q->timeout_ms = ANNOUNCE_TIMEOUT_MS;
	t->announcement_in_flight = httpc_start(&t->client, q) == ERR_OK;
}

static void on_announce_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct target *t = w->data;

	(void)loop;
	(void)events;
	if (!t->announcement_in_flight)
		announce(t, "POST");
}

static void on_health_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct target *t = w->data;

	(void)loop;
	(void)events;
	t->delayed_load = t->load;
}

static void on_stop_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct target *t = w->data;
	int64_t now = clk_ms();
	int idle = t->withdrawn && !t->load.running && !t->load.queued &&
		   now - t->last_work_ms >= STOP_IDLE_MS;

	(void)events;
	if (!idle && now - t->stop_ms < STOP_MAX_MS)
		return;
	log_info("stopped", "idle=%d", idle);
	ev_break(loop, EVBREAK_ALL);
}

static void on_signal(struct ev_loop *loop, ev_signal *w, int events)
{
	struct target *t = w->data;

	(void)events;
	if (t->stop_ms)
		return;
	t->stop_ms = clk_ms();
	t->last_work_ms = t->stop_ms;
	log_info("stopping", "running=%d queued=%d", t->load.running,
		 t->load.queued);
	ev_timer_start(loop, &t->stop_timer);
	if (!t->opt.daemon) {
		t->withdrawn = 1;
		return;
	}
	if (t->announcement_in_flight) {
		httpc_cancel(&t->announcement);
		httpc_request_finish(&t->announcement);
	}
	ev_timer_stop(loop, &t->announce_timer);
	announce(t, "DELETE");
	if (!t->announcement_in_flight)
		t->withdrawn = 1;
}

static void watch_signal(struct target *t, ev_signal *w, int number)
{
	ev_signal_init(w, on_signal, number);
	w->data = t;
	ev_signal_start(t->loop, w);
}

static void init_timers(struct target *t)
{
	double lag = t->opt.health_lag_ms / 1000.;

	ev_timer_init(&t->announce_timer, on_announce_timer, 0., 0.);
	ev_timer_init(&t->health_timer, on_health_timer, lag, lag);
	ev_timer_init(&t->stop_timer, on_stop_timer, 0.05, 0.05);
	t->announce_timer.data = t;
	t->health_timer.data = t;
	t->stop_timer.data = t;
	if (t->opt.daemon)
		ev_timer_start(t->loop, &t->announce_timer);
	if (t->opt.health_lag_ms)
		ev_timer_start(t->loop, &t->health_timer);
}

static enum err target_init(struct target *t, struct err_info *info)
{
	enum err e;

	t->loop = ev_default_loop(EVFLAG_AUTO);
	t->rand = g_rand_new_with_seed((guint32)t->opt.seed);
	common_stutter_init(&t->stutter, t->loop, (unsigned)t->opt.seed,
			    (unsigned)t->opt.stutter_percent, 0);
	if (t->opt.log) {
		t->log = common_history_open(t->opt.log, 1, info);
		if (!t->log)
			return info->code;
		common_history_write(t->log,
				     json_pack("{s:I,s:s}", "t_ns",
					       (json_int_t)clk_ns(), "ev",
					       "begin"),
				     1);
	}
	e = httpc_init(&t->client, t->loop, 1);
	if (e != ERR_OK)
		return err_set(info, e, "HTTP client");
	e = httpd_init(&t->server, t->loop, t->opt.address,
		       (unsigned)t->opt.port, MAX_BODY_BYTES, IDLE_SECONDS,
		       &server_ops, t, info);
	if (e != ERR_OK)
		return e;
	t->cold_until_ms = clk_ms() + t->opt.cold_ms;
	t->announce_url = g_strdup_printf("http://%s/announce", t->opt.daemon);
	init_timers(t);
	watch_signal(t, &t->on_term, SIGTERM);
	watch_signal(t, &t->on_int, SIGINT);
	return ERR_OK;
}

static void target_finish(struct target *t)
{
	struct slot_fence *s;
	struct slot_fence *tmp;

	httpd_finish(&t->server);
	common_stutter_finish(&t->stutter);
	if (t->announcement_in_flight) {
		httpc_cancel(&t->announcement);
		httpc_request_finish(&t->announcement);
	}
	httpc_finish(&t->client);
	HASH_ITER(hh, t->slots, s, tmp) {
		HASH_DEL(t->slots, s);
		free(s->name);
		free(s);
	}
	if (t->log)
		fclose(t->log);
	if (t->rand)
		g_rand_free(t->rand);
	free(t->announce_body);
	g_free(t->announce_url);
	if (t->loop)
		ev_loop_destroy(t->loop);
}

int main(int argc, char **argv)
{
	struct target t = { 0 };
	struct err_info info = { 0 };
	enum err e;

	common_targetopt_parse(&t.opt, argc, argv);
	signal(SIGPIPE, SIG_IGN);
	log_setup(t.opt.name, LOG_INFO);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	e = target_init(&t, &info);
	if (e == ERR_OK) {
		log_info("listening", "address=%s port=%d service=%s",
			 t.opt.address, t.opt.port, t.opt.service);
		ev_run(t.loop, 0);
	} else {
		log_error("start_failed", "error=%s detail=%s", err_name(e),
			  LOG_Q(info.detail));
	}
	target_finish(&t);
	curl_global_cleanup();
	return e == ERR_OK ? 0 : 1;
}
