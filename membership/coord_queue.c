#include "membership/coord_priv.h"
#include "common/clk.h"
#include "protocol/wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Queues changes for the next write, and encodes them for the store. */

/* Leaves out a cause that does not fit or is there already. */
void co_queue_cause(struct coord *c, const char *cause, const char *detail)
{
	char *all = c->queue.cause;
	size_t len = strlen(all);
	char text[CO_CAUSE_BYTES];

	snprintf(text, sizeof(text), "%s %.64s", cause, detail);
	if (len + strlen(text) + 3 > CO_CAUSE_BYTES || strstr(all, text))
		return;
	snprintf(all + len, CO_CAUSE_BYTES - len, "%s%.*s", len ? ", " : "",
		 CO_CAUSE_BYTES / 2, text);
}

int co_slots_reserve(struct coord *c, size_t count)
{
	struct co_slot *slots;

	if (count <= c->slot_count)
		return 1;
	slots = realloc(c->slots, count * sizeof(*slots));
	if (!slots)
		return 0;
	memset(slots + c->slot_count, 0,
	       (count - c->slot_count) * sizeof(*slots));
	c->slots = slots;
	c->slot_count = count;
	return 1;
}

void co_queue_slot(struct coord *c, uint32_t slot, uint32_t owner,
		   const char *cause)
{
	struct co_queue *q = &c->queue;

	if (!co_slots_reserve(c, (size_t)slot + 1))
		return;
	if (q->slot_count == q->slot_cap) {
		size_t cap = q->slot_cap ? q->slot_cap * 2 : 64;
		struct co_slot_change *p = realloc(q->slots, cap * sizeof(*p));

		if (!p)
			return;
		q->slots = p;
		q->slot_cap = cap;
	}
	q->slots[q->slot_count].slot = slot;
	q->slots[q->slot_count].owner = owner;
	q->slots[q->slot_count].cause = cause;
	q->slot_count++;
	c->slots[slot].changing = 1;
}

static void remove_pin(struct co_queue *q, size_t i)
{
	free(q->pins[i].service);
	free(q->pins[i].key);
}

void co_queue_pin(struct coord *c, uint32_t slot, const char *service,
		  const char *key, int removed)
{
	struct co_queue *q = &c->queue;
	struct co_pin_change *p;

	p = realloc(q->pins, (q->pin_count + 1) * sizeof(*p));
	if (!p)
		return;
	q->pins = p;
	p += q->pin_count++;
	p->slot = slot;
	p->service = strdup(service);
	p->key = strdup(key);
	p->removed = removed;
	/* The next pass queues the pin again. */
	if (!p->service || !p->key)
		remove_pin(q, --q->pin_count);
}

void co_queue_finish(struct co_queue *q)
{
	for (size_t i = 0; i < q->pin_count; i++)
		remove_pin(q, i);
	free(q->pins);
	free(q->slots);
	memset(q, 0, sizeof(*q));
}

uint32_t co_next_free_slot(const struct coord *c)
{
	uint32_t next = (uint32_t)c->map.slot_count;

	for (size_t i = 0; i < c->map.service_count; i++) {
		const struct map_service *s = &c->map.services[i];

		if (s->first_slot + s->shards > next)
			next = s->first_slot + s->shards;
	}
	for (size_t i = 0; i < c->queue.pin_count; i++) {
		if (c->queue.pins[i].slot >= next)
			next = c->queue.pins[i].slot + 1;
	}
	return next;
}

/*
 * Adds all services of the map and the new ones of the document. Services are
 * never removed from the map, so that their slots keep their fences.
 */
static void add_services(struct coord *c, Wire__MapDelta *d)
{
	size_t max = c->map.service_count + c->doc.service_count;
	uint32_t next = co_next_free_slot(c);

	d->services = calloc(max + 1, sizeof(*d->services));
	for (size_t i = 0; d->services && i < max; i++) {
		const struct doc_service *s = NULL;
		Wire__MapService *w;

		if (i >= c->map.service_count) {
			s = &c->doc.services[i - c->map.service_count];
			if (!s->keyed || map_find_service(&c->map, s->name))
				continue;
		}
		w = malloc(sizeof(*w));
		if (!w)
			return;
		wire__map_service__init(w);
		if (s) {
			w->name = strdup(s->name);
			w->shards = s->shards;
			if (s->key_source == DOC_KEY_NUMBER)
				w->key_numbers = DOC_KEY_NUMBERS;
			w->first_slot = next;
			next += s->shards;
		} else {
			w->name = strdup(c->map.services[i].name);
			w->shards = c->map.services[i].shards;
			w->first_slot = c->map.services[i].first_slot;
			w->key_numbers = c->map.services[i].key_numbers;
		}
		d->services[d->n_services++] = w;
	}
}

static void add_slots(struct coord *c, Wire__MapDelta *d)
{
	struct co_queue *q = &c->queue;

	if (!q->slot_count)
		return;
	d->slots = calloc(q->slot_count, sizeof(*d->slots));
	for (size_t i = 0; d->slots && i < q->slot_count; i++) {
		Wire__MapSlot *s = malloc(sizeof(*s));

		if (!s)
			return;
		wire__map_slot__init(s);
		s->slot = q->slots[i].slot;
		s->owner = q->slots[i].owner;
		s->fence = d->rev;
		if (c->slots[s->slot].handover[0])
			s->handover = strdup(c->slots[s->slot].handover);
		d->slots[d->n_slots++] = s;
	}
}

