#include "membership/membership_priv.h"
#include "common/clk.h"
#include "protocol/wire.h"

/*
 * Probes the control connection. Grants are renewed by datagrams, so a
 * connection that a device on the path has dropped without a word would
 * otherwise go unnoticed: the coordinator's pushes and this node's reports
 * would be lost until the next term. A new connection makes both ends send
 * again what the other one lacks (co_sync_member, on_join_reply).
 */

/* A Ping is sent in this period. */
#define CONTROL_PING_MS 1000
/*
 * The connection is closed if it delivers no byte for this long after a Ping:
 * about as long as unanswered asks take to close it.
 */
#define CONTROL_ANSWER_MS 1000

void membership_control_reset(struct membership *m, int64_t now_ms)
{
	m->ping_ms = 0;
	m->ping_at_ms = now_ms;
}

void membership_control_resume(struct membership *m, int64_t now_ms)
{
	if (m->ping_ms)
		m->ping_ms = now_ms;
}

void membership_control_tick(struct membership *m, int64_t now_ms)
{
	Wire__Ping ping = WIRE__PING__INIT;

	if (!m->conn || m->conn->connecting)
		return;
	/* Any received byte shows that the connection works. */
	if (m->ping_ms && m->conn->bytes_in > m->ping_bytes_in)
		m->ping_ms = 0;
	if (m->ping_ms) {
		if (now_ms - m->ping_ms < CONTROL_ANSWER_MS)
			return;
		membership_drop_conn(m, "silent");
		m->connect_failures++;
		return;
	}
	if (now_ms < m->ping_at_ms)
		return;
	ping.seq = ++m->ping_seq;
	membership_send(m, FRAME_PING, &ping.base);
	m->ping_ms = now_ms;
	m->ping_at_ms = now_ms + CONTROL_PING_MS;
	m->ping_bytes_in = m->conn->bytes_in;
}
