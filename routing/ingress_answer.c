#include "routing/ingress_priv.h"
#include "common/clk.h"
#include "common/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define IN_MAX_ROUTER_HEADERS 8
#define IN_NUMBER_BYTES 24
#define IN_RETRY_AFTER_MAX_S 60
/*
 * A key whose owner was lost or is changing is served again within a few
 * hundred milliseconds.
 */
#define IN_RETRY_AFTER_MIN_MS 200

/* Headers of an answer, with buffers for the values that the router writes. */
struct answer_headers {
	struct httpd_header *list;
	size_t count;
	char attempt[IN_NUMBER_BYTES];
	char map_rev[IN_NUMBER_BYTES];
	char retry_after[IN_NUMBER_BYTES];
};

static void add_header(struct answer_headers *h, const char *name,
		       const char *value)
{
	h->list[h->count++] = (struct httpd_header){ name, value };
}

static void add_router_headers(struct answer_headers *h,
			       const struct in_request *q,
			       enum wire_outcome outcome)
{
	struct view *v = q->in->view;

	snprintf(h->attempt, sizeof(h->attempt), "%016llx",
		 (unsigned long long)q->forward.attempt);
	snprintf(h->map_rev, sizeof(h->map_rev), "%llu",
		 (unsigned long long)v->ops->map(v)->rev);
	if (!q->in->dialect->adds_outcome_headers)
		return;
	add_header(h, "Monsoonpin-Outcome", outcome_name(outcome));
	add_header(h, "Monsoonpin-Owner",
		   q->owner_name[0] ? q->owner_name : "-");
	add_header(h, "Monsoonpin-Attempt", h->attempt);
	add_header(h, "Monsoonpin-Map-Revision", h->map_rev);
}

/*
 * Asks the caller to reconnect: to another daemon if this one is stopping, and
 * after a malformed request, where the start of the next request in the stream
 * is not certain.
 */
static void add_connection_close(struct answer_headers *h,
				 const struct in_request *q, unsigned status)
{
	if (q->in->quiesced || status == 400)
		add_header(h, "Connection", "close");
}

static enum err headers_init(struct answer_headers *h, size_t capacity)
{
	memset(h, 0, sizeof(*h));
	h->list = calloc(capacity + IN_MAX_ROUTER_HEADERS, sizeof(*h->list));
	return h->list ? ERR_OK : ERR_NOMEM;
}

void in_answer_no_memory(struct ingress *in, struct httpd_request *r)
{
	struct httpd_header h = { "Monsoonpin-Outcome",
				  outcome_name(OUTCOME_NOT_RUN) };

	cnt_add(in->cnt, "in_no_memory", "", 1);
	httpd_answer(r, 503, &h, in->dialect->adds_outcome_headers ? 1 : 0, "",
		     0);
}

/* Requests whose service is not known are counted without labels. */
static void count_answer(struct in_request *q, enum wire_outcome outcome,
			 enum err error)
{
	static const char *const names[] = {
		[OUTCOME_NOT_RUN] = "in_not_run",
		[OUTCOME_ANSWERED] = "in_answered",
		[OUTCOME_UNKNOWN] = "in_unknown",
	};
	struct cnt *c = q->in->cnt;
	char labels[LABEL_BYTES] = "";

	if (q->has_service)
		labels_write(&q->in->labels, q->service, q->tenant, labels);
	cnt_add(c, "in_requests", labels, 1);
	cnt_add(c, names[outcome], labels, 1);
	if (outcome == OUTCOME_ANSWERED)
		cnt_sample(c, "in_latency_us", labels,
			   (uint64_t)(clk_ns() - q->arrived_ns) / 1000);
	if (error == ERR_OK)
		return;
	snprintf(labels, sizeof(labels), "error=\"%s\"", err_name(error));
	cnt_add(c, "in_errors", labels, 1);
}

/*
 * Logs the end of a request: at debug level if it was answered within its
 * latency target after one attempt, otherwise at info level.
 */
