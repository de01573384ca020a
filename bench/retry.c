#include "bench/common_out.h"
#include "limits/retry_budget.h"

#include <glib.h>
#include <stdint.h>
#include <stdio.h>

/*
 * Compares retry budgets while one target answers nothing, and while it fails
 * one request in twenty (a brownout): a ratio of the answers counted by owner
 * or by service, tokens per second, and no budget. Each ingress has its own
 * budget. Prints the requests that retries add during the outage and the
 * requests that stay unanswered during the brownout.
 */

#define TICK_MS 10
#define WARM_UP_MS 60000
#define OUTAGE_MS 60000
#define MAX_ATTEMPTS 4 /* as many as the deadline allows with backoff */
#define RATIO 0.1
#define TOKENS_PER_S 1.0
#define BROWNOUT 0.05

enum budget_kind { BY_OWNER, BY_SERVICE, TOKENS, NONE };

struct fleet {
	const char *name;
	uint32_t ingresses;
	uint32_t targets;
	double rate; /* requests/s of one target */
};

struct ingress {
	struct retry_budget retry_budget;
	double tokens;
};

struct tally {
	double requests; /* to the target, while it fails */
	double retries;
	double unanswered; /* requests that got no answer after all attempts */
};

struct run {
	const struct fleet *f;
	enum budget_kind budget_kind;
	GRand *rand;
	struct ingress *ingresses;
	struct tally tally;
};

static int may_retry(struct run *r, struct ingress *in)
{
	switch (r->budget_kind) {
	case BY_OWNER:
	case BY_SERVICE:
		return retry_budget_take(&in->retry_budget);
	case TOKENS:
		if (in->tokens < 1)
			return 0;
		in->tokens -= 1;
		return 1;
	case NONE:
		break;
	}
	return 1;
}

static void send_request(struct run *r, struct ingress *in, double failures)
{
	int attempts;

	if (failures > 0)
		r->tally.requests++;
	for (attempts = 1; failures > 0 && g_rand_double(r->rand) < failures;
	     attempts++) {
		if (attempts == MAX_ATTEMPTS || !may_retry(r, in)) {
			r->tally.unanswered++;
			return;
		}
		r->tally.retries++;
	}
	retry_budget_answered(&in->retry_budget);
}

/* Answers of the other targets add to the budget only if it is by service. */
static void count_other_answers(struct run *r, struct ingress *in)
{
	uint32_t n = r->f->targets - 1;

	while (r->budget_kind == BY_SERVICE && n-- > 0)
		retry_budget_answered(&in->retry_budget);
}

static void run_period(struct run *r, int ms, double failures)
{
	double share = r->f->rate / r->f->ingresses * TICK_MS / 1000;
	int t;
	uint32_t i;

	for (t = 0; t < ms; t += TICK_MS) {
		for (i = 0; i < r->f->ingresses; i++) {
			struct ingress *in = &r->ingresses[i];

			in->tokens = MIN(
				1, in->tokens + TOKENS_PER_S * TICK_MS / 1000);
			if (g_rand_double(r->rand) >= share)
				continue;
			count_other_answers(r, in);
			send_request(r, in, failures);
		}
	}
}

static struct tally run(const struct fleet *f, enum budget_kind budget_kind,
			double failures)
{
	struct run r = { .f = f, .budget_kind = budget_kind };
	uint32_t i;

	r.rand = g_rand_new_with_seed(1);
	r.ingresses = g_new0(struct ingress, f->ingresses);
	for (i = 0; i < f->ingresses; i++)
		retry_budget_init(&r.ingresses[i].retry_budget, RATIO);
	run_period(&r, WARM_UP_MS, 0);
	run_period(&r, OUTAGE_MS, failures);
	g_free(r.ingresses);
	g_rand_free(r.rand);
	return r.tally;
}

int main(void)
{
	static const struct fleet fleets[] = {
		{ "guild", 18, 6, 400 },
		{ "design", 5200, 5200, 14e6 / 5200 },
	};
	static const char *const budget_names[] = { "by_owner", "by_service",
						    "tokens", "none" };
	size_t i;
	int w;

	for (i = 0; i < G_N_ELEMENTS(fleets); i++) {
		for (w = BY_OWNER; w <= NONE; w++) {
			struct tally out = run(&fleets[i], w, 1);
			struct tally brown = run(&fleets[i], w, BROWNOUT);
			char name[96];

			snprintf(name, sizeof(name), "retry.%s.%s.outage_added",
				 fleets[i].name, budget_names[w]);
			if (w == BY_OWNER)
				out_max(name, 100 * out.retries / out.requests,
					"%", 10);
			else
				out_value(name,
					  100 * out.retries / out.requests,
					  "%");
			snprintf(name, sizeof(name),
				 "retry.%s.%s.brownout_lost", fleets[i].name,
				 budget_names[w]);
			out_value(name, 100 * brown.unanswered / brown.requests,
				  "%");
		}
	}
	return out_status();
}
