#include "routing/ingress_priv.h"

/* A call that so many targets refused finds no room at others either. */
#define IN_CALL_REFUSED_TARGETS 2

static size_t find_route(const struct in_calls *c, uint32_t route)
{
	size_t i = 0;

	while (i < c->count && c->routes[i] != route)
		i++;
	return i;
}

void in_calls_note_load(struct in_request *q, const Wire__TargetLoad *load)
{
	struct in_calls *c = &q->in->calls;
	size_t i;

	if (!q->in->settings->protect_calls || !q->forward.route)
		return;
	i = find_route(c, q->forward.route);
	if (load->route_is_call && i == c->count) {
		if (c->count < IN_MAX_CALL_ROUTES)
			c->routes[c->count++] = q->forward.route;
	} else if (!load->route_is_call && i < c->count) {
		c->routes[i] = c->routes[--c->count];
	}
}

void in_calls_note_end(struct in_request *q, int found_room)
{
	const struct in_calls *c = &q->in->calls;

	if (find_route(c, q->forward.route) == c->count)
		return;
	gate_note_call_ended(q->in->gate, found_room,
			     q->failed_target_count >= IN_CALL_REFUSED_TARGETS);
}
