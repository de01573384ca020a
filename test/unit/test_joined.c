#include "common/log.h"
#include "platform/platform.h"
#include "routing/gate.h"
#include "test/unit/fake.h"
#include "transport/httpc.h"

#include <netinet/tcp.h>

/*
 * Tests of the gate with a target that keeps its connection open and writes the
 * first N bytes of one answer, the part, and then its own whole answer to the
 * waiting request. For each N the result must be unknown or exactly that
 * answer. It must never have the status of the one and the headers or the body
 * of the other.
 */

#define ID "9c41d07be2a35f68"
#define OTHER "4be07f12c9a8d653"
/* Without a result after this time, the target closes the connection. */
#define QUIET_SECONDS 0.005
#define LONG_REASON                                                    \
	"Accepted after a number of attempts at the furnace that was " \
	"closed for the day, and then opened once more"

struct answer {
	const char *name;
	const char *bytes;
	unsigned status;
	const char *body; /* without the framing of chunks */
	int closes;	  /* the end of the connection ends it */
	int refuses;	  /* the target did not run the request */
	int other_id;	  /* it answers another request */
};

enum pace {
	PACE_ONE_SEND,	/* the part and the answer at once */
	PACE_TWO_SENDS, /* the client reads in between */
	PACE_BYTES,	/* one byte, then the client reads */
};

/* The own answer that follows a part, and how they are sent. */
struct joined {
	const struct answer *part;
	const struct answer *own;
	enum pace pace;
	int native;
	int idempotent;
	int sent_before; /* the request, so that an earlier answer has its id */
};

struct fixture {
	struct ev_loop *loop;
	struct fake_view view;
	struct fake_target target;
	struct cnt cnt;
	struct gate *gate;
	int native;
};

