#ifndef PERIDOT_REQUEST_H
#define PERIDOT_REQUEST_H

/* A caller's request while it is decided and run: shared by the worker thread
   that serves the caller, the decision thread and a hedge thread.  */

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>

#include "backend.h"
#include "caller.h"
#include "decide.h"
#include "telemetry.h"

/* What the decision thread tells the worker.  */
typedef enum decision
{
  DECISION_NONE,
  DECISION_FORWARD,
  DECISION_REFUSE,
  DECISION_REPLAY,
  DECISION_NEED_KEY, /* POST or PATCH without an idempotency key */
  DECISION_HEDGE_ANSWERED,
  DECISION_HEDGE_FAILED,
  DECISION_CANCELLED /* the request of a caller that has left is withdrawn */
} decision_t;

/* Copy of a decide_forward_t that outlives the callback.  */
typedef struct forward
{
  uint64_t attempt;
  bool hedge;
  char name[DECIDE_NAME_MAX];
  char address[DECIDE_ADDRESS_MAX];
  clock_ms_t start_by;
  clock_ms_t deadline;
} forward_t;

/* Value of `winner' for an answer that is not an attempt's.  */
#define WINNER_ROUTER UINT64_MAX

typedef struct request
{
  atomic_int references;
  uint64_t id;
  int64_t received_us; /* monotonic */

  /* Set by the worker before the request is posted; texts are owned by the
     request, since a hedge may outlive the worker's part.  */
  char service[DECIDE_NAME_MAX];
  char *method;
  char *path;
  size_t header_count;
  backend_header_t *headers;
  char *body;
  size_t body_length;
  char *idempotency_key; /* or NULL */
  char *range;           /* the caller's own, or NULL */
  decide_key_t key;
  clock_ms_t timeout_ms; /* 0: the profile's */
  telemetry_trace_t trace;

  /* Set by the decision thread when it admits the request.  */
  bool idempotent;
  bool keyed;
  clock_ms_t deadline;

  pthread_mutex_t lock;
  pthread_cond_t changed;
  GQueue decisions; /* decision_item_t, in the order of deciding */
  decide_refusal_t refusal;
  char *addresses; /* JSON list of a refusal for another group, or NULL */
  decide_response_t replay;

  /* The worker's view of the connection, apart from the answer, which a hedge
     may be writing.  */
  caller_t watch;
  bool gone; /* the caller has left, and the engine was told */

  /* Answer on its way to the caller; only the attempt that set `winner'
     touches the rest.  */
  atomic_uint_fast64_t winner;    /* attempt, or 0 */
  atomic_uint_fast64_t cancelled; /* last attempt that is not wanted */
  struct answer *answer;          /* freed with the request */
} request_t;

/**
 * request_new() - create a request with one reference
 * Return: the request, or NULL when out of memory.
 */
request_t *request_new (uint64_t id);
request_t *request_ref (request_t *request);
void request_unref (request_t *request);

/* Adds a decision and wakes the worker; @forward may be NULL.  */
void request_post_decision (request_t *request, decision_t decision,
                            forward_t *forward);

/**
 * request_wait() - wait for the next decision
 * @forward: set for DECISION_FORWARD; freed by the caller
 * Return: the decision, or DECISION_NONE after @until (ms).
 */
decision_t request_wait (request_t *request, clock_ms_t until,
                         forward_t **forward);

/* Current time in ms and µs of the clocks used here.  */
clock_ms_t clock_now_ms (void);
int64_t clock_now_us (void);

#endif
