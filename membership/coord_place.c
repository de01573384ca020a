#include "membership/coord_place_priv.h"
#include "common/clk.h"
#include "common/log.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/*
 * Runs the placement decisions and applies them: a slot without a live owner
 * gets its new owner at once, any other is first released by its owner.
 */

#define PLACE_PERIOD_MS 1000
/*
 * The first assignment of a service waits until no new target has announced
 * itself for this long, at most PLACE_SETTLE_MAX_MS. Without the wait, the
 * first target would get all slots, and the others would get theirs only by
 * budgeted moves, by default one slot every two seconds.
 */
#define PLACE_SETTLE_MS 1500
#define PLACE_SETTLE_MAX_MS 6000
#define PLACE_SETTLE_PERIOD_MS 250

void co_place_finish(struct coord *c)
{
	struct placement_state *p = c->placement_state;
	struct service_placement *s, *tmp;
	struct hot_key *k, *next;

	if (!p)
		return;
	HASH_ITER(hh, p->services, s, tmp) {
		HASH_DEL(p->services, s);
		doc_owner_regions_finish(&s->regions);
		free(s);
	}
	HASH_ITER(hh, p->keys, k, next) {
		hot_key_free(p, k);
	}
	free(p);
	c->placement_state = NULL;
}

static struct service_placement *service_get(struct placement_state *p,
					     const char *name, int64_t now_ms)
{
	struct service_placement *s;

	HASH_FIND_STR(p->services, name, s);
	if (s)
		return s;
	s = calloc(1, sizeof(*s));
	if (!s)
		return NULL;
	g_strlcpy(s->name, name, sizeof(s->name));
	place_init(&s->place, now_ms);
	HASH_ADD_STR(p->services, name, s);
	return s;
}

/* ---- input of a pass ---- */

static int matches_any(char **patterns, const char *name)
{
	for (size_t i = 0; patterns && patterns[i]; i++) {
		if (strcmp(patterns[i], "*") == 0 ||
		    strcmp(patterns[i], name) == 0)
			return 1;
	}
	return 0;
}

static int is_eligible(const struct co_member *m, const struct doc_service *s,
		       const struct doc_owner_regions *regions)
{
	if (!m->info->target || m->join != CO_JOIN_DONE || m->leaving == 1 ||
	    m->health.state == HEALTH_EJECTED)
		return 0;
	return strcmp(m->info->target->service, s->name) == 0 &&
	       matches_any(s->regions, m->info->region) &&
	       doc_regions_allow(regions->names, m->info->region) &&
	       matches_any(s->nodes, m->info->name);
}

/* Latency of the target's answers in microseconds; 0: unknown. */
static double known_latency_us(const struct co_member *m)
{
	return m->health.report.evidence >= HEALTH_MIN_EVIDENCE
		       ? m->health.report.latency_us
		       : 0;
}

/* Mean over the targets of the service; 0: unknown. */
static double mean_latency_us(const struct coord *c,
			      const struct doc_service *s,
			      const struct doc_owner_regions *regions)
{
	struct co_member *m, *tmp;
	double sum = 0;
	double count = 0;

	HASH_ITER(hh, c->members, m, tmp) {
		if (known_latency_us(m) <= 0 || !is_eligible(m, s, regions))
			continue;
		sum += known_latency_us(m);
		count++;
	}
	return count > 0 ? sum / count : 0;
}

/*
 * Returns the requests that the target can run at a time. The announcement
 * tells that it is cold before its node has reported a rate or any latency.
 */
static double target_capacity(const struct place_input *in,
			      const struct co_member *m, int64_t now_ms)
{
	const struct doc_service *s = in->doc;
	uint32_t places = m->info->target ? m->info->target->concurrency : 0;
	double per_s = m->rate_limit_per_s;
	double latency_us = known_latency_us(m);

	if (now_ms < m->cold_until_ms && s->cold_per_s > 0) {
		if (per_s <= 0 || per_s > s->cold_per_s)
			per_s = s->cold_per_s;
		if (latency_us <= 0)
			latency_us = in->mean_latency_us;
	}
	return place_usable_places(places, per_s, latency_us);
}

