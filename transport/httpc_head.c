#include "transport/httpc_head.h"

#include <string.h>
#include <strings.h>

#define VERSION_TEXT "HTTP/1."
#define VERSION_LEN (sizeof(VERSION_TEXT) - 1)
/* "HTTP/1.1 200": the shortest status line. */
#define MIN_STATUS_LINE 12

static const char *const fault_names[] = {
	[HTTPC_FAULT_NONE] = "none",
	[HTTPC_FAULT_STATUS_LINE] = "status_line",
	[HTTPC_FAULT_LINE] = "line",
	[HTTPC_FAULT_SECOND_HEAD] = "second_head",
	[HTTPC_FAULT_FRAMING] = "framing",
	[HTTPC_FAULT_REPEATED] = "repeated",
	[HTTPC_FAULT_TRAILER] = "trailer",
	[HTTPC_FAULT_BODY] = "body",
};

const char *httpc_fault_name(enum httpc_fault fault)
{
	return fault_names[fault];
}

static int is_digit(char c)
{
	return c >= '0' && c <= '9';
}

/* Returns 1 if the text begins with "HTTP/1.x ddd", without a reason or with.
 */
static int starts_with_status(const char *text, size_t len)
{
	return len >= MIN_STATUS_LINE &&
	       memcmp(text, VERSION_TEXT, VERSION_LEN) == 0 &&
	       is_digit(text[7]) && text[8] == ' ' && is_digit(text[9]) &&
	       text[9] != '0' && is_digit(text[10]) && is_digit(text[11]) &&
	       (len == MIN_STATUS_LINE || text[12] == ' ');
}

/* Returns where a status line starts in the text, or NULL. */
static const char *find_status_line(const char *text, size_t len)
{
	const char *end = text + len;
	const char *p = text;

	while ((p = memmem(p, (size_t)(end - p), VERSION_TEXT, VERSION_LEN))) {
		if (starts_with_status(p, (size_t)(end - p)))
			return p;
		p++;
	}
	return NULL;
}

/* Returns 1 for the characters of RFC 9110's token. */
static int is_token(const char *s, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		unsigned char c = (unsigned char)s[i];

		/* Nearly all characters of a name. */
		if (((c | 0x20) >= 'a' && (c | 0x20) <= 'z') || c == '-')
			continue;
		if (c <= ' ' || c >= 127 || strchr("\"(),/:;<=>?@[\\]{}", c))
			return 0;
	}
	return len > 0;
}

/* Returns 1 if the text has no control character but tabs. */
static int is_text(const char *s, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		unsigned char c = (unsigned char)s[i];

		if ((c < ' ' && c != '\t') || c == 127)
			return 0;
	}
	return 1;
}

static int is_blank(char c)
{
	return c == ' ' || c == '\t';
}

static size_t trimmed_length(const char *text, size_t len)
{
	while (len && is_blank(text[len - 1]))
		len--;
	return len;
}

static int equals(const char *text, size_t len, const char *want)
{
	return strlen(want) == len && strncasecmp(text, want, len) == 0;
}

void httpc_head_init(struct httpc_head *h, const char *id_name,
		     struct buf *headers)
{
	memset(h, 0, sizeof(*h));
	h->id_name = id_name;
	h->headers = headers;
}

int httpc_head_is_framed(const struct httpc_head *h)
{
	return h->chunked || h->has_length;
}

/* Forgets a 1xx answer, or prepares for the first head. */
static void begin_head(struct httpc_head *h)
{
	buf_reset(h->headers);
	h->in_head = 1;
	h->chunked = 0;
	h->has_length = 0;
	h->closes = 0;
	h->has_inner_line = 0;
	h->can_fold = 0;
	h->id_len = 0;
}

static enum httpc_fault add_status_line(struct httpc_head *h, const char *line,
					size_t len)
{
	if (!starts_with_status(line, len) || !is_text(line, len))
		return HTTPC_FAULT_STATUS_LINE;
	begin_head(h);
	h->status = (unsigned)(line[9] - '0') * 100 +
		    (unsigned)(line[10] - '0') * 10 +
		    (unsigned)(line[11] - '0');
	h->closes = line[7] == '0';
	h->has_inner_line = find_status_line(line + MIN_STATUS_LINE,
					     len - MIN_STATUS_LINE) != NULL;
	return HTTPC_FAULT_NONE;
}

/* One member of a list "5, 5". Returns 0 if it is no length. */
static int read_length(const char *text, size_t len, uint64_t *out)
{
	*out = 0;
	/* 18 digits fit into 64 bits. */
	if (!len || len > 18)
		return 0;
	for (size_t i = 0; i < len; i++) {
		if (!is_digit(text[i]))
			return 0;
		*out = *out * 10 + (uint64_t)(text[i] - '0');
	}
	return 1;
}

