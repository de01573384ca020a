#include "membership/coord_priv.h"
#include "common/clk.h"
#include "common/log.h"
#include "common/step.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

enum call_kind { CALL_ELECT, CALL_READ_BACK, CALL_CONFIRM, CALL_LIVE };

struct co_call *co_call_new(struct coord *c, int kind)
{
	struct co_call *call = calloc(1, sizeof(*call));

	if (!call)
		return NULL;
	call->c = c;
	call->generation = c->generation;
	call->sent_ms = clk_ms();
	call->kind = kind;
	DL_APPEND(c->calls, call);
	return call;
}

struct coord *co_call_end(struct co_call *call, int64_t *asked_ms, int *kind)
{
	struct coord *c = call->c;
	int current = call->generation == c->generation;

	if (asked_ms)
		*asked_ms = call->sent_ms;
	if (kind)
		*kind = call->kind;
	DL_DELETE(c->calls, call);
	free(call);
	return current ? c : NULL;
}

void co_store_key(const struct coord *c, char *out, size_t size,
		  const char *name)
{
	snprintf(out, size, "%s%s", c->config.settings->store_prefix, name);
}

void co_step_down(struct coord *c, const char *why)
{
	if (c->phase == CO_IDLE)
		return;
	log_info("coordinator_stopped", "term=%llu why=%s",
		 (unsigned long long)c->record.term, LOG_Q(why));
	c->generation++;
	c->phase = CO_IDLE;
	ev_timer_stop(c->config.loop, &c->timer);
	co_doc_stop(c);
	co_conns_close(c);
	co_write_finish(c);
	co_place_finish(c);
	co_unload(c);
}

static void begin_term(struct coord *c, int64_t asked_ms)
{
	int64_t now_ms = clk_ms();
	struct own_times times;

	c->phase = CO_LOADING;
	c->elected_ms = now_ms;
	c->confirm_at_ms = now_ms;
	c->takeover_at_ms = now_ms;
	c->placement_at_ms = 0;
	c->withdrawn_hold = 0;
	c->release_seq = 0;
	c->live_at_ms = 0;
	c->live_lease = 0;
	c->era = 0;
	memset(&c->restore, 0, sizeof(c->restore));
	times = own_times_for(settings_grant_ms(c->config.settings));
	times.hold_max_ms = c->config.settings->hold_ms;
	own_coord_init_times(&c->own, &times, c->record.term, asked_ms, now_ms);
	log_info("coordinator_elected", "term=%llu",
		 (unsigned long long)c->record.term);
	cnt_add(c->config.cnt, "elections_won", "", 1);
	ev_timer_again(c->config.loop, &c->timer);
	co_load(c);
}

static void abandon_election(struct coord *c, enum err why)
{
	log_info("election_lost", "term=%llu why=%s",
		 (unsigned long long)c->record.term, err_name(why));
	c->phase = CO_IDLE;
	c->generation++;
}

static void on_read_back(enum err e, const struct store_range *r, void *priv)
{
	int64_t asked_ms;
	struct coord *c = co_call_end(priv, &asked_ms, NULL);
	struct record found;

	if (!c)
		return;
	if (e != ERR_OK || !r->count) {
		abandon_election(c, e == ERR_OK ? ERR_NOT_FOUND : e);
		return;
	}
	if (record_parse(&found, r->kvs[0].value, r->kvs[0].value_len) !=
		    ERR_OK ||
	    !record_same_writer(&found, &c->record)) {
		abandon_election(c, ERR_CONFLICT);
		return;
	}
	c->record.mod_revision = r->kvs[0].mod_revision;
	begin_term(c, asked_ms);
}

static void read_back(struct coord *c)
{
	struct co_call *call = co_call_new(c, CALL_READ_BACK);
	char key[128];

	if (!call) {
		abandon_election(c, ERR_NOMEM);
		return;
	}
	co_store_key(c, key, sizeof(key), "coord");
	c->config.store->ops->range(c->config.store, key, 0, on_read_back,
				    call);
}

