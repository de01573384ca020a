#include "routing/ingress_priv.h"
#include "common/clk.h"
#include "routing/hdr.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define IN_MAX_DEADLINE_DIGITS 9
/* Headers of a caller that both this daemon and the target read. */
#define IN_ROUTER_READS 4
/* Covers PEER_DEADLINE_MARGIN_MS and the way to a gate in another region. */
#define IN_TIMEOUT_MARGIN_MS 60

/* Notes which check refuses the request. */
static enum err refuse(struct in_request *q, enum err error, const char *check)
{
	q->refused_by = check;
	return error;
}

/* Chooses one of the route's services at random, by their weights. */
static const struct doc_service *choose_service(const struct doc *doc,
						const struct doc_route *r)
{
	uint32_t n = 0;

	if (r->destination_count > 1)
		n = (uint32_t)g_random_int_range(0, (gint32)r->weight_sum);
	for (size_t i = 0; i < r->destination_count; i++) {
		if (n < r->destinations[i].weight || r->destination_count == 1)
			return doc_find_service(doc,
						r->destinations[i].service);
		n -= r->destinations[i].weight;
	}
	return NULL;
}

static int hex_digit_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

/*
 * Decodes the %-escapes of a path segment into out, which has len + 1 bytes.
 * Spellings that a target treats as the same segment must give the same key:
 * two keys could have two owners. ERR_MALFORMED: bad escape, or "%00".
 */
static enum err decode_segment(const char *s, size_t len, char *out)
{
	for (size_t i = 0; i < len; i++) {
		int c = (unsigned char)s[i];

		if (c == '%') {
			int high = i + 2 < len ? hex_digit_value(s[i + 1]) : -1;
			int low = i + 2 < len ? hex_digit_value(s[i + 2]) : -1;

			if (high < 0 || low < 0 || !(high | low))
				return ERR_MALFORMED;
			c = high << 4 | low;
			i += 2;
		}
		*out++ = (char)c;
	}
	*out = 0;
	return ERR_OK;
}

static int is_dot_segment(const char *s)
{
	return strcmp(s, ".") == 0 || strcmp(s, "..") == 0;
}

/*
 * Rejects bad escapes, and the segments "." and ".." in any spelling: a target
 * that resolves them would see another key than the router.
 */
static enum err check_path(const char *path)
{
	char *segment = malloc(strlen(path) + 1);
	enum err e = ERR_OK;

	if (!segment)
		return ERR_NOMEM;
	while (e == ERR_OK && *path == '/') {
		size_t len = strcspn(++path, "/?");

		e = decode_segment(path, len, segment);
		if (e == ERR_OK && is_dot_segment(segment))
			e = ERR_MALFORMED;
		path += len;
	}
	free(segment);
	return e;
}

static enum err key_of_segment(struct in_request *q,
			       const struct doc_service *s)
{
	const char *start = q->http->path + strlen(s->prefix);
	size_t len = strcspn(start, "/?");
	enum err e;

	if (!len)
		return refuse(q, ERR_NO_KEY, "key_missing");
	if (len > IN_MAX_KEY_BYTES)
		return refuse(q, ERR_MALFORMED, "key_length");
	q->key = malloc(len + 1);
	if (!q->key)
		return ERR_NOMEM;
	e = decode_segment(start, len, q->key);
	if (e != ERR_OK)
		return refuse(q, e, "key_escape");
	return q->key[0] ? ERR_OK : refuse(q, ERR_NO_KEY, "key_missing");
}

struct header_search {
	const char *name;
	const char *value; /* of the last one */
	unsigned count;
	int differs; /* two values are not equal */
};

static void match_header(const char *name, const char *value, void *priv)
{
	struct header_search *f = priv;

	if (strcasecmp(name, f->name) != 0)
		return;
	f->differs |= f->count && strcmp(value, f->value) != 0;
	f->value = value;
	f->count++;
}

static int is_key_number(const char *text)
{
	size_t digits = strspn(text, "0123456789");

	return digits && !text[digits] && digits <= 5 &&
	       strtoul(text, NULL, 10) < DOC_KEY_NUMBERS;
}

/*
 * Rejects a key header that occurs twice: the target might take the other one.
 */
static enum err key_of_header(struct in_request *q, const struct doc_service *s)
{
	struct header_search f = { .name = s->key_header };

	httpd_each_header(q->http, match_header, &f);
	if (!f.count || !f.value[0])
		return refuse(q, ERR_NO_KEY, "key_missing");
	if (f.count > 1)
		return refuse(q, ERR_MALFORMED, "key_twice");
	if (strlen(f.value) > IN_MAX_KEY_BYTES)
		return refuse(q, ERR_MALFORMED, "key_length");
	if (s->key_source == DOC_KEY_NUMBER && !is_key_number(f.value))
		return refuse(q, ERR_MALFORMED, "key_number");
	q->key = strdup(f.value);
	return q->key ? ERR_OK : ERR_NOMEM;
}

