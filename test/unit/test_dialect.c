#include "platform/platform.h"
#include "routing/gate.h"
#include "test/unit/fake.h"
#include "transport/httpc.h"

/*
 * Tests of the gate with a platform's dialect and a target whose answers are
 * valid or not.
 */

#define ID "9c41d07be2a35f68"
#define SEALED                                 \
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: " ID \
	"\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok"

struct fixture {
	struct ev_loop *loop;
	struct fake_view view;
	struct fake_target target;
	struct cnt cnt;
	struct gate *gate;
	unsigned refused; /* target_lost calls with ended set */
	unsigned silent;  /* other target_lost calls */
};

static void on_released(uint32_t slot, void *priv)
{
	(void)slot;
	(void)priv;
}

static void on_target_lost(int ended, void *priv)
{
	struct fixture *f = priv;

	if (ended)
		f->refused++;
	else
		f->silent++;
}

static const struct gate_ops gate_ops = {
	.released = on_released,
	.target_lost = on_target_lost,
};

static void setup(struct fixture *f)
{
	Wire__Target a;

	memset(f, 0, sizeof(*f));
	f->loop = ev_loop_new(EVFLAG_AUTO);
	fake_view_init(&f->view);
	fake_target_init(&f->target, f->loop);
	cnt_init(&f->cnt);
	g_assert_cmpint(gate_new(&f->gate, f->loop, &f->view.view, &f->cnt,
				 &platform_dialect, &gate_ops, f),
			==, ERR_OK);
	gate_set_adaptive(f->gate, 0);
	a = fake_announcement(&f->target, 2);
	a.service = "desk";
	a.id = "i-7";
	gate_set_target(f->gate, &a);
}

static void teardown(struct fixture *f)
{
	gate_free(f->gate);
	fake_target_finish(&f->target);
	fake_view_finish(&f->view);
	cnt_finish(&f->cnt);
	ev_loop_destroy(f->loop);
}

/* A request for a service without keys. */
static Wire__Forward forward(uint64_t attempt, int idempotent)
{
	Wire__Forward m = fake_forward(attempt, "POST");

	m.service = "desk";
	m.key = "";
	m.caller = "cal";
	m.request_id = ID;
	m.idempotent = idempotent;
	return m;
}

static void submit_and_wait(struct fixture *f, struct fake_reply *r,
			    uint64_t attempt)
{
	Wire__Forward m = forward(attempt, 0);

	memset(r, 0, sizeof(*r));
	gate_submit(f->gate, &m, fake_on_reply, r);
	fake_wait(f->loop, &r->count, 1);
}

/* Guards against missing instance, caller or deadline headers at the target. */
static void test_headers(void)
{
	struct fake_reply r;
	struct fixture f;

	setup(&f);
	f.target.answer = SEALED;
	submit_and_wait(&f, &r, 1);
	g_assert_cmpint(r.outcome, ==, OUTCOME_ANSWERED);
	g_assert_cmpstr(r.body, ==, "ok");
	g_assert_nonnull(
		strstr(f.target.last_request, "\r\nX-Expected-Instance: i-7"));
	g_assert_nonnull(
		strstr(f.target.last_request, "\r\nX-Caller-Service: cal"));
	g_assert_nonnull(
		strstr(f.target.last_request, "\r\nX-Deadline-Remaining: "));
	g_assert_null(strstr(f.target.last_request, "Monsoonpin"));
	teardown(&f);
}

/*
 * Guards against bytes that are wrongly taken as the answer to this request: a
 * late answer to another request, a success without the target's seal or the
 * request's id, an encoded body, and bytes that are not HTTP.
 */
static void test_rejected_answers(void)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: 0000000000000000\r\n"
		"X-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: " ID
		"\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n"
		"Content-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: " ID
		"\r\nX-Server-Seal: s\r\nContent-Encoding: gzip\r\n"
		"Content-Length: 2\r\n\r\nok",
		"\x01\x02\x03 this is nothing\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		struct fake_reply r;
		struct fixture f;

		setup(&f);
		f.target.answer = answers[i];
		f.target.mode = FAKE_ANSWER_CUT;
		submit_and_wait(&f, &r, 1);
		g_assert_cmpint(r.outcome, ==, OUTCOME_UNKNOWN);
		teardown(&f);
	}
}

static enum fake_mode answer_late(struct fake_target *t, const char *request)
{
	(void)request;
	/* The second request gets the answer to another one. */
	t->answer =
		t->runs == 2
			? "HTTP/1.1 200 OK\r\nX-Attempt-Id: 00\r\n"
			  "X-Server-Seal: s\r\nContent-Length: 4\r\n\r\nlate"
			: SEALED;
	return FAKE_ANSWER;
}

