#ifndef MEMBERSHIP_MEMBERSHIP_PRIV_H
#define MEMBERSHIP_MEMBERSHIP_PRIV_H

#include "membership/doc_job.h"
#include "membership/membership.h"

/* Shared by the files membership*.c only. */

#define MEMBERSHIP_CONNECT_TIMEOUT_MS 500
#define MEMBERSHIP_RECONNECT_DELAY_MS 100
/* The period of load reports that the placement decisions assume. */
#define MEMBERSHIP_LOAD_PERIOD_MS 5000
/*
 * Nodes that are no standby start an election later than the standbys, after
 * this delay and a random part of the jitter, so that one of them succeeds
 * before the others try.
 */
#define MEMBERSHIP_ELECTION_DELAY_MS 1600
#define MEMBERSHIP_ELECTION_JITTER_MS 1500
/* A longer gap between two ticks means that this process was paused. */
#define MEMBERSHIP_PAUSE_MS 300
/* If the store has no record, no coordinator can answer: a shorter jitter. */
#define MEMBERSHIP_FIRST_ELECTION_JITTER_MS 250
/*
 * A node with little bandwidth waits longer before an election, so that faster
 * nodes go first. The delay is MEMBERSHIP_BANDWIDTH_DELAY_MS at 1 Mbit/s and
 * inversely proportional to the rate, up to the maximum: at 10 Mbit/s it
 * exceeds the jitter of a first election, at 1000 Mbit/s it is negligible.
 */
#define MEMBERSHIP_BANDWIDTH_DELAY_MS 3000
#define MEMBERSHIP_BANDWIDTH_DELAY_MAX_MS 600
/* After being out of date for this long, a map or document is fetched. */
#define MEMBERSHIP_FETCH_AFTER_MS 1500
/* Backoff between reads of the coordinator record while the store fails. */
#define MEMBERSHIP_READ_BACKOFF_MIN_MS 50
#define MEMBERSHIP_READ_BACKOFF_MAX_MS 2000
/*
 * Pause after such a read by a member that is no standby: in an outage of the
 * whole store, hundreds of them read to no purpose.
 */
#define MEMBERSHIP_TAKEOVER_RETRY_MS 5000
/*
 * A coordinator in a hold writes its state to a restored store once it has read
 * it, at most CO_HOLD_CONFIRM_MS later. A member that takes over from it waits
 * longer, since it would have the copy only.
 */
#define MEMBERSHIP_RESTORED_WAIT_MS 1500
/* After this many unanswered asks, the source port is changed. */
#define MEMBERSHIP_ASKS_BEFORE_NEW_PORT 2
/* After this many unanswered asks, the control connection is closed. */
#define MEMBERSHIP_ASKS_BEFORE_RECONNECT 6

struct membership {
	struct view view; /* first member */
	struct membership_config config;
	struct own_member own;
	struct map map;
	struct doc doc;
	int has_doc;
	struct doc_sections sections;
	uint64_t doc_rev;
	struct doc_job push_job; /* reads the document of a push */
	uint64_t push_rev;	 /* of that document */
	/* A coordinator has confirmed that doc_rev was the newest then. */
	int64_t doc_confirmed_ms;
	struct drained orders;
	int orders_awaited; /* membership_set_orders is to come */

