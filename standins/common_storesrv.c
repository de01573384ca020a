#include "standins/common_storesrv.h"
#include "common/clk.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <utlist.h>

#define SSRV_MAX_BODY_BYTES (16 * 1024 * 1024)
#define SSRV_IDLE_SECONDS 60
#define SSRV_SWEEP_MS 50
#define SSRV_PROGRESS_MS 1000

enum call_stage {
	STAGE_BEFORE, /* not applied yet */
	STAGE_AFTER,  /* applied, answer delayed */
	STAGE_HELD,   /* never answered */
};

struct ssrv_call {
	struct ssrv *s;
	struct httpd_request *r; /* NULL: the client closed the connection */
	enum sjson_call type;
	enum call_stage stage;
	unsigned half_latency_ms; /* delay before and again after applying */
	ev_timer timer;
	json_t *request;
	struct sjson_result result;
	struct ssrv_call *prev;
	struct ssrv_call *next;
};

int ssrv_client_gone(const struct httpd_request *r)
{
	char c;
	ssize_t n = recv(httpd_get_fd(r), &c, 1, MSG_PEEK | MSG_DONTWAIT);

	return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

void ssrv_close_connection(struct httpd_request *r)
{
	shutdown(httpd_get_fd(r), SHUT_RDWR);
	if (r->streaming)
		httpd_stream_end(r);
	else
		httpd_answer_text(r, 503, "text/plain", "");
}

static void call_free(struct ssrv_call *c)
{
	DL_DELETE(c->s->calls, c);
	ev_timer_stop(c->s->loop, &c->timer);
	if (c->r)
		c->r->priv = NULL;
	json_decref(c->request);
	json_decref(c->result.answer);
	free(c);
}

static void send_json(struct ssrv *s, struct httpd_request *r,
		      enum sjson_call type, unsigned status, json_t *answer)
{
	static const struct httpd_header content_type = { "Content-Type",
							  SSRV_JSON_TYPE };
	char *text = json_dumps(answer, JSON_COMPACT);
	size_t len = strlen(text);

	s->counts[type].bytes += len;
	if (s->garble_count) {
		s->garble_count--;
		len /= 2;
	}
	httpd_answer(r, status, &content_type, 1, text, len);
	free(text);
}

void ssrv_answer_unavailable(struct httpd_request *r)
{
	httpd_answer_text(r, 503, SSRV_JSON_TYPE,
			  "{\"error\":\"unavailable\",\"code\":14,"
			  "\"message\":\"unavailable\"}");
}

static unsigned next_latency_ms(struct ssrv *s)
{
	unsigned ms = s->slow_ms;

	if (s->latency_ms)
		ms += (unsigned)g_rand_double_range(s->rand, s->latency_ms * .5,
						    s->latency_ms * 1.5);
	return ms;
}

static void schedule_flush(struct ssrv *s)
{
	unsigned ms = next_latency_ms(s) / 2;

	if (!ms) {
		ssrv_flush_watches(s);
		return;
	}
	if (ev_is_active(&s->flush))
		return;
	ev_timer_set(&s->flush, ms / 1000., 0.);
	ev_timer_start(s->loop, &s->flush);
}

static void on_flush(struct ev_loop *loop, ev_timer *t, int events)
{
	(void)loop;
	(void)events;
	ssrv_flush_watches(t->data);
}

static void call_answer(struct ssrv_call *c)
{
	struct ssrv *s = c->s;

	if (!c->r) {
		call_free(c);
		return;
	}
	if (s->mode == SSRV_SILENT) {
		c->stage = STAGE_HELD;
		return;
	}
	if (s->mode == SSRV_REFUSE)
		ssrv_close_connection(c->r);
	else
		send_json(s, c->r, c->type, c->result.status, c->result.answer);
	call_free(c);
}

/* Returns 1 if a command asked to lose the answer to this write. */
static int lose_answer_if_requested(struct ssrv_call *c)
{
	struct ssrv *s = c->s;

	if (!s->lose_count || !c->result.write_applied)
		return 0;
	s->lose_count--;
	if (s->lose_silently && c->r) {
		c->stage = STAGE_HELD;
		return 1;
	}
	if (c->r)
		ssrv_close_connection(c->r);
	call_free(c);
	return 1;
}

static void start_timer(struct ssrv_call *c)
{
	ev_timer_set(&c->timer, c->half_latency_ms / 1000., 0.);
	ev_timer_start(c->s->loop, &c->timer);
}

static void call_apply(struct ssrv_call *c)
{
	struct ssrv *s = c->s;
	int64_t lease = g_rand_int(s->rand) + (int64_t)1;

	if (s->mode == SSRV_SILENT && c->r) {
		c->stage = STAGE_HELD;
		return;
	}
	if (s->mode != SSRV_UP) {
		if (c->r)
			ssrv_answer_unavailable(c->r);
		call_free(c);
		return;
	}
	sjson_run(&s->db, c->type, c->request, lease, clk_ms(), &c->result);
	s->counts[c->type].keys += c->result.key_count;
	schedule_flush(s);
	if (lose_answer_if_requested(c))
		return;
	c->stage = STAGE_AFTER;
	if (c->half_latency_ms)
		start_timer(c);
	else
		call_answer(c);
}

static void on_call_timer(struct ev_loop *loop, ev_timer *t, int events)
{
	struct ssrv_call *c = t->data;

	(void)loop;
	(void)events;
	if (c->stage == STAGE_BEFORE)
		call_apply(c);
	else
		call_answer(c);
}

static void begin_call(struct ssrv *s, struct httpd_request *r,
		       enum sjson_call type, json_t *request)
{
	struct ssrv_call *c = calloc(1, sizeof(*c));

	c->s = s;
	c->r = r;
	c->type = type;
	c->request = json_incref(request);
	c->half_latency_ms = next_latency_ms(s) / 2;
	ev_timer_init(&c->timer, on_call_timer, 0., 0.);
	c->timer.data = c;
	r->priv = c;
	DL_APPEND(s->calls, c);
	if (c->half_latency_ms)
		start_timer(c);
	else
		call_apply(c);
}

static void on_completed(struct httpd_request *r, void *priv)
{
	struct ssrv_call *c = r->priv;

	ssrv_remove_watch(priv, r);
	if (!c)
		return;
	c->r = NULL;
	if (c->stage == STAGE_HELD)
		call_free(c);
}

void ssrv_down(struct ssrv *s, enum ssrv_mode mode)
{
	s->mode = mode;
	if (mode == SSRV_REFUSE)
		ssrv_drop_watches(s, SSRV_ALL);
}

void ssrv_up(struct ssrv *s)
{
	struct ssrv_call *c;
	struct ssrv_call *tmp;

	s->mode = SSRV_UP;
	DL_FOREACH_SAFE(s->calls, c, tmp) {
		if (c->stage != STAGE_HELD)
			continue;
		ssrv_close_connection(c->r);
		call_free(c);
	}
	ssrv_drop_watches(s, SSRV_UNANSWERED);
	ssrv_flush_watches(s);
}

void ssrv_take_copy(struct ssrv *s)
{
	sdb_take_copy(&s->db);
}

static uint64_t next_cluster_id(struct ssrv *s)
{
	uint64_t high = g_rand_int(s->rand);

	return high << 32 | g_rand_int(s->rand);
}

void ssrv_restore(struct ssrv *s, const char *keep)
{
	struct ssrv_call *c;
	struct ssrv_call *tmp;

	/* Their answers would state changes that the restore undoes. */
	DL_FOREACH_SAFE(s->calls, c, tmp) {
		if (c->stage != STAGE_AFTER)
			continue;
		if (c->r)
			ssrv_close_connection(c->r);
		call_free(c);
	}
	ssrv_drop_watches(s, SSRV_ALL);
	sdb_restore(&s->db, keep, clk_ms());
	s->db.cluster_id = next_cluster_id(s);
}

static void handle_call(struct ssrv *s, struct httpd_request *r,
			enum sjson_call type)
{
	json_t *request =
		json_loadb((const char *)r->body.data, r->body.len, 0, NULL);

	s->counts[type].calls++;
	s->counts[type].bytes += r->body.len;
	if (!json_is_object(request))
		httpd_answer_text(r, 400, SSRV_JSON_TYPE,
				  "{\"error\":\"malformed request\","
				  "\"code\":3}");
	else if (type == SJSON_WATCH)
		ssrv_begin_watch(s, r, request);
	else
		begin_call(s, r, type, request);
	json_decref(request);
}

static void on_request(struct httpd_request *r, void *priv)
{
	static const char control[] = "/control/";
	struct ssrv *s = priv;

	r->priv = NULL;
	if (strncmp(r->path, control, sizeof(control) - 1) == 0) {
		ssrv_control(s, r, r->path + sizeof(control) - 1);
		return;
	}
	for (int i = 0; i < SJSON_CALLS; i++) {
		if (strcmp(r->path, sjson_calls[i].path) == 0) {
			handle_call(s, r, (enum sjson_call)i);
			return;
		}
	}
	httpd_answer_text(r, 404, "text/plain", "no such call\n");
}

static const struct httpd_ops server_ops = {
	.request = on_request,
	.completed = on_completed,
};

static void on_sweep(struct ev_loop *loop, ev_timer *t, int events)
{
	struct ssrv *s = t->data;
	struct ssrv_call *c;
	struct ssrv_call *tmp;

	(void)loop;
	(void)events;
	if (sdb_expire(&s->db, clk_ms()))
		schedule_flush(s);
	DL_FOREACH_SAFE(s->calls, c, tmp) {
		if (c->stage != STAGE_HELD || !ssrv_client_gone(c->r))
			continue;
		ssrv_close_connection(c->r);
		call_free(c);
	}
	ssrv_drop_watches(s, SSRV_GONE);
}

static void start_repeating_timer(struct ssrv *s, ev_timer *t, int ms,
				  void (*fn)(struct ev_loop *, ev_timer *, int))
{
	ev_timer_init(t, fn, ms / 1000., ms / 1000.);
	t->data = s;
	ev_timer_start(s->loop, t);
}

enum err ssrv_init(struct ssrv *s, struct ev_loop *loop, const char *address,
		   unsigned port, uint32_t seed, unsigned latency_ms,
		   struct err_info *info)
{
	enum err e;

	memset(s, 0, sizeof(*s));
	s->loop = loop;
	s->latency_ms = latency_ms;
	e = httpd_init(&s->httpd, loop, address, port, SSRV_MAX_BODY_BYTES,
		       SSRV_IDLE_SECONDS, &server_ops, s, info);
	if (e != ERR_OK)
		return e;
	s->rand = g_rand_new_with_seed(seed);
	sdb_init(&s->db);
	ev_timer_init(&s->flush, on_flush, 0., 0.);
	ev_timer_init(&s->freeze, ssrv_on_freeze, 0., 0.);
	s->flush.data = s;
	s->freeze.data = s;
	start_repeating_timer(s, &s->sweep, SSRV_SWEEP_MS, on_sweep);
	start_repeating_timer(s, &s->progress, SSRV_PROGRESS_MS,
			      ssrv_on_progress);
	return ERR_OK;
}

unsigned ssrv_port(const struct ssrv *s)
{
	return httpd_port(&s->httpd);
}

void ssrv_finish(struct ssrv *s)
{
	struct ssrv_call *c;
	struct ssrv_call *tmp;

	httpd_finish(&s->httpd);
	DL_FOREACH_SAFE(s->calls, c, tmp) {
		call_free(c);
	}
	ev_timer_stop(s->loop, &s->sweep);
	ev_timer_stop(s->loop, &s->progress);
	ev_timer_stop(s->loop, &s->flush);
	ev_timer_stop(s->loop, &s->freeze);
	g_rand_free(s->rand);
	sdb_finish(&s->db);
}
