#ifndef MEMBERSHIP_DGRAM_H
#define MEMBERSHIP_DGRAM_H

#include "ownership/own.h"
#include "protocol/wire.pb-c.h"
#include "transport/udp.h"

/* Lease datagrams: typed messages over one UDP socket of the daemon. */

struct dgram_ask {
	struct own_ask own;
	uint64_t doc_rev;
	uint64_t map_rev;
};

struct dgram_reply {
	struct own_reply own;
	uint64_t doc_rev;
	uint64_t map_rev;
};

struct dgram_ops {
	void (*ask)(const struct dgram_ask *ask, const struct sockaddr_in *from,
		    void *priv);
	void (*reply)(const struct dgram_reply *reply, void *priv);
	void (*probe)(uint64_t term, const struct sockaddr_in *from,
		      void *priv);
	void (*probe_reply)(uint64_t term, uint32_t heard_ms, void *priv);
	void (*takeover)(uint64_t term, const char *address, unsigned peer_port,
			 void *priv);
};

struct dgram {
	const struct dgram_ops *ops;
	void *priv;
	struct ev_loop *loop;
	char address[64];
	struct udp udp; /* on the peer port */
	/*
	 * Asks and probes leave from a socket of their own, which can be
	 * replaced: something between two nodes may lose track of a flow for
	 * good, and only another source port makes a new one.
	 */
	struct udp ask_socket;
	uint64_t malformed;
};

enum err dgram_init(struct dgram *d, struct ev_loop *loop, const char *address,
		    unsigned port, const struct dgram_ops *ops, void *priv,
		    struct err_info *info);
void dgram_finish(struct dgram *d);
/* Asks and probes leave from another source port from now on. */
void dgram_change_source_port(struct dgram *d);
/* Counters of both sockets. */
struct dgram_counts {
	uint64_t bytes_in;
	uint64_t bytes_out;
	uint64_t messages_in;
	uint64_t messages_out;
};
struct dgram_counts dgram_total_counts(const struct dgram *d);
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
