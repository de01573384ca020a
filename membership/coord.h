#ifndef MEMBERSHIP_COORD_H
#define MEMBERSHIP_COORD_H

#include "common/cnt.h"
#include "config/doc.h"
#include "config/settings.h"
#include "membership/dgram.h"
#include "membership/record.h"
#include "store/store.h"
#include "transport/tcp.h"

/*
 * The coordinator is the elected leader of the nodes. It decides which node
 * owns which slot (a shard or a pinned key of a service), writes these
 * decisions to the store as changes of the map, keeps the roster (the list of
 * nodes that may hold a grant) and renews the nodes' grants, which are leases
 * to serve.
 *
 * Every daemon creates one struct coord. It is idle until
 * coord_start_election succeeds: a coordinator is elected when it replaces the
 * coordinator record in the store (record.h) by its own, under a higher term.
 * It steps down when it finds that its record was replaced, or when a node
 * reports a higher term.
 *
 * If the store is restored from a copy, a coordinator in office writes its
 * state to the store again. One that is elected afterwards has only the copy:
 * it gives no grants until those of its predecessors have ended, and goes on
 * with numbers above all that were given out since the copy.
 *
 * All functions run on the event loop's thread.
 */

struct coord;

/* The pointers must stay valid until coord_free. */
struct coord_config {
	struct ev_loop *loop;
	const struct settings *settings;
	struct store *store;
	struct dgram *dgram;
	struct cnt *cnt;      /* metrics */
	uint64_t incarnation; /* identifies this run of the daemon */
	/*
	 * Returns the sections of the document in force on this node, and sets
	 * doc to it and rev to its revision; returns NULL if there is none.
	 * Every node of the fleet then reads the document by itself. If this
	 * callback is NULL, the coordinator reads the document that mpinctl
	 * keeps in the store, and sends it to the members.
	 */
	const struct doc_sections *(*document)(const struct doc **doc,
					       uint64_t *rev, void *priv);
	/*
	 * Returns the milliseconds since the store confirmed that document;
	 * INT64_MAX: never. NULL if and only if document is.
	 */
	int64_t (*document_age_ms)(void *priv);
	/*
	 * Takes ownership of a newer document, which a member has read; this
	 * node is to have it in force. NULL if and only if document is.
	 */
	void (*offer_document)(struct doc *doc, struct doc_sections *sections,
			       void *priv);
	/*
	 * Returns 1 if operators have ordered, other than by the document, that
	 * the data centre be emptied. NULL: there are no such orders.
	 */
	int (*data_centre_is_drained)(const char *data_centre, void *priv);
	void *document_priv;
};

/* Creates an idle coordinator in out. Returns ERR_NOMEM without memory. */
enum err coord_new(struct coord **out, const struct coord_config *config);
/*
 * Steps down, closes all control connections and frees c, which may be NULL.
 * Store calls may be in flight: the store must be finished before the loop runs
 * again, so that their callbacks do not use the freed memory.
 */
void coord_free(struct coord *c);

/*
 * Starts an election: tries to replace the coordinator record known, with a
 * term above its own and seen_term, the highest that this node has seen. The
 * result comes later through the store; see coord_is_active. Does nothing
 * unless the coordinator is idle.
 */
void coord_start_election(struct coord *c, const struct record *known,
			  uint64_t seen_term);
/* Returns 1 once the coordinator is elected and has loaded its state. */
int coord_is_active(const struct coord *c);

/*
 * Takes ownership of an accepted control connection (allocated with malloc)
 * whose Hello has been read. While the coordinator is not active, it answers a
 * Join on this connection with ERR_STALE.
 */
void coord_accept(struct coord *c, struct tcp_conn *conn,
		  const Wire__Hello *hello);
/*
 * Handles a node's request to renew its grant, and sends the reply to from.
 * Ignored while not active.
 */
void coord_on_ask(struct coord *c, const struct dgram_ask *ask,
		  const struct sockaddr_in *from);

/* Returns 1 if the document or an order empties the data centre. */
int coord_data_centre_is_drained(const struct coord *c,
				 const char *data_centre);
/*
 * To be called when what data_centre_is_drained returns has changed: keys move
 * at the next tick.
 */
void coord_orders_changed(struct coord *c);

/*
 * Returns the bytes received (in) and sent (out) on all control connections
 * that this coordinator has accepted, closed ones included.
 */
void coord_count_bytes(const struct coord *c, uint64_t *in, uint64_t *out);

/*
 * Appends a JSON object with the state of the coordinator, its nodes and
 * services to out. Returns ERR_NOT_FOUND if the coordinator is not active.
 */
enum err coord_write_status(struct coord *c, struct buf *out);
/*
 * Appends a JSON object to out that tells which slot a key belongs to, who owns
 * it, why, and its recent owners. Returns ERR_NOT_FOUND if the coordinator is
 * not active or the slot is not in the map yet, and ERR_NO_SERVICE if the map
 * has no such service.
 */
enum err coord_write_explanation(struct coord *c, const char *service,
				 const char *key, struct buf *out);
/*
 * Records an operator's statement that a silent node is gone for good, so that
 * its slots may move. Returns ERR_STALE if the coordinator is not active,
 * ERR_NOT_FOUND if the node is unknown and ERR_CONFLICT if its state, as in
 * coord_write_status, is "live".
 */
enum err coord_forget(struct coord *c, const char *node);

#endif
