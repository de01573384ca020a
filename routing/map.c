#include "routing/map.h"
#include "protocol/wire.h"

#define XXH_INLINE_ALL
#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* 16 MB of slots; bounds what a malformed delta can make a daemon allocate. */
#define MAP_MAX_SLOTS (1U << 20)
#define MAP_MAX_SHARDS 65536U

/* What a delta adds, allocated before the map is changed. */
struct change {
	struct map_service *services;
	struct map_pin **pins; /* NULL where the delta removes one */
	uint64_t *pin_hashes;
	struct map_node **nodes;
	size_t slots_needed;
};

void map_init(struct map *m)
{
	memset(m, 0, sizeof(*m));
}

static void free_pin(struct map_pin *p)
{
	if (!p)
		return;
	free(p->service);
	free(p->key);
	free(p);
}

static void free_node(struct map_node *n)
{
	if (!n)
		return;
	if (n->info)
		wire__node__free_unpacked(n->info, NULL);
	free(n);
}

static void remove_pin(struct map *m, struct map_pin *p)
{
	assert(m->pins && m->pins_by_slot);
	HASH_DELETE(hh, m->pins, p);
	HASH_DELETE(by_slot, m->pins_by_slot, p);
	free_pin(p);
}

void map_finish(struct map *m)
{
	struct map_pin *p, *next_pin;
	struct map_node *n, *next_node;

	HASH_ITER(hh, m->pins, p, next_pin) {
		remove_pin(m, p);
	}
	HASH_ITER(hh, m->nodes, n, next_node) {
		HASH_DEL(m->nodes, n);
		free_node(n);
	}
	for (size_t i = 0; i < m->slot_count; i++)
		free(m->slots[i].handover);
	free(m->services);
	free(m->slots);
	map_init(m);
}

static uint64_t service_seed(const char *service)
{
	return XXH3_64bits(service, strlen(service));
}

uint64_t map_hash_key(const char *service, const char *key, size_t key_len)
{
	return XXH3_64bits(key, key_len) ^ service_seed(service);
}

/*
 * Pins are found by the 64 bits of their hash alone. A key with the hash of a
 * pinned key shares its slot, on every node alike, so it has one owner.
 */
static struct map_pin *find_pin(const struct map *m, uint64_t hash)
{
	struct map_pin *p;

	HASH_FIND_BYHASHVALUE(hh, m->pins, &hash, sizeof(hash), (unsigned)hash,
			      p);
	return p;
}

static struct map_pin *find_pin_by_slot(const struct map *m, uint32_t slot)
{
	struct map_pin *p;

	HASH_FIND(by_slot, m->pins_by_slot, &slot, sizeof(slot), p);
	return p;
}

const struct map_pin *map_find_pin(const struct map *m, uint64_t hash)
{
	return find_pin(m, hash);
}

/* Node ids are small and dense: the id is its own hash. */
static struct map_node *find_node(const struct map *m, uint32_t id)
{
	struct map_node *n;

	HASH_FIND_BYHASHVALUE(hh, m->nodes, &id, sizeof(id), id, n);
	return n;
}

const struct map_service *map_find_service(const struct map *m,
					   const char *name)
{
	const struct map_service *s = m->services;

	/* The first characters mostly differ, which saves the call. */
	for (size_t i = 0; i < m->service_count; i++, s++)
		if (s->name[0] == name[0] && strcmp(s->name, name) == 0)
			return s;
	return NULL;
}

/* A text that is no number of the service has no shard: the first one. */
static uint32_t numbered_shard(const struct map_service *s, const char *key)
{
	unsigned long n = strtoul(key, NULL, 10);

	if (n >= s->key_numbers)
		return 0;
	return (uint32_t)((uint64_t)n * s->shards / s->key_numbers);
}

void map_slot_key_range(const struct map_service *s, uint32_t slot,
			uint32_t *first, uint32_t *last)
{
	uint64_t shard = slot - s->first_slot;
	uint64_t numbers = s->key_numbers;

	/* Both are powers of two, so that no number is lost in rounding. */
	*first = (uint32_t)(shard * numbers / s->shards);
	*last = (uint32_t)((shard + 1) * numbers / s->shards - 1);
}

