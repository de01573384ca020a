#ifndef MEMBERSHIP_COORD_PRIV_H
#define MEMBERSHIP_COORD_PRIV_H

#include "config/doc.h"
#include "membership/coord.h"
#include "ownership/own.h"
#include "placement/health.h"
#include "placement/place.h"
#include "routing/map.h"

#include <uthash.h>

/*
 * Shared by the files coord*.c only. The prefix co_ marks what is private to
 * the coordinator. A member is a node of the roster as the coordinator sees it.
 */

#define CO_TICK_S 0.025
#define CO_REAP_S 1.0
#define CO_TAKEOVER_PERIOD_MS 100
#define CO_TAKEOVER_LENGTH_MS 5000
#define CO_DOC_POLL_MS 2000
/*
 * After being behind a member for this long, the document is fetched from it,
 * and again if it has not come: a large one takes a while on a slow line.
 */
#define CO_DOC_FETCH_AFTER_MS 200
#define CO_DOC_FETCH_RETRY_MS 1000
/*
 * Where every node reads the document by itself, a push is for those that the
 * store turns away. One of more sections than this is not made, since packing
 * thousands takes 10 ms; these nodes fetch the document.
 */
#define CO_DOC_PUSH_SECTIONS 512
#define CO_LIVE_TTL_S 10
#define CO_LIVE_RENEW_MS 3000
#define CO_RETRY_MS 200
#define CO_HOLD_CONFIRM_MS 1000
#define CO_STANDBYS 2
/*
 * After this many change records, the next write is a snapshot of the map. It
 * deletes up to this many records in one transaction, whose size stores limit.
 */
#define CO_LOG_BEFORE_SNAPSHOT 24
#define CO_SNAPSHOT_PART_BYTES (512 * 1024)
/*
 * Changes that only describe nodes and their targets are batched: they are
 * written at most once per this period.
 */
#define CO_BATCH_MS 150
#define CO_HISTORY_ENTRIES 8192
/*
 * The last changes of the map are kept for nodes that join with an older map.
 * They must cover a takeover, which takes seconds; batched changes come every
 * CO_BATCH_MS at most.
 */
#define CO_RECENT_DELTAS 32
#define CO_CAUSE_BYTES 96
#define CO_HANDOVER_BYTES 64
#define CO_KEY_BYTES 160
#define CO_ATTEMPT_BYTES 96
/*
 * Ids that are left out after a restore of the store, which may have forgotten
 * to whom they were given: more than nodes join in the age of a copy.
 */
#define CO_RECOVERY_IDS 10000
/* A random multiple, since the store may be restored to the same copy twice. */
#define CO_RECOVERY_ID_STEPS 1000
/*
 * New nodes wait for this long in a recovery, in which the members that were
 * not restarted join and give their maps.
 */
#define CO_ADOPT_MAP_MS 1000
/* Well below MEMBERSHIP_ELECTION_DELAY_MS. */
#define CO_DEFER_JOINS_MS 400

enum co_phase {
	CO_IDLE,
	CO_ELECTING,
	CO_LOADING,
	CO_ACTIVE,
};

struct co_member;
struct placement_state;

/* A change of the map, encoded as in the store. */
struct co_recent_delta {
	uint64_t base_rev;
	uint64_t rev; /* 0: unused */
	uint8_t *bytes;
	size_t len;
	struct buf frame; /* the same for members, once it is needed */
};

/* The control connection of a node. */
struct co_conn {
	struct coord *c;
	struct tcp_conn *tcp;
	struct co_member *member; /* NULL until it has joined */
	int dead;		  /* closed; freed later by co_conns_reap */
	struct co_conn *prev;
	struct co_conn *next;
};

enum co_join_state {
	CO_JOIN_DONE,
	CO_JOIN_QUEUED,	 /* the next write contains its roster entry */
	CO_JOIN_WRITING, /* the write in flight contains it */
};

