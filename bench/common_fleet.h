#ifndef BENCH_COMMON_FLEET_H
#define BENCH_COMMON_FLEET_H

#include "placement/place.h"

#include <glib.h>

/*
 * Simulation of one service and its nodes for benchmarks of placement/place.h.
 * It generates the load of each slot, reports it with sampling errors, lets
 * placement decide on pins and moves, carries the moves out after
 * FLEET_RELEASE_MS and keeps metrics. It simulates no requests and no messages.
 *
 * The load of a shard consists of its cold load (that of its many ordinary
 * keys) and the load of its hot keys, unless these are pinned. Loads have an
 * arbitrary unit; times are in milliseconds of a simulated clock that starts
 * at 0.
 */

#define FLEET_RELEASE_MS 1000 /* a release, its store write and map update */
#define FLEET_REPORT_MS 5000  /* period of load reports */
#define FLEET_HOT_KEYS 82
#define FLEET_MAX_KEYS 512

/* Size and settings of a fleet. */
struct fleet_size {
	const char *name; /* as in the names of figures */
	uint32_t nodes;
	uint32_t shards;
	uint32_t regions;
	uint32_t data_centres;
	double capacity; /* of each node, in concurrent requests */
	double weight_churn;
	double weight_imbalance;
	uint32_t moves_per_minute;
	double rate_per_node; /* requests/s */
	double hot_share;     /* of the hot keys in the whole load, 0 to 1 */
	double hot_zipf_exponent; /* of the loads of the hot keys */
	double hottest_key_load;  /* limit, as a multiple of mean node load */
};

/* Small fleets: guild weighs churn higher, falaj weighs imbalance higher. */
extern const struct fleet_size fleet_guild;
extern const struct fleet_size fleet_falaj;
/* The largest size that the design has to handle. */
extern const struct fleet_size fleet_design;

struct fleet_key {
	uint64_t hash;
	uint32_t shard;
	double true_load;
	struct place_average reported; /* average of the reported load */
	size_t pin_slot;	       /* slot of its pin; 0: not pinned */
	int64_t cold_since_ms;	       /* as in struct place_key */
};

struct fleet {
	const struct fleet_size *size;
	GRand *rand;
	struct place_node *nodes;
	uint32_t next_id;	  /* highest node id in use */
	struct place_slot *slots; /* shards, then pins */
	/* By slot: */
	struct place_average *reported; /* average of the reported load */
	double *true_load;
	int64_t *release_end_ms; /* valid while the slot has a next owner */
	size_t slot_count;
	double load_per_rps; /* load of one request/s */
	/* By shard, without the hot keys: */
	double *mean_load;
	double *log_drift; /* logarithm of cold_load / mean_load */
	double *cold_load;
	double spare_normal; /* second number of a Box-Muller pair */
	int has_spare_normal;
	struct fleet_key keys[FLEET_MAX_KEYS]; /* hot or pinned */
	size_t key_count;
	struct place_policy policy;
	struct place placement;
	struct place_moves moves; /* result of the last placement pass */
	int64_t reported_ms;	  /* time of the last load reports */
	uint64_t moves_by_cause[PLACE_PIN + 1];
	GArray *peak_ratios; /* doubles, one per fleet_record_peak */
};

/* Creates the nodes, shards and hot keys; no slot has an owner yet. */
void fleet_init(struct fleet *f, const struct fleet_size *size, guint32 seed);
/* Frees what the fleet holds, but not the struct. */
void fleet_finish(struct fleet *f);
/* Replaces all hot keys by new ones, which are in other shards. */
void fleet_replace_hot_keys(struct fleet *f);
/*
 * Lets the cold loads drift by one hour. They vary around their means with a
 * standard deviation of 10% and a correlation time of six hours.
 */
void fleet_drift(struct fleet *f);
/*
 * Advances to now_ms: completes finished releases, takes the load reports and
 * decides on pins if they are due, and runs one placement pass.
 */
void fleet_step(struct fleet *f, int64_t now_ms);
/*
 * Runs a new fleet for ten minutes until the first assignment, the pins and
 * the reported loads are stable, then resets the metrics. Returns the time at
 * which the simulation goes on.
 */
int64_t fleet_settle(struct fleet *f);
/* Discards the moves and peaks recorded so far. */
void fleet_reset_metrics(struct fleet *f);
/*
 * Returns the highest true load of a live node, divided by the mean of the live
 * nodes; 0 without any load.
 */
double fleet_peak_to_mean(const struct fleet *f);
/* Records the present peak-to-mean ratio. */
void fleet_record_peak(struct fleet *f);
/* Returns the q-quantile (q from 0 to 1) of the recorded ratios; 0 if none. */
double fleet_peak_quantile(const struct fleet *f, double q);
/* Replaces the node at this index by an empty live one with a new id. */
void fleet_replace_node(struct fleet *f, size_t node);
/* Returns how many slots the node with this id owns. */
size_t fleet_count_slots(const struct fleet *f, uint32_t id);
/* Return the moves since the last reset, by kind (see placement/place.h). */
uint64_t fleet_voluntary_moves(const struct fleet *f);
uint64_t fleet_forced_moves(const struct fleet *f);
/* Returns a random number of the standard normal distribution. */
double fleet_random_normal(struct fleet *f);

#endif
