#include "common/clk.h"
#include "config/opt.h"
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
 * mpin-server: stand-in of a target on the platform. It announces itself to
 * the daemon beside it, takes keys in the answers, runs requests only while it
 * holds their keys, and prints a line for each run and each change of what it
 * holds:
 *
 *	run ID KEY
 *	holds FIRST-LAST/FENCE ...
 */

#define SERVER_MAX_BODY_BYTES (16 * 1024 * 1024)
#define SERVER_IDLE_SECONDS 10
#define SERVER_MAX_ROWS 512
#define SERVER_AGAIN_MS 100 /* while something is left to release */

struct row {
	uint32_t first;
	uint32_t last;
	int64_t fence;
};

struct options {
	unsigned port;
	unsigned control;
	const char *id;
	const char *service;
	unsigned beat_ms;
	unsigned work_ms;
};

struct server {
	struct options o;
	struct ev_loop *loop;
	struct httpd httpd;
	struct httpc client;
	struct httpc_request beat;
	int beating;
	char *url;
	char *body;
	ev_timer timer;
	int64_t born_ms;
	int64_t sequence;
	int64_t sent_ms;
	struct row rows[SERVER_MAX_ROWS];
	size_t row_count;
	struct row released[SERVER_MAX_ROWS];
	size_t released_count;
	int64_t hold_end_ms;
	int64_t seen[65536]; /* highest fence seen, by key */
	int draining;
};

/* One request at work. */
struct run {
	struct server *s;
	struct httpd_request *r;
	ev_timer timer;
};

static int holds_key(const struct server *s, uint32_t key)
{
	if (clk_ms() >= s->hold_end_ms)
		return 0;
	for (size_t i = 0; i < s->row_count; i++) {
		if (s->rows[i].first <= key && key <= s->rows[i].last)
			return 1;
	}
	return 0;
}

static void print_rows(const struct server *s)
{
	printf("holds");
	for (size_t i = 0; i < s->row_count; i++)
		printf(" %u-%u/%lld", s->rows[i].first, s->rows[i].last,
		       (long long)s->rows[i].fence);
	printf("\n");
	fflush(stdout);
}

/* ---- requests ---- */

static void refuse(struct server *s, struct httpd_request *r, unsigned status)
{
	const struct httpd_header h[] = { { "X-Not-Executed", "1" },
					  { "X-Instance-Id", s->o.id } };

	httpd_answer(r, status, h, 2, "", 0);
}

static void answer(struct server *s, struct httpd_request *r)
{
	const char *id = httpd_get_header(r, "X-Attempt-Id");
	const struct httpd_header h[] = {
		{ "X-Attempt-Id", id ? id : "-" },
		{ "X-Server-Seal", s->o.id },
		{ "X-Instance-Id", s->o.id },
		{ "X-Server-Load", "1,0,4" },
	};

	httpd_answer(r, 200, h, 4, "done\n", 5);
}

static void on_run_over(struct ev_loop *loop, ev_timer *w, int events)
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
	ev_timer_init(&run->timer, on_run_over, s->o.work_ms / 1000., 0.);
	run->timer.data = run;
	ev_timer_start(s->loop, &run->timer);
}

static void on_request(struct httpd_request *r, void *priv)
{
	struct server *s = priv;
	const char *expected = httpd_get_header(r, "X-Expected-Instance");
	const char *key = httpd_get_header(r, "X-Shard-Key");

	r->priv = NULL;
	if (expected && strcmp(expected, s->o.id) != 0)
		refuse(s, r, 421);
	else if (key && !holds_key(s, (uint32_t)strtoul(key, NULL, 10)))
		refuse(s, r, 421);
	else
		start_run(s, r, key);
}

static void on_over(struct httpd_request *r, void *priv)
{
	struct run *run = r->priv;

	(void)priv;
	if (!run)
		return;
	ev_timer_stop(run->s->loop, &run->timer);
	free(run);
}

static const struct httpd_ops server_ops = {
	.request = on_request,
	.completed = on_over,
};

