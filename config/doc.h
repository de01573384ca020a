#ifndef CONFIG_DOC_H
#define CONFIG_DOC_H

#include "common/buf.h"
#include "common/err.h"

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The operators' document: JSON, at most DOC_MAX_BYTES, validated whole. In
 * the store and between daemons it travels as sections, one for each service
 * (named "service/NAME") and one named "stops"; each section is canonical
 * JSON (sorted keys, compact), so that equal sections have equal bytes.
 */

#define DOC_MAX_BYTES (1024 * 1024)
#define DOC_NAME_BYTES 64
#define DOC_MAX_SERVICES 256
#define DOC_MAX_SHARDS 65536
#define DOC_MAX_ROUTES 4096
#define DOC_MAX_DESTINATIONS 64
#define DOC_HOST_BYTES 128
/* Numbers that a key of DOC_KEY_NUMBER can have: 0 to this less one. */
#define DOC_KEY_NUMBERS 65536U

enum doc_key_source {
	DOC_KEY_SEGMENT, /* first path segment after the prefix */
	DOC_KEY_HEADER,
	DOC_KEY_NUMBER, /* decimal number in a header; shards are ranges */
};

/* What may run more than once. */
enum doc_kind {
	DOC_KIND_METHOD, /* what the method or Idempotency-Key allows */
	DOC_KIND_IDEMPOTENT,
	DOC_KIND_ONCE,
};

/* Share of a route's requests that goes to one service. */
struct doc_destination {
	char service[DOC_NAME_BYTES];
	uint32_t weight;
};

struct doc_route {
	char name[DOC_NAME_BYTES];
	char host[DOC_HOST_BYTES];   /* "*" is any */
	char prefix[DOC_HOST_BYTES]; /* starts and ends with '/' */
	enum doc_kind kind;
	uint32_t timeout_ms; /* longest wait; 0: the service's deadline */
	uint32_t target_ms;  /* an answer has its full value within this */
	uint32_t priority;   /* 0 is the highest */
	uint32_t attempts;   /* targets that one request may be sent to */
	struct doc_destination *destinations;
	size_t destination_count;
	uint32_t weight_sum;
};

struct doc_range {
	uint32_t first;
	uint32_t last; /* inclusive */
	char **nodes;  /* NULL-terminated */
};

struct doc_pin {
	char *key;
	char *node;
};

struct doc_service {
	char name[DOC_NAME_BYTES];
	char prefix[DOC_NAME_BYTES]; /* starts and ends with '/' */
	enum doc_key_source key_source;
	char key_header[DOC_NAME_BYTES];
	int keyed;	 /* 0: any target may serve any request */
	uint32_t shards; /* power of two; 0 if not keyed */
	char **regions;	 /* NULL-terminated; "*" is any */
	char **nodes;	 /* NULL-terminated; "*" is any */
	struct doc_range *assign;
	size_t assign_count;
	struct doc_pin *pins;
	size_t pin_count;
	double weight_churn;
	double weight_imbalance;
	double max_peak_to_mean;
	uint32_t auto_pins;
	uint32_t moves_per_minute;
	uint32_t restart_grace_ms;
	uint32_t body_bytes;
	uint32_t queue;
	uint32_t deadline_ms;
	double retry_ratio;
	double tenant_share; /* of the gate's places, for one tenant */
	int idempotency_key; /* the service honours Idempotency-Key */
};

struct doc_stop {
	char node[DOC_NAME_BYTES]; /* state "drain" is the only one */
};

struct doc {
	uint64_t revision; /* set by whoever loads it */
	struct doc_service *services;
	size_t service_count;
	/* Those of the services' prefixes included; sorted for look-up. */
	struct doc_route *routes;
	size_t route_count;
	struct doc_stop *stops;
	size_t stop_count;
};

/*
 * Parses and validates. Problems are appended, one line each:
 * "PATH: what is wrong (what is allowed)", e.g.
 * "services.kiln.shards: 100 is not a power of two (1 to 65536)".
 * On ERR_OK the document must be finished with doc_finish.
 */
enum err doc_parse(struct doc *d, const char *text, size_t len,
		   struct buf *problems);
/* Builds the document from sections (name -> text), as after a push. */
struct doc_section {
	char *name;
	char *text;
	size_t len;
	uint64_t digest; /* XXH3 of text */
};

