#include "bench/common_out.h"
#include "limits/admission.h"
#include "limits/adaptive_limit.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>

/*
 * Goodput of one target past its saturation: fixed limit (the announced
 * concurrency), adaptive limit, no limit. The target works on `real` requests
 * at full speed; with more it shares, and loses 2% of its speed for each.
 * Arrivals are open-loop, two tenants, one of which sends bursts of 36.
 */

#define SERVICE_MS 50.0
#define DEADLINE_MS 1000
#define QUEUE 64
#define CALM_MS 20000.0
#define RUN_MS 80000.0
#define MOST 4096
#define THRASH 0.02
#define BURST 36

enum way { FIXED, ADAPTIVE, UNLIMITED };

struct job {
	struct admission_item item; /* first: admission_next returns it */
	double work;		    /* milliseconds left at full speed */
	double sent_ms;
	uint32_t in_flight;
	int burst;
	int used;
};

struct target {
	const char *name;
	uint32_t announced;
	uint32_t real;
	double slow_from_ms; /* four times slower for a while */
	double slow_to_ms;
};

struct sim {
	const struct target *target;
	enum way way;
	GRand *rand;
	struct admission admission;
	struct adaptive_limit adaptive_limit;
	struct job jobs[MOST];
	struct job *running[MOST];
	size_t count;
	double now;
	double answered; /* in time, after CALM_MS */
	double late;
	double shed;
	double expired;
	double single; /* answered, tenant without bursts */
	double single_all;
};

static double exponential(struct sim *s, double mean)
{
	return -mean * log(1 - g_rand_double(s->rand));
}

/* Work done per millisecond for each of the running jobs. */
static double speed(const struct sim *s)
{
	double n = (double)s->count;
	double real = s->target->real;
	double v = 1;

	if (n > real)
		v = real / n / (1 + THRASH * (n - real));
	if (s->now >= s->target->slow_from_ms && s->now < s->target->slow_to_ms)
		v /= 4;
	return v;
}

static void send(struct sim *s, struct job *j)
{
	j->sent_ms = s->now;
	s->running[s->count++] = j;
	j->in_flight = (uint32_t)s->count;
}

static void set_limit(struct sim *s)
{
	uint32_t limit = s->target->announced;

	if (s->way == ADAPTIVE)
		limit = adaptive_limit_get(&s->adaptive_limit);
	if (s->way == UNLIMITED)
		limit = MOST - QUEUE;
	admission_set_limits(&s->admission, limit, QUEUE, 1);
}

static void pump(struct sim *s)
{
	int64_t now = (int64_t)s->now;
	struct admission_item *it;

	while ((it = admission_expire(&s->admission, now))) {
		((struct job *)it)->used = 0;
		s->expired++;
	}
	set_limit(s);
	while ((it = admission_next(&s->admission, now)))
		send(s, (struct job *)it);
}

static void arrive(struct sim *s, int burst)
{
	int64_t now = (int64_t)s->now;
	struct job *j = NULL;
	size_t i;

	for (i = 0; i < MOST && !j; i++) {
		if (!s->jobs[i].used)
			j = &s->jobs[i];
	}
	if (!burst && s->now > CALM_MS)
		s->single_all++;
	if (!j) {
		s->shed++;
		return;
	}
	j->used = 1;
	j->burst = burst;
	j->work = exponential(s, SERVICE_MS);
	switch (admission_submit(&s->admission, &j->item,
				 burst ? "fleet" : "single", now,
				 now + DEADLINE_MS)) {
	case ADMISSION_RUN:
		send(s, j);
		return;
	case ADMISSION_QUEUE:
		return;
	case ADMISSION_SHED:
		break;
	}
	j->used = 0;
	s->shed++;
}

static void finish(struct sim *s, size_t i)
{
	struct job *j = s->running[i];

	s->running[i] = s->running[--s->count];
	adaptive_limit_sample(&s->adaptive_limit,
			      (uint64_t)(1000 * (s->now - j->sent_ms)),
			      j->in_flight, 0);
	if (s->now > CALM_MS && s->now <= (double)j->item.deadline_ms) {
		s->answered++;
		s->single += !j->burst;
	} else if (s->now > CALM_MS) {
		s->late++;
	}
	admission_done(&s->admission, &j->item, (int64_t)s->now);
	j->used = 0;
	pump(s);
}

