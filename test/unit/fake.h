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

/* Fakes for the tests of the request path. */

#define FAKE_SERVICE "kiln"
#define FAKE_SHARDS 4
#define FAKE_WAIT_SECONDS 60.

/* Runs the loop until *flag reaches n; fails the test if it never does. */
static inline void fake_on_stuck(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)w;
	(void)events;
	g_error("the awaited event did not come");
}

static inline void fake_wait(struct ev_loop *loop, const unsigned *flag,
			     unsigned n)
{
	ev_timer stuck;

	ev_timer_init(&stuck, fake_on_stuck, FAKE_WAIT_SECONDS, 0.);
	ev_timer_start(loop, &stuck);
	while (*flag < n)
		ev_run(loop, EVRUN_ONCE);
	ev_timer_stop(loop, &stuck);
}

static inline void fake_on_pause(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	*(unsigned *)w->data = 1;
}

/* Runs the loop for a time. */
static inline void fake_pause(struct ev_loop *loop, int ms)
{
	unsigned over = 0;
	ev_timer t;

	ev_timer_init(&t, fake_on_pause, ms / 1000., 0.);
	t.data = &over;
	ev_now_update(loop);
	ev_timer_start(loop, &t);
	fake_wait(loop, &over, 1);
}

/* A view with a map and a document of one service, both owned by it. */
struct fake_view {
	struct view view; /* first member */
	struct map map;
	struct doc doc;
	struct doc_service service;
	struct doc_route doc_route;
	struct doc_destination part;
	uint32_t self;
	enum err serve;
	enum err route;
	uint64_t fence;
	int64_t not_after_ns;
	unsigned asked;
	/* may_serve answers serve_later from this question on, if not 0. */
	unsigned later_from;
	enum err serve_later;
};

static inline const struct map *fake_map(struct view *v)
{
	return &((struct fake_view *)v)->map;
}

static inline const struct doc *fake_doc(struct view *v)
{
	return &((struct fake_view *)v)->doc;
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
	f->asked++;
	*fence = f->fence;
	*not_after_ns = f->not_after_ns;
	if (f->later_from && f->asked >= f->later_from)
		return f->serve_later;
	if (slot >= f->map.slot_count || f->map.slots[slot].owner != f->self)
		return ERR_NOT_OWNER;
	return f->serve;
}

static inline enum err fake_may_route(struct view *v, int64_t now_ms)
{
	(void)now_ms;
	return ((struct fake_view *)v)->route;
}

static const struct view_ops fake_view_ops = {
	.map = fake_map,
	.doc = fake_doc,
	.self = fake_self,
	.may_serve = fake_may_serve,
	.may_route = fake_may_route,
};

/* All shards belong to one node from now on. */
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

/* A node whose line has a rate; 0: not known. */
static inline void fake_set_line(struct fake_view *f, uint32_t id, char *name,
				 unsigned peer_port, uint32_t link_kbps)
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

static inline void fake_set_node(struct fake_view *f, uint32_t id, char *name,
				 unsigned peer_port)
{
	fake_set_line(f, id, name, peer_port, 0);
}

/* Nodes 1 "n01" and 2 "n02"; node 1 is this one and owns all shards. */
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
	f->doc.routes = &f->doc_route;
	f->doc.route_count = 1;
	f->doc.revision = 1;
}

static inline void fake_view_finish(struct fake_view *f)
{
	map_finish(&f->map);
}

/*
 * A target on a raw socket, so that it can answer in ways in which a proper
 * HTTP server does not. Each whole request that is read counts as a run.
 */
enum fake_mode {
	FAKE_ANSWER,	 /* sends `answer`, keeps the connection */
	FAKE_ANSWER_CUT, /* sends `answer`, closes the connection */
	FAKE_DROP,	 /* closes the connection without an answer */
	FAKE_SILENT,	 /* never answers by itself; see fake_target_send */
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
	/* Mode of the run with this number and of later ones, if not 0. */
	unsigned later_from;
	enum fake_mode mode_later;
	unsigned runs;
	unsigned connections;
	/* Chooses the mode and the answer of a run, if not NULL. */
	enum fake_mode (*choose)(struct fake_target *t, const char *request);
	void *priv;
	char last[65536]; /* last request */
	int last_fd;
	struct fake_connection *open[FAKE_MAX_CONNECTIONS];
};

static inline void fake_close(struct fake_connection *c)
{
	for (int i = 0; i < FAKE_MAX_CONNECTIONS; i++)
		if (c->t->open[i] == c)
			c->t->open[i] = NULL;
	ev_io_stop(c->t->loop, &c->io);
	close(c->fd);
	g_free(c);
}

/* Length of the first whole request, 0 if it is not there yet. */
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

static inline void fake_write(int fd, const char *text)
{
	g_assert_cmpint(send(fd, text, strlen(text), MSG_NOSIGNAL), ==,
			(ssize_t)strlen(text));
}

/* Returns 0 if the connection is closed. */
static inline int fake_react(struct fake_connection *c)
{
	struct fake_target *t = c->t;
	enum fake_mode mode = t->mode;

	t->runs++;
	if (t->later_from && t->runs >= t->later_from)
		mode = t->mode_later;
	if (t->choose)
		mode = t->choose(t, t->last);
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
		memcpy(c->t->last, c->in, len);
		c->t->last[len] = 0;
		c->t->last_fd = c->fd;
		memmove(c->in, c->in + len, c->len - len + 1);
		c->len -= len;
		if (!fake_react(c))
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

/* Stops listening; new connections are refused. */
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

/* What the target of a node announces. */
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

/* One reply of a gate or of a link, copied. */
struct fake_reply {
	unsigned count;
	enum wire_outcome outcome;
	enum err error;
	uint64_t attempt;
	uint32_t status;
	uint32_t retry_after_ms;
	char body[256];
	char headers[2048]; /* "Name: value\n" lines */
};

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

/* A request for one key of the service. */
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
