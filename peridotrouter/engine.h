#ifndef PERIDOT_ENGINE_H
#define PERIDOT_ENGINE_H

/* Decision thread: the only thread that calls the decision library, which
   chooses endpoints and keeps the ownership of slices.  Other threads post
   events to its queue.  The decision thread passes the decisions to the peer
   connections, the store thread, the probe thread and the worker threads,
   which carry them out.  */

#include "conf.h"
#include "decide.h"
#include "request.h"

typedef struct engine engine_t;

/**
 * engine_start() - create the decision state, peer connections and threads
 * @recording_path: file to which all events and decisions are recorded, or
 *   NULL
 * Return: 0 or a negative error number; the cause is logged.
 */
int engine_start (engine_t **engine, const conf_settings_t *settings,
                  const char *recording_path);

/* Ends all threads and frees the engine; NULL is allowed.  The caller stops
   the listeners for clients and operators first.  */
void engine_free (engine_t *engine);

/**
 * engine_post_request() - pass a request to the decision thread
 *
 * The posted event takes its own reference to @request.
 *
 * Return: 0, or -EAGAIN when the event queue is full.
 */
int engine_post_request (engine_t *engine, request_t *request);

/* Returns whether the policy is CONF_POLICY_OWNER, with which owners grant
   slots of endpoints.  With the other policies this instance chooses endpoints
   itself.  */
bool engine_uses_grants (const engine_t *engine);

/* Reports how an attempt ended.  @response is the response to record for the
   request's idempotency key, or NULL; it is copied.  Waits while the event
   queue is full.  */
void engine_post_attempt_end (engine_t *engine, request_t *request,
                              uint64_t attempt,
                              const decide_attempt_end_t *end,
                              const decide_response_t *response);

/* Withdraws a request, for example because its client has disconnected.  The
   worker receives DECISION_CANCELLED, unless the request has ended already or
   continues so that its outcome is recorded.  Waits while the event queue is
   full.  */
void engine_post_cancel_request (engine_t *engine, request_t *request);

/**
 * engine_call_on_decision_thread() - call a function on the decision thread
 *
 * The calling thread waits until the function has returned.
 *
 * Return: 0, or -EAGAIN when the event queue is full.
 */
int engine_call_on_decision_thread (engine_t *engine,
                                    void (*function) (void *context,
                                                      decide_t *node,
                                                      clock_ms_t now),
                                    void *context);

/* Applies an object as this instance has changed it in the store, and tells
   the other instances.  Takes ownership of the object.  */
void engine_handle_own_change (engine_t *engine, conf_object_t *object);

/* Starts a read of the store without waiting for the next periodic read.  This
   function is called after this instance has changed an object.  */
void engine_read_store (engine_t *engine);

/* Begins a graceful shutdown.  */
void engine_begin_shutdown (engine_t *engine);
/* Returns whether a graceful shutdown has begun.  */
bool engine_is_stopping (engine_t *engine);
/* Returns whether the shutdown has progressed far enough that the process may
   exit.  */
bool engine_is_stopped (engine_t *engine);

/* Returns the JSON body of the response to GET /addresses; to be freed with
   free().  Instances in @data_centre are listed first.  */
char *engine_format_instance_addresses (engine_t *engine,
                                        const char *data_centre);

/**
 * engine_format_service_addresses() - list the instances for one service
 *
 * Return: the JSON body with the instances of the group that serves @service
 *   in the region of @data_centre, to be freed with free(), or NULL when the
 *   event queue is full.
 */
char *engine_format_service_addresses (engine_t *engine, const char *service,
                                       const char *data_centre);

/* Starts a hedge, a second attempt beside a slow first one, on another thread.
   The callee owns @forward and one reference to @request.  */
typedef void (*engine_hedge_callback_t) (void *context, request_t *request,
                                         forward_t *forward);
void engine_set_hedge_callback (engine_t *engine,
                                engine_hedge_callback_t hedge, void *context);

#endif