static enum err find_key(struct in_request *q, const struct doc_service *s)
{
	q->keyed = s->keyed;
	if (!s->keyed) {
		q->key = strdup("");
		return q->key ? ERR_OK : ERR_NOMEM;
	}
	return s->key_source == DOC_KEY_SEGMENT ? key_of_segment(q, s)
						: key_of_header(q, s);
}

/*
 * Rejects a header that this daemon reads and that occurs twice with different
 * values: the target might take the other one. Where the head of a cut request
 * is followed by that of another one, the ids differ.
 */
static enum err check_repeated(struct in_request *q, const char *name,
			       const char *check)
{
	struct header_search f = { .name = name };

	if (name)
		httpd_each_header(q->http, match_header, &f);
	return f.differs ? refuse(q, ERR_MALFORMED, check) : ERR_OK;
}

static enum err check_dialect_headers(struct in_request *q)
{
	const struct dialect *d = q->in->dialect;
	enum err e = check_repeated(q, d->request_id, "request_id_twice");

	if (e == ERR_OK)
		e = check_repeated(q, d->deadline, "deadline_twice");
	if (e == ERR_OK)
		e = check_repeated(q, d->tenant, "tenant_twice");
	return e;
}

static enum err parse_deadline(struct in_request *q, uint32_t max_ms)
{
	const char *text = httpd_get_header(q->http, q->in->dialect->deadline);
	unsigned long ms = max_ms;

	if (text) {
		size_t digits = strspn(text, "0123456789");

		if (!digits || text[digits] || digits > IN_MAX_DEADLINE_DIGITS)
			return refuse(q, ERR_MALFORMED, "deadline");
		ms = strtoul(text, NULL, 10);
	}
	if (ms > max_ms)
		ms = max_ms;
	q->deadline_ms = clk_ms() + (int64_t)ms;
	return ERR_OK;
}

static enum err parse_tenant(struct in_request *q)
{
	const char *name = q->in->dialect->tenant;
	const char *text = name ? httpd_get_header(q->http, name) : NULL;

	if (!text)
		text = IN_DEFAULT_TENANT;
	if (!text[0] || strlen(text) >= sizeof(q->tenant))
		return refuse(q, ERR_MALFORMED, "tenant");
	memcpy(q->tenant, text, strlen(text) + 1);
	return ERR_OK;
}

static int is_idempotent(const struct in_request *q,
			 const struct doc_service *s, enum doc_kind kind)
{
	static const char *const methods[] = { "GET", "HEAD", "PUT", "DELETE",
					       "OPTIONS" };

	if (kind != DOC_KIND_METHOD)
		return kind == DOC_KIND_IDEMPOTENT;
	for (size_t i = 0; i < sizeof(methods) / sizeof(methods[0]); i++)
		if (strcmp(q->http->method, methods[i]) == 0)
			return 1;
	return s->idempotency_key &&
	       httpd_get_header(q->http, "Idempotency-Key");
}

struct header_list {
	struct in_request *q;
	struct buf connection;
	size_t count;
	unsigned framing_headers;
	enum err error;
	const char *read_by_router[IN_ROUTER_READS]; /* NULL: not read */
};

/* Headers that state the length of the body; two of them could disagree. */
static int is_framing(const char *name)
{
	return strcasecmp(name, "Content-Length") == 0 ||
	       strcasecmp(name, "Transfer-Encoding") == 0;
}

static void check_header(const char *name, const char *value, void *priv)
{
	struct header_list *l = priv;

	l->count++;
	l->framing_headers += (unsigned)is_framing(name);
	/* The HTTP server limits the length of the whole head. */
	if (l->count > IN_MAX_HEADERS)
		l->error = refuse(l->q, ERR_RANGE, "header_count");
	else if (!hdr_is_token(name) || !hdr_value_is_valid(value))
		l->error = refuse(l->q, ERR_MALFORMED, "header");
	else if (l->framing_headers > 1)
		l->error = refuse(l->q, ERR_MALFORMED, "framing");
	if (strcasecmp(name, "Connection") == 0)
		buf_addf(&l->connection, "%s,", value);
}

static int is_read_by_router(const struct header_list *l, const char *name)
{
	for (size_t i = 0; i < IN_ROUTER_READS; i++) {
		const char *read = l->read_by_router[i];

		if (read && strcasecmp(name, read) == 0)
			return 1;
	}
	return 0;
}

/*
 * Rejects a header that is listed in Connection and that this daemon reads: the
 * target, which does not get it, would see another host, key or id.
 */
static void add_header(const char *name, const char *value, void *priv)
{
	struct header_list *l = priv;
	struct in_request *q = l->q;
	Wire__Header *h = &q->headers[q->forward.n_headers];

	if (!hdr_is_forwardable(name, buf_text(&l->connection))) {
		if (hdr_is_forwardable(name, NULL) &&
		    is_read_by_router(l, name))
			l->error = refuse(q, ERR_MALFORMED, "connection");
		return;
	}
	wire__header__init(h);
	h->name = (char *)(uintptr_t)name;
	h->value = (char *)(uintptr_t)value;
	q->header_list[q->forward.n_headers++] = h;
}

