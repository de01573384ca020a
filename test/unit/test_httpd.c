#include "test/unit/fake.h"
#include "transport/httpd.h"

#define MAX_REQUESTS 1200
#define READ_TRIES 3000

/*
 * Tests the HTTP server with several requests on one connection, by raw
 * sockets. The handler keeps the requests; each test answers them.
 */
struct fixture {
	struct ev_loop *loop;
	struct httpd d;
	struct httpd_request *held[MAX_REQUESTS]; /* NULL once completed */
	unsigned requests;
	unsigned rejected;
	unsigned disconnected;
	unsigned completed;
	int answer_at_once;
	int fd;
	GString *received;
	int closed; /* the server closed the connection */
};

static void answer(struct httpd_request *r)
{
	httpd_answer_text(r, 200, "text/plain", r->path);
}

static void on_request(struct httpd_request *r, void *priv)
{
	struct fixture *f = priv;

	g_assert_cmpuint(f->requests, <, MAX_REQUESTS);
	r->priv = &f->held[f->requests];
	f->held[f->requests++] = r;
	if (f->answer_at_once)
		answer(r);
}

static void on_reject(struct httpd_request *r, void *priv)
{
	struct fixture *f = priv;

	(void)r;
	f->rejected++;
}

static void on_disconnected(struct httpd_request *r, void *priv)
{
	struct fixture *f = priv;

	f->disconnected++;
	httpd_answer_text(r, 504, "text/plain", "");
}

static void on_completed(struct httpd_request *r, void *priv)
{
	struct fixture *f = priv;

	if (r->priv)
		*(struct httpd_request **)r->priv = NULL;
	f->completed++;
}

static const struct httpd_ops ops = {
	.request = on_request,
	.reject = on_reject,
	.disconnected = on_disconnected,
	.completed = on_completed,
};

static void connect_caller(struct fixture *f)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };

	f->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	f->closed = 0;
	g_string_truncate(f->received, 0);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sa.sin_port = htons((uint16_t)httpd_port(&f->d));
	g_assert_cmpint(connect(f->fd, (struct sockaddr *)&sa, sizeof(sa)), ==,
			0);
}

static void setup(struct fixture *f, const struct httpd_limits *limits)
{
	memset(f, 0, sizeof(*f));
	f->loop = ev_loop_new(EVFLAG_AUTO);
	f->received = g_string_new("");
	g_assert_cmpint(httpd_init_limited(&f->d, f->loop, "127.0.0.1", 0,
					   100000, 60, limits, &ops, f, NULL),
			==, ERR_OK);
	connect_caller(f);
}

static void teardown(struct fixture *f)
{
	httpd_finish(&f->d);
	g_assert_cmpuint(f->completed, ==, f->requests + f->rejected);
	close(f->fd);
	g_string_free(f->received, TRUE);
	ev_loop_destroy(f->loop);
}

static void turn(struct fixture *f)
{
	char data[16384];
	ssize_t n;

	fake_pause(f->loop, 1);
	n = recv(f->fd, data, sizeof(data), MSG_DONTWAIT);
	if (n > 0)
		g_string_append_len(f->received, data, n);
	else if (n == 0)
		f->closed = 1;
}

/* Runs the server until so many requests were dispatched, and a little more. */
static void wait_requests(struct fixture *f, unsigned count)
{
	for (int i = 0; i < READ_TRIES && f->requests < count; i++)
		turn(f);
	for (int i = 0; i < 5; i++)
		turn(f);
	g_assert_cmpuint(f->requests, ==, count);
}

static void wait_closed(struct fixture *f)
{
	for (int i = 0; i < READ_TRIES && !f->closed; i++)
		turn(f);
	g_assert_true(f->closed);
}

static unsigned count_text(const struct fixture *f, const char *text)
{
	const char *at = f->received->str;
	unsigned n = 0;

	for (; (at = strstr(at, text)); at += strlen(text))
		n++;
	return n;
}

static void wait_answers(struct fixture *f, unsigned count)
{
	for (int i = 0; i < READ_TRIES && count_text(f, "HTTP/1.1 ") < count;
	     i++)
		turn(f);
	for (int i = 0; i < 5; i++)
		turn(f);
	g_assert_cmpuint(count_text(f, "HTTP/1.1 "), ==, count);
}

