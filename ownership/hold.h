#ifndef OWNERSHIP_HOLD_H
#define OWNERSHIP_HOLD_H

#include "common/err.h"

#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/*
 * What the target beside this node holds. Such a target takes its keys, as
 * ranges of numbers, in the answer to its announcement, for a limited time
 * from when it sent the announcement; it tells in each announcement what it
 * holds or is still working on, and what it has released. This module keeps
 * the account: which slots the target may have, until when, and which it has
 * certainly not. Pure; times are milliseconds of CLOCK_BOOTTIME.
 *
 * Promises, given that a target acts on the answers to its announcements in
 * the order of the announcements:
 *  - hold_is_free is true only if the target neither holds nor works on any
 *    key of the slot, and no answer on its way gives it one;
 *  - hold_may_serve is true only while the target may be sent work of the slot.
 */

/* The target's clock may run this much slow (PPM). */
#define HOLD_DRIFT_PPM 20000
/* Time between the node's decision and the sending of the answer. */
#define HOLD_MARGIN_MS 20
#define HOLD_TOKEN_BYTES 64

/* One row of an announcement: keys from first to last, both included. */
struct hold_row {
	uint32_t first;
	uint32_t last;
	uint64_t fence;
	char handover[HOLD_TOKEN_BYTES]; /* "" if there is none */
};

struct hold_slot {
	uint32_t slot;
	uint32_t first;
	uint32_t last;
	uint64_t fence;	      /* as given to the target */
	int64_t end_ms;	      /* no answer lets it hold the slot past this */
	int64_t serve_end_ms; /* it holds the slot at least until then */
	int given;	      /* part of the newest answer */
	int reported;	      /* the newest announcement lists a key of it */
	int releasing;	      /* left out of the answers from now on */
	int gate_stopped;     /* the gate takes no new work for it */
	int release_sent; /* reported; not given again unless it is gained */
	char handover[HOLD_TOKEN_BYTES]; /* from the target, when released */
	UT_hash_handle hh;
};

struct hold {
	struct hold_slot *slots;
	struct hold_row *rows; /* of the newest announcement */
	size_t row_count;
	int heard;		/* an announcement of this run has come */
	int64_t unknown_end_ms; /* an earlier daemon may have given until then
				 */
};

/*
 * longest_ms: the longest time for which an earlier run of this daemon may
 * have let the target hold keys.
 */
void hold_init(struct hold *h, int64_t now_ms, int64_t longest_ms);
void hold_finish(struct hold *h);
/* The target has certainly ended, or started anew: it holds nothing. */
void hold_clear(struct hold *h);

/*
 * An announcement, newer than all before. The rows are copied. Keeps handovers
 * of released rows for the slots that they cover.
 */
enum err hold_apply_announcement(struct hold *h, const struct hold_row *held,
				 size_t held_count,
				 const struct hold_row *released,
				 size_t released_count);
/* Slots that the last answer gave and the target does not hold. */
size_t hold_count_missing(const struct hold *h);

/* The slot is to be released: the next answer leaves it out. */
enum err hold_start_release(struct hold *h, uint32_t slot, uint32_t first,
			    uint32_t last);
void hold_cancel_release(struct hold *h, uint32_t slot);
int hold_is_releasing(const struct hold *h, uint32_t slot);

/*
 * How long the target may hold from now on, at most max_ms, given that this
 * node may serve until right_end_ms. 0: nothing can be given.
 */
int64_t hold_remaining_ms(int64_t now_ms, int64_t right_end_ms, int64_t max_ms);
/* Starts an answer: forgets which slots the last one gave. */
void hold_answer_begin(struct hold *h);
/* The answer gives the slot for time_ms. */
enum err hold_answer_add(struct hold *h, uint32_t slot, uint32_t first,
			 uint32_t last, uint64_t fence, int64_t now_ms,
			 int64_t time_ms);
/*
 * The fence under which the slot was last given to this run of the target, 0
 * if it was not. A higher fence than the map's is as good: it is below that of
 * any later change of the map, and stays in use once it was given.
 */
uint64_t hold_given_fence(const struct hold *h, uint32_t slot);
/* The highest fence under which the target says it holds one of the keys. */
uint64_t hold_reported_fence(const struct hold *h, uint32_t first,
			     uint32_t last);
/* 1 if the target says that it holds the whole slot, at least so fenced. */
int hold_reports_range(const struct hold *h, uint32_t first, uint32_t last,
		       uint64_t fence);

/* May work of the slot be sent to the target? end_ms: until when. */
int hold_may_serve(const struct hold *h, uint32_t slot, uint64_t fence,
		   int64_t now_ms, int64_t *end_ms);
/* Has the target certainly none of the slot's keys? */
int hold_is_free(const struct hold *h, uint32_t slot, uint32_t first,
		 uint32_t last, int64_t now_ms);
/* What the target gave for the slot's next holder; "" if nothing. */
const char *hold_handover(const struct hold *h, uint32_t slot);
/*
 * The release was reported. Until the slot is gained again it stays out of the
 * answers, although the map may name this node as its owner for a while.
 */
void hold_mark_release_sent(struct hold *h, uint32_t slot);

#endif
