#include "routing/map.h"
#include "protocol/wire.h"

#define XXH_INLINE_ALL
#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/*
 * Limits what a malformed delta can make a daemon allocate: 24 MB of struct
 * map_slot.
 */
#define MAP_MAX_SLOTS (1U << 20)
#define MAP_MAX_SHARDS 65536U

/*
 * The objects that a delta adds. They are allocated before the map is changed,
 * so that running out of memory leaves the map unchanged.
 */
struct prepared_delta {
	struct map_service *services;
	struct map_pin **pins; /* NULL where the delta removes a pin */
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

static uint64_t hash_service_name(const char *service)
{
	return XXH3_64bits(service, strlen(service));
}

uint64_t map_hash_key(const char *service, const char *key, size_t key_len)
{
	return XXH3_64bits(key, key_len) ^ hash_service_name(service);
}

/*
 * Finds a pin by its 64-bit hash without comparing the key. A key whose hash
 * collides with that of a pinned key shares its slot, and since that is so on
 * every node, the key still has one owner.
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

/* Node ids are small and dense, so the id serves as its own hash value. */
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

	/* Mostly the first characters differ, which saves the strcmp call. */
	for (size_t i = 0; i < m->service_count; i++, s++)
		if (s->name[0] == name[0] && strcmp(s->name, name) == 0)
			return s;
	return NULL;
}

/* A key that is no number, or is out of range, goes to the first shard. */
static uint32_t find_numeric_key_shard(const struct map_service *s,
				       const char *key)
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

	/* Both counts are powers of two, so the division is exact. */
	*first = (uint32_t)(shard * numbers / s->shards);
	*last = (uint32_t)((shard + 1) * numbers / s->shards - 1);
}

/* Inlines all calls: they would be a tenth of a look-up's 200 instructions. */
__attribute__((flatten)) uint32_t map_slot_of(const struct map *m,
					      const struct map_service *s,
					      const char *key, size_t key_len)
{
	const struct map_pin *p;
	uint64_t hash;

	if (s->key_numbers)
		return s->first_slot + find_numeric_key_shard(s, key);
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

const struct map_node *map_find_node_by_name(const struct map *m,
					     const char *name)
{
	struct map_node *n, *next;

	HASH_ITER(hh, m->nodes, n, next) {
		if (strcmp(n->info->name, name) == 0)
			return n;
	}
	return NULL;
}

static const struct map_service *
find_service_by_shard_slot(const struct map_service *services, size_t count,
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
		find_service_by_shard_slot(m->services, m->service_count, slot);
	const struct map_pin *p;

	if (s)
		return s->name;
	p = find_pin_by_slot(m, slot);
	return p ? p->service : NULL;
}

static int delta_removes_node(const Wire__MapDelta *d, uint32_t id)
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

static int has_duplicates_u32(uint32_t *v, size_t n)
{
	qsort(v, n, sizeof(*v), compare_u32);
	for (size_t i = 1; i < n; i++)
		if (v[i - 1] == v[i])
			return 1;
	return 0;
}

static int has_duplicates_u64(uint64_t *v, size_t n)
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

static int services_conflict(const Wire__MapService *a,
			     const Wire__MapService *b)
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
			if (services_conflict(d->services[i], d->services[j]))
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
		if (!ids[i] || !d->nodes[i]->name[0] ||
		    delta_removes_node(d, ids[i]))
			e = ERR_MALFORMED;
	}
	if (has_duplicates_u32(ids, d->n_nodes))
		e = ERR_MALFORMED;
	free(ids);
	return e;
}

/* ids holds the sorted ids of the delta's nodes. */
static int owner_is_known(const struct map *m, const Wire__MapDelta *d,
			  const uint32_t *ids, uint32_t owner)
{
	if (bsearch(&owner, ids, d->n_nodes, sizeof(*ids), compare_u32))
		return 1;
	return find_node(m, owner) && !delta_removes_node(d, owner);
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
	/*
	 * A snapshot is checked against a copy of the map that has only the
	 * fences, so the previous owner is not known.
	 */
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
	if (has_duplicates_u32(ids, d->n_slots))
		e = ERR_MALFORMED;
	free(ids);
	return e;
}

