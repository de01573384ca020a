#ifndef COMMON_ERR_H
#define COMMON_ERR_H

/*
 * Error codes. Functions return enum err; those that can also describe the
 * error in text take a struct err_info, which may be NULL.
 */

enum err {
	ERR_OK = 0,
	ERR_NOMEM,
	ERR_SYSTEM,	 /* a system call failed; detail names it */
	ERR_TIMEOUT,	 /* no answer in time; may have taken effect */
	ERR_CLOSED,	 /* connection closed */
	ERR_REFUSED,	 /* connection refused */
	ERR_MALFORMED,	 /* input does not decode */
	ERR_TOO_LARGE,	 /* input exceeds a limit */
	ERR_RANGE,	 /* value outside of its range */
	ERR_UNKNOWN_KEY, /* unknown setting or document key */
	ERR_TYPE,	 /* value of the wrong type */
	ERR_NOT_FOUND,
	ERR_CONFLICT,	    /* a compare-and-swap failed */
	ERR_STORE_DOWN,	    /* store unreachable or failing */
	ERR_NOT_OWNER,	    /* slot belongs to another node */
	ERR_NO_GRANT,	    /* no grant, or it has ended */
	ERR_RELEASING,	    /* slot is being released */
	ERR_STALE,	    /* map, document, term or revision too old */
	ERR_SHED,	    /* refused by admission control (overload) */
	ERR_DEADLINE,	    /* deadline passed before the target was called */
	ERR_BUDGET,	    /* retry budget empty */
	ERR_NO_TARGET,	    /* no target announced, or it has left */
	ERR_TARGET_REFUSED, /* target refused to run the request */
	ERR_INCOMPLETE,	    /* answer was cut off */
	ERR_NO_SERVICE,	    /* no service has this prefix */
	ERR_NO_KEY,	    /* request carries no key */
	ERR_NO_REGION,	    /* no target in the regions of the route */
	ERR_COUNT
};

struct err_info {
	enum err code;
	char detail[240];
};

/*
 * Returns the lower-case name for logs, metrics and JSON, e.g. "not_owner".
 * Names do not change between versions.
 */
const char *err_name(enum err code);

/*
 * Returns the code for the errno with which a TCP connection could not be
 * opened or has ended. ERR_REFUSED stands for ECONNREFUSED alone: nothing
 * listened at the address. A reset comes from a process that is up.
 */
enum err err_from_socket(int error);

/* Fills info unless it is NULL; returns code, so that callers can return it. */
enum err err_set(struct err_info *info, enum err code, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#endif
