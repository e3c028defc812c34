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

#define DEFAULT_CAPACITY 1024
#define BACKOFF_MIN_MS 50
#define BACKOFF_MAX_MS 500
/* Size of the socket's send buffer, which holds several batches.  Without a
   limit the kernel may buffer megabytes for each peer that doesn't read.  */
#define SEND_BUFFER_BYTES (128 * 1024)

typedef struct queue_entry
{
  clock_ms_t queued_at; /* time as peer_now_ms() */
  decide_msg_t *msg;
} queue_entry_t;

typedef struct sender_counters
{
  atomic_uint_fast64_t messages;
  atomic_uint_fast64_t batches;
  atomic_uint_fast64_t bytes;
  atomic_uint_fast64_t dropped_queue_full;
  atomic_uint_fast64_t dropped_expired;
  atomic_uint_fast64_t dropped_unconfirmed;
  atomic_uint_fast64_t reconnects;
  atomic_uint_fast64_t failures;
} sender_counters_t;

struct peer_sender
{
  decide_id_t self;
  peer_address_t address;
  clock_ms_t confirm_timeout_ms;
  mailbox_t *mailbox;
  int stop_fd; /* eventfd that becomes readable when the thread must end */
  atomic_bool stopping;
  pthread_t thread;
  sender_counters_t counters;
  /* Only the thread uses the following members.  */
  CLIENT *client; /* NULL without a connection */
  int fd;         /* socket of @client, which closes it */
  uint64_t connections_opened;
  clock_ms_t backoff_ms; /* time to wait after the next failure */
  /* Taken from the mailbox but not yet in a batch, or NULL.  */
  queue_entry_t *next_entry;
};

static void
free_entry (queue_entry_t *entry)
{
  if (entry == NULL)
    return;
  peer_msg_free (entry->msg);
  free (entry);
}

static void
disconnect (peer_sender_t *sender)
{
  if (sender->client != NULL)
    clnt_destroy (sender->client);
  sender->client = NULL;
}

/* Connects to the peer within the confirmation timeout.  Return: the socket,
   or a negative error number.  */
static int
connect_socket (peer_sender_t *sender)
{
  struct sockaddr *address = (struct sockaddr *)&sender->address.address;
  struct timeval timeout
      = { .tv_sec = sender->confirm_timeout_ms / 1000,
          .tv_usec = sender->confirm_timeout_ms % 1000 * 1000 };
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
          if (poll (pfd, 2, (int)sender->confirm_timeout_ms) > 0
              && pfd[0].revents != 0)
            getsockopt (fd, SOL_SOCKET, SO_ERROR, &err, &length);
        }
    }
  /* libtirpc writes to the socket in blocking mode.  The send timeout prevents
     a peer that doesn't read from blocking the thread without limit.  */
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
  int fd = connect_socket (sender);

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
  if (sender->connections_opened++ > 0)
    atomic_fetch_add (&sender->counters.reconnects, 1);
  return true;
}

/* Returns whether the connection can't be used for another batch: the peer has
   closed it, or has sent data while no call was in progress.  */
