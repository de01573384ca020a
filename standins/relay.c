#include "standins/common_relay.h"

#include <argp.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <sys/resource.h>

struct options {
	guint64 control;
	GPtrArray *forwards;
};

enum { OPT_CONTROL = 256, OPT_FORWARD };

static const struct argp_option option_table[] = {
	{ "control", OPT_CONTROL, "PORT", 0,
	  "TCP port of the control commands (1 to 65535)", 0 },
	{ "forward", OPT_FORWARD, "LISTENPORT:ADDRESS:PORT[:udp]", 0,
	  "What to forward; repeatable, up to 200", 0 },
	{ 0 }
};

static error_t parse_option(int key, char *text, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case OPT_CONTROL:
		if (!g_ascii_string_to_unsigned(text, 10, 1, 65535, &o->control,
						NULL))
			argp_error(state, "--control: %s (1 to 65535)", text);
		return 0;
	case OPT_FORWARD:
		g_ptr_array_add(o->forwards, text);
		return 0;
	case ARGP_KEY_END:
		if (!o->control)
			argp_error(state, "--control is required");
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

/* In silent mode, connections stay open for as long as the mode lasts. */
static void raise_file_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static enum err start_relay(struct relay *r, struct ev_loop *loop,
			    const struct options *o, struct err_info *info)
{
	enum err e = relay_init(r, loop, (unsigned)o->control, info);

	for (guint i = 0; e == ERR_OK && i < o->forwards->len; i++)
		e = relay_add(r, g_ptr_array_index(o->forwards, i), info);
	return e;
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		.options = option_table,
		.parser = parse_option,
		.doc = "TCP and UDP relay for tests that drops, delays, resets "
		       "or goes silent on command.",
	};
	struct options o = { 0, g_ptr_array_new() };
	struct ev_loop *loop = ev_default_loop(0);
	struct err_info info = { 0 };
	static struct relay relay;
	ev_signal on_int;
	ev_signal on_term;
	int status = 1;

	argp_parse(&argp, argc, argv, 0, NULL, &o);
	signal(SIGPIPE, SIG_IGN);
	raise_file_limit();
	if (start_relay(&relay, loop, &o, &info) != ERR_OK) {
		fprintf(stderr, "mpin-relay: %s: %s\n", err_name(info.code),
			info.detail);
		goto out;
	}
	ev_signal_init(&on_int, on_signal, SIGINT);
	ev_signal_init(&on_term, on_signal, SIGTERM);
	ev_signal_start(loop, &on_int);
	ev_signal_start(loop, &on_term);
	printf("ready control=%u forwards=%zu\n", (unsigned)o.control,
	       relay.forward_count);
	fflush(stdout);
	ev_run(loop, 0);
	status = 0;
out:
	relay_finish(&relay);
	g_ptr_array_unref(o.forwards);
	return status;
}
