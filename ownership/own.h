#ifndef OWNERSHIP_OWN_H
#define OWNERSHIP_OWN_H

#include "common/err.h"

#include <stdint.h>
#include <uthash.h>

/*
 * Who may serve: grants, terms and holds. Pure: no input, no output, no
 * clock. Times are milliseconds of the process's own CLOCK_BOOTTIME; no time
 * is ever compared between processes.
 *
 * Promises of this module, given that at most one coordinator record per
 * term exists in the store and that the roster in the store holds every
 * (node, incarnation) that may have a grant:
 *  - when own_coord_is_lost names a node, that node's grant has ended and it is
 *    not in hold;
 *  - a member acts on no message of a term below the highest it has seen.
 */

#define OWN_GRANT_MS 1100
/* Longest grant that settings allow. */
#define OWN_GRANT_MAX_MS 60000
#define OWN_RENEW_MS 550
#define OWN_RETRY_MS 150
#define OWN_DRIFT_PPM 10000
#define OWN_AUTH_MS 1100
#define OWN_CONFIRM_MS 200
#define OWN_STANDBY_MS 120
#define OWN_UNCHECKED_WAIT_MS 150
/* Without a confirmation for this long, a coordinator prepares a hold. */
#define OWN_HOLD_AFTER_MS 700
/*
 * A hold ends when confirmations are younger than this again. Shorter than
 * OWN_HOLD_AFTER_MS by more than OWN_CONFIRM_MS, so that a slow store causes
 * no hold at every other confirmation.
 */
#define OWN_HOLD_END_MS 450
/*
 * A bounded hold is renewed only while more than half of the roster acted on
 * replies younger than this: two renewals and a lost one.
 */
#define OWN_HOLD_QUORUM_MS 2500
/*
 * A coordinator that was itself paused longer than this has unread asks in
 * its socket and waits for them before it calls a member lost.
 */
#define OWN_PAUSE_MS 250
#define OWN_STANDBY_MISSES 3
/*
 * A standby in a hold for this long, times its rank, asks the store whether it
 * answers there: the coordinator may be cut off alone. Longer than a hold that
 * one lost confirmation causes.
 */
#define OWN_HANDOVER_MS 1000

enum own_hold {
	OWN_HOLD_NONE,	  /* clear any record, grants are timed */
	OWN_HOLD_PREPARE, /* record (term, hold_seq) */
	OWN_HOLD_COMMIT,  /* serve without an end */
	OWN_HOLD_KEEP,	  /* leave record and hold as they are */
};

struct own_ask {
	uint32_t node_id;
	uint64_t incarnation;
	uint64_t term; /* highest seen by the member */
	uint32_t seq;
	uint32_t ack_seq;   /* newest reply acted on */
	uint64_t hold_term; /* record, 0 if none */
	uint32_t hold_seq;
};

struct own_reply {
	uint64_t term;
	uint64_t incarnation;
	uint32_t seq; /* 0: no answer, but a request to ask now */
	uint32_t grant_ms;
	uint64_t floor_rev;
	enum own_hold hold;
	uint32_t hold_seq;
	uint32_t hold_ms;      /* of a commit, from the ask; 0: no end */
	uint32_t standby_rank; /* 0: not a standby */
};

/* ---- member ---- */

#define OWN_ASKS 32

struct own_member {
	uint32_t node_id;
	uint64_t incarnation;
	uint64_t term;
	int64_t grant_end_ms;
	uint64_t floor_rev;
	int held;
	int64_t hold_end_ms; /* of the hold, INT64_MAX: none */
	int64_t held_ms;     /* since when, while held */
	uint64_t hold_term;
	uint32_t hold_seq;
	uint32_t standby_rank;
	int64_t confirmed_ms;	    /* when the last answered ask was sent */
	uint32_t last_seq;	    /* of the last ask sent */
	uint32_t reply_seq;	    /* of the newest reply acted on */
	int64_t asked_ms[OWN_ASKS]; /* by seq modulo OWN_ASKS */
	int64_t next_ask_ms;
	uint32_t unanswered;
};

