#include "ctl/ctl.h"

#include <stdio.h>
#include <string.h>

static const char *get_text(const json_t *o, const char *key)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s && *s ? s : "-";
}

static long long get_number(const json_t *o, const char *key)
{
	return json_integer_value(json_object_get(o, key));
}

static int get_flag(const json_t *o, const char *key)
{
	return json_is_true(json_object_get(o, key));
}

/*
 * Returns 1 during a hold: the coordinator cannot reach the store, and nodes
 * keep what they own. "hold" is a flag or the number of the hold.
 */
static int in_hold(const json_t *status)
{
	const json_t *hold = json_object_get(status, "hold");

	return json_is_true(hold) || json_integer_value(hold) != 0;
}

static void print_nodes(const json_t *nodes)
{
	size_t i;
	json_t *n;

	printf("%-5s %-16s %-14s %-14s %-9s %-5s %8s %8s %-14s %6s %10s %8s\n",
	       "ID", "NODE", "REGION", "DATA-CENTRE", "STATE", "HELD", "DOC",
	       "MAP", "SERVICE", "SLOTS", "REQUESTS", "IN-FLIGHT");
	json_array_foreach((json_t *)nodes, i, n) {
		printf("%-5lld %-16s %-14s %-14s %-9s %-5s %8lld %8lld %-14s "
		       "%6lld %10lld %8lld\n",
		       get_number(n, "id"), get_text(n, "name"),
		       get_text(n, "region"), get_text(n, "data_centre"),
		       get_text(n, "state"),
		       get_flag(n, "maybe_held") ? "maybe" : "no",
		       get_number(n, "doc_revision"),
		       get_number(n, "map_revision"), get_text(n, "service"),
		       get_number(n, "slots"), get_number(n, "requests"),
		       get_number(n, "in_flight"));
	}
}

static void print_causes(const json_t *causes)
{
	const char *separator = "";
	const char *cause;
	json_t *count;

	json_object_foreach((json_t *)causes, cause, count) {
		printf("%s%s %" JSON_INTEGER_FORMAT, separator, cause,
		       json_integer_value(count));
		separator = ", ";
	}
	printf("\n");
}

static void print_services(const json_t *services)
{
	size_t i;
	json_t *s;

	printf("%-16s %7s %7s %7s %9s %8s %14s  %s\n", "SERVICE", "SHARDS",
	       "OWNED", "UNOWNED", "PEAK/MEAN", "MOVES", "UNAVAILABLE-MS",
	       "MOVES-BY-CAUSE");
	json_array_foreach((json_t *)services, i, s) {
		double peak =
			json_number_value(json_object_get(s, "peak_to_mean"));

		printf("%-16s %7lld %7lld %7lld %9.2f %8lld %14lld  ",
		       get_text(s, "name"), get_number(s, "shards"),
		       get_number(s, "owned"), get_number(s, "unowned"), peak,
		       get_number(s, "moves"), get_number(s, "unavailable_ms"));
		print_causes(json_object_get(s, "moves_by_cause"));
	}
}

/*
 * Prints the lines that need an operator's attention for a node, and returns
 * their number. Each kind of line is explained in docs/operators.md.
 */
static int print_node_warnings(const json_t *status, const json_t *n)
{
	long long doc = get_number(status, "doc_revision");
	const char *state = get_text(n, "state");
	const char *name = get_text(n, "name");
	int serves = !strcmp(state, "live") || !strcmp(state, "draining");
	int lines = 0;

	if (get_flag(n, "maybe_held"))
		lines += printf("attention: %s may hold its slots\n", name) > 0;
	else if (!strcmp(state, "silent") || !strcmp(state, "lost"))
		lines += printf("attention: %s is %s\n", name, state) > 0;
	if (serves && get_number(n, "doc_revision") < doc)
		lines += printf("attention: %s has document revision %lld of "
				"%lld\n",
				name, get_number(n, "doc_revision"), doc) > 0;
	if (serves && !strcmp(get_text(n, "service"), "-"))
		lines += printf("attention: %s has no target\n", name) > 0;
	return lines;
}

static void print_attention(const json_t *status)
{
	const json_t *nodes = json_object_get(status, "nodes");
	int lines = 0;
	size_t i;
	json_t *item;

	json_array_foreach(json_object_get(status, "drained_data_centres"), i,
			   item) {
		lines += printf("attention: data centre %s is drained\n",
				json_string_value(item)) > 0;
	}
	if (in_hold(status))
		lines += printf("attention: hold, nothing moves\n") > 0;
	if (!json_array_size(nodes))
		lines += printf("attention: no nodes\n") > 0;
	json_array_foreach((json_t *)nodes, i, item) {
		lines += print_node_warnings(status, item);
	}
	json_array_foreach(json_object_get(status, "services"), i, item) {
		if (get_number(item, "document_shards") &&
		    get_number(item, "document_shards") !=
			    get_number(item, "shards"))
			lines +=
				printf("attention: %s keeps %lld shards, the "
				       "document says %lld\n",
				       get_text(item, "name"),
				       get_number(item, "shards"),
				       get_number(item, "document_shards")) > 0;
		if (get_number(item, "unowned"))
			lines += printf("attention: %s has %lld unowned "
					"slots\n",
					get_text(item, "name"),
					get_number(item, "unowned")) > 0;
	}
	if (!lines)
		printf("attention: none\n");
}

enum ctl_exit ctl_status(struct ctl *c)
{
	json_t *status;
	enum ctl_exit result = ctl_coord_get_json(c, "/status", 1, &status);

	if (result != CTL_DONE)
		return result;
	if (c->json) {
		ctl_print_json(status);
		return CTL_DONE;
	}
	printf("coordinator %s, term %lld, map revision %lld, document "
	       "revision %lld, pins %lld, hold %s\n\n",
	       get_text(status, "coordinator"), get_number(status, "term"),
	       get_number(status, "map_revision"),
	       get_number(status, "doc_revision"), get_number(status, "pins"),
	       in_hold(status) ? "yes" : "no");
	print_nodes(json_object_get(status, "nodes"));
	printf("\n");
	print_services(json_object_get(status, "services"));
	printf("\n");
	print_attention(status);
	json_decref(status);
	return CTL_DONE;
}
