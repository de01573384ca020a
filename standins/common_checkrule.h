#ifndef STANDINS_COMMON_CHECKRULE_H
#define STANDINS_COMMON_CHECKRULE_H

#include "standins/common_check.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Shared by the checker's source files; not for its users. */

#define CHECK_NS_PER_MS INT64_C(1000000)

struct check_rule {
	const char *name;     /* printed with each violation */
	enum check_kind kind; /* of its violations */
	/* Adds a violation for each breach of the rule. */
	void (*apply)(struct common_check *c, const struct check_rule *rule);
};

/* Adds a violation of the rule with a formatted description. */
void check_add_violation(struct common_check *c, const struct check_rule *rule,
			 const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#define FOREACH_REQUEST(c, q) for ((q) = (c)->requests; (q); (q) = (q)->hh.next)
#define FOREACH_KEY(c, k) for ((k) = (c)->keys; (k); (k) = (k)->hh.next)

/* Returns p, or aborts if it is NULL: the checker needs all of its memory. */
static inline void *check_abort_if_null(void *p)
{
	if (!p)
		abort();
	return p;
}

/* Returns 1 if the caller got a result with this outcome. */
static inline int check_has_outcome(const struct check_request *q,
				    const char *outcome)
{
	return q->outcome && strcmp(q->outcome, outcome) == 0;
}

/*
 * common_checkowner.c: a key has one owner at a time, and owners follow one
 * another in the order of their fences. A fence is the map revision at which
 * a slot was given to its owner.
 */

/* Two targets must not run requests of a key at the same time. */
void check_overlap(struct common_check *c, const struct check_rule *rule);
/* The fences of a slot's runs never fall, and one fence has one target. */
void check_slot_fences(struct common_check *c, const struct check_rule *rule);
/* The fences of a key's runs never fall when the key changes its slot. */
void check_key_fences(struct common_check *c, const struct check_rule *rule);
/* A drained target starts no run later than COMMON_CHECK_MAX_DRAIN_MS. */
void check_drained(struct common_check *c, const struct check_rule *rule);
/*
 * common_checkgap.c: after a loss, each affected key is served again within
 * max_gap_ms. Also fills the results that describe gaps in service.
 */
void check_recovery(struct common_check *c, const struct check_rule *rule);

#endif
