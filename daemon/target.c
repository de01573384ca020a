#include "daemon/node.h"
#include "common/clk.h"
#include "common/log.h"
#include "protocol/wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * A shorter time that a target stays cold is over before the other nodes know
 * of it.
 */
#define NODE_COLD_MIN_MS 1000

static int targets_are_equal(const Wire__Target *a, const Wire__Target *b)
{
	return strcmp(a->service, b->service) == 0 &&
	       strcmp(a->address, b->address) == 0 && a->port == b->port &&
	       a->concurrency == b->concurrency &&
	       a->connections == b->connections && a->checks == b->checks &&
	       strcmp(a->id, b->id) == 0 && a->born_ms == b->born_ms &&
	       a->holds == b->holds;
}

/* The strings of t point into the announcement. */
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
 * Returns 1 if a newer announcement has been applied already: of a later run of
 * the target, or of this run if announcements overtook each other.
 */
static int announcement_is_old(const struct node *n,
			       const struct announcement *a)
{
	if (!a->id[0])
		return 0;
	if (a->born_ms != n->target_born_ms)
		return a->born_ms < n->target_born_ms;
	return a->sequence <= n->target_sequence;
}

/* Returns 1 if the document limits the requests to the target while cold. */
static int cold_is_limited(const struct node *n, const Wire__Target *t)
{
	struct view *v = membership_view(n->membership);
	const struct doc *d = v->ops->doc(v);
	const struct doc_service *s =
		d ? doc_find_service(d, t->service) : NULL;

	return s && s->cold_per_s > 0;
}

static void pass_target(struct node *n, const Wire__Target *t)
{
	n->cold_passed_until_ms = clk_ms() + t->cold_ms;
	membership_set_target(n->membership, n->target);
}

/*
 * The gate learns from each announcement for how long the target stays cold,
 * the other nodes only if they take it for warm: each time is a write to the
 * store.
 */
static void note_cold(struct node *n, const Wire__Target *t)
{
	gate_set_cold(n->gate, t->cold_ms);
	n->target->cold_ms = t->cold_ms;
	if (t->cold_ms < NODE_COLD_MIN_MS ||
	    clk_ms() < n->cold_passed_until_ms || !cold_is_limited(n, t))
		return;
	log_info("target_cold_again", "id=%s cold_ms=%u", LOG_Q(t->id),
		 t->cold_ms);
	pass_target(n, t);
}

/* Passes a target that is new or has changed to the gate and the member. */
static void apply_target(struct node *n, struct announcement *a)
{
	Wire__Target t;

	fill_target(&t, a);
	if (n->target && !n->target_leaving &&
	    targets_are_equal(n->target, &t)) {
		note_cold(n, &t);
		return;
	}
	if (n->target)
		wire__target__free_unpacked(n->target, NULL);
	n->target = wire_copy_target(&t);
	n->target_leaving = 0;
	log_info("target_announced",
		 "service=%s address=%s port=%u id=%s cold_ms=%u",
		 LOG_Q(t.service), t.address, t.port, LOG_Q(t.id), t.cold_ms);
	gate_set_target(n->gate, n->target);
	pass_target(n, n->target);
}

/*
 * Notes the announcement's run and sequence. A new run means that the one
 * before it has ended and holds no keys.
 */
static void apply_target_run(struct node *n, const struct announcement *a)
{
	if (a->id[0] && a->born_ms != n->target_born_ms) {
		if (n->target_born_ms) {
			log_info("target_restarted", "id=%s born_ms=%lld",
				 LOG_Q(a->id), (long long)a->born_ms);
			hold_clear(&n->hold);
			node_remove_target(n, "restarted");
		}
		n->leaving_by_answer = 0;
	}
	if (a->id[0])
		n->target_left = departure_includes(&n->departures.state, a->id,
						    a->born_ms);
	n->target_born_ms = a->born_ms;
	n->target_sequence = a->sequence;
}

