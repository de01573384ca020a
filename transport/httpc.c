#include "transport/httpc_priv.h"
#include "common/guard.h"
#include "common/step.h"
#include "protocol/frame.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <utlist.h>

/*
 * Older idle connections are not reused: a device on the path may have dropped
 * its state of the connection.
 */
#define HTTPC_IDLE_SECONDS 5L
#define HTTPC_KEEPALIVE_SECONDS 2L
/*
 * While bytes come, libcurl reads up to 100 times for each event, and cannot be
 * stopped: it gets back to a request that it has not finished with at the next
 * event of any socket. Reading a chunk extension takes 3.4 ns a byte: 1.4 ms
 * with so many bytes a read, and 5.5 ms with the 16 KB that are libcurl's
 * default.
 */
#define HTTPC_READ_BYTES (4 * 1024)

struct socket_watcher {
	ev_io io;
	struct httpc *client;
	struct httpc_request *request; /* the last that used the socket */
};

static void process_finished(struct httpc *c);
static void end_request(struct httpc_request *r, enum err error);

static int set_timer(CURLM *multi, long timeout_ms, void *priv)
{
	struct httpc *c = priv;

	(void)multi;
	ev_timer_stop(c->loop, &c->timer);
	c->comes_back = timeout_ms == 0;
	if (timeout_ms < 0)
		return 0;
	ev_timer_set(&c->timer, (double)timeout_ms / 1000., 0.);
	ev_timer_start(c->loop, &c->timer);
	return 0;
}

static int is_started(const struct httpc *c, const struct httpc_request *r)
{
	const struct httpc_request *other;

	DL_FOREACH(c->requests, other) {
		if (other == r)
			return 1;
	}
	return 0;
}

/*
 * Returns 1 if the request has read too many bytes that are no part of an
 * answer. libcurl drops them without a bound of its own, in a chunk extension
 * for instance. Only a request for which a step brought neither a header nor a
 * byte of a body is looked at, since that takes system calls.
 */
static int reads_too_much(struct httpc_request *r)
{
	int64_t bytes;

	if (!r->unparsed_steps || r->fd < 0)
		return 0;
	/* All reads of the step brought nothing, and there is more to read. */
	if (r->client->comes_back &&
	    httpc_conn_count_pending(r->fd) > HTTPC_MAX_UNPARSED_BYTES)
		return 1;
	bytes = httpc_conn_count_read(r->fd);
	if (bytes < 0)
		return r->unparsed_steps > HTTPC_MAX_UNPARSED_STEPS;
	/* What the first of these steps has read is not known. */
	if (r->unparsed_from < 0)
		r->unparsed_from = bytes;
	return bytes - r->unparsed_from > HTTPC_MAX_UNPARSED_BYTES;
}

/* Ends such requests before libcurl gets back to them. */
static void end_unparsed(struct httpc *c)
{
	struct httpc_request *r;

	do {
		DL_FOREACH(c->requests, r) {
			if (reads_too_much(r))
				break;
		}
		/* done() may change the list. */
		if (r)
			end_request(r, ERR_TOO_LARGE);
	} while (r && c->multi);
}

static void end_event(struct httpc *c)
{
	end_unparsed(c);
	if (c->multi)
		process_finished(c);
}

static void on_socket(struct ev_loop *loop, ev_io *w, int events)
{
	struct socket_watcher *s = w->data;
	struct httpc *c = s->client;
	int action = 0;
	int running;

	(void)loop;
	step_enter("httpc_io");
	if ((events & EV_READ) && s->request && is_started(c, s->request)) {
		s->request->unparsed_steps++;
		s->request->fd = w->fd;
	}
	if (events & EV_READ)
		action |= CURL_CSELECT_IN;
	if (events & EV_WRITE)
		action |= CURL_CSELECT_OUT;
	curl_multi_socket_action(c->multi, w->fd, action, &running);
	end_event(c);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct httpc *c = w->data;
	int running;

	(void)loop;
	(void)events;
	step_enter("httpc_timer");
	curl_multi_socket_action(c->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	end_event(c);
}

static int set_socket(CURL *easy, curl_socket_t fd, int what, void *priv,
		      void *socket_priv)
{
	struct httpc *c = priv;
	struct socket_watcher *w = socket_priv;
	int events = 0;

	if (what == CURL_POLL_REMOVE) {
		if (w) {
			ev_io_stop(c->loop, &w->io);
			if (w->request && is_started(c, w->request))
				w->request->fd = -1;
		}
		free(w);
		return 0;
	}
	if (!w) {
		w = calloc(1, sizeof(*w));
		if (!w)
			return -1;
		w->client = c;
		ev_io_init(&w->io, on_socket, fd, EV_READ);
		w->io.data = w;
		curl_multi_assign(c->multi, fd, w);
	}
	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &w->request);
	if (is_started(c, w->request))
		httpc_conn_use(w->request, fd);
	if (what & CURL_POLL_IN)
		events |= EV_READ;
	if (what & CURL_POLL_OUT)
		events |= EV_WRITE;
	ev_io_stop(c->loop, &w->io);
	ev_io_set(&w->io, fd, events);
	ev_io_start(c->loop, &w->io);
	return 0;
}