static void on_elected(enum err e, int64_t revision, void *priv)
{
	int64_t asked_ms;
	struct coord *c = co_call_end(priv, &asked_ms, NULL);

	if (!c)
		return;
	if (e == ERR_TIMEOUT) {
		read_back(c);
		return;
	}
	if (e != ERR_OK) {
		abandon_election(c, e);
		return;
	}
	c->record.mod_revision = revision;
	begin_term(c, asked_ms);
}

static void fill_record(struct coord *c)
{
	const struct settings *s = c->config.settings;
	struct record *r = &c->record;

	memset(r, 0, sizeof(*r));
	r->incarnation = c->config.incarnation;
	snprintf(r->node, sizeof(r->node), "%s", s->name);
	snprintf(r->address, sizeof(r->address), "%s", s->address);
	r->peer_port = settings_peer_port(s);
	r->admin_port = (unsigned)s->admin_port;
}

/*
 * Chooses the term and the era of the state for the record that replaces known.
 * A term that a copy of the store has forgotten must not be given out again.
 */
static void fill_term(struct coord *c, const struct record *known)
{
	struct record *r = &c->record;
	uint64_t term = known->term;
	int restored = record_is_restored(known);

	/* The copy may be from before the first election. */
	if (!known->mod_revision && known->read_era &&
	    known->read_era != STORE_FIRST_ERA)
		restored = 1;
	r->state_era = known->state_era;
	r->read_era = known->read_era;
	if (!known->mod_revision || known->state_era == RECORD_ANY_ERA)
		r->state_era = known->read_era;
	if (c->seen_term > term) {
		term = c->seen_term;
		restored = 1;
	}
	c->recovery_due = restored;
	if (restored) {
		r->state_era = 0;
		term = MAX(term,
			   c->config.store->ops->number_floor(c->config.store));
		log_warn("record_restored",
			 "record_term=%llu seen_term=%llu record_era=%llu "
			 "era=%llu",
			 (unsigned long long)known->term,
			 (unsigned long long)c->seen_term,
			 (unsigned long long)known->state_era,
			 (unsigned long long)known->read_era);
	}
	r->term = term + 1;
}

void coord_start_election(struct coord *c, const struct record *known,
			  uint64_t seen_term)
{
	struct store_compare compare;
	struct store_put put;
	struct co_call *call;
	struct buf text;
	char key[128];

	if (c->phase != CO_IDLE)
		return;
	call = co_call_new(c, CALL_ELECT);
	if (!call)
		return;
	buf_init(&text);
	c->seen_term = MAX(c->seen_term, seen_term);
	fill_record(c);
	fill_term(c, known);
	record_write(&c->record, &text);
	co_store_key(c, key, sizeof(key), "coord");
	compare.key = key;
	compare.mod_revision = known->mod_revision;
	put.key = key;
	put.value = text.data;
	put.value_len = text.len;
	put.lease = 0;
	c->phase = CO_ELECTING;
	log_info("election_started", "term=%llu replaces=%s",
		 (unsigned long long)c->record.term, LOG_Q(known->node));
	c->config.store->ops->txn(c->config.store, &compare, 1, &put, 1,
				  on_elected, call);
	buf_finish(&text);
}

static void on_confirm(enum err e, const struct store_range *r, void *priv)
{
	int64_t asked_ms;
	struct coord *c = co_call_end(priv, &asked_ms, NULL);

	if (!c || e != ERR_OK || co_note_era(c, r->era))
		return;
	if (r->count && r->kvs[0].mod_revision == c->record.mod_revision) {
		own_coord_extend_authority(&c->own, asked_ms);
		/*
		 * The hold can end now. The next confirmation must come after
		 * the short period; during the long one, another hold would
		 * start.
		 */
		if (c->own.phase == OWN_HOLDING)
			c->confirm_at_ms = clk_ms() + c->own.times.confirm_ms;
		return;
	}
	co_step_down(c, "record_replaced");
}

