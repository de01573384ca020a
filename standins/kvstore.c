#include "standins/common_kvsrv.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

/* mpin-kvstore PORT: stand-in for the platform's metadata store. */

static void on_signal(struct ev_loop *loop, ev_signal *w, int events)
{
	(void)w;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

int main(int argc, char **argv)
{
	struct ev_loop *loop = ev_default_loop(0);
	struct err_info info = { 0 };
	ev_signal on_term;
	struct kvsrv s;

	if (argc != 2) {
		fprintf(stderr, "usage: mpin-kvstore PORT\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	if (kvsrv_init(&s, loop, "127.0.0.1",
		       (unsigned)strtoul(argv[1], NULL, 10), &info) != ERR_OK) {
		fprintf(stderr, "mpin-kvstore: %s: %s\n", err_name(info.code),
			info.detail);
		return 1;
	}
	ev_signal_init(&on_term, on_signal, SIGTERM);
	ev_signal_start(loop, &on_term);
	ev_run(loop, 0);
	kvsrv_finish(&s);
	return 0;
}
