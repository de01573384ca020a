#include "config/doc.h"

#include <glib.h>
#include <string.h>
#include <time.h>

static char *make_document(const char *services, const char *stops)
{
	return g_strdup_printf("{\"version\": 1, \"services\": {%s}%s%s}",
			       services, stops ? ", \"stops\": " : "",
			       stops ? stops : "");
}

/* Returns a service with the required fields and then more_fields. */
static char *make_service(const char *name, const char *prefix,
			  const char *more_fields)
{
	return g_strdup_printf("\"%s\": {\"route\": {\"prefix\": \"%s\"}, "
			       "\"shards\": 16%s%s}",
			       name, prefix, *more_fields ? ", " : "",
			       more_fields);
}

static enum err parse_and_free(char *text, struct buf *problems)
{
	struct doc d;
	enum err e;

	buf_init(problems);
	e = doc_parse(&d, text, strlen(text), problems);
	if (e == ERR_OK)
		doc_finish(&d);
	g_free(text);
	return e;
}

/* Checks that a service with these fields gives exactly these problems. */
static void expect_problems(const char *more_fields, const char *problems)
{
	struct buf out;
	char *s = make_service("kiln", "/kiln/", more_fields);
	enum err e = parse_and_free(make_document(s, NULL), &out);

	g_free(s);
	g_assert_cmpstr(buf_text(&out), ==, problems);
	if (*problems)
		g_assert_cmpint(e, !=, ERR_OK);
	else
		g_assert_cmpint(e, ==, ERR_OK);
	buf_finish(&out);
}

/* Checks that the document is refused, with this text in the problems. */
static void expect_document_problem(char *text, const char *problem)
{
	struct buf out;
	enum err e = parse_and_free(text, &out);

	g_assert_cmpint(e, !=, ERR_OK);
	if (!strstr(buf_text(&out), problem))
		g_error("\"%s\" is not in: %s", problem, buf_text(&out));
	buf_finish(&out);
}

/* Guards against values and defaults that are stored in the wrong field. */
static void test_values_and_defaults(void)
{
	char *s =
		make_service("kiln", "/kiln/",
			     "\"targets\": {\"regions\": [\"franken\"]}, "
			     "\"assign\": [{\"shards\": [0, 7], \"nodes\": "
			     "[\"n01\", \"n02\"]}], \"pins\": [{\"key\": "
			     "\"passau-1\", \"node\": \"n02\"}], "
			     "\"limits\": {\"retry_ratio\": 0, \"queue\": 9}, "
			     "\"idempotency_key\": true");
	char *text =
		make_document(s, "[{\"node\": \"n03\", \"state\": \"drain\"}]");
	const struct doc_service *k;
	struct doc d;

	g_assert_cmpint(doc_parse(&d, text, strlen(text), NULL), ==, ERR_OK);
	k = doc_find_service(&d, "kiln");
	g_assert_nonnull(k);
	g_assert_null(doc_find_service(&d, "kil"));
	g_assert_cmpuint(k->shards, ==, 16);
	g_assert_cmpint(k->key_source, ==, DOC_KEY_SEGMENT);
	g_assert_cmpstr(k->regions[0], ==, "franken");
	g_assert_null(k->regions[1]);
	g_assert_cmpstr(k->nodes[0], ==, "*");
	g_assert_cmpuint(k->assign_count, ==, 1);
	g_assert_cmpuint(k->assign[0].last, ==, 7);
	g_assert_cmpstr(k->assign[0].nodes[1], ==, "n02");
	g_assert_cmpstr(k->pins[0].key, ==, "passau-1");
	g_assert_cmpfloat(k->retry_ratio, ==, 0);
	g_assert_cmpfloat(k->max_peak_to_mean, ==, 1.15);
	g_assert_cmpuint(k->queue, ==, 9);
	g_assert_cmpuint(k->body_bytes, ==, 8388608);
	g_assert_cmpint(k->idempotency_key, ==, 1);
	g_assert_true(doc_has_stop(&d, "n03"));
	g_assert_false(doc_has_stop(&d, "n0"));
	doc_finish(&d);
	g_free(text);
	g_free(s);
}

