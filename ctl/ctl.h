#ifndef CTL_CTL_H
#define CTL_CTL_H

#include "config/doc.h"
#include "store/store.h"
#include "transport/httpc.h"

#include <ev.h>
#include <jansson.h>

/*
 * mpinctl is the operators' client. It reads and writes the document (see
 * config/doc.h) in the store, and asks the coordinator, the node that assigns
 * keys to owners, for its view of the fleet. Each verb of the command line is
 * one function. Calls to the store and the coordinator run the event loop until
 * they are done, so all functions here block.
 *
 * Terms:
 *  - commit: the transaction that writes a changed document.
 *  - attempt: the unique name of one commit. It stays the same when the
 *    transaction is sent again, so that a reader of doc/head can tell whether
 *    it was written.
 *  - race: another operator's change was written first.
 *  - in force: every node that serves has the revision.
 */

/* Exit status of mpinctl, and the result of most functions. */
enum ctl_exit {
	CTL_DONE = 0,
	CTL_FAILED = 1,	     /* refused or failed, or the result is unknown */
	CTL_INVALID = 2,     /* wrong usage or invalid input */
	CTL_RACE = 3,	     /* another change was written first */
	CTL_PENDING = 4,     /* written, but not in force before the timeout */
	CTL_UNREACHABLE = 5, /* no answer from the store or the coordinator */
};

#define CTL_DEFAULT_WAIT_S 6
#define CTL_MAX_WAIT_S 3600
#define CTL_KEY_BYTES 256

/*
 * The store and the format of the document that the daemons use, chosen by
 * their setting node.interface.
 */
struct ctl_interface {
	const char *name;
	enum err (*store_open)(struct store **out, struct ev_loop *loop,
			       const char *endpoint, int timeout_ms,
			       struct err_info *info);
	/* Reads a document in another format; NULL: it has mpinctl's own. */
	const struct doc_source *document;
};

extern const struct ctl_interface ctl_interface_own;

struct ctl {
	const struct ctl_interface *interface; /* the daemons' interface */
	const char *endpoint;		       /* of the store */
	const char *prefix;		       /* of the keys in the store */
	const char *author;		       /* of changes */
	int wait_ms; /* timeout until a change is in force; 0: do not wait */
	int json;    /* print results as JSON */
	/* The argument of drain and undrain names a data centre, not a node. */
	int data_centre;
	int offline;	   /* do not compare with the document in the store */
	char *const *args; /* of the verb */
	struct ev_loop *loop;
	struct store *store; /* NULL if the verb needs none */
	struct httpc http;
	int http_open;	   /* http is initialized */
	char writer[32];   /* unique name of this process */
	unsigned attempts; /* number of commits so far */
};

/* Options that a verb takes besides the common ones. */
#define CTL_TAKES_AUTHOR 1U
#define CTL_TAKES_WAIT 2U
/* The verb reads or writes the document in mpinctl's own format. */
#define CTL_OWN_DOCUMENT 4U
#define CTL_TAKES_DATA_CENTRE 8U
#define CTL_TAKES_OFFLINE 16U

struct ctl_verb {
	const char *name;
	const char *args; /* names of the arguments, for usage messages */
	int arg_count;
	int needs_store;  /* ctl_open is called before run */
	unsigned options; /* CTL_TAKES_... and CTL_OWN_DOCUMENT */
	const char *help;
	enum ctl_exit (*run)(struct ctl *c);
};

extern const struct ctl_verb ctl_verbs[];
extern const size_t ctl_verb_count;

/*
 * The verbs. Each takes its arguments from c->args, prints its result or an
 * error, and returns the exit status of mpinctl.
 */
