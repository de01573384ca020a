#include "routing/attempts.h"
#include "common/guard.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

void attempts_init(struct attempts *a)
{
	memset(a, 0, sizeof(*a));
	a->ended_max = ATTEMPTS_MAX;
	a->refused_max = ATTEMPTS_REFUSED_MAX;
	a->uncertain_until_ms = INT64_MIN;
}

void attempts_finish(struct attempts *a)
{
	struct attempt *t, *next;

	HASH_ITER(hh, a->by_id, t, next) {
		HASH_DEL(a->by_id, t);
		free(t);
	}
	memset(a, 0, sizeof(*a));
}

struct attempt *attempts_find(const struct attempts *a, uint64_t id)
{
	struct attempt *t;

	HASH_FIND(hh, a->by_id, &id, sizeof(id), t);
	return t;
}

struct attempt *attempts_add(struct attempts *a, uint64_t id)
{
	struct attempt *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->id = id;
	t->status = ATTEMPT_STATUS_RUNNING;
	HASH_ADD(hh, a->by_id, id, sizeof(t->id), t);
	return t;
}

static void remove_oldest(struct attempts *a, struct attempt_list *l)
{
	struct attempt *t = l->head;

	assert(t && a->by_id);
	DL_DELETE(l->head, t);
	l->count--;
	HASH_DEL(a->by_id, t);
	free(t);
}

static void list_append(struct attempt_list *l, struct attempt *t,
			int64_t now_ms)
{
	t->ended_ms = now_ms;
	DL_APPEND(l->head, t);
	l->count++;
}

static void trim_ended(struct attempts *a, int64_t now_ms)
{
	struct attempt_list *l = &a->ended;

	while (l->head && now_ms - l->head->ended_ms > ATTEMPTS_KEEP_MS)
		remove_oldest(a, l);
	while (l->head && l->count > a->ended_max) {
		if (l->head->status == ATTEMPT_STATUS_RAN)
			a->uncertain_until_ms =
				l->head->ended_ms + ATTEMPTS_KEEP_MS;
		remove_oldest(a, l);
	}
}

static void trim_refused(struct attempts *a, int64_t now_ms)
{
	struct attempt_list *l = &a->refused;

	while (l->head && now_ms - l->head->ended_ms > ATTEMPTS_REFUSED_KEEP_MS)
		remove_oldest(a, l);
}

void attempts_end(struct attempts *a, struct attempt *t, int ran,
		  int64_t now_ms)
{
	t->status = ran ? ATTEMPT_STATUS_RAN : ATTEMPT_STATUS_NOT_RUN;
	list_append(&a->ended, t, now_ms);
	trim_ended(a, now_ms);
}

/*
 * A full list of refused attempts drops no entry, since a dropped attempt
 * could run after it was reported as never seen. The new attempt is reported
 * as ATTEMPT_DONE instead, which says that it may have run.
 */
static enum wire_attempt_state record_refused(struct attempts *a, uint64_t id,
					      int64_t now_ms)
{
	struct attempt *t;

	if (!guard_on(GUARD_ATTEMPT))
		return ATTEMPT_NEVER_SEEN;
	trim_refused(a, now_ms);
	if (a->refused.count >= a->refused_max)
		return ATTEMPT_DONE;
	t = attempts_add(a, id);
	if (!t)
		return ATTEMPT_DONE;
	t->status = ATTEMPT_STATUS_REFUSED;
	list_append(&a->refused, t, now_ms);
	return now_ms < a->uncertain_until_ms ? ATTEMPT_DONE
					      : ATTEMPT_NEVER_SEEN;
}

enum wire_attempt_state attempts_query(struct attempts *a, uint64_t id,
				       int64_t now_ms)
{
	struct attempt *t = attempts_find(a, id);

	if (!t)
		return record_refused(a, id, now_ms);
	switch (t->status) {
	case ATTEMPT_STATUS_RUNNING:
		return ATTEMPT_RUNNING;
	case ATTEMPT_STATUS_RAN:
		return ATTEMPT_DONE;
	case ATTEMPT_STATUS_NOT_RUN:
	case ATTEMPT_STATUS_REFUSED:
		break;
	}
	/* It was unknown while unknown attempts may have run. */
	if (t->status == ATTEMPT_STATUS_REFUSED &&
	    t->ended_ms < a->uncertain_until_ms)
		return ATTEMPT_DONE;
	return ATTEMPT_NEVER_SEEN;
}
