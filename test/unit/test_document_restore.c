#include "common/clk.h"
#include "membership/coord_priv.h"
#include "membership/doc_push.h"
#include "standins/common_storesrv.h"

#include <glib.h>
#include <string.h>
#include <sys/socket.h>

/*
 * Tests what an elected coordinator does with the document when the store, a
 * stand-in in this process, is restored from a copy. A document is told by the
 * queue limit of its service "desk".
 */

#define WAIT_MS 8000
/* Longer than a poll of the head. */
#define POLLS_MS 2500

struct fixture {
	struct ev_loop *loop;
	struct ssrv server;
	struct settings settings;
	struct cnt cnt;
	struct dgram dgram;
	struct coord *c;
	/* The control connection of a member. */
	struct tcp_conn ends[2];
	struct co_conn conn;
	unsigned fetches;
};

static const struct dgram_ops no_datagrams;

/* Returns the sections of the document; to be freed. */
static struct doc_sections make_document(unsigned queue, int with_old)
{
	struct doc_sections s;
	char *text = g_strdup_printf(
		"{\"version\":1,\"services\":{\"desk\":{\"keyed\":false,"
		"\"limits\":{\"queue\":%u}}%s}}",
		queue, with_old ? ",\"old\":{\"keyed\":false}" : "");

	g_assert_cmpint(doc_split(text, strlen(text), &s, NULL), ==, ERR_OK);
	g_free(text);
	return s;
}

/* Writes a document as an operator does; era 0: as earlier versions did. */
static void write_document(struct fixture *f, unsigned revision, unsigned queue,
			   int with_old, uint64_t era)
{
	struct doc_sections s = make_document(queue, with_old);
	GString *head = g_string_new("");

	g_string_printf(head,
			"{\"revision\":%u,\"author\":\"ada\",\"wall_ms\":1,"
			"\"attempt\":\"ada-%u\",\"recent\":[],\"sections\":{",
			revision, queue);
	for (size_t i = 0; i < s.count; i++) {
		char *key = g_strconcat("/t/doc/s/", s.items[i].name, NULL);

		sdb_put(&f->server.db, key, s.items[i].text, s.items[i].len, 0);
		g_string_append_printf(
			head, "%s\"%s\":\"%016" G_GINT64_MODIFIER "x\"",
			i ? "," : "", s.items[i].name,
			(guint64)s.items[i].digest);
		g_free(key);
	}
	if (!with_old)
		sdb_delete(&f->server.db, "/t/doc/s/service/old", NULL);
	g_string_append_c(head, '}');
	if (era)
		g_string_append_printf(
			head, ",\"era\":\"%" G_GUINT64_FORMAT "\"", era);
	g_string_append_c(head, '}');
	sdb_put(&f->server.db, "/t/doc/head", head->str, head->len, 0);
	sdb_commit(&f->server.db);
	ssrv_flush_watches(&f->server);
	g_string_free(head, TRUE);
	doc_sections_finish(&s);
}

static uint64_t present_era(const struct fixture *f)
{
	return f->server.db.cluster_id;
}

/* The text of a key in the store; NULL: absent. To be freed. */
static char *get_stored(const struct fixture *f, const char *key)
{
	const struct sdb_kv *kv = sdb_get(&f->server.db, key);

	return kv ? g_strndup((const char *)kv->value, kv->value_len) : NULL;
}

static int is_stored(const struct fixture *f, uint64_t revision, unsigned queue)
{
	char *head = get_stored(f, "/t/doc/head");
	char *desk = get_stored(f, "/t/doc/s/service/desk");
	char *rev = g_strdup_printf("\"revision\":%" G_GUINT64_FORMAT ",",
				    (guint64)revision);
	char *limit = g_strdup_printf("\"queue\":%u", queue);
	int found = head && desk && strstr(head, rev) && strstr(desk, limit);

	g_free(head);
	g_free(desk);
	g_free(rev);
	g_free(limit);
	return found;
}

