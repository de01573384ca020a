#include "ctl/ctl.h"
#include "standins/common_storesrv.h"

#include <glib.h>
#include <string.h>

/* Stand-ins for the store and the coordinator, in the client's process. */
struct fixture {
	struct ssrv store;
	struct httpd coordinator;
	char endpoint[64];
	/*
	 * Status that the coordinator answers: the first time, and after that.
	 * NULL: it answers 503.
	 */
	const char *answers[2];
	int request_count;
	struct ctl c;
	ev_timer timer;
	unsigned changes; /* number of changes that on_changes_timer makes */
};

static void on_request(struct httpd_request *r, void *priv)
{
	struct fixture *f = priv;
	const char *answer = f->answers[f->request_count ? 1 : 0];

	f->request_count++;
	httpd_answer_text(r, answer ? 200 : 503, "application/json",
			  answer ? answer : "busy");
}

static unsigned get_port(struct httpd *d)
{
	return httpd_port(d);
}

static void start_fixture(struct fixture *f)
{
	static const struct httpd_ops ops = { .request = on_request };
	struct err_info info;
	char record[200];
	enum err e;

	memset(f, 0, sizeof(*f));
	f->c.loop = ev_default_loop(0);
	e = ssrv_init(&f->store, f->c.loop, "127.0.0.1", 0, 1, 0, &info);
	g_assert_cmpint(e, ==, ERR_OK);
	e = httpd_init(&f->coordinator, f->c.loop, "127.0.0.1", 0, 1000, 5,
		       &ops, f, &info);
	g_assert_cmpint(e, ==, ERR_OK);
	g_snprintf(f->endpoint, sizeof(f->endpoint), "http://127.0.0.1:%u",
		   ssrv_port(&f->store));
	f->c.interface = &ctl_interface_own;
	f->c.endpoint = f->endpoint;
	f->c.prefix = "/mpin/";
	f->c.author = "ada";
	f->c.wait_ms = 400;
	e = ctl_open(&f->c, &info);
	g_assert_cmpint(e, ==, ERR_OK);
	g_snprintf(record, sizeof(record),
		   "{\"term\":1,\"node\":\"n01\",\"address\":\"127.0.0.1\","
		   "\"peer_port\":1,\"admin_port\":%u}",
		   get_port(&f->coordinator));
	sdb_put(&f->store.db, "/mpin/coord", record, strlen(record), 0);
	sdb_commit(&f->store.db);
}

static void stop_fixture(struct fixture *f)
{
	ctl_close(&f->c);
	httpd_finish(&f->coordinator);
	ssrv_finish(&f->store);
}

/* Writes another operator's changes directly to the store's database. */
static void on_changes_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct fixture *f = w->data;
	const struct sdb_kv *kv = sdb_get(&f->store.db, "/mpin/doc/head");
	struct doc_head head = { 0 };
	struct buf out;
	enum err e = ERR_OK;

	(void)loop;
	(void)events;
	if (kv)
		e = doc_head_parse(&head, (const char *)kv->value,
				   kv->value_len);
	g_assert_cmpint(e, ==, ERR_OK);
	for (unsigned i = 0; i < f->changes; i++) {
		struct doc_change change = { .revision = head.revision + 1,
					     .author = "bob" };

		g_snprintf(change.attempt, sizeof(change.attempt), "bob-%u", i);
		doc_change_add_section(&change, "service/kiln");
		doc_head_add_change(&head, &change);
	}
	buf_init(&out);
	e = doc_head_write(&head, &out);
	g_assert_cmpint(e, ==, ERR_OK);
	sdb_put(&f->store.db, "/mpin/doc/head", out.data, out.len, 0);
	sdb_commit(&f->store.db);
	buf_finish(&out);
	doc_head_finish(&head);
}

static void on_store_up_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct fixture *f = w->data;

	(void)loop;
	(void)events;
	ssrv_up(&f->store);
}

static void start_timer(struct fixture *f, double seconds,
			void (*fn)(struct ev_loop *loop, ev_timer *w,
				   int events))
{
	ev_timer_init(&f->timer, fn, seconds, 0.);
	f->timer.data = f;
	ev_now_update(f->c.loop);
	ev_timer_start(f->c.loop, &f->timer);
}

/* Commits a document without stops and services to the store. */
static void commit_stops(struct fixture *f, struct ctl_commit *result)
{
	struct doc_sections next = { 0 };
	struct ctl_doc base;
	enum ctl_exit read_result = ctl_doc_read(&f->c, &base);

	g_assert_cmpint(read_result, ==, CTL_DONE);
	doc_sections_set(&next, "stops", "[]", 2);
	ctl_commit(&f->c, &base, &next, result);
	doc_sections_finish(&next);
	ctl_doc_finish(&base);
}

