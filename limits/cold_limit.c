#include "limits/cold_limit.h"

#include <math.h>
#include <string.h>

void cold_limit_init(struct cold_limit *c)
{
	memset(c, 0, sizeof(*c));
	rate_limit_init(&c->bucket);
}

double cold_limit_most(double per_s)
{
	return COLD_LIMIT_WINDOW_PART * per_s + COLD_LIMIT_WINDOW_EXTRA;
}

/* Empties the cells that have begun since the last call. */
static void advance(struct cold_limit *c, int64_t now_ms)
{
	int64_t cell = now_ms / COLD_LIMIT_CELL_MS;

	if (cell - c->cell >= COLD_LIMIT_CELLS) {
		memset(c->sent, 0, sizeof(c->sent));
		c->cell = cell;
	}
	while (c->cell < cell)
		c->sent[++c->cell % COLD_LIMIT_CELLS] = 0;
}

/* Requests sent in the last second, and in less than one cell before it. */
static uint32_t count_sent(struct cold_limit *c, int64_t now_ms)
{
	uint32_t count = 0;

	advance(c, now_ms);
	for (int i = 0; i < COLD_LIMIT_CELLS; i++)
		count += c->sent[i];
	return count;
}

void cold_limit_set(struct cold_limit *c, double per_s, int64_t now_ms)
{
	int was_limited = c->bucket.per_s > 0;

	if (per_s <= 0) {
		rate_limit_clear(&c->bucket);
		return;
	}
	rate_limit_set_burst(
		&c->bucket, per_s,
		per_s * COLD_LIMIT_BURST_S + COLD_LIMIT_BURST_EXTRA, now_ms);
	if (!was_limited)
		c->bucket.tokens =
			-fmin(count_sent(c, now_ms), c->bucket.per_s);
}

double cold_limit_wait_ms(const struct cold_limit *c, uint32_t ahead,
			  int64_t now_ms)
{
	return rate_limit_wait_ms(&c->bucket, ahead, now_ms);
}

void cold_limit_take(struct cold_limit *c, int64_t now_ms)
{
	rate_limit_take(&c->bucket, now_ms);
}

int cold_limit_may_send(struct cold_limit *c, int64_t now_ms)
{
	return c->bucket.per_s <= 0 ||
	       count_sent(c, now_ms) + 1 <= cold_limit_most(c->bucket.per_s);
}

void cold_limit_note_sent(struct cold_limit *c, int64_t now_ms)
{
	advance(c, now_ms);
	c->sent[c->cell % COLD_LIMIT_CELLS]++;
}
