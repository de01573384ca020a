#include "config/doc_internal.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const struct opt version_option = {
	.name = "version",
	.type = OPT_INT,
	.offset = 0,
	.required = 1,
	.min = 1,
	.max = 1,
	.description = "of the document's format",
};

/* There is only one state, so no field of doc_stop stores it. */
static const char *const stop_states[] = { "drain", NULL };

#define STOP_STATE 2 /* index of the option */

static const struct opt stop_options[] = {
	{ .name = "node",
	  .type = OPT_TEXT,
	  OPT_FIELD(struct doc_stop, node),
	  .check = opt_check_name,
	  .allowed = OPT_ALLOWED_NAME,
	  .description = "node that is to stop, at most once in the list" },
	{ .name = "data_centre",
	  .type = OPT_TEXT,
	  OPT_FIELD(struct doc_stop, data_centre),
	  .check = opt_check_name,
	  .allowed = OPT_ALLOWED_NAME,
	  .description = "data centre whose targets are to get nothing more, "
			 "instead of node; at most once in the list" },
	[STOP_STATE] = { .name = "state",
			 .type = OPT_CHOICE,
			 .required = 1,
			 .choices = stop_states,
			 .description = "the slots move away until the stop is "
					"removed" },
};

#define STOP_OPTION_COUNT (sizeof(stop_options) / sizeof(stop_options[0]))

void doc_add_problem(struct doc_check *c, enum err e, const char *path,
		     const char *fmt, ...)
{
	char text[512];
	va_list ap;

	if (c->first_error == ERR_OK)
		c->first_error = e;
	if (!c->problems)
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	buf_addf(c->problems, "%s: %s\n", path, text);
}

void doc_path_field(char out[DOC_PATH_BYTES], const char *base,
		    const char *field)
{
	const char *dot = *base && *field ? "." : "";

	snprintf(out, DOC_PATH_BYTES, "%s%s%s", base, dot, field);
}

void doc_path_key(char out[DOC_PATH_BYTES], const char *base, const char *key)
{
	struct buf quoted;

	if (opt_check_name(key) && strlen(key) < DOC_NAME_BYTES) {
		doc_path_field(out, base, key);
		return;
	}
	buf_init(&quoted);
	opt_add_quoted(key, &quoted);
	doc_path_field(out, base, buf_text(&quoted));
	buf_finish(&quoted);
}

void doc_path_index(char out[DOC_PATH_BYTES], const char *base, size_t index)
{
	snprintf(out, DOC_PATH_BYTES, "%s[%zu]", base, index);
}

struct opt_value doc_opt_value(const json_t *value)
{
	struct opt_value v = { .type = OPT_VALUE_OTHER };

	switch (json_typeof(value)) {
	case JSON_INTEGER:
		v.type = OPT_VALUE_INT;
		v.number = json_integer_value(value);
		break;
	case JSON_REAL:
		v.type = OPT_VALUE_REAL;
		v.real = json_real_value(value);
		break;
	case JSON_TRUE:
	case JSON_FALSE:
		v.type = OPT_VALUE_BOOL;
		v.number = json_is_true(value);
		break;
	case JSON_STRING:
		v.type = OPT_VALUE_TEXT;
		v.text = json_string_value(value);
		v.len = json_string_length(value);
		break;
	case JSON_OBJECT:
		v.type = OPT_VALUE_TABLE;
		break;
	case JSON_ARRAY:
	case JSON_NULL:
		break;
	}
	return v;
}

const char *doc_type_name(const json_t *value)
{
	switch (json_typeof(value)) {
	case JSON_OBJECT:
		return "is an object";
	case JSON_ARRAY:
		return "is an array";
	case JSON_STRING:
		return "is a text";
	case JSON_INTEGER:
	case JSON_REAL:
		return "is a number";
	case JSON_TRUE:
	case JSON_FALSE:
		return "is a boolean";
	case JSON_NULL:
		break;
	}
	return "is null";
}

/*
 * Checks the depth of nesting before jansson parses the text. jansson parses
 * recursively and allows 2048 levels.
 */
static int is_too_deep(const char *text, size_t len)
{
	int depth = 0;
	int in_string = 0;

	for (size_t i = 0; i < len; i++) {
		char ch = text[i];

		if (in_string) {
			if (ch == '\\')
				i++;
			else if (ch == '"')
				in_string = 0;
		} else if (ch == '"') {
			in_string = 1;
		} else if (ch == '{' || ch == '[') {
			if (++depth > DOC_MAX_DEPTH)
				return 1;
		} else if (ch == '}' || ch == ']') {
			depth--;
		}
	}
	return 0;
}

