#ifndef MEMBERSHIP_DRAINED_H
#define MEMBERSHIP_DRAINED_H

#include "config/doc.h"

#include <stddef.h>

/*
 * A set of names of data centres that operators have ordered to be emptied. It
 * is bounded, since the names come from a store that others write to.
 */

/* The largest fleet planned for has 19 data centres. */
#define DRAINED_MAX 64

struct drained {
	char names[DRAINED_MAX][DOC_NAME_BYTES];
	size_t count;
};

void drained_init(struct drained *d);
/* Returns 1 if the name is in the set. */
int drained_has(const struct drained *d, const char *name);
/*
 * Adds a name. Returns ERR_OK, also if the set has it already, ERR_MALFORMED if
 * opt_check_name refuses it or it is too long, or ERR_TOO_LARGE if the set is
 * full.
 */
enum err drained_add(struct drained *d, const char *name);
/* Removes a name. Returns 1 if the set had it. */
int drained_remove(struct drained *d, const char *name);

#endif
