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
#define CHUNK 65536
/* Bytes that wait in one direction before reading stops.  */
#define QUEUE_MAX (1 << 20)
#define EVENTS 64
#define BACKLOG 1024
#define BIND_TRIES 16

/* Bytes on their way; none means the end of the stream.  */
typedef struct chunk
{
  struct chunk *next;
  int64_t due_us;
  size_t length;
  size_t written;
  char bytes[];
} chunk_t;

/* One socket of a link and the bytes to be written to it.  */
typedef struct side
{
  int fd;
  uint32_t events; /* as registered */
  struct link *link;
  struct side *other;
  chunk_t *first;
  chunk_t *last;
  size_t queued;
  bool ended;   /* nothing more to read */
  bool blocked; /* the socket takes no more */
} side_t;

typedef struct link
{
  struct link *next;
  struct pair *pair;
  side_t caller;
  side_t target;
  int64_t to_caller; /* bytes since the last change of truncate_after */
  bool frozen;
  bool dead;
} link_t;

typedef struct pair
{
  side_t listener; /* only its descriptor is used */
  int port;
  struct sockaddr_in target;
  bool cut;
  bool frozen; /* new connections, too */
  int64_t delay_us;
  int64_t truncate_after; /* negative: not at all */
  int64_t accepted;
  int64_t bytes;
} pair_t;

struct relay
{
  pthread_mutex_t lock;
  pthread_t thread;
  int epoll;
  int wake;
  bool stopping;
  pair_t pairs[PAIRS_MAX];
  int count;
  link_t *links;
};

static void *run (void *context);
static void set_events (relay_t *relay, side_t *side);
static void write_due (relay_t *relay, side_t *side, int64_t now);

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
    err (1, "relay");
  pthread_mutex_init (&relay->lock, NULL);
  relay->epoll = epoll_create1 (EPOLL_CLOEXEC);
  relay->wake = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (relay->epoll < 0 || relay->wake < 0
      || epoll_ctl (relay->epoll, EPOLL_CTL_ADD, relay->wake, &event) != 0)
    err (1, "relay");
  return relay;
}

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
port_of (int fd)
{
  struct sockaddr_in address = { 0 };
  socklen_t length = sizeof address;

  getsockname (fd, (struct sockaddr *)&address, &length);
  return ntohs (address.sin_port);
}

/* Binds by number also where any port will do: Linux keeps only such a port
   while the socket does not listen, which a cut relies on.  */
static int
bind_listener (int port)
{
  int fd = -EADDRINUSE;

  for (int i = 0; i < BIND_TRIES && fd == -EADDRINUSE; i++)
    {
      int chosen = port;

      if (port == 0)
        {
          fd = bind_port (0);
          if (fd < 0)
            return fd;
          chosen = port_of (fd);
          close (fd);
        }
      fd = bind_port (chosen);
    }
  return fd;
}

int
relay_add (relay_t *relay, int port, const char *target)
{
  pair_t *pair = &relay->pairs[relay->count];
  struct epoll_event event = { .events = EPOLLIN, .data.ptr = pair };
  int fd;

  if (relay->count == PAIRS_MAX)
    return -ENOSPC;
  if (!parse_address (target, &pair->target))
    return -EINVAL;
  fd = bind_listener (port);
  if (fd < 0)
    return fd;
  if (listen (fd, BACKLOG) != 0
      || epoll_ctl (relay->epoll, EPOLL_CTL_ADD, fd, &event) != 0)
    {
      int error = errno;

      close (fd);
      return -error;
    }
  pair->listener.fd = fd;
  pair->port = port_of (fd);
  pair->truncate_after = -1;
  relay->count++;
  return pair->port;
}

void
relay_start (relay_t *relay)
{
  if (pthread_create (&relay->thread, NULL, run, relay) != 0)
    errx (1, "can't start the relay's thread");
}

int
relay_count (const relay_t *relay)
{
  return relay->count;
}

/* ---- Links; all called with the lock held ---- */