struct reply {
	unsigned count;
	enum wire_outcome outcome;
	enum err error;
	unsigned status;
	GString *headers; /* "Name: value\n" lines */
	GString *body;
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

/* Starts a gate that knows nothing of the earlier ones. */
static void start_gate(struct fixture *f)
{
	Wire__Target a;

	g_assert_cmpint(
		gate_new(&f->gate, f->loop, &f->view.view, &f->cnt,
			 f->native ? &dialect_native : &platform_dialect,
			 &gate_ops, f),
		==, ERR_OK);
	gate_set_adaptive(f->gate, 0);
	a = fake_announcement(&f->target, 2);
	if (!f->native)
		a.service = "desk";
	gate_set_target(f->gate, &a);
}

static void setup(struct fixture *f, int native)
{
	memset(f, 0, sizeof(*f));
	f->native = native;
	f->loop = ev_loop_new(EVFLAG_AUTO);
	fake_view_init(&f->view);
	fake_target_init(&f->target, f->loop);
	cnt_init(&f->cnt);
	start_gate(f);
}

static void teardown(struct fixture *f)
{
	gate_free(f->gate);
	fake_target_finish(&f->target);
	fake_view_finish(&f->view);
	cnt_finish(&f->cnt);
	ev_loop_destroy(f->loop);
}

static void reply_init(struct reply *r)
{
	memset(r, 0, sizeof(*r));
	r->headers = g_string_new(NULL);
	r->body = g_string_new(NULL);
}

static void reply_finish(struct reply *r)
{
	g_string_free(r->headers, TRUE);
	g_string_free(r->body, TRUE);
}

static void on_reply(const Wire__ForwardReply *reply, void *priv)
{
	struct reply *r = priv;

	r->count++;
	r->outcome = reply->outcome;
	r->error = reply->error;
	r->status = reply->status;
	for (size_t i = 0; i < reply->n_headers; i++)
		g_string_append_printf(r->headers, "%s: %s\n",
				       reply->headers[i]->name,
				       reply->headers[i]->value);
	if (reply->body.len)
		g_string_append_len(r->body, (const char *)reply->body.data,
				    (gssize)reply->body.len);
}

/* Submits a request with the id ID, and starts to record its result. */
static void submit(struct fixture *f, struct reply *r, uint64_t attempt,
		   const struct joined *j)
{
	Wire__Forward m = fake_forward(attempt, "POST");

	if (!f->native) {
		m.service = "desk";
		m.key = "";
		m.request_id = ID;
	}
	m.idempotent = j && j->idempotent;
	m.sent_before = j && j->sent_before && attempt > 1;
	reply_init(r);
	gate_submit(f->gate, &m, on_reply, r);
}

/* Returns the length of the head with the empty line. */
static size_t head_len(const char *bytes)
{
	const char *crlf = strstr(bytes, "\r\n\r\n");
	const char *lf = strstr(bytes, "\n\n");

	g_assert_true(crlf || lf);
	return crlf ? (size_t)(crlf - bytes) + 4 : (size_t)(lf - bytes) + 2;
}

static int is_passed_on(const char *line)
{
	static const char *const dropped[] = {
		"Content-Length:", "Transfer-Encoding:", "Connection:",
		"Trailer:", "Monsoonpin-"
	};

	for (size_t i = 0; i < G_N_ELEMENTS(dropped); i++) {
		if (g_ascii_strncasecmp(line, dropped[i], strlen(dropped[i])) ==
		    0)
			return 0;
	}
	return 1;
}

/* Returns the headers of the answer as a reply has them. */
static GString *passed_headers(const struct answer *a)
{
	char *head = g_strndup(a->bytes, head_len(a->bytes));
	char **lines = g_strsplit(head, "\n", 0);
	GString *out = g_string_new(NULL);

	for (size_t i = 1; lines[i]; i++) {
		char *value = strchr(lines[i], ':');

		if (!value || !is_passed_on(lines[i]))
			continue;
		*value++ = 0;
		g_string_append_printf(out, "%s: %s\n", lines[i],
				       g_strstrip(value));
	}
	g_strfreev(lines);
	g_free(head);
	return out;
}

/* Returns 1 if the result is this answer and nothing else. */
static int is_exactly(const struct reply *r, const struct answer *a)
{
	GString *headers;
	int same;

	if (a->refuses)
		return r->outcome == OUTCOME_NOT_RUN &&
		       r->error == ERR_TARGET_REFUSED;
	if (r->outcome != OUTCOME_ANSWERED || r->status != a->status)
		return 0;
	headers = passed_headers(a);
	same = strcmp(r->headers->str, headers->str) == 0 &&
	       strcmp(r->body->str, a->body) == 0;
	g_string_free(headers, TRUE);
	return same;
}

/* Returns the connection of the last request, NULL once it is closed. */
static struct fake_connection *find_connection(const struct fixture *f)
{
	for (unsigned i = f->target.connections; i; i--) {
		struct fake_connection *c = f->target.open[i - 1];

		if (c && c->fd == f->target.last_fd)
			return c;
	}
	return NULL;
}

static void send_bytes(struct fixture *f, const char *bytes, size_t len)
{
	struct fake_connection *c = find_connection(f);

	/* It is NULL or fails once the client has closed the connection. */
	if (c)
		(void)!send(c->fd, bytes, len, MSG_NOSIGNAL);
}

static void let_read(struct fixture *f)
{
	for (int i = 0; i < 2; i++)
		ev_run(f->loop, EVRUN_NOWAIT);
}

/*
 * A connection that the client has closed is reset: thousands in TIME_WAIT
 * would leave no port to later tests.
 */
static void set_reset(int fd, int on)
{
	struct linger reset = { .l_onoff = on };

	g_assert_cmpint(
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset)),
		==, 0);
}

/* An answer may end with this close, so that it is in order. */
static void close_connection(struct fixture *f)
{
	struct fake_connection *c = find_connection(f);

	if (!c)
		return;
	set_reset(c->fd, 0);
	fake_close(c);
}

static void set_options(const struct fixture *f)
{
	int on = 1;

	g_assert_cmpint(setsockopt(f->target.last_fd, IPPROTO_TCP, TCP_NODELAY,
				   &on, sizeof(on)),
			==, 0);
	set_reset(f->target.last_fd, 1);
}

