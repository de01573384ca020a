#include "protocol/wire.h"

#include <stdlib.h>

/* Copies by encoding and decoding, so that every field is copied. */
static ProtobufCMessage *copy_message(const ProtobufCMessage *m)
{
	size_t size = protobuf_c_message_get_packed_size(m);
	uint8_t *packed = malloc(size + 1);
	ProtobufCMessage *result;

	if (!packed)
		return NULL;
	protobuf_c_message_pack(m, packed);
	result = protobuf_c_message_unpack(m->descriptor, NULL, size, packed);
	free(packed);
	return result;
}

Wire__Node *wire_copy_node(const Wire__Node *n)
{
	return (Wire__Node *)copy_message(&n->base);
}

Wire__Target *wire_copy_target(const Wire__Target *t)
{
	return (Wire__Target *)copy_message(&t->base);
}

Wire__Forward *wire_copy_forward(const Wire__Forward *f)
{
	return (Wire__Forward *)copy_message(&f->base);
}