enum err httpc_init(struct httpc *c, struct ev_loop *loop,
		    unsigned max_connections_per_host)
{
	memset(c, 0, sizeof(*c));
	c->loop = loop;
	c->multi = curl_multi_init();
	if (!c->multi)
		return ERR_NOMEM;
	ev_timer_init(&c->timer, on_timer, 0., 0.);
	c->timer.data = c;
	curl_multi_setopt(c->multi, CURLMOPT_SOCKETFUNCTION, set_socket);
	curl_multi_setopt(c->multi, CURLMOPT_SOCKETDATA, c);
	curl_multi_setopt(c->multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(c->multi, CURLMOPT_TIMERDATA, c);
	curl_multi_setopt(c->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
			  (long)max_connections_per_host);
	return ERR_OK;
}

void httpc_finish(struct httpc *c)
{
	struct httpc_request *r, *next;

	if (!c->multi)
		return;
	DL_FOREACH_SAFE(c->requests, r, next) {
		httpc_cancel(r);
	}
	curl_multi_cleanup(c->multi);
	c->multi = NULL;
	httpc_conn_finish(c);
	ev_timer_stop(c->loop, &c->timer);
}

static size_t max_body(const struct httpc_request *r)
{
	return r->max_body_bytes ? r->max_body_bytes : FRAME_MAX_BYTES / 2;
}

/*
 * Returns 1 if the answers of all requests would exceed their limit, or come so
 * close to it that each may still add one read, and this one is among the
 * larger: an answer without end must not cost the others theirs.
 */
static int takes_too_much(const struct httpc_request *r, size_t len)
{
	size_t all = r->client->collected_bytes + len;
	size_t count = r->client->request_count;

	if (all > HTTPC_MAX_COLLECTED_BYTES)
		return 1;
	return all + count * HTTPC_READ_BYTES > HTTPC_MAX_COLLECTED_BYTES &&
	       (r->answer.len + len) * count >= all;
}

/* A header or a byte of a body was read. */
static void note_progress(struct httpc_request *r)
{
	r->unparsed_steps = 0;
	r->unparsed_from = -1;
}

static size_t on_body(char *data, size_t size, size_t count, void *priv)
{
	struct httpc_request *r = priv;
	size_t len = size * count;
	note_progress(r);
	/* The bytes for data() are passed on by deliver_data. */
	if (!r->ops->data &&
	    (r->answer.len + len > max_body(r) || takes_too_much(r, len))) {
		r->abort_error = ERR_TOO_LARGE;
		return 0;
	}
	if (buf_add(&r->answer, data, len) != ERR_OK)
		return 0;
	if (!r->ops->data)
		r->client->collected_bytes += len;
	return len;
}

static size_t on_header(char *line, size_t size, size_t count, void *priv)
{
	struct httpc_request *r = priv;
	size_t len = size * count;

	note_progress(r);
	r->head_bytes += len;
	if (r->head_bytes > HTTPC_MAX_HEADER_BYTES) {
		r->abort_error = ERR_TOO_LARGE;
		return 0;
	}
	if (httpc_head_add(&r->head, line, len) != HTTPC_FAULT_NONE) {
		r->fault = r->head.fault;
		r->abort_error = ERR_MALFORMED;
		return 0;
	}
	return len;
}

static int on_prereq(void *priv, char *ip, char *local_ip, int port,
		     int local_port)
{
	struct httpc_request *r = priv;
	enum err e = ERR_OK;

	(void)ip;
	(void)local_ip;
	(void)port;
	if (httpc_conn_has_stray_bytes(r->client, local_port)) {
		r->has_stray_bytes = 1;
		return CURL_PREREQFUNC_ABORT;
	}
	r->sends++;
	if (r->ops->before_send)
		e = r->ops->before_send(r, r->priv);
	if (e != ERR_OK) {
		r->abort_error = e;
		return CURL_PREREQFUNC_ABORT;
	}
	r->send_started = 1;
	return CURL_PREREQFUNC_OK;
}

/* Looks for a second answer behind the head of a whole answer. */
static enum httpc_fault find_late_fault(const struct httpc_request *r)
{
	enum httpc_body_end end;

	if (r->head.status != (unsigned)r->status)
		return HTTPC_FAULT_STATUS_LINE;
	if (r->ops->data)
		return HTTPC_FAULT_NONE;
	end = httpc_head_find_in_body(r->answer.data, r->answer.len, r->id_name,
				      r->id);
	if (end == HTTPC_BODY_HAS_ANSWER ||
	    (end == HTTPC_BODY_IN_HEAD && httpc_conn_has_surplus(r)))
		return HTTPC_FAULT_BODY;
	return HTTPC_FAULT_NONE;
}

static enum err curl_result_to_err(struct httpc_request *r, CURLcode code)
{
	if (r->abort_error != ERR_OK)
		return r->abort_error;
	switch (code) {
	case CURLE_OK:
		break;
	case CURLE_COULDNT_CONNECT:
		return err_from_socket(r->connect_errno);
	case CURLE_OPERATION_TIMEDOUT:
		return ERR_TIMEOUT;
	case CURLE_PARTIAL_FILE:
		return ERR_INCOMPLETE;
	case CURLE_FILESIZE_EXCEEDED:
		return ERR_TOO_LARGE;
	case CURLE_WEIRD_SERVER_REPLY:
	case CURLE_UNSUPPORTED_PROTOCOL:
		/* libcurl refuses a line without a colon before on_header. */
		r->fault = r->head.in_head ? HTTPC_FAULT_LINE
					   : HTTPC_FAULT_STATUS_LINE;
		return ERR_MALFORMED;
	default:
		return r->status ? ERR_INCOMPLETE : ERR_CLOSED;
	}
	/* libcurl takes the end of the connection for the end of the head. */
	if (r->status < 200 || !r->head.complete)
		return ERR_INCOMPLETE;
	/* An unframed answer that was cut off looks like a whole one. */
	if (!httpc_head_is_framed(&r->head) && !r->unframed_ok &&
	    guard_on(GUARD_FRAMING) && r->status != 204 && r->status != 304 &&
	    strcmp(r->method, "HEAD") != 0)
		return ERR_INCOMPLETE;
	r->fault = find_late_fault(r);
	return r->fault == HTTPC_FAULT_NONE ? ERR_OK : ERR_MALFORMED;
}

static void release_handle(struct httpc_request *r)
{
	DL_DELETE(r->client->requests, r);
	curl_multi_remove_handle(r->client->multi, r->easy);
	curl_easy_cleanup(r->easy);
	curl_slist_free_all(r->header_list);
	r->easy = NULL;
	r->header_list = NULL;
	r->connection = NULL;
	r->client->request_count--;
	if (r->ops->data)
		r->client->stream_count--;
	else
		r->client->collected_bytes -= r->answer.len;
}

static void read_status(struct httpc_request *r)
{
	long status = 0;
	long new_connections = 0;

	curl_easy_getinfo(r->easy, CURLINFO_RESPONSE_CODE, &status);
	r->status = (int)status;
	curl_easy_getinfo(r->easy, CURLINFO_NUM_CONNECTS, &new_connections);
	r->reused_connection = !new_connections;
}

static void read_connect_errno(struct httpc_request *r, CURLcode code)
{
	long error = 0;

	if (code != CURLE_COULDNT_CONNECT)
		return;
	curl_easy_getinfo(r->easy, CURLINFO_OS_ERRNO, &error);
	r->connect_errno = (int)error;
}

static struct httpc_request *find_pending_data(struct httpc *c)
{
	struct httpc_request *r;

	DL_FOREACH(c->requests, r) {
		if (r->ops->data && r->answer.len)
			return r;
	}
	return NULL;
}

/*
 * Passes the received bytes to data(). This happens after libcurl has returned,
 * because data() may cancel its request or finish the client, which libcurl
 * does not allow inside its own callbacks.
 */
static void deliver_data(struct httpc *c)
{
	struct httpc_request *r;

	while (c->stream_count && (r = find_pending_data(c))) {
		struct buf b = r->answer;

		buf_init(&r->answer);
		r->ops->data(r, (const char *)b.data, b.len, r->priv);
		buf_finish(&b);
	}
}

/*
 * Starts a request again, of which nothing was sent. libcurl has closed the
 * connection that had stray bytes. Returns 0 if libcurl does not take it.
 */
static int restart(struct httpc_request *r)
{
	r->has_stray_bytes = 0;
	r->stray_connections++;
	r->connection = NULL;
	r->connection_closed = 0;
	curl_multi_remove_handle(r->client->multi, r->easy);
	curl_easy_setopt(r->easy, CURLOPT_FRESH_CONNECT, 1L);
	return curl_multi_add_handle(r->client->multi, r->easy) == CURLM_OK;
}

static void process_finished(struct httpc *c)
{
	CURLMsg *m;
	int left;

	deliver_data(c);
	while (c->multi && (m = curl_multi_info_read(c->multi, &left))) {
		struct httpc_request *r;
		CURLcode code = m->data.result;

		if (m->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &r);
		if (r->has_stray_bytes && restart(r))
			continue;
		read_status(r);
		read_connect_errno(r, code);
		r->error = curl_result_to_err(r, code);
		httpc_conn_note_answer(r);
		release_handle(r);
		step_enter("httpc_done");
		r->ops->done(r, r->priv);
	}
}

static void end_request(struct httpc_request *r, enum err error)
{
	read_status(r);
	r->error = error;
	httpc_conn_abandon(r);
	release_handle(r);
	r->ops->done(r, r->priv);
}

static int has_header(const struct httpc_request *r, const char *name)
{
	for (size_t i = 0; i < r->header_count; i++)
		if (strcasecmp(r->headers[i].name, name) == 0)
			return 1;
	return 0;
}

/*
 * Keeps libcurl from adding headers by itself: "Expect" would cause a wait for
 * "100 Continue", the others would change the caller's request.
 */
static enum err suppress_default_headers(struct httpc_request *r)
{
	static const char *const names[] = { "Expect", "Accept",
					     "Content-Type" };

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		struct curl_slist *list;
		char line[32];

		if (has_header(r, names[i]))
			continue;
		snprintf(line, sizeof(line), "%s:", names[i]);
		list = curl_slist_append(r->header_list, line);
		if (!list)
			return ERR_NOMEM;
		r->header_list = list;
	}
	return ERR_OK;
}

