#include "membership/record.h"
#include "transport/addr.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int is_port(json_int_t port)
{
	return port >= 1 && port <= 65535;
}

enum err record_parse(struct record *r, const uint8_t *text, size_t len)
{
	json_t *root = json_loadb((const char *)text, len, 0, NULL);
	const char *node, *address, *incarnation, *era = NULL;
	json_int_t term, peer_port, admin_port;
	struct sockaddr_in sa;
	enum err e = ERR_MALFORMED;

	memset(r, 0, sizeof(*r));
	if (!root)
		return ERR_MALFORMED;
	if (json_unpack(root, "{s:I,s:s,s:s,s:s,s:I,s:I,s?s}", "term", &term,
			"node", &node, "incarnation", &incarnation, "address",
			&address, "peer_port", &peer_port, "admin_port",
			&admin_port, "state_era", &era) < 0)
		goto out;
	if (strlen(node) >= sizeof(r->node) ||
	    strlen(address) >= sizeof(r->address) || term < 1 ||
	    term > RECORD_MAX_TERM)
		goto out;
	if (!is_port(peer_port) || (admin_port && !is_port(admin_port)) ||
	    addr_parse(&sa, address, (unsigned)peer_port) != ERR_OK)
		goto out;
	r->term = (uint64_t)term;
	snprintf(r->node, sizeof(r->node), "%s", node);
	snprintf(r->address, sizeof(r->address), "%s", address);
	r->incarnation = strtoull(incarnation, NULL, 16);
	r->peer_port = (unsigned)peer_port;
	r->admin_port = (unsigned)admin_port;
	r->state_era = era ? strtoull(era, NULL, 16) : RECORD_ANY_ERA;
	e = ERR_OK;
out:
	json_decref(root);
	return e;
}

enum err record_write(const struct record *r, struct buf *out)
{
	char incarnation[20], era[20];
	json_t *root;
	char *text;
	enum err e;

	snprintf(incarnation, sizeof(incarnation), "%016llx",
		 (unsigned long long)r->incarnation);
	snprintf(era, sizeof(era), "%016llx", (unsigned long long)r->state_era);
	root = json_pack("{s:I,s:s,s:s,s:s,s:I,s:I,s:s}", "term",
			 (json_int_t)r->term, "node", r->node, "incarnation",
			 incarnation, "address", r->address, "peer_port",
			 (json_int_t)r->peer_port, "admin_port",
			 (json_int_t)r->admin_port, "state_era", era);
	if (!root)
		return ERR_NOMEM;
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	if (!text)
		return ERR_NOMEM;
	e = buf_add(out, text, strlen(text));
	free(text);
	return e;
}

int record_is_restored(const struct record *r)
{
	return r->mod_revision && r->read_era &&
	       r->state_era != RECORD_ANY_ERA && r->state_era != r->read_era;
}

int record_same_writer(const struct record *a, const struct record *b)
{
	return a->term == b->term && a->incarnation == b->incarnation &&
	       strcmp(a->node, b->node) == 0;
}