/* ---- announcements ---- */

static void schedule(struct server *s, unsigned ms)
{
	ev_timer_stop(s->loop, &s->timer);
	ev_timer_set(&s->timer, ms / 1000., 0.);
	ev_timer_start(s->loop, &s->timer);
}

static int64_t highest_seen(const struct server *s, const struct row *row)
{
	int64_t fence = 0;

	for (uint32_t key = row->first; key <= row->last; key++) {
		if (s->seen[key] > fence)
			fence = s->seen[key];
	}
	return fence;
}

static int read_row(struct server *s, const json_t *item, struct row *row)
{
	row->first = (uint32_t)json_integer_value(json_array_get(item, 0));
	row->last = (uint32_t)json_integer_value(json_array_get(item, 1));
	row->fence = json_integer_value(json_array_get(item, 2));
	/* A target refuses a row whose fence is below one that it has seen. */
	if (row->fence < highest_seen(s, row)) {
		printf("refused %u-%u/%lld\n", row->first, row->last,
		       (long long)row->fence);
		return 0;
	}
	return 1;
}

static int in_rows(const struct row *rows, size_t count, const struct row *r)
{
	for (size_t i = 0; i < count; i++) {
		if (rows[i].first <= r->first && r->last <= rows[i].last)
			return 1;
	}
	return 0;
}

/* Rows that are left out are released; returns 1 if there are any. */
static int take_rows(struct server *s, const json_t *list)
{
	struct row rows[SERVER_MAX_ROWS];
	size_t count = 0;
	size_t i;
	json_t *item;

	json_array_foreach(list, i, item) {
		if (count < SERVER_MAX_ROWS && read_row(s, item, &rows[count]))
			count++;
	}
	s->released_count = 0;
	for (i = 0; i < s->row_count; i++) {
		if (!in_rows(rows, count, &s->rows[i]))
			s->released[s->released_count++] = s->rows[i];
	}
	for (i = 0; i < count; i++) {
		for (uint32_t key = rows[i].first; key <= rows[i].last; key++)
			s->seen[key] = rows[i].fence;
	}
	if (count != s->row_count ||
	    memcmp(rows, s->rows, count * sizeof(rows[0])) != 0) {
		memcpy(s->rows, rows, count * sizeof(rows[0]));
		s->row_count = count;
		print_rows(s);
	}
	return s->released_count != 0;
}

static void on_beat_done(struct httpc_request *q, void *priv)
{
	struct server *s = priv;
	json_t *root = NULL;
	const char *time;
	int again = 0;
	double ms;

	s->beating = 0;
	if (q->error == ERR_OK && q->status == 200)
		root = json_loadb(buf_text(&q->answer), q->answer.len, 0, NULL);
	time = json_string_value(json_object_get(root, "hold_time"));
	if (time && opt_parse_time(time, &ms) == ERR_OK) {
		again = take_rows(s, json_object_get(root, "holds"));
		s->hold_end_ms = s->sent_ms + (int64_t)ms;
	}
	json_decref(root);
	httpc_request_finish(q);
	schedule(s, again ? SERVER_AGAIN_MS : s->o.beat_ms);
}

static const struct httpc_ops beat_ops = { .done = on_beat_done };

static json_t *rows_json(const struct row *rows, size_t count, int released)
{
	json_t *list = json_array();

	for (size_t i = 0; i < count; i++) {
		if (released)
			json_array_append_new(
				list, json_pack("[i,i,s]", (int)rows[i].first,
						(int)rows[i].last, "5c0e7a21"));
		else
			json_array_append_new(
				list, json_pack("[i,i,I]", (int)rows[i].first,
						(int)rows[i].last,
						(json_int_t)rows[i].fence));
	}
	return list;
}

