#ifndef DAEMON_INTERFACE_H
#define DAEMON_INTERFACE_H

#include "config/doc.h"
#include "ownership/hold.h"
#include "routing/dialect.h"
#include "store/store.h"

/*
 * What differs between the surroundings that a daemon runs in: the store's
 * protocol, the operators' document, header names, and the target's calls. The
 * product has its own; a platform brings another table of functions, which
 * translate and decide nothing.
 */

#define ANNOUNCE_MAX_ROWS 512

/* What a target says about itself. */
struct announcement {
	char id[64]; /* of this run of the target; "" if it has none */
	char service[DOC_NAME_BYTES];
	char address[64];
	unsigned port;
	uint32_t concurrency; /* requests at a time */
	uint32_t connections; /* open connections of all callers together */
	uint32_t checks;      /* CHECK_* bits */
	int leaving;
	uint32_t cold_ms;  /* slow for so much longer */
	int64_t born_ms;   /* wall clock of its start; 0: not stated */
	uint64_t sequence; /* rises with each announcement of a run; 0: none */
	int takes_holds;   /* takes its keys in the answers */
	struct hold_row held[ANNOUNCE_MAX_ROWS];
	size_t held_count;
	struct hold_row released[ANNOUNCE_MAX_ROWS];
	size_t released_count;
};

/* The answer: what the target is to hold, for how long. */
struct announce_answer {
	int has_holds; /* 0: nothing is renewed */
	int64_t hold_time_ms;
	struct hold_row rows[ANNOUNCE_MAX_ROWS];
	size_t row_count;
};

enum target_call {
	TARGET_CALL_NONE, /* no call of a target */
	TARGET_CALL_ANNOUNCE,
	TARGET_CALL_LEAVE,
};

struct interface {
	const char *name;
	enum err (*open_store)(struct store **out, struct ev_loop *loop,
			       const char *endpoint, int timeout_ms,
			       struct err_info *info);
	const struct doc_source *document; /* NULL: mpinctl's */
	const struct dialect *dialect;
	/* Which call of a target it is; fills in id, if the path has one. */
	enum target_call (*match_target_call)(const char *method,
					      const char *path, char *id,
					      size_t id_size);
	/* Body of an announcement; id is that of the path. */
	enum err (*read_announcement)(const char *id, const char *text,
				      size_t len, struct announcement *out,
				      struct err_info *info);
	void (*write_answer)(const struct announce_answer *a, struct buf *out);
	size_t answer_max_bytes; /* a longer answer is no answer; 0: no limit */
	/* Path of readiness checks. */
	const char *ready_path;
};

extern const struct interface interface_own;

#endif
