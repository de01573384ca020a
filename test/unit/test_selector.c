#include "placement/selector.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define TARGETS 6
#define PLACES 18

/*
 * Simulation of TARGETS targets of different speeds that receive the requests
 * of one ingress. A request takes base_ms / speed once it runs. A gate in
 * front of each target queues requests beyond PLACES running ones, and reports
 * its load with each answer.
 */
#define QUEUE_PLACES 40

struct request {
	int64_t sent_ms;
	int64_t done_ms; /* when it ends; 0: queued */
	int failed;
	unsigned kind; /* index in kinds; 0: run_load's base_ms */
};

/*
 * Kinds of test_kinds: look-ups made by other requests, and bookings. Each
 * takes half of the capacity.
 */
#define KINDS 3
static const double kind_ms[KINDS] = { 0, 80, 900 };

struct target {
	double speed;
	double fail_rate; /* part of the answers that are failures */
	int unreachable;
	GArray *requests; /* running ones first, then the queue */
	unsigned running;
	unsigned served;
	unsigned refused;
	unsigned failed;
	double busy_ms;	   /* time of its places that was used */
	double latency_ms; /* moving averages, as a gate has them */
	double by_kind[KINDS];
};

struct simulation {
	struct selector selector;
	struct selector_candidate list[TARGETS];
	struct target targets[TARGETS];
	GRand *rand;
	int64_t now_ms;
	int use_least_outstanding; /* instead of the selector */
	int with_kinds;		   /* kinds 1 and 2 instead of base_ms */
	int apart;		   /* kind 1 to one half of the targets only */
	double base_ms;
	double total_answer_ms; /* sum over all answers */
};

static void simulation_init(struct simulation *s)
{
	memset(s, 0, sizeof(*s));
	selector_init(&s->selector);
	s->rand = g_rand_new_with_seed(7);
	for (size_t i = 0; i < TARGETS; i++) {
		s->list[i].id = (uint32_t)i + 1;
		s->list[i].distance = SELECTOR_SAME_DATA_CENTRE;
		s->list[i].places = PLACES;
		s->targets[i].speed = 1;
		s->targets[i].requests =
			g_array_new(FALSE, FALSE, sizeof(struct request));
	}
}

static void simulation_finish(struct simulation *s)
{
	selector_finish(&s->selector);
	for (size_t i = 0; i < TARGETS; i++)
		g_array_unref(s->targets[i].requests);
	g_rand_free(s->rand);
}

static double service_ms(const struct simulation *s, const struct target *t,
			 const struct request *r)
{
	return (r->kind ? kind_ms[r->kind] : s->base_ms) / t->speed;
}

static void start_queued(struct simulation *s, struct target *t)
{
	for (guint i = 0; i < t->requests->len && t->running < PLACES; i++) {
		struct request *r =
			&g_array_index(t->requests, struct request, i);

		if (r->done_ms)
			continue;
		r->done_ms = s->now_ms + (int64_t)service_ms(s, t, r);
		t->running++;
	}
}

static void update_average(double *mean, double value)
{
	*mean = *mean > 0 ? *mean + 0.05 * (value - *mean) : value;
}

static void finish_request(struct simulation *s, size_t k, guint i)
{
	struct target *t = &s->targets[k];
	struct request r = g_array_index(t->requests, struct request, i);
	struct selector_load load;

	double ms = service_ms(s, t, &r);

	g_array_remove_index(t->requests, i);
	t->running--;
	t->busy_ms += ms;
	update_average(&t->latency_ms, ms);
	update_average(&t->by_kind[r.kind], ms);
	load = (struct selector_load){
		.running = t->running,
		.queued = t->requests->len - t->running,
		.places = PLACES,
		.latency_us = (uint32_t)(t->latency_ms * 1000),
		.kind = r.kind,
		.kind_latency_us = (uint32_t)(t->by_kind[r.kind] * 1000),
	};
	if (r.failed)
		t->failed++;
	else
		t->served++;
	s->total_answer_ms += (double)(s->now_ms - r.sent_ms);
	selector_note_ended(&s->selector, s->list[k].id,
			    r.failed ? SELECTOR_FAILED : SELECTOR_ANSWERED,
			    &load, s->now_ms);
}

