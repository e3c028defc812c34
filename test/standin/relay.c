#include "relay.h"
#include "standin.h"

#include <arpa/inet.h>
#include <err.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define PAIRS_MAX 1024
#define READ_MAX_BYTES 65536
/* A side is not read while this many bytes are queued for its peer.  */
#define QUEUE_MAX_BYTES (1 << 20)
#define EVENTS_MAX 64
#define LISTEN_BACKLOG 1024
#define BIND_ATTEMPTS_MAX 16

/* Bytes that were received and are to be forwarded; a chunk of length 0 stands
   for the end of the stream.  */
typedef struct chunk
{
  struct chunk *next;
  int64_t due_us; /* CLOCK_BOOTTIME, earliest time of writing */
  size_t length;
  size_t written;
  char bytes[];
} chunk_t;

/* One socket of a forwarded connection and the bytes to be written to it.  */
typedef struct side
{
  int fd;
  uint32_t events; /* events registered with epoll; 0: not registered */
  struct connection *connection;
  struct side *peer;   /* the other side of the connection */
  chunk_t *head;       /* queue of chunks to be written */
  chunk_t *tail;       /* valid unless the queue is empty */
  size_t queued_bytes; /* bytes in the queue */
  bool eof_read;       /* whether the end of the stream was read */
  bool write_blocked;  /* whether the socket accepts no more bytes */
} side_t;

typedef struct connection
{
  struct connection *next;
  struct pair *pair;
  side_t client;
  side_t target;
  int64_t bytes_to_client; /* bytes sent since truncate_after was last set */
  bool frozen;             /* whether forwarding is suspended */
  bool closed;             /* whether the thread is to close and free it */
} connection_t;

typedef struct pair
{
  side_t listener; /* only its descriptor is used */
  int port;
  struct sockaddr_in target;
  bool cut;               /* whether connections are refused */
  bool frozen;            /* whether new connections start frozen */
  int64_t delay_us;       /* delay added in each direction */
  int64_t truncate_after; /* limit of bytes_to_client; negative: none */
  int64_t accepted;       /* number of accepted connections */
  int64_t bytes;          /* bytes received in both directions */
} pair_t;

struct relay
{
  pthread_mutex_t lock;
  pthread_t thread;
  int epoll_fd;
  int wake_fd; /* eventfd that ends the thread's wait for events */
  bool stopping;
  pair_t pairs[PAIRS_MAX];
  int pair_count;
  connection_t *connections;
};

static void *run_event_loop (void *context);
static void update_side_events (relay_t *relay, side_t *side);
static void write_due_chunks (relay_t *relay, side_t *side, int64_t now_us);

static bool
parse_address (const char *text, struct sockaddr_in *address)
{
  const char *colon = strchr (text, ':');
  char host[16];

  *address = (struct sockaddr_in){ .sin_family = AF_INET };
  if (colon == NULL || (size_t)(colon - text) >= sizeof host)
    return false;
  memcpy (host, text, (size_t)(colon - text));
  host[colon - text] = '\0';
  address->sin_port = htons ((uint16_t)strtoul (colon + 1, NULL, 10));
  return address->sin_port != 0
         && inet_pton (AF_INET, host, &address->sin_addr) == 1;
}

relay_t *
relay_new (void)
{
  relay_t *relay = calloc (1, sizeof *relay);
  struct epoll_event event = { .events = EPOLLIN };

  if (relay == NULL)
    err (1, "can't create the relay");
  pthread_mutex_init (&relay->lock, NULL);
  relay->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  relay->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (relay->epoll_fd < 0 || relay->wake_fd < 0
      || epoll_ctl (relay->epoll_fd, EPOLL_CTL_ADD, relay->wake_fd, &event)
             != 0)
    err (1, "can't create the relay");
  return relay;
}

/* Creates a TCP socket that is bound to a port of loopback; 0 selects a free
   port.  Returns the descriptor or a negative errno.  */
static int
bind_port (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)port),
                                 .sin_addr = { htonl (INADDR_LOOPBACK) } };
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return -errno;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      int error = errno;

      close (fd);
      return -error;
    }
  return fd;
}

static int
get_local_port (int fd)
{
  struct sockaddr_in address = { 0 };
  socklen_t length = sizeof address;

  getsockname (fd, (struct sockaddr *)&address, &length);
  return ntohs (address.sin_port);
}

