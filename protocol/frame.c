#include "protocol/frame.h"

#include <string.h>

struct frame_info {
	const char *name;
	const ProtobufCMessageDescriptor *message;
};

static const struct frame_info frame_types[FRAME_TYPE_COUNT] = {
	[FRAME_HELLO] = { "hello", &wire__hello__descriptor },
	[FRAME_JOIN] = { "join", &wire__join__descriptor },
	[FRAME_JOIN_REPLY] = { "join_reply", &wire__join_reply__descriptor },
	[FRAME_DOC_PUSH] = { "doc_push", &wire__doc_push__descriptor },
	[FRAME_MAP_PUSH] = { "map_push", &wire__map_delta__descriptor },
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

enum err frame_decode(const uint8_t *data, size_t len, struct frame *frame,
		      size_t *used)
{
	uint32_t size;
	uint8_t type;

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
	type = data[4];
	if (type >= FRAME_TYPE_COUNT || !frame_types[type].message)
		return ERR_MALFORMED;
	if (len < 4 + (size_t)size)
		return ERR_OK;
	frame->type = type;
	frame->msg =
		protobuf_c_message_unpack(frame_types[type].message, NULL,
					  size - 1, data + FRAME_HEADER_BYTES);
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
