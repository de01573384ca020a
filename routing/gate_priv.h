#ifndef ROUTING_GATE_PRIV_H
#define ROUTING_GATE_PRIV_H

#include "limits/admission.h"
#include "limits/answer_line.h"
#include "limits/adaptive_limit.h"
#include "placement/hot_keys.h"
#include "placement/health.h"
#include "routing/attempts.h"
#include "routing/gate.h"
#include "routing/label.h"
#include "transport/httpc.h"

/* Internals of the gate, shared by the files gate*.c. */

/* The longest deadline that the document may set: ten minutes. */
#define GATE_MAX_DEADLINE_MS 600000
#define GATE_MAX_HEADERS 256
/* Time for connecting and sending to a target that is to get no more. */
#define GATE_DRAIN_MARGIN_MS 250

/* A slot that had requests lately or is being released. */
struct gate_slot {
	uint32_t slot;
	uint32_t in_flight;
	uint32_t requests; /* since the last load report */
	int releasing;
	int release_reported; /* ops->released has run for this release */
	/* Until then an abandoned call may still start at the target. */
	int64_t may_start_until_ns;
	UT_hash_handle hh;
};

enum call_state { CALL_QUEUED, CALL_IN_FLIGHT };

/* What calls show of the target, by how certain its loss is. */
enum target_loss {
	LOSS_NONE,
	LOSS_SUSPECTED, /* it accepts no connection or does not answer */
	LOSS_ENDED	/* its process has ended */
};

/* An attempt that passed the first checks, until its reply. */
struct gate_call {
	struct gate *g;
	struct admission_item item;
	enum call_state state;
	Wire__Forward *f; /* owned */
	gate_reply_fn fn; /* NULL: the requester is gone */
	void *priv;
	struct attempt *attempt;
	int64_t deadline_ms;
	int64_t arrived_ns;
	uint32_t slot;	  /* MAP_NO_SLOT: without a key */
	int large_answer; /* answer_line_end is due */

	/* Set when the call is dispatched. */
	struct httpc_request http;
	uint64_t target_run; /* of the gate, then */
	uint64_t fence;
	int64_t not_after_ns;	    /* the target must not start it later */
	int64_t sent_ns;	    /* 0: not sent to the target */
	uint32_t in_flight_at_send; /* calls in flight then, itself included */
	const char *fault; /* why the answer is not this call's; NULL: none */

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
	struct httpc http_client;
	Wire__Target *target;	   /* owned; NULL: none */
	int64_t no_reuse_until_ms; /* until then one request per connection */
	uint64_t target_run; /* counts the runs of targets that were set */
	/* The most that ops->target_lost was told since the last answer. */
	enum target_loss loss_reported;
	int64_t suspect_again_ms; /* LOSS_SUSPECTED is not reported before */
	/* Use the announced concurrency, not the adaptive limit. */
	int fixed_concurrency;
	int quiesced;		  /* refuse all new requests */
	int target_leaving;	  /* send only requests with a key */
	int64_t drain_ms;	  /* stop those too after this; 0: never */
	int64_t leaving_since_ms; /* valid while target_leaving is set */
	/* See gate_empty.c. */
	const char *data_centre; /* of this node; NULL: not known */
	int64_t empty_ms;	 /* of gate_set_data_centre */
	int emptying;		 /* operators empty it, when last checked */
	int seen_in_use;	 /* a document was in force and they did not */
	/* When it learnt of it; 0: not emptying, or it cannot know since when.
	 */
	int64_t emptying_since_ms;
	/* What the target's answers say of it; see gate_target_state.c. */
	int rate_limit_named;	     /* they name a limit, which may be 0 */
	double rate_limit_per_s;     /* valid while rate_limit_named is set */
	int64_t rate_limit_named_ns; /* when the latest answer named it */
	/* See gate_cold.c. */
	int64_t cold_until_ms;	   /* the target is cold before; 0: it is not */
	double cold_per_s;	   /* limit in force; 0: none */
	int leaving_named;	   /* they say that it is leaving */
	int leaving_changed;	   /* ops->target_leaving is due */
	int64_t leaving_named_ns;  /* when the latest answer said so */
	unsigned unanswered_calls; /* calls in a row without a status line */
	struct admission admission;
	struct answer_line answer_line;
	struct adaptive_limit adaptive_limit;
	struct attempts attempts;
	struct gate_slot *slots;
	struct gate_call *calls;
	unsigned in_flight;
	int dispatching;      /* gate_dispatch_queued is running */
	ev_timer queue_timer; /* active while calls are queued */
	/* Active while a release waits for a slot's may_start_until_ns. */
	ev_timer release_timer;
	struct labels labels;
	struct hot_keys hot_keys; /* since the last gate_take_load */
	struct hist latency;	  /* since the last gate_take_stats */
	struct health health;	  /* recent results of the target */
	uint32_t shed;		  /* since the last gate_take_stats */
	int64_t load_since_ms;	  /* time of the last gate_take_load */
	/* Owned; NULL: calls are treated as other requests. */
	struct gate_protect *protect;
};

/* gate.c */

/* Returns how many requests may be in flight now. */
uint32_t gate_concurrency_limit(const struct gate *g);

/*
 * Ends a call: records the result, calls the requester's reply function, frees
 * the call and dispatches queued ones. The caller sets outcome and error of
 * reply and, for OUTCOME_ANSWERED, status, headers and body.
 */
void gate_call_end(struct gate_call *c, Wire__ForwardReply *reply);
/* Does the same without an answer of the target. */
void gate_call_fail(struct gate_call *c, enum wire_outcome outcome,
		    enum err error);
/* Dispatches queued calls while the limits allow. */
void gate_dispatch_queued(struct gate *g);

