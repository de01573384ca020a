#include "daemon/node.h"
#include "common/clk.h"
#include "common/log.h"

#include <stdlib.h>
#include <string.h>

#define CONTROL_MAX_BODY_BYTES (64 * 1024)
#define CONTROL_IDLE_S 30
/*
 * A target that states a start this long after this VM's clock has not started
 * then. The margin only has to exceed any error of the clock.
 */
#define CONTROL_BORN_AHEAD_MS ((int64_t)24 * 3600 * 1000)

/* The connection ends: the start of the next call on it is not certain. */
static void answer_malformed(struct httpd_request *r,
			     const struct err_info *info)
{
	static const struct httpd_header headers[] = {
		{ "Content-Type", "text/plain" }, { "Connection", "close" }
	};
	struct buf b;

	log_warn("announcement_malformed", "error=%s detail=%s",
		 err_name(info->code), LOG_Q(info->detail));
	buf_init(&b);
	buf_addf(&b, "%s: %s\n", err_name(info->code), info->detail);
	httpd_answer(r, 400, headers, sizeof(headers) / sizeof(headers[0]),
		     buf_text(&b), strlen(buf_text(&b)));
	buf_finish(&b);
}

int node_is_born_ahead(int64_t born_ms)
{
	return born_ms > clk_wall_ms() + CONTROL_BORN_AHEAD_MS;
}

/* Returns ERR_OK if the announcement can be one of this node's target. */
static enum err check_announcement(const struct node *n,
				   const struct announcement *a,
				   struct err_info *info)
{
	const char *service = n->settings->service;

	if (service[0] && strcmp(a->service, service) != 0)
		return err_set(info, ERR_RANGE,
			       "service: not that of this node");
	if (node_is_born_ahead(a->born_ms))
		return err_set(info, ERR_RANGE, "start: in the future");
	return ERR_OK;
}

static void handle_announce(struct node *n, struct httpd_request *r,
			    const char *id)
{
	/* Static, since too large for the stack; the daemon has one thread. */
	static struct announcement a;
	static struct announce_answer answer;
	struct err_info info = { ERR_OK, "" };
	struct buf b;

	if (n->interface->read_announcement(id, buf_text(&r->body), r->body.len,
					    &a, &info) != ERR_OK ||
	    check_announcement(n, &a, &info) != ERR_OK) {
		answer_malformed(r, &info);
		return;
	}
	node_handle_announcement(n, &a, &answer);
	buf_init(&b);
	n->interface->write_answer(&answer, &b);
	httpd_answer_text(r, 200,
			  n->interface->document ? "application/json"
						 : "text/plain",
			  buf_text(&b));
	buf_finish(&b);
}

static void handle_leave(struct node *n, struct httpd_request *r,
			 const char *id)
{
	struct err_info info = { ERR_OK, "" };
	int64_t born_ms = 0;

	if (n->interface->read_leave)
		born_ms = n->interface->read_leave(buf_text(&r->body),
						   r->body.len);
	/* Taken without its time, it would end a later run of the target. */
	if (born_ms < 0) {
		err_set(&info, ERR_MALFORMED, "no whole object");
		answer_malformed(r, &info);
		return;
	}
	if (node_is_born_ahead(born_ms)) {
		err_set(&info, ERR_RANGE, "start: in the future");
		answer_malformed(r, &info);
		return;
	}
	node_handle_target_leave(n, id, born_ms);
	/* Targets without an id make no announcement once they have left. */
	if (id[0])
		node_defer_target_call(n, r, 1);
	else
		httpd_answer_text(r, 200, "text/plain", "leaving\n");
}

int node_handle_target_call(struct node *n, struct httpd_request *r)
{
	char id[NODE_TARGET_ID_BYTES];

	switch (n->interface->match_target_call(r->method, r->path, id,
						sizeof(id))) {
	case TARGET_CALL_NONE:
		return 0;
	case TARGET_CALL_ANNOUNCE:
		if (node_departures_unknown(n))
			node_defer_target_call(n, r, 0);
		else
			handle_announce(n, r, id);
		return 1;
	case TARGET_CALL_LEAVE:
		handle_leave(n, r, id);
		return 1;
	}
	return 0;
}

/*
 * A node that has lost only the store or the coordinator stays ready until its
 * map and document count as stale, since it can still serve callers.
 */
int node_is_ready(struct node *n)
{
	struct view *v = membership_view(n->membership);

	return n->phase == NODE_RUNNING &&
	       v->ops->may_route(v, clk_ms()) == ERR_OK;
}

static void on_ready(struct httpd_request *r, void *priv)
{
	struct node *n = priv;

	if (strcmp(r->path, n->interface->ready_path) != 0)
		httpd_answer_text(r, 404, "text/plain", "no such page\n");
	else if (node_is_ready(n))
		httpd_answer_text(r, 200, "text/plain", "ready\n");
	else
		httpd_answer_text(r, 503, "text/plain", "not ready\n");
}

static void on_control(struct httpd_request *r, void *priv)
{
	if (!node_handle_target_call(priv, r))
		httpd_answer_text(r, 404, "text/plain", "no such page\n");
}

static const struct httpd_ops ready_ops = {
	.request = on_ready,
};

static void on_control_completed(struct httpd_request *r, void *priv)
{
	node_forget_target_call(priv, r);
}

static const struct httpd_ops control_ops = {
	.request = on_control,
	.completed = on_control_completed,
};

/* Starts the server and sets up to 1; does nothing if port is 0. */
static enum err start_http_server(struct node *n, struct httpd *d, int *up,
				  int port, const struct httpd_ops *ops,
				  struct err_info *info)
{
	enum err e;

	if (!port)
		return ERR_OK;
	e = httpd_init(d, n->loop, n->settings->address, (unsigned)port,
		       CONTROL_MAX_BODY_BYTES, CONTROL_IDLE_S, ops, n, info);
	*up = e == ERR_OK;
	return e;
}

enum err node_control_init(struct node *n, struct err_info *info)
{
	enum err e =
		start_http_server(n, &n->ready, &n->ready_up,
				  n->settings->ready_port, &ready_ops, info);

	if (e != ERR_OK)
		return e;
	return start_http_server(n, &n->control, &n->control_up,
				 n->settings->control_port, &control_ops, info);
}
