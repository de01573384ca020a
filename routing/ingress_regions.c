#include "routing/ingress_priv.h"
#include "common/log.h"

#include <string.h>

/* The regions that a request may go to, by its route. */

void in_regions_refresh(struct in_request *q)
{
	static char *const none[] = { NULL };
	const struct view *v = q->in->view;
	const struct doc *doc = v->ops->doc(q->in->view);
	const struct doc_route *r = NULL;

	if (doc)
		r = doc_find_route(doc, httpd_get_header(q->http, "Host"),
				   q->http->path);
	if (r)
		q->regions = r->regions;
	else
		q->regions = q->has_regions ? none : NULL;
	q->has_regions = q->regions != NULL;
}

static const char *region_of(const struct in_request *q, const Wire__Node *n)
{
	const struct ingress *in = q->in;

	return n->id == in->view->ops->self(in->view) ? in->settings->region
						      : n->region;
}

int in_regions_allow(const struct in_request *q, const Wire__Node *n)
{
	return !q->regions || doc_regions_allow(q->regions, region_of(q, n));
}

/* Counts the targets of the service inside and outside of the regions. */
static void count_targets(const struct in_request *q, const struct map *m,
			  unsigned *inside, unsigned *outside)
{
	struct map_node *n, *next;

	*inside = 0;
	*outside = 0;
	HASH_ITER(hh, m->nodes, n, next) {
		const Wire__Target *t = n->info->target;

		if (!t || strcmp(t->service, q->service) != 0)
			continue;
		if (in_regions_allow(q, n->info))
			++*inside;
		else
			++*outside;
	}
}

int in_regions_refuse(const struct in_request *q, const struct map *m)
{
	const struct map_node *owner = map_find_node(m, q->owner);
	const struct view *v = q->in->view;
	const struct doc *doc = v->ops->doc(q->in->view);
	char labels[LABEL_BYTES];
	unsigned inside, outside;
	struct buf regions;

	if (!q->regions || (owner && in_regions_allow(q, owner->info)))
		return 0;
	count_targets(q, m, &inside, &outside);
	/* Without an owner, one of them may become it. */
	if (!owner && inside)
		return 0;
	cnt_add(q->in->cnt, "in_region_refused",
		labels_write(&q->in->labels, q->service, q->tenant, labels), 1);
	buf_init(&regions);
	doc_regions_add(q->regions, &regions);
	log_request(LOG_INFO, "region_refused",
		    "id=%s service=%s key=%s regions=%s owner=%s "
		    "owner_region=%s targets_inside=%u targets_outside=%u "
		    "tries=%u map_revision=%llu doc_revision=%llu",
		    LOG_Q(q->forward.request_id), LOG_Q(q->service),
		    q->key ? LOG_Q(q->key) : "-", LOG_Q(buf_text(&regions)),
		    LOG_Q(q->owner_name),
		    owner ? LOG_Q(region_of(q, owner->info)) : "-", inside,
		    outside, q->attempt_count, (unsigned long long)m->rev,
		    (unsigned long long)(doc ? doc->revision : 0));
	buf_finish(&regions);
	return 1;
}
