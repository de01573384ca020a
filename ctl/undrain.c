#include "ctl/ctl.h"

enum ctl_exit ctl_undrain(struct ctl *c)
{
	return ctl_edit_stops(c, c->args[0], 0);
}
