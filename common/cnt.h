#ifndef COMMON_CNT_H
#define COMMON_CNT_H

#include "common/buf.h"
#include "common/hist.h"

#include <uthash.h>

/*
 * Counters, gauges and histograms of one process, by name and labels. A series
 * is one name with one set of labels. labels is the text of the labels as it is
 * written, such as service="kiln",tenant="a", or "".
 *
 * cnt_write writes them in the text format of Prometheus: with the prefix
 * "monsoonpin_", with the suffix "_total" for counters, with cumulative buckets
 * for histograms, and with times in seconds for names that end in _us or _ms.
 *
 * The number of series is limited to CNT_MAX_SERIES. Values for further labels
 * are added to the series of the same name with the labels overflow="1".
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
/* Frees all series. */
void cnt_finish(struct cnt *c);

/*
 * The next four functions create the series at its first use. They do nothing
 * if out of memory.
 */

/* Adds n to a counter. */
void cnt_add(struct cnt *c, const char *name, const char *labels, uint64_t n);
/* Sets a counter to a total that is kept elsewhere. */
void cnt_set(struct cnt *c, const char *name, const char *labels, uint64_t n);
/* Sets a gauge, i.e. a value that may decrease. */
void cnt_gauge(struct cnt *c, const char *name, const char *labels, uint64_t n);
/* Adds one sample to a histogram; the name ends in the unit, e.g. _us. */
void cnt_sample(struct cnt *c, const char *name, const char *labels,
		uint64_t value);
/*
 * Returns the histogram that cnt_sample adds to, for callers that add often, or
 * NULL without memory. It is valid until cnt_finish.
 */
struct hist *cnt_hist(struct cnt *c, const char *name, const char *labels);
/* Returns the value of a counter or gauge, 0 if it does not exist. */
uint64_t cnt_get(const struct cnt *c, const char *name, const char *labels);
/* Appends all series to out, sorted by name and labels. */
void cnt_write(struct cnt *c, struct buf *out);

#endif
