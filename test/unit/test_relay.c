#include "common/clk.h"
#include "standins/common_relay.h"
#include "transport/httpc.h"
#include "transport/addr.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#define TEST_TIMEOUT_MS 30000
#define BULK_BYTES (4 * 1024 * 1024)

/* One end of a TCP connection. */
struct endpoint {
	struct ev_loop *loop;
	int fd;
	ev_io io;
	ev_io out_io;
	GByteArray *in;
	GByteArray *out;
	int echo;
	int closed; /* by EOF or reset */
	int reset;
};

/* A relay between this process and an echo server in the same loop. */
struct fixture {
	struct ev_loop *loop;
	struct relay *relay;
	struct httpc http;
	unsigned control_port;
	unsigned port;
	unsigned udp_port;
	struct tcp_listener echo;
	GPtrArray *echo_endpoints; /* connections of the echo server */
	struct udp udp_echo;
	struct udp udp_client;
	GString *client_datagrams; /* received by the client */
	GString *server_datagrams; /* received by the server */
};

static void wait_until(struct ev_loop *loop, int (*fn)(void *), void *priv)
{
	int64_t limit = clk_ms() + TEST_TIMEOUT_MS;

	while (!fn(priv) && clk_ms() < limit)
		ev_run(loop, EVRUN_ONCE);
	g_assert_true(fn(priv));
}

static void run_loop_for_ms(struct ev_loop *loop, int ms)
{
	int64_t end = clk_ms() + ms;

	while (clk_ms() < end) {
		ev_run(loop, EVRUN_NOWAIT);
		g_usleep(1000);
	}
}

static void endpoint_send(struct endpoint *e, const void *data, size_t len)
{
	g_byte_array_append(e->out, data, (guint)len);
	ev_io_start(e->loop, &e->out_io);
}

static void on_endpoint_writable(struct ev_loop *loop, ev_io *w, int events)
{
	struct endpoint *e = w->data;
	ssize_t n = send(e->fd, e->out->data, e->out->len, MSG_NOSIGNAL);

	(void)events;
	if (n > 0)
		g_byte_array_remove_range(e->out, 0, (guint)n);
	if (!e->out->len || (n < 0 && errno != EAGAIN))
		ev_io_stop(loop, w);
}

static void on_endpoint_readable(struct ev_loop *loop, ev_io *w, int events)
{
	struct endpoint *e = w->data;
	uint8_t data[65536];
	ssize_t n = read(e->fd, data, sizeof(data));

	(void)events;
	if (n > 0) {
		g_byte_array_append(e->in, data, (guint)n);
		if (e->echo)
			endpoint_send(e, data, (size_t)n);
		return;
	}
	e->closed = 1;
	e->reset = n < 0;
	ev_io_stop(loop, w);
	if (e->echo)
		shutdown(e->fd, SHUT_WR);
}

static struct endpoint *endpoint_new(struct ev_loop *loop, int fd, int echo)
{
	struct endpoint *e = g_new0(struct endpoint, 1);

	e->loop = loop;
	e->fd = fd;
	e->echo = echo;
	e->in = g_byte_array_new();
	e->out = g_byte_array_new();
	ev_io_init(&e->io, on_endpoint_readable, fd, EV_READ);
	ev_io_init(&e->out_io, on_endpoint_writable, fd, EV_WRITE);
	e->io.data = e;
	e->out_io.data = e;
	ev_io_start(loop, &e->io);
	return e;
}

static void endpoint_free(gpointer data)
{
	struct endpoint *e = data;

	ev_io_stop(e->loop, &e->io);
	ev_io_stop(e->loop, &e->out_io);
	close(e->fd);
	g_byte_array_unref(e->in);
	g_byte_array_unref(e->out);
	g_free(e);
}

static void on_accepted(int fd, void *priv)
{
	struct fixture *f = priv;

	g_ptr_array_add(f->echo_endpoints, endpoint_new(f->loop, fd, 1));
}