static void write_joined(struct fixture *f, const struct reply *r,
			 const struct joined *j, size_t n)
{
	GString *all = g_string_new_len(j->part->bytes, (gssize)n);

	g_string_append(all, j->own->bytes);
	switch (j->pace) {
	case PACE_ONE_SEND:
		send_bytes(f, all->str, all->len);
		break;
	case PACE_TWO_SENDS:
		send_bytes(f, all->str, n);
		let_read(f);
		send_bytes(f, all->str + n, all->len - n);
		break;
	case PACE_BYTES:
		for (size_t i = 0; i < all->len && !r->count; i++) {
			send_bytes(f, all->str + i, 1);
			let_read(f);
		}
		break;
	}
	if (j->own->closes)
		close_connection(f);
	g_string_free(all, TRUE);
}

/* Waits for the result; a target without one closes the connection. */
static void wait_for_result(struct fixture *f, const struct reply *r)
{
	unsigned over = 0;
	ev_timer quiet;

	ev_timer_init(&quiet, fake_on_pause, QUIET_SECONDS, 0.);
	quiet.data = &over;
	ev_now_update(f->loop);
	ev_timer_start(f->loop, &quiet);
	while (!r->count && !over)
		ev_run(f->loop, EVRUN_ONCE);
	ev_timer_stop(f->loop, &quiet);
	if (!r->count)
		close_connection(f);
	fake_wait(f->loop, &r->count, 1);
}

/* A proper answer, after which the connection is kept. */
static const char *warm_up(const struct fixture *f)
{
	return f->native
		       ? FAKE_OK
		       : "HTTP/1.1 200 OK\r\nX-Attempt-Id: " ID
			 "\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok";
}

/* Returns 1 if the result for the first n bytes of the part is allowed. */
static int is_allowed(const struct joined *j, size_t n, const struct reply *r)
{
	if (is_exactly(r, j->own))
		return 1;
	/* Without a part there is no reason to refuse the answer. */
	if (n > 0 && r->outcome == OUTCOME_UNKNOWN)
		return 1;
	/* The whole part is what the target sent first for this request. */
	return n == strlen(j->part->bytes) && !j->part->other_id &&
	       is_exactly(r, j->part);
}

static void print_result(const struct joined *j, size_t n,
			 const struct reply *r)
{
	g_test_message("%s, %zu bytes, then %s: outcome %d error %d status %u "
		       "body \"%s\" headers\n%s",
		       j->part->name, n, j->own->name, (int)r->outcome,
		       (int)r->error, r->status, r->body->str, r->headers->str);
}

/* Returns the same after it tried this length, and prints it on request. */
static int try_length(struct fixture *f, const struct joined *j, size_t n,
		      int prints)
{
	unsigned connections = f->target.connections;
	struct reply first, r;
	int allowed;

	f->target.runs = 0;
	submit(f, &first, 1, j);
	fake_wait(f->loop, &first.count, 1);
	g_assert_cmpint(first.outcome, ==, OUTCOME_ANSWERED);
	submit(f, &r, 2, j);
	fake_wait(f->loop, &f->target.runs, 2);
	/* What was sent before goes on a connection of its own. */
	g_assert_cmpuint(f->target.connections - connections, ==,
			 1 + (unsigned)j->sent_before);
	set_options(f);
	write_joined(f, &r, j, n);
	wait_for_result(f, &r);
	allowed = is_allowed(j, n, &r);
	if (!allowed && prints)
		print_result(j, n, &r);
	g_assert_cmpuint(f->target.runs, ==, 2);
	g_assert_cmpuint(r.count, ==, 1);
	reply_finish(&first);
	reply_finish(&r);
	return allowed;
}

/* Tries the lengths from..to; prints and fails the test for the bad ones. */
static void try_lengths(const struct joined *j, size_t from, size_t to)
{
	GString *bad = g_string_new(NULL);
	struct fixture f;
	unsigned count = 0;

	setup(&f, j->native);
	f.target.answer = warm_up(&f);
	f.target.later_from_run = 2;
	f.target.mode_later = FAKE_SILENT;
	for (size_t n = from; n <= to; n++) {
		int allowed = try_length(&f, j, n, !count);

		gate_free(f.gate);
		start_gate(&f);
		if (allowed)
			continue;
		g_string_append_printf(bad, " %zu", n);
		count++;
	}
	if (count) {
		g_test_message("BAD %s, then %s: %u of %zu lengths, head %zu, "
			       "whole %zu:%s",
			       j->part->name, j->own->name, count,
			       to - from + 1, head_len(j->part->bytes),
			       strlen(j->part->bytes), bad->str);
		g_test_fail();
	}
	g_string_free(bad, TRUE);
	teardown(&f);
}

