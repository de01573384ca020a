#include "bench/common_out.h"
#include "limits/admission.h"
#include "limits/adaptive_limit.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>

/*
 * Measures the goodput (requests answered within the deadline) of one target
 * beyond saturation with a fixed concurrency limit (the announced one), an
 * adaptive limit and no limit. The target runs up to real_concurrency requests
 * at full speed; more share its capacity and each costs another 2% of it.
 * Arrivals are open-loop, from two tenants, one of which sends bursts of 36.
 */

#define SERVICE_MS 50.0
#define DEADLINE_MS 1000
#define QUEUE 64
#define WARM_UP_MS 20000.0
#define RUN_MS 80000.0
#define MAX_JOBS 4096
#define OVERLOAD_SLOWDOWN 0.02
#define BURST 36

enum limit_kind { FIXED, ADAPTIVE, UNLIMITED };

struct job {
	struct admission_item item; /* first: admission_next returns it */
	double work_left;	    /* ms at full speed */
	double sent_ms;
	uint32_t in_flight;
	int burst;
	int in_use;
};

struct target {
	const char *name;
	uint32_t announced_concurrency;
	uint32_t real_concurrency;
	double slow_from_ms; /* runs at a quarter of its speed from here */
	double slow_to_ms;
};

struct sim {
	const struct target *target;
	enum limit_kind limit_kind;
	GRand *rand;
	struct admission admission;
	struct adaptive_limit adaptive_limit;
	struct job jobs[MAX_JOBS];
	struct job *running[MAX_JOBS];
	size_t count;
	double now;
	double answered; /* in time, after WARM_UP_MS */
	double late;
	double shed;
	double expired;
	double single_answered; /* of the tenant without bursts */
	double single_sent;
};

static double random_exponential(struct sim *s, double mean)
{
	return -mean * log(1 - g_rand_double(s->rand));
}

/* Work done per millisecond for each of the running jobs. */
static double job_speed(const struct sim *s)
{
	double n = (double)s->count;
	double real = s->target->real_concurrency;
	double v = 1;

	if (n > real)
		v = real / n / (1 + OVERLOAD_SLOWDOWN * (n - real));
	if (s->now >= s->target->slow_from_ms && s->now < s->target->slow_to_ms)
		v /= 4;
	return v;
}

static void start_job(struct sim *s, struct job *j)
{
	j->sent_ms = s->now;
	s->running[s->count++] = j;
	j->in_flight = (uint32_t)s->count;
}

static void set_limit(struct sim *s)
{
	uint32_t limit = s->target->announced_concurrency;

	if (s->limit_kind == ADAPTIVE)
		limit = adaptive_limit_get(&s->adaptive_limit);
	if (s->limit_kind == UNLIMITED)
		limit = MAX_JOBS - QUEUE;
	admission_set_limits(&s->admission, limit, QUEUE, 1);
}

static void dispatch_queued(struct sim *s)
{
	int64_t now = (int64_t)s->now;
	struct admission_item *it;

	while ((it = admission_expire(&s->admission, now))) {
		((struct job *)it)->in_use = 0;
		s->expired++;
	}
	set_limit(s);
	while ((it = admission_next(&s->admission, now)))
		start_job(s, (struct job *)it);
}

static void submit_request(struct sim *s, int burst)
{
	int64_t now = (int64_t)s->now;
	struct job *j = NULL;
	size_t i;

	for (i = 0; i < MAX_JOBS && !j; i++) {
		if (!s->jobs[i].in_use)
			j = &s->jobs[i];
	}
	if (!burst && s->now > WARM_UP_MS)
		s->single_sent++;
	if (!j) {
		s->shed++;
		return;
	}
	j->in_use = 1;
	j->burst = burst;
	j->work_left = random_exponential(s, SERVICE_MS);
	switch (admission_submit(&s->admission, &j->item,
				 burst ? "fleet" : "single", now,
				 now + DEADLINE_MS)) {
	case ADMISSION_RUN:
		start_job(s, j);
		return;
	case ADMISSION_QUEUE:
		return;
	case ADMISSION_SHED:
		break;
	}
	j->in_use = 0;
	s->shed++;
}

static void finish_job(struct sim *s, size_t i)
{
	struct job *j = s->running[i];

	s->running[i] = s->running[--s->count];
	adaptive_limit_sample(&s->adaptive_limit,
			      (uint64_t)(1000 * (s->now - j->sent_ms)),
			      j->in_flight, 0);
	if (s->now > WARM_UP_MS && s->now <= (double)j->item.deadline_ms) {
		s->answered++;
		s->single_answered += !j->burst;
	} else if (s->now > WARM_UP_MS) {
		s->late++;
	}
	admission_done(&s->admission, &j->item, (int64_t)s->now);
	j->in_use = 0;
	dispatch_queued(s);
}

