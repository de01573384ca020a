#ifndef OWNERSHIP_OWN_H
#define OWNERSHIP_OWN_H

#include "common/err.h"

#include <stdint.h>
#include <uthash.h>

/*
 * Decides which node may serve. The module does no input or output and reads
 * no clock: the caller passes in messages and the current time. Times are
 * milliseconds of the process's own CLOCK_BOOTTIME; no time is ever compared
 * between processes.
 *
 * Terms:
 *  - member: a node of the fleet in its relation to the coordinator.
 *  - coordinator: the node named by the coordinator record in the store. It
 *    confirms that the record is still its own by reading it periodically.
 *  - term: the number of a coordinator's time in office. Each replacement of
 *    the coordinator record raises it.
 *  - incarnation: identifies one run of a node's process.
 *  - roster: the list in the store of all nodes, each with its incarnation,
 *    that may have a grant.
 *  - ask, reply: a member's periodic request for a grant and the coordinator's
 *    answer (LeaseAsk and LeaseReply on the wire).
 *  - grant: the right to serve the slots that the member's map gives it, for a
 *    limited time from the sending of the ask.
 *  - hold: the right to continue to serve without a grant while the coordinator
 * cannot reach the store. It is given in two steps: members record the hold
 * that is prepared, and once more than half of the roster has recorded it, the
 *    coordinator commits it. A successor finds the records and so learns of
 *    the hold. It is bounded if own_times.hold_max_ms is set, else endless.
 *    (hold.h is about something else: the keys that a target holds.)
 *  - mark: the note in the roster that a node may still be in a hold.
 *  - standby: a member that may replace the coordinator. Rank 1 comes first.
 *
 * Guarantees of this module, given that at most one coordinator record per
 * term exists in the store and that the roster in the store holds every
 * (node, incarnation) that may have a grant:
 *  - when own_coord_is_lost returns 1 for a node, that node's grant has ended
 *    and it is not in a hold;
 *  - a member acts on no message of a term below the highest it has seen.
 */

/* Default length of a grant. */
#define OWN_GRANT_MS 1100
/* Longest grant that settings allow. */
#define OWN_GRANT_MAX_MS 60000
/* A member renews its grant this long after it sent the answered ask. */
#define OWN_RENEW_MS 550
/* A member repeats an unanswered ask after this time. */
#define OWN_RETRY_MS 150
/* The clocks of two processes may differ in rate by this much. */
#define OWN_DRIFT_PPM 10000
/*
 * A coordinator may give grants for this long after it sent the store call
 * that last confirmed its record.
 */
#define OWN_AUTHORITY_MS 1100
/* Period at which a coordinator reads its record to confirm it. */
#define OWN_CONFIRM_MS 200
/* Period of a standby's asks, answered or not. */
#define OWN_STANDBY_ASK_MS 120
/*
 * Additional wait before the slots of a lost node are moved if its target does
 * not check the deadlines of requests and may start one after the grant ended.
 */
#define OWN_UNCHECKED_WAIT_MS 150
/* Without a confirmation for this long, a coordinator prepares a hold. */
#define OWN_HOLD_AFTER_MS 700
/*
 * A hold ends when the last confirmation is younger than this again. The value
 * is below OWN_HOLD_AFTER_MS by more than OWN_CONFIRM_MS, so that a slow store
 * does not cause a hold at every other confirmation.
 */
#define OWN_HOLD_END_MS 450
/*
 * A bounded hold is renewed only while more than half of the roster acted on
 * replies younger than this. The time covers two renewals and a lost one.
 */
#define OWN_HOLD_QUORUM_MS 2500
/*
 * A coordinator that was itself paused longer than this has unread asks in
 * its socket. It processes asks for as long again before it declares a member
 * lost.
 */
#define OWN_PAUSE_MS 250
/*
 * A standby tries to become the coordinator after more unanswered asks than
 * this, times its rank.
 */
#define OWN_STANDBY_MISSES 3
/*
 * A standby that has been in a hold for this long, times its rank, checks
 * whether the store answers it, since the coordinator alone may be cut off
 * from the store. The time is longer than a hold that one lost confirmation
 * causes.
 */
#define OWN_TAKEOVER_AFTER_MS 1000
/*
 * The other members check after the standbys, which may be cut off from the
 * store together with the coordinator. Their ids spread them over
 * OWN_TAKEOVER_STEPS steps, so that the first one is seldom one of many.
 */
