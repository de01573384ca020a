#include "transport/httpd_priv.h"
#include "common/step.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <utlist.h>

static const char *text_at(const struct httpd_request *r, uint32_t offset)
{
	return (const char *)r->text.data + offset;
}

static struct httpd_request *request_new(struct httpd_conn *c)
{
	struct httpd_request *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->server = c->server;
	r->conn = c;
	r->method = "";
	r->path = "";
	buf_init(&r->text);
	buf_init(&r->body);
	buf_init(&r->arguments);
	buf_init(&r->head);
	buf_init(&r->answer);
	return r;
}

void httpd_request_free(struct httpd_request *r)
{
	r->server->held_bytes -= r->held;
	buf_finish(&r->text);
	buf_finish(&r->body);
	buf_finish(&r->arguments);
	buf_finish(&r->head);
	buf_finish(&r->answer);
	free(r->fields);
	free(r);
}

int httpd_may_take(const struct httpd_conn *c)
{
	const struct httpd_limits *limits = &c->server->limits;
	const struct httpd_request *r;
	size_t held = 0;

	if (c->closing || c->broken || c->request_count >= limits->pipeline)
		return 0;
	DL_FOREACH(c->requests, r) {
		held += r->body.len + r->answer.len;
	}
	return !c->requests || held < limits->held_bytes;
}

/* ---- dispatch ---- */

static void append_request(struct httpd_conn *c, struct httpd_request *r)
{
	c->receiving = NULL;
	DL_APPEND(c->requests, r);
	c->request_count++;
}

static unsigned reject_status(enum err error)
{
	switch (error) {
	case ERR_TOO_LARGE:
		return 413;
	case ERR_RANGE:
		return 431;
	case ERR_NOMEM:
		return 503;
	default:
		return 400;
	}
}

/* Names what found the error, unless a check of this server did so already. */
static void note_check(const struct httpd_conn *c, struct httpd_request *r)
{
	if (r->parser_error)
		return;
	if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK)
		r->parser_error =
			http_errno_name(HTTP_PARSER_ERRNO(&c->parser));
	else if (r->error == ERR_MALFORMED)
		r->parser_error = "line";
}

/* Answers what cannot be taken; the connection ends with that answer. */
static void reject(struct httpd_conn *c, enum err error)
{
	struct httpd *d = c->server;
	struct httpd_request *r = c->receiving ? c->receiving : request_new(c);

	c->closing = 1;
	if (!r) {
		c->broken = 1;
		httpd_conn_set_due(c);
		return;
	}
	r->error = error;
	note_check(c, r);
	/* The texts of an unfinished head have no end. */
	if (!c->headers_done)
		r->field_count = 0;
	append_request(c, r);
	if (d->ops->reject)
		d->ops->reject(r, d->priv);
	if (!r->answered)
		httpd_answer_text(r, reject_status(error), "text/plain",
				  "refused\n");
}

static void dispatch(struct httpd_conn *c)
{
	struct httpd_request *r = c->receiving;
	struct httpd *d = c->server;

	step_enter("httpd_request");
	append_request(c, r);
	if (!r->keep_alive)
		c->closing = 1;
	if (!d->stopping)
		d->ops->request(r, d->priv);
	else if (d->ops->refuse)
		d->ops->refuse(r, d->priv);
	else
		httpd_answer_text(r, 503, "text/plain", "stopping\n");
}

/* Notes which check refuses the request. */
static enum err refuse(struct httpd_request *r, const char *check)
{
	r->parser_error = check;
	return ERR_MALFORMED;
}

/* ---- callbacks of the parser ---- */

/* Returns the value for the parser: 0, or -1 to make it stop. */
static int result(struct httpd_conn *c, enum err e)
{
	if (e == ERR_OK)
		return 0;
	c->receiving->error = e;
	return -1;
}

static int on_begin(http_parser *p)
{
	struct httpd_conn *c = p->data;

	c->receiving = request_new(c);
	c->last_was_name = 0;
	c->headers_done = 0;
	c->receiving_since_s = ev_now(c->server->loop);
	return c->receiving ? 0 : -1;
}

static int on_target(http_parser *p, const char *data, size_t len)
{
	struct httpd_conn *c = p->data;

	return result(c, buf_add(&c->receiving->text, data, len));
}

static enum err end_text(struct httpd_request *r)
{
	return buf_add(&r->text, "", 1);
}

static enum err add_field(struct httpd_request *r)
{
	if (r->field_count == r->field_cap) {
		size_t cap = r->field_cap ? 2 * r->field_cap : 16;
		struct httpd_field *p =
			realloc(r->fields, cap * sizeof(*r->fields));

		if (!p)
			return ERR_NOMEM;
		r->fields = p;
		r->field_cap = cap;
	}
	r->fields[r->field_count].name = (uint32_t)r->text.len;
	r->fields[r->field_count].value = (uint32_t)r->text.len;
	r->field_count++;
	return ERR_OK;
}

