#include "transport/httpc_head.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/*
 * Guards against a head that is put together from two answers, and against
 * memory errors in the reading of heads. An even first byte: the rest is read
 * as lines and as a body. An odd one: the rest decides how two proper heads are
 * made, and the second one is read behind each part of the first one, and
 * looked for in bodies.
 */

#define ID_NAME "X-Attempt-Id"
#define ID "9c41d07be2a35f68"
#define OTHER "4be07f12c9a8d653"

struct input {
	const uint8_t *data;
	size_t len;
};

static unsigned take(struct input *in, unsigned limit)
{
	unsigned n;

	if (!in->len)
		return 0;
	n = in->data[0] % limit;
	in->data++;
	in->len--;
	return n;
}

static void check(int holds)
{
	if (!holds)
		abort();
}

static void add(struct buf *b, const char *text)
{
	check(buf_add(b, text, strlen(text)) == ERR_OK);
}

/* A plain second reading of what a status line is. */
static int has_status_line(const char *text, size_t len)
{
	static const char pattern[] = "HTTP/1.# ###";
	const size_t n = sizeof(pattern) - 1;

	for (size_t i = 0; i + n <= len; i++) {
		size_t k = 0;

		while (k < n && (pattern[k] == '#' ? text[i + k] >= '0' &&
							     text[i + k] <= '9'
						   : text[i + k] == pattern[k]))
			k++;
		if (k == n)
			return 1;
	}
	return 0;
}

/* Each line of the headers is "Name: value\n" with a valid name. */
static void check_headers(const struct buf *headers)
{
	const char *text = (const char *)headers->data;
	size_t at = 0;

	while (at < headers->len) {
		const char *end = memchr(text + at, '\n', headers->len - at);
		size_t name = 0;

		check(end != NULL);
		while (memchr("!#$%&'*+-.^_`|~0123456789"
			      "abcdefghijklmnopqrstuvwxyz"
			      "ABCDEFGHIJKLMNOPQRSTUVWXYZ",
			      text[at + name], 25 + 52))
			name++;
		check(name > 0 && text[at + name] == ':' &&
		      text[at + name + 1] == ' ');
		for (const char *p = text + at; p < end; p++)
			check(((unsigned char)*p >= ' ' && *p != 127) ||
			      *p == '\t');
		at = (size_t)(end + 1 - text);
	}
}

static void read_lines(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data;
	enum httpc_fault last = HTTPC_FAULT_NONE;
	struct httpc_head h;
	struct buf headers;

	buf_init(&headers);
	httpc_head_init(&h, size % 2 ? ID_NAME : NULL, &headers);
	while (size) {
		const char *eol = memchr(text, '\n', size);
		size_t len = eol ? (size_t)(eol - text) + 1 : size;
		int was_complete = h.complete;
		size_t headers_len = headers.len;
		enum httpc_fault fault = httpc_head_add(&h, text, len);

		check(fault == h.fault && fault < HTTPC_FAULT_COUNT);
		check(httpc_fault_name(fault)[0]);
		/* A fault stays, and a line without an end is one. */
		check(last == HTTPC_FAULT_NONE || fault == last);
		check(eol || fault != HTTPC_FAULT_NONE);
		/* Trailers change nothing. */
		check(!was_complete || headers.len == headers_len);
		check(!h.complete || (h.status >= 200 && h.status <= 599));
		check(httpc_head_is_framed(&h) == (h.chunked || h.has_length));
		check_headers(&headers);
		last = fault;
		text += len;
		size -= len;
	}
	buf_finish(&headers);
}

/* Adds a value of several pieces, none of which makes a status line. */
static void add_value(struct buf *out, struct input *in)
{
	static const char *const pieces[] = {
		"a", " ",  "HTTP/1.1", "HTTP/", "HTTP/1.1 ", "20", "7",
		",", "\t", ":",	       "id: ",	"H",	     "x-", "\"",
	};
	size_t start = out->len;

	add(out, "v");
	for (unsigned n = take(in, 6); n; n--)
		add(out, pieces[take(in, sizeof(pieces) / sizeof(*pieces))]);
	if (has_status_line((const char *)out->data + start, out->len - start))
		out->len = start + 1;
}

/* Adds the name in some letter case, the colon, and some blanks. */
static void add_name(struct buf *out, struct input *in, const char *name)
{
	static const char *const colons[] = { ": ", ":", ":\t", ":   " };
	unsigned flips = take(in, 256);
	size_t start = out->len;

	add(out, name);
	for (size_t i = 0; i < strlen(name); i++) {
		uint8_t *c = &out->data[start + i];

		if ((flips >> i % 8) & 1 &&
		    ((*c >= 'a' && *c <= 'z') || (*c >= 'A' && *c <= 'Z')))
			*c ^= 0x20;
	}
	add(out, colons[take(in, 4)]);
}

