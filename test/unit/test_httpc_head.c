#include "transport/httpc_head.h"

#include <glib.h>
#include <string.h>

/*
 * Tests of the reading of an answer's head: what is a fault, and what status,
 * headers and framing are read from a proper one.
 */

#define ID_NAME "X-Attempt-Id"
#define ID "9c41d07be2a35f68"
#define OTHER "4be07f12c9a8d653"
#define HAS_ID ID_NAME ": " ID "\r\n"
#define OK "HTTP/1.1 200 OK\r\n"

/* Adds the lines of the text, the last of which may have no end. */
static void add_lines(struct httpc_head *h, const char *text, size_t len)
{
	while (len) {
		const char *eol = memchr(text, '\n', len);
		size_t n = eol ? (size_t)(eol - text) + 1 : len;
		enum httpc_fault fault = httpc_head_add(h, text, n);

		g_assert_cmpint(fault, ==, h->fault);
		text += n;
		len -= n;
	}
}

/* How a head is read. */
enum how {
	PLAIN,
	WITH_ID, /* answers repeat the request's id */
};

struct head_case {
	const char *text;
	const char *fault; /* its name */
	enum how how;
};

static void check_faults(const struct head_case *cases, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		const struct head_case *c = &cases[i];
		struct httpc_head h;
		struct buf headers;

		buf_init(&headers);
		httpc_head_init(&h, c->how == WITH_ID ? ID_NAME : NULL,
				&headers);
		add_lines(&h, c->text, strlen(c->text));
		if (strcmp(httpc_fault_name(h.fault), c->fault) != 0) {
			g_test_message("case %zu: %s instead of %s in\n%s", i,
				       httpc_fault_name(h.fault), c->fault,
				       c->text);
			g_test_fail();
		}
		buf_finish(&headers);
	}
}

/* Guards against a first line that is taken for a status line and is none. */
static void test_status_lines(void)
{
	static const struct head_case cases[] = {
		{ "HTTP/1.1 200 OK\r\n\r\n", "none", PLAIN },
		{ "HTTP/1.0 200 OK\r\n\r\n", "none", PLAIN },
		{ "HTTP/1.1 200 OK\n\n", "none", PLAIN },
		{ "HTTP/1.1 200 \r\n\r\n", "none", PLAIN },
		{ "HTTP/1.1 200\r\n\r\n", "none", PLAIN },
		{ "HTTP/1.1 599 \xc3\xa9t\xc3\xa9\ttab\r\n\r\n", "none",
		  PLAIN },
		{ "HTTP/1.1 200OK\r\n", "status_line", PLAIN },
		{ "HTTP/1.1 600 No\r\n", "status_line", PLAIN },
		{ "HTTP/1.1 600\r\n", "status_line", PLAIN },
		{ "HTTP/1.1 999 No\r\n", "status_line", PLAIN },
		{ "HTTP/1.1 000 No\r\n", "status_line", PLAIN },
		{ "HTTP/1.1 099 No\r\n", "status_line", PLAIN },
		{ "HTTP/1.1 0200 No\r\n", "status_line", PLAIN },
		{ "HTTP/1.1 1000 No\r\n", "status_line", PLAIN },
		{ "HTTP/1.1 102 A\r\n\r\nHTTP/1.1 600 No\r\n", "status_line",
		  PLAIN },
		{ "HTTP/1.1 20\r\n", "status_line", PLAIN },
		{ "HTTP/1.1 2000\r\n", "status_line", PLAIN },
		{ "HTTP/1.1 2x0 OK\r\n", "status_line", PLAIN },
		{ "HTTP/1.1 020 OK\r\n", "status_line", PLAIN },
		{ "HTTP/1.1  200 OK\r\n", "status_line", PLAIN },
		{ "HTTP/1.1\t200 OK\r\n", "status_line", PLAIN },
		{ "HTTP/1. 200 OK\r\n", "status_line", PLAIN },
		{ "HTTP/1.x 200 OK\r\n", "status_line", PLAIN },
		{ "HTTP/2 200 OK\r\n", "status_line", PLAIN },
		{ "HTTP/2.0 200 OK\r\n", "status_line", PLAIN },
		{ "http/1.1 200 OK\r\n", "status_line", PLAIN },
		{ " HTTP/1.1 200 OK\r\n", "status_line", PLAIN },
		{ "HTTP/HTTP/1.1 200 OK\r\n", "status_line", PLAIN },
		{ "HTTP/1.1 20HTTP/1.1 500 No\r\n", "status_line", PLAIN },
		{ "HTTP/1.1 200HTTP/1.1 500 No\r\n", "status_line", PLAIN },
		{ "HTTP/1.1 200 O\rK\r\n", "status_line", PLAIN },
		{ "HTTP/1.1 200 O\x01K\r\n", "status_line", PLAIN },
		{ "HTTP/1.1 200 O\x7fK\r\n", "status_line", PLAIN },
		{ "X-A: a\r\n", "status_line", PLAIN },
		{ "\r\n", "status_line", PLAIN },
		{ "\n", "status_line", PLAIN },
		{ " \r\n", "status_line", PLAIN },
		{ "HTTP/1.1 200 OK", "line", PLAIN },
		{ "HTTP/1.1 102 A\r\n\r\nX-A: a\r\n", "status_line", PLAIN },
		{ "HTTP/1.1 102 A\r\n\r\n\r\n", "status_line", PLAIN },
		{ "HTTP/1.1 102 A\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "none",
		  PLAIN },
	};

	check_faults(cases, G_N_ELEMENTS(cases));
}

