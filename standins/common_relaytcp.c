#include "common/clk.h"
#include "standins/common_relay.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#define READ_BYTES (64 * 1024)
#define MAX_QUEUED_BYTES (256 * 1024)
/* Larger, so that a delay does not reduce the throughput of a stream. */
#define MAX_DELAYED_BYTES (32 * 1024 * 1024)

enum chunk_kind {
	CHUNK_DATA,
	CHUNK_EOF, /* the sender has closed its direction */
	CHUNK_CUT, /* close the connection here */
};

struct chunk {
	enum chunk_kind kind;
	int64_t due_ms; /* chunks behind it wait too */
	size_t len;
	size_t sent;
	struct chunk *prev;
	struct chunk *next;
	uint8_t data[];
};

/* One direction of a connection. */
struct pipe {
	struct relay_conn *c;
	enum relay_direction dir;
	struct relay_setting setting;
	ev_io read;
	ev_io write;
	ev_timer due_timer;
	struct chunk *chunks;
	size_t queued_bytes;
	int read_ended;	    /* EOF or a cut was read; no more is read */
	int eof_forwarded;  /* EOF was sent on */
	int has_lost_bytes; /* some of the stream was dropped */
};

struct relay_conn {
	struct relay_forward *f;
	int fd[RELAY_DIRECTIONS]; /* of the sender in this direction */
	int dialed;		  /* a connection to the target was begun */
	int connected;		  /* it is established */
	ev_io connect;
	struct pipe pipes[RELAY_DIRECTIONS];
	struct relay_conn *prev;
	struct relay_conn *next;
};

static int is_blocked(const struct pipe *p)
{
	return p->setting.mode == RELAY_SILENT || p->setting.mode == RELAY_DROP;
}

static void drop_chunk(struct pipe *p, struct chunk *k)
{
	DL_DELETE(p->chunks, k);
	p->queued_bytes -= k->len;
	free(k);
}

static void conn_free(struct relay_conn *c)
{
	struct ev_loop *loop = c->f->loop;

	ev_io_stop(loop, &c->connect);
	for (int i = 0; i < RELAY_DIRECTIONS; i++) {
		struct pipe *p = &c->pipes[i];

		ev_io_stop(loop, &p->read);
		ev_io_stop(loop, &p->write);
		ev_timer_stop(loop, &p->due_timer);
		while (p->chunks)
			drop_chunk(p, p->chunks);
		if (c->fd[i] >= 0)
			close(c->fd[i]);
	}
	DL_DELETE(c->f->conns, c);
	c->f->counts.open--;
	free(c);
}

static void conn_reset(struct relay_conn *c)
{
	struct linger none = { 1, 0 };

	for (int i = 0; i < RELAY_DIRECTIONS; i++) {
		if (c->fd[i] >= 0)
			setsockopt(c->fd[i], SOL_SOCKET, SO_LINGER, &none,
				   sizeof(none));
	}
	c->f->counts.resets++;
	conn_free(c);
}

static void set_watcher_active(struct ev_loop *loop, ev_io *w, int wanted)
{
	if (wanted)
		ev_io_start(loop, w);
	else
		ev_io_stop(loop, w);
}

/* Data that will be dropped is read without a connection to the target. */
static int may_read(const struct pipe *p)
{
	size_t max = p->setting.mode == RELAY_DELAY ? MAX_DELAYED_BYTES
						    : MAX_QUEUED_BYTES;

	if (p->c->fd[p->dir] < 0 || p->read_ended || p->queued_bytes >= max)
		return 0;
	if (p->setting.mode == RELAY_DROP)
		return 1;
	return p->c->connected && p->setting.mode != RELAY_SILENT;
}

/* Starts and stops the watchers of a direction after a change of its state. */
static void pipe_update(struct pipe *p)
{
	struct ev_loop *loop = p->c->f->loop;
	const struct chunk *head = p->chunks;
	int64_t wait_ms = head ? head->due_ms - clk_ms() : 0;
	int may_send = head && !is_blocked(p) && p->c->connected;

	set_watcher_active(loop, &p->read, may_read(p));
	set_watcher_active(loop, &p->write, may_send && wait_ms <= 0);
	ev_timer_stop(loop, &p->due_timer);
	if (!may_send || wait_ms <= 0)
		return;
	ev_timer_set(&p->due_timer, (double)wait_ms / 1000., 0.);
	ev_timer_start(loop, &p->due_timer);
}

