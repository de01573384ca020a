#include "bench/common_out.h"
#include "placement/selector.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Drives the selectors of many ingresses that choose among the targets of one
 * service without keys. A selector learns of a target's load only from the
 * answers to its own requests, which come back after report_ms. Requests arrive
 * as a Poisson process at a random ingress. A refused request tries up to
 * MAX_TRIES targets. Ingresses and targets are spread evenly over six data
 * centres in three regions; the first targets are on the ingresses' VMs.
 *
 * Usage: spread [all]. Prints means over the numbers of ingresses and the
 * delays of reports; "all" prints each case, too.
 */

#define RUN_MS 14000
#define WARM_UP_MS 4000
#define MAX_TARGETS 32
#define MAX_CHOOSERS 300
#define MAX_TRIES 4
#define QUEUE_PLACES 64
#define DATA_CENTRES 6
#define REGIONS 3
#define REQUEST_BYTES 2048
/* Requests that would end later are refused by the gate. */
#define FULL_VALUE_MS 2000.0
/* No request takes longer, slow stretches and the way back included. */
#define HORIZON_MS 16384
/* Slow stretches: one of 0.4 s in each 2 s, three times as slow. */
#define STRETCH_PERIOD_MS 2000
#define STRETCH_MS 400
#define STRETCH_FACTOR 3.0
#define GATE_WEIGHT 0.05

struct fleet {
	const char *name;
	unsigned targets;
	unsigned places;
	double work_ms;
	const double *speeds;
	unsigned speed_count;
};

struct request {
	int64_t arrived_ms;
	unsigned chooser;
	unsigned tries;
	unsigned tried[MAX_TRIES];
};

/* The end of a request at its target, or its answer at its ingress. */
struct event {
	struct request request;
	struct selector_load load;
	enum selector_outcome outcome;
	int at_chooser;
	double took_ms;
};

struct target {
	double speed;
	unsigned running;
	GQueue *queue; /* of struct request, owned */
	double latency_ms;
	unsigned stretch_start[RUN_MS / STRETCH_PERIOD_MS + 16];
	unsigned begun; /* in the current second */
};

struct run {
	const struct fleet *fleet;
	unsigned choosers;
	int64_t report_ms;
	double load;
	int slow;
	int spread;
	GRand *rand;
	int64_t now_ms;
	struct selector selectors[MAX_CHOOSERS];
	struct target targets[MAX_TARGETS];
	GArray *events[HORIZON_MS];
	GArray *times; /* of float: queue and service */
	double busiest;
	unsigned seconds;
	unsigned sent;
	unsigned refused;
	unsigned refused_with_room;
	unsigned far;
	unsigned given_up;
	unsigned arrived;
};

static int in_stretch(const struct run *r, const struct target *t, int64_t ms)
{
	size_t k = (size_t)(ms / STRETCH_PERIOD_MS);
	int64_t at = ms % STRETCH_PERIOD_MS - t->stretch_start[k];

	return r->slow && at >= 0 && at < STRETCH_MS;
}

static int64_t service_ms(struct run *r, const struct target *t)
{
	double work = r->fleet->work_ms / t->speed *
		      g_rand_double_range(r->rand, 0.4, 1.6);
	int64_t ms = r->now_ms;

	for (; work > 0; ms++)
		work -= in_stretch(r, t, ms) ? 1 / STRETCH_FACTOR : 1;
	return ms - r->now_ms;
}

static void add_event(struct run *r, int64_t at_ms, const struct event *e)
{
	GArray **slot = &r->events[at_ms % HORIZON_MS];

	g_assert(at_ms - r->now_ms < HORIZON_MS);
	if (!*slot)
		*slot = g_array_new(FALSE, FALSE, sizeof(*e));
	g_array_append_vals(*slot, e, 1);
}

static unsigned region_of(unsigned i)
{
	return i % DATA_CENTRES / (DATA_CENTRES / REGIONS);
}

static struct selector_load report(const struct run *r, const struct target *t)
{
	return (struct selector_load){
		.running = t->running,
		.queued = g_queue_get_length(t->queue),
		.places = r->fleet->places,
		.latency_us = (uint32_t)(t->latency_ms * 1000),
		.kind = 1,
		.kind_latency_us = (uint32_t)(t->latency_ms * 1000),
	};
}

