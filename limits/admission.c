#include "limits/admission.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Weight of one ended request in the moving averages of service time. */
#define ADMISSION_SERVICE_WEIGHT 0.05
#define ADMISSION_RETRY_MIN_MS 1
/*
 * A request past its soft deadline may wait behind at most
 * limit / ADMISSION_LATE_PART others.
 */
#define ADMISSION_LATE_PART 4
/*
 * Safety margin before the soft deadline, as a part of the average service
 * time: without it, a request that is expected to end just in time would be
 * late every other time. On an overloaded target, the spread of the request's
 * kind is used instead: service times exceed their average by more than that
 * about once in five times. Without a kind, the spread is unknown.
 */
#define ADMISSION_SOFT_DEADLINE_MARGIN 0.2
/*
 * A target that has been full for this long is overloaded rather than in a
 * burst: a few times the usual service time (0.1 to 0.5 s). If the spread was
 * the margin in bursts as well, 0.022 of the requests of a normal day would
 * be shed instead of none.
 */
#define ADMISSION_OVERLOAD_MS 1000

void admission_init(struct admission *a, uint32_t limit, uint32_t queue,
		    double tenant_share)
{
	memset(a, 0, sizeof(*a));
	rate_limit_init(&a->rate);
	cold_limit_init(&a->cold);
	admission_set_limits(a, limit, queue, tenant_share);
}

void admission_finish(struct admission *a)
{
	struct admission_tenant *t;
	struct admission_tenant *tmp;
	struct admission_kind *k, *next;

	HASH_ITER(hh, a->tenants, t, tmp) {
		HASH_DEL(a->tenants, t);
		free(t);
	}
	HASH_ITER(hh, a->kinds, k, next) {
		HASH_DEL(a->kinds, k);
		free(k);
	}
	a->head = NULL;
}

void admission_set_limits(struct admission *a, uint32_t limit, uint32_t queue,
			  double tenant_share)
{
	a->limit = limit;
	a->queue = queue;
	a->tenant_share = tenant_share;
}

void admission_set_rate(struct admission *a, double per_s, int64_t now_ms)
{
	rate_limit_set(&a->rate, per_s, now_ms);
}

void admission_clear_rate(struct admission *a)
{
	rate_limit_clear(&a->rate);
}

void admission_set_cold_rate(struct admission *a, double per_s, int64_t now_ms)
{
	cold_limit_set(&a->cold, per_s, now_ms);
}

double admission_rate(const struct admission *a)
{
	double named = a->rate.per_s;
	double cold = a->cold.bucket.per_s;

	if (named <= 0 || cold <= 0)
		return fmax(named, cold);
	return fmin(named, cold);
}

/* Time until both limits allow a request with `ahead` others before it. */
static double rate_wait_ms(const struct admission *a, uint32_t ahead,
			   int64_t now_ms)
{
	return fmax(rate_limit_wait_ms(&a->rate, ahead, now_ms),
		    cold_limit_wait_ms(&a->cold, ahead, now_ms));
}

static void take_rate(struct admission *a, int64_t now_ms)
{
	rate_limit_take(&a->rate, now_ms);
	cold_limit_take(&a->cold, now_ms);
}

uint32_t admission_usable_places(const struct admission *a)
{
	double per_s = admission_rate(a);
	double busy;

	if (per_s <= 0 || a->service_ms <= 0)
		return a->limit;
	busy = ceil(per_s * a->service_ms / 1000);
	return busy < a->limit ? (uint32_t)busy : a->limit;
}

static struct admission_tenant *tenant_find_or_add(struct admission *a,
						   const char *name)
{
	char key[sizeof(((struct admission_tenant *)0)->name)];
	struct admission_tenant *t = NULL;

	snprintf(key, sizeof(key), "%s", name);
	HASH_FIND_STR(a->tenants, key, t);
	if (t)
		return t;
	t = calloc(1, sizeof(*t));
	if (!t)
		return NULL;
	memcpy(t->name, key, sizeof(key));
	HASH_ADD_STR(a->tenants, name, t);
	return t;
}

