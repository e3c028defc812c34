/* Transfer of the whole state from one instance to another over TCP.  */

#include "relay_private.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "socket.h"

#define FETCH_TIMEOUT_S 0.7
/* Pause before the next fetch; the statements of that time may already have
   brought what was missing.  */
#define FETCH_GAP_MS 200
/* Spread of the pauses, so that instances don't fetch together.  */
#define FETCH_SPREAD_MS 300
#define READ_SIZE 16384
#define STATE_MAX (32 << 20)

/* State that is being sent to another instance.  */
typedef struct transfer
{
  relay_t *relay;
  ev_io reader;
  ev_io writer;
  ev_timer timer;
  GByteArray *data;
  size_t sent;
} transfer_t;

static void on_accept (struct ev_loop *loop, ev_io *watcher, int events);
static void on_wanted (struct ev_loop *loop, ev_io *watcher, int events);
static void on_transfer (struct ev_loop *loop, ev_io *watcher, int events);
static void on_transfer_timer (struct ev_loop *loop, ev_timer *watcher,
                               int events);
static void transfer_end (struct ev_loop *loop, transfer_t *transfer);
static void on_connected (struct ev_loop *loop, ev_io *watcher, int events);
static void on_fetched (struct ev_loop *loop, ev_io *watcher, int events);
static void on_fetch_timer (struct ev_loop *loop, ev_timer *watcher,
                            int events);
static void fetch_end (relay_t *relay);

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
  if (relay->tcp < 0)
    return;
  ev_io_stop (relay->loop, &relay->tcp_acceptor);
  close (relay->tcp);
}

static void
on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  relay_t *relay = watcher->data;
  int fd = accept4 (relay->tcp, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  transfer_t *transfer;

  (void)events;
  if (fd < 0)
    return;
  transfer = g_new0 (transfer_t, 1);
  transfer->relay = relay;
  ev_io_init (&transfer->reader, on_wanted, fd, EV_READ);
  ev_io_init (&transfer->writer, on_transfer, fd, EV_WRITE);
  ev_timer_init (&transfer->timer, on_transfer_timer, FETCH_TIMEOUT_S, 0);
  transfer->reader.data = transfer;
  transfer->writer.data = transfer;
  transfer->timer.data = transfer;
  ev_io_start (loop, &transfer->reader);
  ev_timer_start (loop, &transfer->timer);
}

static void
on_wanted (struct ev_loop *loop, ev_io *watcher, int events)
{
  transfer_t *transfer = watcher->data;
  relay_t *relay = transfer->relay;
  uint8_t parts;
  ssize_t n = recv (watcher->fd, &parts, sizeof parts, 0);

  (void)events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n != 1)
    {
      transfer_end (loop, transfer);
      return;
    }
  transfer->data
      = wire_snapshot (relay->view, relay->members, parts, clock_now ());
  ev_io_stop (loop, &transfer->reader);
  ev_io_start (loop, &transfer->writer);
}

static void
on_transfer (struct ev_loop *loop, ev_io *watcher, int events)
{
  transfer_t *transfer = watcher->data;
  ssize_t n = send (watcher->fd, transfer->data->data + transfer->sent,
                    transfer->data->len - transfer->sent, MSG_NOSIGNAL);

  (void)events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n > 0)
    transfer->sent += (size_t)n;
  if (n < 0 || transfer->sent == transfer->data->len)
    transfer_end (loop, transfer);
}

static void
on_transfer_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)events;
  transfer_end (loop, watcher->data);
}

static void
transfer_end (struct ev_loop *loop, transfer_t *transfer)
{
  ev_io_stop (loop, &transfer->reader);
  ev_io_stop (loop, &transfer->writer);
  ev_timer_stop (loop, &transfer->timer);
  close (transfer->writer.fd);
  if (transfer->data != NULL)
    g_byte_array_free (transfer->data, TRUE);
  g_free (transfer);
}

void
relay_fetch (relay_t *relay, uint32_t ip, unsigned int parts, clock_ms_t now)
{
  struct sockaddr_in to = relay->address;
  int fd;

  if (relay->fetch_fd >= 0 || now < relay->fetch_after)
    return;
  to.sin_addr.s_addr = ip;
  relay->fetch_after = now + FETCH_GAP_MS;
  fd = socket_connect (&to);
  if (fd < 0)
    {
      g_warning ("state can't be fetched: %s", g_strerror (-fd));
      return;
    }
  relay->fetch_fd = fd;
  relay->fetch_parts = (uint8_t)parts;
  g_byte_array_set_size (relay->fetched, 0);
  ev_io_init (&relay->fetch_reader, on_fetched, fd, EV_READ);
  ev_io_init (&relay->fetch_writer, on_connected, fd, EV_WRITE);
  relay->fetch_writer.data = relay;
  ev_io_start (relay->loop, &relay->fetch_writer);
  ev_timer_init (&relay->fetch_timer, on_fetch_timer, FETCH_TIMEOUT_S, 0);
  relay->fetch_reader.data = relay;
  relay->fetch_timer.data = relay;
  ev_io_start (relay->loop, &relay->fetch_reader);
  ev_timer_start (relay->loop, &relay->fetch_timer);
}

void
relay_fetch_config (relay_t *relay, uint32_t ip, clock_ms_t now)
{
  if (relay->fetch_fd >= 0 && relay->fetch_parts == FLEET_PART_CONFIG)
    return;
  fetch_end (relay);
  relay->fetch_after = now;
  relay_fetch (relay, ip, FLEET_PART_CONFIG, now);
}

static void
on_connected (struct ev_loop *loop, ev_io *watcher, int events)
{
  relay_t *relay = watcher->data;

  (void)events;
  /* A failure shows when the answer is read.  */
  (void)send (watcher->fd, &relay->fetch_parts, sizeof relay->fetch_parts,
              MSG_NOSIGNAL);
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

  (void)loop;
  (void)events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n > 0 && relay->fetched->len + (size_t)n <= STATE_MAX)
    {
      g_byte_array_append (relay->fetched, (const guint8 *)data, (guint)n);
      return;
    }
  fetch_end (relay);
  relay->fetch_after
      = now + FETCH_GAP_MS + g_random_int_range (0, FETCH_SPREAD_MS);
  if (n != 0
      || wire_apply_snapshot ((char *)relay->fetched->data,
                              relay->fetched->len, relay->view, relay->members,
                              now)
             != 0)
    {
      g_warning ("state of another instance was not whole: %u bytes",
                 relay->fetched->len);
      return;
    }
  relay->hooks.members_changed (relay->hooks.context);
}

static void
on_fetch_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  fetch_end (watcher->data);
}
