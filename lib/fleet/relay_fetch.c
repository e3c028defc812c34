/* Fetching of another instance's state over TCP.  An instance that is already
   sending bulk data to its limit of others refuses it, and may name another
   one that has it.  */

#include "relay_private.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "socket.h"

/* A fetch without progress for this time is aborted.  */
#define FETCH_TIMEOUT_S 0.7
/* Shortest time between fetches.  Announcements that arrive in the meantime
   may already bring the changes that a fetch would get.  */
#define FETCH_MIN_INTERVAL_MS 200
/* Greatest random addition to FETCH_MIN_INTERVAL_MS, so that instances do not
   fetch at the same time.  */
#define FETCH_JITTER_MAX_MS 300
/* Shortest delay until the next fetch after an instance has not sent a
   requested part, usually because of its other transfers, each of which takes
   about as long as this delay.  */
#define REFUSED_RETRY_MS 100
/* Greatest random addition to REFUSED_RETRY_MS.  */
#define REFUSED_RETRY_JITTER_MAX_MS 200
/* Limit of the redirects that one fetch follows.  */
#define FETCH_REDIRECTS_MAX 4
/* If the endpoints still differ from those of the sender after this many
   consecutive fetches of changes, all endpoints are fetched.  An announcement
   that arrives during a fetch can cause such a difference, but is unlikely to
   do so in this many consecutive fetches.  */
#define FETCH_MISMATCHES_MAX 4
/* Greatest number of bytes that one read from a connection returns.  */
#define READ_BYTES 16384
/* Longest encoded state that is accepted from another instance.  */
#define STATE_MAX_BYTES (32 << 20)

static void on_connected (struct ev_loop *loop, ev_io *watcher, int events);
static void on_fetch_readable (struct ev_loop *loop, ev_io *watcher,
                               int events);
static void on_fetch_timer (struct ev_loop *loop, ev_timer *watcher,
                            int events);
static void fetch_later (relay_t *relay, uint32_t ip, unsigned int parts);
static void fetch_from (relay_t *relay, uint32_t ip, unsigned int parts,
                        clock_ms_t now);
static void handle_response (relay_t *relay, const wire_received_t *received,
                             clock_ms_t now);
static void retry_refused_fetch (relay_t *relay, unsigned int refused,
                                 uint32_t redirect_ip, clock_ms_t now);

void
relay_fetch (relay_t *relay, uint32_t ip, unsigned int parts, clock_ms_t now)
{
  if (relay->fetch_fd >= 0)
    return;
  if (now < relay->next_fetch_at)
    {
      fetch_later (relay, ip, parts);
      return;
    }
  relay->fetch_redirects = 0;
  relay->due_parts &= ~parts;
  fetch_from (relay, ip, parts, now);
}

/* Makes relay_fetch_tick() fetch parts of the state that cannot be fetched
   now, if this instance does not know the endpoints yet.  While nobody reads
   the store, no announcement may come soon that would make it try again.  */
static void
fetch_later (relay_t *relay, uint32_t ip, unsigned int parts)
{
  if (relay->view->has_all_backends)
    return;
  relay->due_parts |= parts;
  relay->due_from = ip;
}

static void
fetch_from (relay_t *relay, uint32_t ip, unsigned int parts, clock_ms_t now)
{
  struct sockaddr_in to = relay->address;
  int fd;

  to.sin_addr.s_addr = ip;
  relay->next_fetch_at = now + FETCH_MIN_INTERVAL_MS;
  fd = socket_connect (&to);
  if (fd < 0)
    {
      g_warning ("cannot connect to another instance to fetch its state: %s",
                 g_strerror (-fd));
      return;
    }
  relay->fetch_fd = fd;
  relay->fetch_ip = ip;
  relay->fetch_request
      = (wire_request_t){ .asker = relay->members->own->ip, .parts = parts };
  if (relay->view->has_all_backends
      && relay->fetch_mismatches < FETCH_MISMATCHES_MAX)
    relay->fetch_request.since = relay->view->revision;
  if (relay->view->routes != NULL && !relay->needs_whole_config)
    relay->fetch_request.config_version = relay->view->routes->version;
  g_byte_array_set_size (relay->fetch_buffer, 0);
  ev_io_init (&relay->fetch_read_watcher, on_fetch_readable, fd, EV_READ);
  ev_io_init (&relay->fetch_write_watcher, on_connected, fd, EV_WRITE);
  relay->fetch_write_watcher.data = relay;
  ev_io_start (relay->loop, &relay->fetch_write_watcher);
  ev_timer_init (&relay->fetch_timer, on_fetch_timer, FETCH_TIMEOUT_S,
                 FETCH_TIMEOUT_S);
  relay->fetch_read_watcher.data = relay;
  relay->fetch_timer.data = relay;
  ev_io_start (relay->loop, &relay->fetch_read_watcher);
  ev_timer_start (relay->loop, &relay->fetch_timer);
}

