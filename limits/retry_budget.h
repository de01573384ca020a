#ifndef LIMITS_RETRY_BUDGET_H
#define LIMITS_RETRY_BUDGET_H

/*
 * Retry budget of one ingress (the part of a daemon that takes callers'
 * requests) for one service at one owner (the target that holds a key). A
 * token bucket: each answer earns a fraction of a token, each retry takes one,
 * and a small reserve allows a retry when there is little traffic. Owners
 * have separate budgets so that the answers of healthy owners do not pay for
 * retries at a failing one.
 */

/*
 * Tokens at the start, and the most that are saved. Both are small because
 * each ingress has budgets of its own: at the design size, 5,200 of them may
 * spend their saved tokens on one target at once.
 */
#define RETRY_BUDGET_RESERVE 1.0
#define RETRY_BUDGET_CAP 3.0

struct retry_budget {
	double ratio; /* tokens earned by one answer */
	double tokens;
};

/* Starts with the reserve. ratio: retries allowed for each answer. */
void retry_budget_init(struct retry_budget *b, double ratio);
/* Changes the ratio and keeps the tokens. */
void retry_budget_set_ratio(struct retry_budget *b, double ratio);
/* Notes an answer: adds ratio tokens, up to the cap. */
void retry_budget_answered(struct retry_budget *b);
/*
 * Takes one token and returns 1; returns 0 if there is none, and the request
 * must not be retried.
 */
int retry_budget_take(struct retry_budget *b);
/* Returns the token of a retry that was not made after all. */
void retry_budget_give_back(struct retry_budget *b);

#endif
