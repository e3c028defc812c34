/* Transfer of this instance's state to others over TCP.  A request contains
   the store revision of the requester's endpoints and the version of its
   configuration.  The response has the changes since then, or everything if
   the logs of changes do not reach back that far.  All endpoints, and a large
   change of the configuration, are sent to a limited number of requesters at a
   time; others are redirected to instances to which they have been sent
   before.  */

#include "relay_private.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "socket.h"
#include "telemetry.h"

/* A transfer without progress for this time is aborted.  */
#define TRANSFER_TIMEOUT_S 0.7
/* Limit of concurrent transfers of all endpoints, and of concurrent transfers
   of a large change of the configuration.  If more of them shared the
   bandwidth, all of them would take too long.  */
#define BULK_TRANSFERS_MAX 8
/* The same for a weak instance, which has little bandwidth.  */
#define WEAK_BULK_TRANSFERS_MAX 2
/* A change of the configuration with a longer encoding than this is large.  A
   few hundred shorter ones take the reader less than 100 ms.  */
#define SMALL_CONFIG_MAX_BYTES 4096
/* Time for which a cached encoding is kept and, for endpoints, sent.  The
   remaining warm-up times of endpoints in it are wrong by up to this time.  */
#define SNAPSHOT_MAX_AGE_MS 250
/* Number of snapshots of which a response consists at most.  */
#define RESPONSE_SNAPSHOTS_MAX 3

/* Kinds of data that are sent to a limited number of requesters.  */
typedef enum bulk_kind
{
  BULK_BACKENDS,
  BULK_CONFIG
} bulk_kind_t;

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
  /* Encoded snapshots to send, one after the other.  Those of all endpoints
     and of the configuration are shared by all transfers that send them.  */
  GBytes *data[RESPONSE_SNAPSHOTS_MAX];
  int data_count;
  int position; /* index in @data of the snapshot that is being sent */
  size_t sent;  /* number of bytes sent of the snapshot at @position */
  bool is_bulk[RELAY_BULK_KINDS]; /* by kind: the response has data of it */
  uint32_t redirect_ip; /* address of another instance that has what is left
                           out of the response; network byte order; 0: none */
} transfer_t;

static void on_accept (struct ev_loop *loop, ev_io *watcher, int events);
static void on_request (struct ev_loop *loop, ev_io *watcher, int events);
static void prepare_response (transfer_t *transfer);
static bool start_bulk (transfer_t *transfer, bulk_kind_t kind);
static void add_data (transfer_t *transfer, GBytes *data);
static unsigned int add_backends (transfer_t *transfer,
                                  wire_request_t *request);
static unsigned int add_config (transfer_t *transfer, wire_request_t *request);
static GBytes *encode_full_snapshot (relay_t *relay, clock_ms_t now);
static GBytes *encode_config_snapshot (relay_t *relay, uint64_t since,
                                       clock_ms_t now);
static void record_completion (const transfer_t *transfer);
static void on_transfer_writable (struct ev_loop *loop, ev_io *watcher,
                                  int events);
static void on_connection_closed (struct ev_loop *loop, ev_io *watcher,
                                  int events);
static void on_transfer_timer (struct ev_loop *loop, ev_timer *watcher,
                               int events);
static void transfer_end (struct ev_loop *loop, transfer_t *transfer);

int
relay_serve_listen (relay_t *relay)
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
relay_serve_close (relay_t *relay)
{
  /* transfer_end() removes the transfer from the array and moves the last
     element to its place.  As the loop goes backwards, the removed transfer
     always is the last element.  */
  for (guint i = relay->transfers->len; i > 0; i--)
    transfer_end (relay->loop, g_ptr_array_index (relay->transfers, i - 1));
  g_clear_pointer (&relay->full_snapshot, g_bytes_unref);
  g_clear_pointer (&relay->config_snapshot, g_bytes_unref);
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
      ev_timer_init (&transfer->timer, on_transfer_timer, TRANSFER_TIMEOUT_S,
                     TRANSFER_TIMEOUT_S);
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
  prepare_response (transfer);
  ev_io_stop (loop, &transfer->read_watcher);
  ev_io_start (loop, &transfer->write_watcher);
}

