#include "config/doc_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

static const char *const kind_names[] = { "method", "idempotent", "once",
					  NULL };

#define FIELD(field) OPT_FIELD(struct doc_route, field)

static int check_host(const char *s)
{
	return opt_check_name(s) || !strcmp(s, "*");
}

static const struct opt route_options[] = {
	{ .name = "host",
	  .type = OPT_TEXT,
	  FIELD(host),
	  .default_text = "*",
	  .check = check_host,
	  .allowed = "a host name, or \"*\" for any",
	  .description = "host of the requests" },
	{ .name = "prefix",
	  .type = OPT_TEXT,
	  FIELD(prefix),
	  .required = 1,
	  .check = opt_check_path_prefix,
	  .allowed = "a path that starts and ends with '/'",
	  .description =
		  "requests with this path prefix; the longest one counts" },
	{ .name = "kind",
	  .type = OPT_CHOICE,
	  FIELD(kind),
	  .choices = kind_names,
	  .description = "what may run more than once: by method, any, none" },
	{ .name = "timeout_ms",
	  .type = OPT_U32,
	  FIELD(timeout_ms),
	  .min = 0,
	  .max = 600000,
	  .description = "longest time that a request is kept waiting; 0: the "
			 "service's deadline" },
	{ .name = "target_ms",
	  .type = OPT_U32,
	  FIELD(target_ms),
	  .min = 0,
	  .max = 600000,
	  .description = "time within which an answer has its full value" },
	{ .name = "priority",
	  .type = OPT_U32,
	  FIELD(priority),
	  .min = 0,
	  .max = 1000,
	  .default_number = 1,
	  .description = "rank when work has to wait, 0 is the highest" },
	{ .name = "attempts",
	  .type = OPT_U32,
	  FIELD(attempts),
	  .min = 1,
	  .max = 100,
	  .default_number = 3,
	  .description = "targets that one request may be sent to" },
};

#define OPTION_COUNT (sizeof(route_options) / sizeof(route_options[0]))

static const struct opt destination_options[] = {
	{ .name = "service",
	  .type = OPT_TEXT,
	  OPT_FIELD(struct doc_destination, service),
	  .required = 1,
	  .check = opt_check_name,
	  .allowed = OPT_ALLOWED_NAME },
	{ .name = "weight",
	  .type = OPT_U32,
	  OPT_FIELD(struct doc_destination, weight),
	  .min = 0,
	  .max = 1000000,
	  .default_number = 1 },
};

static void store_option(struct doc_check *c, const struct opt *o,
			 const json_t *value, void *base, const char *path)
{
	struct opt_value v = doc_opt_value(value);
	struct buf reason;
	enum err e;

	buf_init(&reason);
	e = opt_store(o, &v, base, &reason);
	if (e != ERR_OK)
		doc_add_problem(c, e, path, "%s", buf_text(&reason));
	buf_finish(&reason);
}

static void read_destination(struct doc_check *c,
			     struct doc_destination *destination,
			     const json_t *value, const char *path)
{
	const char *key;
	json_t *item;

	opt_set_defaults(destination_options, 2, destination);
	if (!json_object_get(value, "service"))
		doc_add_problem(c, ERR_NOT_FOUND, path,
				"service is missing (required: service)");
	json_object_foreach((json_t *)value, key, item) {
		const struct opt *o = opt_find(destination_options, 2, key);
		char item_path[DOC_PATH_BYTES];

		doc_path_key(item_path, path, key);
		if (o)
			store_option(c, o, item, destination, item_path);
		else
			doc_add_problem(
				c, ERR_UNKNOWN_KEY, item_path,
				"unknown key (allowed: service, weight)");
	}
}

