#include "config/settings.h"
#include "config/opt.h"
#include "config/toml.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

/* Bounds the nesting of dotted keys, which toml++ does not limit itself. */
#define SETTINGS_MAX_BYTES 16384
/* A forwarded body and its headers must fit into one frame of 16 MiB. */
#define SETTINGS_MAX_BODY_BYTES (16 * 1024 * 1024 - 64 * 1024)

static const char *const interfaces[] = { "own", "platform", NULL };
static const char *const log_levels[] = { "debug", "info", "warn", "error",
					  NULL };

#define FIELD(field) OPT_FIELD(struct settings, field)

static const struct opt settings_options[] = {
	{ .name = "node.name",
	  .type = OPT_TEXT,
	  FIELD(name),
	  .required = 1,
	  .check = opt_check_name,
	  .allowed = OPT_ALLOWED_NAME,
	  .description = "name of this node, unique in the fleet" },
	{ .name = "node.region",
	  .type = OPT_TEXT,
	  FIELD(region),
	  .required = 1,
	  .check = opt_check_name,
	  .allowed = OPT_ALLOWED_NAME,
	  .description = "region of the VM" },
	{ .name = "node.data_centre",
	  .type = OPT_TEXT,
	  FIELD(data_centre),
	  .required = 1,
	  .check = opt_check_name,
	  .allowed = OPT_ALLOWED_NAME,
	  .description = "data centre of the VM" },
	{ .name = "node.rack",
	  .type = OPT_TEXT,
	  FIELD(rack),
	  .check = opt_check_name_or_empty,
	  .allowed = OPT_ALLOWED_NAME,
	  .description = "rack of the VM, empty if unknown" },
	{ .name = "node.service",
	  .type = OPT_TEXT,
	  FIELD(service),
	  .check = opt_check_name_or_empty,
	  .allowed = OPT_ALLOWED_NAME,
	  .description = "service of the target on this VM, empty if unknown" },
	{ .name = "node.interface",
	  .type = OPT_CHOICE,
	  FIELD(interface),
	  .choices = interfaces,
	  .description = "whose names callers, targets and the store use" },
	{ .name = "listen.address",
	  .type = OPT_TEXT,
	  FIELD(address),
	  .required = 1,
	  .check = opt_check_ipv4,
	  .allowed = "an IPv4 number",
	  .description = "address to listen on; other nodes connect to it" },
	{ .name = "listen.http_port",
	  .type = OPT_PORT,
	  FIELD(http_port),
	  .min = 1,
	  .max = 65535,
	  .default_number = 8080,
	  .description = "TCP port for callers" },
	{ .name = "listen.peer_port",
	  .type = OPT_PORT,
	  FIELD(peer_port),
	  .min = 1,
	  .max = 65535,
	  .default_number = 8081,
	  .description = "TCP and UDP port for other daemons" },
	{ .name = "listen.advertise_peer_port",
	  .type = OPT_INT,
	  FIELD(advertise_peer_port),
	  .min = 0,
	  .max = 65535,
	  .description = "peer port told to others; 0: peer_port" },
	{ .name = "listen.admin_port",
	  .type = OPT_PORT,
	  FIELD(admin_port),
	  .min = 1,
	  .max = 65535,
	  .default_number = 8082,
	  .description = "TCP port for metrics, status and announcements" },
	{ .name = "listen.ready_port",
	  .type = OPT_PORT,
	  FIELD(ready_port),
	  .min = 0,
	  .max = 65535,
	  .description = "TCP port for readiness checks; 0: admin_port" },
	{ .name = "listen.control_port",
	  .type = OPT_PORT,
	  FIELD(control_port),
	  .min = 0,
	  .max = 65535,
	  .description = "TCP port for the target's calls; 0: admin_port" },
	{ .name = "store.endpoint",
	  .type = OPT_TEXT,
	  FIELD(store_endpoint),
	  .required = 1,
	  .check = opt_check_endpoint,
	  .allowed = "http://ADDRESS:PORT",
	  .description = "the platform's key-value store" },
	{ .name = "store.prefix",
	  .type = OPT_TEXT,
	  FIELD(store_prefix),
	  .default_text = "/mpin/",
	  .check = opt_check_path_prefix,
	  .allowed = "starts and ends with '/', no empty segment",
	  .description =
		  "prefix of all keys in the store, same for all nodes" },
	{ .name = "store.timeout_ms",
	  .type = OPT_INT,
	  FIELD(store_timeout_ms),
	  .min = 50,
	  .max = 60000,
	  .default_number = 1000,
	  .description = "bound for one store call" },
	{ .name = "target.announce_ms",
	  .type = OPT_TIME,
	  FIELD(announce_ms),
	  .min = 100,
	  .max = 60000,
	  .default_number = 2000,
	  .description = "period of the target's announcements" },
	{ .name = "target.hold_max_ms",
	  .type = OPT_TIME,
	  FIELD(hold_max_ms),
	  .min = 0,
	  .max = 60000,
	  .description = "longest time a target holds keys after an "
			 "announcement; 0: it holds none" },
	{ .name = "target.drain_ms",
	  .type = OPT_TIME,
	  FIELD(drain_ms),
	  .min = 0,
	  .max = 60000,
	  .description = "a leaving target gets nothing new after this time; "
			 "0: until its keys have moved" },
	{ .name = "target.empty_ms",
	  .type = OPT_TIME,
	  FIELD(empty_ms),
	  .min = 0,
	  .max = 60000,
	  .description = "the target of a data centre that is emptied gets "
			 "nothing new after this time; 0: until its keys have "
			 "moved" },
	{ .name = "target.adapt_concurrency",
	  .type = OPT_BOOL,
	  FIELD(adapt_concurrency),
	  .default_number = 1,
	  .description = "send fewer requests at a time than the target "
			 "announced when its answers slow down" },
	{ .name = "balance.spread",
	  .type = OPT_BOOL,
	  FIELD(spread),
	  .reloadable = 1,
	  .description = "for services without keys, choose among the targets "
			 "with room by weight instead of the best one" },
	{ .name = "limits.protect_calls",
	  .type = OPT_BOOL,
	  FIELD(protect_calls),
	  .description = "begin less new work while the calls that running "
			 "work makes find no room" },
	{ .name = "ownership.grant_ms",
	  .type = OPT_TIME,
	  FIELD(grant_ms),
	  .min = 0,
	  .max = 60000,
	  .description =
		  "length of a node's grant, same for all nodes; 0: 1100, "
		  "or four announcements where targets hold keys" },
	{ .name = "ownership.hold_ms",
	  .type = OPT_TIME,
	  FIELD(hold_ms),
	  .min = 0,
	  .max = 3600000,
	  .description =
		  "how long a node serves without store and coordinator, "
		  "same for all nodes; a silent node's keys may move after "
		  "it; 0: no end" },
	{ .name = "retries.ratio",
	  .type = OPT_REAL,
	  FIELD(retry_ratio),
	  .min = 0,
	  .max = 1,
	  .default_number = 0.1,
	  .reloadable = 1,
	  .description = "retries of the fleet as a share of the requests for "
			 "one service" },
	{ .name = "retries.slack",
	  .type = OPT_INT,
	  FIELD(retry_slack),
	  .min = 0,
	  .max = 1000000,
	  .default_number = 50,
	  .reloadable = 1,
	  .description = "retries of the fleet beyond that in one window" },
	{ .name = "retries.window_ms",
	  .type = OPT_TIME,
	  FIELD(retry_window_ms),
	  .min = 100,
	  .max = 600000,
	  .default_number = 10000,
	  .reloadable = 1,
	  .description = "window of the two limits above" },
	{ .name = "stop.grace_ms",
	  .type = OPT_TIME,
	  FIELD(grace_ms),
	  .min = 100,
	  .max = 600000,
	  .default_number = 30000,
	  .reloadable = 1,
	  .description = "time between SIGTERM and the end of the process" },
	{ .name = "stop.notice_ms",
	  .type = OPT_TIME,
	  FIELD(notice_ms),
	  .min = 0,
	  .max = 600000,
	  .reloadable = 1,
	  .description = "new requests are served for so long after SIGTERM, "
			 "while readiness checks send callers elsewhere; 0: "
			 "until the slots have moved" },
	{ .name = "limits.max_callers",
	  .type = OPT_INT,
	  FIELD(max_callers),
	  .min = 1,
	  .max = 65536,
	  .default_number = 1024,
	  .description = "open connections of callers" },
	{ .name = "limits.max_pipeline",
	  .type = OPT_INT,
	  FIELD(max_pipeline),
	  .min = 1,
	  .max = 1024,
	  .default_number = 16,
	  .description = "unanswered requests of one connection that are "
			 "worked on; further ones stay unread" },
	{ .name = "limits.max_held_bytes",
	  .type = OPT_INT,
	  FIELD(max_held_bytes),
	  .min = 1024,
	  .max = 1073741824,
	  .default_number = 1048576,
	  .description = "bytes of bodies and answers that one connection "
			 "holds; further requests stay unread" },
	{ .name = "limits.max_answer_bytes",
	  .type = OPT_INT,
	  FIELD(max_answer_bytes),
	  .min = 0,
	  .max = 1073741824,
	  .default_number = 0,
	  .description = "bytes of answers that are held for all callers; "
			 "routes with large answers are refused beyond it; "
			 "0: no limit" },
	{ .name = "limits.max_body_bytes",
	  .type = OPT_INT,
	  FIELD(max_body_bytes),
	  .min = 1024,
	  .max = SETTINGS_MAX_BODY_BYTES,
	  .default_number = 8388608,
	  .description = "upper bound for the document's limits.body_bytes" },
	{ .name = "limits.max_in_flight",
	  .type = OPT_INT,
	  FIELD(max_in_flight),
	  .min = 1,
	  .max = 65536,
	  .default_number = 1024,
	  .reloadable = 1,
	  .description = "requests that the ingress holds at one time" },
	{ .name = "limits.link_mbps",
	  .type = OPT_REAL,
	  FIELD(link_mbps),
	  .min = 0,
	  .max = 1000000,
	  .description =
		  "rate of this VM's line; other nodes offer bodies that "
		  "it carries slowly, and send them one after the other; "
		  "0: not known" },
	{ .name = "limits.stale_ms",
	  .type = OPT_TIME,
	  FIELD(stale_ms),
	  .min = 0,
	  .max = 600000,
	  .default_number = 5000,
	  .reloadable = 1,
	  .description = "requests are refused when map and document have not "
			 "been confirmed for so long; 0: never" },
	{ .name = "log.level",
	  .type = OPT_CHOICE,
	  FIELD(log_level),
	  .default_number = LOG_INFO,
	  .choices = log_levels,
	  .reloadable = 1,
	  .description = "lowest level that is logged" },
};

