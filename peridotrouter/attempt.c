#include "attempt.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "mailbox.h"

/* A few threads are enough, since at most 5% of first attempts are hedged.  */
#define HEDGE_THREADS 4
#define HEDGE_QUEUE_CAPACITY 256

typedef struct hedge_job
{
  request_t *request; /* NULL: the thread ends */
  forward_t *forward;
} hedge_job_t;

typedef struct hedge_thread
{
  attempts_t *attempts;
  mailbox_t *jobs;
  pthread_t thread;
  bool started;
} hedge_thread_t;

struct attempts
{
  engine_t *engine;
  backend_pool_t *pool;
  hedge_thread_t threads[HEDGE_THREADS];
  uint32_t next_thread; /* index of the thread for the next hedge, modulo
                           HEDGE_THREADS; used by the decision thread only */
};

/* State of one attempt while it runs.  */
typedef struct running_attempt
{
  request_t *request;
  const forward_t *forward;
  bool is_resume;  /* requests only the rest of an interrupted response */
  int64_t head_us; /* time in µs at which the head of the response arrived */
} running_attempt_t;

static bool is_cancelled (void *context);
static int on_body (void *context, const void *data, size_t length);
static int on_head (void *context, const backend_response_head_t *head);
static void *run_hedges (void *arg);
static void start_hedge (void *context, request_t *request,
                         forward_t *forward);

int
attempts_new (attempts_t **new_attempts, engine_t *engine)
{
  attempts_t *attempts = calloc (1, sizeof *attempts);
  int error = 0;

  if (attempts == NULL)
    return -ENOMEM;
  attempts->engine = engine;
  attempts->pool = backend_pool_new (NULL);
  if (attempts->pool == NULL)
    error = ENOMEM;
  for (int i = 0; i < HEDGE_THREADS && error == 0; i++)
    {
      hedge_thread_t *thread = &attempts->threads[i];

      thread->attempts = attempts;
      thread->jobs = mailbox_new (HEDGE_QUEUE_CAPACITY);
      error = thread->jobs == NULL
                  ? ENOMEM
                  : pthread_create (&thread->thread, NULL, run_hedges, thread);
      thread->started = error == 0;
    }
  if (error != 0)
    {
      attempts_free (attempts);
      return -error;
    }
  engine_set_hedge_callback (engine, start_hedge, attempts);
  *new_attempts = attempts;
  return 0;
}

void
attempts_free (attempts_t *attempts)
{
  if (attempts == NULL)
    return;
  for (int i = 0; i < HEDGE_THREADS; i++)
    {
      hedge_thread_t *thread = &attempts->threads[i];
      hedge_job_t *stop_job;

      if (thread->started)
        {
          stop_job = g_new0 (hedge_job_t, 1);
          while (mailbox_put (thread->jobs, stop_job) != 0)
            g_usleep (1000);
          pthread_join (thread->thread, NULL);
        }
      mailbox_free (thread->jobs);
    }
  if (attempts->pool != NULL)
    backend_pool_free (attempts->pool);
  free (attempts);
}

static bool
is_cancelled (void *context)
{
  const running_attempt_t *attempt = context;
  request_t *request = attempt->request;
  uint64_t winner = atomic_load (&request->winner);

  /* When the client disconnects, a request with an idempotency key continues,
     so that its outcome is recorded for a later retry by the client.  A hedge
     does not check the connection, which may end before the hedge.  */
  if (!attempt->forward->hedge && !request->keyed
      && (request->cancel_posted
          || client_has_disconnected (&request->connection)))
    return true;
  return atomic_load (&request->cancelled_attempt) == attempt->forward->attempt
         || (winner != 0 && winner != attempt->forward->attempt);
}

/* Called when an attempt has received the head of a response.  The first
   attempt that receives one writes its response to the client; in the others
   the result -ECANCELED ends the transfer.  */
