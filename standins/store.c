#include "standins/common_storesrv.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

struct options {
	const char *address;
	unsigned port;
	uint32_t seed;
	unsigned latency_ms;
};

enum { OPT_ADDRESS = 256, OPT_PORT, OPT_SEED, OPT_LATENCY };

static const struct argp_option option_table[] = {
	{ "address", OPT_ADDRESS, "ADDRESS", 0, "Loopback address (127.0.0.1)",
	  0 },
	{ "port", OPT_PORT, "PORT", 0, "TCP port (1 to 65535)", 0 },
	{ "seed", OPT_SEED, "N", 0, "Seed of random numbers (1)", 0 },
	{ "request-latency-ms", OPT_LATENCY, "N", 0,
	  "Mean time of a call (0; at most 60000)", 0 },
	{ 0 }
};

static unsigned parse_number(struct argp_state *state, const char *text,
			     const char *name, unsigned long max)
{
	char *end;
	unsigned long n = strtoul(text, &end, 10);

	if (!*text || *end || *text == '-' || n > max)
		argp_error(state, "--%s: %s (0 to %lu)", name, text, max);
	return (unsigned)n;
}

static error_t parse_option(int key, char *text, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case OPT_ADDRESS:
		if (strncmp(text, "127.", 4) != 0)
			argp_error(state, "--address: %s (loopback only)",
				   text);
		o->address = text;
		return 0;
	case OPT_PORT:
		o->port = parse_number(state, text, "port", 65535);
		return 0;
	case OPT_SEED:
		o->seed = parse_number(state, text, "seed", UINT32_MAX);
		return 0;
	case OPT_LATENCY:
		o->latency_ms =
			parse_number(state, text, "request-latency-ms", 60000);
		return 0;
	case ARGP_KEY_END:
		if (!o->port)
			argp_error(state, "--port is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void on_signal(struct ev_loop *loop, ev_signal *w, int events)
{
	(void)w;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

/* In a silent outage, all calls keep their connections open. */
static void raise_file_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		.options = option_table,
		.parser = parse_option,
		.doc = "Key-value store for tests: etcd v3 JSON mapping over "
		       "HTTP, in memory, with faults on command.",
	};
	struct options o = { "127.0.0.1", 0, 1, 0 };
	struct ev_loop *loop = ev_default_loop(0);
	struct err_info info = { 0 };
	ev_signal on_int;
	ev_signal on_term;
	struct ssrv s;

	argp_parse(&argp, argc, argv, 0, NULL, &o);
	signal(SIGPIPE, SIG_IGN);
	raise_file_limit();
	if (ssrv_init(&s, loop, o.address, o.port, o.seed, o.latency_ms,
		      &info) != ERR_OK) {
		fprintf(stderr, "mpin-store: %s: %s\n", err_name(info.code),
			info.detail);
		return 1;
	}
	ev_signal_init(&on_int, on_signal, SIGINT);
	ev_signal_init(&on_term, on_signal, SIGTERM);
	ev_signal_start(loop, &on_int);
	ev_signal_start(loop, &on_term);
	printf("ready port=%u\n", o.port);
	fflush(stdout);
	ev_run(loop, 0);
	ssrv_finish(&s);
	return 0;
}
