#include "transport/httpd_priv.h"
#include "common/step.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#define HTTPD_BACKLOG 1024
#define HTTPD_DEFAULT_CONNECTIONS 1000
#define HTTPD_DEFAULT_PIPELINE 16
#define HTTPD_DEFAULT_HELD_BYTES (1024 * 1024)
/* Connections accepted before other events get their turn. */
#define HTTPD_ACCEPT_BATCH 64
#define HTTPD_ACCEPT_PAUSE_S 0.1
/* More is not read while requests wait behind the limits of a connection. */
#define HTTPD_MAX_INPUT_BYTES (64 * 1024)
/*
 * A connection that was closed with unread bytes is reset, and the caller may
 * lose the answer. So the server reads on for so long, and so many bytes, after
 * an answer that ends the connection.
 */
#define HTTPD_LINGER_S 1.0
#define HTTPD_MAX_DISCARD_BYTES (1024 * 1024)
/*
 * A caller that sends a byte now and then is never idle. So a head has the idle
 * time from its first byte on, and a whole request so many times that.
 */
#define HTTPD_REQUEST_IDLE_TIMES 5

/* ---- connections ---- */

/* Empty: the active idle watcher only keeps the loop from blocking. */
static void on_idle(struct ev_loop *loop, ev_idle *w, int events)
{
	(void)loop;
	(void)w;
	(void)events;
}

void httpd_conn_set_due(struct httpd_conn *c)
{
	struct httpd *d = c->server;

	if (c->is_due)
		return;
	c->is_due = 1;
	LL_PREPEND2(d->due, c, due_next);
	if (!ev_is_active(&d->idle))
		ev_idle_start(d->loop, &d->idle);
}

static void conn_close(struct httpd_conn *c)
{
	struct httpd *d = c->server;

	ev_io_stop(d->loop, &c->read_io);
	ev_io_stop(d->loop, &c->write_io);
	ev_timer_stop(d->loop, &c->timer);
	c->broken = 1;
	while (c->requests)
		httpd_complete(c->requests);
	if (c->is_due)
		LL_DELETE2(d->due, c, due_next);
	if (c->receiving)
		httpd_request_free(c->receiving);
	DL_DELETE(d->conns, c);
	d->conn_count--;
	close(c->fd);
	buf_finish(&c->input);
	buf_finish(&c->trailer_name);
	free(c);
	if (d->fd >= 0 && !d->stopping && !ev_is_active(&d->accept_io))
		ev_io_start(d->loop, &d->accept_io);
}

static void start_lingering(struct httpd_conn *c)
{
	struct httpd *d = c->server;

	c->lingering = 1;
	shutdown(c->fd, SHUT_WR);
	ev_timer_stop(d->loop, &c->timer);
	ev_timer_set(&c->timer, HTTPD_LINGER_S, 0.);
	ev_timer_start(d->loop, &c->timer);
}

/* Reads unless requests wait behind the limits, or enough was discarded. */
static void update_reading(struct httpd_conn *c)
{
	int wanted = !c->eof && c->input.len < HTTPD_MAX_INPUT_BYTES &&
		     c->discarded < HTTPD_MAX_DISCARD_BYTES;

	if (wanted && !ev_is_active(&c->read_io))
		ev_io_start(c->server->loop, &c->read_io);
	else if (!wanted)
		ev_io_stop(c->server->loop, &c->read_io);
}

/* Sends, takes further requests and closes, as the connection's state allows.
 */
static void conn_run(struct httpd_conn *c)
{
	httpd_flush(c);
	if (!c->broken)
		httpd_parse_input(c);
	if (c->broken || (c->eof && !c->requests)) {
		conn_close(c);
		return;
	}
	update_reading(c);
	if (c->requests || !c->closing || c->lingering)
		return;
	start_lingering(c);
}

/*
 * The caller closed its side: it gets no answers to what it still waits for,
 * except from a server that does not want to know.
 */
static void on_eof(struct httpd_conn *c)
{
	struct httpd *d = c->server;
	struct httpd_request *r;

	c->eof = 1;
	c->closing = 1;
	httpd_conn_set_due(c);
	if (!d->ops->disconnected)
		return;
	DL_FOREACH(c->requests, r) {
		if (!r->answered)
			d->ops->disconnected(r, d->priv);
	}
}

static void take_bytes(struct httpd_conn *c, const char *data, size_t len)
{
	if (c->closing)
		c->discarded += len;
	else if (c->input.len && buf_add(&c->input, data, len) != ERR_OK)
		c->broken = 1;
	else if (c->input.len)
		httpd_parse_input(c);
	else
		httpd_parse(c, data, len);
	if (c->closing || c->broken || c->input.len)
		httpd_conn_set_due(c);
}

