#ifndef MEMBERSHIP_DOC_FEED_H
#define MEMBERSHIP_DOC_FEED_H

#include "common/cnt.h"
#include "config/doc.h"
#include "store/store.h"

/*
 * Follows a document that an operator writes to the store as one value in a
 * format of its own: reads it, watches it, and passes on each version that is
 * newer than the last one and valid. The store's revision of the value is the
 * document's revision, so that all nodes number the versions alike.
 */

struct doc_feed;

struct doc_feed_ops {
	/* Takes the document and its sections over. */
	void (*updated)(struct doc *doc, struct doc_sections *sections,
			void *priv);
};

enum err doc_feed_new(struct doc_feed **out, struct ev_loop *loop,
		      struct store *store, const struct doc_source *source,
		      const struct doc_feed_ops *ops, void *priv);
void doc_feed_free(struct doc_feed *f);
/*
 * Reads the value now, whatever the watch says: a watch can go silent without
 * an error. For the one node that passes documents on to the others.
 */
void doc_feed_poll(struct doc_feed *f);
/* Milliseconds since the store last answered; INT64_MAX: never. */
int64_t doc_feed_age_ms(const struct doc_feed *f);

#endif