static void try_head(const struct joined *j)
{
	try_lengths(j, 0, head_len(j->part->bytes) - 1);
}

static void try_body(const struct joined *j)
{
	try_lengths(j, head_len(j->part->bytes), strlen(j->part->bytes));
}

static const struct answer parts[] = {
	{ .name = "200 to another request",
	  .bytes = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " OTHER
		   "\r\nX-Server-Seal: p\r\nContent-Length: 5\r\n\r\nearly",
	  .status = 200,
	  .body = "early",
	  .other_id = 1 },
	{ .name = "earlier 200, id first",
	  .bytes = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " ID
		   "\r\nX-Server-Seal: p\r\nX-Part: p\r\n"
		   "Content-Length: 5\r\n\r\nearly",
	  .status = 200,
	  .body = "early" },
	{ .name = "earlier 200, id last, lower case",
	  .bytes = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nserver: forge/2\r\n"
		   "x-server-load: 1,0,4\r\nx-part: p\r\nx-server-seal: p\r\n"
		   "x-attempt-id: " ID "\r\n\r\nearly",
	  .status = 200,
	  .body = "early" },
	{ .name = "earlier 200 in chunks",
	  .bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
		   "X-ATTEMPT-ID: " ID "\r\nX-SERVER-SEAL: p\r\nX-Part: p"
		   "\r\n\r\n5\r\nearly\r\n0\r\n\r\n",
	  .status = 200,
	  .body = "early" },
	{ .name = "earlier 200 with line feeds only",
	  .bytes = "HTTP/1.1 200 OK\nX-Part: p\nX-Attempt-Id: " ID
		   "\nX-Server-Seal: p\nContent-Length: 5\n\nearly",
	  .status = 200,
	  .body = "early" },
	{ .name = "earlier 200 with a long reason",
	  .bytes = "HTTP/1.1 200 " LONG_REASON "\r\nX-Attempt-Id: " ID
		   "\r\nX-Server-Seal: p\r\nContent-Length: 0\r\n\r\n",
	  .status = 200,
	  .body = "" },
	{ .name = "500 to another request",
	  .bytes = "HTTP/1.1 500 Cold\r\nX-Server-Seal: p\r\n"
		   "Content-Length: 5\r\nX-Attempt-Id: " OTHER "\r\n\r\nashes",
	  .status = 500,
	  .body = "ashes",
	  .other_id = 1 },
	{ .name = "earlier 500",
	  .bytes = "HTTP/1.1 500 Cold\r\nX-Attempt-Id: " ID
		   "\r\nX-Server-Seal: p\r\nX-Part: p\r\n"
		   "Content-Length: 5\r\n\r\nashes",
	  .status = 500,
	  .body = "ashes" },
	{ .name = "earlier 500 without an id",
	  .bytes = "HTTP/1.1 500 Cold\r\nContent-Length: 5\r\nX-Part: p\r\n\r\n"
		   "ashes",
	  .status = 500,
	  .body = "ashes" },
	{ .name = "refusal of another request",
	  .bytes =
		  "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nX-Attempt-Id: " OTHER
		  "\r\nContent-Length: 0\r\n\r\n",
	  .status = 503,
	  .body = "",
	  .refuses = 1,
	  .other_id = 1 },
	{ .name = "earlier refusal, id first",
	  .bytes = "HTTP/1.1 503 No\r\nX-Attempt-Id: " ID
		   "\r\nX-Not-Executed: 1\r\nRetry-After: 1\r\n"
		   "Content-Length: 0\r\n\r\n",
	  .status = 503,
	  .body = "",
	  .refuses = 1 },
	{ .name = "earlier refusal, id last",
	  .bytes = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n"
		   "X-Not-Executed: 1\r\nX-Attempt-Id: " ID "\r\n\r\n",
	  .status = 503,
	  .body = "",
	  .refuses = 1 },
};