static void read_destinations(struct doc_check *c, struct doc_route *r,
			      const json_t *value, const char *path)
{
	size_t count = json_array_size(value);

	if (!count || count > DOC_MAX_DESTINATIONS) {
		doc_add_problem(c, ERR_TYPE, path,
				"%s (allowed: 1 to %d objects with service and "
				"weight)",
				doc_type_name(value), DOC_MAX_DESTINATIONS);
		return;
	}
	r->destinations = calloc(count, sizeof(*r->destinations));
	if (!r->destinations) {
		doc_add_problem(c, ERR_NOMEM, path, "no memory");
		return;
	}
	r->destination_count = count;
	for (size_t i = 0; i < count; i++) {
		char item_path[DOC_PATH_BYTES];

		doc_path_index(item_path, path, i);
		read_destination(c, &r->destinations[i],
				 json_array_get(value, i), item_path);
		r->weight_sum += r->destinations[i].weight;
	}
	if (!r->weight_sum)
		doc_add_problem(
			c, ERR_RANGE, path,
			"all weights are 0 (allowed: at least one above "
			"0)");
}

static void read_regions(struct doc_check *c, struct doc_route *r,
			 const json_t *value, const char *path)
{
	size_t count = json_array_size(value);

	if (json_is_array(value) && !count)
		return;
	if (!count || count > DOC_MAX_ROUTE_REGIONS) {
		doc_add_problem(c, ERR_TYPE, path,
				"%s (allowed: at most %d names)",
				json_is_array(value) ? "has too many items"
						     : doc_type_name(value),
				DOC_MAX_ROUTE_REGIONS);
		return;
	}
	r->regions = doc_read_names(c, value, path, 0);
}

void doc_check_destinations(struct doc_check *c, const struct doc *d,
			    const struct doc_route *r, const char *path)
{
	for (size_t i = 0; i < r->destination_count; i++) {
		if (!*r->destinations[i].service ||
		    doc_find_service(d, r->destinations[i].service))
			continue;
		doc_add_problem(c, ERR_NOT_FOUND, path,
				"service %s is not in the document",
				r->destinations[i].service);
	}
}

void doc_read_route(struct doc_check *c, const struct doc *d,
		    struct doc_route *r, const char *name, const json_t *value,
		    const char *path)
{
	const json_t *to = json_object_get(value, "to");
	char item_path[DOC_PATH_BYTES];
	const char *key;
	json_t *item;

	opt_set_defaults(route_options, OPTION_COUNT, r);
	if (!opt_check_name(name) || strlen(name) > DOC_MAX_ROUTE_NAME)
		doc_add_problem(c, ERR_RANGE, path,
				"name is not allowed (allowed: 1 to %zu of %s)",
				DOC_MAX_ROUTE_NAME, OPT_ALLOWED_NAME);
	snprintf(r->name, sizeof(r->name), "%s", name);
	if (!json_object_get(value, "prefix") || !to) {
		doc_add_problem(
			c, ERR_NOT_FOUND, path,
			"prefix or to is missing (required: prefix, to)");
		return;
	}
	json_object_foreach((json_t *)value, key, item) {
		const struct opt *o =
			opt_find(route_options, OPTION_COUNT, key);

		doc_path_key(item_path, path, key);
		if (o)
			store_option(c, o, item, r, item_path);
		else if (!strcmp(key, "to"))
			read_destinations(c, r, item, item_path);
		else if (!strcmp(key, "regions"))
			read_regions(c, r, item, item_path);
		else
			doc_add_problem(c, ERR_UNKNOWN_KEY, item_path,
					"unknown key");
	}
	doc_check_destinations(c, d, r, path);
}

struct doc_route *doc_route_new(void)
{
	struct doc_route *r = calloc(1, sizeof(*r));

	if (r)
		r->refs = 1;
	return r;
}

void doc_route_unref(struct doc_route *r)
{
	if (--r->refs)
		return;
	doc_free_names(r->regions);
	free(r->destinations);
	free(r);
}

enum err doc_add_service_route(struct doc *d, const struct doc_service *s)
{
	struct doc_route *r;