/*
 * Returns ERR_NO_TARGET if the target is leaving, or operators empty its data
 * centre, and it gets no more requests with a key (keyed is 1) or without one
 * (0); else ERR_OK.
 */
enum err gate_check_leaving(const struct gate *g, int keyed);

/* gate_empty.c */

/* As gate_check_leaving, for a data centre that operators empty. */
enum err gate_check_emptying(const struct gate *g, int keyed);
/* Ends the queued calls that gate_check_emptying refuses. */
void gate_end_emptied_calls(struct gate *g);

/* gate_call.c */

/*
 * Sends a call to the target, or ends it if it must not be sent. A call that
 * was sent ends on its own by an answer, an error or a timeout.
 */
void gate_call_start(struct gate_call *c);

/*
 * Records that the gate gives up a call that was sent. The target may still
 * start it until its not_after_ns, so its slot is not drained before that.
 */
void gate_call_mark_abandoned(const struct gate_call *c);

/* gate_protect.c; without gate_set_protect_calls no request is a call. */

/* Notes a request of which it may be learnt whether its route is a call. */
void gate_protect_note_request(struct gate *g, const Wire__Forward *f);
int gate_protect_is_call(const struct gate *g, const Wire__Forward *f);
/* Returns 0 if the request is new work that must not begin now. */
int gate_protect_may_begin(struct gate *g, const Wire__Forward *f);
/* Ends a call for which gate_protect_may_begin returned 0. */
void gate_protect_refuse(struct gate_call *c);
/*
 * Returns when the caller of a refused request with left_ms until its time
 * limit should come back, at least after wait_ms, in milliseconds. left_ms: it
 * could not be served in time then. wait_ms without gate_set_protect_calls,
 * and without a key, where the ingress decides.
 */
uint32_t gate_protect_retry_after_ms(struct gate *g, const Wire__Forward *f,
				     uint32_t wait_ms, int64_t left_ms);
void gate_protect_free(struct gate *g);

/* gate_target_state.c */

/* The headers in which an answer states the target's state; NULL: none. */
struct gate_target_headers {
	const char *rate_limit;
	const char *leaving;
};

/* Notes what the answer to a call says of the target. */
void gate_note_target_state(const struct gate_call *c,
			    const struct gate_target_headers *h);
/*
 * Calls ops->target_leaving if the latest answers changed it. Call it when no
 * call is being ended, since the callback may end queued ones.
 */
void gate_report_target_leaving(struct gate *g);
/* Forgets what the answers of an earlier run of the target said. */
void gate_reset_target_state(struct gate *g);

/* gate_cold.c */

/*
 * Sets or ends the limit on requests to a cold target, by the document and the
 * time. Call it before the limit is used.
 */
void gate_update_cold(struct gate *g);
/* Returns for how long a target with this limit stays cold; 0: it is not. */
uint32_t gate_cold_ms(const struct gate *g);
/*
 * Returns ERR_STALE while the target is cold and there is no document that
 * states whether its requests are limited.
 */
enum err gate_check_cold(const struct gate *g);
/*
 * The last check before a request is sent to the target: returns ERR_OK and
 * counts it, or ERR_SHED if too many were sent lately. repeated: it was sent
 * before, on a connection that broke.
 */
enum err gate_check_cold_send(struct gate *g, int repeated);

/* gate_answer.c */

/* The headers of an answer. Strings point into the HTTP client's buffer. */
struct gate_answer {
	Wire__Header *headers;
	Wire__Header **forwarded; /* those that go to the requester */
	size_t count;		  /* of forwarded */
	const char *refused;
	const char *retry_after;
	const char *seal;
	const char *request_id;
	struct gate_target_headers target;
	int has_encoding; /* Content-Encoding, which was not asked for */
};

/*
 * Reads the headers of the answer to a call into memory of the caller. Returns
 * ERR_OK or ERR_NOMEM; gate_answer_finish is due in both cases.
 */
enum err gate_answer_read(struct gate_answer *a, struct gate_call *c);
void gate_answer_finish(struct gate_answer *a);
/* Returns 1 if the target states that the request did not and will not run. */
int gate_answer_is_refusal(const struct gate_call *c,
			   const struct gate_answer *a, uint32_t status);
/*
 * Returns NULL if the answer belongs to this call, else why it does not, as a
 * name for logs and metrics. When a target answers twice or late, the answer
 * carries another request's id. Some dialects also require a success to carry a
 * seal and an id, and no content encoding. A refusal needs the request's id, or
 * none on a connection that carried no other request: a faulty target may write
 * an earlier refusal once more.
 */
const char *gate_answer_find_fault(const struct gate_call *c,
				   const struct gate_answer *a,
				   uint32_t status);

/* gate_slot.c */

/* Returns NULL if there is no such slot. */
struct gate_slot *gate_slot_find(const struct gate *g, uint32_t slot);
/* Returns the slot, created if needed; NULL if memory runs out. */
struct gate_slot *gate_slot_get_or_add(struct gate *g, uint32_t slot);
/* Counts down the slot's calls in flight and reports it if it is drained. */
void gate_slot_call_ended(struct gate *g, uint32_t slot);
/*
 * Records that a call of the slot was given up without an answer. A target
 * whose process is paused still has the call, and may start it until
 * not_after_ns when it resumes.
 */
void gate_slot_mark_abandoned(struct gate *g, uint32_t slot,
			      int64_t not_after_ns);
/* Calls ops->released for the drained slots; restarts or stops the timer. */
void gate_report_drained_slots(struct gate *g);
/* Returns 1 if the slot is being released. */
int gate_slot_is_releasing(const struct gate *g, uint32_t slot);
/* Frees all slots. */
void gate_slots_finish(struct gate *g);

#endif
