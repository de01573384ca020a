#ifndef ROUTING_PEER_PRIV_H
#define ROUTING_PEER_PRIV_H

#include "limits/pull.h"
#include "routing/peer.h"

#include <uthash.h>

/*
 * Inside of the links: shared by peer.c (attempts), peer_link.c (outgoing)
 * and peer_in.c (incoming).
 */

#define PEER_PING_TIMEOUT_MS 400 /* until a probe, and until its answer */
#define PEER_IDLE_MS 5000	 /* after which a link is probed before use */
#define PEER_OPEN_TIMEOUT_MS 800 /* to connect and get the Hello */
#define PEER_REDIAL_MS 100
/* A replaced link stays open for late replies. */
#define PEER_REPLACED_MS 5000
/* A link that nothing has used is closed. */
#define PEER_UNUSED_TIMEOUT_MS 60000
#define PEER_TICK_SECONDS 0.05
#define PEER_SWEEP_SECONDS 10.
/*
 * The owner gets a shorter deadline, so that its reply on an expired attempt
 * arrives before the sender gives up. Twice the round trip between regions.
 */
#define PEER_DEADLINE_MARGIN_MS 20
/* Replies kept for an asker whose link broke, for each asker. */
#define PEER_KEPT_REPLY_MS 2000
#define PEER_KEPT_REPLY_BYTES (1024 * 1024)
/* An asker without a link for so long is forgotten. */
#define PEER_INBOUND_LINGER_MS 5000

enum out_state {
	OUT_WAITING,	   /* for a link; copy is set */
	OUT_OFFERED,	   /* on link; copy is set, its body was not sent */
	OUT_SENT,	   /* on link */
	OUT_QUERY_PENDING, /* for a link, to ask what became of it */
	OUT_QUERY_SENT,	   /* Query sent on link */
	OUT_RUNNING,	   /* the owner runs it and will reply on link */
	OUT_FAILED,	   /* its reply is made here and due */
};

/* One attempt sent or to be sent to its owner. */
struct out_attempt {
	uint64_t id;
	struct peers *p;
	struct peer_node *node;
	enum out_state state;
	Wire__Forward *copy; /* owned, while it was not sent */
	struct peer_link *link;
	struct peer_link *sent_on; /* first link, NULL if it is gone */
	uint64_t sent_end;    /* bytes_out of sent_on once it is all sent */
	uint64_t incarnation; /* of the owner that it was sent to */
	int64_t created_ms;
	int64_t deadline_ms;
	ev_timer timer;
	enum wire_outcome outcome; /* OUT_FAILED */
	enum err error;
	gate_reply_fn fn;
	void *priv;
	struct out_attempt *prev; /* in node */
	struct out_attempt *next;
	UT_hash_handle hh;
};

enum link_state {
	LINK_OPENING, /* until the Hello of the other end */
	LINK_UP,
	LINK_REPLACED, /* replaced; read only */
};

struct peer_link {
	struct peers *p;
	struct peer_node *node;
	struct tcp_conn conn;
	enum link_state state;
	char address[64];
	unsigned port;
	uint64_t incarnation;	/* of the other end, once it is up */
	int64_t state_since_ms; /* in its state */
	int64_t last_used_ms;
	int64_t busy_since_ms;	/* start of the present work */
	unsigned attempt_count; /* attempts that wait for something on it */
	int64_t ping_ms;	/* 0: none outstanding */
	uint64_t ping_bytes_in; /* bytes_in when it was sent */
	size_t unacknowledged_bytes; /* bytes that had not arrived at the last
					tick */
	uint32_t ping_seq;
	struct peer_link *prev; /* in node->old */
	struct peer_link *next;
};

/*
 * Requests with larger bodies have a link of their own to each node, so that
 * small ones do not wait behind them on a thin line. Twice the largest answer
 * of the services known.
 */
#define PEER_BULK_BYTES (16 * 1024)
/*
 * Bodies that take longer than this on the owner's line are offered first. The
 * offer costs a round trip, 16 ms between regions.
 */
#define PEER_OFFER_MS 10
/* Values of Hello.purpose. */
#define PEER_PURPOSE_LINK 0
#define PEER_PURPOSE_BULK 2

struct peer_node_key {
	uint32_t id;
	uint32_t bulk;
};

/*
 * Cancels are sent again on a new link: the one that they were sent on may have
 * been dead already. Not measured: 16 of 16 bytes keep two links to each of
 * 5,200 nodes below 3 MB, and 3 s are three tries of PEER_OPEN_TIMEOUT_MS.
 */
#define PEER_MAX_CANCELS 16
#define PEER_CANCEL_RESEND_MS 3000

struct peer_cancel {
	uint64_t attempt;
	int64_t cancelled_ms; /* 0: unused */
};

struct peer_node {
	struct peer_node_key key;
	struct peer_cancel cancels[PEER_MAX_CANCELS]; /* the latest ones */
	unsigned next_cancel;
	struct peer_link *current;
	struct peer_link *replaced;
	struct out_attempt *attempts;
	int64_t next_dial_ms;
	unsigned failed_dials; /* links in a row that did not open */
	UT_hash_handle hh;
};

/* One asker: a run of another daemon. Its replies go to its newest link. */
struct inbound;

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
	struct out_attempt *attempts;
	struct inbound *inbound;
	struct pull pull; /* bodies offered to this node */
	struct deferred_free *deferred_frees;
	ev_timer free_timer;
	ev_timer tick;
	ev_timer sweep;
};

/*
 * Closes a connection without a callback and frees memory (which holds it) on
 * the next iteration: the connection may be in one of its callbacks.
 */
void peer_close_conn(struct peers *p, struct tcp_conn *conn, void *memory);
void peer_start_ticks(struct peers *p);
enum err peer_send_hello(struct peers *p, struct tcp_conn *conn,
			 uint32_t purpose);

/* peer.c */

/* The attempt ends with a reply made here, on the next iteration. */
void out_fail(struct out_attempt *a, enum wire_outcome outcome, enum err error);
/* Ends it with the owner's reply; runs the callback. */
void out_complete(struct out_attempt *a, const Wire__ForwardReply *reply);
struct out_attempt *out_find(const struct peers *p, uint64_t id);
void out_set_link(struct out_attempt *a, struct peer_link *link);

/* peer_link.c */

/* Sends an attempt on the node's link, or keeps it until there is one. */
void peer_node_submit(struct peer_node *n, struct out_attempt *a,
		      const Wire__Forward *f);
struct peer_node *peer_node_get(struct peers *p, uint32_t id, int bulk);
void peer_node_tick(struct peers *p, struct peer_node *n, int64_t now_ms);
/* Does the node have anything that needs ticks? */
int peer_node_needs_ticks(const struct peer_node *n);
/* Frees the node and closes its link if nothing has used it lately. */
void peer_node_free_if_unused(struct peers *p, struct peer_node *n,
			      int64_t now_ms);
/* Without callbacks; its attempts must be gone. */
void peer_node_free(struct peers *p, struct peer_node *n);
/* 1 if the body is sent only when the node asks for it. */
int peer_node_needs_offer(const Wire__Node *info, const Wire__Forward *f);
/* Tells the owner that it need not start the attempt any more. */
void out_cancel(const struct out_attempt *a);

/* peer_in.c */

void inbound_tick(struct peers *p, int64_t now_ms);
int inbound_needs_ticks(const struct peers *p);
void inbound_free_all(struct peers *p);

#endif
