#include "membership/drained.h"
#include "config/opt.h"

#include <string.h>

void drained_init(struct drained *d)
{
	d->count = 0;
}

/* Returns the index of the name; the number of names if it is not there. */
static size_t find_name(const struct drained *d, const char *name)
{
	size_t i = 0;

	while (i < d->count && strcmp(d->names[i], name) != 0)
		i++;
	return i;
}

int drained_has(const struct drained *d, const char *name)
{
	return find_name(d, name) < d->count;
}

enum err drained_add(struct drained *d, const char *name)
{
	size_t len = strlen(name);

	if (len >= DOC_NAME_BYTES || !opt_check_name(name))
		return ERR_MALFORMED;
	if (drained_has(d, name))
		return ERR_OK;
	if (d->count == DRAINED_MAX)
		return ERR_TOO_LARGE;
	memcpy(d->names[d->count++], name, len + 1);
	return ERR_OK;
}

int drained_remove(struct drained *d, const char *name)
{
	size_t i = find_name(d, name);

	if (i == d->count)
		return 0;
	d->count--;
	if (i < d->count)
		memcpy(d->names[i], d->names[d->count], DOC_NAME_BYTES);
	return 1;
}
