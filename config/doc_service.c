#include "config/doc_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A forwarded body and its headers must fit into one frame of 16 MiB. */
#define BODY_MAX_BYTES (16 * 1024 * 1024 - 64 * 1024)

#define FIELD(field) OPT_FIELD(struct doc_service, field)

static const struct opt service_options[] = {
	{ .name = "route.prefix",
	  .type = OPT_TEXT,
	  FIELD(prefix),
	  .check = opt_check_path_prefix,
	  .allowed = "a path that starts and ends with '/'",
	  .description = "requests with this path prefix are of the service; "
			 "without it, only routes lead here" },
	{ .name = "keyed",
	  .type = OPT_BOOL,
	  FIELD(keyed),
	  .default_number = 1,
	  .description = "each key has one owner; else any target serves" },
	{ .name = "shards",
	  .type = OPT_U32,
	  FIELD(shards),
	  .min = 1,
	  .max = DOC_MAX_SHARDS,
	  .power_of_two = 1,
	  .description = "parts of the key space" },
	{ .name = "weights.churn",
	  .type = OPT_REAL,
	  FIELD(weight_churn),
	  .min = 0,
	  .max = 1000,
	  .default_number = 1,
	  .description = "cost of a moved slot" },
	{ .name = "weights.imbalance",
	  .type = OPT_REAL,
	  FIELD(weight_imbalance),
	  .min = 0,
	  .max = 1000,
	  .default_number = 1,
	  .description = "cost of uneven load" },
	{ .name = "max_peak_to_mean",
	  .type = OPT_REAL,
	  FIELD(max_peak_to_mean),
	  .min = 1,
	  .max = 100,
	  .default_number = 1.15,
	  .description = "load of the busiest target over the mean" },
	{ .name = "auto_pins",
	  .type = OPT_U32,
	  FIELD(auto_pins),
	  .min = 0,
	  .max = 1024,
	  .default_number = 16,
	  .description = "hot keys that the coordinator may pin" },
	{ .name = "moves_per_minute",
	  .type = OPT_U32,
	  FIELD(moves_per_minute),
	  .min = 0,
	  .max = 1000000,
	  .default_number = 30,
	  .description = "slots moved for balance, per minute" },
	{ .name = "restart_grace_ms",
	  .type = OPT_U32,
	  FIELD(restart_grace_ms),
	  .min = 0,
	  .max = 600000,
	  .default_number = 0,
	  .description = "time a lost node keeps its slots for its return" },
	{ .name = "limits.body_bytes",
	  .type = OPT_U32,
	  FIELD(body_bytes),
	  .min = 0,
	  .max = BODY_MAX_BYTES,
	  .default_number = 8388608,
	  .description = "largest request body" },
	{ .name = "limits.queue",
	  .type = OPT_U32,
	  FIELD(queue),
	  .min = 0,
	  .max = 65536,
	  .default_number = 64,
	  .description = "requests that wait at one gate" },
	{ .name = "limits.deadline_ms",
	  .type = OPT_U32,
	  FIELD(deadline_ms),
	  .min = 10,
	  .max = 600000,
	  .default_number = 5000,
	  .description = "deadline of requests that name none" },
	{ .name = "limits.retry_ratio",
	  .type = OPT_REAL,
	  FIELD(retry_ratio),
	  .min = 0,
	  .max = 1,
	  .default_number = 0.1,
	  .description = "retries as a share of answered requests" },
	{ .name = "limits.tenant_share",
	  .type = OPT_REAL,
	  FIELD(tenant_share),
	  .min = 0.01,
	  .max = 1,
	  .default_number = 0.5,
	  .description = "share of a gate's places for one tenant" },
	{ .name = "cold_per_s",
	  .type = OPT_REAL,
	  FIELD(cold_per_s),
	  .min = 0,
	  .max = 10000,
	  .default_number = 0,
	  .description = "requests a second that a target takes while it is "
			 "cold; 0: no limit" },
	{ .name = "idempotency_key",
	  .type = OPT_BOOL,
	  FIELD(idempotency_key),
	  .description = "the service honours Idempotency-Key" },
};

#define OPTION_COUNT (sizeof(service_options) / sizeof(service_options[0]))

