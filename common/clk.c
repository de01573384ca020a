#include "common/clk.h"

#include <time.h>

static int64_t read_ns(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

int64_t clk_ns(void)
{
	return read_ns(CLOCK_BOOTTIME);
}

int64_t clk_ms(void)
{
	return clk_ns() / 1000000;
}

int64_t clk_wall_ms(void)
{
	return read_ns(CLOCK_REALTIME) / 1000000;
}
