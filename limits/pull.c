#include "limits/pull.h"

#include <string.h>
#include <utlist.h>

void pull_init(struct pull *p, uint32_t link_kbps)
{
	memset(p, 0, sizeof(*p));
	p->kbps = link_kbps;
	p->window = (size_t)(p->kbps * PULL_WINDOW_MS / 8);
}

int64_t pull_wait_ms(const struct pull *p, size_t bytes)
{
	size_t ahead = p->waiting_bytes + p->in_flight_bytes;

	if (!p->window)
		return 0;
	return (int64_t)((double)(ahead + bytes) * 8 / p->kbps);
}

void pull_add(struct pull *p, struct pull_item *item)
{
	item->requested_ms = 0;
	p->waiting_bytes += item->bytes;
	DL_APPEND(p->items, item);
}

struct pull_item *pull_next(struct pull *p, int64_t now_ms)
{
	struct pull_item *item;

	DL_FOREACH(p->items, item) {
		if (!item->requested_ms && item->deadline_ms > now_ms)
			break;
	}
	if (!item || (p->window && p->in_flight_bytes &&
		      p->in_flight_bytes + item->bytes > p->window))
		return NULL;
	item->requested_ms = now_ms;
	p->waiting_bytes -= item->bytes;
	p->in_flight_bytes += item->bytes;
	return item;
}

struct pull_item *pull_find(const struct pull *p, uint64_t attempt)
{
	struct pull_item *item;

	DL_FOREACH(p->items, item) {
		if (item->attempt == attempt)
			return item;
	}
	return NULL;
}

struct pull_item *pull_overdue(const struct pull *p, int64_t now_ms)
{
	struct pull_item *item;

	DL_FOREACH(p->items, item) {
		if (item->deadline_ms <= now_ms ||
		    (item->requested_ms &&
		     now_ms - item->requested_ms >= PULL_OVERDUE_MS))
			return item;
	}
	return NULL;
}

void pull_remove(struct pull *p, struct pull_item *item)
{
	if (item->requested_ms)
		p->in_flight_bytes -= item->bytes;
	else
		p->waiting_bytes -= item->bytes;
	DL_DELETE(p->items, item);
}
