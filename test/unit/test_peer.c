#include "routing/gate.h"
#include "routing/peer.h"
#include "routing/peer_priv.h"
#include "test/unit/fake.h"
#include "transport/tcp.h"

#include <sys/resource.h>
#include <utlist.h>

/*
 * A connection through a relay between two daemons. While it is frozen, bytes
 * are held back in both directions and neither end notices.
 */
struct relay_conn {
	struct relay *r;
	int fd[2];
	ev_io io[2];
	int frozen;
	struct relay_conn *next;
};

struct relay {
	struct ev_loop *loop;
	int fd;
	unsigned port;
	unsigned to_port;
	ev_io io;
	struct relay_conn *conns; /* newest first */
	unsigned count;
	size_t bytes; /* of both directions */
};

static void relay_conn_close(struct relay_conn *p)
{
	LL_DELETE(p->r->conns, p);
	for (int i = 0; i < 2; i++) {
		ev_io_stop(p->r->loop, &p->io[i]);
		close(p->fd[i]);
	}
	g_free(p);
}

static void on_relay_conn(struct ev_loop *loop, ev_io *w, int events)
{
	struct relay_conn *p = w->data;
	int from = w == &p->io[1];
	char data[65536];
	ssize_t n = read(p->fd[from], data, sizeof(data));

	(void)loop;
	(void)events;
	if (n > 0)
		p->r->bytes += (size_t)n;
	if (n <= 0 || send(p->fd[!from], data, (size_t)n, MSG_NOSIGNAL) != n)
		relay_conn_close(p);
}

static int dial_port(unsigned port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sa.sin_port = htons((uint16_t)port);
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0)
		return fd;
	close(fd);
	return -1;
}

static void on_relay_accept(struct ev_loop *loop, ev_io *w, int events)
{
	struct relay *r = w->data;
	struct relay_conn *p = g_malloc0(sizeof(*p));

	(void)events;
	p->r = r;
	p->fd[0] = accept(r->fd, NULL, NULL);
	p->fd[1] = dial_port(r->to_port);
	r->count++;
	if (p->fd[1] < 0) {
		close(p->fd[0]);
		g_free(p);
		return;
	}
	for (int i = 0; i < 2; i++) {
		ev_io_init(&p->io[i], on_relay_conn, p->fd[i], EV_READ);
		p->io[i].data = p;
		ev_io_start(loop, &p->io[i]);
	}
	LL_PREPEND(r->conns, p);
}

static void relay_init(struct relay *r, struct ev_loop *loop, unsigned to_port)
{
	memset(r, 0, sizeof(*r));
	r->loop = loop;
	r->to_port = to_port;
	r->fd = fake_listen(&r->port);
	ev_io_init(&r->io, on_relay_accept, r->fd, EV_READ);
	r->io.data = r;
	ev_io_start(loop, &r->io);
}

static void relay_finish(struct relay *r)
{
	while (r->conns)
		relay_conn_close(r->conns);
	ev_io_stop(r->loop, &r->io);
	close(r->fd);
}

static void set_frozen(struct relay_conn *p, int frozen)
{
	for (int i = 0; i < 2; i++) {
		if (frozen)
			ev_io_stop(p->r->loop, &p->io[i]);
		else
			ev_io_start(p->r->loop, &p->io[i]);
	}
	p->frozen = frozen;
}

/* The gate, links and listener of one daemon; node 2 owns all keys. */
struct test_daemon {
	struct ev_loop *loop;
	struct fake_view view;
	struct cnt cnt;
	struct gate *gate;
	struct peers *peers;
	struct tcp_listener listener;
	unsigned port;
};

static void on_released(uint32_t slot, void *priv)
{
	(void)slot;
	(void)priv;
}

static void on_target_lost(int refused, void *priv)
{
	(void)refused;
	(void)priv;
}

static const struct gate_ops gate_ops = {
	.released = on_released,
	.target_lost = on_target_lost,
};

static void on_first_frame(struct tcp_conn *c, const struct frame *f,
			   void *priv)
{
	struct test_daemon *s = priv;

	g_assert_cmpint(f->type, ==, FRAME_HELLO);
	peers_accept(s->peers, c, (const Wire__Hello *)f->msg);
}

static void on_closed_early(struct tcp_conn *c, enum err why, void *priv)
{
	(void)why;
	(void)priv;
	free(c);
}

static const struct tcp_ops first_ops = {
	.frame = on_first_frame,
	.closed = on_closed_early,
};

static void on_accepted(int fd, void *priv)
{
	struct test_daemon *s = priv;
	struct tcp_conn *c = malloc(sizeof(*c));

	tcp_conn_init_fd(c, s->loop, fd, &first_ops, s);
}

static unsigned port_of(int fd)
{
	struct sockaddr_in sa = { 0 };
	socklen_t len = sizeof(sa);

	g_assert_cmpint(getsockname(fd, (struct sockaddr *)&sa, &len), ==, 0);
	return ntohs(sa.sin_port);
}

static void test_daemon_start(struct test_daemon *s, const char *name,
			      uint64_t incarnation)
{
	g_assert_cmpint(gate_new(&s->gate, s->loop, &s->view.view, &s->cnt,
				 &dialect_native, &gate_ops, s),
			==, ERR_OK);
	g_assert_cmpint(peers_new(&s->peers, s->loop, &s->view.view, s->gate,
				  &s->cnt, name, incarnation),
			==, ERR_OK);
}

static void test_daemon_stop(struct test_daemon *s)
{
	peers_free(s->peers);
	gate_free(s->gate);
}

static void test_daemon_init(struct test_daemon *s, struct ev_loop *loop,
			     const char *name, uint32_t self)
{
	memset(s, 0, sizeof(*s));
	s->loop = loop;
	fake_view_init(&s->view);
	s->view.self = self;
	fake_set_owner(&s->view, 2);
	cnt_init(&s->cnt);
	test_daemon_start(s, name, 1000 + self);
	g_assert_cmpint(tcp_listen(&s->listener, loop, "127.0.0.1", 0,
				   on_accepted, s, NULL),
			==, ERR_OK);
	s->port = port_of(s->listener.fd);
}