enum ctl_exit ctl_validate(struct ctl *c);
enum ctl_exit ctl_check(struct ctl *c);
enum ctl_exit ctl_diff(struct ctl *c);
enum ctl_exit ctl_apply(struct ctl *c);
enum ctl_exit ctl_status(struct ctl *c);
enum ctl_exit ctl_drain(struct ctl *c);
enum ctl_exit ctl_undrain(struct ctl *c);
enum ctl_exit ctl_forget(struct ctl *c);
enum ctl_exit ctl_explain(struct ctl *c);

/* validate.c */

/*
 * Parses a document of the format that the interface has in the store. Results
 * and problems as doc_parse.
 */
enum err ctl_parse_document(const struct ctl *c, const struct buf *text,
			    struct doc *d, struct buf *problems);
/*
 * Reads the file that the verb names and calls use with its document. Prints
 * the problems and returns CTL_INVALID if it cannot be read or is invalid.
 */
enum ctl_exit ctl_with_document(struct ctl *c,
				enum ctl_exit (*use)(struct ctl *c,
						     const struct doc *d,
						     const struct buf *text));

/* io.c: calls to the store and the coordinator; they block. */

/*
 * Opens the store and the HTTP client. c->interface and c->endpoint must be
 * set. On an error info has its cause; ctl_close must be called in each case.
 */
enum err ctl_open(struct ctl *c, struct err_info *info);
void ctl_close(struct ctl *c);
/*
 * Reads one key, or with prefix 1 all keys that start with it, and calls fn
 * with the result. On an error (see store/store.h) fn is not called.
 */
enum err ctl_store_range(struct ctl *c, const char *key, int prefix,
			 void (*fn)(const struct store_range *range,
				    void *priv),
			 void *priv);
/*
 * Writes all puts in one transaction if the comparison holds. Returns the
 * errors of store/store.h: after ERR_TIMEOUT the puts may have been written.
 */
enum err ctl_store_txn(struct ctl *c, const struct store_compare *compare,
		       const struct store_put *puts, size_t put_count);
/*
 * Sends an HTTP request without a body. On ERR_OK status and answer (its body)
 * are set.
 */
enum err ctl_http_request(struct ctl *c, const char *method, const char *url,
			  int *status, struct buf *answer);
/* Runs the event loop for ms milliseconds. */
void ctl_sleep(struct ctl *c, int ms);
/* Writes a key of the store: c->prefix followed by first and second. */
void ctl_store_key(const struct ctl *c, char out[CTL_KEY_BYTES],
		   const char *first, const char *second);

/* output.c */

