#include "config/settings.h"

#include <glib.h>
#include <string.h>

static const char required_settings[] =
	"[node]\nname = \"n01\"\nregion = \"muscat\"\n"
	"data_centre = \"muscat-1\"\n[listen]\naddress = \"127.0.0.1\"\n"
	"[store]\nendpoint = \"http://127.0.0.1:2379\"\n";

static enum err parse(struct settings *s, const char *text, struct buf *out)
{
	buf_init(out);
	return settings_parse(s, text, strlen(text), "t.toml", out);
}

/* Guards against settings that do not get the defaults of their table. */
static void test_defaults(void)
{
	struct settings s;
	struct buf out;

	g_assert_cmpint(parse(&s, required_settings, &out), ==, ERR_OK);
	g_assert_cmpstr(buf_text(&out), ==, "");
	g_assert_cmpstr(s.name, ==, "n01");
	g_assert_cmpstr(s.rack, ==, "");
	g_assert_cmpstr(s.store_prefix, ==, "/mpin/");
	g_assert_cmpint(s.http_port, ==, 8080);
	g_assert_cmpint(s.log_level, ==, LOG_INFO);
	buf_finish(&out);
}

/*
 * Guards against reporting only the first problem of a file, so that an
 * operator has to start the daemon once for each.
 */
static void test_all_problems_at_once(void)
{
	struct settings s;
	struct buf out;
	const char *text = "[node]\nname = \"a b\"\nregion = 3\ncolour = 1\n"
			   "[listen]\naddress = \"localhost\"\n"
			   "http_port = 70000\n"
			   "[log]\nlevel = \"loud\"\n[extra]\nx = 1\n";

	g_assert_cmpint(parse(&s, text, &out), !=, ERR_OK);
	buf_text(&out);
	g_assert_nonnull(strstr((char *)out.data, "t.toml:2: node.name: "));
	g_assert_nonnull(strstr((char *)out.data, "t.toml:3: node.region: is "
						  "an integer (allowed: "));
	g_assert_nonnull(strstr((char *)out.data, "t.toml:4: node.colour: "
						  "unknown setting (allowed in "
						  "[node]: name, region, "
						  "data_centre, rack, service, "
						  "interface)"));
	g_assert_nonnull(strstr((char *)out.data, "t.toml:6: listen.address"));
	g_assert_nonnull(strstr(
		(char *)out.data,
		"t.toml:7: listen.http_port: 70000 is out of "
		"range (allowed: a port from 1 to 65535, or \"ADDRESS:PORT\")"));
	g_assert_nonnull(strstr((char *)out.data, "t.toml:9: log.level: "
						  "\"loud\" is not a choice"));
	g_assert_nonnull(strstr((char *)out.data, "t.toml:10: extra: unknown"));
	g_assert_nonnull(strstr((char *)out.data,
				"node.data_centre: missing (required: "));
	g_assert_nonnull(strstr((char *)out.data,
				"store.endpoint: missing (required: "));
	buf_finish(&out);
}

/*
 * Guards against a syntax error that is reported without its line, and against
 * a crash on text that is not UTF-8.
 */
static void test_syntax(void)
{
	struct settings s;
	struct buf out;

	g_assert_cmpint(parse(&s, "[node]\nname = \n", &out), ==,
			ERR_MALFORMED);
	g_assert_true(g_str_has_prefix(buf_text(&out), "t.toml:2: syntax: "));
	buf_finish(&out);
	g_assert_cmpint(parse(&s, "[node]\nname = \"\xff\"\n", &out), ==,
			ERR_MALFORMED);
	buf_finish(&out);
}

/*
 * Guards against input on which toml++ 3.3 aborts or has undefined behaviour:
 * malformed table headers, and characters other than ASCII in a key.
 */
static void test_malformed_keys(void)
{
	struct settings s;
	struct buf out;

	g_assert_cmpint(parse(&s, "[log]\n\n[!\n[x]\n", &out), ==,
			ERR_MALFORMED);
	g_assert_true(g_str_has_prefix(buf_text(&out), "t.toml:3: syntax: "));
	buf_finish(&out);
	g_assert_cmpint(parse(&s, "\n[7\xef\xbb\xbd.[z&", &out), ==,
			ERR_MALFORMED);
	g_assert_true(g_str_has_prefix(buf_text(&out), "t.toml:2: syntax: "));
	buf_finish(&out);
	g_assert_cmpint(parse(&s,
			      "[log]\ngr\xc3\xb6\xc3\x9f"
			      "e = 1",
			      &out),
			==, ERR_MALFORMED);
	g_assert_true(g_str_has_prefix(buf_text(&out), "t.toml:2: syntax: "));
	buf_finish(&out);
	g_assert_cmpint(parse(&s, "[\a\"z\"a\n", &out), ==, ERR_MALFORMED);
	buf_finish(&out);
}

