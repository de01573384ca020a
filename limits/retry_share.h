#ifndef LIMITS_SHARE_H
#define LIMITS_SHARE_H

/*
 * This node's share of a retry budget that all nodes of the fleet have
 * together for one service: in any window, at most a ratio of the requests and
 * a slack. Each node earns by its own requests and has an equal part of the
 * slack, so that the parts never add up to more, whether or not the nodes hear
 * each other. Pure: no clock; what was earned does not grow beyond the part of
 * the slack, so no window sees more than that and what it earned itself.
 */

/*
 * Part of the fleet's limit that is used: calls made by a run that is itself a
 * repeat count as repeats too, and nobody here sees those.
 */
#define RETRY_SHARE_USED_PART 0.8
/* Smallest part of the slack; below one token a node could never repeat. */
#define RETRY_SHARE_MIN_CAP 1.0

struct retry_share {
	double tokens;
};

void retry_share_init(struct retry_share *s);
/* A request of a caller for the service. slack: the fleet's. */
void retry_share_request(struct retry_share *s, double ratio, double slack,
			 unsigned nodes);
/* Takes one token; 0: the request must not be repeated. */
int retry_share_take(struct retry_share *s);

#endif
