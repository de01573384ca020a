#ifndef ROUTING_INGRESS_PRIV_H
#define ROUTING_INGRESS_PRIV_H

#include "limits/byte_budget.h"
#include "limits/retry_budget.h"
#include "limits/retry_share.h"
#include "limits/return_order.h"
#include "placement/selector.h"
#include "routing/ingress.h"
#include "routing/label.h"
#include "transport/httpd.h"

#include <uthash.h>

/*
 * Private to the ingress: ingress.c creates and frees requests,
 * ingress_parse.c reads them, ingress_targets.c chooses their targets, within
 * the regions of ingress_regions.c, ingress_route.c makes the attempts and
 * ingress_answer.c writes the answers.
 */

#define IN_TENANT_BYTES 64
#define IN_DEFAULT_TENANT "default"
#define IN_MAX_KEY_BYTES 1024
#define IN_MAX_HEADERS 256

/* Limits the table of budgets, since owners come and go. */
#define IN_MAX_BUDGETS 4096

/* Retry budget of one service at one node. */
struct in_budget {
	struct in_budget_key {
		char service[64]; /* padded with zeros */
		uint32_t owner;
	} key;
	struct retry_budget retry_budget;
	UT_hash_handle hh;
};

/* What this ingress keeps for one service. */
struct in_service_state {
	char service[64];
	struct retry_share
		retry_share; /* this node's part of the fleet's retry budget */
	double answer_bytes; /* moving average of the size of answer bodies */
	/* Choices since the last line, see ingress_spread.c; NULL: none yet. */
	struct in_spread *spread;
	UT_hash_handle hh;
};

/* Limit on the failed targets of a request, which are not chosen again. */
#define IN_MAX_FAILED_TARGETS 4

enum in_request_state {
	IN_IDLE,    /* no attempt in flight, no timer */
	IN_AT_GATE, /* attempt in flight at the local gate */
	IN_AT_PEER, /* attempt in flight at another daemon */
	IN_PAUSED,  /* the timer starts the next attempt */
};

/* Most routes of calls that the own target makes. */
#define IN_MAX_CALL_ROUTES 16

/*
 * Routes that the gates of their targets have marked as calls, in the order of
 * their last replies. The oldest makes room for a new one, since a document may
 * have removed it.
 */
struct in_calls {
	uint32_t routes[IN_MAX_CALL_ROUTES];
	size_t count;
};

/* Most routes with rates of their own. */
#define IN_MAX_RETURN_ROUTES 16

/* When callers that this ingress refuses are told to return, for one route. */
struct in_return_route {
	uint32_t route;
	struct return_order order;
	double per_s; /* answers, moving average */
	unsigned answers;
	int64_t since_ms;  /* since when answers counts */
	uint64_t last_use; /* value of in_returns.uses then */
};

struct in_returns {
	struct in_return_route routes[IN_MAX_RETURN_ROUTES];
	size_t count;
	uint64_t uses; /* of all routes so far */
};

/* A request of a caller that has not been answered. */
struct in_request {
	struct ingress *in;
	struct httpd_request *http;
	enum in_request_state state;

	/* Sent with each attempt; points into http and the members below. */
	Wire__Forward forward;
	Wire__Header *headers;
	Wire__Header **header_list;
	char service[64];
	char tenant[IN_TENANT_BYTES];
	char *key;
	int has_service; /* service and tenant are set */
	int keyed; /* the service has keys, so one node owns the request */
	double retry_ratio;
	/*
	 * Latency target of the route: an answer has its full value within this
	 * time after the request arrived. 0: the route has none.
	 */
	uint32_t target_ms;
	/*
	 * Regions that the route allows, NULL-terminated; NULL: all. Borrowed
	 * from the document: valid until control returns to the event loop.
	 */
	char *const *regions;
	int has_regions; /* regions was not NULL at the last attempt */
	/* Limit of the route on target_sends. */
	uint32_t max_target_sends;
	/* Attempts that reached, or may have reached, a target. */
	uint32_t target_sends;
	uint32_t failed_targets[IN_MAX_FAILED_TARGETS]; /* node ids */
	/* Those of them that had no room; 0 for a request with a key. */
	unsigned refused_target_count;
	unsigned failed_target_count;
	int64_t attempt_sent_ns;
	int selector_in_flight; /* selector_note_sent ran, selector_note_ended
				 is still due */

	int64_t arrived_ns;
	int64_t owner_wait_since_ms; /* 0: never waited for an owner */
	int64_t deadline_ms;
	uint64_t map_rev; /* of the map that the last attempt used */
	uint32_t owner;	  /* node of the last attempt; 0: none */
	char owner_name[64];
	unsigned attempt_count;
	size_t answer_room; /* reserved in ingress.answers */
	int may_have_run;   /* by an earlier attempt with unknown outcome */
	/*
	 * Which check found the request not acceptable, a constant of
	 * ingress_parse.c or a name of the HTTP parser; NULL: none did.
	 */
	const char *refused_by;
	ev_timer timer;
	struct in_request *prev;
	struct in_request *next;
};

