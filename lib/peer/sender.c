#include "wire.h"

#include "mailbox.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/time.h>
#include <unistd.h>

#define CAPACITY 1024
#define BACKOFF_MIN_MS 50
#define BACKOFF_MAX_MS 500
/* Several batches.  Without a limit the kernel may queue megabytes for each
   peer that doesn't read.  */
#define SEND_BUFFER_BYTES (128 * 1024)

typedef struct item
{
  clock_ms_t put_ms;
  decide_msg_t *msg;
} item_t;

typedef struct counters
{
  atomic_uint_fast64_t messages;
  atomic_uint_fast64_t batches;
  atomic_uint_fast64_t bytes;
  atomic_uint_fast64_t dropped_full;
  atomic_uint_fast64_t dropped_old;
  atomic_uint_fast64_t dropped_unknown;
  atomic_uint_fast64_t reconnects;
  atomic_uint_fast64_t failures;
} counters_t;

struct peer_sender
{
  decide_id_t self;
  peer_address_t address;
  clock_ms_t confirm_ms;
  mailbox_t *box;
  int stop_fd; /* readable when the thread is to end */
  atomic_bool stopping;
  pthread_t thread;
  counters_t counters;
  /* The rest belongs to the thread.  */
  CLIENT *client;
  int fd; /* closed with the client */
  uint64_t opened;
  clock_ms_t backoff_ms;
  item_t *held; /* taken from the mailbox, not yet in a batch */
};

static void
free_item (item_t *item)
{
  if (item == NULL)
    return;
  peer_msg_free (item->msg);
  free (item);
}

static void
disconnect (peer_sender_t *sender)
{
  if (sender->client != NULL)
    clnt_destroy (sender->client);
  sender->client = NULL;
}

/* Connects within the confirmation time.  Return: the socket, or a negative
   error number.  */
