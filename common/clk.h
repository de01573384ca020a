#ifndef COMMON_CLK_H
#define COMMON_CLK_H

#include <stdint.h>

/*
 * Return the time of CLOCK_BOOTTIME in milliseconds or nanoseconds. The clock
 * is monotonic, includes the time that a VM was suspended and is the same for
 * all processes of one VM.
 */
int64_t clk_ms(void);
int64_t clk_ns(void);

/*
 * Returns the wall clock in milliseconds since the epoch; for logs and records
 * only, since it may be set back.
 */
int64_t clk_wall_ms(void);

#endif
