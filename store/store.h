#ifndef STORE_STORE_H
#define STORE_STORE_H

#include "common/err.h"

#include <ev.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Interface to the key-value store that the fleet shares. A driver fills in
 * struct store_ops. All calls are asynchronous: the callback runs exactly once
 * and never from inside the call; it does not run if the store is finished
 * first. Keys are text, values are bytes of at most STORE_MAX_VALUE_BYTES.
 *
 * A callback's error is one of:
 *  - ERR_OK;
 *  - ERR_CONFLICT: a comparison of the transaction failed, nothing was written;
 *  - ERR_NOT_FOUND: the lease to be kept alive does not exist;
 *  - ERR_STORE_DOWN: the request was never sent, so nothing was written;
 *  - ERR_TIMEOUT: no usable answer came, so a write may have taken effect;
 *  - ERR_TOO_LARGE: a value of the transaction exceeds STORE_MAX_VALUE_BYTES,
 *    nothing was sent.
 *
 * A revision is the store's count of changes. Each key has the revision of its
 * last change (mod_revision).
 *
 * A store that is restored from a copy loses the changes made since the copy
 * and gives their revisions out again, so revisions are comparable only within
 * one era: the time from one restore to the next. Each answer belongs to an
 * era, which is a number that differs from those before; 0 means that the
 * store does not tell it.
 */

#define STORE_MAX_VALUE_BYTES (1024 * 1024)
/* The era of a store that counts its eras and was never restored. */
#define STORE_FIRST_ERA 1

struct store;

struct store_kv {
	const char *key;
	const uint8_t *value;
	size_t value_len;
	int64_t mod_revision;
};

struct store_range {
	const struct store_kv *kvs; /* sorted by key */
	size_t count;
	int64_t revision; /* the store's revision at the time of the read */
	uint64_t era;	  /* of that revision */
};

/* Condition: the key has this mod_revision; 0: the key is absent. */
struct store_compare {
	const char *key;
	int64_t mod_revision;
};

/* Write or deletion of one key. */
struct store_put {
	const char *key;
	const uint8_t *value; /* NULL: delete the key */
	size_t value_len;
	int64_t lease; /* the key is deleted when this lease ends; 0: none */
};

/* result is valid during the callback; it is empty unless e is ERR_OK. */
typedef void (*store_range_fn)(enum err e, const struct store_range *result,
			       void *priv);
/* revision is the store's revision after the write, if e is ERR_OK. */
typedef void (*store_txn_fn)(enum err e, int64_t revision, void *priv);
/* lease is the id of the lease, if e is ERR_OK. */
typedef void (*store_lease_fn)(enum err e, int64_t lease, void *priv);

/* Change of one key, as reported by a watch. */
struct store_event {
	const char *key;
	const uint8_t *value; /* NULL: the key was deleted */
	size_t value_len;
	int64_t mod_revision;
};

struct store_watch; /* defined by the driver */

struct store_watch_ops {
	/* Called for each event, in the order of revisions. */
	void (*event)(const struct store_event *event, void *priv);
	/*
	 * Called when the watch has ended and may have missed events; the
	 * driver frees it. The callee reads the range again and starts a new
	 * watch. The driver itself resumes a watch whose connection is lost,
	 * so why is only ERR_STALE (the store has compacted, i.e. discarded,
	 * the revisions that are needed, or was restored from a copy),
	 * ERR_MALFORMED or ERR_TOO_LARGE.
	 */
	void (*ended)(enum err why, void *priv);
};

/* Counts of calls by kind and of bytes, kept by the driver for metrics. */
struct store_counts {
	uint64_t ranges;
	uint64_t txns;
	uint64_t leases;   /* grants and keep-alives */
	uint64_t watches;  /* times that a watch was opened or reopened */
	uint64_t failures; /* failed calls and watch connections */
	uint64_t bytes_out;
	uint64_t bytes_in;
};

struct store_ops {
	/*
	 * Linearizable read of one key (prefix 0) or of all keys that start
	 * with it (prefix 1).
	 */
	void (*range)(struct store *s, const char *key, int prefix,
		      store_range_fn fn, void *priv);
	/*
	 * Transaction: if all comparisons are true, applies all puts at one
	 * revision; else it writes nothing and reports ERR_CONFLICT.
	 */
	void (*txn)(struct store *s, const struct store_compare *compares,
		    size_t compare_count, const struct store_put *puts,
		    size_t put_count, store_txn_fn fn, void *priv);
	/*
	 * Creates a lease that ends ttl_seconds after the grant or its last
	 * keep-alive.
	 */
	void (*lease_grant)(struct store *s, int ttl_seconds, store_lease_fn fn,
			    void *priv);
	/* Extends the lease; ERR_NOT_FOUND if it has ended. */
	void (*lease_keepalive)(struct store *s, int64_t lease,
				store_lease_fn fn, void *priv);
	/*
	 * Starts to report the changes after from_revision of all keys that
	 * start with prefix. The revision is of the given era; the watch ends
	 * when the store is in another one. Returns the watch, never NULL.
	 */
	struct store_watch *(*watch)(struct store *s, const char *prefix,
				     int64_t from_revision, uint64_t era,
				     const struct store_watch_ops *ops,
				     void *priv);
	/* Ends the watch without calling ended(); allowed in its callbacks. */
	void (*unwatch)(struct store *s, struct store_watch *w);
	/*
	 * Returns a number that is above every number that counted up by less
	 * than one a millisecond from a floor of an earlier era. Users of the
	 * store continue their own numbers from it after a restore, since those
	 * that were given out since the copy are not known.
	 */
	uint64_t (*number_floor)(const struct store *s);
	/*
	 * Ends all calls and watches without callbacks and frees the store.
	 * Allowed in any callback.
	 */
	void (*finish)(struct store *s);
};

/* The newest revision that an answer had, and its era. */
struct store_known {
	int64_t revision;
	uint64_t era;
};

struct store {
	const struct store_ops *ops;
	struct store_counts counts;
	uint64_t era; /* of the last answer; 0: none yet, or not told */
	struct store_known known;
};

/*
 * For drivers, whose answers carry no id: a store may write the answer to an
 * earlier call once more, which arrives behind the next call on the same
 * connection. Returns 1 if an answer of this revision and era cannot be to a
 * call that was sent when known was known. wrote: the call has put a value,
 * which makes a new revision.
 */
int store_answer_is_old(const struct store_known *known, int64_t revision,
			uint64_t era, int wrote);
/* Notes the revision and era of an answer. */
void store_note_revision(struct store_known *known, int64_t revision,
			 uint64_t era);

/*
 * Opens a store that is etcd v3, reached over HTTP and JSON. endpoint is
 * "http://ADDRESS:PORT"; timeout_ms limits each call, but of a watch only the
 * connecting. No connection is made yet. Returns ERR_OK and sets *out, or sets
 * it to NULL and returns ERR_RANGE (endpoint or timeout) or ERR_NOMEM.
 */
enum err etcd_open(struct store **out, struct ev_loop *loop,
		   const char *endpoint, int timeout_ms, struct err_info *info);

#endif