static void test_daemon_finish(struct test_daemon *s)
{
	tcp_listener_finish(&s->listener);
	test_daemon_stop(s);
	fake_view_finish(&s->view);
	cnt_finish(&s->cnt);
}

struct fixture {
	struct ev_loop *loop;
	struct test_daemon sender, owner;
	struct fake_target target;
	struct relay relay;
};

static void announce(struct fixture *f)
{
	Wire__Target a = fake_announcement(&f->target, 64);

	gate_set_target(f->owner.gate, &a);
}

static void setup(struct fixture *f)
{
	f->loop = ev_loop_new(EVFLAG_AUTO);
	fake_target_init(&f->target, f->loop);
	test_daemon_init(&f->sender, f->loop, "n01", 1);
	test_daemon_init(&f->owner, f->loop, "n02", 2);
	relay_init(&f->relay, f->loop, f->owner.port);
	fake_set_node(&f->sender.view, 2, "n02", f->relay.port);
	announce(f);
}

static void teardown(struct fixture *f)
{
	test_daemon_finish(&f->sender);
	test_daemon_finish(&f->owner);
	fake_target_finish(&f->target);
	relay_finish(&f->relay);
	ev_loop_destroy(f->loop);
}

static void forward_for(struct fixture *f, struct fake_reply *r,
			uint64_t attempt, char *method, uint32_t deadline_ms)
{
	Wire__Forward m = fake_forward(attempt, method);

	memset(r, 0, sizeof(*r));
	m.deadline_ms = deadline_ms;
	peers_forward(f->sender.peers, 2, &m, fake_on_reply, r);
	g_assert_cmpuint(r->count, ==, 0);
}

static void forward(struct fixture *f, struct fake_reply *r, uint64_t attempt,
		    char *method)
{
	forward_for(f, r, attempt, method, 5000);
}

static void expect_answer(struct fixture *f, uint64_t attempt)
{
	struct fake_reply r;

	forward(f, &r, attempt, "GET");
	fake_wait(f->loop, &r.count, 1);
	g_assert_cmpint(r.outcome, ==, OUTCOME_ANSWERED);
	g_assert_cmpuint(r.attempt, ==, attempt);
	g_assert_cmpstr(r.body, ==, "ok");
}

/* Guards against a new link for each request. */
static void test_forward(void)
{
	struct fixture f;

	setup(&f);
	expect_answer(&f, 1);
	expect_answer(&f, 2);
	g_assert_cmpuint(f.relay.count, ==, 1);
	fake_pause(f.loop, 50);
	g_assert_cmpuint(peers_unacknowledged_bytes(f.owner.peers), ==, 0);
	teardown(&f);
}