void
relay_fetch_config (relay_t *relay, uint32_t ip, clock_ms_t now)
{
  if (relay->fetch_fd >= 0 && relay->fetch_request.parts == FLEET_PART_CONFIG)
    return;
  if ((relay->due_parts & FLEET_PART_CONFIG) != 0)
    return;
  if (relay->fetch_fd >= 0)
    fetch_later (relay, relay->fetch_ip,
                 relay->fetch_request.parts
                     & ~(unsigned int)FLEET_PART_CONFIG);
  relay_fetch_close (relay);
  relay->next_fetch_at = now;
  relay_fetch (relay, ip, FLEET_PART_CONFIG, now);
}

void
relay_fetch_tick (relay_t *relay, clock_ms_t now)
{
  if (relay->due_parts != 0 && now >= relay->next_fetch_at)
    relay_fetch (relay, relay->due_from, relay->due_parts, now);
}

static void
on_connected (struct ev_loop *loop, ev_io *watcher, int events)
{
  relay_t *relay = watcher->data;
  char data[WIRE_REQUEST_BYTES];

  (void)events;
  wire_encode_request (&relay->fetch_request, data);
  /* If the request cannot be sent, reading the response fails and ends the
     fetch.  */
  (void)send (watcher->fd, data, sizeof data, MSG_NOSIGNAL);
  ev_io_stop (loop, watcher);
}

void
relay_fetch_close (relay_t *relay)
{
  if (relay->fetch_fd < 0)
    return;
  ev_io_stop (relay->loop, &relay->fetch_read_watcher);
  ev_io_stop (relay->loop, &relay->fetch_write_watcher);
  ev_timer_stop (relay->loop, &relay->fetch_timer);
  close (relay->fetch_fd);
  relay->fetch_fd = -1;
}

static void
on_fetch_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  relay_t *relay = watcher->data;
  char data[READ_BYTES];
  ssize_t n = recv (watcher->fd, data, sizeof data, 0);
  clock_ms_t now = clock_now ();
  wire_received_t received = { 0 };

  (void)events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n > 0 && relay->fetch_buffer->len + (size_t)n <= STATE_MAX_BYTES)
    {
      g_byte_array_append (relay->fetch_buffer, (const guint8 *)data,
                           (guint)n);
      ev_timer_again (loop, &relay->fetch_timer);
      return;
    }
  relay_fetch_close (relay);
  relay->next_fetch_at = now + FETCH_MIN_INTERVAL_MS
                         + g_random_int_range (0, FETCH_JITTER_MAX_MS);
  if (n != 0
      || wire_apply_snapshot ((char *)relay->fetch_buffer->data,
                              relay->fetch_buffer->len, relay->view,
                              relay->members, &received, now)
             != 0)
    {
      g_warning (
          "state fetched from another instance is malformed or incomplete: "
          "%u bytes",
          relay->fetch_buffer->len);
      return;
    }
  handle_response (relay, &received, now);
  relay->hooks.members_changed (relay->hooks.context);
}

static void
handle_response (relay_t *relay, const wire_received_t *received,
                 clock_ms_t now)
{
  unsigned int refused = relay->fetch_request.parts & ~received->included
                         & (FLEET_PART_BACKENDS | FLEET_PART_CONFIG);

  if ((relay->fetch_request.parts & received->included & FLEET_PART_BACKENDS)
      != 0)
    {
      if (store_revision_is_zero (relay->fetch_request.since)
          || received->digest_matches)
        relay->fetch_mismatches = 0;
      else
        relay->fetch_mismatches++;
    }
  if (received->config_error == -EBADMSG)
    g_warning ("the configuration that another instance has sent has the "
               "wrong digest; the whole configuration is fetched next");
  if ((received->included & FLEET_PART_CONFIG) != 0)
    relay->needs_whole_config = received->config_error == -EBADMSG;
  if (refused != 0)
    retry_refused_fetch (relay, refused, received->elsewhere, now);
  /* A newer version may have been announced during the fetch.  */
  else if (relay->view->routes != NULL
           && relay->announced_config_version > relay->view->routes->version)
    relay_fetch_config (relay, relay->announced_by, now);
}

/* Called after a response without a requested part.  Fetches it from the
   instance at @redirect_ip (0: none was named) or, if that is not possible,
   sets a delay after which relay_fetch_tick() fetches it.  */
static void
retry_refused_fetch (relay_t *relay, unsigned int refused,
                     uint32_t redirect_ip, clock_ms_t now)
{
  if (redirect_ip != 0 && redirect_ip != relay->members->own->ip
      && relay->fetch_redirects < FETCH_REDIRECTS_MAX)
    {
      relay->fetch_redirects++;
      fetch_from (relay, redirect_ip, refused, now);
      return;
    }
  relay->due_parts = refused;
  relay->due_from
      = relay->announced_by != 0 ? relay->announced_by : relay->fetch_ip;
  relay->next_fetch_at = now + REFUSED_RETRY_MS
                         + g_random_int_range (0, REFUSED_RETRY_JITTER_MAX_MS);
}

static void
on_fetch_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  relay_t *relay = watcher->data;

  (void)loop;
  (void)events;
  g_log_structured ("fleet", G_LOG_LEVEL_INFO, "MESSAGE",
                    "fetching the state of another instance timed out: %u "
                    "bytes, then none for %.1f s",
                    relay->fetch_buffer->len, FETCH_TIMEOUT_S);
  relay_fetch_close (relay);
}
