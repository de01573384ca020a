#include "standins/common_checkrule.h"
#include "standins/common_history.h"

#include <utlist.h>

#define TEXT_BYTES 1024

static void *grow_array(void *list, size_t count, size_t *cap, size_t size)
{
	if (count < *cap)
		return list;
	*cap = *cap ? *cap * 2 : 8;
	return check_abort_if_null(realloc(list, *cap * size));
}

static void add_count(struct check_count **list, const char *name)
{
	struct check_count *n;

	HASH_FIND_STR(*list, name, n);
	if (!n) {
		n = check_abort_if_null(calloc(1, sizeof(*n)));
		n->name = check_abort_if_null(strdup(name));
		HASH_ADD_KEYPTR(hh, *list, n->name, strlen(n->name), n);
	}
	n->count++;
}

static void free_counts(struct check_count **list)
{
	struct check_count *n;
	struct check_count *tmp;

	HASH_ITER(hh, *list, n, tmp) {
		HASH_DEL(*list, n);
		free(n->name);
		free(n);
	}
}

static void free_events(struct check_event **list)
{
	struct check_event *e;
	struct check_event *tmp;

	LL_FOREACH_SAFE(*list, e, tmp) {
		free(e);
	}
	*list = NULL;
}

void common_check_init(struct common_check *c)
{
	memset(c, 0, sizeof(*c));
	c->max_gap_ms = COMMON_CHECK_MAX_GAP_MS;
	c->min_wait_ms = COMMON_CHECK_MIN_WAIT_MS;
	c->longest_recovery_ns = -1;
}

static void free_requests(struct common_check *c)
{
	struct check_request *q;
	struct check_request *tmp;

	HASH_ITER(hh, c->requests, q, tmp) {
		HASH_DEL(c->requests, q);
		free(q->id);
		free(q->service);
		free(q->key_name);
		free(q->outcome);
		free(q->owner);
		free(q->sent_to);
		free(q);
	}
}

static void free_keys(struct common_check *c)
{
	struct check_key *k;
	struct check_key *tmp;

	HASH_ITER(hh, c->keys, k, tmp) {
		HASH_DEL(c->keys, k);
		free(k->name);
		free((void *)k->runs);
		free((void *)k->requests);
		free(k);
	}
}

static void free_runs(struct common_check *c)
{
	for (size_t i = 0; i < c->run_count; i++) {
		free(c->runs[i]->service);
		free(c->runs[i]->key_name);
		free(c->runs[i]->attempt);
		free(c->runs[i]);
	}
	free((void *)c->runs);
}

void common_check_finish(struct common_check *c)
{
	struct check_target *t;
	struct check_target *t_tmp;
	struct check_violation *v;
	struct check_violation *v_tmp;

	free_requests(c);
	free_keys(c);
	free_runs(c);
	free_events(&c->drains);
	free_events(&c->kills);
	free_events(&c->losses);
	free_counts(&c->daemon_events);
	free_counts(&c->outcomes);
	free_counts(&c->excused_daemons);
	LL_FOREACH_SAFE(c->targets, t, t_tmp) {
		free(t->name);
		free(t);
	}
	LL_FOREACH_SAFE(c->violations, v, v_tmp) {
		free(v->text);
		free(v);
	}
	memset(c, 0, sizeof(*c));
}

static struct check_request *get_request(struct common_check *c, const char *id)
{
	struct check_request *q;

	HASH_FIND_STR(c->requests, id, q);
	if (q)
		return q;
	q = check_abort_if_null(calloc(1, sizeof(*q)));
	q->id = check_abort_if_null(strdup(id));
	q->body_ok = -1;
	HASH_ADD_KEYPTR(hh, c->requests, q->id, strlen(q->id), q);
	return q;
}

static struct check_key *get_key(struct common_check *c, const char *service,
				 const char *key)
{
	char name[TEXT_BYTES];
	struct check_key *k;

	snprintf(name, sizeof(name), "%s/%s", service, key);
	HASH_FIND_STR(c->keys, name, k);
	if (k)
		return k;
	k = check_abort_if_null(calloc(1, sizeof(*k)));
	k->name = check_abort_if_null(strdup(name));
	HASH_ADD_KEYPTR(hh, c->keys, k->name, strlen(k->name), k);
	return k;
}

static void add_send(struct common_check *c, struct check_request *q,
		     const json_t *line, int64_t t_ns)
{
	struct check_key *k;

	if (q->send_count++)
		return;
	q->send_ns = t_ns;
	q->idempotent = common_history_get_flag(line, "idempotent") == 1;
	q->service = check_abort_if_null(
		strdup(common_history_get_text(line, "service")));
	q->key_name = check_abort_if_null(
		strdup(common_history_get_text(line, "key")));
	k = get_key(c, q->service, q->key_name);
	q->key = k;
	k->requests = grow_array((void *)k->requests, k->request_count,
				 &k->request_cap, sizeof(*k->requests));
	k->requests[k->request_count++] = q;
}

static void add_heard(struct common_check *c, struct check_request *q,
		      const json_t *line, int64_t t_ns)
{
	if (q->heard_count++)
		return;
	q->heard_ns = t_ns;
	q->body_ok = common_history_get_flag(line, "body_ok");
	q->status = common_history_get_number(line, "status", 0);
	q->outcome = check_abort_if_null(
		strdup(common_history_get_text(line, "outcome")));
	q->owner = check_abort_if_null(
		strdup(common_history_get_text(line, "owner")));
	q->sent_to = check_abort_if_null(
		strdup(common_history_get_text(line, "to")));
	add_count(&c->outcomes, q->outcome);
}

