#include "standins/common_storesrv.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

struct ssrv_watch {
	struct ssrv *s;
	struct httpd_request *r;
	struct sjson_watch state;
	struct ssrv_watch *prev;
	struct ssrv_watch *next;
};

static void send_message(struct ssrv_watch *w, json_t *message)
{
	char *text = json_dumps(message, JSON_COMPACT);

	httpd_stream_send(w->r, text, strlen(text));
	httpd_stream_send(w->r, "\n", 1);
	w->s->counts[SJSON_WATCH].bytes += strlen(text) + 1;
	free(text);
	json_decref(message);
}

static void flush_watch(struct ssrv_watch *w)
{
	struct ssrv *s = w->s;
	json_t *message;
	size_t count;

	if (s->mode != SSRV_UP || !w->r->streaming)
		return;
	message = sjson_watch_events(&s->db, &w->state, &count);
	if (!message)
		return;
	s->counts[SJSON_WATCH].keys += count;
	send_message(w, message);
}

void ssrv_flush_watches(struct ssrv *s)
{
	struct ssrv_watch *w;

	DL_FOREACH(s->watches, w) {
		flush_watch(w);
	}
}

static void watch_free(struct ssrv_watch *w)
{
	DL_DELETE(w->s->watches, w);
	g_free(w->state.key);
	g_free(w->state.end);
	free(w);
}

void ssrv_begin_watch(struct ssrv *s, struct httpd_request *r,
		      const json_t *request)
{
	struct ssrv_watch *w;
	struct sjson_watch read = { 0 };

	if (s->mode == SSRV_REFUSE) {
		ssrv_answer_unavailable(r);
		return;
	}
	if (!sjson_parse_watch(&s->db, request, &read)) {
		httpd_answer_text(r, 400, SSRV_JSON_TYPE,
				  "{\"error\":\"malformed request\","
				  "\"code\":3}");
		return;
	}
	w = calloc(1, sizeof(*w));
	w->s = s;
	w->r = r;
	w->state = read;
	DL_APPEND(s->watches, w);
	if (s->mode == SSRV_SILENT)
		return;
	httpd_stream_begin(r, 200, SSRV_JSON_TYPE);
	if (w->state.next_revision <= s->db.compacted_revision) {
		send_message(w, sjson_watch_compacted(&s->db));
		httpd_stream_end(r);
		return;
	}
	send_message(w, sjson_watch_created(&s->db));
	flush_watch(w);
}

void ssrv_remove_watch(struct ssrv *s, const struct httpd_request *r)
{
	struct ssrv_watch *w;
	struct ssrv_watch *tmp;

	DL_FOREACH_SAFE(s->watches, w, tmp) {
		if (w->r == r)
			watch_free(w);
	}
}

static int is_selected(const struct ssrv_watch *w,
		       enum ssrv_watch_filter filter)
{
	switch (filter) {
	case SSRV_UNANSWERED:
		return !w->r->streaming;
	case SSRV_GONE:
		return ssrv_client_gone(w->r);
	default:
		return 1;
	}
}

/* The watches themselves are freed later, when their requests end. */
void ssrv_drop_watches(struct ssrv *s, enum ssrv_watch_filter filter)
{
	struct ssrv_watch *w;

	DL_FOREACH(s->watches, w) {
		if (is_selected(w, filter))
			ssrv_close_connection(w->r);
	}
}

void ssrv_on_progress(struct ev_loop *loop, ev_timer *t, int events)
{
	struct ssrv *s = t->data;
	struct ssrv_watch *w;

	(void)loop;
	(void)events;
	if (s->mode != SSRV_UP || ev_is_active(&s->flush))
		return;
	DL_FOREACH(s->watches, w) {
		if (w->r->streaming && !w->r->stream_ended)
			send_message(w, sjson_watch_progress(&s->db));
	}
}

int ssrv_count_watches(const struct ssrv *s)
{
	const struct ssrv_watch *w;
	int count;

	DL_COUNT(s->watches, w, count);
	return count;
}
