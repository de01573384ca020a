#include "ownership/majority.h"
#include "common/guard.h"

#include <string.h>

int majority_recorded(const struct own_coord *c)
{
	unsigned total = HASH_COUNT(c->peers);
	unsigned recorded = 0;
	struct own_peer *p, *tmp;

	/*
	 * Entries whose addition or removal is being written may or may not be
	 * in the roster that a successor reads, so they count in the total but
	 * never as recorded.
	 */
	HASH_ITER(hh, c->peers, p, tmp) {
		if (p->recorded && !p->adding && !p->leaving)
			recorded++;
	}
	return recorded * 2 > total || !guard_on(GUARD_HOLD_MAJORITY);
}

int majority_unrecorded(const struct own_coord *c)
{
	/* With nodes that left the roster since: they may have had a record. */
	uint32_t total = c->inherited_count;
	uint32_t unrecorded = 0;
	struct own_peer *p, *tmp;

	HASH_ITER(hh, c->peers, p, tmp) {
		if (p->inherited && p->unrecorded)
			unrecorded++;
	}
	return unrecorded * 2 > total || total == 0;
}

int majority_promised(const struct own_coord *c)
{
	uint32_t size = c->inherited_count;
	uint32_t left = 0;
	struct own_peer *p, *tmp;

	HASH_ITER(hh, c->peers, p, tmp) {
		if (!p->inherited || p->promised)
			continue;
		left++;
		if (p->maybe_held && p->maybe_held < size)
			size = p->maybe_held;
	}
	return left == 0 || left * 2 <= size;
}

int majority_acted(const struct own_coord *c, int64_t now_ms)
{
	unsigned total = HASH_COUNT(c->peers);
	unsigned acted = 0;
	struct own_peer *p, *tmp;

	HASH_ITER(hh, c->peers, p, tmp) {
		if (p->acted_ms &&
		    now_ms < p->acted_ms + c->times.hold_quorum_ms &&
		    !p->adding && !p->leaving)
			acted++;
	}
	return acted * 2 > total;
}

int majority_all_heard(const struct own_coord *c)
{
	struct own_peer *p, *tmp;

	HASH_ITER(hh, c->peers, p, tmp) {
		if (p->inherited && !p->heard)
			return 0;
	}
	return 1;
}

void own_coord_count_roster(const struct own_coord *c,
			    struct own_roster_counts *n)
{
	struct own_peer *p, *tmp;

	memset(n, 0, sizeof(*n));
	HASH_ITER(hh, c->peers, p, tmp) {
		if (!p->inherited)
			continue;
		n->nodes++;
		n->unrecorded += p->unrecorded != 0;
		n->replaced += p->replaced != 0;
		n->silent += !p->promised;
		n->maybe_held += p->maybe_held || p->commit_sent;
	}
}
