#include "transport/tcp.h"
#include "common/step.h"
#include "transport/addr.h"
#include "common/clk.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define TCP_READ_BYTES (64 * 1024)
#define TCP_BACKLOG 512
#define TCP_ACCEPT_PAUSE_S 0.1
/* An empty input buffer that a large frame made larger than this is freed. */
#define TCP_IDLE_BUFFER_BYTES (256 * 1024)

/*
 * Keep-alive closes connections that nobody writes to and whose other end has
 * disappeared without closing them. The users of active connections detect this
 * much faster by timeouts of their own.
 */
static void set_options(int fd)
{
	static const int one = 1;
	static const int idle_s = 30;
	static const int interval_s = 5;
	static const int probes = 3;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
		   sizeof(interval_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

static void stop_io(struct tcp_conn *c)
{
	ev_io_stop(c->loop, &c->io_read);
	ev_io_stop(c->loop, &c->io_write);
	ev_timer_stop(c->loop, &c->connect_timer);
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
	c->connecting = 0;
}

static void free_buffers(struct tcp_conn *c)
{
	buf_finish(&c->in);
	buf_finish(&c->out);
	c->out_sent = 0;
}

/* c may not be used after this call, since the callback may free it. */
static void close_and_report(struct tcp_conn *c, enum err why)
{
	stop_io(c);
	free_buffers(c);
	c->ops->closed(c, why, c->priv);
}

/*
 * Passes the complete frames in the input buffer to the callback. The callback
 * may finish the connection; its buffers are then freed here, after the
 * callback has returned. Returns 0 if the connection is closed.
 */
static int deliver_frames(struct tcp_conn *c)
{
	size_t pos = 0;

	while (c->fd >= 0) {
		struct frame f;
		size_t used;
		enum err e = frame_decode(c->in.data + pos, c->in.len - pos, &f,
					  &used);

		if (e != ERR_OK) {
			close_and_report(c, e);
			return 0;
		}
		if (!used)
			break;
		pos += used;
		c->in_callback = 1;
		step_enter(frame_name(f.type));
		c->ops->frame(c, &f, c->priv);
		c->in_callback = 0;
		frame_finish(&f);
		if (c->finished) {
			free_buffers(c);
			return 0;
		}
	}
	buf_drop(&c->in, pos);
	if (!c->in.len && c->in.cap > TCP_IDLE_BUFFER_BYTES)
		buf_finish(&c->in);
	return c->fd >= 0;
}

static void on_read(struct ev_loop *loop, ev_io *w, int events)
{
	struct tcp_conn *c = w->data;
	uint8_t *space = buf_reserve(&c->in, TCP_READ_BYTES);
	ssize_t n;

	(void)loop;
	(void)events;
	step_enter("frame_read");
	if (!space) {
		close_and_report(c, ERR_NOMEM);
		return;
	}
	n = read(c->fd, space, TCP_READ_BYTES);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		close_and_report(c,
				 n == 0 ? ERR_CLOSED : err_from_socket(errno));
		return;
	}
	c->in.len += (size_t)n;
	c->bytes_in += (uint64_t)n;
	c->last_read_ms = clk_ms();
	deliver_frames(c);
}

/*
 * Moves the unsent bytes to the start of the buffer only if they are no more
 * than the sent ones, so that the moves cost at most the bytes sent.
 */
static void consume_sent(struct tcp_conn *c, size_t n)
{
	c->bytes_out += n;
	c->out_sent += n;
	if (c->out_sent * 2 < c->out.len)
		return;
	buf_drop(&c->out, c->out_sent);
	c->out_sent = 0;
}

/* Returns 0 if the connection is closed. */
static int flush_output(struct tcp_conn *c)
{
	while (tcp_queued(c)) {
		ssize_t n = send(c->fd, c->out.data + c->out_sent,
				 tcp_queued(c), MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n < 0) {
			close_and_report(c, err_from_socket(errno));
			return 0;
		}
		consume_sent(c, (size_t)n);
	}
	if (!tcp_queued(c))
		ev_io_stop(c->loop, &c->io_write);
	return 1;
}

static int finish_connect(struct tcp_conn *c)
{
	int error = 0;
	socklen_t len = sizeof(error);

	getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error) {
		close_and_report(c, err_from_socket(error));
		return 0;
	}
	c->connecting = 0;
	c->last_read_ms = clk_ms();
	ev_timer_stop(c->loop, &c->connect_timer);
	ev_io_start(c->loop, &c->io_read);
	if (!c->ops->connected)
		return 1;
	c->in_callback = 1;
	c->ops->connected(c, c->priv);
	c->in_callback = 0;
	if (!c->finished)
		return 1;
	free_buffers(c);
	return 0;
}

