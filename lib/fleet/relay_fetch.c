/* Transfer of the state from one instance to another over TCP: what changed
   since a revision of the store where that is known, all of it otherwise.  An
   instance that is asked by many at a time sends them on to those that it has
   already given everything.  */

#include "relay_private.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "socket.h"
#include "telemetry.h"

/* A transfer without progress for this time has failed.  */
#define FETCH_TIMEOUT_S 0.7
/* Pause before the next fetch; the statements of that time may already have
   brought what was missing.  */
#define FETCH_GAP_MS 200
/* Spread of the pauses, so that instances don't fetch together.  */
#define FETCH_SPREAD_MS 300
/* Pause of one that was turned away; a transfer takes about as long.  */
#define BUSY_GAP_MS 100
#define BUSY_SPREAD_MS 200
/* Transfers of all endpoints at a time; more would share the link and all be
   late.  */
#define SENDING_ALL_MAX 8
/* A fetch is sent elsewhere at most so many times in a row.  */
#define HOPS_MAX 4
/* Encoded endpoints are used again for this time: their ages are off by as
   much.  */
#define ALL_KEPT_MS 250
/* A statement that arrives while changes are fetched makes the result differ
   from what was sent; after so many in a row something else is wrong and all
   endpoints are fetched.  */
#define MISSES_MAX 4
#define READ_SIZE 16384
#define STATE_MAX (32 << 20)

/* State that is being sent to another instance.  */
typedef struct transfer
{
  relay_t *relay;
  uint32_t asker; /* its address, network byte order */
  ev_io reader;   /* the request, and later that the asker has closed */
  ev_io writer;
  ev_timer timer;
  char request[WIRE_REQUEST_SIZE];
  size_t received;
  GBytes *data[2]; /* sent one after the other; NULL: nothing */
  int position;    /* in @data */
  size_t sent;     /* of the part at it */
  bool all;        /* all endpoints */
} transfer_t;

static void on_accept (struct ev_loop *loop, ev_io *watcher, int events);
static void on_wanted (struct ev_loop *loop, ev_io *watcher, int events);
static void prepare (transfer_t *transfer);
static GBytes *encode_all (relay_t *relay, clock_ms_t now);
static void add_holder (relay_t *relay, uint32_t ip);
static uint32_t name_holder (relay_t *relay, uint32_t asker);
static void on_transfer (struct ev_loop *loop, ev_io *watcher, int events);
static void on_closed (struct ev_loop *loop, ev_io *watcher, int events);
static void on_transfer_timer (struct ev_loop *loop, ev_timer *watcher,
                               int events);
static void transfer_end (struct ev_loop *loop, transfer_t *transfer);
static void on_connected (struct ev_loop *loop, ev_io *watcher, int events);
static void on_fetched (struct ev_loop *loop, ev_io *watcher, int events);
static void on_fetch_timer (struct ev_loop *loop, ev_timer *watcher,
                            int events);
static void fetch_end (relay_t *relay);
static void fetch_from (relay_t *relay, uint32_t ip, unsigned int parts,
                        clock_ms_t now);
static void turned_away (relay_t *relay, uint32_t elsewhere, clock_ms_t now);

int
relay_fetch_listen (relay_t *relay)
{
  relay->tcp = socket_listen (&relay->address);
  if (relay->tcp < 0)
    return relay->tcp;
  ev_io_init (&relay->tcp_acceptor, on_accept, relay->tcp, EV_READ);
  relay->tcp_acceptor.data = relay;
  ev_io_start (relay->loop, &relay->tcp_acceptor);
  return 0;
}

void
relay_fetch_close (relay_t *relay)
{
  fetch_end (relay);
  /* Each takes itself off the list; from its end none changes place.  */
  for (guint i = relay->transfers->len; i > 0; i--)
    transfer_end (relay->loop, g_ptr_array_index (relay->transfers, i - 1));
  g_clear_pointer (&relay->all, g_bytes_unref);
  if (relay->tcp < 0)
    return;
  ev_io_stop (relay->loop, &relay->tcp_acceptor);
  close (relay->tcp);
}