static void confirm_record(struct coord *c, int64_t now_ms)
{
	struct co_call *call;
	char key[128];

	if (now_ms < c->confirm_at_ms)
		return;
	call = co_call_new(c, CALL_CONFIRM);
	if (!call)
		return;
	/* A hold lasts until the store answers: ask less often to spare it. */
	c->confirm_at_ms = now_ms + (c->own.phase == OWN_HOLDING
					     ? CO_HOLD_CONFIRM_MS
					     : c->own.times.confirm_ms);
	co_store_key(c, key, sizeof(key), "coord");
	c->config.store->ops->range(c->config.store, key, 0, on_confirm, call);
}

static void on_live_put(enum err e, int64_t revision, void *priv)
{
	(void)revision;
	(void)e;
	co_call_end(priv, NULL, NULL);
}

/*
 * "coord-live" is a hint for clients. It has a lease, so that the store deletes
 * it when the coordinator is gone.
 */
static void put_live(struct coord *c)
{
	struct co_call *call = co_call_new(c, CALL_LIVE);
	struct store_put put;
	char key[128];

	if (!call)
		return;
	co_store_key(c, key, sizeof(key), "coord-live");
	put.key = key;
	put.value = (const uint8_t *)c->record.node;
	put.value_len = strlen(c->record.node);
	put.lease = c->live_lease;
	c->config.store->ops->txn(c->config.store, NULL, 0, &put, 1,
				  on_live_put, call);
}

static void on_live_granted(enum err e, int64_t lease, void *priv)
{
	struct coord *c = co_call_end(priv, NULL, NULL);

	if (!c || e != ERR_OK)
		return;
	c->live_lease = lease;
	put_live(c);
}

static void on_live_renewed(enum err e, int64_t lease, void *priv)
{
	struct coord *c = co_call_end(priv, NULL, NULL);

	(void)lease;
	if (c && e == ERR_NOT_FOUND)
		c->live_lease = 0;
}

static void renew_live(struct coord *c, int64_t now_ms)
{
	struct store *s = c->config.store;
	struct co_call *call;

	if (now_ms < c->live_at_ms)
		return;
	call = co_call_new(c, CALL_LIVE);
	if (!call)
		return;
	c->live_at_ms = now_ms + CO_LIVE_RENEW_MS;
	if (c->live_lease)
		s->ops->lease_keepalive(s, c->live_lease, on_live_renewed,
					call);
	else
		s->ops->lease_grant(s, CO_LIVE_TTL_S, on_live_granted, call);
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	struct coord *c = w->data;
	int64_t now_ms = clk_ms();

	(void)loop;
	(void)events;
	step_enter("coord_tick");
	confirm_record(c, now_ms);
	if (c->phase != CO_ACTIVE)
		return;
	renew_live(c, now_ms);
	co_member_tick(c, now_ms);
	co_doc_tick(c, now_ms);
	if (c->restore.active) {
		co_restore_tick(c, now_ms);
		return;
	}
	co_place_tick(c, now_ms);
	co_withdraw_moves(c);
	co_write_tick(c, now_ms);
}

static void on_reap(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	step_enter("coord_reap");
	co_conns_reap(w->data);
}

enum err coord_new(struct coord **out, const struct coord_config *config)
{
	struct coord *c = calloc(1, sizeof(*c));

	if (!c)
		return ERR_NOMEM;
	c->config = *config;
	c->history = calloc(CO_HISTORY_ENTRIES, sizeof(*c->history));
	if (!c->history) {
		free(c);
		return ERR_NOMEM;
	}
	map_init(&c->map);
	ev_timer_init(&c->timer, on_tick, 0., CO_TICK_S);
	c->timer.data = c;
	ev_timer_init(&c->reaper, on_reap, CO_REAP_S, CO_REAP_S);
	c->reaper.data = c;
	ev_timer_start(config->loop, &c->reaper);
	*out = c;
	return ERR_OK;
}

void coord_free(struct coord *c)
{
	struct co_call *call, *tmp;

	if (!c)
		return;
	co_step_down(c, "stopping");
	co_conns_close(c);
	co_conns_reap(c);
	ev_timer_stop(c->config.loop, &c->reaper);
	DL_FOREACH_SAFE(c->calls, call, tmp)
		free(call);
	map_finish(&c->map);
	free(c->history);
	free(c);
}

int coord_is_active(const struct coord *c)
{
	return c->phase == CO_ACTIVE;
}
