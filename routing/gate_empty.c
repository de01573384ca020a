#include "routing/gate_priv.h"
#include "common/clk.h"
#include "common/log.h"

#include <utlist.h>

/*
 * Longest time from the order until this node learns of it: its watch brings
 * events at most WATCH_BATCH_MS (platform/kv_watch.c) late, and if it is silent
 * the node reads after NODE_DOCUMENT_STALE_MS (daemon/node.h).
 */
#define GATE_EMPTY_LEARN_MS 1500
/*
 * Targets may have become cold while they were emptied. Until the next
 * announcement, which is due every 870 ms and may be late, they count as cold.
 */
#define GATE_RETURN_COLD_MS 1500

void gate_set_data_centre(struct gate *g, const char *data_centre,
			  int64_t empty_ms)
{
	g->data_centre = data_centre;
	g->empty_ms = empty_ms;
}

static int is_drained(const struct gate *g)
{
	return g->data_centre &&
	       g->view->ops->data_centre_is_drained(g->view, g->data_centre);
}

/* How long requests with a key go on after this node learnt of the order. */
static int64_t keyed_ms(const struct gate *g)
{
	int64_t ms = g->empty_ms - GATE_EMPTY_LEARN_MS - GATE_DRAIN_MARGIN_MS;

	return ms > 0 ? ms : 0;
}

enum err gate_check_emptying(const struct gate *g, int keyed)
{
	if (!is_drained(g))
		return ERR_OK;
	if (!keyed)
		return ERR_NO_TARGET;
	if (!g->empty_ms || (g->emptying_since_ms &&
			     clk_ms() - g->emptying_since_ms < keyed_ms(g)))
		return ERR_OK;
	return ERR_NO_TARGET;
}

/* Callbacks may change the list, so each search starts at its head. */
static struct gate_call *find_emptied_call(const struct gate *g)
{
	struct gate_call *c;

	DL_FOREACH(g->calls, c) {
		if (c->item.state == ADMISSION_QUEUED &&
		    gate_check_emptying(g, c->f->key[0] != 0) != ERR_OK)
			return c;
	}
	return NULL;
}

void gate_end_emptied_calls(struct gate *g)
{
	struct gate_call *c;

	while ((c = find_emptied_call(g)))
		gate_call_fail(c, OUTCOME_NOT_RUN, ERR_NO_TARGET);
}

void gate_view_changed(struct gate *g)
{
	int drained = is_drained(g);

	/* Before the first document, nothing is known of the operators' stops.
	 */
	if (!g->view->ops->doc(g->view))
		return;
	if (!drained)
		g->seen_in_use = 1;
	if (drained == g->emptying)
		return;
	g->emptying = drained;
	g->emptying_since_ms = drained && g->seen_in_use ? clk_ms() : 0;
	if (!drained) {
		log_info("emptying_ended", "data_centre=%s",
			 LOG_Q(g->data_centre));
		if (g->cold_until_ms < clk_ms() + GATE_RETURN_COLD_MS)
			gate_set_cold(g, GATE_RETURN_COLD_MS);
		return;
	}
	log_info("emptying",
		 "data_centre=%s seen_in_use=%d empty_ms=%lld keyed_ms=%lld "
		 "in_flight=%u queued=%u",
		 LOG_Q(g->data_centre), g->seen_in_use, (long long)g->empty_ms,
		 g->empty_ms ? (long long)keyed_ms(g) : -1, g->in_flight,
		 g->admission.queued);
	gate_end_emptied_calls(g);
}
