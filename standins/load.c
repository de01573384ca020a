/*
 * mpin-load: load generator with open-loop arrivals at a given rate. Latency
 * counts from the time at which a request was meant to be sent, so that a
 * stall of the generator or of the router shows in each request it delayed.
 */
#include "common/clk.h"
#include "common/log.h"
#include "standins/common_answer.h"
#include "standins/common_history.h"
#include "standins/common_loadopt.h"
#include "standins/common_report.h"
#include "transport/httpc.h"

#include <errno.h>
#include <glib.h>
#include <math.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/timerfd.h>
#include <unistd.h>
#include <utlist.h>
#include <xxhash.h>

#define URL_BYTES 512
/* Open requests are cancelled this long after the last one's timeout. */
#define END_GRACE_MS 1000
/*
 * Offset by which a shift moves the popular keys; a prime number, so that
 * successive sets of popular keys differ.
 */
#define HOT_SHIFT_KEYS 7919
/* A daemon that refused a connection gets no requests for this long. */
#define REFUSED_BACKOFF_MS 1000
#define MAX_CONNECT_TRIES 4

struct load;

struct call {
	struct load *load;
	struct httpc_request http;
	const struct load_service *service;
	const char *method;
	const char *fault; /* Test-Fault, or NULL */
	int has_idempotency_key;
	int idempotent;
	int connect_tries;    /* connections that were refused */
	unsigned destination; /* index into the options' destinations */
	int64_t intended_ns;
	char request[LOAD_NAME_BYTES * 2];
	char key[LOAD_NAME_BYTES];
	char tenant[LOAD_NAME_BYTES];
	char url[URL_BYTES];
	char class_name[LOAD_NAME_BYTES * 2];
	struct call *prev;
	struct call *next;
};

struct load {
	struct load_options opt;
	struct ev_loop *loop;
	struct httpc client;
	struct common_report report;
	FILE *history;
	GRand *rand;
	double *zipf_cumulative; /* cumulative probability of keys by rank */
	char *body;
	char deadline[16];
	char answer_bytes[16];
	int timer_fd;
	ev_io arrival;
	ev_timer end_timer;
	ev_signal on_term;
	ev_signal on_int;
	int64_t start_ns;
	int64_t next_arrival_ns;
	uint64_t request_count;
	unsigned open_count;
	struct call *calls;
	int stopping;
	uint64_t wrong_bodies;
	/* Destinations get no requests before this time. */
	int64_t avoid_until_ms[LOAD_MAX_DESTINATIONS];
};

/*
 * Returns the outcome as in enum report_outcome. Targets that are called
 * directly state none: there it follows from Monsoonpin-Refused.
 */
static const char *get_outcome(const struct call *c, char *buf, size_t size)
{
	const struct httpc_request *q = &c->http;

	if (q->error != ERR_OK)
		return "none";
	httpc_copy_header(q, "Monsoonpin-Outcome", buf, size);
	if (buf[0])
		return buf;
	if (!c->load->opt.direct)
		return "missing";
	httpc_copy_header(q, "Monsoonpin-Refused", buf, size);
	return buf[0] ? "not-run" : "answered";
}

static int check_body(const struct call *c)
{
	return common_answer_check(c->http.answer.data, c->http.answer.len,
				   c->request, c->key);
}

static void write_sent(const struct call *c, int64_t now_ns)
{
	json_t *line;

	if (!c->load->history)
		return;
	line = json_pack("{s:I,s:s,s:s,s:s,s:s,s:s,s:b,s:I}", "t_ns",
			 (json_int_t)now_ns, "ev", "send", "request",
			 c->request, "service", c->service->name, "key", c->key,
			 "method", c->method, "idempotent", c->idempotent,
			 "intended_ns", (json_int_t)c->intended_ns);
	common_history_write(c->load->history, line, 0);
}

static void add_header_text(json_t *line, const struct call *c,
			    const char *member, const char *name)
{
	char value[LOAD_NAME_BYTES * 2];

	httpc_copy_header(&c->http, name, value, sizeof(value));
	json_object_set_new(line, member, json_string(value));
}