static void fill_node(const struct coord *c, const struct place_input *in,
		      const struct co_member *m, int64_t now_ms,
		      struct place_node *n)
{
	memset(n, 0, sizeof(*n));
	n->id = m->id;
	n->capacity = target_capacity(in, m, now_ms);
	n->region = g_quark_from_string(m->info->region);
	n->data_centre = g_quark_from_string(m->info->data_centre);
	n->eligible = is_eligible(m, in->doc, &in->state->regions);
	n->weight = m->health.weight;
	n->state = PLACE_LIVE;
	if (m->lost) {
		n->state = PLACE_LOST;
	} else if (m->restart_until_ms > now_ms) {
		n->state = PLACE_RESTARTING;
		/* Its target may not have announced itself again yet. */
		n->eligible = 1;
		n->deadline_ms = m->restart_until_ms;
	} else if (co_is_draining(c, m)) {
		n->state = PLACE_DRAINING;
	}
}

/* Returns the ids of the named nodes; the caller frees the list. */
static uint32_t *node_ids(const struct coord *c, char **names, size_t *count)
{
	size_t max = 0;
	uint32_t *ids;

	while (names && names[max])
		max++;
	ids = calloc(max + 1, sizeof(*ids));
	*count = 0;
	for (size_t i = 0; ids && i < max; i++) {
		const struct co_member *m = co_member_find_name(c, names[i]);

		if (m)
			ids[(*count)++] = m->id;
	}
	return ids;
}

static int slot_is_held(const struct coord *c, uint32_t slot)
{
	const struct own_peer *p =
		own_coord_find(&c->own, c->map.slots[slot].owner);

	return p && (p->maybe_held || p->commit_sent);
}

/* A lost owner will not release the slot: it has to be assigned directly. */
static void clear_release_of_lost_owner(struct coord *c, uint32_t slot)
{
	const struct co_member *m = co_member_find(c, c->map.slots[slot].owner);
	struct co_slot *s = &c->slots[slot];

	if ((m && !m->lost) || s->released)
		return;
	s->releasing = 0;
	s->new_owner = 0;
}

/*
 * A node that was lost while a slot was being released for it cannot get the
 * slot. The release goes on, and the slot is assigned again after it.
 */
static void clear_lost_successor(struct coord *c, uint32_t slot)
{
	struct co_slot *s = &c->slots[slot];
	const struct co_member *m = co_member_find(c, s->new_owner);

	if (!m || m->lost)
		s->new_owner = 0;
}

static void add_slot(struct coord *c, struct place_input *in, uint32_t slot,
		     int is_pin)
{
	struct place_slot *p = &in->slots[in->slot_count++];
	const struct co_slot *s = &c->slots[slot];

	clear_release_of_lost_owner(c, slot);
	clear_lost_successor(c, slot);
	memset(p, 0, sizeof(*p));
	p->slot = slot;
	p->owner = c->map.slots[slot].owner;
	p->load = s->load.load;
	p->to = s->new_owner;
	p->held = s->changing || s->pinning || slot_is_held(c, slot);
	p->is_pin = is_pin;
	/* Released without being asked: treated as unowned. */
	if (s->released && !s->new_owner)
		p->owner = 0;
}

static void set_assigned_nodes(struct coord *c, struct place_input *in)
{
	for (size_t i = 0; i < in->doc->assign_count; i++) {
		const struct doc_assignment *r = &in->doc->assign[i];
		size_t count;
		uint32_t *ids = node_ids(c, r->nodes, &count);

		in->fixed[in->fixed_count++] = ids;
		for (uint32_t s = r->first;
		     ids && s <= r->last && s < in->map->shards; s++) {
			in->slots[s].fixed = ids;
			in->slots[s].fixed_count = count;
		}
	}
}

static void add_pins(struct coord *c, struct place_input *in)
{
	struct map_pin *pin, *tmp;

	HASH_ITER(hh, c->map.pins, pin, tmp) {
		const struct doc_pin *d;
		struct co_member *m;
		uint32_t *id;

		if (strcmp(pin->service, in->doc->name) != 0)
			continue;
		add_slot(c, in, pin->slot, 1);
		d = pins_find_fixed(in->doc, pin->key);
		m = d ? co_member_find_name(c, d->node) : NULL;
		id = m ? malloc(sizeof(*id)) : NULL;
		if (!id)
			continue;
		*id = m->id;
		in->fixed[in->fixed_count++] = id;
		in->slots[in->slot_count - 1].fixed = id;
		in->slots[in->slot_count - 1].fixed_count = 1;
	}
}

