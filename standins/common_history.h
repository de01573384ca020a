#ifndef STANDINS_COMMON_HISTORY_H
#define STANDINS_COMMON_HISTORY_H

#include "common/err.h"

#include <jansson.h>
#include <stdio.h>

/*
 * Files that hold the history of a caller or the log of a target: one JSON
 * object a line. Times ("t_ns") are CLOCK_BOOTTIME in nanoseconds, which all
 * processes of one VM share.
 */

/*
 * Opens a file for writing; returns NULL and fills info on failure. With
 * append, the file's content is kept, so that a restarted target continues
 * the log of its previous run.
 */
FILE *common_history_open(const char *path, int append, struct err_info *info);
/*
 * Writes one line and takes over the caller's reference to it. With flush, the
 * line is handed to the kernel before this returns, so that a SIGKILL does not
 * lose it.
 */
void common_history_write(FILE *f, json_t *line, int flush);

/*
 * Calls fn for each line. A last line without a newline is skipped: its writer
 * was killed. Returns ERR_SYSTEM if the file cannot be opened, ERR_MALFORMED
 * at the first line that is not a JSON object, or the first error that fn
 * returns, which ends the reading. info names the file and the line.
 */
enum err common_history_read(const char *path,
			     enum err (*fn)(const json_t *line, void *priv),
			     void *priv, struct err_info *info);

/* Returns a text member; "" if it is absent or not a text. */
const char *common_history_get_text(const json_t *line, const char *name);
/* Returns an integer member; fallback if it is absent or not an integer. */
int64_t common_history_get_number(const json_t *line, const char *name,
				  int64_t fallback);
/* Returns 1 for true, 0 for false, -1 if absent or not a boolean. */
int common_history_get_flag(const json_t *line, const char *name);

#endif
