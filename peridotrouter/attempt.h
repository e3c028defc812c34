#ifndef PERIDOT_ATTEMPT_H
#define PERIDOT_ATTEMPT_H

/* Sends requests to endpoints.  An attempt is one try; it runs on the thread
   of the request's worker or, if it is a hedge, on a hedge thread.  */

#include "answer.h"
#include "engine.h"
#include "request.h"

typedef struct attempts attempts_t;

/**
 * attempts_new() - create the connection pool and the hedge threads
 * Return: 0 or a negative error number.
 */
int attempts_new (attempts_t **attempts, engine_t *engine);

/* Ends the hedge threads and frees @attempts, which may be NULL.  */
void attempts_free (attempts_t *attempts);

/* Asks the engine to cancel the request when its client has disconnected.
   DECISION_CANCELLED follows unless the request has ended or continues without
   the client.  */
void attempts_check_client (attempts_t *attempts, request_t *request);

/**
 * attempts_run() - run one attempt and report its result to the engine
 * @forward: freed
 *
 * Return: whether the whole response was written to the client.
 */
bool attempts_run (attempts_t *attempts, request_t *request,
                   forward_t *forward);

#endif
