#ifndef PLACEMENT_SELECTOR_H
#define PLACEMENT_SELECTOR_H

#include "placement/spread.h"

#include <stdint.h>
#include <uthash.h>

/*
 * Load balancing for a service without keys: selects the target (back end)
 * that a request is sent to. Each ingress (the part of a daemon that takes
 * callers' requests) selects for itself from what it has seen: the load and
 * latency that the target's gate (the part in front of the target) reports in
 * its answers, the requests it has in flight there itself, failures, distance
 * and cold starts. The module has no clock: the time is an argument, in
 * milliseconds of one clock and greater than 0.
 */

/* From this ingress to a target. */
enum selector_distance {
	SELECTOR_SAME_VM,
	SELECTOR_SAME_DATA_CENTRE,
	SELECTOR_SAME_REGION,
	SELECTOR_OTHER_REGION,
	SELECTOR_DISTANCES
};

/* How an attempt at a target ended. */
enum selector_outcome {
	SELECTOR_ANSWERED,
	SELECTOR_FAILED,      /* no answer, or one that reports a failure */
	SELECTOR_REFUSED,     /* the gate had no room for it */
	SELECTOR_TURNED_AWAY, /* the target itself refused it */
	SELECTOR_UNREACHABLE, /* the target cannot be reached, or has left */
	SELECTOR_ABANDONED,   /* the caller left; not the target's doing */
};

/* Load of a target as its gate reports it. */
struct selector_load {
	uint32_t running;
	uint32_t queued;
	uint32_t places;     /* concurrency limit; 0: unknown */
	uint32_t latency_us; /* of its answers, without the queue; 0: unknown */
	/* Kind of the request that ended, e.g. its route; 0: unknown. */
	uint32_t kind;
	uint32_t kind_latency_us; /* as latency_us, of this kind only */
};

/*
 * Most kinds with latencies of their own. When another one is added, the kind
 * that was added first is dropped.
 */
#define SELECTOR_MAX_KINDS 64

/* One kind of request. */
struct selector_kind {
	uint32_t id;
	double latency_ms; /* moving average over all targets */
	UT_hash_handle hh;
};

/* What one ingress knows of one target. */
struct selector_target {
	uint32_t id;
	struct selector_load load;
	/*
	 * Its latency relative to that of all targets for the same kinds of
	 * request, moving average; 0: unknown.
	 */
	double slowness;
	int64_t load_ms;	 /* when load was reported; 0: never */
	int32_t sent_since_load; /* requests sent less ended since then */
	uint32_t in_flight;	 /* requests of this ingress */
	double fail_rate;	 /* moving average, 0 to 1 */
	int64_t fail_updated_ms;
	double network_ms;	  /* moving average, small requests */
	double network_ms_per_kb; /* moving average, large requests */
	int64_t network_updated_ms;
	int64_t avoid_until_ms; /* after it refused or was unreachable */
	int64_t cold_until_ms;	/* end of its cold start */
	double cold_per_s;	/* requests that it takes while cold; 0: any */
	/* The last announcement of a cold start that was noted. */
	int64_t announced_born_ms;
	uint32_t announced_cold_ms;
	UT_hash_handle hh;
};

struct selector {
	struct selector_target *targets;
	struct selector_kind *kinds;
	int spread;		       /* see selector_set_spread */
	struct spread_option *options; /* memory of selector_pick */
	size_t option_count;	       /* for which there is memory */
};

/* One target that may serve the request. */
struct selector_candidate {
	uint32_t id;
	enum selector_distance distance;
	uint32_t places; /* announced concurrency; used until a load report */
};

/* Sets up a selector that knows nothing of any target. */
void selector_init(struct selector *s);
/* Frees what is known of the targets. */
void selector_finish(struct selector *s);
/*
 * Sets how selector_pick chooses. on: by weight, see placement/spread.h, so
 * that many ingresses with the same view share the targets; off, as after
 * selector_init: the lowest expected cost.
 */
void selector_set_spread(struct selector *s, int on);

/*
 * Returns the index in list of the candidate with the lowest expected cost, or
 * with selector_set_spread one that is drawn by weight, for a request that
 * transfers `bytes` with its answer; SIZE_MAX if the list is empty. kind: kind
 * of the request, 0 if unknown; the targets' latencies are then compared over
 * all kinds, so that targets which happen to run short requests look faster
 * than others. random is in [0, 1) and varies the costs slightly, or determines
 * the draw. *cost_ms, unless cost_ms is NULL, is set to that cost: the expected
 * time with the penalties for distance and failures.
 */
size_t selector_pick(struct selector *s, const struct selector_candidate *list,
		     size_t count, uint32_t kind, size_t bytes, int64_t now_ms,
		     double random, double *cost_ms);
/* Notes that a request was sent to the target. */
void selector_note_sent(struct selector *s, uint32_t id);
/*
 * Notes that a request to the target has ended. load: what the reply reported,
 * or NULL without a report.
 */
void selector_note_ended(struct selector *s, uint32_t id,
			 enum selector_outcome outcome,
			 const struct selector_load *load, int64_t now_ms);
/*
 * Notes the time in milliseconds that a request and its answer, of `bytes`
 * together, spent on the network, including the queues of its links. A
 * negative time is ignored.
 */
void selector_note_network_time(struct selector *s, uint32_t id, size_t bytes,
				double ms, int64_t now_ms);
/*
 * Returns the age in milliseconds of the last load that the target reported;
 * -1: none.
 */
int64_t selector_report_age_ms(const struct selector *s, uint32_t id,
			       int64_t now_ms);
/* Notes that the target has announced a cold start that ends at until_ms. */
void selector_set_cold(struct selector *s, uint32_t id, int64_t until_ms);
/*
 * Does the same for a target that takes per_s requests a second from all
 * ingresses together until then; until_ms 0: it is not cold.
 */
void selector_set_cold_rate(struct selector *s, uint32_t id, int64_t until_ms,
			    double per_s);
/*
 * Notes what the target announced when it was last cold: its start and for how
 * long. Only the first call for an announcement has an effect.
 */
void selector_note_announced_cold(struct selector *s, uint32_t id,
				  int64_t born_ms, uint32_t cold_ms,
				  double per_s, int64_t now_ms);

#endif