static bool
is_stale (const peer_sender_t *sender)
{
  char byte;

  return recv (sender->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0
         || (errno != EAGAIN && errno != EINTR);
}

/* Counts a failure and waits with exponential backoff, or until the sender is
   stopped.  */
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

/* Returns the next message that has not expired, and drops expired ones.
   Returns NULL when mailbox_get() returns NULL.  */
static queue_entry_t *
take_entry (peer_sender_t *sender, clock_ms_t timeout_ms)
{
  queue_entry_t *entry = sender->next_entry;

  sender->next_entry = NULL;
  for (;;)
    {
      if (entry == NULL)
        entry = mailbox_get (sender->mailbox, timeout_ms);
      if (entry == NULL
          || peer_now_ms () - entry->queued_at <= PEER_MESSAGE_MAX_AGE_MS)
        return entry;
      atomic_fetch_add (&sender->counters.dropped_expired, 1);
      free_entry (entry);
      entry = NULL;
    }
}

/* Fills a batch with queued messages without waiting.  Return: the size of the
   messages in bytes.  */
static size_t
fill_batch (peer_sender_t *sender, wire_batch *batch)
{
  size_t bytes = 0;
  queue_entry_t *entry;

  while (batch->messages.messages_len < WIRE_BATCH_MAX
         && (entry = take_entry (sender, 0)) != NULL)
    {
      wire_message *wire
          = &batch->messages.messages_val[batch->messages.messages_len];
      size_t size;

      if (peer_encode (entry->msg, wire) != 0)
        {
          atomic_fetch_add (&sender->counters.dropped_queue_full, 1);
          free_entry (entry);
          continue;
        }
      size = xdr_sizeof ((xdrproc_t)xdr_wire_message, wire);
      /* A message larger than the limit is sent in a batch of its own.  */
      if (bytes > 0 && bytes + size > PEER_BATCH_MAX_BYTES)
        {
          xdr_free ((xdrproc_t)xdr_wire_message, wire);
          sender->next_entry = entry;
          break;
        }
      bytes += size;
      batch->messages.messages_len++;
      free_entry (entry);
    }
  return bytes;
}

/* Sends a batch and returns whether the peer confirmed it in time.  */
static bool
call_deliver (peer_sender_t *sender, wire_batch *batch)
{
  struct timeval timeout
      = { .tv_sec = sender->confirm_timeout_ms / 1000,
          .tv_usec = sender->confirm_timeout_ms % 1000 * 1000 };

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
  sender_counters_t *counters = &sender->counters;
  size_t bytes = fill_batch (sender, &batch);
  u_int count = batch.messages.messages_len;

  if (count == 0)
    return;
  if (call_deliver (sender, &batch))
    {
      atomic_fetch_add (&counters->messages, count);
      atomic_fetch_add (&counters->batches, 1);
      atomic_fetch_add (&counters->bytes, bytes);
      sender->backoff_ms = BACKOFF_MIN_MS;
    }
  else
    {
      /* The messages are not sent again, because they may have been
         delivered.  */
      atomic_fetch_add (&counters->dropped_unconfirmed, count);
      disconnect (sender);
      back_off (sender);
    }
  for (u_int i = 0; i < count; i++)
    xdr_free ((xdrproc_t)xdr_wire_message, &messages[i]);
}

static void *
run_sender (void *arg)
{
  peer_sender_t *sender = arg;
  sigset_t pipe;

  /* SIGPIPE is blocked, because libtirpc sends with write(), which raises it
     when the peer has closed the connection.  */
  sigemptyset (&pipe);
  sigaddset (&pipe, SIGPIPE);
  pthread_sigmask (SIG_BLOCK, &pipe, NULL);
  while (!atomic_load (&sender->stopping))
    {
      sender->next_entry = take_entry (sender, -1);
      if (sender->next_entry == NULL)
        continue;
      if (sender->client != NULL && is_stale (sender))
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
  queue_entry_t *entry;

  free_entry (sender->next_entry);
  /* An earlier wake-up can make mailbox_get() return NULL once although
     messages are queued, so only two NULLs in a row show that the mailbox is
     empty.  */
  for (int empty = 0; sender->mailbox != NULL && empty < 2;)
    {
      entry = mailbox_get (sender->mailbox, 0);
      empty = entry == NULL ? empty + 1 : 0;
      free_entry (entry);
    }
  mailbox_free (sender->mailbox);
  if (sender->stop_fd >= 0)
    close (sender->stop_fd);
  free (sender);
}

/* Allocates the AUTH_NONE handle of libtirpc, which all clients share, before
   the first sender's thread starts.  authnone_create() checks for the handle
   before it takes its lock, so threads that create their first clients at the
   same time would each allocate one and leak all but one.  */
static void
create_auth_none (void)
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
  pthread_once (&once, create_auth_none);
  sender->self = options->self;
  sender->confirm_timeout_ms = options->confirm_timeout_ms > 0
                                   ? options->confirm_timeout_ms
                                   : PEER_CONFIRM_TIMEOUT_MS;
  sender->backoff_ms = BACKOFF_MIN_MS;
  sender->stop_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  sender->mailbox = mailbox_new (options->capacity > 0 ? options->capacity
                                                       : DEFAULT_CAPACITY);
  err = peer_address_parse (options->address, &sender->address);
  if (err == 0 && (sender->stop_fd < 0 || sender->mailbox == NULL))
    err = -ENOMEM;
  if (err == 0)
    err = -pthread_create (&sender->thread, NULL, run_sender, sender);
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
  mailbox_wake (sender->mailbox);
  pthread_join (sender->thread, NULL);
  free_sender (sender);
}

int
peer_sender_put (peer_sender_t *sender, const decide_msg_t *msg)
{
  int err = peer_msg_check (msg);
  queue_entry_t *entry;

  if (err != 0)
    return err;
  entry = malloc (sizeof *entry);
  if (entry == NULL)
    return -ENOMEM;
  entry->queued_at = peer_now_ms ();
  entry->msg = peer_msg_copy_compact (msg);
  if (entry->msg == NULL)
    {
      free (entry);
      return -ENOMEM;
    }
  err = mailbox_put (sender->mailbox, entry);
  if (err != 0)
    {
      atomic_fetch_add (&sender->counters.dropped_queue_full, 1);
      free_entry (entry);
    }
  return err;
}

void
peer_sender_get_stats (peer_sender_t *sender, peer_sender_stats_t *stats)
{
  sender_counters_t *counters = &sender->counters;

  *stats = (peer_sender_stats_t){
    .messages = atomic_load (&counters->messages),
    .batches = atomic_load (&counters->batches),
    .bytes = atomic_load (&counters->bytes),
    .dropped_queue_full = atomic_load (&counters->dropped_queue_full),
    .dropped_expired = atomic_load (&counters->dropped_expired),
    .dropped_unconfirmed = atomic_load (&counters->dropped_unconfirmed),
    .reconnects = atomic_load (&counters->reconnects),
    .failures = atomic_load (&counters->failures),
  };
}
