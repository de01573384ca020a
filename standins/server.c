#include "common/clk.h"
#include "config/opt.h"
#include "standins/common_stutter.h"
#include "transport/httpc.h"
#include "transport/httpd.h"

#include <argp.h>
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * mpin-server: stand-in for a target on the platform. It announces itself to
 * the daemon beside it with periodic heartbeats, whose answers state the
 * ranges of keys that it holds and for how long. It runs requests only while
 * it holds their keys. It prints a line for each request that it runs, for
 * each change of the ranges, and for each range that it does not accept:
 *
 *	born MS
 *	run ATTEMPT KEY CALLER
 *	holds at=MS FIRST-LAST/FENCE ...
 *	refused FIRST-LAST/FENCE
 *	answer ATTEMPT STATUS N
 *
 * MS is the time of the change by clk_ms(), which all processes share; of
 * "born", the wall-clock time of the start that the heartbeats state.
 *
 * While it mixes bytes of several answers (standins/common_stutter.h), it
 *prints a line "answer" for each. N numbers them; the header X-Answer and the
 *body, whose length varies, repeat ATTEMPT, STATUS and N.
 */

#define SERVER_MAX_BODY_BYTES (16 * 1024 * 1024)
#define SERVER_IDLE_SECONDS 10
#define SERVER_MAX_RANGES 512
/* Time to the next heartbeat if that is to report released ranges. */
#define SERVER_RELEASE_MS 100
/* Most filler bytes in the body of a numbered answer. */
#define SERVER_MAX_FILLER 400

/* Keys from first to last, inclusive, that are held with a fence. */
struct range {
	uint32_t first;
	uint32_t last;
	int64_t fence;
};

struct options {
	unsigned port;
	unsigned control_port;
	const char *id; /* of this run of the server */
	const char *service;
	unsigned heartbeat_ms; /* period */
	unsigned work_ms;      /* time that one request runs */
	unsigned seed;
	unsigned stutter_percent; /* of answers, with bytes of others */
};

struct server {
	struct options o;
	struct ev_loop *loop;
	struct httpd httpd;
	struct common_stutter stutter;
	unsigned answer_count; /* numbered answers */
	struct httpc client;
	struct httpc_request heartbeat;
	int heartbeat_in_flight;
	char *heartbeat_url;
	char *heartbeat_body;
	ev_timer heartbeat_timer;
	int64_t started_ms;
	int64_t sequence;
	int64_t heartbeat_sent_ms;
	struct range held[SERVER_MAX_RANGES];
	size_t held_count;
	struct range released[SERVER_MAX_RANGES]; /* to report next */
	size_t released_count;
	int64_t hold_expires_ms;      /* of all held ranges */
	ev_timer hold_timer;	      /* logs the end of the hold */
	int64_t highest_fence[65536]; /* highest fence seen, by key */
	int draining;
	int says_leaving; /* in its answers, not in its announcements */
};

/* A request that is running. */
struct run {
	struct server *s;
	struct httpd_request *r;
	ev_timer timer;
};

static int holds_key(const struct server *s, uint32_t key)
{
	if (clk_ms() >= s->hold_expires_ms)
		return 0;
	for (size_t i = 0; i < s->held_count; i++) {
		if (s->held[i].first <= key && key <= s->held[i].last)
			return 1;
	}
	return 0;
}

static void print_held_ranges(const struct server *s, int64_t now_ms)
{
	printf("holds at=%lld", (long long)now_ms);
	for (size_t i = 0; i < s->held_count; i++)
		printf(" %u-%u/%lld", s->held[i].first, s->held[i].last,
		       (long long)s->held[i].fence);
	printf("\n");
	fflush(stdout);
}

/* The log must not show ranges as held after their time. */
static void on_hold_expired(struct ev_loop *loop, ev_timer *w, int events)
{
	struct server *s = w->data;

	(void)loop;
	(void)events;
	if (!s->held_count)
		return;
	s->held_count = 0;
	print_held_ranges(s, s->hold_expires_ms);
}

