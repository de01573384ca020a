#include "test/unit/fake.h"
#include "transport/httpc.h"

/* Tests of the connections that the HTTP client keeps. */

#define CONNECT_TIMEOUT_MS 30
#define TIMEOUT_MS 5000
#define MANY 8

static void on_done(struct httpc_request *r, void *priv)
{
	(void)r;
	++*(unsigned *)priv;
}

static const struct httpc_ops ops = { .done = on_done };

static void start(struct httpc *c, struct httpc_request *r, unsigned port,
		  unsigned *done)
{
	char url[64];

	g_snprintf(url, sizeof(url), "http://127.0.0.1:%u/x", port);
	*r = (struct httpc_request){ .ops = &ops,
				     .priv = done,
				     .method = "POST",
				     .url = url,
				     .timeout_ms = TIMEOUT_MS,
				     .connect_timeout_ms = CONNECT_TIMEOUT_MS };
	g_assert_cmpint(httpc_start(c, r), ==, ERR_OK);
	r->url = NULL;
}

/* Returns a socket that listens, and whose backlog is full. */
static int listen_full(unsigned *port, int *clients, int count)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	int fd = fake_listen(port);

	g_assert_cmpint(listen(fd, 0), ==, 0);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sa.sin_port = htons((uint16_t)*port);
	for (int i = 0; i < count; i++) {
		clients[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(clients[i], (struct sockaddr *)&sa, sizeof(sa));
	}
	return fd;
}

/*
 * Guards against the memory of connections that were not established, which
 * libcurl closes without a call: each connect timeout left an entry for ever,
 * and a later connection with the same socket was taken for it.
 */
static void test_not_established(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct httpc_request r;
	unsigned done = 0, port;
	int clients[MANY];
	struct httpc c;
	int fd;

	fd = listen_full(&port, clients, MANY);
	httpc_init(&c, loop, 0);
	for (unsigned i = 1; i <= MANY; i++) {
		start(&c, &r, port, &done);
		fake_wait(loop, &done, i);
		g_assert_cmpint(r.error, ==, ERR_TIMEOUT);
		httpc_request_finish(&r);
		start(&c, &r, port, &done);
		fake_pause(loop, 5);
		httpc_cancel(&r);
		httpc_request_finish(&r);
	}
	httpc_finish(&c);
	g_assert_null(c.connections);
	for (int i = 0; i < MANY; i++)
		close(clients[i]);
	close(fd);
	ev_loop_destroy(loop);
}

/*
 * Guards against an answer that came while no request was open and is taken for
 * the answer to the next one: libcurl reuses a connection with bytes to read.
 */
static void test_bytes_on_idle(void)
{
	static const char *const surplus[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly",
		"HTTP/1.1 200 OK\r\nCon", "\r\n"
	};

	for (size_t i = 0; i < G_N_ELEMENTS(surplus); i++) {
		struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
		struct fake_target target;
		struct httpc_request r;
		unsigned done = 0;
		struct httpc c;

		fake_target_init(&target, loop);
		target.answer = FAKE_OK;
		httpc_init(&c, loop, 0);
		start(&c, &r, target.port, &done);
		fake_wait(loop, &done, 1);
		g_assert_cmpint(r.error, ==, ERR_OK);
		httpc_request_finish(&r);
		fake_write(target.last_fd, surplus[i]);
		fake_pause(loop, 10);
		target.answer =
			"HTTP/1.1 500 Ashes\r\nContent-Length: 4\r\n\r\noops";
		start(&c, &r, target.port, &done);
		fake_wait(loop, &done, 2);
		g_assert_cmpint(r.error, ==, ERR_OK);
		g_assert_cmpint(r.status, ==, 500);
		g_assert_cmpuint(r.stray_connections, ==, 1);
		g_assert_cmpuint(r.sends, ==, 1);
		g_assert_cmpuint(target.connections, ==, 2);
		g_assert_cmpuint(target.runs, ==, 2);
		httpc_request_finish(&r);
		httpc_finish(&c);
		fake_target_finish(&target);
		ev_loop_destroy(loop);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_test_add_func("/httpc_conn/not_established", test_not_established);
	g_test_add_func("/httpc_conn/bytes_on_idle", test_bytes_on_idle);
	return g_test_run();
}
