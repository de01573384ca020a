#ifndef STANDINS_COMMON_RELAY_H
#define STANDINS_COMMON_RELAY_H

#include "transport/httpd.h"
#include "transport/tcp.h"
#include "transport/udp.h"

/*
 * Relay for failure tests: forwards TCP connections and UDP datagrams, and
 * simulates network failures on command. A forward listens on one loopback
 * port and sends to one loopback address, its target. "In" is the direction
 * to the target, "out" the direction back to the client that connected.
 *
 * Each direction has a mode:
 *
 *	pass	forwards everything
 *	silent	TCP: connections stay open, and data is held until the mode
 *		changes; new connections are accepted and held as well;
 *		UDP: datagrams are dropped
 *	drop	TCP: as silent, but data is dropped; a connection that lost
 *		data is reset when the mode changes, since no real network
 *		continues a stream with a gap; UDP: datagrams are dropped
 *	reset	TCP: connections are reset; UDP: datagrams are dropped
 *	delay	data is delivered "ms" milliseconds later, in order
 */

#define RELAY_MAX_FORWARDS 200

enum relay_mode {
	RELAY_PASS,
	RELAY_DROP,
	RELAY_RESET,
	RELAY_SILENT,
	RELAY_DELAY,
};

enum relay_direction { RELAY_IN, RELAY_OUT, RELAY_DIRECTIONS };

struct relay_setting {
	enum relay_mode mode;
	unsigned delay_ms; /* of RELAY_DELAY */
};

struct relay_counts {
	uint64_t connections;		  /* TCP connections, UDP flows */
	uint64_t open;			  /* of them, open now */
	uint64_t bytes[RELAY_DIRECTIONS]; /* delivered */
	uint64_t lost[RELAY_DIRECTIONS];  /* bytes that were dropped */
	uint64_t cuts;			  /* connections closed by a cut */
	uint64_t resets;		  /* connections that were reset */
};

struct relay_conn; /* TCP */
struct relay_flow; /* UDP: the datagrams of one client address */

/* A listening port and the address that it forwards to. */
struct relay_forward {
	struct ev_loop *loop;
	unsigned port;
	int is_udp;
	struct sockaddr_in target;
	struct relay_setting setting[RELAY_DIRECTIONS]; /* of new connections */
	int64_t bytes_until_cut[RELAY_DIRECTIONS];	/* -1: no cut */
	struct relay_counts counts;
	struct tcp_listener listener;
	struct relay_conn *conns;
	struct udp udp;
	struct relay_flow *flows;
	ev_timer sweep;
};

/*
 * The TCP and the UDP part of a forward. init starts to listen on f->port, or
 * on any free port if that is 0, and stores the port in f->port; it returns an
 * error, with info filled, if the port cannot be used. finish closes the port
 * and all connections. set_mode changes one direction of what is open now.
 */
enum err relay_tcp_init(struct relay_forward *f, struct err_info *info);
void relay_tcp_finish(struct relay_forward *f);
void relay_tcp_set_mode(struct relay_forward *f, enum relay_direction dir,
			const struct relay_setting *setting);

enum err relay_udp_init(struct relay_forward *f, struct err_info *info);
void relay_udp_finish(struct relay_forward *f);
void relay_udp_set_mode(struct relay_forward *f, enum relay_direction dir,
			const struct relay_setting *setting);

struct relay {
	struct ev_loop *loop;
	struct httpd httpd; /* of the control commands */
	struct relay_forward forwards[RELAY_MAX_FORWARDS];
	size_t forward_count;
};

/*
 * Starts the relay with its HTTP control server on 127.0.0.1, port control (0:
 * any free port). Returns an error, with info filled, if the port cannot be
 * used. "listen" is the listening port of a forward, both TCP and UDP, or
 * "all":
 *
 *	POST /set?listen=PORT&mode=MODE[&ms=N][&direction=both|in|out]
 *		[&scope=all|existing|new]
 *	POST /cut?listen=PORT&after_bytes=N[&direction=in|out]
 *		TCP only: forwards the next N bytes in this direction (default
 *		out), then closes the connection that carried the last of
 *		them. With N = 0, closes it before the next byte.
 *	GET /counts
 *		Returns struct relay_counts of each forward as JSON.
 */
enum err relay_init(struct relay *r, struct ev_loop *loop, unsigned control,
		    struct err_info *info);
/*
 * Adds a forward and starts to listen. spec is LISTENPORT:ADDRESS:PORT[:udp];
 * LISTENPORT 0 is any free port. Returns an error, with info filled, if spec
 * is malformed, the port cannot be used, or there are RELAY_MAX_FORWARDS.
 */
enum err relay_add(struct relay *r, const char *spec, struct err_info *info);
/* Closes all ports and connections. */
void relay_finish(struct relay *r);

/* Returns the local port of a socket. */
unsigned relay_bound_port(int fd);

/* Connections and flows that a change of mode applies to. */
enum relay_scope { RELAY_ALL, RELAY_EXISTING, RELAY_NEW };

/* Changes the mode of one direction; does what POST /set does. */
void relay_set(struct relay_forward *f, enum relay_direction dir,
	       const struct relay_setting *setting, enum relay_scope scope);

#endif
