#include "socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Greatest number of connections that wait to be accepted.  */
#define LISTEN_BACKLOG 1024
/* The kernel closes a connection when sent bytes stay unacknowledged for this
   time.  Without this limit, a connection to a peer that has lost power would
   stay open for many minutes.  */
#define TCP_UNACKED_TIMEOUT_MS 3000
/* TCP keepalive: after KEEPALIVE_IDLE_S without data, the kernel sends a probe
   every KEEPALIVE_INTERVAL_S and closes the connection after KEEPALIVE_COUNT
   probes without a response.  */
#define KEEPALIVE_IDLE_S 2
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_COUNT 3

static int set_tcp_options (int fd);

int
socket_parse_address (const char *text, struct sockaddr_in *address)
{
  const char *colon = strrchr (text, ':');
  char host[INET_ADDRSTRLEN];
  guint64 port;

  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  if (colon == NULL || (size_t)(colon - text) >= sizeof host)
    return -EINVAL;
  memcpy (host, text, (size_t)(colon - text));
  host[colon - text] = '\0';
  if (inet_pton (AF_INET, host, &address->sin_addr) != 1
      || !g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &port, NULL))
    return -EINVAL;
  address->sin_port = htons ((uint16_t)port);
  return 0;
}

/* Sets the options of a TCP connection.  Return: 0 or a negative errno.  */
static int
set_tcp_options (int fd)
{
  const struct
  {
    int level;
    int name;
    int value;
  } options[] = {
    { IPPROTO_TCP, TCP_NODELAY, 1 },
    { IPPROTO_TCP, TCP_USER_TIMEOUT, TCP_UNACKED_TIMEOUT_MS },
    { SOL_SOCKET, SO_KEEPALIVE, 1 },
    { IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S },
    { IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S },
    { IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_COUNT },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (options); i++)
    if (setsockopt (fd, options[i].level, options[i].name, &options[i].value,
                    sizeof options[i].value)
        != 0)
      return -errno;
  return 0;
}

int
socket_listen (const struct sockaddr_in *address)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int on = 1;
  int result;

  if (fd < 0)
    return -errno;
  (void)setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (const struct sockaddr *)address, sizeof *address) == 0
      && listen (fd, LISTEN_BACKLOG) == 0)
    return fd;
  result = -errno;
  close (fd);
  return result;
}

int
socket_connect (const struct sockaddr_in *address)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int result;

  if (fd < 0)
    return -errno;
  result = set_tcp_options (fd);
  if (result == 0
      && (connect (fd, (const struct sockaddr *)address, sizeof *address) == 0
          || errno == EINPROGRESS))
    return fd;
  if (result == 0)
    result = -errno;
  close (fd);
  return result;
}

int
socket_bind_udp (const struct sockaddr_in *address)
{
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int result;

  if (fd < 0)
    return -errno;
  if (bind (fd, (const struct sockaddr *)address, sizeof *address) == 0)
    return fd;
  result = -errno;
  close (fd);
  return result;
}

int
socket_connect_result (int fd)
{
  int error = 0;
  socklen_t size = sizeof error;

  if (getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
    return -errno;
  return -error;
}