static void add_json_problem(struct doc_check *c, const char *where,
			     const json_error_t *error)
{
	const char *allowed = "JSON";
	const char *text = error->text;
	struct buf quoted;

	buf_init(&quoted);
	switch (json_error_code(error)) {
	case json_error_invalid_utf8:
		text = "text is not UTF-8";
		allowed = "UTF-8";
		break;
	case json_error_duplicate_key:
		allowed = "each name once";
		break;
	default:
		break;
	}
	opt_add_quoted(text, &quoted);
	doc_add_problem(c, ERR_MALFORMED, where,
			"line %d, column %d: %s (allowed: %s)", error->line,
			error->column, buf_text(&quoted), allowed);
	buf_finish(&quoted);
}

json_t *doc_load_json(struct doc_check *c, const char *where, const char *text,
		      size_t len)
{
	json_error_t error;
	json_t *root;

	if (len > DOC_MAX_BYTES) {
		doc_add_problem(c, ERR_TOO_LARGE, where,
				"has %zu bytes (allowed: at most %d)", len,
				DOC_MAX_BYTES);
		return NULL;
	}
	if (is_too_deep(text, len)) {
		doc_add_problem(c, ERR_TOO_LARGE, where,
				"is nested too deep (allowed: %d levels)",
				DOC_MAX_DEPTH);
		return NULL;
	}
	root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &error);
	if (root)
		return root;
	add_json_problem(c, where, &error);
	if (json_error_code(&error) != json_error_duplicate_key)
		return NULL;
	/* Load again with the last value of the name, to validate the rest. */
	root = json_loadb(text, len, 0, &error);
	if (!root)
		add_json_problem(c, where, &error);
	return root;
}

static void read_version(struct doc_check *c, const json_t *value)
{
	struct opt_value v;
	struct buf reason;
	int version;
	enum err e;

	if (!value) {
		doc_add_problem(c, ERR_NOT_FOUND, "version",
				"missing (required: 1)");
		return;
	}
	v = doc_opt_value(value);
	buf_init(&reason);
	e = opt_store(&version_option, &v, &version, &reason);
	if (e != ERR_OK)
		doc_add_problem(c, e, "version", "%s", buf_text(&reason));
	buf_finish(&reason);
}

static void read_services(struct doc_check *c, struct doc *d,
			  const json_t *value)
{
	size_t count;
	const char *name;
	json_t *item;

	if (!json_is_object(value)) {
		doc_add_problem(c, value ? ERR_TYPE : ERR_NOT_FOUND, "services",
				"%s (allowed: an object of services)",
				value ? doc_type_name(value) : "missing");
		return;
	}
	count = json_object_size(value);
	if (count > DOC_MAX_SERVICES) {
		doc_add_problem(c, ERR_TOO_LARGE, "services",
				"has %zu services (allowed: at most %d)", count,
				DOC_MAX_SERVICES);
		return;
	}
	d->services = calloc(count + 1, sizeof(*d->services));
	if (!d->services) {
		doc_add_problem(c, ERR_NOMEM, "services", "no memory");
		return;
	}
	json_object_foreach((json_t *)value, name, item) {
		char path[DOC_PATH_BYTES];

		doc_path_key(path, "services", name);
		doc_read_service(c, &d->services[d->service_count++], name,
				 item, path);
	}
}

/*
 * Reads the routes and adds those of the services' own prefixes. d->routes has
 * room for both.
 */
static void read_routes(struct doc_check *c, struct doc *d, const json_t *value)
{
	size_t count = json_object_size(value);
	const char *name;
	json_t *item;

	if (value && !json_is_object(value))
		doc_add_problem(c, ERR_TYPE, "routes",
				"%s (allowed: an object of routes)",
				doc_type_name(value));
	if (count > DOC_MAX_ROUTES) {
		doc_add_problem(c, ERR_TOO_LARGE, "routes",
				"has %zu routes (allowed: at most %d)", count,
				DOC_MAX_ROUTES);
		return;
	}
	d->routes = calloc(count + d->service_count + 1,
			   sizeof(struct doc_route *));
	if (!d->routes) {
		doc_add_problem(c, ERR_NOMEM, "routes", "no memory");
		return;
	}
	json_object_foreach((json_t *)value, name, item) {
		struct doc_route *r = doc_route_new();
		char path[DOC_PATH_BYTES];

		doc_path_key(path, "routes", name);
		if (!r) {
			doc_add_problem(c, ERR_NOMEM, path, "no memory");
			return;
		}
		d->routes[d->route_count++] = r;
		doc_read_route(c, d, r, name, item, path);
	}
	for (size_t i = 0; i < d->service_count; i++) {
		if (doc_add_service_route(d, &d->services[i]) != ERR_OK)
			doc_add_problem(c, ERR_NOMEM, "routes", "no memory");
	}
	doc_sort_routes(c, d);
}