static void log_request_end(const struct in_request *q,
			    enum wire_outcome outcome, enum err error,
			    unsigned status)
{
	int64_t ms = (clk_ns() - q->arrived_ns) / 1000000;
	int as_expected = outcome == OUTCOME_ANSWERED && status < 500 &&
			  q->attempt_count <= 1 &&
			  (!q->target_ms || ms <= q->target_ms);
	struct view *v = q->in->view;

	log_request(as_expected ? LOG_DEBUG : LOG_INFO, "request_end",
		    "id=%s attempt=%016llx service=%s key=%s owner=%s "
		    "outcome=%s error=%s status=%u tries=%u arrivals=%u "
		    "took_ms=%lld left_ms=%lld map_revision=%llu "
		    "doc_revision=%llu",
		    LOG_Q(q->forward.request_id),
		    (unsigned long long)q->forward.attempt, LOG_Q(q->service),
		    q->key ? LOG_Q(q->key) : "-", LOG_Q(q->owner_name),
		    outcome_name(outcome), err_name(error), status,
		    q->attempt_count, q->target_sends, (long long)ms,
		    (long long)(q->deadline_ms - clk_ms()),
		    (unsigned long long)v->ops->map(v)->rev,
		    (unsigned long long)(v->ops->doc(v)
						 ? v->ops->doc(v)->revision
						 : 0));
}

static const char *header_or_dash(const struct in_request *q, const char *name)
{
	const char *text = name ? httpd_get_header(q->http, name) : NULL;

	return text ? LOG_Q(text) : "-";
}

/*
 * Counts a request that ends with a 4xx status of this daemon by the check that
 * refused it, and logs what the check looked at. A caller whose request was
 * proper can then tell a misread request from a document that differs.
 */
static void log_refused(const struct in_request *q, enum err error,
			unsigned status)
{
	const char *by = q->refused_by;
	const struct ingress *in = q->in;
	const struct doc *doc = in->view->ops->doc(in->view);
	char labels[LABEL_BYTES];

	snprintf(labels, sizeof(labels), "check=\"%s\",status=\"%u\"", by,
		 status);
	cnt_add(in->cnt, "in_refused", labels, 1);
	log_request(LOG_INFO, "request_refused",
		    "id=%s status=%u check=%s error=%s method=%s host=%s "
		    "path=%s key=%s deadline=%s body=%zu headers=%zu "
		    "doc_revision=%llu routes=%zu",
		    header_or_dash(q, in->dialect->request_id), status, by,
		    err_name(error), LOG_Q(q->http->method),
		    header_or_dash(q, "Host"), LOG_Q(q->http->path),
		    q->key ? LOG_Q(q->key) : "-",
		    header_or_dash(q, in->dialect->deadline), q->http->body.len,
		    q->http->field_count,
		    (unsigned long long)(doc ? doc->revision : 0),
		    doc ? doc->route_count : 0);
}

void in_log_abandoned(const struct in_request *q)
{
	log_request(LOG_INFO, "request_abandoned",
		    "id=%s attempt=%016llx service=%s key=%s owner=%s "
		    "tries=%u arrivals=%u took_ms=%lld",
		    LOG_Q(q->forward.request_id),
		    (unsigned long long)q->forward.attempt, LOG_Q(q->service),
		    q->key ? LOG_Q(q->key) : "-", LOG_Q(q->owner_name),
		    q->attempt_count, q->target_sends,
		    (long long)(clk_ns() - q->arrived_ns) / 1000000);
}

static void send_answer(struct in_request *q, unsigned status,
			const struct answer_headers *h, const void *body,
			size_t len)
{
	httpd_answer(q->http, status, h->list, h->count, body, len);
	in_request_free(q);
}

/*
 * Returns the Content-Length of an answer to HEAD, which is the length of the
 * body that the answer omits. NULL: the request is no HEAD, or the target did
 * not state a length.
 */
static const char *head_content_length(const struct in_request *q,
				       const Wire__ForwardReply *reply)
{
	if (strcmp(q->http->method, "HEAD") != 0)
		return NULL;
	for (size_t i = 0; i < reply->n_headers; i++)
		if (strcasecmp(reply->headers[i]->name, "Content-Length") == 0)
			return reply->headers[i]->value;
	return NULL;
}