static int
on_head (void *context, const backend_response_head_t *head)
{
  running_attempt_t *attempt = context;
  uint64_t unclaimed = 0;

  attempt->head_us = clock_now_us ();
  if (!atomic_compare_exchange_strong (&attempt->request->winner, &unclaimed,
                                       attempt->forward->attempt))
    return -ECANCELED;
  attempt->request->response->write_deadline = attempt->forward->deadline;
  if (attempt->is_resume)
    return response_check_continuation (attempt->request->response, head);
  return response_start (attempt->request->response, head);
}

static int
on_body (void *context, const void *data, size_t length)
{
  const running_attempt_t *attempt = context;

  return response_write_body (attempt->request->response, data, length);
}

static void
write_span (const request_t *request, const forward_t *forward,
            const telemetry_trace_t *trace, const backend_result_t *result,
            int64_t start_us, int64_t duration_us)
{
  static const char *const result_names[] = {
    [DECIDE_ATTEMPT_ANSWERED] = "answered",
    [DECIDE_ATTEMPT_SHED] = "shed",
    [DECIDE_ATTEMPT_NOT_SENT] = "not sent",
    [DECIDE_ATTEMPT_RESET] = "reset",
    [DECIDE_ATTEMPT_TIMEOUT] = "timeout",
    [DECIDE_ATTEMPT_BROKEN] = "broken",
    [DECIDE_ATTEMPT_CANCELLED] = "cancelled",
    [DECIDE_ATTEMPT_UNUSED] = "unused",
    [DECIDE_ATTEMPT_CLOSED] = "closed",
  };
  telemetry_span_t span = {
    .trace = trace,
    .name = forward->hedge ? "hedge" : "attempt",
    .service = request->service,
    .endpoint = forward->name,
    .outcome = result_names[result->end.result],
    .start_us = start_us,
    .duration_us = duration_us,
  };

  telemetry_write_span (&span);
}

/* Sends the request.  If an earlier attempt failed after the head of its
   response was written to the client, this one requests only the rest of the
   body, with Range and If-Range.  */
static void
send_attempt (attempts_t *attempts, running_attempt_t *attempt,
              backend_result_t *result)
{
  request_t *request = attempt->request;
  response_t *response = request->response;
  char traceparent[TELEMETRY_TRACEPARENT_BYTES];
  char range[64];
  telemetry_trace_t trace;
  int64_t wall_clock_us = g_get_real_time ();
  int64_t start_us = clock_now_us ();
  backend_request_t outgoing = {
    .address = attempt->forward->address,
    .method = request->method,
    .path = request->path,
    .header_count = request->header_count,
    .headers = request->headers,
    .idempotency_key = request->idempotency_key,
    .traceparent = traceparent,
    .range = request->range,
    .body = request->body,
    .body_length = request->body_length,
    .start_by = attempt->forward->start_by,
    .deadline = attempt->forward->deadline,
    .idempotent = request->idempotent,
    .no_reconnect = engine_uses_grants (attempts->engine),
    .cancel_fd = -1,
    .context = attempt,
    .cancelled = is_cancelled,
    .on_head = on_head,
    .on_body = on_body,
  };

  attempt->is_resume = response->head_sent;
  if (attempt->is_resume)
    {
      g_snprintf (range, sizeof range, "bytes=%" PRId64 "-",
                  response->bytes_sent);
      outgoing.range = range;
      outgoing.if_range = response->etag;
      telemetry_counter_increment (TELEMETRY_RESUMES, 0);
    }
  telemetry_new_child (&request->trace, &trace);
  telemetry_format_traceparent (&trace, traceparent);
  if (backend_attempt (attempts->pool, &outgoing, result) != 0)
    result->end.result = DECIDE_ATTEMPT_NOT_SENT;
  if (result->first_byte)
    telemetry_histogram_observe (TELEMETRY_FIRST_BYTE_US, result->latency_us);
  write_span (request, attempt->forward, &trace, result, wall_clock_us,
              clock_now_us () - start_us);
}

