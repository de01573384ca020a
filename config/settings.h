#ifndef CONFIG_SETTINGS_H
#define CONFIG_SETTINGS_H

#include "common/buf.h"
#include "common/err.h"
#include "common/log.h"

/*
 * Settings of one daemon, from a TOML file. Read once at start, checked
 * whole: settings_read reports every problem with file, line and what is
 * allowed.
 */

#define SETTINGS_NAME_BYTES 64
#define SETTINGS_PATH_BYTES 256

/* Whose names and formats callers, targets, operators and the store use. */
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
	char service[SETTINGS_NAME_BYTES]; /* of the target here; "" if unknown
					    */
	enum settings_interface interface;
	/* [listen] */
	char address[SETTINGS_NAME_BYTES]; /* IP number, also told to others */
	int http_port;			   /* callers */
	int peer_port;			   /* TCP and UDP, other daemons */
	/*
	 * Peer port told to others, where something between forwards to
	 * peer_port; 0: peer_port itself.
	 */
	int advertise_peer_port;
	int admin_port;	  /* metrics, health, status, announcements */
	int ready_port;	  /* readiness only; 0: on the admin port */
	int control_port; /* the target's calls only; 0: on the admin port */
	/* [store] */
	char store_endpoint[SETTINGS_PATH_BYTES]; /* "http://ADDRESS:PORT" */
	char store_prefix[SETTINGS_NAME_BYTES];	  /* default "/mpin/" */
	int store_timeout_ms;
	/* [target] */
	int announce_ms; /* period of the target's announcements */
	int drain_ms;	 /* a leaving target gets nothing new; 0: no bound */
	/*
	 * Longest time that a target may hold keys after an announcement; 0:
	 * targets hold none and go by the fence of each request.
	 */
	int hold_max_ms;
	int adapt_concurrency; /* use less than announced if answers slow */
	/* [ownership] */
	int grant_ms; /* as set; 0: see settings_grant_ms */
	int hold_ms;  /* 0: no end */
	/* [retries] */
	double retry_ratio; /* of the fleet's requests for one service */
	int retry_slack;    /* retries beyond that in one window */
	int retry_window_ms;
	/* [stop] */
	int grace_ms;  /* after SIGTERM the process may live so long */
	int notice_ms; /* callers are served so long after SIGTERM, at least */
	/* [limits] */
	int max_callers;    /* open connections of callers */
	int max_body_bytes; /* upper bound for the document's limits */
	int max_in_flight;  /* requests in the ingress */
	double link_mbps;   /* 0: not known */
	/*
	 * Requests are refused when map and document have not been confirmed
	 * for so long; 0: never.
	 */
	int stale_ms;
	/* [log] */
	enum log_level log_level; /* "debug", "info", "warn", "error" */
};

/*
 * Fills s from the file; missing optional settings get their defaults.
 * Problems are appended to problems, one line each:
 * "FILE:LINE: KEY: what is wrong (what is allowed)". Returns ERR_OK only if
 * there is none.
 */
enum err settings_read(struct settings *s, const char *path,
		       struct buf *problems);
/* Same from memory; name stands for the file in problems. */
enum err settings_parse(struct settings *s, const char *text, size_t len,
			const char *name, struct buf *problems);
/*
 * Length of a node's grant in milliseconds, 0: the default one. Where targets
 * hold keys, it lasts for SETTINGS_GRANT_ANNOUNCEMENTS of their announcements
 * unless it is set, so that one that is lost and one that is late end no hold.
 */
#define SETTINGS_GRANT_ANNOUNCEMENTS 4
int settings_grant_ms(const struct settings *s);
/*
 * Takes over from the newer settings what can change while a daemon runs.
 * Names of settings that differ and need a restart are appended to rest,
 * separated by blanks. Returns how many were taken over.
 */
int settings_reload(struct settings *s, const struct settings *newer,
		    struct buf *restart_needed);
/* The peer port that other daemons use. */
unsigned settings_peer_port(const struct settings *s);
/* Table of all settings with type, range, default and meaning, as text. */
void settings_describe(struct buf *out);

#endif