/* Guards against values of a wrong type or range that are accepted. */
static void test_invalid_values(void)
{
	expect_problems("", "");
	expect_problems(
		"\"auto_pins\": 1025",
		"services.kiln.auto_pins: 1025 is out of range (allowed: an "
		"integer from 0 to 1024)\n");
	expect_problems("\"auto_pins\": 1.5",
			"services.kiln.auto_pins: is a number with a fraction "
			"(allowed: an integer from 0 to 1024)\n");
	expect_problems(
		"\"limits\": {\"tenant_share\": 2, \"quue\": 1}",
		"services.kiln.limits.tenant_share: 2 is out of range "
		"(allowed: a number from 0.01 to 1)\n"
		"services.kiln.limits.quue: unknown key (allowed: body_bytes, "
		"queue, deadline_ms, retry_ratio, tenant_share)\n");
	expect_problems(
		"\"colour\": 3",
		"services.kiln.colour: unknown key (allowed: route, keyed, "
		"shards, weights, max_peak_to_mean, auto_pins, moves_per_minute, "
		"restart_grace_ms, limits, cold_per_s, idempotency_key, "
		"targets, assign, pins)\n");
	/* Such a key was read beside the group, and its list was lost. */
	expect_problems(
		"\"targets\": {\"regions\": [\"a\"]}, "
		"\"targets.regions\": [\"b\"]",
		"services.kiln.targets.regions: unknown key (allowed: "
		"route, keyed, shards, weights, max_peak_to_mean, auto_pins, "
		"moves_per_minute, restart_grace_ms, limits, cold_per_s, "
		"idempotency_key, targets, assign, pins)\n");
	expect_problems("\"cold_per_s\": -1",
			"services.kiln.cold_per_s: -1 is out of range "
			"(allowed: a number from 0 to 10000)\n");
	expect_problems(
		"\"limits\": 3",
		"services.kiln.limits: is a number (allowed: an object)\n");
	expect_problems(
		"\"idempotency_key\": 1",
		"services.kiln.idempotency_key: is an integer (allowed: true "
		"or false)\n");
	expect_problems(
		"\"weights\": {\"churn\": 0, \"imbalance\": 0}",
		"services.kiln.weights: both are 0 (allowed: at least one "
		"above 0)\n");
	expect_problems(
		"\"targets\": {\"nodes\": [\"*\", \"n01\"]}",
		"services.kiln.targets.nodes[0]: is no name (allowed: letters, "
		"digits, '.', '_' and '-'; \"*\" as the only item)\n");
}

/* Guards against assignments that overlap, or that name no existing shards. */
static void test_invalid_assign(void)
{
	expect_problems(
		"\"assign\": [{\"shards\": [0, 7], \"nodes\": [\"n01\"]}, "
		"{\"shards\": [7, 8], \"nodes\": [\"n02\"]}]",
		"services.kiln.assign[1]: shard 7 is also in assign[0] "
		"(allowed: once)\n");
	expect_problems(
		"\"assign\": [{\"shards\": [8, 16], \"nodes\": [\"n01\"]}]",
		"services.kiln.assign[0]: shards [8, 16] are no range of the "
		"service (allowed: 0 to 15, ascending)\n");
	expect_problems(
		"\"assign\": [{\"shards\": [3, 2], \"nodes\": [\"n01\"]}]",
		"services.kiln.assign[0]: shards [3, 2] are no range of the "
		"service (allowed: 0 to 15, ascending)\n");
	expect_problems(
		"\"assign\": [{\"shards\": [0, -1], \"nodes\": []}]",
		"services.kiln.assign[0].nodes: is no list of names (allowed: "
		"1 to 8192 names)\n"
		"services.kiln.assign[0].shards[1]: -1 is out of range "
		"(allowed: an integer from 0 to 65535)\n");
	expect_problems(
		"\"assign\": [{\"shards\": [0, 1]}]",
		"services.kiln.assign[0]: nodes is missing (required: shards, "
		"nodes)\n");
}

/* Guards against a key that two pins give to different owners. */
static void test_duplicate_pins(void)
{
	expect_problems(
		"\"pins\": [{\"key\": \"a\", \"node\": \"n01\"}, {\"key\": "
		"\"a\", \"node\": \"n02\"}]",
		"services.kiln.pins: \"a\" is named twice (allowed: once)\n");
	expect_problems(
		"\"pins\": [{\"key\": \"\", \"node\": \"n 1\", \"x\": 1}]",
		"services.kiln.pins[0].x: unknown key (allowed: key, node)\n"
		"services.kiln.pins[0].key: is not allowed (allowed: 1 to 256 "
		"bytes, no control characters)\n"
		"services.kiln.pins[0].node: is not allowed (allowed: 1 to 63 "
		"bytes, letters, digits, '.', '_' and '-')\n");
}

/*
 * Guards against requests that match two services, because the prefix of one
 * starts with that of the other.
 */