void in_answer_reply(struct in_request *q, const Wire__ForwardReply *reply)
{
	const char *length = head_content_length(q, reply);
	struct answer_headers h;

	if (headers_init(&h, reply->n_headers) != ERR_OK) {
		in_answer_error(q, OUTCOME_UNKNOWN, ERR_NOMEM, 0);
		return;
	}
	for (size_t i = 0; i < reply->n_headers; i++) {
		Wire__Header *from = reply->headers[i];

		if (strcasecmp(from->name, "Content-Length") == 0)
			continue;
		add_header(&h, from->name, from->value);
	}
	add_router_headers(&h, q, OUTCOME_ANSWERED);
	add_connection_close(&h, q, 0);
	count_answer(q, OUTCOME_ANSWERED, ERR_OK);
	in_calls_note_end(q, reply->status < 500);
	in_return_note_answer(q);
	log_request_end(q, OUTCOME_ANSWERED, ERR_OK, reply->status);
	if (length) {
		httpd_answer_head(q->http, reply->status, h.list, h.count,
				  strtoull(length, NULL, 10));
		in_request_free(q);
	} else {
		send_answer(q, reply->status, &h, reply->body.data,
			    reply->body.len);
	}
	free(h.list);
}

/*
 * The 4xx statuses say that the request itself is wrong, so only what the
 * checks of this daemon found gives one. The same errors of an attempt tell of
 * a map or a link between daemons, and the caller may try again.
 */
static unsigned not_run_status(const struct in_request *q, enum err error)
{
	if (!q->refused_by)
		return 503;
	switch (error) {
	case ERR_MALFORMED:
	case ERR_NO_KEY:
		return 400;
	case ERR_NO_SERVICE:
		return 404;
	case ERR_TOO_LARGE:
		return 413;
	case ERR_RANGE:
		return 431;
	default:
		return 503;
	}
}

static unsigned unknown_status(enum err error)
{
	switch (error) {
	case ERR_INCOMPLETE:
	case ERR_MALFORMED:
	case ERR_TOO_LARGE:
		return 502;
	default:
		return 504;
	}
}

static void add_retry_after(struct answer_headers *h, const struct dialect *d,
			    uint32_t ms)
{
	uint32_t seconds = (ms + 999) / 1000;

	if (d->fractional_retry_after) {
		if (ms < IN_RETRY_AFTER_MIN_MS)
			ms = IN_RETRY_AFTER_MIN_MS;
		snprintf(h->retry_after, sizeof(h->retry_after), "%u.%03u",
			 ms / 1000, ms % 1000);
		add_header(h, "Retry-After", h->retry_after);
		return;
	}
	if (seconds < 1)
		seconds = 1;
	if (seconds > IN_RETRY_AFTER_MAX_S)
		seconds = IN_RETRY_AFTER_MAX_S;
	snprintf(h->retry_after, sizeof(h->retry_after), "%u", seconds);
	add_header(h, "Retry-After", h->retry_after);
}

void in_answer_error(struct in_request *q, enum wire_outcome outcome,
		     enum err error, uint32_t retry_after_ms)
{
	unsigned status = outcome == OUTCOME_NOT_RUN ? not_run_status(q, error)
						     : unknown_status(error);
	struct httpd_header list[IN_MAX_ROUTER_HEADERS];
	struct answer_headers h = { .list = list };
	char body[64];

	in_cancel_attempt(q);
	count_answer(q, outcome, error);
	log_request_end(q, outcome, error, status);
	if (status < 500)
		log_refused(q, error, status);
	else
		in_calls_note_end(q, 0);
	snprintf(body, sizeof(body), "%s %s\n", outcome_name(outcome),
		 err_name(error));
	add_router_headers(&h, q, outcome);
	add_connection_close(&h, q, status);
	add_header(&h, "Content-Type", "text/plain");
	if (q->in->dialect->request_id && q->forward.request_id[0])
		add_header(&h, q->in->dialect->request_id,
			   q->forward.request_id);
	if (status == 503 && in_return_after_ms(q, error, &retry_after_ms))
		add_retry_after(&h, q->in->dialect, retry_after_ms);
	send_answer(q, status, &h, body, strlen(body));
}
