#include "caller.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>

#include "request.h"

#define DISCONNECT_CHECK_INTERVAL_MS 20
#define WRITE_POLL_TIMEOUT_MS 100
/* Number of successive closed descriptors at which the search for a socket
   ends.  The system assigns the lowest free descriptor, so a long gap is
   unlikely to be followed by an open one.  */
#define CLOSED_DESCRIPTORS_MAX 256

/* Formats the IP address of a socket address and returns the port, or 0 on
   failure.  */
static uint16_t
format_ip_address (const struct sockaddr_storage *address, char *text,
                   socklen_t size)
{
  const struct sockaddr_in *v4 = (const struct sockaddr_in *)address;
  const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)address;
  bool is_v6 = address->ss_family == AF_INET6;

  if ((!is_v6 && address->ss_family != AF_INET)
      || inet_ntop (address->ss_family,
                    is_v6 ? (const void *)&v6->sin6_addr
                          : (const void *)&v4->sin_addr,
                    text, size)
             == NULL)
    return 0;
  return ntohs (is_v6 ? v6->sin6_port : v4->sin_port);
}

/* Returns whether a descriptor is the connection's socket.  errno is EBADF if
   the descriptor is not open.  */
static bool
is_socket_of_connection (int fd, const struct mg_request_info *info)
{
  struct sockaddr_storage local = { .ss_family = AF_UNSPEC };
  struct sockaddr_storage peer = { .ss_family = AF_UNSPEC };
  socklen_t local_length = sizeof local;
  socklen_t peer_length = sizeof peer;
  char text[INET6_ADDRSTRLEN];

  errno = 0;
  return getpeername (fd, (struct sockaddr *)&peer, &peer_length) == 0
         && getsockname (fd, (struct sockaddr *)&local, &local_length) == 0
         && format_ip_address (&local, text, sizeof text) == info->server_port
         && format_ip_address (&peer, text, sizeof text) == info->remote_port
         && strcmp (text, info->remote_addr) == 0;
}

/* Finds the descriptor of the connection's socket, which CivetWeb does not
   reveal.  The search costs a system call for each descriptor, so it is done
   only for requests that wait or have long responses.  The descriptor that
   this thread found last is tried first: a worker serves one connection after
   another, so its next request is often on the same descriptor.  */
static int
find_descriptor (client_t *client)
{
  static _Thread_local int last_found;
  const struct mg_request_info *info;
  int successive_closed = 0;

  if (client->fd != 0)
    return client->fd;
  info = mg_get_request_info (client->conn);
  client->fd = -1;
  if (last_found > 0 && is_socket_of_connection (last_found, info))
    {
      client->fd = last_found;
      return last_found;
    }
  for (int fd = 3; successive_closed < CLOSED_DESCRIPTORS_MAX; fd++)
    {
      if (is_socket_of_connection (fd, info))
        {
          client->fd = last_found = fd;
          break;
        }
      successive_closed = errno == EBADF ? successive_closed + 1 : 0;
    }
  return client->fd;
}

bool
client_has_disconnected (client_t *client)
{
  struct pollfd poll_fd = { .events = POLLRDHUP };
  clock_ms_t now = clock_now_ms ();

  if (client->last_check == 0)
    client->last_check = now;
  if (client->disconnected
      || now - client->last_check < DISCONNECT_CHECK_INTERVAL_MS)
    return client->disconnected;
  client->last_check = now;
  poll_fd.fd = find_descriptor (client);
  client->disconnected
      = poll_fd.fd >= 0 && poll (&poll_fd, 1, 0) > 0
        && (poll_fd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  return client->disconnected;
}

size_t
client_write (client_t *client, const void *data, size_t length,
              clock_ms_t deadline)
{
  struct pollfd poll_fd
      = { .fd = find_descriptor (client), .events = POLLOUT };
  size_t written = 0;

  if (poll_fd.fd < 0)
    return mg_write (client->conn, data, length) == (int)length ? length : 0;
  while (written < length)
    {
      ssize_t sent = send (poll_fd.fd, (const char *)data + written,
                           length - written, MSG_DONTWAIT | MSG_NOSIGNAL);

      if (sent > 0)
        written += (size_t)sent;
      else if (sent < 0 && errno == EINTR)
        continue;
      else if (sent == 0 || errno != EAGAIN || clock_now_ms () >= deadline)
        break;
      else
        (void)poll (&poll_fd, 1, WRITE_POLL_TIMEOUT_MS);
    }
  return written;
}