/* Returns 1 if the delta removes the pin or gives it another slot. */
static int delta_changes_pin(const Wire__MapDelta *d,
			     const struct prepared_delta *prep, uint64_t hash)
{
	for (size_t i = 0; i < d->n_pins; i++)
		if (prep->pin_hashes[i] == hash)
			return 1;
	return 0;
}

static int pin_is_valid(const struct map *m, const Wire__MapDelta *d,
			const struct prepared_delta *prep,
			const Wire__MapPin *p)
{
	const struct map_service *services = prep->services;
	size_t count = d->n_services;
	const struct map_pin *other;

	if (!services) {
		services = m->services;
		count = m->service_count;
	}
	if (p->slot >= MAP_MAX_SLOTS || !p->service[0] ||
	    find_service_by_shard_slot(services, count, p->slot))
		return 0;
	other = find_pin_by_slot(m, p->slot);
	return !other || delta_changes_pin(d, prep, other->hash);
}

/* Returns 1 if a service's new range covers the slot of an unchanged pin. */
static int pins_conflict_with_services(const struct map *m,
				       const Wire__MapDelta *d,
				       const struct prepared_delta *prep)
{
	struct map_pin *p, *next;

	if (!prep->services)
		return 0;
	HASH_ITER(hh, m->pins, p, next) {
		if (find_service_by_shard_slot(prep->services, d->n_services,
					       p->slot) &&
		    !delta_changes_pin(d, prep, p->hash))
			return 1;
	}
	return 0;
}

