#include "config/json_rows.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Position in the text; at is NULL once the text turned out to be malformed. */
struct scan {
	const char *at;
	const char *end;
};

/* A part of the text. */
struct span {
	const char *at;
	size_t len;
};

/* What is cut out. */
struct cut {
	const char *list; /* its name */
	struct json_rows *rows;
	size_t cap;
	struct span text; /* the list; at is NULL before it was found */
	int no_memory;
};

static void fail(struct scan *s)
{
	s->at = NULL;
}

static void skip_blanks(struct scan *s)
{
	while (s->at && s->at < s->end &&
	       (*s->at == ' ' || *s->at == '\t' || *s->at == '\n' ||
		*s->at == '\r'))
		s->at++;
}

/* Returns the next character that is no blank, 0 at the end. */
static char peek(struct scan *s)
{
	skip_blanks(s);
	return s->at && s->at < s->end ? *s->at : 0;
}

/* Passes over the character if it is the next one. */
static int accept(struct scan *s, char c)
{
	if (peek(s) != c)
		return 0;
	s->at++;
	return 1;
}

static void expect(struct scan *s, char c)
{
	if (!accept(s, c))
		fail(s);
}

/* Passes over a text in quotes and returns what is between them. */
static struct span take_string(struct scan *s)
{
	struct span span = { NULL, 0 };

	expect(s, '"');
	if (!s->at)
		return span;
	span.at = s->at;
	while (s->at < s->end && *s->at != '"')
		s->at += 1 + (*s->at == '\\');
	if (s->at >= s->end) {
		fail(s);
		return span;
	}
	span.len = (size_t)(s->at++ - span.at);
	return span;
}

/*
 * Passes over a value. Only quotes and brackets are looked at, since the value
 * is either the same as one that was read before or is read later.
 */
static void take_value(struct scan *s)
{
	const char *p = s->at, *end = s->end;
	const char *start = p;
	size_t depth = 0;

	while (p < end) {
		char c = *p;

		if (c == '"') {
			for (p++; p < end && *p != '"'; p++)
				p += *p == '\\';
			if (p >= end)
				break;
		} else if (c == '[' || c == '{') {
			depth++;
		} else if (c == ']' || c == '}') {
			if (!depth)
				break;
			depth--;
		} else if (!depth && (c == ',' || c == ':' || c == ' ' ||
				      c == '\t' || c == '\r' || c == '\n')) {
			break;
		}
		p++;
		if (!depth && (c == '"' || c == ']' || c == '}'))
			break;
	}
	s->at = p;
	if (p == start || p > end || depth)
		fail(s);
}

static void add_row(struct cut *cut, const char *at, size_t len)
{
	struct json_rows *r = cut->rows;

	if (r->count == cut->cap) {
		size_t cap = cut->cap ? 2 * cut->cap : 64;
		struct json_row *rows = realloc(r->rows, cap * sizeof(*rows));

		if (!rows) {
			cut->no_memory = 1;
			return;
		}
		r->rows = rows;
		cut->cap = cap;
	}
	r->rows[r->count].text = at;
	r->rows[r->count].len = len;
	r->rows[r->count++].digest = XXH3_64bits(at, len);
}

/* Passes over the list and adds its elements. */
static void take_list(struct scan *s, struct cut *cut)
{
	const char *start = s->at;

	expect(s, '[');
	if (s->at && !accept(s, ']')) {
		do {
			const char *row;

			skip_blanks(s);
			row = s->at;
			take_value(s);
			if (s->at)
				add_row(cut, row, (size_t)(s->at - row));
		} while (accept(s, ','));
		expect(s, ']');
	}
	cut->text.at = start;
	cut->text.len = s->at ? (size_t)(s->at - start) : 0;
}

static int is_name(struct span key, const char *name)
{
	return key.len == strlen(name) && !memcmp(key.at, name, key.len);
}

/*
 * Passes over an object, over the value of the member name by take. Fails if
 * that member is there twice, or if a name is escaped and may be the same.
 */
static void take_object(struct scan *s, const char *name,
			void (*take)(struct scan *s, struct cut *cut),
			struct cut *cut)
{
	int found = 0;

	expect(s, '{');
	if (!s->at || accept(s, '}'))
		return;
	do {
		struct span key = take_string(s);

		expect(s, ':');
		peek(s);
		if (!s->at || !key.at || memchr(key.at, '\\', key.len)) {
			fail(s);
			return;
		}
		if (!is_name(key, name))
			take_value(s);
		else if (found++)
			fail(s);
		else
			take(s, cut);
	} while (accept(s, ','));
	expect(s, '}');
}

static void take_list_of_object(struct scan *s, struct cut *cut)
{
	take_object(s, cut->list, take_list, cut);
}

enum err json_rows_cut(const char *text, size_t len, const char *object,
		       const char *list, struct json_rows *out)
{
	struct cut cut = { .list = list, .rows = out };
	struct scan s = { text, text + len };
	const char *after;
	enum err e;

	memset(out, 0, sizeof(*out));
	buf_init(&out->rest);
	take_object(&s, object, take_list_of_object, &cut);
	if (cut.no_memory)
		return ERR_NOMEM;
	if (!s.at || !cut.text.at) {
		out->count = 0;
		return buf_add(&out->rest, text, len);
	}
	after = cut.text.at + cut.text.len;
	e = buf_add(&out->rest, text, (size_t)(cut.text.at - text));
	if (e == ERR_OK)
		e = buf_add(&out->rest, "[]", 2);
	if (e == ERR_OK)
		e = buf_add(&out->rest, after, (size_t)(text + len - after));
	return e;
}

void json_rows_finish(struct json_rows *r)
{
	buf_finish(&r->rest);
	free(r->rows);
	memset(r, 0, sizeof(*r));
}