static void
abort_side (side_t *side)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  if (side->fd < 0)
    return;
  setsockopt (side->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (side->fd);
  side->fd = -1;
}

static void
reset_link (link_t *link)
{
  abort_side (&link->caller);
  abort_side (&link->target);
  link->dead = true;
}

static void
drop_queue (side_t *side)
{
  while (side->first != NULL)
    {
      chunk_t *chunk = side->first;

      side->first = chunk->next;
      free (chunk);
    }
}

static void
free_dead_links (relay_t *relay)
{
  for (link_t **place = &relay->links; *place != NULL;)
    {
      link_t *link = *place;

      if (!link->dead)
        {
          place = &link->next;
          continue;
        }
      *place = link->next;
      for (int i = 0; i < 2; i++)
        {
          side_t *side = i == 0 ? &link->caller : &link->target;

          drop_queue (side);
          if (side->fd >= 0)
            close (side->fd);
        }
      free (link);
    }
}

/* Registers what the side waits for now.  */
static void
set_events (relay_t *relay, side_t *side)
{
  struct epoll_event event = { .data.ptr = side };
  const link_t *link = side->link;

  if (link->dead || side->fd < 0)
    return;
  if (!link->frozen && !side->ended && side->other->queued < QUEUE_MAX)
    event.events |= EPOLLIN;
  if (!link->frozen && side->blocked)
    event.events |= EPOLLOUT;
  if (event.events == side->events)
    return;
  /* A descriptor without events would still report that its peer closed.  */
  if (event.events == 0)
    epoll_ctl (relay->epoll, EPOLL_CTL_DEL, side->fd, NULL);
  else
    epoll_ctl (relay->epoll, side->events == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD,
               side->fd, &event);
  side->events = event.events;
}

static void
set_link_events (relay_t *relay, link_t *link)
{
  set_events (relay, &link->caller);
  set_events (relay, &link->target);
}

