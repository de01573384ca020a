#include "store/etcd_json.h"
#include "store/json_texts.h"

#include <glib.h>
#include <string.h>

/* Tests that long values are read as short ones are. */

static char *make_message(const char *value)
{
	return g_strdup_printf("{\"events\":[{\"key\":\"a\\\"\\\\\",\"value\":"
			       "\"%s\"},{\"value\":\"YWI=\"}],\"at\":7}",
			       value);
}

/* Returns the value of event i, or NULL if it is malformed. */
static uint8_t *load_value(const char *text, size_t i, size_t *len)
{
	struct json_texts texts;
	json_t *root = json_texts_load(text, strlen(text), 0, &texts);
	uint8_t *value;

	g_assert_nonnull(root);
	g_assert_cmpint(json_integer_value(json_object_get(root, "at")), ==, 7);
	value = json_texts_bytes(
		&texts, json_array_get(json_object_get(root, "events"), i),
		"value", len);
	json_decref(root);
	json_texts_finish(&texts);
	return value;
}

/* Guards against a value that changes with its length. */
static void test_lengths(void)
{
	GRand *rand = g_rand_new_with_seed(1);

	for (size_t len = 0; len < 9000; len += len < 3000 ? 500 : 1) {
		uint8_t *data = g_malloc(len + 1);
		uint8_t *got;
		size_t got_len;
		char *base64, *text;

		for (size_t i = 0; i < len; i++)
			data[i] = (uint8_t)g_rand_int(rand);
		base64 = g_base64_encode(data, len);
		text = make_message(base64);
		got = load_value(text, 0, &got_len);
		g_assert_nonnull(got);
		g_assert_cmpmem(got, got_len, data, len);
		g_free(got);
		got = load_value(text, 1, &got_len);
		g_assert_cmpmem(got, got_len, "ab", 2);
		g_free(got);
		g_free(text);
		g_free(base64);
		g_free(data);
	}
	g_rand_free(rand);
}

static void fill(char *text, size_t len)
{
	memset(text, 'A', len);
	text[len] = 0;
}

/*
 * Guards against a long text that is taken though it is no base64, and against
 * one that stands for another: a reference that the sender wrote itself.
 */
static void test_malformed(void)
{
	static const char bad[] = { '!', '=', ' ', '\n', '-', '_', (char)0xc3 };
	char value[8001];
	size_t len;
	char *text;

	fill(value, 8000);
	for (size_t i = 0; i < sizeof(bad); i++) {
		if (bad[i] == '\n' || bad[i] == (char)0xc3)
			continue;
		value[4000] = bad[i];
		text = make_message(value);
		g_assert_null(load_value(text, 0, &len));
		g_free(text);
		value[4000] = 'A';
	}
	fill(value, 7999);
	text = make_message(value);
	g_assert_null(load_value(text, 0, &len));
	g_free(text);
	fill(value, 8000);
	text = g_strdup_printf("{\"events\":[{\"value\":\"#0\"},"
			       "{\"value\":\"%s\"}],\"at\":7}",
			       value);
	g_assert_null(load_value(text, 0, &len));
	g_free(text);
}

/* Guards against a message that is read past its end. */
static void test_cut_off(void)
{
	struct json_texts texts;
	char value[5001];
	char *text;

	fill(value, 5000);
	text = make_message(value);
	for (size_t len = 0; len < strlen(text); len += len < 4900 ? 70 : 1) {
		char *part = g_memdup2(text, len + 1);

		g_assert_null(json_texts_load(part, len, 0, &texts));
		json_texts_finish(&texts);
		g_free(part);
	}
	g_free(text);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/json_texts/lengths", test_lengths);
	g_test_add_func("/json_texts/malformed", test_malformed);
	g_test_add_func("/json_texts/cut_off", test_cut_off);
	return g_test_run();
}