/* Trailers are not headers: their names are checked, and they are dropped. */
static enum err add_trailer_name(struct httpd_conn *c, const char *data,
				 size_t len)
{
	if (!c->last_was_name)
		buf_reset(&c->trailer_name);
	c->last_was_name = 1;
	return buf_add(&c->trailer_name, data, len);
}

/*
 * Trailers that frame or route a request are not allowed (RFC 9110, section
 * 6.5.1): they are of another request, whose headers follow a cut trailer.
 */
static enum err check_trailer(struct httpd_conn *c)
{
	static const char *const refused[] = { "Host", "Content-Length",
					       "Transfer-Encoding" };
	const char *name = buf_text(&c->trailer_name);

	c->last_was_name = 0;
	for (size_t i = 0; i < sizeof(refused) / sizeof(refused[0]); i++) {
		if (strcasecmp(name, refused[i]) == 0)
			return refuse(c->receiving, "trailer");
	}
	return strchr(name, ' ') ? refuse(c->receiving, "trailer") : ERR_OK;
}

static int on_name(http_parser *p, const char *data, size_t len)
{
	struct httpd_conn *c = p->data;
	struct httpd_request *r = c->receiving;
	enum err e = ERR_OK;

	if (c->headers_done)
		return result(c, add_trailer_name(c, data, len));
	if (!c->last_was_name) {
		e = end_text(r);
		if (e == ERR_OK)
			e = add_field(r);
		c->last_was_name = 1;
	}
	if (e == ERR_OK)
		e = buf_add(&r->text, data, len);
	return result(c, e);
}

static int on_value(http_parser *p, const char *data, size_t len)
{
	struct httpd_conn *c = p->data;
	struct httpd_request *r = c->receiving;
	enum err e = ERR_OK;

	if (c->headers_done)
		return result(c, check_trailer(c));
	if (c->last_was_name) {
		e = end_text(r);
		r->fields[r->field_count - 1].value = (uint32_t)r->text.len;
		c->last_was_name = 0;
	}
	if (e == ERR_OK)
		e = buf_add(&r->text, data, len);
	return result(c, e);
}

/* The parser leaves the blanks behind a value in it. */
static void trim_values(struct httpd_request *r)
{
	for (size_t i = 0; i < r->field_count; i++) {
		char *value = (char *)r->text.data + r->fields[i].value;
		size_t len = strlen(value);

		while (len && strchr(" \t", value[len - 1]))
			value[--len] = 0;
	}
}

/* Notes what follows the head. */
static void begin_body(struct httpd_conn *c, const http_parser *p)
{
	if (p->flags & F_CHUNKED)
		httpd_lines_begin(&c->lines, HTTPD_PART_CHUNK_SIZE, 0);
	else if (p->content_length && p->content_length != UINT64_MAX)
		httpd_lines_begin(&c->lines, HTTPD_PART_BODY,
				  p->content_length);
}

/* ULLONG_MAX stands for a body without a stated length. */
static int exceeds_body_limit(const http_parser *p, const struct httpd *d)
{
	return p->content_length != UINT64_MAX &&
	       p->content_length > d->max_body_bytes;
}

/*
 * Two Hosts, or one with characters that no host has, are the sign of a request
 * whose head was cut and followed by another one (RFC 9112, section 3.2).
 */
static enum err check_host(struct httpd_request *r)
{
	unsigned count = 0;

	for (size_t i = 0; i < r->field_count; i++) {
		if (strcasecmp(text_at(r, r->fields[i].name), "Host") != 0)
			continue;
		if (strpbrk(text_at(r, r->fields[i].value), " \t/?#@"))
			return refuse(r, "host");
		count++;
	}
	return count > 1 ? refuse(r, "host_twice") : ERR_OK;
}

/*
 * Returns where a request line starts that ends with the text, or NULL. The
 * method may have other characters before it.
 */
static const char *find_request_line(const char *text)
{
	static const char *const methods[] = { "GET",	 "HEAD",  "POST",
					       "PUT",	 "PATCH", "DELETE",
					       "OPTIONS" };
	static const char version[] = " HTTP/1.";
	size_t len = strlen(text);
	size_t end = sizeof(version); /* with the digit */
	const char *target;

	if (len <= end ||
	    memcmp(text + len - end, version, sizeof(version) - 1) != 0)
		return NULL;
	target = memrchr(text, ' ', len - end);
	if (!target || target[1] != '/')
		return NULL;
	for (size_t i = 0; i < sizeof(methods) / sizeof(methods[0]); i++) {
		size_t n = strlen(methods[i]);

		if ((size_t)(target - text) >= n &&
		    memcmp(target - n, methods[i], n) == 0)
			return target - n;
	}
	return NULL;
}

