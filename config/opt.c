#include "config/opt.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NAME_CHARS \
	"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-"

/* Longest part of a text that a message quotes. */
#define MAX_QUOTED_BYTES 80

static const char *const value_type_names[] = {
	[OPT_VALUE_INT] = "an integer",
	[OPT_VALUE_REAL] = "a number with a fraction",
	[OPT_VALUE_BOOL] = "a boolean",
	[OPT_VALUE_TEXT] = "a text",
	[OPT_VALUE_TABLE] = "a table",
	[OPT_VALUE_OTHER] = "of another type",
};

const struct opt *opt_find(const struct opt *table, size_t count,
			   const char *name)
{
	for (size_t i = 0; i < count; i++) {
		if (!strcmp(table[i].name, name))
			return &table[i];
	}
	return NULL;
}

int opt_is_group(const struct opt *table, size_t count, const char *name)
{
	size_t len = strlen(name);

	for (size_t i = 0; i < count; i++) {
		if (!strncmp(table[i].name, name, len) &&
		    table[i].name[len] == '.')
			return 1;
	}
	return 0;
}

static void set_number_field(const struct opt *o, double number, char *field)
{
	int i = (int)number;
	uint32_t u = (uint32_t)number;

	if (o->type == OPT_REAL)
		memcpy(field, &number, sizeof(number));
	else if (o->type == OPT_U32)
		memcpy(field, &u, sizeof(u));
	else
		memcpy(field, &i, sizeof(i));
}

static void set_text_field(const struct opt *o, const char *text, char *field)
{
	snprintf(field, o->size, "%s", text ? text : "");
}

void opt_set_defaults(const struct opt *table, size_t count, void *base)
{
	for (size_t i = 0; i < count; i++) {
		const struct opt *o = &table[i];
		char *field = (char *)base + o->offset;

		if (o->type == OPT_TEXT)
			set_text_field(o, o->default_text, field);
		else
			set_number_field(o, o->default_number, field);
	}
}

void opt_add_allowed(const struct opt *o, struct buf *out)
{
	switch (o->type) {
	case OPT_INT:
	case OPT_U32:
		if (o->min == o->max) {
			buf_addf(out, "%.0f", o->min);
			return;
		}
		buf_addf(out, "%s from %.0f to %.0f",
			 o->power_of_two ? "a power of two" : "an integer",
			 o->min, o->max);
		return;
	case OPT_REAL:
		buf_addf(out, "a number from %g to %g", o->min, o->max);
		return;
	case OPT_BOOL:
		buf_addf(out, "true or false");
		return;
	case OPT_PORT:
		buf_addf(out, "a port from %.0f to %.0f, or \"ADDRESS:PORT\"",
			 o->min, o->max);
		return;
	case OPT_TIME:
		buf_addf(out,
			 "%.0f to %.0f ms, a number or a text such as "
			 "\"1.5s\"",
			 o->min, o->max);
		return;
	case OPT_TEXT:
		buf_addf(out, "a text of at most %zu bytes", o->size - 1);
		if (o->allowed)
			buf_addf(out, ": %s", o->allowed);
		return;
	case OPT_CHOICE:
		break;
	}
	buf_addf(out, "one of");
	for (const char *const *c = o->choices; *c; c++)
		buf_addf(out, "%s \"%s\"", c == o->choices ? "" : ",", *c);
}

void opt_add_default(const struct opt *o, struct buf *out)
{
	if (o->required) {
		buf_addf(out, "required");
		return;
	}
	switch (o->type) {
	case OPT_INT:
	case OPT_U32:
	case OPT_PORT:
	case OPT_TIME:
		buf_addf(out, "%.0f", o->default_number);
		return;
	case OPT_REAL:
		buf_addf(out, "%g", o->default_number);
		return;
	case OPT_BOOL:
		buf_addf(out, "%s", o->default_number != 0 ? "true" : "false");
		return;
	case OPT_TEXT:
		buf_addf(out, "\"%s\"", o->default_text ? o->default_text : "");
		return;
	case OPT_CHOICE:
		buf_addf(out, "\"%s\"", o->choices[(int)o->default_number]);
		return;
	}
}