static void test_overlapping_prefixes(void)
{
	char *a = make_service("a", "/x/", "");
	char *b = make_service("b", "/x/y/", "");
	char *c = make_service("c", "/x/", "");
	char *d = make_service("d", "/xy/", "");
	char *both = g_strjoin(", ", a, b, NULL);
	char *same = g_strjoin(", ", a, c, NULL);
	char *separate = g_strjoin(", ", a, d, NULL);
	struct buf out;

	expect_document_problem(
		make_document(both, NULL),
		"services.b: route.prefix \"/x/y/\" overlaps with "
		"\"/x/\" of a (allowed: separate prefixes)\n");
	expect_document_problem(
		make_document(same, NULL),
		"services.c: route.prefix \"/x/\" overlaps with "
		"\"/x/\" of a");
	g_assert_cmpint(parse_and_free(make_document(separate, NULL), &out), ==,
			ERR_OK);
	buf_finish(&out);
	g_free(a);
	g_free(b);
	g_free(c);
	g_free(d);
	g_free(both);
	g_free(same);
	g_free(separate);
}

/*
 * Guards against names that make keys in the store ambiguous, and against a
 * service that is defined twice, of which JSON keeps only one.
 */
static void test_reserved_and_invalid_names(void)
{
	char *stops = make_service("stops", "/s/", "");
	char *a = make_service("a", "/a/", "");
	char *twice = g_strjoin(", ", a, a, NULL);
	char *bad = make_service("a/b", "/a/", "");

	expect_document_problem(make_document(stops, NULL),
				"services.stops: name is not allowed");
	expect_document_problem(make_document(twice, NULL),
				"duplicate object key");
	expect_document_problem(make_document(bad, NULL),
				"services.\"a/b\": name is not allowed");
	g_free(stops);
	g_free(a);
	g_free(twice);
	g_free(bad);
}

/*
 * Guards against a stop of a data centre that is taken for that of a node with
 * the same name or without a name, and the other way round.
 */
static void test_data_centre_stops(void)
{
	char *text = make_document(
		"", "[{\"node\": \"a\", \"state\": \"drain\"}, "
		    "{\"data_centre\": \"z1\", \"state\": \"drain\"}, "
		    "{\"data_centre\": \"a\", \"state\": \"drain\"}, "
		    "{\"node\": \"b\", \"state\": \"drain\"}]");
	struct doc d;

	g_assert_cmpint(doc_parse(&d, text, strlen(text), NULL), ==, ERR_OK);
	g_assert_true(doc_has_data_centre_stop(&d, "z1"));
	g_assert_true(doc_has_data_centre_stop(&d, "a"));
	g_assert_false(doc_has_data_centre_stop(&d, "b"));
	g_assert_false(doc_has_data_centre_stop(&d, ""));
	g_assert_true(doc_has_stop(&d, "a"));
	g_assert_false(doc_has_stop(&d, "z1"));
	g_assert_false(doc_has_stop(&d, ""));
	doc_finish(&d);
	g_free(text);
}

/* Returns the processor time of asking for each of 5,200 nodes, in seconds. */
static double ask_seconds(const struct doc *d)
{
	clock_t begin = clock();

	for (int i = 0; i < 5200; i++)
		g_assert_false(doc_has_data_centre_stop(d, "z1"));
	return (double)(clock() - begin) / CLOCKS_PER_SEC;
}

/*
 * Guards against requests without a key that cost more with each node that is
 * to stop: the stops of data centres are asked for at each candidate. Load: 700
 * stops, as many as nodes are replaced in a day.
 */
static void test_many_node_stops(void)
{
	GString *stops = g_string_new("[");
	double none_s, many_s;
	struct doc d;
	char *text;

	for (int i = 0; i < 700; i++)
		g_string_append_printf(
			stops, "%s{\"node\": \"n%d\", \"state\": \"drain\"}",
			i ? ", " : "", i);
	g_string_append(stops, "]");
	text = make_document("", stops->str);
	g_assert_cmpint(doc_parse(&d, text, strlen(text), NULL), ==, ERR_OK);
	many_s = ask_seconds(&d);
	d.stop_count = 0;
	none_s = ask_seconds(&d);
	g_test_message("%.6f s, without stops %.6f s", many_s, none_s);
	g_assert_cmpfloat(many_s, <, 4 * none_s + 0.001);
	doc_finish(&d);
	g_free(text);
	g_string_free(stops, TRUE);
}

/* Guards against stops that are ignored because of a mistake in them. */
static void test_invalid_stops(void)
{
	expect_document_problem(
		make_document("", "[{\"node\": \"n1\", \"state\": \"off\"}, "
				  "{\"node\": \"n1\"}, 3]"),
		"stops[0].state: \"off\" is not a choice (allowed: one "
		"of \"drain\")\n"
		"stops[1]: state is missing (required: state)\n"
		"stops[2]: is a number (allowed: an object with node "
		"or data_centre, and state)\n"
		"stops: \"n1\" is named twice (allowed: once)\n");
	expect_document_problem(make_document("", "[{\"data_centre\": \"z 1\", "
						  "\"state\": \"drain\"}]"),
				"stops[0].data_centre: ");
	expect_document_problem(
		make_document("", "[{\"state\": \"drain\"}]"),
		"stops[0]: node or data_centre is missing (required: one of "
		"node, data_centre)\n");
	expect_document_problem(
		make_document("", "[{\"node\": \"n1\", \"data_centre\": "
				  "\"z1\", \"state\": \"drain\"}]"),
		"stops[0]: node and data_centre are both set (required: one "
		"of node, data_centre)\n");
	expect_document_problem(
		make_document("", "[{\"data_centre\": \"z1\", \"state\": "
				  "\"drain\"}, {\"data_centre\": \"z1\", "
				  "\"state\": \"drain\"}]"),
		"stops: \"z1\" is named twice (allowed: once)\n");
	expect_document_problem(make_document("", "{}"), "stops: is an object");
}