static void finish_due_requests(struct simulation *s)
{
	for (size_t k = 0; k < TARGETS; k++) {
		struct target *t = &s->targets[k];

		for (guint i = 0; i < t->requests->len;) {
			const struct request *r =
				&g_array_index(t->requests, struct request, i);

			if (r->done_ms && r->done_ms <= s->now_ms)
				finish_request(s, k, i);
			else
				i++;
		}
		start_queued(s, t);
	}
}

static size_t least_outstanding(const struct simulation *s)
{
	size_t best = 0;

	for (size_t k = 1; k < TARGETS; k++) {
		if (s->targets[k].requests->len <
		    s->targets[best].requests->len)
			best = k;
	}
	return best;
}

static unsigned draw_kind(struct simulation *s)
{
	double lookups = kind_ms[2] / (kind_ms[1] + kind_ms[2]);

	if (!s->with_kinds)
		return 0;
	return g_rand_double(s->rand) < lookups ? 1 : 2;
}

static size_t choose(struct simulation *s, unsigned kind, size_t bytes)
{
	if (s->use_least_outstanding)
		return least_outstanding(s);
	if (s->apart)
		return (size_t)g_rand_int_range(s->rand, 0, TARGETS / 2) +
		       (kind == 1 ? 0 : TARGETS / 2);
	return selector_pick(&s->selector, s->list, TARGETS, kind, bytes,
			     s->now_ms, g_rand_double(s->rand), NULL);
}

static void send_one(struct simulation *s, size_t bytes)
{
	unsigned kind = draw_kind(s);
	size_t k = choose(s, kind, bytes);
	struct target *t = &s->targets[k];
	struct request r = { .sent_ms = s->now_ms, .kind = kind };

	selector_note_sent(&s->selector, s->list[k].id);
	if (t->unreachable || t->requests->len >= PLACES + QUEUE_PLACES) {
		t->refused++;
		selector_note_ended(&s->selector, s->list[k].id,
				    t->unreachable ? SELECTOR_UNREACHABLE
						   : SELECTOR_REFUSED,
				    NULL, s->now_ms);
		return;
	}
	r.failed = g_rand_double(s->rand) < t->fail_rate;
	g_array_append_val(t->requests, r);
	start_queued(s, t);
}

/* Sends per_s requests per second for ms milliseconds. */
static void run_load(struct simulation *s, int64_t ms, double per_s,
		     double base_ms, size_t bytes)
{
	double due = 0;

	s->base_ms = base_ms;
	for (int64_t end = s->now_ms + ms; s->now_ms < end; s->now_ms++) {
		finish_due_requests(s);
		due += per_s / 1000;
		while (due >= 1) {
			due--;
			send_one(s, bytes);
		}
	}
}

static unsigned count_refused(const struct simulation *s)
{
	unsigned n = 0;

	for (size_t i = 0; i < TARGETS; i++)
		n += s->targets[i].refused;
	return n;
}

static unsigned count_served(const struct simulation *s)
{
	unsigned n = 0;

	for (size_t i = 0; i < TARGETS; i++)
		n += s->targets[i].served;
	return n;
}

static double mean_answer_ms(int use_least_outstanding)
{
	static const double speeds[TARGETS] = { 0.5, 1, 1, 1.5, 0.7, 1.6 };
	struct simulation s;
	double mean;

	simulation_init(&s);
	s.use_least_outstanding = use_least_outstanding;
	for (size_t i = 0; i < TARGETS; i++)
		s.targets[i].speed = speeds[i];
	/* Capacity: 6.3 x 18 places / 0.1 s = 1134 requests per second. */
	run_load(&s, 6000, 960, 100, 1000);
	g_assert_cmpuint(count_refused(&s), ==, 0);
	mean = s.total_answer_ms / count_served(&s);
	simulation_finish(&s);
	return mean;
}

