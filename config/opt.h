#ifndef CONFIG_OPT_H
#define CONFIG_OPT_H

#include "common/buf.h"
#include "common/err.h"

#include <stddef.h>
#include <stdint.h>

/*
 * Tables of options. A row gives the name of an option, its type, its range or
 * choices, its default, its description, and the field of a struct that it
 * fills. Settings (TOML) and the document (JSON) are read by such tables.
 */

enum opt_type {
	OPT_INT,    /* int */
	OPT_U32,    /* uint32_t */
	OPT_REAL,   /* double; integers are accepted */
	OPT_BOOL,   /* int, 0 or 1 */
	OPT_TEXT,   /* char[size] */
	OPT_CHOICE, /* an enum of int's size; holds the index into choices */
	OPT_PORT,   /* int; a number, or the port of "ADDRESS:PORT" */
	OPT_TIME,   /* int, milliseconds; a number, "870ms" or "2.5s" */
};

/* A row of a table. */
struct opt {
	const char *name; /* path relative to the table, e.g. "node.name" */
	enum opt_type type;
	size_t offset;
	size_t size;  /* of the field; OPT_TEXT: includes the final zero */
	int required; /* has no default */
	double min; /* of numbers; a double holds any 32-bit integer exactly */
	double max;
	double default_number;	     /* default; OPT_CHOICE: index */
	const char *default_text;    /* default of OPT_TEXT, NULL: "" */
	const char *const *choices;  /* NULL-terminated */
	int (*check)(const char *s); /* OPT_TEXT, may be NULL; 1: valid */
	const char *allowed; /* OPT_TEXT: what check accepts, in words */
	int power_of_two;    /* only powers of two are valid */
	int reloadable;	     /* may change while the program runs */
	const char *description;
};

/* Initializes the offset and size of a row for a field of a struct. */
#define OPT_FIELD(type, field) \
	.offset = offsetof(type, field), .size = sizeof(((type *)0)->field)

enum opt_value_type {
	OPT_VALUE_INT,
	OPT_VALUE_REAL,
	OPT_VALUE_BOOL,
	OPT_VALUE_TEXT,
	OPT_VALUE_TABLE,
	OPT_VALUE_OTHER, /* arrays, dates, null */
};

/* A value as it was read from TOML or JSON. */
struct opt_value {
	enum opt_value_type type;
	int64_t number;	  /* OPT_VALUE_INT and OPT_VALUE_BOOL */
	double real;	  /* OPT_VALUE_REAL */
	const char *text; /* OPT_VALUE_TEXT: UTF-8 without zero bytes */
	size_t len;	  /* of text */
};

/* Returns the row with this name, NULL if none of the count rows has it. */
const struct opt *opt_find(const struct opt *table, size_t count,
			   const char *name);
/* Returns 1 if name is a group of options, as "node" is of "node.name". */
int opt_is_group(const struct opt *table, size_t count, const char *name);
/* Sets the fields of the struct at base to the defaults of all rows. */
void opt_set_defaults(const struct opt *table, size_t count, void *base);
/*
 * Checks the value and stores it in its field of the struct at base. Returns
 * ERR_TYPE or ERR_RANGE if it is not valid; then nothing is stored, and "what
 * is wrong (allowed: what is allowed)" is appended to reason.
 */
enum err opt_store(const struct opt *o, const struct opt_value *v, void *base,
		   struct buf *reason);
/* Appends which values are valid, e.g. "an integer from 1 to 65535". */
void opt_add_allowed(const struct opt *o, struct buf *out);
/* Appends the default, or "required" if there is none. */
void opt_add_default(const struct opt *o, struct buf *out);

/*
 * Appends "NAME: ALLOWED; default: DEFAULT; DESCRIPTION" and a line feed. base
 * is put in front of the name.
 */
void opt_describe(const struct opt *o, const char *base, struct buf *out);

/*
 * Appends s in quotes for a message. Control characters become '?' and long
 * texts are cut, so that the message stays one line of bounded length.
 */
void opt_add_quoted(const char *s, struct buf *out);

/* Converts "870ms" or "2.5s" to milliseconds; ERR_MALFORMED: it is neither. */
enum err opt_parse_time(const char *text, double *ms);

/* The functions below check texts and can be used in tables; 1: valid. */

/* A name: 1 or more of A-Z a-z 0-9 . _ - */
int opt_check_name(const char *s);
#define OPT_ALLOWED_NAME "letters, digits, '.', '_' and '-'"
/* A name or an empty text. */
int opt_check_name_or_empty(const char *s);
/* An IPv4 address in numbers, e.g. "127.0.0.1". */
int opt_check_ipv4(const char *s);
/* "http://ADDRESS:PORT" with an IPv4 address. */
int opt_check_endpoint(const char *s);
/* Starts and ends with '/', has only URL path characters, no empty segment. */
int opt_check_path_prefix(const char *s);

#endif
