#include "config/doc_lint.h"

#include <string.h>

static int has_name(char *const *names, const char *name)
{
	for (; names && *names; names++) {
		if (!strcmp(*names, "*") || !strcmp(*names, name))
			return 1;
	}
	return 0;
}

/* ---- services ---- */

/* Why the node cannot own keys of the service; NULL: nothing is known. */
static const char *node_problem(const struct doc *d,
				const struct doc_service *s, const char *node)
{
	if (!has_name(s->nodes, node))
		return "is not in targets.nodes";
	if (doc_has_stop(d, node))
		return "is in stops";
	return NULL;
}

static void lint_pins(const struct doc *d, const struct doc_service *s,
		      struct buf *out)
{
	for (size_t i = 0; i < s->pin_count; i++) {
		const char *why = node_problem(d, s, s->pins[i].node);

		if (why)
			buf_addf(out, "services.%s.pins[%zu].node: %s %s\n",
				 s->name, i, s->pins[i].node, why);
	}
}

static void lint_assign(const struct doc *d, const struct doc_service *s,
			struct buf *out)
{
	for (size_t i = 0; i < s->assign_count; i++) {
		char **nodes = s->assign[i].nodes;

		for (size_t k = 0; nodes && nodes[k]; k++) {
			const char *why = node_problem(d, s, nodes[k]);

			if (why)
				buf_addf(out,
					 "services.%s.assign[%zu].nodes[%zu]: "
					 "%s %s\n",
					 s->name, i, k, nodes[k], why);
		}
	}
}

static enum err lint_owner_regions(const struct doc *d,
				   const struct doc_service *s, struct buf *out)
{
	struct doc_owner_regions regions;
	enum err e = doc_owner_regions_init(&regions, d, s);

	if (e == ERR_OK && regions.conflict)
		buf_addf(out,
			 "services.%s: no region is allowed by all of its "
			 "routes and targets.regions, so that its owners are "
			 "placed without the routes' regions\n",
			 s->name);
	doc_owner_regions_finish(&regions);
	return e;
}

static enum err lint_service(const struct doc *d, const struct doc_service *s,
			     struct buf *out)
{
	if (s->keyed) {
		lint_pins(d, s, out);
		lint_assign(d, s, out);
		return lint_owner_regions(d, s, out);
	}
	if (s->pin_count)
		buf_addf(out, "services.%s.pins: the service has no keys\n",
			 s->name);
	if (s->assign_count)
		buf_addf(out, "services.%s.assign: the service has no keys\n",
			 s->name);
	return ERR_OK;
}

/* ---- routes ---- */

static int allows_region_of(const struct doc_route *r,
			    const struct doc_service *s)
{
	for (size_t i = 0; r->regions && r->regions[i]; i++) {
		if (has_name(s->regions, r->regions[i]))
			return 1;
	}
	return !r->regions;
}

static void lint_destination(const struct doc *d, const struct doc_route *r,
			     size_t i, struct buf *out)
{
	const struct doc_destination *to = &r->destinations[i];
	const struct doc_service *s = doc_find_service(d, to->service);

	if (!to->weight) {
		buf_addf(out,
			 "routes.%s.to[%zu].weight: 0, %s gets no requests\n",
			 r->name, i, to->service);
		return;
	}
	if (!s)
		return;
	if (!allows_region_of(r, s))
		buf_addf(out,
			 "routes.%s.regions: none is in targets.regions of "
			 "%s\n",
			 r->name, s->name);
	if (r->timeout_ms > s->deadline_ms)
		buf_addf(out,
			 "routes.%s.timeout_ms: %u is above "
			 "limits.deadline_ms %u of %s\n",
			 r->name, r->timeout_ms, s->deadline_ms, s->name);
	if (!r->timeout_ms && r->target_ms > s->deadline_ms)
		buf_addf(out,
			 "routes.%s.target_ms: %u is above "
			 "limits.deadline_ms %u of %s\n",
			 r->name, r->target_ms, s->deadline_ms, s->name);
}

static void lint_route(const struct doc *d, const struct doc_route *r,
		       struct buf *out)
{
	if (r->timeout_ms && r->target_ms > r->timeout_ms)
		buf_addf(out,
			 "routes.%s.target_ms: %u is above timeout_ms %u\n",
			 r->name, r->target_ms, r->timeout_ms);
	for (size_t i = 0; i < r->destination_count; i++)
		lint_destination(d, r, i, out);
}

enum err doc_lint(const struct doc *d, struct buf *out)
{
	enum err e = ERR_OK;

	for (size_t i = 0; e == ERR_OK && i < d->service_count; i++)
		e = lint_service(d, &d->services[i], out);
	for (size_t i = 0; e == ERR_OK && i < d->route_count; i++) {
		if (!d->routes[i]->of_service)
			lint_route(d, d->routes[i], out);
	}
	return e;
}
