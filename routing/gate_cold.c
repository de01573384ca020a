#include "routing/gate_priv.h"
#include "common/clk.h"
#include "common/log.h"

/*
 * A target that is cold takes a stated number of requests a second from all
 * nodes together and ends if it gets far more. Every request reaches it through
 * this gate, so that the gate alone keeps the rate.
 */

/*
 * A target on a busy VM may warm up late, and states its remaining time by a
 * clock that is read before the announcement is sent.
 */
#define GATE_COLD_MARGIN_MS 200

/* Returns the limit that the document sets for the target now; 0: none. */
static double cold_rate(const struct gate *g, int64_t now_ms)
{
	const struct doc *d = g->view->ops->doc(g->view);
	const struct doc_service *s;

	if (!g->target || !d || now_ms >= g->cold_until_ms)
		return 0;
	s = doc_find_service(d, g->target->service);
	return s ? s->cold_per_s : 0;
}

void gate_update_cold(struct gate *g)
{
	int64_t now_ms = clk_ms();
	double per_s;

	if (!g->cold_until_ms)
		return;
	per_s = cold_rate(g, now_ms);
	if (per_s != g->cold_per_s) {
		admission_set_cold_rate(&g->admission, per_s, now_ms);
		log_info("target_cold_limit",
			 "target=%s per_s=%.3f before_per_s=%.3f left_ms=%lld "
			 "queued=%u",
			 g->target ? LOG_Q(g->target->id) : "-", per_s,
			 g->cold_per_s, (long long)(g->cold_until_ms - now_ms),
			 g->admission.queued);
		g->cold_per_s = per_s;
		cnt_gauge(g->cnt, "gate_target_cold_limit", "",
			  (uint64_t)per_s);
	}
	if (now_ms >= g->cold_until_ms)
		g->cold_until_ms = 0;
}

void gate_set_cold(struct gate *g, int64_t cold_ms)
{
	int64_t now_ms = clk_ms();

	if (cold_ms > 0)
		g->cold_until_ms = now_ms + cold_ms + GATE_COLD_MARGIN_MS;
	else if (g->cold_until_ms)
		g->cold_until_ms = now_ms;
	gate_update_cold(g);
}

uint32_t gate_cold_ms(const struct gate *g)
{
	int64_t left_ms = g->cold_until_ms - clk_ms();

	return g->cold_per_s > 0 && left_ms > 0 ? (uint32_t)left_ms : 0;
}

enum err gate_check_cold(const struct gate *g)
{
	if (clk_ms() >= g->cold_until_ms || g->view->ops->doc(g->view))
		return ERR_OK;
	return ERR_STALE;
}

enum err gate_check_cold_send(struct gate *g, int repeated)
{
	int64_t now_ms = clk_ms();

	gate_update_cold(g);
	if (!cold_limit_may_send(&g->admission.cold, now_ms)) {
		cnt_add(g->cnt, "gate_cold_unsent", "", 1);
		return ERR_SHED;
	}
	/* Admission has not counted the second send. */
	if (repeated)
		cold_limit_take(&g->admission.cold, now_ms);
	cold_limit_note_sent(&g->admission.cold, now_ms);
	return ERR_OK;
}
