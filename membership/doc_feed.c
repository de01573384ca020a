#include "membership/doc_feed.h"
#include "common/clk.h"
#include "common/log.h"
#include "common/step.h"
#include "config/json_rows.h"
#include "membership/doc_job.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

#define FEED_RETRY_FIRST_MS 100
#define FEED_RETRY_MAX_MS 1000
/* Routes translated in one step; each takes about 15 us of processor time. */
#define FEED_STEP_ROUTES 64

/*
 * A version is read in steps, between which the loop does other work:
 *  1. The routes are cut out of the value as rows, and what is left is read.
 *  2. Rows whose text the version before has too are passed over. The routes of
 *     the others are translated, and those that are gone are removed.
 *  3. The changes are applied to the version before (doc_job).
 * A value that comes meanwhile waits.
 */

/* A row of the newest valid version, by the digest of its text. */
struct feed_row {
	uint64_t digest;
	char section[DOC_NAME_BYTES];
	unsigned version; /* the last one that has it, by doc_feed.version */
	UT_hash_handle hh;
};

struct feed_value {
	uint8_t *data; /* owned; NULL: none */
	size_t len;
	int64_t mod_revision;
};

/* The version that is being read. */
struct feed_reading {
	struct feed_value value;
	int cut; /* rows and rest are set */
	struct json_rows rows;
	size_t row_count; /* of all rows; rows has those to be translated */
	size_t next;	  /* row to be translated */
	struct doc_rest rest;
	struct doc_sections changes;
};

struct doc_feed {
	struct ev_loop *loop;
	struct store *store;
	const struct doc_source *source;
	const struct doc_feed_ops *ops;
	void *priv;
	struct store_watch *watch;
	ev_timer timer; /* the next read */
	int reading;	/* a read is in flight */
	int retry_ms;
	uint64_t revision;   /* of the newest valid version */
	uint64_t digest;     /* of the value read last */
	int has_value;	     /* digest is set */
	int64_t read_ms;     /* when the last read was sent */
	int64_t answered_ms; /* of doc_feed_age_ms; 0: never */

	ev_timer step_timer;
	struct doc_job job;
	struct feed_reading in; /* value.data is NULL if none */
	struct feed_value waiting;
	/* The newest valid version; empty before, and after an invalid one. */
	struct doc doc;
	struct doc_sections sections;
	struct feed_row *rows;
	uint64_t rest_digest; /* of struct doc_rest */
	unsigned version;     /* counts those that were begun */

	/* Of the source's orders; valid once has_orders is set. */
	struct drained orders;
	int has_orders;
	int orders_left_out;	 /* the store has more than the set holds */
	int64_t orders_revision; /* of the store when they were so */
	uint64_t orders_era;	 /* of orders_revision */
};

static void schedule_read(struct doc_feed *f, int ms)
{
	ev_timer_stop(f->loop, &f->timer);
	ev_timer_set(&f->timer, (double)ms / 1000., 0.);
	ev_timer_start(f->loop, &f->timer);
}

static void end_reading(struct doc_feed *f)
{
	struct feed_reading *in = &f->in;
	struct feed_value waiting = f->waiting;

	free(in->value.data);
	json_rows_finish(&in->rows);
	doc_rest_finish(&in->rest);
	doc_sections_finish(&in->changes);
	memset(in, 0, sizeof(*in));
	memset(&f->waiting, 0, sizeof(f->waiting));
	in->value = waiting;
	if (waiting.data)
		ev_timer_start(f->loop, &f->step_timer);
}

/* The next version is then read as a whole. */
static void forget_version(struct doc_feed *f)
{
	struct feed_row *row, *next;

	HASH_ITER(hh, f->rows, row, next) {
		HASH_DEL(f->rows, row);
		free(row);
	}
	doc_finish(&f->doc);
	doc_sections_finish(&f->sections);
}