/* Sends the first chunk. Returns 0 if this has freed the connection. */
static int send_chunk(struct pipe *p, struct chunk *k)
{
	struct relay_conn *c = p->c;
	int to = c->fd[!p->dir];
	ssize_t n;

	switch (k->kind) {
	case CHUNK_DATA:
		n = send(to, k->data + k->sent, k->len - k->sent, MSG_NOSIGNAL);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return 1;
		if (n < 0) {
			conn_reset(c);
			return 0;
		}
		k->sent += (size_t)n;
		c->f->counts.bytes[p->dir] += (uint64_t)n;
		break;
	case CHUNK_EOF:
		shutdown(to, SHUT_WR);
		p->eof_forwarded = 1;
		if (!c->pipes[!p->dir].eof_forwarded)
			break;
		conn_free(c);
		return 0;
	case CHUNK_CUT:
		c->f->counts.cuts++;
		conn_free(c);
		return 0;
	}
	if (k->sent == k->len)
		drop_chunk(p, k);
	return 1;
}

static void on_write(struct ev_loop *loop, ev_io *w, int events)
{
	struct pipe *p = w->data;

	(void)loop;
	(void)events;
	if (send_chunk(p, p->chunks))
		pipe_update(p);
}

static void on_chunk_due(struct ev_loop *loop, ev_timer *t, int events)
{
	(void)loop;
	(void)events;
	pipe_update(t->data);
}

static void queue_chunk(struct pipe *p, enum chunk_kind kind, const void *data,
			size_t len)
{
	struct chunk *k = calloc(1, sizeof(*k) + len);

	k->kind = kind;
	k->len = len;
	if (len)
		memcpy(k->data, data, len);
	k->due_ms = clk_ms();
	if (p->setting.mode == RELAY_DELAY)
		k->due_ms += p->setting.delay_ms;
	DL_APPEND(p->chunks, k);
	p->queued_bytes += len;
}

/* Returns how many of len bytes pass; sets *cut if a cut follows them. */
static size_t split_at_cut(struct pipe *p, size_t len, int *cut)
{
	int64_t *left = &p->c->f->bytes_until_cut[p->dir];

	*cut = 0;
	if (*left < 0)
		return len;
	if ((int64_t)len < *left) {
		*left -= (int64_t)len;
		return len;
	}
	len = (size_t)*left;
	*left = -1;
	*cut = 1;
	return len;
}

static void queue_data(struct pipe *p, const uint8_t *data, size_t len)
{
	size_t passed;
	int cut;

	if (p->setting.mode == RELAY_DROP) {
		p->c->f->counts.lost[p->dir] += len;
		p->has_lost_bytes = 1;
		return;
	}
	passed = split_at_cut(p, len, &cut);
	if (passed)
		queue_chunk(p, CHUNK_DATA, data, passed);
	if (!cut)
		return;
	queue_chunk(p, CHUNK_CUT, NULL, 0);
	p->read_ended = 1;
}

static void on_read(struct ev_loop *loop, ev_io *w, int events)
{
	struct pipe *p = w->data;
	uint8_t data[READ_BYTES];
	ssize_t n = read(w->fd, data, sizeof(data));

	(void)loop;
	(void)events;
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n < 0) {
		conn_reset(p->c);
		return;
	}
	if (n > 0) {
		queue_data(p, data, (size_t)n);
	} else {
		queue_chunk(p, CHUNK_EOF, NULL, 0);
		p->read_ended = 1;
	}
	pipe_update(p);
}

