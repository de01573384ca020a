#ifndef TRANSPORT_HTTPD_H
#define TRANSPORT_HTTPD_H

#include "common/buf.h"
#include "common/err.h"

#include <ev.h>
#include <microhttpd.h>

/*
 * HTTP/1.1 server: libmicrohttpd on a libev loop. Requests are delivered
 * whole; answers may come later.
 */

struct httpd_header {
	const char *name;
	const char *value;
};

struct httpd;

struct httpd_request {
	struct httpd *server;
	struct MHD_Connection *conn;
	char *method;
	char *path; /* as sent, with the query string */
	struct buf body;
	/* ERR_OK or ERR_TOO_LARGE; with the latter, answer at once. */
	enum err error;
	void *priv; /* the callee's */

	ev_io gone; /* sees the caller leave while the answer is awaited */
	int dispatched;
	int suspended;
	int answered;
	size_t dropped;
	struct MHD_Response *response;
	unsigned status;
	int streaming;
	int stream_ended;
	int stream_blocked;
	struct buf stream;
	struct httpd_request *prev;
	struct httpd_request *next;
};

struct httpd_ops {
	/* A whole request. Answer now or later, exactly once. */
	void (*request)(struct httpd_request *r, void *priv);
	/*
	 * A whole request that is read while the server ends: it has not run.
	 * Answer now. NULL: 503.
	 */
	void (*refuse)(struct httpd_request *r, void *priv);
	/*
	 * The caller has closed its connection before the answer. The answer
	 * that is still due reaches nobody. May be NULL.
	 */
	void (*disconnected)(struct httpd_request *r, void *priv);
	/*
	 * The request is over, after the answer was sent or the connection
	 * broke; r is freed after this. May be NULL.
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
	ev_idle idle;
	int run_needed;
	int stopping;
	size_t max_body_bytes;
	struct httpd_request *requests;
};

/* idle_seconds: keep-alive connections without a request are closed. */
enum err httpd_init(struct httpd *d, struct ev_loop *loop, const char *address,
		    unsigned port, size_t max_body_bytes, unsigned idle_seconds,
		    const struct httpd_ops *ops, void *priv,
		    struct err_info *info);
/* Same with a limit on open connections; more wait in the backlog. */
enum err httpd_init_limited(struct httpd *d, struct ev_loop *loop,
			    const char *address, unsigned port,
			    size_t max_body_bytes, unsigned idle_seconds,
			    unsigned max_connections,
			    const struct httpd_ops *ops, void *priv,
			    struct err_info *info);
/* The port that was bound; for port 0. */
unsigned httpd_port(const struct httpd *d);
/* Closes everything; over() runs for each open request. */
void httpd_finish(struct httpd *d);
/* Stops listening; open connections go on. */
void httpd_quiesce(struct httpd *d);

/* NULL if the header is absent. */
const char *httpd_get_header(const struct httpd_request *r, const char *name);
/* Calls fn for each header of the request. */
void httpd_each_header(const struct httpd_request *r,
		       void (*fn)(const char *name, const char *value,
				  void *priv),
		       void *priv);
/* NULL if the query argument is absent. */
const char *httpd_get_argument(const struct httpd_request *r, const char *name);

/* The body is copied. */
void httpd_answer(struct httpd_request *r, unsigned status,
		  const struct httpd_header *headers, size_t header_count,
		  const void *body, size_t body_len);
/* Answer to a HEAD request: states the length of the body that it omits. */
void httpd_answer_head(struct httpd_request *r, unsigned status,
		       const struct httpd_header *headers, size_t header_count,
		       uint64_t length);
/* Text body with a content type. */
void httpd_answer_text(struct httpd_request *r, unsigned status,
		       const char *content_type, const char *text);

/*
 * Answers with a response made by the caller, for what httpd_answer cannot
 * express; takes the response over.
 */
void httpd_answer_raw(struct httpd_request *r, unsigned status,
		      struct MHD_Response *response);

/* Answer in pieces, sent as they come; for watches. */
void httpd_stream_begin(struct httpd_request *r, unsigned status,
			const char *content_type);
void httpd_stream_send(struct httpd_request *r, const void *data, size_t len);
void httpd_stream_end(struct httpd_request *r);

#endif
