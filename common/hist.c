#include "common/hist.h"

#include <math.h>
#include <string.h>

#define HIST_SUB_BITS 4

void hist_init(struct hist *h)
{
	memset(h, 0, sizeof(*h));
}

static unsigned bucket_index(uint64_t value)
{
	unsigned exponent;
	unsigned index;

	if (value < HIST_SUB)
		return (unsigned)value;
	exponent = 63U - (unsigned)__builtin_clzll(value);
	index = (exponent - HIST_SUB_BITS + 1) * HIST_SUB +
		(unsigned)((value >> (exponent - HIST_SUB_BITS)) &
			   (HIST_SUB - 1));
	return index < HIST_BUCKETS ? index : HIST_BUCKETS - 1;
}

static uint64_t bucket_upper_bound(unsigned index)
{
	unsigned exponent;
	uint64_t sub;

	if (index < HIST_SUB)
		return index;
	exponent = index / HIST_SUB + HIST_SUB_BITS - 1;
	sub = index % HIST_SUB;
	return ((HIST_SUB + sub + 1) << (exponent - HIST_SUB_BITS)) - 1;
}

void hist_add(struct hist *h, uint64_t value)
{
	h->count++;
	h->sum += value;
	if (value > h->max)
		h->max = value;
	h->bucket[bucket_index(value)]++;
}

void hist_merge(struct hist *h, const struct hist *other)
{
	h->count += other->count;
	h->sum += other->sum;
	if (other->max > h->max)
		h->max = other->max;
	for (unsigned i = 0; i < HIST_BUCKETS; i++)
		h->bucket[i] += other->bucket[i];
}

uint64_t hist_count_up_to(const struct hist *h, uint64_t value)
{
	uint64_t count = 0;

	for (unsigned i = 0; i < HIST_BUCKETS && bucket_upper_bound(i) <= value;
	     i++)
		count += h->bucket[i];
	return count;
}

uint64_t hist_quantile(const struct hist *h, double q)
{
	uint64_t rank = (uint64_t)ceil(q * (double)h->count);
	uint64_t seen = 0;

	if (!h->count)
		return 0;
	for (unsigned i = 0; i < HIST_BUCKETS; i++) {
		seen += h->bucket[i];
		if (seen >= rank && h->bucket[i]) {
			uint64_t bound = bucket_upper_bound(i);
			return bound < h->max ? bound : h->max;
		}
	}
	return h->max;
}
