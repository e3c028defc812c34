#ifndef PERIDOT_MAILBOX_H
#define PERIDOT_MAILBOX_H

/* Bounded ring of pointers from many threads to one.  */

#include <stdint.h>

typedef struct mailbox mailbox_t;

/**
 * mailbox_new() - create a mailbox
 * @capacity: entries; a power of two, at least 4; one entry stays unused
 *
 * Return: the mailbox, or NULL when out of memory or descriptors.
 */
mailbox_t *mailbox_new (unsigned int capacity);

/* Frees an empty mailbox that no thread uses any more.  */
void mailbox_free (mailbox_t *box);

/**
 * mailbox_put() - add an entry and wake the reader; any thread
 * Return: 0, or -EAGAIN when the mailbox is full.
 */
int mailbox_put (mailbox_t *box, void *entry);

/**
 * mailbox_get() - take the oldest entry; reader thread only
 * @timeout_ms: longest wait in ms; negative waits without limit
 *
 * Return: the entry, or NULL after the timeout or mailbox_wake().
 */
void *mailbox_get (mailbox_t *box, int64_t timeout_ms);

/* Lets a waiting mailbox_get() return.  */
void mailbox_wake (mailbox_t *box);

#endif