static void begin(struct run *r, unsigned i, const struct request *q)
{
	struct target *t = &r->targets[i];
	int64_t ms = service_ms(r, t);
	struct event e = { .request = *q,
			   .outcome = SELECTOR_ANSWERED,
			   .took_ms = (double)ms };
	float took = (float)(r->now_ms + ms - q->arrived_ms);

	t->running++;
	t->begun++;
	if (r->now_ms >= WARM_UP_MS)
		g_array_append_val(r->times, took);
	add_event(r, r->now_ms + (ms ? ms : 1), &e);
}

static void finish(struct run *r, struct event *e)
{
	unsigned i = e->request.tried[e->request.tries - 1];
	struct target *t = &r->targets[i];
	struct request *next;

	t->running--;
	t->latency_ms += GATE_WEIGHT * (e->took_ms - t->latency_ms);
	next = g_queue_pop_head(t->queue);
	if (next) {
		begin(r, i, next);
		free(next);
	}
	e->load = report(r, t);
	e->at_chooser = 1;
	add_event(r, r->now_ms + r->report_ms, e);
}

static int takes(const struct run *r, const struct target *t, int64_t waited_ms)
{
	unsigned queued = g_queue_get_length(t->queue);
	double wait = t->latency_ms * (queued + 1) / r->fleet->places;

	if (t->running < r->fleet->places)
		return 1;
	return queued < QUEUE_PLACES &&
	       (double)waited_ms + wait + t->latency_ms < FULL_VALUE_MS;
}

static int region_has_room(const struct run *r, unsigned region)
{
	for (unsigned i = 0; i < r->fleet->targets; i++) {
		if (region_of(i) == region &&
		    r->targets[i].running < r->fleet->places)
			return 1;
	}
	return 0;
}

static enum selector_distance distance(unsigned chooser, unsigned target)
{
	if (chooser == target)
		return SELECTOR_SAME_VM;
	if (chooser % DATA_CENTRES == target % DATA_CENTRES)
		return SELECTOR_SAME_DATA_CENTRE;
	return region_of(chooser) == region_of(target) ? SELECTOR_SAME_REGION
						       : SELECTOR_OTHER_REGION;
}

static int was_tried(const struct request *q, unsigned target)
{
	for (unsigned i = 0; i < q->tries; i++) {
		if (q->tried[i] == target)
			return 1;
	}
	return 0;
}

static unsigned choose(struct run *r, const struct request *q)
{
	struct selector_candidate list[MAX_TARGETS];
	size_t count = 0;
	size_t best;

	for (unsigned i = 0; i < r->fleet->targets; i++) {
		if (was_tried(q, i))
			continue;
		list[count].id = i + 1;
		list[count].distance = distance(q->chooser, i);
		list[count++].places = r->fleet->places;
	}
	best = selector_pick(&r->selectors[q->chooser], list, count, 1,
			     REQUEST_BYTES, r->now_ms, g_rand_double(r->rand),
			     NULL);
	return list[best].id - 1;
}

static void count_sent(struct run *r, const struct request *q, unsigned i,
		       int taken)
{
	if (r->now_ms < WARM_UP_MS)
		return;
	r->sent++;
	r->far += region_of(i) != region_of(q->chooser);
	if (taken)
		return;
	r->refused++;
	r->refused_with_room += region_has_room(r, region_of(i));
}

static void send_request(struct run *r, struct request *q)
{
	unsigned i = choose(r, q);
	struct target *t = &r->targets[i];
	int taken = takes(r, t, r->now_ms - q->arrived_ms);

	q->tried[q->tries++] = i;
	selector_note_sent(&r->selectors[q->chooser], i + 1);
	count_sent(r, q, i, taken);
	if (!taken) {
		struct event e = { .request = *q,
				   .load = report(r, t),
				   .outcome = SELECTOR_REFUSED,
				   .at_chooser = 1 };

		/* A refusal is no answer that waits for work: two ways. */
		add_event(r, r->now_ms + 4, &e);
	} else if (t->running < r->fleet->places) {
		begin(r, i, q);
	} else {
		struct request *queued = malloc(sizeof(*queued));

		*queued = *q;
		g_queue_push_tail(t->queue, queued);
	}
}