static const struct answer own_answers[] = {
	{ .name = "500",
	  .bytes = "HTTP/1.1 500 Ashes\r\nX-Attempt-Id: " ID
		   "\r\nX-Server-Seal: b\r\nX-Own: b\r\n"
		   "Content-Length: 4\r\n\r\noops",
	  .status = 500,
	  .body = "oops" },
	{ .name = "200",
	  .bytes = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " ID
		   "\r\nX-Server-Seal: b\r\nX-Own: b\r\n"
		   "Content-Length: 5\r\n\r\nfired",
	  .status = 200,
	  .body = "fired" },
	{ .name = "200, id last, line feeds only",
	  .bytes = "HTTP/1.1 200 OK\ncontent-length: 5\nx-own: b\n"
		   "x-server-seal: b\nx-attempt-id: " ID "\n\nfired",
	  .status = 200,
	  .body = "fired" },
	{ .name = "200 in chunks",
	  .bytes = "HTTP/1.1 201 " LONG_REASON "\r\nX-Server-Seal: b\r\n"
		   "Transfer-Encoding: chunked\r\nX-Attempt-Id: " ID
		   "\r\n\r\n3\r\nfir\r\n2\r\ned\r\n0\r\n\r\n",
	  .status = 201,
	  .body = "fired" },
	{ .name = "204",
	  .bytes = "HTTP/1.1 204 No Content\r\nX-Server-Seal: b\r\nX-Own: b\r\n"
		   "X-Attempt-Id: " ID "\r\n\r\n",
	  .status = 204,
	  .body = "" },
	{ .name = "unframed 200",
	  .bytes = "HTTP/1.1 200 OK\r\nX-Server-Seal: b\r\nX-Attempt-Id: " ID
		   "\r\nX-Own: b\r\n\r\nfired",
	  .status = 200,
	  .body = "fired",
	  .closes = 1 },
	{ .name = "refusal",
	  .bytes = "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nX-Attempt-Id: " ID
		   "\r\nContent-Length: 0\r\n\r\n",
	  .status = 503,
	  .body = "",
	  .refuses = 1 },
};

/* A target may answer an error without id and seal. */
static const struct answer own_without_id[] = {
	{ .name = "500 without an id",
	  .bytes = "HTTP/1.1 500 Ashes\r\nX-Own: b\r\n"
		   "Content-Length: 4\r\n\r\noops",
	  .status = 500,
	  .body = "oops" },
	{ .name = "unframed 500 without an id",
	  .bytes = "HTTP/1.1 500 Ashes\r\nX-Own: b\r\n\r\noops",
	  .status = 500,
	  .body = "oops",
	  .closes = 1 },
};

/* Tries all lengths that end in the heads of the parts. */
static void try_heads(const struct answer *own, size_t own_count,
		      enum pace pace, int idempotent, int sent_before)
{
	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
		for (size_t j = 0; j < own_count; j++) {
			struct joined both = { .part = &parts[i],
					       .own = &own[j],
					       .pace = pace,
					       .idempotent = idempotent };

			both.sent_before = sent_before && !parts[i].other_id;

			try_head(&both);
		}
	}
}

/*
 * Guards against an answer that is put together from two: the status of a part
 * that was cut in its head, and the headers and the body of the next answer.
 */
static void test_heads(void)
{
	try_heads(own_answers, G_N_ELEMENTS(own_answers), PACE_ONE_SEND, 0, 0);
}

/*
 * Guards against the same for a request that may run twice, whose part and
 * answer come in two reads.
 */
static void test_heads_two_sends(void)
{
	try_heads(own_answers, G_N_ELEMENTS(own_answers), PACE_TWO_SENDS, 1, 0);
}

/* Guards against the same where the client reads single bytes. */
static void test_heads_byte_by_byte(void)
{
	static const size_t some[] = { 0, 2, 10 };

	for (size_t i = 0; i < G_N_ELEMENTS(some); i++) {
		for (size_t j = 0; j < 2; j++) {
			struct joined both = { .part = &parts[some[i]],
					       .own = &own_answers[j],
					       .pace = PACE_BYTES };

			try_head(&both);
		}
	}
}

/*
 * Guards against the same with an own answer that has no id. An earlier answer
 * to the same request, whose id the part has, needs an earlier send of it.
 */
static void test_heads_without_id(void)
{
	try_heads(own_without_id, G_N_ELEMENTS(own_without_id), PACE_ONE_SEND,
		  1, 1);
}

