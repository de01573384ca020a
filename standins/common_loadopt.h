#ifndef STANDINS_COMMON_LOADOPT_H
#define STANDINS_COMMON_LOADOPT_H

#include "transport/httpc.h"

/* Options of the load generator. */

#define LOAD_MAX_SERVICES 16
#define LOAD_MAX_DESTINATIONS 256
#define LOAD_MAX_HEADERS 8
#define LOAD_MAX_FAULTS 8
#define LOAD_MAX_KEYS 5000000
#define LOAD_NAME_BYTES 64

struct load_service {
	char name[LOAD_NAME_BYTES];
	char prefix[LOAD_NAME_BYTES];
	char key_header[LOAD_NAME_BYTES]; /* "" if the key is a path segment */
	double share;
	int honours_idempotency_key; /* Idempotency-Key */
};

struct load_destination {
	char service[LOAD_NAME_BYTES]; /* "" for any */
	char address[LOAD_NAME_BYTES]; /* ADDRESS:PORT */
};

struct load_fault {
	char name[LOAD_NAME_BYTES];
	double share;
};

struct load_options {
	const char *name;
	struct load_destination destinations[LOAD_MAX_DESTINATIONS];
	int destination_count;
	struct load_service services[LOAD_MAX_SERVICES];
	int service_count;
	struct httpc_header headers[LOAD_MAX_HEADERS];
	int header_count;
	struct load_fault faults[LOAD_MAX_FAULTS];
	int fault_count;
	double rate;
	double seconds;
	int key_count;
	double zipf_exponent;
	double hot_shift_s;
	double post_share;
	double idempotency_key_share;
	int tenant_count;
	int seed;
	int timeout_ms;
	int deadline_ms;
	int body_bytes;
	int answer_bytes;
	int connections;
	int max_open;
	int direct;
	const char *history;
	const char *report;
	const char *svg;
};

/* Fills o with defaults, then from the command line; exits on wrong usage. */
void common_loadopt_parse(struct load_options *o, int argc, char **argv);

#endif