/* Guards against lines that are taken for headers and are none. */
static void test_header_lines(void)
{
	static const struct head_case cases[] = {
		{ OK "X-A: a\r\n\r\n", "none", PLAIN },
		{ OK "X-A:a\r\n\r\n", "none", PLAIN },
		{ OK "X-A:\r\n\r\n", "none", PLAIN },
		{ OK "X-A:\t a \t\r\n\r\n", "none", PLAIN },
		{ OK "!#$%&'*+-.^_`|~09azAZ: a\r\n\r\n", "none", PLAIN },
		{ OK "X-A: \xc3\xa9\ta:b\r\n\r\n", "none", PLAIN },
		{ OK "X-A: a\r\n b\r\n\tc\r\n\r\n", "none", PLAIN },
		{ OK "X-A\r\n", "line", PLAIN },
		{ OK "X-A : a\r\n", "none", PLAIN },
		{ OK "X A: a\r\n", "none", PLAIN },
		{ OK ": a\r\n", "none", PLAIN },
		{ OK "X-\xc3\xa9: a\r\n", "none", PLAIN },
		{ OK "X(A): a\r\n", "none", PLAIN },
		{ OK "X-A: a\x01\r\n", "none", PLAIN },
		{ OK "X-A: a\rb\r\n", "line", PLAIN },
		{ OK "X-A: a\x7f\r\n", "none", PLAIN },
		{ OK "X-A: a\r\r\n", "line", PLAIN },
		{ OK "X-A: a", "line", PLAIN },
		{ OK " a: b\r\n", "line", PLAIN },
		{ OK "X-A: a\r\n  \r\n", "none", PLAIN },
		{ OK "Content-Length: 5\r\n 5\r\n", "line", PLAIN },
		{ OK "X-A: a\r\nContent-Length: 5\r\n 5\r\n", "line", PLAIN },
		{ OK "Transfer-Encoding: chunked\r\n a\r\n", "line", PLAIN },
		{ OK "Connection: a\r\n b\r\n", "none", PLAIN },
		{ OK HAS_ID " a\r\n", "line", WITH_ID },
		{ OK HAS_ID " a\r\n\r\n", "none", PLAIN },
		{ OK ID_NAME ":\r\n", "line", WITH_ID },
		{ OK "Content-Length : 5\r\n", "framing", PLAIN },
		{ OK "Content-Length: 5\x01\r\n", "framing", PLAIN },
		{ OK "X A: HTTP/1.1 500 No\r\n", "second_head", PLAIN },
	};

	check_faults(cases, G_N_ELEMENTS(cases));
}

