#include "config/doc_internal.h"

#include <stdlib.h>
#include <string.h>

int doc_regions_allow(char *const *regions, const char *region)
{
	if (!regions)
		return 1;
	for (; *regions; regions++) {
		if (!strcmp(*regions, region))
			return 1;
	}
	return 0;
}

static size_t count_names(char *const *names)
{
	size_t n = 0;

	while (names[n])
		n++;
	return n;
}

static char **copy_names(char *const *names)
{
	size_t count = count_names(names);
	char **copy = calloc(count + 1, sizeof(*copy));

	for (size_t i = 0; copy && i < count; i++) {
		copy[i] = strdup(names[i]);
		if (!copy[i]) {
			doc_free_names(copy);
			return NULL;
		}
	}
	return copy;
}

/* Removes the names that are not in the other list. */
static void keep_common(char **names, char *const *other)
{
	size_t kept = 0;

	for (size_t i = 0; names[i]; i++) {
		if (doc_regions_allow(other, names[i]))
			names[kept++] = names[i];
		else
			free(names[i]);
	}
	names[kept] = NULL;
}

static int leads_to(const struct doc_route *r, const char *service)
{
	for (size_t i = 0; i < r->destination_count; i++) {
		if (r->destinations[i].weight &&
		    !strcmp(r->destinations[i].service, service))
			return 1;
	}
	return 0;
}

static int allows_any_region(const struct doc_service *s)
{
	return !s->regions || !s->regions[0] || !strcmp(s->regions[0], "*");
}

enum err doc_owner_regions_init(struct doc_owner_regions *o,
				const struct doc *d,
				const struct doc_service *s)
{
	memset(o, 0, sizeof(*o));
	for (size_t i = 0; i < d->route_count; i++) {
		const struct doc_route *r = d->routes[i];

		if (!r->regions || !leads_to(r, s->name))
			continue;
		if (o->names)
			keep_common(o->names, r->regions);
		else
			o->names = copy_names(r->regions);
		if (!o->names)
			return ERR_NOMEM;
	}
	if (o->names && !allows_any_region(s))
		keep_common(o->names, s->regions);
	if (o->names && !o->names[0]) {
		doc_owner_regions_finish(o);
		o->conflict = 1;
	}
	return ERR_OK;
}

int doc_owner_regions_equal(const struct doc_owner_regions *a,
			    const struct doc_owner_regions *b)
{
	if (a->conflict != b->conflict || !a->names != !b->names)
		return 0;
	if (!a->names)
		return 1;
	if (count_names(a->names) != count_names(b->names))
		return 0;
	for (size_t i = 0; a->names[i]; i++) {
		if (!doc_regions_allow(b->names, a->names[i]))
			return 0;
	}
	return 1;
}

void doc_owner_regions_finish(struct doc_owner_regions *o)
{
	doc_free_names(o->names);
	memset(o, 0, sizeof(*o));
}

void doc_regions_add(char *const *regions, struct buf *out)
{
	for (size_t i = 0; regions && regions[i]; i++)
		buf_addf(out, "%s%s", i ? "," : "", regions[i]);
}
