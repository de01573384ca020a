#include "transport/httpd.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#define HTTPD_CONNECTION_MEMORY_BYTES (32 * 1024)
#define HTTPD_STREAM_BLOCK_BYTES (16 * 1024)
#define HTTPD_BACKLOG 1024
#define HTTPD_DEFAULT_CONNECTIONS 1000

/* Empty: the active idle watcher only keeps the loop from blocking. */
static void on_idle(struct ev_loop *loop, ev_idle *w, int events)
{
	(void)loop;
	(void)w;
	(void)events;
}

static void schedule_run(struct httpd *d)
{
	d->run_needed = 1;
	if (!ev_is_active(&d->idle))
		ev_idle_start(d->loop, &d->idle);
}

static void run_daemon(struct httpd *d)
{
	d->run_needed = 0;
	ev_idle_stop(d->loop, &d->idle);
	MHD_run(d->daemon);
}

static void on_io(struct ev_loop *loop, ev_io *w, int events)
{
	(void)loop;
	(void)events;
	run_daemon(w->data);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	run_daemon(w->data);
}

/*
 * Runs libmicrohttpd if needed and starts the timer for its next timeout. This
 * happens here, before each poll, and not in the idle watcher, since a busy
 * loop never calls its idle watchers.
 */
static void on_prepare(struct ev_loop *loop, ev_prepare *w, int events)
{
	struct httpd *d = w->data;
	MHD_UNSIGNED_LONG_LONG ms;

	(void)events;
	if (d->run_needed)
		run_daemon(d);
	ev_timer_stop(loop, &d->timer);
	if (!d->daemon || MHD_get_timeout(d->daemon, &ms) != MHD_YES)
		return;
	if (ms == 0) {
		schedule_run(d);
		return;
	}
	ev_timer_set(&d->timer, (double)ms / 1000., 0.);
	ev_timer_start(loop, &d->timer);
}

static struct httpd_request *
request_new(struct httpd *d, struct MHD_Connection *conn, const char *method)
{
	struct httpd_request *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->server = d;
	r->conn = conn;
	r->method = strdup(method);
	buf_init(&r->body);
	buf_init(&r->stream);
	DL_APPEND(d->requests, r);
	return r;
}

static void request_free(struct httpd_request *r)
{
	ev_io_stop(r->server->loop, &r->disconnect_io);
	DL_DELETE(r->server->requests, r);
	if (r->response)
		MHD_destroy_response(r->response);
	buf_finish(&r->body);
	buf_finish(&r->stream);
	free(r->method);
	free(r->path);
	free(r);
}

static enum MHD_Result queue_response(struct httpd_request *r)
{
	enum MHD_Result ok =
		MHD_queue_response(r->conn, r->status, r->response);

	MHD_destroy_response(r->response);
	r->response = NULL;
	return ok;
}

/*
 * Detects that the caller has disconnected, since libmicrohttpd does not read
 * from the connection while a request waits for its answer. The bytes of a
 * further request stay in the socket.
 */
