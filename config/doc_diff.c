#include "config/doc_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A value that is not split further, as JSON, and its path. */
struct leaf {
	char *path;
	char *value;
};

struct leaves {
	struct leaf *items;
	size_t count;
	size_t cap;
	enum err error;
};

static void add_leaf(struct leaves *l, const char *path, const json_t *value)
{
	struct leaf *items = l->items;
	size_t cap = l->cap;

	if (l->error != ERR_OK)
		return;
	if (l->count == cap) {
		cap = cap ? 2 * cap : 64;
		items = realloc(items, cap * sizeof(*items));
		if (!items) {
			l->error = ERR_NOMEM;
			return;
		}
		l->items = items;
		l->cap = cap;
	}
	items[l->count].path = strdup(path);
	items[l->count].value = json_dumps(value, DOC_JSON_COMPACT);
	if (!items[l->count].path || !items[l->count].value)
		l->error = ERR_NOMEM;
	l->count++;
}

static void leaves_finish(struct leaves *l)
{
	for (size_t i = 0; i < l->count; i++) {
		free(l->items[i].path);
		free(l->items[i].value);
	}
	free(l->items);
}

/*
 * Writes "PATH[ID]" for an item of a list of objects. ID is the item's key,
 * shards, node or data centre, so that an item at another place of the list is
 * not a difference; the index if it has none of them.
 */
static void format_item_path(struct buf *out, const char *path,
			     const json_t *item, size_t index)
{
	const char *key = json_string_value(json_object_get(item, "key"));
	const char *node = json_string_value(json_object_get(item, "node"));
	const char *centre =
		json_string_value(json_object_get(item, "data_centre"));
	const json_t *shards = json_object_get(item, "shards");

	if (key)
		buf_addf(out, "%s[%s]", path, key);
	else if (json_array_size(shards) == 2)
		buf_addf(out,
			 "%s[%" JSON_INTEGER_FORMAT "-%" JSON_INTEGER_FORMAT
			 "]",
			 path, json_integer_value(json_array_get(shards, 0)),
			 json_integer_value(json_array_get(shards, 1)));
	else if (node)
		buf_addf(out, "%s[%s]", path, node);
	else if (centre)
		buf_addf(out, "%s[data_centre %s]", path, centre);
	else
		buf_addf(out, "%s[%zu]", path, index);
}

/*
 * Adds the leaves of a value. The depth of the recursion is bounded by
 * DOC_MAX_DEPTH, which doc_load_json has checked.
 */
static void flatten(struct leaves *l, const char *path, const json_t *value)
{
	const char *key;
	size_t index;
	json_t *item;

	if (json_is_array(value) && json_is_object(json_array_get(value, 0))) {
		json_array_foreach((json_t *)value, index, item) {
			struct buf item_path;

			buf_init(&item_path);
			format_item_path(&item_path, path, item, index);
			flatten(l, buf_text(&item_path), item);
			buf_finish(&item_path);
		}
		return;
	}
	/* An empty list is equal to no list. */
	if (json_is_array(value) && !json_array_size(value))
		return;
	if (!json_is_object(value)) {
		add_leaf(l, path, value);
		return;
	}
	json_object_foreach((json_t *)value, key, item) {
		struct buf item_path;

		buf_init(&item_path);
		buf_addf(&item_path, "%s%s%s", path, *path ? "." : "", key);
		flatten(l, buf_text(&item_path), item);
		buf_finish(&item_path);
	}
}

static enum err flatten_section(struct leaves *l,
				const struct doc_section *section)
{
	struct doc_check c = { 0 };
	struct buf path;
	json_t *value;

	if (!section->text)
		return ERR_NOT_FOUND;
	value = doc_load_json(&c, "section", section->text, section->len);
	if (!value)
		return c.first_error;
	buf_init(&path);
	if (!strncmp(section->name, DOC_SERVICE_PREFIX,
		     strlen(DOC_SERVICE_PREFIX)))
		buf_addf(&path, "services.%s",
			 section->name + strlen(DOC_SERVICE_PREFIX));
	else
		buf_addf(&path, "%s", section->name);
	flatten(l, buf_text(&path), value);
	buf_finish(&path);
	json_decref(value);
	return l->error;
}

static int compare_leaves(const void *a, const void *b)
{
	return strcmp(((const struct leaf *)a)->path,
		      ((const struct leaf *)b)->path);
}

/* Collects the leaves of the sections that differ, sorted by path. */
static enum err collect_changed_leaves(struct leaves *l,
				       const struct doc_sections *from,
				       const struct doc_sections *other)
{
	for (size_t i = 0; i < from->count; i++) {
		const struct doc_section *a = &from->items[i];
		const struct doc_section *b = doc_sections_get(other, a->name);
		enum err e;

		if (b && b->digest == a->digest)
			continue;
		e = flatten_section(l, a);
		if (e != ERR_OK)
			return e;
	}
	if (l->count)
		qsort(l->items, l->count, sizeof(*l->items), compare_leaves);
	return ERR_OK;
}

static void write_diff(const struct leaves *a, const struct leaves *b,
		       struct buf *out)
{
	size_t i = 0;
	size_t j = 0;

	while (i < a->count || j < b->count) {
		int order;

		if (i == a->count)
			order = 1;
		else if (j == b->count)
			order = -1;
		else
			order = compare_leaves(&a->items[i], &b->items[j]);
		if (order < 0)
			buf_addf(out, "- %s: %s\n", a->items[i].path,
				 a->items[i].value);
		else if (order > 0)
			buf_addf(out, "+ %s: %s\n", b->items[j].path,
				 b->items[j].value);
		else if (strcmp(a->items[i].value, b->items[j].value) != 0)
			buf_addf(out, "~ %s: %s -> %s\n", a->items[i].path,
				 a->items[i].value, b->items[j].value);
		if (order <= 0)
			i++;
		if (order >= 0)
			j++;
	}
}

enum err doc_diff(const struct doc_sections *from,
		  const struct doc_sections *to, struct buf *out)
{
	struct leaves a = { 0 };
	struct leaves b = { 0 };
	enum err e;

	e = collect_changed_leaves(&a, from, to);
	if (e == ERR_OK)
		e = collect_changed_leaves(&b, to, from);
	if (e == ERR_OK)
		write_diff(&a, &b, out);
	leaves_finish(&a);
	leaves_finish(&b);
	return e;
}