/* Checks that the bodies came in this order: paths are the bodies. */
static void expect_order(const struct fixture *f, const char *const *bodies,
			 size_t count)
{
	const char *at = f->received->str;

	for (size_t i = 0; i < count; i++) {
		char body[32];

		g_snprintf(body, sizeof(body), "\r\n\r\n%s", bodies[i]);
		at = strstr(at, body);
		g_assert_nonnull(at);
		at++;
	}
}

#define GET(path) "GET " path " HTTP/1.1\r\nHost: a\r\n\r\n"

/*
 * Guards against requests that wait for the answers before them, and against
 * answers in another order than the requests.
 */
static void test_order(void)
{
	static const char *const bodies[] = { "/1", "/2", "/3" };
	struct fixture f;

	setup(&f, NULL);
	fake_write(f.fd, GET("/1") GET("/2") GET("/3"));
	wait_requests(&f, 3);
	answer(f.held[2]);
	answer(f.held[1]);
	for (int i = 0; i < 20; i++)
		turn(&f);
	g_assert_cmpuint(f.received->len, ==, 0);
	answer(f.held[0]);
	wait_answers(&f, 3);
	expect_order(&f, bodies, 3);
	teardown(&f);
}

/* Guards against a connection that takes all of a server's capacity. */
static void test_pipeline_limit(void)
{
	const struct httpd_limits limits = { .pipeline = 2 };
	struct fixture f;

	setup(&f, &limits);
	fake_write(f.fd, GET("/1") GET("/2") GET("/3") GET("/4"));
	wait_requests(&f, 2);
	answer(f.held[1]);
	wait_requests(&f, 2);
	answer(f.held[0]);
	wait_requests(&f, 4);
	answer(f.held[2]);
	answer(f.held[3]);
	wait_answers(&f, 4);
	teardown(&f);
}

/* Guards against answers without bound that wait for a slow first one. */
static void test_held_limit(void)
{
	const struct httpd_limits limits = { .pipeline = 100,
					     .held_bytes = 10000 };
	static const char large[12000];
	struct fixture f;

	setup(&f, &limits);
	fake_write(f.fd, GET("/1") GET("/2"));
	wait_requests(&f, 2);
	httpd_answer(f.held[1], 200, NULL, 0, large, sizeof(large));
	fake_write(f.fd, GET("/3"));
	wait_requests(&f, 2);
	answer(f.held[0]);
	wait_requests(&f, 3);
	teardown(&f);
}

/* Guards against requests that are lost or mixed up in a long stream. */
static void test_thousand(void)
{
	GString *all = g_string_new("");
	const char *at;
	struct fixture f;

	setup(&f, NULL);
	f.answer_at_once = 1;
	for (int i = 0; i < 1000; i++)
		g_string_append_printf(
			all, "GET /%04d HTTP/1.1\r\nHost: a\r\n\r\n", i);
	fake_write(f.fd, all->str);
	wait_answers(&f, 1000);
	at = f.received->str;
	for (int i = 0; i < 1000; i++) {
		char body[16];

		g_snprintf(body, sizeof(body), "\r\n\r\n/%04d", i);
		at = strstr(at, body);
		g_assert_nonnull(at);
	}
	g_string_free(all, TRUE);
	teardown(&f);
}

static const char mixed_stream[] =
	GET("/1") "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 7\r\n\r\n"
		  "payload"
		  "POST /3 HTTP/1.1\r\nHost: a\r\nX-A: b\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n"
		  "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: z\r\n\r\n" GET(
			  "/4?a=%20b&c");

static void check_mixed_stream(struct fixture *f)
{
	g_assert_cmpstr(f->held[0]->path, ==, "/1");
	g_assert_cmpstr(f->held[1]->method, ==, "POST");
	g_assert_cmpstr(buf_text(&f->held[1]->body), ==, "payload");
	g_assert_cmpstr(buf_text(&f->held[2]->body), ==, "abcde");
	g_assert_cmpstr(httpd_get_header(f->held[2], "x-a"), ==, "b");
	g_assert_null(httpd_get_header(f->held[2], "X-Trailer"));
	g_assert_cmpstr(httpd_get_argument(f->held[3], "a"), ==, " b");
	g_assert_cmpstr(httpd_get_argument(f->held[3], "c"), ==, "");
	g_assert_null(httpd_get_argument(f->held[3], "d"));
}

