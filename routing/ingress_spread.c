#include "routing/ingress_priv.h"
#include "common/clk.h"
#include "common/log.h"

#include <stdlib.h>

/* What is said of how choices are spread: counters, and a line a second. */

#define IN_SPREAD_LINE_MS 1000
/* Targets that a line tells apart; the choices of further ones are left out. */
#define IN_SPREAD_TARGETS 64

struct in_spread {
	int64_t since_ms;
	uint32_t choices;
	uint32_t far; /* of these, in other regions */
	uint32_t unreported;
	int64_t age_sum_ms;
	int64_t age_max_ms;
	unsigned target_count;
	struct {
		uint32_t id;
		uint32_t choices;
	} targets[IN_SPREAD_TARGETS];
};

static const char *const distance_labels[SELECTOR_DISTANCES] = {
	[SELECTOR_SAME_VM] = "distance=\"vm\"",
	[SELECTOR_SAME_DATA_CENTRE] = "distance=\"data_centre\"",
	[SELECTOR_SAME_REGION] = "distance=\"region\"",
	[SELECTOR_OTHER_REGION] = "distance=\"other_region\"",
};

static void write_line(const struct in_spread *p, const char *service,
		       int64_t now_ms)
{
	uint32_t reported = p->choices - p->unreported;
	uint32_t most = 0;

	for (unsigned i = 0; i < p->target_count; i++) {
		if (p->targets[i].choices > most)
			most = p->targets[i].choices;
	}
	log_request(LOG_INFO, "targets_chosen",
		    "service=%s ms=%lld choices=%u targets=%u most=%u "
		    "other_region=%u no_report=%u age_mean_ms=%lld "
		    "age_max_ms=%lld",
		    LOG_Q(service), (long long)(now_ms - p->since_ms),
		    p->choices, p->target_count, most, p->far, p->unreported,
		    (long long)(reported ? p->age_sum_ms / reported : -1),
		    (long long)(reported ? p->age_max_ms : -1));
}

static void count_target(struct in_spread *p, uint32_t id)
{
	unsigned i = 0;

	while (i < p->target_count && p->targets[i].id != id)
		i++;
	if (i == IN_SPREAD_TARGETS)
		return;
	if (i == p->target_count)
		p->targets[p->target_count++].id = id;
	p->targets[i].choices++;
}

static void count_age(struct in_spread *p, int64_t age_ms)
{
	if (age_ms < 0) {
		p->unreported++;
		return;
	}
	p->age_sum_ms += age_ms;
	if (age_ms > p->age_max_ms)
		p->age_max_ms = age_ms;
}

void in_note_choice(struct in_request *q, const struct selector_candidate *k)
{
	struct in_service_state *s = in_service_state_get(q->in, q->service);
	int64_t now_ms = clk_ms();

	cnt_add(q->in->cnt, "in_chosen", distance_labels[k->distance], 1);
	if (!s)
		return;
	if (!s->spread) {
		s->spread = calloc(1, sizeof(*s->spread));
		if (!s->spread)
			return;
		s->spread->since_ms = now_ms;
	}
	if (now_ms - s->spread->since_ms >= IN_SPREAD_LINE_MS) {
		write_line(s->spread, q->service, now_ms);
		*s->spread = (struct in_spread){ .since_ms = now_ms };
	}
	s->spread->choices++;
	s->spread->far += k->distance == SELECTOR_OTHER_REGION;
	count_target(s->spread, k->id);
	count_age(s->spread,
		  selector_report_age_ms(&q->in->selector, k->id, now_ms));
}
