#include "routing/ingress_priv.h"

#include <string.h>

/* A call that so many targets refused finds no room at others either. */
#define IN_CALL_REFUSED_TARGETS 2

static size_t find_route(const struct in_calls *c, uint32_t route)
{
	size_t i = 0;

	while (i < c->count && c->routes[i] != route)
		i++;
	return i;
}

static void remove_route(struct in_calls *c, size_t i)
{
	c->count--;
	memmove(&c->routes[i], &c->routes[i + 1],
		(c->count - i) * sizeof(c->routes[0]));
}

static void note_route(struct in_request *q, const Wire__TargetLoad *load)
{
	struct in_calls *c = &q->in->calls;
	size_t i;

	if (!q->in->settings->protect_calls || !q->forward.route)
		return;
	i = find_route(c, q->forward.route);
	if (i < c->count)
		remove_route(c, i);
	if (!load->route_is_call)
		return;
	if (c->count == IN_MAX_CALL_ROUTES)
		remove_route(c, 0);
	c->routes[c->count++] = q->forward.route;
}

/* Did a gate or its target refuse the request because it has no room? */
static int is_refusal(const Wire__ForwardReply *reply)
{
	return reply->load && reply->outcome == OUTCOME_NOT_RUN &&
	       (reply->error == ERR_SHED || reply->error == ERR_DEADLINE ||
		reply->error == ERR_TARGET_REFUSED);
}

void in_calls_note_reply(struct in_request *q, const Wire__ForwardReply *reply)
{
	if (reply->load)
		note_route(q, reply->load);
	if (!q->keyed && is_refusal(reply))
		q->refused_target_count++;
}

void in_calls_note_end(struct in_request *q, int found_room)
{
	const struct in_calls *c = &q->in->calls;

	if (find_route(c, q->forward.route) == c->count)
		return;
	gate_note_call_ended(q->in->gate, found_room,
			     q->refused_target_count >=
				     IN_CALL_REFUSED_TARGETS);
}