enum err node_handle_announcement(struct node *n, struct announcement *a,
				  struct announce_answer *answer)
{
	memset(answer, 0, sizeof(*answer));
	if (announcement_is_old(n, a)) {
		log_info("announcement_old",
			 "id=%s born_ms=%lld sequence=%llu known=%llu",
			 LOG_Q(a->id), (long long)a->born_ms,
			 (unsigned long long)a->sequence,
			 (unsigned long long)n->target_sequence);
		return ERR_STALE;
	}
	n->announced_ms = clk_ms();
	apply_target_run(n, a);
	if (!a->id[0] && n->announced_ms - n->left_ms >= NODE_LEAVE_SETTLE_MS)
		n->target_left = 0;
	if (a->leaving)
		n->leaving_by_answer = 0;
	if (a->leaving || n->target_left || n->leaving_by_answer)
		node_start_target_leave(n);
	else
		apply_target(n, a);
	if (a->takes_holds)
		node_fill_hold_answer(n, a, answer);
	return ERR_OK;
}

void node_start_target_leave(struct node *n)
{
	if (!n->target || n->target_leaving)
		return;
	log_info("target_leaving", "service=%s id=%s",
		 LOG_Q(n->target->service), LOG_Q(n->target->id));
	n->target_leaving = 1;
	gate_set_target_leaving(n->gate);
	membership_set_target(n->membership, NULL);
}

void node_note_leaving_answer(struct node *n, int leaving)
{
	n->leaving_by_answer = leaving;
	if (leaving)
		node_start_target_leave(n);
}

/* Returns 1 if the leave call is of another run than the current target. */
static int is_call_of_other_run(const struct node *n, const char *id,
				int64_t born_ms)
{
	if (!id[0] || !n->target)
		return 0;
	return strcmp(n->target->id, id) != 0 ||
	       (born_ms && n->target_born_ms && born_ms != n->target_born_ms);
}

void node_handle_target_leave(struct node *n, const char *id, int64_t born_ms)
{
	int other = is_call_of_other_run(n, id, born_ms);

	if (!other && !born_ms && n->target)
		born_ms = n->target_born_ms;
	/* A call of a later run than the current one has no announcement. */
	if (id[0] && (!other || (born_ms && born_ms < n->target_born_ms)))
		departure_note(&n->departures.state, id, born_ms);
	log_info("target_left",
		 "id=%s born_ms=%lld known=%s known_born_ms=%lld", LOG_Q(id),
		 (long long)born_ms, n->target ? LOG_Q(n->target->id) : "none",
		 (long long)n->target_born_ms);
	if (other)
		return;
	n->target_left = 1;
	n->left_ms = clk_ms();
	node_start_target_leave(n);
}

void node_remove_target(struct node *n, const char *why)
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
	/* A target without an id cannot be told from its next run. */
	if (!n->target_born_ms)
		n->leaving_by_answer = 0;
}

/*
 * Returns the time without announcements after which the target is gone. One
 * announcement may be lost and the next one late.
 */
static int64_t announcement_timeout_ms(const struct node *n)
{
	return (int64_t)n->settings->announce_ms * 5 / 2;
}

int node_target_is_announcing(const struct node *n, int64_t now_ms)
{
	return now_ms - n->announced_ms <= announcement_timeout_ms(n);
}

/*
 * Returns 1 if there is no target that may be used. One that has left may go on
 * announcing itself.
 */
static int is_without_target(const struct node *n, int64_t now_ms)
{
	return !n->target &&
	       (n->target_left || !node_target_is_announcing(n, now_ms));
}

void node_target_tick(struct node *n, int64_t now_ms)
{
	/* After a pause, announcements are still unread in the socket. */
	if (now_ms - n->last_tick_ms > NODE_PAUSE_MS)
		n->announced_ms = now_ms;
	n->last_tick_ms = now_ms;
	node_report_hold_releases(n, now_ms);
	/*
	 * After a restart of this daemon, the coordinator keeps the node's
	 * slots and waits for the target. Tell it if the target does not come.
	 */
	if (!n->target_missing_reported && membership_node_id(n->membership) &&
	    is_without_target(n, now_ms)) {
		n->target_missing_reported = 1;
		membership_set_target(n->membership, NULL);
	}
	if (!n->target)
		return;
	if (node_target_is_announcing(n, now_ms))
		return;
	if (!n->target_leaving)
		node_remove_target(n, "announcements_stopped");
	else if (!gate_in_flight(n->gate))
		node_remove_target(n, "left");
}
