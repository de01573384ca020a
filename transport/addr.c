#include "transport/addr.h"

#include <arpa/inet.h>
#include <string.h>

enum err addr_parse(struct sockaddr_in *sa, const char *address, unsigned port)
{
	memset(sa, 0, sizeof(*sa));
	sa->sin_family = AF_INET;
	sa->sin_port = htons((uint16_t)port);
	if (port > 65535 || inet_pton(AF_INET, address, &sa->sin_addr) != 1)
		return ERR_RANGE;
	return ERR_OK;
}
