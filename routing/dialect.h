#ifndef ROUTING_DIALECT_H
#define ROUTING_DIALECT_H

#include "common/err.h"

#include <stddef.h>

/*
 * A dialect lists the header names and conventions of the HTTP messages
 * between callers, the router and targets. dialect_native is the router's own
 * one; a platform whose header names differ defines another. A header name
 * that is NULL does not exist in the dialect.
 */
struct dialect {
	/* Headers of a caller's request. */

	/* How long the caller waits, in milliseconds. */
	const char *deadline;
	/* The caller's id of this request; error answers return it. */
	const char *request_id;
	const char *tenant;

	/* Headers of a request to a target; deadline is sent as well. */

	/* Fencing token of the key's slot; it never decreases. */
	const char *fence;
	const char *slot; /* number of the slot that holds the key */
	/* End of this node's right to the slot, in ns of CLOCK_BOOTTIME. */
	const char *not_after;
	const char *attempt;	     /* id of the attempt, in hexadecimal */
	const char *expected_target; /* id of the only target that may run it */
	const char *caller;	     /* service of the VM that sent it */

	/* Headers of a target's answer. */

	/* "1" with a status from 400: the target did not run the request. */
	const char *refused;
	/* A success without it is not taken as the target's answer. */
	const char *seal;
	const char *load; /* the target's load: "RUNNING,WAITING,PLACES" */
	/*
	 * Requests a second, a decimal number, that the target takes from all
	 * nodes together, for as long as its answers say so.
	 */
	const char *rate_limit;
	const char *leaving; /* "1": the target is about to leave */

	/*
	 * Statuses with which a target states that it did not run the request;
	 * the list ends with 0.
	 */
	const unsigned *refused_statuses;
	/*
	 * 1 if the close of the connection may end an answer that states no
	 * length.
	 */
	int unframed_answers;
	/* 1 if answers to callers state outcome, owner, attempt and map. */
	int adds_outcome_headers;
	/* 1 if Retry-After to callers may be a fraction of a second. */
	int fractional_retry_after;
};

/* The dialect whose header names start with "Monsoonpin-". */
extern const struct dialect dialect_native;

/*
 * Returns 1 if the router itself sets the header in requests to targets. A
 * header of that name in a caller's request must not be forwarded.
 */
int dialect_sets_header(const struct dialect *d, const char *name);

#endif
