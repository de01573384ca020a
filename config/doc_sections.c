#include "config/doc_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Returns the index of the first item whose name is not less than name. */
static size_t find_position(const struct doc_sections *s, const char *name)
{
	size_t low = 0, high = s->count;

	while (low < high) {
		size_t mid = (low + high) / 2;

		if (strcmp(s->items[mid].name, name) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

const struct doc_section *doc_sections_get(const struct doc_sections *s,
					   const char *name)
{
	size_t i = find_position(s, name);

	if (i < s->count && !strcmp(s->items[i].name, name))
		return &s->items[i];
	return NULL;
}

static void section_finish(struct doc_section *item)
{
	if (!--*item->refs)
		free(item->refs);
}

static void remove_section(struct doc_sections *s, size_t i)
{
	section_finish(&s->items[i]);
	memmove(&s->items[i], &s->items[i + 1],
		(s->count - i - 1) * sizeof(*s->items));
	s->count--;
}

/* Adds or replaces a section. Takes over the reference. */
static enum err put_section(struct doc_sections *s,
			    const struct doc_section *section)
{
	size_t i = find_position(s, section->name);
	struct doc_section *items;

	if (i < s->count && !strcmp(s->items[i].name, section->name)) {
		section_finish(&s->items[i]);
		s->items[i] = *section;
		return ERR_OK;
	}
	items = realloc(s->items, (s->count + 1) * sizeof(*items));
	if (!items)
		return ERR_NOMEM;
	s->items = items;
	memmove(&items[i + 1], &items[i], (s->count - i) * sizeof(*items));
	items[i] = *section;
	s->count++;
	return ERR_OK;
}

/* text may be NULL. Reference count, name and text are one block. */
static enum err add_new_section(struct doc_sections *s, const char *name,
				const char *text, size_t len, uint64_t digest)
{
	size_t name_size = strlen(name) + 1;
	struct doc_section section = { .len = len, .digest = digest };
	enum err e;

	section.refs = malloc(sizeof(*section.refs) + name_size +
			      (text ? len + 1 : 0));
	if (!section.refs)
		return ERR_NOMEM;
	*section.refs = 1;
	section.name = (char *)(section.refs + 1);
	memcpy(section.name, name, name_size);
	if (text) {
		section.text = section.name + name_size;
		memcpy(section.text, text, len);
		section.text[len] = 0;
	}
	e = put_section(s, &section);
	if (e != ERR_OK)
		section_finish(&section);
	return e;
}

enum err doc_sections_set(struct doc_sections *s, const char *name,
			  const char *text, size_t len)
{
	if (!text) {
		size_t i = find_position(s, name);

		if (i >= s->count || strcmp(s->items[i].name, name) != 0)
			return ERR_NOT_FOUND;
		remove_section(s, i);
		return ERR_OK;
	}
	return add_new_section(s, name, text, len, XXH3_64bits(text, len));
}

enum err doc_sections_add_digest(struct doc_sections *s, const char *name,
				 uint64_t digest)
{
	return add_new_section(s, name, NULL, 0, digest);
}

enum err doc_changes_remove(struct doc_sections *changes, const char *name)
{
	return add_new_section(changes, name, NULL, 0, 0);
}

enum err doc_sections_share(struct doc_sections *s,
			    const struct doc_section *section)
{
	enum err e;

	++*section->refs;
	e = put_section(s, section);
	if (e != ERR_OK)
		--*section->refs;
	return e;
}

enum err doc_sections_copy(const struct doc_sections *s,
			   struct doc_sections *out)
{
	memset(out, 0, sizeof(*out));
	out->items = malloc((s->count + 1) * sizeof(*out->items));
	if (!out->items)
		return ERR_NOMEM;
	out->count = s->count;
	for (size_t i = 0; i < s->count; i++) {
		out->items[i] = s->items[i];
		++*out->items[i].refs;
	}
	return ERR_OK;
}

void doc_sections_finish(struct doc_sections *s)
{
	for (size_t i = 0; i < s->count; i++)
		section_finish(&s->items[i]);
	free(s->items);
	memset(s, 0, sizeof(*s));
}

static enum err set_json_section(struct doc_sections *s, const char *name,
				 const json_t *value)
{
	char *text = json_dumps(value, DOC_JSON_COMPACT);
	enum err e;

	if (!text)
		return ERR_NOMEM;
	e = doc_sections_set(s, name, text, strlen(text));
	free(text);
	return e;
}

/*
 * Adds a section for each member of the object, named prefix and name. The
 * document has been validated, so the names fit.
 */
static enum err add_object_sections(json_t *object, const char *prefix,
				    struct doc_sections *out)
{
	const char *name;
	json_t *value;
	enum err e;

	json_object_foreach(object, name, value) {
		char section[DOC_PATH_BYTES];

		snprintf(section, sizeof(section), "%s%s", prefix, name);
		e = set_json_section(out, section, value);
		if (e != ERR_OK)
			return e;
	}
	return ERR_OK;
}

static enum err add_all_sections(const json_t *root, struct doc_sections *out)
{
	json_t *stops = json_object_get(root, DOC_STOPS_NAME);
	enum err e;

	e = add_object_sections(json_object_get(root, "services"),
				DOC_SERVICE_PREFIX, out);
	if (e == ERR_OK)
		e = add_object_sections(json_object_get(root, "routes"),
					DOC_ROUTE_PREFIX, out);
	if (e != ERR_OK)
		return e;
	if (stops)
		return set_json_section(out, DOC_STOPS_NAME, stops);
	/* A document without stops is equal to one with an empty list. */
	return doc_sections_set(out, DOC_STOPS_NAME, "[]", 2);
}

void doc_rest_finish(struct doc_rest *r)
{
	doc_sections_finish(&r->sections);
	json_decref(r->columns);
	memset(r, 0, sizeof(*r));
}

enum err doc_split_services(json_t *services, struct doc_sections *out)
{
	const char *name;
	json_t *value;

	json_object_foreach(services, name, value) {
		if (strlen(name) > DOC_MAX_SERVICE_NAME)
			return ERR_RANGE;
	}
	if (add_object_sections(services, DOC_SERVICE_PREFIX, out) != ERR_OK)
		return ERR_NOMEM;
	return doc_sections_set(out, DOC_STOPS_NAME, "[]", 2);
}

enum err doc_add_route_section(struct doc_sections *sections, const char *name,
			       const json_t *value,
			       char section[DOC_NAME_BYTES])
{
	if (strlen(name) > DOC_MAX_ROUTE_NAME)
		return ERR_RANGE;
	snprintf(section, DOC_NAME_BYTES, "%s%s", DOC_ROUTE_PREFIX, name);
	return set_json_section(sections, section, value);
}

enum err doc_split(const char *text, size_t len, struct doc_sections *out,
		   struct buf *problems)
{
	struct doc_check c = { .problems = problems };
	struct doc d;
	json_t *root;

	memset(out, 0, sizeof(*out));
	root = doc_load_json(&c, "document", text, len);
	if (!root)
		return c.first_error;
	doc_read_root(&c, &d, root);
	doc_finish(&d);
	if (c.first_error == ERR_OK)
		c.first_error = add_all_sections(root, out);
	json_decref(root);
	if (c.first_error != ERR_OK)
		doc_sections_finish(out);
	return c.first_error;
}

enum err doc_parse_json(struct doc *d, struct doc_sections *out, json_t *root,
			struct buf *problems)
{
	struct doc_check c = { .problems = problems };

	memset(out, 0, sizeof(*out));
	doc_read_root(&c, d, root);
	if (c.first_error == ERR_OK)
		c.first_error = add_all_sections(root, out);
	if (c.first_error != ERR_OK) {
		doc_finish(d);
		doc_sections_finish(out);
	}
	return c.first_error;
}

/* Objects that join_sections fills. */
struct joined_objects {
	json_t *root;
	json_t *services;
	json_t *routes;
};

/*
 * Returns the object that the section's value belongs to and sets *name to its
 * name there. NULL: the section's name is unknown.
 */
static json_t *find_container(const struct joined_objects *j,
			      const struct doc_section *item, const char **name)
{
	*name = item->name;
	if (!strncmp(item->name, DOC_SERVICE_PREFIX,
		     strlen(DOC_SERVICE_PREFIX))) {
		*name += strlen(DOC_SERVICE_PREFIX);
		return j->services;
	}
	if (!strncmp(item->name, DOC_ROUTE_PREFIX, strlen(DOC_ROUTE_PREFIX))) {
		*name += strlen(DOC_ROUTE_PREFIX);
		return j->routes;
	}
	return strcmp(item->name, DOC_STOPS_NAME) ? NULL : j->root;
}

static void join_section(struct doc_check *c, const struct doc_section *item,
			 const struct joined_objects *j)
{
	const char *name;
	json_t *container = find_container(j, item, &name);
	char where[DOC_PATH_BYTES];
	json_t *value;

	doc_path_key(where, "section", item->name);
	if (!container) {
		doc_add_problem(c, ERR_UNKNOWN_KEY, where,
				"unknown section (allowed: service/NAME, "
				"route/NAME, stops)");
		return;
	}
	if (!item->text) {
		doc_add_problem(c, ERR_NOT_FOUND, where, "has no text");
		return;
	}
	value = doc_load_json(c, where, item->text, item->len);
	if (!value)
		return;
	if (json_object_set_new(container, name, value))
		doc_add_problem(c, ERR_MALFORMED, where, "cannot be added");
}

json_t *doc_join_sections(struct doc_check *c,
			  const struct doc_sections *sections)
{
	struct joined_objects j = { json_object(), json_object(),
				    json_object() };

	if (!j.root || !j.services || !j.routes ||
	    json_object_set_new(j.root, "version", json_integer(1)) ||
	    json_object_set(j.root, "services", j.services)) {
		doc_add_problem(c, ERR_NOMEM, "document", "no memory");
		json_decref(j.root);
		j.root = NULL;
	}
	for (size_t i = 0; j.root && i < sections->count; i++)
		join_section(c, &sections->items[i], &j);
	if (j.root && json_object_size(j.routes))
		json_object_set(j.root, "routes", j.routes);
	json_decref(j.services);
	json_decref(j.routes);
	return j.root;
}

enum err doc_join(const struct doc_sections *sections, struct buf *out)
{
	struct doc_check c = { 0 };
	json_t *root = doc_join_sections(&c, sections);
	char *text = NULL;

	if (root && c.first_error == ERR_OK) {
		text = json_dumps(root, JSON_INDENT(2) | JSON_SORT_KEYS |
						JSON_REAL_PRECISION(15));
		c.first_error = text ? buf_addf(out, "%s\n", text) : ERR_NOMEM;
	}
	free(text);
	json_decref(root);
	return c.first_error;
}

enum err doc_parse_sections(struct doc *d, const struct doc_sections *sections,
			    struct buf *problems)
{
	struct doc_check c = { .problems = problems };
	json_t *root = doc_join_sections(&c, sections);

	memset(d, 0, sizeof(*d));
	if (root)
		doc_read_root(&c, d, root);
	json_decref(root);
	if (c.first_error != ERR_OK)
		doc_finish(d);
	return c.first_error;
}