/* Tenants without a place are dropped, so that the table stays bounded. */
static void tenant_free_if_idle(struct admission *a, struct admission_tenant *t)
{
	if (t->places > 0)
		return;
	HASH_DEL(a->tenants, t);
	free(t);
}

static uint32_t max_tenant_places(const struct admission *a)
{
	double places = floor(a->tenant_share * ((double)a->limit + a->queue));

	return places < 1 ? 1 : (uint32_t)places;
}

/* Expected time until an item with `ahead` queued items before it may run. */
static double expected_wait_ms(const struct admission *a, uint32_t ahead,
			       int64_t now_ms)
{
	double servers = a->limit ? a->limit : 1;
	double place_ms = a->service_ms * (ahead + 1.0) / servers;

	/* What waits for the rate alone finds a free place. */
	if (admission_rate(a) > 0 && a->running + ahead < a->limit)
		place_ms = 0;
	return fmax(place_ms, rate_wait_ms(a, ahead, now_ms));
}

/* May an item begin to run now, with no other before it? */
static int has_capacity(const struct admission *a, int64_t now_ms)
{
	return a->running < a->limit && rate_wait_ms(a, 0, now_ms) <= 0;
}

static struct admission_kind *kind_find(const struct admission *a, uint32_t id)
{
	struct admission_kind *k;

	HASH_FIND(hh, a->kinds, &id, sizeof(id), k);
	return k;
}

static struct admission_kind *kind_find_or_add(struct admission *a, uint32_t id)
{
	struct admission_kind *k = kind_find(a, id);

	if (k)
		return k;
	k = a->kinds;
	if (k && HASH_COUNT(a->kinds) >= ADMISSION_MAX_KINDS) {
		HASH_DEL(a->kinds, k);
		free(k);
	}
	k = calloc(1, sizeof(*k));
	if (!k)
		return NULL;
	k->id = id;
	HASH_ADD(hh, a->kinds, id, sizeof(k->id), k);
	return k;
}

/* Service time of this kind; 0: unknown, so that the first one is let in. */
static double expected_service_ms(const struct admission *a,
				  const struct admission_rank *r)
{
	const struct admission_kind *k;

	if (!r->kind)
		return a->service_ms;
	k = kind_find(a, r->kind);
	return k ? k->service_ms : 0;
}

/* Full for longer than a burst, so that shed requests make room for others. */
static int is_overloaded(const struct admission *a, int64_t now_ms)
{
	return a->full_since_ms &&
	       now_ms - a->full_since_ms >= ADMISSION_OVERLOAD_MS;
}

/* Time by which a request must be expected to end before its soft deadline. */
static double soft_deadline_margin_ms(const struct admission *a,
				      const struct admission_rank *r,
				      int64_t now_ms)
{
	const struct admission_kind *k = r->kind ? kind_find(a, r->kind) : NULL;

	if (k && is_overloaded(a, now_ms))
		return k->spread_ms;
	return expected_service_ms(a, r) * ADMISSION_SOFT_DEADLINE_MARGIN;
}

static void update_full_since(struct admission *a, int64_t now_ms)
{
	if (a->running < a->limit)
		a->full_since_ms = 0;
	else if (!a->full_since_ms)
		a->full_since_ms = now_ms;
}

static int is_past_soft_deadline(const struct admission_rank *r, int64_t now_ms)
{
	return r->soft_deadline_ms <= now_ms;
}

/* Does x run before y, which arrived earlier? */
static int runs_before(const struct admission_rank *x,
		       const struct admission_rank *y, int64_t now_ms)
{
	if (x->priority != y->priority)
		return x->priority < y->priority;
	if (is_past_soft_deadline(x, now_ms) !=
	    is_past_soft_deadline(y, now_ms))
		return is_past_soft_deadline(y, now_ms);
	return x->soft_deadline_ms < y->soft_deadline_ms;
}

/*
 * Returns the queued item that a new one goes before, or NULL if it goes to
 * the end. *ahead: number of items before it.
 */