#define OPTION_COUNT (sizeof(settings_options) / sizeof(settings_options[0]))

/* State of the reading of one file. */
struct reader {
	struct settings *s;
	const char *file;
	struct buf *problems;
	struct buf reason;
	int line[OPTION_COUNT]; /* 0: not set in the file */
	enum err first_error;
};

static void set_first_error(struct reader *r, enum err e)
{
	if (r->first_error == ERR_OK)
		r->first_error = e;
}

static void add_group_names(struct buf *out)
{
	const char *last = "";

	for (size_t i = 0; i < OPTION_COUNT; i++) {
		size_t len = strcspn(settings_options[i].name, ".");

		if (!strncmp(last, settings_options[i].name, len + 1))
			continue;
		buf_addf(out, "%s[%.*s]", *last ? ", " : "", (int)len,
			 settings_options[i].name);
		last = settings_options[i].name;
	}
}

static void add_names_of_group(const char *group, size_t group_len,
			       struct buf *out)
{
	int is_first = 1;

	for (size_t i = 0; i < OPTION_COUNT; i++) {
		if (strncmp(settings_options[i].name, group, group_len + 1) !=
		    0)
			continue;
		buf_addf(out, "%s%s", is_first ? "" : ", ",
			 settings_options[i].name + group_len + 1);
		is_first = 0;
	}
}

