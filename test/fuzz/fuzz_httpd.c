#include "transport/httpd.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Guards against memory errors and requests without an end in the HTTP server.
 * The input is a stream of pipelined requests, sent in two parts; the first
 * byte decides where it is split and which answers close the connection.
 */

#define LOOP_TURNS 50

struct state {
	struct httpd d;
	unsigned requests;
	unsigned completed;
	unsigned close_after; /* the answer to this request closes; 0: none */
};

static void on_request(struct httpd_request *r, void *priv)
{
	static const struct httpd_header close_it = { "Connection", "close" };
	struct state *s = priv;

	s->requests++;
	httpd_get_argument(r, "a");
	httpd_answer(r, 200, &close_it, s->requests == s->close_after, r->path,
		     strlen(r->path));
}

static void on_reject(struct httpd_request *r, void *priv)
{
	struct state *s = priv;

	s->requests++;
	httpd_answer_text(r, 400, "text/plain", "");
}

static void on_completed(struct httpd_request *r, void *priv)
{
	struct state *s = priv;

	(void)r;
	s->completed++;
}

static const struct httpd_ops ops = {
	.request = on_request,
	.reject = on_reject,
	.completed = on_completed,
};

static int connect_to(unsigned port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sa.sin_port = htons((uint16_t)port);
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0)
		abort();
	return fd;
}

static void turn(struct ev_loop *loop)
{
	for (int i = 0; i < LOOP_TURNS; i++)
		ev_run(loop, EVRUN_NOWAIT);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct ev_loop *loop;
	static struct state s;
	size_t split;
	int fd;

	if (!loop) {
		loop = ev_loop_new(EVFLAG_AUTO);
		if (httpd_init(&s.d, loop, "127.0.0.1", 0, 1000, 60, &ops, &s,
			       NULL) != ERR_OK)
			abort();
	}
	if (!size)
		return 0;
	split = 1 + data[0] % size;
	s.requests = 0;
	s.completed = 0;
	s.close_after = data[0] % 4;
	fd = connect_to(httpd_port(&s.d));
	send(fd, data + 1, split - 1, MSG_NOSIGNAL);
	turn(loop);
	send(fd, data + split, size - split, MSG_NOSIGNAL);
	turn(loop);
	close(fd);
	turn(loop);
	if (s.completed != s.requests || s.d.conn_count > 1)
		abort();
	return 0;
}