void
attempts_cancel_if_disconnected (attempts_t *attempts, request_t *request)
{
  if (request->cancel_posted
      || !client_has_disconnected (&request->connection))
    return;
  request->cancel_posted = true;
  engine_post_cancel_request (attempts->engine, request);
}

bool
attempts_run (attempts_t *attempts, request_t *request, forward_t *forward)
{
  running_attempt_t attempt = { .request = request, .forward = forward };
  response_t *response = request->response;
  backend_result_t result = { .end.result = DECIDE_ATTEMPT_UNUSED };
  const decide_response_t *response_to_record = NULL;
  bool complete = false;
  bool is_winner;

  if (!is_cancelled (&attempt)
      && (!response->head_sent
          || (response_can_resume (response) && request->range == NULL)))
    send_attempt (attempts, &attempt, &result);
  is_winner = atomic_load (&request->winner) == forward->attempt;
  if (is_winner && result.end.result == DECIDE_ATTEMPT_ANSWERED)
    {
      complete = response_finish (response);
      if (response->record_body && !response->too_large_to_record)
        response_to_record = &response->response_to_record;
      telemetry_histogram_observe (TELEMETRY_ADDED_US,
                                   clock_now_us () - request->received_us
                                       - result.latency_us);
    }
  else if (result.end.result == DECIDE_ATTEMPT_ANSWERED)
    result.end.result = DECIDE_ATTEMPT_CANCELLED;
  /* The cancellation must be posted before the end of the attempt: otherwise
     the engine would retry a request whose client has disconnected.  */
  if (is_winner && response->write_failed)
    engine_post_cancel_request (attempts->engine, request);
  else if (!forward->hedge)
    attempts_cancel_if_disconnected (attempts, request);
  engine_post_attempt_end (attempts->engine, request, forward->attempt,
                           &result.end, response_to_record);
  /* After a failed attempt, let another one continue the response.  If writing
     to the client failed, the worker closes the connection instead.  */
  if (is_winner && !response->write_failed
      && result.end.result != DECIDE_ATTEMPT_ANSWERED)
    atomic_store (&request->winner, 0);
  free (forward);
  return complete;
}

/* Queues a hedge for one of the hedge threads; called on the decision thread.
   If the queue is full, the attempt ends with DECIDE_ATTEMPT_UNUSED.  */
static void
start_hedge (void *context, request_t *request, forward_t *forward)
{
  attempts_t *attempts = context;
  hedge_thread_t *thread
      = &attempts->threads[attempts->next_thread++ % HEDGE_THREADS];
  decide_attempt_end_t end = { .result = DECIDE_ATTEMPT_UNUSED };
  hedge_job_t *hedge = g_new (hedge_job_t, 1);

  hedge->request = request;
  hedge->forward = forward;
  telemetry_counter_increment (TELEMETRY_HEDGES, 0);
  if (mailbox_put (thread->jobs, hedge) == 0)
    return;
  engine_post_attempt_end (attempts->engine, request, forward->attempt, &end,
                           NULL);
  request_unref (request);
  free (forward);
  g_free (hedge);
}

static void *
run_hedges (void *arg)
{
  hedge_thread_t *thread = arg;
  bool stop = false;

  while (!stop)
    {
      hedge_job_t *hedge = mailbox_get (thread->jobs, -1);

      if (hedge == NULL)
        continue;
      stop = hedge->request == NULL;
      if (!stop)
        {
          /* If the hedge writes the response, the worker keeps the connection
             open until the decision posted below.  */
          bool complete = attempts_run (thread->attempts, hedge->request,
                                        hedge->forward);

          request_post_decision (hedge->request,
                                 complete ? DECISION_HEDGE_SUCCEEDED
                                          : DECISION_HEDGE_FAILED,
                                 NULL);
          request_unref (hedge->request);
        }
      g_free (hedge);
    }
  return NULL;
}
