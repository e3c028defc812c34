#ifndef PERIDOT_REQUEST_H
#define PERIDOT_REQUEST_H

/* A client's request while it is routed and served.  It is shared by the
   worker thread that serves the client, the decision thread and, if there is a
   hedge, the thread that runs it.  */

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>

#include "backend.h"
#include "caller.h"
#include "decide.h"
#include "telemetry.h"

/* What the worker thread does next for a request.  The decision thread posts
   the decisions; the hedge thread posts DECISION_HEDGE_*, the result of a
   hedge.  */
typedef enum decision
{
  DECISION_NONE,     /* no decision came in time */
  DECISION_FORWARD,  /* run an attempt */
  DECISION_REFUSE,   /* send @refusal as a problem document */
  DECISION_REPLAY,   /* send the recorded response of an earlier request */
  DECISION_NEED_KEY, /* reject a POST or PATCH request that needs an
                        idempotency key and has none */
  DECISION_HEDGE_SUCCEEDED,
  DECISION_HEDGE_FAILED,
  DECISION_CANCELLED /* the client disconnected; the request was cancelled */
} decision_t;

/* Copy of a decide_forward_t, which is valid only during the callback.  */
typedef struct forward
{
  uint64_t attempt;           /* number of the attempt */
  bool hedge;                 /* second attempt beside a slow first one */
  char name[DECIDE_NAME_MAX]; /* of the endpoint */
  char address[DECIDE_ADDRESS_MAX]; /* of the endpoint */
  clock_ms_t start_by;              /* latest time in ms to send the attempt */
  clock_ms_t deadline; /* time in ms by which the attempt must end */
} forward_t;

/* Value of @winner when the router itself writes the response.  */
#define WINNER_ROUTER UINT64_MAX

typedef struct request
{
  atomic_int references;
  uint64_t id;
  int64_t received_us; /* on the clock of clock_now_us() */

  /* Set by the worker before it posts the request.  The texts are copies that
     the request owns, since a hedge may still use them after the worker has
     finished.  */
  char service[DECIDE_NAME_MAX];
  char *method;
  char *path;
  size_t header_count;
  backend_header_t *headers;
  char *body;
  size_t body_length;
  char *idempotency_key; /* or NULL */
  char *range;           /* the client's Range header, or NULL */
  decide_key_t key; /* hash of service and @idempotency_key, and hash of path
                       and body */
  clock_ms_t timeout_ms; /* 0: the default of the service's profile */
  telemetry_trace_t trace;

  /* Set by the decision thread when it admits the request.  */
  bool idempotent;     /* may be sent more than once */
  bool keyed;          /* not idempotent, but has an idempotency key */
  clock_ms_t deadline; /* time in ms by which the request must end */

  pthread_mutex_t lock; /* guards @decisions */
  pthread_cond_t decision_added;
  GQueue decisions; /* queued_decision_t, oldest first */
  decide_refusal_t refusal;
  /* If the request is refused because another group serves it: JSON list of
     that group's addresses; else NULL.  */
  char *addresses;
  decide_response_t response_to_replay; /* for DECISION_REPLAY */

  /* State of the client's connection for use by the worker only.  The response
     has another one, which a hedge may be using.  */
  client_t connection;
  bool cancel_posted; /* the worker has told the engine of the disconnect */

  /* Number of the only attempt that may write @response, or WINNER_ROUTER; 0:
     none, so that the next attempt that receives the head of a response sets
     it.  */
  atomic_uint_fast64_t winner;
  /* Number of the attempt that was cancelled last, or 0: none.  */
  atomic_uint_fast64_t cancelled_attempt;
  struct response *response; /* to the client; freed with the request */
} request_t;

/**
 * request_new() - create a request with one reference
 * Return: the request, or NULL when out of memory.
 */
request_t *request_new (uint64_t id);

/* Adds a reference.  */
request_t *request_ref (request_t *request);

/* Drops a reference; the last one frees the request.  */
void request_unref (request_t *request);

/* Queues a decision and wakes the worker.  @forward is the attempt of
   DECISION_FORWARD, else NULL; the request then owns it.  */
void request_post_decision (request_t *request, decision_t decision,
                            forward_t *forward);

/**
 * request_wait_for_decision() - wait for the next decision
 * @wait_until: end of the wait in ms, on the clock of clock_now_ms()
 * @forward: set for DECISION_FORWARD, else NULL; to be freed with free()
 * Return: the decision, or DECISION_NONE when none came in time.
 */
decision_t request_wait_for_decision (request_t *request,
                                      clock_ms_t wait_until,
                                      forward_t **forward);

/* Returns the time in ms of CLOCK_BOOTTIME, which also runs while the system
   is suspended.  */
clock_ms_t clock_now_ms (void);

/* Returns a monotonic time in µs, for measuring durations.  */
int64_t clock_now_us (void);

#endif
