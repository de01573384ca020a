#include "common/err.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>

static const char *const names[ERR_COUNT] = {
	[ERR_OK] = "ok",
	[ERR_NOMEM] = "no_memory",
	[ERR_SYSTEM] = "system",
	[ERR_TIMEOUT] = "timeout",
	[ERR_CLOSED] = "closed",
	[ERR_REFUSED] = "refused",
	[ERR_MALFORMED] = "malformed",
	[ERR_TOO_LARGE] = "too_large",
	[ERR_RANGE] = "out_of_range",
	[ERR_UNKNOWN_KEY] = "unknown_key",
	[ERR_TYPE] = "wrong_type",
	[ERR_NOT_FOUND] = "not_found",
	[ERR_CONFLICT] = "conflict",
	[ERR_STORE_DOWN] = "store_down",
	[ERR_NOT_OWNER] = "not_owner",
	[ERR_NO_GRANT] = "no_grant",
	[ERR_RELEASING] = "releasing",
	[ERR_STALE] = "stale",
	[ERR_SHED] = "shed",
	[ERR_DEADLINE] = "deadline",
	[ERR_BUDGET] = "retry_budget",
	[ERR_NO_TARGET] = "no_target",
	[ERR_TARGET_REFUSED] = "target_refused",
	[ERR_INCOMPLETE] = "incomplete_answer",
	[ERR_NO_SERVICE] = "no_service",
	[ERR_NO_KEY] = "no_key",
	[ERR_NO_REGION] = "no_target_in_regions",
};

const char *err_name(enum err code)
{
	if ((unsigned)code >= ERR_COUNT)
		return "invalid";
	return names[code];
}

enum err err_from_socket(int error)
{
	if (error == ECONNREFUSED)
		return ERR_REFUSED;
	if (error == ETIMEDOUT)
		return ERR_TIMEOUT;
	return ERR_CLOSED;
}

enum err err_set(struct err_info *info, enum err code, const char *fmt, ...)
{
	va_list ap;

	if (!info)
		return code;
	info->code = code;
	va_start(ap, fmt);
	vsnprintf(info->detail, sizeof(info->detail), fmt, ap);
	va_end(ap);
	return code;
}
