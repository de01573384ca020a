#include "bench/common_out.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Evaluates stalling for a slow server: jobs wait for the fast server until K
 * of them wait, then go to the slow one, then into a common queue. See
 * Kaklauskas, Sakalauskas, Denisovas, "Stalling for solving slow server
 * problem".
 *
 * The first part solves the Markov chain of the two servers for its steady
 * state and compares it with the worked example of the paper. The second
 * simulates a cold target that gets new keys beside a warm one, under several
 * policies.
 */

#define MAX_WAITING 600 /* the chain is cut off at this queue length */
#define MAX_SWEEPS 40000
#define MAX_K 12

/* State and rates (in jobs per time) of the Markov chain. */
struct chain {
	double lambda; /* arrivals */
	double mu1;    /* service by the fast server */
	double mu2;    /* service by the slow server */
	int k;	       /* jobs that wait before the slow server gets one */
	/* Probabilities of the states, by fast busy, slow busy, waiting. */
	double p[2][2][MAX_WAITING + 1];
};

/*
 * Returns the rate at which the chain leaves a state: a and b are 1 if the fast
 * and the slow server are busy, w is the number of jobs that wait.
 */
static double rate_out(const struct chain *c, int a, int b, int w)
{
	return (w < MAX_WAITING ? c->lambda : 0) + a * c->mu1 + b * c->mu2;
}

/* Returns the probability flow into a state from its neighbours. */
static double flow_in(const struct chain *c, int a, int b, int w)
{
	double in = 0;

	if (!a) { /* nobody waits while the fast server is idle */
		in += c->mu1 * c->p[1][b][0];
		if (!b)
			in += c->mu2 * c->p[0][1][0];
		return in;
	}
	if (w == 0)
		in += c->lambda * c->p[0][b][0];
	if (w > 0 && (b || w <= c->k))
		in += c->lambda * c->p[1][b][w - 1];
	if (b && w == c->k)
		in += c->lambda * c->p[1][0][w];
	if (w < MAX_WAITING)
		in += c->mu1 * c->p[1][b][w + 1];
	if (b && w >= c->k && w < MAX_WAITING)
		in += c->mu2 * c->p[1][1][w + 1];
	if (!b && w <= c->k)
		in += c->mu2 * c->p[1][1][w];
	return in;
}

static double update_state(struct chain *c, int a, int b, int w)
{
	double old = c->p[a][b][w];
	double now = flow_in(c, a, b, w) / rate_out(c, a, b, w);

	c->p[a][b][w] = now;
	return fabs(now - old);
}

static void normalise_chain(struct chain *c)
{
	double *p = &c->p[0][0][0];
	double sum = 0;
	size_t i;

	for (i = 0; i < sizeof(c->p) / sizeof(double); i++)
		sum += p[i];
	for (i = 0; i < sizeof(c->p) / sizeof(double); i++)
		p[i] /= sum;
}

static void set_initial(struct chain *c)
{
	int w;

	memset(c->p, 0, sizeof(c->p));
	c->p[0][0][0] = 1;
	c->p[0][1][0] = 1;
	for (w = 0; w <= MAX_WAITING; w++) {
		c->p[1][0][w] = w <= c->k ? pow(c->lambda, w + 1) : 0;
		c->p[1][1][w] = pow(c->lambda, w + 1);
	}
	normalise_chain(c);
}

/* Finds the steady state by Gauss-Seidel sweeps. */
static void solve_chain(struct chain *c)
{
	int sweep;
	int w;

	set_initial(c);
	for (sweep = 0; sweep < MAX_SWEEPS; sweep++) {
		double change =
			update_state(c, 0, 0, 0) + update_state(c, 0, 1, 0);

		for (w = 0; w <= MAX_WAITING; w++) {
			if (w <= c->k)
				change += update_state(c, 1, 0, w);
			change += update_state(c, 1, 1, w);
		}
		for (w = MAX_WAITING; w >= 0; w--) {
			if (w <= c->k)
				change += update_state(c, 1, 0, w);
			change += update_state(c, 1, 1, w);
		}
		normalise_chain(c);
		if (change < 1e-14)
			return;
	}
}