static void place_input_finish(struct place_input *in)
{
	for (size_t i = 0; i < in->fixed_count; i++)
		free(in->fixed[i]);
	free(in->fixed);
	free(in->nodes);
	free(in->slots);
}

static int place_input_init(struct coord *c, struct place_input *in,
			    const struct doc_service *s, int64_t now_ms)
{
	struct co_member *m, *tmp;
	unsigned pins = HASH_COUNT(c->map.pins);

	memset(in, 0, sizeof(*in));
	in->doc = s;
	in->map = map_find_service(&c->map, s->name);
	in->state = service_get(c->placement_state, s->name, now_ms);
	if (!in->map || !in->state)
		return 0;
	place_read_regions(c, s, in->state);
	in->nodes = calloc(HASH_COUNT(c->members) + 1, sizeof(*in->nodes));
	in->slots =
		calloc((size_t)in->map->shards + pins + 1, sizeof(*in->slots));
	in->fixed = calloc(s->assign_count + pins + 1, sizeof(*in->fixed));
	if (!in->nodes || !in->slots || !in->fixed) {
		place_input_finish(in);
		return 0;
	}
	if (s->cold_per_s > 0)
		in->mean_latency_us =
			mean_latency_us(c, s, &in->state->regions);
	HASH_ITER(hh, c->members, m, tmp)
		fill_node(c, in, m, now_ms, &in->nodes[in->node_count++]);
	for (uint32_t i = 0; i < in->map->shards; i++)
		add_slot(c, in, in->map->first_slot + i, 0);
	set_assigned_nodes(c, in);
	add_pins(c, in);
	return 1;
}

/* ---- moves ---- */

static void cancel_release(struct coord *c, struct co_member *m, uint32_t slot)
{
	c->slots[slot].releasing = 0;
	c->slots[slot].new_owner = 0;
	co_send_cancel(c, m, &slot, 1);
}

static void start_release(struct coord *c, struct co_member *m, uint32_t slot,
			  uint32_t to, const char *cause)
{
	struct co_slot *s = &c->slots[slot];

	s->new_owner = to;
	s->move_cause = cause;
	if (s->releasing)
		return;
	s->releasing = 1;
	/* send_due_releases sends one Release for all slots of the node. */
	m->release_due = 1;
}

int place_is_settled(const struct coord *c, uint32_t slot)
{
	const struct co_slot *s = &c->slots[slot];
	const struct co_member *m = co_member_find(c, c->map.slots[slot].owner);

	return m && !m->lost && !s->releasing && !s->released && !s->changing;
}

void place_request_release(struct coord *c, uint32_t slot, uint32_t to,
			   const char *cause)
{
	struct co_member *m = co_member_find(c, c->map.slots[slot].owner);

	if (m)
		start_release(c, m, slot, to, cause);
}

static void mark_unserved(struct co_slot *s, const struct co_member *m,
			  int64_t now_ms)
{
	if (s->unserved_since_ms)
		return;
	s->unserved_since_ms =
		m && m->last_heard_ms ? m->last_heard_ms : now_ms;
}

static void apply_move(struct coord *c, const struct place_move *mv,
		       int64_t now_ms)
{
	uint32_t owner = c->map.slots[mv->slot].owner;
	struct co_slot *s = &c->slots[mv->slot];
	struct co_member *m = co_member_find(c, owner);
	const char *cause = place_cause_name(mv->cause);

	if (!owner || !m || m->lost || s->released) {
		if (owner)
			mark_unserved(s, m, now_ms);
		if (s->released && s->move_cause)
			cause = s->move_cause;
		co_queue_slot(c, mv->slot, mv->to, cause);
		return;
	}
	if (mv->to == owner) {
		if (s->releasing)
			cancel_release(c, m, mv->slot);
		return;
	}
	start_release(c, m, mv->slot, mv->to, cause);
}

/* Gives released slots to the nodes for which they were released. */
static void finish_releases(struct coord *c, const struct place_input *in)
{
	for (size_t i = 0; i < in->slot_count; i++) {
		uint32_t slot = in->slots[i].slot;
		struct co_slot *s = &c->slots[slot];

		if (s->released && s->new_owner && !s->changing)
			co_queue_slot(c, slot, s->new_owner,
				      s->move_cause ? s->move_cause : "drain");
	}
}