#define OWN_TAKEOVER_OTHERS_MS 3000
#define OWN_TAKEOVER_STEP_MS 50
#define OWN_TAKEOVER_STEPS 32

/* What a reply tells the member to do about a hold. */
enum own_hold {
	OWN_HOLD_NONE,	  /* leave any hold and clear its record */
	OWN_HOLD_PREPARE, /* record the hold (term, hold_seq) */
	OWN_HOLD_COMMIT,  /* record the hold and serve by it */
	OWN_HOLD_KEEP,	  /* leave the record and the hold unchanged */
};

/* A member's request for a grant. */
struct own_ask {
	uint32_t node_id;
	uint64_t incarnation;
	uint64_t term;	    /* highest seen by the member */
	uint32_t seq;	    /* number of this ask, from 1 */
	uint32_t ack_seq;   /* seq of the newest reply acted on, 0 if none */
	uint64_t hold_term; /* term of the recorded hold, 0 if none */
	uint32_t hold_seq;  /* number of the recorded hold in its term */
};

/* The coordinator's answer to an ask. */
struct own_reply {
	uint64_t term;
	uint64_t incarnation; /* of the member that it is meant for */
	uint32_t seq;	      /* of the ask; 0: not an answer, but a prompt to
				 send an ask now */
	uint32_t grant_ms;    /* length of the grant from the ask, 0: none */
	uint64_t floor_rev;   /* lowest map revision to serve by */
	enum own_hold hold;
	uint32_t hold_seq;     /* number of the hold in this term */
	uint32_t hold_ms;      /* of a commit: length from the ask, 0: no end */
	uint32_t standby_rank; /* 0: not a standby */
};

/* ---- member ---- */

/* A member remembers when it sent this many of its newest asks. */
#define OWN_ASK_HISTORY 32

struct own_member {
	uint32_t node_id; /* given by the coordinator, 0 before that */
	uint64_t incarnation;
	uint64_t term; /* highest seen */
	int64_t grant_end_ms;
	uint64_t floor_rev;    /* lowest map revision to serve by */
	int held;	       /* in a hold, until hold_end_ms at the latest */
	int64_t hold_end_ms;   /* end of the hold, INT64_MAX: none */
	int64_t hold_start_ms; /* when the hold began; valid if held is set */
	uint64_t hold_term;    /* term of the recorded hold, 0 if none */
	uint32_t hold_seq;     /* number of the recorded hold in its term */
	uint32_t standby_rank; /* 0: not a standby */
	int64_t confirmed_ms;  /* when the last answered ask was sent */
	uint32_t last_seq;     /* of the last ask sent */
	uint32_t reply_seq;    /* of the newest reply acted on */
	/* When asks were sent, by seq modulo OWN_ASK_HISTORY. */
	int64_t asked_ms[OWN_ASK_HISTORY];
	int64_t next_ask_ms;
	uint32_t unanswered; /* asks sent since the last reply acted on */
};

/* Initializes a member that has no node ID yet and sends no asks. */
void own_member_init(struct own_member *m, uint64_t incarnation);
/* Sets the node ID that the coordinator has given; the first ask is due now. */
void own_member_complete_join(struct own_member *m, uint32_t node_id,
			      int64_t now_ms);
/* Returns 1 if an ask is due. */
int own_member_ask_due(const struct own_member *m, int64_t now_ms);
/* Fills in the next ask, which the caller sends at now_ms. */
void own_member_make_ask(struct own_member *m, int64_t now_ms,
			 struct own_ask *ask);
/*
 * Applies a reply. Returns 1 if it was acted on, 0 if it is meant for another
 * incarnation, belongs to a lower term, comes after a newer reply, answers an
 * ask that is no longer remembered or is only a prompt to send an ask.
 */
int own_member_handle_reply(struct own_member *m, int64_t now_ms,
			    const struct own_reply *r);
/*
 * Notes that a coordinator lets the member wait for its grant: the member
 * leaves any hold but keeps its record, is no standby, and does not count
 * unanswered asks. What it lets its target hold ends within a grant.
 */
void own_member_wait(struct own_member *m);
/*
 * Tells the member that a coordinator of this term exists. Returns 1 if the
 * term is at least the highest seen, so that its messages are to be acted on.
 * A new term makes an ask due at once if the member has a node ID.
 */