static void on_readable(struct ev_loop *loop, ev_io *w, int events)
{
	struct httpd_conn *c = w->data;
	ssize_t n =
		recv(c->fd, c->server->scratch, HTTPD_READ_BYTES, MSG_DONTWAIT);

	(void)events;
	step_enter("httpd_read");
	if (n < 0 &&
	    (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
		return;
	c->active_s = ev_now(loop);
	if (n > 0) {
		take_bytes(c, c->server->scratch, (size_t)n);
		return;
	}
	if (n < 0)
		c->broken = 1;
	ev_io_stop(loop, w);
	on_eof(c);
}

static void on_writable(struct ev_loop *loop, ev_io *w, int events)
{
	(void)loop;
	(void)events;
	httpd_conn_set_due(w->data);
}

/* Returns 1 if a request is at its target: then the caller has to wait. */
static int has_unanswered(const struct httpd_conn *c)
{
	const struct httpd_request *r;

	DL_FOREACH(c->requests, r) {
		if (!r->answered || (r->streaming && !r->stream_ended))
			return 1;
	}
	return 0;
}

/* Returns 1 if the request being received takes too long. */
static int receives_too_slowly(const struct httpd_conn *c, double now_s)
{
	double took_s = now_s - c->receiving_since_s;

	return c->receiving &&
	       took_s >=
		       c->server->idle_s *
			       (c->headers_done ? HTTPD_REQUEST_IDLE_TIMES : 1);
}

static void on_conn_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct httpd_conn *c = w->data;
	double left = c->server->idle_s - (ev_now(loop) - c->active_s);

	(void)events;
	if (c->lingering || receives_too_slowly(c, ev_now(loop)) ||
	    (left <= 0 && !has_unanswered(c))) {
		conn_close(c);
		return;
	}
	ev_timer_set(w, left > 0 ? left : c->server->idle_s, 0.);
	ev_timer_start(loop, w);
}

static void conn_new(struct httpd *d, int fd)
{
	struct httpd_conn *c = calloc(1, sizeof(*c));
	int one = 1;

	if (!c) {
		close(fd);
		return;
	}
	/* Answers are sent whole; none waits for the next one. */
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	c->server = d;
	c->fd = fd;
	c->active_s = ev_now(d->loop);
	buf_init(&c->input);
	buf_init(&c->trailer_name);
	httpd_parser_init(c);
	ev_io_init(&c->read_io, on_readable, fd, EV_READ);
	ev_io_init(&c->write_io, on_writable, fd, EV_WRITE);
	ev_timer_init(&c->timer, on_conn_timer, d->idle_s, 0.);
	c->read_io.data = c;
	c->write_io.data = c;
	c->timer.data = c;
	ev_io_start(d->loop, &c->read_io);
	if (d->idle_s > 0)
		ev_timer_start(d->loop, &c->timer);
	DL_APPEND(d->conns, c);
	d->conn_count++;
}

static void on_acceptable(struct ev_loop *loop, ev_io *w, int events)
{
	struct httpd *d = w->data;

	(void)events;
	for (int i = 0; i < HTTPD_ACCEPT_BATCH; i++) {
		int fd;

		if (d->conn_count >= d->limits.connections) {
			ev_io_stop(loop, w);
			return;
		}
		fd = accept4(d->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd >= 0) {
			conn_new(d, fd);
			continue;
		}
		if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
		    errno == ENOMEM) {
			/* The socket stays readable; polling it would spin. */
			ev_io_stop(loop, w);
			ev_timer_set(&d->accept_timer, HTTPD_ACCEPT_PAUSE_S,
				     0.);
			ev_timer_start(loop, &d->accept_timer);
		}
		if (errno != ECONNABORTED && errno != EINTR)
			return;
	}
}

static void on_accept_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct httpd *d = w->data;

	(void)events;
	if (d->fd >= 0)
		ev_io_start(loop, &d->accept_io);
}

/*
 * This happens before each poll and not in the idle watcher, since a busy loop
 * never calls its idle watchers.
 */
static void run_due(struct httpd *d)
{
	struct httpd_conn *c;

	ev_idle_stop(d->loop, &d->idle);
	while ((c = d->due)) {
		LL_DELETE2(d->due, c, due_next);
		c->is_due = 0;
		conn_run(c);
	}
}

static void on_prepare(struct ev_loop *loop, ev_prepare *w, int events)
{
	(void)loop;
	(void)events;
	step_enter("httpd_due");
	run_due(w->data);
}

/* ---- server ---- */

static int open_socket(const char *address, unsigned port,
		       struct err_info *info)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	int one = 1;
	int fd;

	sa.sin_port = htons((uint16_t)port);
	if (port > 65535 || inet_pton(AF_INET, address, &sa.sin_addr) != 1) {
		err_set(info, ERR_RANGE,
			"%s port %u is not an IPv4 address and port", address,
			port);
		return -1;
	}
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0) {
		err_set(info, ERR_SYSTEM, "cannot create a TCP socket: %s",
			strerror(errno));
		return -1;
	}
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0 ||
	    listen(fd, HTTPD_BACKLOG) < 0) {
		err_set(info, ERR_SYSTEM, "cannot listen on %s port %u: %s",
			address, port, strerror(errno));
		close(fd);
		return -1;
	}
	return fd;
}