static int compare_services(const void *a, const void *b)
{
	const struct doc_service *x = a;
	const struct doc_service *y = b;

	return strcmp(x->name, y->name);
}

static void check_stop_keys(struct doc_check *c, const json_t *value,
			    const char *path)
{
	int names = (json_object_get(value, "node") != NULL) +
		    (json_object_get(value, "data_centre") != NULL);

	if (names != 1)
		doc_add_problem(c, names ? ERR_CONFLICT : ERR_NOT_FOUND, path,
				"%s (required: one of node, data_centre)",
				names ? "node and data_centre are both set"
				      : "node or data_centre is missing");
	if (!json_object_get(value, stop_options[STOP_STATE].name))
		doc_add_problem(c, ERR_NOT_FOUND, path,
				"state is missing (required: state)");
}

static void read_stop(struct doc_check *c, struct doc_stop *stop,
		      const json_t *value, const char *path)
{
	int state;
	const char *key;
	json_t *item;

	if (!json_is_object(value)) {
		doc_add_problem(c, ERR_TYPE, path,
				"%s (allowed: an object with node or "
				"data_centre, and state)",
				doc_type_name(value));
		return;
	}
	json_object_foreach((json_t *)value, key, item) {
		const struct opt *o =
			opt_find(stop_options, STOP_OPTION_COUNT, key);
		struct opt_value v = doc_opt_value(item);
		char item_path[DOC_PATH_BYTES];
		struct buf reason;
		enum err e;

		doc_path_key(item_path, path, key);
		if (!o) {
			doc_add_problem(c, ERR_UNKNOWN_KEY, item_path,
					"unknown key (allowed: node, "
					"data_centre, state)");
			continue;
		}
		buf_init(&reason);
		e = opt_store(o, &v,
			      o == &stop_options[STOP_STATE] ? (void *)&state
							     : stop,
			      &reason);
		if (e != ERR_OK)
			doc_add_problem(c, e, item_path, "%s",
					buf_text(&reason));
		buf_finish(&reason);
	}
	check_stop_keys(c, value, path);
}

/* Checks that no node and no data centre is named twice. */
static void check_stops_unique(struct doc_check *c, const struct doc *d)
{
	const char **names = calloc(d->stop_count + 1, sizeof(*names));
	size_t nodes = 0, centres = 0;

	if (!names) {
		doc_add_problem(c, ERR_NOMEM, DOC_STOPS_NAME, "no memory");
		return;
	}
	for (size_t i = 0; i < d->stop_count; i++) {
		if (d->stops[i].node[0])
			names[nodes++] = d->stops[i].node;
	}
	doc_check_unique(c, DOC_STOPS_NAME, names, nodes);
	for (size_t i = 0; i < d->stop_count; i++) {
		if (d->stops[i].data_centre[0])
			names[centres++] = d->stops[i].data_centre;
	}
	doc_check_unique(c, DOC_STOPS_NAME, names, centres);
	free(names);
}

static void read_stops(struct doc_check *c, struct doc *d, const json_t *value)
{
	size_t count;

	if (!value)
		return;
	count = json_array_size(value);
	if (!json_is_array(value) || count > DOC_MAX_STOPS) {
		doc_add_problem(c, ERR_TYPE, DOC_STOPS_NAME,
				"%s (allowed: an array of at most %d stops)",
				doc_type_name(value), DOC_MAX_STOPS);
		return;
	}
	d->stops = calloc(count + 1, sizeof(*d->stops));
	if (!d->stops) {
		doc_add_problem(c, ERR_NOMEM, DOC_STOPS_NAME, "no memory");
		return;
	}
	for (size_t i = 0; i < count; i++) {
		char path[DOC_PATH_BYTES];

		doc_path_index(path, DOC_STOPS_NAME, i);
		read_stop(c, &d->stops[i], json_array_get(value, i), path);
		d->data_centre_stop_count += d->stops[i].data_centre[0] != 0;
	}
	d->stop_count = count;
	check_stops_unique(c, d);
}