/* A node of the roster. */
struct co_member {
	uint32_t id;
	Wire__Node *info; /* owned */
	struct sockaddr_in udp_address;
	struct co_conn *conn;
	enum co_join_state join;
	int dirty;	    /* info differs from the map's */
	int release_due;    /* a Release with its slots has to be sent */
	int lost;	    /* its grant has ended; its slots move */
	int removing;	    /* its removal is being written */
	int leaving;	    /* 0 no, 1 to stop, 2 to restart */
	int departed;	    /* stops and owns nothing; to be removed */
	int leave_answered; /* a restarting node was told that it may exit */
	int64_t restart_until_ms; /* its slots wait for its return until then */
	int64_t last_heard_ms;	  /* before it was lost */
	uint64_t doc_rev;	  /* as reported by the node */
	uint64_t map_rev;	  /* as reported by the node */
	uint64_t doc_sent_rev;	  /* of the last document sent to it */
	uint32_t in_flight;
	uint32_t owned;	   /* slots, counted for coord_write_status */
	uint64_t requests; /* as reported, in total */
	uint32_t standby_rank;
	struct health_target health; /* health of its target */
	double rate_limit_per_s; /* requests that its target takes; 0: any */
	int64_t cold_until_ms; /* its target said that it is cold until then */
	UT_hash_handle hh;
};

/* The coordinator's state of a slot, beyond what the map says. */
struct co_slot {
	int releasing;	     /* the owner was asked to release it */
	int released;	     /* the owner has released it */
	int changing;	     /* a change of owner is queued or being written */
	int pinning;	     /* a pin of one of its keys is being written */
	uint32_t new_owner;  /* node it is being released for, 0 none */
	uint64_t cancel_seq; /* of the last cancel of its release, 0 none */
	const char *move_cause;	   /* why it moves to new_owner */
	struct place_average load; /* requests per second */
	int64_t unserved_since_ms; /* when its owner stopped serving; 0: is
				      served */
	char handover[CO_HANDOVER_BYTES]; /* from the owner that released it */
};

struct co_slot_change {
	uint32_t slot;
	uint32_t owner; /* the new one, 0 none */
	const char *cause;
};

struct co_pin_change {
	uint32_t slot;
	char *service; /* owned */
	char *key;     /* owned */
	int removed;
};

/* Changes that the next write will contain. */
struct co_queue {
	struct co_slot_change *slots;
	size_t slot_count;
	size_t slot_cap;
	struct co_pin_change *pins;
	size_t pin_count;
	int services_due; /* the document has services that the map has not */
	int roster_due;
	int marks_due; /* the roster is written with maybe_held marks */
	char cause[CO_CAUSE_BYTES];
};

enum co_write_kind { CO_WRITE_CHANGE, CO_WRITE_SNAPSHOT };

/* The write in flight; its bytes are kept until the result is known. */
struct co_write {
	int active;
	enum co_write_kind kind;
	Wire__MapDelta *delta; /* NULL: roster only */
	uint8_t *delta_bytes;
	size_t delta_len;
	uint8_t *roster_bytes; /* NULL: roster unchanged */
	size_t roster_len;
	int has_marks;	     /* the roster has maybe_held marks */
	int64_t retry_at_ms; /* 0: waiting for the store */
	unsigned deletes;    /* change records that a snapshot deletes */
	char attempt[CO_ATTEMPT_BYTES]; /* unique; the value of "map/head" */
	int may_have_run; /* an attempt ended without a usable answer */
};

/*
 * Bringing the state to a store that was restored from a copy, see
 * coord_restore.c.
 */
struct co_restore {
	int active;
	/*
	 * The state was read from the copy, by a coordinator that was elected
	 * after the restore; otherwise it is that of a coordinator in office,
	 * which is complete.
	 */
	int from_copy;
	int64_t fetch_at_ms; /* no map is asked of a member before this */
	int has_new_nodes;   /* nodes joined that were not in the roster */
	int64_t defer_at_ms; /* when waiting nodes are told to wait again */
	int in_flight;	     /* a call to the store is not answered yet */
	int64_t retry_at_ms; /* no call before this */
	uint64_t era;	     /* of the store when it was read */
	uint64_t rev;	     /* of the map that is being written */
	unsigned parts;	     /* of the snapshot that is being written */
};

/* A past change of a slot's owner. */
struct co_history_entry {
	uint64_t rev;
	int64_t wall_ms;
	uint32_t slot;
	uint32_t owner;
	char cause[40];
};

/* Statistics of one service since this coordinator was elected. */
struct co_service_stats {
	char name[64];
	double peak_to_mean; /* load of the busiest node to the mean */
	uint64_t moves;
	uint64_t moves_lost;
	uint64_t moves_drain;
	uint64_t moves_imbalance;
	uint64_t moves_pin;
	uint64_t moves_other;
	int64_t unavailable_ms; /* summed over slots */
	UT_hash_handle hh;
};

