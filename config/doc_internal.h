#ifndef CONFIG_DOC_INTERNAL_H
#define CONFIG_DOC_INTERNAL_H

#include "config/doc.h"
#include "config/opt.h"

/* Declarations for the doc_*.c files only. */

#define DOC_STOPS_NAME "stops"
#define DOC_SERVICE_PREFIX "service/"
#define DOC_ROUTE_PREFIX "route/"
/*
 * Attempts of the route that a service's own prefix makes. High enough that
 * only the deadline limits them.
 */
#define DOC_SERVICE_ROUTE_ATTEMPTS 100
/* The deepest valid value is services.NAME.assign[].nodes[], at level 7. */
#define DOC_MAX_DEPTH 16
#define DOC_MAX_PINS 4096
#define DOC_MAX_STOPS 8192
#define DOC_MAX_LIST_ITEMS 8192
#define DOC_MAX_KEY_BYTES 256
/* "service/NAME" and "route/NAME" must fit into DOC_NAME_BYTES. */
#define DOC_MAX_SERVICE_NAME \
	(DOC_NAME_BYTES - 1 - (sizeof(DOC_SERVICE_PREFIX) - 1))
#define DOC_MAX_ROUTE_NAME (DOC_NAME_BYTES - 1 - (sizeof(DOC_ROUTE_PREFIX) - 1))
#define DOC_PATH_BYTES 256

/*
 * Flags for the canonical form. A number of 15 digits is the same after a
 * conversion to double and back.
 */
#define DOC_JSON_COMPACT                                   \
	(JSON_SORT_KEYS | JSON_COMPACT | JSON_ENCODE_ANY | \
	 JSON_REAL_PRECISION(15))

/* Collects the problems of one validation. */
struct doc_check {
	struct buf *problems; /* their lines; may be NULL */
	enum err first_error; /* code of the first problem, else ERR_OK */
};

/* Appends the line "PATH: text" and records e if it is the first error. */
void doc_add_problem(struct doc_check *c, enum err e, const char *path,
		     const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));
/* Writes "BASE.KEY", with KEY quoted if it is not a valid name. */
void doc_path_key(char out[DOC_PATH_BYTES], const char *base, const char *key);
/* Writes "BASE.FIELD" unquoted; either may be empty. Long paths are cut. */
void doc_path_field(char out[DOC_PATH_BYTES], const char *base,
		    const char *field);
/* Writes "BASE[INDEX]". */
void doc_path_index(char out[DOC_PATH_BYTES], const char *base, size_t index);
/* Converts a JSON value; its text is borrowed from value. */
struct opt_value doc_opt_value(const json_t *value);
/* Returns "is a number" and so on, for problems. */
const char *doc_type_name(const json_t *value);

/*
 * Loads JSON text after checking its size and depth; it must be UTF-8 and use
 * each name of an object once. where names the text in problems. Returns NULL
 * on a problem that leaves nothing to validate; a name that is used twice is a
 * problem, but the rest is loaded.
 */
json_t *doc_load_json(struct doc_check *c, const char *where, const char *text,
		      size_t len);
/*
 * Fills d from the root object and validates it as a whole. The caller must
 * finish d in each case.
 */
void doc_read_root(struct doc_check *c, struct doc *d, const json_t *root);
/* Fills s from the value of services.NAME; path names it in problems. */
void doc_read_service(struct doc_check *c, struct doc_service *s,
		      const char *name, const json_t *value, const char *path);
/*
 * Fills r from the value of routes.NAME. d must have its services already, to
 * check the route's destinations.
 */
void doc_read_route(struct doc_check *c, const struct doc *d,
		    struct doc_route *r, const char *name, const json_t *value,
		    const char *path);
/* Returns an empty route, NULL without memory. */
struct doc_route *doc_route_new(void);
/* Drops a reference. */
void doc_route_unref(struct doc_route *r);
/*
 * Adds the route that a service's own prefix makes, if it has one. d->routes
 * must have room for it.
 */
enum err doc_add_service_route(struct doc *d, const struct doc_service *s);
/* Reports the route's destinations that are not in the document. */
void doc_check_destinations(struct doc_check *c, const struct doc *d,
			    const struct doc_route *r, const char *path);
/* Compares two routes (struct doc_route *) in the order of struct doc. */
int doc_compare_routes(const void *a, const void *b);
void doc_report_equal_routes(struct doc_check *c, const struct doc_route *a,
			     const struct doc_route *b);
/* Makes out share the services and stops of d. */
void doc_share(const struct doc *d, struct doc *out);
/* Reads services and stops, and all but the routes, as doc_read_root. */
void doc_read_shared(struct doc_check *c, struct doc *d, const json_t *root);
/*
 * Returns the document made of the sections, NULL without memory. Problems of
 * sections are reported in c only.
 */
json_t *doc_join_sections(struct doc_check *c,
			  const struct doc_sections *sections);
/* Sorts the routes for look-up and reports two with equal host and prefix. */
void doc_sort_routes(struct doc_check *c, struct doc *d);
void doc_routes_finish(struct doc *d);
/* Append the lines of doc_describe for a route's and a service's fields. */
void doc_describe_routes(struct buf *out);
void doc_describe_service(struct buf *out);
void doc_service_finish(struct doc_service *s);
/*
 * Reads an array of names into a NULL-terminated list, which the caller frees.
 * wildcard: "*" is allowed as the only name. Returns NULL if value is not an
 * array of valid length. An item that is not a valid name is reported and
 * stays in the list, as "" if it is not a text.
 */
char **doc_read_names(struct doc_check *c, const json_t *value,
		      const char *path, int wildcard);
/* Frees a list of names, which may be NULL. */
void doc_free_names(char **list);
/* Reports names that occur twice. "" is ignored; NULL is not allowed. */
void doc_check_unique(struct doc_check *c, const char *path,
		      const char *const *names, size_t count);
/* Checks rules that concern more than one field of a service. */
void doc_check_service(struct doc_check *c, const struct doc_service *s,
		       const char *path);
/* Reports services whose prefixes overlap. */
void doc_check_prefixes(struct doc_check *c, const struct doc *d);

/* Adds or replaces a section without text, as doc/head has them. */
enum err doc_sections_add_digest(struct doc_sections *s, const char *name,
				 uint64_t digest);

#endif
