#include "bench/common_fleet.h"
#include "bench/common_out.h"

#include <stdio.h>
#include <string.h>

/*
 * Simulates one day with 25 node losses and 700 restarts, three restarts in a
 * row on one node, and a store outage of five minutes during which a node is
 * lost. A separate case is the loss of a whole data centre. Prints the moves,
 * their ratio to the fewest that the losses need (churn), the peak-to-mean
 * ratio of the load, and for how long keys were unavailable.
 *
 * In the case "drift", the shards' loads also drift by 10%. The moves that
 * this needs are counted in a run without voluntary moves: each node that
 * exceeds max_peak_to_mean there needs at least one.
 *
 * Argument: the name of the case, see main.
 */

#define DAY_MS 86400000
#define PASS_MS 60000
#define LOSSES 25
#define RESTARTS 700
#define RESTART_MS 8000 /* until the new incarnation serves */
#define GRACE_MS 15000
#define REPLACE_MS 600000 /* until an empty node replaces a lost one */
#define DRIFT_MS 3600000
#define LOSS_DETECTION_MS 1111 /* length of a grant plus clock drift */
#define REASSIGN_MS 100	       /* one store write and the map update */
#define OUTAGE_MS 300000
#define KEYS_PER_NODE (4.6e9 / 5200)

enum event_kind { LOSS, REPLACED, RESTART, RESTARTED, OUTAGE, OUTAGE_END };

struct event {
	int64_t at_ms;
	enum event_kind kind;
	size_t node;
};

struct day {
	struct fleet f;
	GArray *events;
	int64_t grace_ms;
	int64_t start_ms; /* of the day, on the fleet's clock */
	int has_drift;
	uint8_t *was_overloaded; /* by node: exceeded max_peak_to_mean */
	int store_down;		 /* no moves meanwhile */
	int64_t store_back_ms;	 /* end of the outage, in ms of the day */
	uint64_t min_moves;	 /* fewest moves that the losses need */
	double unavailable_key_s;
};

static gint compare_event_times(gconstpointer a, gconstpointer b)
{
	const struct event *x = a;
	const struct event *y = b;

	return (x->at_ms > y->at_ms) - (x->at_ms < y->at_ms);
}

static void add_event(struct day *d, int64_t at_ms, enum event_kind kind,
		      size_t node)
{
	struct event e = { .at_ms = at_ms, .kind = kind, .node = node };

	g_array_append_val(d->events, e);
}

static int64_t random_time(struct day *d)
{
	return g_rand_int_range(d->f.rand, 0, DAY_MS - OUTAGE_MS);
}

static size_t random_node(struct day *d)
{
	return (size_t)g_rand_int_range(d->f.rand, 0, (gint32)d->f.size->nodes);
}

static void schedule_events(struct day *d, int losses, int restarts)
{
	int64_t outage = random_time(d);
	int i;

	for (i = 0; i < losses; i++)
		add_event(d, i ? random_time(d) : outage + OUTAGE_MS / 2, LOSS,
			  random_node(d));
	for (i = 0; i < restarts; i++)
		add_event(d, random_time(d), RESTART, random_node(d));
	/* A node that stops again soon after each restart. */
	for (i = 0; i < 3 && restarts; i++)
		add_event(d, DAY_MS / 2 + i * (RESTART_MS + 2000), RESTART, 0);
	add_event(d, outage, OUTAGE, 0);
	add_event(d, outage + OUTAGE_MS, OUTAGE_END, 0);
}

static double count_keys(const struct day *d, size_t node)
{
	return (double)fleet_count_slots(&d->f, d->f.nodes[node].id) *
	       KEYS_PER_NODE * d->f.size->nodes / d->f.size->shards;
}

static void lose_node(struct day *d, const struct event *e)
{
	struct place_node *n = &d->f.nodes[e->node];
	double ms = LOSS_DETECTION_MS + REASSIGN_MS;

	if (n->state != PLACE_LIVE)
		return;
	if (d->store_down && d->store_back_ms - e->at_ms > LOSS_DETECTION_MS)
		ms = (double)(d->store_back_ms - e->at_ms) + REASSIGN_MS;
	d->min_moves += fleet_count_slots(&d->f, n->id);
	d->unavailable_key_s += count_keys(d, e->node) * ms / 1000;
	n->state = PLACE_LOST;
	add_event(d, e->at_ms + REPLACE_MS, REPLACED, e->node);
}

