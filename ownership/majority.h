#ifndef OWNERSHIP_MAJORITY_H
#define OWNERSHIP_MAJORITY_H

#include "ownership/own.h"

/*
 * What majorities of a roster show about holds. Internal to the coordinator of
 * ownership/own.h, which explains hold, mark, roster and term.
 */

/* Returns 1 if more than half of the roster recorded the prepared hold. */
int majority_recorded(const struct own_coord *c);

/*
 * Returns 1 if no hold of an earlier term can be in force except on marked
 * nodes: a commit takes a majority of records, and more than half of the roster
 * had none.
 */
int majority_unrecorded(const struct own_coord *c);

/*
 * Returns 1 if no earlier coordinator can renew a bounded hold any more. A
 * renewal takes a majority of that coordinator's own roster, and two majorities
 * of one roster share a node, so the nodes that may still follow an earlier
 * term must be no majority. Marked nodes may be in a hold whose majority was
 * counted over an older, smaller roster; the nodes left must be no majority of
 * that one either.
 */
int majority_promised(const struct own_coord *c);

/*
 * Returns 1 if more than half of the roster recently acted on a reply, which a
 * bounded hold requires: a member that acted on a reply of this coordinator
 * followed no later coordinator when the reply was sent.
 */
int majority_acted(const struct own_coord *c, int64_t now_ms);

/* Returns 1 if all nodes of the roster read at take-over sent an ask. */
int majority_all_heard(const struct own_coord *c);

#endif
