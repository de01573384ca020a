#ifndef LIMITS_ADM_H
#define LIMITS_ADM_H

#include <stdint.h>
#include <uthash.h>

/*
 * Admission in front of one target: a concurrency limit, a bounded queue and
 * a bound on one tenant's share of both. Pure: the time is an argument, in
 * milliseconds of one clock.
 *
 * Waiting requests run in the order of their rank, equal ones in the order of
 * their arrival. What a request needs is known by its kind: a short one may be
 * in time behind long ones, though the average of both is not.
 *
 * Invariants: running <= limit (after a fall of the limit: running does not
 * grow); queued <= queue; an item is in exactly one of running, queue, none.
 */

enum admission_decision {
	ADMISSION_RUN,	 /* hand it over now */
	ADMISSION_QUEUE, /* admission_next will return it */
	ADMISSION_SHED,	 /* refused; see admission_retry_after_ms */
};

/*
 * Order of waiting requests: by priority, then those whose answer can still
 * have its full value before those whose cannot, then by the end of that time.
 */
struct admission_rank {
	uint32_t priority;	  /* 0 is the highest */
	int64_t soft_deadline_ms; /* end of the time of full value; INT64_MAX:
				     none */
	uint32_t kind;		  /* requests that take alike; 0: of no kind */
};

/* Kinds with a time of their own; the oldest goes when there are more. */
#define ADMISSION_MAX_KINDS 64

struct admission_kind {
	uint32_t id;
	double service_ms; /* moving average of an ended request's time */
	double spread_ms;  /* of its distance from that average */
	UT_hash_handle hh;
};

enum admission_state { ADMISSION_NONE, ADMISSION_QUEUED, ADMISSION_RUNNING };

/* Embedded in the caller's request. */
struct admission_item {
	int64_t arrived_ms;
	int64_t started_ms; /* when it became running */
	int64_t deadline_ms;
	struct admission_rank rank;
	struct admission_tenant *tenant;
	enum admission_state state;
	int displaced; /* another one took its place: admission_expire returns
			  it */
	struct admission_item *prev;
	struct admission_item *next;
};

struct admission_tenant {
	char name[64];
	uint32_t places; /* running and queued */
	UT_hash_handle hh;
};

struct admission {
	uint32_t limit;
	uint32_t queue;
	double tenant_share; /* 0 < share <= 1 of limit + queue */
	uint32_t running;
	uint32_t queued;
	double service_ms;     /* same average over all kinds */
	int64_t full_since_ms; /* since when all places are taken; 0: not */
	struct admission_item *head;
	struct admission_tenant *tenants;
	struct admission_kind *kinds;
};

void admission_init(struct admission *a, uint32_t limit, uint32_t queue,
		    double tenant_share);
void admission_finish(struct admission *a);
void admission_set_limits(struct admission *a, uint32_t limit, uint32_t queue,
			  double tenant_share);

/*
 * One request arrives. Refused if the queue is full, if the tenant has its
 * share, or if the expected wait reaches past the deadline.
 */
enum admission_decision admission_submit(struct admission *a,
					 struct admission_item *item,
					 const char *tenant, int64_t now_ms,
					 int64_t deadline_ms);
/*
 * Same with a rank. A request that would wait past the time of its full value
 * is refused if others wait, so that capacity goes to those that are in time;
 * a full queue gives up its last request for one that comes before it.
 */
enum admission_decision
admission_submit_ranked(struct admission *a, struct admission_item *item,
			const char *tenant, int64_t now_ms, int64_t deadline_ms,
			const struct admission_rank *rank);
/*
 * 1 if a request whose body is here only after_ms later would be refused then,
 * as far as can be told now, or be of no full value any more.
 */
int admission_would_shed_after(const struct admission *a,
			       const struct admission_rank *rank,
			       int64_t now_ms, int64_t deadline_ms,
			       int64_t after_ms);
/* A running request ended. */
void admission_done(struct admission *a, struct admission_item *item,
		    int64_t now_ms);
/* Next queued request to hand over, now running; NULL if none may run. */
struct admission_item *admission_next(struct admission *a, int64_t now_ms);
/*
 * A queued request that is not worth waiting any more, removed; NULL if none:
 * its deadline has passed, another took its place, or its answer would be late
 * while others can still be in time.
 */
struct admission_item *admission_expire(struct admission *a, int64_t now_ms);
/* Removes a queued item (cancelled). */
void admission_remove(struct admission *a, struct admission_item *item);
/* Expected time until a place is free, for Retry-After. */
uint32_t admission_retry_after_ms(const struct admission *a);

#endif
