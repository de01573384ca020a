#include "config/doc_internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * Applies changes to a document by reading the changed sections alone. What has
 * not changed is shared with the document before.
 */

int doc_section_is_route(const struct doc_section *s)
{
	return s->name &&
	       !strncmp(s->name, DOC_ROUTE_PREFIX, strlen(DOC_ROUTE_PREFIX));
}

static const char *route_name(const struct doc_section *s)
{
	return s->name + strlen(DOC_ROUTE_PREFIX);
}

/* Appends the section without looking for its place. */
static void append_shared(struct doc_sections *s,
			  const struct doc_section *section)
{
	s->items[s->count] = *section;
	++*s->items[s->count++].refs;
}

/* Merges the sections and the changes, which are both sorted. */
static enum err merge_sections(const struct doc_sections *s,
			       const struct doc_sections *changes,
			       struct doc_sections *out)
{
	size_t i = 0, k = 0;

	memset(out, 0, sizeof(*out));
	out->items = calloc(s->count + changes->count + 1, sizeof(*out->items));
	if (!out->items)
		return ERR_NOMEM;
	while (i < s->count || k < changes->count) {
		const struct doc_section *old =
			i < s->count ? &s->items[i] : NULL;
		const struct doc_section *new =
			k < changes->count ? &changes->items[k] : NULL;
		int order = !old ? 1 : !new ? -1 : strcmp(old->name, new->name);

		i += order <= 0;
		k += order >= 0;
		if (order < 0)
			append_shared(out, old);
		else if (new &&new->text)
			append_shared(out, new);
	}
	return ERR_OK;
}

enum err doc_changes_between(const struct doc_sections *from,
			     const struct doc_sections *to,
			     struct doc_sections *out)
{
	size_t i = 0, k = 0;
	enum err e = ERR_OK;

	memset(out, 0, sizeof(*out));
	while (e == ERR_OK && (i < from->count || k < to->count)) {
		const struct doc_section *old =
			i < from->count ? &from->items[i] : NULL;
		const struct doc_section *new =
			k < to->count ? &to->items[k] : NULL;
		int order = !old   ? 1
			    : !new ? -1
			    : old->refs == new->refs
				    ? 0
				    : strcmp(old->name, new->name);

		i += order <= 0;
		k += order >= 0;
		if (order < 0)
			e = doc_changes_remove(out, old->name);
		else if (order > 0 || old->digest != new->digest ||
			 old->len != new->len)
			e = doc_sections_share(out, new);
	}
	return e;
}

/* ---- services and stops ---- */

static int changes_shared_parts(const struct doc_sections *changes)
{
	for (size_t i = 0; i < changes->count; i++) {
		if (!doc_section_is_route(&changes->items[i]))
			return 1;
	}
	return 0;
}

/* Reads services and stops from the sections. */
static void read_shared(struct doc_check *c, struct doc *d,
			const struct doc_sections *sections)
{
	struct doc_sections shared = { 0 };
	enum err e = ERR_OK;
	json_t *root = NULL;

	for (size_t i = 0; e == ERR_OK && i < sections->count; i++) {
		if (!doc_section_is_route(&sections->items[i]))
			e = doc_sections_share(&shared, &sections->items[i]);
	}
	if (e == ERR_OK)
		root = doc_join_sections(c, &shared);
	if (root)
		doc_read_shared(c, d, root);
	else
		doc_add_problem(c, ERR_NOMEM, "document", "no memory");
	json_decref(root);
	doc_sections_finish(&shared);
}

/* ---- routes ---- */

/* Reads the route of one changed section and adds it to d. */
static void add_changed_route(struct doc_check *c, struct doc *d,
			      const struct doc_section *s)
{
	struct doc_route *r = doc_route_new();
	char path[DOC_PATH_BYTES], where[DOC_PATH_BYTES];
	json_t *value;

	if (!r) {
		doc_add_problem(c, ERR_NOMEM, "routes", "no memory");
		return;
	}
	d->routes[d->route_count++] = r;
	doc_path_key(where, "section", s->name);
	value = doc_load_json(c, where, s->text, s->len);
	doc_path_key(path, "routes", route_name(s));
	if (value)
		doc_read_route(c, d, r, route_name(s), value, path);
	json_decref(value);
}

/* Moves the route added last to its place among those before it. */
static void sort_last_route(struct doc *d)
{
	size_t low = 0, high = d->route_count - 1;
	struct doc_route *r = d->routes[high];

	while (low < high) {
		size_t mid = (low + high) / 2;

		if (doc_compare_routes(&d->routes[mid], &r) <= 0)
			low = mid + 1;
		else
			high = mid;
	}
	memmove(&d->routes[low + 1], &d->routes[low],
		(d->route_count - 1 - low) * sizeof(struct doc_route *));
	d->routes[low] = r;
}

static void add_service_routes(struct doc_check *c, struct doc *d)
{
	for (size_t i = 0; i < d->service_count; i++) {
		size_t before = d->route_count;

		if (doc_add_service_route(d, &d->services[i]) != ERR_OK)
			doc_add_problem(c, ERR_NOMEM, "routes", "no memory");
		else if (d->route_count > before)
			sort_last_route(d);
	}
}

