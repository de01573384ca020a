#ifndef LIMITS_ADMISSION_H
#define LIMITS_ADMISSION_H

#include "limits/cold_limit.h"
#include "limits/rate_limit.h"

#include <stdint.h>
#include <uthash.h>

/*
 * Admission control in front of one target (a back end): a concurrency limit,
 * a rate limit, a bounded queue, and a bound on one tenant's share of places.
 * The module has no clock: the time is an argument, in milliseconds of one
 * clock that never runs backwards.
 *
 * A place is room for one request: `limit` places to run and `queue` places
 * to wait. A request has two times: at its deadline it is dropped; after its
 * soft deadline the answer is worth less to the caller.
 *
 * Queued requests run in the order of their rank, those of equal rank in the
 * order of their arrival. Service times are averaged for each kind of
 * request: a short request may meet its deadline behind long ones although
 * the average over both kinds says that it cannot.
 *
 * Invariants: running <= limit; queued <= queue, not counting displaced items
 * (after either bound has been lowered, a count above it does not grow); an
 * item is running, queued or neither.
 */

enum admission_decision {
	ADMISSION_RUN,	 /* dispatch it now */
	ADMISSION_QUEUE, /* admission_next or admission_expire returns it */
	ADMISSION_SHED,	 /* refused; see admission_retry_after_ms */
};

/*
 * Largest part of the places for calls while other requests wait. Where calls
 * need 46 to 69 of 108 places and others 39 to 58 (at the mean and at the peak
 * of a wave), the calls have all that they need and the others two thirds; a
 * fault that multiplies the calls leaves the others a third of the places. The
 * share is one of places, not of requests begun: calls are four times as short,
 * and of three calls for each other request begun a third would be shed at that
 * peak.
 */
#define ADMISSION_CALL_SHARE (2. / 3)
/*
 * The same share where a rate keeps places free: it limits the requests begun,
 * so that calls would never have their share of the places.
 */
#define ADMISSION_CALLS_PER_OTHER 2

/*
 * Queued requests are ordered by priority, then those whose soft deadline has
 * not passed before those whose has, then by soft deadline. Calls are before
 * all others.
 */
struct admission_rank {
	uint32_t priority;	  /* 0 is the highest */
	int64_t soft_deadline_ms; /* INT64_MAX: none */
	uint32_t kind; /* requests with similar service times; 0: unknown */
};

/*
 * Most kinds with service times of their own. When another one is added, the
 * kind that was added first is dropped.
 */
#define ADMISSION_MAX_KINDS 64

/* Service time of one kind of request. */
struct admission_kind {
	uint32_t id;
	double service_ms; /* moving average of the service time */
	double spread_ms;  /* moving average of the distance from service_ms */
	UT_hash_handle hh;
};

enum admission_state { ADMISSION_NONE, ADMISSION_QUEUED, ADMISSION_RUNNING };

/* One request, embedded in the caller's record of it. */
struct admission_item {
	int64_t arrived_ms;
	int64_t started_ms; /* when it began to run; 0: not yet */
	int64_t deadline_ms;
	struct admission_rank rank;
	int is_call; /* submitted by admission_submit_call */
	struct admission_tenant *tenant;
	enum admission_state state;
	/*
	 * Another request has taken its place in the queue: admission_expire
	 * returns this one.
	 */
	int displaced;
	struct admission_item *prev;
	struct admission_item *next;
};

struct admission_tenant {
	char name[64];
	uint32_t places; /* requests running and queued */
	UT_hash_handle hh;
};

struct admission {
	uint32_t limit;		/* most requests that may run */
	uint32_t queue;		/* most requests that may wait */
	double tenant_share;	/* of limit + queue; 0 < share <= 1 */
	struct rate_limit rate; /* of the requests that begin to run */
	struct cold_limit cold; /* the same, while the target is cold */
	uint32_t running;
	uint32_t queued;
	/* Parts of the two above. */
	uint32_t running_calls;
	uint32_t queued_calls;
	/* Calls from the queue that began to run since the last other one. */
	uint32_t started_calls;
	double service_ms;     /* moving average over all kinds; 0: unknown */
	int64_t full_since_ms; /* since when running >= limit; 0: it is not */
	struct admission_item *head;
	struct admission_tenant *tenants;
	struct admission_kind *kinds;
};

/* Sets up *a; the arguments are those of admission_set_limits. */
void admission_init(struct admission *a, uint32_t limit, uint32_t queue,
		    double tenant_share);
