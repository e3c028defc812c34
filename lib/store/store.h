#ifndef PERIDOT_STORE_H
#define PERIDOT_STORE_H

/* Client of the platform's object API and instance list.  A client belongs
   to one thread, which its functions block; only store_get_stats() may be
   called by other threads.  Timeouts are in ms and cover a whole request with
   its response.  */

#include "decide.h"

typedef struct store store_t;

/* Largest body of an object.  */
#define STORE_VALUE_MAX_BYTES (1024 * 1024)

/* An object of the store.  It is valid during a callback only, or until
   store_object_clear() when store_get() has set it.  */
typedef struct store_object
{
  char *name;
  uint64_t version;  /* of this object */
  uint64_t revision; /* of the store, when the object was last changed */
  bool deleted;
  char *change_id; /* id of the last change; empty when absent */
  char *body;      /* text; empty when deleted */
} store_object_t;

typedef enum store_result
{
  STORE_OK,
  STORE_CONFLICT, /* the object does not have the expected version */
  STORE_UNKNOWN,  /* the change may be in effect, now or later */
  STORE_FAILED    /* the change is not in effect: not sent, or rejected */
} store_result_t;

/* A conditional update or delete.  */
typedef struct store_write
{
  const char *name;
  const char *body;      /* store_put() only */
  uint64_t expected;     /* version that the object must have; 0: the object
                            must not exist, store_put() only */
  const char *change_id; /* unique id of this change */
  clock_ms_t timeout_ms; /* for the response to the write */
  /* Time in ms for which the object is read back when the response does not
     show the result; 0: not at all.  */
  clock_ms_t read_back_ms;
} store_write_t;

/* Details of the result of a write.  */
typedef struct store_write_details
{
  uint64_t version;   /* new version; the current one on a conflict */
  uint64_t revision;  /* revision of @version */
  bool was_read_back; /* version and revision come from reading back */
  int error;          /* negative error number unless STORE_OK */
} store_write_details_t;

/* An entry of the platform's list of instances.  */
typedef struct store_instance
{
  const char *name;
  const char *data_centre;
  const char *address; /* IP:PORT; empty when absent */
  bool leaving;
} store_instance_t;

/* Counters of a client since it was created.  */
typedef struct store_stats
{
  uint64_t calls;       /* requests, also failed ones */
  uint64_t failures;    /* requests without a complete response */
  uint64_t timeouts;    /* those of @failures that timed out */
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

/* Returns a message that describes the last failure.  */
const char *store_get_error (const store_t *store);
/* Reads the counters; may be called by any thread.  */
void store_get_stats (store_t *store, store_stats_t *stats);

/**
 * store_read_since() - read the objects changed after a revision
 * @store: client
 * @prefix: start of the names, for example "shared/"
 * @since: last revision that is known; 0 reads all objects
 * @timeout_ms: for the whole response
 * @visit: called for each object, in the order of the response, after the
 *   whole response has been checked; not called on failure
 * @context: passed to @visit
 * @revision: set on success to the revision of the response
 *
 * Return: 0, -ETIMEDOUT, -ECONNREFUSED (no connection), -EIO (truncated
 * response or a status other than 200), -ENOENT (status 404), -EPROTO
 * (malformed response), -EMSGSIZE (a value above STORE_VALUE_MAX_BYTES, or a
 * response above 16 MiB), -ENOMEM.
 */
int store_read_since (store_t *store, const char *prefix, uint64_t since,
                      clock_ms_t timeout_ms,
                      void (*visit) (void *context,
                                     const store_object_t *object),
                      void *context, uint64_t *revision);

/**
 * store_get() - read one object
 * @store: client
 * @name: name of the object
 * @timeout_ms: for the whole response
 * @object: set on success; store_object_clear() frees its members
 *
 * Return: 0, -ENOENT when the object does not exist or is deleted, or an error
 * of store_read_since().
 */
int store_get (store_t *store, const char *name, clock_ms_t timeout_ms,
               store_object_t *object);
void store_object_clear (store_object_t *object);

/**
 * store_put() - conditional update
 * @store: client
 * @write: change and timeouts
 * @details: set to the details of the result
 *
 * When the response is lost or does not show the result, the object is read
 * back until its change id or a later version shows whether the change took
 * effect, or until @read_back_ms of @write have passed.
 *
 * Return: STORE_UNKNOWN when the result is still uncertain.
 */
store_result_t store_put (store_t *store, const store_write_t *write,
                          store_write_details_t *details);

/* Deletes an object if it has the expected version.  Lost responses are
   handled as by store_put().  */
store_result_t store_delete (store_t *store, const store_write_t *write,
                             store_write_details_t *details);

/**
 * store_read_instances() - read the platform's list of instances
 * @store: client
 * @timeout_ms: for the whole response
 * @visit: called for each instance
 * @context: passed to @visit
 *
 * The list lags behind the actual state.
 *
 * Return: 0 or an error of store_read_since().
 */
int store_read_instances (store_t *store, clock_ms_t timeout_ms,
                          void (*visit) (void *context,
                                         const store_instance_t *instance),
                          void *context);

#endif
