#include "routing/gate_priv.h"
#include "routing/hdr.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

int gate_answer_is_refusal(const struct gate_call *c,
			   const struct gate_answer *a, uint32_t status)
{
	const struct dialect *d = c->g->dialect;

	for (const unsigned *s = d->refused_statuses; *s; s++) {
		if (status == *s)
			return 1;
	}
	return status >= 400 && a->refused && strcmp(a->refused, "1") == 0;
}

/*
 * Splits a line "Name: value\n" in place and returns the next line. *value is
 * NULL if there is no colon.
 */
static char *split_line(char *line, char **name, char **value)
{
	char *end = strchr(line, '\n');
	char *colon;

	*end = 0;
	*name = line;
	*value = NULL;
	colon = strchr(line, ':');
	if (!colon)
		return end + 1;
	*colon = 0;
	*value = colon + 1 + strspn(colon + 1, " \t");
	return end + 1;
}

static size_t count_lines(const char *text)
{
	size_t n = 0;

	for (; *text; text++)
		n += *text == '\n';
	return n;
}

static int header_is(const char *name, const char *want)
{
	return want && strcasecmp(name, want) == 0;
}

static void read_dialect_header(const struct dialect *d, struct gate_answer *a,
				const char *name, const char *value)
{
	if (header_is(name, d->refused))
		a->refused = value;
	else if (header_is(name, d->seal))
		a->seal = value;
	else if (header_is(name, d->request_id))
		a->request_id = value;
	else if (header_is(name, d->rate_limit))
		a->target.rate_limit = value;
	else if (header_is(name, d->leaving))
		a->target.leaving = value;
	else if (header_is(name, "Retry-After"))
		a->retry_after = value;
	else if (header_is(name, "Content-Encoding"))
		a->has_encoding = 1;
}

static void add_header(struct gate_answer *a, char *name, char *value)
{
	Wire__Header *h = &a->headers[a->count];

	wire__header__init(h);
	h->name = name;
	h->value = value;
	a->forwarded[a->count++] = h;
}

/* Drops the headers that are listed in the Connection headers. */
static void drop_connection_headers(struct gate_answer *a,
				    const struct buf *connection)
{
	size_t kept = 0;

	if (!connection->len)
		return;
	for (size_t i = 0; i < a->count; i++)
		if (hdr_is_forwardable(a->headers[i].name,
				       (const char *)connection->data))
			a->forwarded[kept++] = &a->headers[i];
	a->count = kept;
}

/*
 * Returns 1 if a header of the answer goes to the requester. Content-Length
 * does for HEAD, where it is the length of the body that GET would return.
 */
static int is_forwarded(const struct gate_call *c, const char *name)
{
	if (strcasecmp(name, "Content-Length") == 0)
		return strcmp(c->f->method, "HEAD") == 0;
	return hdr_is_forwardable(name, NULL);
}

enum err gate_answer_read(struct gate_answer *a, struct gate_call *c)
{
	char *text = (char *)(uintptr_t)buf_text(&c->http.answer_headers);
	size_t lines = count_lines(text);
	struct buf connection;

	memset(a, 0, sizeof(*a));
	a->headers = calloc(lines + 1, sizeof(*a->headers));
	a->forwarded = calloc(lines + 1, sizeof(Wire__Header *));
	if (!a->headers || !a->forwarded)
		return ERR_NOMEM;
	buf_init(&connection);
	while (*text) {
		char *name, *value;

		text = split_line(text, &name, &value);
		if (!value || !hdr_is_token(name) || !hdr_value_is_valid(value))
			continue;
		read_dialect_header(c->g->dialect, a, name, value);
		if (strcasecmp(name, "Connection") == 0)
			buf_addf(&connection, "%s,", value);
		else if (is_forwarded(c, name))
			add_header(a, name, value);
	}
	drop_connection_headers(a, &connection);
	buf_finish(&connection);
	return ERR_OK;
}

void gate_answer_finish(struct gate_answer *a)
{
	free(a->headers);
	free(a->forwarded);
}

static const char *find_refusal_fault(const struct gate_call *c,
				      const struct gate_answer *a)
{
	if (!c->g->dialect->request_id)
		return NULL;
	if (!a->request_id)
		return c->http.reused_connection ? "refusal_without_id" : NULL;
	return strcmp(a->request_id, c->f->request_id) ? "other_id" : NULL;
}

const char *gate_answer_find_fault(const struct gate_call *c,
				   const struct gate_answer *a, uint32_t status)
{
	const struct dialect *d = c->g->dialect;

	if (gate_answer_is_refusal(c, a, status))
		return find_refusal_fault(c, a);
	if (d->request_id && a->request_id &&
	    strcmp(a->request_id, c->f->request_id) != 0)
		return "other_id";
	if (!d->seal || status >= 300)
		return NULL;
	if (!a->request_id)
		return "no_id";
	if (!a->seal)
		return "no_seal";
	return a->has_encoding ? "encoded" : NULL;
}