int own_member_observe_term(struct own_member *m, uint64_t term,
			    int64_t now_ms);
/* Returns 1 if the member may serve by a hold, with or without a grant. */
int own_member_in_hold(const struct own_member *m, int64_t now_ms);
/*
 * Returns ERR_OK if the member may serve the slots that its map of revision
 * map_rev gives it, and sets end_ms to the time until when it may; INT64_MAX
 * in a hold without an end. Returns ERR_NO_GRANT if it has neither grant nor
 * hold, ERR_STALE if its map is too old.
 */
enum err own_member_may_serve(const struct own_member *m, int64_t now_ms,
			      uint64_t map_rev, int64_t *end_ms);
/*
 * Returns 1 if the member should replace the coordinator provided that the
 * store answers it: the coordinator has been without the store for a while, see
 * OWN_TAKEOVER_AFTER_MS and OWN_TAKEOVER_OTHERS_MS.
 */
int own_member_should_take_over(const struct own_member *m, int64_t now_ms);
/*
 * Returns 1 if the member is a standby outside a hold and should try to become
 * the coordinator because its asks go unanswered, see OWN_STANDBY_MISSES.
 */
int own_member_should_elect(const struct own_member *m, int64_t now_ms);

/* ---- coordinator ---- */

/* What the coordinator knows about a node of the roster. */
struct own_peer {
	uint32_t node_id;
	uint64_t incarnation;
	int64_t grant_end_ms; /* no grant reaches past this, drift included */
	uint64_t floor_rev;   /* lowest map revision that it may serve by */
	int inherited;	      /* in the roster as read at take-over */
	int replaced;	      /* that roster's process has ended, by a join */
	int heard;	      /* has sent an ask in this term */
	/*
	 * The process of the roster stated in its first ask of this term that
	 * it had recorded no hold.
	 */
	int unrecorded;
	int recorded;	 /* has recorded the hold that is being prepared */
	int commit_sent; /* may be in the hold of this term */
	/*
	 * Not 0 if the node may be in a hold: the size of the smallest roster
	 * that a majority for the hold may have been counted over.
	 */
	uint32_t maybe_held;
	/* Follows no earlier term: it was heard, replaced or forgotten. */
	int promised;
	int64_t hold_end_ms; /* of the last commit, drift included */
	uint32_t reply_seq;  /* seq of the last reply sent to it */
	int64_t reply_ms;    /* when that reply was sent */
	int64_t acted_ms;    /* when the newest reply acted on was sent */
	uint32_t clear_seq;  /* first ask answered with OWN_HOLD_NONE since the
				hold, 0 if none */
	int leaving;	     /* lost, or its roster entry is being removed */
	int adding;	     /* its roster entry is being written */
	uint32_t ask_seq;    /* seq of the newest ask */
	int64_t heard_ms;    /* when the newest ask arrived, 0 if none */
	UT_hash_handle hh;
};

enum own_phase {
	/*
	 * After take-over: holds of earlier terms may be in force. Members
	 * keep their records.
	 */
	OWN_RESOLVING,
	OWN_NORMAL,    /* no hold: members get grants only */
	OWN_PREPARING, /* members are told to record a hold */
	OWN_HOLDING,   /* the hold is committed */
	/*
	 * The record is confirmed again. Members stay in the hold until the
	 * marks are in the store.
	 */
	OWN_RELEASING,
};

/*
 * Times of one fleet, scaled from the length of a grant. A target that holds
 * keys between its announcements needs grants longer than the interval of
 * those.
 */
struct own_times {
	int64_t grant_ms;      /* OWN_GRANT_MS */
	int64_t authority_ms;  /* OWN_AUTHORITY_MS */
	int64_t confirm_ms;    /* OWN_CONFIRM_MS */
	int64_t hold_after_ms; /* OWN_HOLD_AFTER_MS */
	int64_t hold_end_ms;   /* OWN_HOLD_END_MS */
	/*
	 * How long a member's hold lasts after its last ask that a commit
	 * answered; the same on all nodes. 0: no end, and a silent node that
	 * may be in a hold keeps its slots until it returns or an operator
	 * forgets it.
	 */
	int64_t hold_max_ms;
	int64_t hold_quorum_ms; /* OWN_HOLD_QUORUM_MS, not scaled */
};

/*
 * Returns the OWN_* times, scaled so that a grant lasts grant_ms; unscaled if
 * grant_ms is 0. hold_max_ms is 0 in the result.
 */
