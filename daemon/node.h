#ifndef DAEMON_NODE_H
#define DAEMON_NODE_H

#include "common/cnt.h"
#include "common/step.h"
#include "config/settings.h"
#include "daemon/interface.h"
#include "membership/coord.h"
#include "membership/doc_feed.h"
#include "membership/dgram.h"
#include "membership/membership.h"
#include "ownership/departure.h"
#include "routing/gate.h"
#include "routing/ingress.h"
#include "routing/peer.h"
#include "store/store.h"
#include "transport/httpd.h"
#include "transport/tcp.h"

/*
 * A node: one daemon and the target beside it. struct node owns the daemon's
 * modules and passes calls between them; the modules share nothing but the
 * event loop. They are:
 *  - membership: finds the coordinator, keeps this node's grant, which is its
 *    time-limited right to serve, and the copies of the map and the document;
 *  - coordinator (coord): assigns slots to nodes; idle unless this node is the
 *    coordinator of the fleet;
 *  - gate: admits requests to the target;
 *  - ingress: takes the requests of callers;
 *  - peers: connections to the other daemons.
 *
 * Times in milliseconds (_ms) are points in time of CLOCK_BOOTTIME (clk_ms) or
 * durations, unless noted otherwise.
 */

/* A longer time between two ticks means that this process was paused. */
#define NODE_PAUSE_MS 1000
/*
 * A stopping node that has neither a grant nor a connection to a coordinator
 * waits this long for one before it stops accepting work.
 */
#define NODE_DETACHED_TIMEOUT_MS 5000
/*
 * Period at which the coordinator's node reads the operators' document from the
 * store, so that it can pass a new one on: a third of the time within which a
 * new document has to be in force.
 */
#define NODE_DOCUMENT_POLL_MS 700
/*
 * Any other node reads the document itself once neither its own watch nor the
 * coordinator has confirmed for this long that the one in force is the newest.
 * The coordinator may have lost its path to the store while the watch is
 * silent. Its period of reads and the period of renewals, OWN_RENEW_MS, fit in,
 * so that no node reads while the coordinator does; what is left of the 2 s is
 * for the read.
 */
#define NODE_DOCUMENT_STALE_MS 1400
/*
 * How long the coordinator does not confirm the document after the operators'
 * orders have changed: longer than NODE_DOCUMENT_STALE_MS and a node's tick, so
 * that each node whose watch is silent reads the store once.
 */
#define NODE_ORDERS_UNCONFIRMED_MS 2000
/*
 * A stop with a notice period (stop.notice_ms) ends this long, and the time of
 * the longest step of the event loop seen lately, before the end of the grace
 * period (stop.grace_ms), when the process would be killed. The last answers
 * are sent in this time. It is at most this part of the grace period: a step
 * can have been long because the process was paused.
 */
#define NODE_GRACE_MARGIN_MS 250
#define NODE_GRACE_MARGIN_PARTS 6
/*
 * A stopping node waits no longer than this until its last replies have arrived
 * at the other daemons; one that no longer reads would block the stop.
 */
#define NODE_UNSENT_TIMEOUT_MS 3000
/*
 * A stop without a notice period keeps the callers' idle connections open for
 * this long. A request that comes on one is served with an answer that closes
 * the connection; on a connection that is closed at once, it would be lost.
 */
#define NODE_IDLE_CALLERS_MS 1000

/*
 * Period of the log line "traffic", which states where the process's bytes
 * went since its start. It is kept when the process is killed, unlike metrics.
 */
#define NODE_TRAFFIC_LOG_MS 10000

#define NODE_TARGET_ID_BYTES DEPARTURE_ID_BYTES
#define DEPARTURE_KEY_BYTES (2 * SETTINGS_NAME_BYTES + 16)
/* An announcement sent before the leave call can arrive after it. */
#define NODE_LEAVE_SETTLE_MS 1000

/*
 * A leave call is acknowledged once the store has it, and the first
 * announcement once the store has told which runs have left. Without an answer
 * for so long, they are answered 503: targets take no answer after a second.
 */
#define NODE_LEAVE_ACK_MS 900
#define NODE_DEPARTURE_RETRY_FIRST_MS 100
#define NODE_DEPARTURE_RETRY_MAX_MS 1000

struct node;
struct doc_feed;

/*
 * A call of the target that waits for the store: a leave call for its record,
 * or an announcement for the first reading.
 */
