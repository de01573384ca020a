#ifndef STANDINS_COMMON_KVSRV_H
#define STANDINS_COMMON_KVSRV_H

#include "standins/common_storedb.h"
#include "transport/httpd.h"

/*
 * Stand-in for the platform's metadata store: serves the "kv-*" calls over
 * HTTP from memory. Commands for tests are sent as POST /control/...:
 *
 *	down?mode=refuse|silent	refuse: calls are answered with 503;
 *				silent: calls are not answered
 *	up			ends an outage; calls that a silent outage
 *				held are answered with 503
 *	lose?count=N		the next N writes take effect, but their
 *				connections are closed without an answer
 *	compact			drops the history of changes, and answers open
 *				watches with 410
 *	put?key=KEY		sets the key to the body, as an operator would
 *	copy			takes a copy of the database
 *	restore?keep=PREFIX	sets the database back to the last copy (to an
 *				empty one if there is none), raises the era and
 *				closes the connections of open watches; keys
 *				that begin with PREFIX are written again with
 *				their present values. Lease ids are not given
 *				out again.
 *
 * Each answer to a call has the header Store-Era: the number of restores plus
 * one. A watch after a revision that the database does not have gets 410.
 */

enum kvsrv_mode {
	KVSRV_UP,
	KVSRV_REFUSE, /* calls are answered with 503 */
	KVSRV_SILENT, /* calls are not answered */
};

struct kvsrv_waiting; /* a request whose answer is due later */

struct kvsrv {
	struct httpd httpd;
	struct ev_loop *loop;
	struct sdb db;
	enum kvsrv_mode mode;
	unsigned lose_count; /* writes whose answers are still to be lost */
	int64_t next_lease;  /* id of the last lease that was granted */
	unsigned page_items; /* most items in an answer to kv-range; 0: 500 */
	int64_t era;	     /* 1, and one more for each restore */
	uint64_t calls;	     /* kv-* calls while the mode was KVSRV_UP */
	struct kvsrv_waiting *waiting;
	ev_timer sweep; /* expires leases */
};

/*
 * Starts to listen; port 0 is any free port. Returns an error, with info
 * filled, if the address or port cannot be used.
 */
enum err kvsrv_init(struct kvsrv *s, struct ev_loop *loop, const char *address,
		    unsigned port, struct err_info *info);
/* Stops listening, answers what waits with 503 and frees all. */
void kvsrv_finish(struct kvsrv *s);
/*
 * These do what POST /control/put, compact, up or down, copy, and restore do.
 * keep may be NULL.
 */
void kvsrv_put(struct kvsrv *s, const char *key, const void *value, size_t len);
void kvsrv_compact(struct kvsrv *s);
void kvsrv_set_mode(struct kvsrv *s, enum kvsrv_mode mode);
void kvsrv_take_copy(struct kvsrv *s);
void kvsrv_restore(struct kvsrv *s, const char *keep);

#endif
