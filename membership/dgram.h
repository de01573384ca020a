#ifndef MEMBERSHIP_DGRAM_H
#define MEMBERSHIP_DGRAM_H

#include "ownership/own.h"
#include "protocol/wire.pb-c.h"
#include "transport/udp.h"

/*
 * The datagrams that renew grants and check whether the coordinator lives:
 * typed messages over UDP. An ask is a node's request to the coordinator to
 * renew its grant; a reply answers it. A probe asks another node when it last
 * heard the coordinator. A takeover tells a node who the new coordinator is.
 *
 * Datagrams may be lost, reordered or duplicated. Sending reports no error; the
 * senders repeat.
 */

struct dgram_ask {
	struct own_ask own;
	uint64_t doc_rev; /* revision of the node's document */
	uint64_t map_rev; /* revision of the node's map */
};

struct dgram_reply {
	struct own_reply own;
	uint64_t doc_rev; /* revision of the coordinator's document */
	uint64_t map_rev; /* revision of the coordinator's map */
	/*
	 * Time since the store last confirmed doc_rev to the coordinator, at
	 * least 1; 0: unknown, as from a coordinator of an earlier version.
	 */
	uint32_t doc_age_ms;
};

/* Called on the event loop for each valid datagram, by its type. */
struct dgram_ops {
	void (*ask)(const struct dgram_ask *ask, const struct sockaddr_in *from,
		    void *priv);
	void (*reply)(const struct dgram_reply *reply, void *priv);
	/* term: the highest term that the sender has seen. */
	void (*probe)(uint64_t term, const struct sockaddr_in *from,
		      void *priv);
	/* heard_ms: time since the sender's last answered ask was sent. */
	void (*probe_reply)(uint64_t term, uint32_t heard_ms, void *priv);
	void (*takeover)(uint64_t term, const char *address, unsigned peer_port,
			 void *priv);
};

struct dgram {
	const struct dgram_ops *ops;
	void *priv;
	struct ev_loop *loop;
	char address[64];
	struct udp udp; /* on the peer port; sends replies and takeovers */
	/*
	 * Asks and probes are sent from a separate socket, which can be
	 * replaced: a device between two nodes may drop the datagrams of a
	 * flow permanently, and only another source port starts a new flow.
	 */
	struct udp ask_socket;
	uint64_t malformed; /* datagrams that were invalid */
};

/*
 * Binds both sockets to address; the first to port, the other to any free port.
 * Returns the error of the socket that could not be opened, explained in info.
 */
enum err dgram_init(struct dgram *d, struct ev_loop *loop, const char *address,
		    unsigned port, const struct dgram_ops *ops, void *priv,
		    struct err_info *info);
/* Closes the sockets; to be called also if dgram_init failed. */
void dgram_finish(struct dgram *d);
/*
 * Replaces the socket of asks and probes by one with another source port. If
 * that fails, asks and probes are not sent until a later call succeeds.
 */
void dgram_change_source_port(struct dgram *d);
struct dgram_counts {
	uint64_t bytes_in;
	uint64_t bytes_out;
	uint64_t messages_in;
	uint64_t messages_out;
};
/* Returns the traffic of both sockets since dgram_init. */
struct dgram_counts dgram_total_counts(const struct dgram *d);

/* Each of these sends one datagram; the meaning is given at dgram_ops. */
void dgram_send_ask(struct dgram *d, const struct sockaddr_in *to,
		    const struct dgram_ask *ask);
void dgram_send_reply(struct dgram *d, const struct sockaddr_in *to,
		      const struct dgram_reply *reply);
void dgram_send_takeover(struct dgram *d, const struct sockaddr_in *to,
			 uint64_t term, const char *address,
			 unsigned peer_port);
void dgram_send_probe(struct dgram *d, const struct sockaddr_in *to,
		      uint64_t term);
void dgram_send_probe_reply(struct dgram *d, const struct sockaddr_in *to,
			    uint64_t term, uint32_t heard_ms);

#endif