static unsigned bound_port(int fd)
{
	struct sockaddr_in sa = { 0 };
	socklen_t len = sizeof(sa);

	return getsockname(fd, (struct sockaddr *)&sa, &len) == 0
		       ? ntohs(sa.sin_port)
		       : 0;
}

static void set_limits(struct httpd *d, const struct httpd_limits *limits)
{
	if (limits)
		d->limits = *limits;
	if (!d->limits.connections)
		d->limits.connections = HTTPD_DEFAULT_CONNECTIONS;
	if (!d->limits.pipeline)
		d->limits.pipeline = HTTPD_DEFAULT_PIPELINE;
	if (!d->limits.held_bytes)
		d->limits.held_bytes = HTTPD_DEFAULT_HELD_BYTES;
}

static void start_watchers(struct httpd *d)
{
	ev_io_init(&d->accept_io, on_acceptable, d->fd, EV_READ);
	ev_timer_init(&d->accept_timer, on_accept_timer, 0., 0.);
	ev_prepare_init(&d->prepare, on_prepare);
	ev_idle_init(&d->idle, on_idle);
	d->accept_io.data = d;
	d->accept_timer.data = d;
	d->prepare.data = d;
	ev_io_start(d->loop, &d->accept_io);
	ev_prepare_start(d->loop, &d->prepare);
}

enum err httpd_init_limited(struct httpd *d, struct ev_loop *loop,
			    const char *address, unsigned port,
			    size_t max_body_bytes, unsigned idle_seconds,
			    const struct httpd_limits *limits,
			    const struct httpd_ops *ops, void *priv,
			    struct err_info *info)
{
	memset(d, 0, sizeof(*d));
	d->fd = -1;
	d->loop = loop;
	d->ops = ops;
	d->priv = priv;
	d->max_body_bytes = max_body_bytes;
	d->idle_s = idle_seconds;
	set_limits(d, limits);
	http_parser_set_max_header_size(HTTPD_MAX_HEAD_BYTES);
	d->scratch = malloc(HTTPD_READ_BYTES);
	if (!d->scratch)
		return err_set(info, ERR_NOMEM,
			       "cannot allocate the HTTP server");
	d->fd = open_socket(address, port, info);
	if (d->fd < 0) {
		free(d->scratch);
		d->scratch = NULL;
		return info ? info->code : ERR_SYSTEM;
	}
	d->port = bound_port(d->fd);
	start_watchers(d);
	return ERR_OK;
}

enum err httpd_init(struct httpd *d, struct ev_loop *loop, const char *address,
		    unsigned port, size_t max_body_bytes, unsigned idle_seconds,
		    const struct httpd_ops *ops, void *priv,
		    struct err_info *info)
{
	return httpd_init_limited(d, loop, address, port, max_body_bytes,
				  idle_seconds, NULL, ops, priv, info);
}

/* Answers what a connection has sent and what still waits, then closes it. */
static void conn_finish(struct httpd_conn *c)
{
	struct httpd *d = c->server;
	struct httpd_request *r;
	ssize_t n = 0;

	if (!c->closing)
		n = recv(c->fd, d->scratch, HTTPD_READ_BYTES, MSG_DONTWAIT);
	if (n > 0)
		take_bytes(c, d->scratch, (size_t)n);
	c->closing = 1;
	DL_FOREACH(c->requests, r) {
		if (!r->answered)
			httpd_answer_text(r, 503, "text/plain", "stopping\n");
		else if (r->streaming)
			httpd_stream_end(r);
	}
	httpd_flush(c);
	shutdown(c->fd, SHUT_WR);
	conn_close(c);
}

void httpd_finish(struct httpd *d)
{
	if (!d->scratch)
		return;
	d->stopping = 1;
	run_due(d);
	while (d->conns)
		conn_finish(d->conns);
	httpd_quiesce(d);
	ev_timer_stop(d->loop, &d->accept_timer);
	ev_prepare_stop(d->loop, &d->prepare);
	ev_idle_stop(d->loop, &d->idle);
	free(d->scratch);
	d->scratch = NULL;
}

unsigned httpd_port(const struct httpd *d)
{
	return d->port;
}

/* The system resets connections that wait in the backlog of a closed socket. */
static void accept_waiting(struct httpd *d)
{
	unsigned before;

	do {
		before = d->conn_count;
		on_acceptable(d->loop, &d->accept_io, EV_READ);
	} while (d->conn_count == before + HTTPD_ACCEPT_BATCH);
}

void httpd_quiesce(struct httpd *d)
{
	if (d->fd < 0)
		return;
	if (!d->stopping)
		accept_waiting(d);
	ev_io_stop(d->loop, &d->accept_io);
	close(d->fd);
	d->fd = -1;
}

int httpd_get_fd(const struct httpd_request *r)
{
	return r->conn->fd;
}
