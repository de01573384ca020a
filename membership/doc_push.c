#include "membership/doc_push.h"

#include <stdlib.h>
#include <string.h>

enum err doc_push_init(Wire__DocPush *p, size_t count)
{
	wire__doc_push__init(p);
	p->sections = calloc(count + 1, sizeof(*p->sections));
	return p->sections ? ERR_OK : ERR_NOMEM;
}

enum err doc_push_add(Wire__DocPush *p, const struct doc_section *s,
		      int removed)
{
	Wire__DocSection *w = malloc(sizeof(*w));

	if (!w)
		return ERR_NOMEM;
	wire__doc_section__init(w);
	w->name = s->name;
	w->removed = removed;
	if (!removed) {
		w->text.data = (uint8_t *)s->text;
		w->text.len = s->len;
	}
	p->sections[p->n_sections++] = w;
	return ERR_OK;
}

enum err doc_push_add_all(Wire__DocPush *p, const struct doc_sections *all)
{
	enum err e = ERR_OK;

	for (size_t i = 0; e == ERR_OK && i < all->count; i++)
		e = doc_push_add(p, &all->items[i], 0);
	return e;
}

void doc_push_finish(Wire__DocPush *p)
{
	for (size_t i = 0; i < p->n_sections; i++)
		free(p->sections[i]);
	free(p->sections);
}

enum err doc_push_read(const Wire__DocPush *p, struct doc_sections *changes)
{
	enum err e = ERR_OK;

	memset(changes, 0, sizeof(*changes));
	for (size_t i = 0; e == ERR_OK && i < p->n_sections; i++) {
		const Wire__DocSection *s = p->sections[i];

		if (!s->removed)
			e = doc_sections_set(changes, s->name,
					     (const char *)s->text.data,
					     s->text.len);
		else if (p->base_rev)
			e = doc_changes_remove(changes, s->name);
	}
	return e;
}

enum err doc_push_read_changes(const Wire__DocPush *p,
			       const struct doc_sections *base,
			       struct doc_sections *changes)
{
	struct doc_sections all;
	enum err e;

	if (p->base_rev)
		return doc_push_read(p, changes);
	e = doc_push_read(p, &all);
	memset(changes, 0, sizeof(*changes));
	if (e == ERR_OK)
		e = doc_changes_between(base, &all, changes);
	doc_sections_finish(&all);
	return e;
}
