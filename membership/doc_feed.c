#include "membership/doc_feed.h"
#include "common/clk.h"
#include "common/step.h"
#include "common/log.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define FEED_RETRY_FIRST_MS 100
#define FEED_RETRY_MAX_MS 1000

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
};

static void schedule_read(struct doc_feed *f, int ms)
{
	ev_timer_stop(f->loop, &f->timer);
	ev_timer_set(&f->timer, (double)ms / 1000., 0.);
	ev_timer_start(f->loop, &f->timer);
}

/*
 * The versions are ordered by the operator's own numbers. A restored store has
 * an earlier version until the operator has written the newest one again, and
 * gives a newer one a lower revision than an older one had.
 */
static void offer_document(struct doc_feed *f, struct doc *doc,
			   struct doc_sections *sections)
{
	if (doc->revision > f->revision) {
		f->revision = doc->revision;
		f->ops->updated(doc, sections, f->priv);
		return;
	}
	log_info("document_older", "revision=%llu has_revision=%llu",
		 (unsigned long long)doc->revision,
		 (unsigned long long)f->revision);
	doc_finish(doc);
	doc_sections_finish(sections);
}

static void apply_value(struct doc_feed *f, const uint8_t *value, size_t len,
			int64_t mod_revision)
{
	uint64_t digest = XXH3_64bits(value, len);
	struct doc_sections sections;
	struct buf problems;
	struct doc doc;
	enum err e;

	/* Reading a value takes far longer than its digest. */
	if (f->has_value && digest == f->digest)
		return;
	f->has_value = 1;
	f->digest = digest;
	buf_init(&problems);
	e = f->source->read(value, len, &doc, &sections, &problems);
	if (e == ERR_OK)
		offer_document(f, &doc, &sections);
	else
		log_error("document_invalid",
			  "error=%s mod_revision=%lld problems=%s", err_name(e),
			  (long long)mod_revision, LOG_Q(buf_text(&problems)));
	buf_finish(&problems);
}

static void on_event(const struct store_event *event, void *priv)
{
	struct doc_feed *f = priv;

	f->answered_ms = clk_ms();
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
	for (size_t i = 0; i < r->count; i++) {
		const struct store_kv *kv = &r->kvs[i];

		if (strcmp(kv->key, f->source->key) == 0)
			apply_value(f, kv->value, kv->value_len,
				    kv->mod_revision);
	}
	if (!f->watch)
		f->watch = f->store->ops->watch(f->store, f->source->key,
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
	f->store->ops->range(f->store, f->source->key, 1, on_read, f);
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
	ev_timer_init(&f->timer, on_timer, 0., 0.);
	f->timer.data = f;
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
	free(f);
}

int64_t doc_feed_age_ms(const struct doc_feed *f)
{
	return f->answered_ms ? clk_ms() - f->answered_ms : INT64_MAX;
}
