#ifndef STORE_ETCD_H
#define STORE_ETCD_H

#include "store/store.h"
#include "transport/httpc.h"

/* Private to the etcd driver: shared by etcd.c and etcd_watch.c only. */

struct etcd_call;

struct etcd {
	struct store store; /* first member, so that struct etcd can be cast */
	struct ev_loop *loop;
	struct httpc calls_client;
	struct httpc watch_client;
	char *endpoint;
	int timeout_ms;
	/* Until this time each call opens a new connection. */
	int64_t new_connections_until_ms;
	struct etcd_call *calls; /* calls whose callback has not begun */
	struct store_watch *watches;
};

/* Implement watch and unwatch of struct store_ops. */
struct store_watch *etcd_watch(struct store *s, const char *prefix,
			       int64_t from_revision, uint64_t era,
			       const struct store_watch_ops *ops, void *priv);
/*
 * Takes over the era of an answer, if it names one, and has the watches of
 * other eras end.
 */
void etcd_note_era(struct etcd *e, uint64_t era);
/* Ends the watches of other eras than the store's. */
void etcd_end_old_watches(struct etcd *e);
void etcd_unwatch(struct store *s, struct store_watch *w);

#endif