static struct admission_item *
find_queue_position(const struct admission *a,
		    const struct admission_item *item, int64_t now_ms,
		    uint32_t *ahead)
{
	struct admission_item *other;

	*ahead = 0;
	DL_FOREACH(a->head, other) {
		if (item->is_call != other->is_call) {
			if (item->is_call)
				return other;
		} else if (runs_before(&item->rank, &other->rank, now_ms)) {
			return other;
		}
		(*ahead)++;
	}
	return NULL;
}

/* Is it expected to miss its deadline, or its soft deadline, by waiting? */
static int would_be_late(const struct admission *a,
			 const struct admission_item *item, uint32_t ahead,
			 int64_t now_ms)
{
	double service_ms = expected_service_ms(a, &item->rank);
	double done = (double)now_ms + expected_wait_ms(a, ahead, now_ms) +
		      service_ms;

	if (done > (double)item->deadline_ms)
		return 1;
	if (item->rank.soft_deadline_ms == INT64_MAX)
		return 0;
	/* Late requests use spare capacity, but do not pile up in the queue. */
	if (is_past_soft_deadline(&item->rank, now_ms))
		return ahead > a->limit / ADMISSION_LATE_PART;
	return done + soft_deadline_margin_ms(a, &item->rank, now_ms) >
	       (double)item->rank.soft_deadline_ms;
}

/* Do calls have all the places to wait that they may have? */
static int calls_fill_their_queue(const struct admission *a)
{
	return a->queued_calls >= a->queue * ADMISSION_CALL_SHARE;
}

/* Do calls have all the places to run that they may have while others wait? */
static int calls_fill_their_share(const struct admission *a)
{
	/* A single place goes to both in turn. */
	if (a->limit == 1)
		return a->started_calls > 0;
	/* What a rate limits is requests begun; places remain free. */
	if (admission_usable_places(a) < a->limit)
		return a->started_calls >= ADMISSION_CALLS_PER_OTHER;
	return a->running_calls + 1 > a->limit * ADMISSION_CALL_SHARE;
}

static int would_shed_after(const struct admission *a,
			    const struct admission_item *item, int64_t now_ms,
			    int64_t after_ms)
{
	const struct admission_rank *rank = &item->rank;
	int64_t then_ms = now_ms + after_ms;
	double done = (double)then_ms + expected_service_ms(a, rank);
	struct admission_item *before;
	uint32_t ahead;

	if (done > (double)item->deadline_ms)
		return 1;
	/*
	 * The body of a late request is accepted only while the link is nearly
	 * free: it must arrive within the request's own service time.
	 */
	if (is_past_soft_deadline(rank, now_ms)) {
		if ((double)after_ms > expected_service_ms(a, rank))
			return 1;
	} else if (rank->soft_deadline_ms != INT64_MAX &&
		   done + soft_deadline_margin_ms(a, rank, now_ms) >
			   (double)rank->soft_deadline_ms) {
		return 1;
	}
	if (has_capacity(a, now_ms) && a->queued == 0)
		return 0;
	if (item->is_call && calls_fill_their_queue(a))
		return 1;
	before = find_queue_position(a, item, now_ms, &ahead);
	if (a->queued >= a->queue && (!before || !a->queue))
		return 1;
	/*
	 * The wait for the queue is counted from now, since the queue moves on
	 * while the body is transferred.
	 */
	return would_be_late(a, item, ahead, now_ms);
}

int admission_would_shed_after(const struct admission *a,
			       const struct admission_rank *rank,
			       int64_t now_ms, int64_t deadline_ms,
			       int64_t after_ms)
{
	struct admission_item item = { .deadline_ms = deadline_ms,
				       .rank = *rank };

	return would_shed_after(a, &item, now_ms, after_ms);
}

int admission_would_shed_call_after(const struct admission *a,
				    const struct admission_rank *rank,
				    int64_t now_ms, int64_t deadline_ms,
				    int64_t after_ms)
{
	struct admission_item item = { .deadline_ms = deadline_ms,
				       .rank = *rank,
				       .is_call = 1 };

	item.rank.soft_deadline_ms = INT64_MAX;
	return would_shed_after(a, &item, now_ms, after_ms);
}

