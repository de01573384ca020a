#ifndef MEMBERSHIP_MEM_PRIV_H
#define MEMBERSHIP_MEM_PRIV_H

#include "membership/membership.h"

/* Shared by mem.c, mem_find.c and mem_sync.c only. */

#define MEMBERSHIP_CONNECT_TIMEOUT_MS 500
#define MEMBERSHIP_RECONNECT_DELAY_MS 100
/* The interval that the placement decisions were measured with. */
#define MEMBERSHIP_LOAD_PERIOD_MS 5000
/*
 * Members that are no standby wait longer than the standbys and spread by a
 * random part, so that one of them succeeds before the others try.
 */
#define MEMBERSHIP_ELECTION_DELAY_MS 1600
#define MEMBERSHIP_ELECTION_JITTER_MS 1500
/* A longer gap between two ticks is a pause of this process. */
#define MEMBERSHIP_PAUSE_MS 300
/* With no record in the store there is nobody to wait for. */
#define MEMBERSHIP_FIRST_ELECTION_JITTER_MS 250
/*
 * A node with a thin line lets others elect themselves first, by so much for a
 * line of 1 Mbit/s: one of 10 after the spread of a first election, one of 1000
 * at once.
 */
#define MEMBERSHIP_BANDWIDTH_DELAY_MS 3000
#define MEMBERSHIP_BANDWIDTH_DELAY_MAX_MS 600
/* A map or document that is behind for so long is asked for. */
#define MEMBERSHIP_FETCH_AFTER_MS 1500
/* Reads of the record are rare while the store fails or has none. */
#define MEMBERSHIP_READ_BACKOFF_MIN_MS 50
#define MEMBERSHIP_READ_BACKOFF_MAX_MS 2000
/* Unanswered asks after which the flow of datagrams is taken for dead. */
#define MEMBERSHIP_ASKS_BEFORE_NEW_PORT 2
/* Unanswered asks after which the control connection is taken for dead. */
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

	/* The coordinator as far as known; term 0: unknown. */
	struct record coordinator;
	struct sockaddr_in coordinator_udp;
	struct tcp_conn *conn;
	struct tcp_conn *old_conn; /* closed, freed with the next tick */
	int joined;		   /* JoinReply came on conn */
	int record_read_pending;   /* a read of the record is under way */
	uint64_t synced_term;	   /* term whose map has arrived whole */
	int64_t last_tick_ms;
	int64_t silent_since_ms; /* no sign of a coordinator since */
	int64_t elect_at_ms;
	int64_t reconnect_at_ms;
	int64_t load_report_at_ms;
	int64_t behind_since_ms; /* since when map or document is behind; 0: not
				  */
	int64_t unanswered_from_ms; /* when the first unanswered ask was sent */
	int64_t others_heard_ms;    /* when another member last heard it */
	int64_t probe_at_ms;
	unsigned probes; /* sent since unanswered_from_ms */
	unsigned probe_replies;
	int64_t record_read_at_ms;
	int read_backoff_ms;
	unsigned connect_failures;
	uint64_t closed_bytes_in;
	uint64_t closed_bytes_out;

	Wire__Target *target;
	int target_unsent; /* changed since the last Join was sent */
	int leaving;	   /* 0, 1 stop, 2 restart */
	int left;

	ev_timer timer;
};

/* membership_on_probe.c */
/* Asks other members whether they hear the coordinator. */
void membership_probe_tick(struct membership *m, int64_t now_ms);
/* 0 if the silence is rather this node's own trouble. */
int membership_probe_allows_election(const struct membership *m,
				     int64_t now_ms);

/* mem_find.c */
void membership_discovery_init(struct membership *m);
void membership_discovery_tick(struct membership *m, int64_t now_ms);
void membership_drop_conn(struct membership *m, const char *why);
void membership_send(struct membership *m, enum frame_type type,
		     const ProtobufCMessage *msg);
void membership_note_coordinator_alive(struct membership *m, int64_t now_ms);
void membership_follow_coordinator(struct membership *m, uint64_t term,
				   const char *address, unsigned peer_port);
void membership_fill_node(const struct membership *m, Wire__Node *n);

/* mem.c */
void membership_send_target(struct membership *m);

/* mem_sync.c */
void membership_on_frame(struct membership *m, const struct frame *f);
void membership_send_fetch(struct membership *m);

#endif
