#ifndef ROUTING_GATE_H
#define ROUTING_GATE_H

#include "common/cnt.h"
#include "config/settings.h"
#include "limits/answer_line.h"
#include "placement/health.h"
#include "protocol/frame.h"
#include "routing/dialect.h"
#include "routing/view.h"

#include <ev.h>

/*
 * The gate of a node passes requests to the node's target, the server beside
 * the daemon. It admits or queues them, checks right before sending that the
 * node still owns the key's slot, and reports the outcome. An attempt is one
 * submission of a caller's request to a gate, with a unique id; the gate
 * accepts each attempt once. It sends a request once, or again if it is
 * idempotent and the connection broke.
 *
 * The outcome is OUTCOME_ANSWERED, OUTCOME_NOT_RUN if the request certainly
 * did not run and never will, or OUTCOME_UNKNOWN if it may have run.
 */

struct gate;

/* Receives an attempt's result; reply is valid during the call only. */
typedef void (*gate_reply_fn)(const Wire__ForwardReply *reply, void *priv);

struct gate_ops {
	/* A slot that is being released has no requests in flight any more. */
	void (*released)(uint32_t slot, void *priv);
	/*
	 * The target's process has ended (ended is 1): it refuses connections
	 * and has none open. Or it may have ended (0): it accepts no new
	 * connection, or leaves requests unanswered. Until the target has
	 * answered or another one is set, runs once at most with each value,
	 * and not with 0 after 1; with 0 at most once a second. May call
	 * gate_set_target.
	 */
	void (*target_lost)(int ended, void *priv);
	/*
	 * An answer of the target says that it is leaving (leaving is 1), or a
	 * later one does not say so any more (0). May call
	 * gate_set_target_leaving.
	 */
	void (*target_leaving)(int leaving, void *priv);
};

struct gate_stats {
	uint32_t in_flight;	     /* now */
	uint32_t queued;	     /* now */
	uint32_t shed;		     /* since the last gate_take_stats */
	uint32_t latency_us;	     /* median of the answers since then */
	struct health_report target; /* how the target behaved lately */
	double rate_limit_per_s;     /* requests that it takes; 0: no limit */
};

/*
 * Creates a gate without a target. The callbacks in ops get priv. All pointers
 * must stay valid until gate_free. Returns ERR_OK or ERR_NOMEM.
 */
enum err gate_new(struct gate **out, struct ev_loop *loop, struct view *view,
		  struct cnt *cnt, const struct dialect *dialect,
		  const struct gate_ops *ops, void *priv);
/* Cancels all requests without calling their reply functions. NULL is fine. */
void gate_free(struct gate *g);

/*
 * Selects how many requests the target gets at a time: if adaptive is 0 always
 * as many as it announced; else, which is the default, as many as its latency
 * allows, up to that number.
 */
void gate_set_adaptive(struct gate *g, int adaptive);
/*
 * Selects whether calls, which are requests that targets make while they run
 * others, go before other requests, and whether less new work is begun while
 * the calls of the own target find no room. Off by default.
 */
void gate_set_protect_calls(struct gate *g, int protect);
/*
 * Notes that a call of the own target to another service has ended. found_room:
 * it was answered without a failure; everywhere: if not, several targets
 * refused it. Does nothing unless calls are protected.
 */
void gate_note_call_ended(struct gate *g, int found_room, int everywhere);
/*
 * The target is about to leave. It gets no new requests without a key; those
 * that are queued end with ERR_NO_TARGET. Requests with a key go on while this
 * node owns their slots, see gate_set_drain_ms.
 */
void gate_set_target_leaving(struct gate *g);
/*
 * Limits how long a leaving target gets requests with a key: drain_ms from
 * gate_set_target_leaving, minus a margin to send them. 0: no limit.
 */
void gate_set_drain_ms(struct gate *g, int64_t drain_ms);
/*
 * Sets the rate of this node's line in kbit/s, 0: not known. To be called
 * before the first request.
 */
void gate_set_bandwidth(struct gate *g, uint32_t link_kbps);
/*
 * Returns the order of large answers on the line. The gate notes which requests
 * run and how large their answers are; who sends the answers to other nodes
 * keeps the order.
 */