static enum err parse_headers(struct in_request *q, const struct doc_service *s)
{
	struct header_list l = { .q = q };

	l.read_by_router[0] = "Host";
	l.read_by_router[1] = q->in->dialect->request_id;
	if (s->keyed && s->key_source != DOC_KEY_SEGMENT)
		l.read_by_router[2] = s->key_header;
	if (s->idempotency_key)
		l.read_by_router[3] = "Idempotency-Key";

	buf_init(&l.connection);
	httpd_each_header(q->http, check_header, &l);
	if (l.error != ERR_OK)
		goto out;
	l.error = ERR_NOMEM;
	q->headers = calloc(l.count + 1, sizeof(*q->headers));
	q->header_list = calloc(l.count + 1, sizeof(Wire__Header *));
	if (!q->headers || !q->header_list)
		goto out;
	l.error = ERR_OK;
	httpd_each_header(q->http, add_header, &l);
	q->forward.headers = q->header_list;
out:
	buf_finish(&l.connection);
	return l.error;
}

static enum err check_request_line(struct in_request *q)
{
	const struct httpd_request *r = q->http;
	enum err e;

	if (!hdr_is_token(r->method) || strcmp(r->method, "CONNECT") == 0)
		return refuse(q, ERR_MALFORMED, "method");
	if (!hdr_target_is_valid(r->path))
		return refuse(q, ERR_MALFORMED, "target");
	e = check_path(r->path);
	return e == ERR_MALFORMED ? refuse(q, e, "path") : e;
}

static char *header_or_empty(const struct in_request *q, const char *name)
{
	const char *text = name ? httpd_get_header(q->http, name) : NULL;

	return (char *)(uintptr_t)(text ? text : "");
}

static void fill_message(struct in_request *q, const struct doc_service *s,
			 const struct doc_route *r)
{
	const char *caller = q->in->settings->service;

	q->forward.service = q->service;
	q->forward.key = q->key;
	q->forward.method = (char *)(uintptr_t)q->http->method;
	q->forward.path = (char *)(uintptr_t)q->http->path;
	q->forward.body.data = q->http->body.data;
	q->forward.body.len = q->http->body.len;
	q->forward.tenant = q->tenant;
	q->forward.idempotent = is_idempotent(q, s, r->kind);
	q->forward.priority = r->priority;
	q->forward.route = g_str_hash(r->name);
	q->forward.caller = (char *)(uintptr_t)caller;
	q->forward.request_id = header_or_empty(q, q->in->dialect->request_id);
}

/*
 * Returns the deadline of a request that states none, which is also the longest
 * that a request can state. The margin keeps a gate, which gets the remaining
 * time less what the way back takes, from breaking off a run before the route's
 * timeout.
 */
static uint32_t max_wait_ms(const struct doc_service *s,
			    const struct doc_route *r)
{
	uint32_t ms = r->timeout_ms + IN_TIMEOUT_MARGIN_MS;

	return r->timeout_ms && ms < s->deadline_ms ? ms : s->deadline_ms;
}

static enum err parse_for_service(struct in_request *q,
				  const struct doc_service *s,
				  const struct doc_route *r)
{
	enum err e;

	memcpy(q->service, s->name, sizeof(q->service));
	q->retry_ratio = s->retry_ratio;
	q->target_ms = r->target_ms;
	q->max_target_sends = r->attempts;
	q->regions = r->regions;
	q->has_regions = r->regions != NULL;
	e = parse_tenant(q);
	if (e != ERR_OK)
		return e;
	q->has_service = 1;
	if (s->idempotency_key)
		e = check_repeated(q, "Idempotency-Key", "idempotency_twice");
	if (e != ERR_OK)
		return e;
	if (q->http->body.len > s->body_bytes)
		return refuse(q, ERR_TOO_LARGE, "body_length");
	e = find_key(q, s);
	if (e == ERR_OK)
		e = parse_deadline(q, max_wait_ms(s, r));
	if (e == ERR_OK)
		e = parse_headers(q, s);
	if (e == ERR_OK)
		fill_message(q, s, r);
	return e;
}

enum err in_parse(struct in_request *q, const struct doc *doc)
{
	const struct doc_service *s;
	const struct doc_route *r;
	enum err e = check_request_line(q);

	if (e == ERR_OK)
		e = check_dialect_headers(q);
	if (e != ERR_OK)
		return e;
	r = doc_find_route(doc, httpd_get_header(q->http, "Host"),
			   q->http->path);
	if (!r)
		return refuse(q, ERR_NO_SERVICE, "no_route");
	s = choose_service(doc, r);
	if (!s)
		return refuse(q, ERR_NO_SERVICE, "no_service");
	return parse_for_service(q, s, r);
}
