#ifndef PERIDOT_STORAGE_H
#define PERIDOT_STORAGE_H

/* Store thread: carries out the reads and writes of the store one after
   another.  */

#include "conf.h"
#include "decide.h"

typedef struct storage storage_t;

typedef struct storage_callbacks
{
  void *context;
  /* Handles one changed object of a read; the callee owns it.  */
  void (*object) (void *context, conf_object_t *object);
  /* Reports the end of a read that was sent at @sent (ms).  @revision is the
     store's revision that was read, if @ok.  */
  void (*synced) (void *context, clock_ms_t sent, bool ok, uint64_t revision);
  /* Reports the end of an update of the ownership record.  @operation is the
     value that was passed to storage_put_record().  With DECIDE_STORE_OK,
     @version is the new version of the record.  */
  void (*put_done) (void *context, uint64_t operation,
                    decide_store_result_t result, uint64_t version);
} storage_callbacks_t;

/**
 * storage_start() - start the store thread
 * Return: 0 or a negative error number.
 */
int storage_start (storage_t **storage, const conf_settings_t *settings,
                   const storage_callbacks_t *callbacks);
/* Ends the store thread and frees @storage; NULL is allowed.  */
void storage_stop (storage_t *storage);

/* Sets @sent and @received to the bytes sent to and received from the store
   since the start.  */
void storage_get_bytes (storage_t *storage, uint64_t *sent,
                        uint64_t *received);

/* Starts a read of the objects changed after revision @since.  The callback
   synced() reports its end.  */
void storage_sync (storage_t *storage, uint64_t since);

/* Starts a conditional update of the ownership record.  The callback
   put_done() reports its end with @operation.  @expected is the version that
   the store must have, or 0 when it must have no record; @record is copied. */
void storage_put_record (storage_t *storage, uint64_t operation,
                         uint64_t expected, const decide_record_t *record);

#endif
