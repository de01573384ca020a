#include "transport/httpc_head.h"

#include <string.h>
#include <strings.h>

#define VERSION_TEXT "HTTP/1."
#define VERSION_LEN (sizeof(VERSION_TEXT) - 1)
/* "HTTP/1.1 200": the shortest status line. */
#define MIN_STATUS_LINE 12
/* RFC 9110, section 15: others are invalid. */
#define MAX_STATUS 599

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

	while ((p = memchr(p, VERSION_TEXT[0], (size_t)(end - p)))) {
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

/* Reads the status of "HTTP/1.1 200". */
static unsigned read_status(const char *line)
{
	return (unsigned)(line[9] - '0') * 100 +
	       (unsigned)(line[10] - '0') * 10 + (unsigned)(line[11] - '0');
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

/*
 * Notes the text of a status line within a line. That of another status, or in
 * anything but a success, is a second answer; else what follows decides.
 */
static enum httpc_fault find_inner_lines(struct httpc_head *h, const char *line,
					 size_t len)
{
	const char *end = line + len;

	while ((line = find_status_line(line, (size_t)(end - line)))) {
		if (h->status < 200 || h->status > 299 ||
		    read_status(line) != h->status)
			return HTTPC_FAULT_SECOND_HEAD;
		h->has_inner_line = 1;
		line++;
	}
	return HTTPC_FAULT_NONE;
}

static enum httpc_fault add_status_line(struct httpc_head *h, const char *line,
					size_t len)
{
	if (!starts_with_status(line, len) || !is_text(line, len) ||
	    read_status(line) > MAX_STATUS)
		return HTTPC_FAULT_STATUS_LINE;
	begin_head(h);
	h->status = read_status(line);
	h->closes = line[7] == '0';
	return find_inner_lines(h, line + MIN_STATUS_LINE,
				len - MIN_STATUS_LINE);
}

/* One member of a list "5, 5". Returns 0 if it is no length. */
static int read_length(const char *text, size_t len, uint64_t *out)
{
	*out = 0;
	while (len > 1 && text[0] == '0') {
		text++;
		len--;
	}
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

/*
 * No other transfer coding was asked for, and none is applied twice. A list may
 * have empty members.
 */
static enum httpc_fault add_coding(struct httpc_head *h, const char *value,
				   size_t len)
{
	const char *member;
	size_t member_len;

	while (next_member(&value, &len, &member, &member_len)) {
		if (!member_len)
			continue;
		if (!equals(member, member_len, "chunked") || h->chunked ||
		    h->has_length)
			return HTTPC_FAULT_FRAMING;
		h->chunked = 1;
	}
	return h->chunked ? HTTPC_FAULT_NONE : HTTPC_FAULT_FRAMING;
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
	h->drops_fold = 0;
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
	h->can_fold = 1;
	return HTTPC_FAULT_NONE;
}

static int is_framing(const char *name, size_t len)
{
	return equals(name, len, "Content-Length") ||
	       equals(name, len, "Transfer-Encoding");
}

/* Trailers have no say; those that belong into a head are of another one. */
static enum httpc_fault check_trailer(const struct httpc_head *h,
				      const char *name, size_t name_len)
{
	if (is_framing(name, name_len) ||
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
	if (h->complete || h->drops_fold || !is_text(line, len))
		return HTTPC_FAULT_NONE;
	h->headers->len--;
	if (buf_add(h->headers, " ", 1) != ERR_OK ||
	    buf_add(h->headers, line, len) != ERR_OK ||
	    buf_add(h->headers, "\n", 1) != ERR_OK)
		return HTTPC_FAULT_LINE;
	return HTTPC_FAULT_NONE;
}

/* A header that is not valid is dropped, and what continues it. */
static enum httpc_fault drop_header(struct httpc_head *h)
{
	h->can_fold = 1;
	h->drops_fold = 1;
	return HTTPC_FAULT_NONE;
}

static enum httpc_fault add_named(struct httpc_head *h, const char *name,
				  size_t name_len, const char *value,
				  size_t len)
{
	enum httpc_fault fault;
	size_t full_len = name_len;

	/* RFC 9112, section 5.1: a proxy removes blanks before the colon. */
	name_len = trimmed_length(name, name_len);
	while (len && is_blank(value[0])) {
		value++;
		len--;
	}
	/* libcurl does not read such a header as one that frames the body. */
	if (is_framing(name, name_len) &&
	    (name_len != full_len || !is_text(value, len)))
		return HTTPC_FAULT_FRAMING;
	if (!is_token(name, name_len) || !is_text(value, len))
		return drop_header(h);
	if (h->complete) {
		h->can_fold = 1;
		return check_trailer(h, name, name_len);
	}
	fault = interpret(h, name, name_len, value, len);
	return fault == HTTPC_FAULT_NONE ? append(h, name, name_len, value, len)
					 : fault;
}

static enum httpc_fault add_header(struct httpc_head *h, const char *line,
				   size_t len)
{
	const char *colon = memchr(line, ':', len);
	enum httpc_fault fault;

	if (starts_with_status(line, len))
		return HTTPC_FAULT_SECOND_HEAD;
	/* They end lines for other readers. */
	if (memchr(line, '\r', len) || memchr(line, 0, len))
		return HTTPC_FAULT_LINE;
	if (is_blank(line[0]))
		fault = add_folded(h, line, len);
	else if (colon)
		fault = add_named(h, line, (size_t)(colon - line), colon + 1,
				  len - (size_t)(colon - line) - 1);
	else
		return HTTPC_FAULT_LINE;
	/* What follows it matters, not what stands on its own line. */
	if (fault != HTTPC_FAULT_NONE || h->complete)
		return fault;
	return find_inner_lines(h, line, len);
}

/* len is 0 for a line of blanks, which continues a value by nothing. */
static enum httpc_fault add_text_line(struct httpc_head *h, const char *line,
				      size_t len)
{
	if (!h->in_head)
		return add_status_line(h, line, len);
	if (!len)
		return h->can_fold ? HTTPC_FAULT_NONE : HTTPC_FAULT_LINE;
	return add_header(h, line, len);
}

/* An empty line ends a head, and the trailers. */
static enum httpc_fault end_head(struct httpc_head *h)
{
	if (!h->in_head)
		return HTTPC_FAULT_STATUS_LINE;
	if (!h->complete && h->has_inner_line &&
	    (h->id_name ? !h->id_len : !httpc_head_is_framed(h)))
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

/* A line of a body. */
struct body_line {
	const char *text;
	size_t len;  /* without its end */
	size_t size; /* with it */
	int ends;    /* 0 if the body does before */
};

static struct body_line read_body_line(const char *text, size_t len)
{
	const char *eol = memchr(text, '\n', len);
	struct body_line line = { .text = text,
				  .len = eol ? (size_t)(eol - text) : len,
				  .size = eol ? (size_t)(eol - text) + 1 : len,
				  .ends = eol != NULL };

	if (line.len && text[line.len - 1] == '\r')
		line.len--;
	return line;
}

/* Returns 1 if the line can be a header, or the cut off begin of one. */
static int is_header(const struct body_line *line)
{
	const char *colon = memchr(line->text, ':', line->len);
	size_t name_len = colon ? (size_t)(colon - line->text) : line->len;

	if (!line->ends && !line->len)
		return 1;
	/* It continues the header before. */
	if (line->len && is_blank(line->text[0]))
		return is_text(line->text, line->len);
	return (colon || !line->ends) && is_token(line->text, name_len) &&
	       is_text(line->text, line->len);
}

static int has_id(const struct body_line *line, const char *name,
		  const char *id)
{
	size_t n = name ? strlen(name) : 0;
	const char *value = line->text + n + 1;
	size_t len = line->len - n - 1;

	if (!n || line->len <= n || line->text[n] != ':' ||
	    strncasecmp(line->text, name, n) != 0)
		return 0;
	while (len && is_blank(value[0])) {
		value++;
		len--;
	}
	len = trimmed_length(value, len);
	return len == strlen(id) && memcmp(value, id, len) == 0;
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
	size_t left = len;
	int in_head = 0;  /* all lines since a status line can be headers */
	int has_head = 0; /* such a head has ended */

	if (!len)
		return HTTPC_BODY_PLAIN;
	if (!memmem(body, len, VERSION_TEXT, VERSION_LEN))
		left = 0;
	while (left) {
		struct body_line line = read_body_line(p, left);

		has_head |= in_head && line.ends && !line.len;
		if (find_status_line(line.text,
				     trimmed_length(line.text, line.len)))
			in_head = 1;
		else
			in_head = in_head && is_header(&line);
		if (in_head && has_id(&line, id_name, id))
			return HTTPC_BODY_HAS_ANSWER;
		p += line.size;
		left -= line.size;
	}
	if (in_head || has_head || ends_in_status(body, len))
		return HTTPC_BODY_IN_HEAD;
	return HTTPC_BODY_PLAIN;
}