/* Guards against lengths that two readers understand in two ways. */
static void test_framing(void)
{
	static const struct head_case cases[] = {
		{ OK "Content-Length: 5\r\nContent-Length: 5\r\n\r\n", "none",
		  PLAIN },
		{ OK "Content-Length: 5, 5,5\r\n\r\n", "none", PLAIN },
		{ OK "Content-Length: 5\r\ncontent-length: 05\r\n\r\n", "none",
		  PLAIN },
		{ OK "Content-Length: 999999999999999999\r\n\r\n", "none",
		  PLAIN },
		{ OK "Transfer-Encoding: chunked\r\n\r\n", "none", PLAIN },
		{ OK "transfer-encoding:Chunked \r\n\r\n", "none", PLAIN },
		{ OK "Content-Length: 5\r\nContent-Length: 6\r\n", "framing",
		  PLAIN },
		{ OK "Content-Length: 5, 6\r\n", "framing", PLAIN },
		{ OK "Content-Length: 5,\r\n", "framing", PLAIN },
		{ OK "Content-Length: \r\n", "framing", PLAIN },
		{ OK "Content-Length: -5\r\n", "framing", PLAIN },
		{ OK "Content-Length: +5\r\n", "framing", PLAIN },
		{ OK "Content-Length: 5 5\r\n", "framing", PLAIN },
		{ OK "Content-Length: 0x5\r\n", "framing", PLAIN },
		{ OK "Content-Length: 5HTTP/1.1 500 No\r\n", "framing", PLAIN },
		{ OK "Content-Length: 9999999999999999999\r\n", "framing",
		  PLAIN },
		{ OK "Transfer-Encoding: gzip\r\n", "framing", PLAIN },
		{ OK "Transfer-Encoding: gzip, chunked\r\n", "framing", PLAIN },
		{ OK "Transfer-Encoding: chunked, chunked\r\n", "framing",
		  PLAIN },
		{ OK "Transfer-Encoding: identity\r\n", "framing", PLAIN },
		{ OK "Transfer-Encoding:\r\n", "framing", PLAIN },
		{ OK "Transfer-Encoding: chunked\r\n"
		     "Transfer-Encoding: chunked\r\n",
		  "framing", PLAIN },
		{ OK "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
		  "framing", PLAIN },
		{ OK "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
		  "framing", PLAIN },
	};

	check_faults(cases, G_N_ELEMENTS(cases));
}

