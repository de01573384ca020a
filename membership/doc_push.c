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

enum err doc_push_read(const Wire__DocPush *p, const struct doc_sections *base,
		       struct doc_sections *out)
{
	enum err e = ERR_OK;

	memset(out, 0, sizeof(*out));
	for (size_t i = 0; base && e == ERR_OK && i < base->count; i++) {
		const struct doc_section *s = &base->items[i];

		e = doc_sections_set(out, s->name, s->text, s->len);
	}
	for (size_t i = 0; e == ERR_OK && i < p->n_sections; i++) {
		const Wire__DocSection *s = p->sections[i];

		e = doc_sections_set(out, s->name,
				     s->removed ? NULL
						: (const char *)s->text.data,
				     s->text.len);
	}
	return e;
}
