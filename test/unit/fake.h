#ifndef TEST_UNIT_FAKE_H
#define TEST_UNIT_FAKE_H

#include "common/clk.h"
#include "protocol/frame.h"
#include "routing/view.h"

#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Fakes for the tests of the request path: a view (the node's map, document and
 * right to serve), a target, and the recorder of replies. They are used from
 * one libev loop; a failed check aborts the test.
 */

#define FAKE_SERVICE "kiln"
#define FAKE_SHARDS 4
#define FAKE_WAIT_SECONDS 60.

static inline void fake_on_timeout(struct ev_loop *loop, ev_timer *w,
				   int events)
{
	(void)loop;
	(void)w;
	(void)events;
	g_error("timed out waiting for an event");
}

#define FAKE_TICK_SECONDS 0.005

static inline void fake_on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)w;
	(void)events;
}

/*
 * Runs the loop until *flag reaches n; fails the test after FAKE_WAIT_SECONDS.
 */
static inline void fake_wait(struct ev_loop *loop, const unsigned *flag,
			     unsigned n)
{
	ev_timer timeout, tick;

	ev_timer_init(&timeout, fake_on_timeout, FAKE_WAIT_SECONDS, 0.);
	ev_timer_start(loop, &timeout);
	/* A prepare watcher may set the flag right before the loop blocks. */
	ev_timer_init(&tick, fake_on_tick, FAKE_TICK_SECONDS,
		      FAKE_TICK_SECONDS);
	ev_timer_start(loop, &tick);
	while (*flag < n)
		ev_run(loop, EVRUN_ONCE);
	ev_timer_stop(loop, &tick);
	ev_timer_stop(loop, &timeout);
}

static inline void fake_on_pause(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	*(unsigned *)w->data = 1;
}

/* Runs the loop for ms milliseconds. */
static inline void fake_pause(struct ev_loop *loop, int ms)
{
	unsigned over = 0;
	ev_timer t;

	ev_timer_init(&t, fake_on_pause, ms / 1000., 0.);
	t.data = &over;
	ev_now_update(loop);
	ev_timer_start(loop, &t);
	/* Not by fake_wait: tests count the loop's turns in a pause. */
	while (!over)
		ev_run(loop, EVRUN_ONCE);
}

/* A view with a map and a document of the one service FAKE_SERVICE. */
struct fake_view {
	struct view view; /* first member */
	struct map map;
	struct doc doc;
	struct doc_service service;
	struct doc_route doc_route;
	struct doc_route *routes; /* the only one */
	struct doc_destination part;
	int no_doc;    /* no document has come yet */
	uint32_t self; /* id of this node */
	/* What may_serve returns for slots of this node, and may_route. */
	enum err may_serve_result;
	enum err may_route_result;
	const char *drained_data_centre; /* NULL: none */
	/* What may_serve fills in. */
	uint64_t fence;
	int64_t not_after_ns;
	unsigned may_serve_calls;
	/*
	 * Unless 0: from this call on, may_serve returns
	 * may_serve_result_later, whoever owns the slot.
	 */
	unsigned later_from_call;
	enum err may_serve_result_later;
};

static inline const struct map *fake_map(struct view *v)
{
	return &((struct fake_view *)v)->map;
}

static inline const struct doc *fake_doc(struct view *v)
{
	struct fake_view *f = (struct fake_view *)v;

	return f->no_doc ? NULL : &f->doc;
}

static inline uint32_t fake_self(struct view *v)
{
	return ((struct fake_view *)v)->self;
}

static inline enum err fake_may_serve(struct view *v, uint32_t slot,
				      int64_t now_ns, uint64_t *fence,
				      int64_t *not_after_ns)
{
	struct fake_view *f = (struct fake_view *)v;

	(void)now_ns;
	f->may_serve_calls++;
	*fence = f->fence;
	*not_after_ns = f->not_after_ns;
	if (f->later_from_call && f->may_serve_calls >= f->later_from_call)
		return f->may_serve_result_later;
	if (slot >= f->map.slot_count || f->map.slots[slot].owner != f->self)
		return ERR_NOT_OWNER;
	return f->may_serve_result;
}

static inline enum err fake_may_route(struct view *v, int64_t now_ms)
{
	(void)now_ms;
	return ((struct fake_view *)v)->may_route_result;
}