static void on_caller_readable(struct ev_loop *loop, ev_io *w, int events)
{
	struct httpd_request *r = w->data;
	char byte;
	ssize_t n = recv(w->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	(void)events;
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	ev_io_stop(loop, w);
	if (n <= 0)
		r->server->ops->disconnected(r, r->server->priv);
}

static void watch_for_disconnect(struct httpd_request *r)
{
	const union MHD_ConnectionInfo *ci = MHD_get_connection_info(
		r->conn, MHD_CONNECTION_INFO_CONNECTION_FD);

	if (!r->server->ops->disconnected || !ci)
		return;
	ev_io_init(&r->disconnect_io, on_caller_readable, ci->connect_fd,
		   EV_READ);
	r->disconnect_io.data = r;
	ev_io_start(r->server->loop, &r->disconnect_io);
}

static enum MHD_Result dispatch(struct httpd_request *r)
{
	struct httpd *d = r->server;

	r->dispatched = 1;
	/* libmicrohttpd aborts if it is stopped with a suspended request. */
	if (!d->stopping)
		d->ops->request(r, d->priv);
	else if (d->ops->refuse)
		d->ops->refuse(r, d->priv);
	else
		httpd_answer_text(r, 503, "text/plain", "stopping\n");
	if (r->answered)
		return queue_response(r);
	r->suspended = 1;
	MHD_suspend_connection(r->conn);
	watch_for_disconnect(r);
	return MHD_YES;
}

/* Dispatches the request at once if its stated length exceeds the limit. */
static enum MHD_Result check_content_length(struct httpd_request *r)
{
	const char *length = httpd_get_header(r, "Content-Length");

	if (!length || strtoull(length, NULL, 10) <= r->server->max_body_bytes)
		return MHD_YES;
	r->error = ERR_TOO_LARGE;
	return dispatch(r);
}

/*
 * Discards what exceeds the body limit. Fails, which closes the connection,
 * once the discarded bytes exceed the limit as well.
 */
static enum MHD_Result add_body(struct httpd_request *r, const char *data,
				size_t *len)
{
	size_t max = r->server->max_body_bytes;
	size_t n = *len;

	*len = 0;
	if (r->error == ERR_OK && r->body.len + n <= max)
		return buf_add(&r->body, data, n) == ERR_OK ? MHD_YES : MHD_NO;
	r->error = ERR_TOO_LARGE;
	r->dropped_bytes += n;
	return r->dropped_bytes > max ? MHD_NO : MHD_YES;
}

static enum MHD_Result on_access(void *priv, struct MHD_Connection *conn,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *len, void **state)
{
	struct httpd_request *r = *state;

	(void)priv;
	(void)url;
	(void)version;
	if (!r || !r->path)
		return MHD_NO;
	if (!r->method) {
		r->conn = conn;
		r->method = strdup(method);
		return r->method ? check_content_length(r) : MHD_NO;
	}
	if (*len)
		return add_body(r, data, len);
	if (!r->dispatched)
		return dispatch(r);
	if (r->response)
		return queue_response(r);
	return MHD_YES;
}

/* Called with the raw request target, before any other callback. */
static void *on_uri(void *priv, const char *uri, struct MHD_Connection *conn)
{
	struct httpd_request *r = request_new(priv, conn, "");

	if (!r)
		return NULL;
	free(r->method);
	r->method = NULL;
	r->path = strdup(uri);
	return r;
}

static void on_completed(void *priv, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode code)
{
	struct httpd *d = priv;
	struct httpd_request *r = *state;

	(void)conn;
	(void)code;
	if (!r)
		return;
	if (d->ops->completed && r->dispatched)
		d->ops->completed(r, d->priv);
	request_free(r);
	*state = NULL;
}

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

static void start_watchers(struct httpd *d)
{
	const union MHD_DaemonInfo *di =
		MHD_get_daemon_info(d->daemon, MHD_DAEMON_INFO_EPOLL_FD);

	ev_io_init(&d->io, on_io, di->epoll_fd, EV_READ);
	ev_timer_init(&d->timer, on_timer, 0., 0.);
	ev_prepare_init(&d->prepare, on_prepare);
	ev_idle_init(&d->idle, on_idle);
	d->io.data = d;
	d->timer.data = d;
	d->prepare.data = d;
	d->idle.data = d;
	ev_io_start(d->loop, &d->io);
	ev_prepare_start(d->loop, &d->prepare);
}

enum err httpd_init(struct httpd *d, struct ev_loop *loop, const char *address,
		    unsigned port, size_t max_body_bytes, unsigned idle_seconds,
		    const struct httpd_ops *ops, void *priv,
		    struct err_info *info)
{
	return httpd_init_limited(d, loop, address, port, max_body_bytes,
				  idle_seconds, HTTPD_DEFAULT_CONNECTIONS, ops,
				  priv, info);
}

enum err httpd_init_limited(struct httpd *d, struct ev_loop *loop,
			    const char *address, unsigned port,
			    size_t max_body_bytes, unsigned idle_seconds,
			    unsigned max_connections,
			    const struct httpd_ops *ops, void *priv,
			    struct err_info *info)
{
	int fd;

	memset(d, 0, sizeof(*d));
	d->loop = loop;
	d->ops = ops;
	d->priv = priv;
	d->max_body_bytes = max_body_bytes;
	fd = open_socket(address, port, info);
	if (fd < 0)
		return info ? info->code : ERR_SYSTEM;
	d->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
		on_access, d, MHD_OPTION_LISTEN_SOCKET, fd,
		MHD_OPTION_URI_LOG_CALLBACK, on_uri, d,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, d,
		MHD_OPTION_CONNECTION_TIMEOUT, idle_seconds,
		MHD_OPTION_CONNECTION_LIMIT, max_connections,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)HTTPD_CONNECTION_MEMORY_BYTES, MHD_OPTION_END);
	if (!d->daemon) {
		close(fd);
		return err_set(info, ERR_SYSTEM,
			       "cannot start the HTTP server on %s port %u",
			       address, port);
	}
	start_watchers(d);
	return ERR_OK;
}

static void resume_connection(struct httpd_request *r)
{
	if (!r->suspended)
		return;
	r->suspended = 0;
	MHD_resume_connection(r->conn);
	schedule_run(r->server);
}

void httpd_finish(struct httpd *d)
{
	struct httpd_request *r;

	if (!d->daemon)
		return;
	d->stopping = 1;
	DL_FOREACH(d->requests, r) {
		if (r->dispatched && !r->answered)
			httpd_answer_text(r, 503, "text/plain", "stopping\n");
		else if (r->streaming)
			httpd_stream_end(r);
	}
	MHD_run(d->daemon);
	ev_io_stop(d->loop, &d->io);
	ev_timer_stop(d->loop, &d->timer);
	ev_prepare_stop(d->loop, &d->prepare);
	ev_idle_stop(d->loop, &d->idle);
	MHD_stop_daemon(d->daemon);
	d->daemon = NULL;
}

