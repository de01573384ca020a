#include "config/doc_internal.h"

#include <stdlib.h>
#include <string.h>

static char **read_name_items(struct doc_check *c, const json_t *value,
			      const char *path, int wildcard)
{
	size_t count = json_array_size(value);
	char **list = calloc(count + 1, sizeof(*list));

	if (!list) {
		doc_add_problem(c, ERR_NOMEM, path, "no memory");
		return NULL;
	}
	for (size_t i = 0; i < count; i++) {
		const json_t *item = json_array_get(value, i);
		const char *text = json_string_value(item);
		int wildcard_allowed = wildcard && count == 1;
		char item_path[DOC_PATH_BYTES];

		/* A placeholder: NULL would end the list. */
		list[i] = strdup(text ? text : "");
		if (!list[i]) {
			doc_add_problem(c, ERR_NOMEM, path, "no memory");
			return list;
		}
		if (text &&
		    ((wildcard_allowed && !strcmp(text, "*")) ||
		     (opt_check_name(text) && strlen(text) < DOC_NAME_BYTES)))
			continue;
		doc_path_index(item_path, path, i);
		doc_add_problem(c, text ? ERR_RANGE : ERR_TYPE, item_path,
				"is no name (allowed: %s%s)", OPT_ALLOWED_NAME,
				wildcard ? "; \"*\" as the only item" : "");
	}
	return list;
}

char **doc_read_names(struct doc_check *c, const json_t *value,
		      const char *path, int wildcard)
{
	size_t count = json_array_size(value);
	char **list;

	if (!count || count > DOC_MAX_LIST_ITEMS) {
		doc_add_problem(
			c, ERR_TYPE, path,
			"is no list of names (allowed: 1 to %d names%s)",
			DOC_MAX_LIST_ITEMS, wildcard ? ", or [\"*\"]" : "");
		return NULL;
	}
	list = read_name_items(c, value, path, wildcard);
	if (list && list[count - 1])
		doc_check_unique(c, path, (const char *const *)list, count);
	return list;
}

static int compare_strings(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

void doc_check_unique(struct doc_check *c, const char *path,
		      const char *const *names, size_t count)
{
	const char **sorted;

	if (count < 2)
		return;
	sorted = malloc(count * sizeof(*sorted));
	if (!sorted) {
		doc_add_problem(c, ERR_NOMEM, path, "no memory");
		return;
	}
	memcpy(sorted, names, count * sizeof(*sorted));
	qsort(sorted, count, sizeof(*sorted), compare_strings);
	for (size_t i = 1; i < count; i++) {
		struct buf quoted;

		/* Empty: the placeholder of an item already reported. */
		if (!*sorted[i] || strcmp(sorted[i], sorted[i - 1]) != 0)
			continue;
		buf_init(&quoted);
		opt_add_quoted(sorted[i], &quoted);
		doc_add_problem(c, ERR_RANGE, path,
				"%s is named twice (allowed: once)",
				buf_text(&quoted));
		buf_finish(&quoted);
		/* Report each name once, however often it occurs. */
		while (i + 1 < count && !strcmp(sorted[i], sorted[i + 1]))
			i++;
	}
	free(sorted);
}

static void check_assign(struct doc_check *c, const struct doc_service *s,
			 const char *path)
{
	/* By shard: index of its assignment plus one; 0: none. */
	uint32_t *assigned_by = calloc(s->shards, sizeof(*assigned_by));

	if (!assigned_by) {
		doc_add_problem(c, ERR_NOMEM, path, "no memory");
		return;
	}
	for (size_t i = 0; i < s->assign_count; i++) {
		const struct doc_assignment *r = &s->assign[i];
		char list[DOC_PATH_BYTES];
		char item_path[DOC_PATH_BYTES];

		doc_path_key(list, path, "assign");
		doc_path_index(item_path, list, i);
		if (r->first > r->last || r->last >= s->shards) {
			doc_add_problem(c, ERR_RANGE, item_path,
					"shards [%u, %u] are no range of the "
					"service (allowed: 0 to %u, ascending)",
					r->first, r->last, s->shards - 1);
			continue;
		}
		for (uint32_t shard = r->first; shard <= r->last; shard++) {
			if (assigned_by[shard]) {
				doc_add_problem(
					c, ERR_RANGE, item_path,
					"shard %u is also in assign[%u] "
					"(allowed: once)",
					shard, assigned_by[shard] - 1);
				break;
			}
			assigned_by[shard] = (uint32_t)i + 1;
		}
	}
	free(assigned_by);
}

static void check_pins(struct doc_check *c, const struct doc_service *s,
		       const char *path)
{
	const char **keys = calloc(s->pin_count, sizeof(*keys));
	char item_path[DOC_PATH_BYTES];

	doc_path_key(item_path, path, "pins");
	if (!keys) {
		doc_add_problem(c, ERR_NOMEM, item_path, "no memory");
		return;
	}
	for (size_t i = 0; i < s->pin_count; i++)
		keys[i] = s->pins[i].key ? s->pins[i].key : "";
	doc_check_unique(c, item_path, keys, s->pin_count);
	free(keys);
}

void doc_check_service(struct doc_check *c, const struct doc_service *s,
		       const char *path)
{
	/* Ranges can be checked only against a valid number of shards. */
	if (s->assign_count && s->shards)
		check_assign(c, s, path);
	if (s->pin_count)
		check_pins(c, s, path);
	if (s->weight_churn <= 0 && s->weight_imbalance <= 0) {
		char item_path[DOC_PATH_BYTES];

		doc_path_key(item_path, path, "weights");
		doc_add_problem(c, ERR_RANGE, item_path,
				"both are 0 (allowed: at least one above 0)");
	}
}

void doc_check_prefixes(struct doc_check *c, const struct doc *d)
{
	for (size_t i = 0; i < d->service_count; i++) {
		const struct doc_service *a = &d->services[i];

		for (size_t j = 0; j < d->service_count; j++) {
			const struct doc_service *b = &d->services[j];
			char path[DOC_PATH_BYTES];
			size_t len = strlen(b->prefix);

			if (i == j || !len || !*a->prefix ||
			    strncmp(a->prefix, b->prefix, len) != 0)
				continue;
			/* Equal prefixes are reported once. */
			if (a->prefix[len] == 0 && i < j)
				continue;
			doc_path_key(path, "services", a->name);
			doc_add_problem(
				c, ERR_RANGE, path,
				"route.prefix \"%s\" overlaps with \"%s\" "
				"of %s (allowed: separate prefixes)",
				a->prefix, b->prefix, b->name);
		}
	}
}