static void beat(struct server *s)
{
	static const struct httpc_header json = { "Content-Type",
						  "application/json" };
	char address[32];
	json_t *root;

	if (clk_ms() >= s->hold_end_ms)
		s->row_count = 0;
	snprintf(address, sizeof(address), "127.0.0.1:%u", s->o.port);
	root = json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:s,s:I,s:I,s:o,s:o}",
			 "service", s->o.service, "address", address, "zone",
			 "z", "version", "v1", "slots", 4, "state",
			 s->draining ? "draining" : "ready", "coldRemaining",
			 "0ms", "sequence", (json_int_t)++s->sequence, "born",
			 (json_int_t)s->born_ms, "holds",
			 rows_json(s->rows, s->row_count, 0), "released",
			 rows_json(s->released, s->released_count, 1));
	free(s->body);
	s->body = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	s->sent_ms = clk_ms();
	s->beat = (struct httpc_request){
		.ops = &beat_ops,
		.priv = s,
		.method = "POST",
		.url = s->url,
		.headers = &json,
		.header_count = 1,
		.body = s->body,
		.body_len = strlen(s->body),
		.timeout_ms = 1000,
	};
	if (httpc_start(&s->client, &s->beat) == ERR_OK)
		s->beating = 1;
	else
		schedule(s, s->o.beat_ms);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct server *s = w->data;

	(void)loop;
	(void)events;
	if (!s->beating)
		beat(s);
}

/* ---- start ---- */

static void on_drain(struct ev_loop *loop, ev_signal *w, int events)
{
	struct server *s = w->data;

	(void)loop;
	(void)events;
	s->draining = 1;
	schedule(s, 0);
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
	{ "id", 'i', "ID", 0, "id of this run", 0 },
	{ "service", 's', "NAME", 0, "service", 0 },
	{ "beat-ms", 'b', "N", 0, "period of announcements (200)", 0 },
	{ "work-ms", 'w', "N", 0, "time of one request (0)", 0 },
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
		o->control = (unsigned)strtoul(text, NULL, 10);
		return 0;
	case 'i':
		o->id = text;
		return 0;
	case 's':
		o->service = text;
		return 0;
	case 'b':
		o->beat_ms = (unsigned)strtoul(text, NULL, 10);
		return 0;
	case 'w':
		o->work_ms = (unsigned)strtoul(text, NULL, 10);
		return 0;
	case ARGP_KEY_END:
		if (!o->port || !o->control || !o->id || !o->service)
			argp_error(state, "port, control, id and service");
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
		.doc = "Stand-in of a target on the platform.",
	};
	struct ev_loop *loop = ev_default_loop(0);
	/* Too large for the stack. */
	static struct server s = { .o = { .beat_ms = 200 } };
	struct err_info info = { 0 };
	ev_signal term, usr1;

	s.loop = loop;
	argp_parse(&argp, argc, argv, 0, NULL, &s.o);
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	s.born_ms = clk_wall_ms();
	s.url = g_strdup_printf(
		"http://127.0.0.1:%u/api/instances/%s/heartbeat", s.o.control,
		s.o.id);
	if (httpc_init(&s.client, loop, 0) != ERR_OK ||
	    httpd_init(&s.httpd, loop, "127.0.0.1", s.o.port,
		       SERVER_MAX_BODY_BYTES, SERVER_IDLE_SECONDS, &server_ops,
		       &s, &info) != ERR_OK) {
		fprintf(stderr, "mpin-server: %s\n", info.detail);
		return 1;
	}
	ev_timer_init(&s.timer, on_timer, 0., 0.);
	s.timer.data = &s;
	schedule(&s, 0);
	ev_signal_init(&term, on_stop, SIGTERM);
	ev_signal_start(loop, &term);
	ev_signal_init(&usr1, on_drain, SIGUSR1);
	usr1.data = &s;
	ev_signal_start(loop, &usr1);
	ev_run(loop, 0);
	if (s.beating)
		httpc_cancel(&s.beat);
	httpc_request_finish(&s.beat);
	httpc_finish(&s.client);
	httpd_finish(&s.httpd);
	ev_timer_stop(loop, &s.timer);
	free(s.body);
	g_free(s.url);
	return 0;
}