/*
 * Guards against reading past the arguments: a coded zero ended a part early,
 * so that names and values were no longer paired.
 */
static void test_coded_zero(void)
{
	struct fixture f;

	setup(&f, NULL);
	fake_write(f.fd, GET("/1?x=b%00c") GET("/2?a%00b=1&d=%2"));
	wait_requests(&f, 2);
	g_assert_null(httpd_get_argument(f.held[0], "a"));
	g_assert_cmpstr(httpd_get_argument(f.held[0], "x"), ==, "b%00c");
	g_assert_null(httpd_get_argument(f.held[1], "a"));
	g_assert_cmpstr(httpd_get_argument(f.held[1], "a%00b"), ==, "1");
	g_assert_cmpstr(httpd_get_argument(f.held[1], "d"), ==, "%2");
	teardown(&f);
}

/* Guards against a body that is taken for a request, however it arrives. */
static void test_upload_behind(void)
{
	struct fixture f;

	setup(&f, NULL);
	fake_write(f.fd, mixed_stream);
	wait_requests(&f, 4);
	check_mixed_stream(&f);
	teardown(&f);
	setup(&f, NULL);
	for (size_t i = 0; mixed_stream[i]; i++) {
		char byte[2] = { mixed_stream[i], 0 };

		fake_write(f.fd, byte);
		fake_pause(f.loop, 1);
	}
	wait_requests(&f, 4);
	check_mixed_stream(&f);
	teardown(&f);
}

/*
 * Guards against requests that stay at work, or are freed twice, after their
 * caller closed the connection, at whatever byte.
 */
static void test_close_at_each_byte(void)
{
	struct fixture f;

	setup(&f, NULL);
	for (size_t len = 0; len < sizeof(mixed_stream); len++) {
		close(f.fd);
		connect_caller(&f);
		g_assert_cmpint(send(f.fd, mixed_stream, len, 0), ==,
				(ssize_t)len);
		fake_pause(f.loop, 1);
		close(f.fd);
		connect_caller(&f);
		for (int i = 0; i < 200 && f.completed < f.requests; i++)
			fake_pause(f.loop, 1);
		g_assert_cmpuint(f.completed, ==, f.requests);
		g_assert_cmpuint(f.disconnected, ==, f.requests);
		f.requests = 0;
		f.completed = 0;
		f.disconnected = 0;
	}
	teardown(&f);
}

/*
 * Guards against a bad request that takes the good ones before it down, or
 * whose rest is read as a further request.
 */
static void test_bad_third(void)
{
	struct fixture f;

	setup(&f, NULL);
	fake_write(f.fd, GET("/1") GET("/2") "GE T /3\r\n\r\n" GET("/4"));
	wait_requests(&f, 2);
	g_assert_cmpuint(f.rejected, ==, 1);
	answer(f.held[1]);
	answer(f.held[0]);
	wait_closed(&f);
	g_assert_cmpuint(count_text(&f, "HTTP/1.1 200 "), ==, 2);
	g_assert_cmpuint(count_text(&f, "HTTP/1.1 400 "), ==, 1);
	g_assert_cmpuint(count_text(&f, "Connection: close"), ==, 1);
	g_assert_cmpuint(f.requests, ==, 2);
	teardown(&f);
}

/*
 * Guards against requests that were worked on and get no answer, because an
 * answer before them closed the connection: the caller sends them again.
 */
static void test_closing_answer(void)
{
	static const struct httpd_header close_it = { "Connection", "close" };
	const struct httpd_limits limits = { .pipeline = 3 };
	struct fixture f;

	setup(&f, &limits);
	fake_write(f.fd, GET("/1") GET("/2") GET("/3") GET("/4"));
	wait_requests(&f, 3);
	httpd_answer(f.held[0], 503, &close_it, 1, "", 0);
	wait_answers(&f, 1);
	g_assert_cmpuint(count_text(&f, "Connection: close"), ==, 0);
	answer(f.held[2]);
	answer(f.held[1]);
	wait_closed(&f);
	g_assert_cmpuint(count_text(&f, "HTTP/1.1 200 "), ==, 2);
	g_assert_cmpuint(count_text(&f, "Connection: close"), ==, 1);
	g_assert_nonnull(
		strstr(strstr(f.received->str, "Connection: close"), "/3"));
	g_assert_cmpuint(f.requests, ==, 3);
	teardown(&f);
}

