#include "standins/common_kvsrv.h"
#include "common/clk.h"
#include "config/opt.h"
#include "store/etcd_json.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <utlist.h>

#define KVSRV_MAX_BODY_BYTES (16 * 1024 * 1024)
#define KVSRV_IDLE_SECONDS 60
#define KVSRV_SWEEP_MS 50
#define KVSRV_PAGE_ITEMS 500
#define KVSRV_MAX_ENTRIES 32
#define KVSRV_MAX_WAIT_MS 30000

/* A request that is answered later: a watch, or a call in a silent outage. */
struct kvsrv_waiting {
	struct kvsrv *s;
	struct httpd_request *r;
	char *prefix;	/* of the watched keys; NULL: not a watch */
	int64_t after;	/* watches changes after this revision */
	ev_timer timer; /* answers a watch without events */
	struct kvsrv_waiting *prev;
	struct kvsrv_waiting *next;
};

static void answer_json(struct httpd_request *r, unsigned status, json_t *root)
{
	const struct kvsrv *s = r->server->priv;
	char *text = json_dumps(root, JSON_COMPACT);
	char era[24];
	const struct httpd_header h[] = {
		{ "Content-Type", "application/json" }, { "Store-Era", era }
	};

	g_snprintf(era, sizeof(era), "%" G_GINT64_FORMAT, s->era);
	httpd_answer(r, status, h, G_N_ELEMENTS(h), text, strlen(text));
	free(text);
	json_decref(root);
}

static void answer_status(struct httpd_request *r, unsigned status)
{
	answer_json(r, status, json_object());
}

static void waiting_free(struct kvsrv_waiting *w)
{
	DL_DELETE(w->s->waiting, w);
	ev_timer_stop(w->s->loop, &w->timer);
	w->r->priv = NULL;
	free(w->prefix);
	free(w);
}

static json_t *new_item(const struct sdb_kv *kv)
{
	return json_pack("{s:s,s:o,s:I,s:I,s:I}", "key", kv->key, "value",
			 etcd_json_new_bytes(kv->value, kv->value_len),
			 "revision", (json_int_t)kv->mod_revision, "createdAt",
			 (json_int_t)kv->create_revision, "lease",
			 (json_int_t)kv->lease);
}

static void set_revision(const struct kvsrv *s, json_t *root)
{
	json_object_set_new(root, "at", json_integer(s->db.revision));
}

static void handle_key(struct kvsrv *s, struct httpd_request *r)
{
	const char *key = httpd_get_argument(r, "key");
	const struct sdb_kv *kv = key ? sdb_get(&s->db, key) : NULL;
	json_t *item;

	if (!kv) {
		answer_status(r, 404);
		return;
	}
	item = new_item(kv);
	set_revision(s, item);
	answer_json(r, 200, item);
}

struct page {
	json_t *items;
	const char *prefix;
	const char *after;
	size_t max_items;
	int has_more;
};

static void add_item(const struct sdb_kv *kv, void *priv)
{
	struct page *p = priv;

	if (strncmp(kv->key, p->prefix, strlen(p->prefix)) != 0 ||
	    (p->after && strcmp(kv->key, p->after) <= 0))
		return;
	if (json_array_size(p->items) >= p->max_items) {
		p->has_more = 1;
		return;
	}
	json_array_append_new(p->items, new_item(kv));
}

static void handle_range(struct kvsrv *s, struct httpd_request *r)
{
	struct page p = {
		.items = json_array(),
		.prefix = httpd_get_argument(r, "pathPrefix"),
		.after = httpd_get_argument(r, "after"),
		.max_items = s->page_items ? s->page_items : KVSRV_PAGE_ITEMS,
	};
	json_t *root;

	if (!p.prefix)
		p.prefix = "";
	sdb_each_key(&s->db, "", "", add_item, &p);
	root = json_pack("{s:o,s:b}", "items", p.items, "hasMore", p.has_more);
	set_revision(s, root);
	answer_json(r, 200, root);
}

/* ---- watches ---- */

struct event_visit {
	const struct kvsrv_waiting *w;
	json_t *events;
};

static void add_event(const struct sdb_event *e, void *priv)
{
	struct event_visit *c = priv;
	json_t *event;

	if (strncmp(e->kv.key, c->w->prefix, strlen(c->w->prefix)) != 0)
		return;
	if (e->deleted)
		event = json_pack("{s:s,s:I,s:b}", "key", e->kv.key, "revision",
				  (json_int_t)e->kv.mod_revision, "removed", 1);
	else
		event = new_item(&e->kv);
	json_array_append_new(c->events, event);
}

