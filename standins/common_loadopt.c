#include "standins/common_loadopt.h"
#include "standins/common_answer.h"

#include <argp.h>
#include <glib.h>
#include <limits.h>
#include <stdlib.h>
#include <string.h>

enum {
	OPT_RATE = 256,
	OPT_SECONDS,
	OPT_KEYS,
	OPT_SKEW,
	OPT_HOT_SHIFT,
	OPT_POST_SHARE,
	OPT_IDEMPOTENCY_KEY_SHARE,
	OPT_TENANTS,
	OPT_SEED,
	OPT_TIMEOUT,
	OPT_DEADLINE,
	OPT_BODY_BYTES,
	OPT_ANSWER_BYTES,
	OPT_CONNECTIONS,
	OPT_MAX_OPEN,
	OPT_DIRECT,
	OPT_HISTORY,
	OPT_REPORT,
	OPT_SVG,
	OPT_HEADER,
	OPT_FAULT,
};

static const struct argp_option arg_options[] = {
	{ "name", 'n', "NAME", 0, "prefix of request ids (load)", 0 },
	{ "to", 't', "[SERVICE=]ADDRESS:PORT", 0,
	  "daemon (or target with --direct); repeatable", 0 },
	{ "services", 's', "NAME:PREFIX:SHARE[:keyed][:header=NAME],...", 0,
	  "services; keyed: honours Idempotency-Key; header: carries the key",
	  0 },
	{ "rate", OPT_RATE, "N", 0, "mean arrivals a second (100)", 0 },
	{ "seconds", OPT_SECONDS, "S", 0, "length of the load (10)", 0 },
	{ "keys", OPT_KEYS, "N", 0, "number of keys of each service (1000)",
	  0 },
	{ "skew", OPT_SKEW, "X", 0,
	  "Zipf exponent of the popularity of keys (0.8)", 0 },
	{ "hot-shift-s", OPT_HOT_SHIFT, "S", 0,
	  "period at which popular keys change", 0 },
	{ "post-share", OPT_POST_SHARE, "X", 0, "share of POST requests (0.3)",
	  0 },
	{ "idempotency-key-share", OPT_IDEMPOTENCY_KEY_SHARE, "X", 0,
	  "share of POST requests with an Idempotency-Key (0.2)", 0 },
	{ "tenants", OPT_TENANTS, "N", 0, "number of tenants (10)", 0 },
	{ "seed", OPT_SEED, "N", 0, "seed of the random numbers (1)", 0 },
	{ "timeout-ms", OPT_TIMEOUT, "MS", 0, "timeout of a request (10000)",
	  0 },
	{ "deadline-ms", OPT_DEADLINE, "MS", 0,
	  "value of Monsoonpin-Deadline-Ms", 0 },
	{ "body-bytes", OPT_BODY_BYTES, "N", 0,
	  "size of the body of a POST (64)", 0 },
	{ "answer-bytes", OPT_ANSWER_BYTES, "N", 0,
	  "size of the answer that is asked for", 0 },
	{ "connections", OPT_CONNECTIONS, "N", 0,
	  "connections to one --to (256)", 0 },
	{ "max-open", OPT_MAX_OPEN, "N", 0, "most requests in flight (10000)",
	  0 },
	{ "direct", OPT_DIRECT, NULL, 0, "send straight to targets", 0 },
	{ "history", OPT_HISTORY, "FILE", 0,
	  "history of requests, as JSON lines", 0 },
	{ "report", OPT_REPORT, "FILE", 0, "text report (- is stdout)", 0 },
	{ "svg", OPT_SVG, "FILE", 0, "plot of latencies over time", 0 },
	{ "header", OPT_HEADER, "NAME:VALUE", 0, "header added to each request",
	  0 },
	{ "fault", OPT_FAULT, "NAME:SHARE", 0,
	  "share of requests that ask for this fault (Test-Fault)", 0 },
	{ 0 },
};

