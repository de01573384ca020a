#ifndef STANDINS_COMMON_KVSRV_H
#define STANDINS_COMMON_KVSRV_H

#include "standins/common_storedb.h"
#include "transport/httpd.h"

/*
 * Stand-in of the platform's metadata store: the "kv-*" calls over HTTP, in
 * memory. POST /control/...:
 *
 *	down?mode=refuse|silent	refuse: 503; silent: never answered
 *	up			held calls are answered with 503
 *	lose?count=N		the next N writes are done and not answered
 *	compact			drops the history, and cuts the watches
 *	put?key=KEY		the body becomes the key's value, as written by
 *				an operator
 */

enum kvsrv_mode { KVSRV_UP, KVSRV_REFUSE, KVSRV_SILENT };

struct kvsrv_waiting;

struct kvsrv {
	struct httpd httpd;
	struct ev_loop *loop;
	struct sdb db;
	enum kvsrv_mode mode;
	unsigned lose_count;
	int64_t next_lease;
	unsigned page_items; /* of a range; 0: the store's own limit */
	uint64_t calls;
	struct kvsrv_waiting *waiting;
	ev_timer sweep; /* lease expiry */
};

enum err kvsrv_init(struct kvsrv *s, struct ev_loop *loop, const char *address,
		    unsigned port, struct err_info *info);
void kvsrv_finish(struct kvsrv *s);
/* As POST /control/put. */
void kvsrv_put(struct kvsrv *s, const char *key, const void *value, size_t len);
void kvsrv_compact(struct kvsrv *s);
void kvsrv_set_mode(struct kvsrv *s, enum kvsrv_mode mode);

#endif
