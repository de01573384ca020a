#ifndef OWNERSHIP_HOLD_H
#define OWNERSHIP_HOLD_H

#include "common/err.h"

#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/*
 * Keeps account of the keys that the target beside this node holds: which slots
 * it may have, until when, and which it certainly has not. (The hold of own.h,
 * the right to serve while the store cannot be reached, is something else.)
 *
 * Such a target takes its keys, as ranges of numbers, from the answer to its
 * announcement, for a limited time from when it sent the announcement. Each
 * announcement lists the keys that it holds or still works on, and those that
 * it has released.
 *
 * Terms:
 *  - fence: a number that rises with each change of a slot's owner, so that a
 *    target can refuse what an earlier owner still gives or sends.
 *  - handover: opaque text from the target that released the keys. It is passed
 *    on to the target that gets the slot next.
 *
 * The module does no input or output and reads no clock; times are milliseconds
 * of CLOCK_BOOTTIME.
 *
 * Guarantees, given that a target acts on the answers to its announcements in
 * the order of the announcements:
 *  - hold_is_free returns 1 only if the target neither holds nor works on any
 *    key of the slot, and no answer in flight gives it one;
 *  - hold_may_serve returns 1 only while the target may be sent requests of
 *    the slot.
 */

/* The target's clock may be slow by this much. */
#define HOLD_DRIFT_PPM 20000
/* Time allowed between the node's decision and the sending of the answer. */
#define HOLD_MARGIN_MS 20
/* Size of a handover, with the terminating 0. */
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
	uint32_t first; /* first key of the slot */
	uint32_t last;	/* last key of the slot, included */
	uint64_t fence; /* as given to the target, 0 if it was not */
	int64_t end_ms; /* no answer lets the target hold the slot past this */
	int64_t serve_end_ms; /* the target holds it at least until then */
	int given;	      /* the newest answer gives the slot */
	int listed;	      /* the newest announcement lists a key of it */
	int releasing;	      /* left out of the answers from now on */
	int gate_stopped;     /* the gate takes no new work for it */
	/*
	 * The release was reported to the coordinator. The slot is not given
	 * again until this node gains it anew.
	 */
	int release_sent;
	/* Set by the target when it released the slot; "" if there is none. */
	char handover[HOLD_TOKEN_BYTES];
	UT_hash_handle hh;
};

struct hold {
	struct hold_slot *slots;
	struct hold_row *rows; /* keys listed in the newest announcement */
	size_t row_count;
	int announced;		/* an announcement came since the last start of
				   this daemon or of the target */
	int64_t earlier_end_ms; /* until then the target may hold what an
				   earlier run of this daemon gave it */
};

/*
 * Initializes an account of a target of which nothing is known yet.
 * longest_ms is the longest time for which an earlier run of this daemon may
 * have let the target hold keys.
 */
void hold_init(struct hold *h, int64_t now_ms, int64_t longest_ms);
/* Frees the account. */
void hold_finish(struct hold *h);
/*
 * Notes that the target holds nothing, because it has certainly ended or
 * restarted. Releases that were started stay so.
 */
void hold_clear(struct hold *h);

/*
 * Applies an announcement, which must be newer than all before. The rows are
 * copied. Handovers of released rows are stored for the slots that they cover.
 * Returns ERR_OK or ERR_NOMEM.
 */
enum err hold_apply_announcement(struct hold *h, const struct hold_row *held,
				 size_t held_count,
				 const struct hold_row *released,
				 size_t released_count);
/*
 * Returns the number of slots that the last answer gave and that the newest
 * announcement does not list.
 */
size_t hold_count_missing(const struct hold *h);

/*
 * Starts the release of a slot with these keys: the next answer leaves it out.
 * Returns ERR_OK or ERR_NOMEM.
 */
enum err hold_start_release(struct hold *h, uint32_t slot, uint32_t first,
			    uint32_t last);
/* Ends the release: the slot is given again. */
void hold_cancel_release(struct hold *h, uint32_t slot);
/* Returns 1 if the slot's release was started and not cancelled. */
int hold_is_releasing(const struct hold *h, uint32_t slot);

/*
 * Returns the time for which the target may be allowed to hold keys from now
 * on, given that this node may serve until right_end_ms (INT64_MAX: no end).
 * The time is at most max_ms and leaves room for drift and HOLD_MARGIN_MS; 0
 * means that nothing can be given.
 */
int64_t hold_remaining_ms(int64_t now_ms, int64_t right_end_ms, int64_t max_ms);
/* Starts an answer: no slot counts as given until it is added. */
void hold_answer_begin(struct hold *h);
/*
 * Notes that the answer gives the slot for time_ms. Returns ERR_OK or
 * ERR_NOMEM.
 */
enum err hold_answer_add(struct hold *h, uint32_t slot, uint32_t first,
			 uint32_t last, uint64_t fence, int64_t now_ms,
			 int64_t time_ms);
/*
 * Returns the fence under which the slot was last given to this run of the
 * target, 0 if it was not. The fence may be higher than the one in the map: it
 * is still below that of any later change of the map, and stays in use once it
 * was given.
 */
uint64_t hold_given_fence(const struct hold *h, uint32_t slot);
/*
 * Returns the highest fence under which the newest announcement lists one of
 * the keys, 0 if it lists none.
 */
uint64_t hold_reported_fence(const struct hold *h, uint32_t first,
			     uint32_t last);
/*
 * Returns 1 if one row of the newest announcement covers all these keys under
 * this fence or a higher one.
 */
int hold_reports_range(const struct hold *h, uint32_t first, uint32_t last,
		       uint64_t fence);

/*
 * Returns 1 if requests of the slot may be sent to the target, and lowers
 * end_ms to the time until when they may, if that is earlier. The slot must
 * have been given under this fence or a higher one.
 */
int hold_may_serve(const struct hold *h, uint32_t slot, uint64_t fence,
		   int64_t now_ms, int64_t *end_ms);
/* Returns 1 if the target certainly has none of the slot's keys. */
int hold_is_free(const struct hold *h, uint32_t slot, uint32_t first,
		 uint32_t last, int64_t now_ms);
/* Returns the handover for the slot's next target, "" if there is none. */
const char *hold_handover(const struct hold *h, uint32_t slot);
/*
 * Notes that the release was reported to the coordinator. The slot stays out of
 * the answers until this node gains it again, although the map may name this
 * node as its owner for a while.
 */
void hold_mark_release_sent(struct hold *h, uint32_t slot);

#endif