/*
 * Guards against text that crashes or blocks the parser: deep nesting, too many
 * bytes, bytes that are not UTF-8, incomplete JSON.
 */
static void test_malformed_text(void)
{
	GString *big = g_string_new("{");
	GString *deep = g_string_new("{\"version\":1,\"services\":");

	for (int i = 0; i < 100000; i++)
		g_string_append_c(deep, '[');
	expect_document_problem(
		g_string_free(deep, FALSE),
		"document: is nested too deep (allowed: 16 levels)\n");
	while (big->len <= DOC_MAX_BYTES)
		g_string_append(big, "          ");
	expect_document_problem(g_string_free(big, FALSE),
				"document: has 1048581 bytes (allowed: at most "
				"1048576)\n");
	expect_document_problem(g_strdup("{\"version\": \"\xc3\x28\"}"),
				"text is not UTF-8\" (allowed: UTF-8)\n");
	expect_document_problem(g_strdup("{\"version\": 1,"),
				"document: line 1, ");
	expect_document_problem(g_strdup("[]"),
				"document: is an array (allowed: ");
	expect_document_problem(
		g_strdup("{\"a\\nb\": 1}"),
		"\"a?b\": unknown key (allowed: version, services, "
		"routes, stops)\nversion: missing (required: 1)\n"
		"services: missing");
}

static void split_and_free(char *text, struct doc_sections *out)
{
	g_assert_cmpint(doc_split(text, strlen(text), out, NULL), ==, ERR_OK);
	g_free(text);
}

/*
 * Guards against sections that differ between equal documents, by the order of
 * services or by spaces, and so are written without a change.
 */
static void test_sections(void)
{
	char *a = make_service("a", "/a/",
			       "\"auto_pins\": 3, \"weights\": "
			       "{\"churn\": 0.1}");
	char *b = make_service("b", "/b/", "");
	char *ab = g_strjoin(",", a, b, NULL);
	char *ba = g_strjoin(", \n", b, a, NULL);
	struct doc_sections x;
	struct doc_sections y;
	struct buf joined;
	struct doc d;

	split_and_free(make_document(ab, NULL), &x);
	split_and_free(make_document(ba, "[]"), &y);
	g_assert_cmpuint(x.count, ==, 3);
	g_assert_cmpstr(x.items[0].name, ==, "service/a");
	g_assert_cmpstr(x.items[2].name, ==, "stops");
	for (size_t i = 0; i < 3; i++) {
		g_assert_cmpstr(x.items[i].text, ==, y.items[i].text);
		g_assert_cmpuint(x.items[i].digest, ==, y.items[i].digest);
	}
	g_assert_cmpstr(x.items[0].text, ==,
			"{\"auto_pins\":3,\"route\":{\"prefix\":\"/a/\"},"
			"\"shards\":16,\"weights\":{\"churn\":0.1}}");
	doc_sections_finish(&y);

	/* The joined text splits into the same sections. */
	buf_init(&joined);
	g_assert_cmpint(doc_join(&x, &joined), ==, ERR_OK);
	g_assert_cmpint(doc_split(buf_text(&joined), joined.len, &y, NULL), ==,
			ERR_OK);
	for (size_t i = 0; i < 3; i++)
		g_assert_cmpuint(x.items[i].digest, ==, y.items[i].digest);
	g_assert_cmpint(doc_parse_sections(&d, &x, NULL), ==, ERR_OK);
	g_assert_cmpuint(d.service_count, ==, 2);
	doc_finish(&d);

	g_assert_cmpint(doc_sections_set(&x, "service/a", NULL, 0), ==, ERR_OK);
	g_assert_cmpint(doc_sections_set(&x, "service/a", NULL, 0), ==,
			ERR_NOT_FOUND);
	g_assert_null(doc_sections_get(&x, "service/a"));
	g_assert_nonnull(doc_sections_get(&x, "service/b"));
	doc_sections_finish(&x);
	doc_sections_finish(&y);
	buf_finish(&joined);
	g_free(a);
	g_free(b);
	g_free(ab);
	g_free(ba);
}

