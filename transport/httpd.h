#ifndef TRANSPORT_HTTPD_H
#define TRANSPORT_HTTPD_H

#include "common/buf.h"
#include "common/err.h"

#include <ev.h>
#include <time.h>

/*
 * HTTP/1.1 server: http_parser on a libev loop. A request is dispatched once it
 * was received whole; it may be answered later.
 *
 * A caller may send further requests on a connection before the first is
 * answered. They are dispatched side by side, up to httpd_limits, and answered
 * in the order in which they came. An answer with the header "Connection:
 * close" ends the connection: requests behind it that were dispatched before
 * are still answered, the last of them carries the header, and what was not
 * dispatched is discarded unread.
 */

struct httpd_header {
	const char *name;
	const char *value;
};

struct httpd;
struct httpd_conn;

/* A header field: offsets of its texts in httpd_request.text. */
struct httpd_field {
	uint32_t name;
	uint32_t value;
};

/* One request. The server owns it and frees it after completed(). */
struct httpd_request {
	struct httpd *server;
	struct httpd_conn *conn;
	const char *method;
	const char *path; /* as sent, with the query string */
	struct buf body;
	/*
	 * Why a request that was passed to reject() cannot be taken:
	 * ERR_TOO_LARGE (the body exceeds max_body_bytes), ERR_RANGE (the
	 * headers exceed HTTPD_MAX_HEAD_BYTES), ERR_MALFORMED or ERR_NOMEM.
	 */
	enum err error;
	/*
	 * What found that: the parser's name, e.g. "HPE_INVALID_METHOD", or a
	 * check of the server: "line" (a line does not end as it must, or
	 * states no size of a chunk), "host", "host_twice", "request_line",
	 * "transfer_encoding", "trailer"; else NULL.
	 */
	const char *parser_error;
	void *priv; /* for use by the callbacks */

	/* Maintained by the server; the callbacks may read them. */
	struct buf text; /* target, names and values, each ends with a zero */
	struct httpd_field *fields;
	size_t field_count;
	size_t field_cap;
	struct buf arguments; /* decoded query: NAME 0 VALUE 0 ... */
	int has_arguments;    /* arguments was filled */
	int keep_alive;	      /* the caller wants to reuse the connection */
	int http_1_0;
	int expects_continue;
	int answered;
	int streaming;
	int stream_ended;
	int raw; /* the answer is sent without framing */
	struct buf head;
	int head_done;	   /* head has its last line */
	struct buf answer; /* body, or what a stream has not sent yet */
	size_t sent;	   /* bytes of head and answer that were sent */
	size_t held;	   /* bytes of answer, counted in httpd.held_bytes */
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
	 * A request cannot be taken, for the reason in r->error; only what was
	 * received before is set. The callee answers it before it returns, and
	 * the connection ends with the answer. If reject is NULL, the answer
	 * is 400, 413, 431 or 503.
	 */
	void (*reject)(struct httpd_request *r, void *priv);
	/*
	 * The caller has closed its connection while the request waits for its
	 * answer. The callee still has to answer, but nobody receives the
	 * answer. May be NULL.
	 */
	void (*disconnected)(struct httpd_request *r, void *priv);
	/*
	 * The answer was sent or the connection broke; r is freed after this
	 * call. Called for each request passed to another callback. May be
	 * NULL.
	 */
	void (*completed)(struct httpd_request *r, void *priv);
};

/* Longest request line with headers, in bytes. */
#define HTTPD_MAX_HEAD_BYTES (32 * 1024)

/* Limits of one server; 0 stands for the default of each. */
struct httpd_limits {
	/* Open connections; further ones wait in the backlog. Default 1000. */
	unsigned connections;
	/*
	 * Requests of one connection that are dispatched and not answered;
	 * further ones stay unread. Default 16.
	 */
	unsigned pipeline;
	/*
	 * Bytes of bodies and answers that one connection holds while answers
	 * wait for their turn; further requests stay unread. Default 1 MiB.
	 */
	size_t held_bytes;
};

struct httpd {
	const struct httpd_ops *ops;
	void *priv;
	struct ev_loop *loop;
	struct httpd_limits limits;
	size_t max_body_bytes;
	double idle_s;
	int fd; /* listening socket; -1: quiesced */
	unsigned port;
	ev_io accept_io;
	ev_timer accept_timer; /* pause after a failed accept */
	ev_prepare prepare;
	ev_idle idle;  /* active while connections are due */
	int stopping;  /* httpd_finish has begun */
	char *scratch; /* for one read */
	char date[40];
	time_t date_s;	   /* time of date */
	size_t held_bytes; /* of all answers that were not sent whole */
	unsigned conn_count;
	struct httpd_conn *conns;
	struct httpd_conn
		*due; /* connections to look at before the next poll */
};

/*
 * Starts a server on an IPv4 address and port; port 0 picks a free one. A
 * connection is closed after idle_seconds without activity (0: never), unless a
 * request on it waits for its answer. Returns ERR_OK, ERR_NOMEM, ERR_RANGE
 * (address or port) or ERR_SYSTEM (e.g. the port is in use).
 */
enum err httpd_init(struct httpd *d, struct ev_loop *loop, const char *address,
		    unsigned port, size_t max_body_bytes, unsigned idle_seconds,
		    const struct httpd_ops *ops, void *priv,
		    struct err_info *info);
/* As httpd_init, with other limits than the defaults. */
enum err httpd_init_limited(struct httpd *d, struct ev_loop *loop,
			    const char *address, unsigned port,
			    size_t max_body_bytes, unsigned idle_seconds,
			    const struct httpd_limits *limits,
			    const struct httpd_ops *ops, void *priv,
			    struct err_info *info);
/* Returns the port that is bound, also if httpd_init was given port 0. */
unsigned httpd_port(const struct httpd *d);
/*
 * Answers the requests that wait with 503, ends streams and closes all
 * connections; completed() is called for each dispatched request.
 */
void httpd_finish(struct httpd *d);
/*
 * Stops listening; open connections are served further, also those that were
 * not accepted yet.
 */
void httpd_quiesce(struct httpd *d);

/* Returns the header's value, or NULL if the header is absent. */
const char *httpd_get_header(const struct httpd_request *r, const char *name);
/* Returns the socket of the request's connection, for tests of its state. */
int httpd_get_fd(const struct httpd_request *r);
/* Calls fn for each header of the request. */
void httpd_each_header(const struct httpd_request *r,
		       void (*fn)(const char *name, const char *value,
				  void *priv),
		       void *priv);
/*
 * Returns the decoded value of a query argument, or NULL if it is absent. "%00"
 * stays coded.
 */
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
 * Sends bytes as they are in place of an answer, then closes the connection.
 * For stand-ins that play faulty servers.
 */
void httpd_answer_bytes(struct httpd_request *r, const void *data, size_t len);

/*
 * Answers piece by piece with a body of unknown length, e.g. the events of a
 * watch: begin once, send any number of times, end once. Data is copied and
 * sent as soon as the connection takes it.
 */
void httpd_stream_begin(struct httpd_request *r, unsigned status,
			const char *content_type);
/*
 * Does the same without a head and without framing, as httpd_answer_bytes. The
 * connection is closed at the end.
 */
void httpd_stream_begin_raw(struct httpd_request *r);
/* Does the same, but the connection stays open: the bytes are framed. */
void httpd_stream_begin_open(struct httpd_request *r);
/* A stream that lost data for lack of memory is cut off, not ended. */
void httpd_stream_send(struct httpd_request *r, const void *data, size_t len);
void httpd_stream_end(struct httpd_request *r);

#endif