static enum err check_pins(const struct map *m, const Wire__MapDelta *d,
			   const struct prepared_delta *prep)
{
	uint32_t *slots = calloc(d->n_pins + 1, sizeof(*slots));
	uint64_t *hashes = calloc(d->n_pins + 1, sizeof(*hashes));
	enum err e = ERR_NOMEM;
	size_t n = 0;

	if (!slots || !hashes)
		goto out;
	e = pins_conflict_with_services(m, d, prep) ? ERR_MALFORMED : ERR_OK;
	for (size_t i = 0; i < d->n_pins; i++) {
		if (d->pins[i]->removed)
			continue;
		if (!pin_is_valid(m, d, prep, d->pins[i]))
			e = ERR_MALFORMED;
		slots[n] = d->pins[i]->slot;
		hashes[n++] = prep->pin_hashes[i];
	}
	if (has_duplicates_u32(slots, n) || has_duplicates_u64(hashes, n))
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

static enum err copy_services(struct prepared_delta *prep,
			      const Wire__MapDelta *d)
{
	if (!d->n_services)
		return ERR_OK;
	prep->services = calloc(d->n_services, sizeof(*prep->services));
	if (!prep->services)
		return ERR_NOMEM;
	for (size_t i = 0; i < d->n_services; i++) {
		struct map_service *s = &prep->services[i];

		memcpy(s->name, d->services[i]->name,
		       strlen(d->services[i]->name) + 1);
		s->seed = hash_service_name(s->name);
		s->shards = d->services[i]->shards;
		s->first_slot = d->services[i]->first_slot;
		s->key_numbers = d->services[i]->key_numbers;
	}
	return ERR_OK;
}

static enum err hash_pins(struct prepared_delta *prep, const Wire__MapDelta *d)
{
	prep->pin_hashes = calloc(d->n_pins + 1, sizeof(*prep->pin_hashes));
	if (!prep->pin_hashes)
		return ERR_NOMEM;
	for (size_t i = 0; i < d->n_pins; i++)
		prep->pin_hashes[i] =
			map_hash_key(d->pins[i]->service, d->pins[i]->key,
				     strlen(d->pins[i]->key));
	return ERR_OK;
}

static enum err copy_pins_and_nodes(struct prepared_delta *prep,
				    const Wire__MapDelta *d)
{
	prep->pins = calloc(d->n_pins + 1, sizeof(struct map_pin *));
	prep->nodes = calloc(d->n_nodes + 1, sizeof(struct map_node *));
	if (!prep->pins || !prep->nodes)
		return ERR_NOMEM;
	for (size_t i = 0; i < d->n_pins; i++) {
		if (d->pins[i]->removed)
			continue;
		prep->pins[i] = copy_pin(d->pins[i], prep->pin_hashes[i]);
		if (!prep->pins[i])
			return ERR_NOMEM;
	}
	for (size_t i = 0; i < d->n_nodes; i++) {
		prep->nodes[i] = copy_node(d->nodes[i]);
		if (!prep->nodes[i])
			return ERR_NOMEM;
	}
	return ERR_OK;
}

static void require_slots(struct prepared_delta *prep, size_t end)
{
	if (end > prep->slots_needed)
		prep->slots_needed = end;
}

static enum err grow_slots(struct map *m, struct prepared_delta *prep,
			   const Wire__MapDelta *d)
{
	struct map_slot *slots;

	prep->slots_needed = m->slot_count;
	for (size_t i = 0; i < d->n_services; i++)
		require_slots(prep, d->services[i]->first_slot +
					    d->services[i]->shards);
	for (size_t i = 0; i < d->n_pins; i++)
		if (!d->pins[i]->removed)
			require_slots(prep, (size_t)d->pins[i]->slot + 1);
	for (size_t i = 0; i < d->n_slots; i++)
		require_slots(prep, (size_t)d->slots[i]->slot + 1);
	if (prep->slots_needed == m->slot_count)
		return ERR_OK;
	slots = realloc(m->slots, prep->slots_needed * sizeof(*slots));
	if (!slots)
		return ERR_NOMEM;
	memset(slots + m->slot_count, 0,
	       (prep->slots_needed - m->slot_count) * sizeof(*slots));
	m->slots = slots;
	return ERR_OK;
}

static enum err prepare_delta(struct map *m, const Wire__MapDelta *d,
			      struct prepared_delta *prep)
{
	enum err e = check_services(d);

	if (e == ERR_OK)
		e = copy_services(prep, d);
	if (e == ERR_OK)
		e = hash_pins(prep, d);
	if (e == ERR_OK)
		e = check_pins(m, d, prep);
	if (e == ERR_OK)
		e = check_nodes(d);
	if (e == ERR_OK)
		e = check_slots(m, d);
	if (e == ERR_OK)
		e = copy_pins_and_nodes(prep, d);
	if (e == ERR_OK)
		e = grow_slots(m, prep, d);
	return e;
}

static void prepared_delta_finish(struct prepared_delta *prep,
				  const Wire__MapDelta *d)
{
	for (size_t i = 0; prep->pins && i < d->n_pins; i++)
		free_pin(prep->pins[i]);
	for (size_t i = 0; prep->nodes && i < d->n_nodes; i++)
		free_node(prep->nodes[i]);
	free(prep->pins);
	free(prep->pin_hashes);
	free(prep->nodes);
	free(prep->services);
}

/*
 * Removes all old pins before it adds new ones, since one delta may pass a slot
 * from one pin to another.
 */
static void commit_pins(struct map *m, const Wire__MapDelta *d,
			struct prepared_delta *prep)
{
	for (size_t i = 0; i < d->n_pins; i++) {
		struct map_pin *old = find_pin(m, prep->pin_hashes[i]);

		if (old)
			remove_pin(m, old);
	}
	for (size_t i = 0; i < d->n_pins; i++) {
		struct map_pin *p = prep->pins[i];

		if (!p)
			continue;
		HASH_ADD_BYHASHVALUE(hh, m->pins, hash, sizeof(p->hash),
				     (unsigned)p->hash, p);
		HASH_ADD(by_slot, m->pins_by_slot, slot, sizeof(p->slot), p);
		prep->pins[i] = NULL;
	}
}

static void remove_node(struct map *m, uint32_t id)
{
	struct map_node *n = find_node(m, id);

	if (!n)
		return;
	assert(m->nodes);
	HASH_DEL(m->nodes, n);
	free_node(n);
}

static void commit_nodes(struct map *m, const Wire__MapDelta *d,
			 struct prepared_delta *prep)
{
	for (size_t i = 0; i < d->n_removed_nodes; i++)
		remove_node(m, d->removed_nodes[i]);
	for (size_t i = 0; i < d->n_nodes; i++) {
		struct map_node *n = prep->nodes[i];

		remove_node(m, n->id);
		HASH_ADD_BYHASHVALUE(hh, m->nodes, id, sizeof(n->id), n->id, n);
		prep->nodes[i] = NULL;
	}
}

/*
 * If memory runs out, the slot gets no handover token and the new owner's
 * target starts cold with its keys, which is slow but safe.
 */
static void set_handover(struct map_slot *s, const char *handover)
{
	free(s->handover);
	s->handover = handover && *handover ? strdup(handover) : NULL;
}

static void commit_delta(struct map *m, const Wire__MapDelta *d,
			 struct prepared_delta *prep)
{
	m->slot_count = prep->slots_needed;
	if (prep->services) {
		free(m->services);
		m->services = prep->services;
		m->service_count = d->n_services;
		prep->services = NULL;
	}
	commit_pins(m, d, prep);
	commit_nodes(m, d, prep);
	for (size_t i = 0; i < d->n_slots; i++) {
		struct map_slot *s = &m->slots[d->slots[i]->slot];

		s->owner = d->slots[i]->owner;
		s->fence = d->slots[i]->fence;
		set_handover(s, d->slots[i]->handover);
	}
	m->rev = d->rev;
	m->term = d->term;
}

static enum err check_and_commit(struct map *m, const Wire__MapDelta *d)
{
	struct prepared_delta prep = { 0 };
	enum err e = prepare_delta(m, d, &prep);

	if (e == ERR_OK)
		commit_delta(m, d, &prep);
	prepared_delta_finish(&prep, d);
	return e;
}

/* Keeps the fences, so that a snapshot cannot lower one by omitting a slot. */
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

static enum err apply_snapshot(struct map *m, const Wire__MapDelta *d)
{
	struct map fresh;
	enum err e;

	map_init(&fresh);
	e = copy_fences(&fresh, m);
	if (e == ERR_OK)
		e = check_and_commit(&fresh, d);
	if (e != ERR_OK) {
		map_finish(&fresh);
		return e;
	}
	map_finish(m);
	*m = fresh;
	return ERR_OK;
}

int map_is_gain(const struct map *m, const Wire__MapSlot *entry, uint32_t node)
{
	const struct map_slot *s;

	if (!node || entry->owner != node)
		return 0;
	if (entry->slot >= m->slot_count)
		return 1;
	s = &m->slots[entry->slot];
	return s->owner != node || s->fence != entry->fence;
}

enum err map_apply(struct map *m, const Wire__MapDelta *d)
{
	if (d->term < m->term)
		return ERR_STALE;
	if (d->base_rev == 0)
		return d->rev < m->rev ? ERR_STALE : apply_snapshot(m, d);
	if (d->base_rev != m->rev)
		return ERR_STALE;
	if (d->rev <= d->base_rev)
		return ERR_MALFORMED;
	return check_and_commit(m, d);
}

enum err map_check(struct map *m, const Wire__MapDelta *d)
{
	struct prepared_delta prep = { 0 };
	enum err e = ERR_STALE;

	if (d->term >= m->term && d->base_rev == m->rev)
		e = prepare_delta(m, d, &prep);
	prepared_delta_finish(&prep, d);
	return e;
}

/*
 * Allocates the pointer array of a repeated field, NULL if n is 0. protobuf-c
 * frees it with the message.
 */
static void *alloc_pointers(size_t n)
{
	return n ? calloc(n, sizeof(void *)) : NULL;
}

static int snapshot_services(const struct map *m, Wire__MapDelta *d)
{
	d->services = alloc_pointers(m->service_count);
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
	d->slots = alloc_pointers(used);
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

	d->pins = alloc_pointers(HASH_CNT(hh, m->pins));
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

	d->nodes = alloc_pointers(HASH_COUNT(m->nodes));
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