/* Takes one of the places for transfers of bulk data.  Return: false if none
   is free, or if another instance in the requester's data centre has the data.
 */
static bool
start_bulk (transfer_t *transfer, bulk_kind_t kind)
{
  relay_t *relay = transfer->relay;
  int limit
      = relay->reader->weak ? WEAK_BULK_TRANSFERS_MAX : BULK_TRANSFERS_MAX;
  uint32_t redirect_ip = holders_choose_local (
      &relay->holders[kind], relay->members, transfer->asker);

  if (redirect_ip == 0 && relay->bulk_transfers[kind] < limit)
    {
      relay->bulk_transfers[kind]++;
      transfer->is_bulk[kind] = true;
      return true;
    }
  if (redirect_ip == 0)
    redirect_ip = holders_choose (&relay->holders[kind], transfer->asker);
  /* If both kinds are refused, the configuration is fetched first.  */
  if (transfer->redirect_ip == 0)
    transfer->redirect_ip = redirect_ip;
  return false;
}

/* Adds a snapshot to a response, which takes ownership of it.  */
static void
add_data (transfer_t *transfer, GBytes *data)
{
  transfer->data[transfer->data_count++] = data;
}

/* Adds all endpoints to a response, unless the requester needs only their
   changes, which are a part of the first snapshot.  Changes are small and are
   sent to each requester.  Return: FLEET_PART_BACKENDS if the requester has to
   be refused, or 0.  */
static unsigned int
add_backends (transfer_t *transfer, wire_request_t *request)
{
  relay_t *relay = transfer->relay;

  if ((request->parts & FLEET_PART_BACKENDS) == 0
      || view_has_changes_since (relay->view, request->since))
    {
      telemetry_counter_increment (TELEMETRY_STATE_TRANSFERS, 1);
      return 0;
    }
  request->parts &= ~(unsigned int)FLEET_PART_BACKENDS;
  if (!relay->view->has_all_backends && transfer->redirect_ip == 0)
    transfer->redirect_ip
        = holders_choose (&relay->holders[BULK_BACKENDS], transfer->asker);
  if (!relay->view->has_all_backends || !start_bulk (transfer, BULK_BACKENDS))
    {
      telemetry_counter_increment (TELEMETRY_STATE_TRANSFERS, 2);
      return FLEET_PART_BACKENDS;
    }
  telemetry_counter_increment (TELEMETRY_STATE_TRANSFERS, 0);
  add_data (transfer, encode_full_snapshot (relay, clock_now ()));
  return 0;
}

/* Adds what has changed of the configuration to a response.  Return:
   FLEET_PART_CONFIG if the requester has to be refused, or 0.  */
static unsigned int
add_config (transfer_t *transfer, wire_request_t *request)
{
  relay_t *relay = transfer->relay;
  GBytes *data;

  if ((request->parts & FLEET_PART_CONFIG) == 0 || relay->view->routes == NULL)
    return 0;
  request->parts &= ~(unsigned int)FLEET_PART_CONFIG;
  data = encode_config_snapshot (relay, request->config_version, clock_now ());
  if (g_bytes_get_size (data) > SMALL_CONFIG_MAX_BYTES
      && !start_bulk (transfer, BULK_CONFIG))
    {
      telemetry_counter_increment (TELEMETRY_CONFIG_TRANSFERS, 2);
      g_bytes_unref (data);
      return FLEET_PART_CONFIG;
    }
  telemetry_counter_increment (TELEMETRY_CONFIG_TRANSFERS,
                               transfer->is_bulk[BULK_CONFIG] ? 0 : 1);
  add_data (transfer, data);
  return 0;
}