/* Guards against replies that are matched to attempts by their order. */
static void test_replies_out_of_order(void)
{
	struct fake_reply a, b;
	struct fixture f;
	int first;

	setup(&f);
	f.target.mode = FAKE_SILENT;
	forward(&f, &a, 1, "GET");
	fake_wait(f.loop, &f.target.runs, 1);
	first = f.target.last_fd;
	forward(&f, &b, 2, "GET");
	fake_wait(f.loop, &f.target.runs, 2);
	fake_write(f.target.last_fd,
		   "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb");
	fake_wait(f.loop, &b.count, 1);
	fake_write(first, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
	fake_wait(f.loop, &a.count, 1);
	g_assert_cmpstr(a.body, ==, "a");
	g_assert_cmpstr(b.body, ==, "b");
	teardown(&f);
}

/*
 * Guards against a request that runs after its outcome was not-run: the old,
 * silent link delivers the Forward late.
 */
static void test_late_forward(void)
{
	struct fake_reply r;
	struct fixture f;
	struct relay_conn *old;

	setup(&f);
	expect_answer(&f, 1);
	old = f.relay.conns;
	set_frozen(old, 1);
	forward(&f, &r, 2, "POST");
	fake_wait(f.loop, &r.count, 1);
	g_assert_cmpint(r.outcome, ==, OUTCOME_NOT_RUN);
	g_assert_cmpuint(f.relay.count, ==, 2);
	set_frozen(old, 0);
	fake_pause(f.loop, 100);
	g_assert_cmpuint(f.target.runs, ==, 1);
	g_assert_cmpuint(cnt_get(&f.sender.cnt, "peer_links_suspect", ""), ==,
			 1);
	/* The new link is in use. */
	expect_answer(&f, 3);
	g_assert_cmpuint(f.relay.count, ==, 2);
	teardown(&f);
}

/* Guards against not-run for a request that ran and whose reply was lost. */
static void test_lost_reply(void)
{
	struct fake_reply r;
	struct fixture f;

	setup(&f);
	f.target.mode = FAKE_SILENT;
	forward(&f, &r, 1, "POST");
	fake_wait(f.loop, &f.target.runs, 1);
	set_frozen(f.relay.conns, 1);
	fake_write(f.target.last_fd, FAKE_OK);
	fake_wait(f.loop, &r.count, 1);
	/* The owner had kept the reply. */
	g_assert_cmpint(r.outcome, ==, OUTCOME_ANSWERED);
	g_assert_cmpstr(r.body, ==, "ok");
	g_assert_cmpuint(f.target.runs, ==, 1);
	teardown(&f);
}

/* Guards against a running request that is failed or run again. */
static void test_running_at_owner(void)
{
	struct fake_reply r;
	struct fixture f;

	setup(&f);
	f.target.mode = FAKE_SILENT;
	forward(&f, &r, 1, "POST");
	fake_wait(f.loop, &f.target.runs, 1);
	set_frozen(f.relay.conns, 1);
	fake_wait(f.loop, &f.relay.count, 2);
	fake_pause(f.loop, 100);
	g_assert_cmpuint(r.count, ==, 0);
	fake_write(f.target.last_fd, FAKE_OK);
	fake_wait(f.loop, &r.count, 1);
	g_assert_cmpint(r.outcome, ==, OUTCOME_ANSWERED);
	g_assert_cmpuint(f.target.runs, ==, 1);
	teardown(&f);
}

/* Guards against a running request that is failed or rerun if its link closes.
 */
static void test_broken_link(void)
{
	struct fake_reply r;
	struct fixture f;

	setup(&f);
	f.target.mode = FAKE_SILENT;
	forward(&f, &r, 1, "POST");
	fake_wait(f.loop, &f.target.runs, 1);
	relay_conn_close(f.relay.conns);
	fake_wait(f.loop, &f.relay.count, 2);
	fake_write(f.target.last_fd, FAKE_OK);
	fake_wait(f.loop, &r.count, 1);
	g_assert_cmpint(r.outcome, ==, OUTCOME_ANSWERED);
	g_assert_cmpuint(f.target.runs, ==, 1);
	teardown(&f);
}

/*
 * Guards against not-run because a restarted daemon has never seen the
 * attempt: the request may have run before the restart.
 */
static void test_restarted_owner(void)
{
	struct fake_reply r;
	struct fixture f;

	setup(&f);
	f.target.mode = FAKE_SILENT;
	forward(&f, &r, 1, "POST");
	fake_wait(f.loop, &f.target.runs, 1);
	test_daemon_stop(&f.owner);
	test_daemon_start(&f.owner, "n02", 77);
	announce(&f);
	fake_wait(f.loop, &r.count, 1);
	g_assert_cmpint(r.outcome, ==, OUTCOME_UNKNOWN);
	f.target.mode = FAKE_ANSWER;
	expect_answer(&f, 2);
	teardown(&f);
}

/* Guards against another node that answers at the owner's address. */
static void test_wrong_node(void)
{
	struct fake_reply r;
	struct fixture f;

	setup(&f);
	test_daemon_stop(&f.owner);
	test_daemon_start(&f.owner, "n09", 77);
	announce(&f);
	forward(&f, &r, 1, "POST");
	fake_wait(f.loop, &r.count, 1);
	g_assert_cmpint(r.outcome, ==, OUTCOME_NOT_RUN);
	g_assert_cmpuint(f.target.runs, ==, 0);
	teardown(&f);
}

/* Guards against waits or the outcome unknown if the owner refuses to connect.
 */
static void test_refused(void)
{
	struct fake_reply r;
	struct fixture f;

	setup(&f);
	fake_set_node(&f.sender.view, 2, "n02", f.owner.port);
	tcp_listener_finish(&f.owner.listener);
	forward(&f, &r, 1, "POST");
	fake_wait(f.loop, &r.count, 1);
	g_assert_cmpint(r.outcome, ==, OUTCOME_NOT_RUN);
	g_assert_cmpint(r.error, ==, ERR_REFUSED);
	/* A node that the map does not know. */
	memset(&r, 0, sizeof(r));
	{
		Wire__Forward m = fake_forward(2, "POST");

		peers_forward(f.sender.peers, 9, &m, fake_on_reply, &r);
	}
	fake_wait(f.loop, &r.count, 1);
	g_assert_cmpint(r.outcome, ==, OUTCOME_NOT_RUN);
	g_assert_cmpint(r.error, ==, ERR_STALE);
	teardown(&f);
}

/* Guards against waits for a daemon that accepts and never sends a Hello. */
static void test_no_hello(void)
{
	struct fake_reply r;
	struct fixture f;

	setup(&f);
	fake_set_node(&f.sender.view, 2, "n02", f.target.port);
	forward(&f, &r, 1, "POST");
	fake_wait(f.loop, &r.count, 1);
	g_assert_cmpint(r.outcome, ==, OUTCOME_NOT_RUN);
	g_assert_cmpint(r.error, ==, ERR_TIMEOUT);
	teardown(&f);
}

/*
 * Guards against a reply that comes after its deadline and is matched to
 * another request on the same link.
 */
static void test_late_reply(void)
{
	struct fake_reply r;
	struct fixture f;

	setup(&f);
	f.target.mode = FAKE_SILENT;
	forward_for(&f, &r, 1, "POST", 350);
	fake_wait(f.loop, &f.target.runs, 1);
	set_frozen(f.relay.conns, 1);
	fake_wait(f.loop, &r.count, 1);
	g_assert_cmpint(r.outcome, ==, OUTCOME_UNKNOWN);
	g_assert_cmpint(r.error, ==, ERR_TIMEOUT);
	set_frozen(f.relay.conns, 0);
	f.target.mode = FAKE_ANSWER;
	expect_answer(&f, 2);
	g_assert_cmpuint(cnt_get(&f.sender.cnt, "peer_late_replies", ""), ==,
			 1);
	g_assert_cmpuint(f.relay.count, ==, 1);
	teardown(&f);
}

/* Guards against a request that is lost on a link that died while idle. */
static void test_idle_link(void)
{
	struct peer_node *n;
	struct fake_reply r;
	struct fixture f;

	setup(&f);
	expect_answer(&f, 1);
	n = f.sender.peers->nodes;
	n->current->conn.last_read_ms -= PEER_IDLE_MS;
	expect_answer(&f, 2);
	g_assert_cmpuint(n->current->ping_seq, ==, 1);
	g_assert_cmpuint(f.relay.count, ==, 1);
	n->current->conn.last_read_ms -= PEER_IDLE_MS;
	set_frozen(f.relay.conns, 1);
	forward(&f, &r, 3, "POST");
	fake_wait(f.loop, &r.count, 1);
	/* It waited for the answer to the Ping, so a new link could be used. */
	g_assert_cmpint(r.outcome, ==, OUTCOME_ANSWERED);
	g_assert_cmpuint(f.target.runs, ==, 3);
	g_assert_cmpuint(f.relay.count, ==, 2);
	teardown(&f);
}

/* Guards against a link that is replaced because a request is slow. */
static void test_slow_request(void)
{
	struct fake_reply r;
	struct fixture f;

	setup(&f);
	f.target.mode = FAKE_SILENT;
	forward(&f, &r, 1, "POST");
	fake_pause(f.loop, 3 * PEER_PING_TIMEOUT_MS);
	g_assert_cmpuint(f.sender.peers->nodes->current->ping_seq, >=, 2);
	g_assert_cmpuint(f.relay.count, ==, 1);
	fake_write(f.target.last_fd, FAKE_OK);
	fake_wait(f.loop, &r.count, 1);
	g_assert_cmpint(r.outcome, ==, OUTCOME_ANSWERED);
	teardown(&f);
}

/* Guards against a callback after peers_cancel. */
static void test_cancel(void)
{
	struct fake_reply r;
	struct fixture f;

	setup(&f);
	f.target.mode = FAKE_SILENT;
	forward(&f, &r, 1, "POST");
	fake_wait(f.loop, &f.target.runs, 1);
	peers_cancel(f.sender.peers, fake_on_reply, &r);
	fake_write(f.target.last_fd, FAKE_OK);
	fake_pause(f.loop, 100);
	g_assert_cmpuint(r.count, ==, 0);
	g_assert_cmpuint(cnt_get(&f.sender.cnt, "peer_late_replies", ""), ==,
			 1);
	teardown(&f);
}

/*
 * Guards against requests that each wait for a link to a node whose VM was
 * lost but which is still in the map.
 */
static void test_gone_node_fails_fast(void)
{
	struct fake_reply r;
	struct fixture f;
	unsigned port;
	int fd = fake_listen(&port); /* accepts, sends nothing */

	setup(&f);
	fake_set_node(&f.sender.view, 2, "n02", port);
	forward(&f, &r, 1, "POST");
	fake_wait(f.loop, &r.count, 1);
	g_assert_cmpint(r.outcome, ==, OUTCOME_NOT_RUN);
	for (uint64_t i = 2; i < 5; i++) {
		/* Longer than PEER_REDIAL_MS. */
		fake_pause(f.loop, 150);
		forward(&f, &r, i, "POST");
		ev_run(f.loop, EVRUN_NOWAIT);
		ev_run(f.loop, EVRUN_NOWAIT);
		g_assert_cmpuint(r.count, ==, 1);
		g_assert_cmpint(r.outcome, ==, OUTCOME_NOT_RUN);
	}
	fake_set_node(&f.sender.view, 2, "n02", f.relay.port);
	forward(&f, &r, 5, "POST");
	fake_wait(f.loop, &r.count, 1);
	fake_pause(f.loop, 1000);
	expect_answer(&f, 6);
	close(fd);
	teardown(&f);
}

/*
 * Guards against a cancelled request that is started: it was cancelled while
 * the link was down, so the Cancel has to be sent on the next link.
 */
static void test_cancel_after_loss(void)
{
	struct fake_reply first, queued;
	Wire__Target one;
	struct fixture f;

	setup(&f);
	one = fake_announcement(&f.target, 1);
	gate_set_target(f.owner.gate, &one);
	f.target.mode = FAKE_SILENT;
	forward(&f, &first, 1, "POST");
	fake_wait(f.loop, &f.target.runs, 1);
	forward(&f, &queued, 2, "POST");
	fake_pause(f.loop, 50);
	relay_conn_close(f.relay.conns);
	peers_cancel(f.sender.peers, fake_on_reply, &queued);
	fake_wait(f.loop, &f.relay.count, 2);
	fake_pause(f.loop, 50);
	fake_write(f.target.last_fd, FAKE_OK);
	fake_wait(f.loop, &first.count, 1);
	fake_pause(f.loop, 100);
	g_assert_cmpuint(f.target.runs, ==, 1);
	teardown(&f);
}

#define BODY_BYTES 40000
/* 40 kB take 80 ms at this rate; two such bodies exceed the pull window. */
#define SLOW_KBPS 4000

/* Sets up an owner with a low bandwidth. */
static void setup_slow_line(struct fixture *f)
{
	setup(f);
	fake_set_node_bandwidth(&f->sender.view, 2, "n02", f->relay.port,
				SLOW_KBPS);
	peers_set_bandwidth(f->owner.peers, SLOW_KBPS);
}

static void forward_body(struct fixture *f, struct fake_reply *r,
			 uint64_t attempt, int32_t value_ms)
{
	static uint8_t body[BODY_BYTES];
	Wire__Forward m = fake_forward(attempt, "POST");

	memset(r, 0, sizeof(*r));
	memset(body, 'x', sizeof(body));
	m.deadline_ms = 5000;
	m.value_ms = value_ms;
	m.has_value = value_ms != 0;
	m.body.data = body;
	m.body.len = sizeof(body);
	peers_forward(f->sender.peers, 2, &m, fake_on_reply, r);
}

/* Guards against loss of a body that was offered. */
static void test_offer(void)
{
	struct fixture f;
	struct fake_reply r;

	setup_slow_line(&f);
	forward_body(&f, &r, 1, 0);
	fake_wait(f.loop, &r.count, 1);
	g_assert_cmpint(r.outcome, ==, OUTCOME_ANSWERED);
	g_assert_cmpuint(f.target.runs, ==, 1);
	g_assert_cmpuint(strlen(f.target.last_request), >, BODY_BYTES);
	g_assert_null(f.owner.peers->pull.items);
	teardown(&f);
}

/*
 * Guards against bodies that use up the bandwidth although they can no longer
 * run in time: more are offered than the owner can receive in time.
 */
static void test_offer_refused(void)
{
	enum { N = 20 };
	struct fixture f;
	struct fake_reply r[N];
	unsigned refused = 0;

	setup_slow_line(&f);
	for (uint64_t i = 0; i < N; i++)
		forward_body(&f, &r[i], i + 1, 400);
	for (int i = 0; i < N; i++) {
		fake_wait(f.loop, &r[i].count, 1);
		refused += r[i].outcome == OUTCOME_NOT_RUN &&
			   r[i].error == ERR_SHED;
	}
	/* Five bodies take 400 ms at SLOW_KBPS. */
	g_assert_cmpuint(refused, >=, N - 5);
	g_assert_cmpuint(refused, <, N);
	g_assert_cmpuint(f.relay.bytes, <,
			 (size_t)(N - refused + 1) * BODY_BYTES);
	g_assert_null(f.owner.peers->pull.items);
	teardown(&f);
}

/*
 * Guards against the outcome unknown for a large request whose link broke
 * before its body was sent.
 */
static void test_offer_link_lost(void)
{
	struct fixture f;
	struct fake_reply r;

	setup_slow_line(&f);
	forward_body(&f, &r, 1, 0);
	/* The relay has accepted the link; the offer is not delivered yet. */
	while (!f.relay.conns)
		ev_run(f.loop, EVRUN_ONCE);
	set_frozen(f.relay.conns, 1);
	fake_pause(f.loop, 50);
	relay_conn_close(f.relay.conns);
	fake_wait(f.loop, &r.count, 1);
	g_assert_cmpint(r.outcome, ==, OUTCOME_NOT_RUN);
	g_assert_cmpuint(f.target.runs, ==, 0);
	g_assert_null(f.owner.peers->pull.items);
	teardown(&f);
}

/* Guards against a body that is sent after its request was cancelled. */
static void test_offer_cancelled(void)
{
	struct fixture f;
	struct fake_reply r[2];

	setup_slow_line(&f);
	forward_body(&f, &r[0], 1, 0);
	fake_wait(f.loop, &r[0].count, 1);
	forward_body(&f, &r[0], 2, 0);
	forward_body(&f, &r[1], 3, 0);
	peers_cancel(f.sender.peers, fake_on_reply, &r[1]);
	fake_wait(f.loop, &r[0].count, 1);
	fake_pause(f.loop, 100);
	g_assert_cmpuint(r[1].count, ==, 0);
	g_assert_cmpuint(f.target.runs, ==, 2);
	g_assert_null(f.owner.peers->pull.items);
	teardown(&f);
}

#define LARGE_BYTES 40000
#define LARGE_ROUTE 7

struct large_reply {
	unsigned count;
	enum wire_outcome outcome;
	enum err error;
	size_t bytes;
};

static void on_large_reply(const Wire__ForwardReply *reply, void *priv)
{
	struct large_reply *r = priv;

	r->count++;
	r->outcome = reply->outcome;
	r->error = reply->error;
	r->bytes = reply->body.len;
}

static void forward_large(struct fixture *f, struct large_reply *r,
			  uint64_t attempt, int32_t value_ms)
{
	Wire__Forward m = fake_forward(attempt, "GET");

	memset(r, 0, sizeof(*r));
	m.deadline_ms = 5000;
	m.route = LARGE_ROUTE;
	m.value_ms = value_ms;
	m.has_value = value_ms != 0;
	peers_forward(f->sender.peers, 2, &m, on_large_reply, r);
}

/* The target answers one request of the sender with so many bytes. */
static void answer_with(struct fixture *f, struct large_reply *r,
			uint64_t attempt, size_t bytes)
{
	char *text = g_strnfill(bytes, 'x');
	char *answer = g_strdup_printf(
		"HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", bytes,
		text);
	unsigned runs = f->target.runs;

	forward_large(f, r, attempt, 0);
	fake_wait(f->loop, &f->target.runs, runs + 1);
	fake_write(f->target.last_fd, answer);
	g_free(answer);
	g_free(text);
}

/* Waits for the whole answers; none is left to wait for the line. */
static void expect_large_answers(struct fixture *f, struct large_reply *r,
				 size_t count)
{
	for (size_t i = 0; i < count; i++) {
		fake_wait(f->loop, &r[i].count, 1);
		g_assert_cmpint(r[i].outcome, ==, OUTCOME_ANSWERED);
		g_assert_cmpuint(r[i].bytes, ==, LARGE_BYTES);
	}
	g_assert_null(gate_answer_line(f->owner.gate)->items);
}

/*
 * Guards against small answers that wait behind all large ones of a slow line:
 * six of 40 KB take 0.5 s there.
 */
static void test_small_answer_overtakes(void)
{
	enum { N = 6 };
	struct large_reply large[N], small;
	struct fixture f;
	unsigned before = 0;

	setup_slow_line(&f);
	f.target.mode = FAKE_SILENT;
	for (uint64_t i = 0; i < N; i++)
		answer_with(&f, &large[i], i + 1, LARGE_BYTES);
	answer_with(&f, &small, N + 1, 2);
	fake_wait(f.loop, &small.count, 1);
	for (int i = 0; i < N; i++)
		before += large[i].count;
	g_assert_cmpuint(before, <, N);
	expect_large_answers(&f, large, N);
	teardown(&f);
}

/* Guards against the loss of an answer that waited when its link broke. */
static void test_waiting_answer_link_lost(void)
{
	struct large_reply first, waiting;
	struct fixture f;

	setup_slow_line(&f);
	f.target.mode = FAKE_SILENT;
	answer_with(&f, &first, 1, LARGE_BYTES);
	fake_wait(f.loop, &first.count, 1);
	answer_with(&f, &first, 2, 4 * LARGE_BYTES);
	answer_with(&f, &waiting, 3, LARGE_BYTES);
	while (!gate_answer_line(f.owner.gate)->items)
		ev_run(f.loop, EVRUN_ONCE);
	relay_conn_close(f.relay.conns);
	fake_wait(f.loop, &waiting.count, 1);
	g_assert_cmpint(waiting.outcome, ==, OUTCOME_ANSWERED);
	g_assert_cmpuint(f.target.runs, ==, 3);
	teardown(&f);
}

/*
 * Guards against work whose large answer cannot be sent in time: the line is
 * busy for 0.5 s and the answer has its value for 0.2 s.
 */
static void test_late_large_answer_refused(void)
{
	struct large_reply large[6], late;
	struct fixture f;

	setup_slow_line(&f);
	f.target.mode = FAKE_SILENT;
	for (uint64_t i = 0; i < G_N_ELEMENTS(large); i++)
		answer_with(&f, &large[i], i + 1, LARGE_BYTES);
	while (!gate_answer_line(f.owner.gate)->items)
		ev_run(f.loop, EVRUN_ONCE);
	forward_large(&f, &late, 9, 200);
	fake_wait(f.loop, &late.count, 1);
	g_assert_cmpint(late.outcome, ==, OUTCOME_NOT_RUN);
	g_assert_cmpint(late.error, ==, ERR_SHED);
	g_assert_cmpuint(f.target.runs, ==, G_N_ELEMENTS(large));
	teardown(&f);
}

/*
 * Guards against a daemon that exits while an answer waits for the line: its
 * caller would get the outcome unknown although the request has run.
 */
static void test_waiting_answer_is_unacknowledged(void)
{
	struct large_reply first, waiting;
	struct fixture f;

	setup_slow_line(&f);
	f.target.mode = FAKE_SILENT;
	answer_with(&f, &first, 1, 4 * LARGE_BYTES);
	answer_with(&f, &waiting, 2, LARGE_BYTES);
	fake_wait(f.loop, &first.count, 1);
	fake_pause(f.loop, 50);
	g_assert_cmpuint(waiting.count, ==, 0);
	g_assert_nonnull(gate_answer_line(f.owner.gate)->items);
	g_assert_cmpuint(peers_unacknowledged_bytes(f.owner.peers), >=,
			 LARGE_BYTES);
	fake_wait(f.loop, &waiting.count, 1);
	fake_pause(f.loop, 50);
	g_assert_cmpuint(peers_unacknowledged_bytes(f.owner.peers), ==, 0);
	teardown(&f);
}

/*
 * Guards against answers to a sender without a link that use up the line's
 * time although they are not sent, and against their loss.
 */
static void test_line_free_of_lost_link(void)
{
	struct large_reply first, waiting;
	struct fixture f;

	setup_slow_line(&f);
	f.target.mode = FAKE_SILENT;
	answer_with(&f, &first, 1, 4 * LARGE_BYTES);
	answer_with(&f, &waiting, 2, LARGE_BYTES);
	fake_wait(f.loop, &first.count, 1);
	while (!gate_answer_line(f.owner.gate)->items)
		ev_run(f.loop, EVRUN_ONCE);
	ev_io_stop(f.loop, &f.relay.io);
	relay_conn_close(f.relay.conns);
	fake_pause(f.loop, 20);
	g_assert_null(gate_answer_line(f.owner.gate)->items);
	g_assert_cmpuint(gate_answer_line(f.owner.gate)->waiting_bytes, ==, 0);
	ev_io_start(f.loop, &f.relay.io);
	fake_wait(f.loop, &waiting.count, 1);
	g_assert_cmpint(waiting.outcome, ==, OUTCOME_ANSWERED);
	teardown(&f);
}

/*
 * Guards against all answers that waited being sent at once on the new link,
 * with each small answer behind all of them, and against their loss.
 */
static void test_answers_in_turn_on_new_link(void)
{
	enum { N = 6 };
	struct large_reply large[N], small;
	struct fixture f;
	unsigned before = 0;

	setup_slow_line(&f);
	f.target.mode = FAKE_SILENT;
	for (uint64_t i = 0; i < N; i++)
		answer_with(&f, &large[i], i + 1, LARGE_BYTES);
	answer_with(&f, &small, N + 1, 2);
	fake_wait(f.loop, &small.count, 1);
	relay_conn_close(f.relay.conns);
	fake_wait(f.loop, &f.relay.count, 2);
	answer_with(&f, &small, N + 2, 2);
	fake_wait(f.loop, &small.count, 1);
	for (int i = 0; i < N; i++)
		before += large[i].count;
	g_assert_cmpuint(before, <, N - 1);
	expect_large_answers(&f, large, N);
	teardown(&f);
}

/*
 * Guards against a route that is refused for good: its last answer takes 0.4 s
 * on the line, longer than answers have their value, and while all requests
 * are refused no shorter answer can lower the expected size.
 */
static void test_large_answer_on_idle_line(void)
{
	struct large_reply first, second;
	struct fixture f;

	setup_slow_line(&f);
	f.target.mode = FAKE_SILENT;
	answer_with(&f, &first, 1, 4 * LARGE_BYTES);
	fake_wait(f.loop, &first.count, 1);
	fake_pause(f.loop, 600);
	forward_large(&f, &second, 2, 200);
	fake_pause(f.loop, 50);
	g_assert_cmpuint(second.count, ==, 0);
	g_assert_cmpuint(f.target.runs, ==, 2);
	teardown(&f);
}

/* Guards against invalid frames on one link that break another. */
static void test_garbage(void)
{
	static const uint8_t hello_then_join[] = {
		0, 0, 0, 4, FRAME_HELLO, 0x0a, 1, 'x', 0, 0, 0, 1, FRAME_JOIN,
	};
	static const uint8_t unknown_frame[] = { 0, 0, 0, 4, 250, 1, 2, 3 };
	struct fixture f;
	char byte;
	int fd;

	setup(&f);
	expect_answer(&f, 1);
	for (int i = 0; i < 2; i++) {
		const void *data = i ? unknown_frame : hello_then_join;
		size_t len =
			i ? sizeof(unknown_frame) : sizeof(hello_then_join);

		fd = dial_port(f.owner.port);
		g_assert_cmpint(send(fd, data, len, 0), ==, (ssize_t)len);
		fake_pause(f.loop, 50);
		while (recv(fd, &byte, 1, MSG_DONTWAIT) == 1)
			continue;
		g_assert_cmpint(recv(fd, &byte, 1, MSG_DONTWAIT), ==, 0);
		close(fd);
	}
	expect_answer(&f, 2);
	g_assert_cmpuint(f.relay.count, ==, 1);
	teardown(&f);
}

/*
 * Many requests over links that are frozen, unfrozen and closed at random, to a
 * target that answers, closes, truncates and stays silent at random.
 */
#define FAULT_REQUESTS 600
#define FAULT_MAX_OPEN 20

struct fault_request {
	struct fault_run *s;
	struct fake_reply reply;
	unsigned runs;
	int is_post;
};

struct fault_run {
	struct fixture f;
	GRand *rand;
	struct fault_request requests[FAULT_REQUESTS + 1]; /* by attempt */
	unsigned started;
	unsigned done;
	char answer[128];
	ev_timer faults;
};

static enum fake_mode fault_run_choose(struct fake_target *t,
				       const char *request)
{
	const char *header = strstr(request, "Monsoonpin-Attempt: ");
	struct fault_run *s = t->priv;
	uint64_t attempt;

	g_assert_nonnull(header);
	attempt = strtoull(header + 20, NULL, 16);
	g_assert_cmpuint(attempt, <=, FAULT_REQUESTS);
	s->requests[attempt].runs++;
	g_snprintf(s->answer, sizeof(s->answer),
		   "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n%06u",
		   (unsigned)attempt);
	t->answer = s->answer;
	switch (g_rand_int_range(s->rand, 0, 20)) {
	case 0:
		return FAKE_DROP;
	case 1:
		return FAKE_SILENT;
	case 2:
		s->answer[strlen(s->answer) - 2] = 0;
		return FAKE_ANSWER_CUT;
	default:
		return FAKE_ANSWER;
	}
}

static void fault_run_start(struct fault_run *s);

static void on_fault_run_reply(const Wire__ForwardReply *reply, void *priv)
{
	struct fault_request *q = priv;

	fake_on_reply(reply, &q->reply);
	q->s->done++;
	fault_run_start(q->s);
}

static void fault_run_start(struct fault_run *s)
{
	struct fault_request *q;
	Wire__Forward m;

	if (s->started == FAULT_REQUESTS)
		return;
	q = &s->requests[++s->started];
	q->s = s;
	q->is_post = g_rand_boolean(s->rand);
	m = fake_forward(s->started, q->is_post ? "POST" : "PUT");
	m.deadline_ms = (uint32_t)g_rand_int_range(s->rand, 20, 1500);
	peers_forward(s->f.sender.peers, 2, &m, on_fault_run_reply, q);
}

static void on_fault_run_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	struct fault_run *s = w->data;
	struct relay_conn *p, *next;

	(void)loop;
	(void)events;
	LL_FOREACH_SAFE(s->f.relay.conns, p, next) {
		int dice = g_rand_int_range(s->rand, 0, 240);

		/* Mostly unfreezes after the link was replaced as silent. */
		if (p->frozen && dice < 2)
			set_frozen(p, 0);
		else if (!p->frozen && dice < 8)
			set_frozen(p, 1);
		else if (dice == 239)
			relay_conn_close(p);
	}
}