static void refuse_version(struct doc_feed *f, enum err e,
			   const struct buf *problems)
{
	log_error("document_invalid", "error=%s mod_revision=%lld problems=%s",
		  err_name(e), (long long)f->in.value.mod_revision,
		  LOG_Q(problems->len ? (const char *)problems->data : ""));
	forget_version(f);
	end_reading(f);
}

/*
 * The versions are ordered by the operator's own numbers. A restored store has
 * an earlier version until the operator has written the newest one again, and
 * gives a newer one a lower revision than an older one had.
 */
static int is_newer(const struct doc_feed *f, uint64_t revision)
{
	if (revision > f->revision)
		return 1;
	log_info("document_older", "revision=%llu has_revision=%llu",
		 (unsigned long long)revision, (unsigned long long)f->revision);
	return 0;
}

/* ---- rows ---- */

static enum err add_row(struct doc_feed *f, uint64_t digest,
			const char *section)
{
	struct feed_row *row = calloc(1, sizeof(*row));

	if (!row)
		return ERR_NOMEM;
	row->digest = digest;
	row->version = f->version;
	snprintf(row->section, sizeof(row->section), "%s", section);
	HASH_ADD(hh, f->rows, digest, sizeof(row->digest), row);
	return ERR_OK;
}

/* Leaves in rows those that the version before does not have. */
static void pass_over_known_rows(struct doc_feed *f)
{
	struct json_rows *rows = &f->in.rows;
	size_t kept = 0;

	f->in.row_count = rows->count;
	for (size_t i = 0; i < rows->count; i++) {
		struct feed_row *row;

		HASH_FIND(hh, f->rows, &rows->rows[i].digest,
			  sizeof(row->digest), row);
		if (row)
			row->version = f->version;
		else
			rows->rows[kept++] = rows->rows[i];
	}
	rows->count = kept;
}

/* Removes routes whose rows are gone. Returns 1 if there are more. */
static int remove_routes(struct doc_feed *f, size_t count)
{
	struct feed_row *row, *next;

	HASH_ITER(hh, f->rows, row, next) {
		if (row->version == f->version)
			continue;
		if (!count--)
			return 1;
		if (doc_changes_remove(&f->in.changes, row->section) != ERR_OK)
			log_error("document_change_lost", "section=%s",
				  LOG_Q(row->section));
		HASH_DEL(f->rows, row);
		free(row);
	}
	return 0;
}

static enum err translate_rows(struct doc_feed *f, size_t count,
			       struct buf *problems)
{
	struct feed_reading *in = &f->in;
	enum err e = ERR_OK;

	for (; e == ERR_OK && count && in->next < in->rows.count; count--) {
		const struct json_row *r = &in->rows.rows[in->next++];
		char section[DOC_NAME_BYTES];

		e = f->source->read_row(&in->rest, r->text, r->len,
					&in->changes, section, problems);
		if (e == ERR_OK)
			e = add_row(f, r->digest, section);
	}
	return e;
}

/* ---- services and stops ---- */

/* Adds the changes of all sections that are no routes. */
static enum err change_rest(struct doc_feed *f)
{
	struct doc_sections before = { 0 }, changes;
	enum err e = ERR_OK;

	for (size_t i = 0; e == ERR_OK && i < f->sections.count; i++) {
		if (!doc_section_is_route(&f->sections.items[i]))
			e = doc_sections_share(&before, &f->sections.items[i]);
	}
	if (e == ERR_OK)
		e = doc_changes_between(&before, &f->in.rest.sections,
					&changes);
	doc_sections_finish(&before);
	if (e != ERR_OK)
		return e;
	f->in.changes = changes;
	return ERR_OK;
}

/* ---- steps ---- */

static size_t count_routes(const struct doc_sections *s)
{
	size_t count = 0;

	for (size_t i = 0; i < s->count; i++)
		count += (size_t)doc_section_is_route(&s->items[i]);
	return count;
}

