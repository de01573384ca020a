#include "bench/common_out.h"
#include "limits/retry_budget.h"

#include <glib.h>
#include <stdint.h>
#include <stdio.h>

/*
 * Retries while one target answers nothing, and while it fails one request
 * in twenty: budgets by owner or by service, as a ratio of the answers or as
 * tokens per second, and no budget. Each ingress has budgets of its own.
 */

#define TICK_MS 10
#define CALM_MS 60000
#define OUTAGE_MS 60000
#define TRIES 4 /* what fits between backoff and deadline */
#define RATIO 0.1
#define TOKENS_PER_S 1.0
#define BROWNOUT 0.05

enum way { BY_OWNER, BY_SERVICE, TOKENS, NONE };

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
	double requests; /* to the failing target, while it fails */
	double retries;
	double lost; /* requests without an answer in the end */
};

struct run {
	const struct fleet *f;
	enum way way;
	GRand *rand;
	struct ingress *in;
	struct tally t;
};

static int may_retry(struct run *r, struct ingress *in)
{
	switch (r->way) {
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

static void request(struct run *r, struct ingress *in, double failures)
{
	int tries;

	if (failures > 0)
		r->t.requests++;
	for (tries = 1; failures > 0 && g_rand_double(r->rand) < failures;
	     tries++) {
		if (tries == TRIES || !may_retry(r, in)) {
			r->t.lost++;
			return;
		}
		r->t.retries++;
	}
	retry_budget_answered(&in->retry_budget);
}

/* Answers of the other targets count for a budget by service. */
static void others(struct run *r, struct ingress *in)
{
	uint32_t n = r->f->targets - 1;

	while (r->way == BY_SERVICE && n-- > 0)
		retry_budget_answered(&in->retry_budget);
}

static void run_for(struct run *r, int ms, double failures)
{
	double share = r->f->rate / r->f->ingresses * TICK_MS / 1000;
	int t;
	uint32_t i;

	for (t = 0; t < ms; t += TICK_MS) {
		for (i = 0; i < r->f->ingresses; i++) {
			struct ingress *in = &r->in[i];

			in->tokens = MIN(
				1, in->tokens + TOKENS_PER_S * TICK_MS / 1000);
			if (g_rand_double(r->rand) >= share)
				continue;
			others(r, in);
			request(r, in, failures);
		}
	}
}

static struct tally run(const struct fleet *f, enum way way, double failures)
{
	struct run r = { .f = f, .way = way };
	uint32_t i;

	r.rand = g_rand_new_with_seed(1);
	r.in = g_new0(struct ingress, f->ingresses);
	for (i = 0; i < f->ingresses; i++)
		retry_budget_init(&r.in[i].retry_budget, RATIO);
	run_for(&r, CALM_MS, 0);
	run_for(&r, OUTAGE_MS, failures);
	g_free(r.in);
	g_rand_free(r.rand);
	return r.t;
}

int main(void)
{
	static const struct fleet fleets[] = {
		{ "guild", 18, 6, 400 },
		{ "design", 5200, 5200, 14e6 / 5200 },
	};
	static const char *const ways[] = { "by_owner", "by_service", "tokens",
					    "none" };
	size_t i;
	int w;

	for (i = 0; i < G_N_ELEMENTS(fleets); i++) {
		for (w = BY_OWNER; w <= NONE; w++) {
			struct tally out = run(&fleets[i], w, 1);
			struct tally brown = run(&fleets[i], w, BROWNOUT);
			char name[96];

			snprintf(name, sizeof(name), "retry.%s.%s.outage_added",
				 fleets[i].name, ways[w]);
			if (w == BY_OWNER)
				out_max(name, 100 * out.retries / out.requests,
					"%", 10);
			else
				out_fig(name, 100 * out.retries / out.requests,
					"%");
			snprintf(name, sizeof(name),
				 "retry.%s.%s.brownout_lost", fleets[i].name,
				 ways[w]);
			out_fig(name, 100 * brown.lost / brown.requests, "%");
		}
	}
	return out_status();
}