static void report_unknown_setting(struct reader *r,
				   const struct toml_item *item)
{
	size_t len = strcspn(item->path, ".");
	char group[SETTINGS_NAME_BYTES];

	set_first_error(r, ERR_UNKNOWN_KEY);
	buf_addf(r->problems, "%s:%d: %s: unknown setting (allowed", r->file,
		 item->line, item->path);
	snprintf(group, sizeof(group), "%.*s", (int)len, item->path);
	if (len < sizeof(group) && item->path[len] == '.' &&
	    opt_is_group(settings_options, OPTION_COUNT, group)) {
		buf_addf(r->problems, " in [%s]: ", group);
		add_names_of_group(item->path, len, r->problems);
	} else {
		buf_addf(r->problems, ": ");
		add_group_names(r->problems);
	}
	buf_addf(r->problems, ")\n");
}

static int read_item(const struct toml_item *item, void *priv)
{
	struct reader *r = priv;
	const struct opt *o =
		opt_find(settings_options, OPTION_COUNT, item->path);
	enum err e;

	if (!o) {
		int group = opt_is_group(settings_options, OPTION_COUNT,
					 item->path);

		if (group && item->value.type == OPT_VALUE_TABLE)
			return 1;
		if (group) {
			buf_addf(r->problems,
				 "%s:%d: %s: is not a table (allowed: [%s])\n",
				 r->file, item->line, item->path, item->path);
			set_first_error(r, ERR_TYPE);
			return 0;
		}
		report_unknown_setting(r, item);
		return 0;
	}
	r->line[o - settings_options] = item->line;
	buf_reset(&r->reason);
	e = opt_store(o, &item->value, r->s, &r->reason);
	if (e != ERR_OK) {
		set_first_error(r, e);
		buf_addf(r->problems, "%s:%d: %s: %s\n", r->file, item->line,
			 item->path, buf_text(&r->reason));
	}
	return 0;
}

