#include "ctl/ctl.h"

#include <stdio.h>
#include <string.h>

static void print_result(const struct ctl *c, int status, struct buf *answer)
{
	const char *text = buf_text(answer);
	int len = (int)strcspn(text, "\r\n");

	if (c->json)
		ctl_print_json(json_pack(
			"{s:s, s:s, s:i, s:s#}", "result",
			status == 200 ? "forgotten" : "refused", "node",
			c->args[0], "status", status, "text", text, len));
	else if (status == 200)
		printf("forgotten: %s\n", c->args[0]);
	else
		ctl_error("refused (%d): %.*s", status, len, text);
}

enum ctl_exit ctl_forget(struct ctl *c)
{
	char *node = ctl_url_escape(c->args[0]);
	enum ctl_exit result;
	struct buf answer;
	struct buf path;
	int status = 0;

	if (!node)
		return CTL_FAILED;
	buf_init(&answer);
	buf_init(&path);
	buf_addf(&path, "/forget?node=%s", node);
	result = ctl_coord_request(c, "POST", buf_text(&path), 1, &status,
				   &answer);
	if (result == CTL_DONE) {
		print_result(c, status, &answer);
		result = status == 200 ? CTL_DONE : CTL_FAILED;
	}
	buf_finish(&path);
	buf_finish(&answer);
	curl_free(node);
	return result;
}