static void add_end(struct buf *out, struct input *in)
{
	static const char *const ends[] = { "\r\n", "\n", " \r\n", "\t \n" };

	add(out, ends[take(in, 4)]);
}

static void add_ordinary(struct buf *out, struct input *in)
{
	static const char *const names[] = {
		"Server",	 "X-Part", "Set-Cookie",
		"X-Server-Seal", "Via",	   "X-Attempt-Identity",
		"Content-Type",	 "a",	   "Content-Length-Of",
	};

	add_name(out, in, names[take(in, sizeof(names) / sizeof(*names))]);
	add_value(out, in);
	add_end(out, in);
	if (take(in, 8) != 7)
		return;
	add(out, "  ");
	add_value(out, in);
	add_end(out, in);
}

enum framing { FRAMING_NONE, FRAMING_LENGTH, FRAMING_TWICE, FRAMING_CHUNKS };

/* What the headers of one head are; each is added once its number comes up. */
struct plan {
	const char *status;
	const char *id; /* NULL: none */
	enum framing framing;
	unsigned length;
	int interim; /* a 1xx answer precedes it */
};

static void add_framing(struct buf *out, struct input *in,
			const struct plan *plan)
{
	char length[32];

	if (plan->framing == FRAMING_NONE)
		return;
	if (plan->framing == FRAMING_CHUNKS) {
		add_name(out, in, "Transfer-Encoding");
		add(out, take(in, 2) ? "Chunked" : "chunked");
		add_end(out, in);
		return;
	}
	snprintf(length, sizeof(length), "%u", plan->length);
	for (int i = 0; i < (plan->framing == FRAMING_TWICE ? 2 : 1); i++) {
		add_name(out, in, "Content-Length");
		add(out, length);
		add_end(out, in);
	}
}

static void add_id(struct buf *out, struct input *in, const struct plan *plan)
{
	if (!plan->id)
		return;
	add_name(out, in, ID_NAME);
	add(out, plan->id);
	add_end(out, in);
}

static void add_status_line(struct buf *out, struct input *in,
			    const char *status)
{
	static const char *const reasons[] = { " OK", " ", "", " No Content" };
	unsigned reason = take(in, 6);

	add(out, take(in, 8) == 7 ? "HTTP/1.0 " : "HTTP/1.1 ");
	add(out, status);
	if (reason < 4) {
		add(out, reasons[reason]);
	} else {
		add(out, " ");
		add_value(out, in);
	}
	add(out, take(in, 2) ? "\n" : "\r\n");
}

/* Makes a proper head, which 1xx answers may precede. */
static void make_head(struct buf *out, struct input *in,
		      const struct plan *plan)
{
	unsigned id_at, framing_at, count;

	if (plan->interim) {
		add_status_line(out, in, "102");
		if (take(in, 2))
			add_ordinary(out, in);
		add(out, "\r\n");
	}
	add_status_line(out, in, plan->status);
	count = take(in, 5);
	id_at = take(in, count + 1);
	framing_at = take(in, count + 1);
	for (unsigned i = 0; i <= count; i++) {
		if (i == framing_at)
			add_framing(out, in, plan);
		if (i == id_at)
			add_id(out, in, plan);
		if (i < count)
			add_ordinary(out, in);
	}
	if (take(in, 8) == 7) {
		add_name(out, in, "Connection");
		add(out, take(in, 2) ? "keep-alive, close" : "keep-alive");
		add_end(out, in);
	}
	add(out, take(in, 2) ? "\n" : "\r\n");
}

/* Reads lines until the head is complete; h->headers must be empty. */
static void read_head(struct httpc_head *h, const struct buf *text)
{
	const char *p = (const char *)text->data;
	size_t left = text->len;

	while (left && !h->complete && h->fault == HTTPC_FAULT_NONE) {
		const char *eol = memchr(p, '\n', left);
		size_t len = eol ? (size_t)(eol - p) + 1 : left;

		httpc_head_add(h, p, len);
		p += len;
		left -= len;
	}
}

static int is_same(const struct httpc_head *a, const struct httpc_head *b)
{
	return a->status == b->status && a->chunked == b->chunked &&
	       a->has_length == b->has_length &&
	       (!a->has_length || a->length == b->length) &&
	       a->closes == b->closes && a->headers->len == b->headers->len &&
	       strcmp(buf_text(a->headers), buf_text(b->headers)) == 0;
}

/* What is read, and how. */
struct pair {
	const char *id_name;
	struct buf first;
	struct buf second;
};

static void read_alone(struct httpc_head *h, const struct pair *p,
		       struct buf *headers, const struct buf *text)
{
	httpc_head_init(h, p->id_name, headers);
	read_head(h, text);
	check(h->fault == HTTPC_FAULT_NONE && h->complete);
	check_headers(headers);
}