static void set_hold_end(struct server *s, int64_t end_ms)
{
	double left_ms = (double)(end_ms - clk_ms());

	s->hold_expires_ms = end_ms;
	ev_now_update(s->loop);
	ev_timer_stop(s->loop, &s->hold_timer);
	ev_timer_set(&s->hold_timer, left_ms > 0 ? left_ms / 1000. : 0., 0.);
	ev_timer_start(s->loop, &s->hold_timer);
}

/* ---- requests ---- */

static void answer_refused(struct server *s, struct httpd_request *r,
			   unsigned status)
{
	const char *id = httpd_get_header(r, "X-Attempt-Id");
	const struct httpd_header h[] = { { "X-Not-Executed", "1" },
					  { "X-Instance-Id", s->o.id },
					  { "X-Attempt-Id", id ? id : "-" } };

	common_stutter_answer(&s->stutter, r, status, h, 3, "", 0);
}

/* Answers such that no two answers have equal headers or bodies. */
static void answer_numbered(struct server *s, struct httpd_request *r,
			    unsigned status)
{
	const char *id = httpd_get_header(r, "X-Attempt-Id");
	char number[96];
	const struct httpd_header h[] = {
		{ "X-Attempt-Id", id ? id : "-" }, { "X-Server-Seal", s->o.id },
		{ "X-Instance-Id", s->o.id },	   { "X-Answer", number },
		{ "X-Server-Load", "1,0,4" },
	};
	struct buf body;
	size_t filler;

	snprintf(number, sizeof(number), "%.60s %u %u", id ? id : "-", status,
		 ++s->answer_count);
	printf("answer %s\n", number);
	fflush(stdout);
	filler = s->answer_count * 37 % SERVER_MAX_FILLER;
	buf_init(&body);
	buf_addf(&body, "%s %0*u\n", number, (int)filler + 1, 0);
	common_stutter_answer(&s->stutter, r, status, h, 5, body.data,
			      body.len);
	buf_finish(&body);
}

static void answer(struct server *s, struct httpd_request *r)
{
	const char *id = httpd_get_header(r, "X-Attempt-Id");
	const struct httpd_header h[] = {
		{ "X-Attempt-Id", id ? id : "-" }, { "X-Server-Seal", s->o.id },
		{ "X-Instance-Id", s->o.id },	   { "X-Server-Load", "1,0,4" },
		{ "Server-Leaving", "1" },
	};

	if (s->stutter.percent) {
		answer_numbered(s, r,
				common_stutter_choose_status(&s->stutter));
		return;
	}
	httpd_answer(r, 200, h, s->says_leaving ? 5 : 4, "done\n", 5);
}

static void on_work_done(struct ev_loop *loop, ev_timer *w, int events)
{
	struct run *run = w->data;

	(void)loop;
	(void)events;
	run->r->priv = NULL;
	answer(run->s, run->r);
	free(run);
}

static void start_run(struct server *s, struct httpd_request *r,
		      const char *key)
{
	const char *id = httpd_get_header(r, "X-Attempt-Id");
	const char *caller = httpd_get_header(r, "X-Caller-Service");
	struct run *run;

	printf("run %s %s %s\n", id ? id : "-", key ? key : "-",
	       caller ? caller : "-");
	fflush(stdout);
	if (!s->o.work_ms) {
		answer(s, r);
		return;
	}
	run = calloc(1, sizeof(*run));
	run->s = s;
	run->r = r;
	r->priv = run;
	ev_timer_init(&run->timer, on_work_done, s->o.work_ms / 1000., 0.);
	run->timer.data = run;
	ev_timer_start(s->loop, &run->timer);
}

