#ifndef PERIDOT_ATTEMPT_H
#define PERIDOT_ATTEMPT_H

/* Sends requests to endpoints.  An attempt sends a request once to one
   endpoint.  It runs on the worker thread that serves the client or, if it is
   a hedge (a second attempt beside a slow first one), on a hedge thread.  */

#include "answer.h"
#include "engine.h"
#include "request.h"

/* Connection pool and hedge threads, which all attempts share.  */
typedef struct attempts attempts_t;

/**
 * attempts_new() - create the connection pool and the hedge threads
 * Return: 0 or a negative error number.
 */
int attempts_new (attempts_t **attempts, engine_t *engine);

/* Ends the hedge threads and frees @attempts, which may be NULL.  */
void attempts_free (attempts_t *attempts);

/* Asks the engine to cancel the request if its client has disconnected; later
   calls for the request do nothing.  The engine then posts DECISION_CANCELLED,
   unless the request has ended already or continues without the client so that
   its outcome is recorded.  */
void attempts_cancel_if_disconnected (attempts_t *attempts,
                                      request_t *request);

/**
 * attempts_run() - run one attempt and report its result to the engine
 * @forward: the attempt to run; freed by this function
 *
 * Return: whether the whole response was written to the client.
 */
bool attempts_run (attempts_t *attempts, request_t *request,
                   forward_t *forward);

#endif
