#ifndef TRANSPORT_UDP_H
#define TRANSPORT_UDP_H

#include "common/err.h"

#include <ev.h>
#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>

/*
 * UDP socket on a libev loop. A datagram that cannot be sent is lost without
 * an error, like one that the network loses.
 */

/* Largest datagram that is received whole; a longer one is cut off. */
#define UDP_MAX_BYTES 1400
/* IPv4 and UDP headers of one datagram, included in the byte counters. */
#define UDP_HEADER_BYTES 28

struct udp {
	struct ev_loop *loop;
	int fd;
	ev_io io;
	void (*received)(const uint8_t *data, size_t len,
			 const struct sockaddr_in *from, void *priv);
	void *priv;
	uint64_t bytes_in; /* headers included */
	uint64_t bytes_out;
	uint64_t messages_in;
	uint64_t messages_out;
};

/*
 * Binds a socket to an IPv4 address and port and calls received for each
 * datagram. Returns ERR_OK, ERR_RANGE (address or port) or ERR_SYSTEM, e.g. if
 * another process has bound the port.
 */
enum err udp_init(struct udp *u, struct ev_loop *loop, const char *address,
		  unsigned port,
		  void (*received)(const uint8_t *data, size_t len,
				   const struct sockaddr_in *from, void *priv),
		  void *priv, struct err_info *info);
/* Closes the socket; does nothing if udp_init failed. */
void udp_finish(struct udp *u);
/* Sends one datagram; a failure is ignored. */
void udp_send(struct udp *u, const struct sockaddr_in *to, const uint8_t *data,
	      size_t len);

#endif
