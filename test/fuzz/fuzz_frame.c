#include "protocol/frame.h"

#include <stdlib.h>

/*
 * Guards against received bytes that crash the decoder, and against a decoded
 * message that cannot be encoded and decoded again.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static int has_field_zero(const ProtobufCMessage *m);

static int member_has_field_zero(const ProtobufCMessage *m,
				 const ProtobufCFieldDescriptor *f)
{
	const char *member = (const char *)m + f->offset;
	const size_t *count =
		(const size_t *)((const char *)m + f->quantifier_offset);
	ProtobufCMessage *const *list = *(ProtobufCMessage * *const *)member;

	if (f->label != PROTOBUF_C_LABEL_REPEATED) {
		const ProtobufCMessage *one =
			*(ProtobufCMessage *const *)member;

		return one && has_field_zero(one);
	}
	for (size_t i = 0; i < *count; i++) {
		if (has_field_zero(list[i]))
			return 1;
	}
	return 0;
}

/*
 * An unknown field with the number 0 is invalid. protobuf-c decodes it from one
 * encoding and refuses it in another, so such messages are not decoded again.
 * No daemon sends one.
 */
static int has_field_zero(const ProtobufCMessage *m)
{
	for (unsigned i = 0; i < m->n_unknown_fields; i++) {
		if (m->unknown_fields[i].tag == 0)
			return 1;
	}
	for (unsigned i = 0; i < m->descriptor->n_fields; i++) {
		const ProtobufCFieldDescriptor *f = &m->descriptor->fields[i];

		if (f->type == PROTOBUF_C_TYPE_MESSAGE &&
		    member_has_field_zero(m, f))
			return 1;
	}
	return 0;
}

static void round_trip(const struct frame *f)
{
	struct frame again;
	struct buf out;
	size_t used;

	buf_init(&out);
	if (frame_encode(f->type, f->msg, &out) != ERR_OK)
		abort();
	if (frame_decode(out.data, out.len, &again, &used) != ERR_OK ||
	    used != out.len || again.type != f->type)
		abort();
	frame_finish(&again);
	buf_finish(&out);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	Wire__Datagram *d = wire__datagram__unpack(NULL, size, data);

	if (d)
		wire__datagram__free_unpacked(d, NULL);
	/* The input is a sequence of frames, as on a connection. */
	while (size) {
		struct frame f;
		size_t used;

		if (frame_decode(data, size, &f, &used) != ERR_OK || !f.msg)
			break;
		if (!used || used > size)
			abort();
		if (!has_field_zero(f.msg))
			round_trip(&f);
		frame_finish(&f);
		data += used;
		size -= used;
	}
	return 0;
}
