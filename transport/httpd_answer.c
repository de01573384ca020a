#include "transport/httpd_priv.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <utlist.h>

/* Parts that one system call sends; each answer has two. */
#define HTTPD_MAX_PARTS 16

static const char continue_line[] = "HTTP/1.1 100 Continue\r\n\r\n";

void httpd_complete(struct httpd_request *r)
{
	struct httpd_conn *c = r->conn;
	struct httpd *d = c->server;

	DL_DELETE(c->requests, r);
	c->request_count--;
	if (d->ops->completed)
		d->ops->completed(r, d->priv);
	httpd_request_free(r);
}

/* ---- sending ---- */

static int is_last(const struct httpd_request *r)
{
	return !r->next;
}

/*
 * Ends the head when it is about to be sent: only then is it known whether the
 * connection ends with this answer.
 */
static enum err finish_head(struct httpd_request *r)
{
	const char *line = "\r\n";

	r->head_done = 1;
	if (r->raw)
		return ERR_OK;
	if (r->conn->closing && is_last(r))
		line = "Connection: close\r\n\r\n";
	else if (r->http_1_0)
		line = "Connection: keep-alive\r\n\r\n";
	return buf_add(&r->head, line, strlen(line));
}

static int is_whole(const struct httpd_request *r)
{
	return r->answered && (!r->streaming || r->stream_ended);
}

/* Lists the unsent parts of the answers that can be sent; returns how many. */
static int collect_parts(struct httpd_conn *c, struct iovec *parts)
{
	struct httpd_request *r;
	int n = 0;

	DL_FOREACH(c->requests, r) {
		size_t skip = r->sent;

		if (!r->answered || n + 2 > HTTPD_MAX_PARTS)
			break;
		if (!r->head_done && finish_head(r) != ERR_OK) {
			c->broken = 1;
			break;
		}
		if (skip < r->head.len) {
			parts[n].iov_base = r->head.data + skip;
			parts[n++].iov_len = r->head.len - skip;
			skip = 0;
		} else {
			skip -= r->head.len;
		}
		if (skip < r->answer.len) {
			parts[n].iov_base = r->answer.data + skip;
			parts[n++].iov_len = r->answer.len - skip;
		}
		if (!is_whole(r))
			break;
	}
	return n;
}

/* Keeps only the unsent part of a stream. */
static void drop_sent(struct httpd_request *r)
{
	if (!r->streaming || r->sent < r->head.len)
		return;
	buf_drop(&r->answer, r->sent - r->head.len);
	r->sent = r->head.len;
}

/* Notes that n bytes were sent; completes the requests that end with them. */
static void mark_sent(struct httpd_conn *c, size_t n)
{
	struct httpd_request *r;

	while ((r = c->requests) && r->answered) {
		size_t left = r->head.len + r->answer.len - r->sent;
		size_t part = n < left ? n : left;

		r->sent += part;
		n -= part;
		if (part < left || !is_whole(r)) {
			drop_sent(r);
			return;
		}
		httpd_complete(r);
	}
}

static void wait_writable(struct httpd_conn *c, int wait)
{
	if (wait && !ev_is_active(&c->write_io))
		ev_io_start(c->server->loop, &c->write_io);
	else if (!wait)
		ev_io_stop(c->server->loop, &c->write_io);
}

void httpd_flush(struct httpd_conn *c)
{
	struct iovec parts[HTTPD_MAX_PARTS];
	struct msghdr m = { .msg_iov = parts };

	while (!c->broken) {
		const struct httpd_request *first = c->requests;
		ssize_t n;

		m.msg_iovlen = (size_t)collect_parts(c, parts);
		if (c->broken)
			return;
		if (!m.msg_iovlen) {
			/* A raw answer may be empty. */
			mark_sent(c, 0);
			if (c->requests == first)
				break;
			continue;
		}
		n = sendmsg(c->fd, &m, MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0) {
			c->broken = errno != EAGAIN && errno != EWOULDBLOCK;
			wait_writable(c, !c->broken);
			return;
		}
		c->active_s = ev_now(c->server->loop);
		mark_sent(c, (size_t)n);
	}
	wait_writable(c, 0);
	if (!c->requests && c->receiving && c->receiving->expects_continue)
		httpd_send_continue(c);
}

void httpd_send_continue(struct httpd_conn *c)
{
	size_t len = sizeof(continue_line) - 1;

	c->receiving->expects_continue = 0;
	/* Nothing else is unsent, so that so short a text always fits. */
	if (send(c->fd, continue_line, len, MSG_NOSIGNAL | MSG_DONTWAIT) !=
	    (ssize_t)len) {
		c->broken = 1;
		httpd_conn_set_due(c);
	}
}

/* ---- answers ---- */

/* Returns the time as the Date header has it; formats it once a second. */
static const char *date_text(struct httpd *d)
{
	time_t now = time(NULL);
	struct tm tm;

	if (now != d->date_s && gmtime_r(&now, &tm)) {
		strftime(d->date, sizeof(d->date), "%a, %d %b %Y %H:%M:%S GMT",
			 &tm);
		d->date_s = now;
	}
	return d->date;
}

static int is_named(const struct httpd_header *h, const char *name)
{
	return strcasecmp(h->name, name) == 0;
}

