#include "standins/common_checkrule.h"

#include <stdarg.h>
#include <utlist.h>

#define TEXT_BYTES 1024

void check_add_violation(struct common_check *c, const struct check_rule *rule,
			 const char *fmt, ...)
{
	struct check_violation *v = check_abort_if_null(calloc(1, sizeof(*v)));
	char text[TEXT_BYTES];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	v->rule = rule->name;
	v->kind = rule->kind;
	v->text = check_abort_if_null(strdup(text));
	if (c->last_violation)
		c->last_violation->next = v;
	else
		c->violations = v;
	c->last_violation = v;
	c->violation_count++;
	c->misrouted_count += rule->kind == CHECK_MISROUTED;
	c->run_twice_count += rule->kind == CHECK_RUN_TWICE;
	c->slow_count += rule->kind == CHECK_SLOW;
}

/* A request without an id was not sent by a load generator. */
static int is_anonymous(const struct check_request *q)
{
	return !q->id[0];
}

/*
 * An idempotent request may run several times, any other at most once. A
 * request that is in no caller's history counts as not idempotent.
 */
static void check_run_twice(struct common_check *c,
			    const struct check_rule *rule)
{
	const struct check_request *q;

	FOREACH_REQUEST(c, q)
	{
		if (is_anonymous(q) || q->idempotent || q->run_count < 2)
			continue;
		check_add_violation(
			c, rule, "request %s ran %u times, first on %s and %s",
			q->id, q->run_count, q->runs->target->name,
			q->runs->next->target->name);
	}
}

static void check_not_run(struct common_check *c, const struct check_rule *rule)
{
	const struct check_request *q;

	FOREACH_REQUEST(c, q)
	{
		if (check_has_outcome(q, "not-run") && q->run_count)
			check_add_violation(
				c, rule, "request %s: not-run, but ran on %s",
				q->id, q->runs->target->name);
	}
}

static void check_own_answer(struct common_check *c,
			     const struct check_rule *rule)
{
	const struct check_request *q;

	FOREACH_REQUEST(c, q)
	{
		if (check_has_outcome(q, "missing"))
			check_add_violation(
				c, rule, "request %s: answer states no outcome",
				q->id);
		if (check_has_outcome(q, "answered") && q->body_ok != 1)
			check_add_violation(
				c, rule,
				"request %s: answer is cut or not its own",
				q->id);
	}
}

/* Returns 1 if a run (on owner, unless NULL) ended at before_ns or earlier. */
static int has_run_ended(const struct check_request *q, const char *owner,
			 int64_t before_ns)
{
	const struct check_run *r;

	LL_FOREACH(q->runs, r) {
		if (r->has_end && r->end_ns <= before_ns &&
		    (!owner || strcmp(r->target->name, owner) == 0))
			return 1;
	}
	return 0;
}

static void check_answered(struct common_check *c,
			   const struct check_rule *rule)
{
	const struct check_request *q;

	FOREACH_REQUEST(c, q)
	{
		if (c->has_targets && check_has_outcome(q, "answered") &&
		    !has_run_ended(q, NULL, q->heard_ns))
			check_add_violation(
				c, rule,
				"request %s: answered, but no run of it ended "
				"before",
				q->id);
	}
}

/* Returns 1 if a run that ended at before_ns or earlier has or lacks a status.
 */
static int may_have_status(const struct check_request *q, int64_t before_ns)
{
	const struct check_run *r;

	LL_FOREACH(q->runs, r) {
		if (r->has_end && r->end_ns <= before_ns &&
		    (!r->status || r->status == q->status))
			return 1;
	}
	return 0;
}

/* The status belongs to the same answer as the body, which names the request.
 */
static void check_own_status(struct common_check *c,
			     const struct check_rule *rule)
{
	const struct check_request *q;

	FOREACH_REQUEST(c, q)
	{
		if (check_has_outcome(q, "answered") && q->status &&
		    has_run_ended(q, NULL, q->heard_ns) &&
		    !may_have_status(q, q->heard_ns))
			check_add_violation(c, rule,
					    "request %s: heard status %" PRId64
					    ", which no run of it answered",
					    q->id, q->status);
	}
}

