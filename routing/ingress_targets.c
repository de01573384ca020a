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

/* Returns 1 if the request may be sent to the node's target. */
static int is_candidate(const struct in_request *q, const struct map_node *n)
{
	const Wire__Target *t = n->info->target;

	return t && strcmp(t->service, q->service) == 0 &&
	       !has_failed_at(q, n->id);
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
		list[count].id = n->id;
		list[count].distance = distance_of(q, n->info);
		list[count++].places = n->info->target->concurrency;
	}
	selector_set_spread(&q->in->selector, q->in->settings->spread);
	best = selector_pick(&q->in->selector, list, count, q->forward.route,
			     expected_transfer_bytes(q), clk_ms(),
			     g_random_double(), NULL);
	id = best < count ? list[best].id : 0;
	if (id && q->in->settings->spread)
		in_note_choice(q, &list[best]);
	free(list);
	return id;
}
