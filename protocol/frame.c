#include "protocol/frame.h"

#include <stdlib.h>
#include <string.h>
#include <zlib.h>

/* Size of the uncompressed message, in front of the zlib stream. */
#define DEFLATED_SIZE_BYTES 4

struct frame_info {
	const char *name;
	const ProtobufCMessageDescriptor *message;
	int may_be_deflated;
};

static const struct frame_info frame_types[FRAME_TYPE_COUNT] = {
	[FRAME_HELLO] = { "hello", &wire__hello__descriptor },
	[FRAME_JOIN] = { "join", &wire__join__descriptor },
	[FRAME_JOIN_REPLY] = { "join_reply", &wire__join_reply__descriptor },
	[FRAME_DOC_PUSH] = { "doc_push", &wire__doc_push__descriptor, 1 },
	[FRAME_MAP_PUSH] = { "map_push", &wire__map_delta__descriptor, 1 },
	[FRAME_FETCH] = { "fetch", &wire__fetch__descriptor },
	[FRAME_RELEASE] = { "release", &wire__release__descriptor },
	[FRAME_RELEASED] = { "released", &wire__released__descriptor },
	[FRAME_RELEASE_CANCEL] = { "release_cancel",
				   &wire__release_cancel__descriptor },
	[FRAME_LOAD_REPORT] = { "load_report", &wire__load_report__descriptor },
	[FRAME_TARGET_STATE] = { "target_state",
				 &wire__target_state__descriptor },
	[FRAME_LEAVE] = { "leave", &wire__leave__descriptor },
	[FRAME_LEAVE_REPLY] = { "leave_reply", &wire__leave_reply__descriptor },
	[FRAME_FORWARD] = { "forward", &wire__forward__descriptor },
	[FRAME_FORWARD_REPLY] = { "forward_reply",
				  &wire__forward_reply__descriptor },
	[FRAME_QUERY] = { "query", &wire__query__descriptor },
	[FRAME_QUERY_REPLY] = { "query_reply", &wire__query_reply__descriptor },
	[FRAME_CANCEL] = { "cancel", &wire__cancel__descriptor },
	[FRAME_PING] = { "ping", &wire__ping__descriptor },
	[FRAME_PONG] = { "pong", &wire__ping__descriptor },
	[FRAME_OFFER] = { "offer", &wire__forward__descriptor },
	[FRAME_PULL] = { "pull", &wire__pull__descriptor },
};

const char *frame_name(unsigned type)
{
	if (type >= FRAME_TYPE_COUNT || !frame_types[type].name)
		return "invalid";
	return frame_types[type].name;
}

const char *outcome_name(enum wire_outcome outcome)
{
	switch (outcome) {
	case OUTCOME_NOT_RUN:
		return "not-run";
	case OUTCOME_ANSWERED:
		return "answered";
	case OUTCOME_UNKNOWN:
		break;
	}
	return "unknown";
}

static void put_u32(uint8_t *p, uint32_t v)
{
	p[0] = (uint8_t)(v >> 24);
	p[1] = (uint8_t)(v >> 16);
	p[2] = (uint8_t)(v >> 8);
	p[3] = (uint8_t)v;
}