/* Encodes the response to a request.  */
static void
prepare_response (transfer_t *transfer)
{
  relay_t *relay = transfer->relay;
  wire_request_t request;
  unsigned int refused;

  wire_decode_request (transfer->request, &request);
  transfer->asker = request.asker;
  /* The configuration is sent before the endpoints, as its changes have to
     take effect sooner.  */
  refused = add_config (transfer, &request);
  refused |= add_backends (transfer, &request);
  /* The refusal is stated in a snapshot without the refused part.  */
  if (transfer->data_count == 0 || request.parts != 0 || refused != 0)
    add_data (transfer, g_byte_array_free_to_bytes (wire_encode_snapshot (
                            relay->view, relay->members, &request,
                            transfer->redirect_ip, clock_now ())));
}

/* Returns a reference to an encoding of all endpoints: the cached one, unless
   it is too old or the endpoints have changed.  */
static GBytes *
encode_full_snapshot (relay_t *relay, clock_ms_t now)
{
  static const wire_request_t request = { .parts = FLEET_PART_BACKENDS };

  if (relay->full_snapshot == NULL
      || now - relay->full_snapshot_at > SNAPSHOT_MAX_AGE_MS
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

/* Returns a reference to an encoding of what has changed of the configuration
   after version @since: the cached one, unless it is of other versions.  */
static GBytes *
encode_config_snapshot (relay_t *relay, uint64_t since, clock_ms_t now)
{
  const wire_request_t request
      = { .parts = FLEET_PART_CONFIG, .config_version = since };
  uint64_t version = relay->view->routes->version;

  if (relay->config_snapshot == NULL || relay->config_snapshot_since != since
      || relay->config_snapshot_version != version)
    {
      g_clear_pointer (&relay->config_snapshot, g_bytes_unref);
      relay->config_snapshot
          = g_byte_array_free_to_bytes (wire_encode_snapshot (
              relay->view, relay->members, &request, 0, now));
      relay->config_snapshot_since = since;
      relay->config_snapshot_version = version;
    }
  relay->config_snapshot_used_at = now;
  return g_bytes_ref (relay->config_snapshot);
}

void
relay_serve_drop_cached (relay_t *relay)
{
  g_clear_pointer (&relay->full_snapshot, g_bytes_unref);
}

void
relay_serve_tick (relay_t *relay, clock_ms_t now)
{
  if (now - relay->full_snapshot_at > SNAPSHOT_MAX_AGE_MS)
    g_clear_pointer (&relay->full_snapshot, g_bytes_unref);
  if (now - relay->config_snapshot_used_at > SNAPSHOT_MAX_AGE_MS)
    g_clear_pointer (&relay->config_snapshot, g_bytes_unref);
}

/* Remembers the requester of a completed transfer as an instance that has the
   bulk data of the transfer.  */
static void
record_completion (const transfer_t *transfer)
{
  relay_t *relay = transfer->relay;

  for (int kind = 0; kind < RELAY_BULK_KINDS; kind++)
    {
      if (!transfer->is_bulk[kind])
        continue;
      holders_add (&relay->holders[kind],
                   kind == BULK_CONFIG ? relay->view->routes->version : 0,
                   transfer->asker);
    }
}

static void
on_transfer_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  transfer_t *transfer = watcher->data;
  gsize length = 0;
  const char *data;
  ssize_t n;

  (void)events;
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
  else if (transfer->sent == length
           && transfer->position + 1 < transfer->data_count)
    {
      transfer->position++;
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
  if (n == 0)
    record_completion (transfer);
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
  if (ev_cb (&transfer->read_watcher) == on_connection_closed
      && recv (transfer->read_watcher.fd, &byte, sizeof byte, 0) == 0)
    record_completion (transfer);
  transfer_end (loop, transfer);
}

static void
transfer_end (struct ev_loop *loop, transfer_t *transfer)
{
  ev_io_stop (loop, &transfer->read_watcher);
  ev_io_stop (loop, &transfer->write_watcher);
  ev_timer_stop (loop, &transfer->timer);
  close (transfer->write_watcher.fd);
  for (int kind = 0; kind < RELAY_BULK_KINDS; kind++)
    if (transfer->is_bulk[kind])
      transfer->relay->bulk_transfers[kind]--;
  (void)g_ptr_array_remove_fast (transfer->relay->transfers, transfer);
  for (int i = 0; i < transfer->data_count; i++)
    g_bytes_unref (transfer->data[i]);
  g_free (transfer);
}
