#ifndef ROUTING_PEER_PRIV_H
#define ROUTING_PEER_PRIV_H

#include "limits/pull.h"
#include "routing/peer.h"

#include <uthash.h>

/*
 * Private to the links: peer.c keeps the attempts that this daemon sends,
 * peer_link.c the outgoing links, and peer_in.c the incoming ones.
 */

/* A Ping is sent after this silence; its answer must come in this time. */
#define PEER_PING_TIMEOUT_MS 400
/* A link that was idle for this time is probed by a Ping before use. */
#define PEER_IDLE_MS 5000
/* Limit on the time to connect and to receive the Hello. */
#define PEER_OPEN_TIMEOUT_MS 800
/* Pause after a link that did not open. */
#define PEER_REDIAL_MS 100
/* A replaced link stays open this long for late replies. */
#define PEER_REPLACED_MS 5000
/* An unused link is closed after this time. */
#define PEER_UNUSED_TIMEOUT_MS 60000
/* Interval of the checks for timeouts, while there is anything to check. */
#define PEER_TICK_SECONDS 0.05
/* Interval of the search for unused links. */
#define PEER_SWEEP_SECONDS 10.
/* Replies are kept for senders whose link broke; limits for each sender. */
#define PEER_KEPT_REPLY_MS 2000
#define PEER_KEPT_REPLY_BYTES (1024 * 1024)
/* A sender without a link is dropped after this time. */
#define PEER_INBOUND_LINGER_MS 5000

enum out_state {
	OUT_WAITING,	   /* waits for a link; copy is set */
	OUT_OFFERED,	   /* offered on link without its body; copy is set */
	OUT_SENT,	   /* sent on link */
	OUT_QUERY_PENDING, /* waits for a link, to query the owner about it */
	OUT_QUERY_SENT,	   /* Query sent on link */
	OUT_RUNNING,	   /* the owner runs it and will reply on link */
	OUT_FAILED,	   /* the timer completes it with outcome and error */
};

/* One attempt that this daemon sends to a node. */
struct out_attempt {
	uint64_t id;
	struct peers *p;
	struct peer_node *node;
	enum out_state state;
	Wire__Forward *copy;	   /* owned; NULL once it is sent */
	struct peer_link *link;	   /* as the state says, else NULL */
	struct peer_link *sent_on; /* link of the Forward; NULL if closed */
	uint64_t sent_end;	   /* bytes_out of sent_on when all is sent */
	uint64_t incarnation;	   /* of the owner that it was sent to */
	int64_t created_ms;
	int64_t deadline_ms;
	ev_timer timer;		   /* at the deadline, or at once: OUT_FAILED */
	enum wire_outcome outcome; /* valid in OUT_FAILED */
	enum err error;		   /* valid in OUT_FAILED */
	gate_reply_fn fn;
	void *priv;
	struct out_attempt *prev; /* in node->attempts */
	struct out_attempt *next;
	UT_hash_handle hh; /* in p->attempts */
};

enum link_state {
	LINK_OPENING,  /* until the Hello of the other daemon */
	LINK_UP,       /* in use */
	LINK_REPLACED, /* nothing new is sent; replies are still read */
};

/* An outgoing link. */
struct peer_link {
	struct peers *p;
	struct peer_node *node;
	struct tcp_conn conn;
	enum link_state state;
	char address[64];
	unsigned port;
	uint64_t incarnation;	/* of the other daemon; valid from LINK_UP on */
	int64_t state_since_ms; /* when it entered its state */
	int64_t last_used_ms;
	int64_t busy_since_ms;	/* when attempt_count last became 1 */
	unsigned attempt_count; /* attempts whose link this is */
	int64_t ping_ms;	/* when the unanswered Ping was sent; 0: none */
	uint64_t ping_bytes_in; /* bytes_in when the Ping was sent */
	size_t unacknowledged_bytes; /* at the last tick with a Ping */
	uint32_t ping_seq;
	struct peer_link *prev; /* in node->replaced */
	struct peer_link *next;
};

/*
 * Requests with larger bodies use a link of their own to each node, so that
 * small requests do not wait behind them if the bandwidth is low. Twice the
 * largest answer of the services known.
 */
#define PEER_BULK_BYTES (16 * 1024)
/*
 * A body that takes longer than this at the owner's bandwidth is offered first
 * and sent when the owner asks for it. The offer costs a round trip, 16 ms
 * between regions.
 */
#define PEER_OFFER_MS 10
/* Values of Hello.purpose: link for requests, link for large requests. */
#define PEER_PURPOSE_LINK 0
#define PEER_PURPOSE_BULK 2

struct peer_node_key {
	uint32_t id;
	uint32_t bulk; /* 1: the link for large requests */
};

/*
 * Cancels are sent again on a new link, since the one that they were sent on
 * may have been dead already. 16 cancels of 16 bytes keep two links to each of
 * 5,200 nodes below 3 MB. 3 s are enough for three attempts to open a link.
 */