static int is_in_force(const struct fixture *f, unsigned queue)
{
	const struct doc_section *s =
		doc_sections_get(&f->c->sections, "service/desk");
	char *limit = g_strdup_printf("\"queue\":%u", queue);
	int found = s && strstr(s->text, limit);

	g_free(limit);
	return found;
}

static int is_agreed(const struct fixture *f, unsigned queue)
{
	return is_in_force(f, queue) && is_stored(f, f->c->doc_rev, queue);
}

static void run_ms(struct fixture *f, int ms)
{
	int64_t end = clk_ms() + ms;

	while (clk_ms() < end) {
		ev_run(f->loop, EVRUN_NOWAIT);
		g_usleep(1000);
	}
}

/* Runs until store and coordinator agree on the document. */
static void wait_agreed(struct fixture *f, unsigned queue)
{
	int64_t end = clk_ms() + WAIT_MS;

	while (!is_agreed(f, queue)) {
		g_assert_cmpint(clk_ms(), <, end);
		run_ms(f, 5);
	}
}

static void on_frame(struct tcp_conn *t, const struct frame *frame, void *priv)
{
	struct fixture *f = priv;

	(void)t;
	f->fetches += frame->type == FRAME_FETCH;
}

static void on_closed(struct tcp_conn *t, enum err why, void *priv)
{
	(void)t;
	(void)why;
	(void)priv;
}

static const struct tcp_ops control_ops = { .frame = on_frame,
					    .closed = on_closed };

/* Connects a member that has this document in force. */
static struct co_member *add_member(struct fixture *f, uint64_t doc_rev)
{
	Wire__Node n = WIRE__NODE__INIT;
	struct co_member *m;
	struct own_peer *p;
	int fds[2];

	n.id = 7;
	n.name = "n7";
	n.address = "127.0.0.1";
	n.peer_port = 9;
	m = co_member_add(f->c, &n);
	own_coord_add_inherited(&f->c->own, n.id, 1, 0, 0);
	p = own_coord_find(&f->c->own, n.id);
	p->heard = 1;
	p->heard_ms = clk_ms();
	/* It does not renew a grant, and must not be found lost. */
	m->join = CO_JOIN_QUEUED;
	m->doc_rev = doc_rev;
	g_assert_cmpint(
		socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds), ==,
		0);
	for (int i = 0; i < 2; i++)
		tcp_conn_init_fd(&f->ends[i], f->loop, fds[i], &control_ops, f);
	f->conn.c = f->c;
	f->conn.tcp = &f->ends[0];
	m->conn = &f->conn;
	return m;
}

static void remove_member(struct fixture *f, struct co_member *m)
{
	m->conn = NULL;
	for (int i = 0; i < 2; i++)
		tcp_conn_finish(&f->ends[i]);
}

/* Delivers the member's document to the coordinator. */
static void push_document(struct fixture *f, uint64_t revision, unsigned queue)
{
	struct doc_sections s = make_document(queue, 0);
	Wire__DocPush p;

	g_assert_cmpint(doc_push_init(&p, s.count), ==, ERR_OK);
	g_assert_cmpint(doc_push_add_all(&p, &s), ==, ERR_OK);
	p.rev = revision;
	co_on_doc_push(f->c, &p);
	doc_push_finish(&p);
	doc_sections_finish(&s);
}

static void start_store(struct fixture *f)
{
	enum err e;

	memset(f, 0, sizeof(*f));
	f->loop = ev_loop_new(EVFLAG_AUTO);
	cnt_init(&f->cnt);
	e = ssrv_init(&f->server, f->loop, "127.0.0.1", 0, 1, 0, NULL);
	g_assert_cmpint(e, ==, ERR_OK);
}

