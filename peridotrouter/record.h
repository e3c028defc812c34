#ifndef PERIDOT_RECORD_H
#define PERIDOT_RECORD_H

/* Recording of the decision library's events and decisions, one per line, for
   diagnosis: test/replay feeds the events to the library again and compares
   the decisions.  Only the decision thread writes a recording; it blocks on
   the writes to the file.  */

#include <stdio.h>

#include "decide.h"

typedef struct recording recording_t;

/**
 * record_open() - create a file and record to it
 * Return: the recording, or NULL with errno set.
 */
recording_t *record_open (const char *path);

/* Starts a recording to an open stream, which record_close() closes.
   Return: the recording, or NULL when out of memory.  */
recording_t *record_open_stream (FILE *file);
/* Closes the file and frees the recording; NULL is allowed.  A failed close is
   logged.  */
void record_close (recording_t *recording);

/* Events: the calls to functions of the decision library.  All functions from
   here on do nothing if @recording is NULL.  */
void record_start (recording_t *recording, clock_ms_t now,
                   const decide_settings_t *settings);
void record_tick (recording_t *recording, clock_ms_t now);
void record_shutdown_begun (recording_t *recording, clock_ms_t now);
void record_read_store (recording_t *recording, clock_ms_t now);
void record_object (recording_t *recording, clock_ms_t now, uint64_t previous,
                    const decide_object_t *object);
void record_own_change (recording_t *recording, clock_ms_t now,
                        const decide_object_t *object);
void record_store_synced (recording_t *recording, clock_ms_t now,
                          clock_ms_t sent, bool ok, uint64_t revision);
void record_store_put_done (recording_t *recording, clock_ms_t now,
                            uint64_t operation, decide_store_result_t result,
                            uint64_t version);
void record_message (recording_t *recording, clock_ms_t now, decide_id_t from,
                     const decide_msg_t *msg);
void record_request (recording_t *recording, clock_ms_t now,
                     const decide_request_t *request);
void record_request_cancelled (recording_t *recording, clock_ms_t now,
                               uint64_t request);
void record_attempt_done (recording_t *recording, clock_ms_t now,
                          uint64_t request, uint64_t attempt,
                          const decide_attempt_end_t *end,
                          const decide_response_t *response);
void record_probe_done (recording_t *recording, clock_ms_t now,
                        endpoint_handle_t endpoint, bool ok,
                        clock_ms_t latency_ms, const decide_load_t *load);

/* Decisions: the library's calls to its callbacks.  Their lines begin
   with '>'.  */
void record_send (recording_t *recording, decide_id_t instance,
                  const decide_msg_t *msg);
void record_forward (recording_t *recording, const decide_forward_t *forward);
void record_cancel_attempt (recording_t *recording, uint64_t attempt);
void record_refusal (recording_t *recording, const decide_refusal_t *refusal);
void record_replay (recording_t *recording, uint64_t request,
                    const decide_response_t *response);
void record_store_sync (recording_t *recording, uint64_t since);
void record_store_put (recording_t *recording, uint64_t operation,
                       uint64_t expected, const decide_record_t *ownership);
void record_probe (recording_t *recording, endpoint_handle_t endpoint);

#endif
