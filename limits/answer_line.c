#include "limits/answer_line.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Weight of the latest answer in the average size of its kind. */
#define ANSWER_LINE_WEIGHT 0.1

void answer_line_init(struct answer_line *l, uint32_t link_kbps)
{
	memset(l, 0, sizeof(*l));
	l->kbps = link_kbps;
}

void answer_line_finish(struct answer_line *l)
{
	struct answer_line_kind *k, *next;

	HASH_ITER(hh, l->kinds, k, next) {
		HASH_DEL(l->kinds, k);
		free(k);
	}
}

static double transit_ms(const struct answer_line *l, double bytes)
{
	return l->kbps > 0 ? bytes * 8 / (l->kbps * ANSWER_LINE_PART) : 0;
}

int answer_line_is_large(const struct answer_line *l, size_t bytes)
{
	return l->kbps > 0 &&
	       (double)bytes * 8 / l->kbps > ANSWER_LINE_LARGE_MS;
}

static struct answer_line_kind *kind_find(const struct answer_line *l,
					  uint32_t id)
{
	struct answer_line_kind *k;

	HASH_FIND(hh, l->kinds, &id, sizeof(id), k);
	return k;
}

static struct answer_line_kind *kind_find_or_add(struct answer_line *l,
						 uint32_t id)
{
	struct answer_line_kind *k = kind_find(l, id);

	if (k)
		return k;
	k = l->kinds;
	if (k && HASH_COUNT(l->kinds) >= ANSWER_LINE_MAX_KINDS) {
		HASH_DEL(l->kinds, k);
		free(k);
	}
	k = calloc(1, sizeof(*k));
	if (!k)
		return NULL;
	k->id = id;
	HASH_ADD(hh, l->kinds, id, sizeof(k->id), k);
	return k;
}

int answer_line_begin(struct answer_line *l, uint32_t kind)
{
	struct answer_line_kind *k = kind_find(l, kind);

	if (!k || !answer_line_is_large(l, (size_t)k->bytes))
		return 0;
	k->running++;
	return 1;
}

void answer_line_end(struct answer_line *l, uint32_t kind)
{
	struct answer_line_kind *k = kind_find(l, kind);

	/* A kind that was dropped and added again has begun anew. */
	if (k && k->running)
		k->running--;
}

void answer_line_note(struct answer_line *l, uint32_t kind, size_t bytes)
{
	struct answer_line_kind *k;

	if (l->kbps <= 0 || !kind)
		return;
	k = kind_find_or_add(l, kind);
	if (!k)
		return;
	if (k->bytes <= 0)
		k->bytes = (double)bytes;
	k->bytes += ANSWER_LINE_WEIGHT * ((double)bytes - k->bytes);
}

int64_t answer_line_wait_ms(const struct answer_line *l, uint32_t kind,
			    int64_t now_ms)
{
	const struct answer_line_kind *k = kind_find(l, kind);
	double bytes = (double)l->waiting_bytes;
	double ms = 0;

	if (!k || !answer_line_is_large(l, (size_t)k->bytes))
		return 0;
	if (l->busy_until_ms > now_ms)
		ms = (double)(l->busy_until_ms - now_ms);
	for (const struct answer_line_kind *o = l->kinds; o; o = o->hh.next)
		bytes += o->running * o->bytes;
	return (int64_t)ceil(ms + transit_ms(l, bytes + k->bytes));
}

int answer_line_is_idle(const struct answer_line *l, int64_t now_ms)
{
	if (l->items || l->busy_until_ms > now_ms)
		return 0;
	for (const struct answer_line_kind *k = l->kinds; k; k = k->hh.next) {
		if (k->running)
			return 0;
	}
	return 1;
}

void answer_line_add(struct answer_line *l, struct answer_line_item *item)
{
	item->waiting = 1;
	l->waiting_bytes += item->bytes;
	DL_APPEND(l->items, item);
}

void answer_line_remove(struct answer_line *l, struct answer_line_item *item)
{
	if (!item->waiting)
		return;
	item->waiting = 0;
	l->waiting_bytes -= item->bytes;
	DL_DELETE(l->items, item);
}

struct answer_line_item *answer_line_next(struct answer_line *l, int64_t now_ms,
					  int64_t *wait_ms)
{
	struct answer_line_item *item = l->items;
	int64_t ahead = l->busy_until_ms - now_ms;

	*wait_ms = -1;
	if (!item)
		return NULL;
	if (ahead >= ANSWER_LINE_WINDOW_MS) {
		*wait_ms = ahead - ANSWER_LINE_WINDOW_MS + 1;
		return NULL;
	}
	answer_line_remove(l, item);
	if (ahead < 0)
		l->busy_until_ms = now_ms;
	l->busy_until_ms += (int64_t)ceil(transit_ms(l, (double)item->bytes));
	return item;
}