static void on_request(struct httpd_request *r, void *priv)
{
	struct server *s = priv;
	const char *expected = httpd_get_header(r, "X-Expected-Instance");
	const char *key = httpd_get_header(r, "X-Shard-Key");

	r->priv = NULL;
	if (common_stutter_control(&s->stutter, r))
		return;
	if (expected && strcmp(expected, s->o.id) != 0)
		answer_refused(s, r, 421);
	else if (key && !holds_key(s, (uint32_t)strtoul(key, NULL, 10)))
		answer_refused(s, r, 421);
	else if (common_stutter_chooses_refusal(&s->stutter))
		answer_refused(s, r, 503);
	else
		start_run(s, r, key);
}

static void on_completed(struct httpd_request *r, void *priv)
{
	struct server *s = priv;
	struct run *run = r->priv;

	common_stutter_completed(&s->stutter, r);
	if (!run)
		return;
	ev_timer_stop(run->s->loop, &run->timer);
	free(run);
}

static const struct httpd_ops server_ops = {
	.request = on_request,
	.completed = on_completed,
};

/* ---- announcements ---- */

static void schedule_heartbeat(struct server *s, unsigned ms)
{
	ev_timer_stop(s->loop, &s->heartbeat_timer);
	ev_timer_set(&s->heartbeat_timer, ms / 1000., 0.);
	ev_timer_start(s->loop, &s->heartbeat_timer);
}

/* Returns the highest fence that was seen for any key of the range. */
static int64_t find_highest_fence(const struct server *s,
				  const struct range *range)
{
	int64_t fence = 0;

	for (uint32_t key = range->first; key <= range->last; key++) {
		if (s->highest_fence[key] > fence)
			fence = s->highest_fence[key];
	}
	return fence;
}

/* Returns 0 if the range is refused. */
static int parse_range(struct server *s, const json_t *item,
		       struct range *range)
{
	range->first = (uint32_t)json_integer_value(json_array_get(item, 0));
	range->last = (uint32_t)json_integer_value(json_array_get(item, 1));
	range->fence = json_integer_value(json_array_get(item, 2));
	/* A lower fence than one seen before is from an outdated answer. */
	if (range->fence < find_highest_fence(s, range)) {
		printf("refused %u-%u/%lld\n", range->first, range->last,
		       (long long)range->fence);
		return 0;
	}
	return 1;
}

static int is_covered(const struct range *ranges, size_t count,
		      const struct range *r)
{
	for (size_t i = 0; i < count; i++) {
		if (ranges[i].first <= r->first && r->last <= ranges[i].last)
			return 1;
	}
	return 0;
}

/*
 * Sets the held ranges to those of a heartbeat's answer. Held ranges that the
 * answer leaves out are released; returns 1 if there are any.
 */
static int update_held_ranges(struct server *s, const json_t *list)
{
	struct range ranges[SERVER_MAX_RANGES];
	size_t count = 0;
	size_t i;
	json_t *item;

	json_array_foreach(list, i, item) {
		if (count < SERVER_MAX_RANGES &&
		    parse_range(s, item, &ranges[count]))
			count++;
	}
	s->released_count = 0;
	for (i = 0; i < s->held_count; i++) {
		if (!is_covered(ranges, count, &s->held[i]))
			s->released[s->released_count++] = s->held[i];
	}
	for (i = 0; i < count; i++) {
		for (uint32_t key = ranges[i].first; key <= ranges[i].last;
		     key++)
			s->highest_fence[key] = ranges[i].fence;
	}
	if (count != s->held_count ||
	    memcmp(ranges, s->held, count * sizeof(ranges[0])) != 0) {
		memcpy(s->held, ranges, count * sizeof(ranges[0]));
		s->held_count = count;
		print_held_ranges(s, clk_ms());
	}
	return s->released_count != 0;
}

