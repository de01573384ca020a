#ifndef TRANSPORT_HTTPD_H
#define TRANSPORT_HTTPD_H

#include "common/buf.h"
#include "common/err.h"

#include <ev.h>
#include <microhttpd.h>

/*
 * HTTP/1.1 server: libmicrohttpd on a libev loop. A request is dispatched once
 * it was received whole; it may be answered later.
 */

struct httpd_header {
	const char *name;
	const char *value;
};

struct httpd;

/* One request. The server owns it and frees it after completed(). */
struct httpd_request {
	struct httpd *server;
	struct MHD_Connection *conn;
	char *method;
	char *path; /* as sent, with the query string */
	struct buf body;
	/*
	 * ERR_OK, or ERR_TOO_LARGE if the body exceeds max_body_bytes; the
	 * callback must then answer before it returns.
	 */
	enum err error;
	void *priv; /* for use by the callbacks */

	/* Maintained by httpd.c; the callbacks may read them. */
	ev_io disconnect_io; /* detects that the caller has disconnected */
	int dispatched;	     /* request() or refuse() was called */
	int suspended;	     /* libmicrohttpd does not process conn */
	int answered;
	size_t dropped_bytes;	       /* bytes beyond max_body_bytes */
	struct MHD_Response *response; /* answer that is not yet queued */
	unsigned status;
	int streaming;
	int stream_ended;
	int stream_blocked;
	struct buf stream; /* bytes of a streamed answer not yet sent */
	struct httpd_request *prev;
	struct httpd_request *next;
};

struct httpd_ops {
	/*
	 * A request was received. The callee answers it exactly once, in the
	 * callback or later.
	 */
	void (*request)(struct httpd_request *r, void *priv);
	/*
	 * A request was received during httpd_finish. It has not run; the
	 * callee answers it before it returns. If refuse is NULL, the answer
	 * is 503.
	 */
	void (*refuse)(struct httpd_request *r, void *priv);
	/*
	 * The caller has closed its connection while the request waits for its
	 * answer. The callee still has to answer, but nobody receives the
	 * answer. May be NULL.
	 */
	void (*disconnected)(struct httpd_request *r, void *priv);
	/*
	 * The answer was sent or the connection broke; r is freed after this
	 * call. Called for each request passed to request() or refuse(). May
	 * be NULL.
	 */
	void (*completed)(struct httpd_request *r, void *priv);
};

struct httpd {
	const struct httpd_ops *ops;
	void *priv;
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	ev_io io;
	ev_timer timer;
	ev_prepare prepare;
	ev_idle idle;	/* active while a run of libmicrohttpd is pending */
	int run_needed; /* libmicrohttpd has to run before the next poll */
	int stopping;	/* httpd_finish has begun */
	size_t max_body_bytes;
	struct httpd_request *requests;
};

/*
 * Starts a server on an IPv4 address and port; port 0 picks a free one. A
 * connection is closed after idle_seconds without activity, unless a request on
 * it waits for its answer. At most 1000 connections are open at a time. Returns
 * ERR_OK, ERR_RANGE (address or port) or ERR_SYSTEM (e.g. the port is in use).
 */
enum err httpd_init(struct httpd *d, struct ev_loop *loop, const char *address,
		    unsigned port, size_t max_body_bytes, unsigned idle_seconds,
		    const struct httpd_ops *ops, void *priv,
		    struct err_info *info);
/*
 * As httpd_init, with at most max_connections open at a time; further ones wait
 * in the backlog of the listening socket.
 */
enum err httpd_init_limited(struct httpd *d, struct ev_loop *loop,
			    const char *address, unsigned port,
			    size_t max_body_bytes, unsigned idle_seconds,
			    unsigned max_connections,
			    const struct httpd_ops *ops, void *priv,
			    struct err_info *info);
/* Returns the port that is bound, also if httpd_init was given port 0. */
unsigned httpd_port(const struct httpd *d);
/*
 * Answers the requests that wait with 503, ends streams and closes all
 * connections; completed() is called for each dispatched request.
 */
void httpd_finish(struct httpd *d);
/* Stops listening; open connections are served further. */
void httpd_quiesce(struct httpd *d);

/* Returns the header's value, or NULL if the header is absent. */
const char *httpd_get_header(const struct httpd_request *r, const char *name);
/* Calls fn for each header of the request. */
void httpd_each_header(const struct httpd_request *r,
		       void (*fn)(const char *name, const char *value,
				  void *priv),
		       void *priv);
/* Returns the value of a query argument, or NULL if it is absent. */
const char *httpd_get_argument(const struct httpd_request *r, const char *name);

/*
 * The answer functions may be called in request() or later. A second answer to
 * the same request is discarded.
 */

/* Answers with a body, which is copied, as are the headers. */
void httpd_answer(struct httpd_request *r, unsigned status,
		  const struct httpd_header *headers, size_t header_count,
		  const void *body, size_t body_len);
/*
 * Answers a HEAD request: states the length in bytes of the body that a GET
 * would receive, without sending it.
 */
void httpd_answer_head(struct httpd_request *r, unsigned status,
		       const struct httpd_header *headers, size_t header_count,
		       uint64_t length);
/* Answers with a body of text, which is copied, and its content type. */
void httpd_answer_text(struct httpd_request *r, unsigned status,
		       const char *content_type, const char *text);

/*
 * Answers with a response that the callee has created, for answers that
 * httpd_answer cannot express. Takes ownership of the response.
 */
void httpd_answer_raw(struct httpd_request *r, unsigned status,
		      struct MHD_Response *response);

/*
 * Answers piece by piece with a body of unknown length, e.g. the events of a
 * watch: begin once, send any number of times, end once. Data is copied and
 * sent as soon as the connection takes it.
 */
void httpd_stream_begin(struct httpd_request *r, unsigned status,
			const char *content_type);
void httpd_stream_send(struct httpd_request *r, const void *data, size_t len);
void httpd_stream_end(struct httpd_request *r);

#endif