struct waiting_call {
	struct httpd_request *request;
	int leaves;
	int64_t received_ms;
	struct waiting_call *prev;
	struct waiting_call *next;
};

/* Which runs of the target have left, and the store's copy of that. */
struct departures {
	struct departure state;
	struct departure_record written; /* by the write in flight */
	char key[DEPARTURE_KEY_BYTES];
	int busy;	     /* a store call is in flight */
	int64_t retry_at_ms; /* no store call before */
	int retry_ms;
	struct waiting_call *calls;
};

enum node_phase {
	NODE_RUNNING,
	NODE_LEAVING,	/* the coordinator moves this node's slots away */
	NODE_FINISHING, /* slots are released, requests in flight complete */
};

struct node {
	struct ev_loop *loop;
	const struct settings *settings;
	uint64_t incarnation;
	struct cnt cnt;
	struct step_meter steps;
	const struct interface *interface;
	struct store *store;
	struct doc_feed *feed; /* reads the platform's document; may be NULL */
	int64_t orders_changed_ms; /* when the feed reported orders; 0: never */
	struct dgram dgram;
	struct membership *membership;
	struct coord *coord;
	struct gate *gate;
	struct peers *peers;
	struct ingress *ingress;
	struct tcp_listener listener;
	struct hello_conn *hello_conns; /* connections without a Hello yet */
	struct httpd admin;
	int admin_up; /* 1 if admin was started */
	struct httpd ready;
	int ready_up; /* 1 if ready was started */
	struct httpd control;
	int control_up; /* 1 if control was started */

	/* As last announced; NULL if the target is gone. */
	Wire__Target *target;
	/*
	 * When the newest announcement came; before the first one the start of
	 * this daemon, and after a pause of this process the end of the pause.
	 */
	int64_t announced_ms;
	/*
	 * The coordinator was told that no target has announced itself since
	 * the start of this daemon.
	 */
	int target_missing_reported;
	int64_t last_tick_ms;
	int64_t traffic_logged_ms; /* when "traffic" was last logged */
	/*
	 * node_start_target_leave was called, and the target has neither been
	 * removed nor announced since then that it stays.
	 */
	int target_leaving;
	/*
	 * The run that announces itself made its leave call. Unlike
	 * target_leaving, this is not cleared before another run of the target
	 * announces itself. Runs without an id cannot be told apart: any
	 * announcement counts as another run NODE_LEAVE_SETTLE_MS after the
	 * call, since a target that has left makes none.
	 */
	int target_left;
	/* Until when the other nodes take the target for cold. */
	int64_t cold_passed_until_ms;
	int64_t left_ms; /* when the leave call came */
	struct departures departures;
	/*
	 * The target's answers say that it is leaving, and it has not announced
	 * so itself yet.
	 */
	int leaving_by_answer;
	int64_t target_born_ms;	  /* wall-clock time of the target's start */
	uint64_t target_sequence; /* of the newest announcement */
	struct hold hold;	  /* keys that the target holds */
	ev_timer release_timer;	  /* node_report_hold_releases in this turn */

	enum node_phase phase;
	int64_t stop_ms;      /* not after the signal to stop came */
	int64_t finishing_ms; /* when NODE_FINISHING began */
	int leave_confirmed;  /* the coordinator has let this node stop */
	int restarting;	      /* the planned stop is for a restart */
	ev_timer timer;
};

/* ---- node.c: start and stop ---- */

/*
 * Starts all modules. Returns ERR_OK or an error that info explains. The caller
 * calls node_finish in both cases.
 */
enum err node_init(struct node *n, struct ev_loop *loop,
		   const struct settings *settings, struct err_info *info);
/* Stops and frees all modules that were started. */
void node_finish(struct node *n);
/*
 * Starts a planned stop: this node's slots move to other nodes, requests in
 * flight are completed, and then the event loop ends. If restart is 1, the
 * coordinator may let the slots wait for this node instead of moving them.
 * Does nothing if a planned stop has already been started.
 */
void node_stop(struct node *n, int restart);

/* ---- target.c: the state of the target ---- */

/*
 * Applies an announcement and fills in the answer. Returns ERR_OK, or ERR_STALE
 * if a newer announcement has been applied already; the answer then gives
 * nothing.
 */
enum err node_handle_announcement(struct node *n, struct announcement *a,
				  struct announce_answer *answer);
/*
 * Gives the target no new requests, except for slots that this node still owns,
 * and tells the coordinator that this node has no target. Requests in flight
 * are completed. Does nothing if there is no target or it is leaving already.
 */