/*
 * Guards against a series of lost requests after one late, duplicate answer:
 * on a reused connection each request then gets the answer to the one before.
 * With the fault garble "extra late", one request in 30 was lost for 5 s.
 */
static void test_late_answers(void)
{
	struct fake_reply r;
	struct fixture f;
	unsigned connections;

	setup(&f);
	f.target.choose = answer_late;
	submit_and_wait(&f, &r, 1);
	g_assert_cmpint(r.outcome, ==, OUTCOME_ANSWERED);
	submit_and_wait(&f, &r, 2);
	g_assert_cmpint(r.outcome, ==, OUTCOME_UNKNOWN);
	connections = f.target.connections;
	for (uint64_t i = 3; i < 8; i++) {
		submit_and_wait(&f, &r, i);
		g_assert_cmpint(r.outcome, ==, OUTCOME_ANSWERED);
	}
	g_assert_cmpuint(f.target.connections, ==, connections + 5);
	teardown(&f);
}

static enum fake_mode answer_joined(struct fake_target *t, const char *request)
{
	(void)request;
	t->answer = t->runs == 2 ? "HTTP/1.1 500 No\r\nX-Att" SEALED : SEALED;
	return FAKE_ANSWER;
}

/*
 * Guards against the reuse of connections to a target that has just written a
 * part of one answer and then another, and against a fault that is not counted.
 */
static void test_joined_answer(void)
{
	struct fake_reply r;
	struct fixture f;
	struct buf metrics;

	setup(&f);
	f.target.choose = answer_joined;
	submit_and_wait(&f, &r, 1);
	g_assert_cmpint(r.outcome, ==, OUTCOME_ANSWERED);
	submit_and_wait(&f, &r, 2);
	g_assert_cmpint(r.outcome, ==, OUTCOME_UNKNOWN);
	g_assert_cmpint(r.error, ==, ERR_MALFORMED);
	g_assert_cmpuint(f.target.connections, ==, 1);
	for (uint64_t i = 3; i < 6; i++) {
		submit_and_wait(&f, &r, i);
		g_assert_cmpint(r.outcome, ==, OUTCOME_ANSWERED);
	}
	g_assert_cmpuint(f.target.connections, ==, 4);
	buf_init(&metrics);
	cnt_write(&f.cnt, &metrics);
	g_assert_nonnull(strstr(buf_text(&metrics),
				"gate_answer_faults_total{fault=\"line\"} 1"));
	buf_finish(&metrics);
	teardown(&f);
}

/*
 * Guards against the loss of the answer to a request without an id, which the
 * target repeats as it came.
 */
static void test_no_request_id(void)
{
	Wire__Forward m = forward(1, 0);
	struct fake_reply r = { 0 };
	struct fixture f;

	setup(&f);
	m.request_id = "";
	f.target.answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id:\r\n"
			  "X-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok";
	gate_submit(f.gate, &m, fake_on_reply, &r);
	fake_wait(f.loop, &r.count, 1);
	g_assert_cmpint(r.outcome, ==, OUTCOME_ANSWERED);
	teardown(&f);
}

/* Guards against loss of answers without a length, and unnoticed cut ones. */
static void test_unframed(void)
{
	struct fake_reply r;
	struct fixture f;

	setup(&f);
	f.target.answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " ID
			  "\r\nX-Server-Seal: s\r\n\r\nwhole";
	f.target.mode = FAKE_ANSWER_CUT;
	submit_and_wait(&f, &r, 1);
	g_assert_cmpint(r.outcome, ==, OUTCOME_ANSWERED);
	g_assert_cmpstr(r.body, ==, "whole");
	f.target.answer =
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: " ID
		"\r\nX-Server-Seal: s\r\nContent-Length: 9\r\n\r\ncut";
	submit_and_wait(&f, &r, 2);
	g_assert_cmpint(r.outcome, ==, OUTCOME_UNKNOWN);
	teardown(&f);
}

/* More than the sockets of a connection hold. */
#define LARGE_BODY_BYTES (16 * 1024 * 1024)

/* Sends the answer on a connection with unread bytes and resets it. */
static void answer_and_reset(struct fixture *f, int fd, const char *answer,
			     int pauses, int aborts)
{
	const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
	char some[4096];

	g_assert_cmpint(recv(fd, some, sizeof(some), 0), >, 0);
	fake_write(fd, answer);
	if (pauses)
		fake_pause(f->loop, 20);
	if (aborts)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	/* Without the option too: there are bytes that were not read. */
	close(fd);
}

