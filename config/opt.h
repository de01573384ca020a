#ifndef CONFIG_OPT_H
#define CONFIG_OPT_H

#include "common/buf.h"
#include "common/err.h"

#include <stddef.h>
#include <stdint.h>

/*
 * Tables of options: one row names an option, its type, range or choices,
 * default, meaning, and the field that it fills. Used for settings (TOML) and
 * for the document (JSON).
 */

enum opt_type {
	OPT_INT,    /* int */
	OPT_U32,    /* uint32_t */
	OPT_REAL,   /* double; integers are accepted */
	OPT_BOOL,   /* int, 0 or 1 */
	OPT_TEXT,   /* char[size] */
	OPT_CHOICE, /* an enum of int's size: index into choices */
	OPT_PORT,   /* int; a number, or the port of "ADDRESS:PORT" */
	OPT_TIME,   /* int, milliseconds; a number, "870ms" or "2.5s" */
};

struct opt {
	const char *name; /* path relative to the table, e.g. "node.name" */
	enum opt_type type;
	size_t offset;
	size_t size; /* OPT_TEXT: of the array, with the final zero */
	int required;
	double min; /* numbers; exact for 32-bit integers */
	double max;
	double default_number;	     /* default; OPT_CHOICE: index */
	const char *default_text;    /* default of OPT_TEXT, NULL: "" */
	const char *const *choices;  /* NULL-terminated */
	int (*check)(const char *s); /* OPT_TEXT, may be NULL; true: valid */
	const char *allowed;	     /* OPT_TEXT: what check accepts */
	int power_of_two;
	int reloadable; /* may change while the program runs */
	const char *description;
};

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

struct opt_value {
	enum opt_value_type type;
	int64_t number; /* integer or boolean */
	double real;
	const char *text; /* UTF-8 without zero bytes */
	size_t len;	  /* of text */
};

/* NULL if the table of count rows has no such name. */
const struct opt *opt_find(const struct opt *table, size_t count,
			   const char *name);
/* True if name is a group of options, e.g. "node" for "node.name". */
int opt_is_group(const struct opt *table, size_t count, const char *name);
/* Fills the fields of base with the defaults of all rows. */
void opt_set_defaults(const struct opt *table, size_t count, void *base);
/*
 * Checks the value and stores it in its field of base. ERR_TYPE or ERR_RANGE:
 * nothing is stored, and "what is wrong (what is allowed)" is appended to why.
 */
enum err opt_store(const struct opt *o, const struct opt_value *v, void *base,
		   struct buf *reason);
/* Appends what is allowed, e.g. "an integer from 1 to 65535". */
void opt_add_allowed(const struct opt *o, struct buf *out);
/* Appends the default as text; "required" if there is none. */
void opt_add_default(const struct opt *o, struct buf *out);

/* Appends "NAME: ALLOWED; default: DEFAULT; MEANING" and a line feed. */
void opt_describe(const struct opt *o, const char *base, struct buf *out);

/*
 * Appends s in quotes for a problem line: control characters become '?', long
 * texts are cut, so that a problem stays one line of bounded length.
 */
void opt_add_quoted(const char *s, struct buf *out);

/* "870ms" or "2.5s" in milliseconds; ERR_MALFORMED: neither. */
enum err opt_parse_time(const char *text, double *ms);

/* Checks for use in tables. */

/* 1 or more of A-Z a-z 0-9 . _ - */
int opt_check_name(const char *s);
#define OPT_ALLOWED_NAME "letters, digits, '.', '_' and '-'"
/* Same, or empty. */
int opt_check_name_or_empty(const char *s);
/* IPv4 number, as "127.0.0.1". */
int opt_check_ipv4(const char *s);
/* "http://ADDRESS:PORT" */
int opt_check_endpoint(const char *s);
/* Starts and ends with '/', URL path characters only, no empty segment. */
int opt_check_path_prefix(const char *s);

#endif
