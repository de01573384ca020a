#ifndef MEMBERSHIP_MEMBERSHIP_H
#define MEMBERSHIP_MEMBERSHIP_H

#include "common/cnt.h"
#include "config/doc.h"
#include "config/settings.h"
#include "membership/dgram.h"
#include "membership/drained.h"
#include "membership/record.h"
#include "ownership/own.h"
#include "routing/view.h"
#include "store/store.h"
#include "transport/tcp.h"

/*
 * This node's membership in the cluster: finds the coordinator, joins it over a
 * control connection, renews the node's grant, and holds the node's copies of
 * the map (which node owns which slot) and of the document (the operators'
 * configuration of services). If the coordinator does not answer, it asks other
 * nodes and may start an election.
 *
 * A grant is a lease to serve; a hold lets the node serve on without a grant
 * while the coordinator cannot reach the store.
 *
 * All functions and callbacks run on the event loop's thread.
 */

struct membership;

struct membership_ops {
	/*
	 * The map, the document or the orders changed. Not called while
	 * has_orders is set and the first orders are still to come.
	 */
	void (*changed)(void *priv);
	/* A change of the map names this node as the owner of the slot. */
	void (*slot_gained)(uint32_t slot, void *priv);
	/*
	 * Starts no more work for the slot; the callee calls
	 * membership_report_released once nothing is in flight.
	 */
	void (*release)(uint32_t slot, void *priv);
	/* The node keeps the slot and may serve it again. */
	void (*release_cancel)(uint32_t slot, void *priv);
	/*
	 * Fills in the load since the last call. free_load frees what was
	 * allocated for it.
	 */
	void (*collect_load)(Wire__LoadReport *report, void *priv);
	void (*free_load)(Wire__LoadReport *report, void *priv);
	/*
	 * No coordinator answers, or the present one has lost the store: the
	 * callee should try to replace known, the record last read from the
	 * store. seen_term is the highest term that this node has seen; it is
	 * above that of known if the store was restored from an older copy.
	 */
	void (*start_election)(const struct record *known, uint64_t seen_term,
			       void *priv);
	/* The coordinator has confirmed that the node may exit. */
	void (*left)(void *priv);
	/*
	 * Returns ERR_OK if the target may be sent work for the slot, and
	 * lowers end_ms if the target holds the slot only until an earlier
	 * time. If NULL, any work may be sent.
	 */
	enum err (*check_target_hold)(uint32_t slot, uint64_t fence,
				      int64_t now_ms, int64_t *end_ms,
				      void *priv);
};

/* The pointers must stay valid until membership_free. */
struct membership_config {
	struct ev_loop *loop;
	const struct settings *settings;
	struct store *store;
	struct dgram *dgram;
	struct cnt *cnt;      /* metrics */
	uint64_t incarnation; /* identifies this run of the daemon */
	/*
	 * The operators' orders come by membership_set_orders. Before the first
	 * call, this node does not route and treats all data centres as
	 * drained.
	 */
	int has_orders;
	const struct membership_ops *ops;
	void *priv;
};

/* Starts to look for a coordinator. Returns ERR_NOMEM without memory. */
enum err membership_new(struct membership **out,
			const struct membership_config *config);
/*
 * Closes the control connection and frees m, which may be NULL. The store must
 * not run any callback of m afterwards.
 */
void membership_free(struct membership *m);

/* Returns the state that the request path may see; valid as long as m. */
struct view *membership_view(struct membership *m);

/* Handles a reply to an ask: renews the grant and fetches what was missed. */
void membership_on_lease_reply(struct membership *m,
			       const struct dgram_reply *r);
/* Handles the notice of a new coordinator; ignored unless its term is higher.
 */
void membership_on_takeover(struct membership *m, uint64_t term,
			    const char *address, unsigned peer_port);

/*
 * Handles another node's question when this one last heard the coordinator;
 * not answered if that node has seen a higher term.
 */
void membership_on_probe(struct membership *m, uint64_t term,
			 const struct sockaddr_in *from);
/* Handles the answer to a probe; heard_ms as in dgram_ops. */
void membership_on_probe_reply(struct membership *m, uint64_t term,
			       uint32_t heard_ms);

/*
 * Takes ownership of a document read from the store. It comes into force if it
 * is newer than the present one, and is freed otherwise.
 */
void membership_set_document(struct membership *m, struct doc *doc,
			     struct doc_sections *sections);
/* Sets the data centres that operators have ordered to be emptied. */
void membership_set_orders(struct membership *m, const struct drained *orders);
/*
 * Returns 1 if such an order, but not the document, empties the data centre, or
 * the first orders are still to come.
 */
int membership_has_order(const struct membership *m, const char *data_centre);
/* Returns how many data centres are emptied by orders and by the document. */
size_t membership_count_drained(const struct membership *m);
/*
 * Returns the sections of the document in force, and sets doc to it and rev to
 * its revision; returns NULL if there is none.
 */
const struct doc_sections *membership_document(const struct membership *m,
					       const struct doc **doc,
					       uint64_t *rev);
/*
 * Returns the milliseconds since the document in force was known to be the
 * newest in the store, by what the coordinator told; INT64_MAX: never.
 */
int64_t membership_document_age_ms(const struct membership *m);

/*
 * Tells the coordinator that the target came or changed, or that it is gone
 * (NULL), and then releases all slots of this node. Copies target.
 */
void membership_set_target(struct membership *m, const Wire__Target *target);
/* Tells the coordinator that nothing of the slot is in flight any more. */
void membership_report_released(struct membership *m, uint32_t slot);
#define MEMBERSHIP_RELEASED_MAX 256
/*
 * Reports several slots at once. handovers has a text for each, which the
 * target gave for the slot's next owner.
 */
void membership_report_released_many(struct membership *m, uint32_t *slots,
				     const char *const *handovers,
				     size_t count);
/* Returns the id of this node, 0 until it has joined. */
uint32_t membership_node_id(const struct membership *m);
/*
 * Returns ERR_OK if this node may serve the slots that its map gives it, and
 * the time until which it may in end_ms: INT64_MAX in a hold without an end.
 * Otherwise returns ERR_NO_GRANT or, if its map is too old, ERR_STALE.
 */
enum err membership_may_serve(const struct membership *m, int64_t now_ms,
			      int64_t *end_ms);
/*
 * Announces a planned stop to the coordinator, which moves this node's slots
 * away; membership_ops.left follows. If restart is set, the node comes back
 * soon and its slots may wait for it.
 */
void membership_leave(struct membership *m, int restart);

/*
 * Returns 1 if the node has not joined a coordinator at present and has neither
 * a grant nor a hold.
 */
int membership_is_detached(const struct membership *m);

/*
 * Returns the bytes received (in) and sent (out) on all control connections to
 * coordinators so far.
 */
void membership_count_bytes(const struct membership *m, uint64_t *in,
			    uint64_t *out);
/*
 * Returns the milliseconds since the control connection last delivered a byte;
 * 0 without a connection.
 */
int64_t membership_control_silent_ms(const struct membership *m);
/* Returns how often this node fetched a map or document that was not pushed. */
uint64_t membership_count_fetches(const struct membership *m);

/*
 * Appends the members of a JSON object that describe this node to out, for
 * /status: "node":...,"id":..., each with a trailing comma.
 */
void membership_write_status(struct membership *m, struct buf *out);

#endif