static void fault_run_check(const struct fault_request *q, uint64_t attempt)
{
	char body[8];

	g_assert_cmpuint(q->reply.count, ==, 1);
	g_assert_cmpuint(q->reply.attempt, ==, attempt);
	if (q->is_post)
		g_assert_cmpuint(q->runs, <=, 1);
	g_snprintf(body, sizeof(body), "%06u", (unsigned)attempt);
	if (q->reply.outcome == OUTCOME_NOT_RUN)
		g_assert_cmpuint(q->runs, ==, 0);
	if (q->reply.outcome == OUTCOME_ANSWERED)
		g_assert_cmpstr(q->reply.body, ==, body);
}

/*
 * Guards against a wrong outcome, a second run or an answer to another request
 * under combinations of faults. GLib prints the random seed.
 */
static void test_random_faults(void)
{
	unsigned outcomes[OUTCOME_UNKNOWN + 1] = { 0 };
	struct fault_run *s = g_malloc0(sizeof(*s));
	struct relay_conn *p;

	s->rand = g_rand_new_with_seed((guint32)g_test_rand_int());
	setup(&s->f);
	s->f.target.choose = fault_run_choose;
	s->f.target.priv = s;
	ev_timer_init(&s->faults, on_fault_run_tick, 0.01, 0.01);
	s->faults.data = s;
	ev_timer_start(s->f.loop, &s->faults);
	for (int i = 0; i < FAULT_MAX_OPEN; i++)
		fault_run_start(s);
	fake_wait(s->f.loop, &s->done, FAULT_REQUESTS);
	ev_timer_stop(s->f.loop, &s->faults);
	/* Frames that were held back arrive now and must not run. */
	LL_FOREACH(s->f.relay.conns, p) {
		if (p->frozen)
			set_frozen(p, 0);
	}
	fake_pause(s->f.loop, 200);
	for (uint64_t i = 1; i <= FAULT_REQUESTS; i++) {
		fault_run_check(&s->requests[i], i);
		outcomes[s->requests[i].reply.outcome]++;
	}
	g_test_message("answered %u, not-run %u, unknown %u",
		       outcomes[OUTCOME_ANSWERED], outcomes[OUTCOME_NOT_RUN],
		       outcomes[OUTCOME_UNKNOWN]);
	g_assert_cmpuint(outcomes[OUTCOME_ANSWERED], >, FAULT_REQUESTS / 4);
	teardown(&s->f);
	g_rand_free(s->rand);
	g_free(s);
}

