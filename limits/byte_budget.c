#include "limits/byte_budget.h"

#include <stdlib.h>
#include <string.h>

void byte_budget_init(struct byte_budget *b, size_t limit)
{
	memset(b, 0, sizeof(*b));
	b->limit = limit;
}

void byte_budget_finish(struct byte_budget *b)
{
	struct byte_budget_kind *k, *next;

	HASH_ITER(hh, b->kinds, k, next) {
		HASH_DEL(b->kinds, k);
		free(k);
	}
}

static struct byte_budget_kind *find_kind(const struct byte_budget *b,
					  uint32_t id)
{
	struct byte_budget_kind *k;

	HASH_FIND(hh, b->kinds, &id, sizeof(id), k);
	return k;
}

static struct byte_budget_kind *find_or_add_kind(struct byte_budget *b,
						 uint32_t id)
{
	struct byte_budget_kind *k = find_kind(b, id);

	if (k)
		return k;
	k = b->kinds;
	if (k && HASH_COUNT(b->kinds) >= BYTE_BUDGET_MAX_KINDS) {
		HASH_DEL(b->kinds, k);
		free(k);
	}
	k = calloc(1, sizeof(*k));
	if (!k)
		return NULL;
	k->id = id;
	HASH_ADD(hh, b->kinds, id, sizeof(k->id), k);
	return k;
}

int byte_budget_take(struct byte_budget *b, uint32_t kind, size_t held,
		     size_t *taken)
{
	const struct byte_budget_kind *k;
	size_t bytes;

	*taken = 0;
	if (!b->limit)
		return 1;
	k = find_kind(b, kind);
	bytes = k ? (size_t)k->peak_bytes : BYTE_BUDGET_UNKNOWN_BYTES;
	if (bytes < BYTE_BUDGET_SMALL_BYTES)
		return 1;
	if (held + b->reserved + bytes > b->limit)
		return 0;
	b->reserved += bytes;
	*taken = bytes;
	return 1;
}

void byte_budget_give_back(struct byte_budget *b, size_t taken)
{
	b->reserved -= taken;
}

void byte_budget_note(struct byte_budget *b, uint32_t kind, size_t bytes)
{
	struct byte_budget_kind *k =
		b->limit ? find_or_add_kind(b, kind) : NULL;

	if (!k)
		return;
	k->peak_bytes -= BYTE_BUDGET_DECAY * k->peak_bytes;
	if ((double)bytes > k->peak_bytes)
		k->peak_bytes = (double)bytes;
}
