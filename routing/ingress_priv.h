#ifndef ROUTING_INGRESS_PRIV_H
#define ROUTING_INGRESS_PRIV_H

#include "limits/retry_budget.h"
#include "limits/retry_share.h"
#include "placement/selector.h"
#include "routing/ingress.h"
#include "routing/label.h"
#include "transport/httpd.h"

#include <uthash.h>

/*
 * Inside of the ingress: shared by ingress.c (life of a request),
 * ingress_parse.c, ingress_route.c and ingress_answer.c.
 */

#define IN_TENANT_BYTES 64
#define IN_DEFAULT_TENANT "default"
#define IN_MAX_KEY_BYTES 1024
/* Within what httpc sends for one header. */
#define IN_MAX_HEADER_BYTES 8000
#define IN_MAX_HEADERS 256

/* Bound on the table of budgets; owners come and go. */
#define IN_MAX_BUDGETS 4096

/* Retry budget of one service at one owner. */
struct in_budget {
	struct in_budget_key {
		char service[64]; /* padded with zeros */
		uint32_t owner;
	} key;
	struct retry_budget retry_budget;
	UT_hash_handle hh;
};

/* This node's part of the fleet's retries for one service. */
struct in_share {
	char service[64];
	struct retry_share retry_share;
	double answer_bytes; /* moving average */
	UT_hash_handle hh;
};

/* Targets that one request is kept away from, having failed there. */
#define IN_MAX_TRIED 4

enum in_place {
	IN_NOWHERE,
	IN_AT_GATE,
	IN_AT_PEER,
	IN_PAUSED, /* its timer leads to the next try */
};

/* One request of a caller, until it is answered. */
struct in_request {
	struct ingress *in;
	struct httpd_request *http;
	enum in_place place;

	/* From the request. The message refers to http and to what follows. */
	Wire__Forward f;
	Wire__Header *headers;
	Wire__Header **header_list;
	char service[64];
	char tenant[IN_TENANT_BYTES];
	char *key;
	int has_service; /* the rest is known */
	int keyed;
	double retry_ratio;
	uint32_t target_ms;    /* an answer has its full value within this */
	uint32_t max_arrivals; /* targets that it may be sent to */
	uint32_t arrivals;
	uint32_t tried[IN_MAX_TRIED];
	unsigned tried_count;
	int64_t sent_ns; /* of the present try */
	int chosen;	 /* under way at a target that choose knows of */

	int64_t arrived_ns;
	int64_t waiting_ms; /* since when it waits for an owner; 0: not */
	int64_t deadline_ms;
	uint64_t map_rev; /* of the map that the last try used */
	uint32_t owner;
	char owner_name[64];
	unsigned tries;
	int may_have_run; /* by an earlier try with unknown outcome */
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
	const struct settings *set;
	struct in_budget *budgets;
	struct in_share *shares;
	struct selector selector;
	struct in_request *requests;
	unsigned open; /* requests whose answer has not been sent */
	unsigned max_open;
	uint64_t next_attempt;
	int quiesced;
	int refusing;
};

/* ingress.c */
void in_request_free(struct in_request *q);

/* ingress_parse.c */

/*
 * Fills the request from the HTTP request. ERR_MALFORMED, ERR_NO_SERVICE,
 * ERR_NO_KEY, ERR_TOO_LARGE (body) or ERR_RANGE (headers).
 */
enum err in_parse(struct in_request *q, const struct doc *doc);

/* ingress_route.c */

/* Starts the next try; may answer and free the request. */
void in_route(struct in_request *q);
/* Counts the request for the service's retries. */
void in_count_request(struct in_request *q);
/* Logs that the caller has gone before its answer. */
void in_log_abandoned(const struct in_request *q);
/* 1 if the current map still names the owner for the request's key. */
int in_has_owner(const struct in_request *q, uint32_t owner);
/* No reply of the present try reaches the request any more. */
void in_detach(struct in_request *q);
void in_budgets_finish(struct ingress *in);

/* ingress_answer.c; each frees the request. */

void in_answer_reply(struct in_request *q, const Wire__ForwardReply *reply);
/* An answer made here. */
void in_answer_error(struct in_request *q, enum wire_outcome outcome,
		     enum err error, uint32_t retry_after_ms);

#endif