static double parse_number(struct argp_state *state, const char *text,
			   double min, double max)
{
	char *end;
	double n = strtod(text, &end);

	if (end == text || *end || !(n >= min && n <= max))
		argp_error(state, "%s: not a number from %g to %g", text, min,
			   max);
	return n;
}

static int parse_int(struct argp_state *state, const char *text, int min,
		     int max)
{
	return (int)parse_number(state, text, min, max);
}

static void copy_name(struct argp_state *state, char *out, const char *text)
{
	if (g_strlcpy(out, text, LOAD_NAME_BYTES) >= LOAD_NAME_BYTES)
		argp_error(state, "%s: too long", text);
}

static void parse_service(struct argp_state *state, const char *text)
{
	struct load_options *o = state->input;
	struct load_service *s = &o->services[o->service_count];
	char **part = g_strsplit(text, ":", -1);

	if (o->service_count == LOAD_MAX_SERVICES || g_strv_length(part) < 3 ||
	    part[1][0] != '/' || !g_str_has_suffix(part[1], "/"))
		argp_error(state, "%s: not NAME:/PREFIX/:SHARE, or too many",
			   text);
	memset(s, 0, sizeof(*s));
	copy_name(state, s->name, part[0]);
	copy_name(state, s->prefix, part[1]);
	s->share = parse_number(state, part[2], 0, 1e9);
	for (char **flag = part + 3; *flag; flag++) {
		if (strcmp(*flag, "keyed") == 0)
			s->honours_idempotency_key = 1;
		else if (g_str_has_prefix(*flag, "header="))
			copy_name(state, s->key_header,
				  *flag + strlen("header="));
		else
			argp_error(state, "%s: unknown flag of a service",
				   *flag);
	}
	o->service_count++;
	g_strfreev(part);
}

static void parse_services(struct argp_state *state, const char *text)
{
	char **items = g_strsplit(text, ",", -1);

	for (char **i = items; *i; i++)
		parse_service(state, *i);
	g_strfreev(items);
}

static void parse_destination(struct argp_state *state, const char *text)
{
	struct load_options *o = state->input;
	char **part = g_strsplit(text, "=", 2);
	struct load_destination *t = &o->destinations[o->destination_count];

	if (o->destination_count == LOAD_MAX_DESTINATIONS)
		argp_error(state, "more than %d --to", LOAD_MAX_DESTINATIONS);
	memset(t, 0, sizeof(*t));
	if (part[0] && part[1])
		copy_name(state, t->service, part[0]);
	copy_name(state, t->address, part[0] && part[1] ? part[1] : text);
	o->destination_count++;
	g_strfreev(part);
}

static void parse_header(struct argp_state *state, char *text)
{
	struct load_options *o = state->input;
	char *colon = strchr(text, ':');

	if (!colon || o->header_count == LOAD_MAX_HEADERS) {
		argp_error(state, "%s: not NAME:VALUE, or too many", text);
		return;
	}
	*colon = '\0';
	o->headers[o->header_count].name = text;
	o->headers[o->header_count].value = colon + 1;
	o->header_count++;
}

static void parse_fault(struct argp_state *state, const char *text)
{
	struct load_options *o = state->input;
	char **part = g_strsplit(text, ":", 2);

	if (o->fault_count == LOAD_MAX_FAULTS || g_strv_length(part) != 2)
		argp_error(state, "%s: not NAME:SHARE, or too many", text);
	copy_name(state, o->faults[o->fault_count].name, part[0]);
	o->faults[o->fault_count].share = parse_number(state, part[1], 0, 1);
	o->fault_count++;
	g_strfreev(part);
}