/* Returns 1 if the document keeps this route of the one before. */
static int keeps_route(const struct doc_route *r,
		       const struct doc_sections *changes, int services_changed)
{
	char name[sizeof(DOC_ROUTE_PREFIX) + DOC_NAME_BYTES] = DOC_ROUTE_PREFIX;

	if (r->of_service)
		return !services_changed;
	memcpy(name + strlen(DOC_ROUTE_PREFIX), r->name, sizeof(r->name));
	return !doc_sections_get(changes, name);
}

/* Adds the kept routes of the document before to those in d. */
static void merge_routes(struct doc_check *c, struct doc *d,
			 const struct doc *before,
			 const struct doc_sections *changes,
			 int services_changed)
{
	struct doc_route **read = d->routes;
	size_t read_count = d->route_count;
	size_t k = 0;

	d->routes = calloc(before->route_count + read_count + 1,
			   sizeof(struct doc_route *));
	if (!d->routes) {
		d->routes = read;
		doc_add_problem(c, ERR_NOMEM, "routes", "no memory");
		return;
	}
	d->route_count = 0;
	for (size_t i = 0; i < before->route_count; i++) {
		struct doc_route *r = before->routes[i];
		int order = -1;

		if (!keeps_route(r, changes, services_changed))
			continue;
		while (k < read_count &&
		       (order = doc_compare_routes(&read[k], &r)) < 0)
			d->routes[d->route_count++] = read[k++];
		if (k < read_count && !order)
			doc_report_equal_routes(c, r, read[k]);
		if (services_changed)
			doc_check_destinations(c, d, r, "routes");
		r->refs++;
		d->routes[d->route_count++] = r;
	}
	while (k < read_count)
		d->routes[d->route_count++] = read[k++];
	free(read);
	if (d->route_count > DOC_MAX_ROUTES + d->service_count)
		doc_add_problem(c, ERR_TOO_LARGE, "routes",
				"has too many routes (allowed: at most %d)",
				DOC_MAX_ROUTES);
}

void doc_update_init(struct doc_update *u, const struct doc *d,
		     const struct doc_sections *sections,
		     struct doc_sections *changes)
{
	struct doc_check c;

	memset(u, 0, sizeof(*u));
	u->changes = *changes;
	memset(changes, 0, sizeof(*changes));
	buf_init(&u->problems);
	c = (struct doc_check){ .problems = &u->problems };
	u->shared = changes_shared_parts(&u->changes) || !d->refs;
	u->error = doc_copy(d, &u->base);
	if (u->error == ERR_OK)
		u->error = doc_sections_copy(sections, &u->base_sections);
	if (u->error == ERR_OK)
		u->error =
			merge_sections(sections, &u->changes, &u->out_sections);
	if (u->error != ERR_OK)
		return;
	if (u->shared)
		read_shared(&c, &u->out, &u->out_sections);
	else
		doc_share(&u->base, &u->out);
	u->out.routes = calloc(u->changes.count + u->out.service_count + 1,
			       sizeof(struct doc_route *));
	if (!u->out.routes)
		c.first_error = ERR_NOMEM;
	u->error = c.first_error;
}

int doc_update_step(struct doc_update *u, size_t count)
{
	struct doc_check c = { .problems = &u->problems,
			       .first_error = u->error };

	/* All problems are found, but without services each is one. */
	if (!u->out.routes)
		return 0;
	for (; count && u->next < u->changes.count; u->next++) {
		const struct doc_section *s = &u->changes.items[u->next];
		size_t before = u->out.route_count;

		if (!doc_section_is_route(s) || !s->text)
			continue;
		add_changed_route(&c, &u->out, s);
		if (u->out.route_count > before)
			sort_last_route(&u->out);
		count--;
	}
	u->error = c.first_error;
	return u->next < u->changes.count;
}

enum err doc_update_end(struct doc_update *u, struct doc *out,
			struct doc_sections *sections)
{
	struct doc_check c = { .problems = &u->problems };

	while (doc_update_step(u, u->changes.count))
		;
	c.first_error = u->error;
	memset(out, 0, sizeof(*out));
	memset(sections, 0, sizeof(*sections));
	if (u->out.routes) {
		if (u->shared)
			add_service_routes(&c, &u->out);
		for (size_t i = 1; i < u->out.route_count; i++) {
			if (!doc_compare_routes(&u->out.routes[i - 1],
						&u->out.routes[i]))
				doc_report_equal_routes(&c,
							u->out.routes[i - 1],
							u->out.routes[i]);
		}
		merge_routes(&c, &u->out, &u->base, &u->changes, u->shared);
	}
	u->error = c.first_error;
	if (u->error != ERR_OK)
		return u->error;
	*out = u->out;
	*sections = u->out_sections;
	memset(&u->out, 0, sizeof(u->out));
	memset(&u->out_sections, 0, sizeof(u->out_sections));
	return ERR_OK;
}

void doc_update_finish(struct doc_update *u)
{
	doc_finish(&u->base);
	doc_finish(&u->out);
	doc_sections_finish(&u->base_sections);
	doc_sections_finish(&u->out_sections);
	doc_sections_finish(&u->changes);
	buf_finish(&u->problems);
}
