#include "connection.h"

#include <errno.h>
#include <limits.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/time.h>
#include <unistd.h>

#define IDLE_MS 10000
#define CONNECTIONS_MAX 256
#define STACK_BYTES (256 * 1024)
#define REAP_MS 1000

typedef struct client
{
  connection_t connection;
  pthread_t thread;
  atomic_bool done;
  struct client *next;
} client_t;

struct peer_server
{
  int fd;
  uint16_t port;
  clock_ms_t idle_ms;
  void *context;
  peer_deliver_t deliver;
  pthread_t thread;
  atomic_bool stopping;
  client_t *clients; /* accept thread; after it ended, peer_server_stop() */
  counters_t counters;
};

static void *
serve (void *arg)
{
  client_t *client = arg;

  peer_connection_serve (&client->connection);
  /* Tells the client at once; the descriptor is closed after the join, so
     that its number can't be used again before.  */
  shutdown (client->connection.fd, SHUT_RDWR);
  atomic_store (&client->done, true);
  return NULL;
}

static int
start_client (peer_server_t *server, int fd)
{
  struct timeval timeout = { .tv_sec = PEER_CONFIRM_MS / 1000 };
  client_t *client = calloc (1, sizeof *client);
  pthread_attr_t attributes;
  int one = 1;
  int err;

  if (client == NULL)
    return -ENOMEM;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  client->connection = (connection_t){ .fd = fd,
                                       .idle_ms = server->idle_ms,
                                       .deliver = server->deliver,
                                       .context = server->context,
                                       .counters = &server->counters };
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, STACK_BYTES);
  err = pthread_create (&client->thread, &attributes, serve, client);
  pthread_attr_destroy (&attributes);
  if (err != 0)
    {
      free (client);
      return -err;
    }
  client->next = server->clients;
  server->clients = client;
  atomic_fetch_add (&server->counters.connections, 1);
  atomic_fetch_add (&server->counters.open, 1);
  return 0;
}

/* Ends the threads of closed connections, or of all.  */
static void
reap (peer_server_t *server, bool all)
{
  client_t **link = &server->clients;

  if (all)
    for (client_t *client = server->clients; client != NULL;
         client = client->next)
      shutdown (client->connection.fd, SHUT_RDWR);
  while (*link != NULL)
    {
      client_t *client = *link;

      if (!all && !atomic_load (&client->done))
        {
          link = &client->next;
          continue;
        }
      pthread_join (client->thread, NULL);
      close (client->connection.fd);
      *link = client->next;
      free (client);
      atomic_fetch_sub (&server->counters.open, 1);
    }
}

static void *
accept_clients (void *arg)
{
  peer_server_t *server = arg;
  struct pollfd pfd = { .fd = server->fd, .events = POLLIN };

  while (!atomic_load (&server->stopping))
    {
      int ready = poll (&pfd, 1, REAP_MS);
      int fd;

      reap (server, false);
      if (ready <= 0)
        continue;
      fd = accept4 (server->fd, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        {
          /* Without descriptors the listener stays readable.  */
          if (!atomic_load (&server->stopping))
            poll (NULL, 0, 10);
          continue;
        }
      if (atomic_load (&server->counters.open) >= CONNECTIONS_MAX
          || start_client (server, fd) != 0)
        close (fd);
    }
  return NULL;
}

static int
listen_on (peer_server_t *server, const char *text)
{
  peer_address_t address;
  struct sockaddr *any = (struct sockaddr *)&address.address;
  int one = 1;
  int err = peer_address_parse (text, &address);

  if (err != 0)
    return err;
  server->fd = socket (any->sa_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (server->fd < 0)
    return -errno;
  /* A process that is started again uses the port of its predecessor.  */
  setsockopt (server->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (server->fd, any, address.length) != 0
      || listen (server->fd, SOMAXCONN) != 0
      || getsockname (server->fd, any, &address.length) != 0)
    {
      err = -errno;
      close (server->fd);
      return err;
    }
  server->port = ntohs (any->sa_family == AF_INET6
                            ? ((struct sockaddr_in6 *)any)->sin6_port
                            : ((struct sockaddr_in *)any)->sin_port);
  return 0;
}

int
peer_server_start (peer_server_t **started,
                   const peer_server_options_t *options)
{
  peer_server_t *server = calloc (1, sizeof *server);
  int err;

  if (server == NULL)
    return -ENOMEM;
  server->idle_ms = options->idle_ms > 0 && options->idle_ms < INT_MAX
                        ? options->idle_ms
                        : IDLE_MS;
  server->context = options->context;
  server->deliver = options->deliver;
  err = listen_on (server, options->address);
  if (err != 0)
    {
      free (server);
      return err;
    }
  err = pthread_create (&server->thread, NULL, accept_clients, server);
  if (err != 0)
    {
      close (server->fd);
      free (server);
      return -err;
    }
  *started = server;
  return 0;
}

void
peer_server_stop (peer_server_t *server)
{
  if (server == NULL)
    return;
  atomic_store (&server->stopping, true);
  shutdown (server->fd, SHUT_RDWR);
  pthread_join (server->thread, NULL);
  reap (server, true);
  close (server->fd);
  free (server);
}

uint16_t
peer_server_get_port (const peer_server_t *server)
{
  return server->port;
}

void
peer_server_get_stats (peer_server_t *server, peer_server_stats_t *stats)
{
  counters_t *counters = &server->counters;

  *stats = (peer_server_stats_t){
    .connections = atomic_load (&counters->connections),
    .open = atomic_load (&counters->open),
    .batches = atomic_load (&counters->batches),
    .messages = atomic_load (&counters->messages),
    .bytes = atomic_load (&counters->bytes),
    .rejected = atomic_load (&counters->rejected),
    .garbage = atomic_load (&counters->garbage),
  };
}
