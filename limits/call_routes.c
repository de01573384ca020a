#include "limits/call_routes.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void call_routes_init(struct call_routes *r)
{
	r->routes = NULL;
}

void call_routes_finish(struct call_routes *r)
{
	struct call_route *t, *next;

	HASH_ITER(hh, r->routes, t, next) {
		HASH_DEL(r->routes, t);
		free(t);
	}
}

const struct call_route *call_routes_find(const struct call_routes *r,
					  uint32_t route)
{
	struct call_route *t;

	HASH_FIND(hh, r->routes, &route, sizeof(route), t);
	return t;
}

int call_routes_is_call(const struct call_routes *r, uint32_t route)
{
	const struct call_route *t = call_routes_find(r, route);

	return t && t->is_call;
}

/* Returns the route as the most recent one; NULL if memory runs out. */
static struct call_route *find_or_add(struct call_routes *r, uint32_t route)
{
	struct call_route *t;

	HASH_FIND(hh, r->routes, &route, sizeof(route), t);
	if (t) {
		HASH_DEL(r->routes, t);
	} else {
		t = r->routes;
		if (t && HASH_COUNT(r->routes) >= CALL_ROUTES_MAX) {
			HASH_DEL(r->routes, t);
			free(t);
		}
		t = calloc(1, sizeof(*t));
		if (!t)
			return NULL;
		t->id = route;
		t->doubt = 1;
	}
	HASH_ADD(hh, r->routes, id, sizeof(t->id), t);
	return t;
}

/* Starts a new row. Returns 1 if that ends a finding. */
static int start_row(struct call_route *t, const char *service)
{
	int was_call = t->is_call;

	snprintf(t->service, sizeof(t->service), "%s", service);
	t->requests = 0;
	t->log_chance = 0;
	t->is_call = 0;
	if (was_call && t->doubt < CALL_ROUTES_MAX_DOUBT)
		t->doubt *= 2;
	return was_call;
}

enum call_routes_change call_routes_note(struct call_routes *r, uint32_t route,
					 const char *service, double share)
{
	struct call_route *t;

	if (!route || !service[0])
		return CALL_ROUTES_SAME;
	t = find_or_add(r, route);
	if (!t)
		return CALL_ROUTES_SAME;
	if (strcmp(t->service, service) != 0 && start_row(t, service))
		return CALL_ROUTES_UNLEARNT;
	if (t->is_call || share <= 0 || share > CALL_ROUTES_MAX_SHARE)
		return CALL_ROUTES_SAME;
	t->requests++;
	t->log_chance += log(share);
	if (t->log_chance > log(CALL_ROUTES_CHANCE) * t->doubt)
		return CALL_ROUTES_SAME;
	t->is_call = 1;
	return CALL_ROUTES_LEARNT;
}