struct conn_events {
	unsigned closed;
	enum err why;
	unsigned frames;
	size_t bytes;
	int finish_at;
};

static void on_conn_closed(struct tcp_conn *c, enum err why, void *priv)
{
	struct conn_events *d = priv;

	(void)c;
	d->closed++;
	d->why = why;
}

static void on_conn_frame(struct tcp_conn *c, const struct frame *f, void *priv)
{
	struct conn_events *d = priv;

	d->frames++;
	if (f->type == FRAME_FORWARD)
		d->bytes += ((const Wire__Forward *)f->msg)->body.len;
	if (d->finish_at && d->frames == (unsigned)d->finish_at)
		tcp_conn_finish(c);
}

static const struct tcp_ops conn_ops = {
	.frame = on_conn_frame,
	.closed = on_conn_closed,
};

/*
 * Guards against a refused connection that is reported by the return value:
 * callers wait for closed(), as tcp.h says.
 */
static void test_tcp_refused(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct conn_events d = { 0 };
	struct tcp_conn c;
	unsigned port;

	close(fake_listen(&port));
	g_assert_cmpint(tcp_conn_init_dial(&c, loop, "127.0.0.1", port, 1000,
					   &conn_ops, &d),
			==, ERR_OK);
	fake_wait(loop, &d.closed, 1);
	g_assert_cmpint(d.why, ==, ERR_REFUSED);
	/* An address that fails at once. */
	g_assert_cmpint(tcp_conn_init_dial(&c, loop, "255.255.255.255", port,
					   1000, &conn_ops, &d),
			==, ERR_OK);
	fake_wait(loop, &d.closed, 2);
	ev_loop_destroy(loop);
}

