#include "transport/udp.h"
#include "common/step.h"
#include "transport/addr.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static void on_readable(struct ev_loop *loop, ev_io *w, int events)
{
	struct udp *u = w->data;

	(void)loop;
	(void)events;
	step_enter("datagrams");
	for (;;) {
		uint8_t data[UDP_MAX_BYTES];
		struct sockaddr_in from;
		socklen_t from_len = sizeof(from);
		ssize_t n = recvfrom(u->fd, data, sizeof(data), 0,
				     (struct sockaddr *)&from, &from_len);

		if (n < 0 && errno == ECONNREFUSED)
			continue;
		if (n < 0)
			return;
		u->bytes_in += (uint64_t)n + UDP_HEADER_BYTES;
		u->messages_in++;
		u->received(data, (size_t)n, &from, u->priv);
	}
}

enum err udp_init(struct udp *u, struct ev_loop *loop, const char *address,
		  unsigned port,
		  void (*received)(const uint8_t *data, size_t len,
				   const struct sockaddr_in *from, void *priv),
		  void *priv, struct err_info *info)
{
	struct sockaddr_in sa;

	memset(u, 0, sizeof(*u));
	u->fd = -1;
	u->loop = loop;
	u->received = received;
	u->priv = priv;
	if (addr_parse(&sa, address, port) != ERR_OK)
		return err_set(info, ERR_RANGE,
			       "%s port %u is not an IPv4 address and port",
			       address, port);
	u->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (u->fd < 0)
		return err_set(info, ERR_SYSTEM,
			       "cannot create a UDP socket: %s",
			       strerror(errno));
	/*
	 * No SO_REUSEADDR: a second process on the same address must fail to
	 * bind, since a bind proves that the previous incarnation is gone.
	 */
	if (bind(u->fd, (struct sockaddr *)&sa, sizeof(sa)) < 0) {
		err_set(info, ERR_SYSTEM, "cannot bind UDP %s port %u: %s",
			address, port, strerror(errno));
		close(u->fd);
		u->fd = -1;
		return ERR_SYSTEM;
	}
	ev_io_init(&u->io, on_readable, u->fd, EV_READ);
	u->io.data = u;
	ev_io_start(loop, &u->io);
	return ERR_OK;
}

void udp_finish(struct udp *u)
{
	if (u->fd < 0)
		return;
	ev_io_stop(u->loop, &u->io);
	close(u->fd);
	u->fd = -1;
}

void udp_send(struct udp *u, const struct sockaddr_in *to, const uint8_t *data,
	      size_t len)
{
	ssize_t n = sendto(u->fd, data, len, 0, (const struct sockaddr *)to,
			   sizeof(*to));

	if (n < 0)
		return;
	u->bytes_out += (uint64_t)n + UDP_HEADER_BYTES;
	u->messages_out++;
}
