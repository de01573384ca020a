#ifndef DAEMON_INTERFACE_H
#define DAEMON_INTERFACE_H

#include "config/doc.h"
#include "ownership/hold.h"
#include "routing/dialect.h"
#include "store/store.h"

/*
 * The interface between a daemon and the environment that it is deployed in:
 * the protocol of the store, the format of the operators' document, the names
 * of HTTP headers and the HTTP calls of the target. The project has its own
 * interface; a platform supplies another struct interface. Its functions only
 * translate and make no decisions.
 *
 * Terms:
 *  - target: the server beside this daemon, which executes the requests.
 *  - announcement: the target's periodic call to this daemon, which states
 *    where and how the target can be reached and which keys it holds.
 *  - hold: the target's permission to serve ranges of keys for a limited time.
 *    The answer to an announcement gives and renews it; see ownership/hold.h.
 *  - slot: a part of a service's keys that has one owner at a time.
 */

/* Maximum length of each list of rows in an announcement and in an answer. */
#define ANNOUNCE_MAX_ROWS 512

/* An announcement, decoded. */
struct announcement {
	char id[64]; /* identifies this run of the target; "" if it has none */
	char service[DOC_NAME_BYTES];
	char address[64];
	unsigned port;
	uint32_t concurrency; /* requests that the target runs at a time */
	uint32_t connections; /* connections that it accepts in total */
	uint32_t checks;      /* CHECK_* bits: what it verifies of a request */
	int leaving;	      /* it is about to stop */
	uint32_t cold_ms;     /* how much longer it is slow after its start */
	int64_t born_ms;      /* wall-clock time of its start; 0: not stated */
	uint64_t sequence; /* rises with each announcement of a run; 0: none */
	int takes_holds;   /* it expects its keys in the answers */
	/* Keys that it holds or still works on, with their fences. */
	struct hold_row held[ANNOUNCE_MAX_ROWS];
	size_t held_count;
	/* Keys that it has released, with handovers for their next target. */
	struct hold_row released[ANNOUNCE_MAX_ROWS];
	size_t released_count;
};

/* The answer to an announcement: which keys the target may hold. */
struct announce_answer {
	int has_holds;	 /* 0: the answer gives and renews nothing */
	int64_t hold_ms; /* from when it sent the announcement */
	struct hold_row rows[ANNOUNCE_MAX_ROWS];
	size_t row_count;
};

enum target_call {
	TARGET_CALL_NONE, /* the request is not a call of a target */
	TARGET_CALL_ANNOUNCE,
	TARGET_CALL_LEAVE, /* the target is about to stop */
};

struct interface {
	const char *name;
	/*
	 * Opens the store at endpoint, "http://ADDRESS:PORT"; timeout_ms bounds
	 * each call except watches. On ERR_OK the caller frees the store by its
	 * finish operation.
	 */
	enum err (*open_store)(struct store **out, struct ev_loop *loop,
			       const char *endpoint, int timeout_ms,
			       struct err_info *info);
	/*
	 * Where operators keep the document and how it is read; NULL: mpinctl
	 * writes it to the store in the project's own format.
	 */
	const struct doc_source *document;
	const struct dialect *dialect; /* names of HTTP headers */
	/*
	 * Returns which call of a target an HTTP request is. Unless it returns
	 * TARGET_CALL_NONE, it sets id to the id in the path, "" if the
	 * interface has none there.
	 */
	enum target_call (*match_target_call)(const char *method,
					      const char *path, char *id,
					      size_t id_size);
	/*
	 * Decodes the body of an announcement; id is the one in the path.
	 * Returns ERR_OK or an error that info explains.
	 */
	enum err (*read_announcement)(const char *id, const char *text,
				      size_t len, struct announcement *out,
				      struct err_info *info);
	/*
	 * Returns the wall-clock time at which the run that makes a leave call
	 * with this body started; 0: not stated; -1: the body is not whole.
	 * NULL: it never is stated.
	 */
	int64_t (*read_leave)(const char *text, size_t len);
	/* Appends the encoded answer to out. */
	void (*write_answer)(const struct announce_answer *a, struct buf *out);
	/* Targets ignore a longer answer and lose their holds; 0: no limit. */
	size_t answer_max_bytes;
	const char *ready_path; /* HTTP path of readiness checks */
};

/* The project's own interface, with etcd as the store. */
extern const struct interface interface_own;

#endif