/* Checks answers whose owner has a target's name, as in the test scripts. */
static void check_owner(struct common_check *c, const struct check_rule *rule)
{
	const struct check_request *q;
	const struct check_target *t;

	FOREACH_REQUEST(c, q)
	{
		if (!check_has_outcome(q, "answered"))
			continue;
		LL_FOREACH(c->targets, t) {
			if (strcmp(t->name, q->owner) == 0)
				break;
		}
		if (t && !has_run_ended(q, t->name, q->heard_ns))
			check_add_violation(
				c, rule,
				"request %s: owner %s stated, but it did not "
				"run there",
				q->id, t->name);
	}
}

static void check_known(struct common_check *c, const struct check_rule *rule)
{
	const struct check_request *q;

	FOREACH_REQUEST(c, q)
	{
		if (!c->has_history || is_anonymous(q))
			continue;
		if (!q->send_count)
			check_add_violation(
				c, rule, "request %s: nobody sent it", q->id);
		if (q->send_count > 1 || q->heard_count > 1)
			check_add_violation(
				c, rule,
				"request %s: sent %d times, heard %d times",
				q->id, q->send_count, q->heard_count);
	}
}

static void check_right_key(struct common_check *c,
			    const struct check_rule *rule)
{
	for (size_t i = 0; i < c->run_count; i++) {
		const struct check_run *r = c->runs[i];
		const struct check_request *q = r->request;

		if (is_anonymous(q) || !q->send_count || q->key == r->key)
			continue;
		check_add_violation(
			c, rule, "request %s for %s ran on %s as %s", q->id,
			q->key->name, r->target->name, r->key->name);
	}
}

static const struct check_rule rules[] = {
	{ "run-twice", CHECK_RUN_TWICE, check_run_twice },
	{ "not-run-ran", CHECK_MISROUTED, check_not_run },
	{ "own-answer", CHECK_MISROUTED, check_own_answer },
	{ "own-status", CHECK_MISROUTED, check_own_status },
	{ "answered-ran", CHECK_MISROUTED, check_answered },
	{ "stated-owner", CHECK_MISROUTED, check_owner },
	{ "known-request", CHECK_MISROUTED, check_known },
	{ "right-key", CHECK_MISROUTED, check_right_key },
	{ "overlap", CHECK_MISROUTED, check_overlap },
	{ "slot-fence", CHECK_MISROUTED, check_slot_fences },
	{ "key-fence", CHECK_MISROUTED, check_key_fences },
	{ "drained", CHECK_MISROUTED, check_drained },
	{ "recovery", CHECK_SLOW, check_recovery },
};

#define RULES (sizeof(rules) / sizeof(rules[0]))

static int by_start(const void *a, const void *b)
{
	const struct check_run *x = *(struct check_run *const *)a;
	const struct check_run *y = *(struct check_run *const *)b;

	return (x->start_ns > y->start_ns) - (x->start_ns < y->start_ns);
}

static int by_send(const void *a, const void *b)
{
	const struct check_request *x = *(struct check_request *const *)a;
	const struct check_request *y = *(struct check_request *const *)b;

	return (x->send_ns > y->send_ns) - (x->send_ns < y->send_ns);
}

/* A run without a logged end ended when its target was killed. */
static void end_runs_of_killed_targets(struct common_check *c)
{
	const struct check_event *e;

	LL_FOREACH(c->kills, e) {
		for (size_t i = 0; i < c->run_count; i++) {
			struct check_run *r = c->runs[i];

			if (r->target == e->target && !r->has_end &&
			    r->start_ns <= e->t_ns && r->end_ns > e->t_ns)
				r->end_ns = e->t_ns;
		}
	}
}

static void sort_runs_and_requests(struct common_check *c)
{
	struct check_key *k;

	if (c->run_count)
		qsort((void *)c->runs, c->run_count, sizeof(*c->runs),
		      by_start);
	FOREACH_KEY(c, k)
	{
		if (k->run_count)
			qsort((void *)k->runs, k->run_count, sizeof(*k->runs),
			      by_start);
		if (k->request_count)
			qsort((void *)k->requests, k->request_count,
			      sizeof(*k->requests), by_send);
	}
}

void common_check_apply_rules(struct common_check *c)
{
	const struct check_request *q;

	end_runs_of_killed_targets(c);
	sort_runs_and_requests(c);
	FOREACH_REQUEST(c, q)
	{
		c->sent_count += q->send_count > 0;
		c->served_count += check_has_outcome(q, "answered");
	}
	for (size_t i = 0; i < RULES; i++)
		rules[i].apply(c, &rules[i]);
}
