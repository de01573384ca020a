#include "config/settings.h"

#include <stdlib.h>
#include <string.h>

/*
 * Guards against a settings file that crashes the daemon, and against one that
 * is refused without a problem.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct buf problems;
	struct settings s;
	enum err e;

	buf_init(&problems);
	e = settings_parse(&s, (const char *)data, size, "fuzz.toml",
			   &problems);
	if ((e == ERR_OK) != (problems.len == 0))
		abort();
	/* Texts end within their fields, also if the file is refused. */
	if (strlen(s.name) >= sizeof(s.name) ||
	    strlen(s.store_endpoint) >= sizeof(s.store_endpoint))
		abort();
	buf_finish(&problems);
	return 0;
}
