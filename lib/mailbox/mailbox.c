#include "mailbox.h"

#include <ck_ring.h>
#include <errno.h>
#include <limits.h>
#include <poll.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

/* ThreadSanitizer does not see the barriers in Concurrency Kit's assembly, so
   the hand-over of an entry is declared to it.  */
#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#define RELEASE(entry) __tsan_release (entry)
#define ACQUIRE(entry) __tsan_acquire (entry)
#else
#define RELEASE(entry) ((void)0)
#define ACQUIRE(entry) ((void)0)
#endif

/* Writers take a lock and use the ring's single-writer form.  With the form
   for many writers, all spin while one of them is preempted between its two
   steps; with some hundred threads on few cores the process then makes no
   progress. */
struct mailbox
{
  pthread_mutex_t writers;
  ck_ring_t ring;
  ck_ring_buffer_t *buffer;
  int wake;
};

mailbox_t *
mailbox_new (unsigned int capacity)
{
  mailbox_t *box = calloc (1, sizeof *box);

  if (box == NULL)
    return NULL;
  box->buffer = calloc (capacity, sizeof *box->buffer);
  box->wake = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (box->buffer == NULL || box->wake < 0)
    {
      if (box->wake >= 0)
        close (box->wake);
      free (box->buffer);
      free (box);
      return NULL;
    }
  pthread_mutex_init (&box->writers, NULL);
  ck_ring_init (&box->ring, capacity);
  return box;
}

void
mailbox_free (mailbox_t *box)
{
  if (box == NULL)
    return;
  close (box->wake);
  pthread_mutex_destroy (&box->writers);
  free (box->buffer);
  free (box);
}

int
mailbox_put (mailbox_t *box, void *entry)
{
  bool put;

  RELEASE (entry);
  pthread_mutex_lock (&box->writers);
  put = ck_ring_enqueue_spsc (&box->ring, box->buffer, entry);
  pthread_mutex_unlock (&box->writers);
  if (!put)
    return -EAGAIN;
  mailbox_wake (box);
  return 0;
}

void
mailbox_wake (mailbox_t *box)
{
  uint64_t one = 1;

  /* A full counter already wakes the reader.  */
  (void)!write (box->wake, &one, sizeof one);
}

static void *
take (mailbox_t *box)
{
  void *entry;

  if (!ck_ring_dequeue_spsc (&box->ring, box->buffer, &entry))
    return NULL;
  ACQUIRE (entry);
  return entry;
}

void *
mailbox_get (mailbox_t *box, int64_t timeout_ms)
{
  struct pollfd pfd = { .fd = box->wake, .events = POLLIN };
  uint64_t count;
  void *entry = take (box);

  if (entry != NULL)
    return entry;
  if (timeout_ms > INT_MAX)
    timeout_ms = INT_MAX;
  if (poll (&pfd, 1, timeout_ms < 0 ? -1 : (int)timeout_ms) <= 0)
    return NULL;
  /* The counter is cleared before the ring is read, so that an entry put in
     between leaves the descriptor readable.  */
  (void)!read (box->wake, &count, sizeof count);
  return take (box);
}
