#include "common/clk.h"
#include "ctl/ctl.h"

#include <stdio.h>
#include <string.h>

#define POLL_MS 150

static void add_missing(json_t *missing, const char *name, const char *state,
			const json_t *node)
{
	json_int_t node_revision =
		json_integer_value(json_object_get(node, "doc_revision"));

	json_array_append_new(
		missing,
		json_sprintf("%s (%s, revision %" JSON_INTEGER_FORMAT ")", name,
			     state, node_revision));
}

/*
 * Returns 1 if the node may serve and so must have the revision. A node that is
 * lost or has left does not serve. A silent one has a grant (the right to
 * serve) until it is found lost, and one that may be in a hold goes on to serve
 * with the revision it has.
 */
static int must_have_revision(const json_t *node, const char *state)
{
	if (json_is_true(json_object_get(node, "maybe_held")))
		return 1;
	return strcmp(state, "lost") != 0 && strcmp(state, "left") != 0;
}

/* Lists who does not have the revision; empty: it is in force. */
static json_t *find_missing(const json_t *status, uint64_t revision)
{
	const json_t *coordinator_revision =
		json_object_get(status, "doc_revision");
	json_t *missing = json_array();
	size_t i;
	json_t *node;

	if ((uint64_t)json_integer_value(coordinator_revision) < revision)
		add_missing(missing, "coordinator", "live", status);
	json_array_foreach(json_object_get(status, "nodes"), i, node) {
		const json_t *node_revision =
			json_object_get(node, "doc_revision");
		const char *name =
			json_string_value(json_object_get(node, "name"));
		const char *state =
			json_string_value(json_object_get(node, "state"));

		if (!state)
			state = "unknown state";
		if (must_have_revision(node, state) &&
		    (uint64_t)json_integer_value(node_revision) < revision)
			add_missing(missing, name ? name : "?", state, node);
	}
	return missing;
}

enum ctl_exit ctl_wait_in_force(struct ctl *c, uint64_t revision,
				json_t **missing)
{
	int64_t end = clk_ms() + c->wait_ms;

	*missing = NULL;
	for (;;) {
		json_t *status;
		enum ctl_exit e = ctl_coord_get_json(c, "/status", 0, &status);

		json_decref(*missing);
		if (e == CTL_DONE)
			*missing = find_missing(status, revision);
		else
			*missing = json_pack("[s]", "no coordinator answers");
		json_decref(status);
		if (!json_array_size(*missing))
			return CTL_DONE;
		if (clk_ms() >= end)
			return CTL_PENDING;
		ctl_sleep(c, POLL_MS);
	}
}