static void write_heard(const struct call *c, int64_t now_ns,
			const char *outcome, int body_ok)
{
	const struct httpc_request *q = &c->http;
	int answered = strcmp(outcome, "answered") == 0;
	json_t *line;

	if (!c->load->history)
		return;
	line = json_pack("{s:I,s:s,s:s,s:s,s:s,s:s,s:b,s:i,s:s,s:s}", "t_ns",
			 (json_int_t)now_ns, "ev", "heard", "request",
			 c->request, "service", c->service->name, "key", c->key,
			 "method", c->method, "idempotent", c->idempotent,
			 "status", q->error == ERR_OK ? q->status : 0,
			 "outcome", outcome, "error", err_name(q->error));
	add_header_text(line, c, "owner", "Monsoonpin-Owner");
	add_header_text(line, c, "attempt", "Monsoonpin-Attempt");
	add_header_text(line, c, "map_revision", "Monsoonpin-Map-Revision");
	json_object_set_new(line, "body_ok",
			    answered ? json_boolean(body_ok) : json_null());
	json_object_set_new(
		line, "to",
		json_string(c->load->opt.destinations[c->destination].address));
	common_history_write(c->load->history, line, 0);
}

static void stop_if_done(struct load *l)
{
	if (l->stopping && !l->open_count)
		ev_break(l->loop, EVBREAK_ALL);
}

static void finish_call(struct call *c)
{
	struct load *l = c->load;
	int64_t now_ns = clk_ns();
	char buf[LOAD_NAME_BYTES];
	const char *outcome = get_outcome(c, buf, sizeof(buf));
	enum report_outcome o = common_report_parse_outcome(outcome);
	int body_ok = o == REPORT_ANSWERED && check_body(c);
	int status = c->http.error == ERR_OK ? c->http.status : 0;

	write_heard(c, now_ns, outcome, body_ok);
	if (o == REPORT_ANSWERED && !body_ok)
		l->wrong_bodies++;
	common_report_add(&l->report, c->class_name, o, status,
			  (uint64_t)(now_ns - c->intended_ns) / 1000,
			  (c->intended_ns - l->start_ns) / 1000000);
	httpc_request_finish(&c->http);
	DL_DELETE(l->calls, c);
	free(c);
	l->open_count--;
	stop_if_done(l);
}

static int send_call(struct call *c);

/*
 * A caller whose connection is not established (refused, or reset out of the
 * backlog of a daemon that stops) tries another daemon. This does not repeat
 * the request, which was never sent.
 */
static void on_done(struct httpc_request *q, void *priv)
{
	struct call *c = priv;
	struct load *l = c->load;
	int unconnected = q->connect_errno && !q->send_started;

	if (unconnected)
		l->avoid_until_ms[c->destination] =
			clk_ms() + REFUSED_BACKOFF_MS;
	if (!unconnected || l->opt.direct ||
	    ++c->connect_tries == MAX_CONNECT_TRIES) {
		finish_call(c);
		return;
	}
	httpc_request_finish(q);
	if (!send_call(c))
		finish_call(c);
}

/* Stops libcurl from sending a request again after its connection broke. */
static enum err before_send(struct httpc_request *q, void *priv)
{
	return q->sends > 1 ? ERR_CLOSED : ERR_OK;
}

static const struct httpc_ops call_ops = { before_send, NULL, on_done };

static const struct load_service *choose_service(struct load *l)
{
	double sum = 0;
	double at;

	for (int i = 0; i < l->opt.service_count; i++)
		sum += l->opt.services[i].share;
	at = g_rand_double(l->rand) * sum;
	for (int i = 0; i < l->opt.service_count - 1; i++) {
		at -= l->opt.services[i].share;
		if (at < 0)
			return &l->opt.services[i];
	}
	return &l->opt.services[l->opt.service_count - 1];
}

static int choose_key(struct load *l, int64_t at_ns)
{
	double u = g_rand_double(l->rand);
	int64_t shift = 0;
	int low = 0;
	int high = l->opt.key_count - 1;

	while (low < high) {
		int mid = low + (high - low) / 2;

		if (l->zipf_cumulative[mid] < u)
			low = mid + 1;
		else
			high = mid;
	}
	if (l->opt.hot_shift_s > 0)
		shift = (int64_t)((double)(at_ns - l->start_ns) / 1e9 /
				  l->opt.hot_shift_s);
	return (int)((low + shift * HOT_SHIFT_KEYS) % l->opt.key_count);
}