/* Adds the caller's headers; the server writes those of the framing itself. */
static enum err add_headers(struct httpd_request *r,
			    const struct httpd_header *headers, size_t count)
{
	enum err e = ERR_OK;
	int has_date = 0;

	for (size_t i = 0; i < count; i++)
		has_date |= is_named(&headers[i], "Date");
	if (!has_date)
		e = buf_addf(&r->head, "Date: %s\r\n", date_text(r->server));
	for (size_t i = 0; i < count && e == ERR_OK; i++) {
		const struct httpd_header *h = &headers[i];

		if (is_named(h, "Connection")) {
			if (strcasecmp(h->value, "close") == 0)
				r->conn->closing = 1;
			continue;
		}
		if (is_named(h, "Content-Length") ||
		    is_named(h, "Transfer-Encoding"))
			continue;
		e = buf_addf(&r->head, "%s: %s\r\n", h->name, h->value);
	}
	return e;
}

static const char *reason(unsigned status)
{
	const char *text = http_status_str((enum http_status)status);

	return text[0] == '<' ? "" : text;
}

/* Has the connection cut off: no answer can be made for lack of memory. */
static void fail_answer(struct httpd_request *r)
{
	r->conn->broken = 1;
	httpd_conn_set_due(r->conn);
}

static enum err write_head(struct httpd_request *r, unsigned status,
			   const struct httpd_header *headers, size_t count)
{
	enum err e;

	r->answered = 1;
	httpd_conn_set_due(r->conn);
	e = buf_addf(&r->head, "HTTP/1.1 %u %s\r\n", status, reason(status));
	return e == ERR_OK ? add_headers(r, headers, count) : e;
}

static int has_no_body(unsigned status)
{
	return status == 204 || status == 304;
}

void httpd_answer(struct httpd_request *r, unsigned status,
		  const struct httpd_header *headers, size_t header_count,
		  const void *body, size_t body_len)
{
	enum err e;

	if (r->answered)
		return;
	e = write_head(r, status, headers, header_count);
	if (e == ERR_OK && !has_no_body(status))
		e = buf_addf(&r->head, "Content-Length: %zu\r\n", body_len);
	if (e == ERR_OK && body_len && !has_no_body(status) &&
	    strcmp(r->method, "HEAD") != 0)
		e = buf_add(&r->answer, body, body_len);
	r->held = r->answer.len;
	r->server->held_bytes += r->held;
	if (e != ERR_OK)
		fail_answer(r);
}

void httpd_answer_head(struct httpd_request *r, unsigned status,
		       const struct httpd_header *headers, size_t header_count,
		       uint64_t length)
{
	if (r->answered)
		return;
	if (write_head(r, status, headers, header_count) != ERR_OK ||
	    buf_addf(&r->head, "Content-Length: %llu\r\n",
		     (unsigned long long)length) != ERR_OK)
		fail_answer(r);
}

void httpd_answer_text(struct httpd_request *r, unsigned status,
		       const char *content_type, const char *text)
{
	struct httpd_header h = { "Content-Type", content_type };

	httpd_answer(r, status, &h, 1, text, strlen(text));
}

void httpd_answer_bytes(struct httpd_request *r, const void *data, size_t len)
{
	httpd_stream_begin_raw(r);
	httpd_stream_send(r, data, len);
	httpd_stream_end(r);
}

void httpd_stream_begin(struct httpd_request *r, unsigned status,
			const char *content_type)
{
	struct httpd_header h = { "Content-Type", content_type };
	enum err e;

	if (r->answered)
		return;
	r->streaming = 1;
	e = write_head(r, status, &h, 1);
	/* Without chunks, the end of the connection ends the body. */
	if (r->http_1_0)
		r->conn->closing = 1;
	else if (e == ERR_OK)
		e = buf_addf(&r->head, "Transfer-Encoding: chunked\r\n");
	if (e != ERR_OK)
		fail_answer(r);
}

void httpd_stream_begin_open(struct httpd_request *r)
{
	if (r->answered)
		return;
	r->answered = 1;
	r->streaming = 1;
	r->raw = 1;
	httpd_conn_set_due(r->conn);
}

void httpd_stream_begin_raw(struct httpd_request *r)
{
	if (r->answered)
		return;
	httpd_stream_begin_open(r);
	r->conn->closing = 1;
}

void httpd_stream_send(struct httpd_request *r, const void *data, size_t len)
{
	int chunked = !r->raw && !r->http_1_0;
	enum err e = ERR_OK;

	if (!r->streaming || r->stream_ended || !len)
		return;
	if (chunked)
		e = buf_addf(&r->answer, "%zx\r\n", len);
	if (e == ERR_OK)
		e = buf_add(&r->answer, data, len);
	if (e == ERR_OK && chunked)
		e = buf_add(&r->answer, "\r\n", 2);
	if (e != ERR_OK)
		fail_answer(r);
	httpd_conn_set_due(r->conn);
}

void httpd_stream_end(struct httpd_request *r)
{
	if (!r->streaming || r->stream_ended)
		return;
	r->stream_ended = 1;
	if (!r->raw && !r->http_1_0 &&
	    buf_add(&r->answer, "0\r\n\r\n", 5) != ERR_OK)
		fail_answer(r);
	httpd_conn_set_due(r->conn);
}
