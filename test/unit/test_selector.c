#include "placement/selector.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define TARGETS 6
#define PLACES 18

/*
 * A small world: TARGETS targets with places and speeds, fed by one ingress.
 * Each request takes base_ms / speed once it runs; a gate in front of each
 * target queues what finds no place. Targets answer through their gate's
 * report as in production.
 */
#define QUEUE 40

struct request {
	int64_t sent_ms;
	int64_t done_ms; /* 0: queued */
	int failed;
};

struct target {
	double speed;
	double fail; /* part of the answers that fail */
	int gone;
	GArray *requests; /* running ones first, then the queue */
	unsigned running;
	unsigned served;
	unsigned refused;
	unsigned failed;
};

struct world {
	struct selector selector;
	struct selector_candidate list[TARGETS];
	struct target targets[TARGETS];
	GRand *rand;
	int64_t now_ms;
	int plain; /* least outstanding requests instead of choose */
	double base_ms;
	double waited_ms; /* of all answered ones */
};

static void world_init(struct world *w)
{
	memset(w, 0, sizeof(*w));
	selector_init(&w->selector);
	w->rand = g_rand_new_with_seed(7);
	for (size_t i = 0; i < TARGETS; i++) {
		w->list[i].id = (uint32_t)i + 1;
		w->list[i].distance = SELECTOR_SAME_DATA_CENTRE;
		w->list[i].places = PLACES;
		w->targets[i].speed = 1;
		w->targets[i].requests =
			g_array_new(FALSE, FALSE, sizeof(struct request));
	}
}

static void world_finish(struct world *w)
{
	selector_finish(&w->selector);
	for (size_t i = 0; i < TARGETS; i++)
		g_array_unref(w->targets[i].requests);
	g_rand_free(w->rand);
}

static void start_queued(struct world *w, struct target *t)
{
	for (guint i = 0; i < t->requests->len && t->running < PLACES; i++) {
		struct request *r =
			&g_array_index(t->requests, struct request, i);

		if (r->done_ms)
			continue;
		r->done_ms = w->now_ms + (int64_t)(w->base_ms / t->speed);
		t->running++;
	}
}

static void end_one(struct world *w, size_t k, guint i)
{
	struct target *t = &w->targets[k];
	struct request r = g_array_index(t->requests, struct request, i);
	struct selector_load load;

	g_array_remove_index(t->requests, i);
	t->running--;
	load = (struct selector_load){
		t->running, t->requests->len - t->running, PLACES,
		(uint32_t)(w->base_ms / t->speed * 1000)
	};
	if (r.failed)
		t->failed++;
	else
		t->served++;
	w->waited_ms += (double)(w->now_ms - r.sent_ms);
	selector_note_ended(&w->selector, w->list[k].id,
			    r.failed ? SELECTOR_FAILED : SELECTOR_ANSWERED,
			    &load, w->now_ms);
}

static void end_due(struct world *w)
{
	for (size_t k = 0; k < TARGETS; k++) {
		struct target *t = &w->targets[k];

		for (guint i = 0; i < t->requests->len;) {
			const struct request *r =
				&g_array_index(t->requests, struct request, i);

			if (r->done_ms && r->done_ms <= w->now_ms)
				end_one(w, k, i);
			else
				i++;
		}
		start_queued(w, t);
	}
}

static size_t least_outstanding(const struct world *w)
{
	size_t best = 0;

	for (size_t k = 1; k < TARGETS; k++) {
		if (w->targets[k].requests->len <
		    w->targets[best].requests->len)
			best = k;
	}
	return best;
}

static void send_one(struct world *w, size_t bytes)
{
	size_t k = w->plain ? least_outstanding(w)
			    : selector_pick(&w->selector, w->list, TARGETS,
					    bytes, w->now_ms,
					    g_rand_double(w->rand), NULL);
	struct target *t = &w->targets[k];
	struct request r = { .sent_ms = w->now_ms };

	selector_note_sent(&w->selector, w->list[k].id);
	if (t->gone || t->requests->len >= PLACES + QUEUE) {
		t->refused++;
		selector_note_ended(&w->selector, w->list[k].id,
				    t->gone ? SELECTOR_UNREACHABLE
					    : SELECTOR_REFUSED,
				    NULL, w->now_ms);
		return;
	}
	r.failed = g_rand_double(w->rand) < t->fail;
	g_array_append_val(t->requests, r);
	start_queued(w, t);
}

/* Sends per_s requests a second for the given time. */
static void play(struct world *w, int64_t ms, double per_s, double base_ms,
		 size_t bytes)
{
	double due = 0;

	w->base_ms = base_ms;
	for (int64_t end = w->now_ms + ms; w->now_ms < end; w->now_ms++) {
		end_due(w);
		due += per_s / 1000;
		while (due >= 1) {
			due--;
			send_one(w, bytes);
		}
	}
}