/* Guards against settings with one port for two listeners. */
static void test_ports_differ(void)
{
	struct settings s;
	struct buf out;

	g_assert_cmpint(parse(&s,
			      "listen.address = \"127.0.0.1\"\n"
			      "listen.http_port = 9\nlisten.admin_port = 9\n",
			      &out),
			!=, ERR_OK);
	g_assert_nonnull(strstr(buf_text(&out),
				"t.toml:3: listen.admin_port: 9 is also "
				"listen.http_port"));
	buf_finish(&out);
}

/*
 * Guards against a quoted key with a dot that is taken for a setting in a
 * table.
 */
static void test_quoted_key_with_dot(void)
{
	struct settings s;
	struct buf out;

	char *text = g_strconcat("\"node.rack\" = \"r1\"\n", required_settings,
				 NULL);

	g_assert_cmpint(parse(&s, text, &out), ==, ERR_UNKNOWN_KEY);
	g_free(text);
	buf_finish(&out);
}

/*
 * Guards against texts that are cut silently: one longer than its field, and
 * one with a zero byte.
 */
static void test_long_text_and_zero_byte(void)
{
	struct settings s;
	struct buf out;
	char long_name[SETTINGS_NAME_BYTES + 1];
	char *text;

	memset(long_name, 'a', SETTINGS_NAME_BYTES);
	long_name[SETTINGS_NAME_BYTES] = 0;
	text = g_strdup_printf("[node]\nname = \"%s\"\n", long_name);
	g_assert_cmpint(parse(&s, text, &out), !=, ERR_OK);
	g_assert_nonnull(strstr(buf_text(&out), "node.name: has 64 bytes"));
	buf_finish(&out);
	g_free(text);
	g_assert_cmpint(parse(&s, "[node]\nname = \"a\\u0000b\"\n", &out), !=,
			ERR_OK);
	g_assert_nonnull(strstr(buf_text(&out), "node.name: is of another"));
	buf_finish(&out);
}

/*
 * Guards against stack exhaustion: each dot of a key makes a nested table,
 * which toml++ handles recursively.
 */
static void test_deep_keys(void)
{
	struct settings s;
	struct buf out;
	GString *text = g_string_new("a");

	while (text->len < 16000)
		g_string_append(text, ".a");
	g_string_append(text, " = 1\n");
	g_assert_cmpint(parse(&s, text->str, &out), !=, ERR_OK);
	buf_finish(&out);
	g_string_append_printf(text, "%20000s", "");
	g_assert_cmpint(parse(&s, text->str, &out), ==, ERR_TOO_LARGE);
	buf_finish(&out);
	g_string_free(text, TRUE);
}

/* Guards against a missing file that is handled like an empty one. */
static void test_missing_file(void)
{
	struct settings s;
	struct buf out;

	buf_init(&out);
	g_assert_cmpint(settings_read(&s, "no/such/file.toml", &out), ==,
			ERR_SYSTEM);
	g_assert_nonnull(strstr(buf_text(&out), "cannot be opened"));
	buf_finish(&out);
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
	settings_describe(&out);
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
	g_test_add_func("/settings/defaults", test_defaults);
	g_test_add_func("/settings/all_problems_at_once",
			test_all_problems_at_once);
	g_test_add_func("/settings/syntax", test_syntax);
	g_test_add_func("/settings/malformed_keys", test_malformed_keys);
	g_test_add_func("/settings/ports_differ", test_ports_differ);
	g_test_add_func("/settings/quoted_key_with_dot",
			test_quoted_key_with_dot);
	g_test_add_func("/settings/long_text_and_zero_byte",
			test_long_text_and_zero_byte);
	g_test_add_func("/settings/deep_keys", test_deep_keys);
	g_test_add_func("/settings/missing_file", test_missing_file);
	g_test_add_func("/settings/guide_is_current", test_guide_is_current);
	return g_test_run();
}
