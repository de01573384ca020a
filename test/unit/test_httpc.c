#include "common/clk.h"
#include "protocol/frame.h"
#include "test/unit/fake.h"
#include "transport/httpc_priv.h"

#include <errno.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <uthash.h>

/*
 * Tests the HTTP client against servers whose bytes have no end: they send a
 * first text and then a second one again and again until the client closes.
 */

/* Far above every bound: a request that reads so much has none. */
#define READ_WITHOUT_BOUND_BYTES (64 * 1024 * 1024)
#define TIMEOUT_MS 20000
#define MANY 12

struct endless {
	const char *first;
	const char *again;
	size_t again_len;
};

struct server {
	struct ev_loop *loop;
	const struct endless *kind;
	struct fake_listener {
		int fd;
		ev_io io;
	} listener;
	unsigned open;
	size_t sent;
};

struct server_conn {
	struct server *s;
	int fd;
	ev_io io;
	int started;
	size_t offset; /* in the text that is being sent */
};

static void conn_free(struct server_conn *c)
{
	ev_io_stop(c->s->loop, &c->io);
	close(c->fd);
	c->s->open--;
	g_free(c);
}

static void on_server_conn(struct ev_loop *loop, ev_io *w, int events)
{
	struct server_conn *c = w->data;
	const struct endless *k = c->s->kind;
	const char *text = c->started ? k->again : k->first;
	size_t len = c->started ? k->again_len : strlen(k->first);
	char request[4096];
	ssize_t n;

	(void)loop;
	n = recv(c->fd, request, sizeof(request), MSG_DONTWAIT);
	if (n == 0 || (n < 0 && errno != EAGAIN)) {
		conn_free(c);
		return;
	}
	if (!(events & EV_WRITE))
		return;
	n = send(c->fd, text + c->offset, len - c->offset,
		 MSG_DONTWAIT | MSG_NOSIGNAL);
	if (n < 0 && errno != EAGAIN) {
		conn_free(c);
		return;
	}
	if (n < 0)
		return;
	c->s->sent += (size_t)n;
	c->offset += (size_t)n;
	if (c->offset < len)
		return;
	c->offset = 0;
	c->started = 1;
}

static void on_server_accept(struct ev_loop *loop, ev_io *w, int events)
{
	struct server *s = w->data;
	struct server_conn *c = g_new0(struct server_conn, 1);

	(void)events;
	c->s = s;
	c->fd = accept(s->listener.fd, NULL, NULL);
	s->open++;
	ev_io_init(&c->io, on_server_conn, c->fd, EV_READ | EV_WRITE);
	c->io.data = c;
	ev_io_start(loop, &c->io);
}

static unsigned server_init(struct server *s, struct ev_loop *loop,
			    const struct endless *kind)
{
	unsigned port;

	memset(s, 0, sizeof(*s));
	s->loop = loop;
	s->kind = kind;
	s->listener.fd = fake_listen(&port);
	ev_io_init(&s->listener.io, on_server_accept, s->listener.fd, EV_READ);
	s->listener.io.data = s;
	ev_io_start(loop, &s->listener.io);
	return port;
}

static void server_finish(struct server *s)
{
	for (int i = 0; i < 1000 && s->open; i++)
		fake_pause(s->loop, 1);
	g_assert_cmpuint(s->open, ==, 0);
	ev_io_stop(s->loop, &s->listener.io);
	close(s->listener.fd);
}

static void on_done(struct httpc_request *r, void *priv)
{
	unsigned *done = priv;

	(void)r;
	++*done;
}

static const struct httpc_ops ops = { .done = on_done };

static void start(struct httpc *c, struct httpc_request *r, unsigned port,
		  unsigned *done)
{
	char url[64];

	g_snprintf(url, sizeof(url), "http://127.0.0.1:%u/", port);
	*r = (struct httpc_request){ .ops = &ops,
				     .priv = done,
				     .method = "GET",
				     .url = url,
				     .timeout_ms = TIMEOUT_MS };
	g_assert_cmpint(httpc_start(c, r), ==, ERR_OK);
}

static char filler[8192];

#define OK_CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
#define TEXT(s) s, sizeof(s) - 1