/* Tries all lengths that end in the bodies of the parts. */
static void try_bodies(const struct answer *from, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(own_answers); j++) {
			struct joined both = { .part = &from[i],
					       .own = &own_answers[j] };

			try_body(&both);
		}
	}
}

/*
 * Guards against an answer that has the head of a part, and a body that ends in
 * bytes of the next head. The part's body is longer and shorter than the own
 * answer; the own answer has bytes left behind each end of that body.
 */
static void test_bodies(void)
{
	static const struct answer long_bodies[] = {
		{ .name = "earlier 200 with 40 bytes",
		  .bytes = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " ID
			   "\r\nX-Server-Seal: p\r\nContent-Length: 40\r\n\r\n"
			   "a kiln of 1,200 degrees and no more time",
		  .status = 200,
		  .body = "a kiln of 1,200 degrees and no more time" },
		{ .name = "earlier 200 with 160 bytes",
		  .bytes = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " ID
			   "\r\nX-Server-Seal: p\r\nContent-Length: 160\r\n\r\n"
			   "a kiln of 1,200 degrees and no more time"
			   "a kiln of 1,200 degrees and no more time"
			   "a kiln of 1,200 degrees and no more time"
			   "a kiln of 1,200 degrees and no more time",
		  .status = 200,
		  .body = "a kiln of 1,200 degrees and no more time"
			  "a kiln of 1,200 degrees and no more time"
			  "a kiln of 1,200 degrees and no more time"
			  "a kiln of 1,200 degrees and no more time" },
		{ .name = "earlier 200 in two chunks",
		  .bytes = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " ID
			   "\r\nX-Server-Seal: p\r\n"
			   "Transfer-Encoding: chunked\r\n\r\n"
			   "10\r\na kiln of 1,200 \r\n"
			   "18\r\ndegrees and no more time\r\n0\r\n\r\n",
		  .status = 200,
		  .body = "a kiln of 1,200 degrees and no more time" },
	};

	try_bodies(long_bodies, G_N_ELEMENTS(long_bodies));
	try_bodies(parts, G_N_ELEMENTS(parts));
}

/* Guards against heads put together where answers have no id. */
static void test_native(void)
{
	static const struct answer native_parts[] = {
		{ .name = "200, length first",
		  .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Part: p"
			   "\r\n\r\nearly",
		  .status = 200,
		  .body = "early" },
		{ .name = "empty 200, length last",
		  .bytes = "HTTP/1.1 200 OK\r\nX-Part: p\r\n"
			   "Content-Length: 0\r\n\r\n",
		  .status = 200,
		  .body = "" },
		{ .name = "500 in chunks",
		  .bytes = "HTTP/1.1 500 Cold\r\nX-Part: p\r\n"
			   "transfer-encoding: chunked\r\nServer: forge/2"
			   "\r\n\r\n5\r\nashes\r\n0\r\n\r\n",
		  .status = 500,
		  .body = "ashes" },
		{ .name = "refusal",
		  .bytes = "HTTP/1.1 503 No\r\nMonsoonpin-Refused: 1\r\n"
			   "Content-Length: 0\r\n\r\n",
		  .status = 503,
		  .body = "",
		  .refuses = 1 },
	};
	static const struct answer native_own[] = {
		{ .name = "500",
		  .bytes = "HTTP/1.1 500 Ashes\r\nX-Own: b\r\n"
			   "Content-Length: 4\r\n\r\noops",
		  .status = 500,
		  .body = "oops" },
		{ .name = "200",
		  .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Own: b"
			   "\r\n\r\nfired",
		  .status = 200,
		  .body = "fired" },
		{ .name = "200 in chunks",
		  .bytes = "HTTP/1.1 201 Made\r\nX-Own: b\r\n"
			   "Transfer-Encoding: chunked\r\n\r\n"
			   "5\r\nfired\r\n0\r\n\r\n",
		  .status = 201,
		  .body = "fired" },
		{ .name = "204",
		  .bytes = "HTTP/1.1 204 No Content\r\nX-Own: b\r\n\r\n",
		  .status = 204,
		  .body = "" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(native_parts); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(native_own); j++) {
			struct joined both = { .part = &native_parts[i],
					       .own = &native_own[j],
					       .native = 1 };

			try_head(&both);
		}
	}
}

