#include "routing/ingress_priv.h"
#include "common/clk.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Expected size of the headers of a forwarded request and its answer. */
#define IN_EXPECTED_HEADER_BYTES 1024

static int has_failed_at(const struct in_request *q, uint32_t id)
{
	for (unsigned i = 0; i < q->failed_target_count; i++) {
		if (q->failed_targets[i] == id)
			return 1;
	}
	return 0;
}

static enum selector_distance distance_of(const struct in_request *q,
					  const Wire__Node *n)
{
	const struct settings *settings = q->in->settings;

	if (n->id == q->in->view->ops->self(q->in->view))
		return SELECTOR_SAME_VM;
	if (strcmp(n->data_centre, settings->data_centre) == 0)
		return SELECTOR_SAME_DATA_CENTRE;
	return strcmp(n->region, settings->region) == 0 ? SELECTOR_SAME_REGION
							: SELECTOR_OTHER_REGION;
}

/* Returns the expected size of the request and its answer with headers. */
static size_t expected_transfer_bytes(const struct in_request *q)
{
	const struct in_service_state *s =
		in_service_state_get(q->in, q->service);

	return q->forward.body.len + IN_EXPECTED_HEADER_BYTES +
	       (size_t)(s ? s->answer_bytes : 0);
}

/*
 * A body above this is sent in its turn on the line of the target's VM. Where
 * that line is the scarce room, targets with free places are not the ones that
 * can take it soon, and the lowest expected cost, which has the time on the
 * network, chooses better than a draw by places.
 */
#define IN_SPREAD_MAX_BODY_BYTES (16 * 1024)

static int may_spread(const struct in_request *q)
{
	return q->in->settings->spread &&
	       q->forward.body.len <= IN_SPREAD_MAX_BODY_BYTES;
}

/* Returns 1 if the request may be sent to the node's target. */
static int is_candidate(const struct in_request *q, const struct map_node *n)
{
	struct view *v = q->in->view;
	const Wire__Target *t = n->info->target;

	return t && strcmp(t->service, q->service) == 0 &&
	       !has_failed_at(q, n->id) && in_regions_allow(q, n->info) &&
	       !v->ops->data_centre_is_drained(v, n->info->data_centre);
}

/* Requests a second that a cold target of the service takes; 0: any. */
static double cold_per_s(const struct in_request *q)
{
	const struct doc *d = q->in->view->ops->doc(q->in->view);
	const struct doc_service *s =
		d ? doc_find_service(d, q->service) : NULL;

	return s ? s->cold_per_s : 0;
}

void in_note_cold(struct in_request *q, uint32_t cold_ms)
{
	double per_s = cold_per_s(q);

	if (per_s > 0)
		selector_set_cold_rate(&q->in->selector, q->owner,
				       cold_ms ? clk_ms() + cold_ms : 0, per_s);
}

/* The map says how long a target was cold when it announced itself. */
static void note_announced_cold(struct in_request *q, const struct map_node *n)
{
	const Wire__Target *t = n->info->target;
	double per_s = t->cold_ms ? cold_per_s(q) : 0;

	if (per_s > 0)
		selector_note_announced_cold(&q->in->selector, n->id,
					     t->born_ms, t->cold_ms, per_s,
					     clk_ms());
}

uint32_t in_choose_target(struct in_request *q, const struct map *m)
{
	unsigned max = HASH_COUNT(m->nodes);
	struct selector_candidate *list = calloc(max + 1, sizeof(*list));
	struct map_node *n, *next;
	size_t count = 0;
	size_t best;
	uint32_t id;

	if (!list)
		return 0;
	HASH_ITER(hh, m->nodes, n, next) {
		if (!is_candidate(q, n))
			continue;
		note_announced_cold(q, n);
		list[count].id = n->id;
		list[count].distance = distance_of(q, n->info);
		list[count++].places = n->info->target->concurrency;
	}
	selector_set_spread(&q->in->selector, may_spread(q));
	best = selector_pick(&q->in->selector, list, count, q->forward.route,
			     expected_transfer_bytes(q), clk_ms(),
			     g_random_double(), NULL);
	selector_set_spread(&q->in->selector, q->in->settings->spread);
	id = best < count ? list[best].id : 0;
	if (id && may_spread(q))
		in_note_choice(q, &list[best]);
	free(list);
	return id;
}