/* Guards against two heads that are read as one. */
static void test_second_heads(void)
{
	static const struct head_case cases[] = {
		/* At the start of a line. */
		{ OK "HTTP/1.1 500 No\r\n", "second_head", PLAIN },
		{ OK "HTTP/1.1 500\r\n", "second_head", PLAIN },
		{ OK "HTTP/1.1 500 a: b\r\n", "second_head", PLAIN },
		{ OK HAS_ID "\r\nHTTP/1.1 500 No\r\n", "second_head", WITH_ID },
		/* Within a value, before the id. */
		{ OK "X-A: HTTP/1.1 500 No\r\n" HAS_ID, "second_head",
		  WITH_ID },
		{ OK "X-A: aHTTP/1.0 500\r\n" HAS_ID, "second_head", WITH_ID },
		{ OK "X-A: HTTP/1.HTTP/1.1 500 No\r\n" HAS_ID, "second_head",
		  WITH_ID },
		{ OK "X-A: a\r\n bHTTP/1.1 500 No\r\n" HAS_ID, "second_head",
		  WITH_ID },
		{ OK "Connection: HTTP/1.1 500 No\r\n" HAS_ID, "second_head",
		  WITH_ID },
		{ OK HAS_ID "X-A: HTTP/1.1 500 No\r\n" HAS_ID, "second_head",
		  WITH_ID },
		{ OK ID_NAME ": 9cHTTP/1.1 500 No\r\n" HAS_ID, "second_head",
		  WITH_ID },
		{ "HTTP/1.1 200 HTTP/1.1 500 No\r\n" HAS_ID, "second_head",
		  WITH_ID },
		{ "HTTP/1.1 200 OHTTP/1.1 500\r\n" HAS_ID, "second_head",
		  WITH_ID },
		/* Another status, or in an answer that is no success. */
		{ OK HAS_ID "X-A: HTTP/1.1 500 No\r\n", "second_head",
		  WITH_ID },
		{ OK HAS_ID "X-A: HTTP/1.1 201\r\n", "second_head", WITH_ID },
		{ OK HAS_ID "X-A: HTTP/1.1 102 A\r\n", "second_head", WITH_ID },
		{ OK HAS_ID "X-A: HTTP/1.1 200 OK, HTTP/1.1 500 No\r\n",
		  "second_head", WITH_ID },
		{ "HTTP/1.1 500 No\r\n" HAS_ID "X-A: HTTP/1.1 500 No\r\n",
		  "second_head", WITH_ID },
		{ "HTTP/1.1 304 No\r\n" HAS_ID "X-A: HTTP/1.1 304 No\r\n",
		  "second_head", WITH_ID },
		{ "HTTP/1.1 102 A\r\nX-A: HTTP/1.1 102 A\r\n", "second_head",
		  WITH_ID },
		{ "HTTP/1.1 102 HTTP/1.1 500 No\r\n", "second_head", WITH_ID },
		{ OK "X-A: HTTP/1.1 500 No\r\n", "second_head", PLAIN },
		/* The same success, without an id or with it before. */
		{ OK "X-A: HTTP/1.1 200 No\r\n\r\n", "second_head", WITH_ID },
		{ OK "X-A: HTTP/1.1 200 No\r\n" HAS_ID, "second_head",
		  WITH_ID },
		{ OK HAS_ID "X-A: HTTP/1.1 200\r\n" HAS_ID, "second_head",
		  WITH_ID },
		{ OK HAS_ID "X-A: HTTP/1.1 200 OK\r\n\r\n", "none", WITH_ID },
		{ OK HAS_ID "X-A: HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
		  "none", WITH_ID },
		/* No status line. */
		{ OK "Via: HTTP/1.1 forge\r\n" HAS_ID "\r\n", "none", WITH_ID },
		{ OK "X-A: HTTP/1.1 50 No\r\n" HAS_ID "\r\n", "none", WITH_ID },
		{ OK "X-A: HTTP/1.1 5000\r\n" HAS_ID "\r\n", "none", WITH_ID },
		{ OK "X-A: HTTP/1.1, 500 No\r\n" HAS_ID "\r\n", "none",
		  WITH_ID },
		{ OK "X-A: http/1.1 500 No\r\n" HAS_ID "\r\n", "none",
		  WITH_ID },
		/* Where answers have no id. */
		{ OK "X-A: HTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
		  "second_head", PLAIN },
		{ OK "X-A: HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
		  "second_head", PLAIN },
		{ OK "X-A: HTTP/1.1 200 OK\r\n" HAS_ID "\r\n", "second_head",
		  PLAIN },
		{ OK "Content-Length: 5\r\nX-A: HTTP/1.1 200 OK\r\n\r\n",
		  "none", PLAIN },
	};

	check_faults(cases, G_N_ELEMENTS(cases));
}

/* Guards against an id, or trailers, that belong to another answer. */
static void test_ids_and_trailers(void)
{
	static const struct head_case cases[] = {
		{ OK HAS_ID "x-attempt-id:" ID " \r\n\r\n", "none", WITH_ID },
		{ OK HAS_ID "X-Attempt-Id: " OTHER "\r\n", "repeated",
		  WITH_ID },
		{ OK HAS_ID "X-Attempt-Id: 9c41\r\n", "repeated", WITH_ID },
		{ OK HAS_ID "X-Attempt-Id: " OTHER "\r\n\r\n", "none", PLAIN },
		{ "HTTP/1.1 102 A\r\n" HAS_ID "\r\n" OK "X-Attempt-Id: " OTHER
		  "\r\n\r\n",
		  "none", WITH_ID },
		{ OK "\r\nX-Sum: 1\r\n a\r\n\r\n", "none", WITH_ID },
		{ OK "\r\nX-Sum: HTTP/1.1 200 OK\r\n\r\n", "none", WITH_ID },
		{ OK "\r\n" HAS_ID, "trailer", WITH_ID },
		{ OK "\r\n" HAS_ID "\r\n", "none", PLAIN },
		{ OK "\r\nContent-Length: 5\r\n", "trailer", PLAIN },
		{ OK "\r\ntransfer-encoding: chunked\r\n", "trailer", PLAIN },
		{ OK "\r\n a\r\n", "line", PLAIN },
		{ OK "\r\nX-Sum\r\n", "line", PLAIN },
	};

	check_faults(cases, G_N_ELEMENTS(cases));
}