static void offer_version(struct doc_feed *f)
{
	struct doc_sections sections;
	struct doc doc;

	if (doc_copy(&f->doc, &doc) != ERR_OK)
		return;
	if (doc_sections_copy(&f->sections, &sections) != ERR_OK) {
		doc_finish(&doc);
		return;
	}
	f->ops->updated(&doc, &sections, f->priv);
}

/*
 * Reads a version in which two rows have the same name or text. Which of them
 * counts is for the source to say.
 */
static void read_whole(struct doc_feed *f)
{
	struct feed_value *v = &f->in.value;
	struct doc_sections sections;
	struct buf problems;
	struct doc doc;
	enum err e;

	buf_init(&problems);
	e = f->source->read(v->data, v->len, &doc, &sections, &problems);
	if (e == ERR_OK) {
		forget_version(f);
		f->revision = doc.revision;
		f->ops->updated(&doc, &sections, f->priv);
		end_reading(f);
	} else {
		refuse_version(f, e, &problems);
	}
	buf_finish(&problems);
}

static void on_applied(enum err e, struct doc *d, struct doc_sections *sections,
		       const struct buf *problems, void *priv)
{
	struct doc_feed *f = priv;

	if (e != ERR_OK) {
		refuse_version(f, e, problems);
		return;
	}
	if (count_routes(sections) != f->in.row_count) {
		doc_finish(d);
		doc_sections_finish(sections);
		read_whole(f);
		return;
	}
	doc_finish(&f->doc);
	doc_sections_finish(&f->sections);
	f->doc = *d;
	f->sections = *sections;
	f->doc.revision = f->in.rest.revision;
	f->revision = f->in.rest.revision;
	f->rest_digest = f->in.rest.digest;
	offer_version(f);
	end_reading(f);
}

static void cut_value(struct doc_feed *f)
{
	struct feed_reading *in = &f->in;
	struct buf problems;
	enum err e;

	in->cut = 1;
	f->version++;
	buf_init(&problems);
	e = json_rows_cut((const char *)in->value.data, in->value.len,
			  f->source->object, f->source->list, &in->rows);
	if (e == ERR_OK)
		e = f->source->read_rest(&in->rows.rest, &in->rest, &problems);
	if (e == ERR_OK && !is_newer(f, in->rest.revision)) {
		end_reading(f);
		buf_finish(&problems);
		return;
	}
	if (e == ERR_OK) {
		if (in->rest.digest != f->rest_digest)
			forget_version(f);
		pass_over_known_rows(f);
		e = change_rest(f);
	}
	if (e == ERR_OK)
		ev_timer_start(f->loop, &f->step_timer);
	else
		refuse_version(f, e, &problems);
	buf_finish(&problems);
}

static void run_step(struct doc_feed *f)
{
	struct buf problems;
	enum err e;

	if (!f->in.cut) {
		cut_value(f);
		return;
	}
	if (remove_routes(f, FEED_STEP_ROUTES)) {
		ev_timer_start(f->loop, &f->step_timer);
		return;
	}
	buf_init(&problems);
	e = translate_rows(f, FEED_STEP_ROUTES, &problems);
	if (e != ERR_OK)
		refuse_version(f, e, &problems);
	else if (f->in.next < f->in.rows.count)
		ev_timer_start(f->loop, &f->step_timer);
	else
		doc_job_start(&f->job, &f->doc, &f->sections, &f->in.changes);
	buf_finish(&problems);
}

static void on_step_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	step_enter("doc_feed_step");
	run_step(w->data);
}

static void apply_value(struct doc_feed *f, const uint8_t *data, size_t len,
			int64_t mod_revision)
{
	uint64_t digest = XXH3_64bits(data, len);
	struct feed_value value = { NULL, len, mod_revision };

	if (f->has_value && digest == f->digest)
		return;
	value.data = malloc(len + 1);
	if (!value.data) {
		log_error("document_not_read", "error=%s mod_revision=%lld",
			  err_name(ERR_NOMEM), (long long)mod_revision);
		return;
	}
	memcpy(value.data, data, len);
	f->has_value = 1;
	f->digest = digest;
	if (f->in.value.data) {
		free(f->waiting.data);
		f->waiting = value;
		return;
	}
	f->in.value = value;
	ev_timer_start(f->loop, &f->step_timer);
}

