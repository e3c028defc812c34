/* Transfer of the state from one instance to another over TCP.  The request
   contains the store revision of the requester's endpoints.  The other
   instance responds with the changes since that revision, or with all
   endpoints if its log of changes does not reach back that far.  An instance
   that is already sending all endpoints to FULL_TRANSFERS_MAX others redirects
   further requests for them to instances to which it has sent them before.  */

#include "relay_private.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "socket.h"
#include "telemetry.h"

/* A fetch or transfer without progress for this time is aborted.  */
#define FETCH_TIMEOUT_S 0.7
/* Shortest time between fetches.  Announcements that arrive in the meantime
   may already bring the changes that a fetch would get.  */
#define FETCH_MIN_INTERVAL_MS 200
/* Greatest random addition to FETCH_MIN_INTERVAL_MS, so that instances do not
   fetch at the same time.  */
#define FETCH_JITTER_MAX_MS 300
/* Shortest delay until the next fetch after an instance has not sent the
   requested endpoints, usually because of its other transfers, each of
   which takes about as long as this delay.  */
#define REFUSED_RETRY_MS 100
/* Greatest random addition to REFUSED_RETRY_MS.  */
#define REFUSED_RETRY_JITTER_MAX_MS 200
/* Limit of concurrent transfers of all endpoints.  If more of them shared the
   bandwidth, all of them would take too long.  */
#define FULL_TRANSFERS_MAX 8
/* Limit of the redirects that one fetch follows.  */
#define FETCH_REDIRECTS_MAX 4
/* Time for which the cached encoding of all endpoints is sent.  The remaining
   warm-up times in it are wrong by up to this time.  */
#define FULL_SNAPSHOT_MAX_AGE_MS 250
/* If the endpoints still differ from those of the sender after this many
   consecutive fetches of changes, all endpoints are fetched.  An announcement
   that arrives during a fetch can cause such a difference, but is unlikely to
   do so in this many consecutive fetches.  */
#define FETCH_MISMATCHES_MAX 4
/* Greatest number of bytes that one read from a connection returns.  */
#define READ_BYTES 16384
/* Longest encoded state that is accepted from another instance.  */
#define STATE_MAX_BYTES (32 << 20)

/* A connection on which another instance requests state and receives it.  */
typedef struct transfer
{
  relay_t *relay;
  uint32_t asker; /* address of the requesting instance; network byte order */
  ev_io read_watcher; /* receives the request, and then detects that the other
                         instance has closed the connection */
  ev_io write_watcher;
  ev_timer timer;                   /* aborts a transfer without progress */
  char request[WIRE_REQUEST_BYTES]; /* encoded fleet_wire_request */
  size_t received;                  /* number of bytes in @request so far */
  /* Encoded snapshots to send.  The second one has all endpoints, and the
     first one, which is sent before it, the other requested parts of the
     state; NULL: there is none.  */
  GBytes *data[2];
  int position; /* index in @data of the snapshot that is being sent */
  size_t sent;  /* number of bytes sent of the snapshot at @position */
  bool is_full; /* all endpoints are sent, in the second snapshot */
} transfer_t;

static void on_accept (struct ev_loop *loop, ev_io *watcher, int events);
static void on_request (struct ev_loop *loop, ev_io *watcher, int events);
static void prepare_transfer (transfer_t *transfer);
static GBytes *encode_full_snapshot (relay_t *relay, clock_ms_t now);
static void add_redirect_target (relay_t *relay, uint32_t ip);
static uint32_t next_redirect_target (relay_t *relay, uint32_t asker);
static void on_transfer_writable (struct ev_loop *loop, ev_io *watcher,
                                  int events);
static void on_connection_closed (struct ev_loop *loop, ev_io *watcher,
                                  int events);
static void on_transfer_timer (struct ev_loop *loop, ev_timer *watcher,
                               int events);
