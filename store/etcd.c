#include "store/etcd.h"
#include "common/clk.h"
#include "common/log.h"
#include "store/etcd_json.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define ETCD_MAX_CONNECTIONS 32
/* A range may contain several values of STORE_MAX_VALUE_BYTES in base64. */
#define ETCD_MAX_ANSWER_BYTES (64 * 1024 * 1024)
/*
 * After a call that was not answered in time, the other open connections may
 * have failed as well. For this long, calls use new connections; by then the
 * HTTP client has closed the old ones, which were idle for too long.
 */
#define ETCD_NEW_CONNECTIONS_MS 6000

enum call_kind { CALL_RANGE, CALL_TXN, CALL_LEASE_GRANT, CALL_LEASE_KEEPALIVE };

static const char *const call_paths[] = {
	[CALL_RANGE] = "/v3/kv/range",
	[CALL_TXN] = "/v3/kv/txn",
	[CALL_LEASE_GRANT] = "/v3/lease/grant",
	[CALL_LEASE_KEEPALIVE] = "/v3/lease/keepalive",
};

struct etcd_call {
	struct etcd *e;
	enum call_kind kind;
	struct httpc_request http;
	char *body;
	struct store_known known; /* when the call was sent */
	int writes;		  /* a transaction that puts a value */
	/*
	 * Runs the callback from the loop, so that the callback may finish
	 * the store.
	 */
	ev_timer deliver;
	enum err error;
	union {
		store_range_fn range;
		store_txn_fn txn;
		store_lease_fn lease;
	} fn;
	void *priv;
	struct etcd_call *prev;
	struct etcd_call *next;
};

void etcd_note_era(struct etcd *e, uint64_t era)
{
	if (!era || era == e->store.era)
		return;
	if (e->store.era)
		log_warn("store_restored", "era=%llu before=%llu",
			 (unsigned long long)era,
			 (unsigned long long)e->store.era);
	e->store.era = era;
	etcd_end_old_watches(e);
}

static void call_free(struct etcd_call *c)
{
	httpc_request_finish(&c->http);
	free(c->body);
	free(c);
}

static void use_new_connections(struct etcd *e)
{
	e->new_connections_until_ms = clk_ms() + ETCD_NEW_CONNECTIONS_MS;
}

/*
 * Returns the error of an answer with this revision: ERR_TIMEOUT if it is to an
 * earlier call. Only a connection that carried one can bring it, and all later
 * answers there are to earlier calls as well.
 */
static enum err check_revision(struct etcd_call *c, int64_t revision,
			       uint64_t era, int wrote)
{
	if (c->http.reused_connection &&
	    store_answer_is_old(&c->known, revision, era, wrote)) {
		log_warn("store_answer_old", "revision=%lld known=%lld",
			 (long long)revision, (long long)c->known.revision);
		use_new_connections(c->e);
		return ERR_TIMEOUT;
	}
	store_note_revision(&c->e->store.known, revision, era);
	return ERR_OK;
}

static void deliver_range(struct etcd_call *c)
{
	static const struct store_range none;
	struct store_range result = { 0 };
	enum err e = c->error;

	if (e == ERR_OK &&
	    etcd_json_read_range(c->http.answer.data, c->http.answer.len,
				 &result) != ERR_OK)
		e = ERR_TIMEOUT;
	if (e == ERR_OK)
		e = check_revision(c, result.revision, result.era, 0);
	if (e != ERR_OK)
		c->e->store.counts.failures++;
	etcd_note_era(c->e, result.era);
	c->fn.range(e, e == ERR_OK ? &result : &none, c->priv);
	etcd_json_free_kvs(result.kvs, result.count);
}

static void deliver_txn(struct etcd_call *c)
{
	enum err e = c->error;
	int64_t revision = 0;
	int succeeded = 0;
	uint64_t era = 0;

	if (e == ERR_OK &&
	    etcd_json_read_txn(c->http.answer.data, c->http.answer.len,
			       &succeeded, &revision, &era) != ERR_OK)
		e = ERR_TIMEOUT;
	if (e == ERR_OK)
		e = check_revision(c, revision, era, succeeded && c->writes);
	if (e != ERR_OK)
		c->e->store.counts.failures++;
	else if (!succeeded)
		e = ERR_CONFLICT;
	etcd_note_era(c->e, era);
	c->fn.txn(e, revision, c->priv);
}

