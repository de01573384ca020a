#ifndef TRANSPORT_HTTPC_H
#define TRANSPORT_HTTPC_H

#include "common/buf.h"
#include "common/err.h"
#include "transport/httpc_head.h"

#include <curl/curl.h>
#include <ev.h>

/*
 * HTTP/1.1 client: libcurl's multi interface on a libev loop. It keeps
 * connections open between requests and reuses them.
 *
 * A server in trouble may send bytes without end. What one request reads has
 * bounds: HTTPC_MAX_HEADER_BYTES for all heads (with 1xx answers and trailers),
 * max_body_bytes for the body, HTTPC_MAX_UNPARSED_BYTES for bytes that become
 * neither (a line or a chunk extension without end), and timeout_ms. The bodies
 * that all requests of a client collect have HTTPC_MAX_COLLECTED_BYTES.
 *
 * An answer is framed if it states its length or is sent in chunks. The end of
 * an unframed answer is the end of its connection, so that an answer that was
 * cut off cannot be told from a whole one.
 *
 * What the head of one answer is, httpc_head decides. Its faults are noted in
 * the request.
 */

#define HTTPC_MAX_HEADER_BYTES (64 * 1024)
#define HTTPC_MAX_UNPARSED_BYTES (64 * 1024)
/* The same where the system does not count a socket's bytes. */
#define HTTPC_MAX_UNPARSED_STEPS 32
/*
 * Three bodies of the largest size that a frame between daemons can carry;
 * small VMs have 160 MB.
 */
#define HTTPC_MAX_COLLECTED_BYTES (24 * 1024 * 1024)

struct httpc_connection;

struct httpc {
	struct ev_loop *loop;
	struct httpc_connection *connections; /* open ones, a hash by socket */
	size_t collected_bytes; /* in the answers of all requests */
	int comes_back; /* libcurl has more to do for a request at once */
	CURLM *multi;
	ev_timer timer;
	unsigned request_count;
	unsigned stream_count;		/* requests that have data() */
	struct httpc_request *requests; /* started and not ended */
};

struct httpc_header {
	const char *name;
	const char *value;
};

struct httpc_request;

struct httpc_ops {
	/*
	 * Called when a connection is ready, right before the first byte of
	 * the request is sent, and again each time that libcurl repeats the
	 * request on another connection. If it returns an error, the request
	 * is not sent and ends with that error. It runs inside libcurl, so it
	 * may not call this interface. May be NULL.
	 */
	enum err (*before_send)(struct httpc_request *r, void *priv);
	/*
	 * Receives the body of the answer piece by piece. If it is NULL, the
	 * body is collected in answer instead. It may start and cancel
	 * requests, this one included.
	 */
	void (*data)(struct httpc_request *r, const char *data, size_t len,
		     void *priv);
	/* Called once for each started request that is not cancelled. */
	void (*done)(struct httpc_request *r, void *priv);
};

/*
 * One request, in memory of the caller. The caller sets the members of the
 * first group before httpc_start, the others to 0.
 */
struct httpc_request {
	const struct httpc_ops *ops;
	void *priv;
	const char *method;
	const char *url;		    /* copied */
	const struct httpc_header *headers; /* copied */
	size_t header_count;
	const void *body; /* must stay valid until the request ends */
	size_t body_len;
	int timeout_ms;		/* of the whole request; 0: no limit */
	int connect_timeout_ms; /* 0: same as timeout_ms */
	/* Limit of a collected answer body; 0: FRAME_MAX_BYTES / 2. */
	size_t max_body_bytes;
	int new_connection; /* open a new connection for this request */
	/* A connection that was idle for longer is not reused; 0: 5 s. */
	int max_idle_seconds;
	int close_after; /* close the connection after this request */
	int unframed_ok; /* accept an unframed answer as whole */
	/*
	 * The header in which each answer repeats the request's id, and the id;
	 * NULL if answers do not. Both must stay valid until the request ends.
	 */
	const char *id_name;
	const char *id;

	/*
	 * Result, valid in done(). error is ERR_OK if the whole answer was
	 * received, else the error of before_send or one of:
	 *  - ERR_REFUSED: nothing listened at the server's address;
	 *  - ERR_TIMEOUT: timeout_ms or connect_timeout_ms has passed;
	 *  - ERR_CLOSED: it failed otherwise before an answer came;
	 *  - ERR_INCOMPLETE: the answer was cut off, or is unframed;
	 *  - ERR_MALFORMED: the answer is not HTTP, or not one answer; fault
	 *    says why;
	 *  - ERR_TOO_LARGE: the answer's headers or body exceed their limit.
	 */
	enum err error;
	/*
	 * Set once before_send has returned ERR_OK: the target may have
	 * received the request.
	 */
	int send_started;
	/* 1 if an earlier request may have used the connection. */
	int reused_connection;
	/*
	 * errno with which the connection was not established; 0: it was, or
	 * libcurl does not tell.
	 */
	int connect_errno;
	int status;		   /* HTTP status, 0 if none was received */
	enum httpc_fault fault;	   /* why bytes were not taken as one answer */
	int64_t connection_age_ms; /* -1 if it is not known */
	/* Answers that the connection carried before this request. */
	unsigned connection_answers;
	/* Connections that were not used, since bytes waited on them. */
	unsigned stray_connections;
	struct buf answer;	   /* collected body */
	struct buf answer_headers; /* "Name: value\n" lines */

	/* Maintained by httpc.c; the callbacks may read them. */
	struct httpc *client;
	CURL *easy;
	struct curl_slist *header_list;
	enum err abort_error;
	struct httpc_head head;
	struct httpc_connection *connection; /* NULL: none, or closed */
	int has_stray_bytes;	 /* start again on a new connection */
	int connection_closed;	 /* after the request was sent */
	int64_t received_bytes;	 /* until it was closed; -1: not known */
	size_t head_bytes;	 /* of all heads and trailers */
	int fd;			 /* of the last event; -1: none */
	unsigned unparsed_steps; /* since the last header or body byte */
	int64_t unparsed_from;	 /* bytes read then; -1: not known yet */
	unsigned sends; /* how often libcurl was about to send the request */
	struct httpc_request *prev;
	struct httpc_request *next;
};

/* max_connections_per_host 0: no limit. Returns ERR_OK or ERR_NOMEM. */
enum err httpc_init(struct httpc *c, struct ev_loop *loop,
		    unsigned max_connections_per_host);
/*
 * Cancels all requests and closes all connections. May be called from data()
 * and done().
 */
void httpc_finish(struct httpc *c);
/*
 * Starts a request. On ERR_OK, done() is called later, never from inside this
 * call. Returns ERR_NOMEM or ERR_SYSTEM without a later callback.
 */
enum err httpc_start(struct httpc *c, struct httpc_request *r);
/*
 * Ends a started request without done() and closes its connection. Does
 * nothing if the request has ended.
 */
void httpc_cancel(struct httpc_request *r);
/*
 * Copies the value of a header of the answer to out, cut to its size; "" if the
 * answer has no such header.
 */
void httpc_copy_header(const struct httpc_request *r, const char *name,
		       char *out, size_t size);
/*
 * Returns 1 if a connection to this IPv4 address is established and the server
 * has not closed it: a process that has ended has none. 0 also where the system
 * does not tell.
 */
int httpc_is_connected(const struct httpc *c, const char *address,
		       unsigned port);
/* Frees answer and answer_headers. Call it in or after done() or cancelling. */
void httpc_request_finish(struct httpc_request *r);

#endif