/* The queued item to be displaced by one that ranks before it, or NULL. */
static struct admission_item *last_not_displaced(const struct admission *a)
{
	struct admission_item *last = a->head ? a->head->prev : NULL;

	while (last && last->displaced && last != a->head)
		last = last->prev;
	return last && !last->displaced ? last : NULL;
}

static enum admission_decision
admit_item(struct admission *a, struct admission_item *item,
	   struct admission_tenant *t, struct admission_item *before, int runs)
{
	t->places++;
	item->tenant = t;
	if (runs) {
		item->state = ADMISSION_RUNNING;
		item->started_ms = item->arrived_ms;
		a->running++;
		a->running_calls += item->is_call != 0;
		take_rate(a, item->arrived_ms);
		update_full_since(a, item->arrived_ms);
		return ADMISSION_RUN;
	}
	item->state = ADMISSION_QUEUED;
	a->queued++;
	a->queued_calls += item->is_call != 0;
	if (before)
		DL_PREPEND_ELEM(a->head, before, item);
	else
		DL_APPEND(a->head, item);
	return ADMISSION_QUEUE;
}

/* Sets up and submits an item whose is_call is set. */
static enum admission_decision submit_item(struct admission *a,
					   struct admission_item *item,
					   const char *tenant, int64_t now_ms,
					   int64_t deadline_ms,
					   const struct admission_rank *rank)
{
	int runs = has_capacity(a, now_ms) && a->queued == 0;
	struct admission_item *before;
	struct admission_item *last = NULL;
	struct admission_tenant *t;
	uint32_t ahead;

	item->arrived_ms = now_ms;
	item->started_ms = 0;
	item->deadline_ms = deadline_ms;
	item->rank = *rank;
	item->tenant = NULL;
	item->state = ADMISSION_NONE;
	item->displaced = 0;
	if (now_ms >= deadline_ms)
		return ADMISSION_SHED;
	if (!runs && item->is_call && calls_fill_their_queue(a))
		return ADMISSION_SHED;
	before = find_queue_position(a, item, now_ms, &ahead);
	if (!runs && a->queued >= a->queue && (!before || !a->queue))
		return ADMISSION_SHED;
	if (!runs && would_be_late(a, item, ahead, now_ms))
		return ADMISSION_SHED;
	t = tenant_find_or_add(a, tenant);
	if (!t)
		return ADMISSION_SHED;
	if (!runs && a->queued >= a->queue)
		last = last_not_displaced(a);
	/* A displaced item of the same tenant frees its place. */
	if (t->places - (last && last->tenant == t) >= max_tenant_places(a)) {
		tenant_free_if_idle(a, t);
		return ADMISSION_SHED;
	}
	if (last)
		last->displaced = 1;
	return admit_item(a, item, t, before, runs);
}

enum admission_decision
admission_submit_ranked(struct admission *a, struct admission_item *item,
			const char *tenant, int64_t now_ms, int64_t deadline_ms,
			const struct admission_rank *rank)
{
	item->is_call = 0;
	return submit_item(a, item, tenant, now_ms, deadline_ms, rank);
}

enum admission_decision
admission_submit_call(struct admission *a, struct admission_item *item,
		      const char *tenant, int64_t now_ms, int64_t deadline_ms,
		      const struct admission_rank *rank)
{
	struct admission_rank call = *rank;

	call.soft_deadline_ms = INT64_MAX;
	item->is_call = 1;
	return submit_item(a, item, tenant, now_ms, deadline_ms, &call);
}

enum admission_decision admission_submit(struct admission *a,
					 struct admission_item *item,
					 const char *tenant, int64_t now_ms,
					 int64_t deadline_ms)
{
	static const struct admission_rank plain = { 0, INT64_MAX, 0 };

	return admission_submit_ranked(a, item, tenant, now_ms, deadline_ms,
				       &plain);
}

static void release_place(struct admission *a, struct admission_item *item)
{
	struct admission_tenant *t = item->tenant;

	item->state = ADMISSION_NONE;
	item->tenant = NULL;
	t->places--;
	tenant_free_if_idle(a, t);
}

