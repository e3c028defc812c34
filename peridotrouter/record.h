#ifndef PERIDOT_RECORD_H
#define PERIDOT_RECORD_H

/* Recording of the decision library's events and decisions, one a line, for
   diagnosis: test/replay feeds it to the library again and compares.  Used by
   the decision thread only, which then waits for the file.  */

#include <stdio.h>

#include "decide.h"

typedef struct record recording_t;

/**
 * record_open() - start a recording
 * Return: the recording, or NULL with errno set.
 */
recording_t *record_open (const char *path);

/* As record_open(), on a file that is open; it is closed with the recording.
 */
recording_t *record_open_stream (FILE *file);
void record_close (recording_t *record);

/* All functions accept NULL and then do nothing.  */
void record_start (recording_t *record, clock_ms_t now,
                   const decide_settings_t *settings);
void record_tick (recording_t *record, clock_ms_t now);
void record_stop (recording_t *record, clock_ms_t now);
void record_read_store (recording_t *record, clock_ms_t now);
void record_object (recording_t *record, clock_ms_t now, uint64_t previous,
                    const decide_object_t *object);
void record_synced (recording_t *record, clock_ms_t now, clock_ms_t sent,
                    bool ok, uint64_t revision);
void record_put_done (recording_t *record, clock_ms_t now, uint64_t operation,
                      decide_store_result_t result, uint64_t version);
void record_message (recording_t *record, clock_ms_t now, decide_id_t from,
                     const decide_msg_t *msg);
void record_request (recording_t *record, clock_ms_t now,
                     const decide_request_t *request);
void record_gone (recording_t *record, clock_ms_t now, uint64_t request);
void record_attempt (recording_t *record, clock_ms_t now, uint64_t request,
                     uint64_t attempt, const decide_attempt_end_t *end,
                     const decide_response_t *answer);
void record_probed (recording_t *record, clock_ms_t now,
                    endpoint_handle_t endpoint, bool ok, clock_ms_t latency_ms,
                    const decide_load_t *load);

/* Decisions; their lines begin with '>'.  */
void record_send (recording_t *record, decide_id_t instance,
                  const decide_msg_t *msg);
void record_forward (recording_t *record, const decide_forward_t *forward);
void record_cancel_attempt (recording_t *record, uint64_t attempt);
void record_refuse (recording_t *record, const decide_refusal_t *refusal);
void record_replay (recording_t *record, uint64_t request,
                    const decide_response_t *answer);
void record_store_sync (recording_t *record, uint64_t since);
void record_store_put (recording_t *record, uint64_t operation,
                       uint64_t expected, const decide_record_t *ownership);
void record_probe (recording_t *record, endpoint_handle_t endpoint);

#endif
