#include "daemon/node.h"
#include "common/clk.h"
#include "membership/doc_feed.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#define ADMIN_MAX_BODY_BYTES (64 * 1024)
#define ADMIN_IDLE_S 30

struct route {
	const char *method;
	const char *path;
	void (*handle)(struct node *n, struct httpd_request *r);
};

static void answer_error(struct httpd_request *r, unsigned status,
			 const struct err_info *info)
{
	struct buf b;

	buf_init(&b);
	buf_addf(&b, "%s: %s\n", err_name(info->code), info->detail);
	httpd_answer_text(r, status, "text/plain", buf_text(&b));
	buf_finish(&b);
}

static void handle_health(struct node *n, struct httpd_request *r)
{
	/*
	 * The text of the 503 is the same for every reason: the node is
	 * stopping, or has no current map and document.
	 */
	if (node_is_ready(n))
		httpd_answer_text(r, 200, "text/plain", "ok\n");
	else
		httpd_answer_text(r, 503, "text/plain",
				  "no contact with the coordinator\n");
}

/* Returns the resident memory of this process, 0 if it cannot be read. */
static uint64_t resident_bytes(void)
{
	char line[128] = "";
	char *rest = line;
	FILE *f = fopen("/proc/self/statm", "r");

	if (!f)
		return 0;
	if (!fgets(line, sizeof(line), f))
		line[0] = '\0';
	fclose(f);
	/* The second number is the count of resident pages. */
	strtoull(line, &rest, 10);
	return strtoull(rest, NULL, 10) * (uint64_t)sysconf(_SC_PAGESIZE);
}

static void set_process_metrics(struct node *n)
{
	struct rusage u;

	getrusage(RUSAGE_SELF, &u);
	cnt_set(&n->cnt, "process_cpu_us", "",
		(uint64_t)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) * 1000000 +
			(uint64_t)(u.ru_utime.tv_usec + u.ru_stime.tv_usec));
	cnt_gauge(&n->cnt, "process_resident_bytes", "", resident_bytes());
}

/*
 * Sets the metrics of traffic with other daemons and with the store. Bytes of
 * datagrams include the IP and UDP headers, those of TCP do not.
 */
static void set_control_metrics(struct node *n)
{
	struct dgram_counts u = dgram_total_counts(&n->dgram);
	const struct store_counts *s = &n->store->counts;
	uint64_t membership_in, membership_out, coord_in, coord_out;
	int64_t source_age_ms;

	membership_count_bytes(n->membership, &membership_in, &membership_out);
	coord_count_bytes(n->coord, &coord_in, &coord_out);
	cnt_set(&n->cnt, "control_udp_bytes_in", "", u.bytes_in);
	cnt_set(&n->cnt, "control_udp_bytes_out", "", u.bytes_out);
	cnt_set(&n->cnt, "control_udp_messages_in", "", u.messages_in);
	cnt_set(&n->cnt, "control_udp_messages_out", "", u.messages_out);
	cnt_set(&n->cnt, "control_tcp_bytes_in", "", membership_in + coord_in);
	cnt_set(&n->cnt, "control_tcp_bytes_out", "",
		membership_out + coord_out);
	for (unsigned type = 1; type < FRAME_TYPE_COUNT; type++) {
		char label[64];

		snprintf(label, sizeof(label), "frame=\"%s\"",
			 frame_name(type));
		cnt_set(&n->cnt, "link_bytes_out", label,
			tcp_sent_bytes((enum frame_type)type));
	}
	cnt_set(&n->cnt, "store_calls", "kind=\"range\"", s->ranges);
	cnt_set(&n->cnt, "store_calls", "kind=\"txn\"", s->txns);
	cnt_set(&n->cnt, "store_calls", "kind=\"lease\"", s->leases);
	cnt_set(&n->cnt, "store_calls", "kind=\"watch\"", s->watches);
	cnt_set(&n->cnt, "store_failures", "", s->failures);
	cnt_set(&n->cnt, "store_bytes_in", "", s->bytes_in);
	cnt_set(&n->cnt, "store_bytes_out", "", s->bytes_out);
	cnt_gauge(&n->cnt, "coordinator", "",
		  (uint64_t)coord_is_active(n->coord));
	cnt_set(&n->cnt, "control_fetches", "",
		membership_count_fetches(n->membership));
	cnt_gauge(&n->cnt, "control_silent_ms", "",
		  (uint64_t)membership_control_silent_ms(n->membership));
	cnt_gauge(&n->cnt, "drained_data_centres", "",
		  membership_count_drained(n->membership));
	source_age_ms = n->feed ? doc_feed_age_ms(n->feed) : INT64_MAX;
	if (source_age_ms != INT64_MAX)
		cnt_gauge(&n->cnt, "document_source_age_ms", "",
			  (uint64_t)source_age_ms);
}