static double mean_number(const struct chain *c)
{
	double n = 0;
	int a;
	int b;
	int w;

	for (a = 0; a < 2; a++) {
		for (b = 0; b < 2; b++) {
			for (w = 0; w <= MAX_WAITING; w++)
				n += (a + b + w) * c->p[a][b][w];
		}
	}
	return n;
}

/*
 * Sets the rates for a utilisation rho and a speed ratio r = mu1 / mu2, so that
 * mu1 + mu2 = 1 and lambda = rho.
 */
static void set_rates(struct chain *c, double rho, double r)
{
	c->lambda = rho;
	c->mu2 = 1 / (1 + r);
	c->mu1 = 1 - c->mu2;
}

/*
 * Returns the K with the lowest mean number of jobs in the system. Stores this
 * number in *n and the probability that both servers are idle in *idle.
 */
static int best_k(double rho, double r, double *n, double *idle)
{
	static struct chain c;
	int best = -1;
	int k;

	set_rates(&c, rho, r);
	for (k = 0; k <= MAX_K; k++) {
		double mean;

		c.k = k;
		solve_chain(&c);
		mean = mean_number(&c);
		if (best >= 0 && mean >= *n)
			continue;
		best = k;
		*n = mean;
		*idle = c.p[0][0][0];
	}
	return best;
}

static double fast_busy_probability(const struct chain *c)
{
	double p = 0;
	int w;

	for (w = 0; w <= MAX_WAITING; w++)
		p += c->p[1][0][w] + c->p[1][1][w];
	return p;
}

static void check_example(void)
{
	static struct chain c;
	double n = 0;
	double idle = 0;
	int k = best_k(0.34, 5.19, &n, &idle);
	char name[64];
	int i;

	for (i = 0; i <= 4; i++) {
		set_rates(&c, 0.34, 5.19);
		c.k = i;
		solve_chain(&c);
		snprintf(name, sizeof(name), "stall.example.k%d.number", i);
		out_value(name, mean_number(&c), "jobs");
		snprintf(name, sizeof(name), "stall.example.k%d.idle", i);
		out_value(name, c.p[0][0][0], "probability");
	}
	/*
	 * The figures of the worked example, which has three digits. 0.393 is
	 * the probability that the fast server is busy; see docs/decisions.md.
	 */
	c.k = 2;
	solve_chain(&c);
	out_max("stall.example.best_k_error", abs(k - 2), "jobs", 0);
	out_max("stall.example.number_error", fabs(n - 0.662), "jobs", 0.0006);
	out_max("stall.example.fast_busy_error",
		fabs(fast_busy_probability(&c) - 0.393), "probability", 0.0006);
}

/*
 * A cold target gets new keys beside a warm one for WARM_UP_S seconds, while
 * its speed rises from 1/5.19 of the warm one's to the same speed.
 */
#define WARM_UP_S 30.0
#define SIMULATIONS 2000
#define WARM_RATE 20.0 /* jobs/s of the warm target: 50 ms each */
#define COLD_SPEED_RATIO 5.19
#define THRESHOLD_STEPS 16

/*
 * With the first three, the targets share one queue. The others choose a target
 * when the job arrives and keep to it, as keys with an exclusive owner need.
 */
enum policy {
	NO_STALLING,
	STALLING,     /* K is the best for the cold target's present speed */
	LEFT_OUT,     /* no jobs go to the cold target */
	BY_WEIGHT,    /* a share of new keys that grows with slow start */
	BY_HALF,      /* half of the new keys */
	OWN_STALLING, /* as STALLING, with a queue per target */
};

struct server_pair {
	enum policy policy;
	GRand *rand;
	double lambda;
	const int *k; /* best K, by step of the warm-up */
	int waiting;  /* in the common queue, or in the fast one's */
	int waiting_slow;
	int fast;
	int slow;
	double now;
};

static double speed_ratio_at(double t)
{
	double part = t / WARM_UP_S;

	return 1 / (1 / COLD_SPEED_RATIO + (1 - 1 / COLD_SPEED_RATIO) * part);
}

static int stall_threshold(const struct server_pair *p)
{
	switch (p->policy) {
	case STALLING:
		return p->k[(int)(p->now / WARM_UP_S * THRESHOLD_STEPS)];
	case LEFT_OUT:
		return MAX_WAITING;
	case NO_STALLING:
	case BY_WEIGHT:
	case BY_HALF:
	case OWN_STALLING:
		break;
	}
	return 0;
}

