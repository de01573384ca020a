#ifndef TRANSPORT_HTTPD_PRIV_H
#define TRANSPORT_HTTPD_PRIV_H

#include "transport/httpd.h"

#include <http_parser.h>

/*
 * Private to the HTTP server: httpd.c has the server and its connections,
 * httpd_parse.c makes requests of received bytes, httpd_answer.c writes the
 * answers.
 */

/* Bytes read at a time. */
#define HTTPD_READ_BYTES (32 * 1024)

/* What the next bytes of a connection are. */
enum httpd_part {
	HTTPD_PART_HEAD,       /* lines of a head, or empty ones before it */
	HTTPD_PART_BODY,       /* a body of a stated length */
	HTTPD_PART_CHUNK_SIZE, /* a line */
	HTTPD_PART_CHUNK,
	HTTPD_PART_CHUNK_END, /* the end of line behind a chunk */
	HTTPD_PART_TRAILERS,  /* lines */
};

/* How far the bytes that were given to the parser reach. */
struct httpd_lines {
	enum httpd_part part;
	uint64_t bytes_left; /* of a body or a chunk */
	size_t line_len;     /* bytes of a line that has not ended */
	char last;	     /* the last of them */
	int size_part;	     /* of a chunk's size */
};

struct httpd_conn {
	struct httpd *server;
	int fd;
	ev_io read_io;
	ev_io write_io;
	ev_timer timer;	 /* idle, or the end of lingering */
	double active_s; /* time of the last read or write, by ev_now */
	http_parser parser;
	struct httpd_lines lines;
	struct buf input; /* received behind a request that was not taken yet */
	struct httpd_request *receiving; /* NULL between requests */
	int last_was_name;		 /* the parser's last header part */
	int headers_done;		 /* of the request being received */
	struct buf trailer_name;
	double receiving_since_s;	/* time of its first byte, by ev_now */
	struct httpd_request *requests; /* dispatched, in order of arrival */
	unsigned request_count;
	int closing; /* takes no further requests; ends with the last answer */
	int eof;     /* the caller closed its side */
	int broken;  /* nothing can be sent any more */
	int lingering;	  /* all is sent; waits for the caller to close */
	size_t discarded; /* bytes read and dropped while closing */
	int is_due;
	struct httpd_conn *due_next;
	struct httpd_conn *prev;
	struct httpd_conn *next;
};

/* httpd.c */

/* Has the connection looked at before the loop's next poll. */
void httpd_conn_set_due(struct httpd_conn *c);

/* httpd_parse.c */

void httpd_parser_init(struct httpd_conn *c);
/* Returns 1 if the limits allow another request to be dispatched. */
int httpd_may_take(const struct httpd_conn *c);
/*
 * Parses received bytes and dispatches requests, as far as httpd_may_take. What
 * was not taken goes to c->input; it is parsed by httpd_parse_input.
 */
void httpd_parse(struct httpd_conn *c, const char *data, size_t len);
void httpd_parse_input(struct httpd_conn *c);
void httpd_request_free(struct httpd_request *r);

/* httpd_lines.c */

/* Notes that a part of so many bytes begins; 0 for parts made of lines. */
void httpd_lines_begin(struct httpd_lines *l, enum httpd_part part,
		       uint64_t bytes);
/*
 * Returns how many of the received bytes to give to the parser next: up to the
 * end of the line, body or chunk. 0: they are not valid.
 */
size_t httpd_lines_next(struct httpd_lines *l, const char *data, size_t len);

/* httpd_answer.c */

/* Sends what is ready, in order; completes the requests that are sent. */
void httpd_flush(struct httpd_conn *c);
/* Calls completed() and frees the request. */
void httpd_complete(struct httpd_request *r);
/* Asks the caller for the body that it announced by "Expect". */
void httpd_send_continue(struct httpd_conn *c);

#endif
