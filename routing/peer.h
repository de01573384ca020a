#ifndef ROUTING_PEER_H
#define ROUTING_PEER_H

#include "common/cnt.h"
#include "protocol/frame.h"
#include "routing/gate.h"
#include "routing/view.h"
#include "transport/tcp.h"

/*
 * Links are TCP connections between daemons that carry attempts to the node
 * that owns the key, and replies back. The daemon that sends an attempt dials;
 * it has at most one current link to each node for small requests and one for
 * large ones. Attempts that arrive on accepted links go to the local gate.
 *
 * An attempt whose reply was lost with its link is not sent again. Its sender
 * asks the owner over a new link what became of it.
 */

/*
 * The owner gets a deadline that is shorter by this, so that its reply to an
 * expired attempt arrives before the sender gives up. Twice the round trip
 * between regions.
 */
#define PEER_DEADLINE_MARGIN_MS 20

struct peers;

/*
 * Creates the links of this daemon, none of them open, and stores them in out.
 * self_name and incarnation, which identifies this run of the daemon, are sent
 * in the Hello of each link. Returns ERR_NOMEM or ERR_OK.
 */
enum err peers_new(struct peers **out, struct ev_loop *loop, struct view *view,
		   struct gate *gate, struct cnt *cnt, const char *self_name,
		   uint64_t incarnation);
/*
 * Sets the bandwidth of this VM's network interface in kbit/s; 0: not known.
 * Large bodies that other daemons offer are then requested a few at a time, as
 * fast as the interface can receive them. To be called before peers_accept.
 */
void peers_set_bandwidth(struct peers *p, uint32_t link_kbps);
/* Closes all links without callbacks and frees p, which may be NULL. */
void peers_free(struct peers *p);

/*
 * Takes over an accepted connection after its Hello frame, with a purpose
 * other than 1 (control), was read. c must come from malloc; peers frees it.
 * The connection is closed if the name in hello is too long, or without memory.
 */
void peers_accept(struct peers *p, struct tcp_conn *c,
		  const Wire__Hello *hello);

/*
 * Sends an attempt to a node, usually the owner of its key. fn runs exactly
 * once unless peers_cancel comes first, and never from inside the call. It
 * gets the node's reply, or one that is made here: OUTCOME_NOT_RUN if the
 * attempt certainly did not and will not run (it was never sent, or the node
 * said so when queried), else OUTCOME_UNKNOWN. The message is copied if it has
 * to wait. Aborts the process if there is no memory for the attempt.
 */
void peers_forward(struct peers *p, uint32_t node, const Wire__Forward *f,
		   gate_reply_fn fn, void *priv);
/*
 * Returns how many bytes, mostly replies, were sent on accepted links and have
 * not been acknowledged by the other daemon's kernel, or wait for their turn on
 * this node's slow line. A daemon that exits waits until this is 0, so that its
 * last replies are not lost.
 */
size_t peers_unacknowledged_bytes(const struct peers *p);
/*
 * Cancels the attempts with this fn and priv: fn does not run for them any
 * more. Their nodes are told, do not start those still queued, and abort those
 * in flight that are idempotent.
 */
void peers_cancel(struct peers *p, gate_reply_fn fn, void *priv);

#endif