/* Guards against a wrong status, wrong headers or wrong framing. */
static void test_results(void)
{
	static const struct {
		const char *text;
		const char *headers;
		unsigned status;
		int complete, chunked, has_length, closes;
		uint64_t length;
	} cases[] = {
		{ "HTTP/1.1 404 No\r\nA:  b \r\nSet-Cookie: c\r\n"
		  "Set-Cookie: c\r\nCONTENT-length: 007\r\n\r\n",
		  "A: b\nSet-Cookie: c\nSet-Cookie: c\nCONTENT-length: 007\n",
		  404, 1, 0, 1, 0, 7 },
		{ "HTTP/1.1 200\nA: b\n \t c\n d\nTransfer-Encoding:chunked\n"
		  "\nX-Sum: 1\n\n",
		  "A: b c d\nTransfer-Encoding: chunked\n", 200, 1, 1, 0, 0,
		  0 },
		{ "HTTP/1.1 200 OK\r\nConnection: keep-alive , Close\r\n\r\n",
		  "Connection: keep-alive , Close\n", 200, 1, 0, 0, 1, 0 },
		{ "HTTP/1.1 200 OK\r\nConnection: closed\r\n\r\n",
		  "Connection: closed\n", 200, 1, 0, 0, 0, 0 },
		{ "HTTP/1.0 204 \r\n\r\n", "", 204, 1, 0, 0, 1, 0 },
		{ "HTTP/1.1 103 A\r\nLink: </a>\r\nContent-Length: 9\r\n"
		  "Connection: close\r\n\r\nHTTP/1.1 500 No\r\nB: c\r\n\r\n",
		  "B: c\n", 500, 1, 0, 0, 0, 0 },
		{ "HTTP/1.1 103 A\r\nLink: </a>\r\n\r\n", "Link: </a>\n", 103,
		  0, 0, 0, 0, 0 },
		{ "HTTP/1.1 200 OK\r\nA: b\r\n", "A: b\n", 200, 0, 0, 0, 0, 0 },
		/* Headers that are not valid are dropped with their lines. */
		{ "HTTP/1.1 200 OK\r\nA b: c\r\n d\r\nE: \x01\r\n f\r\n"
		  ": g\r\nH : i\r\n j\r\n \x01\r\n\r\n",
		  "H: i j\n", 200, 1, 0, 0, 0, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct httpc_head h;
		struct buf headers;

		g_test_message("case %zu", i);
		buf_init(&headers);
		httpc_head_init(&h, ID_NAME, &headers);
		add_lines(&h, cases[i].text, strlen(cases[i].text));
		g_assert_cmpstr(httpc_fault_name(h.fault), ==, "none");
		g_assert_cmpstr(buf_text(&headers), ==, cases[i].headers);
		g_assert_cmpuint(h.status, ==, cases[i].status);
		g_assert_cmpint(h.complete, ==, cases[i].complete);
		g_assert_cmpint(h.chunked, ==, cases[i].chunked);
		g_assert_cmpint(h.has_length, ==, cases[i].has_length);
		g_assert_cmpint(h.closes, ==, cases[i].closes);
		if (h.has_length)
			g_assert_cmpuint(h.length, ==, cases[i].length);
		g_assert_cmpint(httpc_head_is_framed(&h), ==,
				h.chunked || h.has_length);
		buf_finish(&headers);
	}
}

/* Guards against a zero byte, which ends C strings, in a line. */
static void test_zero_bytes(void)
{
	static const char status[] = "HTTP/1.1 200 O\0K\r\n";
	static const char line[] = OK "X-A: a\0b\r\n";
	static const char name[] = OK "X\0A: a\r\n";
	struct httpc_head h;
	struct buf headers;

	buf_init(&headers);
	httpc_head_init(&h, ID_NAME, &headers);
	add_lines(&h, status, sizeof(status) - 1);
	g_assert_cmpstr(httpc_fault_name(h.fault), ==, "status_line");
	httpc_head_init(&h, ID_NAME, &headers);
	add_lines(&h, line, sizeof(line) - 1);
	g_assert_cmpstr(httpc_fault_name(h.fault), ==, "line");
	httpc_head_init(&h, ID_NAME, &headers);
	add_lines(&h, name, sizeof(name) - 1);
	g_assert_cmpstr(httpc_fault_name(h.fault), ==, "line");
	buf_finish(&headers);
}

/* Guards against a reading that goes on after a fault. */
static void test_first_fault_stays(void)
{
	struct httpc_head h;
	struct buf headers;

	buf_init(&headers);
	httpc_head_init(&h, ID_NAME, &headers);
	add_lines(&h, OK "A: b\r\nbad\r\n", strlen(OK "A: b\r\nbad\r\n"));
	g_assert_cmpstr(httpc_fault_name(h.fault), ==, "line");
	add_lines(&h, OK "C: d\r\n\r\n", strlen(OK "C: d\r\n\r\n"));
	g_assert_cmpstr(httpc_fault_name(h.fault), ==, "line");
	g_assert_cmpint(h.complete, ==, 0);
	g_assert_cmpstr(buf_text(&headers), ==, "A: b\n");
	buf_finish(&headers);
}

static void check_body(const char *body, size_t len, const char *id_name,
		       enum httpc_body_end end)
{
	enum httpc_body_end found =
		httpc_head_find_in_body(body, len, id_name, ID);

	if (found == end)
		return;
	g_test_message("%s an id: %d instead of %d in\n%.*s",
		       id_name ? "with" : "without", (int)found, (int)end,
		       (int)len, body);
	g_test_fail();
}

/*
 * Guards against a cut body that is taken as whole, and a proper body that is
 * taken for a cut one.
 */
static void test_bodies(void)
{
	static const struct {
		const char *body;
		enum httpc_body_end end;
		enum httpc_body_end end_without_id; /* no such header */
	} cases[] = {
		{ "", HTTPC_BODY_PLAIN, HTTPC_BODY_PLAIN },
		{ "fired", HTTPC_BODY_PLAIN, HTTPC_BODY_PLAIN },
		{ "HTTP is a protocol", HTTPC_BODY_PLAIN, HTTPC_BODY_PLAIN },
		{ "HTTP/1.1 20x", HTTPC_BODY_PLAIN, HTTPC_BODY_PLAIN },
		{ "HTTP/1.1 2000", HTTPC_BODY_PLAIN, HTTPC_BODY_PLAIN },
		{ "h", HTTPC_BODY_PLAIN, HTTPC_BODY_PLAIN },
		{ "H", HTTPC_BODY_IN_HEAD, HTTPC_BODY_IN_HEAD },
		{ "fireHTT", HTTPC_BODY_IN_HEAD, HTTPC_BODY_IN_HEAD },
		{ "fHTTP/1.1 2", HTTPC_BODY_IN_HEAD, HTTPC_BODY_IN_HEAD },
		{ "HHTTP/1.1 200", HTTPC_BODY_IN_HEAD, HTTPC_BODY_IN_HEAD },
		{ "HTTP/1.1 200\r", HTTPC_BODY_IN_HEAD, HTTPC_BODY_IN_HEAD },
		{ "aHTTP/1.1 200 O", HTTPC_BODY_IN_HEAD, HTTPC_BODY_IN_HEAD },
		{ "a" OK, HTTPC_BODY_IN_HEAD, HTTPC_BODY_IN_HEAD },
		{ OK "X-A", HTTPC_BODY_IN_HEAD, HTTPC_BODY_IN_HEAD },
		{ OK "X-A: a\r\n\r", HTTPC_BODY_IN_HEAD, HTTPC_BODY_IN_HEAD },
		{ OK "X-Attempt-Id: 9c41", HTTPC_BODY_IN_HEAD,
		  HTTPC_BODY_IN_HEAD },
		{ OK "X-Attempt-Id: 9c41\r\n", HTTPC_BODY_IN_HEAD,
		  HTTPC_BODY_IN_HEAD },
		{ OK "fired\r\n", HTTPC_BODY_PLAIN, HTTPC_BODY_PLAIN },
		{ OK "X-A: a\x01\r\n", HTTPC_BODY_PLAIN, HTTPC_BODY_PLAIN },
		{ OK "X-Attempt-Idx" ID, HTTPC_BODY_IN_HEAD,
		  HTTPC_BODY_IN_HEAD },
		{ OK "X-Attempt-Id: " ID " \r\n", HTTPC_BODY_HAS_ANSWER,
		  HTTPC_BODY_IN_HEAD },
		{ "a" OK HAS_ID, HTTPC_BODY_HAS_ANSWER, HTTPC_BODY_IN_HEAD },
		{ "a" OK "X-A: a\r\nx-attempt-id:" ID "\nX-",
		  HTTPC_BODY_HAS_ANSWER, HTTPC_BODY_IN_HEAD },
		{ OK HAS_ID "\r\nfired", HTTPC_BODY_HAS_ANSWER,
		  HTTPC_BODY_IN_HEAD },
		{ OK HAS_ID "\r\n" OK, HTTPC_BODY_HAS_ANSWER,
		  HTTPC_BODY_IN_HEAD },
		{ OK "\r\n" HAS_ID "fired", HTTPC_BODY_IN_HEAD,
		  HTTPC_BODY_IN_HEAD },
		{ "got HTTP/1.1 200 OK from\r\n\r\n", HTTPC_BODY_IN_HEAD,
		  HTTPC_BODY_IN_HEAD },
		{ "got HTTP/1.1 200 OK.\r\nand that is all", HTTPC_BODY_PLAIN,
		  HTTPC_BODY_PLAIN },
		{ "got HTTP/1.1 200 OK.\r\nand", HTTPC_BODY_IN_HEAD,
		  HTTPC_BODY_IN_HEAD },
		{ "got HTTP/1.1 200 OK.\r\nand that is all\r\n",
		  HTTPC_BODY_PLAIN, HTTPC_BODY_PLAIN },
		{ "a" OK "X-Attempt-Id: " OTHER "\r\n\r\n", HTTPC_BODY_IN_HEAD,
		  HTTPC_BODY_IN_HEAD },
		{ "a" OK "X-A: a\r\n b\r\n" HAS_ID, HTTPC_BODY_HAS_ANSWER,
		  HTTPC_BODY_IN_HEAD },
		{ "a" OK "X-Attempt-Id: " OTHER "\r\n", HTTPC_BODY_IN_HEAD,
		  HTTPC_BODY_IN_HEAD },
		{ "a" OK "X-Attempt-Id: " OTHER "\r\n\r\n" OK HAS_ID,
		  HTTPC_BODY_HAS_ANSWER, HTTPC_BODY_IN_HEAD },
		{ "HTTP/1.1 102 A\r\n\r\n" OK HAS_ID, HTTPC_BODY_HAS_ANSWER,
		  HTTPC_BODY_IN_HEAD },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		size_t len = strlen(cases[i].body);
		/* Of its exact length, so that reads behind it are found. */
		char *body = g_memdup2(cases[i].body, len);

		check_body(body, len, ID_NAME, cases[i].end);
		check_body(body, len, NULL, cases[i].end_without_id);
		g_free(body);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/httpc_head/status_lines", test_status_lines);
	g_test_add_func("/httpc_head/header_lines", test_header_lines);
	g_test_add_func("/httpc_head/framing", test_framing);
	g_test_add_func("/httpc_head/second_heads", test_second_heads);
	g_test_add_func("/httpc_head/ids_and_trailers", test_ids_and_trailers);
	g_test_add_func("/httpc_head/results", test_results);
	g_test_add_func("/httpc_head/zero_bytes", test_zero_bytes);
	g_test_add_func("/httpc_head/first_fault_stays",
			test_first_fault_stays);
	g_test_add_func("/httpc_head/bodies", test_bodies);
	return g_test_run();
}
