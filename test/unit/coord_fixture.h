#ifndef TEST_UNIT_COORD_FIXTURE_H
#define TEST_UNIT_COORD_FIXTURE_H

#include "membership/coord_place_priv.h"

/*
 * A coordinator with three members and a document with two keyed services and
 * one without keys. There is no store: a queued change is applied to the map at
 * once.
 */
struct fixture {
	struct settings settings;
	struct cnt cnt;
	struct coord c;
};

void fixture_setup(struct fixture *f);
void fixture_teardown(struct fixture *f);
/* Adds the member as one of the roster that the coordinator took over. */
void fixture_add_member(struct fixture *f, uint32_t id);
/* Applies the queued changes to the map, as a successful write does. */
void fixture_apply_queued(struct fixture *f);

#endif
