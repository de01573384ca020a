#include "daemon/interface.h"
#include "protocol/frame.h"
#include "transport/addr.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TARGET_MAX_CONCURRENCY 100000
#define TARGET_MAX_COLD_MS 600000

static const struct {
	const char *name;
	uint32_t bit;
} checks[] = {
	{ "fence", CHECK_FENCE },
	{ "deadline", CHECK_DEADLINE },
	{ "sender", CHECK_SENDER },
};

static enum err parse_checks(json_t *list, uint32_t *bits)
{
	size_t i;
	json_t *item;

	*bits = 0;
	if (!list)
		return ERR_OK;
	if (!json_is_array(list))
		return ERR_TYPE;
	json_array_foreach(list, i, item) {
		const char *name = json_string_value(item);
		uint32_t bit = 0;

		for (size_t k = 0; name && k < 3; k++) {
			if (strcmp(name, checks[k].name) == 0)
				bit = checks[k].bit;
		}
		if (!bit)
			return ERR_RANGE;
		*bits |= bit;
	}
	return ERR_OK;
}

/* Checks that value is from 1 to max. */
static enum err check_range(json_int_t value, json_int_t max, const char *name,
			    struct err_info *info)
{
	if (value >= 1 && value <= max)
		return ERR_OK;
	return err_set(info, ERR_RANGE, "%s must be 1 to %lld", name,
		       (long long)max);
}

static enum err read_fields(json_t *root, struct announcement *a,
			    struct err_info *info)
{
	struct sockaddr_in sa;
	json_int_t port, concurrency, connections = 0, cold_ms = 0;
	const char *service, *address;
	json_t *list = NULL;
	json_error_t error;
	enum err e;

	if (json_unpack_ex(root, &error, 0, "{s:s,s:s,s:I,s:I,s?I,s?o,s?I}",
			   "service", &service, "address", &address, "port",
			   &port, "concurrency", &concurrency, "connections",
			   &connections, "checks", &list, "cold_ms",
			   &cold_ms) < 0)
		return err_set(info, ERR_MALFORMED, "%s", error.text);
	e = check_range(port, 65535, "port", info);
	if (e == ERR_OK)
		e = check_range(concurrency, TARGET_MAX_CONCURRENCY,
				"concurrency", info);
	if (e != ERR_OK)
		return e;
	if (cold_ms < 0 || cold_ms > TARGET_MAX_COLD_MS)
		return err_set(info, ERR_RANGE, "cold_ms must be 0 to %d",
			       TARGET_MAX_COLD_MS);
	if (connections < concurrency)
		connections = concurrency;
	if (!service[0] || strlen(service) >= sizeof(a->service))
		return err_set(info, ERR_RANGE, "service: 1 to %d bytes",
			       DOC_NAME_BYTES - 1);
	if (strlen(address) >= sizeof(a->address) ||
	    addr_parse(&sa, address, (unsigned)port) != ERR_OK)
		return err_set(info, ERR_RANGE, "address must be an IP number");
	if (parse_checks(list, &a->checks) != ERR_OK)
		return err_set(info, ERR_RANGE,
			       "checks: any of fence, deadline, sender");
	snprintf(a->service, sizeof(a->service), "%s", service);
	snprintf(a->address, sizeof(a->address), "%s", address);
	a->port = (unsigned)port;
	a->concurrency = (uint32_t)concurrency;
	a->cold_ms = (uint32_t)cold_ms;
	a->connections = (uint32_t)connections;
	return ERR_OK;
}

static enum err read_announcement(const char *id, const char *text, size_t len,
				  struct announcement *out,
				  struct err_info *info)
{
	json_error_t error;
	json_t *root = json_loadb(text, len, 0, &error);
	enum err e;

	(void)id;
	memset(out, 0, sizeof(*out));
	if (!root)
		return err_set(info, ERR_MALFORMED, "%s", error.text);
	e = read_fields(root, out, info);
	json_decref(root);
	return e;
}

static enum target_call match_target_call(const char *method, const char *path,
					  char *id, size_t id_size)
{
	(void)id_size;
	id[0] = 0;
	if (strcmp(path, "/announce") != 0)
		return TARGET_CALL_NONE;
	if (!strcmp(method, "POST"))
		return TARGET_CALL_ANNOUNCE;
	return !strcmp(method, "DELETE") ? TARGET_CALL_LEAVE : TARGET_CALL_NONE;
}

static void write_answer(const struct announce_answer *a, struct buf *out)
{
	(void)a;
	buf_addf(out, "announced\n");
}

const struct interface interface_own = {
	.name = "own",
	.open_store = etcd_open,
	.dialect = &dialect_native,
	.match_target_call = match_target_call,
	.read_announcement = read_announcement,
	.write_answer = write_answer,
	.ready_path = "/healthz",
};
