#include "routing/dialect.h"

#include <strings.h>

static const unsigned native_refused_statuses[] = { 0 };

const struct dialect dialect_native = {
	.deadline = "Monsoonpin-Deadline-Ms",
	.tenant = "Monsoonpin-Tenant",
	.fence = "Monsoonpin-Fence",
	.slot = "Monsoonpin-Slot",
	.not_after = "Monsoonpin-Not-After",
	.attempt = "Monsoonpin-Attempt",
	.refused = "Monsoonpin-Refused",
	.rate_limit = "Monsoonpin-Rate-Limit",
	.leaving = "Monsoonpin-Leaving",
	.refused_statuses = native_refused_statuses,
	.adds_outcome_headers = 1,
};

int dialect_sets_header(const struct dialect *d, const char *name)
{
	const char *const names[] = { d->deadline, d->fence,
				      d->slot,	   d->not_after,
				      d->attempt,  d->expected_target,
				      d->caller };

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (names[i] && strcasecmp(names[i], name) == 0)
			return 1;
	}
	return 0;
}
