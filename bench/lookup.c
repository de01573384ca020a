#include "routing/map.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Looks up the owners of keys in a map of the design size. bench/run.sh counts
 * the instructions with callgrind: the difference between two runs is the cost
 * of the look-ups alone. Argument: the number of look-ups.
 */

#define NODES 5200
#define SHARDS 65536
#define PINS 82
#define KEYS 4096

static void add_nodes(Wire__MapDelta *d)
{
	uint32_t i;

	d->n_nodes = NODES;
	d->nodes = g_new0(Wire__Node *, NODES);
	for (i = 0; i < NODES; i++) {
		d->nodes[i] = g_new0(Wire__Node, 1);
		wire__node__init(d->nodes[i]);
		d->nodes[i]->id = i + 1;
		d->nodes[i]->name = g_strdup_printf("n%04u", i + 1);
	}
}

static void add_slots(Wire__MapDelta *d)
{
	uint32_t i;

	d->n_slots = SHARDS + PINS;
	d->slots = g_new0(Wire__MapSlot *, d->n_slots);
	for (i = 0; i < d->n_slots; i++) {
		d->slots[i] = g_new0(Wire__MapSlot, 1);
		wire__map_slot__init(d->slots[i]);
		d->slots[i]->slot = i;
		d->slots[i]->owner = i % NODES + 1;
		d->slots[i]->fence = 1;
	}
}

static void add_pins(Wire__MapDelta *d, char **keys)
{
	uint32_t i;

	d->n_pins = PINS;
	d->pins = g_new0(Wire__MapPin *, PINS);
	for (i = 0; i < PINS; i++) {
		d->pins[i] = g_new0(Wire__MapPin, 1);
		wire__map_pin__init(d->pins[i]);
		d->pins[i]->slot = SHARDS + i;
		d->pins[i]->service = g_strdup("kiln");
		d->pins[i]->key = g_strdup(keys[i]);
	}
}

/* Fills the map. The delta is not freed, as the process ends soon. */
static void fill_map(struct map *m, char **keys)
{
	Wire__MapDelta *d = g_new0(Wire__MapDelta, 1);

	wire__map_delta__init(d);
	d->rev = 1;
	d->term = 1;
	d->n_services = 1;
	d->services = g_new0(Wire__MapService *, 1);
	d->services[0] = g_new0(Wire__MapService, 1);
	wire__map_service__init(d->services[0]);
	d->services[0]->name = g_strdup("kiln");
	d->services[0]->shards = SHARDS;
	add_nodes(d);
	add_slots(d);
	add_pins(d, keys);
	if (map_apply(m, d) != ERR_OK) {
		fprintf(stderr, "map_apply failed\n");
		exit(2);
	}
}

int main(int argc, char **argv)
{
	static char *keys[KEYS];
	size_t len[KEYS];
	const struct map_service *s;
	uint64_t sum = 0;
	struct map m;
	long count = argc > 1 ? strtol(argv[1], NULL, 10) : 0;
	long i;

	for (i = 0; i < KEYS; i++) {
		keys[i] = g_strdup_printf("barge-slot-%ld", i * 7919);
		len[i] = strlen(keys[i]);
	}
	map_init(&m);
	fill_map(&m, keys);
	s = map_find_service(&m, "kiln");
	for (i = 0; i < count; i++) {
		uint32_t slot =
			map_slot_of(&m, s, keys[i % KEYS], len[i % KEYS]);
		uint32_t owner = m.slots[slot].owner;

		sum += map_find_node(&m, owner)->id;
	}
	printf("owners %lu\n", (unsigned long)sum);
	return 0;
}
