#ifndef COMMON_CNT_H
#define COMMON_CNT_H

#include "common/buf.h"
#include "common/hist.h"

#include <uthash.h>

/*
 * Counters, gauges and histograms of one process, by name and labels. Written
 * in the text format of Prometheus: the prefix "monsoonpin_", "_total" behind
 * counters, times in seconds (names here end in _us or _ms), cumulative
 * buckets. Labels are a ready-made string such as service="kiln",tenant="a",
 * or "". The number of label sets of one process is bounded by CNT_MAX_SERIES;
 * what comes later is counted under the labels overflow="1".
 */
#define CNT_MAX_SERIES 4096

struct cnt_series {
	char *key; /* name{labels} */
	uint64_t value;
	int gauge;
	struct hist *hist; /* NULL for a counter or gauge */
	UT_hash_handle hh;
};

struct cnt {
	struct cnt_series *series;
};

void cnt_init(struct cnt *c);
void cnt_finish(struct cnt *c);
void cnt_add(struct cnt *c, const char *name, const char *labels, uint64_t n);
void cnt_set(struct cnt *c, const char *name, const char *labels, uint64_t n);
/* A value that may fall. */
void cnt_gauge(struct cnt *c, const char *name, const char *labels, uint64_t n);
/* Adds one sample to a histogram; the name carries the unit, e.g. _us. */
void cnt_sample(struct cnt *c, const char *name, const char *labels,
		uint64_t value);
uint64_t cnt_get(const struct cnt *c, const char *name, const char *labels);
void cnt_write(struct cnt *c, struct buf *out);

#endif
