#ifndef PERIDOT_MAILBOX_H
#define PERIDOT_MAILBOX_H

/* Mailbox: a bounded first-in, first-out queue of pointers with many producer
   threads and one consumer thread.  */

#include <stdint.h>

typedef struct mailbox mailbox_t;

/**
 * mailbox_new() - create a mailbox
 * @capacity: size of the ring in entries; a power of two, at least 4.  The
 *   mailbox holds one entry less.
 *
 * Return: the mailbox, or NULL when memory or file descriptors run out.
 */
mailbox_t *mailbox_new (unsigned int capacity);

/* Frees a mailbox.  It must be empty and no longer in use by any thread.  */
void mailbox_free (mailbox_t *box);

/**
 * mailbox_put() - append an entry and wake the consumer
 * @entry: the pointer to append; not NULL
 *
 * Any thread may call the function.  It does not wait while the mailbox is
 * full.
 *
 * Return: 0, or -EAGAIN if the mailbox is full.
 */
int mailbox_put (mailbox_t *box, void *entry);

/**
 * mailbox_get() - remove the oldest entry
 * @timeout_ms: longest wait in ms; negative: no limit
 *
 * Only the consumer thread may call the function.  If the mailbox is
 * empty, it waits until an entry is put, mailbox_wake() is called or the
 * timeout has passed.  The wait can end early because of a signal, or because
 * of the wake-up for an entry that was already removed.
 *
 * Return: the entry, or NULL if the mailbox was still empty after the wait.
 */
void *mailbox_get (mailbox_t *box, int64_t timeout_ms);

/* Ends the consumer's wait in mailbox_get().  If the consumer is not waiting,
   its next wait ends at once.  Any thread may call the function.  */
void mailbox_wake (mailbox_t *box);

#endif