/* Appends one header to the list that is sent. */
static enum err add_header_line(struct httpc_request *r, struct buf *line,
				const struct httpc_header *h)
{
	struct curl_slist *list;

	/* libcurl drops "Name:"; "Name;" sends an empty value. */
	buf_reset(line);
	if (buf_addf(line, h->value[0] ? "%s: %s" : "%s;", h->name, h->value) !=
	    ERR_OK)
		return ERR_NOMEM;
	list = curl_slist_append(r->header_list, buf_text(line));
	if (!list)
		return ERR_NOMEM;
	r->header_list = list;
	return ERR_OK;
}

static enum err add_headers(struct httpc_request *r)
{
	enum err e = ERR_OK;
	struct buf line;

	buf_init(&line);
	for (size_t i = 0; e == ERR_OK && i < r->header_count; i++)
		e = add_header_line(r, &line, &r->headers[i]);
	buf_finish(&line);
	return e == ERR_OK ? suppress_default_headers(r) : e;
}

static void set_method(struct httpc_request *r)
{
	CURL *e = r->easy;

	if (strcmp(r->method, "HEAD") == 0) {
		curl_easy_setopt(e, CURLOPT_NOBODY, 1L);
		return;
	}
	if (r->body_len || strcmp(r->method, "POST") == 0 ||
	    strcmp(r->method, "PUT") == 0) {
		curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)r->body_len);
		curl_easy_setopt(e, CURLOPT_POSTFIELDS,
				 r->body_len ? r->body : "");
	}
	curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, r->method);
}