/* Guards against a caller's "Connection: close" that loses earlier answers. */
static void test_caller_closes(void)
{
	struct fixture f;

	setup(&f, NULL);
	fake_write(f.fd, GET("/1") "GET /2 HTTP/1.1\r\nHost: a\r\n"
				   "Connection: close\r\n\r\n" GET("/3"));
	wait_requests(&f, 2);
	answer(f.held[1]);
	answer(f.held[0]);
	wait_closed(&f);
	g_assert_cmpuint(count_text(&f, "HTTP/1.1 200 "), ==, 2);
	g_assert_cmpuint(f.requests, ==, 2);
	teardown(&f);
}

/* Guards against a large answer that is lost or cut for a slow reader. */
static void test_slow_reader(void)
{
	size_t len = 8 * 1024 * 1024;
	char *large = g_malloc(len + 1);
	struct fixture f;

	memset(large, 'x', len);
	large[len] = 0;
	setup(&f, NULL);
	fake_write(f.fd, GET("/1") GET("/2"));
	wait_requests(&f, 2);
	httpd_answer(f.held[0], 200, NULL, 0, large, len);
	answer(f.held[1]);
	fake_pause(f.loop, 100);
	g_assert_cmpuint(f.completed, ==, 0);
	wait_answers(&f, 2);
	g_assert_nonnull(strstr(f.received->str, large));
	g_assert_true(g_str_has_suffix(f.received->str, "\r\n\r\n/2"));
	g_free(large);
	teardown(&f);
}

/*
 * Guards against "100 Continue" that a caller takes for the answer to an
 * earlier request.
 */
static void test_continue(void)
{
	struct fixture f;

	setup(&f, NULL);
	fake_write(f.fd, GET("/1") "POST /2 HTTP/1.1\r\nHost: a\r\n"
				   "Content-Length: 2\r\n"
				   "Expect: 100-continue\r\n\r\n");
	wait_requests(&f, 1);
	g_assert_cmpuint(f.received->len, ==, 0);
	answer(f.held[0]);
	wait_answers(&f, 2);
	g_assert_nonnull(strstr(f.received->str, "/1HTTP/1.1 100 "));
	fake_write(f.fd, "ab");
	wait_requests(&f, 2);
	g_assert_cmpstr(buf_text(&f.held[1]->body), ==, "ab");
	teardown(&f);
}

/* Guards against a head or a body without bound. */
static void test_bounds(void)
{
	GString *s = g_string_new("GET /1 HTTP/1.1\r\nX-A: ");
	struct fixture f;

	setup(&f, NULL);
	for (size_t i = 0; i < 2 * HTTPD_MAX_HEAD_BYTES; i++)
		g_string_append_c(s, 'a');
	fake_write(f.fd, s->str);
	wait_closed(&f);
	g_assert_nonnull(strstr(f.received->str, "HTTP/1.1 431 "));
	close(f.fd);
	connect_caller(&f);
	fake_write(f.fd, "POST /1 HTTP/1.1\r\nContent-Length: 100001\r\n\r\n");
	wait_closed(&f);
	g_assert_nonnull(strstr(f.received->str, "HTTP/1.1 413 "));
	close(f.fd);
	connect_caller(&f);
	fake_write(f.fd, "POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked"
			 "\r\n\r\n186a1\r\n");
	g_string_truncate(s, 0);
	for (size_t i = 0; i < 100001; i++)
		g_string_append_c(s, 'a');
	fake_write(f.fd, s->str);
	wait_closed(&f);
	g_assert_nonnull(strstr(f.received->str, "HTTP/1.1 413 "));
	g_assert_cmpuint(f.requests, ==, 0);
	g_string_free(s, TRUE);
	teardown(&f);
}

/* Sends the text at once, or a byte at a time. */
static void send_text(struct fixture *f, const char *text, int by_bytes)
{
	for (; by_bytes && *text; text++) {
		/* The server may have closed the connection already. */
		send(f->fd, text, 1, MSG_NOSIGNAL);
		fake_pause(f->loop, 0);
	}
	if (*text)
		fake_write(f->fd, text);
}