struct answer_line *gate_answer_line(struct gate *g);
/*
 * Names the data centre of this node. While operators empty it, the target gets
 * no requests without a key, and those with a key only while this node owns
 * their slots and at most for empty_ms, minus margins, after this node learnt
 * of it; 0: without a limit of time. Others end with ERR_NO_TARGET. If this
 * node has never seen its data centre in use, the time counts as over.
 * data_centre must stay valid until gate_free.
 */
void gate_set_data_centre(struct gate *g, const char *data_centre,
			  int64_t empty_ms);
/* To be called when what the view returns has changed. */
void gate_view_changed(struct gate *g);
/*
 * Refuses all new requests with ERR_NO_TARGET. Queued requests and those in
 * flight go on.
 */
void gate_quiesce(struct gate *g);
/*
 * Returns 1 if the slot is being released, none of its requests is in flight,
 * and none that the gate gave up can still start at the target.
 */
int gate_slot_is_drained(const struct gate *g, uint32_t slot);
/*
 * Sets or changes the target, which is copied and not leaving any more. NULL:
 * there is no target, and queued requests end with ERR_NO_TARGET. A target
 * whose address is no dotted IPv4 address, or whose port is invalid, counts as
 * NULL.
 */
void gate_set_target(struct gate *g, const Wire__Target *target);

/*
 * The target is cold for cold_ms from now on, and a little longer to allow for
 * an announcement that was late; 0: it is not cold. It then gets at most as
 * many requests a second as the document states (cold_per_s of its service).
 * gate_set_target does this with the cold_ms of the target; each announcement
 * replaces what the one before, or another caller, has set.
 */
void gate_set_cold(struct gate *g, int64_t cold_ms);

/*
 * Submits one attempt. fn gets the result exactly once, possibly before this
 * function returns, but never after gate_detach_requester. An attempt that is
 * already known is not run again and ends with ERR_CONFLICT. f is copied.
 */
void gate_submit(struct gate *g, const Wire__Forward *f, gate_reply_fn fn,
		 void *priv);
/*
 * Checks a request before its body is transferred, which takes after_ms.
 * Returns 1 if the body may be sent. Else returns 0 after fn has received the
 * refusal, and the body need not be sent. An attempt that is already known ends
 * as in gate_submit.
 */
int gate_check_offer(struct gate *g, const Wire__Forward *f, int64_t after_ms,
		     gate_reply_fn fn, void *priv);
/*
 * The requester with this fn and priv is gone: fn is not called with priv any
 * more. Its queued requests are dropped, and its idempotent requests in flight
 * are aborted.
 */
void gate_detach_requester(struct gate *g, gate_reply_fn fn, void *priv);
/*
 * Returns the state of an attempt. An unknown attempt is recorded as refused,
 * so that it does not run if it arrives later.
 */
enum wire_attempt_state gate_query(struct gate *g, uint64_t attempt);
/*
 * Cancels an attempt: drops it if it is queued, aborts it if it is in flight
 * and idempotent, both with ERR_CLOSED, and lets it go on otherwise.
 */
void gate_cancel(struct gate *g, uint64_t attempt);

/*
 * Starts the release of a slot: refuses new requests for it, and ends queued
 * ones as not-run, both with ERR_RELEASING. ops->released runs once the slot is
 * drained (see gate_slot_is_drained), possibly before this function returns.
 * Requests in flight count towards the slot that their key has in the map at
 * the time of this call. Does nothing if memory runs out.
 */
void gate_release(struct gate *g, uint32_t slot);
/* Ends a release: the slot's requests are accepted again. */
void gate_release_cancel(struct gate *g, uint32_t slot);
/* Does the same, after a new map made this node the slot's owner again. */
void gate_slot_gained(struct gate *g, uint32_t slot);
/*
 * Returns the number of requests in flight: dispatched to the target, waiting
 * for a connection or for the answer.
 */
unsigned gate_in_flight(const struct gate *g);

/*
 * Writes the load by slot, the hottest keys and the length of the interval
 * since the last call to *report, which must be initialised, and starts a new
 * interval. Frees what the lists of slots and keys held before.
 */
void gate_take_load(struct gate *g, Wire__LoadReport *report);
/* Frees the lists of slots and keys and leaves them empty. */
void gate_load_report_free(Wire__LoadReport *report);
/* Returns the statistics and resets those that count from the last call. */
struct gate_stats gate_take_stats(struct gate *g);

#endif
