#ifndef STANDINS_COMMON_TARGETOPT_H
#define STANDINS_COMMON_TARGETOPT_H

/* Command line options of the target stand-in (mpin-target). */

/* Upper limit of the service time of one request. */
#define TARGET_MAX_SERVICE_MS 600000

struct target_options {
	const char *name; /* in log lines */
	const char *service;
	const char *address; /* listens on */
	int port;
	const char *daemon; /* ADDRESS:PORT of its admin port, or NULL */
	const char *log;    /* file of starts and ends, or NULL */
	int concurrency;    /* most requests that run at a time */
	int connections;    /* limit that is announced to the daemon */
	int queue;	    /* most requests that wait; more are refused */
	int service_ms;	    /* time that one request runs */
	int jitter_ms;	    /* upper limit of a random addition to service_ms */
	int cold_ms;	    /* announced as cold for so long after the start */
	int seed;
	int stutter_percent; /* answers with bytes of others (common_stutter.h)
			      */
	int health_lag_ms;   /* period at which the reported load is updated */
	int false_load;	     /* percent to report; -1: the true load */
	/* Reasons to refuse a request before it starts. */
	int check_fence;    /* fence lower than one seen for the slot */
	int check_deadline; /* Monsoonpin-Not-After has passed */
	int check_sender;   /* no fence or attempt: not sent by a daemon */
};

/* Fills o from defaults and the command line; exits on wrong usage. */
void common_targetopt_parse(struct target_options *o, int argc, char **argv);

#endif