/*
 * Guards against a change that is reported as failed although it was written:
 * the store's answer is lost, and other changes follow before doc/head is read
 * back. The head still lists the attempt.
 */
static void test_answer_lost_then_changes(void)
{
	struct ctl_commit result;
	struct fixture f;

	start_fixture(&f);
	f.store.lose_count = 1;
	f.store.lose_silently = 1;
	f.changes = DOC_MAX_RECENT - 1;
	start_timer(&f, 0.5, on_changes_timer);
	commit_stops(&f, &result);
	g_assert_cmpint(result.exit, ==, CTL_DONE);
	g_assert_cmpstr(result.result, ==, "written");
	g_assert_cmpuint(result.revision, ==, 1);
	ctl_commit_finish(&result);
	stop_fixture(&f);
}

/*
 * Guards against a change that is reported as written or failed although that
 * is unknown: the store's answer is lost, and so many other changes follow that
 * the head no longer lists the attempt.
 */
static void test_answer_lost_then_unlisted(void)
{
	struct ctl_commit result;
	struct fixture f;

	start_fixture(&f);
	f.store.lose_count = 1;
	f.store.lose_silently = 1;
	f.changes = DOC_MAX_RECENT;
	start_timer(&f, 0.5, on_changes_timer);
	commit_stops(&f, &result);
	g_assert_cmpint(result.exit, ==, CTL_FAILED);
	g_assert_cmpstr(result.result, ==, "unknown");
	g_assert_cmpuint(result.current_head.revision, ==, DOC_MAX_RECENT + 1);
	ctl_commit_finish(&result);
	stop_fixture(&f);
}

/*
 * Guards against a change that is given up although it was not written: the
 * request is lost, and the store answers again after a while.
 */
static void test_request_lost_then_resent(void)
{
	struct ctl_commit result;
	struct doc_sections next = { 0 };
	struct ctl_doc base;
	struct fixture f;
	enum ctl_exit read_result;

	start_fixture(&f);
	read_result = ctl_doc_read(&f.c, &base);
	g_assert_cmpint(read_result, ==, CTL_DONE);
	ssrv_down(&f.store, SSRV_SILENT);
	start_timer(&f, 2.5, on_store_up_timer);
	doc_sections_set(&next, "stops", "[]", 2);
	ctl_commit(&f.c, &base, &next, &result);
	g_assert_cmpstr(result.result, ==, "written");
	g_assert_cmpuint(result.revision, ==, 1);
	ctl_commit_finish(&result);
	ctl_doc_finish(&base);
	/* The attempt was written once. */
	read_result = ctl_doc_read(&f.c, &base);
	g_assert_cmpint(read_result, ==, CTL_DONE);
	g_assert_cmpuint(base.head.revision, ==, 1);
	g_assert_cmpuint(base.head.recent_count, ==, 1);
	ctl_doc_finish(&base);
	doc_sections_finish(&next);
	stop_fixture(&f);
}

/* Reads the document for a change and adds the service to it. */
static void commit_service(struct fixture *f, const char *service,
			   struct ctl_doc *base, struct ctl_commit *result)
{
	char *text = g_strdup_printf("{\"version\":1,\"services\":{\"%s\":{"
				     "\"keyed\":false}}}",
				     service);
	struct doc_sections next;

	g_assert_cmpint(ctl_doc_read_for_change(&f->c, base), ==, CTL_DONE);
	g_assert_cmpint(doc_split(text, strlen(text), &next, NULL), ==, ERR_OK);
	ctl_commit(&f->c, base, &next, result);
	g_assert_cmpstr(result->result, ==, "written");
	doc_sections_finish(&next);
	g_free(text);
}

static void read_head(const struct fixture *f, struct doc_head *head)
{
	const struct sdb_kv *kv = sdb_get(&f->store.db, "/mpin/doc/head");

	g_assert_nonnull(kv);
	g_assert_cmpint(
		doc_head_parse(head, (const char *)kv->value, kv->value_len),
		==, ERR_OK);
}

/*
 * Guards against a change to a restored document that gets a revision which the
 * nodes have had with another content, and against one that the operator is not
 * told of. A new store and the next changes must not count as restored.
 */