static void on_udp_echo(const uint8_t *data, size_t len,
			const struct sockaddr_in *from, void *priv)
{
	struct fixture *f = priv;

	g_string_append_len(f->server_datagrams, (const char *)data,
			    (gssize)len);
	udp_send(&f->udp_echo, from, data, len);
}

static void on_udp_client(const uint8_t *data, size_t len,
			  const struct sockaddr_in *from, void *priv)
{
	struct fixture *f = priv;

	(void)from;
	g_string_append_len(f->client_datagrams, (const char *)data,
			    (gssize)len);
}

static void add_forward(struct fixture *f, int fd, const char *suffix)
{
	char *spec = g_strdup_printf("0:127.0.0.1:%u%s", relay_bound_port(fd),
				     suffix);
	enum err e = relay_add(f->relay, spec, NULL);

	g_assert_cmpint(e, ==, ERR_OK);
	g_free(spec);
}

static void setup(struct fixture *f, gconstpointer data)
{
	enum err e;

	(void)data;
	f->loop = ev_loop_new(0);
	f->relay = g_new0(struct relay, 1);
	f->echo_endpoints = g_ptr_array_new_with_free_func(endpoint_free);
	f->client_datagrams = g_string_new(NULL);
	f->server_datagrams = g_string_new(NULL);
	httpc_init(&f->http, f->loop, 1);
	e = tcp_listen(&f->echo, f->loop, "127.0.0.1", 0, on_accepted, f, NULL);
	g_assert_cmpint(e, ==, ERR_OK);
	e = udp_init(&f->udp_echo, f->loop, "127.0.0.1", 0, on_udp_echo, f,
		     NULL);
	g_assert_cmpint(e, ==, ERR_OK);
	e = udp_init(&f->udp_client, f->loop, "127.0.0.1", 0, on_udp_client, f,
		     NULL);
	g_assert_cmpint(e, ==, ERR_OK);
	e = relay_init(f->relay, f->loop, 0, NULL);
	g_assert_cmpint(e, ==, ERR_OK);
	f->control_port = httpd_port(&f->relay->httpd);
	add_forward(f, f->echo.fd, "");
	add_forward(f, f->udp_echo.fd, ":udp");
	f->port = f->relay->forwards[0].port;
	f->udp_port = f->relay->forwards[1].port;
}

static void teardown(struct fixture *f, gconstpointer data)
{
	(void)data;
	relay_finish(f->relay);
	g_free(f->relay);
	tcp_listener_finish(&f->echo);
	g_ptr_array_unref(f->echo_endpoints);
	udp_finish(&f->udp_echo);
	udp_finish(&f->udp_client);
	httpc_finish(&f->http);
	g_string_free(f->client_datagrams, TRUE);
	g_string_free(f->server_datagrams, TRUE);
	ev_loop_destroy(f->loop);
}

static struct endpoint *dial(struct fixture *f)
{
	struct sockaddr_in sa;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	addr_parse(&sa, "127.0.0.1", f->port);
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0)
		g_assert_cmpint(errno, ==, EINPROGRESS);
	return endpoint_new(f->loop, fd, 0);
}

static int is_done(void *priv)
{
	return *(int *)priv;
}

static void on_control_done(struct httpc_request *r, void *priv)
{
	(void)r;
	*(int *)priv = 1;
}

/* Sends a command as test scripts do; returns the HTTP status. */
static int send_command(struct fixture *f, const char *text)
{
	static const struct httpc_ops ops = { .done = on_control_done };
	char *url =
		g_strdup_printf("http://127.0.0.1:%u%s", f->control_port, text);
	int done = 0;
	struct httpc_request r = {
		.ops = &ops,
		.priv = &done,
		.method = "POST",
		.url = url,
		.timeout_ms = TEST_TIMEOUT_MS,
	};

	g_assert_cmpint(httpc_start(&f->http, &r), ==, ERR_OK);
	wait_until(f->loop, is_done, &done);
	httpc_request_finish(&r);
	g_free(url);
	return r.status;
}

static void set_mode(struct fixture *f, const char *arguments)
{
	char *text = g_strdup_printf("/set?listen=all&%s", arguments);

	g_assert_cmpint(send_command(f, text), ==, 200);
	g_free(text);
}

