#ifndef STANDINS_COMMON_STUTTER_H
#define STANDINS_COMMON_STUTTER_H

#include "common/buf.h"
#include "transport/httpd.h"

#include <glib.h>

/*
 * Answers of a target in trouble: its connection stays open and carries bytes
 * of other answers beside the own one. While the mode is on, a share of the
 * answers (percent) is written in one of these ways:
 *
 *  - twice: the whole answer, and once more right behind it;
 *  - late: a whole earlier answer, then the own one;
 *  - cut: the first bytes of an earlier answer, then the whole own one;
 *  - cut_other: the same, and the earlier answer had another status;
 *  - cut_own: the first bytes of the own answer, then the whole own one.
 *
 * Some of them are sent in several segments. Earlier answers are those that
 * this process gave while the mode was on, on any connection.
 *
 * Without ids in answers, a caller cannot tell some of these from a proper
 * answer. Then there are no late answers, no second answer in several segments
 * (its end would be late), and no cuts in a body whose missing bytes are as
 * many as the next head or more: such a body ends as any other body. With or
 * without ids, an answer that was cut in its body goes in one segment: the end
 * of such a body at the end of a segment has nothing behind it that shows the
 * cut.
 *
 * The target also answers some requests with 500 and refuses some, so that
 * answers differ in their status.
 *
 * The mode is switched while the target runs, and its counts are read, by
 *
 *	GET /control/stutter?percent=N
 *
 * with N from 0 (off) to 100; without N it changes nothing. The answer has a
 * line "KIND COUNT" for each way above.
 */

enum common_stutter_kind {
	COMMON_STUTTER_TWICE,
	COMMON_STUTTER_LATE,
	COMMON_STUTTER_CUT,
	COMMON_STUTTER_CUT_OTHER,
	COMMON_STUTTER_CUT_OWN,
	COMMON_STUTTER_KINDS
};

/* Earlier answers that are kept as sources. */
#define COMMON_STUTTER_EARLIER 16
/* Longer answers are neither kept nor written in these ways. */
#define COMMON_STUTTER_MAX_BYTES (64 * 1024)

struct common_stutter_answer {
	struct buf bytes;
	size_t head_len;
	unsigned status;
};

struct common_stutter_send;

struct common_stutter {
	struct ev_loop *loop;
	GRand *rand;
	int has_ids;	  /* answers repeat the id of their request */
	unsigned percent; /* 0: off */
	struct common_stutter_answer earlier[COMMON_STUTTER_EARLIER];
	size_t earlier_count; /* answers so far; the oldest is replaced */
	size_t counts[COMMON_STUTTER_KINDS];
	struct common_stutter_send *sends; /* answers with unsent segments */
};

void common_stutter_init(struct common_stutter *s, struct ev_loop *loop,
			 unsigned seed, unsigned percent, int has_ids);
/* Call it after httpd_finish. */
void common_stutter_finish(struct common_stutter *s);
/*
 * Answers a request to /control/stutter and returns 1; returns 0 for any other
 * request.
 */
int common_stutter_control(struct common_stutter *s, struct httpd_request *r);
/* Returns 1 if a request is to be refused, which happens while the mode is on.
 */
int common_stutter_chooses_refusal(struct common_stutter *s);
/* Returns the status of a request that ran: 200 or, while the mode is on, 500.
 */
unsigned common_stutter_choose_status(struct common_stutter *s);
/* As httpd_answer, in the ways above while the mode is on. */
void common_stutter_answer(struct common_stutter *s, struct httpd_request *r,
			   unsigned status, const struct httpd_header *headers,
			   size_t header_count, const void *body,
			   size_t body_len);
/* Call it for each request in completed(). */
void common_stutter_completed(struct common_stutter *s,
			      const struct httpd_request *r);

#endif