/* Checks that the requests are refused, and nothing behind them is read. */
static void expect_refused(const char *const *texts, size_t count)
{
	for (size_t i = 0; i < 2 * count; i++) {
		struct fixture f;

		setup(&f, NULL);
		f.answer_at_once = 1;
		g_test_message("text %zu, by bytes: %d", i / 2, (int)(i % 2));
		send_text(&f, texts[i / 2], i % 2);
		wait_closed(&f);
		g_assert_cmpuint(f.requests, ==, 0);
		g_assert_cmpuint(f.rejected, ==, 1);
		g_assert_true(
			g_str_has_prefix(f.received->str, "HTTP/1.1 400 "));
		g_assert_cmpuint(count_text(&f, "HTTP/1.1 "), ==, 1);
		g_assert_cmpuint(count_text(&f, "Connection: close"), ==, 1);
		teardown(&f);
	}
}

#define CHUNKED                           \
	"POST /1 HTTP/1.1\r\nHost: a\r\n" \
	"Transfer-Encoding: chunked\r\n\r\n"

/*
 * Guards against a body whose end another reader finds elsewhere: http_parser
 * took any bytes for the end of a chunk and any byte for the last line feed of
 * a head, and read on behind them.
 */
static void test_line_ends(void)
{
	static const char *const texts[] = {
		CHUNKED "3\r\nabcXX0\r\n\r\n" GET("/2"),
		CHUNKED "3\r\nabc\rX0\r\n\r\n" GET("/2"),
		CHUNKED "3\r\nabc\n0\r\n\r\n" GET("/2"),
		CHUNKED "3\rXabc\r\n0\r\n\r\n" GET("/2"),
		CHUNKED "3\nabc\r\n0\r\n\r\n" GET("/2"),
		CHUNKED "3;a\rXabc\r\n0\r\n\r\n" GET("/2"),
		CHUNKED "3;a\nb\r\nabc\r\n0\r\n\r\n" GET("/2"),
		CHUNKED "3;a\x01\r\nabc\r\n0\r\n\r\n" GET("/2"),
		CHUNKED "3 5\r\nabc\r\n0\r\n\r\n" GET("/2"),
		CHUNKED "3 5;a\r\nabc\r\n0\r\n\r\n" GET("/2"),
		CHUNKED "3\r\nabc\r\n0\r\n\rX" GET("/2"),
		CHUNKED "3\r\nabc\r\n0\rX\r\n" GET("/2"),
		"GET /1 HTTP/1.1\r\nHost: a\r\n\rX" GET("/2"),
		"GET /1 HTTP/1.1\r\nHost: a\r\n\r" GET("/2"),
		"GET /1 HTTP/1.1\r\nHost: a\rX-A: b\r\n\r\n" GET("/2"),
		"\r" GET("/1"),
	};

	expect_refused(texts, G_N_ELEMENTS(texts));
}

/* Guards against proper requests that the check of the lines refuses. */
static void test_proper_lines(void)
{
	static const char *const texts[] = {
		CHUNKED "3;a=\"b;\xc3\xa4\t\";c\r\nabc\r\n0;x\r\n\r\n",
		CHUNKED "3 ; a = b\r\nabc\r\n0\r\n\r\n",
		CHUNKED "3   \r\nabc\r\n00\r\n\r\n",
		CHUNKED "0003\r\nabc\r\n0\r\nX-T: a\r\nX-U:\r\n\r\n",
		CHUNKED "1\r\na\r\n2\r\nbc\r\n0\r\n\r\n",
		"\r\n\r\nPOST /1 HTTP/1.1\r\nHost: a\r\n"
		"Content-Length: 3\r\n\r\nabc",
		"POST /1 HTTP/1.1\nHost: a\nContent-Length: 3\n\nabc",
		"POST /1 HTTP/1.1\r\nHost: a\r\nX-A:\r\nX-B: b\tc \r\n"
		"Content-Length: 3\r\n\r\nabc",
	};

	for (size_t i = 0; i < 2 * G_N_ELEMENTS(texts); i++) {
		struct fixture f;

		setup(&f, NULL);
		g_test_message("text %zu, by bytes: %d", i / 2, (int)(i % 2));
		send_text(&f, texts[i / 2], i % 2);
		fake_write(f.fd, GET("/2"));
		wait_requests(&f, 2);
		g_assert_cmpstr(buf_text(&f.held[0]->body), ==, "abc");
		g_assert_cmpstr(f.held[1]->path, ==, "/2");
		g_assert_cmpuint(f.rejected, ==, 0);
		teardown(&f);
	}
}

