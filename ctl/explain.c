#include "ctl/ctl.h"

#include <stdio.h>

static const char *get_text(const json_t *o, const char *key)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s && *s ? s : "-";
}

static long long get_number(const json_t *o, const char *key)
{
	return json_integer_value(json_object_get(o, key));
}

static const char *get_yes_no(const json_t *o, const char *key)
{
	return json_is_true(json_object_get(o, key)) ? "yes" : "no";
}

static void print_history(const json_t *history)
{
	size_t i;
	json_t *change;

	if (!json_array_size(history))
		return;
	printf("%-10s %-20s %-16s %s\n", "REVISION", "TIME", "OWNER", "CAUSE");
	json_array_foreach((json_t *)history, i, change) {
		char when[32];

		ctl_format_time(get_number(change, "wall_ms"), when);
		printf("%-10lld %-20s %-16s %s\n",
		       get_number(change, "revision"), when,
		       get_text(change, "owner"), get_text(change, "cause"));
	}
}

static void print_explanation(const json_t *o)
{
	printf("service    %s\n", get_text(o, "service"));
	printf("key        %s\n", get_text(o, "key"));
	printf("slot       %lld\n", get_number(o, "slot"));
	printf("pinned     %s\n", get_yes_no(o, "pinned"));
	printf("owner      %s (%s)\n", get_text(o, "owner"),
	       get_text(o, "owner_state"));
	printf("fence      %lld\n", get_number(o, "fence"));
	printf("releasing  %s\n", get_yes_no(o, "releasing"));
	printf("why        %s\n", get_text(o, "why"));
	print_history(json_object_get(o, "history"));
}

enum ctl_exit ctl_explain(struct ctl *c)
{
	char *service = ctl_url_escape(c->args[0]);
	char *key = ctl_url_escape(c->args[1]);
	enum ctl_exit result = CTL_FAILED;
	struct buf path;
	json_t *answer;

	buf_init(&path);
	if (service && key) {
		buf_addf(&path, "/explain?service=%s&key=%s", service, key);
		result = ctl_coord_get_json(c, buf_text(&path), 1, &answer);
	}
	if (result == CTL_DONE && c->json)
		ctl_print_json(json_incref(answer));
	else if (result == CTL_DONE)
		print_explanation(answer);
	if (service && key)
		json_decref(answer);
	buf_finish(&path);
	curl_free(service);
	curl_free(key);
	return result;
}
