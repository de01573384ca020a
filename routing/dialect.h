#ifndef ROUTING_DIALECT_H
#define ROUTING_DIALECT_H

#include "common/err.h"

#include <stddef.h>

/*
 * Names and conventions of HTTP messages between callers, the router and
 * targets. One table for the product's own interface; platforms with other
 * names bring their own. NULL: there is no such header.
 */
struct dialect {
	/* Requests of callers. */
	const char *deadline;	/* milliseconds that the caller will wait */
	const char *request_id; /* caller's id of one attempt, echoed */
	const char *tenant;
	/* Requests to targets, besides the deadline. */
	const char *fence;
	const char *slot;
	const char *not_after;
	const char *attempt;
	const char *expected_target; /* any other target refuses */
	const char *caller;	     /* service where the request began */
	/* Answers of targets. */
	const char *refused; /* states that the request did not run */
	const char *seal;    /* a success without it is no answer */
	const char *load;    /* "RUNNING,WAITING,PLACES" */
	/* Status codes of a target that state that nothing ran; 0-ended. */
	const unsigned *refused_statuses;
	/* An answer may end with its connection. */
	int unframed_answers;
	/* The router states outcome, owner, attempt and map revision. */
	int adds_outcome_headers;
	/* Retry-After may have fractions. */
	int fractional_retry_after;
};

extern const struct dialect dialect_native;

/* 1 if the router sets this header itself, whatever a caller sent. */
int dialect_sets_header(const struct dialect *d, const char *name);

#endif