/* Guards against a send queue that is sent out of order or incompletely. */
static void test_tcp_large_queue(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	Wire__Forward m = WIRE__FORWARD__INIT;
	struct conn_events from = { 0 }, to = { 0 };
	struct tcp_conn a, b;
	int fd[2];

	g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fd),
			==, 0);
	tcp_conn_init_fd(&a, loop, fd[0], &conn_ops, &from);
	tcp_conn_init_fd(&b, loop, fd[1], &conn_ops, &to);
	m.body.len = 7 * 1000 * 1000;
	m.body.data = g_malloc0(m.body.len);
	for (int i = 0; i < 4; i++)
		g_assert_cmpint(tcp_send(&a, FRAME_FORWARD, &m.base), ==,
				ERR_OK);
	g_assert_cmpuint(tcp_queued(&a), >, 4 * m.body.len);
	g_assert_cmpuint(tcp_unacknowledged(&a), >=, tcp_queued(&a));
	fake_wait(loop, &to.frames, 4);
	g_assert_cmpuint(tcp_unacknowledged(&a), ==, 0);
	g_assert_cmpuint(to.bytes, ==, 4 * m.body.len);
	g_assert_cmpuint(tcp_queued(&a), ==, 0);
	g_assert_cmpuint(a.bytes_out, ==, b.bytes_in);
	g_free(m.body.data);
	tcp_conn_finish(&a);
	tcp_conn_finish(&b);
	ev_loop_destroy(loop);
}

