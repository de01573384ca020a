#include "routing/ingress_priv.h"
#include "common/clk.h"

#include <string.h>

/* Period after which the rate of answers is updated, and the latest's weight.
 */
#define IN_RETURN_PERIOD_MS 1000
#define IN_RETURN_WEIGHT 0.3
/*
 * Rate at which callers are told to return before anything was answered: the
 * load of an ingress in a fleet of 87 nodes that gets 2,400 requests/s is 28/s.
 */
#define IN_RETURN_FIRST_PER_S 20.0
/* Lowest rate: that of a route with 150 requests/s in such a fleet. */
#define IN_RETURN_MIN_PER_S 2.0

/* Returns an unused entry, or the one that was not used for longest. */
static struct in_return_route *least_recent(struct in_returns *r)
{
	struct in_return_route *t = &r->routes[0];

	if (r->count < IN_MAX_RETURN_ROUTES)
		return &r->routes[r->count++];
	for (size_t i = 1; i < r->count; i++)
		if (r->routes[i].last_use < t->last_use)
			t = &r->routes[i];
	return t;
}

/*
 * Returns what is kept for the route; the one that was not used for longest
 * makes room for it.
 */
static struct in_return_route *get_route(struct ingress *in, uint32_t route)
{
	struct in_returns *r = &in->returns;
	struct in_return_route *t;

	r->uses++;
	for (size_t i = 0; i < r->count; i++) {
		if (r->routes[i].route == route) {
			r->routes[i].last_use = r->uses;
			return &r->routes[i];
		}
	}
	t = least_recent(r);
	memset(t, 0, sizeof(*t));
	t->last_use = r->uses;
	return_order_init(&t->order);
	t->route = route;
	t->per_s = IN_RETURN_FIRST_PER_S;
	t->since_ms = clk_ms();
	return t;
}

void in_return_note_answer(struct in_request *q)
{
	struct in_return_route *t;
	int64_t now_ms = clk_ms();
	int64_t took_ms;

	if (!q->in->settings->protect_calls)
		return;
	t = get_route(q->in, q->forward.route);
	t->answers++;
	took_ms = now_ms - t->since_ms;
	if (took_ms < IN_RETURN_PERIOD_MS)
		return;
	t->per_s += IN_RETURN_WEIGHT *
		    (1000. * t->answers / (double)took_ms - t->per_s);
	if (t->per_s < IN_RETURN_MIN_PER_S)
		t->per_s = IN_RETURN_MIN_PER_S;
	t->since_ms = now_ms;
	t->answers = 0;
}

static uint32_t assign_time(const struct in_request *q, uint32_t wait_ms)
{
	struct in_return_route *t = get_route(q->in, q->forward.route);
	int64_t now_ms = clk_ms();
	struct return_request request = {
		.work = 1,
		.earliest_ms = wait_ms,
		.priority = q->forward.priority,
		.left_ms = q->deadline_ms - now_ms,
	};

	return return_order_assign(&t->order, &request, t->per_s / 1000,
				   now_ms);
}

int in_return_after_ms(const struct in_request *q, enum err error, uint32_t *ms)
{
	int64_t left_ms = q->deadline_ms - clk_ms();

	/* Before the request was read, its time limit is not known. */
	if (!q->in->settings->protect_calls || !q->deadline_ms)
		return 1;
	/*
	 * Without a key, several gates may have refused the request, and none
	 * of them knows when callers return to the others.
	 */
	if (!*ms || (error == ERR_SHED && !q->keyed))
		*ms = assign_time(q, *ms);
	else if (error == ERR_SHED && *ms >= left_ms)
		*ms = 0;
	if (!*ms) {
		cnt_add(q->in->cnt, "in_no_retry_after", "", 1);
		return 0;
	}
	cnt_sample(q->in->cnt, "in_retry_after_ms", "", *ms);
	return 1;
}
