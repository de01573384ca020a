#include "routing/gate.h"
#include "routing/ingress.h"
#include "routing/ingress_priv.h"
#include "routing/peer.h"
#include "test/unit/fake.h"
#include "transport/httpc.h"
#include "transport/tcp.h"

/*
 * Tests of routes that are restricted to regions. The caller is connected to
 * n01 in "sur". n02 in "muscat" has a slow line, so that large bodies are
 * offered to it. n03 in "sohar" only counts connections; its target has by far
 * the most room.
 */

#define BODY_BYTES 40000
/* 40 kB take 80 ms at this rate. */
#define SLOW_KBPS 4000

struct node {
	struct fake_view view;
	struct fake_target target;
	struct gate *gate;
	struct peers *peers;
};

struct fixture {
	struct ev_loop *loop;
	struct settings settings;
	struct cnt cnt;
	struct node here;
	struct node remote;
	struct tcp_listener listener; /* of the remote node */
	unsigned remote_links;
	struct tcp_listener forbidden;
	unsigned forbidden_links;
	struct ingress *in;
	struct httpc client;
};

struct caller {
	struct httpc_request http;
	unsigned done;
};

static char *muscat[] = { "muscat", NULL };
static char *muscat_and_sur[] = { "muscat", "sur", NULL };
static char *elsewhere[] = { "nizwa", NULL };

/* The last line of the event region_refused; "" if there was none. */
static char refused_line[1024];

static GLogWriterOutput keep_refused_line(GLogLevelFlags flags,
					  const GLogField *fields, gsize count,
					  gpointer data)
{
	for (gsize i = 0; i < count; i++) {
		if (strcmp(fields[i].key, "MESSAGE") == 0 &&
		    strstr(fields[i].value, "event=region_refused "))
			g_strlcpy(refused_line, fields[i].value,
				  sizeof(refused_line));
	}
	return g_log_writer_default(flags, fields, count, data);
}

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
	struct fixture *x = priv;

	peers_accept(x->remote.peers, c, (const Wire__Hello *)f->msg);
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
	struct fixture *f = priv;
	struct tcp_conn *c = malloc(sizeof(*c));

	f->remote_links++;
	tcp_conn_init_fd(c, f->loop, fd, &first_ops, f);
}

static void on_forbidden(int fd, void *priv)
{
	struct fixture *f = priv;

	f->forbidden_links++;
	close(fd);
}

static unsigned listen_on(struct fixture *f, struct tcp_listener *l,
			  void (*accepted)(int fd, void *priv))
{
	struct sockaddr_in sa = { 0 };
	socklen_t len = sizeof(sa);

	g_assert_cmpint(
		tcp_listen(l, f->loop, "127.0.0.1", 0, accepted, f, NULL), ==,
		ERR_OK);
	getsockname(l->fd, (struct sockaddr *)&sa, &len);
	return ntohs(sa.sin_port);
}

/* Adds a node with a target to the map of n01. */
static void add_node(struct fixture *f, uint32_t id, char *name, char *region,
		     unsigned port, uint32_t concurrency)
{
	struct fake_view *v = &f->here.view;
	Wire__MapDelta d = WIRE__MAP_DELTA__INIT;
	Wire__Node node = WIRE__NODE__INIT, *nodes = &node;
	Wire__Target target = WIRE__TARGET__INIT;

	target.service = FAKE_SERVICE;
	target.concurrency = concurrency;
	node.id = id;
	node.name = name;
	node.region = region;
	node.address = "127.0.0.1";
	node.peer_port = port;
	node.link_kbps = SLOW_KBPS;
	node.target = &target;
	d.base_rev = v->map.rev;
	d.rev = v->map.rev + 1;
	d.n_nodes = 1;
	d.nodes = &nodes;
	g_assert_cmpint(map_apply(&v->map, &d), ==, ERR_OK);
}

static void node_init(struct fixture *f, struct node *n, uint32_t id,
		      const char *name, int keyed)
{
	Wire__Target a;

	fake_view_init(&n->view);
	n->view.self = id;
	n->view.service.keyed = keyed;
	if (!keyed) {
		/* The map has only services with keys. */
		map_finish(&n->view.map);
		map_init(&n->view.map);
		n->view.map.rev = 1;
	}
	fake_target_init(&n->target, f->loop);
	g_assert_cmpint(gate_new(&n->gate, f->loop, &n->view.view, &f->cnt,
				 &dialect_native, &gate_ops, f),
			==, ERR_OK);
	g_assert_cmpint(peers_new(&n->peers, f->loop, &n->view.view, n->gate,
				  &f->cnt, name, id),
			==, ERR_OK);
	a = fake_announcement(&n->target, 8);
	gate_set_target(n->gate, &a);
}

static void node_finish(struct node *n)
{
	peers_free(n->peers);
	gate_free(n->gate);
	fake_target_finish(&n->target);
	fake_view_finish(&n->view);
}