struct own_times own_times_for(int64_t grant_ms);

struct own_coord {
	struct own_times times;
	uint64_t term;
	int64_t takeover_ms; /* when this coordinator took office */
	int64_t authority_end_ms;
	int64_t confirmed_ms; /* when the last confirming call was sent */
	int64_t last_tick_ms; /* time of the last own_coord_tick */
	enum own_phase last_tick_phase; /* phase at its end */
	int64_t lost_after_ms; /* no member is declared lost before this */
	/*
	 * When it was first known that any earlier coordinator has at most
	 * half of its roster left, so that it renews no bounded hold any more;
	 * 0: not yet.
	 */
	int64_t promised_ms;
	uint32_t inherited_count; /* size of the roster as read at take-over */
	enum own_phase phase;
	uint32_t hold_seq; /* number of the last hold prepared in this term */
	/* See own_coord_begin_recovery. */
	int recovering;
	int roster_confirmed; /* see own_coord_confirm_roster */
	int saw_earlier_hold; /* a member has recorded a hold of an earlier term
			       */
	struct own_peer *peers;
};

/*
 * Initializes a coordinator that has taken office: a write sent at asked_ms,
 * known at now_ms to have succeeded, replaced the coordinator record. The
 * caller then adds the roster by own_coord_add_inherited.
 */
void own_coord_init(struct own_coord *c, uint64_t term, int64_t asked_ms,
		    int64_t now_ms);
/* Does the same with other times than the OWN_* ones. */
void own_coord_init_times(struct own_coord *c, const struct own_times *times,
			  uint64_t term, int64_t asked_ms, int64_t now_ms);
/* Frees the peers. */
void own_coord_finish(struct own_coord *c);
/*
 * Extends the authority to give grants: a store call sent at asked_ms has
 * confirmed that the coordinator record is still this coordinator's.
 */
void own_coord_extend_authority(struct own_coord *c, int64_t asked_ms);
/* What is known of the nodes of the roster as read at take-over. */
struct own_roster_counts {
	uint32_t nodes;
	uint32_t unrecorded; /* stated that they had recorded no hold */
	uint32_t replaced;   /* a new process has joined */
	uint32_t silent;     /* may follow an earlier term */
	uint32_t maybe_held; /* may be in a hold */
};

/* Fills in the counts, for the log. */
void own_coord_count_roster(const struct own_coord *c,
			    struct own_roster_counts *n);
/* Returns 1 if the coordinator may give grants at now_ms. */
int own_coord_has_authority(const struct own_coord *c, int64_t now_ms);

/*
 * Adds an entry of the roster as read at take-over; maybe_held is its mark.
 * Returns NULL if memory is short.
 */
struct own_peer *own_coord_add_inherited(struct own_coord *c, uint32_t node_id,
					 uint64_t incarnation,
					 uint64_t floor_rev,
					 uint32_t maybe_held);
/*
 * Adds a node that joins; must be called before its roster entry is written.
 * The node counts in majorities at once and gets no grant before
 * own_coord_finish_add. It replaces an earlier incarnation of the node, which
 * must have ended. Returns NULL if memory is short.
 */
struct own_peer *own_coord_begin_add(struct own_coord *c, uint32_t node_id,
				     uint64_t incarnation, uint64_t floor_rev);
/*
 * Completes the addition once the roster entry is in the store: the node may
 * get grants, and it is not declared lost for the length of one, so that it has
 * time to ask.
 */
void own_coord_finish_add(struct own_coord *c, uint32_t node_id,
			  int64_t now_ms);
/* Removes a node whose entry is no longer in the roster in the store. */
void own_coord_remove(struct own_coord *c, uint32_t node_id);
/* Returns the peer, NULL if the node is not known. */
struct own_peer *own_coord_find(const struct own_coord *c, uint32_t node_id);

enum own_ask_result {
	OWN_ASK_REPLY,	 /* send the reply */
	OWN_ASK_IGNORE,	 /* the ask is old, or the node gets no grant now */
	OWN_ASK_UNKNOWN, /* not in the roster: the node has to join */
	OWN_ASK_DEPOSED, /* the member has seen a higher term */
};

/* Handles an ask. Fills in the reply if it returns OWN_ASK_REPLY. */
enum own_ask_result own_coord_handle_ask(struct own_coord *c, int64_t now_ms,
					 const struct own_ask *ask,
					 struct own_reply *reply);

