#ifndef MEMBERSHIP_COORD_PRIV_H
#define MEMBERSHIP_COORD_PRIV_H

#include "config/doc.h"
#include "membership/coord.h"
#include "ownership/own.h"
#include "placement/judge.h"
#include "placement/place.h"
#include "routing/map.h"

#include <uthash.h>

/* Shared by the files coord*.c only. */

#define CO_TICK_S 0.025
#define CO_REAP_S 1.0
#define CO_TAKEOVER_PERIOD_MS 100
#define CO_TAKEOVER_LENGTH_MS 5000
#define CO_DOC_POLL_MS 2000
#define CO_LIVE_TTL_S 10
#define CO_LIVE_RENEW_MS 3000
#define CO_RETRY_MS 200
#define CO_HOLD_CONFIRM_MS 1000
#define CO_STANDBYS 2
/*
 * A snapshot deletes as many of them in one transaction, whose size stores
 * limit; it comes before further changes.
 */
#define CO_LOG_BEFORE_SNAPSHOT 24
#define CO_SNAPSHOT_PART_BYTES (512 * 1024)
/* What only tells of targets is written together when it comes in a row. */
#define CO_BATCH_MS 150
#define CO_HISTORY_ENTRIES 8192
/*
 * Changes of the map kept for nodes that join with an older one. A takeover
 * takes seconds, and a change is written every CO_BATCH_MS at most.
 */
#define CO_RECENT_DELTAS 32
#define CO_CAUSE_BYTES 96
#define CO_HANDOVER_BYTES 64

enum co_phase {
	CO_IDLE,
	CO_ELECTING,
	CO_LOADING,
	CO_ACTIVE,
};

struct co_member;

/* A change of the map as it is in the store. */
struct co_recent_delta {
	uint64_t base_rev;
	uint64_t rev; /* 0: unused */
	uint8_t *bytes;
	size_t len;
};

/* Control connection of a node. */
struct co_conn {
	struct coord *c;
	struct tcp_conn *tcp;
	struct co_member *member; /* NULL until it has joined */
	int dead;
	struct co_conn *prev;
	struct co_conn *next;
};

enum co_join_state {
	CO_JOIN_DONE,
	CO_JOIN_QUEUED,	 /* its roster entry is part of the next write */
	CO_JOIN_WRITING, /* part of the write under way */
};

/* A node of the roster. */
struct co_member {
	uint32_t id;
	Wire__Node *info; /* owned */
	struct sockaddr_in udp_address;
	struct co_conn *conn;
	enum co_join_state join;
	int dirty;	    /* info differs from the map's */
	int release_due;    /* has new slots to release */
	int lost;	    /* its grant has ended; its slots move */
	int removing;	    /* its removal is being written */
	int leaving;	    /* 0, 1 stop, 2 restart */
	int departed;	    /* left and owns nothing: it leaves the roster */
	int leave_answered; /* a restarting node was told that it may exit */
	int64_t restart_until_ms;
	int64_t last_heard_ms; /* when it was last heard before it was lost */
	uint64_t doc_rev;      /* as told by its asks */
	uint64_t map_rev;
	uint64_t doc_sent_rev;
	uint32_t in_flight;
	uint32_t owned; /* slots, as of the last status */
	uint64_t requests;
	uint32_t standby_rank;
	struct judge_node judge; /* of its target */
	UT_hash_handle hh;
};

/* What the map does not say about a slot. */
struct co_slot {
	int releasing;	    /* the owner was asked to release it */
	int released;	    /* the owner has released it */
	int changing;	    /* a change of owner is queued or being written */
	int pinning;	    /* a pin of one of its keys is being written */
	uint32_t new_owner; /* node it is being released for, 0 none */
	const char *move_cause;	   /* of that move */
	struct place_average load; /* requests per second */
	int64_t unserved_since_ms; /* nobody can serve it since; 0: served */
	char handover[CO_HANDOVER_BYTES]; /* from the owner that released it */
};

struct co_slot_change {
	uint32_t slot;
	uint32_t owner;
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
	int services_due;
	int roster_due;
	int marks_due; /* the roster is written with maybe_held marks */
	char cause[CO_CAUSE_BYTES];
};

enum co_write_kind { CO_WRITE_CHANGE, CO_WRITE_SNAPSHOT };

/* The write under way; its bytes are kept until the result is known. */
struct co_write {
	int active;
	enum co_write_kind kind;
	Wire__MapDelta *delta; /* NULL: roster only */
	uint8_t *delta_bytes;
	size_t delta_len;
	uint8_t *roster_bytes; /* NULL: roster unchanged */
	size_t roster_len;
	int has_marks;
	int64_t retry_at_ms; /* 0: waiting for the store */
	unsigned deletes;    /* change records that a snapshot deletes */
	char attempt[96];    /* unique; the value of "map/head" */
};

struct co_history_entry {
	uint64_t rev;
	int64_t wall_ms;
	uint32_t slot;
	uint32_t owner;
	char cause[40];
};

/* Account of one service since this coordinator took office. */
struct co_service_stats {
	char name[64];
	double peak_to_mean;
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
	unsigned generation; /* store callbacks of an earlier office are void */
	struct record record;
	uint64_t elect_term;
	struct own_coord own;
	struct map map;
	uint32_t next_id;
	struct co_member *members;
	struct co_conn *conns;

	struct doc doc;
	int has_doc;
	struct doc_sections sections;
	uint64_t doc_rev;
	int64_t doc_mod_revision;
	struct store_watch *doc_watch;
	int doc_read_pending; /* the head or a section is being read */
	struct doc_reading *doc_reading; /* coord_doc.c's */
	int doc_reread_due;		 /* while a read was under way */

