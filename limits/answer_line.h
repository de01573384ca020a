#ifndef LIMITS_ANSWER_LINE_H
#define LIMITS_ANSWER_LINE_H

#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/*
 * Order of large answers on a node's slow line. Small answers are sent at once.
 * Large ones are sent one after the other, so that small ones do not wait
 * behind many of them, and the line's backlog is known: a request whose large
 * answer could not be sent in time is refused before it runs.
 *
 * Which answers will be large is learnt for each kind of request (its route).
 * The module has no clock: the time is an argument, in milliseconds of one
 * clock and greater than 0.
 */

/* An answer that takes longer than this on the line is large. */
#define ANSWER_LINE_LARGE_MS 10
/*
 * Time that the large answers in transit take on the line: small answers wait
 * behind at most so much, and the line stays busy over a round trip between
 * regions.
 */
#define ANSWER_LINE_WINDOW_MS 40
/* Part of the line that large answers get; the rest is for all else. */
#define ANSWER_LINE_PART 0.85
/* Most kinds; when another one is added, the one added first is dropped. */
#define ANSWER_LINE_MAX_KINDS 64

/* One large answer that waits, embedded in the caller's record of it. */
struct answer_line_item {
	size_t bytes;
	int waiting; /* added, and neither returned by next nor removed */
	struct answer_line_item *prev;
	struct answer_line_item *next;
};

/* A kind of request. */
struct answer_line_kind {
	uint32_t id;
	double bytes;	  /* moving average of its answers */
	uint32_t running; /* begun and not ended */
	UT_hash_handle hh;
};

struct answer_line {
	double kbps; /* of the line, kbit/s; 0: unknown, nothing waits */
	int64_t busy_until_ms; /* when what was sent has left the line */
	size_t waiting_bytes;
	struct answer_line_item *items; /* in the order in which they came */
	struct answer_line_kind *kinds;
};

/* link_kbps: rate of this node's line in kbit/s; 0: not known. */
void answer_line_init(struct answer_line *l, uint32_t link_kbps);
/* Frees the kinds. The items belong to the caller. */
void answer_line_finish(struct answer_line *l);

/* Returns 1 if an answer of so many bytes has to wait for its turn. */
int answer_line_is_large(const struct answer_line *l, size_t bytes);
/*
 * Notes that a request of the kind has begun. Returns 1 if its answer is
 * expected to be large; answer_line_end is then due for it.
 */
int answer_line_begin(struct answer_line *l, uint32_t kind);
/* Notes that a request, for which answer_line_begin returned 1, has ended. */
void answer_line_end(struct answer_line *l, uint32_t kind);
/* Notes the size of an answer to a request of the kind. */
void answer_line_note(struct answer_line *l, uint32_t kind, size_t bytes);
/*
 * Returns the expected time in milliseconds until the answer to a request of
 * the kind that begins now has been sent, beyond the time that it runs; 0 if
 * its answer is not expected to be large.
 */
int64_t answer_line_wait_ms(const struct answer_line *l, uint32_t kind,
			    int64_t now_ms);
/*
 * Returns 1 if no large answer is in transit, waits or is expected. A request
 * is then not to be refused for the size of its own answer: only its answer can
 * correct an expected size that is too high.
 */
int answer_line_is_idle(const struct answer_line *l, int64_t now_ms);

/* Adds a large answer; the caller has set bytes. */
void answer_line_add(struct answer_line *l, struct answer_line_item *item);
/* Removes an answer that is not needed; does nothing if it does not wait. */
void answer_line_remove(struct answer_line *l, struct answer_line_item *item);
/*
 * Returns the next answer to send, which counts as sent, or NULL. Sets *wait_ms
 * to the time after which another one may be sent; -1 if none waits.
 */
struct answer_line_item *answer_line_next(struct answer_line *l, int64_t now_ms,
					  int64_t *wait_ms);

#endif