static void start_coordinator(struct fixture *f)
{
	struct record none = { 0 };
	struct coord_config config = { .loop = f->loop,
				       .settings = &f->settings,
				       .dgram = &f->dgram,
				       .cnt = &f->cnt,
				       .incarnation = 5 };
	struct settings *s = &f->settings;
	char endpoint[64];
	enum err e;

	g_snprintf(s->store_prefix, sizeof(s->store_prefix), "/t/");
	g_snprintf(s->name, sizeof(s->name), "n1");
	g_snprintf(s->address, sizeof(s->address), "127.0.0.1");
	s->admin_port = 1;
	s->peer_port = 2;
	g_snprintf(endpoint, sizeof(endpoint), "http://127.0.0.1:%u",
		   ssrv_port(&f->server));
	e = dgram_init(&f->dgram, f->loop, "127.0.0.1", 0, &no_datagrams, f,
		       NULL);
	g_assert_cmpint(e, ==, ERR_OK);
	e = etcd_open(&config.store, f->loop, endpoint, 1000, NULL);
	g_assert_cmpint(e, ==, ERR_OK);
	g_assert_cmpint(coord_new(&f->c, &config), ==, ERR_OK);
	coord_start_election(f->c, &none, 0);
	for (int i = 0; i < WAIT_MS && !coord_is_active(f->c); i++)
		run_ms(f, 1);
	g_assert_true(coord_is_active(f->c));
}

static void stop(struct fixture *f)
{
	struct store *store = f->c->config.store;

	g_assert_true(coord_is_active(f->c));
	coord_free(f->c);
	store->ops->finish(store);
	dgram_finish(&f->dgram);
	ssrv_finish(&f->server);
	cnt_finish(&f->cnt);
	ev_loop_destroy(f->loop);
}

/* Starts with document 1, takes the copy, and puts document 3 in force. */
static void start_and_copy(struct fixture *f)
{
	start_store(f);
	write_document(f, 1, 101, 1, present_era(f));
	start_coordinator(f);
	wait_agreed(f, 101);
	ssrv_take_copy(&f->server);
	write_document(f, 3, 103, 0, present_era(f));
	wait_agreed(f, 103);
}

/*
 * Guards against a restored store that keeps the older document, which the next
 * coordinator or new processes would put in force, and against sections that
 * the newer one does not have. The document may also be missing from the copy.
 */
static void test_written_back(void)
{
	struct fixture f;
	char *text;

	start_and_copy(&f);
	ssrv_restore(&f.server, NULL);
	wait_agreed(&f, 103);
	g_assert_cmpuint(f.c->doc_rev, ==, 3);
	g_assert_null(sdb_get(&f.server.db, "/t/doc/s/service/old"));
	text = get_stored(&f, "/t/doc/head");
	g_assert_nonnull(strstr(text, "\"written_back\":true"));
	g_free(text);
	/* The next change is taken as usual. */
	write_document(&f, 4, 104, 0, present_era(&f));
	wait_agreed(&f, 104);
	g_assert_cmpuint(f.c->doc_rev, ==, 4);
	stop(&f);

	start_store(&f);
	start_coordinator(&f);
	ssrv_take_copy(&f.server);
	write_document(&f, 3, 103, 0, present_era(&f));
	wait_agreed(&f, 103);
	ssrv_restore(&f.server, NULL);
	wait_agreed(&f, 103);
	g_assert_cmpuint(f.c->doc_rev, ==, 3);
	stop(&f);
}

/*
 * Guards against a change that is taken for the document in force, since its
 * head has the same revision in the store, which gave it out again.
 */
static void test_same_mod_revision(void)
{
	const struct sdb_kv *kv;
	int64_t mod_revision;
	struct fixture f;

	start_and_copy(&f);
	kv = sdb_get(&f.server.db, "/t/doc/head");
	mod_revision = kv->mod_revision;
	ssrv_restore(&f.server, NULL);
	while (f.server.db.revision < mod_revision - 1) {
		sdb_put(&f.server.db, "/other", "", 0, 0);
		sdb_commit(&f.server.db);
	}
	write_document(&f, 4, 104, 0, present_era(&f));
	kv = sdb_get(&f.server.db, "/t/doc/head");
	g_assert_cmpint(kv->mod_revision, ==, mod_revision);
	wait_agreed(&f, 104);
	stop(&f);
}

/*
 * Guards against changes by an earlier version of mpinctl that are not taken,
 * and against a head with a lower revision that replaces the document in force
 * without a restore.
 */
