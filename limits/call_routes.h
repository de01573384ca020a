#ifndef LIMITS_CALL_ROUTES_H
#define LIMITS_CALL_ROUTES_H

#include <stdint.h>
#include <uthash.h>

/*
 * Learns which routes are calls: requests that the servers of one service make
 * while they run other requests. Callers of ordinary routes are beside all
 * nodes, so their requests begin beside servers of each service in proportion
 * to the number of its nodes. A row of n requests of a route that all began
 * beside service S, which has the share p of the nodes, happens by chance with
 * the probability p^n. Below CALL_ROUTES_CHANCE the route is a call. A request
 * that began beside another service ends the row and the finding.
 *
 * The module has no clock and does no I/O.
 */

/* Probability of taking an ordinary route for a call after one row. */
#define CALL_ROUTES_CHANCE 1e-4
/*
 * A service with a larger share of the nodes is no evidence: small errors of
 * the share would then decide.
 */
#define CALL_ROUTES_MAX_SHARE 0.9
/*
 * Each finding that proves wrong doubles the length of the row that the route
 * needs next, up to this factor, so that findings do not alternate.
 */
#define CALL_ROUTES_MAX_DOUBT 64.0
/* Most routes; the one without requests for the longest time is dropped. */
#define CALL_ROUTES_MAX 64

enum call_routes_change {
	CALL_ROUTES_SAME,
	CALL_ROUTES_LEARNT,   /* the route is a call from now on */
	CALL_ROUTES_UNLEARNT, /* it is none any more */
};

struct call_route {
	uint32_t id;
	char service[64];  /* where the requests of the row began */
	uint32_t requests; /* in the row */
	double log_chance; /* natural logarithm of p^n */
	double doubt;	   /* factor of the evidence needed, at least 1 */
	int is_call;
	UT_hash_handle hh;
};

struct call_routes {
	struct call_route *routes; /* in the order of their last requests */
};

void call_routes_init(struct call_routes *r);
/* Frees all routes. */
void call_routes_finish(struct call_routes *r);
/*
 * Notes a request of a route. service: beside whose server the request began;
 * "" if unknown, which counts for nothing. share: the part of the nodes that
 * are of that service; a share of 0 (unknown) or above CALL_ROUTES_MAX_SHARE
 * is no evidence, but ends another service's row. Route 0 is ignored.
 */
enum call_routes_change call_routes_note(struct call_routes *r, uint32_t route,
					 const char *service, double share);
/* Returns 1 if the route is known as a call. */
int call_routes_is_call(const struct call_routes *r, uint32_t route);
/* Returns what is known of a route, NULL if nothing; for logs. */
const struct call_route *call_routes_find(const struct call_routes *r,
					  uint32_t route);

#endif
