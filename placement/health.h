#ifndef PLACEMENT_HEALTH_H
#define PLACEMENT_HEALTH_H

#include <stddef.h>
#include <stdint.h>

/*
 * Health of targets (back ends), with ejection of outliers. The gate in front
 * of a target counts the outcomes of its requests (struct health) and reports
 * them. The coordinator compares the targets of a service by these reports and
 * decides which to eject (struct health_target). What a gate has seen comes
 * before what the target's own health and load endpoints claim, since those
 * can be late or wrong. The module has no clock: times are arguments, in
 * milliseconds of one clock.
 */

enum health_state {
	HEALTH_OK,
	HEALTH_SUSPECT, /* keeps its slots, gets few new ones */
	HEALTH_EJECTED, /* its slots move to other targets */
	HEALTH_COLD,	/* slow start: gets few new slots at first */
};

#define HEALTH_WINDOW_MS 10000	     /* time constant of the counts' decay */
#define HEALTH_CLAIM_MAX_AGE_MS 5000 /* older claims are ignored */
#define HEALTH_MIN_EVIDENCE 20.0     /* fewer requests decide nothing */
#define HEALTH_FAIL_RATE 0.5	     /* a target with a higher rate is bad */
#define HEALTH_REFUSE_RATE 0.95	     /* a target with a higher rate is bad */
/* A target with a latency above this multiple of the service's median is bad.
 */
#define HEALTH_SLOW_FACTOR 5.0
/* Time for which a target must be bad before it is ejected. */
#define HEALTH_EJECT_AFTER_MS 3000
/* Length of the first ejection; each one that follows soon is twice as long. */
#define HEALTH_EJECT_MIN_MS 30000
#define HEALTH_EJECT_MAX_MS 60000
/* Largest part of a service's targets that may be ejected at a time. */
#define HEALTH_MAX_EJECTED_PART 0.2
/*
 * If a larger part of the targets is bad, the cause is probably common to
 * them: no more are ejected.
 */
#define HEALTH_COMMON_CAUSE_PART 0.5
/* Length of a slow start, and the weight at its beginning. */
#define HEALTH_WARMUP_MS 30000
#define HEALTH_COLD_WEIGHT 0.1

/* What a gate has seen of its target. */
struct health {
	double answered; /* counts that decay over HEALTH_WINDOW_MS */
	double refused;
	double failed;	       /* timeouts, resets, incomplete answers */
	double latency_us;     /* moving average of answers; 0: none yet */
	int64_t decayed_to_ms; /* time to which the counts are decayed */
	int claimed_unhealthy; /* last claim of the target's endpoints */
	double claimed_load;
	int64_t claimed_ms; /* time of that claim; 0: never */
};

/* What a gate tells the coordinator of its target. */
struct health_report {
	double evidence; /* requests in the window */
	double fail_rate;
	double refuse_rate;
	double latency_us;
	int claimed_unhealthy; /* by a recent claim of the target's endpoints */
};

/* Sets up the record of a target without any requests yet. */
void health_init(struct health *h, int64_t now_ms);
/* Notes an answer and the time it took. */
void health_answered(struct health *h, uint64_t latency_us, int64_t now_ms);
/* Notes that the target refused a request. */
void health_refused(struct health *h, int64_t now_ms);
/* Notes a timeout, a reset or an incomplete answer. */
void health_failed(struct health *h, int64_t now_ms);
/*
 * Notes what the target's health and load endpoints say. load is in the unit
 * of the gate's own figure for health_estimate_load.
 */
void health_claim(struct health *h, int healthy, double load, int64_t now_ms);
/* Writes the report to *out; the counts are decayed to now_ms. */
void health_report(const struct health *h, int64_t now_ms,
		   struct health_report *out);
/*
 * Returns the target's load as the gate should assume it: `own`, the gate's
 * own figure, or its mean with a recent claim if the two agree within a factor
 * of two.
 */
double health_estimate_load(const struct health *h, double own, int64_t now_ms);

/* One target in the coordinator. */
struct health_target {
	uint32_t id;
	struct health_report report; /* set by the caller */
	enum health_state state;
	double weight;		  /* for place_node.weight */
	int64_t bad_since_ms;	  /* 0: not bad */
	int64_t ejected_until_ms; /* end of the last ejection */
	int64_t warmup_start_ms;  /* start of the last slow start */
	int64_t last_eject_ms;	  /* length of the last ejection; 0: none */
};

/* Sets up a target that is new or has restarted, with a slow start. */
void health_target_init(struct health_target *n, uint32_t id, int64_t now_ms);
/*
 * Updates state and weight of all targets of one service from their reports;
 * to be called regularly. At most HEALTH_MAX_EJECTED_PART of the targets are
 * ejected at a time: one of three to nine, none of fewer.
 */
void health_assess_service(struct health_target *nodes, size_t count,
			   int64_t now_ms);

#endif
