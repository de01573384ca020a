#ifndef COMMON_HIST_H
#define COMMON_HIST_H

#include <stdint.h>

/*
 * Histogram with 16 buckets for each power of two, so that a percentile is
 * within about 6% of the true value. Unit is the caller's, usually
 * microseconds.
 */
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
void hist_merge(struct hist *h, const struct hist *other);
/* Values up to this one, within the width of a bucket. */
uint64_t hist_count_to(const struct hist *h, uint64_t value);
/* Upper bound of the bucket that holds quantile q, 0 < q <= 1; 0 if empty. */
uint64_t hist_quantile(const struct hist *h, double q);

#endif