void own_member_init(struct own_member *m, uint64_t incarnation);
/* The coordinator has given the id; asks start now. */
void own_member_complete_join(struct own_member *m, uint32_t node_id,
			      int64_t now_ms);
/* 1 if an ask is due. */
int own_member_ask_due(const struct own_member *m, int64_t now_ms);
void own_member_make_ask(struct own_member *m, int64_t now_ms,
			 struct own_ask *ask);
/* Returns 1 if the reply was acted on. */
int own_member_handle_reply(struct own_member *m, int64_t now_ms,
			    const struct own_reply *r);
/*
 * A coordinator of this term exists. Returns 1 if the term is at least the
 * highest seen, so that its messages count.
 */
int own_member_observe_term(struct own_member *m, uint64_t term,
			    int64_t now_ms);
/* 1 if the member serves by a hold, with or without a grant. */
int own_member_in_hold(const struct own_member *m, int64_t now_ms);
/*
 * ERR_OK if the member may serve what its map of this revision gives it.
 * end_ms: until when, INT64_MAX in a hold without an end. Else ERR_NO_GRANT or
 * ERR_STALE.
 */
enum err own_member_may_serve(const struct own_member *m, int64_t now_ms,
			      uint64_t map_rev, int64_t *end_ms);
/*
 * 1 if a standby should become the coordinator provided that the store answers
 * it: the present one has been without the store for a while.
 */
int own_member_should_take_over(const struct own_member *m, int64_t now_ms);
/* 1 if a standby should try to become the coordinator. */
int own_member_should_elect(const struct own_member *m, int64_t now_ms);

/* ---- coordinator ---- */

struct own_peer {
	uint32_t node_id;
	uint64_t incarnation;
	int64_t end_ms; /* no grant reaches past this, drift included */
	uint64_t floor_rev;
	int inherited;	 /* in the roster as read at take-over */
	int heard;	 /* has promised this term and asked */
	int clean;	 /* had no record when first heard */
	int recorded;	 /* recorded the hold that is being prepared */
	int commit_sent; /* may be in the hold of this term */
	/*
	 * May be in a hold: the size of the smallest roster that a majority
	 * for it may have been counted over; 0: not in a hold.
	 */
	uint32_t maybe_held;
	int promised;	     /* follows no earlier term: heard, or replaced */
	int64_t hold_end_ms; /* of the last commit, drift included */
	uint32_t reply_seq;  /* of the last reply */
	int64_t reply_ms;    /* when it was sent */
	int64_t acted_ms;    /* when the newest reply acted on was sent */
	uint32_t clear_seq;  /* first ask answered with NONE since the hold */
	int leaving;	     /* its removal from the roster is being written */
	int adding;	     /* its roster entry is being written */
	uint32_t ask_seq;
	int64_t heard_ms;
	UT_hash_handle hh;
};

enum own_phase {
	OWN_RESOLVING, /* earlier holds may be in force; records are kept */
	OWN_NORMAL,
	OWN_PREPARING,
	OWN_HOLDING,
	OWN_RELEASING, /* confirmed again; marks must reach the store first */
};

/*
 * Times of one fleet, all scaled from the length of a grant. A target that
 * holds keys between its announcements needs grants longer than those.
 */
struct own_times {
	int64_t grant_ms;
	int64_t auth_ms;
	int64_t confirm_ms;
	int64_t hold_after_ms;
	int64_t hold_end_ms;
	/*
	 * How long a member's hold lasts after its last ask that a commit
	 * answered; the same on all nodes. 0: no end, and a silent node that
	 * may be in hold waits for its return or an operator.
	 */
	int64_t hold_max_ms;
	int64_t hold_quorum_ms; /* OWN_HOLD_QUORUM_MS */
};

/* The OWN_* times, scaled so that a grant lasts grant_ms; 0: as they are. */
struct own_times own_times_for(int64_t grant_ms);

