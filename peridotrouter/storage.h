#ifndef PERIDOT_STORAGE_H
#define PERIDOT_STORAGE_H

/* Store thread: carries out the store's reads and writes one by one.  */

#include "conf.h"
#include "decide.h"

typedef struct storage storage_t;

typedef struct storage_callbacks
{
  void *context;
  /* One changed object of a read; the callee owns it.  */
  void (*object) (void *context, conf_object_t *object);
  void (*synced) (void *context, clock_ms_t sent, bool ok, uint64_t revision);
  void (*put_done) (void *context, uint64_t operation,
                    decide_store_result_t result, uint64_t version);
} storage_callbacks_t;

/**
 * storage_start() - start the thread
 * Return: 0 or a negative error number.
 */
int storage_start (storage_t **storage, const conf_settings_t *settings,
                   const storage_callbacks_t *callbacks);
void storage_stop (storage_t *storage);

/* Sets the bytes sent to and received from the store since the start.  */
void storage_get_bytes (storage_t *storage, uint64_t *sent,
                        uint64_t *received);

/* Reads the objects changed after @since.  */
void storage_sync (storage_t *storage, uint64_t since);

/* Conditional update of the ownership record; @record is copied.  */
void storage_put_record (storage_t *storage, uint64_t operation,
                         uint64_t expected, const decide_record_t *record);

#endif
