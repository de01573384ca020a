#include "daemon/node.h"
#include "common/buf.h"
#include "common/guard.h"
#include "common/log.h"

#include <argp.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/random.h>
#include <sys/stat.h>
#include <time.h>

#define EXIT_USAGE 2

const char *argp_program_version = "mpind 0.1";
static const char doc[] =
	"mpind -- routes requests to the server that owns their key.\v"
	"SIGTERM and SIGINT start a planned stop: slots move away, requests in "
	"flight end, then the daemon exits. SIGHUP does the same for a "
	"restart: slots wait for the service's restart_grace_ms. Exit status "
	"is 0 after a planned stop, 1 if the daemon cannot start, 2 for wrong "
	"usage or settings.";

static const struct argp_option options[] = {
	{ "config", 'c', "FILE", 0, "read the settings from FILE (TOML)", 0 },
	{ "check-config", 'C', NULL, 0, "check the settings and exit", 0 },
	{ "describe-config", 'D', NULL, 0, "list all settings and exit", 0 },
	{ 0 },
};

struct arguments {
	const char *config;
	int check;
	int describe;
};

static error_t parse_option(int key, char *value, struct argp_state *state)
{
	struct arguments *a = state->input;

	switch (key) {
	case 'c':
		a->config = value;
		return 0;
	case 'C':
		a->check = 1;
		return 0;
	case 'D':
		a->describe = 1;
		return 0;
	case ARGP_KEY_END:
		if (!a->config && !a->describe)
			argp_error(state, "--config is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = { options, parse_option, NULL, doc,
				  NULL,	   NULL,	 NULL };

/*
 * Period at which the settings file is checked for changes. A platform may
 * change it without sending a signal.
 */
#define SETTINGS_POLL_PERIOD_S 5.

struct daemon {
	struct node node;
	struct settings *settings;
	const char *settings_path;
	struct timespec settings_mtime; /* when last checked */
	ev_timer timer;
};

static int read_settings(struct settings *settings, const char *path,
			 struct buf *problems)
{
	return settings_read(settings, path, problems) == ERR_OK;
}

/*
 * Applies changes of the settings file. Settings that need a restart keep their
 * old values until then; settings with errors are not applied at all.
 */
static void reload_settings(struct daemon *d)
{
	struct settings newer;
	struct buf text;
	int changed_count;

	buf_init(&text);
	if (!read_settings(&newer, d->settings_path, &text)) {
		log_error("settings_refused", "problems=%s",
			  LOG_Q(buf_text(&text)));
		buf_finish(&text);
		return;
	}
	changed_count = settings_reload(d->settings, &newer, &text);
	log_setup(d->settings->name, d->settings->log_level);
	log_info("settings_reloaded", "changed=%d need_restart=%s",
		 changed_count, text.len ? LOG_Q(buf_text(&text)) : "-");
	buf_finish(&text);
}

/* Returns 1 if the settings file has changed since the last call. */
static int update_settings_mtime(struct daemon *d)
{
	struct stat st;

	if (stat(d->settings_path, &st) < 0)
		return 0;
	if (st.st_mtim.tv_sec == d->settings_mtime.tv_sec &&
	    st.st_mtim.tv_nsec == d->settings_mtime.tv_nsec)
		return 0;
	d->settings_mtime = st.st_mtim;
	return 1;
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	if (update_settings_mtime(w->data))
		reload_settings(w->data);
}

/*
 * SIGHUP means a planned stop for a restart with the project's own interface.
 * With a platform's interface it means that the settings have changed.
 */
static void on_signal(struct ev_loop *loop, ev_signal *w, int events)
{
	struct daemon *d = w->data;

	(void)loop;
	(void)events;
	step_enter("signal");
	if (w->signum == SIGHUP &&
	    d->settings->interface == SETTINGS_INTERFACE_PLATFORM) {
		update_settings_mtime(d);
		reload_settings(d);
		return;
	}
	node_stop(&d->node, w->signum == SIGHUP);
}

/* Reads the settings, or prints what is wrong with them and returns 0. */
static int read_settings_or_print(struct settings *settings, const char *path)
{
	struct buf problems;
	int ok;

	buf_init(&problems);
	ok = read_settings(settings, path, &problems);
	if (!ok)
		fputs(buf_text(&problems), stderr);
	buf_finish(&problems);
	return ok;
}

static int describe_settings(void)
{
	struct buf b;

	buf_init(&b);
	settings_describe(&b);
	fputs(buf_text(&b), stdout);
	buf_finish(&b);
	return 0;
}

static int run(struct settings *settings, const char *path)
{
	static const int signals[] = { SIGTERM, SIGINT, SIGHUP };
	struct ev_loop *loop = ev_default_loop(0);
	struct err_info info = { ERR_OK, "" };
	ev_signal watchers[3];
	struct daemon d = { .settings = settings, .settings_path = path };
	int status = 1;

	update_settings_mtime(&d);
	ev_timer_init(&d.timer, on_timer, SETTINGS_POLL_PERIOD_S,
		      SETTINGS_POLL_PERIOD_S);
	d.timer.data = &d;
	if (node_init(&d.node, loop, settings, &info) != ERR_OK) {
		log_error("start_failed", "error=%s detail=%s",
			  err_name(info.code), LOG_Q(info.detail));
		goto out;
	}
	for (int i = 0; i < 3; i++) {
		ev_signal_init(&watchers[i], on_signal, signals[i]);
		watchers[i].data = &d;
		ev_signal_start(loop, &watchers[i]);
	}
	if (settings->interface == SETTINGS_INTERFACE_PLATFORM)
		ev_timer_start(loop, &d.timer);
	log_info("started", "address=%s http=%d peer=%d admin=%d interface=%s",
		 settings->address, settings->http_port, settings->peer_port,
		 settings->admin_port, d.node.interface->name);
	ev_run(loop, 0);
	log_info("stopped", "restart=%d", d.node.restarting);
	status = 0;
out:
	node_finish(&d.node);
	ev_loop_destroy(loop);
	return status;
}

int main(int argc, char **argv)
{
	struct arguments args = { NULL, 0, 0 };
	struct settings settings;
	unsigned seed = 0;
	int status;

	argp_err_exit_status = EXIT_USAGE;
	if (argp_parse(&argp, argc, argv, 0, NULL, &args))
		return EXIT_USAGE;
	if (args.describe)
		return describe_settings();
	if (!read_settings_or_print(&settings, args.config))
		return EXIT_USAGE;
	if (args.check)
		return 0;
	log_setup(settings.name, settings.log_level);
	if (getrandom(&seed, sizeof(seed), 0) == sizeof(seed))
		srandom(seed);
	guard_from_environment();
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	status = run(&settings, args.config);
	curl_global_cleanup();
	return status;
}