struct own_coord {
	struct own_times times;
	uint64_t term;
	int64_t taken_ms;
	int64_t auth_end_ms;
	int64_t confirmed_ms;
	int64_t tick_ms;
	int64_t lost_after_ms; /* no member is called lost before this */
	/*
	 * Since when no earlier coordinator has half of its roster left, so
	 * that it renews no bounded hold any more; 0: not yet.
	 */
	int64_t promised_ms;
	uint32_t inherited_count;
	enum own_phase phase;
	uint32_t hold_seq;
	struct own_peer *peers;
};

/*
 * In office: the record was replaced by a write that was sent at asked_ms and
 * known to have succeeded at now_ms.
 */
void own_coord_init(struct own_coord *c, uint64_t term, int64_t asked_ms,
		    int64_t now_ms);
/* Same with other times than the OWN_* ones. */
void own_coord_init_times(struct own_coord *c, const struct own_times *times,
			  uint64_t term, int64_t asked_ms, int64_t now_ms);
void own_coord_finish(struct own_coord *c);
/* A read sent at asked_ms returned this coordinator's record. */
void own_coord_extend_authority(struct own_coord *c, int64_t asked_ms);
int own_coord_has_authority(const struct own_coord *c, int64_t now_ms);

/* Entry of the roster as read at take-over. NULL without memory. */
struct own_peer *own_coord_add_inherited(struct own_coord *c, uint32_t node_id,
					 uint64_t incarnation,
					 uint64_t floor_rev,
					 uint32_t maybe_held);
/*
 * A node joins; to be called before its roster entry is written. It counts
 * for majorities at once and gets no grant before own_coord_finish_add.
 * Replaces an earlier incarnation, which must be gone.
 */
struct own_peer *own_coord_begin_add(struct own_coord *c, uint32_t node_id,
				     uint64_t incarnation, uint64_t floor_rev);
/* Its entry is in the store: it gets grants, and time to ask for one. */
void own_coord_finish_add(struct own_coord *c, uint32_t node_id,
			  int64_t now_ms);
/* The node's entry is out of the roster in the store. */
void own_coord_remove(struct own_coord *c, uint32_t node_id);
struct own_peer *own_coord_find(const struct own_coord *c, uint32_t node_id);

enum own_ask_result {
	OWN_ASK_REPLY, /* send the reply */
	OWN_ASK_IGNORE,
	OWN_ASK_UNKNOWN, /* not in the roster: it has to join */
	OWN_ASK_DEPOSED, /* the member has seen a higher term */
};

enum own_ask_result own_coord_handle_ask(struct own_coord *c, int64_t now_ms,
					 const struct own_ask *ask,
					 struct own_reply *reply);

/*
 * Advances the phase. Returns 1 if members should be asked to ask now (a
 * reply with seq 0), so that they learn of the new phase at once.
 */
int own_coord_tick(struct own_coord *c, int64_t now_ms);
/*
 * 0 while a hold is prepared or in force: the majority was counted over the
 * roster as it is, and entries without a record would dilute it for the
 * successor. Map and roster are not changed then.
 */
int own_coord_may_change(const struct own_coord *c);
/*
 * 1 if the roster has to be written with the mark of each node, before the
 * phase can go on. A mark is the node's maybe_held for a successor.
 */
int own_coord_needs_marks(const struct own_coord *c, int64_t now_ms);
uint32_t own_coord_hold_mark(const struct own_coord *c,
			     const struct own_peer *p);
/* That roster write is done. */
void own_coord_finish_marks(struct own_coord *c);
/*
 * 0 while holds of earlier terms may be in force: a node that is new to the
 * roster would dilute the majority that a successor counts. A new incarnation
 * may take the place of its predecessor.
 */
int own_coord_may_add(const struct own_coord *c);
/*
 * 1 if the node's grant and hold have ended for certain, and the grant
 * extra_ms ago: its slots may be moved.
 */
int own_coord_is_lost(const struct own_coord *c, const struct own_peer *p,
		      int64_t now_ms, int64_t extra_ms);
/* The node was found lost: it is in no hold and gets no grant. */
void own_peer_set_lost(struct own_peer *p);
/* An operator states that the node is gone for good. */
void own_coord_forget(struct own_coord *c, uint32_t node_id);

#endif