static const char *choose_fault_name(struct load *l)
{
	double at = l->opt.fault_count ? g_rand_double(l->rand) : 0;

	for (int i = 0; i < l->opt.fault_count; i++) {
		at -= l->opt.faults[i].share;
		if (at < 0)
			return l->opt.faults[i].name;
	}
	return NULL;
}

static int is_destination_of(const struct load *l, unsigned destination,
			     const struct call *c)
{
	const struct load_destination *t = &l->opt.destinations[destination];

	return !t->service[0] || strcmp(t->service, c->service->name) == 0;
}

/*
 * Returns the index of a destination of the call's service. In direct mode, all
 * requests for a key go to the same target. Otherwise prefers daemons that did
 * not refuse a connection lately.
 */
static unsigned choose_destination(struct load *l, const struct call *c)
{
	unsigned candidates[LOAD_MAX_DESTINATIONS];
	unsigned reachable[LOAD_MAX_DESTINATIONS];
	unsigned candidate_count = 0;
	unsigned reachable_count = 0;
	int64_t now_ms = clk_ms();

	for (unsigned i = 0; i < (unsigned)l->opt.destination_count; i++) {
		if (!is_destination_of(l, i, c))
			continue;
		candidates[candidate_count++] = i;
		if (l->avoid_until_ms[i] <= now_ms)
			reachable[reachable_count++] = i;
	}
	if (!candidate_count) /* ruled out by the check of the options */
		abort();
	if (l->opt.direct)
		return candidates[XXH3_64bits(c->key, strlen(c->key)) %
				  candidate_count];
	if (reachable_count)
		return reachable[g_rand_int_range(l->rand, 0,
						  (gint32)reachable_count)];
	return candidates[g_rand_int_range(l->rand, 0,
					   (gint32)candidate_count)];
}

static void choose_request_class(struct load *l, struct call *c)
{
	int post = g_rand_double(l->rand) < l->opt.post_share;

	c->method = post ? "POST" : "GET";
	c->has_idempotency_key =
		post && g_rand_double(l->rand) < l->opt.idempotency_key_share;
	c->idempotent = !post || (c->has_idempotency_key &&
				  c->service->honours_idempotency_key);
	c->fault = choose_fault_name(l);
	snprintf(c->class_name, sizeof(c->class_name), "%s %s%s",
		 c->service->name, c->method,
		 c->has_idempotency_key ? " with key" : "");
	snprintf(c->tenant, sizeof(c->tenant), "tenant-%d",
		 g_rand_int_range(l->rand, 0, l->opt.tenant_count));
}

static void add_header(struct call *c, struct httpc_header *list,
		       const char *name, const char *value)
{
	list[c->http.header_count].name = name;
	list[c->http.header_count].value = value;
	c->http.header_count++;
}

static void add_headers(struct load *l, struct call *c,
			struct httpc_header *list)
{
	c->http.header_count = 0;
	add_header(c, list, "Test-Request", c->request);
	add_header(c, list, "Monsoonpin-Tenant", c->tenant);
	if (c->has_idempotency_key)
		add_header(c, list, "Idempotency-Key", c->request);
	if (c->service->key_header[0]) {
		add_header(c, list, c->service->key_header, c->key);
		add_header(c, list, "Test-Key", c->key);
	}
	if (l->opt.deadline_ms)
		add_header(c, list, "Monsoonpin-Deadline-Ms", l->deadline);
	if (l->opt.answer_bytes)
		add_header(c, list, "Test-Answer-Bytes", l->answer_bytes);
	if (c->fault)
		add_header(c, list, "Test-Fault", c->fault);
	for (int i = 0; i < l->opt.header_count; i++)
		add_header(c, list, l->opt.headers[i].name,
			   l->opt.headers[i].value);
}

/* Returns 0 if the request could not be started. */
static int send_call(struct call *c)
{
	struct httpc_header headers[LOAD_MAX_HEADERS + 8];
	struct load *l = c->load;

	c->destination = choose_destination(l, c);
	snprintf(c->url, sizeof(c->url), "http://%s%s%s",
		 l->opt.destinations[c->destination].address,
		 c->service->prefix,
		 c->service->key_header[0] ? "item" : c->key);
	add_headers(l, c, headers);
	c->http.headers = headers;
	if (httpc_start(&l->client, &c->http) == ERR_OK)
		return 1;
	c->http.error = ERR_SYSTEM;
	return 0;
}

