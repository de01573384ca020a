#include "store/etcd.h"
#include "store/etcd_json.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/*
 * A watch whose connection is lost is opened again from the revision after the
 * last one delivered, so that it misses no event. A watch ends only if it
 * cannot be resumed, e.g. because the store has compacted that revision.
 */

#define WATCH_RETRY_FIRST_MS 100
#define WATCH_RETRY_MAX_MS 1000
/*
 * A stream that receives nothing for this long is opened again: its connection
 * may have failed without being closed while new ones work, and a change of the
 * document must be in force within 6 s.
 */
#define WATCH_IDLE_TIMEOUT_MS 2000
#define WATCH_MAX_LINE_BYTES (64 * 1024 * 1024)

struct store_watch {
	struct etcd *e;
	char *prefix;
	int64_t next_revision;
	uint64_t era; /* of next_revision */
	const struct store_watch_ops *ops;
	void *priv;
	struct httpc_request http;
	char *body;
	struct buf in;
	ev_timer deliver; /* runs callbacks from the loop, outside of httpc */
	ev_timer reopen;
	int retry_ms;
	int stream_ended;
	int too_large;
	int delivering; /* on_deliver is running and will free a closed watch */
	int closed;
	struct store_watch *prev;
	struct store_watch *next;
};

static void schedule_reopen(struct store_watch *w, int ms)
{
	ev_timer_stop(w->e->loop, &w->reopen);
	ev_timer_set(&w->reopen, (double)ms / 1000., 0.);
	ev_timer_start(w->e->loop, &w->reopen);
}

static void schedule_delivery(struct store_watch *w)
{
	if (ev_is_active(&w->deliver))
		return;
	ev_timer_set(&w->deliver, 0., 0.);
	ev_timer_start(w->e->loop, &w->deliver);
}

static void on_data(struct httpc_request *r, const char *data, size_t len,
		    void *priv)
{
	struct store_watch *w = priv;
	long status = 0;

	w->e->store.counts.bytes_in += len;
	curl_easy_getinfo(r->easy, CURLINFO_RESPONSE_CODE, &status);
	if (status != 200)
		return;
	if (w->in.len + len > WATCH_MAX_LINE_BYTES ||
	    buf_add(&w->in, data, len) != ERR_OK)
		w->too_large = 1;
	schedule_delivery(w);
}

static void on_done(struct httpc_request *r, void *priv)
{
	struct store_watch *w = priv;

	(void)r;
	w->stream_ended = 1;
	schedule_delivery(w);
}

static const struct httpc_ops stream_ops = {
	.data = on_data,
	.done = on_done,
};

static void close_stream(struct store_watch *w)
{
	httpc_cancel(&w->http);
	httpc_request_finish(&w->http);
	free(w->body);
	w->body = NULL;
	w->stream_ended = 0;
	buf_reset(&w->in);
}

static void open_stream(struct store_watch *w)
{
	static const struct httpc_header json = { "Content-Type",
						  "application/json" };
	struct etcd *e = w->e;
	char *url = g_strconcat(e->endpoint, "/v3/watch", NULL);

	w->body = etcd_json_watch(w->prefix, w->next_revision);
	w->http = (struct httpc_request){
		.ops = &stream_ops,
		.priv = w,
		.method = "POST",
		.url = url,
		.headers = &json,
		.header_count = 1,
		.body = w->body,
		.body_len = w->body ? strlen(w->body) : 0,
		.connect_timeout_ms = e->timeout_ms,
		.new_connection = 1,
	};
	e->store.counts.watches++;
	e->store.counts.bytes_out += w->http.body_len;
	schedule_reopen(w, WATCH_IDLE_TIMEOUT_MS);
	if (httpc_start(&e->watch_client, &w->http) != ERR_OK)
		schedule_reopen(w, WATCH_RETRY_MAX_MS);
	g_free(url);
}

static void on_reopen(struct ev_loop *loop, ev_timer *t, int events)
{
	struct store_watch *w = t->data;

	(void)loop;
	(void)events;
	close_stream(w);
	open_stream(w);
}

static void unlink_watch(struct store_watch *w)
{
	struct ev_loop *loop = w->e->loop;

	ev_timer_stop(loop, &w->deliver);
	ev_timer_stop(loop, &w->reopen);
	close_stream(w);
	DL_DELETE(w->e->watches, w);
	w->closed = 1;
}

static void free_watch(struct store_watch *w)
{
	buf_finish(&w->in);
	g_free(w->prefix);
	g_free(w);
}