/* Prints "mpinctl: MESSAGE" as a line on standard error. */
void ctl_error(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/* Prints the object as one line and drops the reference. */
void ctl_print_json(json_t *object);
/* Returns the lines of the text as a JSON array. */
json_t *ctl_lines_to_json(struct buf *text);
/* Writes the time in UTC, as "2026-01-02T03:04:05Z". */
void ctl_format_time(int64_t wall_ms, char out[32]);
/*
 * Reads a file; path "-" is standard input. Reads at most DOC_MAX_BYTES and one
 * byte more, by which the validator detects and refuses a larger file. Prints
 * the reason if it returns ERR_SYSTEM.
 */
enum err ctl_read_file(const char *path, struct buf *out);
/* Prints the problems of an invalid document; returns CTL_INVALID. */
enum ctl_exit ctl_report_invalid(const struct ctl *c, const char *file,
				 struct buf *problems);

/* document.c */

/* The document in the store. Without one, all members are 0. */
struct ctl_doc {
	int64_t head_mod_revision; /* of doc/head in the store; 0: absent */
	uint64_t era;		   /* of head_mod_revision */
	/*
	 * Set by ctl_doc_read_for_change: 1 if the store has the document from
	 * a copy, so that it lacks changes that were accepted since.
	 */
	int from_copy;
	uint64_t in_force; /* from_copy: the coordinator's; 0: not known */
	struct doc_head head;
	struct doc_sections sections;
	enum err error; /* of the first record that cannot be parsed */
};

/*
 * Reads the document at one revision of the store and checks that the sections
 * match doc/head. Returns CTL_DONE, CTL_UNREACHABLE, or CTL_FAILED if the
 * document is damaged. If it is not CTL_DONE, the reason was printed and d is
 * empty.
 */
enum ctl_exit ctl_doc_read(struct ctl *c, struct ctl_doc *d);
/*
 * Does the same for a document that is to be changed. If the store was restored
 * from a copy, waits a few seconds for the coordinator, which writes a newer
 * document back if a node has one.
 */
enum ctl_exit ctl_doc_read_for_change(struct ctl *c, struct ctl_doc *d);
/* Prints a warning if the head was written before the store was restored. */
void ctl_doc_warn_from_copy(const struct ctl_doc *d);
void ctl_doc_finish(struct ctl_doc *d);

/* commit.c */

/* The result of a commit. */
struct ctl_commit {
	enum ctl_exit exit;
	/*
	 * For JSON: "written", "no_change", "race", "unknown", "not_written"
	 * or the name of an error.
	 */
	const char *result;
	uint64_t revision; /* CTL_DONE: the revision that has the change */
	int stops_changed; /* other changes changed the stops */
	/*
	 * Head after other changes were written; empty unless result is "race"
	 * or "unknown". It may be empty for "unknown".
	 */
	struct doc_head current_head;
	char attempt[DOC_NAME_BYTES];
};

/*
 * Writes the sections of next that differ from base, and doc/head, in one
 * transaction. If the store's answer is lost, it reads doc/head back to find
 * out whether the transaction was written, and sends it again if not. Prints
 * nothing. The caller frees commit with ctl_commit_finish.
 */
void ctl_commit(struct ctl *c, const struct ctl_doc *base,
		const struct doc_sections *next, struct ctl_commit *commit);
void ctl_commit_finish(struct ctl_commit *commit);

/* report.c */

/*
 * Prints the result of a commit; if it was written, waits first until it is in
 * force, at most c->wait_ms. Returns the exit status.
 */
enum ctl_exit ctl_report_commit(struct ctl *c, const struct ctl_doc *base,
				const struct ctl_commit *commit);

/* stops.c */

/*
 * Adds (drain 1) or removes (drain 0) the planned stop of the node, or of the
 * data centre if c->data_centre is set, and commits the change, again if it
 * lost a race against a change of other sections. Prints and returns the result
 * as ctl_report_commit.
 */
enum ctl_exit ctl_edit_stops(struct ctl *c, const char *name, int drain);

/* coord.c */

/*
 * Sends an HTTP request to the coordinator that the store names. A GET with
 * print_error 1 is repeated for as long as an election may take; others are
 * sent once. Returns CTL_DONE when the coordinator has answered, with any
 * status but those that say that it is not ready, else CTL_UNREACHABLE, and
 * then prints the reason if print_error is 1.
 */
enum ctl_exit ctl_coord_request(struct ctl *c, const char *method,
				const char *path, int print_error, int *status,
				struct buf *answer);
/*
 * Sends a GET with ctl_coord_request and parses the answer. Returns CTL_DONE
 * with a JSON object in out if the status is 200, else CTL_UNREACHABLE or
 * CTL_FAILED. The caller drops the reference.
 */
enum ctl_exit ctl_coord_get_json(struct ctl *c, const char *path,
				 int print_error, json_t **out);
/* Returns the text URL-encoded; the caller frees it with curl_free. */
char *ctl_url_escape(const char *text);

/* wait.c */

/*
 * Waits until the revision is in force, at most c->wait_ms. Returns CTL_DONE,
 * or CTL_PENDING with texts in the array missing: one for each node that does
 * not have the revision, or one that says that no coordinator answers. The
 * caller drops the reference to missing in each case.
 */
enum ctl_exit ctl_wait_in_force(struct ctl *c, uint64_t revision,
				json_t **missing);

#endif