static void answer(struct run *r, struct event *e)
{
	struct request *q = &e->request;

	selector_note_ended(&r->selectors[q->chooser],
			    q->tried[q->tries - 1] + 1, e->outcome, &e->load,
			    r->now_ms);
	if (e->outcome != SELECTOR_REFUSED)
		return;
	if (q->tries < MAX_TRIES)
		send_request(r, q);
	else if (r->now_ms >= WARM_UP_MS)
		r->given_up++;
}

static void run_events(struct run *r)
{
	GArray *due = r->events[r->now_ms % HORIZON_MS];

	if (!due)
		return;
	r->events[r->now_ms % HORIZON_MS] = NULL;
	for (guint i = 0; i < due->len; i++) {
		struct event *e = &g_array_index(due, struct event, i);

		if (e->at_chooser)
			answer(r, e);
		else
			finish(r, e);
	}
	g_array_unref(due);
}

/* The busiest target's begun work over the mean, by its share of the speed. */
static void end_second(struct run *r)
{
	double speeds = 0;
	double begun = 0;
	double most = 0;

	for (unsigned i = 0; i < r->fleet->targets; i++) {
		const struct target *t = &r->targets[i];

		speeds += t->speed;
		begun += t->begun;
		most = fmax(most, t->begun / t->speed);
	}
	for (unsigned i = 0; i < r->fleet->targets; i++)
		r->targets[i].begun = 0;
	if (r->now_ms < WARM_UP_MS || begun <= 0)
		return;
	r->busiest += most * speeds / begun;
	r->seconds++;
}

static void set_up(struct run *r)
{
	r->rand = g_rand_new_with_seed(5);
	r->times = g_array_new(FALSE, FALSE, sizeof(float));
	for (unsigned i = 0; i < r->choosers; i++) {
		selector_init(&r->selectors[i]);
		selector_set_spread(&r->selectors[i], r->spread);
	}
	for (unsigned i = 0; i < r->fleet->targets; i++) {
		struct target *t = &r->targets[i];

		memset(t, 0, sizeof(*t));
		t->speed = r->fleet->speeds[i % r->fleet->speed_count];
		t->latency_ms = r->fleet->work_ms / t->speed;
		t->queue = g_queue_new();
		for (size_t k = 0; k < G_N_ELEMENTS(t->stretch_start); k++)
			t->stretch_start[k] = (unsigned)g_rand_int_range(
				r->rand, 0, STRETCH_PERIOD_MS - STRETCH_MS);
	}
}

static void tear_down(struct run *r)
{
	for (unsigned i = 0; i < r->choosers; i++)
		selector_finish(&r->selectors[i]);
	for (unsigned i = 0; i < r->fleet->targets; i++)
		g_queue_free_full(r->targets[i].queue, free);
	for (size_t i = 0; i < HORIZON_MS; i++) {
		if (r->events[i])
			g_array_unref(r->events[i]);
		r->events[i] = NULL;
	}
	g_array_unref(r->times);
	g_rand_free(r->rand);
}

/* Requests a second that all targets together can end. */
static double capacity_per_s(const struct run *r)
{
	double speeds = 0;

	for (unsigned i = 0; i < r->fleet->targets; i++)
		speeds += r->targets[i].speed;
	/* Slow stretches: a fifth of the time at a third of the speed. */
	if (r->slow)
		speeds *= 1 - 0.2 * (1 - 1 / STRETCH_FACTOR);
	return speeds * r->fleet->places * 1000 / r->fleet->work_ms;
}

static int compare_float(const void *a, const void *b)
{
	float x = *(const float *)a;
	float y = *(const float *)b;

	return (x > y) - (x < y);
}

struct result {
	double busiest;
	double p99_ms;
	double refused;		  /* percent of the attempts */
	double refused_with_room; /* percent of the attempts */
	double far;		  /* percent of the attempts */
	double given_up;	  /* percent of the requests */
};