static void
accept_link (relay_t *relay, pair_t *pair)
{
  int fd
      = accept4 (pair->listener.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  int one = 1;
  link_t *link;

  if (fd < 0)
    return;
  link = calloc (1, sizeof *link);
  if (link == NULL)
    err (1, "link");
  link->pair = pair;
  link->frozen = pair->frozen;
  link->caller = (side_t){ .fd = fd, .link = link, .other = &link->target };
  link->target
      = (side_t){ .fd = socket (AF_INET,
                                SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0),
                  .link = link,
                  .other = &link->caller,
                  .blocked = true };
  link->next = relay->links;
  relay->links = link;
  pair->accepted++;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  setsockopt (link->target.fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (link->target.fd, (struct sockaddr *)&pair->target,
               sizeof pair->target)
          != 0
      && errno != EINPROGRESS)
    {
      reset_link (link);
      return;
    }
  set_link_events (relay, link);
}

static void
add_chunk (side_t *side, const char *bytes, size_t length, int64_t due_us)
{
  chunk_t *chunk = malloc (sizeof *chunk + length);

  if (chunk == NULL)
    err (1, "bytes on their way");
  *chunk = (chunk_t){ .due_us = due_us, .length = length };
  memcpy (chunk->bytes, bytes, length);
  if (side->first == NULL)
    side->first = chunk;
  else
    side->last->next = chunk;
  side->last = chunk;
  side->queued += length;
}

static void
read_side (relay_t *relay, side_t *side, int64_t now)
{
  link_t *link = side->link;
  char bytes[CHUNK];
  ssize_t got = read (side->fd, bytes, sizeof bytes);

  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (got < 0)
    {
      reset_link (link);
      return;
    }
  side->ended = got == 0;
  link->pair->bytes += got;
  add_chunk (side->other, bytes, (size_t)got, now + link->pair->delay_us);
  write_due (relay, side->other, now);
}

/* Bytes of the chunk that may be written; the rest is truncated.  */
static size_t
allowed (const side_t *side, const chunk_t *chunk)
{
  const link_t *link = side->link;
  size_t length = chunk->length - chunk->written;
  int64_t left = link->pair->truncate_after - link->to_caller;

  if (side != &link->caller || link->pair->truncate_after < 0
      || left >= (int64_t)length)
    return length;
  return left > 0 ? (size_t)left : 0;
}

static void
write_due (relay_t *relay, side_t *side, int64_t now)
{
  link_t *link = side->link;

  while (!link->dead && !link->frozen && !side->blocked && side->fd >= 0
         && side->first != NULL && side->first->due_us <= now)
    {
      chunk_t *chunk = side->first;
      size_t length = allowed (side, chunk);
      ssize_t put = 0;

      if (length > 0)
        put = send (side->fd, chunk->bytes + chunk->written, length,
                    MSG_NOSIGNAL);
      if (put < 0 && errno != EAGAIN)
        {
          reset_link (link);
          return;
        }
      side->blocked = put < 0;
      if (put < 0)
        break;
      chunk->written += (size_t)put;
      side->queued -= (size_t)put;
      if (side == &link->caller)
        link->to_caller += put;
      if (chunk->length > 0 && allowed (side, chunk) == 0
          && chunk->written < chunk->length)
        {
          link->dead = true;
          return;
        }
      if (chunk->written < chunk->length)
        continue;
      if (chunk->length == 0)
        shutdown (side->fd, SHUT_WR);
      side->first = chunk->next;
      free (chunk);
    }
  if (link->caller.ended && link->target.ended && link->caller.first == NULL
      && link->target.first == NULL)
    link->dead = true;
  set_link_events (relay, link);
}

/* ---- Thread ---- */

/* Writes what is due; returns the next time at which something is.  */
static int64_t
write_all_due (relay_t *relay, int64_t now)
{
  int64_t next_us = INT64_MAX;

  for (link_t *link = relay->links; link != NULL; link = link->next)
    for (int i = 0; i < 2; i++)
      {
        side_t *side = i == 0 ? &link->caller : &link->target;

        if (side->first != NULL && side->first->due_us <= now)
          write_due (relay, side, now);
        if (!link->dead && !link->frozen && !side->blocked
            && side->first != NULL && side->first->due_us < next_us)
          next_us = side->first->due_us;
      }
  return next_us;
}

static bool
is_pair (const relay_t *relay, const void *pointer)
{
  return (const pair_t *)pointer >= relay->pairs
         && (const pair_t *)pointer < relay->pairs + PAIRS_MAX;
}

static void
handle_event (relay_t *relay, const struct epoll_event *event, int64_t now)
{
  side_t *side = event->data.ptr;
  uint64_t count;

  if (side == NULL)
    {
      (void)!read (relay->wake, &count, sizeof count);
      return;
    }
  if (is_pair (relay, side))
    {
      accept_link (relay, event->data.ptr);
      return;
    }
  /* The event may be older than a change made since.  */
  if (side->link->dead || side->link->frozen || side->fd < 0)
    return;
  if (event->events & EPOLLOUT)
    {
      side->blocked = false;
      write_due (relay, side, now);
    }
  if (!side->link->dead && !side->ended
      && event->events & (EPOLLIN | EPOLLHUP | EPOLLERR))
    read_side (relay, side, now);
  if (!side->link->dead && side->ended && event->events & EPOLLERR)
    reset_link (side->link);
  if (!side->link->dead)
    set_link_events (relay, side->link);
}

static void *
run (void *context)
{
  relay_t *relay = context;
  struct epoll_event events[EVENTS];

  pthread_mutex_lock (&relay->lock);
  while (!relay->stopping)
    {
      int64_t now = standin_now_us ();
      int64_t next_us = write_all_due (relay, now);
      int64_t wait_us = next_us == INT64_MAX ? 1000000 : next_us - now;
      struct timespec wait = { 0 };
      int count;

      free_dead_links (relay);
      if (wait_us > 0)
        {
          wait.tv_sec = wait_us / 1000000;
          wait.tv_nsec = wait_us % 1000000 * 1000;
        }
      pthread_mutex_unlock (&relay->lock);
      count = epoll_pwait2 (relay->epoll, events, EVENTS, &wait, NULL);
      pthread_mutex_lock (&relay->lock);
      now = standin_now_us ();
      for (int i = 0; i < count; i++)
        handle_event (relay, &events[i], now);
    }
  pthread_mutex_unlock (&relay->lock);
  return NULL;
}

/* ---- Control ---- */

static void
cut_pair (relay_t *relay, pair_t *pair, bool cut)
{
  struct epoll_event event = { .events = EPOLLIN, .data.ptr = pair };

  if (cut == pair->cut)
    return;
  pair->cut = cut;
  if (!cut)
    {
      if (listen (pair->listener.fd, BACKLOG) != 0
          || epoll_ctl (relay->epoll, EPOLL_CTL_ADD, pair->listener.fd, &event)
                 != 0)
        err (1, "port %d", pair->port);
      return;
    }
  /* On Linux the socket stops listening and keeps its port.  */
  epoll_ctl (relay->epoll, EPOLL_CTL_DEL, pair->listener.fd, NULL);
  shutdown (pair->listener.fd, SHUT_RD);
  for (link_t *link = relay->links; link != NULL; link = link->next)
    if (link->pair == pair)
      reset_link (link);
}

static void
freeze_pair (relay_t *relay, pair_t *pair, bool existing, bool all)
{
  pair->frozen = all;
  for (link_t *link = relay->links; link != NULL; link = link->next)
    if (link->pair == pair && !link->dead && link->target.fd >= 0)
      {
        link->frozen = existing || all;
        set_link_events (relay, link);
      }
}

/* The target loses its connections, the callers notice nothing.  */
static void
half_open_pair (relay_t *relay, const pair_t *pair)
{
  for (link_t *link = relay->links; link != NULL; link = link->next)
    if (link->pair == pair && !link->dead)
      {
        link->frozen = true;
        set_link_events (relay, link);
        abort_side (&link->target);
      }
}

static int
change_pair (relay_t *relay, pair_t *pair, json_object *value)
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
      freeze_pair (relay, pair, strcmp (freeze, "existing") == 0,
                   strcmp (freeze, "all") == 0);
    }
  if (json_object_object_get_ex (value, "delay_ms", &member))
    pair->delay_us = (int64_t)(json_object_get_double (member) * 1000);
  if (json_object_object_get_ex (value, "truncate_after", &member))
    {
      pair->truncate_after = json_object_get_int64 (member);
      for (link_t *link = relay->links; link != NULL; link = link->next)
        if (link->pair == pair)
          link->to_caller = 0;
    }
  if (json_object_object_get_ex (value, "half_open", &member)
      && json_object_get_boolean (member))
    half_open_pair (relay, pair);
  if (json_object_object_get_ex (value, "cut", &member))
    cut_pair (relay, pair, json_object_get_boolean (member));
  return 0;
}

static void
wake (const relay_t *relay)
{
  uint64_t one = 1;

  (void)!write (relay->wake, &one, sizeof one);
}

int
relay_control (relay_t *relay, int pair, json_object *value)
{
  int result;

  if (pair < 0 || pair >= relay->count)
    return -ENOENT;
  pthread_mutex_lock (&relay->lock);
  result = change_pair (relay, &relay->pairs[pair], value);
  pthread_mutex_unlock (&relay->lock);
  wake (relay);
  return result;
}

json_object *
relay_report (relay_t *relay)
{
  json_object *list = json_object_new_array ();

  pthread_mutex_lock (&relay->lock);
  for (int i = 0; i < relay->count; i++)
    {
      const pair_t *pair = &relay->pairs[i];
      json_object *value = json_object_new_object ();
      int open = 0;

      for (const link_t *link = relay->links; link != NULL; link = link->next)
        open += link->pair == pair && !link->dead;
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
  for (link_t *link = relay->links; link != NULL; link = link->next)
    link->dead = true;
  free_dead_links (relay);
  for (int i = 0; i < relay->count; i++)
    close (relay->pairs[i].listener.fd);
  close (relay->epoll);
  close (relay->wake);
  free (relay);
}