/* Creates a socket like bind_port(), but binds it to an explicit port number
   even if @port is 0: on Linux, a socket that stops listening keeps its port
   only if it was bound by number, and a pair has to keep its port while it is
   cut.  */
static int
bind_listener (int port)
{
  int fd = -EADDRINUSE;

  for (int i = 0; i < BIND_ATTEMPTS_MAX && fd == -EADDRINUSE; i++)
    {
      int chosen = port;

      if (port == 0)
        {
          fd = bind_port (0);
          if (fd < 0)
            return fd;
          chosen = get_local_port (fd);
          close (fd);
        }
      fd = bind_port (chosen);
    }
  return fd;
}

int
relay_add_pair (relay_t *relay, int port, const char *target)
{
  pair_t *pair = &relay->pairs[relay->pair_count];
  struct epoll_event event = { .events = EPOLLIN, .data.ptr = pair };
  int fd;

  if (relay->pair_count == PAIRS_MAX)
    return -ENOSPC;
  if (!parse_address (target, &pair->target))
    return -EINVAL;
  fd = bind_listener (port);
  if (fd < 0)
    return fd;
  if (listen (fd, LISTEN_BACKLOG) != 0
      || epoll_ctl (relay->epoll_fd, EPOLL_CTL_ADD, fd, &event) != 0)
    {
      int error = errno;

      close (fd);
      return -error;
    }
  pair->listener.fd = fd;
  pair->port = get_local_port (fd);
  pair->truncate_after = -1;
  relay->pair_count++;
  return pair->port;
}

void
relay_start (relay_t *relay)
{
  if (pthread_create (&relay->thread, NULL, run_event_loop, relay) != 0)
    errx (1, "can't create the relay's thread");
}

int
relay_pair_count (const relay_t *relay)
{
  return relay->pair_count;
}

/* ---- Connections; these functions are called with the lock held ---- */

static void
reset_side (side_t *side)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  if (side->fd < 0)
    return;
  setsockopt (side->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (side->fd);
  side->fd = -1;
}

static void
reset_connection (connection_t *connection)
{
  reset_side (&connection->client);
  reset_side (&connection->target);
  connection->closed = true;
}

static void
free_chunks (side_t *side)
{
  while (side->head != NULL)
    {
      chunk_t *chunk = side->head;

      side->head = chunk->next;
      free (chunk);
    }
}

static void
free_closed_connections (relay_t *relay)
{
  for (connection_t **position = &relay->connections; *position != NULL;)
    {
      connection_t *connection = *position;

      if (!connection->closed)
        {
          position = &connection->next;
          continue;
        }
      *position = connection->next;
      for (int i = 0; i < 2; i++)
        {
          side_t *side = i == 0 ? &connection->client : &connection->target;

          free_chunks (side);
          if (side->fd >= 0)
            close (side->fd);
        }
      free (connection);
    }
}

/* Registers with epoll the events that the side now waits for.  */
static void
update_side_events (relay_t *relay, side_t *side)
{
  struct epoll_event event = { .data.ptr = side };
  const connection_t *connection = side->connection;

  if (connection->closed || side->fd < 0)
    return;
  if (!connection->frozen && !side->eof_read
      && side->peer->queued_bytes < QUEUE_MAX_BYTES)
    event.events |= EPOLLIN;
  if (!connection->frozen && side->write_blocked)
    event.events |= EPOLLOUT;
  if (event.events == side->events)
    return;
  /* A descriptor that is registered without events would still report that its
     peer has closed the connection.  */
  if (event.events == 0)
    epoll_ctl (relay->epoll_fd, EPOLL_CTL_DEL, side->fd, NULL);
  else
    epoll_ctl (relay->epoll_fd,
               side->events == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, side->fd,
               &event);
  side->events = event.events;
}

static void
update_events (relay_t *relay, connection_t *connection)
{
  update_side_events (relay, &connection->client);
  update_side_events (relay, &connection->target);
}