static void restart_node(struct day *d, const struct event *e)
{
	struct place_node *n = &d->f.nodes[e->node];
	double ms = LOSS_DETECTION_MS + REASSIGN_MS;

	if (n->state != PLACE_LIVE)
		return;
	if (d->grace_ms >= RESTART_MS)
		ms = RESTART_MS;
	d->unavailable_key_s += count_keys(d, e->node) * ms / 1000;
	n->state = PLACE_RESTARTING;
	n->deadline_ms = d->start_ms + e->at_ms + d->grace_ms;
	add_event(d, e->at_ms + RESTART_MS, RESTARTED, e->node);
}

static void apply_event(struct day *d, const struct event *e)
{
	struct place_node *n = &d->f.nodes[e->node];

	switch (e->kind) {
	case LOSS:
		lose_node(d, e);
		return;
	case REPLACED:
		if (n->state == PLACE_LOST)
			fleet_replace_node(&d->f, e->node);
		return;
	case RESTART:
		restart_node(d, e);
		return;
	case RESTARTED:
		n->state = PLACE_LIVE;
		return;
	case OUTAGE:
		d->store_down = 1;
		d->store_back_ms = e->at_ms + OUTAGE_MS;
		return;
	case OUTAGE_END:
		d->store_down = 0;
		return;
	}
}

static struct event *event_at(struct day *d, guint i)
{
	return i < d->events->len ? &g_array_index(d->events, struct event, i)
				  : NULL;
}

static void record_overloaded(struct day *d)
{
	double *load = g_new0(double, d->f.next_id + 1);
	double total = 0;
	size_t i;

	for (i = 0; i < d->f.slot_count; i++) {
		load[d->f.slots[i].owner] += d->f.true_load[i];
		total += d->f.true_load[i];
	}
	for (i = 0; i < d->f.size->nodes; i++)
		d->was_overloaded[i] |=
			load[d->f.nodes[i].id] * d->f.size->nodes >
			total * d->f.policy.max_peak_to_mean;
	g_free(load);
}

static void run_day(struct day *d)
{
	int64_t pass = 0;
	int64_t drift = DRIFT_MS;
	guint next = 0;

	g_array_sort(d->events, compare_event_times);
	while (pass < DAY_MS) {
		int64_t t = pass;

		if (event_at(d, next))
			t = MIN(t, event_at(d, next)->at_ms);
		while (event_at(d, next) && event_at(d, next)->at_ms <= t) {
			struct event e = *event_at(d, next++);

			apply_event(d, &e);
			/* The event may have added later events. */
			g_array_sort(d->events, compare_event_times);
		}
		if (d->has_drift && t >= drift) {
			fleet_drift(&d->f);
			drift += DRIFT_MS;
		}
		if (!d->store_down)
			fleet_step(&d->f, d->start_ms + t);
		if (t < pass)
			continue;
		fleet_record_peak(&d->f);
		record_overloaded(d);
		pass += PASS_MS;
	}
}

static void print_day(const struct day *d, const char *name, double churn_bound)
{
	uint64_t forced = fleet_forced_moves(&d->f);
	uint64_t all = forced + fleet_voluntary_moves(&d->f);
	char line[96];

	snprintf(line, sizeof(line), "day.%s.least_moves", name);
	out_value(line, (double)d->min_moves, "moves");
	snprintf(line, sizeof(line), "day.%s.forced_moves", name);
	out_value(line, (double)forced, "moves");
	snprintf(line, sizeof(line), "day.%s.voluntary_moves", name);
	out_value(line, (double)(all - forced), "moves");
	snprintf(line, sizeof(line), "day.%s.churn", name);
	if (churn_bound > 0)
		out_max(line, (double)all / (double)d->min_moves, "ratio",
			churn_bound);
	else if (d->min_moves > 0)
		out_value(line, (double)all / (double)d->min_moves, "ratio");
	if (d->min_moves == 0)
		out_max("day.restarts.moved", (double)forced, "moves", 0);
	snprintf(line, sizeof(line), "day.%s.peak_p99", name);
	out_value(line, fleet_peak_quantile(&d->f, 0.99), "ratio");
	snprintf(line, sizeof(line), "day.%s.peak_max", name);
	out_value(line, fleet_peak_quantile(&d->f, 1), "ratio");
	snprintf(line, sizeof(line), "day.%s.unavailable", name);
	out_value(line, d->unavailable_key_s, "key-s");
}

struct day_case {
	const char *name;
	const struct fleet_size *size;
	int losses;
	int restarts;
	int64_t grace_ms;
	int has_drift;
	double churn_bound; /* 0: none */
};

static void print_day_before(const struct day *d, const struct day_case *p,
			     int allows_voluntary)
{
	char line[96];

	if (!allows_voluntary)
		return;
	snprintf(line, sizeof(line), "day.%s.voluntary_moves_day_before",
		 p->name);
	out_value(line, (double)fleet_voluntary_moves(&d->f), "moves");
}