/*
 * Guards against received sections that are used although they do not form a
 * valid document.
 */
static void test_malformed_sections(void)
{
	struct doc_sections s = { 0 };
	struct buf out;
	struct doc d;

	buf_init(&out);
	doc_sections_set(&s, "service/a", "{", 1);
	doc_sections_set(&s, "other", "{}", 2);
	doc_sections_set(&s, "stops", "[[[[[[[[[[[[[[[[[", 17);
	g_assert_cmpint(doc_parse_sections(&d, &s, &out), !=, ERR_OK);
	g_assert_nonnull(strstr(buf_text(&out), "section.other: unknown"));
	g_assert_nonnull(strstr(buf_text(&out), "section.stops: is nested"));
	g_assert_nonnull(strstr(buf_text(&out), "section.\"service/a\": line"));
	buf_finish(&out);
	doc_sections_finish(&s);
}

/* Guards against differences shown for a list that was only reordered. */
static void test_diff_ignores_order(void)
{
	char *a = make_service("a", "/a/",
			       "\"auto_pins\": 3, \"pins\": [{\"key\": \"k\", "
			       "\"node\": \"n1\"}, {\"key\": \"l\", \"node\": "
			       "\"n1\"}]");
	char *b = make_service("a", "/a/",
			       "\"pins\": [{\"key\": \"l\", \"node\": "
			       "\"n1\"}, {\"key\": \"k\", \"node\": \"n2\"}]");
	struct doc_sections x;
	struct doc_sections y;
	struct buf out;

	split_and_free(make_document(a, NULL), &x);
	split_and_free(
		make_document(b, "[{\"node\": \"n3\", \"state\": \"drain\"}, "
				 "{\"data_centre\": \"z\", "
				 "\"state\": \"drain\"}]"),
		&y);
	buf_init(&out);
	g_assert_cmpint(doc_diff(&x, &y, &out), ==, ERR_OK);
	g_assert_cmpstr(buf_text(&out), ==,
			"- services.a.auto_pins: 3\n"
			"~ services.a.pins[k].node: \"n1\" -> \"n2\"\n"
			"+ stops[data_centre z].data_centre: \"z\"\n"
			"+ stops[data_centre z].state: \"drain\"\n"
			"+ stops[n3].node: \"n3\"\n"
			"+ stops[n3].state: \"drain\"\n");
	buf_reset(&out);
	g_assert_cmpint(doc_diff(&x, &x, &out), ==, ERR_OK);
	g_assert_cmpuint(out.len, ==, 0);
	buf_finish(&out);
	doc_sections_finish(&x);
	doc_sections_finish(&y);
	g_free(a);
	g_free(b);
}

/* Returns a document with the service "kiln" in region "x" and "y" and routes.
 */
static char *make_routed(const char *routes)
{
	return g_strdup_printf(
		"{\"version\": 1, \"services\": {\"kiln\": {\"shards\": 16, "
		"\"targets\": {\"regions\": [\"x\", \"y\"]}}, \"desk\": "
		"{\"keyed\": false}}, \"routes\": {%s}}",
		routes);
}

/* Returns a route to kiln, and to desk with this weight. */
static char *make_route(const char *name, const char *regions, int weight)
{
	return g_strdup_printf(
		"\"%s\": {\"prefix\": \"/%s/\", \"to\": [{\"service\": "
		"\"kiln\", \"weight\": %d}, {\"service\": \"desk\"}]%s%s}",
		name, name, weight, *regions ? ", \"regions\": " : "", regions);
}