static int
open_socket (peer_sender_t *sender)
{
  struct sockaddr *address = (struct sockaddr *)&sender->address.address;
  struct timeval timeout = { .tv_sec = sender->confirm_ms / 1000,
                             .tv_usec = sender->confirm_ms % 1000 * 1000 };
  int fd = socket (address->sa_family,
                   SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  struct pollfd pfd[] = { { .fd = fd, .events = POLLOUT },
                          { .fd = sender->stop_fd, .events = POLLIN } };
  socklen_t length = sizeof (int);
  int buffer = SEND_BUFFER_BYTES;
  int one = 1;
  int err = 0;

  if (fd < 0)
    return -errno;
  setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &buffer, sizeof buffer);
  if (connect (fd, address, sender->address.length) != 0)
    {
      err = errno;
      if (err == EINPROGRESS)
        {
          err = ETIMEDOUT;
          if (poll (pfd, 2, (int)sender->confirm_ms) > 0
              && pfd[0].revents != 0)
            getsockopt (fd, SOL_SOCKET, SO_ERROR, &err, &length);
        }
    }
  /* libtirpc writes with a blocking socket; the timeout keeps a peer that
     doesn't read from holding up the thread.  */
  if (err == 0
      && (fcntl (fd, F_SETFL, 0) != 0
          || setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout)
                 != 0))
    err = errno;
  if (err != 0)
    {
      close (fd);
      return -err;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

static bool
open_connection (peer_sender_t *sender)
{
  struct netbuf address = { .buf = &sender->address.address,
                            .len = sender->address.length,
                            .maxlen = sender->address.length };
  int fd = open_socket (sender);

  if (fd < 0)
    return false;
  sender->client
      = clnt_vc_create (fd, &address, PEER_PROGRAM, PEER_VERSION, 0, 0);
  if (sender->client == NULL)
    {
      close (fd);
      return false;
    }
  clnt_control (sender->client, CLSET_FD_CLOSE, NULL);
  sender->fd = fd;
  if (sender->opened++ > 0)
    atomic_fetch_add (&sender->counters.reconnects, 1);
  return true;
}

/* Return: whether the peer has closed the connection, or sent what nobody
   asked for.  */
static bool
is_closed (const peer_sender_t *sender)
{
  char byte;

  return recv (sender->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0
         || (errno != EAGAIN && errno != EINTR);
}

/* Waits after a failure, longer each time.  */
static void
back_off (peer_sender_t *sender)
{
  struct pollfd pfd = { .fd = sender->stop_fd, .events = POLLIN };

  atomic_fetch_add (&sender->counters.failures, 1);
  poll (&pfd, 1, (int)sender->backoff_ms);
  sender->backoff_ms *= 2;
  if (sender->backoff_ms > BACKOFF_MAX_MS)
    sender->backoff_ms = BACKOFF_MAX_MS;
}

/* Takes the next message that is not too old.  */
static item_t *
take (peer_sender_t *sender, clock_ms_t wait_ms)
{
  item_t *item = sender->held;

  sender->held = NULL;
  for (;;)
    {
      if (item == NULL)
        item = mailbox_get (sender->box, wait_ms);
      if (item == NULL || peer_now () - item->put_ms <= PEER_MESSAGE_AGE_MS)
        return item;
      atomic_fetch_add (&sender->counters.dropped_old, 1);
      free_item (item);
      item = NULL;
    }
}

/* Fills a batch with what has accumulated.  Return: its bytes.  */
static size_t
fill (peer_sender_t *sender, wire_batch *batch)
{
  size_t bytes = 0;
  item_t *item;

  while (batch->messages.messages_len < WIRE_BATCH_MAX
         && (item = take (sender, 0)) != NULL)
    {
      wire_message *wire
          = &batch->messages.messages_val[batch->messages.messages_len];
      size_t size;

      if (peer_encode (item->msg, wire) != 0)
        {
          atomic_fetch_add (&sender->counters.dropped_full, 1);
          free_item (item);
          continue;
        }
      size = xdr_sizeof ((xdrproc_t)xdr_wire_message, wire);
      /* A message above the limit has a batch of its own.  */
      if (bytes > 0 && bytes + size > PEER_BATCH_BYTES)
        {
          xdr_free ((xdrproc_t)xdr_wire_message, wire);
          sender->held = item;
          break;
        }
      bytes += size;
      batch->messages.messages_len++;
      free_item (item);
    }
  return bytes;
}

/* Return: whether the peer confirmed.  */
static bool
call (peer_sender_t *sender, wire_batch *batch)
{
  struct timeval timeout = { .tv_sec = sender->confirm_ms / 1000,
                             .tv_usec = sender->confirm_ms % 1000 * 1000 };

  return clnt_call (sender->client, PEER_DELIVER, (xdrproc_t)xdr_wire_batch,
                    (caddr_t)batch, (xdrproc_t)(void (*) (void))xdr_void, NULL,
                    timeout)
         == RPC_SUCCESS;
}

static void
send_batch (peer_sender_t *sender)
{
  wire_message messages[WIRE_BATCH_MAX];
  wire_batch batch
      = { .sender = sender->self, .messages = { .messages_val = messages } };
  counters_t *counters = &sender->counters;
  size_t bytes = fill (sender, &batch);
  u_int count = batch.messages.messages_len;

  if (count == 0)
    return;
  if (call (sender, &batch))
    {
      atomic_fetch_add (&counters->messages, count);
      atomic_fetch_add (&counters->batches, 1);
      atomic_fetch_add (&counters->bytes, bytes);
      sender->backoff_ms = BACKOFF_MIN_MS;
    }
  else
    {
      /* Not sent again: they may have been delivered.  */
      atomic_fetch_add (&counters->dropped_unknown, count);
      disconnect (sender);
      back_off (sender);
    }
  for (u_int i = 0; i < count; i++)
    xdr_free ((xdrproc_t)xdr_wire_message, &messages[i]);
}

static void *
run (void *arg)
{
  peer_sender_t *sender = arg;
  sigset_t pipe;

  /* libtirpc writes with write(), which raises SIGPIPE when the peer has
     closed the connection.  */
  sigemptyset (&pipe);
  sigaddset (&pipe, SIGPIPE);
  pthread_sigmask (SIG_BLOCK, &pipe, NULL);
  while (!atomic_load (&sender->stopping))
    {
      sender->held = take (sender, -1);
      if (sender->held == NULL)
        continue;
      if (sender->client != NULL && is_closed (sender))
        disconnect (sender);
      if (sender->client == NULL && !open_connection (sender))
        back_off (sender);
      else
        send_batch (sender);
    }
  disconnect (sender);
  return NULL;
}

static void
free_sender (peer_sender_t *sender)
{
  item_t *item;

  free_item (sender->held);
  /* An empty answer may come from an earlier wake-up.  */
  for (int empty = 0; sender->box != NULL && empty < 2;)
    {
      item = mailbox_get (sender->box, 0);
      empty = item == NULL ? empty + 1 : 0;
      free_item (item);
    }
  mailbox_free (sender->box);
  if (sender->stop_fd >= 0)
    close (sender->stop_fd);
  free (sender);
}

/* libtirpc keeps one object for all clients without authentication and looks
   at it before it takes its lock; threads that make their first clients at
   the same time would each allocate one.  */
static void
create_authentication (void)
{
  (void)authnone_create ();
}

int
peer_sender_start (peer_sender_t **started,
                   const peer_sender_options_t *options)
{
  peer_sender_t *sender = calloc (1, sizeof *sender);
  static pthread_once_t once = PTHREAD_ONCE_INIT;
  int err;

  if (sender == NULL)
    return -ENOMEM;
  pthread_once (&once, create_authentication);
  sender->self = options->self;
  sender->confirm_ms
      = options->confirm_ms > 0 ? options->confirm_ms : PEER_CONFIRM_MS;
  sender->backoff_ms = BACKOFF_MIN_MS;
  sender->stop_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  sender->box
      = mailbox_new (options->capacity > 0 ? options->capacity : CAPACITY);
  err = peer_address_parse (options->address, &sender->address);
  if (err == 0 && (sender->stop_fd < 0 || sender->box == NULL))
    err = -ENOMEM;
  if (err == 0)
    err = -pthread_create (&sender->thread, NULL, run, sender);
  if (err != 0)
    {
      free_sender (sender);
      return err;
    }
  *started = sender;
  return 0;
}

void
peer_sender_stop (peer_sender_t *sender)
{
  uint64_t one = 1;

  if (sender == NULL)
    return;
  atomic_store (&sender->stopping, true);
  (void)!write (sender->stop_fd, &one, sizeof one);
  mailbox_wake (sender->box);
  pthread_join (sender->thread, NULL);
  free_sender (sender);
}

int
peer_sender_put (peer_sender_t *sender, const decide_msg_t *msg)
{
  int err = peer_msg_check (msg);
  item_t *item;

  if (err != 0)
    return err;
  item = malloc (sizeof *item);
  if (item == NULL)
    return -ENOMEM;
  item->put_ms = peer_now ();
  item->msg = peer_msg_copy_compact (msg);
  if (item->msg == NULL)
    {
      free (item);
      return -ENOMEM;
    }
  err = mailbox_put (sender->box, item);
  if (err != 0)
    {
      atomic_fetch_add (&sender->counters.dropped_full, 1);
      free_item (item);
    }
  return err;
}

void
peer_sender_get_stats (peer_sender_t *sender, peer_sender_stats_t *stats)
{
  counters_t *counters = &sender->counters;

  *stats = (peer_sender_stats_t){
    .messages = atomic_load (&counters->messages),
    .batches = atomic_load (&counters->batches),
    .bytes = atomic_load (&counters->bytes),
    .dropped_full = atomic_load (&counters->dropped_full),
    .dropped_old = atomic_load (&counters->dropped_old),
    .dropped_unknown = atomic_load (&counters->dropped_unknown),
    .reconnects = atomic_load (&counters->reconnects),
    .failures = atomic_load (&counters->failures),
  };
}
