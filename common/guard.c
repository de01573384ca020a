#include "common/guard.h"

#ifdef PROOF_SWITCHES

#include <stdlib.h>
#include <string.h>

static unsigned disabled_guards;

static const char *const names[GUARD_COUNT] = {
	[GUARD_GRANT_CHECK] = "grant_check",
	[GUARD_FLOOR] = "floor",
	[GUARD_TERM] = "term",
	[GUARD_LOST_WAIT] = "lost_wait",
	[GUARD_AUTHORITY] = "authority",
	[GUARD_HOLD_MAJORITY] = "hold_majority",
	[GUARD_HOLD_MARKS] = "hold_marks",
	[GUARD_HOLD_QUORUM] = "hold_quorum",
	[GUARD_ROSTER_GROWTH] = "roster_growth",
	[GUARD_HOLD_ACK] = "hold_ack",
	[GUARD_RELEASE] = "release",
	[GUARD_SEND_ONCE] = "send_once",
	[GUARD_ATTEMPT] = "attempt",
	[GUARD_FRAMING] = "framing",
	[GUARD_REVISION] = "revision",
	[GUARD_COMPARE] = "compare",
	[GUARD_QUERY] = "query",
	[GUARD_HOLD] = "hold",
	[GUARD_STANDBY] = "standby",
	[GUARD_GRACE] = "grace",
	[GUARD_RENEW] = "renew",
	[GUARD_PERSIST] = "persist",
	[GUARD_HOLD_RESTART] = "hold_restart",
	[GUARD_HOLD_FREE] = "hold_free",
};

int guard_on(enum guard g)
{
	return !(disabled_guards & 1U << g);
}

void guard_set(enum guard g, int on)
{
	if (on)
		disabled_guards &= ~(1U << g);
	else
		disabled_guards |= 1U << g;
}

void guard_from_environment(void)
{
	const char *list = getenv("MPIN_GUARDS_OFF");

	while (list && *list) {
		size_t len = strcspn(list, ",");

		for (int g = 0; g < GUARD_COUNT; g++) {
			if (strlen(names[g]) == len &&
			    strncmp(names[g], list, len) == 0)
				guard_set((enum guard)g, 0);
		}
		list += len;
		list += *list == ',';
	}
}

#else

/* A translation unit must not be empty. */
typedef int guard_unused;

#endif
