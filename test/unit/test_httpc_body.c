#include "transport/httpc_head.h"

#include <glib.h>
#include <string.h>

/* Tests of the search for a second answer in a body. */

#define ID "9c41d07be2a35f68"
#define ID_NAME "X-Attempt-Id"
#define BODY_BYTES (8 * 1024 * 1024)
/* The search goes through memory at more than 100 MB/s, sanitizers included. */
#define MAX_SECONDS 2.

static enum httpc_body_end find(const char *body, size_t len)
{
	return httpc_head_find_in_body(body, len, ID_NAME, ID);
}

/* Guards against a cut body that is passed on, and a proper one that is not. */
static void test_ends(void)
{
	static const struct {
		const char *body;
		enum httpc_body_end end;
	} cases[] = {
		{ "", HTTPC_BODY_PLAIN },
		{ "fired", HTTPC_BODY_PLAIN },
		{ "as of HTTP/1.1", HTTPC_BODY_IN_HEAD },
		{ "it speaks HTTP/1.1 to callers", HTTPC_BODY_PLAIN },
		{ "HTTP/1.1 200 OK\r\n\r\nfired", HTTPC_BODY_IN_HEAD },
		{ "firedH", HTTPC_BODY_IN_HEAD },
		{ "firedHTTP/1.1 50", HTTPC_BODY_IN_HEAD },
		{ "firedHTTP/1.1 500 Ashes", HTTPC_BODY_IN_HEAD },
		{ "firedHTTP/1.1 500 Ashes\r\nX-At", HTTPC_BODY_IN_HEAD },
		{ "firedHTTP/1.1 500 Ashes\r\nX-At: 1\r\n",
		  HTTPC_BODY_IN_HEAD },
		{ "firedHTTP/1.1 500 Ashes\r\nno header\r\n",
		  HTTPC_BODY_PLAIN },
		{ "firedHTTP/1.1 500 Ashes\r\nX-Attempt-Id: " ID "\r\nX",
		  HTTPC_BODY_HAS_ANSWER },
		{ "firedHTTP/1.1 500 Ashes\r\nA: b\r\nx-attempt-id:" ID "\n",
		  HTTPC_BODY_HAS_ANSWER },
		{ "X-Attempt-Id: " ID "\r\nfired", HTTPC_BODY_PLAIN },
		{ "GET / HTTP/1.1\r\nX-Attempt-Id: " ID "\r\n\r\n",
		  HTTPC_BODY_PLAIN },
		{ "HTTP/1.1 500 A\r\nX-Attempt-Id: 00\r\n\r\nX-Attempt-Id: " ID
		  "\r\n.",
		  HTTPC_BODY_IN_HEAD },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_test_message("%s", cases[i].body);
		g_assert_cmpint(find(cases[i].body, strlen(cases[i].body)), ==,
				cases[i].end);
	}
	g_assert_cmpint(
		httpc_head_find_in_body("HTTP/1.1 200 O", 14, NULL, NULL), ==,
		HTTPC_BODY_IN_HEAD);
}

/*
 * Guards against a body that holds up the event loop: the time of the search
 * was quadratic, 8 s for 256 KB of lines with the text of a status line.
 */
static void test_large(void)
{
	static const char id_line[] = "X-Attempt-Id: " ID "\n";
	static const char *const units[] = {
		"A: HTTP/1.1 200 x\n",
		"{\"req\":\"GET /x HTTP/1.1\",\"status\":200},",
		"HTTP/1.1 200 ",
		id_line,
		"HTTP/1.1 200 x\nA: b\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(units); i++) {
		size_t unit = strlen(units[i]);
		char *body = g_malloc(BODY_BYTES);
		double seconds;

		for (size_t n = 0; n < BODY_BYTES; n++)
			body[n] = units[i][n % unit];
		g_test_timer_start();
		find(body, BODY_BYTES);
		seconds = g_test_timer_elapsed();
		g_test_message("%s: %.3f s", units[i], seconds);
		g_assert_cmpfloat(seconds, <, MAX_SECONDS);
		g_free(body);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/httpc_body/ends", test_ends);
	g_test_add_func("/httpc_body/large", test_large);
	return g_test_run();
}