static const struct {
	const char *name;
	struct endless kind;
	size_t most_sent; /* the bound and what the sockets' buffers hold */
} kinds[] = {
	{ "status line",
	  { "HTTP/1.1 200 ", filler, sizeof(filler) },
	  8 * 1024 * 1024 },
	{ "header line",
	  { "HTTP/1.1 200 OK\r\nX-A: ", filler, sizeof(filler) },
	  8 * 1024 * 1024 },
	{ "headers",
	  { "HTTP/1.1 200 OK\r\n", TEXT("X-A: aaaaaaaaaaaaaaaaaaaaaa\r\n") },
	  8 * 1024 * 1024 },
	{ "interim answers",
	  { "", TEXT("HTTP/1.1 102 Processing\r\n\r\n") },
	  8 * 1024 * 1024 },
	{ "chunk extension",
	  { OK_CHUNKED "1;", filler, sizeof(filler) },
	  8 * 1024 * 1024 },
	{ "trailers",
	  { OK_CHUNKED "0\r\n", TEXT("X-A: aaaaaaaaaaaaaaaaaaaaaaaaa\r\n") },
	  8 * 1024 * 1024 },
	{ "trailer line",
	  { OK_CHUNKED "0\r\nX-A: ", filler, sizeof(filler) },
	  8 * 1024 * 1024 },
	{ "chunks",
	  { OK_CHUNKED, TEXT("10\r\naaaaaaaaaaaaaaaa\r\n") },
	  FRAME_MAX_BYTES + 8 * 1024 * 1024 },
	{ "unframed body",
	  { "HTTP/1.1 200 OK\r\n\r\n", filler, sizeof(filler) },
	  FRAME_MAX_BYTES + 8 * 1024 * 1024 },
	{ "long body",
	  { "HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n", filler,
	    sizeof(filler) },
	  8 * 1024 * 1024 },
	{ "no answer", { "", filler, sizeof(filler) }, 8 * 1024 * 1024 },
};

/*
 * Guards against a server in trouble that keeps a request busy until its
 * deadline, or takes the process's memory, with bytes that are no answer.
 */
static void test_endless(void)
{
	memset(filler, 'a', sizeof(filler));
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
		int64_t begin_ms = clk_ms();
		struct httpc_request r;
		unsigned done = 0;
		struct server s;
		struct httpc c;
		unsigned port;

		port = server_init(&s, loop, &kinds[i].kind);
		httpc_init(&c, loop, 0);
		start(&c, &r, port, &done);
		while (!done && s.sent < READ_WITHOUT_BOUND_BYTES)
			ev_run(loop, EVRUN_ONCE);
		g_test_message("%s: %zu bytes, %s", kinds[i].name, s.sent,
			       done ? err_name(r.error) : "no end");
		g_assert_cmpuint(done, ==, 1);
		g_assert_cmpint(r.error, !=, ERR_OK);
		g_assert_cmpint(r.error, !=, ERR_TIMEOUT);
		g_assert_true(r.send_started);
		g_assert_cmpuint(s.sent, <=, kinds[i].most_sent);
		g_assert_cmpint(clk_ms() - begin_ms, <, TIMEOUT_MS / 2);
		httpc_request_finish(&r);
		g_assert_cmpuint(c.collected_bytes, ==, 0);
		server_finish(&s);
		httpc_finish(&c);
		ev_loop_destroy(loop);
	}
}

/* ---- a server that writes as fast as the connection takes it ---- */

struct fast_server {
	int fd;
	unsigned port;
	GThread *thread;
	size_t sent; /* valid after the thread has ended */
};

static gpointer write_without_end(gpointer priv)
{
	static const char first[] =
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=";
	struct fast_server *s = priv;
	int fd = accept(s->fd, NULL, NULL);
	ssize_t n = send(fd, first, sizeof(first) - 1, MSG_NOSIGNAL);

	while (n > 0 && s->sent < READ_WITHOUT_BOUND_BYTES) {
		s->sent += (size_t)n;
		n = send(fd, filler, sizeof(filler), MSG_NOSIGNAL);
	}
	close(fd);
	return NULL;
}

static void on_turn(struct ev_loop *loop, ev_prepare *w, int events)
{
	(void)loop;
	(void)events;
	++*(unsigned *)w->data;
}

/*
 * Guards against a server whose chunk extension has no end and keeps the loop
 * busy while bytes come: the requests of all others wait (the operators'
 * report, issue 31). Memory does not show it. The server writes from another
 * thread, so that there is always more to read; 103 MB were read before the
 * request ended, in steps of 11 ms of processor time.
 */
static void test_fast_server(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct fast_server s = { .sent = 0 };
	unsigned done = 0, turns = 0;
	struct httpc_request r;
	ev_prepare prepare;
	struct httpc c;

	memset(filler, 'a', sizeof(filler));
	s.fd = fake_listen(&s.port);
	fcntl(s.fd, F_SETFL, 0);
	s.thread = g_thread_new("server", write_without_end, &s);
	ev_prepare_init(&prepare, on_turn);
	prepare.data = &turns;
	ev_prepare_start(loop, &prepare);
	httpc_init(&c, loop, 0);
	start(&c, &r, s.port, &done);
	fake_wait(loop, &done, 1);
	httpc_request_finish(&r);
	httpc_finish(&c);
	g_thread_join(s.thread);
	g_test_message("%zu bytes, %u turns", s.sent, turns);
	g_assert_cmpint(r.error, ==, ERR_TOO_LARGE);
	/* With what the system's buffers hold. */
	g_assert_cmpuint(s.sent, <, READ_WITHOUT_BOUND_BYTES / 4);
	ev_prepare_stop(loop, &prepare);
	close(s.fd);
	ev_loop_destroy(loop);
}