static void answer_watch(struct kvsrv_waiting *w, json_t *events)
{
	struct kvsrv *s = w->s;
	struct httpd_request *r = w->r;
	json_t *root = json_pack("{s:o}", "events", events);

	set_revision(s, root);
	waiting_free(w);
	answer_json(r, 200, root);
}

static void flush_watch(struct kvsrv_waiting *w)
{
	struct event_visit c = { w, json_array() };

	sdb_each_event(&w->s->db, w->after + 1, add_event, &c);
	if (json_array_size(c.events))
		answer_watch(w, c.events);
	else
		json_decref(c.events);
}

static void flush_watches(struct kvsrv *s)
{
	struct kvsrv_waiting *w, *next;

	DL_FOREACH_SAFE(s->waiting, w, next) {
		if (w->prefix && s->mode == KVSRV_UP)
			flush_watch(w);
	}
}

static void on_watch_timeout(struct ev_loop *loop, ev_timer *t, int events)
{
	struct kvsrv_waiting *w = t->data;

	(void)loop;
	(void)events;
	answer_watch(w, json_array());
}

static struct kvsrv_waiting *waiting_new(struct kvsrv *s,
					 struct httpd_request *r)
{
	struct kvsrv_waiting *w = calloc(1, sizeof(*w));

	w->s = s;
	w->r = r;
	r->priv = w;
	ev_timer_init(&w->timer, on_watch_timeout, 0., 0.);
	w->timer.data = w;
	DL_APPEND(s->waiting, w);
	return w;
}

static void handle_watch(struct kvsrv *s, struct httpd_request *r)
{
	const char *prefix = httpd_get_argument(r, "pathPrefix");
	const char *after = httpd_get_argument(r, "after");
	const char *wait = httpd_get_argument(r, "waitMs");
	struct kvsrv_waiting *w;
	long ms = wait ? strtol(wait, NULL, 10) : 0;

	if (!prefix || !after || ms > KVSRV_MAX_WAIT_MS) {
		answer_status(r, 400);
		return;
	}
	if (strtoll(after, NULL, 10) < s->db.compacted_revision ||
	    strtoll(after, NULL, 10) > s->db.revision) {
		answer_status(r, 410);
		return;
	}
	w = waiting_new(s, r);
	w->prefix = strdup(prefix);
	w->after = strtoll(after, NULL, 10);
	ev_timer_set(&w->timer, (double)ms / 1000., 0.);
	ev_timer_start(s->loop, &w->timer);
	flush_watch(w);
}

/* ---- writes ---- */

static int revision_matches(const struct kvsrv *s, const json_t *row)
{
	const char *key = json_string_value(json_object_get(row, "key"));
	const struct sdb_kv *kv = key ? sdb_get(&s->db, key) : NULL;

	return (kv ? kv->mod_revision : 0) ==
	       json_integer_value(json_object_get(row, "revision"));
}

static int all_revisions_match(const struct kvsrv *s, const json_t *rows)
{
	size_t i;
	json_t *row;

	json_array_foreach(rows, i, row) {
		if (!revision_matches(s, row))
			return 0;
	}
	return 1;
}

static int leases_exist(struct kvsrv *s, const json_t *puts)
{
	size_t i;
	json_t *put;

	json_array_foreach(puts, i, put) {
		int64_t lease =
			json_integer_value(json_object_get(put, "lease"));

		if (lease && !sdb_lease_find(&s->db, lease))
			return 0;
	}
	return 1;
}

static void apply_txn(struct kvsrv *s, const json_t *puts,
		      const json_t *deletes)
{
	const json_t *item;
	size_t i;

	for (i = 0; i < json_array_size(puts); i++) {
		size_t len;
		uint8_t *value;

		item = json_array_get(puts, i);
		value = etcd_json_bytes(item, "value", &len);
		sdb_put(&s->db, json_string_value(json_object_get(item, "key")),
			value ? value : (const uint8_t *)"", value ? len : 0,
			json_integer_value(json_object_get(item, "lease")));
		g_free(value);
	}
	for (i = 0; i < json_array_size(deletes); i++)
		sdb_delete(&s->db,
			   json_string_value(json_array_get(deletes, i)), NULL);
	sdb_commit(&s->db);
}

static void close_connection(struct httpd_request *r)
{
	shutdown(httpd_get_fd(r), SHUT_RDWR);
	answer_status(r, 503);
}

/* Returns 1 if a command asked to lose the answer to this write. */
static int lose_answer_if_requested(struct kvsrv *s, struct httpd_request *r)
{
	if (!s->lose_count)
		return 0;
	s->lose_count--;
	close_connection(r);
	return 1;
}