static struct result run(const struct fleet *fleet, unsigned choosers,
			 int64_t report_ms, double load, int slow, int spread)
{
	static struct run r;
	struct result out;
	double due = 0;

	r = (struct run){ .fleet = fleet,
			  .choosers = choosers,
			  .report_ms = report_ms,
			  .load = load,
			  .slow = slow,
			  .spread = spread };
	set_up(&r);
	for (r.now_ms = 1; r.now_ms < RUN_MS; r.now_ms++) {
		double gap = 1000 / (load * capacity_per_s(&r));

		run_events(&r);
		while (due < (double)r.now_ms) {
			struct request q = { .arrived_ms = r.now_ms };

			q.chooser = (unsigned)g_rand_int_range(
				r.rand, 0, (gint32)choosers);
			r.arrived += r.now_ms >= WARM_UP_MS;
			send_request(&r, &q);
			due -= gap * log(1 - g_rand_double(r.rand));
		}
		if (r.now_ms % 1000 == 999)
			end_second(&r);
	}
	g_array_sort(r.times, compare_float);
	out.busiest = r.busiest / r.seconds;
	out.p99_ms =
		(double)g_array_index(r.times, float, r.times->len * 99 / 100);
	out.refused = 100. * r.refused / r.sent;
	out.refused_with_room = 100. * r.refused_with_room / r.sent;
	out.far = 100. * r.far / r.sent;
	out.given_up = 100. * r.given_up / r.arrived;
	tear_down(&r);
	return out;
}

static void print(const char *name, const char *what, double value,
		  const char *unit)
{
	char line[128];

	snprintf(line, sizeof(line), "spread.%s.%s", name, what);
	out_value(line, value, unit);
}

static void print_result(const char *name, const struct result *r)
{
	print(name, "busiest", r->busiest, "of_mean");
	print(name, "p99", r->p99_ms, "ms");
	print(name, "refused", r->refused, "%");
	print(name, "refused_with_room", r->refused_with_room, "%");
	print(name, "far", r->far, "%");
	print(name, "given_up", r->given_up, "%");
}

static void add_part(struct result *sum, const struct result *r, double part)
{
	sum->busiest += part * r->busiest;
	sum->p99_ms += part * r->p99_ms;
	sum->refused += part * r->refused;
	sum->refused_with_room += part * r->refused_with_room;
	sum->far += part * r->far;
	sum->given_up += part * r->given_up;
}

/* Prints the mean over the numbers of choosers and the delays of reports. */
static void run_cases(const struct fleet *fleet, double load, int slow,
		      int spread, int all)
{
	static const unsigned choosers[] = { 10, 87, 300 };
	static const int64_t delays[] = { 50, 200, 800 };
	const double cases = 9; /* of choosers and delays */
	struct result mean = { 0 };
	char kind[48];
	char name[96];

	snprintf(kind, sizeof(kind), "%s.%s.%.1f.%s", spread ? "on" : "off",
		 fleet->name, load, slow ? "slow" : "steady");
	for (size_t c = 0; c < G_N_ELEMENTS(choosers); c++) {
		for (size_t d = 0; d < G_N_ELEMENTS(delays); d++) {
			struct result r = run(fleet, choosers[c], delays[d],
					      load, slow, spread);

			add_part(&mean, &r, 1 / cases);
			snprintf(name, sizeof(name), "%s.%u.%dms", kind,
				 choosers[c], (int)delays[d]);
			if (all)
				print_result(name, &r);
		}
	}
	print_result(kind, &mean);
}

int main(int argc, char **argv)
{
	static const double speeds_29[] = { 0.5, 1, 1, 1.5 };
	static const double speeds_6[] = { 0.6, 1, 1.4 };
	static const struct fleet fleets[] = {
		{ "29x12", 29, 12, 340, speeds_29, G_N_ELEMENTS(speeds_29) },
		{ "6x18", 6, 18, 260, speeds_6, G_N_ELEMENTS(speeds_6) },
	};
	static const double loads[] = { 0.6, 0.9, 1.1 };
	int all = argc > 1 && strcmp(argv[1], "all") == 0;

	for (size_t f = 0; f < G_N_ELEMENTS(fleets); f++) {
		for (size_t l = 0; l < G_N_ELEMENTS(loads); l++) {
			for (int way = 0; way < 4; way++)
				run_cases(&fleets[f], loads[l], way / 2,
					  way % 2, all);
		}
	}
	return out_status();
}
