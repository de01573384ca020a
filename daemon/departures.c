#include "daemon/node.h"
#include "common/clk.h"
#include "common/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/*
 * Keeps the record of the runs of the target that have left in the store, and
 * answers leave calls once it is there.
 */

void node_departures_init(struct node *n)
{
	struct departures *d = &n->departures;

	departure_init(&d->state);
	d->retry_ms = NODE_DEPARTURE_RETRY_FIRST_MS;
	snprintf(d->key, sizeof(d->key), "%sleft/%s", n->settings->store_prefix,
		 n->settings->name);
}

/* ---- calls of the target ---- */

int node_departures_unknown(const struct node *n)
{
	return n->interface->read_leave &&
	       !departure_is_loaded(&n->departures.state);
}

static struct httpd_request *take_call(struct departures *d,
				       struct waiting_call *call)
{
	struct httpd_request *r = call->request;

	DL_DELETE(d->calls, call);
	r->priv = NULL;
	free(call);
	return r;
}

/* Answers the calls that need not wait any more. */
static void answer_calls(struct node *n)
{
	struct departures *d = &n->departures;
	struct waiting_call *call, *next;

	DL_FOREACH_SAFE(d->calls, call, next) {
		if (call->leaves && departure_is_stored(&d->state))
			httpd_answer_text(take_call(d, call), 200, "text/plain",
					  "leaving\n");
		else if (!call->leaves && !node_departures_unknown(n))
			node_handle_target_call(n, take_call(d, call));
	}
}

static void answer_late_calls(struct departures *d, int64_t now_ms)
{
	while (d->calls &&
	       now_ms - d->calls->received_ms >= NODE_LEAVE_ACK_MS) {
		log_warn("target_call_not_stored",
			 "leaves=%d waited_ms=%lld born_ms=%lld",
			 d->calls->leaves,
			 (long long)(now_ms - d->calls->received_ms),
			 (long long)d->state.record.born_ms);
		httpd_answer_text(take_call(d, d->calls), 503, "text/plain",
				  "the store does not answer\n");
	}
}

void node_defer_target_call(struct node *n, struct httpd_request *r, int leaves)
{
	struct departures *d = &n->departures;
	struct waiting_call *call = calloc(1, sizeof(*call));

	if (!call) {
		httpd_answer_text(r, 503, "text/plain", "out of memory\n");
		return;
	}
	call->request = r;
	call->leaves = leaves;
	call->received_ms = clk_ms();
	r->priv = call;
	DL_APPEND(d->calls, call);
	node_departures_advance(n);
}

void node_forget_target_call(struct node *n, struct httpd_request *r)
{
	if (r->priv)
		take_call(&n->departures, r->priv);
}

/* ---- the store ---- */

static void note_result(struct departures *d, enum err e, const char *what)
{
	d->busy = 0;
	if (e == ERR_OK || e == ERR_CONFLICT) {
		d->retry_at_ms = 0;
		d->retry_ms = NODE_DEPARTURE_RETRY_FIRST_MS;
		return;
	}
	log_warn("departure_store_failed", "call=%s error=%s retry_ms=%d", what,
		 err_name(e), d->retry_ms);
	d->retry_at_ms = clk_ms() + d->retry_ms;
	d->retry_ms = d->retry_ms * 2 < NODE_DEPARTURE_RETRY_MAX_MS
			      ? d->retry_ms * 2
			      : NODE_DEPARTURE_RETRY_MAX_MS;
}

/* Returns 1 and the record if the value is one. */
static int read_record(const struct store_kv *kv, struct departure_record *r)
{
	if (departure_parse(r, kv->value, kv->value_len) == ERR_OK &&
	    !node_is_born_ahead(r->born_ms))
		return 1;
	log_error("departure_malformed", "key=%s mod_revision=%lld",
		  LOG_Q(kv->key), (long long)kv->mod_revision);
	return 0;
}

static void on_read(enum err e, const struct store_range *result, void *priv)
{
	struct node *n = priv;
	struct departures *d = &n->departures;
	const struct store_kv *kv;
	struct departure_record r;

	note_result(d, e, "read");
	if (e != ERR_OK)
		return;
	kv = result->count ? result->kvs : NULL;
	departure_on_read(&d->state, kv && read_record(kv, &r) ? &r : NULL,
			  kv ? kv->mod_revision : 0, result->era);
	log_info("departures_read",
		 "born_ms=%lld stored_born_ms=%lld id=%s era=%llu",
		 (long long)d->state.record.born_ms,
		 (long long)d->state.stored.born_ms, LOG_Q(d->state.record.id),
		 (unsigned long long)result->era);
	node_departures_advance(n);
}

static void on_written(enum err e, int64_t revision, void *priv)
{
	struct node *n = priv;
	struct departures *d = &n->departures;

	note_result(d, e, "write");
	departure_on_written(&d->state, &d->written, e, revision);
	if (e == ERR_OK)
		log_info("departure_written",
			 "born_ms=%lld id=%s revision=%lld",
			 (long long)d->written.born_ms, LOG_Q(d->written.id),
			 (long long)revision);
	node_departures_advance(n);
}

static void start_read(struct node *n)
{
	struct departures *d = &n->departures;

	d->busy = 1;
	n->store->ops->range(n->store, d->key, 0, on_read, n);
}

static void start_write(struct node *n)
{
	struct departures *d = &n->departures;
	struct store_compare compare = { d->key, d->state.revision };
	struct store_put put = { .key = d->key };
	struct buf text;
	enum err e;

	d->written = d->state.record;
	buf_init(&text);
	e = departure_write(&d->written, &text);
	put.value = text.data;
	put.value_len = text.len;
	if (e == ERR_OK) {
		d->busy = 1;
		n->store->ops->txn(n->store, &compare, 1, &put, 1, on_written,
				   n);
	} else {
		note_result(d, e, "encode");
	}
	buf_finish(&text);
}

void node_departures_advance(struct node *n)
{
	struct departures *d = &n->departures;
	int64_t now_ms = clk_ms();

	answer_calls(n);
	answer_late_calls(d, now_ms);
	if (!n->interface->read_leave || d->busy || now_ms < d->retry_at_ms)
		return;
	switch (departure_next(&d->state, n->store->era)) {
	case DEPARTURE_NONE:
		break;
	case DEPARTURE_READ:
		start_read(n);
		break;
	case DEPARTURE_WRITE:
		start_write(n);
		break;
	}
}
