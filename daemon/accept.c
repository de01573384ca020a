#include "daemon/node.h"
#include "common/log.h"

#include <stdlib.h>
#include <unistd.h>
#include <utlist.h>

/* A connection whose Hello frame takes longer than this is closed. */
#define HELLO_TIMEOUT_S 2.0
/* Further connections are closed at once. */
#define HELLO_MAX_CONNS 1024

/* An accepted connection whose Hello frame has not come yet. */
struct hello_conn {
	struct node *node;
	struct tcp_conn *tcp;
	ev_timer timer;
	struct hello_conn *prev;
	struct hello_conn *next;
};

/* Frees h, but not its connection. */
static void remove_hello_conn(struct hello_conn *h)
{
	ev_timer_stop(h->node->loop, &h->timer);
	DL_DELETE(h->node->hello_conns, h);
	free(h);
}

static void close_hello_conn(struct hello_conn *h)
{
	struct tcp_conn *tcp = h->tcp;

	remove_hello_conn(h);
	tcp_conn_finish(tcp);
	free(tcp);
}

static void on_timeout(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	close_hello_conn(w->data);
}

static void on_frame(struct tcp_conn *tcp, const struct frame *f, void *priv)
{
	struct hello_conn *h = priv;
	struct node *n = h->node;
	const Wire__Hello *hello = (const Wire__Hello *)f->msg;

	if (f->type != FRAME_HELLO) {
		log_warn("hello_missing", "type=%s", frame_name(f->type));
		/*
		 * The connection must outlive this callback of it, so a timer
		 * frees it.
		 */
		tcp_conn_finish(tcp);
		ev_timer_stop(n->loop, &h->timer);
		ev_timer_set(&h->timer, 0., 0.);
		ev_timer_start(n->loop, &h->timer);
		return;
	}
	remove_hello_conn(h);
	if (hello->purpose == 1)
		coord_accept(n->coord, tcp, hello);
	else
		peers_accept(n->peers, tcp, hello);
}

static void on_closed(struct tcp_conn *tcp, enum err why, void *priv)
{
	struct hello_conn *h = priv;

	if (why != ERR_CLOSED)
		log_warn("hello_failed", "error=%s", err_name(why));
	remove_hello_conn(h);
	tcp_conn_finish(tcp);
	free(tcp);
}

static const struct tcp_ops hello_ops = {
	.frame = on_frame,
	.closed = on_closed,
};

static unsigned count_hello_conns(const struct node *n)
{
	struct hello_conn *h;
	unsigned count;

	DL_COUNT(n->hello_conns, h, count);
	return count;
}

static void on_accepted(int fd, void *priv)
{
	struct node *n = priv;
	struct hello_conn *h = calloc(1, sizeof(*h));
	struct tcp_conn *tcp = calloc(1, sizeof(*tcp));

	if (!h || !tcp || count_hello_conns(n) >= HELLO_MAX_CONNS) {
		free(h);
		free(tcp);
		close(fd);
		return;
	}
	h->node = n;
	h->tcp = tcp;
	tcp_conn_init_fd(tcp, n->loop, fd, &hello_ops, h);
	ev_timer_init(&h->timer, on_timeout, HELLO_TIMEOUT_S, 0.);
	h->timer.data = h;
	ev_timer_start(n->loop, &h->timer);
	DL_APPEND(n->hello_conns, h);
}

enum err node_start_listen(struct node *n, struct err_info *info)
{
	return tcp_listen(&n->listener, n->loop, n->settings->address,
			  (unsigned)n->settings->peer_port, on_accepted, n,
			  info);
}

void node_finish_listen(struct node *n)
{
	struct hello_conn *h, *tmp;

	tcp_listener_finish(&n->listener);
	DL_FOREACH_SAFE(n->hello_conns, h, tmp)
		close_hello_conn(h);
}
