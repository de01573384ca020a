#ifndef PLACEMENT_JUDGE_H
#define PLACEMENT_JUDGE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Assessment of targets. A gate notes what it saw of its target (struct
 * judge) and reports it; the coordinator compares the targets of a service
 * and decides (struct health_target). What a gate saw counts before what the
 * target's health and load endpoints say: those lag or mislead. Pure.
 */

enum health_state {
	HEALTH_OK,
	HEALTH_SUSPECT, /* keeps its slots, gets few new ones */
	HEALTH_EJECTED, /* its slots move away */
	HEALTH_COLD,	/* slow start */
};

#define HEALTH_WINDOW_MS 10000	     /* decay time of the counts */
#define HEALTH_CLAIM_MAX_AGE_MS 5000 /* older claims are ignored */
#define HEALTH_MIN_EVIDENCE 20.0     /* requests in the window */
#define HEALTH_FAIL_RATE 0.5	     /* more failures than this is bad */
#define HEALTH_REFUSE_RATE 0.95	     /* a target that refuses all but this */
#define HEALTH_SLOW_FACTOR 5.0	     /* times the median of the service */
#define HEALTH_EJECT_AFTER_MS 3000   /* bad for this long */
#define HEALTH_EJECT_MIN_MS 30000    /* doubled by each ejection that follows */
#define HEALTH_EJECT_MAX_MS 60000
#define HEALTH_MAX_EJECTED_PART 0.2 /* of a service's targets, at most */
/* More bad targets than this have a common cause: none is ejected. */
#define HEALTH_COMMON_CAUSE_PART 0.5
#define HEALTH_WARMUP_MS 30000
#define HEALTH_COLD_WEIGHT 0.1

/* What one gate saw of its target. */
struct health {
	double answered; /* counts that decay over HEALTH_WINDOW_MS */
	double refused;
	double failed;	   /* timeouts, resets, incomplete answers */
	double latency_us; /* moving average of answers */
	int64_t decayed_to_ms;
	int claimed_unhealthy;
	double claimed_load;
	int64_t claimed_ms; /* 0 never */
};

struct health_report {
	double evidence; /* requests in the window */
	double fail_rate;
	double refuse_rate;
	double latency_us;
	int claimed_unhealthy; /* fresh claim of bad health */
};

void health_init(struct health *j, int64_t now_ms);
void health_answered(struct health *j, uint64_t latency_us, int64_t now_ms);
void health_refused(struct health *j, int64_t now_ms);
void health_failed(struct health *j, int64_t now_ms);
/* What the target's endpoints say; load in the unit of health_estimate_load's
 * own. */
void health_claim(struct health *j, int healthy, double load, int64_t now_ms);
void health_report(const struct health *j, int64_t now_ms,
		   struct health_report *out);
/*
 * Load to go by: the gate's own figure, with a fresh claim counted half if
 * the two agree within a factor of two.
 */
double health_estimate_load(const struct health *j, double own, int64_t now_ms);

/* One target in the coordinator. */
struct health_target {
	uint32_t id;
	struct health_report report; /* set by the caller */
	enum health_state state;
	double weight; /* for place_node.weight */
	int64_t bad_since_ms;
	int64_t ejected_until_ms; /* end of the ejection */
	int64_t warmup_start_ms;
	int64_t last_eject_ms; /* length of the last ejection, 0 none */
};

/* A new or restarted target starts cold. */
void health_target_init(struct health_target *n, uint32_t id, int64_t now_ms);
/*
 * Decides on all targets of one service. At most HEALTH_MAX_EJECTED_PART of
 * them are ejected at a time (one of three to nine, none of fewer).
 */
void health_assess_service(struct health_target *nodes, size_t count,
			   int64_t now_ms);

#endif
