#ifndef PROTOCOL_FRAME_H
#define PROTOCOL_FRAME_H

#include "common/buf.h"
#include "common/err.h"
#include "protocol/wire.pb-c.h"

/*
 * Frames are the units of the TCP connections between daemons. A frame is the
 * length of its remainder (4 bytes, big endian), a type (1 byte) and one
 * protobuf message of protocol/wire.proto. Each type has one kind of message,
 * given by the table in frame.c: the one of the same name, unless noted here.
 */

/* Largest value of the length field, i.e. of type and message together. */
#define FRAME_MAX_BYTES (16 * 1024 * 1024)
/* Size of the length and type fields. */
#define FRAME_HEADER_BYTES 5
/*
 * Bit of the type byte: the message is compressed. Its size (4 bytes, big
 * endian) and a zlib stream follow. Only types that coordinators push to all
 * members may be compressed.
 */
#define FRAME_DEFLATED 0x80
/* Smaller messages are not compressed: the gain would be a few bytes. */
#define FRAME_DEFLATE_MIN_BYTES 200

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
	FRAME_PULL,  /* requests the FRAME_FORWARD of an offer */
	FRAME_TYPE_COUNT
};

/*
 * Outcome of an attempt, as reported to the caller. An attempt is one try to
 * have a request run at its owner.
 */
enum wire_outcome {
	OUTCOME_NOT_RUN = 1, /* the request did not and will not run */
	OUTCOME_ANSWERED,    /* the target gave a whole answer */
	OUTCOME_UNKNOWN,     /* the request may have run */
};

/* What an owner knows of an attempt that it is asked about. */
enum wire_attempt_state {
	ATTEMPT_NEVER_SEEN = 1, /* unknown; the owner refuses it from now on */
	ATTEMPT_RUNNING,
	ATTEMPT_DONE, /* ended; it may have run */
};

/* Bits that state which values of a request the target checks. */
enum wire_checks {
	CHECK_FENCE = 1,
	CHECK_DEADLINE = 2,
	CHECK_SENDER = 4,
};

struct frame {
	enum frame_type type;
	ProtobufCMessage *msg; /* the type's message; frame_finish frees it */
};

/* Returns a type's name for logs and counters; "invalid" if out of range. */
const char *frame_name(unsigned type);
/* Returns "not-run", "answered" or "unknown". */
const char *outcome_name(enum wire_outcome outcome);

/*
 * Appends the encoded frame to out. Returns ERR_OK, ERR_TOO_LARGE if the frame
 * exceeds FRAME_MAX_BYTES, or ERR_NOMEM.
 */
enum err frame_encode(enum frame_type type, const ProtobufCMessage *msg,
		      struct buf *out);
/*
 * Does the same, but compresses the message if its type allows that and it
 * becomes smaller. That takes much longer than encoding it, so the result
 * should be sent to several receivers.
 */
enum err frame_encode_deflated(enum frame_type type,
			       const ProtobufCMessage *msg, struct buf *out);

/*
 * Decodes the frame at the start of data and sets *used to its size in bytes.
 * If data ends within the frame, returns ERR_OK with *used 0 and frame->msg
 * NULL. Returns ERR_TOO_LARGE or ERR_MALFORMED if the frame cannot be decoded;
 * the connection is then of no further use.
 */
enum err frame_decode(const uint8_t *data, size_t len, struct frame *frame,
		      size_t *used);
/* Frees the message; does nothing if frame->msg is NULL. */
void frame_finish(struct frame *frame);

#endif