static unsigned total_refused(const struct world *w)
{
	unsigned n = 0;

	for (size_t i = 0; i < TARGETS; i++)
		n += w->targets[i].refused;
	return n;
}

static unsigned total_served(const struct world *w)
{
	unsigned n = 0;

	for (size_t i = 0; i < TARGETS; i++)
		n += w->targets[i].served;
	return n;
}

static double mean_wait(int plain)
{
	static const double speeds[TARGETS] = { 0.5, 1, 1, 1.5, 0.7, 1.6 };
	struct world w;
	double mean;

	world_init(&w);
	w.plain = plain;
	for (size_t i = 0; i < TARGETS; i++)
		w.targets[i].speed = speeds[i];
	/* Capacity: 6.3 x 18 places / 0.1 s = 1134 a second. */
	play(&w, 6000, 960, 100, 1000);
	g_assert_cmpuint(total_refused(&w), ==, 0);
	mean = w.waited_ms / total_served(&w);
	world_finish(&w);
	return mean;
}

/*
 * Load: 85% of all places, speeds differ by more than two to one. Guards
 * against a choice that is worse than the least outstanding requests, which
 * fill the slow targets as much as the fast ones.
 */
static void test_busy_and_unlike(void)
{
	double own = mean_wait(0);
	double least = mean_wait(1);

	g_assert_cmpfloat(own, <, least);
}

/*
 * Load: one of six targets fails half of its answers while it seems healthy.
 * Guards against requests that go on being lost there, and against a target
 * that is never tried again.
 */
static void test_grey(void)
{
	struct world w;

	world_init(&w);
	play(&w, 2000, 400, 100, 1000);
	w.targets[2].fail = 0.5;
	w.targets[2].served = w.targets[2].failed = 0;
	play(&w, 6000, 400, 100, 1000);
	/* A sixth of 2400 would be 400. */
	g_assert_cmpuint(w.targets[2].served + w.targets[2].failed, <, 120);
	w.targets[2].fail = 0;
	play(&w, 6000, 400, 100, 1000);
	w.targets[2].served = 0;
	play(&w, 3000, 400, 100, 1000);
	g_assert_cmpuint(w.targets[2].served, >, 100);
	world_finish(&w);
}

/* Load: a target turns slow. Guards against an even share for it. */
static void test_slow(void)
{
	struct world w;

	world_init(&w);
	play(&w, 2000, 400, 100, 1000);
	w.targets[1].speed = 0.1;
	play(&w, 2000, 400, 100, 1000);
	w.targets[1].served = 0;
	play(&w, 4000, 400, 100, 1000);
	g_assert_cmpuint(w.targets[1].served, <, 1600 / TARGETS / 2);
	world_finish(&w);
}

/* Guards against large bodies that leave the data centre for a little time. */
static void test_volume(void)
{
	struct world w;

	world_init(&w);
	for (size_t i = 0; i < TARGETS; i++)
		w.list[i].distance = SELECTOR_OTHER_REGION;
	w.list[3].distance = SELECTOR_SAME_DATA_CENTRE;
	w.targets[3].speed = 0.7;
	play(&w, 5000, 60, 140, 60000);
	g_assert_cmpuint(w.targets[3].served, >, total_served(&w) * 95 / 100);
	/* Full, it gives work away all the same. */
	play(&w, 2000, 200, 140, 1000);
	g_assert_cmpuint(total_refused(&w), <, 40);
	g_assert_cmpuint(w.targets[3].served, <, total_served(&w));
	world_finish(&w);
}

/* Guards against a target that left and is asked again and again. */
static void test_gone(void)
{
	struct world w;

	world_init(&w);
	play(&w, 1000, 400, 100, 1000);
	w.targets[0].gone = 1;
	play(&w, 4000, 400, 100, 1000);
	g_assert_cmpuint(w.targets[0].refused, <=, 4 * 1000 / 400 + 2);
	world_finish(&w);
}

/* Guards against a cold target that gets an equal share at once. */
static void test_cold(void)
{
	struct world w;
	size_t cold = 0;

	world_init(&w);
	play(&w, 1000, 200, 100, 1000);
	selector_set_cold(&w.selector, 1, w.now_ms + 3000);
	for (int i = 0; i < 600; i++)
		cold += selector_pick(&w.selector, w.list, TARGETS, 1000,
				      w.now_ms, g_rand_double(w.rand),
				      NULL) == 0;
	g_assert_cmpuint(cold, <, 20);
	g_assert_cmpuint(selector_pick(&w.selector, w.list, 0, 0, 0, 0, NULL),
			 ==, SIZE_MAX);
	world_finish(&w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/choose/busy_and_unlike", test_busy_and_unlike);
	g_test_add_func("/choose/grey", test_grey);
	g_test_add_func("/choose/slow", test_slow);
	g_test_add_func("/choose/volume", test_volume);
	g_test_add_func("/choose/gone", test_gone);
	g_test_add_func("/choose/cold", test_cold);
	return g_test_run();
}