static void on_heartbeat_done(struct httpc_request *q, void *priv)
{
	struct server *s = priv;
	json_t *root = NULL;
	const char *time;
	int has_released = 0;
	double ms;

	s->heartbeat_in_flight = 0;
	if (q->error == ERR_OK && q->status == 200)
		root = json_loadb(buf_text(&q->answer), q->answer.len, 0, NULL);
	time = json_string_value(json_object_get(root, "hold_time"));
	if (time && opt_parse_time(time, &ms) == ERR_OK) {
		has_released =
			update_held_ranges(s, json_object_get(root, "holds"));
		set_hold_end(s, s->heartbeat_sent_ms + (int64_t)ms);
	}
	json_decref(root);
	httpc_request_finish(q);
	schedule_heartbeat(s, has_released ? SERVER_RELEASE_MS
					   : s->o.heartbeat_ms);
}

static const struct httpc_ops heartbeat_ops = { .done = on_heartbeat_done };

static json_t *new_range_list(const struct range *ranges, size_t count,
			      int released)
{
	json_t *list = json_array();

	for (size_t i = 0; i < count; i++) {
		if (released)
			json_array_append_new(
				list,
				json_pack("[i,i,s]", (int)ranges[i].first,
					  (int)ranges[i].last, "5c0e7a21"));
		else
			json_array_append_new(
				list, json_pack("[i,i,I]", (int)ranges[i].first,
						(int)ranges[i].last,
						(json_int_t)ranges[i].fence));
	}
	return list;
}

static void send_heartbeat(struct server *s)
{
	static const struct httpc_header json = { "Content-Type",
						  "application/json" };
	char address[32];
	json_t *root;

	snprintf(address, sizeof(address), "127.0.0.1:%u", s->o.port);
	root = json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:s,s:I,s:I,s:o,s:o}",
			 "service", s->o.service, "address", address, "zone",
			 "z", "version", "v1", "slots", 4, "state",
			 s->draining ? "draining" : "ready", "coldRemaining",
			 "0ms", "sequence", (json_int_t)++s->sequence, "born",
			 (json_int_t)s->started_ms, "holds",
			 new_range_list(s->held, s->held_count, 0), "released",
			 new_range_list(s->released, s->released_count, 1));
	free(s->heartbeat_body);
	s->heartbeat_body = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	s->heartbeat_sent_ms = clk_ms();
	s->heartbeat = (struct httpc_request){
		.ops = &heartbeat_ops,
		.priv = s,
		.method = "POST",
		.url = s->heartbeat_url,
		.headers = &json,
		.header_count = 1,
		.body = s->heartbeat_body,
		.body_len = strlen(s->heartbeat_body),
		.timeout_ms = 1000,
	};
	if (httpc_start(&s->client, &s->heartbeat) == ERR_OK)
		s->heartbeat_in_flight = 1;
	else
		schedule_heartbeat(s, s->o.heartbeat_ms);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct server *s = w->data;

	(void)loop;
	(void)events;
	if (!s->heartbeat_in_flight)
		send_heartbeat(s);
}

/* ---- start ---- */

static void on_drain(struct ev_loop *loop, ev_signal *w, int events)
{
	struct server *s = w->data;

	(void)loop;
	(void)events;
	s->draining = 1;
	schedule_heartbeat(s, 0);
}

static void on_usr2_signal(struct ev_loop *loop, ev_signal *w, int events)
{
	struct server *s = w->data;

	(void)loop;
	(void)events;
	s->says_leaving = 1;
}