static void transfer_end (struct ev_loop *loop, transfer_t *transfer);
static void on_connected (struct ev_loop *loop, ev_io *watcher, int events);
static void on_fetch_readable (struct ev_loop *loop, ev_io *watcher,
                               int events);
static void on_fetch_timer (struct ev_loop *loop, ev_timer *watcher,
                            int events);
static void fetch_end (relay_t *relay);
static void fetch_from (relay_t *relay, uint32_t ip, unsigned int parts,
                        clock_ms_t now);
static void retry_refused_fetch (relay_t *relay, uint32_t redirect_ip,
                                 clock_ms_t now);

int
relay_fetch_listen (relay_t *relay)
{
  relay->tcp_fd = socket_listen (&relay->address);
  if (relay->tcp_fd < 0)
    return relay->tcp_fd;
  ev_io_init (&relay->accept_watcher, on_accept, relay->tcp_fd, EV_READ);
  relay->accept_watcher.data = relay;
  ev_io_start (relay->loop, &relay->accept_watcher);
  return 0;
}

void
relay_fetch_close (relay_t *relay)
{
  fetch_end (relay);
  /* transfer_end() removes the transfer from the array and moves the last
     element to its place.  As the loop goes backwards, the removed transfer
     always is the last element.  */
  for (guint i = relay->transfers->len; i > 0; i--)
    transfer_end (relay->loop, g_ptr_array_index (relay->transfers, i - 1));
  g_clear_pointer (&relay->full_snapshot, g_bytes_unref);
  if (relay->tcp_fd < 0)
    return;
  ev_io_stop (relay->loop, &relay->accept_watcher);
  close (relay->tcp_fd);
}

static void
on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  relay_t *relay = watcher->data;
  int fd;

  (void)events;
  while (
      (fd = accept4 (relay->tcp_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC))
      >= 0)
    {
      transfer_t *transfer = g_new0 (transfer_t, 1);

      transfer->relay = relay;
      g_ptr_array_add (relay->transfers, transfer);
      ev_io_init (&transfer->read_watcher, on_request, fd, EV_READ);
      ev_io_init (&transfer->write_watcher, on_transfer_writable, fd,
                  EV_WRITE);
      ev_timer_init (&transfer->timer, on_transfer_timer, FETCH_TIMEOUT_S,
                     FETCH_TIMEOUT_S);
      transfer->read_watcher.data = transfer;
      transfer->write_watcher.data = transfer;
      transfer->timer.data = transfer;
      ev_io_start (loop, &transfer->read_watcher);
      ev_timer_start (loop, &transfer->timer);
    }
}

static void
on_request (struct ev_loop *loop, ev_io *watcher, int events)
{
  transfer_t *transfer = watcher->data;
  ssize_t n = recv (watcher->fd, transfer->request + transfer->received,
                    sizeof transfer->request - transfer->received, 0);

  (void)events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0)
    {
      transfer_end (loop, transfer);
      return;
    }
  transfer->received += (size_t)n;
  if (transfer->received < sizeof transfer->request)
    return;
  prepare_transfer (transfer);
  ev_io_stop (loop, &transfer->read_watcher);
  ev_io_start (loop, &transfer->write_watcher);
}

/* Encodes the response to a request.  Changes of endpoints and the other parts
   of the state are small and sent to each requester.  All endpoints are sent
   to at most FULL_TRANSFERS_MAX requesters at a time, and only if this
   instance has all of them; other requesters are redirected.  */