static void start_call(struct load *l, struct call *c)
{
	c->http.ops = &call_ops;
	c->http.priv = c;
	c->http.method = c->method;
	c->http.url = c->url;
	c->http.timeout_ms = l->opt.timeout_ms;
	c->http.max_body_bytes = (size_t)COMMON_ANSWER_MAX_BYTES * 2;
	if (strcmp(c->method, "POST") == 0) {
		c->http.body = l->body;
		c->http.body_len = (size_t)l->opt.body_bytes;
	}
	write_sent(c, clk_ns());
	if (!send_call(c))
		finish_call(c);
}

static void start_request(struct load *l, int64_t intended_ns)
{
	const struct load_service *s = choose_service(l);
	int key = choose_key(l, intended_ns);
	struct call *c;

	if (l->open_count >= (unsigned)l->opt.max_open) {
		common_report_add(&l->report, s->name, REPORT_UNSENT, 0, 0,
				  (intended_ns - l->start_ns) / 1000000);
		return;
	}
	c = calloc(1, sizeof(*c));
	if (!c)
		abort();
	c->load = l;
	c->service = s;
	c->intended_ns = intended_ns;
	snprintf(c->key, sizeof(c->key), "k%d", key);
	snprintf(c->request, sizeof(c->request), "%s-%" G_GUINT64_FORMAT,
		 l->opt.name, ++l->request_count);
	DL_APPEND(l->calls, c);
	l->open_count++;
	choose_request_class(l, c);
	start_call(l, c);
}

/* Exponentially distributed intervals make arrivals a Poisson process. */
static void schedule_next_arrival(struct load *l)
{
	double u = 1. - g_rand_double(l->rand);
	struct itimerspec at = { 0 };

	l->next_arrival_ns += (int64_t)(-log(u) / l->opt.rate * 1e9);
	at.it_value.tv_sec = l->next_arrival_ns / 1000000000;
	at.it_value.tv_nsec = l->next_arrival_ns % 1000000000;
	timerfd_settime(l->timer_fd, TFD_TIMER_ABSTIME, &at, NULL);
}

static void stop_arrivals(struct load *l)
{
	if (l->stopping)
		return;
	l->stopping = 1;
	ev_io_stop(l->loop, &l->arrival);
	ev_timer_set(&l->end_timer, (l->opt.timeout_ms + END_GRACE_MS) / 1000.,
		     0.);
	ev_timer_start(l->loop, &l->end_timer);
	stop_if_done(l);
}

static void on_arrival(struct ev_loop *loop, ev_io *w, int events)
{
	struct load *l = w->data;
	int64_t load_end_ns = l->start_ns + (int64_t)(l->opt.seconds * 1e9);
	uint64_t expirations;

	(void)loop;
	(void)events;
	if (read(l->timer_fd, &expirations, sizeof(expirations)) < 0)
		return;
	while (l->next_arrival_ns <= clk_ns() &&
	       l->next_arrival_ns < load_end_ns) {
		start_request(l, l->next_arrival_ns);
		schedule_next_arrival(l);
	}
	if (l->next_arrival_ns >= load_end_ns)
		stop_arrivals(l);
}

static void on_end_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)w;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static void on_signal(struct ev_loop *loop, ev_signal *w, int events)
{
	(void)loop;
	(void)events;
	stop_arrivals(w->data);
}

static enum err init_zipf(struct load *l)
{
	double sum = 0;

	l->zipf_cumulative =
		calloc((size_t)l->opt.key_count, sizeof(*l->zipf_cumulative));
	if (!l->zipf_cumulative)
		return ERR_NOMEM;
	for (int i = 0; i < l->opt.key_count; i++) {
		sum += pow(i + 1, -l->opt.zipf_exponent);
		l->zipf_cumulative[i] = sum;
	}
	for (int i = 0; i < l->opt.key_count; i++)
		l->zipf_cumulative[i] /= sum;
	return ERR_OK;
}

static void watch_signal(struct load *l, ev_signal *w, int number)
{
	ev_signal_init(w, on_signal, number);
	w->data = l;
	ev_signal_start(l->loop, w);
}

