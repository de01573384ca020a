#include "membership/coord_place_priv.h"
#include "common/log.h"

/* The regions of the owners of a service's keys, by its routes. */

static void log_regions(const struct coord *c, const struct doc_service *s,
			const struct doc_owner_regions *r)
{
	struct buf names;

	if (r->conflict) {
		cnt_add(c->config.cnt, "co_region_conflicts", "", 1);
		log_warn("owner_regions_conflict",
			 "service=%s doc_revision=%llu outcome=ignored",
			 LOG_Q(s->name), (unsigned long long)c->doc.revision);
		return;
	}
	buf_init(&names);
	doc_regions_add(r->names, &names);
	log_info("owner_regions", "service=%s regions=%s doc_revision=%llu",
		 LOG_Q(s->name), r->names ? LOG_Q(buf_text(&names)) : "-",
		 (unsigned long long)c->doc.revision);
	buf_finish(&names);
}

void place_read_regions(const struct coord *c, const struct doc_service *s,
			struct service_placement *state)
{
	struct doc_owner_regions r;

	if (state->regions_read && state->regions_revision == c->doc.revision)
		return;
	if (doc_owner_regions_init(&r, &c->doc, s) != ERR_OK) {
		/* The next pass tries again; those of before stay. */
		doc_owner_regions_finish(&r);
		return;
	}
	if (!doc_owner_regions_equal(&r, &state->regions))
		log_regions(c, s, &r);
	doc_owner_regions_finish(&state->regions);
	state->regions = r;
	state->regions_revision = c->doc.revision;
	state->regions_read = 1;
}