	if (!*s->prefix)
		return ERR_OK;
	r = doc_route_new();
	if (!r)
		return ERR_NOMEM;
	opt_set_defaults(route_options, OPTION_COUNT, r);
	r->destinations = calloc(1, sizeof(*r->destinations));
	if (!r->destinations) {
		doc_route_unref(r);
		return ERR_NOMEM;
	}
	r->of_service = 1;
	d->routes[d->route_count++] = r;
	memcpy(r->prefix, s->prefix, sizeof(s->prefix));
	memcpy(r->name, s->name, sizeof(s->name));
	memcpy(r->destinations[0].service, s->name, sizeof(s->name));
	r->destinations[0].weight = 1;
	r->destination_count = 1;
	r->weight_sum = 1;
	r->attempts = DOC_SERVICE_ROUTE_ATTEMPTS;
	return ERR_OK;
}

void doc_describe_routes(struct buf *out)
{
	for (size_t i = 0; i < OPTION_COUNT; i++)
		opt_describe(&route_options[i], "routes.NAME.", out);
	buf_addf(out,
		 "routes.NAME.to: 1 to %d objects with \"service\" and "
		 "\"weight\" (default 1); default: required; services "
		 "that serve, each its share by weight\n",
		 DOC_MAX_DESTINATIONS);
	buf_addf(out,
		 "routes.NAME.regions: at most %d names; default: []; regions "
		 "whose targets may run the requests and whose nodes may have "
		 "their bodies; []: all\n",
		 DOC_MAX_ROUTE_REGIONS);
}

/*
 * Compares by host, then puts the longer prefix first, so that the first match
 * is the longest.
 */
int doc_compare_routes(const void *a, const void *b)
{
	const struct doc_route *x = *(struct doc_route *const *)a;
	const struct doc_route *y = *(struct doc_route *const *)b;
	int order = strcasecmp(x->host, y->host);

	if (order)
		return order;
	if (strlen(x->prefix) != strlen(y->prefix))
		return strlen(x->prefix) > strlen(y->prefix) ? -1 : 1;
	return strcmp(x->prefix, y->prefix);
}

void doc_report_equal_routes(struct doc_check *c, const struct doc_route *a,
			     const struct doc_route *b)
{
	doc_add_problem(c, ERR_RANGE, "routes",
			"%s and %s have the same host and prefix", a->name,
			b->name);
}

void doc_sort_routes(struct doc_check *c, struct doc *d)
{
	if (!d->route_count)
		return;
	qsort(d->routes, d->route_count, sizeof(struct doc_route *),
	      doc_compare_routes);
	for (size_t i = 1; i < d->route_count; i++) {
		if (!doc_compare_routes(&d->routes[i - 1], &d->routes[i]))
			doc_report_equal_routes(c, d->routes[i - 1],
						d->routes[i]);
	}
}

void doc_routes_finish(struct doc *d)
{
	for (size_t i = 0; i < d->route_count; i++)
		doc_route_unref(d->routes[i]);
	free(d->routes);
}

/*
 * Returns the index of the first route of the host, or of the next host if
 * there is none. len is the length of host.
 */
static size_t find_first_of_host(const struct doc *d, const char *host,
				 size_t len)
{
	size_t low = 0, high = d->route_count;

	while (low < high) {
		size_t mid = (low + high) / 2;
		const char *h = d->routes[mid]->host;
		int order = strncasecmp(h, host, len);

		if (!order)
			order = h[len] != 0;
		if (order < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static const struct doc_route *find_route_of_host(const struct doc *d,
						  const char *host, size_t len,
						  const char *path)
{
	for (size_t i = find_first_of_host(d, host, len); i < d->route_count;
	     i++) {
		const struct doc_route *r = d->routes[i];

		if (strncasecmp(r->host, host, len) != 0 || r->host[len])
			break;
		if (!strncmp(path, r->prefix, strlen(r->prefix)))
			return r;
	}
	return NULL;
}

const struct doc_route *doc_find_route(const struct doc *d, const char *host,
				       const char *path)
{
	const struct doc_route *r = NULL;

	if (host)
		r = find_route_of_host(d, host, strcspn(host, ":"), path);
	return r ? r : find_route_of_host(d, "*", 1, path);
}