/* Called only from on_deliver, which frees w. */
static void end_watch(struct store_watch *w, enum err why)
{
	w->e->store.counts.failures++;
	unlink_watch(w);
	w->ops->ended(why, w->priv);
}

/*
 * Reopens a stream that failed, with exponential backoff. The events that were
 * delivered stay valid.
 */
static void retry_stream(struct store_watch *w)
{
	w->e->store.counts.failures++;
	close_stream(w);
	schedule_reopen(w, w->retry_ms);
	w->retry_ms *= 2;
	if (w->retry_ms > WATCH_RETRY_MAX_MS)
		w->retry_ms = WATCH_RETRY_MAX_MS;
}

static void deliver_events(struct store_watch *w,
			   const struct etcd_watch_message *m)
{
	int64_t next = w->next_revision;

	for (size_t i = 0; i < m->event_count && !w->closed; i++) {
		const struct store_event *event = &m->events[i];

		if (event->mod_revision < w->next_revision)
			continue;
		next = MAX(next, event->mod_revision + 1);
		w->ops->event(event, w->priv);
	}
	w->next_revision = next;
}

/* Returns 1 if the revisions of the watch are no longer those of the store. */
static int is_of_old_era(const struct store_watch *w)
{
	uint64_t era = w->e->store.era;

	return w->era && era && w->era != era;
}

void etcd_end_old_watches(struct etcd *e)
{
	struct store_watch *w;

	DL_FOREACH(e->watches, w) {
		if (is_of_old_era(w))
			schedule_delivery(w);
	}
}

static void handle_message(struct store_watch *w,
			   const struct etcd_watch_message *m)
{
	etcd_note_era(w->e, m->era);
	if (is_of_old_era(w))
		return; /* on_deliver ends the watch */
	if (m->canceled && m->compact_revision) {
		end_watch(w, ERR_STALE);
		return;
	}
	if (m->error || m->canceled) {
		retry_stream(w);
		return;
	}
	schedule_reopen(w, WATCH_IDLE_TIMEOUT_MS);
	if (m->created)
		w->retry_ms = WATCH_RETRY_FIRST_MS;
	if (m->event_count)
		deliver_events(w, m);
	else if (!m->created)
		w->next_revision = MAX(w->next_revision, m->revision + 1);
}

/* Returns 0 if the buffer has no whole line. */
static int handle_line(struct store_watch *w)
{
	const uint8_t *end =
		w->in.len ? memchr(w->in.data, '\n', w->in.len) : NULL;
	struct etcd_watch_message m;
	size_t len;
	enum err e;

	if (!end)
		return 0;
	len = (size_t)(end - w->in.data);
	e = etcd_json_read_watch(w->in.data, len, &m);
	buf_drop(&w->in, len + 1);
	if (e != ERR_OK) {
		end_watch(w, e);
		return 1;
	}
	handle_message(w, &m);
	etcd_json_free_watch(&m);
	return 1;
}

static void on_deliver(struct ev_loop *loop, ev_timer *t, int events)
{
	struct store_watch *w = t->data;

	(void)events;
	ev_timer_stop(loop, t);
	w->delivering = 1;
	while (!w->closed && !is_of_old_era(w) && handle_line(w))
		;
	if (!w->closed && is_of_old_era(w))
		end_watch(w, ERR_STALE);
	if (!w->closed && w->too_large)
		end_watch(w, ERR_TOO_LARGE);
	if (!w->closed && w->stream_ended)
		retry_stream(w);
	w->delivering = 0;
	if (w->closed)
		free_watch(w);
}

struct store_watch *etcd_watch(struct store *s, const char *prefix,
			       int64_t from_revision, uint64_t era,
			       const struct store_watch_ops *ops, void *priv)
{
	struct etcd *e = (struct etcd *)s;
	struct store_watch *w = g_new0(struct store_watch, 1);

	w->e = e;
	w->prefix = g_strdup(prefix);
	w->next_revision = from_revision + 1;
	w->era = era;
	w->ops = ops;
	w->priv = priv;
	w->retry_ms = WATCH_RETRY_FIRST_MS;
	buf_init(&w->in);
	ev_timer_init(&w->deliver, on_deliver, 0., 0.);
	ev_timer_init(&w->reopen, on_reopen, 0., 0.);
	w->deliver.data = w;
	w->reopen.data = w;
	DL_APPEND(e->watches, w);
	open_stream(w);
	return w;
}

void etcd_unwatch(struct store *s, struct store_watch *w)
{
	(void)s;
	unlink_watch(w);
	if (!w->delivering)
		free_watch(w);
}