static void handle_txn(struct kvsrv *s, struct httpd_request *r)
{
	json_t *root = json_loadb(buf_text(&r->body), r->body.len, 0, NULL);
	const json_t *expected = json_object_get(root, "expectedRev");
	const json_t *puts = json_object_get(root, "puts");
	const json_t *deletes = json_object_get(root, "deletes");

	if (!root || json_array_size(expected) + json_array_size(puts) +
				     json_array_size(deletes) >
			     KVSRV_MAX_ENTRIES) {
		answer_status(r, 400);
	} else if (!all_revisions_match(s, expected)) {
		answer_status(r, 412);
	} else if (!leases_exist(s, puts)) {
		answer_status(r, 404);
	} else {
		apply_txn(s, puts, deletes);
		if (!lose_answer_if_requested(s, r))
			answer_json(r, 200,
				    json_pack("{s:I}", "revision",
					      (json_int_t)s->db.revision));
		flush_watches(s);
	}
	json_decref(root);
}

static void handle_lease(struct kvsrv *s, struct httpd_request *r)
{
	json_t *root = json_loadb(buf_text(&r->body), r->body.len, 0, NULL);
	const char *text = json_string_value(json_object_get(root, "ttl_time"));
	double ms;

	if (!text || opt_parse_time(text, &ms) != ERR_OK) {
		answer_status(r, 400);
	} else {
		sdb_lease_grant(&s->db, ++s->next_lease, (int64_t)(ms / 1000),
				clk_ms());
		answer_json(r, 200,
			    json_pack("{s:I,s:s}", "lease",
				      (json_int_t)s->next_lease, "ttl_time",
				      text));
	}
	json_decref(root);
}

static struct sdb_lease *find_lease_in_path(struct kvsrv *s, const char *path)
{
	return sdb_lease_find(&s->db,
			      strtoll(strrchr(path, '/') + 1, NULL, 10));
}

static void handle_lease_keepalive(struct kvsrv *s, struct httpd_request *r)
{
	struct sdb_lease *l = find_lease_in_path(s, r->path);

	if (l)
		l->deadline_ms = clk_ms() + l->ttl_seconds * 1000;
	answer_status(r, l ? 200 : 404);
}

static void handle_lease_end(struct kvsrv *s, struct httpd_request *r)
{
	struct sdb_lease *l = find_lease_in_path(s, r->path);

	if (l)
		sdb_lease_revoke(&s->db, l);
	sdb_commit(&s->db);
	answer_status(r, l ? 200 : 404);
	flush_watches(s);
}

/* ---- control ---- */

void kvsrv_put(struct kvsrv *s, const char *key, const void *value, size_t len)
{
	sdb_put(&s->db, key, value, len, 0);
	sdb_commit(&s->db);
	flush_watches(s);
}

void kvsrv_compact(struct kvsrv *s)
{
	struct kvsrv_waiting *w, *next;

	sdb_compact(&s->db, s->db.revision);
	DL_FOREACH_SAFE(s->waiting, w, next) {
		struct httpd_request *r = w->r;

		if (!w->prefix)
			continue;
		waiting_free(w);
		answer_status(r, 410);
	}
}

void kvsrv_set_mode(struct kvsrv *s, enum kvsrv_mode mode)
{
	struct kvsrv_waiting *w, *next;

	s->mode = mode;
	if (mode != KVSRV_UP)
		return;
	DL_FOREACH_SAFE(s->waiting, w, next) {
		struct httpd_request *r = w->r;

		if (w->prefix)
			continue;
		waiting_free(w);
		answer_status(r, 503);
	}
	flush_watches(s);
}

void kvsrv_take_copy(struct kvsrv *s)
{
	sdb_take_copy(&s->db);
}

void kvsrv_restore(struct kvsrv *s, const char *keep)
{
	struct kvsrv_waiting *w, *next;

	s->era++;
	DL_FOREACH_SAFE(s->waiting, w, next) {
		struct httpd_request *r = w->r;

		if (!w->prefix)
			continue;
		waiting_free(w);
		close_connection(r);
	}
	sdb_restore(&s->db, keep, clk_ms());
}

static void control_down(struct kvsrv *s, struct httpd_request *r)
{
	const char *mode = httpd_get_argument(r, "mode");

	kvsrv_set_mode(s, mode && !strcmp(mode, "silent") ? KVSRV_SILENT
							  : KVSRV_REFUSE);
}

static void control_up(struct kvsrv *s, struct httpd_request *r)
{
	(void)r;
	kvsrv_set_mode(s, KVSRV_UP);
}

static void control_lose(struct kvsrv *s, struct httpd_request *r)
{
	const char *count = httpd_get_argument(r, "count");

	s->lose_count = count ? (unsigned)strtoul(count, NULL, 10) : 1;
}

static void control_compact(struct kvsrv *s, struct httpd_request *r)
{
	(void)r;
	kvsrv_compact(s);
}

