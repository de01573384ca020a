#ifndef CONFIG_DOC_H
#define CONFIG_DOC_H

#include "common/buf.h"
#include "common/err.h"

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The document is the configuration of the whole fleet: services, routes and
 * planned stops of nodes. Operators write it as JSON of at most DOC_MAX_BYTES;
 * it is always validated as a whole. In the store and between daemons it is
 * kept as sections: one per service ("service/NAME"), one per route
 * ("route/NAME") and one with the stops ("stops"). Each section is canonical
 * JSON (sorted keys, compact), so that equal sections have equal bytes.
 *
 * Terms:
 *  - target: the back end beside a node, which serves one service.
 *  - shard: one of the equal parts of a service's key space.
 *  - pin: a hot key that has an owner of its own, apart from its shard.
 *  - slot: a shard or a pin; the unit that has one owner and can move.
 *  - gate: the part of a node that admits requests to its target.
 *  - ingress: the part of a node that accepts requests from callers.
 *
 * Functions that return enum err return ERR_NOMEM when memory runs out, also
 * where that is not said.
 */

#define DOC_MAX_BYTES (1024 * 1024)
#define DOC_NAME_BYTES 64
#define DOC_MAX_SERVICES 256
#define DOC_MAX_SHARDS 65536
/*
 * More than a value of 1 MB, the most that a store holds, has room for: the
 * users' store accepts every configuration of that size.
 */
#define DOC_MAX_ROUTES 65536
/* Services, routes and the stops. */
#define DOC_MAX_SECTIONS (DOC_MAX_SERVICES + DOC_MAX_ROUTES + 1)
#define DOC_MAX_DESTINATIONS 64
#define DOC_MAX_ROUTE_REGIONS 64
#define DOC_HOST_BYTES 128
/* Keys of DOC_KEY_NUMBER are the numbers from 0 to DOC_KEY_NUMBERS - 1. */
#define DOC_KEY_NUMBERS 65536U

/* Where a request carries its key. */
enum doc_key_source {
	DOC_KEY_SEGMENT, /* first path segment after the prefix */
	DOC_KEY_HEADER,	 /* text of a header */
	/* Decimal number in a header. Each shard is a range of numbers. */
	DOC_KEY_NUMBER,
};

/* Whether a request of a route may be executed more than once. */
enum doc_kind {
	DOC_KIND_METHOD,     /* if its method or an Idempotency-Key allows it */
	DOC_KIND_IDEMPOTENT, /* always */
	DOC_KIND_ONCE,	     /* never */
};

/*
 * A service that a route leads to. It gets the share weight / weight_sum of
 * the route's requests.
 */
struct doc_destination {
	char service[DOC_NAME_BYTES];
	uint32_t weight;
};

struct doc_route {
	char name[DOC_NAME_BYTES];
	char host[DOC_HOST_BYTES];   /* "*" matches any host */
	char prefix[DOC_HOST_BYTES]; /* starts and ends with '/' */
	enum doc_kind kind;
	/* Upper bound for a request's deadline; 0: only the service's. */
	uint32_t timeout_ms;
	uint32_t target_ms; /* a later answer is worth less; 0: no such time */
	uint32_t priority;  /* 0 is the highest */
	uint32_t attempts;  /* targets that one request may be sent to */
	struct doc_destination *destinations;
	size_t destination_count;
	uint32_t weight_sum; /* of all destinations */
	/*
	 * Regions whose targets may run its requests and whose nodes may have
	 * their bodies; NULL-terminated, NULL: all.
	 */
	char **regions;
	int of_service; /* made by a service's own prefix */
	unsigned refs;	/* documents that share it */
};

/* Assigns a range of shards: only these nodes may own them. */
struct doc_assignment {
	uint32_t first; /* shard */
	uint32_t last;	/* shard, inclusive */
	char **nodes;	/* NULL-terminated */
};

struct doc_pin {
	char *key;
	char *node; /* the owner */
};

struct doc_service {
	char name[DOC_NAME_BYTES];
	/* Starts and ends with '/'; "": only routes lead to the service. */
	char prefix[DOC_NAME_BYTES];
	enum doc_key_source key_source;
	char key_header[DOC_NAME_BYTES]; /* "" for DOC_KEY_SEGMENT */
	int keyed;	 /* 0: any target may serve any request */
	uint32_t shards; /* power of two; 0 if not keyed */
	/* Where targets may serve it; NULL-terminated; "*" alone: anywhere. */
	char **regions;
	char **nodes;
	struct doc_assignment *assign;
	size_t assign_count;
	struct doc_pin *pins;
	size_t pin_count;
	double weight_churn;	   /* cost of a moved slot */
	double weight_imbalance;   /* cost of uneven load */
	double max_peak_to_mean;   /* bound: busiest target over mean */
	uint32_t auto_pins;	   /* hot keys that the coordinator may pin */
	uint32_t moves_per_minute; /* slots moved to balance the load */
	uint32_t restart_grace_ms; /* a lost node keeps its slots for so long */
	uint32_t body_bytes;	   /* largest request body */
	uint32_t queue;		   /* requests that may wait at one gate */
	uint32_t deadline_ms;	   /* of requests that state no deadline */
	double retry_ratio;	   /* retries as a share of answered requests */
	double tenant_share; /* of the requests at a gate, for one tenant */
	int idempotency_key; /* the service honours Idempotency-Key */
	/*
	 * Requests a second that one of its targets takes while it is cold,
	 * i.e. for some time after its start; 0: no limit.
	 */
	double cold_per_s;
};