static inline int fake_data_centre_is_drained(struct view *v,
					      const char *data_centre)
{
	const char *drained = ((struct fake_view *)v)->drained_data_centre;

	return drained && strcmp(drained, data_centre) == 0;
}

static const struct view_ops fake_view_ops = {
	.map = fake_map,
	.doc = fake_doc,
	.self = fake_self,
	.may_serve = fake_may_serve,
	.may_route = fake_may_route,
	.data_centre_is_drained = fake_data_centre_is_drained,
};

/* Makes the node the owner of all shards, with the map revision as fence. */
static inline void fake_set_owner(struct fake_view *f, uint32_t owner)
{
	Wire__MapDelta d = WIRE__MAP_DELTA__INIT;
	Wire__MapSlot slot[FAKE_SHARDS], *slots[FAKE_SHARDS];

	for (uint32_t i = 0; i < FAKE_SHARDS; i++) {
		wire__map_slot__init(&slot[i]);
		slot[i].slot = i;
		slot[i].owner = owner;
		slot[i].fence = f->map.rev + 1;
		slots[i] = &slot[i];
	}
	d.base_rev = f->map.rev;
	d.rev = f->map.rev + 1;
	d.n_slots = FAKE_SHARDS;
	d.slots = slots;
	g_assert_cmpint(map_apply(&f->map, &d), ==, ERR_OK);
}

/*
 * Adds or replaces a node in the map, with the bandwidth of its network link;
 * 0: not known.
 */
static inline void fake_set_node_bandwidth(struct fake_view *f, uint32_t id,
					   char *name, unsigned peer_port,
					   uint32_t link_kbps)
{
	Wire__MapDelta d = WIRE__MAP_DELTA__INIT;
	Wire__Node node = WIRE__NODE__INIT, *nodes = &node;

	node.id = id;
	node.name = name;
	node.address = "127.0.0.1";
	node.peer_port = peer_port;
	node.link_kbps = link_kbps;
	d.base_rev = f->map.rev;
	d.rev = f->map.rev + 1;
	d.n_nodes = 1;
	d.nodes = &nodes;
	g_assert_cmpint(map_apply(&f->map, &d), ==, ERR_OK);
}

/* Adds or replaces a node of unknown bandwidth in the map. */
static inline void fake_set_node(struct fake_view *f, uint32_t id, char *name,
				 unsigned peer_port)
{
	fake_set_node_bandwidth(f, id, name, peer_port, 0);
}

/*
 * Initialises the view with the nodes 1 "n01" and 2 "n02". Node 1 is this one
 * and owns all shards.
 */
static inline void fake_view_init(struct fake_view *f)
{
	Wire__MapDelta d = WIRE__MAP_DELTA__INIT;
	Wire__MapService s = WIRE__MAP_SERVICE__INIT, *services = &s;

	memset(f, 0, sizeof(*f));
	f->view.ops = &fake_view_ops;
	f->self = 1;
	f->fence = 7;
	f->not_after_ns = INT64_MAX;
	map_init(&f->map);
	s.name = FAKE_SERVICE;
	s.shards = FAKE_SHARDS;
	d.rev = 1;
	d.n_services = 1;
	d.services = &services;
	g_assert_cmpint(map_apply(&f->map, &d), ==, ERR_OK);
	fake_set_node(f, 1, "n01", 0);
	fake_set_node(f, 2, "n02", 0);
	fake_set_owner(f, 1);
	strcpy(f->service.name, FAKE_SERVICE);
	strcpy(f->service.prefix, "/kiln/");
	f->service.shards = FAKE_SHARDS;
	f->service.body_bytes = 1024 * 1024;
	f->service.queue = 16;
	f->service.deadline_ms = 5000;
	f->service.retry_ratio = 0.1;
	f->service.tenant_share = 1;
	f->doc.services = &f->service;
	f->doc.service_count = 1;
	f->service.keyed = 1;
	strcpy(f->part.service, FAKE_SERVICE);
	f->part.weight = 1;
	strcpy(f->doc_route.name, FAKE_SERVICE);
	strcpy(f->doc_route.host, "*");
	strcpy(f->doc_route.prefix, "/kiln/");
	f->doc_route.attempts = 100;
	f->doc_route.destinations = &f->part;
	f->doc_route.destination_count = 1;
	f->doc_route.weight_sum = 1;
	f->routes = &f->doc_route;
	f->doc.routes = &f->routes;
	f->doc.route_count = 1;
	f->doc.revision = 1;
}

