#include "membership/dgram.h"

#include <stdio.h>
#include <string.h>

static void deliver_ask(struct dgram *d, const Wire__LeaseAsk *w,
			const struct sockaddr_in *from)
{
	struct dgram_ask a = {
		.own = {
			.node_id = w->node_id,
			.incarnation = w->incarnation,
			.term = w->term,
			.seq = w->seq,
			.ack_seq = w->ack_seq,
			.hold_term = w->hold_term,
			.hold_seq = w->hold_seq,
		},
		.doc_rev = w->doc_rev,
		.map_rev = w->map_rev,
	};

	d->ops->ask(&a, from, d->priv);
}

static void deliver_reply(struct dgram *d, const Wire__LeaseReply *w)
{
	struct dgram_reply r = {
		.own = {
			.term = w->term,
			.incarnation = w->incarnation,
			.seq = w->seq,
			.grant_ms = w->grant_ms,
			.floor_rev = w->floor_rev,
			.hold = (enum own_hold)w->hold,
			.hold_seq = w->hold_seq,
			.hold_ms = w->hold_ms,
			.standby_rank = w->standby_rank,
		},
		.doc_rev = w->doc_rev,
		.map_rev = w->map_rev,
		.doc_age_ms = w->doc_age_ms,
	};

	if (w->hold > OWN_HOLD_KEEP || w->grant_ms > OWN_GRANT_MAX_MS) {
		d->malformed++;
		return;
	}
	d->ops->reply(&r, d->priv);
}

static void on_datagram(const uint8_t *data, size_t len,
			const struct sockaddr_in *from, void *priv)
{
	struct dgram *d = priv;
	Wire__Datagram *w = wire__datagram__unpack(NULL, len, data);

	if (!w) {
		d->malformed++;
		return;
	}
	if (w->ask)
		deliver_ask(d, w->ask, from);
	else if (w->reply)
		deliver_reply(d, w->reply);
	else if (w->probe)
		d->ops->probe(w->probe->term, from, d->priv);
	else if (w->probe_reply)
		d->ops->probe_reply(w->probe_reply->term,
				    w->probe_reply->heard_ms, d->priv);
	else if (w->takeover)
		d->ops->takeover(w->takeover->term, w->takeover->address,
				 w->takeover->peer_port, d->priv);
	else
		d->malformed++;
	wire__datagram__free_unpacked(w, NULL);
}

enum err dgram_init(struct dgram *d, struct ev_loop *loop, const char *address,
		    unsigned port, const struct dgram_ops *ops, void *priv,
		    struct err_info *info)
{
	enum err e;

	memset(d, 0, sizeof(*d));
	d->ops = ops;
	d->priv = priv;
	d->loop = loop;
	d->ask_socket.fd = -1;
	snprintf(d->address, sizeof(d->address), "%s", address);
	e = udp_init(&d->udp, loop, address, port, on_datagram, d, info);
	if (e != ERR_OK)
		return e;
	return udp_init(&d->ask_socket, loop, address, 0, on_datagram, d, info);
}

void dgram_finish(struct dgram *d)
{
	udp_finish(&d->udp);
	udp_finish(&d->ask_socket);
}

void dgram_change_source_port(struct dgram *d)
{
	struct udp old = d->ask_socket;

	udp_finish(&d->ask_socket);
	if (udp_init(&d->ask_socket, d->loop, d->address, 0, on_datagram, d,
		     NULL) != ERR_OK)
		d->ask_socket.fd = -1;
	d->ask_socket.bytes_in = old.bytes_in;
	d->ask_socket.bytes_out = old.bytes_out;
	d->ask_socket.messages_in = old.messages_in;
	d->ask_socket.messages_out = old.messages_out;
}

struct dgram_counts dgram_total_counts(const struct dgram *d)
{
	struct dgram_counts c = {
		.bytes_in = d->udp.bytes_in + d->ask_socket.bytes_in,
		.bytes_out = d->udp.bytes_out + d->ask_socket.bytes_out,
		.messages_in = d->udp.messages_in + d->ask_socket.messages_in,
		.messages_out =
			d->udp.messages_out + d->ask_socket.messages_out,
	};

	return c;
}

static void send_datagram(struct udp *u, const struct sockaddr_in *to,
			  const Wire__Datagram *w)
{
	uint8_t data[UDP_MAX_BYTES];

	if (u->fd < 0 || wire__datagram__get_packed_size(w) > sizeof(data))
		return;
	udp_send(u, to, data, wire__datagram__pack(w, data));
}

void dgram_send_ask(struct dgram *d, const struct sockaddr_in *to,
		    const struct dgram_ask *ask)
{
	Wire__Datagram w = WIRE__DATAGRAM__INIT;
	Wire__LeaseAsk a = WIRE__LEASE_ASK__INIT;

	a.node_id = ask->own.node_id;
	a.incarnation = ask->own.incarnation;
	a.term = ask->own.term;
	a.seq = ask->own.seq;
	a.ack_seq = ask->own.ack_seq;
	a.hold_term = ask->own.hold_term;
	a.hold_seq = ask->own.hold_seq;
	a.doc_rev = ask->doc_rev;
	a.map_rev = ask->map_rev;
	w.ask = &a;
	send_datagram(&d->ask_socket, to, &w);
}

void dgram_send_reply(struct dgram *d, const struct sockaddr_in *to,
		      const struct dgram_reply *reply)
{
	Wire__Datagram w = WIRE__DATAGRAM__INIT;
	Wire__LeaseReply r = WIRE__LEASE_REPLY__INIT;

	r.term = reply->own.term;
	r.incarnation = reply->own.incarnation;
	r.seq = reply->own.seq;
	r.grant_ms = reply->own.grant_ms;
	r.floor_rev = reply->own.floor_rev;
	r.hold = reply->own.hold;
	r.hold_seq = reply->own.hold_seq;
	r.hold_ms = reply->own.hold_ms;
	r.standby_rank = reply->own.standby_rank;
	r.doc_rev = reply->doc_rev;
	r.map_rev = reply->map_rev;
	r.doc_age_ms = reply->doc_age_ms;
	w.reply = &r;
	send_datagram(&d->udp, to, &w);
}

void dgram_send_takeover(struct dgram *d, const struct sockaddr_in *to,
			 uint64_t term, const char *address, unsigned peer_port)
{
	Wire__Datagram w = WIRE__DATAGRAM__INIT;
	Wire__Takeover t = WIRE__TAKEOVER__INIT;

	t.term = term;
	t.address = (char *)(uintptr_t)address;
	t.peer_port = peer_port;
	w.takeover = &t;
	send_datagram(&d->udp, to, &w);
}

void dgram_send_probe(struct dgram *d, const struct sockaddr_in *to,
		      uint64_t term)
{
	Wire__Datagram w = WIRE__DATAGRAM__INIT;
	Wire__Probe p = WIRE__PROBE__INIT;

	p.term = term;
	w.probe = &p;
	send_datagram(&d->ask_socket, to, &w);
}

void dgram_send_probe_reply(struct dgram *d, const struct sockaddr_in *to,
			    uint64_t term, uint32_t heard_ms)
{
	Wire__Datagram w = WIRE__DATAGRAM__INIT;
	Wire__ProbeReply p = WIRE__PROBE_REPLY__INIT;

	p.term = term;
	p.heard_ms = heard_ms;
	w.probe_reply = &p;
	send_datagram(&d->udp, to, &w);
}
