#include "membership/coord_priv.h"

#include <stdlib.h>
#include <string.h>

/*
 * Brings a joining node up to date. After a takeover all nodes join at once,
 * and most have the map and the document already: sending both in full would
 * saturate the network link of the coordinator's VM for seconds and delay the
 * replies that renew grants.
 */

static struct co_recent_delta *recent_at(struct coord *c, uint64_t rev)
{
	return &c->recent[rev % CO_RECENT_DELTAS];
}

static void recent_clear(struct co_recent_delta *r)
{
	free(r->bytes);
	buf_finish(&r->frame);
	memset(r, 0, sizeof(*r));
}

void co_recent_finish(struct coord *c)
{
	for (size_t i = 0; i < CO_RECENT_DELTAS; i++)
		recent_clear(&c->recent[i]);
	buf_finish(&c->map_frame);
	buf_finish(&c->doc_frame);
	c->map_frame_rev = 0;
	c->doc_frame_rev = 0;
}

void co_recent_add(struct coord *c, const Wire__MapDelta *d,
		   const uint8_t *bytes, size_t len)
{
	struct co_recent_delta *r = recent_at(c, d->rev);

	recent_clear(r);
	/* A snapshot does not build on an earlier map. */
	if (!d->base_rev)
		return;
	r->bytes = malloc(len ? len : 1);
	if (!r->bytes)
		return;
	memcpy(r->bytes, bytes, len);
	r->len = len;
	r->base_rev = d->base_rev;
	r->rev = d->rev;
}

/* The frame is kept, since many nodes may join while the map stays the same. */
void co_send_full_map(struct coord *c, struct co_member *m)
{
	Wire__MapDelta *d;

	if (!c->map_frame_rev || c->map_frame_rev != c->map.rev) {
		buf_reset(&c->map_frame);
		c->map_frame_rev = 0;
		d = map_snapshot(&c->map);
		if (!d)
			return;
		d->term = c->record.term;
		if (frame_encode_deflated(FRAME_MAP_PUSH, &d->base,
					  &c->map_frame) == ERR_OK)
			c->map_frame_rev = c->map.rev;
		map_delta_free(d);
	}
	co_send_encoded(m, &c->map_frame);
}

static int has_changes_since(struct coord *c, uint64_t rev)
{
	if (!rev || rev > c->map.rev || c->map.rev - rev > CO_RECENT_DELTAS)
		return 0;
	for (; rev < c->map.rev; rev++) {
		const struct co_recent_delta *r = recent_at(c, rev + 1);

		if (r->rev != rev + 1 || r->base_rev != rev)
			return 0;
	}
	return 1;
}

static void send_recent(struct coord *c, struct co_member *m,
			struct co_recent_delta *r)
{
	Wire__MapDelta *d;

	/* The node fetches the full map when it finds the gap. */
	if (!r->frame.len) {
		d = wire__map_delta__unpack(NULL, r->len, r->bytes);
		if (!d)
			return;
		d->term = c->record.term;
		frame_encode_deflated(FRAME_MAP_PUSH, &d->base, &r->frame);
		wire__map_delta__free_unpacked(d, NULL);
	}
	co_send_encoded(m, &r->frame);
}

/* Tells the node that its map is up to date. */
static void send_no_change(struct coord *c, struct co_member *m)
{
	Wire__MapDelta d = WIRE__MAP_DELTA__INIT;

	d.term = c->record.term;
	d.base_rev = c->map.rev;
	d.rev = c->map.rev;
	co_send(m, FRAME_MAP_PUSH, &d.base);
}

void co_sync_member(struct coord *c, struct co_member *m)
{
	if (m->doc_rev == c->doc_rev)
		m->doc_sent_rev = c->doc_rev;
	else if (!c->config.document)
		co_doc_send_full(c, m);
	if (co_is_recovering(c))
		return;
	if (!has_changes_since(c, m->map_rev)) {
		co_send_full_map(c, m);
		return;
	}
	for (uint64_t rev = m->map_rev; rev < c->map.rev; rev++)
		send_recent(c, m, recent_at(c, rev + 1));
	if (m->map_rev == c->map.rev)
		send_no_change(c, m);
}