/*
 * A planned stop of a node, or of all nodes of a data centre: the slots move
 * away. "drain" is the only state.
 */
struct doc_stop {
	char node[DOC_NAME_BYTES];	  /* "": a data centre's */
	char data_centre[DOC_NAME_BYTES]; /* "": a node's */
};

/*
 * A document does not change once it was read. Versions that follow each other
 * share their routes, and their services and stops while these are the same.
 */
struct doc {
	uint64_t revision; /* set by the caller of the function that parses */
	struct doc_service *services; /* sorted by name */
	size_t service_count;
	/*
	 * Routes of the document, and one for each service that has a prefix;
	 * sorted for doc_find_route.
	 */
	struct doc_route **routes;
	size_t route_count;
	struct doc_stop *stops;
	size_t stop_count;
	size_t data_centre_stop_count; /* those that name a data centre */
	unsigned *refs; /* documents that share services and stops */
};

/*
 * Parses and validates a document. Appends the problems to problems (may be
 * NULL), one line each: "PATH: what is wrong (allowed: what is allowed)", e.g.
 * "services.kiln.shards: 100 is not a power of two (allowed: a power of two
 * from 1 to 65536)". Returns ERR_OK, and then the caller frees d with
 * doc_finish, or the code of the first problem, and then d is empty.
 */
enum err doc_parse(struct doc *d, const char *text, size_t len,
		   struct buf *problems);
/* Makes out a copy that shares all with d. */
enum err doc_copy(const struct doc *d, struct doc *out);
/* Frees the document's contents and empties it. */
void doc_finish(struct doc *d);

/* Sections do not change either; copies share name and text. */
struct doc_section {
	char *name;
	char *text; /* canonical JSON; NULL if only the digest is known */
	size_t len;
	uint64_t digest; /* XXH3 of text */
	unsigned *refs;	 /* lists that share it */
};

/* Returns 1 if it is the section of a route. */
int doc_section_is_route(const struct doc_section *s);

/* The sections of a document. */
struct doc_sections {
	struct doc_section *items; /* sorted by name */
	size_t count;
};

/* All of a document but its routes, and how to read these. */
struct doc_rest {
	uint64_t revision;	      /* as d->revision of doc_source.read */
	struct doc_sections sections; /* services and stops */
	json_t *columns;
	uint64_t digest; /* routes with equal texts are equal while it is */
};

/*
 * Reads a document that an operator keeps in the store in another format, as a
 * whole or its routes one by one. Problems as doc_parse.
 */
struct doc_source {
	const char *key; /* of the document in the store */
	/*
	 * Operators order that a data centre be drained by a key of its own,
	 * orders followed by its name; its value does not matter. prefix is
	 * what key and orders start with. Both are NULL if there are no orders.
	 */
	const char *prefix;
	const char *orders;
	/*
	 * Translates and validates the value at key. On ERR_OK the caller
	 * finishes both d and out. d->revision is the number that the operator
	 * gave this version, which rises with each one.
	 */
	enum err (*read)(const uint8_t *value, size_t len, struct doc *d,
			 struct doc_sections *out, struct buf *problems);
	/* Where the list of routes is, as json_rows_cut takes it. */
	const char *object;
	const char *list;
	/* Translates what json_rows_cut left; doc_rest_finish frees out. */
	enum err (*read_rest)(const struct buf *rest, struct doc_rest *out,
			      struct buf *problems);
	/* Translates a route and adds it to sections; sets name to its name. */
	enum err (*read_row)(const struct doc_rest *rest, const char *text,
			     size_t len, struct doc_sections *sections,
			     char name[DOC_NAME_BYTES], struct buf *problems);
};

void doc_rest_finish(struct doc_rest *r);
/*
 * Splits the services of a document, an object, into sections with the stops.
 * The values are validated when a document is made of the sections.
 */
enum err doc_split_services(json_t *services, struct doc_sections *out);
/*
 * Adds the section of a route and sets section to its name. ERR_RANGE: the
 * route's name is too long.
 */