/* Flattened: the calls cost a tenth of a look-up's 200 instructions. */
__attribute__((flatten)) uint32_t map_slot_of(const struct map *m,
					      const struct map_service *s,
					      const char *key, size_t key_len)
{
	const struct map_pin *p;
	uint64_t hash;

	if (s->key_numbers)
		return s->first_slot + numbered_shard(s, key);
	hash = XXH3_64bits(key, key_len) ^ s->seed;
	p = find_pin(m, hash);
	if (p)
		return p->slot;
	return s->first_slot + (uint32_t)(hash & (s->shards - 1));
}

const struct map_node *map_find_node(const struct map *m, uint32_t id)
{
	return find_node(m, id);
}

const struct map_node *map_find_node_name(const struct map *m, const char *name)
{
	struct map_node *n, *next;

	HASH_ITER(hh, m->nodes, n, next) {
		if (strcmp(n->info->name, name) == 0)
			return n;
	}
	return NULL;
}

static const struct map_service *
service_with_shard(const struct map_service *services, size_t count,
		   uint32_t slot)
{
	for (size_t i = 0; i < count; i++)
		if (slot - services[i].first_slot < services[i].shards)
			return &services[i];
	return NULL;
}

const char *map_service_of_slot(const struct map *m, uint32_t slot)
{
	const struct map_service *s =
		service_with_shard(m->services, m->service_count, slot);
	const struct map_pin *p;

	if (s)
		return s->name;
	p = find_pin_by_slot(m, slot);
	return p ? p->service : NULL;
}

static int removes_node(const Wire__MapDelta *d, uint32_t id)
{
	for (size_t i = 0; i < d->n_removed_nodes; i++)
		if (d->removed_nodes[i] == id)
			return 1;
	return 0;
}