void opt_describe(const struct opt *o, const char *base, struct buf *out)
{
	buf_addf(out, "%s%s: ", base, o->name);
	opt_add_allowed(o, out);
	buf_addf(out, "; default: ");
	opt_add_default(o, out);
	buf_addf(out, "; %s\n", o->description);
}

void opt_add_quoted(const char *s, struct buf *out)
{
	size_t len = strlen(s);
	size_t shown = len;

	if (shown > MAX_QUOTED_BYTES) {
		shown = MAX_QUOTED_BYTES;
		/* Do not cut inside a UTF-8 sequence. */
		while (shown && ((unsigned char)s[shown] & 0xc0) == 0x80)
			shown--;
	}
	buf_add(out, "\"", 1);
	for (size_t i = 0; i < shown; i++) {
		unsigned char c = (unsigned char)s[i];

		buf_add(out, c < ' ' || c == 0x7f ? "?" : &s[i], 1);
	}
	buf_addf(out, "%s\"", shown < len ? "..." : "");
}

/* Completes reason with what is allowed and returns e. */
static enum err reject_value(const struct opt *o, enum err e,
			     struct buf *reason)
{
	buf_addf(reason, " (allowed: ");
	opt_add_allowed(o, reason);
	buf_addf(reason, ")");
	return e;
}

static enum err reject_type(const struct opt *o, const struct opt_value *v,
			    struct buf *reason)
{
	buf_addf(reason, "is %s", value_type_names[v->type]);
	return reject_value(o, ERR_TYPE, reason);
}

static enum err store_number(const struct opt *o, double number, char *field,
			     struct buf *reason)
{
	/* Written in this way to reject NaN as well. */
	if (!(number >= o->min && number <= o->max)) {
		buf_addf(reason, "%.15g is out of range", number);
		return reject_value(o, ERR_RANGE, reason);
	}
	if (o->power_of_two) {
		uint32_t n = (uint32_t)number;

		if (!n || (n & (n - 1))) {
			buf_addf(reason, "%u is not a power of two", n);
			return reject_value(o, ERR_RANGE, reason);
		}
	}
	set_number_field(o, number, field);
	return ERR_OK;
}

static enum err store_text(const struct opt *o, const struct opt_value *v,
			   char *field, struct buf *reason)
{
	if (v->len >= o->size) {
		buf_addf(reason, "has %zu bytes", v->len);
		return reject_value(o, ERR_RANGE, reason);
	}
	if (o->check && !o->check(v->text)) {
		opt_add_quoted(v->text, reason);
		buf_addf(reason, " is not allowed");
		return reject_value(o, ERR_RANGE, reason);
	}
	set_text_field(o, v->text, field);
	return ERR_OK;
}

static enum err store_choice(const struct opt *o, const struct opt_value *v,
			     char *field, struct buf *reason)
{
	for (int i = 0; o->choices[i]; i++) {
		if (!strcmp(o->choices[i], v->text)) {
			set_number_field(o, i, field);
			return ERR_OK;
		}
	}
	opt_add_quoted(v->text, reason);
	buf_addf(reason, " is not a choice");
	return reject_value(o, ERR_RANGE, reason);
}

/* Returns the port of "ADDRESS:PORT"; -1 if there is none. */
static double parse_port(const char *text)
{
	const char *colon = strrchr(text, ':');
	char *end;
	long port;

	if (!colon || colon[1] < '0' || colon[1] > '9')
		return -1;
	port = strtol(colon + 1, &end, 10);
	return *end ? -1 : (double)port;
}

enum err opt_parse_time(const char *text, double *ms)
{
	char *end;