static uint32_t get_u32(const uint8_t *p)
{
	return (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 |
	       (uint32_t)p[2] << 8 | p[3];
}

enum err frame_encode(enum frame_type type, const ProtobufCMessage *msg,
		      struct buf *out)
{
	size_t size = protobuf_c_message_get_packed_size(msg);
	uint8_t *space;

	if (size + 1 > FRAME_MAX_BYTES)
		return ERR_TOO_LARGE;
	space = buf_reserve(out, FRAME_HEADER_BYTES + size);
	if (!space)
		return ERR_NOMEM;
	put_u32(space, (uint32_t)size + 1);
	space[4] = (uint8_t)type;
	protobuf_c_message_pack(msg, space + FRAME_HEADER_BYTES);
	out->len += FRAME_HEADER_BYTES + size;
	return ERR_OK;
}

/*
 * Replaces the whole frame at offset start of out by a compressed one, unless
 * that is no smaller.
 */
static enum err deflate_frame(struct buf *out, size_t start)
{
	const uint8_t *plain = out->data + start;
	size_t size = out->len - start - FRAME_HEADER_BYTES;
	uLongf packed = compressBound(size);
	uint8_t *space = malloc(packed);
	int status;

	if (!space)
		return ERR_NOMEM;
	status = compress2(space, &packed, plain + FRAME_HEADER_BYTES, size,
			   Z_DEFAULT_COMPRESSION);
	if (status == Z_OK && packed + DEFLATED_SIZE_BYTES < size) {
		uint8_t *p = out->data + start;

		put_u32(p, (uint32_t)(packed + DEFLATED_SIZE_BYTES + 1));
		p[4] |= FRAME_DEFLATED;
		put_u32(p + FRAME_HEADER_BYTES, (uint32_t)size);
		memcpy(p + FRAME_HEADER_BYTES + DEFLATED_SIZE_BYTES, space,
		       packed);
		out->len = start + FRAME_HEADER_BYTES + DEFLATED_SIZE_BYTES +
			   packed;
	}
	free(space);
	return status == Z_MEM_ERROR ? ERR_NOMEM : ERR_OK;
}

enum err frame_encode_deflated(enum frame_type type,
			       const ProtobufCMessage *msg, struct buf *out)
{
	size_t start = out->len;
	enum err e = frame_encode(type, msg, out);

	if (e != ERR_OK || !frame_types[type].may_be_deflated ||
	    out->len - start < FRAME_HEADER_BYTES + FRAME_DEFLATE_MIN_BYTES)
		return e;
	e = deflate_frame(out, start);
	if (e != ERR_OK)
		out->len = start;
	return e;
}

/* Returns the message in a compressed body, or NULL if it is malformed. */
static ProtobufCMessage *
unpack_deflated(const ProtobufCMessageDescriptor *message, const uint8_t *body,
		size_t len)
{
	ProtobufCMessage *msg = NULL;
	uLongf size, want;
	uint8_t *plain;

	if (len < DEFLATED_SIZE_BYTES)
		return NULL;
	want = get_u32(body);
	if (want >= FRAME_MAX_BYTES)
		return NULL;
	plain = malloc(want + 1);
	if (!plain)
		return NULL;
	size = want;
	if (uncompress(plain, &size, body + DEFLATED_SIZE_BYTES,
		       len - DEFLATED_SIZE_BYTES) == Z_OK &&
	    size == want)
		msg = protobuf_c_message_unpack(message, NULL, size, plain);
	free(plain);
	return msg;
}

enum err frame_decode(const uint8_t *data, size_t len, struct frame *frame,
		      size_t *used)
{
	const ProtobufCMessageDescriptor *message;
	uint32_t size;
	uint8_t type;
	int deflated;

	memset(frame, 0, sizeof(*frame));
	*used = 0;
	if (len < 4)
		return ERR_OK;
	size = get_u32(data);
	if (size > FRAME_MAX_BYTES)
		return ERR_TOO_LARGE;
	if (size < 1)
		return ERR_MALFORMED;
	if (len < FRAME_HEADER_BYTES)
		return ERR_OK;
	/* An invalid type is refused before the rest of the frame arrives. */
	type = data[4] & ~FRAME_DEFLATED;
	deflated = (data[4] & FRAME_DEFLATED) != 0;
	if (type >= FRAME_TYPE_COUNT || !frame_types[type].message ||
	    (deflated && !frame_types[type].may_be_deflated))
		return ERR_MALFORMED;
	if (len < 4 + (size_t)size)
		return ERR_OK;
	frame->type = type;
	message = frame_types[type].message;
	data += FRAME_HEADER_BYTES;
	frame->msg = deflated ? unpack_deflated(message, data, size - 1)
			      : protobuf_c_message_unpack(message, NULL,
							  size - 1, data);
	if (!frame->msg)
		return ERR_MALFORMED;
	*used = 4 + (size_t)size;
	return ERR_OK;
}

void frame_finish(struct frame *frame)
{
	if (frame->msg)
		protobuf_c_message_free_unpacked(frame->msg, NULL);
	frame->msg = NULL;
}
