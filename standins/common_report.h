#ifndef STANDINS_COMMON_REPORT_H
#define STANDINS_COMMON_REPORT_H

#include "common/err.h"
#include "common/hist.h"

#include <stdio.h>
#include <uthash.h>

/*
 * Results of a load generator: latency by class of request, requests by
 * outcome and HTTP status, and percentiles over time. Latencies are in
 * microseconds and count from the time at which a request was meant to be
 * sent, so that they include delays of the generator.
 */

/* Number of equal parts that the time of the load is split into. */
#define COMMON_REPORT_INTERVALS 200

enum report_outcome {
	REPORT_ANSWERED,
	REPORT_NOT_RUN,
	REPORT_UNKNOWN,
	REPORT_NONE,	/* the caller got no complete answer */
	REPORT_MISSING, /* the answer states no known outcome */
	REPORT_UNSENT,	/* not sent: too many requests were in flight */
	REPORT_OUTCOMES
};

/* Requests of one class, e.g. of one service and method. */
struct common_report_class {
	char *name;
	uint64_t outcomes[REPORT_OUTCOMES]; /* requests by outcome */
	struct hist answered;		    /* latencies of answered requests */
	struct hist other; /* latencies of all other requests */
	UT_hash_handle hh;
};

/* Requests that were meant to be sent in one interval. */
struct common_report_interval {
	uint64_t answered;
	uint64_t other;
	struct hist latency; /* of answered requests */
};

struct common_report {
	struct common_report_class *classes;
	struct common_report_interval *intervals; /* COMMON_REPORT_INTERVALS */
	int64_t interval_ms;			  /* length of an interval */
	int64_t length_ms;			  /* length of the load */
	uint64_t status_counts[600];		  /* answers by HTTP status */
};

/*
 * Returns the name as in the header Monsoonpin-Outcome, or "none", "missing" or
 * "unsent" for the values that only a load generator has.
 */
const char *common_report_outcome_name(enum report_outcome o);
/* Returns the outcome of this name; REPORT_MISSING if there is none. */
enum report_outcome common_report_parse_outcome(const char *name);

/* length_ms is the length of the load. Returns ERR_NOMEM on failure. */
enum err common_report_init(struct common_report *r, int64_t length_ms);
/* Frees all that r holds. */
void common_report_finish(struct common_report *r);
/*
 * Adds one request. status is 0 without an answer; at_ms is the time from the
 * start of the load at which the request was meant to be sent.
 */
void common_report_add(struct common_report *r, const char *class_name,
		       enum report_outcome outcome, int status,
		       uint64_t latency_us, int64_t at_ms);
/* Returns the number of requests with this outcome. */
uint64_t common_report_count(const struct common_report *r,
			     enum report_outcome outcome);
/* Writes counts, percentiles and histograms as text. */
void common_report_write_text(const struct common_report *r, FILE *out);
/*
 * Plots the median, 99th percentile and largest latency over time into an SVG
 * file. Returns ERR_SYSTEM, with info filled, if the file cannot be written.
 */
enum err common_report_write_svg(const struct common_report *r,
				 const char *path, struct err_info *info);

#endif
