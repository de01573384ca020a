#ifndef PLACEMENT_CHOOSE_H
#define PLACEMENT_CHOOSE_H

#include <stdint.h>
#include <uthash.h>

/*
 * Choice among the targets of a service without keys, made by each ingress
 * for itself from what it saw: answers of the target's gate (load, speed),
 * its own requests under way, failures, distance and cold starts. Pure.
 */

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
	SELECTOR_FAILED,      /* no answer, or one that states a failure */
	SELECTOR_REFUSED,     /* had no room for it */
	SELECTOR_UNREACHABLE, /* cannot be reached, or has left */
	SELECTOR_ABANDONED,   /* the caller left: says nothing of the target */
};

/* What a gate said of its target. */
struct selector_load {
	uint32_t running;
	uint32_t queued;
	uint32_t places;
	uint32_t latency_us; /* of its answers, without the queue */
};

/* What one ingress knows of one target. */
struct selector_target {
	uint32_t id;
	struct selector_load load;
	int64_t load_ms;	 /* when load came; 0: never */
	int32_t sent_since_load; /* sent less ended since then */
	uint32_t in_flight;	 /* own requests */
	double fail_rate;	 /* moving average, 0 to 1 */
	int64_t fail_updated_ms;
	double network_ms;	  /* moving average of small requests' way */
	double network_ms_per_kb; /* of large ones, for each KB */
	int64_t network_updated_ms;
	int64_t avoid_until_ms; /* it has refused or left */
	int64_t cold_until_ms;
	UT_hash_handle hh;
};

struct selector {
	struct selector_target *targets;
};

/* One target that may serve the request. */
struct selector_candidate {
	uint32_t id;
	enum selector_distance distance;
	uint32_t places; /* as announced */
};

void selector_init(struct selector *c);
void selector_finish(struct selector *c);

/*
 * The best candidate for a request of so many bytes; SIZE_MAX if there is
 * none. random is in [0, 1) and breaks ties. cost_ms: what it is expected to
 * take, the penalties for distance included.
 */
size_t selector_pick(struct selector *c, const struct selector_candidate *list,
		     size_t count, size_t bytes, int64_t now_ms, double random,
		     double *cost_ms);
void selector_note_sent(struct selector *c, uint32_t id);
/* load: of the reply; NULL if none came. */
void selector_note_ended(struct selector *c, uint32_t id,
			 enum selector_outcome outcome,
			 const struct selector_load *load, int64_t now_ms);
/*
 * Time that request and answer of so many bytes spent on the way, queues of
 * the lines included.
 */
void selector_note_network_time(struct selector *c, uint32_t id, size_t bytes,
				double ms, int64_t now_ms);
/* The target says that it starts cold. */
void selector_cold(struct selector *c, uint32_t id, int64_t until_ms);

#endif
