#include "transport/httpc_priv.h"
#include "common/clk.h"
#include "transport/addr.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

/* As in netinet/tcp.h, which does not go with linux/tcp.h. */
#define TCP_STATE_ESTABLISHED 1
#define TCP_STATE_CLOSE_WAIT 8

size_t httpc_conn_count_pending(int fd)
{
	int bytes = 0;

	return ioctl(fd, FIONREAD, &bytes) == 0 && bytes > 0 ? (size_t)bytes
							     : 0;
}

/*
 * Returns the bytes that the socket has received since it was opened, or -1 if
 * the system does not tell.
 */
static int64_t count_received_bytes(int fd)
{
	struct tcp_info info;
	socklen_t len = sizeof(info);

	memset(&info, 0, sizeof(info));
	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) < 0 ||
	    len < offsetof(struct tcp_info, tcpi_bytes_received) +
			    sizeof(info.tcpi_bytes_received))
		return -1;
	/* The close of the other side is counted as a byte. */
	return (int64_t)info.tcpi_bytes_received -
	       (info.tcpi_state == TCP_STATE_CLOSE_WAIT);
}

int64_t httpc_conn_count_read(int fd)
{
	int64_t received = count_received_bytes(fd);

	return received < 0 ? -1
			    : received - (int64_t)httpc_conn_count_pending(fd);
}

static struct httpc_connection *find_connection(struct httpc *c, int fd)
{
	struct httpc_connection *found;

	HASH_FIND_INT(c->connections, &fd, found);
	return found;
}

/*
 * Returns the bytes that were received since the last answer of an earlier
 * request, or -1 if they are not known.
 */
static int64_t count_bytes_of_request(const struct httpc_connection *n)
{
	int64_t received = count_received_bytes(n->fd);

	if (received < 0 || n->answer_bytes < 0)
		return -1;
	return received - n->answer_bytes;
}

/* Removes a connection from the table, and from the requests that used it. */
static void forget_connection(struct httpc *c, struct httpc_connection *n)
{
	struct httpc_request *r;

	DL_FOREACH(c->requests, r) {
		if (r->connection != n)
			continue;
		r->received_bytes = count_bytes_of_request(n);
		r->connection = NULL;
		r->connection_closed = 1;
	}
	HASH_DEL(c->connections, n);
	free(n);
}

curl_socket_t httpc_conn_open(void *priv, curlsocktype purpose,
			      struct curl_sockaddr *address)
{
	struct httpc *c = priv;
	struct httpc_connection *n = calloc(1, sizeof(*n));
	struct httpc_connection *stale;

	(void)purpose;
	if (!n)
		return CURL_SOCKET_BAD;
	n->fd = socket(address->family, address->socktype, address->protocol);
	if (n->fd < 0) {
		free(n);
		return CURL_SOCKET_BAD;
	}
	/*
	 * libcurl closes a socket by itself if the connection was not
	 * established.
	 */
	stale = find_connection(c, n->fd);
	if (stale)
		forget_connection(c, stale);
	n->opened_ms = clk_ms();
	HASH_ADD_INT(c->connections, fd, n);
	return n->fd;
}

static int is_connected_to(int fd, const struct sockaddr_in *address)
{
	struct sockaddr_in peer = { .sin_family = AF_UNSPEC };
	struct tcp_info info = { .tcpi_state = 0 };
	socklen_t peer_len = sizeof(peer);
	socklen_t info_len = sizeof(info);

	return getpeername(fd, (struct sockaddr *)&peer, &peer_len) == 0 &&
	       peer.sin_family == AF_INET &&
	       peer.sin_addr.s_addr == address->sin_addr.s_addr &&
	       peer.sin_port == address->sin_port &&
	       getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &info_len) == 0 &&
	       info.tcpi_state == TCP_STATE_ESTABLISHED;
}

int httpc_is_connected(const struct httpc *c, const char *address,
		       unsigned port)
{
	const struct httpc_connection *n, *next;
	struct sockaddr_in sa;

	if (addr_parse(&sa, address, port) != ERR_OK)
		return 0;
	/* The table may have a socket that libcurl has closed by itself. */
	HASH_ITER(hh, c->connections, n, next) {
		if (is_connected_to(n->fd, &sa))
			return 1;
	}
	return 0;
}

int httpc_conn_close(void *priv, curl_socket_t fd)
{
	struct httpc *c = priv;
	struct httpc_connection *n = find_connection(c, fd);

	if (n)
		forget_connection(c, n);
	return close(fd);
}

void httpc_conn_use(struct httpc_request *r, int fd)
{
	if (r->connection && r->connection->fd == fd)
		return;
	r->connection = find_connection(r->client, fd);
	if (!r->connection)
		return;
	r->connection_closed = 0;
	r->connection_answers = r->connection->answers;
	r->connection_age_ms = clk_ms() - r->connection->opened_ms;
}

void httpc_conn_finish(struct httpc *c)
{
	struct httpc_connection *n, *next;

	HASH_ITER(hh, c->connections, n, next) {
		forget_connection(c, n);
	}
}

static int find_local_port(int fd)
{
	struct sockaddr_in address = { .sin_family = AF_UNSPEC };
	socklen_t len = sizeof(address);

	if (getsockname(fd, (struct sockaddr *)&address, &len) < 0 ||
	    address.sin_family != AF_INET)
		return 0;
	return ntohs(address.sin_port);
}

void httpc_conn_note_answer(struct httpc_request *r)
{
	struct httpc_connection *n = r->connection;

	if (!n)
		return;
	if (!n->answers++)
		n->local_port = find_local_port(n->fd);
	/* Of a streamed body, the length is gone. */
	if (!r->head.has_length || r->ops->data)
		n->answer_bytes = -1;
	else if (n->answer_bytes >= 0)
		n->answer_bytes += (int64_t)(r->head_bytes + r->answer.len);
}

void httpc_conn_abandon(struct httpc_request *r)
{
	if (r->connection)
		r->connection->answer_bytes = -1;
}

int httpc_conn_has_stray_bytes(const struct httpc *c, int local_port)
{
	const struct httpc_connection *n, *next;

	HASH_ITER(hh, c->connections, n, next) {
		if (n->local_port == local_port)
			return httpc_conn_count_pending(n->fd) > 0;
	}
	return 0;
}

int httpc_conn_has_surplus(const struct httpc_request *r)
{
	int64_t received = r->connection ? count_bytes_of_request(r->connection)
					 : r->received_bytes;
	int64_t answer = (int64_t)(r->head_bytes + r->answer.len);

	if (r->connection && httpc_conn_count_pending(r->connection->fd))
		return 1;
	if (received >= 0 && r->head.has_length)
		return received > answer;
	/*
	 * libcurl closes the connection if it has read more than a body of a
	 * stated length. Behind a chunked one it drops such bytes.
	 */
	return r->connection_closed && httpc_head_is_framed(&r->head) &&
	       !r->head.closes && !r->close_after;
}