static void
accept_connection (relay_t *relay, pair_t *pair)
{
  int fd
      = accept4 (pair->listener.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  int one = 1;
  connection_t *connection;

  if (fd < 0)
    return;
  connection = calloc (1, sizeof *connection);
  if (connection == NULL)
    err (1, "can't allocate a link");
  connection->pair = pair;
  connection->frozen = pair->frozen;
  connection->client = (side_t){ .fd = fd,
                                 .connection = connection,
                                 .peer = &connection->target };
  connection->target
      = (side_t){ .fd = socket (AF_INET,
                                SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0),
                  .connection = connection,
                  .peer = &connection->client,
                  .write_blocked = true };
  connection->next = relay->connections;
  relay->connections = connection;
  pair->accepted++;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  setsockopt (connection->target.fd, IPPROTO_TCP, TCP_NODELAY, &one,
              sizeof one);
  if (connect (connection->target.fd, (struct sockaddr *)&pair->target,
               sizeof pair->target)
          != 0
      && errno != EINPROGRESS)
    {
      reset_connection (connection);
      return;
    }
  update_events (relay, connection);
}

static void
enqueue_chunk (side_t *side, const char *bytes, size_t length, int64_t due_us)
{
  chunk_t *chunk = malloc (sizeof *chunk + length);

  if (chunk == NULL)
    err (1, "can't allocate a chunk");
  *chunk = (chunk_t){ .due_us = due_us, .length = length };
  memcpy (chunk->bytes, bytes, length);
  if (side->head == NULL)
    side->head = chunk;
  else
    side->tail->next = chunk;
  side->tail = chunk;
  side->queued_bytes += length;
}

/* Reads bytes from the socket of a side and queues them at the other side.  */
static void
read_side (relay_t *relay, side_t *side, int64_t now_us)
{
  connection_t *connection = side->connection;
  char bytes[READ_MAX_BYTES];
  ssize_t received = read (side->fd, bytes, sizeof bytes);

  if (received < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (received < 0)
    {
      reset_connection (connection);
      return;
    }
  side->eof_read = received == 0;
  connection->pair->bytes += received;
  enqueue_chunk (side->peer, bytes, (size_t)received,
                 now_us + connection->pair->delay_us);
  write_due_chunks (relay, side->peer, now_us);
}

/* Returns how many of the chunk's unwritten bytes may be written until the
   limit truncate_after is reached.  */
static size_t
get_allowed_length (const side_t *side, const chunk_t *chunk)
{
  const connection_t *connection = side->connection;
  size_t length = chunk->length - chunk->written;
  int64_t remaining
      = connection->pair->truncate_after - connection->bytes_to_client;

  if (side != &connection->client || connection->pair->truncate_after < 0
      || remaining >= (int64_t)length)
    return length;
  return remaining > 0 ? (size_t)remaining : 0;
}

/* Writes the chunks of a side that are due, as far as the socket accepts them.
   Marks the connection as closed when it reaches truncate_after, or when both
   directions have ended.  */
static void
write_due_chunks (relay_t *relay, side_t *side, int64_t now_us)
{
  connection_t *connection = side->connection;

  while (!connection->closed && !connection->frozen && !side->write_blocked
         && side->fd >= 0 && side->head != NULL
         && side->head->due_us <= now_us)
    {
      chunk_t *chunk = side->head;
      size_t length = get_allowed_length (side, chunk);
      ssize_t sent = 0;

      if (length > 0)
        sent = send (side->fd, chunk->bytes + chunk->written, length,
                     MSG_NOSIGNAL);
      if (sent < 0 && errno != EAGAIN)
        {
          reset_connection (connection);
          return;
        }
      side->write_blocked = sent < 0;
      if (sent < 0)
        break;
      chunk->written += (size_t)sent;
      side->queued_bytes -= (size_t)sent;
      if (side == &connection->client)
        connection->bytes_to_client += sent;
      if (chunk->length > 0 && get_allowed_length (side, chunk) == 0
          && chunk->written < chunk->length)
        {
          connection->closed = true;
          return;
        }
      if (chunk->written < chunk->length)
        continue;
      if (chunk->length == 0)
        shutdown (side->fd, SHUT_WR);
      side->head = chunk->next;
      free (chunk);
    }
  if (connection->client.eof_read && connection->target.eof_read
      && connection->client.head == NULL && connection->target.head == NULL)
    connection->closed = true;
  update_events (relay, connection);
}

/* ---- Thread ---- */

/* Writes the chunks of all connections that are due.  Returns the time in us
   at which the next chunk is due, or INT64_MAX if none can be written.  */
static int64_t
write_all_due_chunks (relay_t *relay, int64_t now_us)
{
  int64_t next_us = INT64_MAX;

  for (connection_t *connection = relay->connections; connection != NULL;
       connection = connection->next)
    for (int i = 0; i < 2; i++)
      {
        side_t *side = i == 0 ? &connection->client : &connection->target;

        if (side->head != NULL && side->head->due_us <= now_us)
          write_due_chunks (relay, side, now_us);
        if (!connection->closed && !connection->frozen && !side->write_blocked
            && side->head != NULL && side->head->due_us < next_us)
          next_us = side->head->due_us;
      }
  return next_us;
}

static bool
is_pair (const relay_t *relay, const void *pointer)
{
  return (const pair_t *)pointer >= relay->pairs
         && (const pair_t *)pointer < relay->pairs + PAIRS_MAX;
}

/* Handles an event of epoll.  Its data pointer is NULL for wake_fd, a pair for
   a listener, and otherwise a side.  */
static void
handle_event (relay_t *relay, const struct epoll_event *event, int64_t now_us)
{
  side_t *side = event->data.ptr;
  uint64_t count;

  if (side == NULL)
    {
      (void)!read (relay->wake_fd, &count, sizeof count);
      return;
    }
  if (is_pair (relay, side))
    {
      accept_connection (relay, event->data.ptr);
      return;
    }
  /* The connection may have been closed or frozen after epoll reported the
     event.  */
  if (side->connection->closed || side->connection->frozen || side->fd < 0)
    return;
  if (event->events & EPOLLOUT)
    {
      side->write_blocked = false;
      write_due_chunks (relay, side, now_us);
    }
  if (!side->connection->closed && !side->eof_read
      && event->events & (EPOLLIN | EPOLLHUP | EPOLLERR))
    read_side (relay, side, now_us);
  if (!side->connection->closed && side->eof_read && event->events & EPOLLERR)
    reset_connection (side->connection);
  if (!side->connection->closed)
    update_events (relay, side->connection);
}

static void *
run_event_loop (void *context)
{
  relay_t *relay = context;
  struct epoll_event events[EVENTS_MAX];

  pthread_mutex_lock (&relay->lock);
  while (!relay->stopping)
    {
      int64_t now_us = standin_now_us ();
      int64_t next_us = write_all_due_chunks (relay, now_us);
      int64_t wait_us = next_us == INT64_MAX ? 1000000 : next_us - now_us;
      struct timespec wait = { 0 };
      int count;

      free_closed_connections (relay);
      if (wait_us > 0)
        {
          wait.tv_sec = wait_us / 1000000;
          wait.tv_nsec = wait_us % 1000000 * 1000;
        }
      pthread_mutex_unlock (&relay->lock);
      count = epoll_pwait2 (relay->epoll_fd, events, EVENTS_MAX, &wait, NULL);
      pthread_mutex_lock (&relay->lock);
      now_us = standin_now_us ();
      for (int i = 0; i < count; i++)
        handle_event (relay, &events[i], now_us);
    }
  pthread_mutex_unlock (&relay->lock);
  return NULL;
}

/* ---- Control ---- */

/* Refuses new connections of the pair and resets the present ones, or accepts
   connections again.  */
static void
set_pair_cut (relay_t *relay, pair_t *pair, bool cut)
{
  struct epoll_event event = { .events = EPOLLIN, .data.ptr = pair };

  if (cut == pair->cut)
    return;
  pair->cut = cut;
  if (!cut)
    {
      if (listen (pair->listener.fd, LISTEN_BACKLOG) != 0
          || epoll_ctl (relay->epoll_fd, EPOLL_CTL_ADD, pair->listener.fd,
                        &event)
                 != 0)
        err (1, "can't listen on port %d", pair->port);
      return;
    }
  /* On Linux, shutdown() makes the socket stop listening but keep its
     port.  */
  epoll_ctl (relay->epoll_fd, EPOLL_CTL_DEL, pair->listener.fd, NULL);
  shutdown (pair->listener.fd, SHUT_RD);
  for (connection_t *connection = relay->connections; connection != NULL;
       connection = connection->next)
    if (connection->pair == pair)
      reset_connection (connection);
}

/* Stops forwarding but keeps the connections open: for present and new
   connections if @all, for present ones only if @existing.  Resumes forwarding
   if neither is set.  */
static void
set_pair_frozen (relay_t *relay, pair_t *pair, bool existing, bool all)
{
  pair->frozen = all;
  for (connection_t *connection = relay->connections; connection != NULL;
       connection = connection->next)
    if (connection->pair == pair && !connection->closed
        && connection->target.fd >= 0)
      {
        connection->frozen = existing || all;
        update_events (relay, connection);
      }
}

/* Leaves the connections half-open: those to the target are reset, and those
   of the clients stay open without traffic.  */
static void
make_half_open (relay_t *relay, const pair_t *pair)
{
  for (connection_t *connection = relay->connections; connection != NULL;
       connection = connection->next)
    if (connection->pair == pair && !connection->closed)
      {
        connection->frozen = true;
        update_events (relay, connection);
        reset_side (&connection->target);
      }
}

static int
configure_pair (relay_t *relay, pair_t *pair, json_object *value)
{
  json_object *member;
  const char *freeze;

  if (json_object_object_get_ex (value, "target", &member)
      && !parse_address (json_object_get_string (member), &pair->target))
    return -EINVAL;
  if (json_object_object_get_ex (value, "freeze", &member))
    {
      freeze = json_object_get_string (member);
      if (strcmp (freeze, "existing") != 0 && strcmp (freeze, "all") != 0
          && strcmp (freeze, "none") != 0)
        return -EINVAL;
      set_pair_frozen (relay, pair, strcmp (freeze, "existing") == 0,
                       strcmp (freeze, "all") == 0);
    }
  if (json_object_object_get_ex (value, "delay_ms", &member))
    pair->delay_us = (int64_t)(json_object_get_double (member) * 1000);
  if (json_object_object_get_ex (value, "truncate_after", &member))
    {
      pair->truncate_after = json_object_get_int64 (member);
      for (connection_t *connection = relay->connections; connection != NULL;
           connection = connection->next)
        if (connection->pair == pair)
          connection->bytes_to_client = 0;
    }
  if (json_object_object_get_ex (value, "half_open", &member)
      && json_object_get_boolean (member))
    make_half_open (relay, pair);
  if (json_object_object_get_ex (value, "cut", &member))
    set_pair_cut (relay, pair, json_object_get_boolean (member));
  return 0;
}

/* Ends the thread's wait for events, so that it sees changed settings or that
   it must stop.  */
static void
wake (const relay_t *relay)
{
  uint64_t one = 1;

  (void)!write (relay->wake_fd, &one, sizeof one);
}

int
relay_configure_pair (relay_t *relay, int pair, json_object *value)
{
  int result;

  if (pair < 0 || pair >= relay->pair_count)
    return -ENOENT;
  pthread_mutex_lock (&relay->lock);
  result = configure_pair (relay, &relay->pairs[pair], value);
  pthread_mutex_unlock (&relay->lock);
  wake (relay);
  return result;
}

json_object *
relay_to_json (relay_t *relay)
{
  json_object *list = json_object_new_array ();

  pthread_mutex_lock (&relay->lock);
  for (int i = 0; i < relay->pair_count; i++)
    {
      const pair_t *pair = &relay->pairs[i];
      json_object *value = json_object_new_object ();
      int open = 0;

      for (const connection_t *connection = relay->connections;
           connection != NULL; connection = connection->next)
        open += connection->pair == pair && !connection->closed;
      standin_json_add_int (value, "port", pair->port);
      standin_json_add_int (value, "target_port",
                            ntohs (pair->target.sin_port));
      standin_json_add_int (value, "accepted", pair->accepted);
      standin_json_add_int (value, "open", open);
      standin_json_add_int (value, "bytes", pair->bytes);
      json_object_array_add (list, value);
    }
  pthread_mutex_unlock (&relay->lock);
  return list;
}

void
relay_free (relay_t *relay)
{
  pthread_mutex_lock (&relay->lock);
  relay->stopping = true;
  pthread_mutex_unlock (&relay->lock);
  wake (relay);
  pthread_join (relay->thread, NULL);
  for (connection_t *connection = relay->connections; connection != NULL;
       connection = connection->next)
    connection->closed = true;
  free_closed_connections (relay);
  for (int i = 0; i < relay->pair_count; i++)
    close (relay->pairs[i].listener.fd);
  close (relay->epoll_fd);
  close (relay->wake_fd);
  free (relay);
}