struct coord {
	struct coord_config config;
	enum co_phase phase;
	/*
	 * Raised when an election is lost or the coordinator steps down; store
	 * callbacks of an earlier generation are ignored.
	 */
	unsigned generation;
	struct co_call *calls; /* calls to the store whose callback is due */
	struct record record;
	uint64_t seen_term; /* highest that this node or a member has seen */
	uint64_t era;	    /* of the store's revisions below; 0: unknown */
	/* The election showed that the store has only a copy of the state. */
	int recovery_due;
	struct co_restore restore;
	struct own_coord own;
	struct map map;
	uint32_t next_id;
	struct co_member *members;
	struct co_conn *conns;

	struct doc doc;
	int has_doc;
	struct doc_sections sections;
	/* The whole document and map as frames for members. */
	struct buf doc_frame;
	struct buf map_frame;
	uint64_t doc_frame_rev; /* revision of doc_frame; 0: none */
	uint64_t map_frame_rev; /* revision of map_frame; 0: none */
	uint64_t doc_rev;
	int64_t doc_mod_revision; /* of its head in the store; 0: not there */
	uint64_t doc_era;	  /* of doc_mod_revision */
	int doc_newest;		  /* an operator wrote the head in that era */
	struct store_watch *doc_watch;
	int doc_read_pending; /* the head or a section is being read */
	struct doc_reading *doc_reading; /* private to coord_doc*.c */
	int doc_reread_due;		 /* it changed while being read */
	int64_t doc_fetch_at_ms;	 /* 0: no member has a newer document */
	int64_t doc_behind_ms;		 /* since when one has; 0: none */

	struct co_slot *slots;
	size_t slot_count;
	uint64_t release_seq; /* of the last Release or ReleaseCancel sent */
	struct co_queue queue;
	struct co_write write;
	/*
	 * mod_revision of "map/head", which every write replaces and
	 * compares, so that no write can take effect twice or late.
	 */
	int64_t head_mod_revision;
	unsigned log_records;	 /* change records since the snapshot */
	unsigned snapshot_parts; /* of the snapshot in the store */
	int64_t last_change_ms;	 /* when the last change was begun */
	uint64_t last_attempt;	 /* number of the last write */
	/* Number of the hold for which co_withdraw_moves was done; 0: none. */
	uint32_t withdrawn_hold;

	/* Ring buffer, indexed by the revision modulo CO_RECENT_DELTAS. */
	struct co_recent_delta recent[CO_RECENT_DELTAS];
	/* Ring buffer of CO_HISTORY_ENTRIES entries. */
	struct co_history_entry *history;
	size_t history_next; /* counts on; the index is the remainder */
	size_t history_count;
	struct co_service_stats *stats;

	/* ..._at_ms: when the next of a periodic task is due. */
	int64_t confirm_at_ms;
	int64_t takeover_at_ms;
	int64_t elected_ms;
	int64_t doc_poll_at_ms;
	int64_t live_at_ms;
	int64_t live_lease; /* store lease of "coord-live"; 0: none */
	int64_t placement_at_ms;
	int placement_due; /* run a placement pass at the next tick */
	struct placement_state *placement_state;
	ev_timer timer;
	ev_timer reaper; /* frees closed connections, also while idle */
	uint64_t closed_bytes_in;
	uint64_t closed_bytes_out;
};

/*
 * The argument of a store callback. It ties the call to the generation in which
 * it was made.
 */
struct co_call {
	struct coord *c;
	unsigned generation;
	int64_t sent_ms;
	int kind; /* any value of the caller */
	struct co_call *prev;
	struct co_call *next;
};

/*
 * Returns a new call; NULL without memory. Its callback ends it, or the caller
 * if it makes no store call after all. Only co_call_end may free it.
 */
struct co_call *co_call_new(struct coord *c, int kind);
/*
 * Frees the call and returns its coordinator, or NULL if the callback must be
 * ignored because the generation has changed. Fills in sent_ms and kind unless
 * they are NULL.
 */
struct coord *co_call_end(struct co_call *call, int64_t *sent_ms, int *kind);
/* Writes the store key of name, which is the prefix and name, to out. */
void co_store_key(const struct coord *c, char *out, size_t size,
		  const char *name);

