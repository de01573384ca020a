#ifndef BENCH_COMMON_OUT_H
#define BENCH_COMMON_OUT_H

/*
 * Output of the benchmarks: lines "name value unit bound verdict". The verdict
 * is "ok" or "MISSED"; a figure without a bound has "-" for both. Bounds come
 * from the goals in docs/design.md or from theory, never from earlier results.
 */

/* Prints a figure without a bound. */
void out_value(const char *name, double value, const char *unit);
/* Prints a figure that may not exceed the bound. */
void out_max(const char *name, double value, const char *unit, double bound);
/* Prints a figure that may not fall below the bound. */
void out_min(const char *name, double value, const char *unit, double bound);
/* Returns the exit status of the program: 1 if a bound was missed, else 0. */
int out_status(void);

#endif
