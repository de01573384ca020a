#include "common/clk.h"
#include "common/log.h"
#include "limits/call_pressure.h"
#include "limits/call_routes.h"
#include "limits/return_order.h"
#include "routing/gate_priv.h"
#include "routing/peer.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Services whose share of the nodes is kept. */
#define PROTECT_MAX_SERVICES 16
/*
 * The limit on new work is logged below this share, and once more when all work
 * may begin again, which takes seconds: single failures are not logged.
 */
#define PROTECT_LOGGED_SHARE 0.9

/*
 * Work of a refused request while no request has ended yet: one for each place
 * and slice returns. As no work, all would be told the same time.
 */
#define PROTECT_UNKNOWN_WORK_MS RETURN_ORDER_SLICE_MS

/* Largest part of the nodes of the fleet, region or data centre. */
struct service_share {
	char service[64];
	unsigned fleet;
	unsigned region;
	unsigned data_centre;
	double share;
};

struct gate_protect {
	struct call_routes routes;
	struct call_pressure pressure;
	struct return_order returns;
	struct service_share shares[PROTECT_MAX_SERVICES];
	size_t share_count;
	uint64_t shares_rev; /* revision of the map that they are of */
	int limit_logged;
	uint32_t refused; /* since limit_logged was set */
};

void gate_set_protect_calls(struct gate *g, int protect)
{
	gate_protect_free(g);
	if (!protect)
		return;
	g->protect = calloc(1, sizeof(*g->protect));
	if (!g->protect) {
		log_warn("call_protection", "state=off error=%s",
			 err_name(ERR_NOMEM));
		return;
	}
	call_routes_init(&g->protect->routes);
	call_pressure_init(&g->protect->pressure);
	return_order_init(&g->protect->returns);
}

void gate_protect_free(struct gate *g)
{
	if (!g->protect)
		return;
	call_routes_finish(&g->protect->routes);
	free(g->protect);
	g->protect = NULL;
}

static struct service_share *share_get_or_add(struct gate_protect *p,
					      const char *service)
{
	struct service_share *s;

	for (size_t i = 0; i < p->share_count; i++)
		if (strcmp(p->shares[i].service, service) == 0)
			return &p->shares[i];
	if (p->share_count == PROTECT_MAX_SERVICES ||
	    strlen(service) >= sizeof(s->service))
		return NULL;
	s = &p->shares[p->share_count++];
	memset(s, 0, sizeof(*s));
	memcpy(s->service, service, strlen(service) + 1);
	return s;
}

static double part_of(unsigned count, unsigned total)
{
	return total ? (double)count / total : 0;
}

/*
 * Requests are sent to near targets first, so that those of an ordinary route
 * begin beside a mix of the nodes of the fleet, the region and the data centre.
 * No service has a larger part of such a mix than the largest of the three.
 */
static void update_shares(struct gate *g, const struct map *m)
{
	struct gate_protect *p = g->protect;
	const struct map_node *self =
		map_find_node(m, g->view->ops->self(g->view));
	struct service_share total = { 0 };
	struct map_node *n, *next;

	p->share_count = 0;
	p->shares_rev = m->rev;
	HASH_ITER(hh, m->nodes, n, next) {
		const Wire__Node *i = n->info;
		int near = self && strcmp(i->region, self->info->region) == 0;
		int beside = self && strcmp(i->data_centre,
					    self->info->data_centre) == 0;
		struct service_share *s =
			i->target ? share_get_or_add(p, i->target->service)
				  : NULL;

		if (!s)
			continue;
		s->fleet++;
		s->region += near;
		s->data_centre += beside;
		total.fleet++;
		total.region += near;
		total.data_centre += beside;
	}
	for (size_t i = 0; i < p->share_count; i++) {
		struct service_share *s = &p->shares[i];

		s->share = fmax(part_of(s->fleet, total.fleet),
				part_of(s->region, total.region));
		s->share = fmax(s->share,
				part_of(s->data_centre, total.data_centre));
	}
}

/*
 * Returns the share of a service; 0 if it is unknown. Targets do not call their
 * own service, and callers of a target reach the gate beside it with
 * preference, so requests from its own service's nodes are no evidence.
 */
static double share_of(struct gate *g, const char *service)
{
	const struct map *m = g->view->ops->map(g->view);
	struct gate_protect *p = g->protect;

	if (p->shares_rev != m->rev || !p->share_count)
		update_shares(g, m);
	if (g->target && strcmp(g->target->service, service) == 0)
		return 0;
	for (size_t i = 0; i < p->share_count; i++)
		if (strcmp(p->shares[i].service, service) == 0)
			return p->shares[i].share;
	return 0;
}