/* ---- coord.c ---- */

/* Becomes idle: drops all state and closes all control connections. */
void co_step_down(struct coord *c, const char *why);

/* ---- coord_load.c ---- */

/* Reads roster, map and document from the store, then becomes active. */
void co_load(struct coord *c);
void co_unload(struct coord *c);

/* ---- coord_conn.c ---- */

/* Closes the connection; its memory is freed by a later co_conns_reap. */
void co_conn_close(struct co_conn *k);
void co_conns_close(struct coord *c);
/* Frees the connections that are closed. */
void co_conns_reap(struct coord *c);
/* Returns how long a silent node keeps its slots for its return, by service. */
int64_t co_restart_grace_ms(const struct coord *c, const struct co_member *m);
/* Completes a join whose roster entry has been written to the store. */
void co_join_written(struct coord *c, struct co_member *m);
/* Tells the nodes whose joins are not written yet to wait for that. */
void co_defer_joins(struct coord *c);
/* Asks the owner to release all its slots that are marked as releasing. */
void co_send_releases(struct coord *c, struct co_member *m);
/* Tells the owner that the slots stay with it. Does nothing without slots. */
void co_send_cancel(struct coord *c, struct co_member *m, uint32_t *slots,
		    size_t count);
/*
 * Handles a node's report that it has released slots. A slot whose release was
 * cancelled stays with the node.
 */
void co_on_released(struct coord *c, const struct co_member *m,
		    const Wire__Released *r);

/* ---- coord_members.c ---- */

/* Both return NULL if there is no such node. */
struct co_member *co_member_find(const struct coord *c, uint32_t id);
struct co_member *co_member_find_name(const struct coord *c, const char *name);
/* Adds a member with a copy of info. Returns NULL without memory. */
struct co_member *co_member_add(struct coord *c, const Wire__Node *info);
/* Replaces the member's info by a copy. Returns 0 without memory, else 1. */
int co_member_set_info(struct co_member *m, const Wire__Node *info);
void co_member_remove(struct coord *c, struct co_member *m);
/* Runs the periodic work on members, such as detecting lost ones. */
void co_member_tick(struct coord *c, int64_t now_ms);
/* Sends a change of the map to all members. */
void co_push_map(struct coord *c, const Wire__MapDelta *delta);
/*
 * Sends a change of the document since base_rev to all members, and the full
 * document to those that were not sent base_rev.
 */
void co_push_doc(struct coord *c, uint64_t base_rev,
		 const Wire__DocPush *delta);
/* Sends a frame if the member is connected. */
void co_send(struct co_member *m, enum frame_type type,
	     const ProtobufCMessage *msg);
/* Does the same with an encoded frame, which is copied. */
void co_send_encoded(struct co_member *m, const struct buf *frame);
/* Tells a departed node that it may exit. */
void co_confirm_leave(struct co_member *m);
/* Returns 1 if the node stops or the document drains it. */
int co_is_draining(const struct coord *c, const struct co_member *m);
/* Ranks the nodes that are to replace this coordinator if it fails. */
void co_choose_standbys(struct coord *c);

/* ---- coord_queue.c ---- */

/* Makes c->slots hold at least count slots. Returns 0 without memory, else 1.
 */
int co_slots_reserve(struct coord *c, size_t count);
/* Queues a change of the slot's owner; 0: nobody. cause is not copied. */
void co_queue_slot(struct coord *c, uint32_t slot, uint32_t owner,
		   const char *cause);
/* Queues the addition or removal of a pin, which has its own slot. */
void co_queue_pin(struct coord *c, uint32_t slot, const char *service,
		  const char *key, int removed);
/* Adds a cause to the text that is written with the next change. */
void co_queue_cause(struct coord *c, const char *cause, const char *detail);
void co_queue_finish(struct co_queue *q);
/* Returns a slot that neither the map nor the queue uses. */
uint32_t co_next_free_slot(const struct coord *c);
/* Marks lost and departed nodes that own nothing any more for removal. */
void co_build_removals(struct coord *c);
/* Returns 1 if a member's info has to be written to the map. */
int co_has_dirty_member(const struct coord *c);
/* Both encode the queued changes into the write in flight. */
void co_build_delta(struct coord *c);
void co_build_roster(struct coord *c);
/* Encodes the roster to allocated bytes; NULL without memory. */
uint8_t *co_encode_roster(const struct coord *c, size_t *len);