static void update_average(double *mean_ms, double took_ms)
{
	if (*mean_ms == 0)
		*mean_ms = took_ms;
	else
		*mean_ms += ADMISSION_SERVICE_WEIGHT * (took_ms - *mean_ms);
}

void admission_done(struct admission *a, struct admission_item *item,
		    int64_t now_ms)
{
	double took_ms = (double)(now_ms - item->started_ms);
	struct admission_kind *k;

	if (item->state != ADMISSION_RUNNING)
		return;
	update_average(&a->service_ms, took_ms);
	a->running--;
	a->running_calls -= item->is_call != 0;
	/* A queued item takes the place at once, so it stays full. */
	if (!a->queued)
		update_full_since(a, now_ms);
	release_place(a, item);
	k = item->rank.kind ? kind_find_or_add(a, item->rank.kind) : NULL;
	if (!k)
		return;
	if (k->service_ms > 0)
		update_average(&k->spread_ms, fabs(took_ms - k->service_ms));
	update_average(&k->service_ms, took_ms);
}

/*
 * Returns the first queued request that may run, NULL if there is none. With
 * others_only, calls are passed over.
 */
static struct admission_item *first_runnable(const struct admission *a,
					     int others_only, int64_t now_ms)
{
	struct admission_item *item;

	DL_FOREACH(a->head, item) {
		/* admission_expire returns the others. */
		if (item->deadline_ms > now_ms && !item->displaced &&
		    !(others_only && item->is_call))
			break;
	}
	return item;
}

struct admission_item *admission_next(struct admission *a, int64_t now_ms)
{
	struct admission_item *item = NULL;

	if (!has_capacity(a, now_ms))
		return NULL;
	if (a->queued_calls && calls_fill_their_share(a))
		item = first_runnable(a, 1, now_ms);
	if (!item)
		item = first_runnable(a, 0, now_ms);
	if (!item)
		return NULL;
	DL_DELETE(a->head, item);
	a->queued--;
	a->queued_calls -= item->is_call != 0;
	a->running++;
	a->running_calls += item->is_call != 0;
	a->started_calls = item->is_call ? a->started_calls + 1 : 0;
	item->state = ADMISSION_RUNNING;
	item->started_ms = now_ms;
	take_rate(a, now_ms);
	update_full_since(a, now_ms);
	return item;
}

/* Will it be late while the first queued item can still be in time? */
static int should_give_way(const struct admission *a,
			   const struct admission_item *item, int64_t now_ms)
{
	const struct admission_item *first = a->head;

	/* Calls have no soft deadline and say nothing of the others' wait. */
	while (first->is_call && first->next)
		first = first->next;
	if (item->rank.soft_deadline_ms == INT64_MAX ||
	    item->rank.soft_deadline_ms >
		    now_ms + (int64_t)(expected_service_ms(a, &item->rank) / 2))
		return 0;
	return a->queued > 1 && first != item &&
	       !is_past_soft_deadline(&first->rank, now_ms);
}

struct admission_item *admission_expire(struct admission *a, int64_t now_ms)
{
	struct admission_item *item;

	DL_FOREACH(a->head, item) {
		if (item->deadline_ms <= now_ms || item->displaced ||
		    should_give_way(a, item, now_ms))
			break;
	}
	if (item)
		admission_remove(a, item);
	return item;
}

void admission_remove(struct admission *a, struct admission_item *item)
{
	if (item->state != ADMISSION_QUEUED)
		return;
	DL_DELETE(a->head, item);
	a->queued--;
	a->queued_calls -= item->is_call != 0;
	release_place(a, item);
}

double admission_kind_service_ms(const struct admission *a, uint32_t kind)
{
	const struct admission_kind *k = kind ? kind_find(a, kind) : NULL;

	return k ? k->service_ms : 0;
}

uint32_t admission_retry_after_ms(const struct admission *a, int64_t now_ms)
{
	double wait = ceil(expected_wait_ms(a, a->queued, now_ms));

	if (wait < ADMISSION_RETRY_MIN_MS)
		return ADMISSION_RETRY_MIN_MS;
	return wait > UINT32_MAX ? UINT32_MAX : (uint32_t)wait;
}