enum err doc_add_route_section(struct doc_sections *sections, const char *name,
			       const json_t *value,
			       char section[DOC_NAME_BYTES]);

/*
 * Validates the document that was loaded as root and splits it into sections.
 * The caller keeps its reference to root. Problems as doc_parse. On ERR_OK the
 * caller finishes both d and out; on an error both are empty.
 */
enum err doc_parse_json(struct doc *d, struct doc_sections *out, json_t *root,
			struct buf *problems);

/*
 * Validates a document and splits it into sections. Problems as doc_parse. On
 * ERR_OK the caller finishes out; on an error it is empty.
 */
enum err doc_split(const char *text, size_t len, struct doc_sections *out,
		   struct buf *problems);
/*
 * Appends the whole document as indented JSON text. The sections are not
 * validated beyond their names and their syntax; on an error nothing is
 * appended.
 */
enum err doc_join(const struct doc_sections *sections, struct buf *out);
/*
 * Joins the sections and validates the result as a whole, e.g. after changed
 * sections were received. Results and problems as doc_parse.
 */
enum err doc_parse_sections(struct doc *d, const struct doc_sections *sections,
			    struct buf *problems);
/*
 * Adds or replaces the section with a copy of text; text NULL removes it, with
 * ERR_NOT_FOUND if there is none.
 */
enum err doc_sections_set(struct doc_sections *s, const char *name,
			  const char *text, size_t len);
/* Returns the section with this name, NULL if there is none. */
const struct doc_section *doc_sections_get(const struct doc_sections *s,
					   const char *name);
/* Adds or replaces the section by one of another list, which shares it. */
enum err doc_sections_share(struct doc_sections *s,
			    const struct doc_section *section);
/* Makes out a copy that shares all sections with s. */
enum err doc_sections_copy(const struct doc_sections *s,
			   struct doc_sections *out);
/* Frees the sections and empties s. */
void doc_sections_finish(struct doc_sections *s);

/*
 * A list of changes is a list of sections: one with a text is added or
 * replaced, one without is removed.
 */

/* Adds the removal of the section to a list of changes. */
enum err doc_changes_remove(struct doc_sections *changes, const char *name);
/* Writes the changes that lead from one list of sections to another to out. */
enum err doc_changes_between(const struct doc_sections *from,
			     const struct doc_sections *to,
			     struct doc_sections *out);
/*
 * Makes a document from the one before it and changes. Only the changed
 * sections are read, a few at a time; the rest takes a small time for each
 * route. The result is validated as a whole, as by doc_parse_sections. Removals
 * of sections that are not there do nothing.
 */
struct doc_update {
	struct doc base;
	struct doc_sections base_sections;
	struct doc_sections changes;
	size_t next; /* change to be read */
	int shared;  /* services or stops change */
	struct doc out;
	struct doc_sections out_sections;
	struct buf problems; /* as of doc_parse */
	enum err error;	     /* code of the first problem */
};

/*
 * Begins an update, which shares d and sections, and takes over the changes.
 * doc_update_finish is called in each case.
 */
void doc_update_init(struct doc_update *u, const struct doc *d,
		     const struct doc_sections *sections,
		     struct doc_sections *changes);
/*
 * Reads up to count of the changed sections. Returns 1 if there are more, 0 if
 * doc_update_end is to be called.
 */
int doc_update_step(struct doc_update *u, size_t count);
/*
 * Ends the update. On ERR_OK the caller finishes out and sections; on an error
 * both are empty.
 */
enum err doc_update_end(struct doc_update *u, struct doc *out,
			struct doc_sections *sections);
void doc_update_finish(struct doc_update *u);

/*
 * Appends the differences as lines "+ PATH: value", "- PATH: value" or
 * "~ PATH: old -> new", sorted by path; nothing if the documents are equal.
 * ERR_NOT_FOUND: a section that differs has no text.
 */
enum err doc_diff(const struct doc_sections *from,
		  const struct doc_sections *to, struct buf *out);

/*
 * The head of the document, stored under "doc/head". It is written in the same
 * transaction as the sections that change. It is JSON: {"revision", "author",
 * "wall_ms", "attempt", "sections": {NAME: digest as 16 hexadecimal digits},
 * "recent": [{"revision", "author", "wall_ms", "attempt", "sections": [NAME],
 * "section_count"}], "era", "written_back"}. recent holds the last changes, the
 * newest first, including the one that wrote this head. An operator who got no
 * answer from the store finds the attempt there even after later changes, and
 * one who lost a race sees which changes came first.
 *
 * era is the store's era (store/store.h) in which the head was written, as
 * decimal digits, since JSON numbers are signed. Heads of earlier versions have
 * none. written_back is true if a coordinator wrote its own document back to a
 * restored store; an operator's change removes it.
 */
