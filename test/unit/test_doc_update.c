#include "config/doc.h"

#include <glib.h>
#include <string.h>

/*
 * Tests that a document that was changed step by step is the one that reading
 * all its sections at once makes, valid or not.
 */

#define STEPS 4000

static void assert_same_services(const struct doc *a, const struct doc *b)
{
	g_assert_cmpuint(a->service_count, ==, b->service_count);
	for (size_t i = 0; i < a->service_count; i++) {
		g_assert_cmpstr(a->services[i].name, ==, b->services[i].name);
		g_assert_cmpstr(a->services[i].prefix, ==,
				b->services[i].prefix);
		g_assert_cmpuint(a->services[i].shards, ==,
				 b->services[i].shards);
	}
	g_assert_cmpuint(a->stop_count, ==, b->stop_count);
	g_assert_cmpuint(a->data_centre_stop_count, ==,
			 b->data_centre_stop_count);
	for (size_t i = 0; i < a->stop_count; i++) {
		g_assert_cmpstr(a->stops[i].node, ==, b->stops[i].node);
		g_assert_cmpstr(a->stops[i].data_centre, ==,
				b->stops[i].data_centre);
	}
}

static void assert_same_routes(const struct doc *a, const struct doc *b)
{
	g_assert_cmpuint(a->route_count, ==, b->route_count);
	for (size_t i = 0; i < a->route_count; i++) {
		const struct doc_route *x = a->routes[i];
		const struct doc_route *y = b->routes[i];

		g_assert_cmpstr(x->name, ==, y->name);
		g_assert_cmpstr(x->host, ==, y->host);
		g_assert_cmpstr(x->prefix, ==, y->prefix);
		g_assert_cmpuint(x->timeout_ms, ==, y->timeout_ms);
		g_assert_cmpint(x->of_service, ==, y->of_service);
		g_assert_cmpuint(x->destination_count, ==,
				 y->destination_count);
		g_assert_cmpstr(x->destinations[0].service, ==,
				y->destinations[0].service);
		g_assert_cmpint(!x->regions, ==, !y->regions);
		if (x->regions)
			g_assert_cmpstrv(x->regions, y->regions);
	}
}

static void assert_same_sections(const struct doc_sections *a,
				 const struct doc_sections *b)
{
	g_assert_cmpuint(a->count, ==, b->count);
	for (size_t i = 0; i < a->count; i++) {
		g_assert_cmpstr(a->items[i].name, ==, b->items[i].name);
		g_assert_cmpstr(a->items[i].text, ==, b->items[i].text);
	}
}

static void set_text(struct doc_sections *changes, const char *name,
		     const char *text)
{
	g_assert_cmpint(doc_sections_set(changes, name, text, strlen(text)), ==,
			ERR_OK);
}

/*
 * Adds one random change. Names, hosts and prefixes are few, so that routes
 * collide, lose their service and come back.
 */
static void add_change(GRand *rand, struct doc_sections *changes)
{
	int kind = g_rand_int_range(rand, 0, 20);
	char name[32], text[256];

	if (kind < 3) {
		g_snprintf(name, sizeof(name), "service/s%d",
			   g_rand_int_range(rand, 0, 3));
		g_snprintf(text, sizeof(text),
			   "{\"shards\":16,\"route\":{\"prefix\":\"/s%d/\"}}",
			   g_rand_int_range(rand, 0, 4));
	} else if (kind == 3) {
		g_snprintf(name, sizeof(name), "stops");
		g_snprintf(text, sizeof(text),
			   "[{\"node\":\"n%d\",\"state\":\"drain\"}]",
			   g_rand_int_range(rand, 0, 9));
	} else {
		g_snprintf(name, sizeof(name), "route/r%d",
			   g_rand_int_range(rand, 0, 12));
		g_snprintf(
			text, sizeof(text),
			"{\"host\":\"h%d\",\"prefix\":\"/%.*s/\","
			"\"timeout_ms\":%d,\"to\":[{\"service\":\"s%d\"}]%s}",
			g_rand_int_range(rand, 0, 4),
			g_rand_int_range(rand, 1, 4), "abcd",
			g_rand_int_range(rand, 0, 9),
			g_rand_int_range(rand, 0, 3),
			kind == 19   ? ",\"unknown\":1"
			: kind == 18 ? ",\"regions\":[\"a\",\"b\"]"
				     : "");
	}
	if (kind % 4 == 1 && kind != 3)
		g_assert_cmpint(doc_changes_remove(changes, name), ==, ERR_OK);
	else
		set_text(changes, name, text);
}

