#ifndef STANDINS_COMMON_REPORT_H
#define STANDINS_COMMON_REPORT_H

#include "common/err.h"
#include "common/hist.h"

#include <stdio.h>
#include <uthash.h>

/*
 * What a load generator measured: latency by class of request, requests by
 * outcome and status, and percentiles over time. Latencies are in
 * microseconds from the time at which a request was meant to be sent.
 */

#define COMMON_REPORT_INTERVALS 200

enum report_outcome {
	REPORT_ANSWERED,
	REPORT_NOT_RUN,
	REPORT_UNKNOWN,
	REPORT_NONE,	/* no whole answer was heard */
	REPORT_MISSING, /* an answer that states no outcome */
	REPORT_UNSENT,	/* the generator had too many open requests */
	REPORT_OUTCOMES
};

struct common_report_class {
	char *name;
	uint64_t outcomes[REPORT_OUTCOMES];
	struct hist answered;
	struct hist other;
	UT_hash_handle hh;
};

struct common_report_interval {
	uint64_t answered;
	uint64_t other;
	struct hist latency; /* of answered requests */
};

struct common_report {
	struct common_report_class *classes;
	struct common_report_interval *intervals;
	int64_t interval_ms;
	int64_t length_ms;
	uint64_t status_counts[600];
};

/* Name as in Monsoonpin-Outcome; "none", "missing" or "unsent" for the rest. */
const char *common_report_outcome_name(enum report_outcome o);
/* REPORT_MISSING for a name that is not an outcome. */
enum report_outcome common_report_parse_outcome(const char *name);

enum err common_report_init(struct common_report *r, int64_t length_ms);
void common_report_finish(struct common_report *r);
/* at_ms: intended send time, from the start of the load. */
void common_report_add(struct common_report *r, const char *class_name,
		       enum report_outcome outcome, int status,
		       uint64_t latency_us, int64_t at_ms);
uint64_t common_report_count(const struct common_report *r,
			     enum report_outcome outcome);
void common_report_write_text(const struct common_report *r, FILE *out);
/* Median, 99th percentile and largest latency over time. */
enum err common_report_write_svg(const struct common_report *r,
				 const char *path, struct err_info *info);

#endif