/*
 * Guards against a selection that is worse than least outstanding requests,
 * which loads slow targets as much as fast ones. Load: 85% of the capacity, on
 * targets whose speeds differ by more than two to one.
 */
static void test_uneven_speeds(void)
{
	double selector_ms = mean_answer_ms(0);
	double least_outstanding_ms = mean_answer_ms(1);

	g_assert_cmpfloat(selector_ms, <, least_outstanding_ms);
}

/*
 * Guards against requests that are still sent to a failing target, and against
 * a target that is never tried again. One of six targets answers half of its
 * requests with a failure although it seems healthy.
 */
static void test_partial_failure(void)
{
	struct simulation s;

	simulation_init(&s);
	run_load(&s, 2000, 400, 100, 1000);
	s.targets[2].fail_rate = 0.5;
	s.targets[2].served = s.targets[2].failed = 0;
	run_load(&s, 6000, 400, 100, 1000);
	/* An even share, a sixth of 2400 requests, would be 400. */
	g_assert_cmpuint(s.targets[2].served + s.targets[2].failed, <, 120);
	s.targets[2].fail_rate = 0;
	run_load(&s, 6000, 400, 100, 1000);
	s.targets[2].served = 0;
	run_load(&s, 3000, 400, 100, 1000);
	g_assert_cmpuint(s.targets[2].served, >, 100);
	simulation_finish(&s);
}

/* Guards against an even share of the requests for a target turned slow. */
static void test_slow(void)
{
	struct simulation s;

	simulation_init(&s);
	run_load(&s, 2000, 400, 100, 1000);
	s.targets[1].speed = 0.1;
	run_load(&s, 2000, 400, 100, 1000);
	s.targets[1].served = 0;
	run_load(&s, 4000, 400, 100, 1000);
	g_assert_cmpuint(s.targets[1].served, <, 1600 / TARGETS / 2);
	simulation_finish(&s);
}

/* Guards against large bodies leaving the data centre to save little time. */
static void test_large_bodies(void)
{
	struct simulation s;

	simulation_init(&s);
	for (size_t i = 0; i < TARGETS; i++)
		s.list[i].distance = SELECTOR_OTHER_REGION;
	s.list[3].distance = SELECTOR_SAME_DATA_CENTRE;
	s.targets[3].speed = 0.7;
	run_load(&s, 5000, 60, 140, 60000);
	g_assert_cmpuint(s.targets[3].served, >, count_served(&s) * 95 / 100);
	/* When the near target is full, the others get requests, too. */
	run_load(&s, 2000, 200, 140, 1000);
	g_assert_cmpuint(count_refused(&s), <, 40);
	g_assert_cmpuint(s.targets[3].served, <, count_served(&s));
	simulation_finish(&s);
}

/* Guards against requests sent again and again to a target that has left. */
static void test_unreachable(void)
{
	struct simulation s;

	simulation_init(&s);
	run_load(&s, 1000, 400, 100, 1000);
	s.targets[0].unreachable = 1;
	run_load(&s, 4000, 400, 100, 1000);
	g_assert_cmpuint(s.targets[0].refused, <=, 4 * 1000 / 400 + 2);
	simulation_finish(&s);
}

/*
 * Guards against targets that attract all of the short requests, because these
 * make them look fast, while targets with long requests idle. For 5 s, one half
 * of the targets has only short ones, as after refusals of one kind; then the
 * load is 0.9 of the capacity for 5 s. Each target must do its part of the
 * work.
 */