/*
 * Guards against many answers without end that together take the memory of the
 * process, though each has a bound.
 */
static void test_many_bodies(void)
{
	static const struct endless kind = { "HTTP/1.1 200 OK\r\n\r\n", filler,
					     sizeof(filler) };
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct httpc_request r[MANY];
	unsigned done = 0;
	size_t most = 0;
	struct server s;
	struct httpc c;
	unsigned port;

	memset(filler, 'a', sizeof(filler));
	port = server_init(&s, loop, &kind);
	httpc_init(&c, loop, 0);
	for (int i = 0; i < MANY; i++)
		start(&c, &r[i], port, &done);
	while (done < MANY) {
		ev_run(loop, EVRUN_ONCE);
		if (c.collected_bytes > most)
			most = c.collected_bytes;
	}
	g_assert_cmpuint(most, <=, HTTPC_MAX_COLLECTED_BYTES);
	for (int i = 0; i < MANY; i++) {
		g_assert_cmpint(r[i].error, ==, ERR_TOO_LARGE);
		httpc_request_finish(&r[i]);
	}
	server_finish(&s);
	httpc_finish(&c);
	ev_loop_destroy(loop);
}

/* ---- connections that are not established ---- */

#define BURST 8

/* Accepts a connection and resets it. */
static void reset_next(int listener)
{
	struct linger l = { .l_onoff = 1, .l_linger = 0 };
	int fd = accept(listener, NULL, NULL);

	g_assert_cmpint(fd, >=, 0);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	close(fd);
}

/* Runs the loop until libcurl has begun all connections, and no further. */
static void begin_connections(struct ev_loop *loop, const struct httpc *c,
			      unsigned count)
{
	while (HASH_COUNT(c->connections) < count)
		ev_run(loop, EVRUN_ONCE);
}

/*
 * Guards against a server that resets new connections because it is full, and
 * that counts as one whose process has ended: its keys were given to others
 * while it held them (review/6). libcurl reports a reset that it sees before
 * it has looked at the connection as one that could not be established. Here
 * the loop stands still between the opening of the connections and their reset,
 * so that it is always seen so early.
 */
static void test_early_reset(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct httpc_request r[BURST];
	unsigned done = 0, port;
	int fd = fake_listen(&port);
	struct httpc c;

	httpc_init(&c, loop, 0);
	for (int i = 0; i < BURST; i++)
		start(&c, &r[i], port, &done);
	begin_connections(loop, &c, BURST);
	g_assert_cmpuint(done, ==, 0);
	for (int i = 0; i < BURST; i++)
		reset_next(fd);
	fake_wait(loop, &done, BURST);
	for (int i = 0; i < BURST; i++) {
		g_assert_cmpint(r[i].connect_errno, ==, ECONNRESET);
		g_assert_false(r[i].send_started);
		g_assert_cmpint(r[i].error, ==, ERR_CLOSED);
		httpc_request_finish(&r[i]);
	}
	httpc_finish(&c);
	close(fd);
	ev_loop_destroy(loop);
}

/* Guards against a server whose process has ended and that is not told so. */
static void test_refused(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	unsigned done = 0, port;
	int fd = fake_listen(&port);
	struct httpc_request r;
	struct httpc c;

	close(fd);
	httpc_init(&c, loop, 0);
	start(&c, &r, port, &done);
	fake_wait(loop, &done, 1);
	g_assert_cmpint(r.connect_errno, ==, ECONNREFUSED);
	g_assert_cmpint(r.error, ==, ERR_REFUSED);
	httpc_request_finish(&r);
	httpc_finish(&c);
	ev_loop_destroy(loop);
}

/*
 * Guards against a client without a free descriptor that takes this for a
 * server that has ended.
 */
static void test_no_descriptor(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	unsigned done = 0, port;
	int fd = fake_listen(&port);
	struct rlimit limit, none;
	struct httpc_request r;
	struct httpc c;

	httpc_init(&c, loop, 0);
	getrlimit(RLIMIT_NOFILE, &limit);
	start(&c, &r, port, &done);
	none = limit;
	none.rlim_cur = 3;
	setrlimit(RLIMIT_NOFILE, &none);
	fake_wait(loop, &done, 1);
	setrlimit(RLIMIT_NOFILE, &limit);
	g_assert_false(r.send_started);
	g_assert_cmpint(r.error, ==, ERR_CLOSED);
	httpc_request_finish(&r);
	httpc_finish(&c);
	close(fd);
	ev_loop_destroy(loop);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_test_add_func("/httpc/endless", test_endless);
	g_test_add_func("/httpc/fast_server", test_fast_server);
	g_test_add_func("/httpc/many_bodies", test_many_bodies);
	g_test_add_func("/httpc/early_reset", test_early_reset);
	g_test_add_func("/httpc/refused", test_refused);
	g_test_add_func("/httpc/no_descriptor", test_no_descriptor);
	return g_test_run();
}