struct accept_counter {
	unsigned accepted;
	unsigned iterations;
	ev_check check;
};

static void on_test_accepted(int fd, void *priv)
{
	struct accept_counter *a = priv;

	close(fd);
	a->accepted++;
}

static void on_iteration(struct ev_loop *loop, ev_check *w, int events)
{
	struct accept_counter *a = w->data;

	(void)loop;
	(void)events;
	a->iterations++;
}

/* Guards against a busy loop of the listener when descriptors run out. */
static void test_tcp_no_descriptors(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct rlimit old, none;
	struct tcp_listener l;
	struct accept_counter a = { 0 };
	int fd;

	g_assert_cmpint(tcp_listen(&l, loop, "127.0.0.1", 0, on_test_accepted,
				   &a, NULL),
			==, ERR_OK);
	ev_check_init(&a.check, on_iteration);
	a.check.data = &a;
	ev_check_start(loop, &a.check);
	fd = dial_port(port_of(l.fd));
	g_assert_cmpint(getrlimit(RLIMIT_NOFILE, &old), ==, 0);
	none = old;
	none.rlim_cur = 1;
	g_assert_cmpint(setrlimit(RLIMIT_NOFILE, &none), ==, 0);
	fake_pause(loop, 250);
	g_assert_cmpint(setrlimit(RLIMIT_NOFILE, &old), ==, 0);
	g_assert_cmpuint(a.accepted, ==, 0);
	g_assert_cmpuint(a.iterations, <, 20);
	fake_wait(loop, &a.accepted, 1);
	ev_check_stop(loop, &a.check);
	tcp_listener_finish(&l);
	close(fd);
	ev_loop_destroy(loop);
}

