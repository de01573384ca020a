#include "ctl/ctl.h"

#include <stdio.h>
#include <string.h>
#include <sys/random.h>

#define STORE_TIMEOUT_MS 2000
#define HTTP_TIMEOUT_MS 1000

const struct ctl_interface ctl_interface_own = { "own", etcd_open, NULL };

enum err ctl_open(struct ctl *c, struct err_info *info)
{
	uint64_t id;
	enum err e;

	c->loop = ev_default_loop(0);
	if (getrandom(&id, sizeof(id), 0) != sizeof(id))
		return err_set(info, ERR_SYSTEM, "getrandom");
	snprintf(c->writer, sizeof(c->writer), "ctl-%016llx",
		 (unsigned long long)id);
	e = httpc_init(&c->http, c->loop, 1);
	if (e != ERR_OK)
		return err_set(info, e, "HTTP client");
	c->http_open = 1;
	return c->interface->store_open(&c->store, c->loop, c->endpoint,
					STORE_TIMEOUT_MS, info);
}

void ctl_close(struct ctl *c)
{
	if (c->store)
		c->store->ops->finish(c->store);
	if (c->http_open)
		httpc_finish(&c->http);
}

struct call {
	struct ev_loop *loop;
	enum err error;
	void (*fn)(const struct store_range *range, void *priv);
	void *priv;
};

static void on_range(enum err e, const struct store_range *result, void *priv)
{
	struct call *call = priv;

	call->error = e;
	if (e == ERR_OK)
		call->fn(result, call->priv);
	ev_break(call->loop, EVBREAK_ONE);
}

enum err ctl_store_range(struct ctl *c, const char *key, int prefix,
			 void (*fn)(const struct store_range *range,
				    void *priv),
			 void *priv)
{
	struct call call = { .loop = c->loop, .fn = fn, .priv = priv };

	c->store->ops->range(c->store, key, prefix, on_range, &call);
	ev_run(c->loop, 0);
	return call.error;
}

static void on_txn(enum err e, int64_t revision, void *priv)
{
	struct call *call = priv;

	(void)revision;
	call->error = e;
	ev_break(call->loop, EVBREAK_ONE);
}

enum err ctl_store_txn(struct ctl *c, const struct store_compare *compare,
		       const struct store_put *puts, size_t put_count)
{
	struct call call = { .loop = c->loop };

	c->store->ops->txn(c->store, compare, 1, puts, put_count, on_txn,
			   &call);
	ev_run(c->loop, 0);
	return call.error;
}

static void on_http(struct httpc_request *r, void *priv)
{
	(void)r;
	ev_break(priv, EVBREAK_ONE);
}

enum err ctl_http_request(struct ctl *c, const char *method, const char *url,
			  int *status, struct buf *answer)
{
	static const struct httpc_ops ops = { .done = on_http };
	struct httpc_request r = {
		.ops = &ops,
		.priv = c->loop,
		.method = method,
		.url = url,
		.timeout_ms = HTTP_TIMEOUT_MS,
	};
	enum err e = httpc_start(&c->http, &r);

	if (e != ERR_OK)
		return e;
	ev_run(c->loop, 0);
	e = r.error;
	*status = r.status;
	buf_reset(answer);
	if (e == ERR_OK)
		e = buf_add(answer, r.answer.data, r.answer.len);
	httpc_request_finish(&r);
	return e;
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)w;
	(void)events;
	ev_break(loop, EVBREAK_ONE);
}

void ctl_sleep(struct ctl *c, int ms)
{
	ev_timer timer;

	ev_timer_init(&timer, on_timer, ms / 1000., 0.);
	ev_now_update(c->loop);
	ev_timer_start(c->loop, &timer);
	ev_run(c->loop, 0);
	ev_timer_stop(c->loop, &timer);
}

void ctl_store_key(const struct ctl *c, char out[CTL_KEY_BYTES],
		   const char *first, const char *second)
{
	snprintf(out, CTL_KEY_BYTES, "%s%s%s", c->prefix, first, second);
}
