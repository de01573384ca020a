#ifndef STANDINS_COMMON_CHECKRULE_H
#define STANDINS_COMMON_CHECKRULE_H

#include "standins/common_check.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Shared by the files of the checker. */

#define CHECK_NS_PER_MS INT64_C(1000000)

struct check_rule {
	const char *name;
	enum check_kind kind;
	void (*apply)(struct common_check *c, const struct check_rule *rule);
};

void check_add_violation(struct common_check *c, const struct check_rule *rule,
			 const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#define FOREACH_REQUEST(c, q) for ((q) = (c)->requests; (q); (q) = (q)->hh.next)
#define FOREACH_KEY(c, k) for ((k) = (c)->keys; (k); (k) = (k)->hh.next)

/* The checker has no use for going on without memory. */
static inline void *check_abort_if_null(void *p)
{
	if (!p)
		abort();
	return p;
}

static inline int check_has_outcome(const struct check_request *q,
				    const char *outcome)
{
	return q->outcome && strcmp(q->outcome, outcome) == 0;
}

/* common_checkowner.c: one owner at a time, in the order of the fences */
void check_overlap(struct common_check *c, const struct check_rule *rule);
void check_slot_fences(struct common_check *c, const struct check_rule *rule);
void check_key_fences(struct common_check *c, const struct check_rule *rule);
void check_drained(struct common_check *c, const struct check_rule *rule);
/* common_checkgap.c: gaps in service */
void check_recovery(struct common_check *c, const struct check_rule *rule);

#endif
