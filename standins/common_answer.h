#ifndef STANDINS_COMMON_ANSWER_H
#define STANDINS_COMMON_ANSWER_H

#include "common/buf.h"

/*
 * Body of a target's answer: a line with the request id, the key, the number
 * of filler bytes and their checksum, then the filler bytes, which depend on
 * the request id. A truncated answer, or the answer to another request, never
 * equals the expected one.
 */

/* Largest number of filler bytes. */
#define COMMON_ANSWER_MAX_BYTES (8 * 1024 * 1024)

/*
 * Appends the answer to a request, with this number of filler bytes, to out.
 * Returns ERR_TOO_LARGE above COMMON_ANSWER_MAX_BYTES, or ERR_NOMEM.
 */
enum err common_answer_build(struct buf *out, const char *request,
			     const char *key, size_t bytes);
/* Returns 1 if data is the complete answer to this request and key, else 0. */
int common_answer_check(const void *data, size_t len, const char *request,
			const char *key);

#endif