/* Advances the clock to `until` and finishes the jobs that end before. */
static void advance_to(struct sim *s, double until)
{
	while (s->now < until) {
		double v = job_speed(s);
		double dt = until - s->now;
		size_t next = s->count;
		size_t i;

		for (i = 0; i < s->count; i++) {
			if (s->running[i]->work_left / v <= dt) {
				dt = s->running[i]->work_left / v;
				next = i;
			}
		}
		for (i = 0; i < s->count; i++)
			s->running[i]->work_left -= dt * v;
		s->now += dt;
		if (next < s->count)
			finish_job(s, next);
	}
	dispatch_queued(s);
}

struct result {
	double goodput; /* requests answered in time, per second */
	double late_per_s;
	double shed_per_s;
	/* Share of the requests of the tenant without bursts. */
	double single_answered_percent;
};

static struct result run(const struct target *t, enum limit_kind limit_kind,
			 double load)
{
	static struct sim s;
	double mean = SERVICE_MS / t->real_concurrency / load;
	struct result r;
	double burst = WARM_UP_MS;

	s = (struct sim){ .target = t, .limit_kind = limit_kind };
	s.rand = g_rand_new_with_seed(1);
	admission_init(&s.admission, t->announced_concurrency, QUEUE, 1);
	adaptive_limit_init(&s.adaptive_limit, 1, t->announced_concurrency);
	set_limit(&s);
	while (s.now < RUN_MS) {
		double spacing = s.now < WARM_UP_MS / 2 ? 2 : 1;
		int i;

		/* Starts at half of saturation, so that the limit adapts. */
		if (s.now < WARM_UP_MS / 2)
			spacing = MAX(1, load * 2);
		advance_to(&s, s.now + random_exponential(&s, mean * spacing));
		submit_request(&s, 0);
		if (s.now < burst)
			continue;
		burst += 2000;
		for (i = 0; i < BURST; i++)
			submit_request(&s, 1);
	}
	admission_finish(&s.admission);
	g_rand_free(s.rand);
	r.goodput = 1000 * s.answered / (RUN_MS - WARM_UP_MS);
	r.late_per_s = 1000 * s.late / (RUN_MS - WARM_UP_MS);
	r.shed_per_s = 1000 * (s.shed + s.expired) / RUN_MS;
	r.single_answered_percent = 100 * s.single_answered / s.single_sent;
	return r;
}

static void run_loads(const struct target *t, enum limit_kind limit_kind,
		      const char *limit_name)
{
	static const double loads[] = { 0.5, 0.7, 0.8, 0.9, 1, 1.2, 1.5, 2, 3 };
	struct result at[G_N_ELEMENTS(loads)];
	double peak = 0;
	char name[96];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(loads); i++) {
		at[i] = run(t, limit_kind, loads[i]);
		peak = MAX(peak, at[i].goodput);
	}
	snprintf(name, sizeof(name), "overload.%s.%s.peak", t->name,
		 limit_name);
	out_value(name, peak, "answers/s");
	snprintf(name, sizeof(name), "overload.%s.%s.twice", t->name,
		 limit_name);
	if (limit_kind == ADAPTIVE)
		out_min(name, 100 * at[7].goodput / peak, "%", 95);
	else
		out_value(name, 100 * at[7].goodput / peak, "%");
	snprintf(name, sizeof(name), "overload.%s.%s.triple", t->name,
		 limit_name);
	out_value(name, 100 * at[8].goodput / peak, "%");
	snprintf(name, sizeof(name), "overload.%s.%s.late_at_twice", t->name,
		 limit_name);
	out_value(name, at[7].late_per_s, "answers/s");
	snprintf(name, sizeof(name), "overload.%s.%s.shed_at_twice", t->name,
		 limit_name);
	out_value(name, at[7].shed_per_s, "requests/s");
	snprintf(name, sizeof(name), "overload.%s.%s.single_tenant_at_half",
		 t->name, limit_name);
	out_value(name, at[0].single_answered_percent, "%");
}

int main(void)
{
	static const struct target targets[] = {
		{ "guild", 20, 20, 0, 0 },
		{ "falaj", 15, 15, 0, 0 },
		{ "announces_triple", 60, 20, 0, 0 },
		{ "slow_phase", 20, 20, 30000, 50000 },
	};
	static const char *const limit_names[] = { "fixed", "adaptive",
						   "unlimited" };
	size_t i;
	int w;

	for (i = 0; i < G_N_ELEMENTS(targets); i++) {
		for (w = FIXED; w <= UNLIMITED; w++)
			run_loads(&targets[i], w, limit_names[w]);
	}
	return out_status();
}
