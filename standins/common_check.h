#ifndef STANDINS_COMMON_CHECK_H
#define STANDINS_COMMON_CHECK_H

#include "common/err.h"

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/*
 * Checker: reads the histories of callers and the logs of targets, then
 * applies a table of rules that report where a requirement was violated. All
 * times are CLOCK_BOOTTIME of one VM in nanoseconds.
 *
 * A run is one execution of a request by a target, from the "start" line to
 * the "end" line of the target's log. A run without a logged end is taken to
 * last for ever, unless common_check_add_kill() states when its target was
 * killed or the log holds a later "begin" line: the target was restarted.
 *
 * Running out of memory aborts the process.
 */

/* A drained target must not start a run later than this after its drain. */
#define COMMON_CHECK_MAX_DRAIN_MS 3000
/* Default of common_check.max_gap_ms. */
#define COMMON_CHECK_MAX_GAP_MS 2000
/* Default of common_check.min_wait_ms. */
#define COMMON_CHECK_MIN_WAIT_MS 250

/* One execution of a request by a target. */
struct check_run {
	struct check_target *target;
	struct check_request *request;
	struct check_key *key;
	char *service;
	char *key_name;
	char *attempt;
	int64_t start_ns;
	int64_t end_ns;		/* INT64_MAX: not known */
	int has_end;		/* the log has an "end" line of this run */
	int64_t status;		/* of the answer; 0: not stated */
	int64_t slot;		/* -1: not stated */
	int64_t fence;		/* -1: not stated */
	struct check_run *next; /* next run of the same request */
};

/* A request, as its caller's history and the targets' logs name it. */
struct check_request {
	char *id;
	char *service;
	char *key_name;
	struct check_key *key;
	int send_count;	 /* "send" lines; 0: only a target's log names it */
	int heard_count; /* "heard" lines: the caller got a result */
	int idempotent;
	int body_ok;	/* 1: as expected, 0: not, -1: not stated */
	int64_t status; /* that the caller got; 0: none, or not stated */
	char *outcome;	/* NULL if heard_count is 0 */
	char *owner;	/* node that the answer names, "" if none */
	char *sent_to;	/* ADDRESS:PORT of the daemon that was tried last */
	int64_t send_ns;
	int64_t heard_ns;
	struct check_run *runs;
	unsigned run_count;
	UT_hash_handle hh;
};

/* A key of a service, with all its runs and requests. */
struct check_key {
	char *name; /* SERVICE/KEY */
	/* Sorted by start when the rules are applied. */
	struct check_run **runs;
	size_t run_count;
	size_t run_cap;
	/* Sorted by send time when the rules are applied. */
	struct check_request **requests;
	size_t request_count;
	size_t request_cap;
	UT_hash_handle hh;
};

struct check_target {
	char *name;
	size_t start_count;
	size_t refused_count;
	int has_log; /* a log of this target was read */
	struct check_target *next;
};

/* A drain, a kill or a loss of a node. */
struct check_event {
	const struct check_target *target; /* NULL: any node */
	int64_t t_ns;
	struct check_event *next;
};

/* Number of occurrences of a name. */
struct check_count {
	char *name;
	size_t count;
	UT_hash_handle hh;
};

enum check_kind {
	CHECK_MISROUTED, /* a run in the wrong place or a wrong answer */
	CHECK_RUN_TWICE, /* a request that is not idempotent ran twice */
	CHECK_SLOW,	 /* a key was served again too late after a loss */
};

struct check_violation {
	const char *rule; /* name of the violated rule */
	enum check_kind kind;
	char *text; /* description with the requests and targets involved */
	struct check_violation *next;
};

struct common_check {
	struct check_request *requests;
	struct check_key *keys;
	struct check_target *targets;
	struct check_event *drains;
	struct check_event *kills;
	struct check_event *losses;
	struct check_count *excused_daemons; /* by ADDRESS:PORT */
	struct check_count *daemon_events;   /* by name of the event */
	struct check_count *outcomes;	     /* requests by outcome */
	/* All runs; sorted by start when the rules are applied. */
	struct check_run **runs;
	size_t run_count;
	size_t run_cap;
	int64_t max_gap_ms; /* allowed time without service after a loss */
	/* A request that waits less than this for a run shows no gap. */
	int64_t min_wait_ms;
	int64_t last_event_ns; /* latest time in all histories and logs */
	int has_history;
	int has_targets;

	/* Results of common_check_apply_rules(). */
	struct check_violation *violations;
	struct check_violation *last_violation;
	size_t violation_count;
	size_t misrouted_count; /* violations of kind CHECK_MISROUTED */
	size_t run_twice_count; /* violations of kind CHECK_RUN_TWICE */
	size_t slow_count;	/* violations of kind CHECK_SLOW */
	size_t sent_count;	/* requests that were sent */
	size_t served_count;	/* requests with the outcome "answered" */
	size_t owner_changes;	/* changes of a slot's owner seen in runs */
	size_t gap_count;	/* periods in which a key was not served */
	int64_t gap_sum_ns;	/* sum of their lengths */
	int64_t longest_gap_ns;
	/* Longest time from a loss to the end of a gap; -1 without a loss. */
	int64_t longest_recovery_ns;
};

/* Initialises c with the default limits. */
void common_check_init(struct common_check *c);
/* Frees all that c holds. */
void common_check_finish(struct common_check *c);

/*
 * Adds one line of a caller's history. Returns ERR_MALFORMED if the line has
 * no time or request id, or if its "ev" is unknown.
 */
enum err common_check_add_history_line(struct common_check *c,
				       const json_t *line);
/* Returns the target of this name, which is added if it is new. */
struct check_target *common_check_get_target(struct common_check *c,
					     const char *name);
/*
 * Adds one line of a target's log. Returns ERR_MALFORMED if the line has no
 * time, if its "ev" is unknown, or if it ends a run that was not started.
 */
enum err common_check_add_log_line(struct common_check *c,
				   struct check_target *t, const json_t *line);
/* Counts the event that a key=value line of a daemon's log names. */
void common_check_add_daemon_line(struct common_check *c, const char *line);
/* Adds the time at which a drain of the target was requested. */
void common_check_add_drain(struct common_check *c,
			    const struct check_target *t, int64_t t_ns);
/* Adds the time at which the target's process was killed. */
void common_check_add_kill(struct common_check *c, const struct check_target *t,
			   int64_t t_ns);
/* Adds the time at which the node was lost; t NULL: any node. */
void common_check_add_loss(struct common_check *c, const struct check_target *t,
			   int64_t t_ns);

/*
 * Ignores requests sent to this daemon (ADDRESS:PORT) when gaps in service are
 * computed: the daemon itself was paused or cut off, so that a delay of its
 * requests says nothing about their keys.
 */
void common_check_excuse_daemon(struct common_check *c, const char *address);

/* Applies all rules and fills the results. Call once, after all input. */
void common_check_apply_rules(struct common_check *c);

#endif