/* ---- orders ---- */

/* Returns the data centre of an order's key; NULL if it is another key. */
static const char *order_name(const struct doc_feed *f, const char *key)
{
	const char *prefix = f->source->orders;
	size_t len = prefix ? strlen(prefix) : 0;

	return len && strncmp(key, prefix, len) == 0 ? key + len : NULL;
}

static void add_order(struct doc_feed *f, struct drained *orders,
		      const char *name, int64_t mod_revision)
{
	enum err e = drained_add(orders, name);

	if (e == ERR_TOO_LARGE)
		f->orders_left_out = 1;
	/* Repeated by each read, so it is limited as the lines of requests. */
	if (e != ERR_OK)
		log_request(LOG_WARN, "order_ignored",
			    "data_centre=%s error=%s mod_revision=%lld",
			    LOG_Q(name), err_name(e), (long long)mod_revision);
}

/*
 * Puts the orders in force that the store had at the revision, which is not
 * older than that of the present ones.
 */
static void set_orders(struct doc_feed *f, const struct drained *orders,
		       int64_t revision, uint64_t era, const char *by)
{
	size_t changes = 0;

	for (size_t i = 0; i < orders->count; i++) {
		if (drained_has(&f->orders, orders->names[i]))
			continue;
		changes++;
		log_info("data_centre_order",
			 "data_centre=%s by=%s revision=%lld era=%llu "
			 "first_read=%d",
			 LOG_Q(orders->names[i]), by, (long long)revision,
			 (unsigned long long)era, !f->has_orders);
	}
	for (size_t i = 0; i < f->orders.count; i++) {
		if (drained_has(orders, f->orders.names[i]))
			continue;
		changes++;
		log_info("data_centre_order_ended",
			 "data_centre=%s by=%s revision=%lld era=%llu",
			 LOG_Q(f->orders.names[i]), by, (long long)revision,
			 (unsigned long long)era);
	}
	f->orders_revision = revision;
	f->orders_era = era;
	if (!changes && f->has_orders)
		return;
	f->orders = *orders;
	f->has_orders = 1;
	if (f->ops->ordered)
		f->ops->ordered(&f->orders, f->priv);
}

/*
 * The watch may be ahead of a read that was sent before, and behind a read that
 * was answered before its events.
 */
static int is_older_than_orders(const struct doc_feed *f, int64_t revision,
				uint64_t era)
{
	return f->has_orders && era == f->orders_era &&
	       revision < f->orders_revision;
}

static void read_orders(struct doc_feed *f, const struct store_range *r)
{
	struct drained orders;

	if (!f->source->orders)
		return;
	if (is_older_than_orders(f, r->revision, r->era)) {
		/* An event may have made room for one of them meanwhile. */
		if (f->orders_left_out)
			schedule_read(f, FEED_RETRY_FIRST_MS);
		return;
	}
	f->orders_left_out = 0;
	drained_init(&orders);
	for (size_t i = 0; i < r->count; i++) {
		const char *name = order_name(f, r->kvs[i].key);

		if (name)
			add_order(f, &orders, name, r->kvs[i].mod_revision);
	}
	set_orders(f, &orders, r->revision, r->era, "read");
}

/* The driver ends a watch before it delivers events of another era. */
static void apply_order_event(struct doc_feed *f, const char *name,
			      const struct store_event *event)
{
	struct drained orders = f->orders;

	if (is_older_than_orders(f, event->mod_revision, f->orders_era))
		return;
	if (event->value)
		add_order(f, &orders, name, event->mod_revision);
	else if (drained_remove(&orders, name) && f->orders_left_out)
		schedule_read(f, 0);
	set_orders(f, &orders, event->mod_revision, f->orders_era, "event");
}

/* ---- reads and the watch ---- */

