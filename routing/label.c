#include "routing/label.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void labels_init(struct labels *l)
{
	l->tenants = NULL;
}

void labels_finish(struct labels *l)
{
	struct label_tenant *t, *next;

	HASH_ITER(hh, l->tenants, t, next) {
		HASH_DEL(l->tenants, t);
		free(t);
	}
}

/* Replaces characters that would end a label or a line of the metrics. */
static void sanitize_name(char *to, size_t size, const char *from)
{
	size_t i;

	for (i = 0; i + 1 < size && from[i]; i++) {
		unsigned char c = (unsigned char)from[i];

		to[i] = isalnum(c) || strchr("._-", c) ? (char)c : '_';
	}
	to[i] = 0;
}

static const char *get_tenant_label(struct labels *l, const char *tenant)
{
	char name[sizeof(((struct label_tenant *)0)->name)];
	struct label_tenant *t;

	sanitize_name(name, sizeof(name), tenant);
	HASH_FIND_STR(l->tenants, name, t);
	if (t)
		return t->name;
	if (HASH_COUNT(l->tenants) >= LABEL_MAX_TENANTS)
		return "other";
	t = calloc(1, sizeof(*t));
	if (!t)
		return "other";
	memcpy(t->name, name, sizeof(name));
	HASH_ADD_STR(l->tenants, name, t);
	return t->name;
}

const char *labels_write(struct labels *l, const char *service,
			 const char *tenant, char out[LABEL_BYTES])
{
	char name[64];

	sanitize_name(name, sizeof(name), service);
	snprintf(out, LABEL_BYTES, "service=\"%s\",tenant=\"%s\"", name,
		 get_tenant_label(l, tenant));
	return out;
}