struct expected {
	const struct endpoint *e;
	guint len;
};

static int has_bytes(void *priv)
{
	const struct expected *x = priv;

	return x->e->in->len >= x->len || x->e->closed;
}

static void assert_received(const struct endpoint *e, const char *text)
{
	g_assert_cmpmem(e->in->data, e->in->len, text, strlen(text));
}

static void expect_received(struct endpoint *e, const char *text)
{
	struct expected x = { e, (guint)strlen(text) };

	wait_until(e->loop, has_bytes, &x);
	assert_received(e, text);
}

static int is_closed(void *priv)
{
	return ((const struct endpoint *)priv)->closed;
}

/* Guards against lost or reordered bytes, and an EOF that is not forwarded. */
static void test_bulk(struct fixture *f, gconstpointer data)
{
	struct endpoint *e = dial(f);
	struct expected x = { e, BULK_BYTES };
	uint8_t *bytes = g_malloc(BULK_BYTES);

	(void)data;
	for (size_t i = 0; i < BULK_BYTES; i++)
		bytes[i] = (uint8_t)(i * 31 + i / 65536);
	endpoint_send(e, bytes, BULK_BYTES);
	wait_until(f->loop, has_bytes, &x);
	g_assert_cmpmem(e->in->data, e->in->len, bytes, BULK_BYTES);
	shutdown(e->fd, SHUT_WR);
	wait_until(f->loop, is_closed, e);
	g_assert_false(e->reset);
	g_assert_cmpuint(f->relay->forwards[0].counts.open, ==, 0);
	g_assert_cmpuint(f->relay->forwards[0].counts.bytes[RELAY_IN], ==,
			 BULK_BYTES);
	g_free(bytes);
	endpoint_free(e);
}

/* Guards against scope=existing that makes new connections silent too. */
static void test_silent_existing(struct fixture *f, gconstpointer data)
{
	struct endpoint *first = dial(f);
	struct endpoint *second;

	(void)data;
	endpoint_send(first, "a", 1);
	expect_received(first, "a");
	set_mode(f, "mode=silent&scope=existing");
	endpoint_send(first, "b", 1);
	second = dial(f);
	endpoint_send(second, "c", 1);
	expect_received(second, "c");
	run_loop_for_ms(f->loop, 50);
	assert_received(first, "a");
	g_assert_false(first->closed);
	set_mode(f, "mode=pass");
	expect_received(first, "ab");
	endpoint_free(first);
	endpoint_free(second);
}

/* Guards against scope=new that affects open connections or no new ones. */
static void test_silent_new(struct fixture *f, gconstpointer data)
{
	struct endpoint *first = dial(f);
	struct endpoint *second;

	(void)data;
	endpoint_send(first, "a", 1);
	expect_received(first, "a");
	set_mode(f, "mode=silent&scope=new");
	second = dial(f);
	endpoint_send(second, "b", 1);
	endpoint_send(first, "c", 1);
	expect_received(first, "ac");
	run_loop_for_ms(f->loop, 50);
	assert_received(second, "");
	g_assert_false(second->closed);
	g_assert_cmpuint(f->echo_endpoints->len, ==, 1);
	set_mode(f, "mode=pass");
	expect_received(second, "b");
	endpoint_free(first);
	endpoint_free(second);
}

/* Guards against a mode that is set for one direction and affects both. */
static void test_one_way(struct fixture *f, gconstpointer data)
{
	struct endpoint *e = dial(f);

	(void)data;
	endpoint_send(e, "a", 1);
	expect_received(e, "a");
	set_mode(f, "mode=silent&direction=out");
	endpoint_send(e, "b", 1);
	expect_received(g_ptr_array_index(f->echo_endpoints, 0), "ab");
	run_loop_for_ms(f->loop, 50);
	assert_received(e, "a");
	set_mode(f, "mode=silent&direction=in");
	set_mode(f, "mode=pass&direction=out");
	expect_received(e, "ab");
	endpoint_send(e, "c", 1);
	run_loop_for_ms(f->loop, 50);
	assert_received(g_ptr_array_index(f->echo_endpoints, 0), "ab");
	endpoint_free(e);
}

