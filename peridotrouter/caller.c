#include "caller.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>

#include "request.h"

#define CHECK_MS 20
#define WAIT_MS 100
/* Descriptors are given out lowest first, so that a longer row of free ones
   ends the table.  */
#define FREE_ROW 256

/* Writes the IP number of an address and returns its port; 0 on failure.  */
static uint16_t
format_address (const struct sockaddr_storage *address, char *text,
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

/* Whether a descriptor is that of the connection; errno is EBADF when it is
   not open.  */
static bool
is_connection (int fd, const struct mg_request_info *info)
{
  struct sockaddr_storage near = { .ss_family = AF_UNSPEC };
  struct sockaddr_storage far = { .ss_family = AF_UNSPEC };
  socklen_t near_length = sizeof near;
  socklen_t far_length = sizeof far;
  char text[INET6_ADDRSTRLEN];

  errno = 0;
  return getpeername (fd, (struct sockaddr *)&far, &far_length) == 0
         && getsockname (fd, (struct sockaddr *)&near, &near_length) == 0
         && format_address (&near, text, sizeof text) == info->server_port
         && format_address (&far, text, sizeof text) == info->remote_port
         && strcmp (text, info->remote_addr) == 0;
}

/* The search costs a system call for each open descriptor, so it is left to
   requests that wait or have long answers, and begins with the descriptor that
   it found last: a worker serves one connection after the other.  */
static int
find_descriptor (caller_t *caller)
{
  static _Thread_local int last;
  const struct mg_request_info *info;
  int row = 0;

  if (caller->fd != 0)
    return caller->fd;
  info = mg_get_request_info (caller->conn);
  caller->fd = -1;
  if (last > 0 && is_connection (last, info))
    {
      caller->fd = last;
      return last;
    }
  for (int fd = 3; row < FREE_ROW; fd++)
    {
      if (is_connection (fd, info))
        {
          caller->fd = last = fd;
          break;
        }
      row = errno == EBADF ? row + 1 : 0;
    }
  return caller->fd;
}

bool
caller_has_left (caller_t *caller)
{
  struct pollfd poll_fd = { .events = POLLRDHUP };
  clock_ms_t now = clock_now_ms ();

  if (caller->checked == 0)
    caller->checked = now;
  if (caller->left || now - caller->checked < CHECK_MS)
    return caller->left;
  caller->checked = now;
  poll_fd.fd = find_descriptor (caller);
  caller->left = poll_fd.fd >= 0 && poll (&poll_fd, 1, 0) > 0
                 && (poll_fd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  return caller->left;
}

size_t
caller_write (caller_t *caller, const void *data, size_t length,
              clock_ms_t until)
{
  struct pollfd poll_fd
      = { .fd = find_descriptor (caller), .events = POLLOUT };
  size_t written = 0;

  if (poll_fd.fd < 0)
    return mg_write (caller->conn, data, length) == (int)length ? length : 0;
  while (written < length)
    {
      ssize_t sent = send (poll_fd.fd, (const char *)data + written,
                           length - written, MSG_DONTWAIT | MSG_NOSIGNAL);

      if (sent > 0)
        written += (size_t)sent;
      else if (sent < 0 && errno == EINTR)
        continue;
      else if (sent == 0 || errno != EAGAIN || clock_now_ms () >= until)
        break;
      else
        (void)poll (&poll_fd, 1, WAIT_MS);
    }
  return written;
}
