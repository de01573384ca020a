#ifndef COMMON_STEP_H
#define COMMON_STEP_H

#include "common/cnt.h"
#include "common/err.h"

#include <ev.h>

/*
 * Measures the steps of an event loop. A step is all that the loop does between
 * two waits for events; nothing else of the process runs meanwhile.
 *
 * The metric loop_step_us has the processor time of each step. A step of more
 * than STEP_LONG_US writes the event "step_long" with the part of it that took
 * longest, at most one line each STEP_LOG_MS; the next line counts those that
 * were left out.
 *
 * There is one meter in a process. Without one, step_enter does nothing.
 */

#define STEP_LONG_US 5000
#define STEP_LOG_MS 1000
#define STEP_PERIOD_MS 10000

struct step_meter {
	struct ev_loop *loop;
	struct hist *steps; /* of struct cnt */
	ev_prepare before_wait;
	ev_check after_wait;
	int64_t cpu_ns;	       /* processor time at the end of the last step */
	int64_t step_start_ns; /* by clk_ns */
	int64_t previous_start_ns;
	/* The longest steps, by clk_ns, of this period and the one before. */
	int64_t longest_step_ns[2];
	int64_t period_start_ns;
	int64_t part_start_ns; /* of the present part, by clk_ns */
	int64_t longest_ns;    /* the longest part of this step */
	const char *part;
	const char *longest_part;
	int64_t logged_ms;
	unsigned unlogged; /* long steps without a line since then */
};

/* cnt must outlive the meter. Returns ERR_OK or ERR_NOMEM. */
enum err step_meter_init(struct step_meter *m, struct ev_loop *loop,
			 struct cnt *cnt);
void step_meter_finish(struct step_meter *m);
/*
 * Returns the start of the step before the present one, in milliseconds of
 * clk_ms. An event that is handled in this step, such as a signal, happened
 * after it.
 */
int64_t step_meter_previous_ms(const struct step_meter *m);
/*
 * Returns the time in milliseconds that the longest step of the last
 * STEP_PERIOD_MS or up to twice as long took, with the time that the process
 * waited for a processor.
 */
int64_t step_meter_longest_ms(const struct step_meter *m);
/*
 * Begins a part of the present step; it ends with the next part or the step.
 * Callbacks of the loop call this first. name is not copied.
 */
void step_enter(const char *name);

#endif
