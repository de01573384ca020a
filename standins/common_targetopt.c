#include "standins/common_targetopt.h"

#include <argp.h>
#include <glib.h>
#include <limits.h>
#include <stdlib.h>
#include <string.h>

enum {
	OPT_CONCURRENCY = 256,
	OPT_CONNECTIONS,
	OPT_QUEUE,
	OPT_SERVICE_MS,
	OPT_JITTER,
	OPT_COLD,
	OPT_SEED,
	OPT_CHECKS,
	OPT_HEALTH_LAG,
	OPT_FALSE_LOAD,
	OPT_STUTTER,
};

static const struct argp_option arg_options[] = {
	{ "name", 'n', "NAME", 0, "name in log lines", 0 },
	{ "service", 's', "NAME", 0, "service whose requests it runs", 0 },
	{ "address", 'a', "ADDRESS", 0, "address to listen on (127.0.0.1)", 0 },
	{ "port", 'p', "PORT", 0, "port to listen on", 0 },
	{ "daemon", 'd', "ADDRESS:PORT", 0,
	  "admin port of the daemon to announce to", 0 },
	{ "log", 'l', "FILE", 0,
	  "log with a JSON line for each start and end of a request", 0 },
	{ "concurrency", OPT_CONCURRENCY, "N", 0,
	  "requests that run at a time (20)", 0 },
	{ "connections", OPT_CONNECTIONS, "N", 0,
	  "announced limit of connections (130)", 0 },
	{ "queue", OPT_QUEUE, "N", 0, "requests that may wait (64)", 0 },
	{ "service-ms", OPT_SERVICE_MS, "MS", 0, "time that a request runs (5)",
	  0 },
	{ "service-jitter-ms", OPT_JITTER, "MS", 0,
	  "upper limit of a random addition to it (0)", 0 },
	{ "cold-ms", OPT_COLD, "MS", 0,
	  "announce it as cold for so long after its start (0)", 0 },
	{ "seed", OPT_SEED, "N", 0, "seed of the random numbers (1)", 0 },
	{ "checks", OPT_CHECKS, "LIST", 0,
	  "reasons to refuse requests: fence,deadline,sender", 0 },
	{ "health-lag-ms", OPT_HEALTH_LAG, "MS", 0,
	  "period at which the reported load is updated", 0 },
	{ "false-load", OPT_FALSE_LOAD, "PERCENT", 0,
	  "reported instead of the true load", 0 },
	{ "stutter", OPT_STUTTER, "PERCENT", 0,
	  "answers that are written twice or behind parts of others (0); GET "
	  "/control/stutter?percent=N changes it",
	  0 },
	{ 0 },
};

static int parse_number(struct argp_state *state, const char *text, int min,
			int max)
{
	char *end;
	long n = strtol(text, &end, 10);

	if (end == text || *end || n < min || n > max)
		argp_error(state, "%s: not a number from %d to %d", text, min,
			   max);
	return (int)n;
}

static void parse_checks(struct target_options *o, const char *list,
			 struct argp_state *state)
{
	char **items = g_strsplit(list, ",", -1);

	for (char **i = items; *i; i++) {
		if (strcmp(*i, "fence") == 0)
			o->check_fence = 1;
		else if (strcmp(*i, "deadline") == 0)
			o->check_deadline = 1;
		else if (strcmp(*i, "sender") == 0)
			o->check_sender = 1;
		else if (**i)
			argp_error(state, "%s: unknown check", *i);
	}
	g_strfreev(items);
}

static error_t parse_numeric_option(int key, char *arg,
				    struct argp_state *state)
{
	struct target_options *o = state->input;

	switch (key) {
	case OPT_CONCURRENCY:
		o->concurrency = parse_number(state, arg, 1, 100000);
		return 0;
	case OPT_CONNECTIONS:
		o->connections = parse_number(state, arg, 1, 100000);
		return 0;
	case OPT_QUEUE:
		o->queue = parse_number(state, arg, 0, 100000);
		return 0;
	case OPT_SERVICE_MS:
		o->service_ms =
			parse_number(state, arg, 0, TARGET_MAX_SERVICE_MS);
		return 0;
	case OPT_JITTER:
		o->jitter_ms =
			parse_number(state, arg, 0, TARGET_MAX_SERVICE_MS);
		return 0;
	case OPT_COLD:
		o->cold_ms = parse_number(state, arg, 0, 600000);
		return 0;
	case OPT_SEED:
		o->seed = parse_number(state, arg, 0, INT_MAX);
		return 0;
	case OPT_HEALTH_LAG:
		o->health_lag_ms = parse_number(state, arg, 0, 600000);
		return 0;
	case OPT_FALSE_LOAD:
		o->false_load = parse_number(state, arg, 0, 100000);
		return 0;
	case OPT_STUTTER:
		o->stutter_percent = parse_number(state, arg, 0, 100);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct target_options *o = state->input;

	switch (key) {
	case 'n':
		o->name = arg;
		return 0;
	case 's':
		o->service = arg;
		return 0;
	case 'a':
		o->address = arg;
		return 0;
	case 'p':
		o->port = parse_number(state, arg, 1, 65535);
		return 0;
	case 'd':
		o->daemon = arg;
		return 0;
	case 'l':
		o->log = arg;
		return 0;
	case OPT_CHECKS:
		parse_checks(o, arg, state);
		return 0;
	case ARGP_KEY_END:
		if (!o->service || !o->port)
			argp_error(state, "--service and --port are required");
		return 0;
	default:
		return parse_numeric_option(key, arg, state);
	}
}

static const struct argp arg_parser = {
	arg_options, parse_option,
	NULL,	     "Target stand-in of monsoonpin for tests.",
	NULL,	     NULL,
	NULL
};

void common_targetopt_parse(struct target_options *o, int argc, char **argv)
{
	*o = (struct target_options){ .name = "target",
				      .address = "127.0.0.1",
				      .concurrency = 20,
				      .connections = 130,
				      .queue = 64,
				      .service_ms = 5,
				      .seed = 1,
				      .false_load = -1 };
	argp_parse(&arg_parser, argc, argv, 0, NULL, o);
}
