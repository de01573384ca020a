#ifndef PROTOCOL_FRAME_H
#define PROTOCOL_FRAME_H

#include "common/buf.h"
#include "common/err.h"
#include "protocol/wire.pb-c.h"

/*
 * Frame: 4 bytes length of what follows (big endian), 1 byte type, one
 * protobuf message. Each type has one message; the table in frame.c is the
 * only place that pairs them.
 */

#define FRAME_MAX_BYTES (16 * 1024 * 1024)
#define FRAME_HEAD_BYTES 5

enum frame_type {
	FRAME_HELLO = 1,
	FRAME_JOIN,
	FRAME_JOIN_REPLY,
	FRAME_DOC_PUSH,
	FRAME_MAP_PUSH, /* Wire__MapDelta */
	FRAME_FETCH,
	FRAME_RELEASE,
	FRAME_RELEASED,
	FRAME_RELEASE_CANCEL,
	FRAME_LOAD_REPORT,
	FRAME_TARGET_STATE,
	FRAME_LEAVE,
	FRAME_LEAVE_REPLY,
	FRAME_FORWARD,
	FRAME_FORWARD_REPLY,
	FRAME_QUERY,
	FRAME_QUERY_REPLY,
	FRAME_CANCEL,
	FRAME_PING,
	FRAME_PONG,  /* Wire__Ping */
	FRAME_OFFER, /* Wire__Forward without headers and body */
	FRAME_PULL,  /* then FRAME_FORWARD follows */
	FRAME_TYPE_COUNT
};

/* Outcome of an attempt, as told to the caller. */
enum wire_outcome {
	OUTCOME_NOT_RUN = 1, /* the request did not and will not run */
	OUTCOME_ANSWERED,    /* a whole answer came from the target */
	OUTCOME_UNKNOWN,     /* it may have run */
};

enum wire_attempt_state {
	ATTEMPT_NEVER_SEEN = 1, /* and refused from now on */
	ATTEMPT_RUNNING,
	ATTEMPT_DONE,
};

enum wire_checks {
	CHECK_FENCE = 1,
	CHECK_DEADLINE = 2,
	CHECK_SENDER = 4,
};

struct frame {
	enum frame_type type;
	ProtobufCMessage *msg; /* of the type's message; frame_finish frees */
};

/* Name of a type for logs and counters; "invalid" if out of range. */
const char *frame_name(unsigned type);
/* "not-run", "answered" or "unknown". */
const char *outcome_name(enum wire_outcome outcome);

/* Appends the encoded frame to out. ERR_TOO_LARGE beyond FRAME_MAX_BYTES. */
enum err frame_encode(enum frame_type type, const ProtobufCMessage *msg,
		      struct buf *out);

/*
 * Decodes one frame at the start of data. *used is the number of bytes that
 * it took, 0 if more are needed (returns ERR_OK with frame->msg NULL).
 * ERR_TOO_LARGE or ERR_MALFORMED: the connection cannot be used any more.
 */
enum err frame_decode(const uint8_t *data, size_t len, struct frame *frame,
		      size_t *used);
void frame_finish(struct frame *frame);

#endif
