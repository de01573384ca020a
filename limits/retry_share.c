#include "limits/retry_share.h"

void retry_share_init(struct retry_share *s)
{
	s->tokens = RETRY_SHARE_MIN_CAP;
}

void retry_share_request(struct retry_share *s, double ratio, double slack,
			 unsigned nodes)
{
	double cap = RETRY_SHARE_USED_PART * slack / (nodes ? nodes : 1);

	if (cap < RETRY_SHARE_MIN_CAP)
		cap = RETRY_SHARE_MIN_CAP;
	s->tokens += RETRY_SHARE_USED_PART * ratio;
	if (s->tokens > cap)
		s->tokens = cap;
}

int retry_share_take(struct retry_share *s)
{
	/* Rounding leaves sums of ratios such as 0.1 just below an integer. */
	if (s->tokens < 1 - 1e-9)
		return 0;
	s->tokens -= 1;
	return 1;
}