static inline void fake_view_finish(struct fake_view *f)
{
	map_finish(&f->map);
}

/*
 * A target on a raw socket, so that it can answer in ways that a correct HTTP
 * server does not. Each request that is read in full counts as a run.
 */
enum fake_mode {
	FAKE_ANSWER,	 /* sends `answer`, keeps the connection */
	FAKE_ANSWER_CUT, /* sends `answer`, closes the connection */
	FAKE_DROP,	 /* closes the connection without an answer */
	FAKE_SILENT,	 /* sends nothing; the test may use fake_write */
};

#define FAKE_MAX_CONNECTIONS 4096
#define FAKE_OK "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

struct fake_target;

struct fake_connection {
	struct fake_target *t;
	int fd;
	ev_io io;
	char in[65536];
	size_t len;
};

struct fake_target {
	struct ev_loop *loop;
	int fd;
	unsigned port;
	ev_io io;
	enum fake_mode mode;
	const char *answer;
	/* Unless 0: from the run with this number on, mode_later applies. */
	unsigned later_from_run;
	enum fake_mode mode_later;
	unsigned runs;
	unsigned connections; /* accepted so far */
	/* If not NULL, returns the mode of a run; it may set answer. */
	enum fake_mode (*choose)(struct fake_target *t, const char *request);
	void *priv;
	char last_request[65536];
	int last_fd; /* connection of the last request */
	/* By the order of acceptance; NULL once closed. */
	struct fake_connection *open[FAKE_MAX_CONNECTIONS];
};

/* Closes and frees the connection. */
static inline void fake_close(struct fake_connection *c)
{
	for (int i = 0; i < FAKE_MAX_CONNECTIONS; i++)
		if (c->t->open[i] == c)
			c->t->open[i] = NULL;
	ev_io_stop(c->t->loop, &c->io);
	close(c->fd);
	g_free(c);
}

/* Returns the length of the first request, 0 if it is not complete yet. */
static inline size_t fake_request_len(const struct fake_connection *c)
{
	const char *end = strstr(c->in, "\r\n\r\n");
	const char *length = strcasestr(c->in, "\r\nContent-Length:");
	size_t len;

	if (!end)
		return 0;
	len = (size_t)(end - c->in) + 4;
	if (length && length < end)
		len += strtoul(length + 17, NULL, 10);
	return len <= c->len ? len : 0;
}

/* Sends the whole text on a connection. */
static inline void fake_write(int fd, const char *text)
{
	g_assert_cmpint(send(fd, text, strlen(text), MSG_NOSIGNAL), ==,
			(ssize_t)strlen(text));
}

/* Acts on a request by the mode. Returns 0 if that closed the connection. */
static inline int fake_serve_request(struct fake_connection *c)
{
	struct fake_target *t = c->t;
	enum fake_mode mode = t->mode;

	t->runs++;
	if (t->later_from_run && t->runs >= t->later_from_run)
		mode = t->mode_later;
	if (t->choose)
		mode = t->choose(t, t->last_request);
	switch (mode) {
	case FAKE_ANSWER:
		fake_write(c->fd, t->answer);
		return 1;
	case FAKE_ANSWER_CUT:
		fake_write(c->fd, t->answer);
		break;
	case FAKE_DROP:
		break;
	case FAKE_SILENT:
		return 1;
	}
	fake_close(c);
	return 0;
}

static inline void fake_on_readable(struct ev_loop *loop, ev_io *w, int events)
{
	struct fake_connection *c = w->data;
	ssize_t n = read(c->fd, c->in + c->len, sizeof(c->in) - 1 - c->len);
	size_t len;

	(void)loop;
	(void)events;
	if (n <= 0) {
		fake_close(c);
		return;
	}
	c->len += (size_t)n;
	c->in[c->len] = 0;
	while ((len = fake_request_len(c))) {
		memcpy(c->t->last_request, c->in, len);
		c->t->last_request[len] = 0;
		c->t->last_fd = c->fd;
		memmove(c->in, c->in + len, c->len - len + 1);
		c->len -= len;
		if (!fake_serve_request(c))
			return;
	}
}

