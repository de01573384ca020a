#include "routing/gate_priv.h"
#include "common/clk.h"
#include "common/log.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/*
 * What a target says of itself in its answers: the rate that it takes, and that
 * it is leaving. Both hold for as long as answers say so. An answer without the
 * header ends it only if its request was sent after the latest one that had it,
 * since answers overtake each other.
 */

/* A limit above this is no limit; it also keeps the arithmetic finite. */
#define MAX_RATE_PER_S 1e9

static int parse_rate(const char *text, double *per_s)
{
	char *end;

	*per_s = strtod(text, &end);
	return end != text && !*end && isfinite(*per_s) && *per_s >= 0 &&
	       *per_s <= MAX_RATE_PER_S;
}

static const char *target_id(const struct gate *g)
{
	return g->target ? LOG_Q(g->target->id) : "-";
}

static void set_rate_limit(struct gate *g, int named, double per_s)
{
	if (named == g->rate_limit_named && per_s == g->rate_limit_per_s)
		return;
	if (named)
		admission_set_rate(&g->admission, per_s, clk_ms());
	else
		admission_clear_rate(&g->admission);
	log_request(LOG_INFO, "target_rate_limit",
		    "target=%s named=%d per_s=%.3f before_per_s=%.3f",
		    target_id(g), named, per_s, g->rate_limit_per_s);
	g->rate_limit_named = named;
	g->rate_limit_per_s = per_s;
	cnt_gauge(g->cnt, "gate_target_rate_limit", "", (uint64_t)per_s);
}

static void note_rate_limit(const struct gate_call *c, const char *value)
{
	struct gate *g = c->g;
	double per_s;

	if (!value) {
		if (c->sent_ns > g->rate_limit_named_ns)
			set_rate_limit(g, 0, 0);
		return;
	}
	if (!parse_rate(value, &per_s)) {
		log_request(LOG_WARN, "target_rate_limit_malformed",
			    "target=%s value=%s", target_id(g), LOG_Q(value));
		return;
	}
	g->rate_limit_named_ns = clk_ns();
	set_rate_limit(g, 1, per_s);
}

static void set_leaving(struct gate *g, int leaving)
{
	if (leaving == g->leaving_named)
		return;
	log_info("target_leaving_named", "target=%s leaving=%d", target_id(g),
		 leaving);
	g->leaving_named = leaving;
	g->leaving_changed = 1;
}

static void note_leaving(const struct gate_call *c, const char *value)
{
	struct gate *g = c->g;

	if (value && strcmp(value, "1") == 0) {
		g->leaving_named_ns = clk_ns();
		set_leaving(g, 1);
	} else if (c->sent_ns > g->leaving_named_ns) {
		set_leaving(g, 0);
	}
}

void gate_note_target_state(const struct gate_call *c,
			    const struct gate_target_headers *h)
{
	note_rate_limit(c, h->rate_limit);
	note_leaving(c, h->leaving);
}

void gate_report_target_leaving(struct gate *g)
{
	if (!g->leaving_changed)
		return;
	g->leaving_changed = 0;
	g->ops->target_leaving(g->leaving_named, g->priv);
}

void gate_reset_target_state(struct gate *g)
{
	set_rate_limit(g, 0, 0);
	set_leaving(g, 0);
	/* Whoever sets another run knows whether that one is leaving. */
	g->leaving_changed = 0;
	g->rate_limit_named_ns = 0;
	g->leaving_named_ns = 0;
}
