#ifndef MEMBERSHIP_RECORD_H
#define MEMBERSHIP_RECORD_H

#include "common/buf.h"
#include "common/err.h"

#include <stdint.h>

/*
 * The coordinator record: names the elected coordinator and its term. It is
 * kept as JSON under the key "coord" in the store.
 */

#define RECORD_NAME_BYTES 64
/* Terms above this are malformed: later ones must fit into 63 bits as well. */
#define RECORD_MAX_TERM ((int64_t)1 << 62)

struct record {
	uint64_t term;
	char node[RECORD_NAME_BYTES];
	uint64_t incarnation; /* identifies the run of the node's daemon */
	char address[RECORD_NAME_BYTES];
	unsigned peer_port;
	unsigned admin_port;
	int64_t mod_revision; /* of the key in the store; 0: no record */
};

/*
 * Reads the JSON text into r; sets mod_revision to 0. Returns ERR_MALFORMED if
 * a field is missing, has the wrong type or is out of range.
 */
enum err record_parse(struct record *r, const uint8_t *text, size_t len);
/* Appends r as JSON to out. Returns ERR_NOMEM without memory. */
enum err record_write(const struct record *r, struct buf *out);
/* Returns 1 if the same run of the same node wrote both in the same term. */
int record_same_writer(const struct record *a, const struct record *b);

#endif
