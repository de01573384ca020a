#ifndef STANDINS_COMMON_HISTORY_H
#define STANDINS_COMMON_HISTORY_H

#include "common/err.h"

#include <jansson.h>
#include <stdio.h>

/*
 * Histories of callers and logs of targets: one JSON object a line. Times are
 * CLOCK_BOOTTIME in nanoseconds ("t_ns"), equal for all processes of one VM.
 */

/*
 * NULL if the file cannot be opened. With append, what it holds is kept: a
 * restarted target goes on with the log of its last run.
 */
FILE *common_history_open(const char *path, int append, struct err_info *info);
/*
 * Writes one line and drops the reference to it. With flush, the line is with
 * the kernel when this returns, so that SIGKILL does not lose it.
 */
void common_history_write(FILE *f, json_t *line, int flush);

/*
 * Calls fn for each line. A last line without its newline is skipped: its
 * writer was killed. ERR_MALFORMED names the first line that does not decode;
 * an error of fn ends the reading.
 */
enum err common_history_read(const char *path,
			     enum err (*fn)(const json_t *line, void *priv),
			     void *priv, struct err_info *info);

/* Members of a line; "" and fallback if absent or of another type. */
const char *common_history_get_text(const json_t *line, const char *name);
int64_t common_history_get_number(const json_t *line, const char *name,
				  int64_t fallback);
/* 1 true, 0 false, -1 absent. */
int common_history_get_flag(const json_t *line, const char *name);

#endif