static int compare_u32(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

static int compare_u64(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

static int has_twins_u32(uint32_t *v, size_t n)
{
	qsort(v, n, sizeof(*v), compare_u32);
	for (size_t i = 1; i < n; i++)
		if (v[i - 1] == v[i])
			return 1;
	return 0;
}

static int has_twins_u64(uint64_t *v, size_t n)
{
	qsort(v, n, sizeof(*v), compare_u64);
	for (size_t i = 1; i < n; i++)
		if (v[i - 1] == v[i])
			return 1;
	return 0;
}

static int service_is_valid(const Wire__MapService *s)
{
	size_t len = strlen(s->name);

	return len > 0 && len < sizeof(((struct map_service *)0)->name) &&
	       s->shards >= 1 && s->shards <= MAP_MAX_SHARDS &&
	       (s->shards & (s->shards - 1)) == 0 &&
	       (s->key_numbers & (s->key_numbers - 1)) == 0 &&
	       (!s->key_numbers || s->key_numbers >= s->shards) &&
	       s->first_slot <= MAP_MAX_SLOTS - s->shards;
}

static int services_clash(const Wire__MapService *a, const Wire__MapService *b)
{
	return strcmp(a->name, b->name) == 0 ||
	       (a->first_slot < b->first_slot + b->shards &&
		b->first_slot < a->first_slot + a->shards);
}

static enum err check_services(const Wire__MapDelta *d)
{
	for (size_t i = 0; i < d->n_services; i++) {
		if (!service_is_valid(d->services[i]))
			return ERR_MALFORMED;
		for (size_t j = 0; j < i; j++)
			if (services_clash(d->services[i], d->services[j]))
				return ERR_MALFORMED;
	}
	return ERR_OK;
}

static enum err check_nodes(const Wire__MapDelta *d)
{
	uint32_t *ids = calloc(d->n_nodes + 1, sizeof(*ids));
	enum err e = ERR_OK;

	if (!ids)
		return ERR_NOMEM;
	for (size_t i = 0; i < d->n_nodes; i++) {
		ids[i] = d->nodes[i]->id;
		if (!ids[i] || !d->nodes[i]->name[0] || removes_node(d, ids[i]))
			e = ERR_MALFORMED;
	}
	if (has_twins_u32(ids, d->n_nodes))
		e = ERR_MALFORMED;
	free(ids);
	return e;
}

/* ids: sorted ids of the delta's nodes. */
static int owner_is_known(const struct map *m, const Wire__MapDelta *d,
			  const uint32_t *ids, uint32_t owner)
{
	if (bsearch(&owner, ids, d->n_nodes, sizeof(*ids), compare_u32))
		return 1;
	return find_node(m, owner) && !removes_node(d, owner);
}

static int slot_is_valid(const struct map *m, const Wire__MapDelta *d,
			 const Wire__MapSlot *s)
{
	struct map_slot now = { 0 };

	if (s->slot >= MAP_MAX_SLOTS || s->fence > d->rev)
		return 0;
	if (s->slot < m->slot_count)
		now = m->slots[s->slot];
	if (s->fence < now.fence)
		return 0;
	/* In a whole map the owner is not known here, only the fence. */
	if (d->base_rev == 0 || s->owner == 0 || s->owner == now.owner)
		return 1;
	return s->fence > now.fence;
}

static enum err check_slots(const struct map *m, const Wire__MapDelta *d)
{
	size_t room = d->n_nodes > d->n_slots ? d->n_nodes : d->n_slots;
	uint32_t *ids = calloc(room + 1, sizeof(*ids));
	enum err e = ERR_OK;

	if (!ids)
		return ERR_NOMEM;
	for (size_t i = 0; i < d->n_nodes; i++)
		ids[i] = d->nodes[i]->id;
	qsort(ids, d->n_nodes, sizeof(*ids), compare_u32);
	for (size_t i = 0; i < d->n_slots; i++) {
		const Wire__MapSlot *s = d->slots[i];

		if (!slot_is_valid(m, d, s) ||
		    (s->owner && !owner_is_known(m, d, ids, s->owner)))
			e = ERR_MALFORMED;
	}
	for (size_t i = 0; i < d->n_slots; i++)
		ids[i] = d->slots[i]->slot;
	if (has_twins_u32(ids, d->n_slots))
		e = ERR_MALFORMED;
	free(ids);
	return e;
}

/* Does the delta remove the pin, or give it another slot? */
static int frees_pin(const Wire__MapDelta *d, const struct change *ch,
		     uint64_t hash)
{
	for (size_t i = 0; i < d->n_pins; i++)
		if (ch->pin_hashes[i] == hash)
			return 1;
	return 0;
}

static int pin_is_valid(const struct map *m, const Wire__MapDelta *d,
			const struct change *ch, const Wire__MapPin *p)
{
	const struct map_service *services = ch->services;
	size_t count = d->n_services;
	const struct map_pin *other;

	if (!services) {
		services = m->services;
		count = m->service_count;
	}
	if (p->slot >= MAP_MAX_SLOTS || !p->service[0] ||
	    service_with_shard(services, count, p->slot))
		return 0;
	other = find_pin_by_slot(m, p->slot);
	return !other || frees_pin(d, ch, other->hash);
}

/* A service's new range must not cover the slot of a pin that stays. */
static int pins_clash(const struct map *m, const Wire__MapDelta *d,
		      const struct change *ch)
{
	struct map_pin *p, *next;

	if (!ch->services)
		return 0;
	HASH_ITER(hh, m->pins, p, next) {
		if (service_with_shard(ch->services, d->n_services, p->slot) &&
		    !frees_pin(d, ch, p->hash))
			return 1;
	}
	return 0;
}

static enum err check_pins(const struct map *m, const Wire__MapDelta *d,
			   const struct change *ch)
{
	uint32_t *slots = calloc(d->n_pins + 1, sizeof(*slots));
	uint64_t *hashes = calloc(d->n_pins + 1, sizeof(*hashes));
	enum err e = ERR_NOMEM;
	size_t n = 0;

	if (!slots || !hashes)
		goto out;
	e = pins_clash(m, d, ch) ? ERR_MALFORMED : ERR_OK;
	for (size_t i = 0; i < d->n_pins; i++) {
		if (d->pins[i]->removed)
			continue;
		if (!pin_is_valid(m, d, ch, d->pins[i]))
			e = ERR_MALFORMED;
		slots[n] = d->pins[i]->slot;
		hashes[n++] = ch->pin_hashes[i];
	}
	if (has_twins_u32(slots, n) || has_twins_u64(hashes, n))
		e = ERR_MALFORMED;
out:
	free(slots);
	free(hashes);
	return e;
}

static struct map_pin *copy_pin(const Wire__MapPin *from, uint64_t hash)
{
	struct map_pin *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->hash = hash;
	p->slot = from->slot;
	p->service = strdup(from->service);
	p->key = strdup(from->key);
	if (p->service && p->key)
		return p;
	free_pin(p);
	return NULL;
}

static struct map_node *copy_node(const Wire__Node *from)
{
	struct map_node *n = calloc(1, sizeof(*n));

	if (!n)
		return NULL;
	n->id = from->id;
	n->info = wire_copy_node(from);
	if (n->info)
		return n;
	free_node(n);
	return NULL;
}

static enum err copy_services(struct change *ch, const Wire__MapDelta *d)
{
	if (!d->n_services)
		return ERR_OK;
	ch->services = calloc(d->n_services, sizeof(*ch->services));
	if (!ch->services)
		return ERR_NOMEM;
	for (size_t i = 0; i < d->n_services; i++) {
		struct map_service *s = &ch->services[i];

		memcpy(s->name, d->services[i]->name,
		       strlen(d->services[i]->name) + 1);
		s->seed = service_seed(s->name);
		s->shards = d->services[i]->shards;
		s->first_slot = d->services[i]->first_slot;
		s->key_numbers = d->services[i]->key_numbers;
	}
	return ERR_OK;
}

static enum err hash_pins(struct change *ch, const Wire__MapDelta *d)
{
	ch->pin_hashes = calloc(d->n_pins + 1, sizeof(*ch->pin_hashes));
	if (!ch->pin_hashes)
		return ERR_NOMEM;
	for (size_t i = 0; i < d->n_pins; i++)
		ch->pin_hashes[i] =
			map_hash_key(d->pins[i]->service, d->pins[i]->key,
				     strlen(d->pins[i]->key));
	return ERR_OK;
}

static enum err copy_pins_and_nodes(struct change *ch, const Wire__MapDelta *d)
{
	ch->pins = calloc(d->n_pins + 1, sizeof(struct map_pin *));
	ch->nodes = calloc(d->n_nodes + 1, sizeof(struct map_node *));
	if (!ch->pins || !ch->nodes)
		return ERR_NOMEM;
	for (size_t i = 0; i < d->n_pins; i++) {
		if (d->pins[i]->removed)
			continue;
		ch->pins[i] = copy_pin(d->pins[i], ch->pin_hashes[i]);
		if (!ch->pins[i])
			return ERR_NOMEM;
	}
	for (size_t i = 0; i < d->n_nodes; i++) {
		ch->nodes[i] = copy_node(d->nodes[i]);
		if (!ch->nodes[i])
			return ERR_NOMEM;
	}
	return ERR_OK;
}

static void need_slot(struct change *ch, size_t end)
{
	if (end > ch->slots_needed)
		ch->slots_needed = end;
}

static enum err grow_slots(struct map *m, struct change *ch,
			   const Wire__MapDelta *d)
{
	struct map_slot *slots;

	ch->slots_needed = m->slot_count;
	for (size_t i = 0; i < d->n_services; i++)
		need_slot(ch,
			  d->services[i]->first_slot + d->services[i]->shards);
	for (size_t i = 0; i < d->n_pins; i++)
		if (!d->pins[i]->removed)
			need_slot(ch, (size_t)d->pins[i]->slot + 1);
	for (size_t i = 0; i < d->n_slots; i++)
		need_slot(ch, (size_t)d->slots[i]->slot + 1);
	if (ch->slots_needed == m->slot_count)
		return ERR_OK;
	slots = realloc(m->slots, ch->slots_needed * sizeof(*slots));
	if (!slots)
		return ERR_NOMEM;
	memset(slots + m->slot_count, 0,
	       (ch->slots_needed - m->slot_count) * sizeof(*slots));
	m->slots = slots;
	return ERR_OK;
}

static enum err prepare(struct map *m, const Wire__MapDelta *d,
			struct change *ch)
{
	enum err e = check_services(d);

	if (e == ERR_OK)
		e = copy_services(ch, d);
	if (e == ERR_OK)
		e = hash_pins(ch, d);
	if (e == ERR_OK)
		e = check_pins(m, d, ch);
	if (e == ERR_OK)
		e = check_nodes(d);
	if (e == ERR_OK)
		e = check_slots(m, d);
	if (e == ERR_OK)
		e = copy_pins_and_nodes(ch, d);
	if (e == ERR_OK)
		e = grow_slots(m, ch, d);
	return e;
}

static void change_finish(struct change *ch, const Wire__MapDelta *d)
{
	for (size_t i = 0; ch->pins && i < d->n_pins; i++)
		free_pin(ch->pins[i]);
	for (size_t i = 0; ch->nodes && i < d->n_nodes; i++)
		free_node(ch->nodes[i]);
	free(ch->pins);
	free(ch->pin_hashes);
	free(ch->nodes);
	free(ch->services);
}

/* Old places first: a slot may pass from one pin to another in one delta. */
static void commit_pins(struct map *m, const Wire__MapDelta *d,
			struct change *ch)
{
	for (size_t i = 0; i < d->n_pins; i++) {
		struct map_pin *old = find_pin(m, ch->pin_hashes[i]);

		if (old)
			remove_pin(m, old);
	}
	for (size_t i = 0; i < d->n_pins; i++) {
		struct map_pin *p = ch->pins[i];

		if (!p)
			continue;
		HASH_ADD_BYHASHVALUE(hh, m->pins, hash, sizeof(p->hash),
				     (unsigned)p->hash, p);
		HASH_ADD(by_slot, m->pins_by_slot, slot, sizeof(p->slot), p);
		ch->pins[i] = NULL;
	}
}

static void drop_node(struct map *m, uint32_t id)
{
	struct map_node *n = find_node(m, id);

	if (!n)
		return;
	assert(m->nodes);
	HASH_DEL(m->nodes, n);
	free_node(n);
}

static void commit_nodes(struct map *m, const Wire__MapDelta *d,
			 struct change *ch)
{
	for (size_t i = 0; i < d->n_removed_nodes; i++)
		drop_node(m, d->removed_nodes[i]);
	for (size_t i = 0; i < d->n_nodes; i++) {
		struct map_node *n = ch->nodes[i];

		drop_node(m, n->id);
		HASH_ADD_BYHASHVALUE(hh, m->nodes, id, sizeof(n->id), n->id, n);
		ch->nodes[i] = NULL;
	}
}

/* Without memory the keys arrive cold, which is slow and safe. */
static void set_handover(struct map_slot *s, const char *handover)
{
	free(s->handover);
	s->handover = handover && *handover ? strdup(handover) : NULL;
}

static void commit(struct map *m, const Wire__MapDelta *d, struct change *ch)
{
	m->slot_count = ch->slots_needed;
	if (ch->services) {
		free(m->services);
		m->services = ch->services;
		m->service_count = d->n_services;
		ch->services = NULL;
	}
	commit_pins(m, d, ch);
	commit_nodes(m, d, ch);
	for (size_t i = 0; i < d->n_slots; i++) {
		struct map_slot *s = &m->slots[d->slots[i]->slot];

		s->owner = d->slots[i]->owner;
		s->fence = d->slots[i]->fence;
		set_handover(s, d->slots[i]->handover);
	}
	m->rev = d->rev;
	m->term = d->term;
}

static enum err apply_checked(struct map *m, const Wire__MapDelta *d)
{
	struct change ch = { 0 };
	enum err e = prepare(m, d, &ch);

	if (e == ERR_OK)
		commit(m, d, &ch);
	change_finish(&ch, d);
	return e;
}

/* Fences outlive the slots' owners, so a whole map cannot lower one. */
static enum err copy_fences(struct map *to, const struct map *from)
{
	if (!from->slot_count)
		return ERR_OK;
	to->slots = calloc(from->slot_count, sizeof(*to->slots));
	if (!to->slots)
		return ERR_NOMEM;
	to->slot_count = from->slot_count;
	for (size_t i = 0; i < from->slot_count; i++)
		to->slots[i].fence = from->slots[i].fence;
	return ERR_OK;
}

static enum err apply_whole(struct map *m, const Wire__MapDelta *d)
{
	struct map fresh;
	enum err e;

	map_init(&fresh);
	e = copy_fences(&fresh, m);
	if (e == ERR_OK)
		e = apply_checked(&fresh, d);
	if (e != ERR_OK) {
		map_finish(&fresh);
		return e;
	}
	map_finish(m);
	*m = fresh;
	return ERR_OK;
}

enum err map_apply(struct map *m, const Wire__MapDelta *d)
{
	if (d->term < m->term)
		return ERR_STALE;
	if (d->base_rev == 0)
		return d->rev < m->rev ? ERR_STALE : apply_whole(m, d);
	if (d->base_rev != m->rev)
		return ERR_STALE;
	if (d->rev <= d->base_rev)
		return ERR_MALFORMED;
	return apply_checked(m, d);
}

enum err map_check(struct map *m, const Wire__MapDelta *d)
{
	struct change ch = { 0 };
	enum err e = ERR_STALE;

	if (d->term >= m->term && d->base_rev == m->rev)
		e = prepare(m, d, &ch);
	change_finish(&ch, d);
	return e;
}

/* Memory of a message and of its list of pointers, freed by protobuf-c. */
static void *list_new(size_t n)
{
	return n ? calloc(n, sizeof(void *)) : NULL;
}

static int snapshot_services(const struct map *m, Wire__MapDelta *d)
{
	d->services = list_new(m->service_count);
	for (size_t i = 0; d->services && i < m->service_count; i++) {
		Wire__MapService *s = malloc(sizeof(*s));

		if (!s)
			return -1;
		wire__map_service__init(s);
		d->services[d->n_services++] = s;
		s->name = strdup(m->services[i].name);
		s->shards = m->services[i].shards;
		s->first_slot = m->services[i].first_slot;
		s->key_numbers = m->services[i].key_numbers;
	}
	return d->n_services == m->service_count ? 0 : -1;
}

static int snapshot_slots(const struct map *m, Wire__MapDelta *d)
{
	size_t used = 0;

	for (size_t i = 0; i < m->slot_count; i++)
		used += m->slots[i].fence || m->slots[i].owner;
	d->slots = list_new(used);
	for (size_t i = 0; d->slots && i < m->slot_count; i++) {
		Wire__MapSlot *s;

		if (!m->slots[i].fence && !m->slots[i].owner)
			continue;
		s = malloc(sizeof(*s));
		if (!s)
			return -1;
		wire__map_slot__init(s);
		d->slots[d->n_slots++] = s;
		s->slot = (uint32_t)i;
		s->owner = m->slots[i].owner;
		s->fence = m->slots[i].fence;
		if (m->slots[i].handover)
			s->handover = strdup(m->slots[i].handover);
	}
	return d->n_slots == used ? 0 : -1;
}

static int snapshot_pins(const struct map *m, Wire__MapDelta *d)
{
	struct map_pin *from, *next;

	d->pins = list_new(HASH_CNT(hh, m->pins));
	HASH_ITER(hh, m->pins, from, next) {
		Wire__MapPin *p = malloc(sizeof(*p));

		if (!p || !d->pins) {
			free(p);
			return -1;
		}
		wire__map_pin__init(p);
		d->pins[d->n_pins++] = p;
		p->slot = from->slot;
		p->service = strdup(from->service);
		p->key = strdup(from->key);
	}
	return 0;
}

static int snapshot_nodes(const struct map *m, Wire__MapDelta *d)
{
	struct map_node *from, *next;

	d->nodes = list_new(HASH_COUNT(m->nodes));
	HASH_ITER(hh, m->nodes, from, next) {
		Wire__Node *n = d->nodes ? wire_copy_node(from->info) : NULL;

		if (!n)
			return -1;
		d->nodes[d->n_nodes++] = n;
	}
	return 0;
}

Wire__MapDelta *map_snapshot(const struct map *m)
{
	Wire__MapDelta *d = malloc(sizeof(*d));

	if (!d)
		return NULL;
	wire__map_delta__init(d);
	d->term = m->term;
	d->rev = m->rev;
	if (snapshot_services(m, d) == 0 && snapshot_slots(m, d) == 0 &&
	    snapshot_pins(m, d) == 0 && snapshot_nodes(m, d) == 0)
		return d;
	map_delta_free(d);
	return NULL;
}

void map_delta_free(Wire__MapDelta *d)
{
	if (d)
		wire__map_delta__free_unpacked(d, NULL);
}
