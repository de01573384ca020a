#ifndef STANDINS_COMMON_CHECK_H
#define STANDINS_COMMON_CHECK_H

#include "common/err.h"

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/*
 * Checker: takes in histories of callers and logs of targets, then decides by
 * a table of rules whether the requirements were met. All times are
 * CLOCK_BOOTTIME of one VM in nanoseconds.
 *
 * A run without an end goes on for ever, unless common_check_add_kill states
 * when its target died, or the target's log begins anew.
 */

/* A target takes no new work this long after its drain. */
#define COMMON_CHECK_MAX_DRAIN_MS 3000
#define COMMON_CHECK_MAX_GAP_MS 2000
/* A request that waits less for its start does not show a gap in service. */
#define COMMON_CHECK_MIN_WAIT_MS 250

struct check_run {
	struct check_target *target;
	struct check_request *request;
	struct check_key *key;
	char *service;
	char *key_name;
	char *attempt;
	int64_t start_ns;
	int64_t end_ns;		/* INT64_MAX: no end was logged */
	int has_end;		/* the end was logged */
	int64_t slot;		/* -1: none */
	int64_t fence;		/* -1: none */
	struct check_run *next; /* of the same request */
};

struct check_request {
	char *id;
	char *service;
	char *key_name;
	struct check_key *key;
	int send_count;
	int answer_count;
	int idempotent;
	int body_ok;   /* 1, 0, -1: not stated */
	char *outcome; /* NULL: nothing was heard */
	char *owner;
	char *sent_to; /* ADDRESS:PORT of the daemon that was asked last */
	int64_t send_ns;
	int64_t heard_ns;
	struct check_run *runs;
	unsigned run_count;
	UT_hash_handle hh;
};

struct check_key {
	char *name;		 /* SERVICE/KEY */
	struct check_run **runs; /* by start once decided */
	size_t run_count;
	size_t run_cap;
	struct check_request **requests; /* by send time once decided */
	size_t request_count;
	size_t request_cap;
	UT_hash_handle hh;
};

struct check_target {
	char *name;
	size_t start_count;
	size_t refused_count;
	int has_log;
	struct check_target *next;
};

/* Something that was done to a node (or to any, NULL) at a time. */
struct check_event {
	const struct check_target *target;
	int64_t t_ns;
	struct check_event *next;
};

struct check_count {
	char *name;
	size_t count;
	UT_hash_handle hh;
};

enum check_kind {
	CHECK_MISROUTED, /* a request, run or answer went wrong */
	CHECK_RUN_TWICE,
	CHECK_SLOW, /* service came back late */
};

struct check_violation {
	const char *rule;
	enum check_kind kind;
	char *text;
	struct check_violation *next;
};

struct common_check {
	struct check_request *requests;
	struct check_key *keys;
	struct check_target *targets;
	struct check_event *drains;
	struct check_event *kills;
	struct check_event *losses;
	struct check_count *excused_daemons; /* ADDRESS:PORT of daemons */
	struct check_count *daemon_events;
	struct check_count *outcomes;
	struct check_run **runs; /* all; by start once decided */
	size_t run_count;
	size_t run_cap;
	int64_t max_gap_ms;
	int64_t min_wait_ms;
	int64_t last_event_ns;
	int has_history;
	int has_targets;

	/* Results. */
	struct check_violation *violations;
	struct check_violation *last_violation;
	size_t violation_count;
	size_t misrouted_count;
	size_t run_twice_count;
	size_t slow_count;
	size_t sent_count;
	size_t served_count;
	size_t owner_changes;	     /* changes of owner that runs show */
	size_t gap_count;	     /* periods in which a key was not served */
	int64_t gap_sum_ns;	     /* their sum */
	int64_t longest_gap_ns;	     /* the longest */
	int64_t longest_recovery_ns; /* longest from a loss on; -1 without a
					loss */
};

void common_check_init(struct common_check *c);
void common_check_finish(struct common_check *c);

/* One line of a caller's history. ERR_MALFORMED: a member is missing. */
enum err common_check_add_history_line(struct common_check *c,
				       const json_t *line);
/* Finds or adds a target. */
struct check_target *common_check_get_target(struct common_check *c,
					     const char *name);
/* One line of a target's log. */
enum err common_check_add_log_line(struct common_check *c,
				   struct check_target *t, const json_t *line);
/* One key=value line of a daemon's log; only counted by event. */
void common_check_add_daemon_line(struct common_check *c, const char *line);
/* Drain was asked for, process killed, node lost; t NULL: any node. */
void common_check_add_drain(struct common_check *c,
			    const struct check_target *t, int64_t t_ns);
void common_check_add_kill(struct common_check *c, const struct check_target *t,
			   int64_t t_ns);
void common_check_add_loss(struct common_check *c, const struct check_target *t,
			   int64_t t_ns);

/*
 * Requests that were sent to this daemon (ADDRESS:PORT) show no gap in the
 * service of their keys: it was paused or cut off itself.
 */
void common_check_excuse_daemon(struct common_check *c, const char *to);

/* Applies all rules; call once, after all input. */
void common_check_apply_rules(struct common_check *c);

#endif