static void set_options(struct httpc_request *r)
{
	CURL *e = r->easy;
	int connect_ms =
		r->connect_timeout_ms ? r->connect_timeout_ms : r->timeout_ms;

	curl_easy_setopt(e, CURLOPT_URL, r->url);
	curl_easy_setopt(e, CURLOPT_BUFFERSIZE, (long)HTTPC_READ_BYTES);
	curl_easy_setopt(e, CURLOPT_PRIVATE, r);
	curl_easy_setopt(e, CURLOPT_HTTPHEADER, r->header_list);
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, (long)r->timeout_ms);
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, (long)connect_ms);
	curl_easy_setopt(e, CURLOPT_MAXAGE_CONN,
			 r->max_idle_seconds ? (long)r->max_idle_seconds
					     : HTTPC_IDLE_SECONDS);
	curl_easy_setopt(e, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(e, CURLOPT_TCP_KEEPIDLE, HTTPC_KEEPALIVE_SECONDS);
	curl_easy_setopt(e, CURLOPT_TCP_KEEPINTVL, HTTPC_KEEPALIVE_SECONDS);
	curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, (long)r->new_connection);
	curl_easy_setopt(e, CURLOPT_FORBID_REUSE, (long)r->close_after);
	if (!r->ops->data)
		curl_easy_setopt(e, CURLOPT_MAXFILESIZE_LARGE,
				 (curl_off_t)max_body(r));
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, r);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, r);
	curl_easy_setopt(e, CURLOPT_OPENSOCKETFUNCTION, httpc_conn_open);
	curl_easy_setopt(e, CURLOPT_OPENSOCKETDATA, r->client);
	curl_easy_setopt(e, CURLOPT_CLOSESOCKETFUNCTION, httpc_conn_close);
	curl_easy_setopt(e, CURLOPT_CLOSESOCKETDATA, r->client);
	curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_prereq);
	curl_easy_setopt(e, CURLOPT_PREREQDATA, r);
	set_method(r);
}