static void add_pins(struct coord *c, Wire__MapDelta *d)
{
	struct co_queue *q = &c->queue;

	if (!q->pin_count)
		return;
	d->pins = calloc(q->pin_count, sizeof(*d->pins));
	for (size_t i = 0; d->pins && i < q->pin_count; i++) {
		Wire__MapPin *p = malloc(sizeof(*p));

		if (!p)
			return;
		wire__map_pin__init(p);
		p->slot = q->pins[i].slot;
		p->service = strdup(q->pins[i].service);
		p->key = strdup(q->pins[i].key);
		p->removed = q->pins[i].removed;
		d->pins[d->n_pins++] = p;
	}
}

static int owns_slot_after_write(const struct coord *c, uint32_t id)
{
	/* A node can be lost while a slot is queued for it. */
	for (size_t i = 0; i < c->queue.slot_count; i++) {
		if (c->queue.slots[i].owner == id)
			return 1;
	}
	for (uint32_t s = 0; s < c->map.slot_count; s++) {
		if (c->map.slots[s].owner == id && !c->slots[s].changing)
			return 1;
	}
	return 0;
}

/* A lost or departed node is removed in the write that moves its last slot. */
void co_build_removals(struct coord *c)
{
	struct co_member *m, *tmp;

	HASH_ITER(hh, c->members, m, tmp) {
		struct own_peer *p = own_coord_find(&c->own, m->id);

		if ((!m->lost && !m->departed) || m->removing ||
		    m->join != CO_JOIN_DONE || owns_slot_after_write(c, m->id))
			continue;
		m->removing = 1;
		if (p)
			p->leaving = 1;
		c->queue.roster_due = 1;
		co_queue_cause(c, m->lost ? "lost" : "left", m->info->name);
	}
}

static void add_nodes(struct coord *c, Wire__MapDelta *d)
{
	unsigned count = HASH_COUNT(c->members);
	struct co_member *m, *tmp;

	d->nodes = calloc(count + 1, sizeof(*d->nodes));
	d->removed_nodes = calloc(count + 1, sizeof(*d->removed_nodes));
	if (!d->nodes || !d->removed_nodes)
		return;
	HASH_ITER(hh, c->members, m, tmp) {
		if (m->removing) {
			d->removed_nodes[d->n_removed_nodes++] = m->id;
			continue;
		}
		if (!m->dirty)
			continue;
		d->nodes[d->n_nodes] = wire_copy_node(m->info);
		d->n_nodes += d->nodes[d->n_nodes] != NULL;
		m->dirty = 0;
	}
}

int co_has_dirty_member(const struct coord *c)
{
	struct co_member *m, *tmp;

	HASH_ITER(hh, c->members, m, tmp) {
		if (m->dirty)
			return 1;
	}
	return 0;
}

void co_build_delta(struct coord *c)
{
	struct co_write *w = &c->write;
	struct co_queue *q = &c->queue;
	Wire__MapDelta *d = malloc(sizeof(*d));

	if (!d)
		return;
	wire__map_delta__init(d);
	d->term = c->record.term;
	d->base_rev = c->map.rev;
	d->rev = c->map.rev + 1;
	d->wall_ms = clk_wall_ms();
	d->cause = strdup(q->cause);
	d->attempt = strdup(w->attempt);
	if (q->services_due)
		add_services(c, d);
	add_slots(c, d);
	add_pins(c, d);
	add_nodes(c, d);
	w->delta = d;
	w->delta_len = wire__map_delta__get_packed_size(d);
	w->delta_bytes = malloc(w->delta_len);
	if (w->delta_bytes)
		wire__map_delta__pack(d, w->delta_bytes);
}

uint8_t *co_encode_roster(const struct coord *c, size_t *len)
{
	unsigned count = HASH_COUNT(c->members);
	Wire__RosterEntry *entries = calloc(count + 1, sizeof(*entries));
	Wire__RosterEntry **list = calloc(count + 1, sizeof(*list));
	Wire__Roster r = WIRE__ROSTER__INIT;
	struct co_member *m, *tmp;
	uint8_t *bytes;

	r.term = c->record.term;
	r.next_id = c->next_id;
	r.entries = list;
	HASH_ITER(hh, c->members, m, tmp) {
		const struct own_peer *p = own_coord_find(&c->own, m->id);
		Wire__RosterEntry *e;

		if (!entries || !list)
			break;
		if (m->removing)
			continue;
		e = &entries[r.n_entries];
		wire__roster_entry__init(e);
		e->node = m->info;
		e->maybe_held = p ? own_coord_hold_mark(&c->own, p) : 0;
		list[r.n_entries++] = e;
	}
	*len = wire__roster__get_packed_size(&r);
	bytes = malloc(*len ? *len : 1);
	if (bytes)
		wire__roster__pack(&r, bytes);
	free(entries);
	free(list);
	return bytes;
}

void co_build_roster(struct coord *c)
{
	struct co_member *m, *tmp;

	HASH_ITER(hh, c->members, m, tmp) {
		if (m->join == CO_JOIN_QUEUED)
			m->join = CO_JOIN_WRITING;
	}
	c->write.roster_bytes = co_encode_roster(c, &c->write.roster_len);
}