static void on_write(struct ev_loop *loop, ev_io *w, int events)
{
	struct tcp_conn *c = w->data;

	(void)loop;
	(void)events;
	if (c->connecting && !finish_connect(c))
		return;
	flush_output(c);
}

static void on_connect_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct tcp_conn *c = w->data;

	(void)loop;
	(void)events;
	close_and_report(c,
			 c->dial_error == ERR_OK ? ERR_TIMEOUT : c->dial_error);
}

static void init_common(struct tcp_conn *c, struct ev_loop *loop, int fd,
			const struct tcp_ops *ops, void *priv)
{
	memset(c, 0, sizeof(*c));
	c->ops = ops;
	c->priv = priv;
	c->loop = loop;
	c->fd = fd;
	buf_init(&c->in);
	buf_init(&c->out);
	ev_io_init(&c->io_read, on_read, fd, EV_READ);
	ev_io_init(&c->io_write, on_write, fd, EV_WRITE);
	ev_timer_init(&c->connect_timer, on_connect_timer, 0., 0.);
	c->io_read.data = c;
	c->io_write.data = c;
	c->connect_timer.data = c;
	c->last_read_ms = clk_ms();
}

void tcp_conn_init_fd(struct tcp_conn *c, struct ev_loop *loop, int fd,
		      const struct tcp_ops *ops, void *priv)
{
	init_common(c, loop, fd, ops, priv);
	set_options(fd);
	ev_io_start(loop, &c->io_read);
}

enum err tcp_conn_init_dial(struct tcp_conn *c, struct ev_loop *loop,
			    const char *address, unsigned port, int connect_ms,
			    const struct tcp_ops *ops, void *priv)
{
	struct sockaddr_in sa;
	enum err e = addr_parse(&sa, address, port);
	int fd = -1;

	init_common(c, loop, -1, ops, priv);
	if (e != ERR_OK)
		return e;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return ERR_SYSTEM;
	set_options(fd);
	c->fd = fd;
	c->connecting = 1;
	/* An immediate failure sets no SO_ERROR, so the timer reports it. */
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0 &&
	    errno != EINPROGRESS) {
		c->dial_error = err_from_socket(errno);
		ev_timer_set(&c->connect_timer, 0., 0.);
		ev_timer_start(loop, &c->connect_timer);
		return ERR_OK;
	}
	ev_io_set(&c->io_read, fd, EV_READ);
	ev_io_set(&c->io_write, fd, EV_WRITE);
	ev_io_start(loop, &c->io_write);
	ev_timer_set(&c->connect_timer, connect_ms / 1000., 0.);
	ev_timer_start(loop, &c->connect_timer);
	return ERR_OK;
}

static enum err check_queue_limit(const struct tcp_conn *c)
{
	if (c->fd < 0)
		return ERR_CLOSED;
	return tcp_queued(c) > TCP_MAX_QUEUED_BYTES ? ERR_TOO_LARGE : ERR_OK;
}

static void start_write_io(struct tcp_conn *c)
{
	if (!c->connecting)
		ev_io_start(c->loop, &c->io_write);
}

/* Bytes of the frames that this process has sent, by type. */
static uint64_t sent_bytes[FRAME_TYPE_COUNT];

enum err tcp_send(struct tcp_conn *c, enum frame_type type,
		  const ProtobufCMessage *msg)
{
	enum err e = check_queue_limit(c);

	size_t before = c->out.len;

	if (e == ERR_OK)
		e = frame_encode(type, msg, &c->out);
	if (e == ERR_OK) {
		sent_bytes[type] += c->out.len - before;
		start_write_io(c);
	}
	return e;
}

