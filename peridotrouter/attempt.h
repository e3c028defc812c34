#ifndef PERIDOT_ATTEMPT_H
#define PERIDOT_ATTEMPT_H

/* Runs attempts of requests, on the worker's thread or, for hedges, on
   threads of their own.  */

#include "answer.h"
#include "engine.h"
#include "request.h"

typedef struct attempts attempts_t;

/**
 * attempts_new() - create the connection pool and the hedge threads
 * Return: 0 or a negative error number.
 */
int attempts_new (attempts_t **attempts, engine_t *engine);
void attempts_free (attempts_t *attempts);

/* Withdraws the request when its caller has left; the engine then decides
   DECISION_CANCELLED unless the request has ended or goes on.  */
void attempts_check_caller (attempts_t *attempts, request_t *request);

/**
 * attempts_run() - run one attempt and report its end to the engine
 * @forward: freed
 *
 * Return: whether the whole answer was written to the caller.
 */
bool attempts_run (attempts_t *attempts, request_t *request,
                   forward_t *forward);

#endif