/*
 * Guards against an answer without a length that is passed on as whole although
 * its connection was reset: only the regular end of the connection ends it. The
 * request's body is still being sent.
 */
static void test_reset_during_send(void)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: " ID
		"\r\nX-Server-Seal: s\r\n\r\npart",
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: " ID
		"\r\nX-Server-Seal: s\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: " ID
		"\r\nX-Server-Seal: s\r\nConnection: close\r\n\r\npart",
	};
	char *body = g_malloc0(LARGE_BODY_BYTES);

	for (unsigned i = 0; i < 4 * G_N_ELEMENTS(answers); i++) {
		Wire__Forward m = forward(1, 0);
		struct fake_reply r = { 0 };
		struct fixture f;
		Wire__Target a;
		unsigned port;
		int listener, fd;

		setup(&f);
		listener = fake_listen(&port);
		a = fake_announcement(&f.target, 2);
		a.service = "desk";
		a.port = port;
		gate_set_target(f.gate, &a);
		m.body.data = (uint8_t *)body;
		m.body.len = LARGE_BODY_BYTES;
		gate_submit(f.gate, &m, fake_on_reply, &r);
		fake_pause(f.loop, 20);
		fd = accept(listener, NULL, NULL);
		g_assert_cmpint(fd, >=, 0);
		answer_and_reset(&f, fd, answers[i / 4], i & 1, i & 2);
		fake_wait(f.loop, &r.count, 1);
		g_test_message("case %u: outcome %d error %s", i,
			       (int)r.outcome, err_name(r.error));
		g_assert_cmpint(r.outcome, ==, OUTCOME_UNKNOWN);
		close(listener);
		teardown(&f);
	}
	g_free(body);
}

/*
 * Guards against an answer whose head was cut off and that is passed on as
 * whole: the target stops at any byte of the head and closes the connection.
 */
static void test_cut_head(void)
{
	static const char *const answers[] = {
		SEALED,
		/* Its end is the end of the connection. */
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: " ID
		"\r\nX-Server-Seal: s\r\nX-Server-Load: 1,0,4\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: " ID
		"\r\nX-Server-Seal: s\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nX-Attempt-Id: " ID
		"\r\nContent-Length: 0\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		size_t head =
			(size_t)(strstr(answers[i], "\r\n\r\n") - answers[i]) +
			4;

		for (size_t len = 0; len < head; len++) {
			char *cut = g_strndup(answers[i], len);
			struct fake_reply r;
			struct fixture f;

			setup(&f);
			f.target.answer = cut;
			f.target.mode = FAKE_ANSWER_CUT;
			submit_and_wait(&f, &r, 1);
			g_test_message("answer %zu, %zu bytes: %d", i, len,
				       (int)r.outcome);
			g_assert_cmpint(r.outcome, ==, OUTCOME_UNKNOWN);
			teardown(&f);
			g_free(cut);
		}
	}
}

/* Guards against the outcome not-run where the target did not state it. */
static void test_refusals(void)
{
	static const struct {
		const char *answer;
		enum wire_outcome outcome;
	} cases[] = {
		{ "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\n"
		  "Content-Length: 0\r\n\r\n",
		  OUTCOME_NOT_RUN },
		{ "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n",
		  OUTCOME_NOT_RUN },
		{ "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
		  OUTCOME_ANSWERED },
		{ "HTTP/1.1 500 No\r\nX-Attempt-Id: " ID
		  "\r\nX-Server-Seal: s\r\nContent-Length: 0\r\n\r\n",
		  OUTCOME_ANSWERED },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fake_reply r;
		struct fixture f;

		setup(&f);
		f.target.answer = cases[i].answer;
		submit_and_wait(&f, &r, 1);
		g_assert_cmpint(r.outcome, ==, cases[i].outcome);
		teardown(&f);
	}
}

/* The refusal of an earlier request, which the target writes once more. */
#define REFUSAL_OF(id)                         \
	"HTTP/1.1 503 No\r\nX-Attempt-Id: " id \
	"\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
#define REFUSAL_WITHOUT_ID \
	"HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

/*
 * Guards against the outcome not-run for a request that runs: a faulty target
 * writes an earlier refusal once more, where the answer to the next request on
 * that connection is due.
 */