/*
 * Returns the share of the new keys that the cold target gets. The weight is
 * that of the slow start in placement/health.c.
 */
static double cold_share(const struct server_pair *p)
{
	double weight = 0.1 + 0.9 * p->now / WARM_UP_S;

	return p->policy == BY_HALF ? 0.5 : weight / (1 + weight);
}

static void assign_job(struct server_pair *p)
{
	int k = p->k[(int)(p->now / WARM_UP_S * THRESHOLD_STEPS)];
	int cold = p->fast && p->waiting >= k;

	if (p->policy != OWN_STALLING)
		cold = g_rand_double(p->rand) < cold_share(p);
	if (cold) {
		p->waiting_slow += p->slow;
		p->slow = 1;
	} else {
		p->waiting += p->fast;
		p->fast = 1;
	}
}

static void add_job(struct server_pair *p)
{
	if (p->policy >= BY_WEIGHT)
		assign_job(p);
	else if (!p->fast)
		p->fast = 1;
	else if (!p->slow && p->waiting >= stall_threshold(p))
		p->slow = 1;
	else
		p->waiting++;
}

static void finish_fast_job(struct server_pair *p)
{
	p->fast = p->waiting > 0;
	p->waiting -= p->fast;
}

static void finish_slow_job(struct server_pair *p)
{
	if (p->policy >= BY_WEIGHT) {
		p->slow = p->waiting_slow > 0;
		p->waiting_slow -= p->slow;
		return;
	}
	p->slow = p->waiting > stall_threshold(p);
	p->waiting -= p->slow;
}

/*
 * Simulates the warm-up and returns a job's mean time in the system in ms, by
 * Little's law.
 */
static double mean_time(enum policy policy, double lambda, const int *k)
{
	double area = 0;
	double arrivals = 0;
	GRand *r = g_rand_new_with_seed(1);
	int run;

	for (run = 0; run < SIMULATIONS; run++) {
		struct server_pair p = {
			.policy = policy, .rand = r, .lambda = lambda, .k = k
		};

		while (p.now < WARM_UP_S) {
			double f = p.fast * WARM_RATE;
			double s = p.slow * WARM_RATE / speed_ratio_at(p.now);
			double all = lambda + f + s;
			double dt = -log(1 - g_rand_double(r)) / all;
			double u = g_rand_double(r) * all;

			dt = fmin(dt, WARM_UP_S - p.now);
			area += dt *
				(p.fast + p.slow + p.waiting + p.waiting_slow);
			p.now += dt;
			if (p.now >= WARM_UP_S)
				break;
			if (u < lambda) {
				add_job(&p);
				arrivals++;
			} else if (u < lambda + f) {
				finish_fast_job(&p);
			} else {
				finish_slow_job(&p);
			}
		}
	}
	g_rand_free(r);
	return 1000 * area / arrivals;
}

static void print_mean_times(double load)
{
	static const char *const names[] = { "no_stalling", "stalling",
					     "left_out",    "by_weight",
					     "by_half",	    "own_stalling" };
	/*
	 * The load is relative to the warm target alone, so that it can also
	 * serve all jobs without the cold one.
	 */
	double lambda = load * WARM_RATE;
	int k[THRESHOLD_STEPS + 1];
	char name[64];
	int i;

	for (i = 0; i <= THRESHOLD_STEPS; i++) {
		double r = speed_ratio_at(WARM_UP_S * i / THRESHOLD_STEPS);
		double n;
		double idle;

		k[i] = best_k(lambda / (WARM_RATE * (1 + 1 / r)), r, &n, &idle);
	}
	for (i = NO_STALLING; i <= OWN_STALLING; i++) {
		snprintf(name, sizeof(name), "stall.cold.load_%g.%s", load,
			 names[i]);
		out_value(name, mean_time(i, lambda, k), "ms");
	}
}

int main(void)
{
	check_example();
	print_mean_times(0.2);
	print_mean_times(0.4);
	print_mean_times(0.6);
	print_mean_times(0.8);
	print_mean_times(0.9);
	return out_status();
}