static void init_watchers(struct load *l)
{
	ev_io_init(&l->arrival, on_arrival, l->timer_fd, EV_READ);
	ev_timer_init(&l->end_timer, on_end_timer, 0., 0.);
	l->arrival.data = l;
	ev_io_start(l->loop, &l->arrival);
	watch_signal(l, &l->on_term, SIGTERM);
	watch_signal(l, &l->on_int, SIGINT);
}

static enum err load_init(struct load *l, struct err_info *info)
{
	enum err e;

	l->loop = ev_default_loop(EVFLAG_AUTO);
	l->rand = g_rand_new_with_seed((guint32)l->opt.seed);
	l->body = g_strnfill((gsize)l->opt.body_bytes, 'x');
	snprintf(l->deadline, sizeof(l->deadline), "%d", l->opt.deadline_ms);
	snprintf(l->answer_bytes, sizeof(l->answer_bytes), "%d",
		 l->opt.answer_bytes);
	if (l->opt.history) {
		l->history = common_history_open(l->opt.history, 0, info);
		if (!l->history)
			return info->code;
	}
	e = init_zipf(l);
	if (e == ERR_OK)
		e = common_report_init(&l->report,
				       (int64_t)(l->opt.seconds * 1000));
	if (e == ERR_OK)
		e = httpc_init(&l->client, l->loop,
			       (unsigned)l->opt.connections);
	if (e != ERR_OK)
		return err_set(info, e, "cannot set up the load");
	l->timer_fd =
		timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
	if (l->timer_fd < 0)
		return err_set(info, ERR_SYSTEM, "timerfd: %s",
			       strerror(errno));
	init_watchers(l);
	return ERR_OK;
}

static void cancel_open_calls(struct load *l)
{
	while (l->calls) {
		struct call *c = l->calls;

		httpc_cancel(&c->http);
		c->http.error = ERR_TIMEOUT;
		finish_call(c);
	}
}

static void load_finish(struct load *l)
{
	httpc_finish(&l->client);
	common_report_finish(&l->report);
	if (l->history)
		fclose(l->history);
	if (l->rand)
		g_rand_free(l->rand);
	if (l->timer_fd >= 0)
		close(l->timer_fd);
	free(l->zipf_cumulative);
	g_free(l->body);
	ev_loop_destroy(l->loop);
}

static enum err write_report(struct load *l, struct err_info *info)
{
	int to_stdout = strcmp(l->opt.report, "-") == 0;
	FILE *out = to_stdout ? stdout
			      : common_history_open(l->opt.report, 0, info);
	uint64_t answered = common_report_count(&l->report, REPORT_ANSWERED);

	if (!out)
		return info->code;
	fprintf(out,
		"sent %" G_GUINT64_FORMAT
		" at %g/s for %g s, answered %" G_GUINT64_FORMAT
		" (%.1f/s), wrong bodies %" G_GUINT64_FORMAT "\n",
		l->request_count, l->opt.rate, l->opt.seconds, answered,
		(double)answered / l->opt.seconds, l->wrong_bodies);
	common_report_write_text(&l->report, out);
	if (!to_stdout)
		fclose(out);
	return ERR_OK;
}

static enum err run_load(struct load *l, struct err_info *info)
{
	enum err e;

	l->start_ns = clk_ns();
	l->next_arrival_ns = l->start_ns;
	schedule_next_arrival(l);
	ev_run(l->loop, 0);
	cancel_open_calls(l);
	e = write_report(l, info);
	if (e == ERR_OK && l->opt.svg)
		e = common_report_write_svg(&l->report, l->opt.svg, info);
	return e;
}

int main(int argc, char **argv)
{
	static struct load load = { .timer_fd = -1 };
	struct err_info info = { 0 };
	enum err e;

	common_loadopt_parse(&load.opt, argc, argv);
	signal(SIGPIPE, SIG_IGN);
	log_setup(load.opt.name, LOG_INFO);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	e = load_init(&load, &info);
	if (e == ERR_OK)
		e = run_load(&load, &info);
	if (e != ERR_OK)
		log_error("load_failed", "error=%s detail=%s", err_name(e),
			  LOG_Q(info.detail));
	load_finish(&load);
	curl_global_cleanup();
	return e == ERR_OK ? 0 : 1;
}