/*
 * Guards against blanks behind a value that are read as part of it (RFC 9112,
 * section 5.1): "k" and "k " were two keys, and an id with a blank was not the
 * one that the target repeated.
 */
static void test_blanks_around_values(void)
{
	struct fixture f;

	setup(&f, NULL);
	fake_write(f.fd, "GET /1 HTTP/1.1\r\nHost: a \r\nX-A: \t b c \t\r\n"
			 "X-B: \t\r\nX-C: d\r\n\r\n" GET("/2"));
	wait_requests(&f, 2);
	g_assert_cmpstr(httpd_get_header(f.held[0], "Host"), ==, "a");
	g_assert_cmpstr(httpd_get_header(f.held[0], "X-A"), ==, "b c");
	g_assert_cmpstr(httpd_get_header(f.held[0], "X-B"), ==, "");
	g_assert_cmpstr(httpd_get_header(f.held[0], "X-C"), ==, "d");
	teardown(&f);
}

/*
 * Guards against two requests that are read as one, the first of which was cut
 * behind its Host: method and target of the first were dispatched with the
 * headers of the second. The server read the first Host, others read the last.
 */
static void test_two_hosts(void)
{
	static const char *const texts[] = {
		"GET /1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n" GET("/2"),
		"GET /1 HTTP/1.1\r\nHost: a\r\nhost: a\r\n\r\n" GET("/2"),
		"GET /1 HTTP/1.1\r\nHost: a" GET("/2"),
		"GET /1 HTTP/1.1\r\nHost:" GET("/2"),
		"GET /1 HTTP/1.1\r\nHost: a\r\nX-A: b" GET("/2"),
		"GET /1 HTTP/1.1\r\nHost: aGET /2 HTTP/1.1\r\nX-A: b\r\n\r\n",
		"GET /1 HTTP/1.1\r\nHost: a\r\n b\r\n\r\n" GET("/2"),
		"GET /1 HTTP/1.1\r\nHost: a/b\r\n\r\n" GET("/2"),
		"GET /1 HTTP/1.1\r\nHost: a@b\r\n\r\n" GET("/2"),
	};

	expect_refused(texts, G_N_ELEMENTS(texts));
}

/* Guards against proper hosts that are refused. */
static void test_proper_hosts(void)
{
	static const char *const hosts[] = {
		"Host: a\r\n", "Host: a-b_c.d:8080\r\n", "Host: [::1]:80\r\n",
		"Host:\r\n",   "Host:  a \r\n",		 "",
	};
	struct fixture f;

	setup(&f, NULL);
	f.answer_at_once = 1;
	for (size_t i = 0; i < G_N_ELEMENTS(hosts); i++) {
		fake_write(f.fd, "GET /1 HTTP/1.1\r\n");
		fake_write(f.fd, hosts[i]);
		fake_write(f.fd, "\r\n");
	}
	wait_answers(&f, G_N_ELEMENTS(hosts));
	g_assert_cmpuint(count_text(&f, "HTTP/1.1 200 "), ==,
			 G_N_ELEMENTS(hosts));
	teardown(&f);
}

/* The second has its Host behind the headers in which it is cut. */
static const char *const cut_requests[] = {
	"POST /1 HTTP/1.1\r\nHost: a.example:80\r\nX-Id: first\r\n"
	"Accept: */*\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\n",
	"POST /1 HTTP/1.1\r\nX-Id: first\r\nAccept: */*\r\n"
	"User-Agent: a (b; c)\r\nContent-Type: text/plain\r\n"
	"Host: a.example:80\r\nContent-Length: 3\r\n\r\n",
};