	if (*text < '0' || *text > '9')
		return ERR_MALFORMED;
	*ms = strtod(text, &end);
	if (!strcmp(end, "ms"))
		return ERR_OK;
	*ms *= 1000;
	return strcmp(end, "s") ? ERR_MALFORMED : ERR_OK;
}

static enum err store_port(const struct opt *o, const struct opt_value *v,
			   char *field, struct buf *reason)
{
	if (v->type == OPT_VALUE_TEXT)
		return store_number(o, parse_port(v->text), field, reason);
	if (v->type != OPT_VALUE_INT)
		return reject_type(o, v, reason);
	return store_number(o, (double)v->number, field, reason);
}

static enum err store_time(const struct opt *o, const struct opt_value *v,
			   char *field, struct buf *reason)
{
	double ms = (double)v->number;

	if (v->type == OPT_VALUE_TEXT) {
		if (opt_parse_time(v->text, &ms) != ERR_OK) {
			opt_add_quoted(v->text, reason);
			buf_addf(reason, " is not a time");
			return reject_value(o, ERR_RANGE, reason);
		}
	} else if (v->type != OPT_VALUE_INT) {
		return reject_type(o, v, reason);
	}
	return store_number(o, ms, field, reason);
}

enum err opt_store(const struct opt *o, const struct opt_value *v, void *base,
		   struct buf *reason)
{
	char *field = (char *)base + o->offset;

	switch (o->type) {
	case OPT_INT:
	case OPT_U32:
		if (v->type != OPT_VALUE_INT)
			return reject_type(o, v, reason);
		return store_number(o, (double)v->number, field, reason);
	case OPT_REAL:
		if (v->type == OPT_VALUE_INT)
			return store_number(o, (double)v->number, field,
					    reason);
		if (v->type != OPT_VALUE_REAL)
			return reject_type(o, v, reason);
		return store_number(o, v->real, field, reason);
	case OPT_BOOL:
		if (v->type != OPT_VALUE_BOOL)
			return reject_type(o, v, reason);
		set_number_field(o, v->number != 0, field);
		return ERR_OK;
	case OPT_TEXT:
		if (v->type != OPT_VALUE_TEXT)
			return reject_type(o, v, reason);
		return store_text(o, v, field, reason);
	case OPT_CHOICE:
		if (v->type != OPT_VALUE_TEXT)
			return reject_type(o, v, reason);
		return store_choice(o, v, field, reason);
	case OPT_PORT:
		return store_port(o, v, field, reason);
	case OPT_TIME:
		return store_time(o, v, field, reason);
	}
	return ERR_TYPE;
}

int opt_check_name_or_empty(const char *s)
{
	return s[strspn(s, NAME_CHARS)] == 0;
}

int opt_check_name(const char *s)
{
	return *s && opt_check_name_or_empty(s);
}

int opt_check_ipv4(const char *s)
{
	struct in_addr a;

	return inet_pton(AF_INET, s, &a) == 1;
}

int opt_check_endpoint(const char *s)
{
	char address[INET_ADDRSTRLEN];
	const char *colon;
	char *end;
	long port;

	if (strncmp(s, "http://", 7) != 0)
		return 0;
	s += 7;
	colon = strchr(s, ':');
	if (!colon || (size_t)(colon - s) >= sizeof(address))
		return 0;
	memcpy(address, s, (size_t)(colon - s));
	address[colon - s] = 0;
	if (!opt_check_ipv4(address))
		return 0;
	if (colon[1] < '1' || colon[1] > '9')
		return 0;
	port = strtol(colon + 1, &end, 10);
	return !*end && port <= 65535;
}

int opt_check_path_prefix(const char *s)
{
	size_t len = strlen(s);

	if (!len || s[0] != '/' || s[len - 1] != '/' || strstr(s, "//"))
		return 0;
	return s[strspn(s, NAME_CHARS "/~!$&'()*+,;=:@")] == 0;
}
