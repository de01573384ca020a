#ifndef TRANSPORT_HTTPC_H
#define TRANSPORT_HTTPC_H

#include "common/buf.h"
#include "common/err.h"

#include <curl/curl.h>
#include <ev.h>

/*
 * HTTP/1.1 client: libcurl's multi interface on a libev loop. Keeps
 * connections open between requests.
 */

struct httpc {
	struct ev_loop *loop;
	CURLM *multi;
	ev_timer timer;
	unsigned running;
	unsigned streams;		/* of these, with data() */
	struct httpc_request *requests; /* started and not ended */
};

struct httpc_header {
	const char *name;
	const char *value;
};

struct httpc_request;

struct httpc_ops {
	/*
	 * Runs when a connection is ready, right before the first byte of the
	 * request is sent; libcurl may call it again when it repeats a request
	 * on another connection. Anything but ERR_OK ends the request with
	 * that error. Runs inside libcurl: may not call this interface. May be
	 * NULL.
	 */
	enum err (*before_send)(struct httpc_request *r, void *priv);
	/*
	 * Body bytes as they come, instead of collecting them in answer. NULL
	 * to collect. May start and cancel requests, this one included.
	 */
	void (*data)(struct httpc_request *r, const char *data, size_t len,
		     void *priv);
	/* Once for each started request that is not cancelled. */
	void (*done)(struct httpc_request *r, void *priv);
};

/* Caller's memory. Fields up to priv are set by the caller before start. */
struct httpc_request {
	const struct httpc_ops *ops;
	void *priv;
	const char *method;
	const char *url;		    /* copied */
	const struct httpc_header *headers; /* copied */
	size_t header_count;
	const void *body; /* must stay valid until done */
	size_t body_len;
	int timeout_ms;		/* 0: none */
	int connect_timeout_ms; /* 0: same as timeout_ms */
	size_t max_body_bytes;	/* of the answer; 0: FRAME_MAX_BYTES / 2 */
	int new_connection;	/* do not reuse a connection */
	int close_after;	/* nor use this one for another request */
	int unframed_ok;	/* the answer may end with its connection */

	/* Result, valid in done(). */
	enum err error;		   /* ERR_OK: the answer is whole */
	int send_started;	   /* before_send has let the request pass */
	int status;		   /* 0 if no status line came */
	struct buf answer;	   /* body */
	struct buf answer_headers; /* "Name: value\n" lines */

	struct httpc *client;
	CURL *easy;
	struct curl_slist *list;
	enum err abort_error;
	int framed; /* by length or chunks */
	int headers_done;
	unsigned sends;
	struct httpc_request *prev;
	struct httpc_request *next;
};

enum err httpc_init(struct httpc *c, struct ev_loop *loop,
		    unsigned max_connections_per_host);
/* Cancels what is under way. May be called from data() and done(). */
void httpc_finish(struct httpc *c);
/* ERR_OK: done() will be called, never from inside this call. */
enum err httpc_start(struct httpc *c, struct httpc_request *r);
/* Ends a started request without done(); its connection is closed. */
void httpc_cancel(struct httpc_request *r);
/* Frees answer and answer_headers; after done() or httpc_cancel(). */
void httpc_request_finish(struct httpc_request *r);

#endif