	/* The coordinator with the highest term seen; term 0: none known. */
	struct record coordinator;
	struct sockaddr_in coordinator_udp;
	struct tcp_conn *conn;	   /* the control connection; may be NULL */
	struct tcp_conn *old_conn; /* closed; freed at the next tick */
	int joined;		   /* the coordinator accepted a Join on conn */
	int64_t target_set_ms;	   /* when target->cold_ms was so much */
	int record_read_pending;   /* a read of the record is in flight */
	uint64_t synced_term;	   /* term whose map has arrived in full */
	int64_t last_tick_ms;
	int64_t silent_since_ms; /* when a coordinator was last heard */
	int64_t elect_at_ms;
	int64_t reconnect_at_ms;
	int64_t load_report_at_ms;
	uint64_t release_term; /* of release_seq */
	uint64_t release_seq;  /* of the last Release or ReleaseCancel */
	/* When the map or document was found out of date; 0: up to date. */
	int64_t behind_since_ms;
	int64_t unanswered_from_ms; /* when the first unanswered ask was sent */
	/* When another node last reported that it hears the coordinator. */
	int64_t others_heard_ms;
	int64_t probe_at_ms;
	unsigned probes; /* sent since asks are unanswered */
	unsigned probe_replies;
	/* When a record from a copy of the store was read first; 0: not. */
	int64_t restored_since_ms;
	int64_t record_read_at_ms; /* no read of the record before this */
	int read_backoff_ms;
	int64_t malformed_record_revision; /* of the last one logged */
	unsigned connect_failures; /* connections lost or refused in a row */
	uint64_t closed_bytes_in;
	uint64_t closed_bytes_out;
	uint64_t fetches; /* because pushes did not arrive */

	/* membership_control.c */
	int64_t ping_at_ms;	/* when the next Ping is due */
	int64_t ping_ms;	/* when the unanswered Ping was sent; 0: none */
	uint64_t ping_bytes_in; /* bytes_in when it was sent */
	uint32_t ping_seq;

	Wire__Target *target;
	int target_unsent; /* changed since the last Join was sent */
	int leaving;	   /* 0 no, 1 to stop, 2 to restart */
	int left;	   /* the coordinator has confirmed the leave */

	ev_timer timer;
};

/* ---- membership_probe.c ---- */

/* Probes other nodes if the coordinator leaves asks unanswered. */
void membership_probe_tick(struct membership *m, int64_t now_ms);
/*
 * Returns 0 if other nodes still hear the coordinator, or if none answers a
 * probe: then this node may be cut off itself.
 */
int membership_probe_allows_election(const struct membership *m,
				     int64_t now_ms);

/* ---- membership_control.c ---- */

/* Starts to probe a control connection that is now established. */
void membership_control_reset(struct membership *m, int64_t now_ms);
/* After a pause of this process, gives an unanswered Ping its time again. */
void membership_control_resume(struct membership *m, int64_t now_ms);
/* Sends due Pings, and closes a control connection that has gone silent. */
void membership_control_tick(struct membership *m, int64_t now_ms);

/* ---- membership_discovery.c ---- */

void membership_discovery_init(struct membership *m);
/*
 * Sends due asks, keeps the control connection up, and looks for another
 * coordinator if the known one does not answer.
 */
void membership_discovery_tick(struct membership *m, int64_t now_ms);
/* Closes the control connection, if any, and schedules a new one. */
void membership_drop_conn(struct membership *m, const char *why);
/* Sends a frame on the control connection; does nothing without one. */
void membership_send(struct membership *m, enum frame_type type,
		     const ProtobufCMessage *msg);
/* Records that the coordinator was heard, and postpones the next election. */
void membership_note_coordinator_alive(struct membership *m, int64_t now_ms);
/* Switches to this coordinator unless a higher term has been seen. */
void membership_follow_coordinator(struct membership *m, uint64_t term,
				   const char *address, unsigned peer_port);
/* Fills in this node's description; its strings and target stay owned by m. */
void membership_fill_node(const struct membership *m, Wire__Node *n);

/* ---- membership.c ---- */

/*
 * Calls ops->changed, except before the first orders: all data centres count as
 * drained then, which is no order whose end would follow.
 */
void membership_notify_changed(struct membership *m);
/* Takes the time that has passed off the time for which the target is cold. */
void membership_update_cold_time(struct membership *m);
/* Reports the target, or that there is none, once the node has joined. */
void membership_send_target(struct membership *m);

/* ---- membership_sync.c ---- */

/* Handles a frame from the coordinator. */
void membership_on_frame(struct membership *m, const struct frame *f);
/* Asks the coordinator for the whole map and document; why is logged. */
void membership_send_fetch(struct membership *m, const char *why);

/* done() of push_job. */
void membership_on_push_read(enum err e, struct doc *d,
			     struct doc_sections *sections,
			     const struct buf *problems, void *priv);

#endif
