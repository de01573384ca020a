#ifndef LIMITS_BYTE_BUDGET_H
#define LIMITS_BYTE_BUDGET_H

#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/*
 * Budget of bytes for the answers that a process holds for its callers. A
 * request reserves what its answer may take before it is begun, by the largest
 * answers that its kind, e.g. its route, had lately; when the answer is there,
 * the reservation is given back and the answer itself counts as held. Kinds
 * with small answers reserve nothing.
 */

/* Kinds whose answers stay below this are not limited. */
#define BYTE_BUDGET_SMALL_BYTES (32 * 1024)
/* Assumed of a kind before its first answer. */
#define BYTE_BUDGET_UNKNOWN_BYTES (1024 * 1024)
/* Part by which each smaller answer lowers the largest size of its kind. */
#define BYTE_BUDGET_DECAY 0.005
/*
 * Most kinds with sizes of their own. When another one is added, the kind that
 * was added first is dropped.
 */
#define BYTE_BUDGET_MAX_KINDS 64

struct byte_budget_kind {
	uint32_t id;
	double peak_bytes;
	UT_hash_handle hh;
};

struct byte_budget {
	size_t limit;	 /* 0: none */
	size_t reserved; /* by requests without an answer */
	struct byte_budget_kind *kinds;
};

/* Sets up a budget; limit 0: nothing is limited or counted. */
void byte_budget_init(struct byte_budget *b, size_t limit);
void byte_budget_finish(struct byte_budget *b);
/*
 * Reserves the bytes of a request of this kind beside those that are held by
 * answers. Returns 1 and sets *taken, which may be 0; 0 if they exceed the
 * limit.
 */
int byte_budget_take(struct byte_budget *b, uint32_t kind, size_t held,
		     size_t *taken);
void byte_budget_give_back(struct byte_budget *b, size_t taken);
/* Notes the size of an answer. */
void byte_budget_note(struct byte_budget *b, uint32_t kind, size_t bytes);

#endif
