#include "standins/common_relay.h"
#include "transport/addr.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define RELAY_IDLE_SECONDS 60
#define RELAY_MAX_BODY_BYTES 4096

static const char *const mode_names[] = { "pass",   "drop",  "reset",
					  "silent", "delay", NULL };
static const char *const dir_names[] = { "in", "out", "both", NULL };
static const char *const scope_names[] = { "all", "existing", "new", NULL };

/*
 * Returns the index of an argument's value in names, fallback if the argument
 * is absent, or -1 if the value is unknown.
 */
static int get_choice(const struct httpd_request *r, const char *argument,
		      const char *const *names, int fallback)
{
	const char *text = httpd_get_argument(r, argument);

	if (!text)
		return fallback;
	for (int i = 0; names[i]; i++) {
		if (strcmp(names[i], text) == 0)
			return i;
	}
	return -1;
}

/* Returns 0 if the argument is absent or not a number up to max. */
static int get_number(const struct httpd_request *r, const char *argument,
		      guint64 max, guint64 *out)
{
	const char *text = httpd_get_argument(r, argument);

	*out = 0;
	return text && g_ascii_string_to_unsigned(text, 10, 0, max, out, NULL);
}

static int matches_listen(const struct httpd_request *r,
			  const struct relay_forward *f)
{
	const char *text = httpd_get_argument(r, "listen");

	if (!text)
		return 0;
	return strcmp(text, "all") == 0 || strtoul(text, NULL, 10) == f->port;
}

void relay_set(struct relay_forward *f, enum relay_direction dir,
	       const struct relay_setting *setting, enum relay_scope scope)
{
	if (scope != RELAY_EXISTING)
		f->setting[dir] = *setting;
	if (scope == RELAY_NEW)
		return;
	if (f->is_udp)
		relay_udp_set_mode(f, dir, setting);
	else
		relay_tcp_set_mode(f, dir, setting);
}

static void answer_matches(struct httpd_request *r, int matches)
{
	if (matches)
		httpd_answer_text(r, 200, "text/plain", "ok\n");
	else
		httpd_answer_text(r, 404, "text/plain", "no such forward\n");
}

static void handle_set(struct relay *relay, struct httpd_request *r)
{
	int mode = get_choice(r, "mode", mode_names, -1);
	int dir = get_choice(r, "direction", dir_names, RELAY_DIRECTIONS);
	int scope = get_choice(r, "scope", scope_names, RELAY_ALL);
	struct relay_setting setting;
	guint64 ms;
	int matches = 0;

	if (mode < 0 || dir < 0 || scope < 0 ||
	    (!get_number(r, "ms", 3600000, &ms) && mode == RELAY_DELAY)) {
		httpd_answer_text(r, 400, "text/plain", "bad argument\n");
		return;
	}
	setting.mode = (enum relay_mode)mode;
	setting.delay_ms = (unsigned)ms;
	for (size_t i = 0; i < relay->forward_count; i++) {
		struct relay_forward *f = &relay->forwards[i];

		if (!matches_listen(r, f))
			continue;
		matches++;
		for (int d = 0; d < RELAY_DIRECTIONS; d++) {
			if (dir == RELAY_DIRECTIONS || dir == d)
				relay_set(f, (enum relay_direction)d, &setting,
					  (enum relay_scope)scope);
		}
	}
	answer_matches(r, matches);
}

static void handle_cut(struct relay *relay, struct httpd_request *r)
{
	int dir = get_choice(r, "direction", dir_names, RELAY_OUT);
	guint64 bytes;
	int matches = 0;

	if (dir != RELAY_IN && dir != RELAY_OUT) {
		httpd_answer_text(r, 400, "text/plain",
				  "direction is in or out\n");
		return;
	}
	if (!get_number(r, "after_bytes", G_MAXINT64, &bytes)) {
		httpd_answer_text(r, 400, "text/plain", "bad argument\n");
		return;
	}
	for (size_t i = 0; i < relay->forward_count; i++) {
		struct relay_forward *f = &relay->forwards[i];

		if (f->is_udp || !matches_listen(r, f))
			continue;
		f->bytes_until_cut[dir] = (int64_t)bytes;
		matches++;
	}
	answer_matches(r, matches);
}