enum err common_check_add_history_line(struct common_check *c,
				       const json_t *line)
{
	const char *ev = common_history_get_text(line, "ev");
	const char *id = common_history_get_text(line, "request");
	int64_t t_ns = common_history_get_number(line, "t_ns", -1);

	if (t_ns < 0 || !id[0])
		return ERR_MALFORMED;
	c->has_history = 1;
	if (t_ns > c->last_event_ns)
		c->last_event_ns = t_ns;
	if (strcmp(ev, "send") == 0)
		add_send(c, get_request(c, id), line, t_ns);
	else if (strcmp(ev, "heard") == 0)
		add_heard(c, get_request(c, id), line, t_ns);
	else
		return ERR_MALFORMED;
	return ERR_OK;
}

struct check_target *common_check_get_target(struct common_check *c,
					     const char *name)
{
	struct check_target *t;

	LL_FOREACH(c->targets, t) {
		if (strcmp(t->name, name) == 0)
			return t;
	}
	t = check_abort_if_null(calloc(1, sizeof(*t)));
	t->name = check_abort_if_null(strdup(name));
	LL_APPEND(c->targets, t);
	return t;
}

static void add_start(struct common_check *c, struct check_target *t,
		      const json_t *line, int64_t t_ns)
{
	struct check_run *r = check_abort_if_null(calloc(1, sizeof(*r)));
	struct check_key *k;

	r->target = t;
	r->request = get_request(c, common_history_get_text(line, "request"));
	r->service = check_abort_if_null(
		strdup(common_history_get_text(line, "service")));
	r->key_name = check_abort_if_null(
		strdup(common_history_get_text(line, "key")));
	r->attempt = check_abort_if_null(
		strdup(common_history_get_text(line, "attempt")));
	r->start_ns = t_ns;
	r->end_ns = INT64_MAX;
	r->slot = common_history_get_number(line, "slot", -1);
	r->fence = common_history_get_number(line, "fence", -1);
	t->start_count++;
	LL_APPEND(r->request->runs, r);
	r->request->run_count++;
	k = get_key(c, r->service, r->key_name);
	r->key = k;
	k->runs = grow_array((void *)k->runs, k->run_count, &k->run_cap,
			     sizeof(*k->runs));
	k->runs[k->run_count++] = r;
	c->runs = grow_array((void *)c->runs, c->run_count, &c->run_cap,
			     sizeof(*c->runs));
	c->runs[c->run_count++] = r;
}

static enum err add_end(struct common_check *c, const struct check_target *t,
			const json_t *line, int64_t t_ns)
{
	const char *attempt = common_history_get_text(line, "attempt");
	struct check_request *q =
		get_request(c, common_history_get_text(line, "request"));
	struct check_run *r;

	LL_FOREACH(q->runs, r) {
		if (r->target != t || r->has_end || r->end_ns != INT64_MAX ||
		    strcmp(r->attempt, attempt) != 0)
			continue;
		r->end_ns = t_ns;
		r->has_end = 1;
		r->status = common_history_get_number(line, "status", 0);
		return ERR_OK;
	}
	return ERR_MALFORMED;
}

/* The target was restarted, which ended the runs of its old process. */
static void end_open_runs(struct common_check *c, const struct check_target *t,
			  int64_t t_ns)
{
	for (size_t i = 0; i < c->run_count; i++) {
		if (c->runs[i]->target == t && c->runs[i]->end_ns == INT64_MAX)
			c->runs[i]->end_ns = t_ns;
	}
}

enum err common_check_add_log_line(struct common_check *c,
				   struct check_target *t, const json_t *line)
{
	const char *ev = common_history_get_text(line, "ev");
	int64_t t_ns = common_history_get_number(line, "t_ns", -1);

	if (t_ns < 0)
		return ERR_MALFORMED;
	c->has_targets = 1;
	t->has_log = 1;
	if (t_ns > c->last_event_ns)
		c->last_event_ns = t_ns;
	if (strcmp(ev, "start") == 0)
		add_start(c, t, line, t_ns);
	else if (strcmp(ev, "end") == 0)
		return add_end(c, t, line, t_ns);
	else if (strcmp(ev, "refused") == 0)
		t->refused_count++;
	else if (strcmp(ev, "begin") == 0)
		end_open_runs(c, t, t_ns);
	else
		return ERR_MALFORMED;
	return ERR_OK;
}

void common_check_add_daemon_line(struct common_check *c, const char *line)
{
	const char *at = strstr(line, " event=");
	char name[64];
	size_t len;

	if (!at)
		return;
	at += strlen(" event=");
	len = strcspn(at, " \n");
	if (len >= sizeof(name))
		return;
	memcpy(name, at, len);
	name[len] = '\0';
	add_count(&c->daemon_events, name);
}

static void add_event(struct check_event **list, const struct check_target *t,
		      int64_t t_ns)
{
	struct check_event *e = check_abort_if_null(calloc(1, sizeof(*e)));

	e->target = t;
	e->t_ns = t_ns;
	LL_APPEND(*list, e);
}

void common_check_add_drain(struct common_check *c,
			    const struct check_target *t, int64_t t_ns)
{
	add_event(&c->drains, t, t_ns);
}

void common_check_add_kill(struct common_check *c, const struct check_target *t,
			   int64_t t_ns)
{
	add_event(&c->kills, t, t_ns);
}

void common_check_add_loss(struct common_check *c, const struct check_target *t,
			   int64_t t_ns)
{
	add_event(&c->losses, t, t_ns);
}

void common_check_excuse_daemon(struct common_check *c, const char *address)
{
	add_count(&c->excused_daemons, address);
}
