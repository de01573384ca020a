#ifndef TRANSPORT_HTTPC_HEAD_H
#define TRANSPORT_HTTPC_HEAD_H

#include "common/buf.h"

/*
 * Strict reading of the head of an HTTP/1.1 answer (RFC 9112), line by line.
 * It alone decides what the head of one answer is: its status, its headers and
 * how the end of its body is found.
 *
 * A server in trouble may write a part of one answer and then another one on
 * the same connection. Read as one head, these have the status of the first and
 * the headers of the second. The status line of the second then stands at the
 * start of a line, where it is not valid, or within a header's value or the
 * reason phrase, where it is valid text. Such text counts as a second answer if
 * a header follows it that no answer lacks: the one that repeats the request's
 * id or, where answers have none, one that frames the body. An answer without
 * the id that it should repeat may not have such text at all, nor may one to a
 * request that was sent before: an answer to the earlier send has its id too.
 */

/* Why bytes are not taken as one answer. */
enum httpc_fault {
	HTTPC_FAULT_NONE = 0,
	HTTPC_FAULT_STATUS_LINE, /* the first line is no status line */
	HTTPC_FAULT_LINE,	 /* another line is no header */
	HTTPC_FAULT_SECOND_HEAD, /* a second status line within the head */
	HTTPC_FAULT_FRAMING,	 /* lengths that are invalid or contradict */
	HTTPC_FAULT_REPEATED,	 /* two ids */
	HTTPC_FAULT_TRAILER,	 /* a trailer that belongs into a head */
	HTTPC_FAULT_BODY,	 /* the body ends in the head of another one */
	HTTPC_FAULT_COUNT
};

/* Lower-case name for logs and metrics, e.g. "second_head". */
const char *httpc_fault_name(enum httpc_fault fault);

struct httpc_head {
	const char *id_name; /* header that repeats the request's id, or NULL */
	int refuses_inner_line; /* whatever follows the text of a status line */
	struct buf *headers;	/* "Name: value\n" lines of the final head */
	enum httpc_fault fault; /* the first one */
	unsigned status;	/* of the last head */
	int complete;		/* the final head has ended */
	int chunked;
	int has_length;
	uint64_t length;
	int closes; /* the server closes the connection after the answer */

	int in_head;	    /* a status line was read */
	int has_inner_line; /* a line contains the text of a status line */
	int can_fold;	    /* the last line may be continued by the next */
	size_t id_start;    /* of the id's value in headers */
	size_t id_len;	    /* 0: no id yet */
};

/*
 * Starts reading. The lines of the final head are appended to headers. Both
 * pointers stay valid until the last call. The caller may set
 * refuses_inner_line before the first line.
 */
void httpc_head_init(struct httpc_head *h, const char *id_name,
		     struct buf *headers);
/*
 * Adds one line with its end. The lines of all heads (1xx answers come before
 * the final one) and of the trailers are added in the order of their arrival.
 * Returns the first fault so far; headers without memory are a fault as well.
 */
enum httpc_fault httpc_head_add(struct httpc_head *h, const char *line,
				size_t len);
/* Returns 1 if the answer states its length or is sent in chunks. */
int httpc_head_is_framed(const struct httpc_head *h);

/* How the end of a body looks like the head of another answer. */
enum httpc_body_end {
	HTTPC_BODY_PLAIN,
	/* It may go on as a head: what follows the body tells. */
	HTTPC_BODY_IN_HEAD,
	/* It contains a status line and, in the head that follows, the id. */
	HTTPC_BODY_HAS_ANSWER,
};

/*
 * Looks for a second answer in a body that the request's first answer was cut
 * in. id_name may be NULL, then HTTPC_BODY_HAS_ANSWER is not returned.
 */
enum httpc_body_end httpc_head_find_in_body(const void *body, size_t len,
					    const char *id_name,
					    const char *id);

#endif