/* Cuts the next member off a list and returns 0 at its end. */
static int next_member(const char **text, size_t *len, const char **member,
		       size_t *member_len)
{
	const char *comma;
	size_t n;

	if (!*text)
		return 0;
	comma = memchr(*text, ',', *len);
	n = comma ? (size_t)(comma - *text) : *len;
	*member = *text;
	*member_len = n;
	*text = comma ? comma + 1 : NULL;
	*len -= comma ? n + 1 : n;
	while (*member_len && is_blank((*member)[0])) {
		(*member)++;
		(*member_len)--;
	}
	*member_len = trimmed_length(*member, *member_len);
	return 1;
}

/* Equal lengths are allowed, in one line or several. */
static enum httpc_fault add_length(struct httpc_head *h, const char *value,
				   size_t len)
{
	const char *member;
	size_t member_len;

	while (next_member(&value, &len, &member, &member_len)) {
		uint64_t length;

		if (!read_length(member, member_len, &length) ||
		    (h->has_length && length != h->length) || h->chunked)
			return HTTPC_FAULT_FRAMING;
		h->has_length = 1;
		h->length = length;
	}
	return HTTPC_FAULT_NONE;
}

static void add_connection(struct httpc_head *h, const char *value, size_t len)
{
	const char *member;
	size_t member_len;

	while (next_member(&value, &len, &member, &member_len)) {
		if (equals(member, member_len, "close"))
			h->closes = 1;
	}
}

/* No other transfer coding was asked for, and none twice. */
static enum httpc_fault add_coding(struct httpc_head *h, const char *value,
				   size_t len)
{
	if (!equals(value, len, "chunked") || h->chunked || h->has_length)
		return HTTPC_FAULT_FRAMING;
	h->chunked = 1;
	return HTTPC_FAULT_NONE;
}

/* The value will be the next bytes of headers after the name and ": ". */
static enum httpc_fault add_id(struct httpc_head *h, size_t name_len,
			       const char *value, size_t len)
{
	size_t start = h->headers->len + name_len + 2;

	if (h->has_inner_line)
		return HTTPC_FAULT_SECOND_HEAD;
	if (!len)
		return HTTPC_FAULT_LINE;
	if (h->id_len &&
	    (len != h->id_len ||
	     memcmp(h->headers->data + h->id_start, value, len) != 0))
		return HTTPC_FAULT_REPEATED;
	h->id_start = start;
	h->id_len = len;
	return HTTPC_FAULT_NONE;
}

/* Reads the headers that decide what the answer is. */
static enum httpc_fault interpret(struct httpc_head *h, const char *name,
				  size_t name_len, const char *value,
				  size_t len)
{
	int is_length = equals(name, name_len, "Content-Length");
	int is_coding = equals(name, name_len, "Transfer-Encoding");

	h->can_fold = 0;
	if (h->id_name && equals(name, name_len, h->id_name))
		return add_id(h, name_len, value, len);
	if ((is_length || is_coding) && h->has_inner_line && !h->id_name)
		return HTTPC_FAULT_SECOND_HEAD;
	if (is_length)
		return add_length(h, value, len);
	if (is_coding)
		return add_coding(h, value, len);
	if (equals(name, name_len, "Connection"))
		add_connection(h, value, len);
	else
		h->can_fold = 1;
	return HTTPC_FAULT_NONE;
}

/* Trailers have no say; those that belong into a head are of another one. */
static enum httpc_fault check_trailer(const struct httpc_head *h,
				      const char *name, size_t name_len)
{
	if (equals(name, name_len, "Content-Length") ||
	    equals(name, name_len, "Transfer-Encoding") ||
	    (h->id_name && equals(name, name_len, h->id_name)))
		return HTTPC_FAULT_TRAILER;
	return HTTPC_FAULT_NONE;
}

static enum httpc_fault append(struct httpc_head *h, const char *name,
			       size_t name_len, const char *value, size_t len)
{
	if (buf_add(h->headers, name, name_len) != ERR_OK ||
	    buf_add(h->headers, ": ", 2) != ERR_OK ||
	    buf_add(h->headers, value, len) != ERR_OK ||
	    buf_add(h->headers, "\n", 1) != ERR_OK)
		return HTTPC_FAULT_LINE;
	return HTTPC_FAULT_NONE;
}

/* A continued value is joined by one space (RFC 9112, section 5.2). */
static enum httpc_fault add_folded(struct httpc_head *h, const char *line,
				   size_t len)
{
	while (len && is_blank(line[0])) {
		line++;
		len--;
	}
	if (!h->can_fold)
		return HTTPC_FAULT_LINE;
	if (h->complete)
		return HTTPC_FAULT_NONE;
	h->headers->len--;
	if (buf_add(h->headers, " ", 1) != ERR_OK ||
	    buf_add(h->headers, line, len) != ERR_OK ||
	    buf_add(h->headers, "\n", 1) != ERR_OK)
		return HTTPC_FAULT_LINE;
	return HTTPC_FAULT_NONE;
}