/* A stopping node gives its slots up even if no other node can take them. */
static void release_without_successor(struct coord *c,
				      const struct place_input *in)
{
	for (size_t i = 0; i < in->slot_count; i++) {
		uint32_t slot = in->slots[i].slot;
		struct co_slot *s = &c->slots[slot];
		struct co_member *m =
			co_member_find(c, c->map.slots[slot].owner);

		if (!m || m->leaving != 1 || s->changing || s->new_owner)
			continue;
		if (s->released)
			co_queue_slot(c, slot, 0, "leave");
		else if (!s->releasing)
			start_release(c, m, slot, 0, "leave");
	}
}

/* ---- health of targets ---- */

static int serves_service(const struct co_member *m,
			  const struct doc_service *s)
{
	return m->info->target && !m->lost &&
	       strcmp(m->info->target->service, s->name) == 0;
}

static void log_ejection(const struct co_member *m, enum health_state before)
{
	int was = before == HEALTH_EJECTED;
	int is = m->health.state == HEALTH_EJECTED;

	if (was != is)
		log_warn(
			is ? "target_ejected" : "target_readmitted",
			"name=%s fail_rate=%.2f refuse_rate=%.2f answer_us=%.0f",
			LOG_Q(m->info->name), m->health.report.fail_rate,
			m->health.report.refuse_rate,
			m->health.report.latency_us);
}

/* Ejects or readmits targets of one service, by what their gates reported. */
static void assess_targets(struct coord *c, const struct doc_service *s,
			   int64_t now_ms)
{
	unsigned max = HASH_COUNT(c->members);
	struct health_target *nodes = calloc(max + 1, sizeof(*nodes));
	struct co_member *m, *tmp;
	enum health_state before;
	size_t count = 0;

	if (!nodes)
		return;
	HASH_ITER(hh, c->members, m, tmp) {
		if (serves_service(m, s))
			nodes[count++] = m->health;
	}
	health_assess_service(nodes, count, now_ms);
	for (size_t i = 0; i < count; i++) {
		m = co_member_find(c, nodes[i].id);
		if (!m)
			continue;
		before = m->health.state;
		m->health = nodes[i];
		log_ejection(m, before);
	}
	free(nodes);
}

/* ---- pass ---- */

static int is_first_assignment(const struct coord *c,
			       const struct place_input *in)
{
	for (size_t i = 0; i < in->slot_count; i++) {
		if (c->map.slots[in->slots[i].slot].fence)
			return 0;
	}
	return 1;
}

/*
 * Ignores slow starts: a slow start protects a new target from the load of
 * older ones, and at the first assignment all targets are new.
 */
static void ignore_slow_starts(struct coord *c, struct place_input *in)
{
	for (size_t i = 0; i < in->node_count; i++) {
		const struct co_member *m = co_member_find(c, in->nodes[i].id);

		if (m->health.state == HEALTH_COLD)
			in->nodes[i].weight = 1;
	}
}

/*
 * Returns 1 while the first assignment waits for more targets to announce
 * themselves.
 */
static int is_settling(struct coord *c, struct place_input *in, int64_t now_ms)
{
	struct service_placement *s = in->state;
	size_t announced = 0;

	if (!is_first_assignment(c, in))
		return 0;
	for (size_t i = 0; i < in->node_count; i++)
		announced += in->nodes[i].eligible != 0;
	if (!announced)
		return 0;
	if (!s->first_announced_ms)
		s->first_announced_ms = now_ms;
	if (announced != s->announced)
		s->announced_changed_ms = now_ms;
	s->announced = announced;
	if (now_ms - s->announced_changed_ms >= PLACE_SETTLE_MS ||
	    now_ms - s->first_announced_ms >= PLACE_SETTLE_MAX_MS)
		return 0;
	c->placement_at_ms = now_ms + PLACE_SETTLE_PERIOD_MS;
	return 1;
}

/*
 * Estimates the requests per second that each target can answer, from its
 * reported latency. A target with too few answers gets the mean latency of the
 * others.
 */