void gate_protect_note_request(struct gate *g, const Wire__Forward *f)
{
	const struct call_route *t;
	enum call_routes_change change;
	double share;

	if (!g->protect)
		return;
	share = share_of(g, f->caller);
	change = call_routes_note(&g->protect->routes, f->route, f->caller,
				  share);
	if (change == CALL_ROUTES_SAME)
		return;
	t = call_routes_find(&g->protect->routes, f->route);
	cnt_add(g->cnt,
		change == CALL_ROUTES_LEARNT ? "gate_call_routes_learnt"
					     : "gate_call_routes_unlearnt",
		"", 1);
	log_info("call_route",
		 "change=%s route=%08x path=%s caller=%s share=%.2f "
		 "requests=%u doubt=%.0f",
		 change == CALL_ROUTES_LEARNT ? "learnt" : "unlearnt", f->route,
		 LOG_Q(f->path), LOG_Q(f->caller), share, t->requests,
		 t->doubt);
}

int gate_protect_is_call(const struct gate *g, const Wire__Forward *f)
{
	return g->protect && call_routes_is_call(&g->protect->routes, f->route);
}

/* Logs the begin and the end of a limit on new work. */
static void note_share(struct gate *g, double share, int64_t now_ms)
{
	struct gate_protect *p = g->protect;

	cnt_gauge(g->cnt, "gate_new_work_percent", "",
		  (uint64_t)lround(share * 100));
	if (share < PROTECT_LOGGED_SHARE && !p->limit_logged) {
		p->limit_logged = 1;
		log_info("new_work_limited", "state=begin share=%.2f common=%d",
			 share, call_pressure_is_common(&p->pressure, now_ms));
	} else if (share >= 1 && p->limit_logged) {
		p->limit_logged = 0;
		log_info("new_work_limited", "state=end refused=%u",
			 p->refused);
		p->refused = 0;
	}
}

void gate_note_call_ended(struct gate *g, int found_room, int everywhere)
{
	int64_t now_ms = clk_ms();

	if (!g->protect)
		return;
	cnt_add(g->cnt, "gate_own_calls", "", 1);
	if (!found_room)
		cnt_add(g->cnt, "gate_own_calls_failed", "", 1);
	call_pressure_note_call(&g->protect->pressure, found_room, everywhere,
				now_ms);
	note_share(g, call_pressure_share(&g->protect->pressure, now_ms),
		   now_ms);
}

int gate_protect_may_begin(struct gate *g, const Wire__Forward *f)
{
	int64_t now_ms = clk_ms();
	struct gate_protect *p = g->protect;

	if (!p || call_routes_is_call(&p->routes, f->route))
		return 1;
	if (call_pressure_admit(&p->pressure, f->priority, now_ms)) {
		if (p->limit_logged)
			note_share(g, call_pressure_share(&p->pressure, now_ms),
				   now_ms);
		return 1;
	}
	p->refused++;
	cnt_add(g->cnt, "gate_new_work_refused", "", 1);
	return 0;
}

uint32_t gate_protect_retry_after_ms(struct gate *g, const Wire__Forward *f,
				     uint32_t wait_ms, int64_t left_ms)
{
	const struct admission *a = &g->admission;
	struct return_request q = {
		.service_ms = admission_kind_service_ms(a, f->route),
		.earliest_ms = wait_ms,
		.priority = f->priority,
		.left_ms = left_ms,
	};
	uint32_t ms;

	if (left_ms < 0)
		left_ms = 0;
	/* Without a key the ingress decides, after it has tried others. */
	if (!g->protect || !f->key[0])
		return wait_ms;
	/* Work is counted in milliseconds of a place to run. */
	q.work = q.service_ms > 0 ? q.service_ms : a->service_ms;
	if (q.work <= 0)
		q.work = PROTECT_UNKNOWN_WORK_MS;
	ms = return_order_assign(&g->protect->returns, &q,
				 admission_usable_places(a), clk_ms());
	if (ms)
		return ms;
	/* The ingress has more time left than it told the gate. */
	return (uint32_t)left_ms + 2 * PEER_DEADLINE_MARGIN_MS;
}

void gate_protect_refuse(struct gate_call *c)
{
	Wire__ForwardReply reply = WIRE__FORWARD_REPLY__INIT;

	reply.outcome = OUTCOME_NOT_RUN;
	reply.error = ERR_SHED;
	/* The share has changed by then. */
	reply.retry_after_ms = CALL_PRESSURE_WINDOW_MS / 2;
	reply.refused_by_all =
		call_pressure_is_common(&c->g->protect->pressure, clk_ms());
	gate_call_end(c, &reply);
}