/* Guards against regions of a route that are read wrongly. */
static void test_route_regions(void)
{
	static const struct {
		const char *regions;
		const char *problem; /* NULL: none */
		const char *read;
	} cases[] = {
		{ "", NULL, "" },
		{ "[]", NULL, "" },
		{ "[\"x\"]", NULL, "x" },
		{ "[\"y\", \"far\"]", NULL, "y,far" },
		{ "\"x\"",
		  "routes.a.regions: is a text (allowed: at most 64 names)",
		  "" },
		{ "{}", "routes.a.regions: is an object", "" },
		{ "[\"x\", \"x\"]", "routes.a.regions: \"x\" is named twice",
		  "" },
		{ "[\"*\"]", "routes.a.regions[0]: is no name", "" },
		{ "[\"\"]", "routes.a.regions[0]: is no name", "" },
		{ "[\"x\", 3]", "routes.a.regions[1]: is no name", "" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *route = make_route("a", cases[i].regions, 1);
		char *text = make_routed(route);
		struct buf out;
		struct doc d;

		g_free(route);
		if (cases[i].problem) {
			expect_document_problem(text, cases[i].problem);
			continue;
		}
		g_assert_cmpint(doc_parse(&d, text, strlen(text), NULL), ==,
				ERR_OK);
		buf_init(&out);
		doc_regions_add(d.routes[0]->regions, &out);
		g_assert_cmpstr(buf_text(&out), ==, cases[i].read);
		buf_finish(&out);
		doc_finish(&d);
		g_free(text);
	}
}

/* Guards against a list without bound. */
static void test_many_regions(void)
{
	GString *list = g_string_new("[");
	char *route;

	for (int i = 0; i <= DOC_MAX_ROUTE_REGIONS; i++)
		g_string_append_printf(list, "%s\"r%d\"", i ? "," : "", i);
	g_string_append(list, "]");
	route = make_route("a", list->str, 1);
	expect_document_problem(make_routed(route),
				"routes.a.regions: has too many items "
				"(allowed: at most 64 names)");
	g_free(route);
	g_string_free(list, TRUE);
}

/* Guards against a change of regions that an operator does not see. */
static void test_diff_of_regions(void)
{
	char *a = make_route("a", "[\"x\"]", 1);
	char *b = make_route("a", "[\"x\", \"y\"]", 1);
	struct doc_sections x;
	struct doc_sections y;
	struct buf out;

	split_and_free(make_routed(a), &x);
	split_and_free(make_routed(b), &y);
	buf_init(&out);
	g_assert_cmpint(doc_diff(&x, &y, &out), ==, ERR_OK);
	g_assert_cmpstr(buf_text(&out), ==,
			"~ route/a.regions: [\"x\"] -> [\"x\",\"y\"]\n");
	buf_finish(&out);
	doc_sections_finish(&x);
	doc_sections_finish(&y);
	g_free(a);
	g_free(b);
}

/*
 * Guards against owners where a route to their service may not go, and against
 * a service without owners because its routes contradict each other.
 */
static void test_owner_regions(void)
{
	static const struct {
		const char *first;
		int first_weight;
		const char *second;
		int conflict;
		const char *names; /* NULL: not restricted */
	} cases[] = {
		{ "", 1, "", 0, NULL },
		{ "[]", 1, "[]", 0, NULL },
		{ "[\"x\"]", 1, "", 0, "x" },
		{ "", 1, "[\"y\"]", 0, "y" },
		{ "[\"y\", \"x\"]", 1, "[\"x\", \"y\"]", 0, "y,x" },
		{ "[\"x\", \"y\"]", 1, "[\"y\"]", 0, "y" },
		/* The service's own regions are x and y. */
		{ "[\"x\", \"z\"]", 1, "", 0, "x" },
		{ "[\"z\"]", 1, "", 1, NULL },
		{ "[\"x\"]", 1, "[\"y\"]", 1, NULL },
		/* It gets none of the route's requests. */
		{ "[\"x\"]", 0, "[\"y\"]", 0, "y" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *a =
			make_route("a", cases[i].first, cases[i].first_weight);
		char *b = make_route("b", cases[i].second, 1);
		char *both = g_strdup_printf("%s, %s", a, b);
		char *text = make_routed(both);
		struct doc_owner_regions o;
		struct buf out;
		struct doc d;

		g_test_message("case %zu", i);
		g_assert_cmpint(doc_parse(&d, text, strlen(text), NULL), ==,
				ERR_OK);
		g_assert_cmpint(doc_owner_regions_init(
					&o, &d, doc_find_service(&d, "kiln")),
				==, ERR_OK);
		g_assert_cmpint(o.conflict, ==, cases[i].conflict);
		g_assert_cmpint(!o.names, ==, !cases[i].names);
		buf_init(&out);
		doc_regions_add(o.names, &out);
		if (cases[i].names)
			g_assert_cmpstr(buf_text(&out), ==, cases[i].names);
		buf_finish(&out);
		doc_owner_regions_finish(&o);
		doc_finish(&d);
		g_free(text);
		g_free(both);
		g_free(a);
		g_free(b);
	}
}

/*
 * Guards against a head whose list of recent changes lacks one, keeps one too
 * long, or differs after it was written and read back.
 */
static void test_head_changes(void)
{
	struct doc_head h = { 0 };
	struct doc_head back;
	struct buf out;

	doc_sections_set(&h.sections, "service/a", "{}", 2);
	for (uint64_t i = 1; i <= DOC_MAX_RECENT + 2; i++) {
		struct doc_change change = { .revision = i, .wall_ms = 5 };

		g_snprintf(change.attempt, sizeof(change.attempt), "t-%d",
			   (int)i);
		g_snprintf(change.author, sizeof(change.author), "ada");
		for (int n = 0; n < DOC_MAX_CHANGE_NAMES + 1; n++)
			doc_change_add_section(&change, "stops");
		doc_head_add_change(&h, &change);
	}
	buf_init(&out);
	g_assert_cmpint(doc_head_write(&h, &out), ==, ERR_OK);
	g_assert_cmpint(doc_head_parse(&back, buf_text(&out), out.len), ==,
			ERR_OK);
	g_assert_cmpuint(back.revision, ==, DOC_MAX_RECENT + 2);
	g_assert_cmpstr(back.attempt, ==, "t-18");
	g_assert_cmpuint(back.sections.items[0].digest, ==,
			 h.sections.items[0].digest);
	g_assert_null(doc_head_find_attempt(&back, "t-2"));
	g_assert_cmpuint(doc_head_find_attempt(&back, "t-3")->revision, ==, 3);
	g_assert_cmpuint(doc_head_find_attempt(&back, "t-3")->section_count, ==,
			 DOC_MAX_CHANGE_NAMES + 1);
	g_assert_cmpuint(doc_head_find_attempt(&back, "t-3")->name_count, ==,
			 DOC_MAX_CHANGE_NAMES);
	g_assert_false(doc_head_lists_all_since(&back, 1));
	g_assert_true(doc_head_lists_all_since(&back, 2));
	/* Change 3 is the one that is dropped next. */
	back.recent[DOC_MAX_RECENT - 1].revision = 4;
	g_assert_false(doc_head_lists_all_since(&back, 2));
	back.recent_count--;
	g_assert_true(doc_head_lists_all_since(&back, 2));
	doc_head_finish(&back);
	doc_head_finish(&h);
	buf_finish(&out);
}

/*
 * Guards against an era that is lost or cut off, and against a head without one
 * that counts as written in some era.
 */
static void test_head_era(void)
{
	struct doc_head h = { .revision = 1, .era = 0xfedcba9876543210 };
	struct doc_head back;
	struct buf out;

	buf_init(&out);
	g_assert_cmpint(doc_head_write(&h, &out), ==, ERR_OK);
	g_assert_cmpint(doc_head_parse(&back, buf_text(&out), out.len), ==,
			ERR_OK);
	g_assert_cmpuint(back.era, ==, h.era);
	g_assert_true(doc_head_is_newest(&back, h.era));
	g_assert_false(doc_head_may_lack_changes(&back, h.era));
	g_assert_false(doc_head_is_newest(&back, 7));
	g_assert_true(doc_head_may_lack_changes(&back, 7));
	g_assert_false(doc_head_is_newest(&back, 0));
	g_assert_false(doc_head_may_lack_changes(&back, 0));
	back.written_back = 1;
	g_assert_false(doc_head_is_newest(&back, h.era));
	g_assert_true(doc_head_may_lack_changes(&back, h.era));
	buf_reset(&out);
	g_assert_cmpint(doc_head_write(&back, &out), ==, ERR_OK);
	doc_head_finish(&back);
	g_assert_cmpint(doc_head_parse(&back, buf_text(&out), out.len), ==,
			ERR_OK);
	g_assert_true(back.written_back);
	back.era = 0;
	buf_reset(&out);
	g_assert_cmpint(doc_head_write(&back, &out), ==, ERR_OK);
	doc_head_finish(&back);
	g_assert_cmpint(doc_head_parse(&back, buf_text(&out), out.len), ==,
			ERR_OK);
	g_assert_cmpuint(back.era, ==, 0);
	g_assert_false(doc_head_is_newest(&back, 7));
	g_assert_false(doc_head_may_lack_changes(&back, 7));
	doc_head_finish(&back);
	buf_finish(&out);
}

/*
 * Guards against a document with many routes that can be written and not read
 * again: each route is a section of its own.
 */
static void test_head_of_many_routes(void)
{
	struct doc_change change = { .revision = 1, .wall_ms = 5 };
	struct doc_head h = { 0 };
	struct doc_head back;
	struct buf out;

	g_snprintf(change.attempt, sizeof(change.attempt), "t-1");
	g_snprintf(change.author, sizeof(change.author), "ada");
	for (int i = 0; i < 2000; i++) {
		char name[DOC_NAME_BYTES];

		g_snprintf(name, sizeof(name), "route/r%04d", i);
		doc_sections_set(&h.sections, name, "{}", 2);
		doc_change_add_section(&change, name);
	}
	doc_head_add_change(&h, &change);
	buf_init(&out);
	g_assert_cmpint(doc_head_write(&h, &out), ==, ERR_OK);
	g_assert_cmpint(doc_head_parse(&back, buf_text(&out), out.len), ==,
			ERR_OK);
	g_assert_cmpuint(back.sections.count, ==, 2000);
	g_assert_cmpuint(back.recent[0].section_count, ==, 2000);
	doc_head_finish(&back);
	doc_head_finish(&h);
	buf_finish(&out);
}

/* Guards against a malformed head that is accepted. */
static void test_malformed_head(void)
{
	static const char *const texts[] = {
		"",
		"[]",
		"{\"revision\":0,\"author\":\"a\",\"wall_ms\":1,\"attempt\":"
		"\"t\",\"sections\":{}}",
		"{\"revision\":1,\"author\":\"a\",\"wall_ms\":1,\"attempt\":"
		"\"t\",\"sections\":{\"stops\":\"12\"}}",
		"{\"revision\":1,\"author\":\"a\",\"wall_ms\":1,\"attempt\":"
		"\"t\",\"sections\":{},\"recent\":[{}]}",
		"{\"revision\":1,\"author\":\"a\\u0007\",\"wall_ms\":1,"
		"\"attempt\":\"t\",\"sections\":{}}",
		"{\"revision\":1,\"author\":\"a\",\"wall_ms\":1,\"attempt\":"
		"\"t\",\"sections\":{},\"era\":7}",
		"{\"revision\":1,\"author\":\"a\",\"wall_ms\":1,\"attempt\":"
		"\"t\",\"sections\":{},\"era\":\"\"}",
		"{\"revision\":1,\"author\":\"a\",\"wall_ms\":1,\"attempt\":"
		"\"t\",\"sections\":{},\"era\":\"-1\"}",
		"{\"revision\":1,\"author\":\"a\",\"wall_ms\":1,\"attempt\":"
		"\"t\",\"sections\":{},\"era\":\"7x\"}",
		"{\"revision\":1,\"author\":\"a\",\"wall_ms\":1,\"attempt\":"
		"\"t\",\"sections\":{},\"era\":"
		"\"18446744073709551616\"}",
		"{\"revision\":1,\"author\":\"a\",\"wall_ms\":1,\"attempt\":"
		"\"t\",\"sections\":{},"
		"\"written_back\":1}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct doc_head h;

		g_assert_cmpint(doc_head_parse(&h, texts[i], strlen(texts[i])),
				==, ERR_MALFORMED);
	}
}

/* Guards against an operators' guide with outdated ranges or defaults. */
static void test_guide_is_current(void)
{
	struct buf out;
	char *guide;
	char **lines;

	g_assert_true(
		g_file_get_contents("docs/operators.md", &guide, NULL, NULL));
	buf_init(&out);
	doc_describe(&out);
	lines = g_strsplit(buf_text(&out), "\n", -1);
	for (char **line = lines; **line; line++) {
		char **name = g_strsplit(*line, ": ", 2);
		char **allowed = g_strsplit(name[1], "; default: ", 2);
		char **rest = g_strsplit(allowed[1], "; ", 2);
		char *row =
			g_strdup_printf("| `%s` | %s | %s | %s |\n", name[0],
					allowed[0], rest[0], rest[1]);

		if (!strstr(guide, row))
			g_error("not in docs/operators.md: %s", row);
		g_free(row);
		g_strfreev(rest);
		g_strfreev(allowed);
		g_strfreev(name);
	}
	g_strfreev(lines);
	buf_finish(&out);
	g_free(guide);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/doc/values_and_defaults", test_values_and_defaults);
	g_test_add_func("/doc/invalid_values", test_invalid_values);
	g_test_add_func("/doc/invalid_assign", test_invalid_assign);
	g_test_add_func("/doc/duplicate_pins", test_duplicate_pins);
	g_test_add_func("/doc/overlapping_prefixes", test_overlapping_prefixes);
	g_test_add_func("/doc/reserved_and_invalid_names",
			test_reserved_and_invalid_names);
	g_test_add_func("/doc/invalid_stops", test_invalid_stops);
	g_test_add_func("/doc/data_centre_stops", test_data_centre_stops);
	g_test_add_func("/doc/many_node_stops", test_many_node_stops);
	g_test_add_func("/doc/malformed_text", test_malformed_text);
	g_test_add_func("/doc/sections", test_sections);
	g_test_add_func("/doc/malformed_sections", test_malformed_sections);
	g_test_add_func("/doc/diff_ignores_order", test_diff_ignores_order);
	g_test_add_func("/doc/route_regions", test_route_regions);
	g_test_add_func("/doc/many_regions", test_many_regions);
	g_test_add_func("/doc/diff_of_regions", test_diff_of_regions);
	g_test_add_func("/doc/owner_regions", test_owner_regions);
	g_test_add_func("/doc/head_changes", test_head_changes);
	g_test_add_func("/doc/head_era", test_head_era);
	g_test_add_func("/doc/head_of_many_routes", test_head_of_many_routes);
	g_test_add_func("/doc/malformed_head", test_malformed_head);
	g_test_add_func("/doc/guide_is_current", test_guide_is_current);
	return g_test_run();
}