static void deliver_lease(struct etcd_call *c)
{
	enum err e = c->error;
	int64_t lease = 0;
	int64_t ttl = 0;
	uint64_t era = 0;

	if (e == ERR_OK &&
	    etcd_json_read_lease(c->http.answer.data, c->http.answer.len,
				 &lease, &ttl, &era) != ERR_OK)
		e = ERR_TIMEOUT;
	if (e == ERR_OK && c->kind == CALL_LEASE_GRANT && (!lease || ttl < 1))
		e = ERR_TIMEOUT;
	if (e != ERR_OK)
		c->e->store.counts.failures++;
	else if (ttl < 1)
		e = ERR_NOT_FOUND;
	etcd_note_era(c->e, era);
	c->fn.lease(e, lease, c->priv);
}

/* c->e is not used after the callback, which may finish the store. */
static void on_deliver(struct ev_loop *loop, ev_timer *w, int events)
{
	struct etcd_call *c = w->data;

	(void)events;
	ev_timer_stop(loop, w);
	DL_DELETE(c->e->calls, c);
	switch (c->kind) {
	case CALL_RANGE:
		deliver_range(c);
		break;
	case CALL_TXN:
		deliver_txn(c);
		break;
	case CALL_LEASE_GRANT:
	case CALL_LEASE_KEEPALIVE:
		deliver_lease(c);
		break;
	}
	call_free(c);
}

/*
 * libcurl repeats a request when a reused connection turns out to be closed.
 * The first send may have taken effect, so a write is not sent again.
 */
static enum err on_before_send(struct httpc_request *r, void *priv)
{
	const struct etcd_call *c = priv;
	int repeatable =
		c->kind == CALL_RANGE || c->kind == CALL_LEASE_KEEPALIVE;

	if (r->sends > 1 && !repeatable)
		return ERR_TIMEOUT;
	c->e->store.counts.bytes_out += r->body_len;
	return ERR_OK;
}

static void on_done(struct httpc_request *r, void *priv)
{
	struct etcd_call *c = priv;
	struct etcd *e = c->e;

	e->store.counts.bytes_in += r->answer.len;
	if (r->error == ERR_OK && r->status == 200)
		c->error = ERR_OK;
	else
		c->error = r->send_started ? ERR_TIMEOUT : ERR_STORE_DOWN;
	if (r->send_started && r->error == ERR_TIMEOUT)
		use_new_connections(e);
	ev_timer_start(e->loop, &c->deliver);
}

static const struct httpc_ops call_ops = {
	.before_send = on_before_send,
	.done = on_done,
};

static struct etcd_call *call_new(struct store *s, enum call_kind kind,
				  void *priv)
{
	struct etcd *e = (struct etcd *)s;
	struct etcd_call *c = g_new0(struct etcd_call, 1);

	c->e = e;
	c->kind = kind;
	c->priv = priv;
	ev_timer_init(&c->deliver, on_deliver, 0., 0.);
	c->deliver.data = c;
	DL_APPEND(e->calls, c);
	return c;
}

static void call_fail(struct etcd_call *c, enum err error)
{
	c->error = error;
	ev_timer_start(c->e->loop, &c->deliver);
}

static void call_start(struct etcd_call *c, char *body)
{
	static const struct httpc_header json = { "Content-Type",
						  "application/json" };
	struct etcd *e = c->e;
	char *url;

	c->body = body;
	c->known = e->store.known;
	if (!body) {
		call_fail(c, ERR_STORE_DOWN);
		return;
	}
	url = g_strconcat(e->endpoint, call_paths[c->kind], NULL);
	c->http = (struct httpc_request){
		.ops = &call_ops,
		.priv = c,
		.method = "POST",
		.url = url,
		.headers = &json,
		.header_count = 1,
		.body = body,
		.body_len = strlen(body),
		.timeout_ms = e->timeout_ms,
		.max_body_bytes = ETCD_MAX_ANSWER_BYTES,
		.new_connection = clk_ms() < e->new_connections_until_ms,
	};
	if (httpc_start(&e->calls_client, &c->http) != ERR_OK)
		call_fail(c, ERR_STORE_DOWN);
	g_free(url);
}