/* ---- coord_sync.c ---- */

/* Keeps an applied change, for nodes that join with the map before it. */
void co_recent_add(struct coord *c, const Wire__MapDelta *d,
		   const uint8_t *bytes, size_t len);
void co_recent_finish(struct coord *c);
/* Sends the whole map, whatever revision the node has. */
void co_send_full_map(struct coord *c, struct co_member *m);
/* Sends what the node lacks, by the revisions that it reported last. */
void co_sync_member(struct coord *c, struct co_member *m);

/* ---- coord_restore.c ---- */

/*
 * To be called with the era of an answer. Returns 1 if the store was restored
 * since its revisions became known to the coordinator, which then writes its
 * state again; the answer is to be ignored.
 */
int co_note_era(struct coord *c, uint64_t era);
/* Starts the recovery of a state that was read from a copy. */
void co_recover(struct coord *c);
/*
 * Returns 1 while the map is not to be used, because it was read from a copy
 * and other nodes than its owners may serve.
 */
int co_is_recovering(const struct coord *c);
/*
 * Returns 1 if nodes that are not in the roster may join during a recovery. The
 * map of a member may still show that they were in it.
 */
int co_may_add_recovering(struct coord *c);
/*
 * Takes over a member's map during a recovery, if it is newer: the member has
 * changes that the store has lost.
 */
void co_adopt_map(struct coord *c, const struct co_member *m,
		  const Wire__MapDelta *d);
/* Continues what is active; nothing else may be written meanwhile. */
void co_restore_tick(struct coord *c, int64_t now_ms);

/* ---- coord_write.c ---- */

/* Starts or repeats a write if one is due. */
void co_write_tick(struct coord *c, int64_t now_ms);
/* Drops the queue and the write in flight. */
void co_write_finish(struct coord *c);
/*
 * Returns the change that is being written to the queue, if no attempt to write
 * it is under way or may have taken effect. Returns 1 if no change is being
 * written then.
 */
int co_write_requeue(struct coord *c);
/*
 * Returns the change that is being written to the queue although it may have
 * taken effect, since the whole state is about to be written. Returns 0 if an
 * attempt is under way; it ends within the time-out of a call.
 */
int co_write_abandon(struct coord *c);
/* Fills in the value of "map/head" for a new write, which is unique. */
void co_new_attempt(struct coord *c, char *attempt, size_t size);
/* Records the changes of owners, for coord_write_explanation. */
void co_history_add(struct coord *c, const Wire__MapDelta *d);
/* Returns the service's statistics, created if needed; NULL without memory. */
struct co_service_stats *co_stats_get(struct coord *c, const char *service);

/* ---- coord_withdraw.c ---- */

/*
 * Once for each hold: leaves slots that are being released with their owners.
 * Their moves cannot be written before the hold ends, and nobody would serve
 * them until then.
 */
void co_withdraw_moves(struct coord *c);
/* Returns 1 if the node can serve slots whose release is cancelled. */
int co_can_keep_slots(const struct co_member *m);

/* ---- coord_place.c ---- */

/* Runs a placement pass over all services if one is due. */
void co_place_tick(struct coord *c, int64_t now_ms);
void co_place_finish(struct coord *c);

/* ---- coord_report.c ---- */

/* Updates loads and target health from a node's report. */
void co_on_load_report(struct coord *c, struct co_member *m,
		       const Wire__LoadReport *r);

/* ---- coord_doc.c ---- */

/* Starts to watch the document; co_doc_stop ends that. */
void co_doc_start(struct coord *c);
void co_doc_stop(struct coord *c);
void co_doc_tick(struct coord *c, int64_t now_ms);
/*
 * Reads the document from a range of the store. Returns ERR_OK also if it is
 * missing or invalid; then the one in force stays.
 */
enum err co_doc_load(struct coord *c, const struct store_range *range);
/* Handles a document that a member was asked for. */
void co_on_doc_push(struct coord *c, const Wire__DocPush *p);
/* Sends all sections of the document to one member. */
void co_doc_send_full(struct coord *c, struct co_member *m);
/* Queues the document's keyed services that are not in the map yet. */
void co_services_update(struct coord *c);

#endif