void doc_read_shared(struct doc_check *c, struct doc *d, const json_t *root)
{
	const char *key;
	json_t *value;

	memset(d, 0, sizeof(*d));
	d->refs = malloc(sizeof(*d->refs));
	if (!d->refs) {
		doc_add_problem(c, ERR_NOMEM, "document", "no memory");
		return;
	}
	*d->refs = 1;
	if (!json_is_object(root)) {
		doc_add_problem(
			c, ERR_TYPE, "document",
			"%s (allowed: an object with version, services, "
			"routes and stops)",
			doc_type_name(root));
		return;
	}
	json_object_foreach((json_t *)root, key, value) {
		char path[DOC_PATH_BYTES];

		if (!strcmp(key, "version") || !strcmp(key, "services") ||
		    !strcmp(key, "routes") || !strcmp(key, DOC_STOPS_NAME))
			continue;
		doc_path_key(path, "", key);
		doc_add_problem(
			c, ERR_UNKNOWN_KEY, path,
			"unknown key (allowed: version, services, routes, "
			"stops)");
	}
	read_version(c, json_object_get(root, "version"));
	read_services(c, d, json_object_get(root, "services"));
	read_stops(c, d, json_object_get(root, DOC_STOPS_NAME));
	/* Equal documents get the same order, whatever their order was. */
	if (d->service_count)
		qsort(d->services, d->service_count, sizeof(*d->services),
		      compare_services);
	doc_check_prefixes(c, d);
}

void doc_read_root(struct doc_check *c, struct doc *d, const json_t *root)
{
	doc_read_shared(c, d, root);
	if (json_is_object(root))
		read_routes(c, d, json_object_get(root, "routes"));
}

void doc_describe(struct buf *out)
{
	opt_describe(&version_option, "", out);
	doc_describe_service(out);
	doc_describe_routes(out);
	for (size_t i = 0; i < STOP_OPTION_COUNT; i++)
		opt_describe(&stop_options[i], "stops[].", out);
}

enum err doc_parse(struct doc *d, const char *text, size_t len,
		   struct buf *problems)
{
	struct doc_check c = { .problems = problems };
	json_t *root;

	memset(d, 0, sizeof(*d));
	root = doc_load_json(&c, "document", text, len);
	if (!root)
		return c.first_error;
	doc_read_root(&c, d, root);
	json_decref(root);
	if (c.first_error != ERR_OK)
		doc_finish(d);
	return c.first_error;
}

static void shared_unref(struct doc *d)
{
	if (!d->refs || --*d->refs)
		return;
	for (size_t i = 0; i < d->service_count; i++)
		doc_service_finish(&d->services[i]);
	free(d->services);
	free(d->stops);
	free(d->refs);
}

void doc_share(const struct doc *d, struct doc *out)
{
	out->services = d->services;
	out->service_count = d->service_count;
	out->stops = d->stops;
	out->stop_count = d->stop_count;
	out->data_centre_stop_count = d->data_centre_stop_count;
	out->refs = d->refs;
	if (d->refs)
		++*d->refs;
}

enum err doc_copy(const struct doc *d, struct doc *out)
{
	memset(out, 0, sizeof(*out));
	out->routes = calloc(d->route_count + 1, sizeof(struct doc_route *));
	if (!out->routes)
		return ERR_NOMEM;
	doc_share(d, out);
	out->revision = d->revision;
	out->route_count = d->route_count;
	for (size_t i = 0; i < d->route_count; i++) {
		out->routes[i] = d->routes[i];
		out->routes[i]->refs++;
	}
	return ERR_OK;
}

void doc_finish(struct doc *d)
{
	doc_routes_finish(d);
	shared_unref(d);
	memset(d, 0, sizeof(*d));
}

const struct doc_service *doc_find_service(const struct doc *d,
					   const char *name)
{
	for (size_t i = 0; i < d->service_count; i++) {
		if (!strcmp(d->services[i].name, name))
			return &d->services[i];
	}
	return NULL;
}

int doc_has_stop(const struct doc *d, const char *node)
{
	for (size_t i = 0; i < d->stop_count; i++) {
		if (d->stops[i].node[0] && !strcmp(d->stops[i].node, node))
			return 1;
	}
	return 0;
}

int doc_has_data_centre_stop(const struct doc *d, const char *data_centre)
{
	size_t left = d->data_centre_stop_count;

	/* Asked for each candidate of a request; most stops are of nodes. */
	for (size_t i = 0; left && i < d->stop_count; i++) {
		const char *name = d->stops[i].data_centre;

		if (name[0] && !strcmp(name, data_centre))
			return 1;
		left -= name[0] != 0;
	}
	return 0;
}