static void handle_metrics(struct node *n, struct httpd_request *r)
{
	struct buf b;

	set_process_metrics(n);
	set_control_metrics(n);
	buf_init(&b);
	cnt_write(&n->cnt, &b);
	httpd_answer_text(r, 200, "text/plain", buf_text(&b));
	buf_finish(&b);
}

static void handle_status(struct node *n, struct httpd_request *r)
{
	unsigned status = 200;
	struct buf b;

	buf_init(&b);
	if (coord_write_status(n->coord, &b) != ERR_OK) {
		/*
		 * This node is not the coordinator. The member's status names
		 * the node that is, where clients get the full status.
		 */
		status = 503;
		buf_reset(&b);
		buf_addf(&b, "{");
		membership_write_status(n->membership, &b);
		buf_addf(&b, "\"coordinator\":null}");
	}
	httpd_answer_text(r, status, "application/json", buf_text(&b));
	buf_finish(&b);
}

static void handle_explain(struct node *n, struct httpd_request *r)
{
	const char *service = httpd_get_argument(r, "service");
	const char *key = httpd_get_argument(r, "key");
	struct err_info info = { ERR_OK, "" };
	struct buf b;

	if (!service || !key) {
		err_set(&info, ERR_MALFORMED, "needs service and key");
		answer_error(r, 400, &info);
		return;
	}
	buf_init(&b);
	err_set(&info, coord_write_explanation(n->coord, service, key, &b),
		"service %s", service);
	if (info.code == ERR_OK)
		httpd_answer_text(r, 200, "application/json", buf_text(&b));
	else
		answer_error(r, info.code == ERR_NO_SERVICE ? 404 : 503, &info);
	buf_finish(&b);
}

static void handle_forget(struct node *n, struct httpd_request *r)
{
	const char *name = httpd_get_argument(r, "node");
	struct err_info info = { ERR_OK, "" };

	if (!name) {
		err_set(&info, ERR_MALFORMED, "needs node");
		answer_error(r, 400, &info);
		return;
	}
	switch (coord_forget(n->coord, name)) {
	case ERR_OK:
		httpd_answer_text(r, 200, "text/plain", "forgotten\n");
		return;
	case ERR_NOT_FOUND:
		err_set(&info, ERR_NOT_FOUND, "no node %s", name);
		answer_error(r, 404, &info);
		return;
	case ERR_CONFLICT:
		/* The node is live; only a silent node can be forgotten. */
		err_set(&info, ERR_CONFLICT, "node %s answers", name);
		answer_error(r, 409, &info);
		return;
	default:
		err_set(&info, ERR_STALE, "not the coordinator");
		answer_error(r, 503, &info);
		return;
	}
}

static const struct route routes[] = {
	{ "GET", "/healthz", handle_health },
	{ "GET", "/metrics", handle_metrics },
	{ "GET", "/status", handle_status },
	{ "GET", "/explain", handle_explain },
	{ "POST", "/forget", handle_forget },
};

/* Compares the path without its query. */
static int path_equals(const char *path, const char *expected)
{
	size_t len = strcspn(path, "?");

	return len == strlen(expected) && strncmp(path, expected, len) == 0;
}

static void on_request(struct httpd_request *r, void *priv)
{
	struct node *n = priv;

	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		if (strcmp(r->method, routes[i].method) != 0 ||
		    !path_equals(r->path, routes[i].path))
			continue;
		routes[i].handle(n, r);
		return;
	}
	if (!node_handle_target_call(n, r))
		httpd_answer_text(r, 404, "text/plain", "no such page\n");
}

static void on_completed(struct httpd_request *r, void *priv)
{
	node_forget_target_call(priv, r);
}

static const struct httpd_ops admin_ops = {
	.request = on_request,
	.completed = on_completed,
};

enum err node_admin_init(struct node *n, struct err_info *info)
{
	enum err e = httpd_init(&n->admin, n->loop, n->settings->address,
				(unsigned)n->settings->admin_port,
				ADMIN_MAX_BODY_BYTES, ADMIN_IDLE_S, &admin_ops,
				n, info);

	n->admin_up = e == ERR_OK;
	return e;
}