static void test_heads_without_era(void)
{
	struct fixture f;

	start_store(&f);
	write_document(&f, 1, 101, 0, 0);
	start_coordinator(&f);
	write_document(&f, 2, 102, 0, 0);
	wait_agreed(&f, 102);
	write_document(&f, 1, 101, 0, 0);
	run_ms(&f, POLLS_MS);
	g_assert_true(is_in_force(&f, 102));
	g_assert_true(is_stored(&f, 1, 101));
	write_document(&f, 3, 103, 0, present_era(&f));
	wait_agreed(&f, 103);
	ssrv_take_copy(&f.server);
	write_document(&f, 4, 104, 0, 0);
	wait_agreed(&f, 104);
	ssrv_restore(&f.server, NULL);
	wait_agreed(&f, 104);
	stop(&f);
}

/*
 * Guards against an operator's change to the restored document that is refused
 * for ever, since the nodes had its revision with another content.
 */
static void test_changed_after_restore(void)
{
	struct fixture f;
	char *text;

	start_and_copy(&f);
	ssrv_restore(&f.server, NULL);
	write_document(&f, 2, 102, 0, present_era(&f));
	wait_agreed(&f, 102);
	g_assert_cmpuint(f.c->doc_rev, >, 3);
	text = get_stored(&f, "/t/doc/head");
	g_assert_null(strstr(text, "\"written_back\""));
	g_free(text);
	stop(&f);
}

/*
 * Guards against a coordinator that was elected after the restore and leaves
 * the older document in force here and in the store although a member has the
 * newer one.
 */
static void test_document_of_member(void)
{
	struct co_member *m;
	struct fixture f;

	start_store(&f);
	write_document(&f, 1, 101, 1, present_era(&f));
	ssrv_take_copy(&f.server);
	ssrv_restore(&f.server, NULL);
	start_coordinator(&f);
	m = add_member(&f, 3);
	for (int i = 0; i < WAIT_MS && !f.fetches; i++)
		run_ms(&f, 1);
	g_assert_cmpuint(f.fetches, >, 0);
	push_document(&f, 3, 103);
	g_assert_true(is_in_force(&f, 103));
	wait_agreed(&f, 103);
	g_assert_cmpuint(f.c->doc_rev, ==, 3);
	/* One that could not be reached before replaces what was written. */
	m->doc_rev = 5;
	push_document(&f, 5, 105);
	wait_agreed(&f, 105);
	g_assert_cmpuint(f.c->doc_rev, ==, 5);
	remove_member(&f, m);
	stop(&f);
}

/*
 * Guards against a member's document from before the restore that replaces an
 * operator's later change, and against members that refuse this change.
 */
static void test_older_document_of_member(void)
{
	struct co_member *m;
	struct fixture f;

	start_store(&f);
	write_document(&f, 1, 101, 1, present_era(&f));
	ssrv_take_copy(&f.server);
	ssrv_restore(&f.server, NULL);
	write_document(&f, 2, 102, 0, present_era(&f));
	start_coordinator(&f);
	wait_agreed(&f, 102);
	push_document(&f, 3, 103);
	g_assert_true(is_in_force(&f, 102));
	m = add_member(&f, 3);
	for (int i = 0; i < WAIT_MS && f.c->doc_rev <= 3; i++)
		run_ms(&f, 1);
	g_assert_cmpuint(f.c->doc_rev, >, 3);
	wait_agreed(&f, 102);
	g_assert_cmpuint(f.fetches, ==, 0);
	remove_member(&f, m);
	stop(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/document_restore/written_back", test_written_back);
	g_test_add_func("/document_restore/same_mod_revision",
			test_same_mod_revision);
	g_test_add_func("/document_restore/heads_without_era",
			test_heads_without_era);
	g_test_add_func("/document_restore/changed_after_restore",
			test_changed_after_restore);
	g_test_add_func("/document_restore/document_of_member",
			test_document_of_member);
	g_test_add_func("/document_restore/older_document_of_member",
			test_older_document_of_member);
	return g_test_run();
}