static error_t parse_load_option(int key, char *arg, struct argp_state *state)
{
	struct load_options *o = state->input;

	switch (key) {
	case OPT_RATE:
		o->rate = parse_number(state, arg, 0.01, 1e6);
		return 0;
	case OPT_SECONDS:
		o->seconds = parse_number(state, arg, 0.1, 1e6);
		return 0;
	case OPT_KEYS:
		o->key_count = parse_int(state, arg, 1, LOAD_MAX_KEYS);
		return 0;
	case OPT_SKEW:
		o->zipf_exponent = parse_number(state, arg, 0, 10);
		return 0;
	case OPT_HOT_SHIFT:
		o->hot_shift_s = parse_number(state, arg, 0, 1e6);
		return 0;
	case OPT_POST_SHARE:
		o->post_share = parse_number(state, arg, 0, 1);
		return 0;
	case OPT_IDEMPOTENCY_KEY_SHARE:
		o->idempotency_key_share = parse_number(state, arg, 0, 1);
		return 0;
	case OPT_TENANTS:
		o->tenant_count = parse_int(state, arg, 1, 1000000);
		return 0;
	case OPT_SEED:
		o->seed = parse_int(state, arg, 0, INT_MAX);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static error_t parse_limit_option(int key, char *arg, struct argp_state *state)
{
	struct load_options *o = state->input;

	switch (key) {
	case OPT_TIMEOUT:
		o->timeout_ms = parse_int(state, arg, 1, 600000);
		return 0;
	case OPT_DEADLINE:
		o->deadline_ms = parse_int(state, arg, 0, 600000);
		return 0;
	case OPT_BODY_BYTES:
		o->body_bytes = parse_int(state, arg, 0, 64 * 1024 * 1024);
		return 0;
	case OPT_ANSWER_BYTES:
		o->answer_bytes =
			parse_int(state, arg, 0, COMMON_ANSWER_MAX_BYTES);
		return 0;
	case OPT_CONNECTIONS:
		o->connections = parse_int(state, arg, 1, 10000);
		return 0;
	case OPT_MAX_OPEN:
		o->max_open = parse_int(state, arg, 1, 1000000);
		return 0;
	default:
		return parse_load_option(key, arg, state);
	}
}

static void check_options(const struct load_options *o,
			  struct argp_state *state)
{
	if (!o->destination_count || !o->service_count)
		argp_error(state, "--to and --services are required");
	for (int i = 0; i < o->service_count; i++) {
		int has_destination = 0;

		for (int j = 0; j < o->destination_count; j++)
			has_destination |= !o->destinations[j].service[0] ||
					   strcmp(o->destinations[j].service,
						  o->services[i].name) == 0;
		if (!has_destination)
			argp_error(state, "no --to for service %s",
				   o->services[i].name);
	}
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct load_options *o = state->input;

	switch (key) {
	case 'n':
		if (strlen(arg) >= LOAD_NAME_BYTES)
			argp_error(state, "%s: too long", arg);
		o->name = arg;
		return 0;
	case 't':
		parse_destination(state, arg);
		return 0;
	case 's':
		parse_services(state, arg);
		return 0;
	case OPT_DIRECT:
		o->direct = 1;
		return 0;
	case OPT_HISTORY:
		o->history = arg;
		return 0;
	case OPT_REPORT:
		o->report = arg;
		return 0;
	case OPT_SVG:
		o->svg = arg;
		return 0;
	case OPT_HEADER:
		parse_header(state, arg);
		return 0;
	case OPT_FAULT:
		parse_fault(state, arg);
		return 0;
	case ARGP_KEY_END:
		check_options(o, state);
		return 0;
	default:
		return parse_limit_option(key, arg, state);
	}
}

static const struct argp arg_parser = {
	arg_options, parse_option,
	NULL,	     "Open-loop load generator of monsoonpin for tests.",
	NULL,	     NULL,
	NULL
};

void common_loadopt_parse(struct load_options *o, int argc, char **argv)
{
	*o = (struct load_options){ .name = "load",
				    .rate = 100,
				    .seconds = 10,
				    .key_count = 1000,
				    .zipf_exponent = 0.8,
				    .post_share = 0.3,
				    .idempotency_key_share = 0.2,
				    .tenant_count = 10,
				    .seed = 1,
				    .timeout_ms = 10000,
				    .body_bytes = 64,
				    .connections = 256,
				    .max_open = 10000,
				    .report = "-" };
	argp_parse(&arg_parser, argc, argv, 0, NULL, o);
}