static void control_put(struct kvsrv *s, struct httpd_request *r)
{
	const char *key = httpd_get_argument(r, "key");

	if (key)
		kvsrv_put(s, key, r->body.data, r->body.len);
}

static void control_copy(struct kvsrv *s, struct httpd_request *r)
{
	(void)r;
	kvsrv_take_copy(s);
}

static void control_restore(struct kvsrv *s, struct httpd_request *r)
{
	kvsrv_restore(s, httpd_get_argument(r, "keep"));
}

static const struct {
	const char *path;
	void (*run)(struct kvsrv *s, struct httpd_request *r);
} controls[] = {
	{ "/control/down", control_down },
	{ "/control/up", control_up },
	{ "/control/lose", control_lose },
	{ "/control/put", control_put },
	{ "/control/compact", control_compact },
	{ "/control/copy", control_copy },
	{ "/control/restore", control_restore },
};

static const struct {
	const char *method;
	const char *path;
	int prefix; /* a lease id follows the path */
	void (*run)(struct kvsrv *s, struct httpd_request *r);
} calls[] = {
	{ "GET", "/api/kv-key", 0, handle_key },
	{ "GET", "/api/kv-range", 0, handle_range },
	{ "GET", "/api/kv-watch", 0, handle_watch },
	{ "POST", "/api/kv-txn", 0, handle_txn },
	{ "POST", "/api/kv-lease", 0, handle_lease },
	{ "POST", "/api/kv-keep/", 1, handle_lease_keepalive },
	{ "DELETE", "/api/kv-lease-end/", 1, handle_lease_end },
};

static int path_matches(const char *path, const char *want, int prefix)
{
	size_t len = strlen(want);

	if (strncmp(path, want, len) != 0)
		return 0;
	return prefix || !path[len] || path[len] == '?';
}

static void handle_call(struct kvsrv *s, struct httpd_request *r)
{
	s->calls++;
	for (size_t i = 0; i < G_N_ELEMENTS(calls); i++) {
		if (strcmp(r->method, calls[i].method) != 0 ||
		    !path_matches(r->path, calls[i].path, calls[i].prefix))
			continue;
		calls[i].run(s, r);
		return;
	}
	answer_status(r, 404);
}

static void on_request(struct httpd_request *r, void *priv)
{
	struct kvsrv *s = priv;

	r->priv = NULL;
	for (size_t i = 0; i < G_N_ELEMENTS(controls); i++) {
		if (!path_matches(r->path, controls[i].path, 0))
			continue;
		controls[i].run(s, r);
		httpd_answer_text(r, 200, "text/plain", "ok\n");
		return;
	}
	if (s->mode == KVSRV_REFUSE)
		answer_status(r, 503);
	else if (s->mode == KVSRV_SILENT)
		waiting_new(s, r);
	else
		handle_call(s, r);
}

static void on_disconnected(struct httpd_request *r, void *priv)
{
	struct kvsrv_waiting *w = r->priv;

	(void)priv;
	if (w)
		waiting_free(w);
	answer_status(r, 503);
}

static void on_completed(struct httpd_request *r, void *priv)
{
	(void)priv;
	if (r->priv)
		waiting_free(r->priv);
}

static const struct httpd_ops server_ops = {
	.request = on_request,
	.disconnected = on_disconnected,
	.completed = on_completed,
};

static void on_sweep(struct ev_loop *loop, ev_timer *t, int events)
{
	struct kvsrv *s = t->data;

	(void)loop;
	(void)events;
	if (sdb_expire(&s->db, clk_ms()))
		flush_watches(s);
}

enum err kvsrv_init(struct kvsrv *s, struct ev_loop *loop, const char *address,
		    unsigned port, struct err_info *info)
{
	enum err e;

	memset(s, 0, sizeof(*s));
	s->loop = loop;
	s->era = 1;
	sdb_init(&s->db);
	e = httpd_init(&s->httpd, loop, address, port, KVSRV_MAX_BODY_BYTES,
		       KVSRV_IDLE_SECONDS, &server_ops, s, info);
	if (e != ERR_OK) {
		sdb_finish(&s->db);
		return e;
	}
	ev_timer_init(&s->sweep, on_sweep, KVSRV_SWEEP_MS / 1000.,
		      KVSRV_SWEEP_MS / 1000.);
	s->sweep.data = s;
	ev_timer_start(loop, &s->sweep);
	return ERR_OK;
}

void kvsrv_finish(struct kvsrv *s)
{
	while (s->waiting) {
		struct httpd_request *r = s->waiting->r;

		waiting_free(s->waiting);
		answer_status(r, 503);
	}
	httpd_finish(&s->httpd);
	ev_timer_stop(s->loop, &s->sweep);
	sdb_finish(&s->db);
}
