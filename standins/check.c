/*
 * mpin-check: reads histories of callers, logs of targets and logs of daemons,
 * and reports violations of the requirements. Exits with 0 if there are none,
 * 1 on a violation, 2 if the input cannot be read.
 */
#include "standins/common_checkrule.h"
#include "standins/common_history.h"

#include <argp.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define MAX_VIOLATIONS 20
#define TARGETS_IN_LINE 6
#define EXIT_VIOLATION 1
#define EXIT_INPUT 2

struct input {
	struct common_check check;
	struct check_target *log_target; /* whose log is being read */
};

static enum err read_history_line(const json_t *line, void *priv)
{
	struct input *in = priv;

	return common_check_add_history_line(&in->check, line);
}

static enum err read_target_line(const json_t *line, void *priv)
{
	struct input *in = priv;

	return common_check_add_log_line(&in->check, in->log_target, line);
}

static void fail_input(const struct err_info *info)
{
	fprintf(stderr, "mpin-check: %s\n", info->detail);
	exit(EXIT_INPUT);
}

static void read_history(struct input *in, const char *path)
{
	struct err_info info = { 0 };

	if (common_history_read(path, read_history_line, in, &info) != ERR_OK)
		fail_input(&info);
	in->check.has_history = 1;
}

static void read_target(struct input *in, struct argp_state *state, char *arg)
{
	struct err_info info = { 0 };
	char *path = strchr(arg, '=');

	if (!path) {
		argp_error(state, "%s: not NAME=FILE", arg);
		return;
	}
	*path++ = '\0';
	in->log_target = common_check_get_target(&in->check, arg);
	if (common_history_read(path, read_target_line, in, &info) != ERR_OK)
		fail_input(&info);
	in->log_target->has_log = 1;
	in->check.has_targets = 1;
}

static void read_daemon(struct input *in, const char *path)
{
	struct err_info info = { 0 };
	FILE *f = fopen(path, "re");
	char *line = NULL;
	size_t cap = 0;

	if (!f) {
		err_set(&info, ERR_SYSTEM, "%s: %s", path, strerror(errno));
		fail_input(&info);
		return;
	}
	while (getline(&line, &cap, f) > 0)
		common_check_add_daemon_line(&in->check, line);
	free(line);
	fclose(f);
}

typedef void (*event_fn)(struct common_check *c, const struct check_target *t,
			 int64_t t_ns);

/* Parses NODE=T_NS, or T_NS alone if allow_any_node is set. */
static void read_event(struct input *in, struct argp_state *state, char *arg,
		       int allow_any_node, event_fn fn)
{
	struct check_target *t = NULL;
	char *number = strchr(arg, '=');
	char *end;
	long long t_ns;

	if (number) {
		*number++ = '\0';
		t = common_check_get_target(&in->check, arg);
	} else {
		number = arg;
	}
	t_ns = strtoll(number, &end, 10);
	if (end == number || *end || t_ns < 0 || (!t && !allow_any_node)) {
		argp_error(state, "%s: not NODE=T_NS", arg);
		return;
	}
	fn(&in->check, t, t_ns);
}

static int64_t read_ms(struct argp_state *state, const char *arg)
{
	char *end;
	long long ms = strtoll(arg, &end, 10);

	if (end == arg || *end || ms < 0 || ms > 3600000)
		argp_error(state, "%s: not a number of milliseconds", arg);
	return ms;
}

enum {
	OPT_DRAINED = 256,
	OPT_KILLED,
	OPT_LOST,
	OPT_MAX_GAP,
	OPT_WAIT,
	OPT_EXCUSE,
};

