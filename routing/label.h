#ifndef ROUTING_LABEL_H
#define ROUTING_LABEL_H

#include <stddef.h>
#include <uthash.h>

/*
 * Metric labels for a service and a tenant. Tenant names come from callers, so
 * their number has to be limited: the first LABEL_MAX_TENANTS get labels of
 * their own, all others share the label "other".
 */
#define LABEL_MAX_TENANTS 64
#define LABEL_BYTES 192 /* size of the text, its final 0 included */

struct label_tenant {
	char name[64];
	UT_hash_handle hh;
};

struct labels {
	struct label_tenant *tenants; /* hash table by name */
};

void labels_init(struct labels *l);
/* Frees all tenants; l is empty afterwards. */
void labels_finish(struct labels *l);
/*
 * Writes service="...",tenant="..." to out and returns out. In both names,
 * characters other than ASCII letters, digits, '.', '_' and '-' become '_'.
 * A new tenant gets the label "other" if memory runs out.
 */
const char *labels_write(struct labels *l, const char *service,
			 const char *tenant, char out[LABEL_BYTES]);

#endif