static void test_change_after_restore(void)
{
	struct ctl_commit result;
	struct doc_head head;
	struct ctl_doc base;
	struct fixture f;
	uint64_t restored;

	start_fixture(&f);
	for (unsigned i = 1; i <= 2; i++) {
		commit_service(&f, i == 1 ? "kiln" : "desk", &base, &result);
		g_assert_false(base.from_copy);
		g_assert_cmpuint(result.revision, ==, i);
		ctl_commit_finish(&result);
		ctl_doc_finish(&base);
		if (i == 1)
			ssrv_take_copy(&f.store);
	}
	ssrv_restore(&f.store, NULL);
	commit_service(&f, "dues", &base, &result);
	g_assert_true(base.from_copy);
	g_assert_cmpuint(base.head.revision, ==, 1);
	restored = result.revision;
	g_assert_cmpuint(restored, >, 1000000);
	ctl_commit_finish(&result);
	ctl_doc_finish(&base);
	read_head(&f, &head);
	g_assert_cmpuint(head.revision, ==, restored);
	g_assert_true(doc_head_is_newest(&head, f.store.db.cluster_id));
	doc_head_finish(&head);
	commit_service(&f, "kiln", &base, &result);
	g_assert_false(base.from_copy);
	g_assert_cmpuint(result.revision, ==, restored + 1);
	ctl_commit_finish(&result);
	ctl_doc_finish(&base);
	stop_fixture(&f);
}

/* Writes the head back as a coordinator does that has revision 7. */
static void on_write_back_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct doc_change change = { .revision = 7, .author = "n01" };
	struct fixture *f = w->data;
	struct doc_head head;
	struct buf out;

	(void)loop;
	(void)events;
	read_head(f, &head);
	head.era = f->store.db.cluster_id;
	head.written_back = 1;
	doc_head_add_change(&head, &change);
	buf_init(&out);
	g_assert_cmpint(doc_head_write(&head, &out), ==, ERR_OK);
	sdb_put(&f->store.db, "/mpin/doc/head", out.data, out.len, 0);
	sdb_commit(&f->store.db);
	buf_finish(&out);
	doc_head_finish(&head);
}

/*
 * Guards against a change that is made to the restored document although the
 * coordinator is about to write the newer one back, and against a revision that
 * a node may have which the coordinator could not reach.
 */
static void test_change_after_write_back(void)
{
	struct ctl_commit result;
	struct doc_head head;
	struct ctl_doc base;
	struct fixture f;

	start_fixture(&f);
	commit_service(&f, "kiln", &base, &result);
	ctl_commit_finish(&result);
	ctl_doc_finish(&base);
	ssrv_take_copy(&f.store);
	ssrv_restore(&f.store, NULL);
	start_timer(&f, 0.4, on_write_back_timer);
	commit_service(&f, "dues", &base, &result);
	g_assert_false(base.from_copy);
	g_assert_cmpuint(base.head.revision, ==, 7);
	g_assert_cmpuint(result.revision, >, 1000000);
	ctl_commit_finish(&result);
	ctl_doc_finish(&base);
	read_head(&f, &head);
	g_assert_true(doc_head_is_newest(&head, f.store.db.cluster_id));
	doc_head_finish(&head);
	stop_fixture(&f);
}

#define NODE(name, state, more, revision)                              \
	"{\"id\":1,\"name\":\"" name "\",\"state\":\"" state "\"" more \
	",\"doc_revision\":" revision "}"
#define STATUS(revision, nodes)                                          \
	"{\"term\":1,\"coordinator\":\"n01\",\"doc_revision\":" revision \
	",\"nodes\":[" nodes "]}"

/* Guards against a wait that ends before all nodes have the revision. */
static void test_wait_in_force(void)
{
	struct fixture f;
	enum ctl_exit result;
	json_t *missing;

	start_fixture(&f);
	f.answers[0] = STATUS("3", NODE("n01", "live", "", "2"));
	f.answers[1] = STATUS("3", NODE("n01", "live", "",
					"3") "," NODE("n02", "lost", "", "1"));
	result = ctl_wait_in_force(&f.c, 3, &missing);
	g_assert_cmpint(result, ==, CTL_DONE);
	g_assert_cmpint(f.request_count, ==, 2);
	json_decref(missing);
	stop_fixture(&f);
}

/* Guards against a pending change that does not name all missing nodes. */
static void test_wait_names_missing(void)
{
	struct fixture f;
	enum ctl_exit result;
	json_t *missing;
	char *text;

	start_fixture(&f);
	f.answers[0] = STATUS(
		"3",
		NODE("n01", "draining", "", "2") "," NODE(
			"n02", "silent", ",\"maybe_held\":true",
			"1") "," NODE("n03", "lost", ",\"maybe_held\":true",
				      "1") "," NODE("n04", "live", "", "4"));
	f.answers[1] = f.answers[0];
	result = ctl_wait_in_force(&f.c, 3, &missing);
	g_assert_cmpint(result, ==, CTL_PENDING);
	text = json_dumps(missing, JSON_COMPACT);
	g_assert_cmpstr(text, ==,
			"[\"n01 (draining, revision 2)\",\"n02 (silent, "
			"revision 1)\",\"n03 (lost, revision 1)\"]");
	free(text);
	json_decref(missing);
	/* The coordinator itself does not have revision 4. */
	result = ctl_wait_in_force(&f.c, 4, &missing);
	g_assert_cmpint(result, ==, CTL_PENDING);
	g_assert_cmpuint(json_array_size(missing), ==, 4);
	json_decref(missing);
	stop_fixture(&f);
}