#define PROPER_TIMES 20
#define MANY_HEADERS 60
#define LONG_VALUE 990

/* Returns an answer with 60 KB of headers, the id at its end. */
static char *long_answer(void)
{
	GString *s = g_string_new("HTTP/1.1 200 OK\r\nX-Server-Seal: b\r\n");
	char *value = g_strnfill(LONG_VALUE, 'v');

	for (int i = 0; i < MANY_HEADERS; i++)
		g_string_append_printf(s, "X-Long-%d: %s\r\n", i, value);
	g_string_append(s, "Content-Length: 5\r\nX-Attempt-Id: " ID
			   "\r\n\r\nfired");
	g_free(value);
	return g_string_free(s, FALSE);
}

/* before is what the target writes in front, e.g. 1xx answers. */
static void try_proper(const char *before, const struct answer *a)
{
	char *all = g_strconcat(before, a->bytes, NULL);
	struct fixture f;

	setup(&f, 0);
	f.target.answer = all;
	for (uint64_t i = 1; i <= PROPER_TIMES; i++) {
		struct reply r;

		submit(&f, &r, i, NULL);
		fake_wait(f.loop, &r.count, 1);
		if (!is_exactly(&r, a)) {
			g_test_message(
				"BAD %s, request %d: outcome %d error %d "
				"status %u body \"%s\" headers\n%s",
				a->name, (int)i, (int)r.outcome, (int)r.error,
				r.status, r.body->str, r.headers->str);
			g_test_fail();
		}
		reply_finish(&r);
	}
	g_test_message("%s: %u connections", a->name, f.target.connections);
	g_assert_cmpuint(f.target.runs, ==, PROPER_TIMES);
	g_assert_cmpuint(f.target.connections, ==, 1);
	teardown(&f);
	g_free(all);
}

#define HEAD_OF(id_and_more)                                       \
	"HTTP/1.1 200 OK\r\nX-Server-Seal: b\r\nX-Attempt-Id: " ID \
	"\r\n" id_and_more "\r\n\r\n"

/*
 * Guards against a strict reading that refuses proper but unusual answers, or
 * closes their connections.
 */