static void on_event(const struct store_event *event, void *priv)
{
	struct doc_feed *f = priv;
	const char *order = order_name(f, event->key);

	f->answered_ms = clk_ms();
	if (order)
		apply_order_event(f, order, event);
	if (event->value && strcmp(event->key, f->source->key) == 0)
		apply_value(f, event->value, event->value_len,
			    event->mod_revision);
}

static void on_watch_ended(enum err why, void *priv)
{
	struct doc_feed *f = priv;

	log_warn("document_watch_ended", "error=%s revision=%llu",
		 err_name(why), (unsigned long long)f->revision);
	f->watch = NULL;
	schedule_read(f, FEED_RETRY_FIRST_MS);
}

static const struct store_watch_ops watch_ops = {
	.event = on_event,
	.ended = on_watch_ended,
};

/* One read and one watch bring the document and the orders. */
static const char *read_prefix(const struct doc_feed *f)
{
	return f->source->prefix ? f->source->prefix : f->source->key;
}

static void on_read(enum err e, const struct store_range *r, void *priv)
{
	struct doc_feed *f = priv;

	f->reading = 0;
	if (e != ERR_OK) {
		schedule_read(f, f->retry_ms);
		f->retry_ms = f->retry_ms * 2 < FEED_RETRY_MAX_MS
				      ? f->retry_ms * 2
				      : FEED_RETRY_MAX_MS;
		return;
	}
	f->answered_ms = f->read_ms;
	f->retry_ms = FEED_RETRY_FIRST_MS;
	read_orders(f, r);
	for (size_t i = 0; i < r->count; i++) {
		const struct store_kv *kv = &r->kvs[i];

		if (strcmp(kv->key, f->source->key) == 0)
			apply_value(f, kv->value, kv->value_len,
				    kv->mod_revision);
	}
	if (!f->watch)
		f->watch = f->store->ops->watch(f->store, read_prefix(f),
						r->revision, r->era, &watch_ops,
						f);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct doc_feed *f = w->data;

	(void)loop;
	(void)events;
	step_enter("doc_feed_timer");
	if (f->reading)
		return;
	f->reading = 1;
	f->read_ms = clk_ms();
	/* A range gives the store's revision even if the key is absent. */
	f->store->ops->range(f->store, read_prefix(f), 1, on_read, f);
}

enum err doc_feed_new(struct doc_feed **out, struct ev_loop *loop,
		      struct store *store, const struct doc_source *source,
		      const struct doc_feed_ops *ops, void *priv)
{
	struct doc_feed *f = calloc(1, sizeof(*f));

	if (!f)
		return ERR_NOMEM;
	f->loop = loop;
	f->store = store;
	f->source = source;
	f->ops = ops;
	f->priv = priv;
	f->retry_ms = FEED_RETRY_FIRST_MS;
	drained_init(&f->orders);
	ev_timer_init(&f->timer, on_timer, 0., 0.);
	f->timer.data = f;
	ev_timer_init(&f->step_timer, on_step_timer, 0., 0.);
	f->step_timer.data = f;
	doc_job_init(&f->job, loop, on_applied, f);
	ev_timer_start(loop, &f->timer);
	*out = f;
	return ERR_OK;
}

int doc_feed_poll(struct doc_feed *f)
{
	if (f->reading || ev_is_active(&f->timer))
		return 0;
	schedule_read(f, 0);
	return 1;
}

void doc_feed_free(struct doc_feed *f)
{
	if (!f)
		return;
	ev_timer_stop(f->loop, &f->timer);
	doc_job_cancel(&f->job);
	free(f->waiting.data);
	memset(&f->waiting, 0, sizeof(f->waiting));
	end_reading(f);
	ev_timer_stop(f->loop, &f->step_timer);
	forget_version(f);
	free(f);
}

int64_t doc_feed_age_ms(const struct doc_feed *f)
{
	return f->answered_ms ? clk_ms() - f->answered_ms : INT64_MAX;
}
