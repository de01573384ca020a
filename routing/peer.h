#ifndef ROUTING_PEER_H
#define ROUTING_PEER_H

#include "common/cnt.h"
#include "protocol/frame.h"
#include "routing/gate.h"
#include "routing/view.h"
#include "transport/tcp.h"

/*
 * Links to and from other daemons. One outgoing link for each owner in use;
 * incoming links feed the gate.
 */

struct peers;

enum err peers_new(struct peers **out, struct ev_loop *loop, struct view *view,
		   struct gate *gate, struct cnt *cnt, const char *self_name,
		   uint64_t incarnation);
/* Rate of this VM's line: large bodies are asked for one after the other. */
void peers_set_bandwidth(struct peers *p, uint32_t link_kbps);
void peers_free(struct peers *p);

/*
 * Takes over an accepted connection (malloc'ed; freed by peers) after its
 * Hello frame with purpose 0 was read.
 */
void peers_accept(struct peers *p, struct tcp_conn *c,
		  const Wire__Hello *hello);

/*
 * Sends an attempt to its owner. fn runs exactly once with the reply, or with
 * one made here: OUTCOME_NOT_RUN if the attempt certainly did not and will
 * not run (never sent, or the owner said so when queried), else
 * OUTCOME_UNKNOWN. Never from inside the call.
 */
void peers_forward(struct peers *p, uint32_t node, const Wire__Forward *f,
		   gate_reply_fn fn, void *priv);
/*
 * Bytes sent to other daemons that have not arrived there. A daemon that exits
 * waits for 0, so that its last replies are not lost.
 */
size_t peers_unacknowledged_bytes(const struct peers *p);
/* No callback for this fn and priv any more. */
void peers_cancel(struct peers *p, gate_reply_fn fn, void *priv);

#endif