static const struct opt assigned_shards_options[] = {
	{ .name = "shards[0]",
	  .type = OPT_U32,
	  OPT_FIELD(struct doc_assignment, first),
	  .min = 0,
	  .max = DOC_MAX_SHARDS - 1 },
	{ .name = "shards[1]",
	  .type = OPT_U32,
	  OPT_FIELD(struct doc_assignment, last),
	  .min = 0,
	  .max = DOC_MAX_SHARDS - 1 },
};

static void read_key_source(struct doc_check *c, struct doc_service *s,
			    const json_t *value, const char *path)
{
	static const char header_chars[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZ"
		"abcdefghijklmnopqrstuvwxyz0123456789-_";
	const char *text = json_string_value(value);
	const char *name;
	int is_number = text && !strncmp(text, "number:", 7);

	if (text && !strcmp(text, "segment")) {
		s->key_source = DOC_KEY_SEGMENT;
		return;
	}
	name = text && (is_number || !strncmp(text, "header:", 7)) ? text + 7
								   : "";
	if (!*name || name[strspn(name, header_chars)] ||
	    strlen(name) >= sizeof(s->key_header)) {
		doc_add_problem(c, text ? ERR_RANGE : ERR_TYPE, path,
				"%s (allowed: \"segment\", \"header:NAME\" or "
				"\"number:NAME\")",
				text ? "is neither" : doc_type_name(value));
		return;
	}
	s->key_source = is_number ? DOC_KEY_NUMBER : DOC_KEY_HEADER;
	snprintf(s->key_header, sizeof(s->key_header), "%s", name);
}

static void read_regions(struct doc_check *c, struct doc_service *s,
			 const json_t *value, const char *path)
{
	s->regions = doc_read_names(c, value, path, 1);
}

static void read_nodes(struct doc_check *c, struct doc_service *s,
		       const json_t *value, const char *path)
{
	s->nodes = doc_read_names(c, value, path, 1);
}

/*
 * Reports if value is not an object of exactly these two keys. Returns 1 if it
 * is an object with both; it may have others.
 */
static int check_two_keys(struct doc_check *c, const json_t *value,
			  const char *path, const char *first,
			  const char *second)
{
	int complete = 1;
	const char *key;
	json_t *item;

	if (!json_is_object(value)) {
		doc_add_problem(c, ERR_TYPE, path,
				"%s (allowed: an object with %s and %s)",
				doc_type_name(value), first, second);
		return 0;
	}
	json_object_foreach((json_t *)value, key, item) {
		char item_path[DOC_PATH_BYTES];

		if (!strcmp(key, first) || !strcmp(key, second))
			continue;
		doc_path_key(item_path, path, key);
		doc_add_problem(c, ERR_UNKNOWN_KEY, item_path,
				"unknown key (allowed: %s, %s)", first, second);
	}
	for (int i = 0; i < 2; i++) {
		const char *name = i ? second : first;

		if (json_object_get(value, name))
			continue;
		doc_add_problem(c, ERR_NOT_FOUND, path,
				"%s is missing (required: %s, %s)", name, first,
				second);
		complete = 0;
	}
	return complete;
}

static void read_assignment(struct doc_check *c, struct doc_assignment *r,
			    const json_t *value, const char *path)
{
	const json_t *shards;
	char item_path[DOC_PATH_BYTES];

	if (!check_two_keys(c, value, path, "shards", "nodes"))
		return;
	doc_path_key(item_path, path, "nodes");
	r->nodes = doc_read_names(c, json_object_get(value, "nodes"), item_path,
				  0);
	shards = json_object_get(value, "shards");
	if (json_array_size(shards) != 2) {
		doc_path_key(item_path, path, "shards");
		doc_add_problem(c, ERR_TYPE, item_path,
				"is not a pair (allowed: [FIRST, LAST])");
		return;
	}
	for (size_t i = 0; i < 2; i++) {
		struct opt_value v = doc_opt_value(json_array_get(shards, i));
		struct buf reason;
		enum err e;

		buf_init(&reason);
		e = opt_store(&assigned_shards_options[i], &v, r, &reason);
		if (e != ERR_OK) {
			doc_path_field(item_path, path,
				       assigned_shards_options[i].name);
			doc_add_problem(c, e, item_path, "%s",
					buf_text(&reason));
		}
		buf_finish(&reason);
	}
}

/* Returns the size of an array of at most max items; -1: a problem. */
static long array_size(struct doc_check *c, const json_t *value,
		       const char *path, size_t max)
{
	if (!json_is_array(value)) {
		doc_add_problem(c, ERR_TYPE, path, "%s (allowed: an array)",
				doc_type_name(value));
		return -1;
	}
	if (json_array_size(value) > max) {
		doc_add_problem(c, ERR_TOO_LARGE, path,
				"has %zu items (allowed: at most %zu)",
				json_array_size(value), max);
		return -1;
	}
	return (long)json_array_size(value);
}

static void read_assign(struct doc_check *c, struct doc_service *s,
			const json_t *value, const char *path)
{
	long count = array_size(c, value, path, DOC_MAX_LIST_ITEMS);

	if (count <= 0)
		return;
	s->assign = calloc((size_t)count, sizeof(*s->assign));
	if (!s->assign) {
		doc_add_problem(c, ERR_NOMEM, path, "no memory");
		return;
	}
	s->assign_count = (size_t)count;
	for (size_t i = 0; i < s->assign_count; i++) {
		char item_path[DOC_PATH_BYTES];

		doc_path_index(item_path, path, i);
		read_assignment(c, &s->assign[i], json_array_get(value, i),
				item_path);
	}
}

static char *read_pin_text(struct doc_check *c, const json_t *pin,
			   const char *key, size_t max, int name,
			   const char *path)
{
	const json_t *value = json_object_get(pin, key);
	const char *text = json_string_value(value);
	size_t len = json_string_length(value);
	char item_path[DOC_PATH_BYTES];
	char *copy;
	int valid;

	doc_path_key(item_path, path, key);
	if (!text) {
		doc_add_problem(c, ERR_TYPE, item_path, "%s (allowed: a text)",
				doc_type_name(value));
		return NULL;
	}
	valid = len >= 1 && len <= max;
	if (name)
		valid = valid && opt_check_name(text);
	for (size_t i = 0; i < len; i++)
		valid = valid && (unsigned char)text[i] >= ' ' &&
			text[i] != 0x7f;
	if (!valid) {
		doc_add_problem(
			c, ERR_RANGE, item_path,
			"is not allowed (allowed: 1 to %zu bytes, %s)", max,
			name ? OPT_ALLOWED_NAME : "no control characters");
		return NULL;
	}
	copy = strdup(text);
	if (!copy)
		doc_add_problem(c, ERR_NOMEM, item_path, "no memory");
	return copy;
}

static void read_pins(struct doc_check *c, struct doc_service *s,
		      const json_t *value, const char *path)
{
	long count = array_size(c, value, path, DOC_MAX_PINS);

	if (count <= 0)
		return;
	s->pins = calloc((size_t)count, sizeof(*s->pins));
	if (!s->pins) {
		doc_add_problem(c, ERR_NOMEM, path, "no memory");
		return;
	}
	s->pin_count = (size_t)count;
	for (size_t i = 0; i < s->pin_count; i++) {
		const json_t *pin = json_array_get(value, i);
		char item_path[DOC_PATH_BYTES];

		doc_path_index(item_path, path, i);
		if (!check_two_keys(c, pin, item_path, "key", "node"))
			continue;
		s->pins[i].key = read_pin_text(c, pin, "key", DOC_MAX_KEY_BYTES,
					       0, item_path);
		s->pins[i].node = read_pin_text(
			c, pin, "node", DOC_NAME_BYTES - 1, 1, item_path);
	}
}

/* Fields with values that an option table cannot describe. */
static const struct structured_field {
	const char *name;
	void (*read)(struct doc_check *c, struct doc_service *s,
		     const json_t *value, const char *path);
	const char *allowed;
	const char *default_text;
	const char *description;
} structured_fields[] = {
	{ "route.key", read_key_source,
	  "\"segment\", \"header:NAME\" or \"number:NAME\"", "\"segment\"",
	  "where a request carries its key; numbers are 0 to 65535" },
	{ "targets.regions", read_regions, "names, or [\"*\"] for any",
	  "[\"*\"]", "regions whose targets serve" },
	{ "targets.nodes", read_nodes, "names, or [\"*\"] for any", "[\"*\"]",
	  "nodes whose targets serve" },
	{ "assign", read_assign,
	  "objects with \"shards\" [FIRST, LAST] and \"nodes\", each shard "
	  "at most once",
	  "[]", "shards that only these nodes own" },
	{ "pins", read_pins,
	  "at most 4096 objects with \"key\" (1 to 256 bytes) and \"node\"",
	  "[]", "hot keys that a node owns apart from the shards" },
};

#define STRUCTURED_FIELD_COUNT \
	(sizeof(structured_fields) / sizeof(structured_fields[0]))

static const struct structured_field *find_structured_field(const char *name)
{
	for (size_t i = 0; i < STRUCTURED_FIELD_COUNT; i++) {
		if (!strcmp(structured_fields[i].name, name))
			return &structured_fields[i];
	}
	return NULL;
}

static int is_group(const char *name)
{
	return opt_is_group(service_options, OPTION_COUNT, name) ||
	       !strcmp(name, "targets");
}

static int list_contains(const char *list, const char *item)
{
	size_t len = strlen(item);

	while (*list) {
		size_t n = strcspn(list, ",");

		if (n == len && !memcmp(list, item, len))
			return 1;
		list += n;
		list += strspn(list, ", ");
	}
	return 0;
}

/*
 * Adds to the list out the part of name that follows the group, up to the next
 * dot, if name is in the group and the part is not in the list yet.
 */
static void add_allowed_name(const char *group, const char *name, char *out,
			     size_t size)
{
	size_t group_len = strlen(group);
	size_t used = strlen(out);
	char item[DOC_NAME_BYTES];

	if (group_len) {
		if (strncmp(name, group, group_len) != 0 ||
		    name[group_len] != '.')
			return;
		name += group_len + 1;
	}
	snprintf(item, sizeof(item), "%.*s", (int)strcspn(name, "."), name);
	if (!list_contains(out, item))
		snprintf(out + used, size - used, "%s%s", used ? ", " : "",
			 item);
}

static void report_unknown_key(struct doc_check *c, const char *path,
			       const char *group)
{
	char allowed[256] = "";

	for (size_t i = 0; i < OPTION_COUNT; i++)
		add_allowed_name(group, service_options[i].name, allowed,
				 sizeof(allowed));
	for (size_t i = 0; i < STRUCTURED_FIELD_COUNT; i++)
		add_allowed_name(group, structured_fields[i].name, allowed,
				 sizeof(allowed));
	doc_add_problem(c, ERR_UNKNOWN_KEY, path, "unknown key (allowed: %s)",
			allowed);
}

/* State of the reading of one service. */
struct reader {
	struct doc_check *c;
	struct doc_service *s;
	const char *path;	/* of the service */
	int seen[OPTION_COUNT]; /* options that the document sets */
};

static void read_field(struct reader *r, const struct opt *o,
		       const json_t *value, const char *path)
{
	struct opt_value v = doc_opt_value(value);
	struct buf reason;
	enum err e;

	r->seen[o - service_options] = 1;
	buf_init(&reason);
	e = opt_store(o, &v, r->s, &reason);
	if (e != ERR_OK)
		doc_add_problem(r->c, e, path, "%s", buf_text(&reason));
	buf_finish(&reason);
}

/* Reads the fields of a group; group "": of the service itself. */
static void read_group(struct reader *r, const char *group,
		       const json_t *object)
{
	char base[DOC_PATH_BYTES];
	const char *key;
	json_t *value;

	doc_path_field(base, r->path, group);
	json_object_foreach((json_t *)object, key, value) {
		char name[DOC_PATH_BYTES];
		char path[DOC_PATH_BYTES];
		const struct structured_field *field;
		const struct opt *o;

		doc_path_key(name, group, key);
		doc_path_key(path, base, key);
		o = opt_find(service_options, OPTION_COUNT, name);
		field = find_structured_field(name);
		/* "targets.regions" would be read beside "targets". */
		if (strchr(key, '.'))
			report_unknown_key(r->c, path, group);
		else if (o)
			read_field(r, o, value, path);
		else if (field)
			field->read(r->c, r->s, value, path);
		else if (*group || !is_group(name))
			report_unknown_key(r->c, path, group);
		else if (json_is_object(value))
			read_group(r, name, value);
		else
			doc_add_problem(r->c, ERR_TYPE, path,
					"%s (allowed: an object)",
					doc_type_name(value));
	}
}

static void check_keyed(struct reader *r)
{
	char path[DOC_PATH_BYTES];

	doc_path_field(path, r->path, "shards");
	if (!r->s->keyed)
		r->s->shards = 0;
	else if (!r->seen[opt_find(service_options, OPTION_COUNT, "shards") -
			  service_options])
		doc_add_problem(
			r->c, ERR_NOT_FOUND, path,
			"missing (required: a power of two from 1 to %d)",
			DOC_MAX_SHARDS);
}

static void check_required(struct reader *r)
{
	for (size_t i = 0; i < OPTION_COUNT; i++) {
		char path[DOC_PATH_BYTES];
		struct buf allowed;

		if (!service_options[i].required || r->seen[i])
			continue;
		doc_path_field(path, r->path, service_options[i].name);
		buf_init(&allowed);
		opt_add_allowed(&service_options[i], &allowed);
		doc_add_problem(r->c, ERR_NOT_FOUND, path,
				"missing (required: %s)", buf_text(&allowed));
		buf_finish(&allowed);
	}
}

static char **wildcard_list(struct doc_check *c, const char *path)
{
	char **list = calloc(2, sizeof(*list));

	if (list)
		list[0] = strdup("*");
	if (!list || !list[0])
		doc_add_problem(c, ERR_NOMEM, path, "no memory");
	return list;
}

static void read_service_name(struct doc_check *c, struct doc_service *s,
			      const char *name, const char *path)
{
	if (!opt_check_name(name) || strlen(name) > DOC_MAX_SERVICE_NAME)
		doc_add_problem(c, ERR_RANGE, path,
				"name is not allowed (allowed: 1 to %zu of %s)",
				DOC_MAX_SERVICE_NAME, OPT_ALLOWED_NAME);
	else if (!strcmp(name, DOC_STOPS_NAME))
		doc_add_problem(c, ERR_RANGE, path,
				"name is not allowed (\"%s\" is the section of "
				"planned stops)",
				DOC_STOPS_NAME);
	snprintf(s->name, sizeof(s->name), "%s", name);
}

void doc_read_service(struct doc_check *c, struct doc_service *s,
		      const char *name, const json_t *value, const char *path)
{
	struct reader r = { .c = c, .s = s, .path = path };

	read_service_name(c, s, name, path);
	opt_set_defaults(service_options, OPTION_COUNT, s);
	if (!json_is_object(value)) {
		doc_add_problem(c, ERR_TYPE, path, "%s (allowed: an object)",
				doc_type_name(value));
		return;
	}
	read_group(&r, "", value);
	check_required(&r);
	check_keyed(&r);
	if (!s->regions)
		s->regions = wildcard_list(c, path);
	if (!s->nodes)
		s->nodes = wildcard_list(c, path);
	doc_check_service(c, s, path);
}

void doc_describe_service(struct buf *out)
{
	for (size_t i = 0; i < OPTION_COUNT; i++)
		opt_describe(&service_options[i], "services.NAME.", out);
	for (size_t i = 0; i < STRUCTURED_FIELD_COUNT; i++) {
		const struct structured_field *s = &structured_fields[i];

		buf_addf(out, "services.NAME.%s: %s; default: %s; %s\n",
			 s->name, s->allowed, s->default_text, s->description);
	}
}

void doc_free_names(char **list)
{
	for (char **p = list; p && *p; p++)
		free(*p);
	free(list);
}

void doc_service_finish(struct doc_service *s)
{
	for (size_t i = 0; i < s->assign_count; i++)
		doc_free_names(s->assign[i].nodes);
	for (size_t i = 0; i < s->pin_count; i++) {
		free(s->pins[i].key);
		free(s->pins[i].node);
	}
	free(s->assign);
	free(s->pins);
	doc_free_names(s->regions);
	doc_free_names(s->nodes);
}
