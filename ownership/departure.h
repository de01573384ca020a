#ifndef OWNERSHIP_DEPARTURE_H
#define OWNERSHIP_DEPARTURE_H

#include "common/buf.h"
#include "common/err.h"

#include <stddef.h>
#include <stdint.h>

/*
 * Keeps account of which runs of the target beside this node have left, so that
 * none of them is given requests again, whichever daemon is restarted.
 *
 * A target that has made its leave call may go on announcing itself. Runs of
 * the target follow one another, so a run has left if it was not born after the
 * newest run that has. That one is kept in the store, under a key of the node.
 *
 * The module does no input or output: departure_next tells what to do, and the
 * caller reports the result. There is one read or write at a time. A write
 * compares the revision that was read last, so that one which takes effect late
 * cannot replace a newer record.
 *
 * Guarantees:
 *  - a run for which departure_is_stored returned 1 has left for all later
 *    processes of the node, unless the store is restored from an older copy
 *    and no process of the node that knows of it lives on to write it again;
 *  - a run that was born later than all that have left has not.
 */

#define DEPARTURE_ID_BYTES 64

struct departure_record {
	/* Runs born until then have left; wall-clock time, 0: none. */
	int64_t born_ms;
	/*
	 * The run with this id has left as well, although its leave call did
	 * not state when it was born; "": none.
	 */
	char id[DEPARTURE_ID_BYTES];
};

enum departure_action {
	DEPARTURE_NONE,
	DEPARTURE_READ,	 /* read the record from the store */
	DEPARTURE_WRITE, /* write the record, comparing revision */
};

struct departure {
	struct departure_record record;
	struct departure_record stored; /* as the store has it */
	int64_t revision; /* of the key in the store; 0: no such key */
	uint64_t era;	  /* of revision */
	int loaded;	  /* the store was read since the start */
	int must_read;	  /* stored and revision are not known */
};

void departure_init(struct departure *d);
/*
 * Notes the leave call of the run with this id, which was born at born_ms; 0:
 * not stated.
 */
void departure_note(struct departure *d, const char *id, int64_t born_ms);
/*
 * Returns 1 if the run has left. Before departure_is_loaded returns 1, a run
 * for which it returns 0 may have left.
 */
int departure_includes(struct departure *d, const char *id, int64_t born_ms);
int departure_is_loaded(const struct departure *d);
/* Returns 1 if the store has everything that was noted. */
int departure_is_stored(const struct departure *d);
/* Returns what to do next; era is that of the store's newest answer. */
enum departure_action departure_next(const struct departure *d, uint64_t era);
/*
 * Applies the answer to a read; stored is NULL if the store has no record that
 * can be read.
 */
void departure_on_read(struct departure *d,
		       const struct departure_record *stored, int64_t revision,
		       uint64_t era);
/*
 * Applies the answer to a write of the record written. Any error means that the
 * record has to be read again: the write may have taken effect.
 */
void departure_on_written(struct departure *d,
			  const struct departure_record *written, enum err e,
			  int64_t revision);

/*
 * Appends the record as JSON to out. Returns ERR_OK, ERR_NOMEM, or
 * ERR_MALFORMED if the id is not UTF-8.
 */
enum err departure_write(const struct departure_record *r, struct buf *out);
/* Reads it. Returns ERR_OK or ERR_MALFORMED. */
enum err departure_parse(struct departure_record *r, const uint8_t *text,
			 size_t len);

#endif
