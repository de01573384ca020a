#ifndef MEMBERSHIP_COORD_H
#define MEMBERSHIP_COORD_H

#include "common/cnt.h"
#include "config/doc.h"
#include "config/settings.h"
#include "membership/dgram.h"
#include "membership/record.h"
#include "store/store.h"
#include "transport/tcp.h"

/*
 * The coordinator: decides which node owns which slot, writes that to the
 * store, and renews grants. Every daemon has one; it is idle unless this
 * node's record is the one in the store.
 */

struct coord;

struct coord_config {
	struct ev_loop *loop;
	const struct settings *set;
	struct store *store;
	struct dgram *dgram;
	struct cnt *cnt;
	uint64_t incarnation;
	/*
	 * The document in force on this node and its revision; NULL: the
	 * coordinator reads the one that mpinctl keeps in the store.
	 */
	const struct doc_sections *(*document)(uint64_t *rev, void *priv);
	void *document_priv;
};

enum err coord_new(struct coord **out, const struct coord_config *config);
void coord_free(struct coord *c);

/* Tries to replace the record; does nothing while in office or trying. */
void coord_elect(struct coord *c, const struct record *known);
int coord_active(const struct coord *c);

/*
 * Takes over an accepted connection (malloc'ed) whose Hello had purpose 1.
 * If not in office, it is told so and closed.
 */
void coord_accept(struct coord *c, struct tcp_conn *conn,
		  const Wire__Hello *hello);
void coord_ask(struct coord *c, const struct dgram_ask *ask,
	       const struct sockaddr_in *from);

/* Bytes of all control connections to this coordinator so far. */
void coord_bytes(const struct coord *c, uint64_t *in, uint64_t *out);

/*
 * JSON for the admin port. ERR_NOT_FOUND if not in office (status then names
 * the coordinator only) or if service or node are unknown.
 */
enum err coord_status(struct coord *c, struct buf *out);
enum err coord_explain(struct coord *c, const char *service, const char *key,
		       struct buf *out);
/*
 * An operator states that a silent node is gone. ERR_CONFLICT if the node is
 * not silent.
 */
enum err coord_forget(struct coord *c, const char *node);

#endif
