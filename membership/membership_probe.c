#include "membership/membership_priv.h"
#include "common/clk.h"
#include "transport/addr.h"

#include <glib.h>
#include <string.h>

/*
 * A node whose asks are not answered probes other nodes before it tries to
 * replace the coordinator, so that one failed network path does not depose a
 * coordinator that all others can reach. Probes start with the second missed
 * answer, so that their replies have arrived when an election is due.
 */

#define PROBE_AFTER_ASKS 2
#define PROBE_PERIOD_MS 110
#define PROBE_NODES 3
/* Allowance for the time from sending an ask to its arrival. */
#define PROBE_SLACK_MS 50
/* No election for this long after another node reported to hear it. */
#define PROBE_VALID_MS 1500
/*
 * If no probe is answered, this node is either cut off or the only one left; it
 * may start an election after this long.
 */
#define PROBE_ALONE_MS 10000

static int is_candidate(const struct membership *m, const struct map_node *n)
{
	if (n->id == m->own.node_id)
		return 0;
	return strcmp(n->info->address, m->coordinator.address) != 0 ||
	       n->info->peer_port != m->coordinator.peer_port;
}

static unsigned count_candidates(const struct membership *m)
{
	struct map_node *n, *next;
	unsigned count = 0;

	HASH_ITER(hh, m->map.nodes, n, next)
		count += (unsigned)is_candidate(m, n);
	return count;
}

static void send_probe(struct membership *m, const struct map_node *n)
{
	struct sockaddr_in to;

	if (addr_parse(&to, n->info->address, n->info->peer_port) != ERR_OK)
		return;
	dgram_send_probe(m->config.dgram, &to, m->own.term);
	m->probes++;
}

/*
 * Probes PROBE_NODES nodes that follow each other in the table. The first is
 * random, so that in time every node is probed.
 */
static void send_probes(struct membership *m)
{
	unsigned count = count_candidates(m);
	struct map_node *n, *next;
	unsigned first, i = 0;

	if (!count)
		return;
	first = (unsigned)g_random_int_range(0, (gint32)count);
	HASH_ITER(hh, m->map.nodes, n, next) {
		if (!is_candidate(m, n))
			continue;
		if ((i + count - first) % count < PROBE_NODES)
			send_probe(m, n);
		i++;
	}
}

void membership_probe_tick(struct membership *m, int64_t now_ms)
{
	if (m->own.unanswered < PROBE_AFTER_ASKS) {
		m->probes = 0;
		m->probe_replies = 0;
		return;
	}
	if (now_ms < m->probe_at_ms)
		return;
	m->probe_at_ms = now_ms + PROBE_PERIOD_MS;
	send_probes(m);
}

int membership_probe_allows_election(const struct membership *m, int64_t now_ms)
{
	if (now_ms - m->others_heard_ms < PROBE_VALID_MS)
		return 0;
	if (!m->probes || m->probe_replies)
		return 1;
	return now_ms - m->silent_since_ms > PROBE_ALONE_MS;
}

void membership_on_probe(struct membership *m, uint64_t term,
			 const struct sockaddr_in *from)
{
	int64_t now_ms = clk_ms();
	int64_t heard_ms = now_ms - m->own.confirmed_ms;

	if (term > m->own.term || !m->own.node_id)
		return;
	if (heard_ms > UINT32_MAX)
		heard_ms = UINT32_MAX;
	dgram_send_probe_reply(m->config.dgram, from, m->own.term,
			       (uint32_t)heard_ms);
	/* Asks the coordinator now, so that the next reply is up to date. */
	if (m->own.next_ask_ms > now_ms + OWN_RETRY_MS)
		m->own.next_ask_ms = now_ms;
}

void membership_on_probe_reply(struct membership *m, uint64_t term,
			       uint32_t heard_ms)
{
	int64_t now_ms = clk_ms();

	m->probe_replies++;
	if (term < m->own.term)
		return;
	if (now_ms - heard_ms > m->unanswered_from_ms + PROBE_SLACK_MS)
		m->others_heard_ms = now_ms;
}
