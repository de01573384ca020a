#include "standins/common_storesrv.h"

#include <stdlib.h>
#include <string.h>

/* Delay before a freeze, in which the command is answered. */
#define SSRV_FREEZE_DELAY_MS 20

static unsigned get_number(const struct httpd_request *r, const char *name)
{
	const char *text = httpd_get_argument(r, name);

	return text ? (unsigned)strtoul(text, NULL, 10) : 0;
}

static int argument_equals(const struct httpd_request *r, const char *name,
			   const char *value)
{
	const char *text = httpd_get_argument(r, name);

	return text && strcmp(text, value) == 0;
}

void ssrv_on_freeze(struct ev_loop *loop, ev_timer *t, int events)
{
	const struct ssrv *s = t->data;

	(void)events;
	g_usleep(s->freeze_ms * 1000UL);
	ev_now_update(loop);
}

static void control_down(struct ssrv *s, const struct httpd_request *r)
{
	ssrv_down(s, argument_equals(r, "mode", "silent") ? SSRV_SILENT
							  : SSRV_REFUSE);
}

static void control_up(struct ssrv *s, const struct httpd_request *r)
{
	(void)r;
	ssrv_up(s);
}

static void control_slow(struct ssrv *s, const struct httpd_request *r)
{
	s->slow_ms = get_number(r, "ms");
}

static void control_lose_answers(struct ssrv *s, const struct httpd_request *r)
{
	s->lose_count = get_number(r, "count");
	s->lose_silently = argument_equals(r, "mode", "silent");
}

static void control_garble(struct ssrv *s, const struct httpd_request *r)
{
	s->garble_count = get_number(r, "count");
}

static void control_freeze(struct ssrv *s, const struct httpd_request *r)
{
	s->freeze_ms = get_number(r, "ms");
	ev_timer_stop(s->loop, &s->freeze);
	ev_timer_set(&s->freeze, SSRV_FREEZE_DELAY_MS / 1000., 0.);
	ev_timer_start(s->loop, &s->freeze);
}

static void control_compact(struct ssrv *s, const struct httpd_request *r)
{
	(void)r;
	sdb_compact(&s->db, s->db.revision);
}

static void control_copy(struct ssrv *s, const struct httpd_request *r)
{
	(void)r;
	ssrv_take_copy(s);
}

static void control_restore(struct ssrv *s, const struct httpd_request *r)
{
	ssrv_restore(s, httpd_get_argument(r, "keep"));
}

static const struct {
	const char *name;
	void (*run)(struct ssrv *s, const struct httpd_request *r);
} controls[] = {
	{ "down", control_down },
	{ "up", control_up },
	{ "slow", control_slow },
	{ "lose-answers", control_lose_answers },
	{ "garble", control_garble },
	{ "freeze", control_freeze },
	{ "compact", control_compact },
	{ "copy", control_copy },
	{ "restore", control_restore },
};

static void answer_counts(struct ssrv *s, struct httpd_request *r)
{
	json_t *root = json_object();
	char *text;

	for (int i = 0; i < SJSON_CALLS; i++) {
		const struct ssrv_count *n = &s->counts[i];

		json_object_set_new(root, sjson_calls[i].name,
				    json_pack("{s:I, s:I, s:I}", "calls",
					      (json_int_t)n->calls, "keys",
					      (json_int_t)n->keys, "bytes",
					      (json_int_t)n->bytes));
	}
	json_object_set_new(root, "waiting_watches",
			    json_integer(ssrv_count_watches(s)));
	json_object_set_new(root, "revision", json_integer(s->db.revision));
	text = json_dumps(root, JSON_COMPACT);
	httpd_answer_text(r, 200, SSRV_JSON_TYPE, text);
	free(text);
	json_decref(root);
}

void ssrv_control(struct ssrv *s, struct httpd_request *r, const char *name)
{
	size_t len = strcspn(name, "?");

	if (strcmp(name, "counts") == 0) {
		answer_counts(s, r);
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(controls); i++) {
		if (strlen(controls[i].name) != len ||
		    strncmp(controls[i].name, name, len) != 0)
			continue;
		controls[i].run(s, r);
		httpd_answer_text(r, 200, "text/plain", "ok\n");
		return;
	}
	httpd_answer_text(r, 404, "text/plain", "no such command\n");
}
