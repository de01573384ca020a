#ifndef CONFIG_SETTINGS_H
#define CONFIG_SETTINGS_H

#include "common/buf.h"
#include "common/err.h"
#include "common/log.h"

/*
 * Settings of one daemon, from a TOML file. The file is validated as a whole:
 * settings_read reports every problem with its file and line and with what is
 * allowed. Some settings can be changed while the daemon runs, see
 * settings_reload.
 *
 * Terms:
 *  - target: the back end beside the daemon. It announces itself periodically.
 *  - caller: a client that sends requests to the daemon.
 *  - grant: the limited time for which a node may serve the keys it owns.
 *  - fence: a number that a request carries. It rises with each change of the
 *    key's owner, so that a target can refuse requests of a former owner.
 *  - ingress: the part of a daemon that accepts the callers' requests.
 */

#define SETTINGS_NAME_BYTES 64
#define SETTINGS_PATH_BYTES 256

/*
 * Whose header names, calls of targets, store protocol and document format the
 * daemon uses: monsoonpin's own, or those of the platform that it runs on.
 */
enum settings_interface {
	SETTINGS_INTERFACE_OWN,
	SETTINGS_INTERFACE_PLATFORM,
};

struct settings {
	/* [node] */
	char name[SETTINGS_NAME_BYTES];
	char region[SETTINGS_NAME_BYTES];
	char data_centre[SETTINGS_NAME_BYTES];
	char rack[SETTINGS_NAME_BYTES];
	char service[SETTINGS_NAME_BYTES]; /* of the target; "" if unknown */
	enum settings_interface interface;
	/* [listen] */
	char address[SETTINGS_NAME_BYTES]; /* IPv4; other nodes connect to it */
	int http_port;			   /* TCP, for callers */
	int peer_port;			   /* TCP and UDP, for daemons */
	/*
	 * Peer port announced to other nodes, for the case that a proxy between
	 * them forwards it to peer_port; 0: peer_port itself.
	 */
	int advertise_peer_port;
	int admin_port;	  /* metrics, health, status, announcements */
	int ready_port;	  /* readiness checks only; 0: on the admin port */
	int control_port; /* calls of the target only; 0: on the admin port */
	/* [store] */
	char store_endpoint[SETTINGS_PATH_BYTES]; /* "http://ADDRESS:PORT" */
	char store_prefix[SETTINGS_NAME_BYTES];	  /* default "/mpin/" */
	int store_timeout_ms;
	/* [target] */
	int announce_ms; /* period of the target's announcements */
	/*
	 * A leaving target gets no new requests after this time; 0: it gets
	 * those for its own keys until the keys have moved.
	 */
	int drain_ms;
	/*
	 * The target of a data centre that operators empty gets no requests
	 * after this time; 0: it gets those for its own keys until the keys
	 * have moved.
	 */
	int empty_ms;
	/*
	 * Longest time that a target may hold keys after an announcement; 0:
	 * targets hold none and rely on the fence of each request.
	 */
	int hold_max_ms;
	/* Send fewer requests at a time than announced if answers slow down. */
	int adapt_concurrency;
	/* [balance] */
	/*
	 * Choose among the targets of a service without keys by weight, so that
	 * nodes that have seen the same loads do not all choose the same one.
	 */
	int spread;
	/* [limits] */
	/* Begin less new work while the calls of running work find no room. */
	int protect_calls;
	/* [ownership] */
	int grant_ms; /* as in the file; 0: see settings_grant_ms */
	/*
	 * How long a node serves while it reaches neither store nor
	 * coordinator; 0: without end. This hold is not that of hold_max_ms.
	 */
	int hold_ms;
	/* [retries] */
	double retry_ratio; /* share of the fleet's requests for one service */
	int retry_slack;    /* retries beyond that share in one window */
	int retry_window_ms;
	/* [stop] */
	int grace_ms; /* longest time between SIGTERM and process exit */
	/* How long new requests are served after SIGTERM, at least. */
	int notice_ms;
	/* [limits] */
	int max_callers;  /* open connections of callers */
	int max_pipeline; /* unanswered requests of one connection */
	/* Bodies and answers that one connection holds at a time. */
	int max_held_bytes;
	int max_answer_bytes; /* 0: no limit */
	int max_body_bytes;   /* upper bound for the document's limits */
	int max_in_flight;    /* requests in the ingress at one time */
	double link_mbps;     /* rate of the VM's network link; 0: not known */
	/*
	 * Requests are refused if the coordinator has not confirmed the map
	 * (which node owns which keys) and the document for so long; 0: never.
	 */
	int stale_ms;
	/* [log] */
	enum log_level log_level;
};

/*
 * Fills s from the file; optional settings that are missing get their
 * defaults. Appends the problems, one line each: "FILE:LINE: KEY: what is
 * wrong (allowed: what is allowed)". Returns ERR_OK if there is none, else the
 * code of the first problem; ERR_SYSTEM: the file cannot be read.
 */
enum err settings_read(struct settings *s, const char *path,
		       struct buf *problems);
/* Does the same for a text in memory; name stands for the file in problems. */
enum err settings_parse(struct settings *s, const char *text, size_t len,
			const char *name, struct buf *problems);
/*
 * Returns the length of a node's grant in milliseconds; 0: OWN_GRANT_MS of
 * ownership/own.h. If it is not set and targets hold keys, it is
 * SETTINGS_GRANT_ANNOUNCEMENTS periods of their announcements, so that one
 * lost and one late announcement do not end a target's right to its keys.
 */
#define SETTINGS_GRANT_ANNOUNCEMENTS 4
int settings_grant_ms(const struct settings *s);
/*
 * Copies the settings that can change while a daemon runs from newer to s.
 * Appends the names of other settings that differ, which need a restart, to
 * restart_needed, separated by spaces. Returns how many settings were changed.
 */
int settings_reload(struct settings *s, const struct settings *newer,
		    struct buf *restart_needed);
/* Returns the peer port that other daemons connect to. */
unsigned settings_peer_port(const struct settings *s);
/* Appends a line for each setting: name, range, default and meaning. */
void settings_describe(struct buf *out);

#endif