/* Applies the changes to a copy, one by one. */
static void apply_each(const struct doc_sections *base,
		       const struct doc_sections *changes,
		       struct doc_sections *out)
{
	g_assert_cmpint(doc_sections_copy(base, out), ==, ERR_OK);
	for (size_t i = 0; i < changes->count; i++) {
		const struct doc_section *s = &changes->items[i];

		doc_sections_set(out, s->name, s->text, s->len);
	}
}

/* Reads the changes three at a time. Takes them over. */
static enum err update(const struct doc *d, const struct doc_sections *sections,
		       struct doc_sections *changes, struct doc *out,
		       struct doc_sections *out_sections)
{
	struct doc_update u;
	enum err e;

	doc_update_init(&u, d, sections, changes);
	while (doc_update_step(&u, 3))
		;
	e = doc_update_end(&u, out, out_sections);
	g_assert_cmpint(e == ERR_OK, ==, u.problems.len == 0);
	doc_update_finish(&u);
	return e;
}

/*
 * Guards against an update that leaves out a check, a change or the order of
 * the routes, and against one that changes the document before it.
 */
static void test_random_changes(void)
{
	GRand *rand = g_rand_new_with_seed(31);
	struct doc_sections sections = { 0 };
	struct doc d = { 0 };
	unsigned valid = 0, invalid = 0;

	for (int step = 0; step < STEPS; step++) {
		struct doc_sections changes = { 0 }, all, next_sections, back;
		struct doc whole, next;
		enum err expected, got;

		for (int i = g_rand_int_range(rand, 0, 4); i >= 0; i--)
			add_change(rand, &changes);
		apply_each(&sections, &changes, &all);
		expected = doc_parse_sections(&whole, &all, NULL);
		got = update(&d, &sections, &changes, &next, &next_sections);
		g_assert_cmpint(got == ERR_OK, ==, expected == ERR_OK);
		if (got != ERR_OK) {
			invalid++;
			doc_sections_finish(&all);
			continue;
		}
		valid++;
		assert_same_sections(&next_sections, &all);
		assert_same_services(&next, &whole);
		assert_same_routes(&next, &whole);
		g_assert_cmpint(doc_changes_between(&sections, &all, &changes),
				==, ERR_OK);
		apply_each(&sections, &changes, &back);
		assert_same_sections(&back, &all);
		doc_sections_finish(&back);
		doc_sections_finish(&changes);
		doc_sections_finish(&all);
		doc_sections_finish(&sections);
		doc_finish(&whole);
		doc_finish(&d);
		sections = next_sections;
		d = next;
	}
	g_assert_cmpuint(valid, >, STEPS / 10);
	g_assert_cmpuint(invalid, >, STEPS / 10);
	doc_sections_finish(&sections);
	doc_finish(&d);
	g_rand_free(rand);
}

/* Guards against a copy that changes or ends with the document it is of. */
static void test_copy(void)
{
	static const char text[] =
		"{\"version\":1,\"services\":{\"a\":{\"shards\":16,"
		"\"route\":{\"prefix\":\"/a/\"}}},\"stops\":"
		"[{\"node\":\"n1\",\"state\":\"drain\"}]}";
	struct doc d, copy;

	g_assert_cmpint(doc_parse(&d, text, strlen(text), NULL), ==, ERR_OK);
	g_assert_cmpint(doc_copy(&d, &copy), ==, ERR_OK);
	doc_finish(&d);
	g_assert_nonnull(doc_find_route(&copy, "x", "/a/b"));
	g_assert_nonnull(doc_find_service(&copy, "a"));
	g_assert_true(doc_has_stop(&copy, "n1"));
	doc_finish(&copy);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/doc_update/random_changes", test_random_changes);
	g_test_add_func("/doc_update/copy", test_copy);
	return g_test_run();
}