static const struct argp_option arg_options[] = {
	{ "history", 'h', "FILE", 0, "history of a caller; repeatable", 0 },
	{ "target", 't', "NAME=FILE", 0, "log of a target; repeatable", 0 },
	{ "daemon", 'd', "FILE", 0, "log of a daemon; repeatable", 0 },
	{ "drained", OPT_DRAINED, "NODE=T_NS", 0,
	  "the target must not start a run later than 3 s after this time", 0 },
	{ "killed", OPT_KILLED, "NODE=T_NS", 0,
	  "the target was killed at this time, which ends its runs", 0 },
	{ "lost", OPT_LOST, "[NODE=]T_NS", 0,
	  "keys (of the node) must be served again within --max-gap-ms", 0 },
	{ "max-gap-ms", OPT_MAX_GAP, "MS", 0,
	  "longest time without service after a loss (2000)", 0 },
	{ "wait-ms", OPT_WAIT, "MS", 0,
	  "a request that waits less shows no gap in service (250)", 0 },
	{ "excuse-to", OPT_EXCUSE, "ADDRESS:PORT", 0,
	  "requests sent to this daemon show no gap in service", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct input *in = state->input;

	switch (key) {
	case 'h':
		read_history(in, arg);
		return 0;
	case 't':
		read_target(in, state, arg);
		return 0;
	case 'd':
		read_daemon(in, arg);
		return 0;
	case OPT_DRAINED:
		read_event(in, state, arg, 0, common_check_add_drain);
		return 0;
	case OPT_KILLED:
		read_event(in, state, arg, 0, common_check_add_kill);
		return 0;
	case OPT_LOST:
		read_event(in, state, arg, 1, common_check_add_loss);
		return 0;
	case OPT_MAX_GAP:
		in->check.max_gap_ms = read_ms(state, arg);
		return 0;
	case OPT_EXCUSE:
		common_check_excuse_daemon(&in->check, arg);
		return 0;
	case OPT_WAIT:
		in->check.min_wait_ms = read_ms(state, arg);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp arg_parser = {
	arg_options,
	parse_option,
	NULL,
	"Decides from histories and logs whether monsoonpin's requirements "
	"were met.",
	NULL,
	NULL,
	NULL
};

/* Without this, a misspelt node name would make its checks always pass. */
static int check_target_names(const struct common_check *c)
{
	for (const struct check_target *t = c->targets; t; t = t->next) {
		if (t->has_log)
			continue;
		fprintf(stderr, "mpin-check: %s: no log of this target\n",
			t->name);
		return 0;
	}
	return 1;
}

static void print_counts(const char *title, const struct check_count *list,
			 FILE *out)
{
	fprintf(out, "%s:", title);
	for (const struct check_count *n = list; n; n = n->hh.next)
		fprintf(out, " %s %zu", n->name, n->count);
	fprintf(out, "\n");
}

/* Relies on the order of violations, which is that of the rules. */
static void print_rules(const struct common_check *c, FILE *out)
{
	const struct check_violation *v = c->violations;

	fprintf(out, "violations by rule:");
	while (v) {
		const char *rule = v->rule;
		size_t n = 0;

		for (; v && v->rule == rule; v = v->next)
			n++;
		fprintf(out, " %s %zu", rule, n);
	}
	fprintf(out, "\n");
}

static void print_runs(const struct common_check *c, FILE *out)
{
	const struct check_target *t;
	int column = 0;

	fprintf(out, "runs by target:");
	for (t = c->targets; t; t = t->next, column++)
		fprintf(out, "%s%s %zu",
			column && column % TARGETS_IN_LINE == 0 ? "\n  " : " ",
			t->name, t->start_count);
	fprintf(out, "\n");
}

static void print_summary(const struct common_check *c, FILE *out)
{
	print_counts("requests by outcome", c->outcomes, out);
	print_runs(c, out);
	fprintf(out, "moves of slots seen in runs: %zu\n", c->owner_changes);
	fprintf(out,
		"unavailable: %.3f key-seconds in %zu gaps, longest %" PRId64
		" ms\n",
		(double)c->gap_sum_ns / 1e9, c->gap_count,
		c->longest_gap_ns / CHECK_NS_PER_MS);
	if (c->longest_recovery_ns >= 0)
		fprintf(out, "worst recovery after a loss: %" PRId64 " ms\n",
			c->longest_recovery_ns / CHECK_NS_PER_MS);
	if (c->daemon_events)
		print_counts("daemon events", c->daemon_events, out);
}

static void print_result(const struct common_check *c, FILE *out)
{
	const struct check_violation *v;
	size_t n = 0;

	print_summary(c, out);
	for (v = c->violations; v; v = v->next) {
		if (n++ == MAX_VIOLATIONS)
			break;
		fprintf(out, "VIOLATION %s: %s\n", v->rule, v->text);
	}
	if (c->violation_count > MAX_VIOLATIONS)
		fprintf(out, "%zu more violations\n",
			c->violation_count - MAX_VIOLATIONS);
	if (c->violation_count)
		print_rules(c, out);
	fprintf(out, "served %zu of %zu, misrouted %zu, run twice %zu\n",
		c->served_count, c->sent_count, c->misrouted_count,
		c->run_twice_count);
}

int main(int argc, char **argv)
{
	struct input in = { 0 };
	int code = EXIT_INPUT;

	common_check_init(&in.check);
	argp_err_exit_status = EXIT_INPUT;
	argp_parse(&arg_parser, argc, argv, 0, NULL, &in);
	if (check_target_names(&in.check)) {
		common_check_apply_rules(&in.check);
		print_result(&in.check, stdout);
		code = in.check.violation_count ? EXIT_VIOLATION : EXIT_SUCCESS;
	}
	common_check_finish(&in.check);
	return code;
}