/*
 * Guards against a change that is made to the document of a copy without an
 * era, as earlier versions wrote it, or to none, although the coordinator has a
 * newer one in force.
 */
static void test_change_of_lost_document(void)
{
	struct ctl_commit result;
	struct ctl_doc base;
	struct fixture f;

	start_fixture(&f);
	f.answers[0] = STATUS("7", "");
	f.answers[1] = f.answers[0];
	commit_service(&f, "kiln", &base, &result);
	g_assert_true(base.from_copy);
	g_assert_cmpuint(base.in_force, ==, 7);
	g_assert_cmpuint(result.revision, >, 1000000);
	ctl_commit_finish(&result);
	ctl_doc_finish(&base);
	stop_fixture(&f);
}

/*
 * Guards against a failure that is reported while a new coordinator takes over
 * and answers 503.
 */
static void test_coordinator_not_ready(void)
{
	struct fixture f;
	enum ctl_exit result;
	json_t *status;

	start_fixture(&f);
	f.answers[1] = STATUS("3", "");
	result = ctl_coord_get_json(&f.c, "/status", 1, &status);
	g_assert_cmpint(result, ==, CTL_DONE);
	g_assert_cmpint(f.request_count, ==, 2);
	json_decref(status);
	stop_fixture(&f);
}

static void status_subprocess(void)
{
	struct fixture f;
	enum ctl_exit result;

	start_fixture(&f);
	f.answers[0] =
		"{\"term\":4,\"coordinator\":\"n01\",\"map_revision\":88,"
		"\"doc_revision\":5,\"hold\":true,\"pins\":2,\"nodes\":[{\"id\":1,"
		"\"name\":\"n01\",\"region\":\"sur\",\"data_centre\":\"s1\","
		"\"state\":\"live\",\"maybe_held\":false,\"doc_revision\":5,"
		"\"map_revision\":88,\"service\":\"kiln\",\"slots\":9,"
		"\"requests\":7,\"in_flight\":1},{\"id\":2,\"name\":\"n02\","
		"\"state\":\"silent\",\"maybe_held\":true,\"doc_revision\":5},"
		"{\"id\":3,\"name\":\"n03\",\"state\":\"live\","
		"\"doc_revision\":4}],\"services\":[{\"name\":\"kiln\","
		"\"shards\":64,\"owned\":60,\"unowned\":4,\"peak_to_mean\":"
		"1.25,\"moves\":3,\"moves_by_cause\":{\"lost\":3},"
		"\"unavailable_ms\":12}]}";
	result = ctl_status(&f.c);
	g_assert_cmpint(result, ==, CTL_DONE);
	stop_fixture(&f);
}

/*
 * Guards against a status without its lines of attention, which name the states
 * that an operator must act on.
 */
static void test_status(void)
{
	if (g_test_subprocess()) {
		status_subprocess();
		return;
	}
	g_test_trap_subprocess(NULL, 0, 0);
	g_test_trap_assert_passed();
	g_test_trap_assert_stdout(
		"*coordinator n01, term 4, map revision 88, document revision "
		"5, pins 2, hold yes\n"
		"*n01 *sur *s1 *live *no *5 *88 *kiln *9 *7 *1\n"
		"*kiln *64 *60 *4 *1.25 *3 *12 *lost 3\n"
		"*attention: hold, nothing moves\n"
		"attention: n02 may hold its slots\n"
		"attention: n03 has document revision 4 of 5\n"
		"attention: n03 has no target\n"
		"attention: kiln has 4 unowned slots\n*");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ctl/answer_lost_then_changes",
			test_answer_lost_then_changes);
	g_test_add_func("/ctl/answer_lost_then_unlisted",
			test_answer_lost_then_unlisted);
	g_test_add_func("/ctl/request_lost_then_resent",
			test_request_lost_then_resent);
	g_test_add_func("/ctl/change_after_restore", test_change_after_restore);
	g_test_add_func("/ctl/change_after_write_back",
			test_change_after_write_back);
	g_test_add_func("/ctl/change_of_lost_document",
			test_change_of_lost_document);
	g_test_add_func("/ctl/wait_in_force", test_wait_in_force);
	g_test_add_func("/ctl/wait_names_missing", test_wait_names_missing);
	g_test_add_func("/ctl/coordinator_not_ready",
			test_coordinator_not_ready);
	g_test_add_func("/ctl/status", test_status);
	return g_test_run();
}