/* Guards against a stream that continues after some of its bytes were lost. */
static void test_drop(struct fixture *f, gconstpointer data)
{
	struct endpoint *e = dial(f);

	(void)data;
	endpoint_send(e, "a", 1);
	expect_received(e, "a");
	set_mode(f, "mode=delay&ms=5000&direction=in");
	endpoint_send(e, "b", 1);
	run_loop_for_ms(f->loop, 50);
	set_mode(f, "mode=drop");
	g_assert_cmpuint(f->relay->forwards[0].counts.lost[RELAY_IN], ==, 1);
	endpoint_send(e, "c", 1);
	run_loop_for_ms(f->loop, 50);
	g_assert_false(e->closed);
	g_assert_cmpuint(f->relay->forwards[0].counts.lost[RELAY_IN], ==, 2);
	set_mode(f, "mode=pass");
	wait_until(f->loop, is_closed, e);
	g_assert_true(e->reset);
	assert_received(e, "a");
	endpoint_free(e);
}

/*
 * Guards against bytes that were sent while the relay dropped data, on a
 * connection opened in that time, and are delivered after the mode changes. A
 * connection that sent nothing in that time continues.
 */
static void test_drop_new(struct fixture *f, gconstpointer data)
{
	struct endpoint *lossy;
	struct endpoint *unused;

	(void)data;
	set_mode(f, "mode=drop");
	lossy = dial(f);
	unused = dial(f);
	endpoint_send(lossy, "a", 1);
	run_loop_for_ms(f->loop, 50);
	g_assert_false(lossy->closed);
	set_mode(f, "mode=pass");
	wait_until(f->loop, is_closed, lossy);
	endpoint_send(unused, "b", 1);
	expect_received(unused, "b");
	g_assert_cmpuint(f->echo_endpoints->len, ==, 1);
	endpoint_free(lossy);
	endpoint_free(unused);
}

/* Guards against a reset that the peer sees as a regular close. */
static void test_reset(struct fixture *f, gconstpointer data)
{
	struct endpoint *first = dial(f);
	struct endpoint *second;

	(void)data;
	endpoint_send(first, "a", 1);
	expect_received(first, "a");
	set_mode(f, "mode=reset");
	wait_until(f->loop, is_closed, first);
	g_assert_true(first->reset);
	second = dial(f);
	wait_until(f->loop, is_closed, second);
	g_assert_true(second->reset);
	g_assert_cmpuint(f->relay->forwards[0].counts.open, ==, 0);
	endpoint_free(first);
	endpoint_free(second);
}

/* Guards against reordering by a delay, also when the delay ends. */
static void test_delay(struct fixture *f, gconstpointer data)
{
	struct endpoint *e = dial(f);
	int64_t start;

	(void)data;
	endpoint_send(e, "a", 1);
	expect_received(e, "a");
	set_mode(f, "mode=delay&ms=300&direction=in");
	start = clk_ms();
	endpoint_send(e, "b", 1);
	run_loop_for_ms(f->loop, 100);
	assert_received(e, "a");
	set_mode(f, "mode=pass");
	endpoint_send(e, "c", 1);
	expect_received(e, "abc");
	g_assert_cmpint(clk_ms() - start, >=, 299);
	endpoint_free(e);
}

/* Guards against a cut that lets more or fewer bytes pass than requested. */
static void test_cut(struct fixture *f, gconstpointer data)
{
	struct endpoint *e = dial(f);
	char *text = g_strdup_printf("/cut?listen=%u&after_bytes=3", f->port);

	(void)data;
	endpoint_send(e, "a", 1);
	expect_received(e, "a");
	g_assert_cmpint(send_command(f, text), ==, 200);
	endpoint_send(e, "bcdefgh", 7);
	wait_until(f->loop, is_closed, e);
	assert_received(e, "abcd");
	endpoint_free(e);
	e = dial(f);
	endpoint_send(e, "again", 5);
	expect_received(e, "again");
	endpoint_free(e);
	g_free(text);
}