static void estimate_capacity(const struct coord *c, struct place_input *in)
{
	double sum = 0;
	double count = 0;

	for (size_t i = 0; i < in->node_count; i++) {
		const struct co_member *m = co_member_find(c, in->nodes[i].id);
		const struct health_report *j = &m->health.report;

		if (j->evidence < HEALTH_MIN_EVIDENCE || j->latency_us <= 0 ||
		    !in->nodes[i].eligible)
			continue;
		sum += j->latency_us;
		count++;
	}
	for (size_t i = 0; i < in->node_count; i++) {
		const struct co_member *m = co_member_find(c, in->nodes[i].id);
		const struct health_report *j = &m->health.report;
		double us = count ? sum / count : 1;

		if (j->evidence >= HEALTH_MIN_EVIDENCE && j->latency_us > 0)
			us = j->latency_us;
		in->nodes[i].capacity /= us;
	}
}

static void run_range_pass(struct coord *c, struct place_input *in,
			   int64_t now_ms, struct place_moves *moves)
{
	struct co_service_stats *stats = co_stats_get(c, in->doc->name);

	estimate_capacity(c, in);
	if (ranges_pass(&in->state->ranges, in->nodes, in->node_count,
			in->slots, in->map->shards, now_ms, moves) != ERR_OK) {
		log_error("ranges_failed", "service=%s error=%s",
			  LOG_Q(in->doc->name), err_name(ERR_NOMEM));
		return;
	}
	for (size_t i = 0; i < moves->count; i++)
		apply_move(c, &moves->items[i], now_ms);
	if (stats)
		stats->peak_to_mean = moves->peak_to_mean;
}

static void run_pass(struct coord *c, const struct doc_service *s,
		     int64_t now_ms, int pins)
{
	struct place_policy policy = {
		.weight_churn = s->weight_churn,
		.weight_imbalance = s->weight_imbalance,
		.max_peak_to_mean = s->max_peak_to_mean,
		.moves_per_minute = s->moves_per_minute,
		.auto_pins = s->auto_pins,
	};
	struct place_moves moves;
	struct co_service_stats *stats = co_stats_get(c, s->name);
	struct place_input in;

	assess_targets(c, s, now_ms);
	if (!place_input_init(c, &in, s, now_ms))
		return;
	if (is_settling(c, &in, now_ms)) {
		place_input_finish(&in);
		return;
	}
	if (is_first_assignment(c, &in))
		ignore_slow_starts(c, &in);
	place_moves_init(&moves);
	if (in.map->key_numbers) {
		run_range_pass(c, &in, now_ms, &moves);
	} else if (place_pass(&in.state->place, &policy, in.nodes,
			      in.node_count, in.slots, in.slot_count, now_ms,
			      &moves) == ERR_OK) {
		for (size_t i = 0; i < moves.count; i++)
			apply_move(c, &moves.items[i], now_ms);
		if (stats)
			stats->peak_to_mean = moves.peak_to_mean;
	}
	finish_releases(c, &in);
	release_without_successor(c, &in);
	/* Pins change one write at a time: each must see the one before. */
	if (pins && !in.map->key_numbers && !c->queue.pin_count &&
	    !c->write.active)
		pins_update(c, &in, &policy, now_ms);
	place_moves_finish(&moves);
	place_input_finish(&in);
}

static void send_due_releases(struct coord *c)
{
	struct co_member *m, *tmp;

	HASH_ITER(hh, c->members, m, tmp) {
		if (!m->release_due)
			continue;
		m->release_due = 0;
		co_send_releases(c, m);
	}
}

void co_place_tick(struct coord *c, int64_t now_ms)
{
	int periodic = now_ms >= c->placement_at_ms;

	if (!periodic && !c->placement_due)
		return;
	/* No slot moves while a hold is or may be in force. */
	if (!c->has_doc || c->own.phase != OWN_NORMAL ||
	    !placement_state_get(c))
		return;
	c->placement_due = 0;
	if (periodic) {
		c->placement_at_ms = now_ms + PLACE_PERIOD_MS;
		report_expire_keys(c->placement_state, now_ms);
	}
	for (size_t i = 0; i < c->doc.service_count; i++) {
		if (c->doc.services[i].keyed)
			run_pass(c, &c->doc.services[i], now_ms, periodic);
	}
	send_due_releases(c);
}
