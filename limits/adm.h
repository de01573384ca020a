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

enum adm_verdict {
	ADM_RUN,   /* hand it over now */
	ADM_QUEUE, /* adm_next will return it */
	ADM_SHED,  /* refused; see adm_retry_after_ms */
};

/*
 * Order of waiting requests: by priority, then those whose answer can still
 * have its full value before those whose cannot, then by the end of that time.
 */
struct adm_rank {
	uint32_t priority; /* 0 is the highest */
	int64_t value_ms;  /* end of the time of full value; INT64_MAX: none */
	uint32_t kind;	   /* requests that take alike; 0: of no kind */
};

/* Kinds with a time of their own; the oldest goes when there are more. */
#define ADM_MAX_KINDS 64

struct adm_kind {
	uint32_t id;
	double service_ms; /* moving average of an ended request's time */
	double spread_ms;  /* of its distance from that average */
	UT_hash_handle hh;
};

enum adm_state { ADM_NONE, ADM_QUEUED, ADM_RUNNING };

/* Embedded in the caller's request. */
struct adm_item {
	int64_t arrived_ms;
	int64_t started_ms; /* when it became running */
	int64_t deadline_ms;
	struct adm_rank rank;
	struct adm_tenant *tenant;
	enum adm_state state;
	int displaced; /* another one took its place: adm_expire returns it */
	struct adm_item *prev;
	struct adm_item *next;
};

struct adm_tenant {
	char name[64];
	uint32_t places; /* running and queued */
	UT_hash_handle hh;
};

struct adm {
	uint32_t limit;
	uint32_t queue;
	double tenant_share; /* 0 < share <= 1 of limit + queue */
	uint32_t running;
	uint32_t queued;
	double service_ms; /* same average over all kinds */
	int64_t full_ms;   /* since when all places are taken; 0: not */
	struct adm_item *head;
	struct adm_tenant *tenants;
	struct adm_kind *kinds;
};

void adm_init(struct adm *a, uint32_t limit, uint32_t queue,
	      double tenant_share);
void adm_finish(struct adm *a);
void adm_set(struct adm *a, uint32_t limit, uint32_t queue,
	     double tenant_share);

/*
 * One request arrives. Refused if the queue is full, if the tenant has its
 * share, or if the expected wait reaches past the deadline.
 */
enum adm_verdict adm_submit(struct adm *a, struct adm_item *item,
			    const char *tenant, int64_t now_ms,
			    int64_t deadline_ms);
/*
 * Same with a rank. A request that would wait past the time of its full value
 * is refused if others wait, so that capacity goes to those that are in time;
 * a full queue gives up its last request for one that comes before it.
 */
enum adm_verdict adm_submit_ranked(struct adm *a, struct adm_item *item,
				   const char *tenant, int64_t now_ms,
				   int64_t deadline_ms,
				   const struct adm_rank *rank);
/*
 * 1 if a request whose body is here only after_ms later would be refused then,
 * as far as can be told now, or be of no full value any more.
 */
int adm_is_hopeless_after(const struct adm *a, const struct adm_rank *rank,
			  int64_t now_ms, int64_t deadline_ms,
			  int64_t after_ms);
/* A running request ended. */
void adm_done(struct adm *a, struct adm_item *item, int64_t now_ms);
/* Next queued request to hand over, now running; NULL if none may run. */
struct adm_item *adm_next(struct adm *a, int64_t now_ms);
/*
 * A queued request that is not worth waiting any more, removed; NULL if none:
 * its deadline has passed, another took its place, or its answer would be late
 * while others can still be in time.
 */
struct adm_item *adm_expire(struct adm *a, int64_t now_ms);
/* Removes a queued item (cancelled). */
void adm_remove(struct adm *a, struct adm_item *item);
/* Expected time until a place is free, for Retry-After. */
uint32_t adm_retry_after_ms(const struct adm *a);

#endif