#define PEER_MAX_CANCELS 16
#define PEER_CANCEL_RESEND_MS 3000

struct peer_cancel {
	uint64_t attempt;
	int64_t cancelled_ms; /* 0: unused entry */
};

/* Links of one kind, small or large requests, to one node. */
struct peer_node {
	struct peer_node_key key;
	struct peer_cancel cancels[PEER_MAX_CANCELS]; /* ring of the latest */
	unsigned next_cancel;			      /* index in cancels */
	struct peer_link *current;		      /* NULL: none */
	struct peer_link *replaced;
	struct out_attempt *attempts;
	int64_t next_dial_ms;  /* no link is opened before */
	unsigned failed_dials; /* links in a row that did not open */
	UT_hash_handle hh;
};

/*
 * A sender: one run of another daemon, which sends attempts to this one.
 * Defined in peer_in.c.
 */
struct inbound;

/* A closed connection and the memory that is still to be freed. */
struct deferred_free {
	struct tcp_conn *conn;
	void *memory;
	struct deferred_free *next;
};

struct peers {
	struct ev_loop *loop;
	struct view *view;
	struct gate *gate;
	struct cnt *cnt;
	char self_name[64];
	uint64_t incarnation;
	struct peer_node *nodes;
	struct out_attempt *attempts; /* by id */
	struct inbound *inbound;
	struct pull pull;      /* bodies offered to this node */
	ev_timer answer_timer; /* sends the next large answer that waits */
	struct deferred_free *deferred_frees;
	ev_timer free_timer; /* frees deferred_frees */
	ev_timer tick;	     /* runs while a node or a sender needs it */
	ev_timer sweep;	     /* frees unused nodes */
};

/* peer.c */

/*
 * Closes a connection without a callback. Frees memory, which contains the
 * connection, on the next iteration of the loop, since the call may come from
 * a callback of the connection.
 */
void peer_close_conn(struct peers *p, struct tcp_conn *conn, void *memory);
/* Starts the periodic tick unless it runs. */
void peer_start_ticks(struct peers *p);
/* Queues a Hello frame with this daemon's name; returns tcp_send's error. */
enum err peer_send_hello(struct peers *p, struct tcp_conn *conn,
			 uint32_t purpose);

/*
 * Ends the attempt without a reply of the owner: its callback runs on the next
 * iteration of the loop, with this outcome and error.
 */
void out_fail(struct out_attempt *a, enum wire_outcome outcome, enum err error);
/* Removes the attempt, runs its callback with the reply and frees it. */
void out_complete(struct out_attempt *a, const Wire__ForwardReply *reply);
/* Returns the attempt with this id, or NULL. */
struct out_attempt *out_find(const struct peers *p, uint64_t id);
/* Moves the attempt to another link, or to none if link is NULL. */
void out_set_link(struct out_attempt *a, struct peer_link *link);

/* peer_link.c */

/*
 * Sends a new attempt on the node's link, or keeps a copy until the link is up
 * or fails. Opens a link if there is none.
 */
void peer_node_submit(struct peer_node *n, struct out_attempt *a,
		      const Wire__Forward *f);
/*
 * Returns the links of a kind to the node with this id; adds an entry if there
 * is none. NULL: no memory.
 */
struct peer_node *peer_node_get(struct peers *p, uint32_t id, int bulk);
/* Applies the timeouts of the node's links and opens one if it is needed. */
void peer_node_tick(struct peers *p, struct peer_node *n, int64_t now_ms);
/* Returns 1 if peer_node_tick may have something to do for the node. */
int peer_node_needs_ticks(const struct peer_node *n);
/* Closes the node's link and frees the node if it was not used lately. */
void peer_node_free_if_unused(struct peers *p, struct peer_node *n,
			      int64_t now_ms);
/* Closes the links without callbacks; the node may have no attempts. */
void peer_node_free(struct peers *p, struct peer_node *n);
/* Returns 1 if the body is to be offered, and sent when the node asks. */
int peer_node_needs_offer(const Wire__Node *info, const Wire__Forward *f);
/*
 * Tells the owner to cancel the attempt, now and on each link that comes up in
 * the next PEER_CANCEL_RESEND_MS. Does nothing in OUT_WAITING and OUT_FAILED.
 */
void out_cancel(const struct out_attempt *a);

/* peer_in.c */

/* Sets up answer_timer. */
void inbound_init_answers(struct peers *p);
/* Applies the timeouts of offers, kept replies and senders without a link. */
void inbound_tick(struct peers *p, int64_t now_ms);
/* Returns 1 if inbound_tick may have something to do. */
int inbound_needs_ticks(const struct peers *p);
/* Closes all incoming links and frees their senders. */
void inbound_free_all(struct peers *p);

#endif
