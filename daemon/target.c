#include "daemon/node.h"
#include "common/clk.h"
#include "common/log.h"
#include "protocol/wire.h"

#include <stdlib.h>
#include <string.h>

/* What the target beside this daemon says about itself. */

static int same_target(const Wire__Target *a, const Wire__Target *b)
{
	return strcmp(a->service, b->service) == 0 &&
	       strcmp(a->address, b->address) == 0 && a->port == b->port &&
	       a->concurrency == b->concurrency &&
	       a->connections == b->connections && a->checks == b->checks &&
	       strcmp(a->id, b->id) == 0 && a->born_ms == b->born_ms &&
	       a->holds == b->holds;
}

/* The strings are borrowed. */
static void fill_target(Wire__Target *t, struct announcement *a)
{
	wire__target__init(t);
	t->service = a->service;
	t->address = a->address;
	t->port = a->port;
	t->concurrency = a->concurrency;
	t->connections = a->connections;
	t->checks = a->checks;
	t->id = a->id;
	t->holds = a->takes_holds;
	t->cold_ms = a->cold_ms;
	t->born_ms = a->born_ms;
}

/*
 * 1 if the announcement is older than what is known already: of an earlier
 * run of the target, of one that has left, or overtaken on its way.
 */
static int is_old(const struct node *n, const struct announcement *a)
{
	if (!a->id[0])
		return 0;
	if (a->born_ms != n->target_born_ms)
		return a->born_ms < n->target_born_ms;
	return a->sequence <= n->target_sequence;
}

static void take_target(struct node *n, struct announcement *a)
{
	Wire__Target t;

	fill_target(&t, a);
	if (n->target && !n->target_leaving && same_target(n->target, &t))
		return;
	if (n->target)
		wire__target__free_unpacked(n->target, NULL);
	n->target = wire_copy_target(&t);
	n->target_leaving = 0;
	log_info("target_announced",
		 "service=%s address=%s port=%u id=%s cold_ms=%u",
		 LOG_Q(t.service), t.address, t.port, LOG_Q(t.id), t.cold_ms);
	gate_set_target(n->gate, n->target);
	membership_set_target(n->membership, n->target);
}

/* A new run of the target: the one before it has ended and holds nothing. */
static void note_run(struct node *n, const struct announcement *a)
{
	if (a->id[0] && a->born_ms != n->target_born_ms) {
		if (n->target_born_ms) {
			log_info("target_restarted", "id=%s born_ms=%lld",
				 LOG_Q(a->id), (long long)a->born_ms);
			hold_clear(&n->hold);
			node_target_gone(n, "restarted");
		}
		n->target_left = 0;
	}
	n->target_born_ms = a->born_ms;
	n->target_sequence = a->sequence;
}

enum err node_announce(struct node *n, struct announcement *a,
		       struct announce_answer *answer)
{
	memset(answer, 0, sizeof(*answer));
	if (is_old(n, a)) {
		log_info("announcement_old",
			 "id=%s born_ms=%lld sequence=%llu known=%llu",
			 LOG_Q(a->id), (long long)a->born_ms,
			 (unsigned long long)a->sequence,
			 (unsigned long long)n->target_sequence);
		return ERR_STALE;
	}
	note_run(n, a);
	n->announced_ms = clk_ms();
	if (a->leaving || n->target_left)
		node_target_leaving(n);
	else
		take_target(n, a);
	if (a->takes_holds)
		node_hold_answer(n, a, answer);
	return ERR_OK;
}

/* It gets nothing new; what it runs ends before the gate lets go of it. */
void node_target_leaving(struct node *n)
{
	if (!n->target || n->target_leaving)
		return;
	log_info("target_leaving", "service=%s id=%s",
		 LOG_Q(n->target->service), LOG_Q(n->target->id));
	n->target_leaving = 1;
	n->leaving_ms = clk_ms();
	gate_target_leaving(n->gate);
	membership_set_target(n->membership, NULL);
}

void node_target_left(struct node *n, const char *id)
{
	if (id[0] && n->target && strcmp(n->target->id, id) != 0) {
		log_info("departure_old", "id=%s known=%s", LOG_Q(id),
			 LOG_Q(n->target->id));
		return;
	}
	n->target_left = 1;
	node_target_leaving(n);
}

void node_target_gone(struct node *n, const char *why)
{
	if (!n->target)
		return;
	log_warn("target_gone", "service=%s id=%s why=%s",
		 LOG_Q(n->target->service), LOG_Q(n->target->id), LOG_Q(why));
	wire__target__free_unpacked(n->target, NULL);
	n->target = NULL;
	gate_set_target(n->gate, NULL);
	if (!n->target_leaving)
		membership_set_target(n->membership, NULL);
	n->target_leaving = 0;
}

/* Announcements may be late or lost for so long before the target is gone. */
static int64_t silence_ms(const struct node *n)
{
	return (int64_t)n->set->announce_ms * 5 / 2;
}

int node_target_announces(const struct node *n, int64_t now_ms)
{
	return now_ms - n->announced_ms <= silence_ms(n);
}

void node_target_tick(struct node *n, int64_t now_ms)
{
	/* Announcements wait in the socket while this process is paused. */
	if (now_ms - n->tick_ms > NODE_PAUSE_MS)
		n->announced_ms = now_ms;
	n->tick_ms = now_ms;
	node_hold_tick(n, now_ms);
	/* Its place was kept for a restarted daemon; it does not come back. */
	if (!n->target && !n->silence_told &&
	    membership_node_id(n->membership) &&
	    !node_target_announces(n, now_ms)) {
		n->silence_told = 1;
		membership_set_target(n->membership, NULL);
	}
	if (!n->target)
		return;
	if (node_target_announces(n, now_ms))
		return;
	if (!n->target_leaving)
		node_target_gone(n, "announcements_stopped");
	else if (!gate_in_flight(n->gate))
		node_target_gone(n, "left");
}
