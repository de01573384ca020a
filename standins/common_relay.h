#ifndef STANDINS_COMMON_RELAY_H
#define STANDINS_COMMON_RELAY_H

#include "transport/httpd.h"
#include "transport/tcp.h"
#include "transport/udp.h"

/*
 * Relay for failure tests: forwards TCP connections and datagrams, and fails
 * on command. "In" is the direction to the forward's target, "out" is back to
 * who connected.
 *
 * Modes, by direction:
 *
 *	pass	nothing fails
 *	silent	TCP: connections stay open, what is sent waits until the mode
 *		changes, new connections are accepted and wait too;
 *		UDP: datagrams are lost
 *	drop	TCP: as silent, but what is sent is lost, and a connection
 *		that lost bytes is reset when the mode changes, since no real
 *		network continues such a stream; UDP: datagrams are lost
 *	reset	TCP: connections are reset; UDP: datagrams are lost
 *	delay	what is sent arrives ms later, in order
 *
 * Both ends of a forward are loopback addresses.
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
	unsigned delay_ms; /* RELAY_DELAY */
};

struct relay_counts {
	uint64_t connections;		  /* TCP connections, UDP flows */
	uint64_t open;			  /* now */
	uint64_t bytes[RELAY_DIRECTIONS]; /* delivered */
	uint64_t lost[RELAY_DIRECTIONS];  /* bytes that were thrown away */
	uint64_t cuts;
	uint64_t resets;
};

struct relay_conn; /* TCP */
struct relay_flow; /* UDP: the datagrams of one sender */

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

enum err relay_tcp_init(struct relay_forward *f, struct err_info *info);
void relay_tcp_finish(struct relay_forward *f);
/* For the connections that are open now. */
void relay_tcp_set_mode(struct relay_forward *f, enum relay_direction dir,
			const struct relay_setting *setting);

enum err relay_udp_init(struct relay_forward *f, struct err_info *info);
void relay_udp_finish(struct relay_forward *f);
void relay_udp_set_mode(struct relay_forward *f, enum relay_direction dir,
			const struct relay_setting *setting);

struct relay {
	struct ev_loop *loop;
	struct httpd httpd;
	struct relay_forward forwards[RELAY_MAX_FORWARDS];
	size_t forward_count;
};

/*
 * Control over HTTP on 127.0.0.1; listen is a port or "all", and means the
 * TCP and the UDP forward of that port:
 *
 *	POST /set?listen=PORT&mode=MODE[&ms=N][&direction=both|in|out]
 *		[&scope=all|existing|new]
 *	POST /cut?listen=PORT&after_bytes=N[&direction=in|out]
 *		The next N bytes of the forward in this direction (out) pass,
 *		then the connection that carried the last is closed. N = 0:
 *		before the next byte.
 *	GET /counts
 */
enum err relay_init(struct relay *r, struct ev_loop *loop, unsigned control,
		    struct err_info *info);
/* spec is LISTENPORT:ADDRESS:PORT[:udp]; LISTENPORT 0 is any free port. */
enum err relay_add(struct relay *r, const char *spec, struct err_info *info);
void relay_finish(struct relay *r);

unsigned relay_bound_port(int fd);

enum relay_scope { RELAY_ALL, RELAY_EXISTING, RELAY_NEW };

void relay_set(struct relay_forward *f, enum relay_direction dir,
	       const struct relay_setting *setting, enum relay_scope scope);

#endif
