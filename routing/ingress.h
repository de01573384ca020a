#ifndef ROUTING_INGRESS_H
#define ROUTING_INGRESS_H

#include "common/cnt.h"
#include "config/settings.h"
#include "routing/gate.h"
#include "routing/peer.h"
#include "routing/view.h"

/*
 * The ingress accepts HTTP requests of callers and finds the node that owns
 * the key of each. For a service without keys it chooses the best target. It
 * passes the request to the local gate or over a link to the other daemon,
 * retries it where that is safe, and states the outcome of the request in the
 * headers of the answer:
 *   answered  the target answered;
 *   not-run   no target ran the request and none will;
 *   unknown   a target may have run it.
 *
 * An attempt is one sending of a request to a node. Each attempt has its own
 * id, unique among all daemons.
 */

struct ingress;

/*
 * Starts an HTTP server on settings->address and settings->http_port and stores
 * the ingress in out. All pointers must stay valid until ingress_free, except
 * info, which may be NULL. incarnation identifies this run of the daemon.
 * Returns ERR_NOMEM or an error of httpd_init_limited; out is then unchanged.
 */
enum err ingress_new(struct ingress **out, struct ev_loop *loop,
		     const struct settings *settings,
		     const struct dialect *dialect, struct view *view,
		     struct gate *gate, struct peers *peers, struct cnt *cnt,
		     uint64_t incarnation, struct err_info *info);
/*
 * Answers all open requests as unknown, stops the server and frees the
 * ingress, which may be NULL.
 */
void ingress_free(struct ingress *in);
/*
 * Stops accepting connections and closes each open one after its next answer.
 * Requests on open connections are still served.
 */
void ingress_quiesce(struct ingress *in);
/* Answers every new request as not-run; those in progress continue. */
void ingress_refuse_requests(struct ingress *in);
/* Returns the number of requests whose answer has not been sent. */
unsigned ingress_open_requests(const struct ingress *in);
/* Returns the number of callers' connections, with or without a request. */
unsigned ingress_open_connections(const struct ingress *in);
/*
 * To be called after the map or the document has changed; only a newer map has
 * an effect. Paused requests start their next attempt at once. An idempotent
 * request whose attempt is at a peer that no longer owns the key is sent to
 * the new owner.
 */
void ingress_view_changed(struct ingress *in);

#endif