static enum httpc_fault add_header(struct httpc_head *h, const char *line,
				   size_t len)
{
	const char *colon = memchr(line, ':', len);
	size_t name_len = colon ? (size_t)(colon - line) : 0;
	const char *value = line + name_len + 1;
	size_t value_len = len - name_len - 1;
	enum httpc_fault fault;

	if (starts_with_status(line, len))
		return HTTPC_FAULT_SECOND_HEAD;
	if (!is_text(line, len) || (!colon && !is_blank(line[0])))
		return HTTPC_FAULT_LINE;
	if (is_blank(line[0])) {
		fault = add_folded(h, line, len);
		goto out;
	}
	if (!is_token(line, name_len))
		return HTTPC_FAULT_LINE;
	while (value_len && is_blank(value[0])) {
		value++;
		value_len--;
	}
	if (h->complete) {
		h->can_fold = 1;
		return check_trailer(h, line, name_len);
	}
	fault = interpret(h, line, name_len, value, value_len);
	if (fault == HTTPC_FAULT_NONE)
		fault = append(h, line, name_len, value, value_len);
out:
	/* What follows it matters, not what stands on its own line. */
	if (find_status_line(line, len))
		h->has_inner_line = 1;
	return fault;
}

/* len is 0 for a line of blanks, which is no header. */
static enum httpc_fault add_text_line(struct httpc_head *h, const char *line,
				      size_t len)
{
	if (!h->in_head)
		return add_status_line(h, line, len);
	return len ? add_header(h, line, len) : HTTPC_FAULT_LINE;
}

/* An empty line ends a head, and the trailers. */
static enum httpc_fault end_head(struct httpc_head *h)
{
	if (!h->in_head)
		return HTTPC_FAULT_STATUS_LINE;
	if (!h->complete && h->status >= 200 && h->has_inner_line &&
	    (h->refuses_inner_line || (h->id_name && !h->id_len)))
		return HTTPC_FAULT_SECOND_HEAD;
	/* The final head follows that of a 1xx answer. */
	if (!h->complete && h->status < 200)
		h->in_head = 0;
	else
		h->complete = 1;
	h->can_fold = 0;
	return HTTPC_FAULT_NONE;
}

enum httpc_fault httpc_head_add(struct httpc_head *h, const char *line,
				size_t len)
{
	if (h->fault != HTTPC_FAULT_NONE)
		return h->fault;
	if (!len || line[len - 1] != '\n') {
		h->fault = HTTPC_FAULT_LINE;
		return h->fault;
	}
	len--;
	if (len && line[len - 1] == '\r')
		len--;
	h->fault = len ? add_text_line(h, line, trimmed_length(line, len))
		       : end_head(h);
	return h->fault;
}

/* Returns 1 if the text, which has no end of line, may begin a status line. */
static int begins_status_line(const char *text, size_t len)
{
	if (len && text[len - 1] == '\r')
		len--;
	return starts_with_status(text, len);
}

static int has_id(const struct httpc_head *h, const char *id)
{
	return h->id_len && strlen(id) == h->id_len &&
	       memcmp(h->headers->data + h->id_start, id, h->id_len) == 0;
}

/*
 * Reads the text from a status line on as a head. The last line may be cut off
 * anywhere. A whole head without the id is no other answer to the request.
 */
static enum httpc_body_end read_inner_head(struct httpc_head *h,
					   const char *text, size_t len,
					   const char *id)
{
	const char *eol = memchr(text, '\n', len);

	if (!eol && !begins_status_line(text, len))
		return HTTPC_BODY_PLAIN;
	while (eol) {
		size_t line = (size_t)(eol - text) + 1;

		if (httpc_head_add(h, text, line) != HTTPC_FAULT_NONE)
			return HTTPC_BODY_PLAIN;
		if (has_id(h, id))
			return HTTPC_BODY_HAS_ANSWER;
		if (h->complete)
			return HTTPC_BODY_PLAIN;
		text += line;
		len -= line;
		eol = memchr(text, '\n', len);
	}
	return HTTPC_BODY_IN_HEAD;
}

/* Returns 1 if the body ends in a part of "HTTP/1.1 200". */
static int ends_in_status(const char *body, size_t len)
{
	static const char pattern[] = "HTTP/1.# ###";

	for (size_t n = len < MIN_STATUS_LINE ? len : MIN_STATUS_LINE; n; n--) {
		const char *tail = body + len - n;
		size_t i = 0;

		while (i < n && (pattern[i] == '#' ? is_digit(tail[i])
						   : pattern[i] == tail[i]))
			i++;
		if (i == n)
			return 1;
	}
	return 0;
}

enum httpc_body_end httpc_head_find_in_body(const void *body, size_t len,
					    const char *id_name, const char *id)
{
	const char *p = body;
	const char *end = p + len;
	enum httpc_body_end found = HTTPC_BODY_PLAIN;
	struct buf headers;

	if (!len)
		return found;
	buf_init(&headers);
	while ((p = memmem(p, (size_t)(end - p), VERSION_TEXT, VERSION_LEN))) {
		enum httpc_body_end inner;
		struct httpc_head h;

		buf_reset(&headers);
		httpc_head_init(&h, id_name, &headers);
		inner = read_inner_head(&h, p, (size_t)(end - p), id);
		if (inner > found)
			found = inner;
		p++;
	}
	buf_finish(&headers);
	if (found == HTTPC_BODY_PLAIN && ends_in_status(body, len))
		found = HTTPC_BODY_IN_HEAD;
	return found;
}
