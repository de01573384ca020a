#ifndef STANDINS_COMMON_STORESRV_H
#define STANDINS_COMMON_STORESRV_H

#include "standins/common_storejson.h"
#include "transport/httpd.h"

/*
 * HTTP side of the store stand-in: the store's calls, watches, faults on
 * command, and counts. POST /control/...:
 *
 *	down?mode=refuse|silent	refuse: 503, and watches end;
 *				silent: accepted and never answered
 *	up			connections that got no answer are closed
 *	slow?ms=N		added to each call, half of it before the call
 *				takes effect; 0 ends it
 *	lose-answers?count=N&mode=drop|silent
 *				the next N writes take effect, then the
 *				connection is closed or never answered
 *	garble?count=N		the next N answers are cut in half
 *	freeze?ms=N		the process does nothing for N ms
 *	compact			drops the history of changes
 *
 * GET /control/counts returns JSON by kind of call.
 */

enum ssrv_mode { SSRV_UP, SSRV_REFUSE, SSRV_SILENT };

struct ssrv_count {
	uint64_t calls;
	uint64_t keys;
	uint64_t bytes; /* bodies of requests and answers */
};

#define SSRV_JSON_TYPE "application/json"

struct ssrv_call;
struct ssrv_watch;

struct ssrv {
	struct httpd httpd;
	struct ev_loop *loop;
	struct sdb db;
	GRand *rand;
	unsigned latency_ms; /* mean; 50% to 150% of it by chance */
	enum ssrv_mode mode;
	unsigned slow_ms;
	unsigned lose_count;
	int lose_silently;
	unsigned garble_count;
	unsigned freeze_ms;
	struct ssrv_count counts[SJSON_CALLS];
	struct ssrv_call *calls;
	struct ssrv_watch *watches;
	ev_timer sweep;	   /* lease expiry, clients that are gone */
	ev_timer progress; /* progress messages to watches */
	ev_timer flush;	   /* delayed events */
	ev_timer freeze;
};

/* port 0: any; ssrv_port tells which. */
enum err ssrv_init(struct ssrv *s, struct ev_loop *loop, const char *address,
		   unsigned port, uint32_t seed, unsigned latency_ms,
		   struct err_info *info);
unsigned ssrv_port(const struct ssrv *s);
void ssrv_finish(struct ssrv *s);

/* As POST /control/down and POST /control/up. */
void ssrv_down(struct ssrv *s, enum ssrv_mode mode);
void ssrv_up(struct ssrv *s);

/* Closes the connection without an answer. */
void ssrv_close_connection(struct httpd_request *r);
/* Answers as an unavailable store does. */
void ssrv_answer_unavailable(struct httpd_request *r);
int ssrv_client_gone(const struct httpd_request *r);

void ssrv_begin_watch(struct ssrv *s, struct httpd_request *r,
		      const json_t *request);
/* The request is over. */
void ssrv_remove_watch(struct ssrv *s, const struct httpd_request *r);
/* Sends what has changed, unless the store is down. */
void ssrv_flush_watches(struct ssrv *s);
enum ssrv_watch_filter { SSRV_ALL, SSRV_UNANSWERED, SSRV_GONE };
void ssrv_drop_watches(struct ssrv *s, enum ssrv_watch_filter which);
void ssrv_on_progress(struct ev_loop *loop, ev_timer *t, int events);
/* Number of watches that are open. */
int ssrv_count_watches(const struct ssrv *s);

/* Control endpoints; name is the path after "/control/". */
void ssrv_control(struct ssrv *s, struct httpd_request *r, const char *name);
void ssrv_on_freeze(struct ev_loop *loop, ev_timer *t, int events);

#endif