static int is_repeated(const struct httpd_request *r, size_t field)
{
	const char *name = text_at(r, r->fields[field].name);

	for (size_t i = field + 1; i < r->field_count; i++) {
		if (strcasecmp(text_at(r, r->fields[i].name), name) == 0)
			return 1;
	}
	return 0;
}

/*
 * Finds the request line of a second request in the value in which the first
 * was cut. In front of the Host it is the only sign of it; it counts if it
 * stands at the end of a word, or if the cut header comes again. A header that
 * quotes a request line does neither.
 */
static enum err check_request_lines(struct httpd_request *r)
{
	for (size_t i = 0; i < r->field_count; i++) {
		const char *value = text_at(r, r->fields[i].value);
		const char *line;

		if (strcasecmp(text_at(r, r->fields[i].name), "Host") == 0)
			return ERR_OK;
		line = find_request_line(value);
		if (!line)
			continue;
		if ((line > value && !strchr(" \t\"'(,;:=", line[-1])) ||
		    is_repeated(r, i))
			return refuse(r, "request_line");
	}
	return ERR_OK;
}

/*
 * The server removes no other coding than chunked, and a reader of HTTP/1.0
 * knows none (RFC 9112, section 6.1).
 */
static enum err check_coding(struct httpd_request *r)
{
	unsigned count = 0;

	for (size_t i = 0; i < r->field_count; i++) {
		if (strcasecmp(text_at(r, r->fields[i].name),
			       "Transfer-Encoding") != 0)
			continue;
		if (strcasecmp(text_at(r, r->fields[i].value), "chunked") != 0)
			return refuse(r, "transfer_encoding");
		count++;
	}
	return count > 1 || (count && r->http_1_0)
		       ? refuse(r, "transfer_encoding")
		       : ERR_OK;
}

static int expects_continue(const struct httpd_request *r)
{
	const char *value = httpd_get_header(r, "Expect");

	return value && strcasecmp(value, "100-continue") == 0;
}

static int on_headers_complete(http_parser *p)
{
	struct httpd_conn *c = p->data;
	struct httpd_request *r = c->receiving;

	c->headers_done = 1;
	if (end_text(r) != ERR_OK)
		return result(c, ERR_NOMEM);
	trim_values(r);
	r->path = (const char *)r->text.data;
	r->method = http_method_str((enum http_method)p->method);
	r->keep_alive = http_should_keep_alive(p);
	r->http_1_0 = p->http_major == 1 && p->http_minor == 0;
	if (p->http_major != 1)
		return result(c, ERR_MALFORMED);
	if (exceeds_body_limit(p, c->server))
		return result(c, ERR_TOO_LARGE);
	if (check_host(r) != ERR_OK || check_request_lines(r) != ERR_OK ||
	    check_coding(r) != ERR_OK)
		return result(c, ERR_MALFORMED);
	r->expects_continue = expects_continue(r);
	if (r->expects_continue && !c->requests)
		httpd_send_continue(c);
	/*
	 * A request to change the protocol is answered as any other; CONNECT
	 * stays an upgrade, which the parser cannot read on from.
	 */
	if (p->method != HTTP_CONNECT)
		p->upgrade = 0;
	begin_body(c, p);
	return 0;
}

static int on_chunk(http_parser *p)
{
	struct httpd_conn *c = p->data;

	httpd_lines_begin(&c->lines,
			  p->content_length ? HTTPD_PART_CHUNK
					    : HTTPD_PART_TRAILERS,
			  p->content_length);
	return 0;
}

static int on_chunk_end(http_parser *p)
{
	struct httpd_conn *c = p->data;

	httpd_lines_begin(&c->lines, HTTPD_PART_CHUNK_SIZE, 0);
	return 0;
}

static int on_body(http_parser *p, const char *data, size_t len)
{
	struct httpd_conn *c = p->data;
	struct httpd_request *r = c->receiving;

	if (r->body.len + len > c->server->max_body_bytes)
		return result(c, ERR_TOO_LARGE);
	return result(c, buf_add(&r->body, data, len));
}

