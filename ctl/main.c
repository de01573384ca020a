#include "common/guard.h"
#include "config/opt.h"
#include "ctl/ctl.h"
#include "platform/document.h"
#include "platform/kv.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CHANGE_OPTIONS (CTL_TAKES_AUTHOR | CTL_TAKES_WAIT | CTL_OWN_DOCUMENT)
#define STOP_OPTIONS (CHANGE_OPTIONS | CTL_TAKES_DATA_CENTRE)

static const struct ctl_interface interface_platform = {
	"platform",
	kv_open,
	&platform_document,
};

static const struct ctl_interface *const interfaces[] = {
	&ctl_interface_own,
	&interface_platform,
};

const struct ctl_verb ctl_verbs[] = {
	{ "validate", "FILE", 1, 0, 0, "check a document", ctl_validate },
	{ "check", "FILE", 1, 0, CTL_TAKES_OFFLINE,
	  "look for entries of a document without effect", ctl_check },
	{ "diff", "FILE", 1, 1, CTL_OWN_DOCUMENT,
	  "compare the store's document with FILE", ctl_diff },
	{ "apply", "FILE", 1, 1, CHANGE_OPTIONS, "put a document into force",
	  ctl_apply },
	{ "status", "", 0, 1, 0, "show nodes and services", ctl_status },
	{ "drain", "NODE", 1, 1, STOP_OPTIONS, "plan a stop of a node",
	  ctl_drain },
	{ "undrain", "NODE", 1, 1, STOP_OPTIONS, "end a planned stop",
	  ctl_undrain },
	{ "forget", "NODE", 1, 1, 0,
	  "give up a silent node that may hold its slots", ctl_forget },
	{ "explain", "SERVICE KEY", 2, 1, 0, "show who owns a key, and why",
	  ctl_explain },
};

const size_t ctl_verb_count = sizeof(ctl_verbs) / sizeof(ctl_verbs[0]);

enum {
	KEY_STORE = 256,
	KEY_PREFIX,
	KEY_AUTHOR,
	KEY_WAIT,
	KEY_DATA_CENTRE,
	KEY_JSON,
	KEY_INTERFACE,
	KEY_OFFLINE,
};

static const struct argp_option options[] = {
	{ "store", KEY_STORE, "ENDPOINT", 0,
	  "The store, http://ADDRESS:PORT (default: MPIN_STORE)", 0 },
	{ "prefix", KEY_PREFIX, "PREFIX", 0,
	  "Prefix of the keys in the store (default: /mpin/)", 0 },
	{ "interface", KEY_INTERFACE, "NAME", 0,
	  "What the daemons run with, own or platform (default: "
	  "MPIN_INTERFACE, else own)",
	  0 },
	{ "json", KEY_JSON, NULL, 0, "Print the result as JSON", 0 },
	{ "author", KEY_AUTHOR, "NAME", 0, "Author of a change (default: USER)",
	  0 },
	{ "wait-s", KEY_WAIT, "SECONDS", 0,
	  "Time until a change must be in force; 0: do not wait (default: 6)",
	  0 },
	{ "data-centre", KEY_DATA_CENTRE, NULL, 0,
	  "NODE of drain and undrain is the name of a data centre", 0 },
	{ "offline", KEY_OFFLINE, NULL, 0,
	  "Do not compare with the store's document", 0 },
	{ 0 }
};

#define MAX_ARGS 4

/* What the command line says. */
struct command {
	struct ctl *c;
	const struct ctl_verb *verb;
	unsigned given_options; /* CTL_TAKES_... */
	char *args[MAX_ARGS];
	int arg_count;
};

static void select_verb(struct command *cmd, const char *name,
			struct argp_state *state)
{
	for (size_t i = 0; i < ctl_verb_count; i++) {
		if (!strcmp(ctl_verbs[i].name, name))
			cmd->verb = &ctl_verbs[i];
	}
	if (!cmd->verb)
		argp_error(state, "no such verb: %s", name);
}

static const struct ctl_interface *find_interface(const char *name)
{
	for (size_t i = 0; i < sizeof(interfaces) / sizeof(*interfaces); i++) {
		if (!strcmp(interfaces[i]->name, name))
			return interfaces[i];
	}
	return NULL;
}

static void select_interface(struct ctl *c, const char *name,
			     struct argp_state *state)
{
	c->interface = find_interface(name);
	if (!c->interface)
		argp_error(state, "--interface: %s (allowed: own, platform)",
			   name);
}

static const char *interface_from_environment(void)
{
	const char *name = getenv("MPIN_INTERFACE");

	return name ? name : ctl_interface_own.name;
}

static int parse_wait(const char *text, struct argp_state *state)
{
	char *end;
	long s = strtol(text, &end, 10);

	if (!*text || *end || s < 0 || s > CTL_MAX_WAIT_S)
		argp_error(state, "--wait-s: %s (0 to %d)", text,
			   CTL_MAX_WAIT_S);
	return (int)s * 1000;
}

static void check_author(const char *author, struct argp_state *state)
{
	size_t len = strlen(author);
	int valid = len >= 1 && len < DOC_NAME_BYTES;

	for (const char *p = author; *p; p++)
		valid = valid && (unsigned char)*p >= ' ' && *p != 0x7f;
	/* A name that is not UTF-8 cannot be written as JSON. */
	if (valid) {
		json_t *text = json_string(author);

		valid = text != NULL;
		json_decref(text);
	}
	if (!valid)
		argp_error(state,
			   "--author: 1 to %d bytes of UTF-8 without "
			   "control characters",
			   DOC_NAME_BYTES - 1);
}

