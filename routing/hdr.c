#include "routing/hdr.h"

#include <stddef.h>
#include <string.h>
#include <strings.h>

#define HDR_ROUTER_PREFIX "Monsoonpin-"

static const char *const not_forwarded[] = {
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Proxy-Authorization",
	"Proxy-Authenticate",
	"TE",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Content-Length",
	"Expect",
};

static int is_token_char(unsigned char c)
{
	if (c <= ' ' || c >= 0x7f)
		return 0;
	return !strchr("\"(),/:;<=>?@[\\]{}", c);
}

int hdr_is_token(const char *s)
{
	if (!*s)
		return 0;
	for (; *s; s++)
		if (!is_token_char((unsigned char)*s))
			return 0;
	return 1;
}

int hdr_value_is_valid(const char *s)
{
	for (; *s; s++) {
		unsigned char c = (unsigned char)*s;

		if ((c < ' ' && c != '\t') || c == 0x7f)
			return 0;
	}
	return 1;
}

int hdr_target_is_valid(const char *s)
{
	if (*s != '/')
		return 0;
	for (; *s; s++) {
		unsigned char c = (unsigned char)*s;

		if (c <= ' ' || c >= 0x7f || c == '#')
			return 0;
	}
	return 1;
}

/* Returns 1 if the comma-separated list contains the name in any case. */
static int is_listed(const char *list, const char *name)
{
	size_t len = strlen(name);

	while (*list) {
		size_t n;

		list += strspn(list, ", \t");
		n = strcspn(list, ", \t");
		if (n == len && strncasecmp(list, name, n) == 0)
			return 1;
		list += n;
	}
	return 0;
}

int hdr_is_forwardable(const char *name, const char *connection)
{
	if (strncasecmp(name, HDR_ROUTER_PREFIX,
			sizeof(HDR_ROUTER_PREFIX) - 1) == 0)
		return 0;
	for (size_t i = 0; i < sizeof(not_forwarded) / sizeof(not_forwarded[0]);
	     i++)
		if (strcasecmp(name, not_forwarded[i]) == 0)
			return 0;
	return !connection || !is_listed(connection, name);
}