/* Frees the tables. The items belong to the caller. */
void admission_finish(struct admission *a);
/*
 * Sets the number of places to run and to wait, and the part of both that one
 * tenant may have (at least one place). Requests that are running or queued
 * keep their places.
 */
void admission_set_limits(struct admission *a, uint32_t limit, uint32_t queue,
			  double tenant_share);

/*
 * Limits the requests that begin to run in a second; those that cannot run in
 * time are shed as if places were short. per_s may be 0, see rate_limit_set.
 */
void admission_set_rate(struct admission *a, double per_s, int64_t now_ms);
/* Ends the limit of admission_set_rate. */
void admission_clear_rate(struct admission *a);
/*
 * Does the same for a target that is cold; 0: it is not. Both limits hold, see
 * limits/cold_limit.h. The caller counts what it sends and checks it before.
 */
void admission_set_cold_rate(struct admission *a, double per_s, int64_t now_ms);
/* Returns the lower one of both limits; 0: none. */
double admission_rate(const struct admission *a);
/*
 * Returns the requests that can run at a time: the limit, or fewer if the rate
 * keeps that many from being busy, but at least 1 unless the limit is 0.
 */
uint32_t admission_usable_places(const struct admission *a);

/*
 * Admits or sheds a request that has no rank and arrives at now_ms. It is shed
 * if its deadline has passed or is expected to pass while it waits or runs, if
 * the queue is full, if the tenant has its share of places, or if memory is
 * short. Sets up *item, which must stay valid until admission_done,
 * admission_expire or admission_remove has released it; a shed item is not
 * kept.
 */
enum admission_decision admission_submit(struct admission *a,
					 struct admission_item *item,
					 const char *tenant, int64_t now_ms,
					 int64_t deadline_ms);
/*
 * Does the same for a request with a rank. It is also shed if it would have
 * to wait and then miss its soft deadline, so that the capacity goes to
 * requests that can meet theirs; one whose soft deadline has already passed
 * may wait behind at most limit / 4 others. If the queue is full and the
 * request ranks before a queued one, the last queued request is displaced.
 */
enum admission_decision
admission_submit_ranked(struct admission *a, struct admission_item *item,
			const char *tenant, int64_t now_ms, int64_t deadline_ms,
			const struct admission_rank *rank);
/*
 * Does the same for a call. Its soft deadline does not count: the run that
 * waits for it is served by an answer at any time before its deadline. It is
 * also shed if calls have their share of the places to wait.
 */
enum admission_decision
admission_submit_call(struct admission *a, struct admission_item *item,
		      const char *tenant, int64_t now_ms, int64_t deadline_ms,
		      const struct admission_rank *rank);
/*
 * Returns 1 if a request whose body arrives only after_ms after now_ms would
 * probably be shed then or miss its soft deadline, else 0. The deadline is a
 * time of the same clock as now_ms.
 */
int admission_would_shed_after(const struct admission *a,
			       const struct admission_rank *rank,
			       int64_t now_ms, int64_t deadline_ms,
			       int64_t after_ms);
/* Does the same for a call, whose soft deadline does not count. */
int admission_would_shed_call_after(const struct admission *a,
				    const struct admission_rank *rank,
				    int64_t now_ms, int64_t deadline_ms,
				    int64_t after_ms);
/*
 * Notes that a running request has ended, and adds its service time to the
 * averages. Does nothing if the item is not running.
 */
void admission_done(struct admission *a, struct admission_item *item,
		    int64_t now_ms);
/*
 * Returns the next queued request to dispatch, which then counts as running;
 * NULL if a limit is reached or no queued request may run. With a rate limit,
 * the time alone may let the next one run: call it again later.
 */
struct admission_item *admission_next(struct admission *a, int64_t now_ms);
/*
 * Removes and returns a queued request that is no longer worth running: its
 * deadline has passed, it was displaced, or it would miss its soft deadline
 * while that of the first one in the queue that is not a call has not passed.
 * Returns NULL if there is none; call it until then.
 */
struct admission_item *admission_expire(struct admission *a, int64_t now_ms);
/* Removes a cancelled item from the queue; does nothing if it is not queued. */
void admission_remove(struct admission *a, struct admission_item *item);
/*
 * Returns the moving average of the service time of this kind of request in
 * milliseconds; 0: unknown.
 */
double admission_kind_service_ms(const struct admission *a, uint32_t kind);
/*
 * Returns the expected time in milliseconds, at least 1, until a request behind
 * the whole queue may run; for Retry-After.
 */
uint32_t admission_retry_after_ms(const struct admission *a, int64_t now_ms);

#endif