static void check_required(struct reader *r)
{
	for (size_t i = 0; i < OPTION_COUNT; i++) {
		if (!settings_options[i].required || r->line[i])
			continue;
		buf_addf(r->problems, "%s:1: %s: missing (required: ", r->file,
			 settings_options[i].name);
		opt_add_allowed(&settings_options[i], r->problems);
		buf_addf(r->problems, ")\n");
		set_first_error(r, ERR_NOT_FOUND);
	}
}

static void check_ports(struct reader *r)
{
	static const char *const names[] = {
		"listen.http_port",  "listen.peer_port",    "listen.admin_port",
		"listen.ready_port", "listen.control_port",
	};
	const int ports[] = { r->s->http_port, r->s->peer_port,
			      r->s->admin_port, r->s->ready_port,
			      r->s->control_port };

	for (int i = 1; i < 5; i++) {
		for (int j = 0; j < i; j++) {
			const struct opt *o = opt_find(settings_options,
						       OPTION_COUNT, names[i]);
			const struct opt *p = opt_find(settings_options,
						       OPTION_COUNT, names[j]);
			int line = r->line[o - settings_options];

			if (ports[i] != ports[j] || !ports[i])
				continue;
			if (r->line[p - settings_options] > line)
				line = r->line[p - settings_options];
			buf_addf(r->problems,
				 "%s:%d: %s: %d is also %s (allowed: "
				 "different ports)\n",
				 r->file, line ? line : 1, names[i], ports[i],
				 names[j]);
			set_first_error(r, ERR_RANGE);
		}
	}
}

enum err settings_parse(struct settings *s, const char *text, size_t len,
			const char *name, struct buf *problems)
{
	struct reader r = { .s = s, .file = name, .problems = problems };
	struct toml_syntax_error error;
	enum err e;

	memset(s, 0, sizeof(*s));
	opt_set_defaults(settings_options, OPTION_COUNT, s);
	if (len > SETTINGS_MAX_BYTES) {
		buf_addf(problems,
			 "%s:1: file: has %zu bytes (allowed: at most %d)\n",
			 name, len, SETTINGS_MAX_BYTES);
		return ERR_TOO_LARGE;
	}
	buf_init(&r.reason);
	e = toml_for_each(text, len, read_item, &r, &error);
	buf_finish(&r.reason);
	if (e == ERR_MALFORMED) {
		buf_addf(problems, "%s:%d: syntax: %s (allowed: TOML 1.0)\n",
			 name, error.line, error.text);
		return e;
	}
	if (e != ERR_OK)
		return e;
	check_required(&r);
	check_ports(&r);
	return r.first_error;
}

enum err settings_read(struct settings *s, const char *path,
		       struct buf *problems)
{
	/* One byte more lets settings_parse detect a file that is too large. */
	char text[SETTINGS_MAX_BYTES + 1];
	FILE *f = fopen(path, "re");
	size_t len;
	int failed;

	if (!f) {
		buf_addf(problems, "%s:1: file: cannot be opened: %s\n", path,
			 strerror(errno));
		return ERR_SYSTEM;
	}
	len = fread(text, 1, sizeof(text), f);
	failed = ferror(f);
	fclose(f);
	if (failed) {
		buf_addf(problems, "%s:1: file: cannot be read\n", path);
		return ERR_SYSTEM;
	}
	return settings_parse(s, text, len, path, problems);
}

int settings_reload(struct settings *s, const struct settings *newer,
		    struct buf *restart_needed)
{
	int changed = 0;

	for (size_t i = 0; i < OPTION_COUNT; i++) {
		const struct opt *o = &settings_options[i];
		char *field = (char *)s + o->offset;
		const char *from = (const char *)newer + o->offset;

		if (!memcmp(field, from, o->size))
			continue;
		if (o->reloadable) {
			memcpy(field, from, o->size);
			changed++;
		} else {
			buf_addf(restart_needed, "%s%s",
				 restart_needed->len ? " " : "", o->name);
		}
	}
	return changed;
}

void settings_describe(struct buf *out)
{
	for (size_t i = 0; i < OPTION_COUNT; i++)
		opt_describe(&settings_options[i], "", out);
}

int settings_grant_ms(const struct settings *s)
{
	if (s->grant_ms)
		return s->grant_ms;
	if (s->hold_max_ms)
		return SETTINGS_GRANT_ANNOUNCEMENTS * s->announce_ms;
	return 0;
}

unsigned settings_peer_port(const struct settings *s)
{
	return (unsigned)(s->advertise_peer_port ? s->advertise_peer_port
						 : s->peer_port);
}