struct ingress {
	struct ev_loop *loop;
	struct view *view;
	struct gate *gate;
	struct peers *peers;
	struct cnt *cnt;
	struct httpd http;
	struct labels labels;
	const struct dialect *dialect;
	const struct settings *settings;
	struct in_budget *budgets;
	struct in_service_state *service_states;
	struct selector selector;
	struct in_calls calls;
	struct in_returns returns;
	struct byte_budget answers; /* large ones of requests that were begun */
	int answers_full;	    /* the last request was refused for them */
	struct in_request *requests;
	unsigned open_requests; /* requests whose answer has not been sent */
	unsigned max_open_requests;
	uint64_t last_attempt; /* id */
	int quiesced;	       /* ingress_quiesce was called */
	int refusing;	       /* ingress_refuse_requests was called */
};

/* ingress.c */

/*
 * Stops the timer and frees the request without an answer. No attempt of it may
 * be in flight.
 */
void in_request_free(struct in_request *q);

/* ingress_parse.c */

/*
 * Fills the request from the HTTP request. Returns
 *   ERR_MALFORMED   a header, the request line or the key is not valid;
 *   ERR_NO_SERVICE  no route matches;
 *   ERR_NO_KEY      the service has keys and the request has none;
 *   ERR_TOO_LARGE   the body exceeds the service's limit;
 *   ERR_RANGE       the headers are too large or too many;
 *   ERR_NOMEM.
 * Sets q->refused_by on an error other than ERR_NOMEM.
 */
enum err in_parse(struct in_request *q, const struct doc *doc);

/* ingress_route.c */

/*
 * Finds a node for the request and starts an attempt there. May answer and
 * free the request.
 */
void in_start_attempt(struct in_request *q);
/* Credits the service's share of the retry budget with one request. */
void in_count_request(struct in_request *q);
/*
 * Returns 1 if the request may be sent to a target once more: within the
 * route's limit, the fleet's retry budget and the owner's. Takes a token of
 * both budgets.
 */
int in_take_retry_budget(struct in_request *q);
/* Returns 1 if the current map names the node as owner of the request's key. */
int in_is_owner(const struct in_request *q, uint32_t owner);
/*
 * Cancels the attempt in flight, if any: no reply of it reaches the request
 * any more. Does not stop the timer.
 */
void in_cancel_attempt(struct in_request *q);
/* Frees the retry budgets and the state of all services. */
void in_free_retry_state(struct ingress *in);

/* Returns the state of a service, created if needed; NULL: no memory. */
struct in_service_state *in_service_state_get(struct ingress *in,
					      const char *service);

/* ingress_targets.c */

/*
 * Returns the node whose target is best for a request without a key; 0 if there
 * is none.
 */
uint32_t in_choose_target(struct in_request *q, const struct map *m);
/*
 * Notes that the target of the request's owner stays cold for cold_ms, 0: it is
 * not. Does nothing unless the document limits requests to cold targets.
 */
void in_note_cold(struct in_request *q, uint32_t cold_ms);

/* ingress_regions.c */

/*
 * Sets q->regions by the document in force, which may be another one than at
 * the last attempt. If no route matches any more, a request that was restricted
 * may go nowhere.
 */
void in_regions_refresh(struct in_request *q);
/* Returns 1 if the request may be sent to the node. */
int in_regions_allow(const struct in_request *q, const Wire__Node *n);
/*
 * Returns 1 if the regions leave the request no target: its owner is elsewhere,
 * or the map has no target of the service in them. Counts and logs that. To be
 * called with q->owner set to the chosen node, 0: none.
 */
int in_regions_refuse(const struct in_request *q, const struct map *m);

/* ingress_spread.c */

/*
 * Counts the choice of a target by weight (settings->spread). Writes a line on
 * the choices at most once a second for each service.
 */
void in_note_choice(struct in_request *q, const struct selector_candidate *k);

/* ingress_calls.c; without limits.protect_calls no route is a call. */

/*
 * Notes what the reply to an attempt says of the request's route, and whether
 * the target refused it for lack of room.
 */
void in_calls_note_reply(struct in_request *q, const Wire__ForwardReply *reply);
/* Tells the own gate how a request ended if it is a call of the target. */
void in_calls_note_end(struct in_request *q, int found_room);

/* ingress_return.c */

/* Counts an answer of a target. */
void in_return_note_answer(struct in_request *q);
/*
 * Decides when the caller of a request that ends with 503 is told to return.
 * *ms: the time that a gate or target named, 0 if none did. Without
 * limits.protect_calls it stays as it is. Returns 0 if the caller is told none,
 * because the request could not be served in time then.
 */
int in_return_after_ms(const struct in_request *q, enum err error,
		       uint32_t *ms);

/* ingress_answer.c */

/* Logs that the caller closed its connection before the answer. */
void in_log_abandoned(const struct in_request *q);
/* Sends the target's answer to the caller and frees the request. */
void in_answer_reply(struct in_request *q, const Wire__ForwardReply *reply);
/*
 * Cancels the attempt in flight, sends an answer that states the outcome and
 * the error, and frees the request. retry_after_ms is used if the status is
 * 503; the answer then asks the caller to wait for a minimum time at least.
 */
void in_answer_error(struct in_request *q, enum wire_outcome outcome,
		     enum err error, uint32_t retry_after_ms);

/*
 * Answers a request that was not run for lack of memory, and for which there is
 * no struct in_request.
 */
void in_answer_no_memory(struct ingress *in, struct httpd_request *r);

#endif