static void test_kinds(void)
{
	double per_s =
		0.9 * TARGETS * PLACES * 1000 /
		(2 * kind_ms[1] * kind_ms[2] / (kind_ms[1] + kind_ms[2]));
	struct simulation s;
	double sum = 0;

	simulation_init(&s);
	s.with_kinds = 1;
	s.apart = 1;
	run_load(&s, 5000, 0.5 * per_s, 0, 1000);
	s.apart = 0;
	for (size_t i = 0; i < TARGETS; i++)
		s.targets[i].busy_ms = 0;
	run_load(&s, 5000, per_s, 0, 1000);
	for (size_t i = 0; i < TARGETS; i++)
		sum += s.targets[i].busy_ms;
	for (size_t i = 0; i < TARGETS; i++) {
		g_assert_cmpfloat(s.targets[i].busy_ms, >,
				  0.85 * sum / TARGETS);
		g_assert_cmpfloat(s.targets[i].busy_ms, <,
				  1.15 * sum / TARGETS);
	}
	g_assert_cmpuint(count_refused(&s), ==, 0);
	simulation_finish(&s);
}

/* Guards against an equal share of the requests for a cold target. */
static void test_cold_start(void)
{
	struct simulation s;
	size_t cold = 0;

	simulation_init(&s);
	run_load(&s, 1000, 200, 100, 1000);
	selector_set_cold(&s.selector, 1, s.now_ms + 3000);
	for (int i = 0; i < 600; i++)
		cold += selector_pick(&s.selector, s.list, TARGETS, 0, 1000,
				      s.now_ms, g_rand_double(s.rand),
				      NULL) == 0;
	g_assert_cmpuint(cold, <, 20);
	g_assert_cmpuint(
		selector_pick(&s.selector, s.list, 0, 0, 0, 0, 0, NULL), ==,
		SIZE_MAX);
	simulation_finish(&s);
}

static unsigned count_sent(const struct simulation *s, size_t first,
			   size_t count)
{
	unsigned n = 0;

	for (size_t i = first; i < first + count; i++)
		n += s->targets[i].served + s->targets[i].refused +
		     s->targets[i].requests->len;
	return n;
}

/*
 * Guards against cold targets that have to refuse most of what they get. Load:
 * 300 requests/s of 100 ms, and three of six targets return cold and take 10/s
 * each. When all are cold, they still get the requests by equal parts.
 */
static void test_cold_data_centre(void)
{
	struct simulation s;
	unsigned before;

	simulation_init(&s);
	run_load(&s, 1000, 300, 100, 1000);
	for (uint32_t id = 1; id <= TARGETS / 2; id++)
		selector_note_announced_cold(&s.selector, id, 1, 6000, 10,
					     s.now_ms);
	before = count_sent(&s, 0, TARGETS / 2);
	run_load(&s, 3000, 300, 100, 1000);
	g_assert_cmpuint(count_sent(&s, 0, TARGETS / 2) - before, <=,
			 3 * 3 * 10);
	/* A reply that says that it is warm ends it, whatever the map says. */
	selector_set_cold_rate(&s.selector, 1, 0, 10);
	selector_note_announced_cold(&s.selector, 1, 1, 6000, 10, s.now_ms);
	before = count_sent(&s, 0, 1);
	run_load(&s, 1000, 300, 100, 1000);
	g_assert_cmpuint(count_sent(&s, 0, 1) - before, >, 300 / TARGETS / 2);
	for (uint32_t id = 1; id <= TARGETS; id++)
		selector_set_cold_rate(&s.selector, id, s.now_ms + 6000, 10);
	for (size_t i = 0; i < TARGETS; i++) {
		before = count_sent(&s, i, 1);
		run_load(&s, 500, 300, 100, 1000);
		g_assert_cmpuint(count_sent(&s, i, 1) - before, >,
				 150 / TARGETS / 2);
	}
	simulation_finish(&s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/selector/uneven-speeds", test_uneven_speeds);
	g_test_add_func("/selector/partial-failure", test_partial_failure);
	g_test_add_func("/selector/slow", test_slow);
	g_test_add_func("/selector/large-bodies", test_large_bodies);
	g_test_add_func("/selector/unreachable", test_unreachable);
	g_test_add_func("/selector/kinds", test_kinds);
	g_test_add_func("/selector/cold-start", test_cold_start);
	g_test_add_func("/selector/cold-data-centre", test_cold_data_centre);
	return g_test_run();
}
