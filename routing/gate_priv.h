#ifndef ROUTING_GATE_PRIV_H
#define ROUTING_GATE_PRIV_H

#include "limits/admission.h"
#include "limits/adaptive_limit.h"
#include "placement/hot_keys.h"
#include "placement/health.h"
#include "routing/attempts.h"
#include "routing/gate.h"
#include "routing/label.h"
#include "transport/httpc.h"

/* Inside of the gate: shared by gate.c, gate_call.c and gate_slot.c. */

/* The document allows deadlines of up to ten minutes. */
#define GATE_MAX_DEADLINE_MS 600000
#define GATE_MAX_HEADERS 256

/* A slot with requests or with a release under way. */
struct gate_slot {
	uint32_t slot;
	uint32_t in_flight;
	uint32_t requests; /* since the last report */
	int releasing;
	int reported; /* ops->released has run for this release */
	/* Until when a call that was given up may still start at the target. */
	int64_t busy_until_ns;
	UT_hash_handle hh;
};

enum call_state { CALL_QUEUED, CALL_STARTED };

/* One admitted attempt, until its reply. */
struct gate_call {
	struct gate *g;
	struct admission_item item;
	enum call_state state;
	Wire__Forward *f; /* owned */
	gate_reply_fn fn; /* NULL: forgotten */
	void *priv;
	struct attempt *attempt;
	int64_t deadline_ms;
	int64_t arrived_ns;
	uint32_t slot;

	/* Set when it leaves the queue. */
	struct httpc_request http;
	uint64_t fence;
	int64_t not_after_ns;
	int64_t sent_ns;    /* 0: not handed over */
	uint32_t in_flight; /* at hand-over, this one included */

	struct gate_call *prev;
	struct gate_call *next;
};

struct gate {
	struct ev_loop *loop;
	struct view *view;
	struct cnt *cnt;
	const struct dialect *dialect;
	const struct gate_ops *ops;
	void *priv;
	struct httpc client;
	Wire__Target *target;	/* owned; NULL: none */
	int64_t fresh_until_ms; /* each request has its own connection */
	int fixed; /* the announced concurrency is used, not conc's */
	int quiesced;
	int leaving;	     /* the target gets no new work without a key */
	int64_t drain_ms;    /* and this much later none at all; 0: with keys */
	int64_t leaving_ms;  /* since when it is leaving */
	int64_t answered_ms; /* when it last answered; 0 never */
	int lost_reported;
	unsigned silent; /* calls in a row that got no answer at all */
	struct admission admission;
	struct adaptive_limit adaptive_limit;
	struct attempts attempts;
	struct gate_slot *slots;
	struct gate_call *calls;
	unsigned started;
	int pumping;
	ev_timer expiry;
	ev_timer busy; /* a release waits for a slot's busy_until_ns */
	struct labels labels;
	/* Since the last report. */
	struct hot_keys hot_keys;
	struct hist latency;
	struct health health;
	uint32_t shed;
	int64_t load_since_ms;
};

/* gate.c */

/* Requests that may be at the target now. */
uint32_t gate_limit(const struct gate *g);

/*
 * Ends a call: accounts for it, runs its callback, frees it. reply needs
 * outcome and error, and the answer's parts for OUTCOME_ANSWERED.
 */
void gate_call_end(struct gate_call *c, Wire__ForwardReply *reply);
void gate_call_fail(struct gate_call *c, enum wire_outcome outcome,
		    enum err error);
/* Starts queued calls while there is room. */
void gate_pump(struct gate *g);

/* ERR_NO_TARGET if the target is leaving and may not get this any more. */
enum err gate_check_leaving(const struct gate *g, int keyed);

/* gate_call.c */

/* Sends a call to the target; it ends by itself. */
void gate_call_start(struct gate_call *c);

/*
 * The call has been handed over and ends here without an answer: its slot is
 * busy until its target must not start it any more.
 */
void gate_call_given_up(const struct gate_call *c);

/* gate_slot.c */

struct gate_slot *gate_slot_find(const struct gate *g, uint32_t slot);
/* NULL without memory. */
struct gate_slot *gate_slot_get(struct gate *g, uint32_t slot);
void gate_slot_ended(struct gate *g, uint32_t slot);
/*
 * A call of the slot is given up without an answer: a target that stands still
 * has it, and starts it until not_after_ns if it wakes up.
 */
void gate_slot_given_up(struct gate *g, uint32_t slot, int64_t not_after_ns);
/* Of g->busy: reports what is empty by now. */
void gate_slots_check(struct gate *g);
int gate_slot_is_releasing(const struct gate *g, uint32_t slot);
void gate_slots_finish(struct gate *g);

#endif