static void
on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  relay_t *relay = watcher->data;
  int fd;

  (void)events;
  while ((fd = accept4 (relay->tcp, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    {
      transfer_t *transfer = g_new0 (transfer_t, 1);

      transfer->relay = relay;
      g_ptr_array_add (relay->transfers, transfer);
      ev_io_init (&transfer->reader, on_wanted, fd, EV_READ);
      ev_io_init (&transfer->writer, on_transfer, fd, EV_WRITE);
      ev_timer_init (&transfer->timer, on_transfer_timer, FETCH_TIMEOUT_S,
                     FETCH_TIMEOUT_S);
      transfer->reader.data = transfer;
      transfer->writer.data = transfer;
      transfer->timer.data = transfer;
      ev_io_start (loop, &transfer->reader);
      ev_timer_start (loop, &transfer->timer);
    }
}

static void
on_wanted (struct ev_loop *loop, ev_io *watcher, int events)
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
  prepare (transfer);
  ev_io_stop (loop, &transfer->reader);
  ev_io_start (loop, &transfer->writer);
}

/* Decides what is sent: changes and the other parts are small and go at once;
   all endpoints go to a few at a time.  */
static void
prepare (transfer_t *transfer)
{
  relay_t *relay = transfer->relay;
  clock_ms_t now = clock_now ();
  wire_request_t request;
  uint32_t elsewhere = 0;

  wire_decode_request (transfer->request, &request);
  transfer->asker = request.asker;
  if ((request.parts & FLEET_PART_BACKENDS) != 0
      && !view_covers (relay->view, request.since))
    {
      if (!relay->view->listed || relay->sending_all >= SENDING_ALL_MAX)
        {
          request.parts &= ~(unsigned int)FLEET_PART_BACKENDS;
          elsewhere = name_holder (relay, transfer->asker);
          telemetry_count (TELEMETRY_STATE_TRANSFERS, 2);
        }
      else
        {
          request.since = 0;
          transfer->all = true;
          relay->sending_all++;
          telemetry_count (TELEMETRY_STATE_TRANSFERS, 0);
        }
    }
  else
    telemetry_count (TELEMETRY_STATE_TRANSFERS, 1);
  /* The endpoints are encoded once for all that ask at the same time.  */
  if (transfer->all)
    {
      request.parts &= ~(unsigned int)FLEET_PART_BACKENDS;
      transfer->data[1] = encode_all (relay, now);
    }
  if (!transfer->all || request.parts != 0)
    transfer->data[0] = g_byte_array_free_to_bytes (
        wire_snapshot (relay->view, relay->members, &request, elsewhere, now));
}

static GBytes *
encode_all (relay_t *relay, clock_ms_t now)
{
  static const wire_request_t request = { .parts = FLEET_PART_BACKENDS };

  if (relay->all == NULL || now - relay->all_at > ALL_KEPT_MS
      || relay->all_digest != view_digest (relay->view))
    {
      g_clear_pointer (&relay->all, g_bytes_unref);
      relay->all = g_byte_array_free_to_bytes (
          wire_snapshot (relay->view, relay->members, &request, 0, now));
      relay->all_digest = view_digest (relay->view);
      relay->all_at = now;
    }
  return g_bytes_ref (relay->all);
}

void
relay_fetch_tick (relay_t *relay, clock_ms_t now)
{
  if (now - relay->all_at > ALL_KEPT_MS)
    g_clear_pointer (&relay->all, g_bytes_unref);
}

static void
add_holder (relay_t *relay, uint32_t ip)
{
  relay->holders[relay->holders_added++ % RELAY_HOLDERS_MAX] = ip;
}

/* The holders are named in turn.  Return: 0: none.  */
static uint32_t
name_holder (relay_t *relay, uint32_t asker)
{
  unsigned int known = MIN (relay->holders_added, RELAY_HOLDERS_MAX);

  for (unsigned int i = 0; i < known; i++)
    {
      uint32_t ip = relay->holders[relay->holders_named++ % known];

      if (ip != asker)
        return ip;
    }
  return 0;
}

static void
on_transfer (struct ev_loop *loop, ev_io *watcher, int events)
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
      /* What the kernel has taken may still wait for the link: the transfer
         lasts until the asker has closed.  */
      ev_io_stop (loop, &transfer->writer);
      (void)shutdown (watcher->fd, SHUT_WR);
      ev_set_cb (&transfer->reader, on_closed);
      ev_io_start (loop, &transfer->reader);
    }
}

static void
on_closed (struct ev_loop *loop, ev_io *watcher, int events)
{
  transfer_t *transfer = watcher->data;
  char none;
  ssize_t n = recv (watcher->fd, &none, sizeof none, 0);

  (void)events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (transfer->all && n == 0)
    add_holder (transfer->relay, transfer->asker);
  transfer_end (loop, transfer);
}

static void
on_transfer_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  transfer_t *transfer = watcher->data;
  char none;

  (void)events;
  /* The asker may have closed while this process stood still.  */
  if (transfer->all && ev_cb (&transfer->reader) == on_closed
      && recv (transfer->reader.fd, &none, sizeof none, 0) == 0)
    add_holder (transfer->relay, transfer->asker);
  transfer_end (loop, transfer);
}

static void
transfer_end (struct ev_loop *loop, transfer_t *transfer)
{
  ev_io_stop (loop, &transfer->reader);
  ev_io_stop (loop, &transfer->writer);
  ev_timer_stop (loop, &transfer->timer);
  close (transfer->writer.fd);
  if (transfer->all)
    transfer->relay->sending_all--;
  (void)g_ptr_array_remove_fast (transfer->relay->transfers, transfer);
  for (int i = 0; i < 2; i++)
    g_clear_pointer (&transfer->data[i], g_bytes_unref);
  g_free (transfer);
}

void
relay_fetch (relay_t *relay, uint32_t ip, unsigned int parts, clock_ms_t now)
{
  if (relay->fetch_fd >= 0 || now < relay->fetch_after)
    return;
  relay->fetch_hops = 0;
  fetch_from (relay, ip, parts, now);
}