uint64_t tcp_sent_bytes(enum frame_type type)
{
	return sent_bytes[type];
}

enum err tcp_send_encoded(struct tcp_conn *c, const struct buf *frames)
{
	enum err e = check_queue_limit(c);

	unsigned type =
		frames->len >= FRAME_HEADER_BYTES
			? frames->data[FRAME_HEADER_BYTES - 1] & ~FRAME_DEFLATED
			: 0;

	if (e == ERR_OK)
		e = buf_add(&c->out, frames->data, frames->len);
	if (e == ERR_OK) {
		sent_bytes[type < FRAME_TYPE_COUNT ? type : 0] += frames->len;
		start_write_io(c);
	}
	return e;
}

void tcp_conn_finish(struct tcp_conn *c)
{
	stop_io(c);
	c->finished = 1;
	if (!c->in_callback)
		free_buffers(c);
}

size_t tcp_queued(const struct tcp_conn *c)
{
	return c->out.len - c->out_sent;
}

size_t tcp_unacknowledged(const struct tcp_conn *c)
{
	int in_kernel = 0;

	if (c->fd < 0 || ioctl(c->fd, SIOCOUTQ, &in_kernel) != 0)
		in_kernel = 0;
	return tcp_queued(c) + (size_t)in_kernel;
}

static void on_accept_pause_end(struct ev_loop *loop, ev_timer *w, int events)
{
	struct tcp_listener *l = w->data;

	(void)events;
	ev_io_start(loop, &l->io);
}

/*
 * Waits before the next accept. If no descriptor is free, the listening socket
 * stays readable, and an immediate retry would be a busy loop.
 */
static void pause_listener(struct tcp_listener *l)
{
	ev_io_stop(l->loop, &l->io);
	ev_timer_set(&l->accept_pause, TCP_ACCEPT_PAUSE_S, 0.);
	ev_timer_start(l->loop, &l->accept_pause);
}

static void on_accept(struct ev_loop *loop, ev_io *w, int events)
{
	struct tcp_listener *l = w->data;

	(void)loop;
	(void)events;
	/* The callback may finish the listener. */
	while (l->fd >= 0) {
		int fd = accept4(l->fd, NULL, NULL,
				 SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0 && (errno == ECONNABORTED || errno == EINTR))
			continue;
		if (fd < 0) {
			if (errno != EAGAIN)
				pause_listener(l);
			return;
		}
		l->accepted(fd, l->priv);
	}
}

enum err tcp_listen(struct tcp_listener *l, struct ev_loop *loop,
		    const char *address, unsigned port,
		    void (*accepted)(int fd, void *priv), void *priv,
		    struct err_info *info)
{
	struct sockaddr_in sa;
	int one = 1;

	memset(l, 0, sizeof(*l));
	l->fd = -1;
	l->loop = loop;
	l->accepted = accepted;
	l->priv = priv;
	if (addr_parse(&sa, address, port) != ERR_OK)
		return err_set(info, ERR_RANGE,
			       "%s port %u is not an IPv4 address and port",
			       address, port);
	l->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (l->fd < 0)
		return err_set(info, ERR_SYSTEM,
			       "cannot create a TCP socket: %s",
			       strerror(errno));
	setsockopt(l->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(l->fd, (struct sockaddr *)&sa, sizeof(sa)) < 0 ||
	    listen(l->fd, TCP_BACKLOG) < 0) {
		err_set(info, ERR_SYSTEM, "cannot listen on %s port %u: %s",
			address, port, strerror(errno));
		close(l->fd);
		l->fd = -1;
		return ERR_SYSTEM;
	}
	ev_io_init(&l->io, on_accept, l->fd, EV_READ);
	l->io.data = l;
	ev_timer_init(&l->accept_pause, on_accept_pause_end, 0., 0.);
	l->accept_pause.data = l;
	ev_io_start(loop, &l->io);
	return ERR_OK;
}

void tcp_listener_finish(struct tcp_listener *l)
{
	if (l->fd < 0)
		return;
	ev_io_stop(l->loop, &l->io);
	ev_timer_stop(l->loop, &l->accept_pause);
	close(l->fd);
	l->fd = -1;
}
