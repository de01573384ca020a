#include "limits/call_pressure.h"

#include <math.h>
#include <string.h>

/*
 * Failures above this part of the calls lower the share. Work makes up to two
 * calls, so that this throws away less than 5% of it.
 */
#define CALL_PRESSURE_TOLERATED 0.025
/*
 * The share is lowered by this multiple of the part of the calls that failed,
 * each failure counted once. Where the calls stay just above the room,
 * failures and recovery are in balance at CALL_PRESSURE_RECOVERY_PER_S /
 * CALL_PRESSURE_GAIN, i.e. 1.5% of the calls at a share of 1.
 */
#define CALL_PRESSURE_GAIN 4.0
/*
 * The part that failed is taken of at least this many calls: one failed call of
 * a server that makes few would otherwise refuse half of its work.
 */
#define CALL_PRESSURE_FEW_CALLS 20.
/* Most that one step takes from the share, as a part of it. */
#define CALL_PRESSURE_MAX_CUT 0.4
/* The share gained in a second. */
#define CALL_PRESSURE_RECOVERY_PER_S 0.06
/*
 * After so long without too many failures the gain grows, and doubles each
 * second up to the second figure: from the floor, all work may begin again
 * after about six seconds.
 */
#define CALL_PRESSURE_CALM_MS 2000
#define CALL_PRESSURE_MAX_RECOVERY_PER_S 0.5
/* Part of a step's requests that the moving sums keep in the next one. */
#define CALL_PRESSURE_KEPT 0.9
/* Gaps longer than this leave nothing to count. */
#define CALL_PRESSURE_MAX_GAP_STEPS 200

void call_pressure_init(struct call_pressure *p)
{
	memset(p, 0, sizeof(*p));
	p->share = 1;
	for (size_t i = 0; i < CALL_PRESSURE_RANKS; i++)
		p->ranks[i].credit = 1;
}

static struct call_pressure_count sum_counts(const struct call_pressure *p)
{
	struct call_pressure_count sum = { 0 };

	for (size_t i = 0; i < CALL_PRESSURE_STEPS; i++) {
		sum.calls += p->counts[i].calls;
		sum.failed += p->counts[i].failed;
		sum.everywhere += p->counts[i].everywhere;
	}
	return sum;
}

static struct call_pressure_count *count_of(struct call_pressure *p,
					    int64_t step)
{
	return &p->counts[(size_t)(step % CALL_PRESSURE_STEPS)];
}

static double recovery_per_step(const struct call_pressure *p)
{
	int64_t calm_ms = (p->step - p->lowered_step) * CALL_PRESSURE_STEP_MS;
	double per_s = CALL_PRESSURE_RECOVERY_PER_S;

	/* Ends at the limit, since calm_ms grows with the uptime. */
	for (; calm_ms >= CALL_PRESSURE_CALM_MS &&
	       per_s < CALL_PRESSURE_MAX_RECOVERY_PER_S;
	     calm_ms -= 1000)
		per_s *= 2;
	if (per_s > CALL_PRESSURE_MAX_RECOVERY_PER_S)
		per_s = CALL_PRESSURE_MAX_RECOVERY_PER_S;
	return per_s * CALL_PRESSURE_STEP_MS / 1000;
}

/* Changes the share by what ended in the present step, which is over. */
static void end_step(struct call_pressure *p)
{
	const struct call_pressure_count *last = count_of(p, p->step);
	struct call_pressure_count sum = sum_counts(p);
	double cut;

	if (last->failed && sum.failed > sum.calls * CALL_PRESSURE_TOLERATED) {
		cut = CALL_PRESSURE_GAIN * last->failed /
		      fmax(sum.calls, CALL_PRESSURE_FEW_CALLS);
		if (cut > CALL_PRESSURE_MAX_CUT)
			cut = CALL_PRESSURE_MAX_CUT;
		p->share *= 1 - cut;
		p->lowered_step = p->step;
	} else {
		p->share += recovery_per_step(p);
	}
	if (p->share < CALL_PRESSURE_MIN_SHARE)
		p->share = CALL_PRESSURE_MIN_SHARE;
	if (p->share > 1)
		p->share = 1;
	for (size_t i = 0; i < CALL_PRESSURE_RANKS; i++)
		p->ranks[i].arrived *= CALL_PRESSURE_KEPT;
}

static void advance(struct call_pressure *p, int64_t now_ms)
{
	int64_t step = now_ms / CALL_PRESSURE_STEP_MS;

	if (!p->step || step - p->step > CALL_PRESSURE_MAX_GAP_STEPS) {
		call_pressure_init(p);
		p->step = step;
		p->lowered_step = step;
	}
	while (p->step < step) {
		end_step(p);
		p->step++;
		memset(count_of(p, p->step), 0, sizeof(p->counts[0]));
	}
}

void call_pressure_note_call(struct call_pressure *p, int found_room,
			     int everywhere, int64_t now_ms)
{
	struct call_pressure_count *c;

	advance(p, now_ms);
	c = count_of(p, p->step);
	c->calls++;
	if (found_room)
		return;
	c->failed++;
	c->everywhere += everywhere != 0;
}

double call_pressure_share(struct call_pressure *p, int64_t now_ms)
{
	advance(p, now_ms);
	return p->share;
}

int call_pressure_admit(struct call_pressure *p, uint32_t priority,
			int64_t now_ms)
{
	struct call_pressure_rank *own;
	double total = 0;
	double before = 0;
	double part;
	size_t rank = priority < CALL_PRESSURE_RANKS ? priority
						     : CALL_PRESSURE_RANKS - 1;

	advance(p, now_ms);
	own = &p->ranks[rank];
	own->arrived++;
	for (size_t i = 0; i < CALL_PRESSURE_RANKS; i++) {
		total += p->ranks[i].arrived;
		if (i < rank)
			before += p->ranks[i].arrived;
	}
	if (p->share >= 1)
		return 1;
	/* What the higher ranks leave of the share is for this one. */
	part = (p->share * total - before) / own->arrived;
	own->credit += part < 0 ? 0 : part;
	if (own->credit > 2)
		own->credit = 2;
	if (own->credit < 1)
		return 0;
	own->credit -= 1;
	return 1;
}

int call_pressure_is_common(struct call_pressure *p, int64_t now_ms)
{
	struct call_pressure_count sum;

	advance(p, now_ms);
	sum = sum_counts(p);
	return sum.failed > 0 && sum.everywhere * 2 > sum.failed;
}
