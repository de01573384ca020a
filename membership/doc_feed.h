#ifndef MEMBERSHIP_DOC_FEED_H
#define MEMBERSHIP_DOC_FEED_H

#include "common/cnt.h"
#include "config/doc.h"
#include "membership/drained.h"
#include "store/store.h"

/*
 * Follows a document that an operator writes to the store as a single value, in
 * a format that struct doc_source reads: it reads the value, watches it, and
 * reports each version that is valid and newer than the last one, by the number
 * that the operator gave it.
 *
 * The same reads and the same watch bring the operators' orders to empty a data
 * centre, if the source has any. An order is in force while its key is there.
 * Orders have no number: of what the store tells in one era, the highest
 * revision decides, and a read in another era replaces all of them.
 */

struct doc_feed;

struct doc_feed_ops {
	/* Reports a new version; the callee takes ownership of both. */
	void (*updated)(struct doc *doc, struct doc_sections *sections,
			void *priv);
	/*
	 * Reports the orders in force: after the first read, before the
	 * document of that read, and after each change. NULL: the caller needs
	 * no orders.
	 */
	void (*ordered)(const struct drained *orders, void *priv);
};

/*
 * Starts to follow the value under source->key; a failed read is repeated with
 * backoff. Returns ERR_NOMEM without memory.
 */
enum err doc_feed_new(struct doc_feed **out, struct ev_loop *loop,
		      struct store *store, const struct doc_source *source,
		      const struct doc_feed_ops *ops, void *priv);
/*
 * Stops and frees f, which may be NULL. The store's callbacks refer to f, so
 * the store must not run any of them afterwards.
 */
void doc_feed_free(struct doc_feed *f);
/*
 * Reads the value now, unless a read is pending. A watch can stop delivering
 * events without an error; the caller bounds the delay by this. Returns 1 if it
 * starts a read.
 */
int doc_feed_poll(struct doc_feed *f);
/*
 * Returns the milliseconds since the last read that the store answered was
 * sent, or since the last event of the watch; INT64_MAX: never.
 */
int64_t doc_feed_age_ms(const struct doc_feed *f);

#endif
