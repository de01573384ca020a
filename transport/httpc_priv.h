#ifndef TRANSPORT_HTTPC_PRIV_H
#define TRANSPORT_HTTPC_PRIV_H

#include "transport/httpc.h"

#include <uthash.h>

/* Parts of the HTTP client that its other files use. */

/* An open connection of a client; it is known by its socket. */
struct httpc_connection {
	int fd;
	int64_t opened_ms;
	int local_port; /* 0 until an answer was received */
	unsigned answers;
	/*
	 * Bytes of these answers; -1 if one was sent in chunks, whose framing
	 * is not counted, or if a request was cancelled.
	 */
	int64_t answer_bytes;
	UT_hash_handle hh;
};

/* httpc_conn.c */

/* Returns the bytes that can be read from the socket, 0 if it is not told. */
size_t httpc_conn_count_pending(int fd);
/*
 * Returns the bytes that have been read from the socket since it was opened, or
 * -1 if the system does not tell.
 */
int64_t httpc_conn_count_read(int fd);

/* Functions for libcurl, whose priv is the client. */
curl_socket_t httpc_conn_open(void *priv, curlsocktype purpose,
			      struct curl_sockaddr *address);
int httpc_conn_close(void *priv, curl_socket_t fd);
/* Forgets all connections; libcurl has closed them. */
void httpc_conn_finish(struct httpc *c);

/* Notes that the request uses the connection with this socket. */
void httpc_conn_use(struct httpc_request *r, int fd);
/* Counts the answer of a request that has ended. */
void httpc_conn_note_answer(struct httpc_request *r);
/* The request ends without that; what was read of its answer is not known. */
void httpc_conn_abandon(struct httpc_request *r);
/*
 * Returns 1 if bytes wait on a connection that is about to be used again. They
 * are no answer to this request; libcurl would take them for one. It names the
 * connection by its local port only.
 */
int httpc_conn_has_stray_bytes(const struct httpc *c, int local_port);
/* Returns 1 if bytes that belong to no request came right behind the answer. */
int httpc_conn_has_surplus(const struct httpc_request *r);

#endif