static void on_stop(struct ev_loop *loop, ev_signal *w, int events)
{
	(void)w;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static const struct argp_option option_table[] = {
	{ "port", 'p', "PORT", 0, "TCP port", 0 },
	{ "control", 'c', "PORT", 0, "control port of the daemon", 0 },
	{ "id", 'i', "ID", 0, "id of this run of the server", 0 },
	{ "service", 's', "NAME", 0, "name of the service", 0 },
	{ "beat-ms", 'b', "N", 0, "period of announcements (200)", 0 },
	{ "work-ms", 'w', "N", 0, "time that a request runs (0)", 0 },
	{ "seed", 'r', "N", 0, "seed of the random numbers (1)", 0 },
	{ "stutter", 'u', "PERCENT", 0,
	  "answers that are written twice or behind others, or parts of them "
	  "(0); GET /control/stutter?percent=N changes it",
	  0 },
	{ 0 }
};

static error_t parse_option(int key, char *text, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case 'p':
		o->port = (unsigned)strtoul(text, NULL, 10);
		return 0;
	case 'c':
		o->control_port = (unsigned)strtoul(text, NULL, 10);
		return 0;
	case 'i':
		o->id = text;
		return 0;
	case 's':
		o->service = text;
		return 0;
	case 'b':
		o->heartbeat_ms = (unsigned)strtoul(text, NULL, 10);
		return 0;
	case 'w':
		o->work_ms = (unsigned)strtoul(text, NULL, 10);
		return 0;
	case 'r':
		o->seed = (unsigned)strtoul(text, NULL, 10);
		return 0;
	case 'u':
		o->stutter_percent = (unsigned)strtoul(text, NULL, 10);
		return 0;
	case ARGP_KEY_END:
		if (!o->port || !o->control_port || !o->id || !o->service)
			argp_error(state,
				   "--port, --control, --id and --service "
				   "are required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		.options = option_table,
		.parser = parse_option,
		.doc = "Stand-in for a target on the platform.",
	};
	struct ev_loop *loop = ev_default_loop(0);
	/* Static, as it is too large for the stack. */
	static struct server s = { .o = { .heartbeat_ms = 200, .seed = 1 } };
	struct err_info info = { 0 };
	ev_signal on_term, on_usr1, on_usr2;

	s.loop = loop;
	argp_parse(&argp, argc, argv, 0, NULL, &s.o);
	common_stutter_init(&s.stutter, loop, s.o.seed, s.o.stutter_percent, 1);
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	s.started_ms = clk_wall_ms();
	printf("born %lld\n", (long long)s.started_ms);
	fflush(stdout);
	s.heartbeat_url = g_strdup_printf(
		"http://127.0.0.1:%u/api/instances/%s/heartbeat",
		s.o.control_port, s.o.id);
	if (httpc_init(&s.client, loop, 0) != ERR_OK ||
	    httpd_init(&s.httpd, loop, "127.0.0.1", s.o.port,
		       SERVER_MAX_BODY_BYTES, SERVER_IDLE_SECONDS, &server_ops,
		       &s, &info) != ERR_OK) {
		fprintf(stderr, "mpin-server: %s\n", info.detail);
		return 1;
	}
	ev_timer_init(&s.hold_timer, on_hold_expired, 0., 0.);
	s.hold_timer.data = &s;
	ev_timer_init(&s.heartbeat_timer, on_timer, 0., 0.);
	s.heartbeat_timer.data = &s;
	schedule_heartbeat(&s, 0);
	ev_signal_init(&on_term, on_stop, SIGTERM);
	ev_signal_start(loop, &on_term);
	ev_signal_init(&on_usr1, on_drain, SIGUSR1);
	on_usr1.data = &s;
	ev_signal_start(loop, &on_usr1);
	ev_signal_init(&on_usr2, on_usr2_signal, SIGUSR2);
	on_usr2.data = &s;
	ev_signal_start(loop, &on_usr2);
	ev_run(loop, 0);
	if (s.heartbeat_in_flight)
		httpc_cancel(&s.heartbeat);
	httpc_request_finish(&s.heartbeat);
	httpc_finish(&s.client);
	httpd_finish(&s.httpd);
	common_stutter_finish(&s.stutter);
	ev_timer_stop(loop, &s.heartbeat_timer);
	ev_timer_stop(loop, &s.hold_timer);
	free(s.heartbeat_body);
	g_free(s.heartbeat_url);
	return 0;
}
