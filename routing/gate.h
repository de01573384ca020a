#ifndef ROUTING_GATE_H
#define ROUTING_GATE_H

#include "common/cnt.h"
#include "config/settings.h"
#include "placement/judge.h"
#include "protocol/frame.h"
#include "routing/dialect.h"
#include "routing/view.h"

#include <ev.h>

/*
 * The gate stands in front of this node's target. It admits, checks ownership
 * right before hand-over, sends at most one request for each attempt, and
 * reports what became of it.
 */

struct gate;

/* One attempt's end; reply is the gate's and valid during the call. */
typedef void (*gate_reply_fn)(const Wire__ForwardReply *reply, void *priv);

struct gate_ops {
	/* The last request in flight of a slot being released has ended. */
	void (*released)(uint32_t slot, void *priv);
	/*
	 * The target refused a connection (refused: its process has ended), or
	 * does not answer at all.
	 */
	void (*target_lost)(int refused, void *priv);
};

struct gate_stats { /* since the last gate_take_stats */
	uint32_t in_flight;
	uint32_t queued;
	uint32_t shed;
	uint32_t latency_us;	    /* median */
	struct judge_report target; /* what the gate saw of it lately */
};

enum err gate_new(struct gate **out, struct ev_loop *loop, struct view *view,
		  struct cnt *cnt, const struct dialect *dialect,
		  const struct gate_ops *ops, void *priv);
void gate_free(struct gate *g);

/* 0: as many requests at a time as the target announced, always. */
void gate_set_adaptive(struct gate *g, int adaptive);
/* The target is to get no new work, but for slots that it still owns. */
void gate_target_leaving(struct gate *g);
/*
 * A leaving target gets no new work at all once drain_ms have passed since
 * gate_target_leaving; 0: work with keys goes on until their slots have moved.
 */
void gate_set_drain(struct gate *g, int64_t drain_ms);
/* Takes nothing new at all; what it has goes on. */
void gate_quiesce(struct gate *g);
/* 1 if nothing of a slot that is being released is in flight. */
int gate_slot_is_empty(const struct gate *g, uint32_t slot);
/* Milliseconds since the target last answered; INT64_MAX: never. */
int64_t gate_answer_age_ms(const struct gate *g);
/* The target came, changed (not NULL) or is gone (NULL). */
void gate_set_target(struct gate *g, const Wire__Target *target);

/*
 * Takes one attempt. fn runs exactly once, possibly from inside the call;
 * never after gate_forget. The message is copied.
 */
void gate_submit(struct gate *g, const Wire__Forward *f, gate_reply_fn fn,
		 void *priv);
/*
 * A request whose body is here only after_ms later. 1 if it may come; else fn
 * has run with the refusal, and the body need not be sent at all.
 */
int gate_offer(struct gate *g, const Wire__Forward *f, int64_t after_ms,
	       gate_reply_fn fn, void *priv);
/*
 * The asker is gone: no callback for this fn and priv any more. Queued calls
 * are dropped, and idempotent ones at the target are broken off.
 */
void gate_forget(struct gate *g, gate_reply_fn fn, void *priv);
/*
 * State of an attempt. An attempt never seen is recorded as refused, so that
 * it does not run if it arrives later.
 */
enum wire_attempt_state gate_query(struct gate *g, uint64_t attempt);
/*
 * Drops a queued attempt. One handed over is broken off if it is idempotent,
 * and goes on otherwise.
 */
void gate_cancel(struct gate *g, uint64_t attempt);

/*
 * Takes no new work for the slot from now on. ops->released runs when nothing
 * of it is in flight, possibly from inside the call. Queued work that was not
 * handed over ends as not-run with ERR_RELEASING. Work in flight counts to the
 * slot that its key has in the map at the time of this call.
 */
void gate_release(struct gate *g, uint32_t slot);
void gate_release_cancel(struct gate *g, uint32_t slot);
/* A new map names this node as owner again: the slot takes work. */
void gate_slot_gained(struct gate *g, uint32_t slot);
/* Requests handed over and not yet ended. */
unsigned gate_in_flight(const struct gate *g);

/* Appends load by slot and the hottest keys, and starts to count anew. */
void gate_take_load(struct gate *g, Wire__LoadReport *report);
void gate_load_report_free(Wire__LoadReport *report);
struct gate_stats gate_take_stats(struct gate *g);

#endif