/*
 * Advances the phase; to be called periodically. Returns 1 if the phase is not
 * that of the last call, also if other calls changed it. The caller then
 * prompts the members to send an ask (a reply with seq 0), so that they learn
 * of the new phase at once.
 */
int own_coord_tick(struct own_coord *c, int64_t now_ms);
/*
 * Returns 1 if the map and the roster may be changed; 0 while a hold is
 * prepared or in force. The majority for the hold is counted over the roster
 * as it is; a successor would count new entries as nodes without a record and
 * might miss the hold.
 */
int own_coord_may_change(const struct own_coord *c);
/*
 * Returns 1 if the roster has to be written with the mark of each node before
 * the phase can advance. The caller calls own_coord_finish_marks after that
 * write.
 */
int own_coord_needs_marks(const struct own_coord *c, int64_t now_ms);
/*
 * Returns the mark to write for the node: the maybe_held that a successor
 * reads, 0 if the node is in no hold.
 */
uint32_t own_coord_hold_mark(const struct own_coord *c,
			     const struct own_peer *p);
/* Applies the marks and advances the phase; the roster write is done. */
void own_coord_finish_marks(struct own_coord *c);
/*
 * Returns 1 if new nodes may be added to the roster; 0 while holds of earlier
 * terms may be in force. A successor would count a new node as one without a
 * record and might miss a hold. A new incarnation may replace its predecessor
 * even then.
 */
int own_coord_may_add(const struct own_coord *c);
/*
 * Gives no grants from now on: the map and the roster that were read at
 * take-over may lack changes that the store acknowledged, so that other nodes
 * than those in the map may have grants and holds of earlier terms.
 */
void own_coord_begin_recovery(struct own_coord *c);
/*
 * During a recovery: the node was in the roster of the predecessor, with this
 * incarnation, or was not (drop). Nodes that were heard or replaced in this
 * term stay as they are.
 */
void own_coord_correct_inherited(struct own_coord *c, uint32_t node_id,
				 uint64_t incarnation);
/*
 * During a recovery: the inherited nodes are those of the newest map that a
 * member has, so that all that may be in a hold are among them.
 */
void own_coord_confirm_roster(struct own_coord *c);
/*
 * During a recovery: the node was not in the roster of the predecessor, so it
 * counts in no majority about that one's holds.
 */
void own_coord_exclude_inherited(struct own_coord *c, uint32_t node_id);
/*
 * Does the same, and removes the node unless it was heard or is being added.
 * Returns 0 if it stays.
 */
int own_coord_drop_inherited(struct own_coord *c, uint32_t node_id);
/*
 * During a recovery: the node was in a hold, and is told to leave it in the
 * reply to its Join (own_member_wait).
 */
void own_coord_note_hold_left(struct own_coord *c, uint32_t node_id,
			      int64_t now_ms);
/*
 * Returns 1 if no successor can have been elected and have moved slots: the
 * coordinator has authority, or more than half of the roster acted on its
 * replies lately while the hold is in force.
 */
int own_coord_is_in_office(const struct own_coord *c, int64_t now_ms);
/*
 * Returns 1 if all grants and holds of earlier terms are certain to have ended,
 * so that slots may be given to nodes by any map.
 */
int own_coord_is_recovered(const struct own_coord *c, int64_t now_ms);
/*
 * Gives grants again, by maps of revision floor_rev and higher. A node that was
 * heard during the recovery has the length of a grant to ask for one before it
 * is declared lost.
 */
void own_coord_end_recovery(struct own_coord *c, uint64_t floor_rev,
			    int64_t now_ms);
/*
 * Returns 1 if the node's grant and hold are certain to have ended at least
 * extra_ms ago, so that its slots may be moved. Returns 0 as long as the
 * coordinator has no authority or is not in OWN_NORMAL.
 */
int own_coord_is_lost(const struct own_coord *c, const struct own_peer *p,
		      int64_t now_ms, int64_t extra_ms);
/*
 * Marks a node as leaving after own_coord_is_lost returned 1: it is in no hold
 * and gets no more replies, so no grant either.
 */
void own_peer_set_lost(struct own_peer *p);
/*
 * Treats the node as lost because an operator states that it is gone for good.
 */
void own_coord_forget(struct own_coord *c, uint32_t node_id);

#endif
