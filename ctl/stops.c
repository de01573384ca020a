#include "config/opt.h"
#include "ctl/ctl.h"

#include <stdlib.h>
#include <string.h>

/*
 * How often the change is tried. A try is lost only to another operator's
 * change, which was written.
 */
#define MAX_TRIES 10

static json_t *load_stops(const struct doc_sections *s)
{
	const struct doc_section *stops = doc_sections_get(s, "stops");

	if (!stops)
		return json_array();
	return json_loadb(stops->text, stops->len, 0, NULL);
}

/* The member of a stop that names what is to stop. */
static const char *name_member(const struct ctl *c)
{
	return c->data_centre ? "data_centre" : "node";
}

/* Returns the index of the stop; the number of stops if there is none. */
static size_t find_stop(const json_t *stops, const char *member,
			const char *name)
{
	size_t i;

	for (i = 0; i < json_array_size(stops); i++) {
		const json_t *value =
			json_object_get(json_array_get(stops, i), member);

		if (json_is_string(value) &&
		    !strcmp(json_string_value(value), name))
			break;
	}
	return i;
}

static enum err store_stops(struct doc_sections *s, const json_t *stops)
{
	char *text = json_dumps(stops, JSON_SORT_KEYS | JSON_COMPACT);
	enum err e = text ? doc_sections_set(s, "stops", text, strlen(text))
			  : ERR_NOMEM;

	free(text);
	return e;
}

/*
 * Adds or removes the stop that names name in this member. ERR_NOT_FOUND: the
 * stop to be removed does not exist.
 */
static enum err edit_stops(struct doc_sections *s, const char *member,
			   const char *name, int drain)
{
	json_t *stops = load_stops(s);
	size_t i = find_stop(stops, member, name);
	int present = i < json_array_size(stops);
	enum err e;

	if (!json_is_array(stops)) {
		json_decref(stops);
		return ERR_MALFORMED;
	}
	if (!drain && !present) {
		json_decref(stops);
		return ERR_NOT_FOUND;
	}
	if (!drain)
		json_array_remove(stops, i);
	else if (!present)
		json_array_append_new(stops, json_pack("{s:s, s:s}", member,
						       name, "state", "drain"));
	e = store_stops(s, stops);
	json_decref(stops);
	return e;
}

static enum err copy_sections(struct doc_sections *to,
			      const struct doc_sections *from)
{
	memset(to, 0, sizeof(*to));
	for (size_t i = 0; i < from->count; i++) {
		const struct doc_section *item = &from->items[i];
		enum err e =
			doc_sections_set(to, item->name, item->text, item->len);

		if (e != ERR_OK)
			return e;
	}
	return ERR_OK;
}

/*
 * Sets next to base with the stop added or removed, and validates it as a
 * whole. Prints an error if the result is not CTL_DONE.
 */
static enum ctl_exit prepare_sections(const struct ctl *c,
				      const struct ctl_doc *base,
				      const char *name, int drain,
				      struct doc_sections *next)
{
	struct buf problems;
	struct doc d;
	enum err e = copy_sections(next, &base->sections);

	if (e == ERR_OK)
		e = edit_stops(next, name_member(c), name, drain);
	if (e != ERR_OK) {
		ctl_error(e == ERR_NOT_FOUND ? "%s is not in the stops"
					     : "the stops cannot be edited",
			  name);
		return CTL_FAILED;
	}
	buf_init(&problems);
	if (doc_parse_sections(&d, next, &problems) != ERR_OK) {
		ctl_report_invalid(c, "document in the store", &problems);
		buf_finish(&problems);
		return CTL_INVALID;
	}
	doc_finish(&d);
	buf_finish(&problems);
	return CTL_DONE;
}

/*
 * Edits and commits the document once. Sets retry to 1 if the commit lost a
 * race against a change of other sections; then nothing was printed.
 */
static enum ctl_exit try_once(struct ctl *c, const char *name, int drain,
			      int last, int *retry)
{
	struct doc_sections next = { 0 };
	struct ctl_commit commit;
	struct ctl_doc base;
	enum ctl_exit result = ctl_doc_read_for_change(c, &base);

	*retry = 0;
	if (result != CTL_DONE)
		return result;
	result = prepare_sections(c, &base, name, drain, &next);
	if (result == CTL_DONE) {
		ctl_commit(c, &base, &next, &commit);
		*retry = commit.exit == CTL_RACE && !commit.stops_changed &&
			 !last;
		if (!*retry)
			result = ctl_report_commit(c, &base, &commit);
		ctl_commit_finish(&commit);
	}
	doc_sections_finish(&next);
	ctl_doc_finish(&base);
	return result;
}

enum ctl_exit ctl_edit_stops(struct ctl *c, const char *name, int drain)
{
	enum ctl_exit result = CTL_DONE;
	int retry = 1;

	if (!opt_check_name(name) || strlen(name) >= DOC_NAME_BYTES) {
		ctl_error("%s name is not allowed (allowed: 1 to %d "
			  "bytes, " OPT_ALLOWED_NAME ")",
			  c->data_centre ? "data centre" : "node",
			  DOC_NAME_BYTES - 1);
		return CTL_INVALID;
	}
	for (int i = 1; retry && i <= MAX_TRIES; i++)
		result = try_once(c, name, drain, i == MAX_TRIES, &retry);
	return result;
}
