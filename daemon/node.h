#ifndef DAEMON_NODE_H
#define DAEMON_NODE_H

#include "common/cnt.h"
#include "config/settings.h"
#include "daemon/interface.h"
#include "membership/coord.h"
#include "membership/doc_feed.h"
#include "membership/dgram.h"
#include "membership/mem.h"
#include "routing/gate.h"
#include "routing/ingress.h"
#include "routing/peer.h"
#include "store/store.h"
#include "transport/httpd.h"
#include "transport/tcp.h"

/*
 * One daemon: its tasks and the wiring between them. The tasks share the
 * loop and nothing else.
 */

/* A target that has not announced itself for this long is gone. */
#define NODE_ANNOUNCE_MS 5000
/* A longer gap between two ticks is a pause of this process. */
#define NODE_PAUSE_MS 1000
/* A stopping node without grant and coordinator waits this long for one. */
#define NODE_DETACHED_MS 5000
/*
 * The coordinator reads the operators' document so often, and passes it on. A
 * third of the time within which a document is to be in force.
 */
#define NODE_DOCUMENT_POLL_MS 700
/*
 * A stop with a notice ends this long before the process would be killed, so
 * that the last answers are sent.
 */
#define NODE_GRACE_MARGIN_MS 250
/* Replies to a node that does not read any more are not waited for. */
#define NODE_UNSENT_MS 3000

struct node;
struct doc_feed;

enum node_stop {
	NODE_RUNNING,
	NODE_LEAVING,	/* the coordinator moves the slots away */
	NODE_FINISHING, /* the last requests end */
};

struct node {
	struct ev_loop *loop;
	const struct settings *set;
	uint64_t incarnation;
	struct cnt cnt;
	const struct interface *interface;
	struct store *store;
	struct doc_feed *feed; /* NULL: the document is mpinctl's */
	struct dgram dgram;
	struct mem *mem;
	struct coord *coord;
	struct gate *gate;
	struct peers *peers;
	struct ingress *ingress;
	struct tcp_listener listener;
	struct hello_conn *hellos;
	struct httpd admin;
	int admin_up;
	struct httpd ready;
	int ready_up;
	struct httpd control;
	int control_up;

	Wire__Target *target; /* as announced; NULL if there is none */
	int64_t announced_ms; /* when it last did; at first, the start */
	int silence_told;     /* that it never did since the start */
	int64_t tick_ms;
	int target_leaving; /* it finishes what it runs, gets nothing new */
	int target_left;    /* it said so, not only that it will */
	int64_t target_born_ms;
	uint64_t target_sequence; /* of its newest announcement */
	int64_t leaving_ms;
	struct hold hold; /* keys that the target holds by itself */

	enum node_stop stop;
	int64_t stop_ms; /* when the planned stop began */
	int64_t finishing_ms;
	int slots_left; /* the coordinator has let this node go */
	int restarting;
	ev_timer timer;
};

/* Starts all tasks. On failure, node_finish frees what was started. */
enum err node_init(struct node *n, struct ev_loop *loop,
		   const struct settings *set, struct err_info *info);
void node_finish(struct node *n);
/*
 * Planned stop: the loop ends when nothing is in flight. restart: slots may
 * wait for this node. A second call changes nothing.
 */
void node_stop(struct node *n, int restart);

/* target.c: what the target says about itself. */

/* ERR_STALE: older than what is known; the answer then gives nothing. */
enum err node_announce(struct node *n, struct announcement *a,
		       struct announce_answer *answer);
void node_target_leaving(struct node *n);
/* Has its latest announcement come in time? */
int node_target_announces(const struct node *n, int64_t now_ms);
/* The target has said that it leaves; "" if it has no id. */
void node_target_left(struct node *n, const char *id);
void node_target_gone(struct node *n, const char *why);
void node_target_tick(struct node *n, int64_t now_ms);

/* holds.c: keys that the target holds by itself. */

/* Fills in what the target is to hold. */
void node_hold_answer(struct node *n, const struct announcement *a,
		      struct announce_answer *answer);
/* 1 if the target takes the slot's keys in answers to its announcements. */
int node_hold_applies(struct node *n, uint32_t slot);
void node_hold_release(struct node *n, uint32_t slot);
void node_hold_tick(struct node *n, int64_t now_ms);
/* ERR_OK, and a lower end_ms, if the target may be sent work of the slot. */
enum err node_hold_may_serve(struct node *n, uint32_t slot, uint64_t fence,
			     int64_t now_ms, int64_t *end_ms);

/* control.c: calls of the target, and readiness. */

enum err node_control_init(struct node *n, struct err_info *info);
/* The call is answered; 0 if it is none of a target's. */
int node_control_call(struct node *n, struct httpd_request *r);
/* May callers be sent to this node? */
int node_is_ready(struct node *n);

/* accept.c: connections whose Hello has not come yet. */
enum err node_listen(struct node *n, struct err_info *info);
void node_listen_finish(struct node *n);

/* admin.c: HTTP for operators and the target. */
enum err node_admin_init(struct node *n, struct err_info *info);

#endif