static void setup(struct fixture *f, int keyed, char **regions)
{
	memset(f, 0, sizeof(*f));
	refused_line[0] = 0;
	f->loop = ev_loop_new(EVFLAG_AUTO);
	cnt_init(&f->cnt);
	strcpy(f->settings.name, "n01");
	strcpy(f->settings.region, "sur");
	strcpy(f->settings.address, "127.0.0.1");
	f->settings.max_body_bytes = 2 * 1024 * 1024;
	f->settings.max_in_flight = 100;
	f->settings.max_callers = 100;
	f->settings.retry_ratio = 1;
	f->settings.retry_slack = 10000;
	node_init(f, &f->here, 1, "n01", keyed);
	node_init(f, &f->remote, 2, "n02", keyed);
	if (keyed)
		fake_set_owner(&f->remote.view, 2);
	f->here.view.doc_route.regions = regions;
	peers_set_bandwidth(f->remote.peers, SLOW_KBPS);
	add_node(f, 1, "n01", "sur", 0, 8);
	add_node(f, 2, "n02", "muscat", listen_on(f, &f->listener, on_accepted),
		 8);
	add_node(f, 3, "n03", "sohar",
		 listen_on(f, &f->forbidden, on_forbidden), 1000);
	g_assert_cmpint(ingress_new(&f->in, f->loop, &f->settings,
				    &dialect_native, &f->here.view.view,
				    f->here.gate, f->here.peers, &f->cnt, 1,
				    NULL),
			==, ERR_OK);
	g_assert_cmpint(httpc_init(&f->client, f->loop, 0), ==, ERR_OK);
}

static void teardown(struct fixture *f)
{
	httpc_finish(&f->client);
	ingress_free(f->in);
	tcp_listener_finish(&f->listener);
	tcp_listener_finish(&f->forbidden);
	node_finish(&f->here);
	node_finish(&f->remote);
	cnt_finish(&f->cnt);
	ev_loop_destroy(f->loop);
}

static void on_caller_done(struct httpc_request *r, void *priv)
{
	(void)r;
	((struct caller *)priv)->done = 1;
}

static const struct httpc_ops caller_ops = { .done = on_caller_done };

static void start(struct fixture *f, struct caller *c, size_t body_len)
{
	static char body[BODY_BYTES];
	char url[64];

	memset(c, 0, sizeof(*c));
	memset(body, 'x', sizeof(body));
	g_snprintf(url, sizeof(url), "http://127.0.0.1:%u/kiln/a",
		   httpd_port(&f->in->http));
	c->http = (struct httpc_request){
		.ops = &caller_ops,
		.priv = c,
		.method = "POST",
		.url = url,
		.body = body,
		.body_len = body_len,
		.timeout_ms = 15000,
	};
	g_assert_cmpint(httpc_start(&f->client, &c->http), ==, ERR_OK);
}

/* Waits for the answer; owner NULL: none answered. */
static void expect(struct fixture *f, struct caller *c, int status,
		   const char *owner, const char *body)
{
	char line[64];

	fake_wait(f->loop, &c->done, 1);
	g_assert_cmpint(c->http.status, ==, status);
	g_assert_cmpstr(buf_text(&c->http.answer), ==, body);
	g_snprintf(line, sizeof(line), "Monsoonpin-Owner: %s\n",
		   owner ? owner : "");
	if (owner)
		g_assert_nonnull(
			strstr(buf_text(&c->http.answer_headers), line));
	httpc_request_finish(&c->http);
}

static uint64_t counter(const struct fixture *f, const char *name)
{
	return cnt_get(&f->cnt, name, "service=\"kiln\",tenant=\"default\"");
}

/* Checks the refusals so far, and that no request left the regions. */
static void expect_refused(const struct fixture *f, unsigned count)
{
	g_assert_cmpuint(counter(f, "in_region_refused"), ==, count);
	g_assert_cmpuint(f->forbidden_links, ==, 0);
	g_assert_cmpuint(f->here.target.runs, ==, 0);
}

#define REFUSED "not-run no_target_in_regions\n"

/*
 * Guards against a request that runs, or a body that is offered or sent,
 * outside of the route's regions, although the targets there are nearer or have
 * more room.
 */
static void test_offer(void)
{
	struct fixture f;
	struct caller c;

	setup(&f, 0, muscat);
	for (unsigned i = 1; i <= 5; i++) {
		start(&f, &c, BODY_BYTES);
		expect(&f, &c, 200, "n02", "ok");
		g_assert_cmpuint(cnt_get(&f.cnt, "peer_offers", ""), ==, i);
	}
	g_assert_cmpuint(f.remote.target.runs, ==, 5);
	expect_refused(&f, 0);
	teardown(&f);
}

/* Guards against a second attempt outside of the route's regions. */
static void test_retry(void)
{
	struct fixture f;
	struct caller c;

	setup(&f, 0, muscat);
	gate_set_target(f.remote.gate, NULL);
	start(&f, &c, BODY_BYTES);
	expect(&f, &c, 503, NULL, "not-run no_target\n");
	g_assert_cmpuint(f.remote_links, >, 0);
	expect_refused(&f, 0);
	teardown(&f);
}

