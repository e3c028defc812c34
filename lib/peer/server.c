#include "connection.h"

#include <errno.h>
#include <limits.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/time.h>
#include <unistd.h>

#define DEFAULT_IDLE_TIMEOUT_MS 10000
#define CONNECTIONS_MAX 256
#define THREAD_STACK_BYTES (256 * 1024)
/* Threads that have ended are joined when a client connects, and at the latest
   after this time.  */
#define REAP_INTERVAL_MS 1000

/* An accepted connection and the thread that serves it.  */
typedef struct client
{
  peer_connection_t connection;
  pthread_t thread;
  atomic_bool done; /* the thread is about to end and can be joined */
  struct client *next;
} client_t;

struct peer_server
{
  int fd;
  uint16_t port;
  clock_ms_t idle_timeout_ms;
  void *context;
  peer_deliver_t deliver;
  pthread_t accept_thread;
  atomic_bool stopping;
  /* List of connections.  Only the accept thread uses it and, after that has
     ended, peer_server_stop().  */
  client_t *clients;
  peer_server_counters_t counters;
};

static void *
serve_client (void *arg)
{
  client_t *client = arg;

  peer_connection_serve (&client->connection);
  /* shutdown() tells the client at once that the connection has ended.  The
     descriptor is closed only after the thread is joined, so that its number
     isn't reused before that.  */
  shutdown (client->connection.fd, SHUT_RDWR);
  atomic_store (&client->done, true);
  return NULL;
}

static int
start_client (peer_server_t *server, int fd)
{
  struct timeval timeout = { .tv_sec = PEER_CONFIRM_TIMEOUT_MS / 1000 };
  client_t *client = calloc (1, sizeof *client);
  pthread_attr_t attributes;
  int one = 1;
  int err;

  if (client == NULL)
    return -ENOMEM;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  client->connection
      = (peer_connection_t){ .fd = fd,
                             .idle_timeout_ms = server->idle_timeout_ms,
                             .deliver = server->deliver,
                             .context = server->context,
                             .counters = &server->counters };
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, THREAD_STACK_BYTES);
  /* Counted before the thread starts, which may have answered calls before
     pthread_create() returns.  */
  atomic_fetch_add (&server->counters.connections, 1);
  atomic_fetch_add (&server->counters.open, 1);
  err = pthread_create (&client->thread, &attributes, serve_client, client);
  pthread_attr_destroy (&attributes);
  if (err != 0)
    {
      atomic_fetch_sub (&server->counters.connections, 1);
      atomic_fetch_sub (&server->counters.open, 1);
      free (client);
      return -err;
    }
  client->next = server->clients;
  server->clients = client;
  return 0;
}

/* Joins the threads that have finished serving, closes their sockets and
   removes them from the list.  With @all, shuts down every connection first
   and waits for all threads.  */
static void
reap_clients (peer_server_t *server, bool all)
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
      int ready = poll (&pfd, 1, REAP_INTERVAL_MS);
      int fd;

      reap_clients (server, false);
      if (ready <= 0)
        continue;
      fd = accept4 (server->fd, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        {
          /* When the process is out of file descriptors, the listening socket
             stays readable; the pause avoids a busy loop.  */
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
open_listener (peer_server_t *server, const char *text)
{
  peer_address_t address;
  struct sockaddr *sa = (struct sockaddr *)&address.address;
  int one = 1;
  int err = peer_address_parse (text, &address);

  if (err != 0)
    return err;
  server->fd = socket (sa->sa_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (server->fd < 0)
    return -errno;
  /* A restarted process must be able to bind to the port that it used before,
     while old connections are in TIME_WAIT.  */
  setsockopt (server->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (server->fd, sa, address.length) != 0
      || listen (server->fd, SOMAXCONN) != 0
      || getsockname (server->fd, sa, &address.length) != 0)
    {
      err = -errno;
      close (server->fd);
      return err;
    }
  server->port = ntohs (sa->sa_family == AF_INET6
                            ? ((struct sockaddr_in6 *)sa)->sin6_port
                            : ((struct sockaddr_in *)sa)->sin_port);
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
  server->idle_timeout_ms
      = options->idle_timeout_ms > 0 && options->idle_timeout_ms < INT_MAX
            ? options->idle_timeout_ms
            : DEFAULT_IDLE_TIMEOUT_MS;
  server->context = options->context;
  server->deliver = options->deliver;
  err = open_listener (server, options->address);
  if (err != 0)
    {
      free (server);
      return err;
    }
  err = pthread_create (&server->accept_thread, NULL, accept_clients, server);
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
  pthread_join (server->accept_thread, NULL);
  reap_clients (server, true);
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
  peer_server_counters_t *counters = &server->counters;

  *stats = (peer_server_stats_t){
    .connections = atomic_load (&counters->connections),
    .open = atomic_load (&counters->open),
    .batches = atomic_load (&counters->batches),
    .messages = atomic_load (&counters->messages),
    .bytes = atomic_load (&counters->bytes),
    .rejected = atomic_load (&counters->rejected),
    .malformed_calls = atomic_load (&counters->malformed_calls),
  };
}