/* Guards against a request that is served with the head of another one. */
static void test_cut_head(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cut_requests); i++) {
		const char *request = cut_requests[i];

		for (size_t len = 1; len < strlen(request); len++) {
			char *text = g_strdup_printf("%.*s%sabc", (int)len,
						     request, request);
			struct fixture f;

			setup(&f, NULL);
			f.answer_at_once = 1;
			g_test_message("request %zu, %zu bytes", i, len);
			fake_write(f.fd, text);
			wait_closed(&f);
			g_assert_cmpuint(f.requests, ==, 0);
			g_assert_cmpuint(f.rejected, ==, 1);
			teardown(&f);
			g_free(text);
		}
	}
}

/* Guards against proper headers that are taken for a second request. */
static void test_quoted_request_line(void)
{
	static const char *const headers[] = {
		"X-Line: GET /a HTTP/1.1\r\nHost: a\r\n",
		"X-Log: a=GET /a HTTP/1.1\r\nHost: a\r\n",
		"X-Log: \"GET /a HTTP/1.1\"\r\nX-Log: b\r\nHost: a\r\n",
		"X-Log: aGET /a HTTP/1.1 b\r\nHost: a\r\n",
		"X-Log: a HTTP/1.1\r\nX-Log: / HTTP/1.1\r\nHost: a\r\n",
		"Host: a\r\nX-Log: GET /a HTTP/1.1\r\nX-Log: b\r\n",
		"Via: HTTP/1.1 a\r\nVia: 1.1 b\r\nHost: a\r\n",
	};
	struct fixture f;

	setup(&f, NULL);
	f.answer_at_once = 1;
	for (size_t i = 0; i < G_N_ELEMENTS(headers); i++) {
		fake_write(f.fd, "GET /1 HTTP/1.1\r\n");
		fake_write(f.fd, headers[i]);
		fake_write(f.fd, "\r\n");
	}
	wait_answers(&f, G_N_ELEMENTS(headers));
	g_assert_cmpuint(count_text(&f, "HTTP/1.1 200 "), ==,
			 G_N_ELEMENTS(headers));
	teardown(&f);
}

#define CODED(coding, version)                                 \
	"POST /1 HTTP/" version "\r\nHost: a\r\n"              \
	"Connection: keep-alive\r\nTransfer-Encoding: " coding \
	"\r\n\r\n3\r\nabc\r\n0\r\n\r\n" GET("/2")

/*
 * Guards against a body in a coding that nobody removes: it was passed on
 * without the header that names the coding. And against chunks of a caller that
 * speaks HTTP/1.0, where a relay before the server does not know them.
 */
static void test_coding(void)
{
	static const char *const texts[] = {
		CODED("gzip, chunked", "1.1"),
		CODED("gzip,\r\n chunked", "1.1"),
		CODED("chunked, chunked", "1.1"),
		CODED("chunked, gzip", "1.1"),
		CODED("identity", "1.1"),
		CODED("", "1.1"),
		CODED("chunked", "1.0"),
		CODED("gzip\r\nTransfer-Encoding: chunked", "1.1"),
		CODED("chunked\r\nTransfer-Encoding: chunked", "1.1"),
	};

	expect_refused(texts, G_N_ELEMENTS(texts));
}

/*
 * Guards against a request whose head is lost among the trailers of one that
 * was cut there: the caller takes the answer to the first for its answer.
 */
static void test_trailers(void)
{
	static const char *const texts[] = {
		CHUNKED "3\r\nabc\r\n0\r\nX-T: " GET("/2"),
		CHUNKED "3\r\nabc\r\n0\r\nX-T: a\r\nX-U: b" GET("/2"),
		CHUNKED "3\r\nabc\r\n0\r\nX-T" GET("/2"),
		CHUNKED "3\r\nabc\r\n0\r\n" GET("/2"),
		CHUNKED "3\r\nabc\r\n0\r\nhost: a\r\n\r\n",
		CHUNKED "3\r\nabc\r\n0\r\nContent-Length: 3\r\n\r\n" GET("/2"),
		CHUNKED "3\r\nabc\r\n0\r\nTransfer-Encoding:\r\n\r\n" GET("/2"),
		CHUNKED "3\r\nabc\r\n0\r\nX T: a\r\n\r\n" GET("/2"),
	};

	expect_refused(texts, G_N_ELEMENTS(texts));
}

