#ifndef TRANSPORT_TCP_H
#define TRANSPORT_TCP_H

#include "common/buf.h"
#include "common/err.h"
#include "protocol/frame.h"

#include <ev.h>

/*
 * TCP connections on a libev loop that carry the frames of protocol/frame.h.
 * Callbacks run from the loop, never from inside a call of this interface. A
 * callback may finish its connection. The caller must then keep the memory of
 * struct tcp_conn until the callback returns, except in closed().
 */

struct tcp_conn;

struct tcp_ops {
	/* An outgoing connection is established. May be NULL. */
	void (*connected)(struct tcp_conn *c, void *priv);
	/* One frame was received. f->msg is valid during the callback. */
	void (*frame)(struct tcp_conn *c, const struct frame *f, void *priv);
	/*
	 * The connection was closed by the other end, by an error or because
	 * of a frame that cannot be decoded, or it was not established. Its
	 * descriptor and buffers are released; the callee may free c.
	 */
	void (*closed)(struct tcp_conn *c, enum err why, void *priv);
};

struct tcp_conn {
	const struct tcp_ops *ops;
	void *priv;
	struct ev_loop *loop;
	int fd; /* -1 when closed */
	int connecting;
	int in_callback; /* tcp_conn_finish must not free the buffers yet */
	int finished;	 /* tcp_conn_finish was called */
	ev_io io_read;
	ev_io io_write;
	ev_timer connect_timer;
	struct buf in;
	struct buf out;
	size_t out_sent;      /* bytes of out passed to the kernel */
	enum err dial_error;  /* reported by closed() on the next iteration */
	int64_t last_read_ms; /* time of the last received bytes, clk_ms() */
	uint64_t bytes_in;
	uint64_t bytes_out;
};

/*
 * Takes over a connected, non-blocking descriptor, such as the one that a
 * listener's accepted() receives.
 */
void tcp_conn_init_fd(struct tcp_conn *c, struct ev_loop *loop, int fd,
		      const struct tcp_ops *ops, void *priv);
/*
 * Starts to connect to an IPv4 address and port. Returns ERR_OK; connected()
 * or closed() is called later, the latter with ERR_TIMEOUT if no connection is
 * established within connect_ms. Returns ERR_RANGE (address or port) or
 * ERR_SYSTEM (no descriptor) without a later callback.
 */
enum err tcp_conn_init_dial(struct tcp_conn *c, struct ev_loop *loop,
			    const char *address, unsigned port, int connect_ms,
			    const struct tcp_ops *ops, void *priv);
/*
 * Queues one frame; allowed before connected(). Returns ERR_OK, ERR_CLOSED if
 * the connection is closed, ERR_TOO_LARGE if more than TCP_MAX_QUEUED_BYTES are
 * queued already or the frame exceeds FRAME_MAX_BYTES, or ERR_NOMEM.
 */
enum err tcp_send(struct tcp_conn *c, enum frame_type type,
		  const ProtobufCMessage *msg);
/* As tcp_send, for whole frames that frame_encode has written. */
enum err tcp_send_encoded(struct tcp_conn *c, const struct buf *frames);
/*
 * Returns the bytes of the frames of this type that the process has queued on
 * all its connections.
 */
uint64_t tcp_sent_bytes(enum frame_type type);
/* Closes without a callback and frees the buffers, but not c itself. */
void tcp_conn_finish(struct tcp_conn *c);
/* Returns the number of queued bytes that are not yet passed to the kernel. */
size_t tcp_queued(const struct tcp_conn *c);
/*
 * Returns tcp_queued() plus the bytes in the kernel that the other end's kernel
 * has not acknowledged.
 */
size_t tcp_unacknowledged(const struct tcp_conn *c);

#define TCP_MAX_QUEUED_BYTES (64 * 1024 * 1024)

struct tcp_listener {
	struct ev_loop *loop;
	int fd;
	ev_io io;
	ev_timer accept_pause; /* ends the pause after a failed accept */
	/* Receives each new connection's descriptor and owns it. */
	void (*accepted)(int fd, void *priv);
	void *priv;
};

/*
 * Listens on an IPv4 address and port. Returns ERR_OK, ERR_RANGE (address or
 * port) or ERR_SYSTEM (e.g. the port is in use).
 */
enum err tcp_listen(struct tcp_listener *l, struct ev_loop *loop,
		    const char *address, unsigned port,
		    void (*accepted)(int fd, void *priv), void *priv,
		    struct err_info *info);
/* Closes the listener; allowed in accepted(). Connections stay open. */
void tcp_listener_finish(struct tcp_listener *l);

#endif
