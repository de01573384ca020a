#include "test/unit/coord_fixture.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

void fixture_add_member(struct fixture *f, uint32_t id)
{
	Wire__Node n = WIRE__NODE__INIT;
	char name[16];

	g_snprintf(name, sizeof(name), "n%u", id);
	n.id = id;
	n.name = name;
	n.address = "127.0.0.1";
	n.peer_port = 8000 + id;
	n.incarnation = id;
	g_assert_nonnull(co_member_add(&f->c, &n));
	own_coord_add_inherited(&f->c.own, id, id, 0, 0);
}

void fixture_apply_queued(struct fixture *f)
{
	struct coord *c = &f->c;

	co_build_delta(c);
	g_assert_cmpint(map_check(&c->map, c->write.delta), ==, ERR_OK);
	g_assert_cmpint(map_apply(&c->map, c->write.delta), ==, ERR_OK);
	for (size_t i = 0; i < c->queue.slot_count; i++)
		c->slots[c->queue.slots[i].slot].changing = 0;
	c->queue.slot_count = 0;
	c->queue.services_due = 0;
	co_write_finish(c);
	co_slots_reserve(c, c->map.slot_count);
}

void fixture_setup(struct fixture *f)
{
	static const char text[] =
		"{\"version\":1,\"services\":{\"cal\":{\"shards\":4,"
		"\"route\":{\"key\":\"number:X-Key\"}},"
		"\"desk\":{\"keyed\":false},"
		"\"vault\":{\"shards\":32,\"route\":{\"prefix\":\"/v/\"}}}}";

	memset(f, 0, sizeof(*f));
	cnt_init(&f->cnt);
	f->c.config.settings = &f->settings;
	f->c.config.cnt = &f->cnt;
	f->c.record.term = 1;
	map_init(&f->c.map);
	own_coord_init(&f->c.own, 1, 0, 0);
	g_assert_cmpint(doc_parse(&f->c.doc, text, strlen(text), NULL), ==,
			ERR_OK);
	f->c.has_doc = 1;
	for (uint32_t id = 1; id <= 3; id++)
		fixture_add_member(f, id);
	f->c.queue.services_due = 1;
	for (struct co_member *m = f->c.members; m; m = m->hh.next)
		m->dirty = 1;
	fixture_apply_queued(f);
}

void fixture_teardown(struct fixture *f)
{
	struct co_service_stats *s, *next;
	struct co_member *m, *tmp;

	co_place_finish(&f->c);
	co_recent_finish(&f->c);
	co_write_finish(&f->c);
	HASH_ITER(hh, f->c.members, m, tmp) {
		co_member_remove(&f->c, m);
	}
	HASH_ITER(hh, f->c.stats, s, next) {
		HASH_DEL(f->c.stats, s);
		free(s);
	}
	own_coord_finish(&f->c.own);
	map_finish(&f->c.map);
	doc_finish(&f->c.doc);
	free(f->c.slots);
	cnt_finish(&f->cnt);
}
