#include "config/doc_lint.h"

#include <glib.h>
#include <string.h>

#define DESK "\"desk\":{\"keyed\":false,\"targets\":{\"regions\":[\"x\"]}"
#define KILN "\"kiln\":{\"shards\":16,\"targets\":{\"nodes\":[\"n1\",\"n2\"]}"
#define TO_DESK "\"to\":[{\"service\":\"desk\"}]"
#define TO_KILN "\"to\":[{\"service\":\"kiln\"}]"

/* Checks the findings in a document of these parts. */
static void expect(const char *services, const char *routes, const char *stops,
		   const char *findings)
{
	char *text = g_strdup_printf(
		"{\"version\":1,\"services\":{%s},\"routes\":{%s},"
		"\"stops\":[%s]}",
		services, routes, stops);
	struct buf out, problems;
	struct doc d;

	buf_init(&out);
	buf_init(&problems);
	if (doc_parse(&d, text, strlen(text), &problems) != ERR_OK)
		g_error("%s", buf_text(&problems));
	g_assert_cmpint(doc_lint(&d, &out), ==, ERR_OK);
	g_assert_cmpstr(buf_text(&out), ==, findings);
	doc_finish(&d);
	buf_finish(&out);
	buf_finish(&problems);
	g_free(text);
}

/* Guards against findings in a document without fault. */
static void test_none(void)
{
	expect("", "", "", "");
	expect(KILN ",\"pins\":[{\"key\":\"a\",\"node\":\"n1\"}],\"assign\":"
		    "[{\"shards\":[0,3],\"nodes\":[\"n2\"]}]}," DESK "}",
	       "\"a\":{\"prefix\":\"/a/\",\"regions\":[\"y\",\"x\"],"
	       "\"target_ms\":800,\"timeout_ms\":5000," TO_DESK "},"
	       "\"b\":{\"prefix\":\"/b/\",\"regions\":[\"far\"]," TO_KILN "}",
	       "{\"node\":\"n3\",\"state\":\"drain\"}", "");
}

/* Guards against pins and ranges for nodes that cannot own keys. */
static void test_owners(void)
{
	expect(KILN ",\"pins\":[{\"key\":\"a\",\"node\":\"n7\"},"
		    "{\"key\":\"b\",\"node\":\"n2\"}],\"assign\":"
		    "[{\"shards\":[0,3],\"nodes\":[\"n1\",\"n8\"]}]}",
	       "", "{\"node\":\"n2\",\"state\":\"drain\"}",
	       "services.kiln.pins[0].node: n7 is not in targets.nodes\n"
	       "services.kiln.pins[1].node: n2 is in stops\n"
	       "services.kiln.assign[0].nodes[1]: n8 is not in "
	       "targets.nodes\n");
	expect(DESK ",\"pins\":[{\"key\":\"a\",\"node\":\"n7\"}]}", "", "",
	       "services.desk.pins: the service has no keys\n");
}

/* Guards against regions that leave a route or a service nothing. */
static void test_regions(void)
{
	expect(DESK "}",
	       "\"a\":{\"prefix\":\"/a/\",\"regions\":[\"y\"]," TO_DESK "}", "",
	       "routes.a.regions: none is in targets.regions of desk\n");
	expect(KILN "}",
	       "\"a\":{\"prefix\":\"/a/\",\"regions\":[\"y\"]," TO_KILN "},"
	       "\"b\":{\"prefix\":\"/b/\",\"regions\":[\"x\"]," TO_KILN "}",
	       "",
	       "services.kiln: no region is allowed by all of its routes and "
	       "targets.regions, so that its owners are placed without the "
	       "routes' regions\n");
}

/* Guards against limits that contradict each other, and unused weights. */
static void test_limits(void)
{
	expect(DESK ",\"limits\":{\"deadline_ms\":900}}",
	       "\"a\":{\"prefix\":\"/a/\",\"timeout_ms\":500,\"target_ms\":501," TO_DESK
	       "},"
	       "\"b\":{\"prefix\":\"/b/\",\"timeout_ms\":901," TO_DESK "},"
	       "\"c\":{\"prefix\":\"/c/\",\"target_ms\":901," TO_DESK "},"
	       "\"d\":{\"prefix\":\"/d/\",\"timeout_ms\":900,\"target_ms\":900," TO_DESK
	       "}",
	       "",
	       "routes.a.target_ms: 501 is above timeout_ms 500\n"
	       "routes.b.timeout_ms: 901 is above limits.deadline_ms 900 of "
	       "desk\n"
	       "routes.c.target_ms: 901 is above limits.deadline_ms 900 of "
	       "desk\n");
	expect(KILN "}," DESK "}",
	       "\"a\":{\"prefix\":\"/a/\",\"to\":[{\"service\":\"desk\"},"
	       "{\"service\":\"kiln\",\"weight\":0}]}",
	       "", "routes.a.to[1].weight: 0, kiln gets no requests\n");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/doc_lint/none", test_none);
	g_test_add_func("/doc_lint/owners", test_owners);
	g_test_add_func("/doc_lint/regions", test_regions);
	g_test_add_func("/doc_lint/limits", test_limits);
	return g_test_run();
}