#define DOC_MAX_RECENT 16
#define DOC_MAX_CHANGE_NAMES 8

/* A change of the document, as the head lists it. */
struct doc_change {
	uint64_t revision; /* of the document after the change */
	char author[DOC_NAME_BYTES];
	int64_t wall_ms; /* wall clock of the author */
	/* Unique: names the writing process and its transaction. */
	char attempt[DOC_NAME_BYTES];
	uint32_t section_count; /* changed sections */
	uint32_t name_count;	/* the first of them, which are named */
	char names[DOC_MAX_CHANGE_NAMES][DOC_NAME_BYTES];
};

struct doc_head {
	/* Of the newest change, as in struct doc_change. */
	uint64_t revision;
	char author[DOC_NAME_BYTES];
	int64_t wall_ms;
	char attempt[DOC_NAME_BYTES];

	struct doc_sections sections; /* names and digests; text is NULL */
	struct doc_change recent[DOC_MAX_RECENT]; /* newest first */
	uint32_t recent_count;
	uint64_t era;	  /* 0: not known */
	int written_back; /* by a coordinator */
};

/*
 * Parses the head. ERR_MALFORMED or ERR_TOO_LARGE: it is not a valid head. On
 * an error h is empty and need not be finished.
 */
enum err doc_head_parse(struct doc_head *h, const char *text, size_t len);
/* Appends the head as JSON. */
enum err doc_head_write(const struct doc_head *h, struct buf *out);
/*
 * Both compare the head with the present era of the store that has it, 0: not
 * told. The first returns 1 if an operator wrote the head in this era, so that
 * no other document is newer. The second returns 1 if the head is known to be
 * from before a restore, or written back after one, so that its document may
 * lack accepted changes, whose revisions are not known.
 */
int doc_head_is_newest(const struct doc_head *h, uint64_t era);
int doc_head_may_lack_changes(const struct doc_head *h, uint64_t era);
/* Frees the head's contents and empties it. */
void doc_head_finish(struct doc_head *h);
/*
 * Adds a changed section to the change. Sections beyond DOC_MAX_CHANGE_NAMES
 * are counted but not named.
 */
void doc_change_add_section(struct doc_change *change, const char *section);
/*
 * Adds the newest change: h takes over its revision, author, time and attempt,
 * and drops the oldest change if there is no room. h->sections stays as it is.
 */
void doc_head_add_change(struct doc_head *h, const struct doc_change *change);
/* Returns the recent change with this attempt, NULL if there is none. */
const struct doc_change *doc_head_find_attempt(const struct doc_head *h,
					       const char *attempt);
/*
 * Returns 1 if recent has all changes after this revision. Revisions may leave
 * numbers out, so the next one need not be listed.
 */
int doc_head_lists_all_since(const struct doc_head *h, uint64_t revision);

/* Appends a line for each field: name, range, default and meaning. */
void doc_describe(struct buf *out);

/*
 * Returns the route of a request: the one with the longest matching prefix
 * among the routes of its host, else among those of any host; NULL if there is
 * none. host may be NULL; its case and a port in it are ignored.
 */
const struct doc_route *doc_find_route(const struct doc *d, const char *host,
				       const char *path);
/* Returns the service with this name, NULL if there is none. */
const struct doc_service *doc_find_service(const struct doc *d,
					   const char *name);
/* Returns 1 if the NULL-terminated list has the region, or is NULL: all. */
int doc_regions_allow(char *const *regions, const char *region);
/* Appends the names, separated by commas. */
void doc_regions_add(char *const *regions, struct buf *out);

/* Where the owners of a service's keys may be, by the routes to it. */
struct doc_owner_regions {
	char **names; /* NULL-terminated; NULL: no route restricts them */
	int conflict; /* no region is allowed by all; names is NULL then */
};

/*
 * Finds the regions that all routes to the service and the service itself
 * allow. Destinations of weight 0 do not count. Goes through all routes. The
 * caller finishes o in each case.
 */
enum err doc_owner_regions_init(struct doc_owner_regions *o,
				const struct doc *d,
				const struct doc_service *s);
/* Returns 1 if both allow the same regions. */
int doc_owner_regions_equal(const struct doc_owner_regions *a,
			    const struct doc_owner_regions *b);
/* Frees the names and empties o, which may be zeroed memory. */
void doc_owner_regions_finish(struct doc_owner_regions *o);

/* Returns 1 if the document plans a stop of the node, else 0. */
int doc_has_stop(const struct doc *d, const char *node);
/* Returns 1 if the document stops all nodes of the data centre. */
int doc_has_data_centre_stop(const struct doc *d, const char *data_centre);

#endif
