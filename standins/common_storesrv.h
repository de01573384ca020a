#ifndef STANDINS_COMMON_STORESRV_H
#define STANDINS_COMMON_STORESRV_H

#include "standins/common_storejson.h"
#include "transport/httpd.h"

/*
 * HTTP server of the store stand-in: serves the calls and watches of etcd's v3
 * JSON API, simulates faults on command, and counts calls. Commands for tests
 * are sent as POST /control/...:
 *
 *	down?mode=refuse|silent	refuse: calls are answered with 503, and
 *				watches end; silent: calls are accepted and
 *				never answered
 *	up			ends an outage; connections that got no answer
 *				are closed
 *	slow?ms=N		adds N ms to each call, half of it before the
 *				call takes effect; 0 ends it
 *	lose-answers?count=N&mode=drop|silent
 *				the next N writes take effect, but their
 *				connections are closed (drop) or left without
 *				an answer (silent)
 *	garble?count=N		the next N answers are cut to half their length
 *	freeze?ms=N		the process does nothing for N ms
 *	compact			drops the history of changes
 *	copy			takes a copy of the database
 *	restore?keep=PREFIX	sets the database back to the last copy (to an
 *				empty one if there is none) with another random
 *				cluster_id, and closes the connections of
 *				watches and of calls whose answers are due; keys
 *				that begin with PREFIX are written again with
 *				their present values
 *
 * GET /control/counts returns JSON with counts for each type of call.
 */

enum ssrv_mode {
	SSRV_UP,
	SSRV_REFUSE, /* calls are answered with 503 */
	SSRV_SILENT, /* calls are not answered */
};

struct ssrv_count {
	uint64_t calls;
	uint64_t keys;	/* read, compared and written */
	uint64_t bytes; /* of the bodies of requests and answers */
};

#define SSRV_JSON_TYPE "application/json"

struct ssrv_call;
struct ssrv_watch;

struct ssrv {
	struct httpd httpd;
	struct ev_loop *loop;
	struct sdb db;
	GRand *rand;
	unsigned latency_ms; /* mean; at random from 50% to 150% of it */
	enum ssrv_mode mode;
	unsigned slow_ms;      /* added to latency_ms */
	unsigned lose_count;   /* writes whose answers are still to be lost */
	int lose_silently;     /* leaves their connections open */
	unsigned garble_count; /* answers that are still to be cut */
	unsigned freeze_ms;
	struct ssrv_count counts[SJSON_CALLS];
	struct ssrv_call *calls;
	struct ssrv_watch *watches;
	ev_timer sweep;	   /* expires leases, drops clients that left */
	ev_timer progress; /* sends progress messages to watches */
	ev_timer flush;	   /* sends delayed events to watches */
	ev_timer freeze;   /* starts the freeze */
};

/*
 * Starts to listen; port 0 is any free port, which ssrv_port() returns. seed
 * is for the random numbers of latencies and lease ids; latency_ms is the mean
 * latency of a call. Returns an error, with info filled, if the address or port
 * cannot be used.
 */
enum err ssrv_init(struct ssrv *s, struct ev_loop *loop, const char *address,
		   unsigned port, uint32_t seed, unsigned latency_ms,
		   struct err_info *info);
unsigned ssrv_port(const struct ssrv *s);
/* Closes all connections and frees all. */
void ssrv_finish(struct ssrv *s);

/*
 * These do what POST /control/down, up, copy and restore do. keep may be NULL.
 */
void ssrv_down(struct ssrv *s, enum ssrv_mode mode);
void ssrv_up(struct ssrv *s);
void ssrv_take_copy(struct ssrv *s);
void ssrv_restore(struct ssrv *s, const char *keep);

/* Closes the request's connection without an answer. */
void ssrv_close_connection(struct httpd_request *r);
/* Answers with status 503, as an unavailable store does. */
void ssrv_answer_unavailable(struct httpd_request *r);
/* Returns 1 if the client has closed the connection. */
int ssrv_client_gone(const struct httpd_request *r);

/*
 * Answers a watch request and keeps the watch, unless the request is malformed
 * or its start revision was compacted.
 */
void ssrv_begin_watch(struct ssrv *s, struct httpd_request *r,
		      const json_t *request);
/* Removes the watch of a request that has ended, if there is one. */
void ssrv_remove_watch(struct ssrv *s, const struct httpd_request *r);
/* Sends pending changes to all watches, unless the store is down. */
void ssrv_flush_watches(struct ssrv *s);

/* Selects watches. */
enum ssrv_watch_filter {
	SSRV_ALL,
	SSRV_UNANSWERED, /* begun while the store was silent */
	SSRV_GONE,	 /* the client has closed the connection */
};

/* Closes the connections of the watches that the filter selects. */
void ssrv_drop_watches(struct ssrv *s, enum ssrv_watch_filter filter);
/* Timer callback: sends a progress message to each watch. */
void ssrv_on_progress(struct ev_loop *loop, ev_timer *t, int events);
/* Returns the number of open watches. */
int ssrv_count_watches(const struct ssrv *s);

/* Runs a command; name is the path after "/control/" with its query. */
void ssrv_control(struct ssrv *s, struct httpd_request *r, const char *name);
/* Timer callback: blocks the process for s->freeze_ms. */
void ssrv_on_freeze(struct ev_loop *loop, ev_timer *t, int events);

#endif
