#ifndef CTL_CTL_H
#define CTL_CTL_H

#include "config/doc.h"
#include "store/store.h"
#include "transport/httpc.h"

#include <ev.h>
#include <jansson.h>

/* Exit status; documented in mpinctl(1). */
enum ctl_exit {
	CTL_DONE = 0,
	CTL_FAILED = 1,	     /* refused or failed; or result not known */
	CTL_INVALID = 2,     /* usage, or invalid input */
	CTL_RACE = 3,	     /* another change came first */
	CTL_PENDING = 4,     /* accepted, not in force everywhere in time */
	CTL_UNREACHABLE = 5, /* store or coordinator cannot be reached */
};

#define CTL_DEFAULT_WAIT_S 6
#define CTL_MAX_WAIT_S 3600
#define CTL_KEY_BYTES 256

/* What the daemons run with: their store, and the document in it. */
struct ctl_interface {
	const char *name;
	enum err (*store_open)(struct store **out, struct ev_loop *loop,
			       const char *endpoint, int timeout_ms,
			       struct err_info *info);
	const struct doc_source *document; /* NULL: mpinctl's own */
};

extern const struct ctl_interface ctl_interface_own;

struct ctl {
	const struct ctl_interface *interface; /* that the daemons run with */
	const char *endpoint;		       /* of the store */
	const char *prefix;
	const char *author;
	int wait_ms;
	int json;
	char *const *args; /* of the verb */
	struct ev_loop *loop;
	struct store *store; /* NULL if the verb needs none */
	struct httpc http;
	int http_open;
	char writer[32];   /* unique to this process */
	unsigned attempts; /* transactions built so far */
};

#define CTL_TAKES_AUTHOR 1U
#define CTL_TAKES_WAIT 2U
/* The verb reads or writes the document in mpinctl's own format. */
#define CTL_OWN_DOCUMENT 4U

struct ctl_verb {
	const char *name;
	const char *args;
	int arg_count;
	int needs_store;
	unsigned options; /* CTL_OPT_... besides the common ones, CTL_OWN_... */
	const char *help;
	enum ctl_exit (*run)(struct ctl *c);
};

extern const struct ctl_verb ctl_verbs[];
extern const size_t ctl_verb_count;

enum ctl_exit ctl_validate(struct ctl *c);
enum ctl_exit ctl_diff(struct ctl *c);
enum ctl_exit ctl_apply(struct ctl *c);
enum ctl_exit ctl_status(struct ctl *c);
enum ctl_exit ctl_drain(struct ctl *c);
enum ctl_exit ctl_undrain(struct ctl *c);
enum ctl_exit ctl_forget(struct ctl *c);
enum ctl_exit ctl_explain(struct ctl *c);

/* io.c: calls that wait. */

enum err ctl_open(struct ctl *c, struct err_info *info);
void ctl_close(struct ctl *c);
/* fn sees the result; it is not called after an error. */
enum err ctl_store_range(struct ctl *c, const char *key, int prefix,
			 void (*fn)(const struct store_range *range,
				    void *priv),
			 void *priv);
enum err ctl_store_txn(struct ctl *c, const struct store_compare *compare,
		       const struct store_put *puts, size_t put_count);
enum err ctl_http_request(struct ctl *c, const char *method, const char *url,
			  int *status, struct buf *answer);
void ctl_sleep(struct ctl *c, int ms);
/* PREFIX and the two parts. */
void ctl_store_key(const struct ctl *c, char out[CTL_KEY_BYTES],
		   const char *first, const char *second);

/* output.c */

/* "mpinctl: ..." on standard error. */
void ctl_error(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/* Prints the object as one line and drops the reference. */
void ctl_print_json(json_t *object);
/* Lines of the text as an array. */
json_t *ctl_lines_to_json(struct buf *text);
/* "2026-01-02T03:04:05Z" */
void ctl_format_time(int64_t wall_ms, char out[32]);
/*
 * The whole file; "-" is standard input. One byte more than DOC_MAX_BYTES at
 * most, so that a larger file is refused by the validator.
 */
enum err ctl_read_file(const char *path, struct buf *out);
/* Prints the problems of an invalid document; returns CTL_INVALID. */
enum ctl_exit ctl_report_invalid(const struct ctl *c, const char *file,
				 struct buf *problems);

/* document.c */

struct ctl_doc {
	int64_t head_mod; /* mod_revision of doc/head, 0: there is none */
	struct doc_head head;
	struct doc_sections sections;
	enum err error;
};

/*
 * The store's document at one revision. On another result than CTL_DONE the
 * reason was printed and d is empty.
 */
enum ctl_exit ctl_doc_read(struct ctl *c, struct ctl_doc *d);
void ctl_doc_finish(struct ctl_doc *d);

/* commit.c */

/* What became of a change. */
struct ctl_commit {
	enum ctl_exit exit;
	const char *result; /* for JSON: "written", "race", ... */
	uint64_t revision;  /* of the document that has the change */
	int stops_changed;  /* CTL_RACE: the stops were changed */
	struct doc_head
		current_head; /* CTL_RACE: what came first; else empty */
	char attempt[DOC_NAME_BYTES];
};

/*
 * Writes the sections of next that differ from base, and doc/head. Prints
 * nothing; commit is finished with ctl_commit_finish.
 */
void ctl_commit(struct ctl *c, const struct ctl_doc *base,
		const struct doc_sections *next, struct ctl_commit *commit);
void ctl_commit_finish(struct ctl_commit *commit);
/* Prints what became of the change and waits until it is in force. */
enum ctl_exit ctl_report_commit(struct ctl *c, const struct ctl_doc *base,
				const struct ctl_commit *commit);

/* stops.c: drain and undrain. */
enum ctl_exit ctl_edit_stops(struct ctl *c, const char *node, int drain);

/* coord.c */

/*
 * Asks the coordinator that the store names, again after an election. On
 * another result than CTL_DONE the reason was printed if complain is true.
 */
enum ctl_exit ctl_coord_request(struct ctl *c, const char *method,
				const char *path, int print_error, int *status,
				struct buf *answer);
/* ctl_coord_request for JSON with status 200; the caller drops the reference.
 */
enum ctl_exit ctl_coord_get_json(struct ctl *c, const char *path,
				 int print_error, json_t **out);
/* URL-encoded; free with curl_free. */
char *ctl_url_escape(const char *text);

/* wait.c */

/*
 * Waits until the revision is in force. CTL_PENDING: missing has an array of
 * texts that say who or what is missing. In each case the caller drops it.
 */
enum ctl_exit ctl_wait_in_force(struct ctl *c, uint64_t revision,
				json_t **missing);

#endif
