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
#define RECORD_ANY_ERA UINT64_MAX
/* Terms above this are malformed: later ones must fit into 63 bits as well. */
#define RECORD_MAX_TERM ((int64_t)1 << 62)

struct record {
	uint64_t term;
	char node[RECORD_NAME_BYTES];
	uint64_t incarnation; /* identifies the run of the node's daemon */
	char address[RECORD_NAME_BYTES];
	unsigned peer_port;
	unsigned admin_port;
	/*
	 * Era of the store in which the map and the roster were known to be
	 * complete in it; 0: they have to be recovered first. It is
	 * RECORD_ANY_ERA in records of daemons that do not write it.
	 */
	uint64_t state_era;
	int64_t mod_revision; /* of the key in the store; 0: no record */
	uint64_t read_era;    /* of mod_revision; 0: not told */
};

/*
 * Reads the JSON text into r; sets mod_revision and read_era to 0. Returns
 * ERR_MALFORMED if a field is missing, has the wrong type or is out of range.
 */
enum err record_parse(struct record *r, const uint8_t *text, size_t len);
/* Appends r as JSON to out. Returns ERR_NOMEM without memory. */
enum err record_write(const struct record *r, struct buf *out);
/*
 * Returns 1 if the store was restored from a copy since its map and roster were
 * known to be complete.
 */
int record_is_restored(const struct record *r);
/* Returns 1 if the same run of the same node wrote both in the same term. */
int record_same_writer(const struct record *a, const struct record *b);

#endif