static void check_command(const struct command *cmd, struct argp_state *state)
{
	const struct ctl *c = cmd->c;

	if (!cmd->verb) {
		argp_error(state, "a verb is missing");
		return;
	}
	if (cmd->arg_count != cmd->verb->arg_count)
		argp_error(state, "usage: mpinctl %s %s", cmd->verb->name,
			   cmd->verb->args);
	if (c->interface->document && cmd->verb->options & CTL_OWN_DOCUMENT)
		argp_error(state,
			   "%s: the document of interface %s is not "
			   "mpinctl's to change",
			   cmd->verb->name, c->interface->name);
	if (cmd->given_options & ~cmd->verb->options & CTL_TAKES_DATA_CENTRE)
		argp_error(state, "%s takes no --data-centre", cmd->verb->name);
	if (cmd->given_options & ~cmd->verb->options & CTL_TAKES_OFFLINE)
		argp_error(state, "%s takes no --offline", cmd->verb->name);
	if (cmd->given_options & ~cmd->verb->options)
		argp_error(state, "%s takes no --author and no --wait-s",
			   cmd->verb->name);
	if (cmd->verb->options & CTL_TAKES_AUTHOR)
		check_author(c->author, state);
	if (!cmd->verb->needs_store)
		return;
	if (!c->endpoint)
		argp_error(state, "--store or MPIN_STORE is required");
	else if (!opt_check_endpoint(c->endpoint))
		argp_error(state, "--store: %s (allowed: http://ADDRESS:PORT)",
			   c->endpoint);
	if (!opt_check_path_prefix(c->prefix) || strlen(c->prefix) >= 64)
		argp_error(state,
			   "--prefix: %s (allowed: at most 63 bytes, "
			   "starts and ends with '/')",
			   c->prefix);
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct command *cmd = state->input;

	switch (key) {
	case KEY_STORE:
		cmd->c->endpoint = arg;
		return 0;
	case KEY_PREFIX:
		cmd->c->prefix = arg;
		return 0;
	case KEY_INTERFACE:
		select_interface(cmd->c, arg, state);
		return 0;
	case KEY_JSON:
		cmd->c->json = 1;
		return 0;
	case KEY_AUTHOR:
		cmd->c->author = arg;
		cmd->given_options |= CTL_TAKES_AUTHOR;
		return 0;
	case KEY_WAIT:
		cmd->c->wait_ms = parse_wait(arg, state);
		cmd->given_options |= CTL_TAKES_WAIT;
		return 0;
	case KEY_DATA_CENTRE:
		cmd->c->data_centre = 1;
		cmd->given_options |= CTL_TAKES_DATA_CENTRE;
		return 0;
	case KEY_OFFLINE:
		cmd->c->offline = 1;
		cmd->given_options |= CTL_TAKES_OFFLINE;
		return 0;
	case ARGP_KEY_ARG:
		if (!cmd->verb)
			select_verb(cmd, arg, state);
		else if (cmd->arg_count < MAX_ARGS)
			cmd->args[cmd->arg_count++] = arg;
		return 0;
	case ARGP_KEY_INIT:
		select_interface(cmd->c, interface_from_environment(), state);
		return 0;
	case ARGP_KEY_END:
		check_command(cmd, state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Adds the list of verbs to the help text, in front of the options. */
static char *format_help(int key, const char *text, void *input)
{
	struct buf b;

	(void)input;
	if (key != ARGP_KEY_HELP_PRE_DOC)
		return (char *)text;
	buf_init(&b);
	buf_addf(&b, "%s\n\nVerbs:\n", text);
	for (size_t i = 0; i < ctl_verb_count; i++)
		buf_addf(&b, "  %-9s%-13s%s\n", ctl_verbs[i].name,
			 ctl_verbs[i].args, ctl_verbs[i].help);
	buf_text(&b);
	/* argp frees the text. */
	return (char *)b.data;
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.args_doc = "VERB [ARGUMENT...]",
		.doc = "Operators' client of monsoonpin.",
		.help_filter = format_help,
	};
	struct ctl c = { .endpoint = getenv("MPIN_STORE"),
			 .prefix = "/mpin/",
			 .author = getenv("USER"),
			 .wait_ms = CTL_DEFAULT_WAIT_S * 1000 };
	struct command cmd = { .c = &c };
	struct err_info info = { 0 };
	enum ctl_exit result;

	if (!c.author || !*c.author)
		c.author = "unknown";
	argp_err_exit_status = CTL_INVALID;
	guard_from_environment();
	argp_parse(&argp, argc, argv, 0, NULL, &cmd);
	signal(SIGPIPE, SIG_IGN);
	c.args = cmd.args;
	if (cmd.verb->needs_store && ctl_open(&c, &info) != ERR_OK) {
		ctl_error("%s: %s", err_name(info.code), info.detail);
		ctl_close(&c);
		return CTL_FAILED;
	}
	result = cmd.verb->run(&c);
	ctl_close(&c);
	if (fflush(stdout) || ferror(stdout))
		return CTL_FAILED;
	return result;
}
