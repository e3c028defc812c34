#ifndef PERIDOT_STORE_H
#define PERIDOT_STORE_H

/* Client of the platform's object API and instance list.  A client belongs
   to one thread and blocks it; only store_get_stats() may be called by
   others.  Timeouts are durations in ms for the whole call.  */

#include "decide.h"

typedef struct store store_t;

#define STORE_VALUE_MAX (1024 * 1024)

/* Valid during the callback only, or until store_object_clear().  */
typedef struct store_object
{
  char *name;
  uint64_t version;
  uint64_t revision;
  bool deleted;
  char *change_id; /* of the last change; empty when not stated */
  char *body;      /* text; empty when deleted */
} store_object_t;

typedef enum store_result
{
  STORE_OK,
  STORE_CONFLICT,
  STORE_UNKNOWN, /* the change may be in effect, now or later */
  STORE_FAILED   /* the change is not in effect: not sent, or rejected */
} store_result_t;

typedef struct store_write
{
  const char *name;
  const char *body;      /* put only */
  uint64_t expected;     /* version; 0: the object must not exist (put) */
  const char *change_id; /* unique for the change */
  clock_ms_t timeout_ms; /* of the write's answer */
  /* Time in ms for reading the object back when no answer came; 0: none.  */
  clock_ms_t read_back_ms;
} store_write_t;

typedef struct store_written
{
  uint64_t version;  /* new one; of the current object on a conflict */
  uint64_t revision; /* likewise */
  bool read_back;    /* the result was found by reading back */
  int error;         /* negative error number unless STORE_OK */
} store_written_t;

typedef struct store_instance
{
  const char *name;
  const char *data_centre;
  const char *address; /* IP:PORT; empty when not stated */
  bool leaving;
} store_instance_t;

typedef struct store_stats
{
  uint64_t calls;
  uint64_t failures; /* calls without a complete answer */
  uint64_t timeouts;
  uint64_t connections; /* opened */
  uint64_t bytes_sent;
  uint64_t bytes_received;
} store_stats_t;

/**
 * store_new() - create a client; no connection is opened yet
 * @address: IP:PORT of the platform's API
 *
 * Return: the client, or NULL when out of memory.
 */
store_t *store_new (const char *address);
void store_free (store_t *store);

/* Returns the cause of the last failure in words.  */
const char *store_get_error (const store_t *store);
void store_get_stats (store_t *store, store_stats_t *stats);

/**
 * store_read_since() - read the objects changed after a revision
 * @store: client
 * @prefix: start of the names, for example "shared/"
 * @since: revision known; 0 reads all
 * @timeout_ms: for the whole answer
 * @visit: called for each object, in the order of the answer, once the whole
 *   answer has been checked; never called on failure
 * @context: passed to @visit
 * @revision: revision of the answer
 *
 * Return: 0, -ETIMEDOUT, -ECONNREFUSED (no connection), -EIO (cut short or
 * another status), -EPROTO (malformed answer), -EMSGSIZE (a value above
 * STORE_VALUE_MAX, or an answer above 16 MiB), -ENOMEM.
 */
int store_read_since (store_t *store, const char *prefix, uint64_t since,
                      clock_ms_t timeout_ms,
                      void (*visit) (void *context,
                                     const store_object_t *object),
                      void *context, uint64_t *revision);

/**
 * store_get() - read one object
 * @object: set on success; ended with store_object_clear()
 *
 * Return: 0, -ENOENT when it does not exist or is deleted, or an error of
 * store_read_since().
 */
int store_get (store_t *store, const char *name, clock_ms_t timeout_ms,
               store_object_t *object);
void store_object_clear (store_object_t *object);

/**
 * store_put() - conditional update
 * @store: client
 * @write: what to write, and for how long to wait
 * @written: version and revision
 *
 * After a lost answer the object is read back until its change id or a later
 * version shows what happened, or the time is over.  STORE_UNKNOWN is
 * returned when this is not certain.
 */
store_result_t store_put (store_t *store, const store_write_t *write,
                          store_written_t *written);

/* Conditional delete; as store_put(), with an expected version.  */
store_result_t store_delete (store_t *store, const store_write_t *write,
                             store_written_t *written);

/**
 * store_instances() - read the platform's list of instances, which lags
 * Return: 0 or an error of store_read_since().
 */
int store_instances (store_t *store, clock_ms_t timeout_ms,
                     void (*visit) (void *context,
                                    const store_instance_t *instance),
                     void *context);

#endif