/* Guards against a restriction of routes without regions. */
static void test_all_regions(void)
{
	struct fixture f;
	struct caller c;

	setup(&f, 1, NULL);
	fake_set_owner(&f.here.view, 3);
	start(&f, &c, 1);
	fake_wait(f.loop, &f.forbidden_links, 1);
	fake_set_owner(&f.here.view, 2);
	ingress_view_changed(f.in);
	expect(&f, &c, 200, "n02", "ok");
	f.here.view.doc_route.regions = muscat_and_sur;
	fake_set_owner(&f.here.view, 1);
	start(&f, &c, 1);
	expect(&f, &c, 200, "n01", "ok");
	g_assert_cmpuint(counter(&f, "in_region_refused"), ==, 0);
	teardown(&f);
}

/*
 * Guards against a request without a key that waits, or fails without a trace,
 * where the map has no target in its regions.
 */
static void test_no_target(void)
{
	struct fixture f;
	struct caller c;

	setup(&f, 0, elsewhere);
	start(&f, &c, 1);
	expect(&f, &c, 503, NULL, REFUSED);
	expect_refused(&f, 1);
	g_assert_nonnull(strstr(
		refused_line, " service=kiln key=\"\" regions=nizwa owner=\"\" "
			      "owner_region=- targets_inside=0 "
			      "targets_outside=3 tries=0 "));
	g_assert_nonnull(strstr(refused_line, " doc_revision=1"));
	teardown(&f);
}

/*
 * Guards against a request with a key that reaches an owner outside of its
 * regions, or that waits until the key moves.
 */
static void test_owner_elsewhere(void)
{
	struct fixture f;
	struct caller c;

	setup(&f, 1, muscat);
	fake_set_owner(&f.here.view, 3);
	start(&f, &c, BODY_BYTES);
	expect(&f, &c, 503, "n03", REFUSED);
	expect_refused(&f, 1);
	g_assert_nonnull(strstr(refused_line,
				" key=a regions=muscat owner=n03 "
				"owner_region=sohar targets_inside=1 "
				"targets_outside=2 tries=0 "));
	/* n01's own region is that of its settings. */
	fake_set_owner(&f.here.view, 1);
	start(&f, &c, 1);
	expect(&f, &c, 503, "n01", REFUSED);
	expect_refused(&f, 2);
	/* Without an owner, n02 may get the key, but no target elsewhere. */
	fake_set_owner(&f.here.view, 0);
	start(&f, &c, 1);
	fake_pause(f.loop, 100);
	g_assert_cmpuint(c.done, ==, 0);
	fake_set_owner(&f.here.view, 2);
	ingress_view_changed(f.in);
	expect(&f, &c, 200, "n02", "ok");
	fake_set_owner(&f.here.view, 0);
	f.here.view.doc_route.regions = elsewhere;
	start(&f, &c, 1);
	expect(&f, &c, 503, NULL, REFUSED);
	expect_refused(&f, 3);
	teardown(&f);
}

/*
 * Guards against a waiting request that goes by a document that is no longer in
 * force.
 */
static void test_changed_document(void)
{
	struct fixture f;
	struct caller c;

	setup(&f, 1, NULL);
	fake_set_owner(&f.here.view, 0);
	start(&f, &c, 1);
	fake_pause(f.loop, 100);
	g_assert_cmpuint(c.done, ==, 0);
	f.here.view.doc_route.regions = muscat;
	fake_set_owner(&f.here.view, 3);
	ingress_view_changed(f.in);
	expect(&f, &c, 503, "n03", REFUSED);
	expect_refused(&f, 1);
	/* A route that is gone: the restriction stays. */
	fake_set_owner(&f.here.view, 0);
	start(&f, &c, 1);
	fake_pause(f.loop, 100);
	g_assert_cmpuint(c.done, ==, 0);
	f.here.view.doc.route_count = 0;
	expect(&f, &c, 503, NULL, REFUSED);
	expect_refused(&f, 2);
	f.here.view.doc.route_count = 1;
	/* More regions than at the first attempt. */
	start(&f, &c, 1);
	fake_pause(f.loop, 100);
	g_assert_cmpuint(c.done, ==, 0);
	f.here.view.doc_route.regions = muscat_and_sur;
	fake_set_owner(&f.here.view, 1);
	ingress_view_changed(f.in);
	expect(&f, &c, 200, "n01", "ok");
	teardown(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_log_set_writer_func(keep_refused_line, NULL, NULL);
	g_test_add_func("/regions/offer", test_offer);
	g_test_add_func("/regions/retry", test_retry);
	g_test_add_func("/regions/all_regions", test_all_regions);
	g_test_add_func("/regions/no_target", test_no_target);
	g_test_add_func("/regions/owner_elsewhere", test_owner_elsewhere);
	g_test_add_func("/regions/changed_document", test_changed_document);
	return g_test_run();
}
