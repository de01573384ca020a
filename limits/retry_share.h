#ifndef LIMITS_RETRY_SHARE_H
#define LIMITS_RETRY_SHARE_H

/*
 * This node's share of the retries that the whole fleet may make for one
 * service. In any window of time, the fleet's retries are limited to
 * ratio * requests + slack. Each node earns tokens by its own requests and has
 * an equal part of the slack, so that the shares never add up to more than the
 * limit, whether or not the nodes can reach each other (if the slack is at
 * least one retry for each node; see RETRY_SHARE_MIN_CAP). Tokens are capped
 * at the node's part of the slack: a window sees at most that many and those
 * earned in it. No clock is needed.
 */

/*
 * Part of the fleet's limit that the nodes use. The rest is for calls made by
 * a request that is itself a retry: they count as retries, too, but no node
 * can recognise them.
 */
#define RETRY_SHARE_USED_PART 0.8
/* Lowest cap; with less than one token a node could never retry. */
#define RETRY_SHARE_MIN_CAP 1.0

struct retry_share {
	double tokens;
};

/* Starts with RETRY_SHARE_MIN_CAP tokens. */
void retry_share_init(struct retry_share *s);
/*
 * Notes a caller's request for the service, which earns tokens. ratio: retries
 * of the fleet for each request; slack: retries of the fleet in a window in
 * addition; nodes: number of nodes in the fleet (0 counts as 1).
 */
void retry_share_request(struct retry_share *s, double ratio, double slack,
			 unsigned nodes);
/*
 * Takes one token and returns 1; returns 0 if there is none, and the request
 * must not be retried.
 */
int retry_share_take(struct retry_share *s);

#endif
