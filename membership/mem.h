#ifndef MEMBERSHIP_MEM_H
#define MEMBERSHIP_MEM_H

#include "common/cnt.h"
#include "config/doc.h"
#include "config/settings.h"
#include "membership/dgram.h"
#include "membership/record.h"
#include "ownership/own.h"
#include "routing/view.h"
#include "store/store.h"
#include "transport/tcp.h"

/*
 * The member: finds the coordinator, joins, keeps this node's grant, and
 * holds the node's copy of the map and of the document.
 */

struct mem;

struct mem_ops {
	/* The map or the document changed. */
	void (*changed)(void *priv);
	/* The map newly names this node as the slot's owner. */
	void (*gained)(uint32_t slot, void *priv);
	/* Stop work for the slot; mem_released when nothing is in flight. */
	void (*release)(uint32_t slot, void *priv);
	void (*release_cancel)(uint32_t slot, void *priv);
	/* Fills in load since the last call; strings freed by free_load. */
	void (*take_load)(Wire__LoadReport *report, void *priv);
	void (*free_load)(Wire__LoadReport *report, void *priv);
	/*
	 * No coordinator answers. known is the record last read from the
	 * store; the daemon should try to replace it.
	 */
	void (*elect)(const struct record *known, void *priv);
	/* The coordinator has let this node go: it owns nothing any more. */
	void (*left)(void *priv);
	/*
	 * May the target be sent work of the slot? ERR_OK; lowers end_ms if
	 * the target holds the slot for a shorter time. NULL: any work.
	 */
	enum err (*held)(uint32_t slot, uint64_t fence, int64_t now_ms,
			 int64_t *end_ms, void *priv);
};

struct mem_config {
	struct ev_loop *loop;
	const struct settings *set;
	struct store *store;
	struct dgram *dgram;
	struct cnt *cnt;
	uint64_t incarnation;
	const struct mem_ops *ops;
	void *priv;
};

enum err mem_new(struct mem **out, const struct mem_config *config);
void mem_free(struct mem *m);

/* The member's state as the request path may see it. */
struct view *mem_view(struct mem *m);

/* Datagrams, from the daemon's socket. */
void mem_reply(struct mem *m, const struct dgram_reply *r);
void mem_takeover(struct mem *m, uint64_t term, const char *address,
		  unsigned peer_port);

/* Another member asks whether this one hears the coordinator, or answers. */
void mem_probe(struct mem *m, uint64_t term, const struct sockaddr_in *from);
void mem_probe_reply(struct mem *m, uint64_t term, uint32_t heard_ms);

/*
 * A document read from the store. Takes it over if it is newer than the one in
 * force; frees it otherwise.
 */
void mem_take_document(struct mem *m, struct doc *doc,
		       struct doc_sections *sections);
/* The document in force, as sections; NULL if there is none. */
const struct doc_sections *mem_document(const struct mem *m, uint64_t *rev);

/* The target came or changed (not NULL) or is gone (NULL). */
void mem_set_target(struct mem *m, const Wire__Target *target);
/* Nothing of the slot is in flight any more. */
void mem_released(struct mem *m, uint32_t slot);
/* Same for several slots, with what the target gave for their next holders. */
#define MEM_RELEASED_MAX 256
void mem_released_many(struct mem *m, uint32_t *slots,
		       const char *const *handovers, size_t count);
/* Id of this node, 0 until it has joined. */
uint32_t mem_id(const struct mem *m);
/*
 * Until when this node may serve what its map gives it, INT64_MAX in hold.
 * ERR_NO_GRANT or ERR_STALE: not now.
 */
enum err mem_right_end(const struct mem *m, int64_t now_ms, int64_t *end_ms);
/*
 * Planned stop: the coordinator moves this node's slots away; left() follows.
 * restart: the node comes back soon, its slots may wait for it.
 */
void mem_leave(struct mem *m, int restart);

/* 1 if no coordinator is connected and no grant is live. */
int mem_is_detached(const struct mem *m);

/* Bytes of the control connections to coordinators so far. */
void mem_bytes(const struct mem *m, uint64_t *in, uint64_t *out);

/* One line of JSON members for /status: "node":...,"term":..., */
void mem_status(struct mem *m, struct buf *out);

#endif
