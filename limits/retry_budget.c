#include "limits/retry_budget.h"

void retry_budget_init(struct retry_budget *b, double ratio)
{
	b->ratio = ratio;
	b->tokens = RETRY_BUDGET_RESERVE;
}

void retry_budget_set_ratio(struct retry_budget *b, double ratio)
{
	b->ratio = ratio;
}

void retry_budget_answered(struct retry_budget *b)
{
	b->tokens += b->ratio;
	if (b->tokens > RETRY_BUDGET_CAP)
		b->tokens = RETRY_BUDGET_CAP;
}

int retry_budget_take(struct retry_budget *b)
{
	/* Rounding leaves sums of ratios such as 0.1 just below an integer. */
	if (b->tokens < 1 - 1e-9)
		return 0;
	b->tokens -= 1;
	if (b->tokens < 0)
		b->tokens = 0;
	return 1;
}

void retry_budget_give_back(struct retry_budget *b)
{
	b->tokens += 1;
	if (b->tokens > RETRY_BUDGET_CAP)
		b->tokens = RETRY_BUDGET_CAP;
}