static void
fetch_from (relay_t *relay, uint32_t ip, unsigned int parts, clock_ms_t now)
{
  struct sockaddr_in to = relay->address;
  int fd;

  to.sin_addr.s_addr = ip;
  relay->fetch_after = now + FETCH_GAP_MS;
  fd = socket_connect (&to);
  if (fd < 0)
    {
      g_warning ("state can't be fetched: %s", g_strerror (-fd));
      return;
    }
  relay->fetch_fd = fd;
  relay->fetch_request
      = (wire_request_t){ .asker = relay->members->own->ip, .parts = parts };
  if (relay->view->listed && relay->fetch_misses < MISSES_MAX)
    relay->fetch_request.since = relay->view->revision;
  g_byte_array_set_size (relay->fetched, 0);
  ev_io_init (&relay->fetch_reader, on_fetched, fd, EV_READ);
  ev_io_init (&relay->fetch_writer, on_connected, fd, EV_WRITE);
  relay->fetch_writer.data = relay;
  ev_io_start (relay->loop, &relay->fetch_writer);
  ev_timer_init (&relay->fetch_timer, on_fetch_timer, FETCH_TIMEOUT_S,
                 FETCH_TIMEOUT_S);
  relay->fetch_reader.data = relay;
  relay->fetch_timer.data = relay;
  ev_io_start (relay->loop, &relay->fetch_reader);
  ev_timer_start (relay->loop, &relay->fetch_timer);
}

void
relay_fetch_config (relay_t *relay, uint32_t ip, clock_ms_t now)
{
  if (relay->fetch_fd >= 0 && relay->fetch_request.parts == FLEET_PART_CONFIG)
    return;
  fetch_end (relay);
  relay->fetch_after = now;
  relay_fetch (relay, ip, FLEET_PART_CONFIG, now);
}

static void
on_connected (struct ev_loop *loop, ev_io *watcher, int events)
{
  relay_t *relay = watcher->data;
  char data[WIRE_REQUEST_SIZE];

  (void)events;
  wire_encode_request (&relay->fetch_request, data);
  /* A failure shows when the answer is read.  */
  (void)send (watcher->fd, data, sizeof data, MSG_NOSIGNAL);
  ev_io_stop (loop, watcher);
}

static void
fetch_end (relay_t *relay)
{
  if (relay->fetch_fd < 0)
    return;
  ev_io_stop (relay->loop, &relay->fetch_reader);
  ev_io_stop (relay->loop, &relay->fetch_writer);
  ev_timer_stop (relay->loop, &relay->fetch_timer);
  close (relay->fetch_fd);
  relay->fetch_fd = -1;
}

static void
on_fetched (struct ev_loop *loop, ev_io *watcher, int events)
{
  relay_t *relay = watcher->data;
  char data[READ_SIZE];
  ssize_t n = recv (watcher->fd, data, sizeof data, 0);
  clock_ms_t now = clock_now ();
  wire_received_t received = { 0 };

  (void)events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n > 0 && relay->fetched->len + (size_t)n <= STATE_MAX)
    {
      g_byte_array_append (relay->fetched, (const guint8 *)data, (guint)n);
      ev_timer_again (loop, &relay->fetch_timer);
      return;
    }
  fetch_end (relay);
  relay->fetch_after
      = now + FETCH_GAP_MS + g_random_int_range (0, FETCH_SPREAD_MS);
  if (n != 0
      || wire_apply_snapshot ((char *)relay->fetched->data,
                              relay->fetched->len, relay->view, relay->members,
                              &received, now)
             != 0)
    {
      g_warning ("state of another instance was not whole: %u bytes",
                 relay->fetched->len);
      return;
    }
  if ((relay->fetch_request.parts & FLEET_PART_BACKENDS) != 0)
    {
      if ((received.included & FLEET_PART_BACKENDS) == 0)
        turned_away (relay, received.elsewhere, now);
      else if (relay->fetch_request.since == 0 || received.agrees)
        relay->fetch_misses = 0;
      else
        relay->fetch_misses++;
    }
  relay->hooks.members_changed (relay->hooks.context);
}

static void
turned_away (relay_t *relay, uint32_t elsewhere, clock_ms_t now)
{
  if (elsewhere != 0 && elsewhere != relay->members->own->ip
      && relay->fetch_hops < HOPS_MAX)
    {
      relay->fetch_hops++;
      fetch_from (relay, elsewhere, FLEET_PART_BACKENDS, now);
      return;
    }
  relay->fetch_after
      = now + BUSY_GAP_MS + g_random_int_range (0, BUSY_SPREAD_MS);
}

static void
on_fetch_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  relay_t *relay = watcher->data;

  (void)loop;
  (void)events;
  g_log_structured ("fleet", G_LOG_LEVEL_INFO, "MESSAGE",
                    "state of another instance did not arrive: %u bytes, then "
                    "none for %.1f s",
                    relay->fetched->len, FETCH_TIMEOUT_S);
  fetch_end (relay);
}
