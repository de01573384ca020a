#ifndef LIMITS_RETRY_SHARE_H
#define LIMITS_RETRY_SHARE_H

/*
 * This node's share of the retries that the whole fleet may make for one
 * service. In any window of time, the fleet's retries are limited to
 * ratio * requests + slack. Each node earns tokens by its own requests and has
 * an equal part of the slack, so that the shares never add up to more than the
 * limit, whether or not the nodes can reach each other. Tokens are capped
 * at the node's part of the slack: a window sees at most that many and those
 * earned in it. No clock is needed.
 *
 * If a node's part is less than one retry, it is a probability: the tokens are
 * spent, and with the probability that they state a retry is allowed. Over the
 * fleet that adds up to the tokens; a whole token for each node would add up to
 * more than the limit.
 */

/*
 * Part of the fleet's limit that the nodes use. The rest is for calls made by
 * a request that is itself a retry: they count as retries, too, but no node
 * can recognise them.
 */
#define RETRY_SHARE_USED_PART 0.8

struct retry_share {
	double tokens;
	double cap; /* most tokens, as of the last request */
};

/* Starts with one token, which the first request caps. */
void retry_share_init(struct retry_share *s);
/*
 * Notes a caller's request for the service, which earns tokens. ratio: retries
 * of the fleet for each request; slack: retries of the fleet in a window in
 * addition; nodes: number of nodes in the fleet (0 counts as 1).
 */
void retry_share_request(struct retry_share *s, double ratio, double slack,
			 unsigned nodes);
/*
 * Takes one token and returns 1; returns 0 if the request must not be retried.
 * random, in [0, 1), decides if there is a part of a token only.
 */
int retry_share_take(struct retry_share *s, double random);

#endif