static void test_repeated_refusal(void)
{
	static const char *const repeated[] = { REFUSAL_OF("00"),
						REFUSAL_WITHOUT_ID };

	for (size_t i = 0; i < G_N_ELEMENTS(repeated); i++) {
		struct fake_reply r;
		struct fixture f;

		setup(&f);
		f.target.answer = REFUSAL_OF(ID);
		submit_and_wait(&f, &r, 1);
		g_assert_cmpint(r.outcome, ==, OUTCOME_NOT_RUN);
		f.target.answer = repeated[i];
		submit_and_wait(&f, &r, 2);
		g_assert_cmpuint(f.target.connections, ==, 1);
		g_assert_cmpint(r.outcome, ==, OUTCOME_UNKNOWN);
		teardown(&f);
	}
}

/*
 * Guards against the same for a request that was refused and is sent once more:
 * the refusal has its own id.
 */
static void test_repeated_refusal_of_retry(void)
{
	Wire__Forward retry = forward(2, 0);
	struct fake_reply r;
	struct fixture f;

	setup(&f);
	f.target.answer = REFUSAL_OF(ID);
	submit_and_wait(&f, &r, 1);
	g_assert_cmpint(r.outcome, ==, OUTCOME_NOT_RUN);
	f.target.answer = SEALED;
	retry.sent_before = 1;
	memset(&r, 0, sizeof(r));
	gate_submit(f.gate, &retry, fake_on_reply, &r);
	fake_wait(f.loop, &r.count, 1);
	g_assert_cmpint(r.outcome, ==, OUTCOME_ANSWERED);
	/* Nothing that was written for the first try can come on it. */
	g_assert_cmpuint(f.target.connections, ==, 2);
	teardown(&f);
}

/* Guards against idempotent requests that go on after their caller left. */
static void test_cancel(void)
{
	Wire__Forward idempotent = forward(1, 1);
	Wire__Forward once = forward(2, 0);
	struct fake_reply a = { 0 }, b = { 0 };
	struct fixture f;

	setup(&f);
	f.target.mode = FAKE_SILENT;
	gate_submit(f.gate, &idempotent, fake_on_reply, &a);
	gate_submit(f.gate, &once, fake_on_reply, &b);
	fake_wait(f.loop, &f.target.runs, 2);
	g_assert_cmpuint(gate_in_flight(f.gate), ==, 2);
	gate_detach_requester(f.gate, fake_on_reply, &a);
	g_assert_cmpuint(gate_in_flight(f.gate), ==, 1);
	/* A request that may run only once goes on: it may be done already. */
	gate_detach_requester(f.gate, fake_on_reply, &b);
	g_assert_cmpuint(gate_in_flight(f.gate), ==, 1);
	g_assert_cmpuint(a.count + b.count, ==, 0);
	teardown(&f);
}

/* Guards against new requests at a target that is leaving. */
static void test_leaving(void)
{
	struct fake_reply r;
	struct fixture f;

	setup(&f);
	f.target.answer = SEALED;
	gate_set_target_leaving(f.gate);
	submit_and_wait(&f, &r, 1);
	g_assert_cmpint(r.outcome, ==, OUTCOME_NOT_RUN);
	g_assert_cmpint(r.error, ==, ERR_NO_TARGET);
	g_assert_cmpuint(f.target.runs, ==, 0);
	teardown(&f);
}

/* Guards against a request without a key that runs in a service with keys. */
static void test_key_required(void)
{
	Wire__Forward m = forward(1, 0);
	struct fake_reply r = { 0 };
	struct fixture f;

	setup(&f);
	m.service = FAKE_SERVICE;
	gate_submit(f.gate, &m, fake_on_reply, &r);
	fake_wait(f.loop, &r.count, 1);
	g_assert_cmpint(r.outcome, ==, OUTCOME_NOT_RUN);
	g_assert_cmpint(r.error, ==, ERR_NO_KEY);
	teardown(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_test_add_func("/dialect/headers", test_headers);
	g_test_add_func("/dialect/rejected_answers", test_rejected_answers);
	g_test_add_func("/dialect/late_answers", test_late_answers);
	g_test_add_func("/dialect/joined_answer", test_joined_answer);
	g_test_add_func("/dialect/no_request_id", test_no_request_id);
	g_test_add_func("/dialect/unframed", test_unframed);
	g_test_add_func("/dialect/reset_during_send", test_reset_during_send);
	g_test_add_func("/dialect/cut_head", test_cut_head);
	g_test_add_func("/dialect/refusals", test_refusals);
	g_test_add_func("/dialect/repeated_refusal", test_repeated_refusal);
	g_test_add_func("/dialect/repeated_refusal_of_retry",
			test_repeated_refusal_of_retry);
	g_test_add_func("/dialect/cancel", test_cancel);
	g_test_add_func("/dialect/leaving", test_leaving);
	g_test_add_func("/dialect/key_required", test_key_required);
	return g_test_run();
}