static json_t *new_counts(const struct relay_forward *f)
{
	const struct relay_counts *n = &f->counts;

	return json_pack("{s:I, s:b, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}",
			 "listen", (json_int_t)f->port, "udp", f->is_udp,
			 "connections", (json_int_t)n->connections, "open",
			 (json_int_t)n->open, "bytes_in",
			 (json_int_t)n->bytes[RELAY_IN], "bytes_out",
			 (json_int_t)n->bytes[RELAY_OUT], "lost_in",
			 (json_int_t)n->lost[RELAY_IN], "lost_out",
			 (json_int_t)n->lost[RELAY_OUT], "cuts",
			 (json_int_t)n->cuts, "resets", (json_int_t)n->resets);
}

static void handle_counts(struct relay *relay, struct httpd_request *r)
{
	json_t *list = json_array();
	char *text;

	for (size_t i = 0; i < relay->forward_count; i++)
		json_array_append_new(list, new_counts(&relay->forwards[i]));
	text = json_dumps(list, JSON_COMPACT);
	httpd_answer_text(r, 200, "application/json", text);
	free(text);
	json_decref(list);
}

static int path_matches(const struct httpd_request *r, const char *path)
{
	size_t len = strcspn(r->path, "?");

	return strlen(path) == len && strncmp(r->path, path, len) == 0;
}

static void on_request(struct httpd_request *r, void *priv)
{
	if (path_matches(r, "/set"))
		handle_set(priv, r);
	else if (path_matches(r, "/cut"))
		handle_cut(priv, r);
	else if (path_matches(r, "/counts"))
		handle_counts(priv, r);
	else
		httpd_answer_text(r, 404, "text/plain", "no such command\n");
}

static const struct httpd_ops control_ops = { .request = on_request };

enum err relay_init(struct relay *r, struct ev_loop *loop, unsigned control,
		    struct err_info *info)
{
	memset(r, 0, sizeof(*r));
	r->loop = loop;
	return httpd_init(&r->httpd, loop, "127.0.0.1", control,
			  RELAY_MAX_BODY_BYTES, RELAY_IDLE_SECONDS,
			  &control_ops, r, info);
}

unsigned relay_bound_port(int fd)
{
	struct sockaddr_in sa = { 0 };
	socklen_t len = sizeof(sa);

	getsockname(fd, (struct sockaddr *)&sa, &len);
	return ntohs(sa.sin_port);
}

static enum err parse_port(const char *text, unsigned min, unsigned *port)
{
	guint64 n;

	if (!g_ascii_string_to_unsigned(text, 10, min, 65535, &n, NULL))
		return ERR_RANGE;
	*port = (unsigned)n;
	return ERR_OK;
}

static enum err parse_forward(struct relay_forward *f, char **parts)
{
	size_t count = g_strv_length(parts);
	unsigned port;

	if (count < 3 || count > 4 ||
	    (count == 4 && strcmp(parts[3], "udp") != 0))
		return ERR_MALFORMED;
	if (!g_str_has_prefix(parts[1], "127.") ||
	    parse_port(parts[0], 0, &f->port) != ERR_OK ||
	    parse_port(parts[2], 1, &port) != ERR_OK)
		return ERR_RANGE;
	f->is_udp = count == 4;
	return addr_parse(&f->target, parts[1], port);
}

enum err relay_add(struct relay *r, const char *spec, struct err_info *info)
{
	struct relay_forward *f = &r->forwards[r->forward_count];
	char **parts;
	enum err e;

	if (r->forward_count == RELAY_MAX_FORWARDS)
		return err_set(info, ERR_TOO_LARGE, "more than %d forwards",
			       RELAY_MAX_FORWARDS);
	memset(f, 0, sizeof(*f));
	f->loop = r->loop;
	f->bytes_until_cut[RELAY_IN] = -1;
	f->bytes_until_cut[RELAY_OUT] = -1;
	parts = g_strsplit(spec, ":", -1);
	e = parse_forward(f, parts);
	g_strfreev(parts);
	if (e != ERR_OK)
		return err_set(info, e,
			       "forward %s (LISTENPORT:127.x.x.x:PORT[:udp])",
			       spec);
	e = f->is_udp ? relay_udp_init(f, info) : relay_tcp_init(f, info);
	if (e == ERR_OK)
		r->forward_count++;
	return e;
}

void relay_finish(struct relay *r)
{
	httpd_finish(&r->httpd);
	for (size_t i = 0; i < r->forward_count; i++) {
		struct relay_forward *f = &r->forwards[i];

		if (f->is_udp)
			relay_udp_finish(f);
		else
			relay_tcp_finish(f);
	}
	r->forward_count = 0;
}
