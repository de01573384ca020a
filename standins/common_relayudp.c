#include "common/clk.h"
#include "standins/common_relay.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* A flow without datagrams for this long is removed. */
#define FLOW_IDLE_MS 60000
#define FLOW_SWEEP_INTERVAL_SECONDS 10.

/* A datagram that is delivered later. */
struct datagram {
	struct relay_flow *flow;
	enum relay_direction dir;
	ev_timer due_timer;
	struct datagram *prev;
	struct datagram *next;
	size_t len;
	uint8_t data[];
};

struct relay_flow {
	struct relay_forward *f;
	struct sockaddr_in client;
	struct udp udp; /* towards the target */
	struct relay_setting setting[RELAY_DIRECTIONS];
	int64_t last_used_ms;
	struct datagram *delayed;
	struct relay_flow *prev;
	struct relay_flow *next;
};

static void datagram_free(struct datagram *d)
{
	ev_timer_stop(d->flow->f->loop, &d->due_timer);
	DL_DELETE(d->flow->delayed, d);
	free(d);
}

static void flow_free(struct relay_flow *flow)
{
	while (flow->delayed)
		datagram_free(flow->delayed);
	udp_finish(&flow->udp);
	DL_DELETE(flow->f->flows, flow);
	flow->f->counts.open--;
	free(flow);
}

static void deliver(struct relay_flow *flow, enum relay_direction dir,
		    const uint8_t *data, size_t len)
{
	struct relay_forward *f = flow->f;

	if (dir == RELAY_IN)
		udp_send(&flow->udp, &f->target, data, len);
	else
		udp_send(&f->udp, &flow->client, data, len);
	f->counts.bytes[dir] += len;
}

static void on_delay_over(struct ev_loop *loop, ev_timer *t, int events)
{
	struct datagram *d = t->data;

	(void)loop;
	(void)events;
	deliver(d->flow, d->dir, d->data, d->len);
	datagram_free(d);
}

static void deliver_later(struct relay_flow *flow, enum relay_direction dir,
			  const uint8_t *data, size_t len)
{
	struct datagram *d = calloc(1, sizeof(*d) + len);

	d->flow = flow;
	d->dir = dir;
	d->len = len;
	memcpy(d->data, data, len);
	ev_timer_init(&d->due_timer, on_delay_over,
		      flow->setting[dir].delay_ms / 1000., 0.);
	d->due_timer.data = d;
	DL_APPEND(flow->delayed, d);
	ev_timer_start(flow->f->loop, &d->due_timer);
}

static void forward_datagram(struct relay_flow *flow, enum relay_direction dir,
			     const uint8_t *data, size_t len)
{
	flow->last_used_ms = clk_ms();
	switch (flow->setting[dir].mode) {
	case RELAY_PASS:
		deliver(flow, dir, data, len);
		break;
	case RELAY_DELAY:
		deliver_later(flow, dir, data, len);
		break;
	default:
		flow->f->counts.lost[dir] += len;
		break;
	}
}

static int same_address(const struct sockaddr_in *a,
			const struct sockaddr_in *b)
{
	return a->sin_port == b->sin_port &&
	       a->sin_addr.s_addr == b->sin_addr.s_addr;
}

static void on_target_datagram(const uint8_t *data, size_t len,
			       const struct sockaddr_in *from, void *priv)
{
	struct relay_flow *flow = priv;

	if (same_address(from, &flow->f->target))
		forward_datagram(flow, RELAY_OUT, data, len);
}

static struct relay_flow *flow_new(struct relay_forward *f,
				   const struct sockaddr_in *client)
{
	struct relay_flow *flow = calloc(1, sizeof(*flow));

	flow->f = f;
	flow->client = *client;
	memcpy(flow->setting, f->setting, sizeof(flow->setting));
	if (udp_init(&flow->udp, f->loop, "127.0.0.1", 0, on_target_datagram,
		     flow, NULL) != ERR_OK) {
		free(flow);
		return NULL;
	}
	DL_APPEND(f->flows, flow);
	f->counts.connections++;
	f->counts.open++;
	return flow;
}

static void on_client_datagram(const uint8_t *data, size_t len,
			       const struct sockaddr_in *from, void *priv)
{
	struct relay_forward *f = priv;
	struct relay_flow *flow;

	DL_FOREACH(f->flows, flow) {
		if (same_address(&flow->client, from))
			break;
	}
	if (!flow)
		flow = flow_new(f, from);
	if (flow)
		forward_datagram(flow, RELAY_IN, data, len);
	else
		f->counts.lost[RELAY_IN] += len;
}

static void on_sweep(struct ev_loop *loop, ev_timer *t, int events)
{
	struct relay_forward *f = t->data;
	int64_t limit = clk_ms() - FLOW_IDLE_MS;
	struct relay_flow *flow;
	struct relay_flow *tmp;

	(void)loop;
	(void)events;
	DL_FOREACH_SAFE(f->flows, flow, tmp) {
		if (flow->last_used_ms < limit && !flow->delayed)
			flow_free(flow);
	}
}

void relay_udp_set_mode(struct relay_forward *f, enum relay_direction dir,
			const struct relay_setting *setting)
{
	struct relay_flow *flow;

	DL_FOREACH(f->flows, flow) {
		flow->setting[dir] = *setting;
	}
}

enum err relay_udp_init(struct relay_forward *f, struct err_info *info)
{
	enum err e = udp_init(&f->udp, f->loop, "127.0.0.1", f->port,
			      on_client_datagram, f, info);

	if (e != ERR_OK)
		return e;
	f->port = relay_bound_port(f->udp.fd);
	ev_timer_init(&f->sweep, on_sweep, FLOW_SWEEP_INTERVAL_SECONDS,
		      FLOW_SWEEP_INTERVAL_SECONDS);
	f->sweep.data = f;
	ev_timer_start(f->loop, &f->sweep);
	return ERR_OK;
}

void relay_udp_finish(struct relay_forward *f)
{
	ev_timer_stop(f->loop, &f->sweep);
	while (f->flows)
		flow_free(f->flows);
	udp_finish(&f->udp);
}