/* Advances to the next end of a job or to `until`, whichever is first. */
static void advance(struct sim *s, double until)
{
	while (s->now < until) {
		double v = speed(s);
		double dt = until - s->now;
		size_t next = s->count;
		size_t i;

		for (i = 0; i < s->count; i++) {
			if (s->running[i]->work / v <= dt) {
				dt = s->running[i]->work / v;
				next = i;
			}
		}
		for (i = 0; i < s->count; i++)
			s->running[i]->work -= dt * v;
		s->now += dt;
		if (next < s->count)
			finish(s, next);
	}
	pump(s);
}

struct result {
	double goodput; /* answered in time, by second */
	double late;
	double shed;
	double single; /* part of the single tenant that was answered */
};

static struct result run(const struct target *t, enum way way, double load)
{
	static struct sim s;
	double mean = SERVICE_MS / t->real / load;
	struct result r;
	double burst = CALM_MS;

	s = (struct sim){ .target = t, .way = way };
	s.rand = g_rand_new_with_seed(1);
	admission_init(&s.admission, t->announced, QUEUE, 1);
	adaptive_limit_init(&s.adaptive_limit, 1, t->announced);
	set_limit(&s);
	while (s.now < RUN_MS) {
		double calm = s.now < CALM_MS / 2 ? 2 : 1;
		int i;

		/* Half of saturation at first, so that the limit learns. */
		if (s.now < CALM_MS / 2)
			calm = MAX(1, load * 2);
		advance(&s, s.now + exponential(&s, mean * calm));
		arrive(&s, 0);
		if (s.now < burst)
			continue;
		burst += 2000;
		for (i = 0; i < BURST; i++)
			arrive(&s, 1);
	}
	admission_finish(&s.admission);
	g_rand_free(s.rand);
	r.goodput = 1000 * s.answered / (RUN_MS - CALM_MS);
	r.late = 1000 * s.late / (RUN_MS - CALM_MS);
	r.shed = 1000 * (s.shed + s.expired) / RUN_MS;
	r.single = 100 * s.single / s.single_all;
	return r;
}

static void sweep(const struct target *t, enum way way, const char *way_name)
{
	static const double loads[] = { 0.5, 0.7, 0.8, 0.9, 1, 1.2, 1.5, 2, 3 };
	struct result at[G_N_ELEMENTS(loads)];
	double peak = 0;
	char name[96];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(loads); i++) {
		at[i] = run(t, way, loads[i]);
		peak = MAX(peak, at[i].goodput);
	}
	snprintf(name, sizeof(name), "overload.%s.%s.peak", t->name, way_name);
	out_fig(name, peak, "answers/s");
	snprintf(name, sizeof(name), "overload.%s.%s.twice", t->name, way_name);
	if (way == ADAPTIVE)
		out_min(name, 100 * at[7].goodput / peak, "%", 95);
	else
		out_fig(name, 100 * at[7].goodput / peak, "%");
	snprintf(name, sizeof(name), "overload.%s.%s.triple", t->name,
		 way_name);
	out_fig(name, 100 * at[8].goodput / peak, "%");
	snprintf(name, sizeof(name), "overload.%s.%s.late_at_twice", t->name,
		 way_name);
	out_fig(name, at[7].late, "answers/s");
	snprintf(name, sizeof(name), "overload.%s.%s.shed_at_twice", t->name,
		 way_name);
	out_fig(name, at[7].shed, "requests/s");
	snprintf(name, sizeof(name), "overload.%s.%s.single_tenant_at_half",
		 t->name, way_name);
	out_fig(name, at[0].single, "%");
}

int main(void)
{
	static const struct target targets[] = {
		{ "guild", 20, 20, 0, 0 },
		{ "falaj", 15, 15, 0, 0 },
		{ "announces_triple", 60, 20, 0, 0 },
		{ "slow_phase", 20, 20, 30000, 50000 },
	};
	static const char *const ways[] = { "fixed", "adaptive", "unlimited" };
	size_t i;
	int w;

	for (i = 0; i < G_N_ELEMENTS(targets); i++) {
		for (w = FIXED; w <= UNLIMITED; w++)
			sweep(&targets[i], w, ways[w]);
	}
	return out_status();
}
