#include "limits/retry_share.h"

void retry_share_init(struct retry_share *s)
{
	s->tokens = 1;
	s->cap = 1;
}

void retry_share_request(struct retry_share *s, double ratio, double slack,
			 unsigned nodes)
{
	double earned = RETRY_SHARE_USED_PART * ratio;
	double cap = RETRY_SHARE_USED_PART * slack / (nodes ? nodes : 1);

	/* Without any slack, a request still earns its own part. */
	if (cap < earned)
		cap = earned;
	s->cap = cap;
	s->tokens += earned;
	if (s->tokens > cap)
		s->tokens = cap;
}

int retry_share_take(struct retry_share *s, double random)
{
	double part = s->tokens;

	/* Rounding leaves sums of ratios such as 0.1 just below an integer. */
	if (s->tokens >= 1 - 1e-9) {
		s->tokens -= 1;
		return 1;
	}
	if (s->cap >= 1)
		return 0;
	s->tokens = 0;
	return random < part;
}
