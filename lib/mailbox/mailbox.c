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

/* ThreadSanitizer does not see the memory barriers in the assembly code of
   Concurrency Kit (ck_ring).  These annotations tell it that putting an entry
   happens before getting it.  */
#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#define TSAN_RELEASE(entry) __tsan_release (entry)
#define TSAN_ACQUIRE(entry) __tsan_acquire (entry)
#else
#define TSAN_RELEASE(entry) ((void)0)
#define TSAN_ACQUIRE(entry) ((void)0)
#endif

/* Producers take a lock and use the single-producer functions of ck_ring.  The
   multi-producer functions put an entry in two steps, and all producers spin
   while one of them is preempted between the steps; with several hundred
   threads on few cores the process then makes no progress.  */
struct mailbox
{
  pthread_mutex_t producer_lock; /* held while an entry is added */
  ck_ring_t ring;                /* ring buffer */
  ck_ring_buffer_t *buffer;      /* memory of the entries in @ring */
  int event_fd; /* eventfd that mailbox_wake() makes readable, to wake the
                   consumer */
};

mailbox_t *
mailbox_new (unsigned int capacity)
{
  mailbox_t *box = calloc (1, sizeof *box);

  if (box == NULL)
    return NULL;
  box->buffer = calloc (capacity, sizeof *box->buffer);
  box->event_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (box->buffer == NULL || box->event_fd < 0)
    {
      if (box->event_fd >= 0)
        close (box->event_fd);
      free (box->buffer);
      free (box);
      return NULL;
    }
  pthread_mutex_init (&box->producer_lock, NULL);
  ck_ring_init (&box->ring, capacity);
  return box;
}

void
mailbox_free (mailbox_t *box)
{
  if (box == NULL)
    return;
  close (box->event_fd);
  pthread_mutex_destroy (&box->producer_lock);
  free (box->buffer);
  free (box);
}

int
mailbox_put (mailbox_t *box, void *entry)
{
  bool added;

  TSAN_RELEASE (entry);
  pthread_mutex_lock (&box->producer_lock);
  added = ck_ring_enqueue_spsc (&box->ring, box->buffer, entry);
  pthread_mutex_unlock (&box->producer_lock);
  if (!added)
    return -EAGAIN;
  mailbox_wake (box);
  return 0;
}

void
mailbox_wake (mailbox_t *box)
{
  uint64_t one = 1;

  /* The write fails only when the counter is at its maximum; the descriptor
     is then readable already.  */
  (void)!write (box->event_fd, &one, sizeof one);
}

/* Removes the oldest entry.  Return: the entry, or NULL if there is none.  */
static void *
dequeue (mailbox_t *box)
{
  void *entry;

  if (!ck_ring_dequeue_spsc (&box->ring, box->buffer, &entry))
    return NULL;
  TSAN_ACQUIRE (entry);
  return entry;
}

void *
mailbox_get (mailbox_t *box, int64_t timeout_ms)
{
  struct pollfd pfd = { .fd = box->event_fd, .events = POLLIN };
  uint64_t count;
  void *entry = dequeue (box);

  if (entry != NULL)
    return entry;
  if (timeout_ms > INT_MAX)
    timeout_ms = INT_MAX;
  if (poll (&pfd, 1, timeout_ms < 0 ? -1 : (int)timeout_ms) <= 0)
    return NULL;
  /* The counter is cleared before the ring is read, so that an entry that is
     added in between makes the descriptor readable again.  */
  (void)!read (box->event_fd, &count, sizeof count);
  return dequeue (box);
}
