#include "common/clk.h"
#include "ctl/ctl.h"

#include <stdio.h>
#include <string.h>

/* Longer than an election and the takeover by the new coordinator. */
#define RETRY_MS 3000
#define RETRY_PAUSE_MS 300
#define URL_BYTES 256

/* The record of the coordinator in the store. */
struct coord_record {
	int found;
	char node[DOC_NAME_BYTES];
	char base_url[URL_BYTES]; /* "http://ADDRESS:PORT" */
	long long term;
};

static void on_coord(const struct store_range *range, void *priv)
{
	struct coord_record *r = priv;
	const char *address;
	const char *node;
	int port;
	json_t *root;

	if (!range->count)
		return;
	root = json_loadb((const char *)range->kvs[0].value,
			  range->kvs[0].value_len, 0, NULL);
	address = json_string_value(json_object_get(root, "address"));
	node = json_string_value(json_object_get(root, "node"));
	port = (int)json_integer_value(json_object_get(root, "admin_port"));
	if (address && port > 0 && port <= 65535 && strlen(address) < 64) {
		snprintf(r->base_url, sizeof(r->base_url), "http://%s:%d",
			 address, port);
		snprintf(r->node, sizeof(r->node), "%s", node ? node : "?");
		r->term = json_integer_value(json_object_get(root, "term"));
		r->found = 1;
	}
	json_decref(root);
}

/*
 * Returns 1 if the status says that the node is not the coordinator any more or
 * has not taken over yet.
 */
static int is_not_ready(const char *path, int status)
{
	return status == 503 || (!strcmp(path, "/status") && status != 200);
}

static enum ctl_exit request_once(struct ctl *c, const char *method,
				  const char *path, int *status,
				  struct buf *answer, char *reason,
				  size_t reason_size)
{
	struct coord_record record = { 0 };
	char key[CTL_KEY_BYTES];
	struct buf url;
	enum err e;

	ctl_store_key(c, key, "coord", "");
	e = ctl_store_range(c, key, 0, on_coord, &record);
	if (e != ERR_OK) {
		snprintf(reason, reason_size,
			 "the store at %s cannot be read: %s", c->endpoint,
			 err_name(e));
		return CTL_UNREACHABLE;
	}
	if (!record.found) {
		snprintf(reason, reason_size, "the store names no coordinator");
		return CTL_UNREACHABLE;
	}
	buf_init(&url);
	buf_addf(&url, "%s%s", record.base_url, path);
	e = ctl_http_request(c, method, buf_text(&url), status, answer);
	buf_finish(&url);
	if (e == ERR_OK && !is_not_ready(path, *status))
		return CTL_DONE;
	if (e == ERR_OK)
		snprintf(reason, reason_size,
			 "coordinator %s (term %lld, %s) is not ready: it "
			 "answers %d",
			 record.node, record.term, record.base_url, *status);
	else
		snprintf(reason, reason_size,
			 "coordinator %s (term %lld, %s) does not answer: %s",
			 record.node, record.term, record.base_url,
			 err_name(e));
	return CTL_UNREACHABLE;
}

enum ctl_exit ctl_coord_request(struct ctl *c, const char *method,
				const char *path, int print_error, int *status,
				struct buf *answer)
{
	int64_t end = clk_ms() + RETRY_MS;
	/*
	 * A request with an effect is sent only once. Callers that print no
	 * error repeat the request themselves.
	 */
	int once = !print_error || strcmp(method, "GET") != 0;
	char reason[512] = "";
	enum ctl_exit result;

	for (;;) {
		result = request_once(c, method, path, status, answer, reason,
				      sizeof(reason));
		if (result == CTL_DONE || once || clk_ms() >= end)
			break;
		ctl_sleep(c, RETRY_PAUSE_MS);
	}
	if (result != CTL_DONE && print_error)
		ctl_error("%s", reason);
	return result;
}

static void print_status_error(int status, struct buf *answer)
{
	const char *text = buf_text(answer);

	ctl_error("coordinator answered with status %d: %.*s", status,
		  (int)strcspn(text, "\r\n"), text);
}

enum ctl_exit ctl_coord_get_json(struct ctl *c, const char *path,
				 int print_error, json_t **out)
{
	struct buf answer;
	enum ctl_exit result;
	int status = 0;

	*out = NULL;
	buf_init(&answer);
	result = ctl_coord_request(c, "GET", path, print_error, &status,
				   &answer);
	if (result == CTL_DONE && status == 200) {
		*out = json_loadb((const char *)answer.data, answer.len, 0,
				  NULL);
		if (!json_is_object(*out)) {
			json_decref(*out);
			*out = NULL;
			if (print_error)
				ctl_error("coordinator's answer is not a JSON "
					  "object");
			result = CTL_FAILED;
		}
	} else if (result == CTL_DONE) {
		if (print_error)
			print_status_error(status, &answer);
		result = CTL_FAILED;
	}
	buf_finish(&answer);
	return result;
}

char *ctl_url_escape(const char *text)
{
	return curl_easy_escape(NULL, text, 0);
}