enum err httpc_start(struct httpc *c, struct httpc_request *r)
{
	enum err e = ERR_NOMEM;

	r->client = c;
	r->error = ERR_OK;
	r->abort_error = ERR_OK;
	r->send_started = 0;
	r->reused_connection = 0;
	r->connect_errno = 0;
	r->status = 0;
	r->fault = HTTPC_FAULT_NONE;
	r->connection = NULL;
	r->connection_closed = 0;
	r->has_stray_bytes = 0;
	r->stray_connections = 0;
	r->received_bytes = -1;
	r->connection_age_ms = -1;
	r->connection_answers = 0;
	r->head_bytes = 0;
	note_progress(r);
	r->fd = -1;
	r->sends = 0;
	r->header_list = NULL;
	buf_init(&r->answer);
	buf_init(&r->answer_headers);
	httpc_head_init(&r->head, r->id_name, &r->answer_headers);
	r->easy = curl_easy_init();
	if (!r->easy)
		return ERR_NOMEM;
	e = add_headers(r);
	if (e != ERR_OK)
		goto fail;
	set_options(r);
	if (curl_multi_add_handle(c->multi, r->easy) != CURLM_OK) {
		e = ERR_SYSTEM;
		goto fail;
	}
	DL_APPEND(c->requests, r);
	c->request_count++;
	if (r->ops->data)
		c->stream_count++;
	return ERR_OK;
fail:
	curl_easy_cleanup(r->easy);
	curl_slist_free_all(r->header_list);
	r->easy = NULL;
	r->header_list = NULL;
	return e;
}

void httpc_cancel(struct httpc_request *r)
{
	if (!r->easy)
		return;
	httpc_conn_abandon(r);
	release_handle(r);
}

void httpc_copy_header(const struct httpc_request *r, const char *name,
		       char *out, size_t size)
{
	const char *p = (const char *)r->answer_headers.data;
	const char *end = p ? p + r->answer_headers.len : NULL;
	size_t n = strlen(name);

	out[0] = '\0';
	while (p && p < end) {
		const char *eol = memchr(p, '\n', (size_t)(end - p));
		size_t len = eol ? (size_t)(eol - p) : (size_t)(end - p);

		if (len > n && p[n] == ':' && strncasecmp(p, name, n) == 0) {
			const char *v = p + n + 1;

			while (v < p + len && *v == ' ')
				v++;
			snprintf(out, size, "%.*s", (int)(p + len - v), v);
			return;
		}
		p += len + 1;
	}
}

void httpc_request_finish(struct httpc_request *r)
{
	buf_finish(&r->answer);
	buf_finish(&r->answer_headers);
}