/* Guards against frames that are delivered after tcp_conn_finish. */
static void test_tcp_finish_in_frame(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct conn_events from = { 0 }, to = { .finish_at = 2 };
	Wire__Ping ping = WIRE__PING__INIT;
	struct tcp_conn a, b;
	int fd[2];

	g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fd),
			==, 0);
	tcp_conn_init_fd(&a, loop, fd[0], &conn_ops, &from);
	tcp_conn_init_fd(&b, loop, fd[1], &conn_ops, &to);
	for (int i = 0; i < 4; i++)
		tcp_send(&a, FRAME_PING, &ping.base);
	fake_wait(loop, &from.closed, 1);
	g_assert_cmpuint(to.frames, ==, 2);
	g_assert_cmpuint(to.closed, ==, 0);
	g_assert_cmpint(tcp_send(&b, FRAME_PING, &ping.base), ==, ERR_CLOSED);
	tcp_conn_finish(&a);
	ev_loop_destroy(loop);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* Warnings are expected here. */
	g_log_set_always_fatal(G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL);
	g_test_add_func("/peer/forward", test_forward);
	g_test_add_func("/peer/replies_out_of_order",
			test_replies_out_of_order);
	g_test_add_func("/peer/late_forward", test_late_forward);
	g_test_add_func("/peer/lost_reply", test_lost_reply);
	g_test_add_func("/peer/running_at_owner", test_running_at_owner);
	g_test_add_func("/peer/broken_link", test_broken_link);
	g_test_add_func("/peer/restarted_owner", test_restarted_owner);
	g_test_add_func("/peer/wrong_node", test_wrong_node);
	g_test_add_func("/peer/refused", test_refused);
	g_test_add_func("/peer/no_hello", test_no_hello);
	g_test_add_func("/peer/late_reply", test_late_reply);
	g_test_add_func("/peer/idle_link", test_idle_link);
	g_test_add_func("/peer/slow_request", test_slow_request);
	g_test_add_func("/peer/cancel", test_cancel);
	g_test_add_func("/peer/cancel_after_loss", test_cancel_after_loss);
	g_test_add_func("/peer/gone_node", test_gone_node_fails_fast);
	g_test_add_func("/peer/offer", test_offer);
	g_test_add_func("/peer/offer_refused", test_offer_refused);
	g_test_add_func("/peer/offer_link_lost", test_offer_link_lost);
	g_test_add_func("/peer/offer_cancelled", test_offer_cancelled);
	g_test_add_func("/peer/small_answer_overtakes",
			test_small_answer_overtakes);
	g_test_add_func("/peer/waiting_answer_link_lost",
			test_waiting_answer_link_lost);
	g_test_add_func("/peer/late_large_answer_refused",
			test_late_large_answer_refused);
	g_test_add_func("/peer/waiting_answer_is_unacknowledged",
			test_waiting_answer_is_unacknowledged);
	g_test_add_func("/peer/line_free_of_lost_link",
			test_line_free_of_lost_link);
	g_test_add_func("/peer/answers_in_turn_on_new_link",
			test_answers_in_turn_on_new_link);
	g_test_add_func("/peer/large_answer_on_idle_line",
			test_large_answer_on_idle_line);
	g_test_add_func("/peer/garbage", test_garbage);
	g_test_add_func("/peer/random_faults", test_random_faults);
	g_test_add_func("/tcp/refused", test_tcp_refused);
	g_test_add_func("/tcp/large_queue", test_tcp_large_queue);
	g_test_add_func("/tcp/no_descriptors", test_tcp_no_descriptors);
	g_test_add_func("/tcp/finish_in_frame", test_tcp_finish_in_frame);
	return g_test_run();
}