static void
prepare_transfer (transfer_t *transfer)
{
  relay_t *relay = transfer->relay;
  clock_ms_t now = clock_now ();
  wire_request_t request;
  uint32_t redirect_ip = 0;

  wire_decode_request (transfer->request, &request);
  transfer->asker = request.asker;
  if ((request.parts & FLEET_PART_BACKENDS) != 0
      && !view_has_changes_since (relay->view, request.since))
    {
      if (!relay->view->has_all_backends
          || relay->full_transfers >= FULL_TRANSFERS_MAX)
        {
          request.parts &= ~(unsigned int)FLEET_PART_BACKENDS;
          redirect_ip = next_redirect_target (relay, transfer->asker);
          telemetry_counter_increment (TELEMETRY_STATE_TRANSFERS, 2);
        }
      else
        {
          request.since = 0;
          transfer->is_full = true;
          relay->full_transfers++;
          telemetry_counter_increment (TELEMETRY_STATE_TRANSFERS, 0);
        }
    }
  else
    telemetry_counter_increment (TELEMETRY_STATE_TRANSFERS, 1);
  /* The encoding of all endpoints is shared by all concurrent transfers.  It
     is therefore encoded as a separate snapshot, which is sent after the one
     with the other parts.  */
  if (transfer->is_full)
    {
      request.parts &= ~(unsigned int)FLEET_PART_BACKENDS;
      transfer->data[1] = encode_full_snapshot (relay, now);
    }
  if (!transfer->is_full || request.parts != 0)
    transfer->data[0] = g_byte_array_free_to_bytes (wire_encode_snapshot (
        relay->view, relay->members, &request, redirect_ip, now));
}

/* Returns a reference to an encoding of all endpoints: the cached one, unless
   it is too old or the endpoints have changed.  */
static GBytes *
encode_full_snapshot (relay_t *relay, clock_ms_t now)
{
  static const wire_request_t request = { .parts = FLEET_PART_BACKENDS };

  if (relay->full_snapshot == NULL
      || now - relay->full_snapshot_at > FULL_SNAPSHOT_MAX_AGE_MS
      || relay->full_snapshot_digest != view_digest (relay->view))
    {
      g_clear_pointer (&relay->full_snapshot, g_bytes_unref);
      relay->full_snapshot = g_byte_array_free_to_bytes (wire_encode_snapshot (
          relay->view, relay->members, &request, 0, now));
      relay->full_snapshot_digest = view_digest (relay->view);
      relay->full_snapshot_at = now;
    }
  return g_bytes_ref (relay->full_snapshot);
}

void
relay_expire_full_snapshot (relay_t *relay, clock_ms_t now)
{
  if (now - relay->full_snapshot_at > FULL_SNAPSHOT_MAX_AGE_MS)
    g_clear_pointer (&relay->full_snapshot, g_bytes_unref);
}

static void
add_redirect_target (relay_t *relay, uint32_t ip)
{
  relay->redirect_targets[relay->redirect_targets_added++
                          % RELAY_REDIRECT_TARGETS_MAX]
      = ip;
}

/* Chooses the instance to which a requester is redirected, round-robin.
   @asker: address of the requester, which is not chosen; network byte order.
   Return: the address of the chosen instance in network byte order; 0: there
   is none.  */
static uint32_t
next_redirect_target (relay_t *relay, uint32_t asker)
{
  unsigned int target_count
      = MIN (relay->redirect_targets_added, RELAY_REDIRECT_TARGETS_MAX);

  for (unsigned int i = 0; i < target_count; i++)
    {
      uint32_t ip
          = relay->redirect_targets[relay->redirect_position++ % target_count];

      if (ip != asker)
        return ip;
    }
  return 0;
}

static void
on_transfer_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  transfer_t *transfer = watcher->data;
  gsize length = 0;
  const char *data;
  ssize_t n;

  (void)events;
  if (transfer->data[transfer->position] == NULL)
    transfer->position = 1;
  data = g_bytes_get_data (transfer->data[transfer->position], &length);
  n = send (watcher->fd, data + transfer->sent, length - transfer->sent,
            MSG_NOSIGNAL);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n > 0)
    {
      transfer->sent += (size_t)n;
      ev_timer_again (loop, &transfer->timer);
    }
  if (n < 0)
    transfer_end (loop, transfer);
  else if (transfer->sent == length && transfer->position == 0
           && transfer->data[1] != NULL)
    {
      transfer->position = 1;
      transfer->sent = 0;
    }
  else if (transfer->sent == length)
    {
      /* Sent data may still be in a kernel buffer, so the transfer counts as
         in progress until the requester closes the connection.  */
      ev_io_stop (loop, &transfer->write_watcher);
      (void)shutdown (watcher->fd, SHUT_WR);
      ev_set_cb (&transfer->read_watcher, on_connection_closed);
      ev_io_start (loop, &transfer->read_watcher);
    }
}

