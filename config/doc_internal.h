#ifndef CONFIG_DOC_INTERNAL_H
#define CONFIG_DOC_INTERNAL_H

#include "config/doc.h"
#include "config/opt.h"

/* Shared by the doc_*.c files only. */

#define DOC_STOPS_NAME "stops"
#define DOC_SERVICE_PREFIX "service/"
#define DOC_ROUTE_PREFIX "route/"
/* A service's own prefix sets no bound but the deadline. */
#define DOC_SERVICE_ROUTE_ATTEMPTS 100
/* Deepest valid value is services.NAME.assign[].nodes[], level 7. */
#define DOC_MAX_DEPTH 16
#define DOC_MAX_PINS 4096
#define DOC_MAX_STOPS 8192
#define DOC_MAX_LIST_ITEMS 8192
#define DOC_MAX_KEY_BYTES 256
/* "service/NAME" fits into DOC_NAME_BYTES. */
#define DOC_MAX_SERVICE_NAME \
	(DOC_NAME_BYTES - 1 - (sizeof(DOC_SERVICE_PREFIX) - 1))
#define DOC_MAX_ROUTE_NAME (DOC_NAME_BYTES - 1 - (sizeof(DOC_ROUTE_PREFIX) - 1))
#define DOC_PATH_BYTES 256

/* Canonical form: 15 digits survive the way through a double and back. */
#define DOC_JSON_COMPACT                                   \
	(JSON_SORT_KEYS | JSON_COMPACT | JSON_ENCODE_ANY | \
	 JSON_REAL_PRECISION(15))

struct doc_check {
	struct buf *problems; /* may be NULL */
	enum err first_error; /* code of the first problem */
};

void doc_add_problem(struct doc_check *c, enum err e, const char *path,
		     const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));
/* "BASE.KEY", with KEY quoted if it is no name. */
void doc_path_key(char out[DOC_PATH_BYTES], const char *base, const char *key);
/* "BASE.FIELD" as it is; both may be empty. Long paths are cut. */
void doc_path_field(char out[DOC_PATH_BYTES], const char *base,
		    const char *field);
/* "BASE[INDEX]" */
void doc_path_index(char out[DOC_PATH_BYTES], const char *base, size_t index);
struct opt_value doc_opt_value(const json_t *value);
/* "is a number" and so on. */
const char *doc_type_name(const json_t *value);

/*
 * Bounded JSON: size, depth, UTF-8, names used once. NULL on a problem that
 * leaves nothing to check further; where names the text in problems.
 */
json_t *doc_load_json(struct doc_check *c, const char *where, const char *text,
		      size_t len);
/* Validates the whole; the document must be finished in each case. */
void doc_read_root(struct doc_check *c, struct doc *d, const json_t *root);
void doc_read_service(struct doc_check *c, struct doc_service *s,
		      const char *name, const json_t *value, const char *path);
/* The services have been read. */
void doc_read_route(struct doc_check *c, const struct doc *d,
		    struct doc_route *r, const char *name, const json_t *value,
		    const char *path);
/* The route that a service's own prefix makes; there is room for it. */
enum err doc_add_service_route(struct doc *d, const struct doc_service *s);
/* Sorts for look-up and reports routes that are alike. */
void doc_sort_routes(struct doc_check *c, struct doc *d);
void doc_routes_finish(struct doc *d);
void doc_describe_routes(struct buf *out);
void doc_describe_service(struct buf *out);
void doc_service_finish(struct doc_service *s);
/*
 * Reads the array of names into a NULL-terminated list. wildcard: "*" alone
 * is allowed.
 */
char **doc_read_names(struct doc_check *c, const json_t *value,
		      const char *path, int wildcard);
/* Reports names that occur twice; they must not be NULL. */
void doc_check_unique(struct doc_check *c, const char *path,
		      const char *const *names, size_t count);
/* Rules that concern more than one field. */
void doc_check_service(struct doc_check *c, const struct doc_service *s,
		       const char *path);
void doc_check_prefixes(struct doc_check *c, const struct doc *d);

/* Adds an item without text, as in doc/head. */
enum err doc_sections_add_digest(struct doc_sections *s, const char *name,
				 uint64_t digest);

#endif