	struct co_slot *slots;
	size_t slot_count;
	struct co_queue queue;
	struct co_write write;
	/*
	 * mod_revision of "map/head", which every write replaces and
	 * compares, so that no write can take effect twice or late.
	 */
	int64_t head_mod_revision;
	unsigned log_records; /* change records since the snapshot */
	unsigned snapshot_parts;
	int64_t last_change_ms; /* when the last change was begun */
	uint64_t last_attempt;

	struct co_recent_delta recent[CO_RECENT_DELTAS]; /* by revision modulo
							    CO_RECENT_DELTAS */
	struct co_history_entry *history;
	size_t history_next;
	size_t history_count;
	struct co_service_stats *stats;

	int64_t confirm_at_ms;
	int64_t takeover_at_ms;
	int64_t elected_ms;
	int64_t doc_poll_at_ms;
	int64_t live_at_ms;
	int64_t live_lease;
	int64_t placement_at_ms;
	int placement_due;
	void *placement_state; /* coord_place.c's */
	ev_timer timer;
	ev_timer reaper; /* frees closed connections, also out of office */
	uint64_t closed_bytes_in;
	uint64_t closed_bytes_out;
};

/* A store callback's argument: void if the office has changed. */
struct co_call {
	struct coord *c;
	unsigned generation;
	int64_t sent_ms;
	int kind;
};

struct co_call *co_call_new(struct coord *c, int kind);
/* Frees the call; NULL if its office is over. */
struct coord *co_call_end(struct co_call *call, int64_t *asked_ms, int *kind);
void co_store_key(const struct coord *c, char *out, size_t size,
		  const char *name);

/* coord.c */
void co_step_down(struct coord *c, const char *why);

/* coord_load.c */
void co_load(struct coord *c);
void co_unload(struct coord *c);

/* coord_conn.c */
void co_conn_close(struct co_conn *k);
/* How long the service lets a silent node keep its slots for its return. */
int64_t co_restart_grace_ms(const struct coord *c, const struct co_member *m);

/* coord_members.c */
struct co_member *co_member_find(const struct coord *c, uint32_t id);
struct co_member *co_member_find_name(const struct coord *c, const char *name);
struct co_member *co_member_add(struct coord *c, const Wire__Node *info);
/* Copies info; 0 without memory. */
int co_member_set_info(struct co_member *m, const Wire__Node *info);
void co_member_remove(struct coord *c, struct co_member *m);
void co_member_tick(struct coord *c, int64_t now_ms);
void co_join_written(struct coord *c, struct co_member *m);
void co_push_map(struct coord *c, const Wire__MapDelta *delta);
void co_push_doc(struct coord *c, uint64_t base_rev,
		 const Wire__DocPush *delta);
void co_send(struct co_member *m, enum frame_type type,
	     const ProtobufCMessage *msg);
void co_conns_close(struct coord *c);
/* Tells a departed node that it may exit. */
void co_confirm_leave(struct co_member *m);
void co_conns_reap(struct coord *c);
int co_is_draining(const struct coord *c, const struct co_member *m);

/* coord_queue.c */
void co_queue_slot(struct coord *c, uint32_t slot, uint32_t owner,
		   const char *cause);
void co_queue_pin(struct coord *c, uint32_t slot, const char *service,
		  const char *key, int removed);
void co_queue_cause(struct coord *c, const char *cause, const char *detail);
void co_queue_finish(struct co_queue *q);
/* Marks lost and departed nodes that own nothing any more for removal. */
void co_build_removals(struct coord *c);
int co_has_dirty_member(const struct coord *c);
/* Fill in the write under way from the queue. */
void co_build_delta(struct coord *c);
void co_build_roster(struct coord *c);

/* Names the nodes that are to replace this coordinator. */
void co_choose_standbys(struct coord *c);

/* coord_sync.c */

/* Keeps a change that was applied, for nodes that have the map before it. */
void co_recent_add(struct coord *c, const Wire__MapDelta *d,
		   const uint8_t *bytes, size_t len);
void co_recent_finish(struct coord *c);
/* Everything, whatever the node has. */
void co_send_full_map(struct coord *c, struct co_member *m);
/* What the node lacks by the revisions that it stated when it joined. */
void co_sync_member(struct coord *c, struct co_member *m);

/* coord_write.c */
void co_write_tick(struct coord *c, int64_t now_ms);
void co_write_finish(struct coord *c);
int co_slots_reserve(struct coord *c, size_t count);
void co_history_add(struct coord *c, const Wire__MapDelta *d);
struct co_service_stats *co_stats_get(struct coord *c, const char *service);
uint32_t co_next_free_slot(const struct coord *c);

/* coord_place.c */
void co_place_tick(struct coord *c, int64_t now_ms);
void co_place_finish(struct coord *c);
/* Asks the owner to release the slots that are marked as releasing. */
void co_send_releases(struct coord *c, struct co_member *m);
/* The node holds the slots no more; those whose release is cancelled stay. */
void co_on_released(struct coord *c, const struct co_member *m,
		    const Wire__Released *r);
void co_on_load_report(struct coord *c, struct co_member *m,
		       const Wire__LoadReport *r);

/* coord_doc.c */
void co_doc_start(struct coord *c);
void co_doc_stop(struct coord *c);
void co_doc_tick(struct coord *c, int64_t now_ms);
/* Takes over document keys of a range; ERR_OK also if there is none. */
enum err co_doc_load(struct coord *c, const struct store_range *range);
void co_doc_send_full(struct coord *c, struct co_member *m);
void co_services_update(struct coord *c);

#endif
