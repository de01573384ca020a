#ifndef COMMON_HIST_H
#define COMMON_HIST_H

#include <stdint.h>

/*
 * Histogram with 16 buckets for each power of two, so that a percentile is
 * within about 6% of the true value. The caller chooses the unit, usually
 * microseconds.
 */

/* Buckets for each power of two. */
#define HIST_SUB 16
#define HIST_BUCKETS (40 * HIST_SUB)

struct hist {
	uint64_t count;
	uint64_t sum;
	uint64_t max;
	uint32_t bucket[HIST_BUCKETS];
};

void hist_init(struct hist *h);
void hist_add(struct hist *h, uint64_t value);
/* Adds the samples of other to h. */
void hist_merge(struct hist *h, const struct hist *other);
/*
 * Returns the number of samples up to value; those in the same bucket as value
 * count only if value is the bucket's upper bound.
 */
uint64_t hist_count_up_to(const struct hist *h, uint64_t value);
/*
 * Returns the upper bound of the bucket that holds quantile q (0 < q <= 1), but
 * at most the largest sample; 0 if there are no samples.
 */
uint64_t hist_quantile(const struct hist *h, double q);

#endif