static void
on_connection_closed (struct ev_loop *loop, ev_io *watcher, int events)
{
  transfer_t *transfer = watcher->data;
  char byte;
  ssize_t n = recv (watcher->fd, &byte, sizeof byte, 0);

  (void)events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (transfer->is_full && n == 0)
    add_redirect_target (transfer->relay, transfer->asker);
  transfer_end (loop, transfer);
}

static void
on_transfer_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  transfer_t *transfer = watcher->data;
  char byte;

  (void)events;
  /* If this process was paused, the requester may have closed the connection
     before the timeout although on_connection_closed() was not called.  */
  if (transfer->is_full
      && ev_cb (&transfer->read_watcher) == on_connection_closed
      && recv (transfer->read_watcher.fd, &byte, sizeof byte, 0) == 0)
    add_redirect_target (transfer->relay, transfer->asker);
  transfer_end (loop, transfer);
}

static void
transfer_end (struct ev_loop *loop, transfer_t *transfer)
{
  ev_io_stop (loop, &transfer->read_watcher);
  ev_io_stop (loop, &transfer->write_watcher);
  ev_timer_stop (loop, &transfer->timer);
  close (transfer->write_watcher.fd);
  if (transfer->is_full)
    transfer->relay->full_transfers--;
  (void)g_ptr_array_remove_fast (transfer->relay->transfers, transfer);
  for (int i = 0; i < 2; i++)
    g_clear_pointer (&transfer->data[i], g_bytes_unref);
  g_free (transfer);
}

void
relay_fetch (relay_t *relay, uint32_t ip, unsigned int parts, clock_ms_t now)
{
  if (relay->fetch_fd >= 0 || now < relay->next_fetch_at)
    return;
  relay->fetch_redirects = 0;
  fetch_from (relay, ip, parts, now);
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
  relay->fetch_request
      = (wire_request_t){ .asker = relay->members->own->ip, .parts = parts };
  if (relay->view->has_all_backends
      && relay->fetch_mismatches < FETCH_MISMATCHES_MAX)
    relay->fetch_request.since = relay->view->revision;
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
  fetch_end (relay);
  relay->next_fetch_at = now;
  relay_fetch (relay, ip, FLEET_PART_CONFIG, now);
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

static void
fetch_end (relay_t *relay)
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
  fetch_end (relay);
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
  if ((relay->fetch_request.parts & FLEET_PART_BACKENDS) != 0)
    {
      if ((received.included & FLEET_PART_BACKENDS) == 0)
        retry_refused_fetch (relay, received.elsewhere, now);
      else if (relay->fetch_request.since == 0 || received.digest_matches)
        relay->fetch_mismatches = 0;
      else
        relay->fetch_mismatches++;
    }
  relay->hooks.members_changed (relay->hooks.context);
}

/* Called after a response without the requested endpoints.  Fetches them from
   the instance at @redirect_ip (0: none was named) or, if that is not
   possible, sets a delay until the next fetch.  */
static void
retry_refused_fetch (relay_t *relay, uint32_t redirect_ip, clock_ms_t now)
{
  if (redirect_ip != 0 && redirect_ip != relay->members->own->ip
      && relay->fetch_redirects < FETCH_REDIRECTS_MAX)
    {
      relay->fetch_redirects++;
      fetch_from (relay, redirect_ip, FLEET_PART_BACKENDS, now);
      return;
    }
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
  fetch_end (relay);
}
