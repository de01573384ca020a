#ifndef MEMBERSHIP_RECORD_H
#define MEMBERSHIP_RECORD_H

#include "common/buf.h"
#include "common/err.h"

#include <stdint.h>

/* The coordinator's record, JSON under "coord" in the store. */

#define RECORD_NAME_BYTES 64

struct record {
	uint64_t term;
	char node[RECORD_NAME_BYTES];
	uint64_t incarnation;
	char address[RECORD_NAME_BYTES];
	unsigned peer_port;
	unsigned admin_port;
	int64_t mod_revision; /* of the store; 0: there is no record */
};

enum err record_parse(struct record *r, const uint8_t *text, size_t len);
enum err record_write(const struct record *r, struct buf *out);
/* 1 if both were written by the same run of the same node in one term. */
int record_same_writer(const struct record *a, const struct record *b);

#endif