static inline void fake_on_accept(struct ev_loop *loop, ev_io *w, int events)
{
	struct fake_target *t = w->data;
	struct fake_connection *c = g_malloc0(sizeof(*c));

	(void)events;
	c->t = t;
	c->fd = accept(t->fd, NULL, NULL);
	g_assert_cmpint(c->fd, >=, 0);
	g_assert_cmpuint(t->connections, <, FAKE_MAX_CONNECTIONS);
	t->open[t->connections++] = c;
	ev_io_init(&c->io, fake_on_readable, c->fd, EV_READ);
	c->io.data = c;
	ev_io_start(loop, &c->io);
}

/* Returns a socket that listens on a free port of the loopback address. */
static inline int fake_listen(unsigned *port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t len = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	g_assert_cmpint(listen(fd, 64), ==, 0);
	g_assert_cmpint(getsockname(fd, (struct sockaddr *)&sa, &len), ==, 0);
	*port = ntohs(sa.sin_port);
	return fd;
}

/* Starts a target that answers FAKE_OK until its members are changed. */
static inline void fake_target_init(struct fake_target *t, struct ev_loop *loop)
{
	memset(t, 0, sizeof(*t));
	t->loop = loop;
	t->answer = FAKE_OK;
	t->fd = fake_listen(&t->port);
	ev_io_init(&t->io, fake_on_accept, t->fd, EV_READ);
	t->io.data = t;
	ev_io_start(loop, &t->io);
}

/* Stops listening, so that new connections are refused. */
static inline void fake_target_close(struct fake_target *t)
{
	if (t->fd < 0)
		return;
	ev_io_stop(t->loop, &t->io);
	close(t->fd);
	t->fd = -1;
}

static inline void fake_target_finish(struct fake_target *t)
{
	fake_target_close(t);
	for (int i = 0; i < FAKE_MAX_CONNECTIONS; i++)
		if (t->open[i])
			fake_close(t->open[i]);
}

/* Returns the announcement of the target, as its node passes it on. */
static inline Wire__Target fake_announcement(const struct fake_target *t,
					     uint32_t concurrency)
{
	Wire__Target a = WIRE__TARGET__INIT;

	a.service = FAKE_SERVICE;
	a.address = "127.0.0.1";
	a.port = t->port;
	a.concurrency = concurrency;
	return a;
}

/* A copy of the last reply of a gate or of a link. */
struct fake_reply {
	unsigned count; /* replies so far */
	enum wire_outcome outcome;
	enum err error;
	uint64_t attempt;
	uint32_t status;
	uint32_t retry_after_ms;
	char body[256];
	char headers[2048]; /* "Name: value\n" lines */
};

/* Copies a reply to priv, a struct fake_reply. */
static inline void fake_on_reply(const Wire__ForwardReply *reply, void *priv)
{
	struct fake_reply *r = priv;
	size_t len = 0;

	r->count++;
	r->outcome = reply->outcome;
	r->error = reply->error;
	r->attempt = reply->attempt;
	r->status = reply->status;
	r->retry_after_ms = reply->retry_after_ms;
	g_assert_cmpuint(reply->body.len, <, sizeof(r->body));
	if (reply->body.len)
		memcpy(r->body, reply->body.data, reply->body.len);
	r->body[reply->body.len] = 0;
	for (size_t i = 0; i < reply->n_headers; i++)
		len += (size_t)g_snprintf(
			r->headers + len, sizeof(r->headers) - len, "%s: %s\n",
			reply->headers[i]->name, reply->headers[i]->value);
}

/* Returns a request for one key of FAKE_SERVICE. */
static inline Wire__Forward fake_forward(uint64_t attempt, char *method)
{
	Wire__Forward f = WIRE__FORWARD__INIT;

	f.attempt = attempt;
	f.deadline_ms = 5000;
	f.service = FAKE_SERVICE;
	f.key = "passau-1";
	f.method = method;
	f.path = "/kiln/passau-1";
	f.tenant = "passau";
	f.idempotent = strcmp(method, "POST") != 0;
	return f;
}

#endif
