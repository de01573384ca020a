#include "bench/common_out.h"

#include <stdio.h>

static int missed;

void out_value(const char *name, double value, const char *unit)
{
	printf("%s %.6g %s - -\n", name, value, unit);
}

static void print_bounded(const char *name, double value, const char *unit,
			  const char *sign, double bound, int ok)
{
	printf("%s %.6g %s %s%g %s\n", name, value, unit, sign, bound,
	       ok ? "ok" : "MISSED");
	missed |= !ok;
}

void out_max(const char *name, double value, const char *unit, double bound)
{
	print_bounded(name, value, unit, "<=", bound, value <= bound);
}

void out_min(const char *name, double value, const char *unit, double bound)
{
	print_bounded(name, value, unit, ">=", bound, value >= bound);
}

int out_status(void)
{
	return missed;
}