/*
 * Reads the second head behind each part of the first one. The result is a
 * fault or exactly the second head.
 */
static void read_joined(const struct pair *p)
{
	struct buf alone_headers, headers, text;
	struct httpc_head alone, h;

	buf_init(&alone_headers);
	buf_init(&headers);
	buf_init(&text);
	read_alone(&alone, p, &alone_headers, &p->first);
	buf_reset(&alone_headers);
	read_alone(&alone, p, &alone_headers, &p->second);
	for (size_t n = 0; n < p->first.len; n++) {
		buf_reset(&text);
		buf_reset(&headers);
		check(buf_add(&text, p->first.data, n) == ERR_OK &&
		      buf_add(&text, p->second.data, p->second.len) == ERR_OK);
		httpc_head_init(&h, p->id_name, &headers);
		read_head(&h, &text);
		check(h.fault != HTTPC_FAULT_NONE || is_same(&h, &alone));
		/* Without a part, nothing may be refused. */
		check(n > 0 || h.fault == HTTPC_FAULT_NONE);
	}
	buf_finish(&alone_headers);
	buf_finish(&headers);
	buf_finish(&text);
}

/*
 * Looks for each part of the head in a body that ends in it. A part, however
 * short, is found, and a whole head with the request's id as well.
 */
static void find_in_bodies(const struct pair *p, struct input *in,
			   const struct plan *plan)
{
	size_t start;
	struct buf body;

	buf_init(&body);
	add_value(&body, in);
	start = body.len;
	for (size_t n = 0; n < p->second.len; n++) {
		check(buf_add(&body, &p->second.data[n], 1) == ERR_OK);
		if (n + 1 < p->second.len)
			check(httpc_head_find_in_body(body.data, body.len,
						      p->id_name,
						      ID) != HTTPC_BODY_PLAIN);
	}
	check(body.len == start + p->second.len);
	if (p->id_name && plan->id && strcmp(plan->id, ID) == 0)
		check(httpc_head_find_in_body(body.data, body.len, p->id_name,
					      ID) == HTTPC_BODY_HAS_ANSWER);
	buf_finish(&body);
}

static void make_plan(struct plan *plan, struct input *in)
{
	static const char *const statuses[] = { "200", "201", "204",
						"404", "500", "503" };
	static const enum framing kinds[] = { FRAMING_LENGTH, FRAMING_CHUNKS,
					      FRAMING_TWICE, FRAMING_NONE };

	plan->status = statuses[take(in, 6)];
	plan->id = take(in, 4) ? (take(in, 2) ? OTHER : ID) : NULL;
	plan->framing = kinds[take(in, 4)];
	plan->length = take(in, 3);
	plan->interim = take(in, 8) == 7;
}

/*
 * A second head leaves no sign in the first one if both are successes of the
 * same status, the first one's id came before the cut, and the second one has
 * none; or, where there are no ids, the same with the headers that frame the
 * body. Proper successes have an id or, but for 204, such headers.
 */
static void add_sign(const struct pair *p, const struct plan *first,
		     struct plan *second)
{
	if (second->status[0] != '2' ||
	    strcmp(first->status, second->status) != 0)
		return;
	if (p->id_name && !second->id)
		second->id = ID;
	if (!p->id_name && second->framing == FRAMING_NONE)
		second->framing = FRAMING_LENGTH;
}

static void join_heads(struct input *in)
{
	struct plan first, second;
	struct pair p = {
		.id_name = take(in, 4) ? ID_NAME : NULL,
	};

	make_plan(&first, in);
	make_plan(&second, in);
	add_sign(&p, &first, &second);
	buf_init(&p.first);
	buf_init(&p.second);
	make_head(&p.first, in, &first);
	make_head(&p.second, in, &second);
	read_joined(&p);
	find_in_bodies(&p, in, &second);
	buf_finish(&p.first);
	buf_finish(&p.second);
}

/* Whatever the bytes are, what is found in them is there. */
static void find_in_bytes(const char *text, size_t size)
{
	enum httpc_body_end end =
		httpc_head_find_in_body(text, size, ID_NAME, ID);

	if (end == HTTPC_BODY_HAS_ANSWER)
		check(has_status_line(text, size) &&
		      memmem(text, size, ID, strlen(ID)) != NULL);
	if (end != HTTPC_BODY_PLAIN)
		check(memchr(text, 'H', size) != NULL);
	check(httpc_head_find_in_body(text, size, NULL, NULL) !=
	      HTTPC_BODY_HAS_ANSWER);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct input in = { data + 1, size ? size - 1 : 0 };

	if (!size)
		return 0;
	if (data[0] % 2) {
		join_heads(&in);
	} else {
		read_lines(data + 1, size - 1);
		find_in_bytes((const char *)data + 1, size - 1);
	}
	return 0;
}