struct doc_sections {
	struct doc_section *items; /* sorted by name */
	size_t count;
};

void doc_finish(struct doc *d);

/* A document that an operator keeps in the store in another format. */
struct doc_source {
	const char *key;
	/*
	 * Translates and validates. On ERR_OK both must be finished; the
	 * document's revision is set by the caller.
	 */
	enum err (*read)(const uint8_t *value, size_t len, struct doc *d,
			 struct doc_sections *out, struct buf *problems);
};

/*
 * Validates a document that is JSON already, and splits it. On ERR_OK both
 * must be finished.
 */
enum err doc_parse_json(struct doc *d, struct doc_sections *out, json_t *root,
			struct buf *problems);

/* Splits a valid document. */
enum err doc_split(const char *text, size_t len, struct doc_sections *out,
		   struct buf *problems);
/* The whole document as indented JSON text. */
enum err doc_join(const struct doc_sections *sections, struct buf *out);
/* Parses and validates the document made of the sections. */
enum err doc_parse_sections(struct doc *d, const struct doc_sections *sections,
			    struct buf *problems);
/* Adds or replaces (text) or removes (text NULL) one section. */
enum err doc_sections_set(struct doc_sections *s, const char *name,
			  const char *text, size_t len);
const struct doc_section *doc_sections_get(const struct doc_sections *s,
					   const char *name);
void doc_sections_finish(struct doc_sections *s);

/*
 * Differences as lines "+ PATH: value", "- PATH: value",
 * "~ PATH: old -> new", sorted by path; nothing if equal.
 */
enum err doc_diff(const struct doc_sections *from,
		  const struct doc_sections *to, struct buf *out);

/*
 * "doc/head" in the store: JSON {"revision", "author", "wall_ms", "attempt",
 * "sections": {NAME: digest as 16 hexadecimal digits}, "recent": [{"revision",
 * "author", "wall_ms", "attempt", "sections": [NAME], "section_count"}]}.
 * recent holds the last changes, the newest first and including this one: an
 * operator whose answer was lost finds the attempt there after later changes,
 * and one who lost a race sees what came first.
 */
#define DOC_MAX_RECENT 16
#define DOC_MAX_CHANGE_NAMES 8

struct doc_change {
	uint64_t revision;
	char author[DOC_NAME_BYTES];
	int64_t wall_ms;
	char attempt[DOC_NAME_BYTES]; /* writer and attempt, unique */
	/* Sections changed; at most the first DOC_MAX_CHANGE_NAMES are named.
	 */
	uint32_t section_count;
	uint32_t name_count;
	char names[DOC_MAX_CHANGE_NAMES][DOC_NAME_BYTES];
};

struct doc_head {
	uint64_t revision;
	char author[DOC_NAME_BYTES];
	int64_t wall_ms;
	char attempt[DOC_NAME_BYTES]; /* writer and attempt, unique */
	struct doc_sections sections; /* names and digests; text NULL */
	struct doc_change recent[DOC_MAX_RECENT];
	uint32_t recent_count;
};

/* ERR_MALFORMED: h is empty and need not be finished. */
enum err doc_head_parse(struct doc_head *h, const char *text, size_t len);
enum err doc_head_write(const struct doc_head *h, struct buf *out);
void doc_head_finish(struct doc_head *h);
/* Names one more changed section in the change. */
void doc_change_add_section(struct doc_change *change, const char *section);
/* Makes change the newest of h; sections are left as they are. */
void doc_head_add_change(struct doc_head *h, const struct doc_change *change);
/* The change with this attempt among the recent ones; NULL if none. */
const struct doc_change *doc_head_find_attempt(const struct doc_head *h,
					       const char *attempt);
/* The change that made this revision; NULL if it is not among the recent. */
const struct doc_change *doc_head_find_revision(const struct doc_head *h,
						uint64_t revision);

/* Table of all fields with type, range, default and meaning, as text. */
void doc_describe(struct buf *out);

/*
 * The route of a request: of its host (a port is ignored), else of any host,
 * the one with the longest prefix of the path. NULL if there is none.
 */
const struct doc_route *doc_find_route(const struct doc *d, const char *host,
				       const char *path);
const struct doc_service *doc_find_service(const struct doc *d,
					   const char *name);
int doc_has_stop(const struct doc *d, const char *node);

#endif