static int on_complete(http_parser *p)
{
	struct httpd_conn *c = p->data;

	if (p->method == HTTP_CONNECT)
		return result(c, ERR_MALFORMED);
	httpd_lines_begin(&c->lines, HTTPD_PART_HEAD, 0);
	dispatch(c);
	if (!httpd_may_take(c))
		http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings parser_callbacks = {
	.on_message_begin = on_begin,
	.on_url = on_target,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_chunk_header = on_chunk,
	.on_chunk_complete = on_chunk_end,
	.on_message_complete = on_complete,
};

void httpd_parser_init(struct httpd_conn *c)
{
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	httpd_lines_begin(&c->lines, HTTPD_PART_HEAD, 0);
}

static enum err parse_error(const struct httpd_conn *c)
{
	if (c->receiving && c->receiving->error != ERR_OK)
		return c->receiving->error;
	return HTTP_PARSER_ERRNO(&c->parser) == HPE_HEADER_OVERFLOW
		       ? ERR_RANGE
		       : ERR_MALFORMED;
}

/*
 * Gives the parser one line, body or chunk after the other. Returns how many
 * bytes were taken: fewer than len at an error, and if the parser has paused.
 */
static size_t execute(struct httpd_conn *c, const char *data, size_t len)
{
	size_t taken = 0;

	while (taken < len && !c->closing) {
		size_t n =
			httpd_lines_next(&c->lines, data + taken, len - taken);
		size_t parsed;

		if (!n)
			break;
		parsed = http_parser_execute(&c->parser, &parser_callbacks,
					     data + taken, n);
		taken += parsed;
		if (parsed != n || HTTP_PARSER_ERRNO(&c->parser) != HPE_OK)
			break;
	}
	return taken;
}

void httpd_parse(struct httpd_conn *c, const char *data, size_t len)
{
	size_t n;

	/* Behind a request that is not received whole, a limit has no effect.
	 */
	if (!c->receiving && !httpd_may_take(c)) {
		if (!c->closing && buf_add(&c->input, data, len) != ERR_OK)
			reject(c, ERR_NOMEM);
		return;
	}
	http_parser_pause(&c->parser, 0);
	n = execute(c, data, len);
	if (HTTP_PARSER_ERRNO(&c->parser) == HPE_PAUSED) {
		if (!c->closing &&
		    buf_add(&c->input, data + n, len - n) != ERR_OK)
			reject(c, ERR_NOMEM);
		return;
	}
	if (!c->closing &&
	    (n != len || HTTP_PARSER_ERRNO(&c->parser) != HPE_OK))
		reject(c, parse_error(c));
}

void httpd_parse_input(struct httpd_conn *c)
{
	struct buf b = c->input;

	if (!b.len || c->closing || (!c->receiving && !httpd_may_take(c)))
		return;
	buf_init(&c->input);
	httpd_parse(c, (const char *)b.data, b.len);
	buf_finish(&b);
}

/* ---- access to a request ---- */

const char *httpd_get_header(const struct httpd_request *r, const char *name)
{
	for (size_t i = 0; i < r->field_count; i++)
		if (strcasecmp(text_at(r, r->fields[i].name), name) == 0)
			return text_at(r, r->fields[i].value);
	return NULL;
}

void httpd_each_header(const struct httpd_request *r,
		       void (*fn)(const char *name, const char *value,
				  void *priv),
		       void *priv)
{
	for (size_t i = 0; i < r->field_count; i++)
		fn(text_at(r, r->fields[i].name),
		   text_at(r, r->fields[i].value), priv);
}

static int hex_value(char c)
{
	static const char digits[] = "0123456789abcdef";
	const char *p = c ? strchr(digits, c | 0x20) : NULL;

	return p ? (int)(p - digits) : -1;
}

/* Appends a part of a query, decoded, with a zero at its end. */
static enum err add_decoded(struct buf *out, const char *s, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		char c = s[i] == '+' ? ' ' : s[i];
		int high = -1, low = -1;

		if (c == '%' && i + 2 < len) {
			high = hex_value(s[i + 1]);
			low = hex_value(s[i + 2]);
		}
		/* A coded zero stays coded: the parts are stored as strings. */
		if (high >= 0 && low >= 0 && (high | low)) {
			c = (char)(high << 4 | low);
			i += 2;
		}
		if (buf_add(out, &c, 1) != ERR_OK)
			return ERR_NOMEM;
	}
	return buf_add(out, "", 1);
}

static void decode_arguments(struct httpd_request *r)
{
	const char *s = strchr(r->path, '?');

	r->has_arguments = 1;
	while (s && *s) {
		size_t len = strcspn(++s, "&");
		size_t name = strcspn(s, "=&");
		size_t value = name < len ? name + 1 : len;

		if (add_decoded(&r->arguments, s, name) != ERR_OK ||
		    add_decoded(&r->arguments, s + value, len - value) !=
			    ERR_OK) {
			buf_reset(&r->arguments);
			return;
		}
		s += len;
	}
}

const char *httpd_get_argument(const struct httpd_request *r, const char *name)
{
	const char *at, *end;

	if (!r->has_arguments)
		decode_arguments((struct httpd_request *)(uintptr_t)r);
	if (!r->arguments.len)
		return NULL;
	at = (const char *)r->arguments.data;
	end = at + r->arguments.len;
	while (at < end) {
		const char *value = at + strlen(at) + 1;

		if (strcmp(at, name) == 0)
			return value;
		at = value + strlen(value) + 1;
	}
	return NULL;
}
