#include "routing/hdr.h"

#include <stddef.h>
#include <string.h>
#include <strings.h>

#define HDR_OWN_PREFIX "Monsoonpin-"

static const char *const dropped[] = {
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

/* Is the name an element of the comma-separated list? */
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
	if (strncasecmp(name, HDR_OWN_PREFIX, sizeof(HDR_OWN_PREFIX) - 1) == 0)
		return 0;
	for (size_t i = 0; i < sizeof(dropped) / sizeof(dropped[0]); i++)
		if (strcasecmp(name, dropped[i]) == 0)
			return 0;
	return !connection || !is_listed(connection, name);
}