/* Guards against a caller that keeps a connection by a byte now and then. */
static void test_slow_head(void)
{
	struct fixture f;

	setup(&f, NULL);
	f.d.idle_s = 1;
	close(f.fd);
	connect_caller(&f);
	fake_write(f.fd, "GET /1 HTTP/1.1\r\nX-A: ");
	for (int i = 0; i < 30 && !f.closed; i++) {
		send(f.fd, "a", 1, MSG_NOSIGNAL);
		fake_pause(f.loop, 100);
		turn(&f);
	}
	g_assert_true(f.closed);
	teardown(&f);
}

/* Guards against a stop that leaves requests without an answer, or in disorder.
 */
static void test_finish(void)
{
	struct fixture f;

	setup(&f, NULL);
	fake_write(f.fd, GET("/1") GET("/2") GET("/3"));
	wait_requests(&f, 3);
	answer(f.held[1]);
	httpd_finish(&f.d);
	wait_closed(&f);
	g_assert_cmpuint(count_text(&f, "HTTP/1.1 "), ==, 3);
	g_assert_cmpuint(count_text(&f, "HTTP/1.1 503 "), ==, 2);
	g_assert_cmpuint(count_text(&f, "Connection: close"), ==, 1);
	teardown(&f);
}

/* Guards against streamed answers that overtake the answers before them. */
static void test_stream(void)
{
	struct fixture f;

	setup(&f, NULL);
	fake_write(f.fd, GET("/1") GET("/2") GET("/3"));
	wait_requests(&f, 3);
	httpd_stream_begin(f.held[1], 200, "text/plain");
	httpd_stream_send(f.held[1], "abc", 3);
	answer(f.held[2]);
	answer(f.held[0]);
	wait_answers(&f, 2);
	g_assert_true(g_str_has_suffix(f.received->str, "3\r\nabc\r\n"));
	httpd_stream_end(f.held[1]);
	wait_answers(&f, 3);
	g_assert_nonnull(strstr(f.received->str, "0\r\n\r\nHTTP/1.1 200 "));
	teardown(&f);
}

/*
 * Guards against a connection that is reset, and its request lost, because it
 * was not accepted yet when the server stopped listening.
 */
static void test_quiesce(void)
{
	struct fixture f;

	setup(&f, NULL);
	f.answer_at_once = 1;
	httpd_quiesce(&f.d);
	fake_write(f.fd, GET("/a"));
	wait_answers(&f, 1);
	g_assert_false(f.closed);
	teardown(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/httpd/order", test_order);
	g_test_add_func("/httpd/pipeline_limit", test_pipeline_limit);
	g_test_add_func("/httpd/held_limit", test_held_limit);
	g_test_add_func("/httpd/thousand", test_thousand);
	g_test_add_func("/httpd/coded_zero", test_coded_zero);
	g_test_add_func("/httpd/upload_behind", test_upload_behind);
	g_test_add_func("/httpd/close_at_each_byte", test_close_at_each_byte);
	g_test_add_func("/httpd/bad_third", test_bad_third);
	g_test_add_func("/httpd/closing_answer", test_closing_answer);
	g_test_add_func("/httpd/caller_closes", test_caller_closes);
	g_test_add_func("/httpd/slow_reader", test_slow_reader);
	g_test_add_func("/httpd/continue", test_continue);
	g_test_add_func("/httpd/bounds", test_bounds);
	g_test_add_func("/httpd/line_ends", test_line_ends);
	g_test_add_func("/httpd/proper_lines", test_proper_lines);
	g_test_add_func("/httpd/blanks_around_values",
			test_blanks_around_values);
	g_test_add_func("/httpd/two_hosts", test_two_hosts);
	g_test_add_func("/httpd/proper_hosts", test_proper_hosts);
	g_test_add_func("/httpd/cut_head", test_cut_head);
	g_test_add_func("/httpd/quoted_request_line", test_quoted_request_line);
	g_test_add_func("/httpd/coding", test_coding);
	g_test_add_func("/httpd/trailers", test_trailers);
	g_test_add_func("/httpd/slow_head", test_slow_head);
	g_test_add_func("/httpd/finish", test_finish);
	g_test_add_func("/httpd/quiesce", test_quiesce);
	g_test_add_func("/httpd/stream", test_stream);
	return g_test_run();
}