unsigned httpd_port(const struct httpd *d)
{
	const union MHD_DaemonInfo *di =
		MHD_get_daemon_info(d->daemon, MHD_DAEMON_INFO_BIND_PORT);

	return di ? di->port : 0;
}

void httpd_quiesce(struct httpd *d)
{
	MHD_socket fd = MHD_quiesce_daemon(d->daemon);

	if (fd != MHD_INVALID_SOCKET)
		close(fd);
}

const char *httpd_get_header(const struct httpd_request *r, const char *name)
{
	return MHD_lookup_connection_value(r->conn, MHD_HEADER_KIND, name);
}

const char *httpd_get_argument(const struct httpd_request *r, const char *name)
{
	return MHD_lookup_connection_value(r->conn, MHD_GET_ARGUMENT_KIND,
					   name);
}

struct header_visit {
	void (*fn)(const char *name, const char *value, void *priv);
	void *priv;
};

static enum MHD_Result visit_header(void *priv, enum MHD_ValueKind kind,
				    const char *name, const char *value)
{
	struct header_visit *v = priv;

	(void)kind;
	v->fn(name, value ? value : "", v->priv);
	return MHD_YES;
}

void httpd_each_header(const struct httpd_request *r,
		       void (*fn)(const char *name, const char *value,
				  void *priv),
		       void *priv)
{
	struct header_visit v = { fn, priv };

	MHD_get_connection_values(r->conn, MHD_HEADER_KIND, visit_header, &v);
}

static void answer_with_headers(struct httpd_request *r, unsigned status,
				struct MHD_Response *response,
				const struct httpd_header *headers,
				size_t header_count)
{
	for (size_t i = 0; i < header_count; i++)
		MHD_add_response_header(response, headers[i].name,
					headers[i].value);
	httpd_answer_raw(r, status, response);
}

void httpd_answer(struct httpd_request *r, unsigned status,
		  const struct httpd_header *headers, size_t header_count,
		  const void *body, size_t body_len)
{
	answer_with_headers(r, status,
			    MHD_create_response_from_buffer(
				    body_len,
				    body_len ? (void *)(uintptr_t)body : "",
				    MHD_RESPMEM_MUST_COPY),
			    headers, header_count);
}

/* Never called, since libmicrohttpd sends no body in answer to HEAD. */
static ssize_t read_nothing(void *priv, uint64_t pos, char *data, size_t max)
{
	(void)priv;
	(void)pos;
	(void)data;
	(void)max;
	return MHD_CONTENT_READER_END_WITH_ERROR;
}

void httpd_answer_head(struct httpd_request *r, unsigned status,
		       const struct httpd_header *headers, size_t header_count,
		       uint64_t length)
{
	answer_with_headers(r, status,
			    MHD_create_response_from_callback(
				    length, HTTPD_STREAM_BLOCK_BYTES,
				    read_nothing, NULL, NULL),
			    headers, header_count);
}

void httpd_answer_text(struct httpd_request *r, unsigned status,
		       const char *content_type, const char *text)
{
	struct httpd_header h = { "Content-Type", content_type };

	httpd_answer(r, status, &h, 1, text, strlen(text));
}

void httpd_answer_raw(struct httpd_request *r, unsigned status,
		      struct MHD_Response *response)
{
	if (r->answered) {
		MHD_destroy_response(response);
		return;
	}
	r->answered = 1;
	r->status = status;
	r->response = response;
	ev_io_stop(r->server->loop, &r->disconnect_io);
	resume_connection(r);
}

static ssize_t read_stream(void *priv, uint64_t pos, char *data, size_t max)
{
	struct httpd_request *r = priv;
	size_t n = r->stream.len < max ? r->stream.len : max;

	(void)pos;
	if (n) {
		memcpy(data, r->stream.data, n);
		buf_drop(&r->stream, n);
		return (ssize_t)n;
	}
	if (r->stream_ended)
		return MHD_CONTENT_READER_END_OF_STREAM;
	r->suspended = 1;
	MHD_suspend_connection(r->conn);
	return 0;
}

void httpd_stream_begin(struct httpd_request *r, unsigned status,
			const char *content_type)
{
	if (r->answered)
		return;
	r->answered = 1;
	r->streaming = 1;
	r->status = status;
	r->response = MHD_create_response_from_callback(
		MHD_SIZE_UNKNOWN, HTTPD_STREAM_BLOCK_BYTES, read_stream, r,
		NULL);
	MHD_add_response_header(r->response, "Content-Type", content_type);
	resume_connection(r);
}

void httpd_stream_send(struct httpd_request *r, const void *data, size_t len)
{
	buf_add(&r->stream, data, len);
	resume_connection(r);
}

void httpd_stream_end(struct httpd_request *r)
{
	r->stream_ended = 1;
	resume_connection(r);
}