void node_start_target_leave(struct node *n);
/*
 * Handles an answer that says that the target is leaving (leaving is 1), or the
 * first later one that does not (0). An announcement that it is ready may have
 * been under way when it began to leave, so the answers outweigh those until
 * the target has announced that it leaves.
 */
void node_note_leaving_answer(struct node *n, int leaving);
/*
 * Returns 1 if the newest announcement is not older than the time after which
 * a target counts as gone.
 */
int node_target_is_announcing(const struct node *n, int64_t now_ms);
/*
 * Handles a leave call of the target's run with this id, "" if targets have
 * none, that was born at born_ms; 0: not stated. The current target stays if it
 * is another run.
 */
void node_handle_target_leave(struct node *n, const char *id, int64_t born_ms);
/*
 * Removes a target that has ended or does not answer: requests queued for it
 * fail, and the coordinator is told. why is written to the log.
 */
void node_remove_target(struct node *n, const char *why);
/*
 * Removes a target whose announcements have stopped, and reports slots whose
 * release is complete; called periodically.
 */
void node_target_tick(struct node *n, int64_t now_ms);

/* ---- departures.c: what the store knows of targets that have left ---- */

void node_departures_init(struct node *n);
/*
 * Reads or writes the store's record if needed and answers the leave calls that
 * waited for it; called periodically and after a change.
 */
void node_departures_advance(struct node *n);
/*
 * Returns 1 if announcements are to wait, since it is not known which runs of
 * the target have left.
 */
int node_departures_unknown(const struct node *n);
/*
 * Answers a call of the target now or later: a leave call with 200 once the
 * store has the departure, an announcement by node_handle_target_call once
 * node_departures_unknown returns 0; with 503 after NODE_LEAVE_ACK_MS.
 */
void node_defer_target_call(struct node *n, struct httpd_request *r,
			    int leaves);
/* Forgets a request, which is about to be freed. */
void node_forget_target_call(struct node *n, struct httpd_request *r);

/* ---- holds.c: the keys that the target holds ---- */

/* Sets up the timer; node_finish stops it. */
void node_holds_init(struct node *n);

/*
 * Applies the rows of the announcement and fills in which keys the target may
 * hold, and for how long.
 */
void node_fill_hold_answer(struct node *n, const struct announcement *a,
			   struct announce_answer *answer);
/*
 * Returns 1 if the target is given the slot's keys in the answers to its
 * announcements; 0 if it goes by the fence of each request.
 */
int node_slot_uses_holds(struct node *n, uint32_t slot);
/*
 * Starts to release a slot for which node_slot_uses_holds returns 1. The member
 * reports it as released once the target holds none of its keys.
 */
void node_start_hold_release(struct node *n, uint32_t slot);
/* Reports the slots whose release is complete to the coordinator. */
void node_report_hold_releases(struct node *n, int64_t now_ms);
/*
 * Returns ERR_OK if requests of the slot may be sent to the target, and sets
 * end_ms to the time until when they may; ERR_NO_GRANT if they may not. A slot
 * that does not use holds is always allowed and leaves end_ms unchanged.
 */
enum err node_hold_may_serve(struct node *n, uint32_t slot, uint64_t fence,
			     int64_t now_ms, int64_t *end_ms);

/* ---- control.c: HTTP calls of the target, and readiness ---- */

/* Starts the HTTP servers on the control port and the ready port, if set. */
enum err node_control_init(struct node *n, struct err_info *info);
/* Answers a call of the target. Returns 0 if the request is no such call. */
int node_handle_target_call(struct node *n, struct httpd_request *r);
/*
 * Returns 1 if a target that states this start cannot have started then, by
 * this VM's clock: no later run would count as newer.
 */
int node_is_born_ahead(int64_t born_ms);
/*
 * Returns 1 if callers may send requests to this node: it is not stopping, and
 * its map and document are present and not stale.
 */
int node_is_ready(struct node *n);

/* ---- accept.c: connections of other daemons ---- */

/*
 * Listens on the peer port. An accepted connection is passed to the coordinator
 * or to peers once its Hello frame has come.
 */
enum err node_start_listen(struct node *n, struct err_info *info);
/* Stops listening and closes the connections without a Hello. */
void node_finish_listen(struct node *n);

/* ---- admin.c: HTTP for operators and the target ---- */

/* Starts the HTTP server on the admin port. */
enum err node_admin_init(struct node *n, struct err_info *info);

#endif
