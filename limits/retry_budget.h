#ifndef LIMITS_BUDGET_H
#define LIMITS_BUDGET_H

/*
 * Retry budget: repeats may use at most a share of the answered requests,
 * plus a small reserve for idle times. Pure: no clock. One budget for each
 * service and owner: answers of other owners must not pay for the repeats
 * that one failing owner gets.
 */

/*
 * Both are small because every ingress has its own: at the design size 5,200
 * of them may spend what they saved on one target.
 */
#define RETRY_BUDGET_RESERVE 1.0
#define RETRY_BUDGET_CAP 3.0

struct retry_budget {
	double ratio; /* repeats earned by one answer */
	double tokens;
};

void retry_budget_init(struct retry_budget *b, double ratio);
void retry_budget_set_ratio(struct retry_budget *b, double ratio);
/* An answer came: earns ratio tokens, up to the cap. */
void retry_budget_answered(struct retry_budget *b);
/* Takes one token; 0 if there is none: the request is not repeated. */
int retry_budget_take(struct retry_budget *b);

#endif