static void etcd_range(struct store *s, const char *key, int prefix,
		       store_range_fn fn, void *priv)
{
	struct etcd_call *c = call_new(s, CALL_RANGE, priv);

	c->fn.range = fn;
	s->counts.ranges++;
	call_start(c, etcd_json_range(key, prefix));
}

static int has_oversize_value(const struct store_put *puts, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (puts[i].value && puts[i].value_len > STORE_MAX_VALUE_BYTES)
			return 1;
	}
	return 0;
}

/* The deletion of a key that does not exist makes no new revision. */
static int has_value(const struct store_put *puts, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (puts[i].value)
			return 1;
	}
	return 0;
}

static void etcd_txn(struct store *s, const struct store_compare *compares,
		     size_t compare_count, const struct store_put *puts,
		     size_t put_count, store_txn_fn fn, void *priv)
{
	struct etcd_call *c = call_new(s, CALL_TXN, priv);

	c->fn.txn = fn;
	if (has_oversize_value(puts, put_count)) {
		call_fail(c, ERR_TOO_LARGE);
		return;
	}
	s->counts.txns++;
	c->writes = has_value(puts, put_count);
	call_start(c, etcd_json_txn(compares, compare_count, puts, put_count));
}

static void etcd_lease_grant(struct store *s, int ttl_seconds,
			     store_lease_fn fn, void *priv)
{
	struct etcd_call *c = call_new(s, CALL_LEASE_GRANT, priv);

	c->fn.lease = fn;
	s->counts.leases++;
	call_start(c, etcd_json_lease_grant(ttl_seconds));
}

static void etcd_lease_keepalive(struct store *s, int64_t lease,
				 store_lease_fn fn, void *priv)
{
	struct etcd_call *c = call_new(s, CALL_LEASE_KEEPALIVE, priv);

	c->fn.lease = fn;
	s->counts.leases++;
	call_start(c, etcd_json_lease_keepalive(lease));
}

/*
 * The id of a cluster says nothing about the order of eras, but a restore takes
 * longer than the clocks of operators' machines are apart.
 */
static uint64_t etcd_number_floor(const struct store *s)
{
	(void)s;
	return (uint64_t)clk_wall_ms();
}

static void etcd_finish(struct store *s)
{
	struct etcd *e = (struct etcd *)s;
	struct etcd_call *c;
	struct etcd_call *tmp;

	while (e->watches)
		etcd_unwatch(s, e->watches);
	DL_FOREACH_SAFE(e->calls, c, tmp) {
		httpc_cancel(&c->http);
		ev_timer_stop(e->loop, &c->deliver);
		call_free(c);
	}
	httpc_finish(&e->calls_client);
	httpc_finish(&e->watch_client);
	g_free(e->endpoint);
	g_free(e);
}

static const struct store_ops etcd_ops = {
	.range = etcd_range,
	.txn = etcd_txn,
	.lease_grant = etcd_lease_grant,
	.lease_keepalive = etcd_lease_keepalive,
	.watch = etcd_watch,
	.unwatch = etcd_unwatch,
	.number_floor = etcd_number_floor,
	.finish = etcd_finish,
};

enum err etcd_open(struct store **out, struct ev_loop *loop,
		   const char *endpoint, int timeout_ms, struct err_info *info)
{
	struct etcd *e;

	*out = NULL;
	if (!g_str_has_prefix(endpoint, "http://"))
		return err_set(info, ERR_RANGE,
			       "store endpoint %s is not http://ADDRESS:PORT",
			       endpoint);
	if (timeout_ms < 1)
		return err_set(info, ERR_RANGE,
			       "store timeout of %d ms is less than 1 ms",
			       timeout_ms);
	e = g_new0(struct etcd, 1);
	e->store.ops = &etcd_ops;
	e->loop = loop;
	e->endpoint = g_strdup(endpoint);
	e->timeout_ms = timeout_ms;
	if (httpc_init(&e->calls_client, loop, ETCD_MAX_CONNECTIONS) !=
		    ERR_OK ||
	    httpc_init(&e->watch_client, loop, 0) != ERR_OK) {
		etcd_finish(&e->store);
		return err_set(info, ERR_NOMEM,
			       "no memory for the HTTP client of the store");
	}
	*out = &e->store;
	return ERR_OK;
}