/* Disables Nagle's algorithm, so that the relay adds no delay of its own. */
static void set_no_delay(int fd)
{
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

static void start_pipes(struct relay_conn *c)
{
	c->connected = 1;
	for (int i = 0; i < RELAY_DIRECTIONS; i++) {
		struct pipe *p = &c->pipes[i];

		set_no_delay(c->fd[i]);
		ev_io_set(&p->write, c->fd[!i], EV_WRITE);
		pipe_update(p);
	}
}

static void on_connect(struct ev_loop *loop, ev_io *w, int events)
{
	struct relay_conn *c = w->data;
	int error = 0;
	socklen_t len = sizeof(error);

	(void)events;
	ev_io_stop(loop, w);
	getsockopt(w->fd, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error)
		conn_reset(c);
	else
		start_pipes(c);
}

/* Connects to the target. Returns 0 if this has freed the connection. */
static int dial(struct relay_conn *c)
{
	const struct sockaddr_in *to = &c->f->target;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	c->dialed = 1;
	c->fd[RELAY_OUT] = fd;
	if (fd < 0 ||
	    (connect(fd, (const struct sockaddr *)to, sizeof(*to)) < 0 &&
	     errno != EINPROGRESS)) {
		conn_reset(c);
		return 0;
	}
	ev_io_set(&c->pipes[RELAY_OUT].read, fd, EV_READ);
	ev_io_set(&c->connect, fd, EV_WRITE);
	ev_io_start(c->f->loop, &c->connect);
	return 1;
}

/* Applies changed modes. Returns 0 if this has freed the connection. */
static int conn_apply_settings(struct relay_conn *c)
{
	for (int i = 0; i < RELAY_DIRECTIONS; i++) {
		struct pipe *p = &c->pipes[i];

		if (p->setting.mode == RELAY_RESET ||
		    (p->has_lost_bytes && !is_blocked(p))) {
			conn_reset(c);
			return 0;
		}
		while (p->setting.mode == RELAY_DROP && p->chunks) {
			c->f->counts.lost[i] += p->chunks->len;
			p->has_lost_bytes = 1;
			drop_chunk(p, p->chunks);
		}
	}
	if (!c->dialed && !is_blocked(&c->pipes[RELAY_IN]))
		return dial(c);
	pipe_update(&c->pipes[RELAY_IN]);
	pipe_update(&c->pipes[RELAY_OUT]);
	return 1;
}

static void on_accepted(int fd, void *priv)
{
	struct relay_forward *f = priv;
	struct relay_conn *c = calloc(1, sizeof(*c));

	c->f = f;
	c->fd[RELAY_IN] = fd;
	c->fd[RELAY_OUT] = -1;
	ev_io_init(&c->connect, on_connect, -1, EV_WRITE);
	c->connect.data = c;
	for (int i = 0; i < RELAY_DIRECTIONS; i++) {
		struct pipe *p = &c->pipes[i];

		p->c = c;
		p->dir = (enum relay_direction)i;
		p->setting = f->setting[i];
		ev_io_init(&p->read, on_read, c->fd[i], EV_READ);
		ev_io_init(&p->write, on_write, -1, EV_WRITE);
		ev_timer_init(&p->due_timer, on_chunk_due, 0., 0.);
		p->read.data = p;
		p->write.data = p;
		p->due_timer.data = p;
	}
	DL_APPEND(f->conns, c);
	f->counts.connections++;
	f->counts.open++;
	conn_apply_settings(c);
}

void relay_tcp_set_mode(struct relay_forward *f, enum relay_direction dir,
			const struct relay_setting *setting)
{
	struct relay_conn *c;
	struct relay_conn *tmp;

	DL_FOREACH_SAFE(f->conns, c, tmp) {
		c->pipes[dir].setting = *setting;
		conn_apply_settings(c);
	}
}

enum err relay_tcp_init(struct relay_forward *f, struct err_info *info)
{
	enum err e = tcp_listen(&f->listener, f->loop, "127.0.0.1", f->port,
				on_accepted, f, info);

	if (e == ERR_OK)
		f->port = relay_bound_port(f->listener.fd);
	return e;
}

void relay_tcp_finish(struct relay_forward *f)
{
	tcp_listener_finish(&f->listener);
	while (f->conns)
		conn_free(f->conns);
}
