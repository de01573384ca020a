#ifndef STANDINS_COMMON_LOADOPT_H
#define STANDINS_COMMON_LOADOPT_H

#include "transport/httpc.h"

/* Command line options of the load generator (mpin-load). */

#define LOAD_MAX_SERVICES 16
#define LOAD_MAX_DESTINATIONS 256
#define LOAD_MAX_HEADERS 8
#define LOAD_MAX_FAULTS 8
#define LOAD_MAX_KEYS 5000000
#define LOAD_NAME_BYTES 64

struct load_service {
	char name[LOAD_NAME_BYTES];
	char prefix[LOAD_NAME_BYTES];	  /* of the paths: /PREFIX/ */
	char key_header[LOAD_NAME_BYTES]; /* "" if the key is a path segment */
	double share; /* of the requests, relative to the other services */
	/* A POST with an Idempotency-Key counts as idempotent. */
	int honours_idempotency_key;
};

/* A daemon or, in direct mode, a target. */
struct load_destination {
	char service[LOAD_NAME_BYTES]; /* "": gets requests of any service */
	char address[LOAD_NAME_BYTES]; /* ADDRESS:PORT */
};

/* Fault that a share of the requests asks of the target (Test-Fault). */
struct load_fault {
	char name[LOAD_NAME_BYTES];
	double share;
};

struct load_options {
	const char *name; /* first part of request ids */
	struct load_destination destinations[LOAD_MAX_DESTINATIONS];
	int destination_count;
	struct load_service services[LOAD_MAX_SERVICES];
	int service_count;
	struct httpc_header headers[LOAD_MAX_HEADERS]; /* of each request */
	int header_count;
	struct load_fault faults[LOAD_MAX_FAULTS];
	int fault_count;
	double rate;	      /* mean arrivals a second */
	double seconds;	      /* length of the load */
	int key_count;	      /* keys of each service */
	double zipf_exponent; /* of the popularity of keys */
	double hot_shift_s; /* period at which popular keys change; 0: never */
	double post_share;  /* share of POST in all requests */
	double idempotency_key_share; /* share of POST with Idempotency-Key */
	int tenant_count;
	int seed;
	int timeout_ms;	     /* of a request */
	int deadline_ms;     /* Monsoonpin-Deadline-Ms; 0: not sent */
	int body_bytes;	     /* of a POST */
	int answer_bytes;    /* asked for with Test-Answer-Bytes; 0: not sent */
	int connections;     /* most connections to one destination */
	int max_open;	     /* most requests in flight */
	int direct;	     /* sends straight to targets, without a daemon */
	const char *history; /* file, or NULL */
	const char *report;  /* file; "-" is standard output */
	const char *svg;     /* file, or NULL */
};

/* Fills o from defaults and the command line; exits on wrong usage. */
void common_loadopt_parse(struct load_options *o, int argc, char **argv);

#endif