static void test_proper(void)
{
	static const struct answer answers[] = {
		{ "empty reason",
		  "HTTP/1.1 200 \r\nX-Attempt-Id: " ID
		  "\r\nX-Server-Seal: b\r\nContent-Length: 5\r\n\r\nfired",
		  200, "fired", 0, 0, 0 },
		{ "no reason",
		  "HTTP/1.1 200\r\nX-Attempt-Id: " ID
		  "\r\nX-Server-Seal: b\r\nContent-Length: 5\r\n\r\nfired",
		  200, "fired", 0, 0, 0 },
		{ "long reason",
		  "HTTP/1.1 500 " LONG_REASON LONG_REASON LONG_REASON
		  "\r\nX-Attempt-Id: " ID "\r\nContent-Length: 4\r\n\r\noops",
		  500, "oops", 0, 0, 0 },
		{ "several cookies",
		  HEAD_OF("Set-Cookie: a=1\r\nSet-Cookie: b=2; Path=/\r\n"
			  "Set-Cookie: a=1\r\nContent-Length: 5") "fired",
		  200, "fired", 0, 0, 0 },
		{ "version in a value",
		  "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 forge, HTTP/1.0 old\r\n"
		  "X-Server-Seal: HTTP/1.1\r\nUpgrade-Hint: HTTP/1.1 OK\r\n"
		  "X-Attempt-Id: " ID "\r\nContent-Length: 5\r\n\r\nfired",
		  200, "fired", 0, 0, 0 },
		{ "status line in a value after the id",
		  HEAD_OF("X-Last: HTTP/1.1 200 OK\r\nContent-Length: 5") "fired",
		  200, "fired", 0, 0, 0 },
		{ "chunks with extensions and trailers",
		  HEAD_OF("Transfer-Encoding: chunked\r\n"
			  "Trailer: X-Sum") "3;a=b;c=\"HTTP/1.1 200 OK\"\r\n"
					    "fir\r\n2 ; d\r\ned\r\n0;last\r\n"
					    "X-Sum: 1\r\nX-Took: 2\r\n\r\n",
		  200, "fired", 0, 0, 0 },
		{ "coding in upper case",
		  HEAD_OF("TRANSFER-ENCODING: Chunked") "5\r\nfired\r\n0\r\n\r\n",
		  200, "fired", 0, 0, 0 },
		{ "equal length twice",
		  HEAD_OF("Content-Length: 5\r\nContent-Length: 5") "fired",
		  200, "fired", 0, 0, 0 },
		{ "id last",
		  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Server-Seal: b\r\n"
		  "X-Attempt-Id: " ID "\r\n\r\nfired",
		  200, "fired", 0, 0, 0 },
		{ "other letter case",
		  "HTTP/1.1 200 ok\r\nCONTENT-LENGTH: 5\r\nx-SERVER-seal: b\r\n"
		  "X-ATTEMPT-ID: " ID "\r\n\r\nfired",
		  200, "fired", 0, 0, 0 },
		{ "line feeds only",
		  "HTTP/1.1 200 OK\nContent-Length: 5\nX-Server-Seal: b\n"
		  "X-Attempt-Id: " ID "\n\nfired",
		  200, "fired", 0, 0, 0 },
		{ "no blank before values",
		  "HTTP/1.1 200 OK\r\nContent-Length:5\r\nX-Server-Seal: b\r\n"
		  "x-attempt-id:" ID "\r\n\r\nfired",
		  200, "fired", 0, 0, 0 },
		{ "no length with 204",
		  "HTTP/1.1 204 No Content\r\nX-Server-Seal: b\r\n"
		  "X-Attempt-Id: " ID "\r\n\r\n",
		  204, "", 0, 0, 0 },
		{ "no length with 304",
		  "HTTP/1.1 304 Same\r\nETag: \"a\"\r\nX-Attempt-Id: " ID
		  "\r\n\r\n",
		  304, "", 0, 0, 0 },
		{ "error without an id",
		  "HTTP/1.1 502 Bad\r\nContent-Length: 4\r\n\r\noops", 502,
		  "oops", 0, 0, 0 },
		{ "refusal with an id",
		  "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nX-Attempt-Id: " ID
		  "\r\nContent-Length: 0\r\n\r\n",
		  503, "", 0, 1, 0 },
		{ "body that quotes an answer",
		  HEAD_OF("Content-Length: 29") "got HTTP/1.1 200 OK\r\nX-A: 1\r\n",
		  200, "got HTTP/1.1 200 OK\r\nX-A: 1\r\n", 0, 0, 0 },
		{ "body that ends in a status line",
		  HEAD_OF("Content-Length: 12") "HTTP/1.1 500", 200,
		  "HTTP/1.1 500", 0, 0, 0 },
		{ "body that ends in a letter of a status line",
		  HEAD_OF("Transfer-Encoding: chunked") "6\r\nEARTHH\r\n0\r\n\r\n",
		  200, "EARTHH", 0, 0, 0 },
	};
	static const char *const interim[] = {
		"HTTP/1.1 102 Processing\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
		"HTTP/1.1 102 \r\nX-Attempt-Id: " OTHER "\r\n\r\n",
	};
	char *text = long_answer();
	const struct answer long_one = {
		"60 KB of headers", text, 200, "fired", 0, 0, 0
	};

	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++)
		try_proper("", &answers[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(interim); i++) {
		try_proper(interim[i], &answers[0]);
		try_proper(interim[i], &own_answers[3]);
	}
	try_proper("", &long_one);
	g_free(text);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	/* Each refused answer would be logged. */
	log_setup("test", LOG_ERROR);
	g_test_add_func("/joined/heads", test_heads);
	g_test_add_func("/joined/heads_two_sends", test_heads_two_sends);
	g_test_add_func("/joined/heads_byte_by_byte", test_heads_byte_by_byte);
	g_test_add_func("/joined/heads_without_id", test_heads_without_id);
	g_test_add_func("/joined/bodies", test_bodies);
	g_test_add_func("/joined/proper", test_proper);
	g_test_add_func("/joined/native", test_native);
	return g_test_run();
}
