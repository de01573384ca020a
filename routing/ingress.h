#ifndef ROUTING_INGRESS_H
#define ROUTING_INGRESS_H

#include "common/cnt.h"
#include "config/settings.h"
#include "routing/gate.h"
#include "routing/peer.h"
#include "routing/view.h"

/*
 * The ingress takes HTTP requests of callers, finds the owner of the key,
 * hands the request to the local gate or over a link, repeats what may be
 * repeated, and states the outcome of each request in the answer's headers.
 */

struct ingress;

enum err ingress_new(struct ingress **out, struct ev_loop *loop,
		     const struct settings *set, const struct dialect *dialect,
		     struct view *view, struct gate *gate, struct peers *peers,
		     struct cnt *cnt, uint64_t incarnation,
		     struct err_info *info);
void ingress_free(struct ingress *in);
/* Stops accepting connections; requests under way go on. */
void ingress_quiesce(struct ingress *in);
/* New requests are refused from now on; those under way go on. */
void ingress_refuse(struct ingress *in);
/* Requests that have not been answered. */
unsigned ingress_open(const struct ingress *in);
/* The map or the document changed: wakes requests that wait for it. */
void ingress_view_changed(struct ingress *in);

#endif