static void send_datagram(struct fixture *f, const char *text)
{
	struct sockaddr_in sa;

	addr_parse(&sa, "127.0.0.1", f->udp_port);
	udp_send(&f->udp_client, &sa, (const uint8_t *)text, strlen(text));
	run_loop_for_ms(f->loop, 50);
}

/* Guards against datagrams that pass a failed direction of the relay. */
static void test_udp(struct fixture *f, gconstpointer data)
{
	(void)data;
	send_datagram(f, "a");
	g_assert_cmpstr(f->client_datagrams->str, ==, "a");
	set_mode(f, "mode=drop&direction=out");
	send_datagram(f, "b");
	g_assert_cmpstr(f->server_datagrams->str, ==, "ab");
	g_assert_cmpstr(f->client_datagrams->str, ==, "a");
	set_mode(f, "mode=silent");
	send_datagram(f, "c");
	g_assert_cmpstr(f->server_datagrams->str, ==, "ab");
	set_mode(f, "mode=delay&ms=200&direction=in");
	set_mode(f, "mode=pass&direction=out");
	send_datagram(f, "d");
	g_assert_cmpstr(f->server_datagrams->str, ==, "ab");
	run_loop_for_ms(f->loop, 250);
	g_assert_cmpstr(f->client_datagrams->str, ==, "ad");
	g_assert_cmpuint(f->relay->forwards[1].counts.open, ==, 1);
}

/* Guards against misspelt commands of test scripts that are accepted. */
static void test_bad_commands(struct fixture *f, gconstpointer data)
{
	static const char *const specs[] = {
		"",
		"1:127.0.0.1",
		"0:127.0.0.1:0",
		"x:127.0.0.1:1",
		"1:10.0.0.1:1",
		"1:127.0.0.1:70000",
		"1:127.0.0.1:1:tcp",
	};
	char *text = g_strdup_printf("/set?listen=%u&mode=quiet", f->port);

	(void)data;
	g_assert_cmpint(send_command(f, "/set?listen=1&mode=pass"), ==, 404);
	g_assert_cmpint(send_command(f, "/set?mode=pass"), ==, 404);
	g_assert_cmpint(send_command(f, text), ==, 400);
	g_free(text);
	g_assert_cmpint(send_command(f, "/set?listen=all&mode=delay"), ==, 400);
	g_assert_cmpint(send_command(f, "/set?listen=all&mode=pass&scope=old"),
			==, 400);
	g_assert_cmpint(send_command(f, "/cut?listen=all"), ==, 400);
	g_assert_cmpint(send_command(f, "/stop"), ==, 404);
	g_assert_cmpint(f->relay->forwards[0].setting[RELAY_IN].mode, ==,
			RELAY_PASS);
	text = g_strdup_printf("/set?listen=%u&mode=silent", f->port);
	g_assert_cmpint(send_command(f, text), ==, 200);
	g_assert_cmpint(f->relay->forwards[0].setting[RELAY_IN].mode, ==,
			RELAY_SILENT);
	g_assert_cmpint(f->relay->forwards[1].setting[RELAY_IN].mode, ==,
			RELAY_PASS);
	for (size_t i = 0; i < G_N_ELEMENTS(specs); i++)
		g_assert_cmpint(relay_add(f->relay, specs[i], NULL), !=,
				ERR_OK);
	g_free(text);
}

static void add_test(const char *path,
		     void (*fn)(struct fixture *f, gconstpointer data))
{
	g_test_add(path, struct fixture, NULL, setup, fn, teardown);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	add_test("/relay/bulk", test_bulk);
	add_test("/relay/silent/existing", test_silent_existing);
	add_test("/relay/silent/new", test_silent_new);
	add_test("/relay/one_way", test_one_way);
	add_test("/relay/drop/existing", test_drop);
	add_test("/relay/drop/new", test_drop_new);
	add_test("/relay/reset", test_reset);
	add_test("/relay/delay", test_delay);
	add_test("/relay/cut", test_cut);
	add_test("/relay/udp", test_udp);
	add_test("/relay/bad_commands", test_bad_commands);
	return g_test_run();
}
