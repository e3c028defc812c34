#ifndef PERIDOT_ENGINE_H
#define PERIDOT_ENGINE_H

/* Decision thread: the only one that calls the decision library.  Other
   threads post events to its mailbox; it carries out the decisions through
   the peers' senders, the store thread, the probe thread and the workers.  */

#include "conf.h"
#include "decide.h"
#include "request.h"

typedef struct engine engine_t;

/**
 * engine_start() - create the node, the peers' links and the threads
 * @recording: file for a recording of all events and decisions, or NULL
 * Return: 0 or a negative error number; the cause is logged.
 */
int engine_start (engine_t **engine, const conf_settings_t *settings,
                  const char *recording);

/* Ends all threads.  The listeners are stopped before.  */
void engine_free (engine_t *engine);

/**
 * engine_post_request() - hand a request over; takes a reference
 * Return: 0, or -EAGAIN when too many events wait.
 */
int engine_post_request (engine_t *engine, request_t *request);

/* Whether owners grant slots; false with a baseline policy.  */
bool engine_uses_grants (const engine_t *engine);

/* Reports how an attempt ended.  @answer may be NULL; it is copied.  */
void engine_post_attempt_end (engine_t *engine, request_t *request,
                              uint64_t attempt,
                              const decide_attempt_end_t *end,
                              const decide_response_t *answer);

/* The worker takes no further decision for this request.  */
void engine_post_cancel_request (engine_t *engine, request_t *request);

/**
 * engine_call() - run a function on the decision thread and wait for it
 * Return: 0, or -EAGAIN when too many events wait.
 */
int engine_call (engine_t *engine,
                 void (*function) (void *context, decide_t *node,
                                   clock_ms_t now),
                 void *context);

/* Reads the store soon, after a change made through this instance.  */
void engine_read_store (engine_t *engine);

/* Begins a planned stop.  */
void engine_stop (engine_t *engine);
bool engine_is_stopping (engine_t *engine);
bool engine_is_stopped (engine_t *engine);

/* Text of the answer to GET /addresses; to be freed with free().  */
char *engine_format_addresses (engine_t *engine, const char *data_centre);

/**
 * engine_format_service_addresses() - the same for one service
 *
 * Return: the addresses of the group that serves it in the region of
 *   @data_centre, to be freed with free(), or NULL when too many events wait.
 */
char *engine_format_service_addresses (engine_t *engine, const char *service,
                                       const char *data_centre);

/* Runs an attempt on a thread of its own, for hedges.  */
typedef void (*engine_hedge_t) (void *context, request_t *request,
                                forward_t *forward);
void engine_set_hedge_callback (engine_t *engine, engine_hedge_t hedge,
                                void *context);

#endif