/*
 * Simulates the day of a case and returns how many nodes exceeded
 * max_peak_to_mean. extra_moves are added to the fewest moves needed. Without
 * allows_voluntary, placement makes no voluntary moves and nothing is printed.
 */
static uint64_t run(const struct day_case *p, uint64_t extra_moves,
		    int allows_voluntary)
{
	uint64_t overloaded = 0;
	struct day d;
	size_t i;

	memset(&d, 0, sizeof(d));
	d.grace_ms = p->grace_ms;
	d.has_drift = p->has_drift;
	d.events = g_array_new(FALSE, FALSE, sizeof(struct event));
	d.was_overloaded = g_new0(uint8_t, p->size->nodes);
	fleet_init(&d.f, p->size, 1);
	d.start_ms = fleet_settle(&d.f);
	/*
	 * First a day without events: in the first hours of a new assignment,
	 * most nodes that are near the threshold for balancing cross it.
	 */
	run_day(&d);
	d.start_ms += DAY_MS;
	print_day_before(&d, p, allows_voluntary);
	fleet_reset_metrics(&d.f);
	memset(d.was_overloaded, 0, p->size->nodes);
	if (!allows_voluntary)
		d.f.policy.moves_per_minute = 0;
	schedule_events(&d, p->losses, p->restarts);
	run_day(&d);
	d.min_moves += extra_moves;
	if (allows_voluntary)
		print_day(&d, p->name, p->churn_bound);
	for (i = 0; i < p->size->nodes; i++)
		overloaded += d.was_overloaded[i];
	g_free(d.was_overloaded);
	g_array_free(d.events, TRUE);
	fleet_finish(&d.f);
	return overloaded;
}

/* Loses all nodes of one data centre at once. */
static void run_data_centre(const struct fleet_size *size)
{
	struct fleet f;
	char line[96];
	size_t least = 0;
	int64_t start;
	int64_t t;
	size_t i;

	fleet_init(&f, size, 1);
	start = fleet_settle(&f);
	for (i = 0; i < size->nodes; i++) {
		if (f.nodes[i].data_centre != 0)
			continue;
		least += fleet_count_slots(&f, f.nodes[i].id);
		f.nodes[i].state = PLACE_LOST;
	}
	for (t = 0; t < 300000; t += 1000) {
		fleet_step(&f, start + t);
		fleet_record_peak(&f);
	}
	snprintf(line, sizeof(line), "day.%s.data_centre.churn", size->name);
	out_value(line,
		  (double)(fleet_forced_moves(&f) + fleet_voluntary_moves(&f)) /
			  (double)least,
		  "ratio");
	snprintf(line, sizeof(line), "day.%s.data_centre.peak_max", size->name);
	out_value(line, fleet_peak_quantile(&f, 1), "ratio");
	snprintf(line, sizeof(line), "day.%s.data_centre.unavailable",
		 size->name);
	out_value(line,
		  (double)least * KEYS_PER_NODE * size->nodes / size->shards *
			  (LOSS_DETECTION_MS + REASSIGN_MS) / 1000,
		  "key-s");
	fleet_finish(&f);
}

int main(int argc, char **argv)
{
	/*
	 * Losses and restarts are scaled by the size of the fleet, but there
	 * are at least two losses (one of them in the outage) and two restarts.
	 */
	static const struct day_case cases[] = {
		{ "guild", &fleet_guild, 2, 2, GRACE_MS, 0, 0 },
		{ "falaj", &fleet_falaj, 2, 2, GRACE_MS, 0, 0 },
		{ "design", &fleet_design, LOSSES, RESTARTS, GRACE_MS, 0, 1.1 },
		{ "drift", &fleet_design, LOSSES, RESTARTS, GRACE_MS, 1, 1.1 },
		{ "restarts", &fleet_design, 0, RESTARTS, GRACE_MS, 0, 0 },
		{ "no_grace", &fleet_design, LOSSES, RESTARTS, 0, 0, 0 },
	};
	const char *name = argc > 1 ? argv[1] : "guild";
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		uint64_t overloaded = 0;

		if (strcmp(cases[i].name, name) != 0)
			continue;
		if (cases[i].has_drift)
			overloaded = run(&cases[i], 0, 0);
		run(&cases[i], overloaded, 1);
	}
	if (strcmp(name, "data_centre") == 0) {
		run_data_centre(&fleet_guild);
		run_data_centre(&fleet_falaj);
		run_data_centre(&fleet_design);
	}
	return out_status();
}
