#include "attempt.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "mailbox.h"

/* Hedges are at most 5% of first attempts.  */
#define HEDGE_THREADS 4
#define RING 256

typedef struct hedge
{
  request_t *request; /* NULL ends the thread */
  forward_t *forward;
} hedge_t;

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
  uint32_t turn; /* decision thread only */
};

/* One attempt while it runs.  */
typedef struct run
{
  request_t *request;
  const forward_t *forward;
  bool resumes;
  int64_t head_us; /* time of the answer's head */
} run_t;

static bool is_cancelled (void *context);
static int on_body (void *context, const void *data, size_t length);
static int on_head (void *context, const backend_response_head_t *head);
static void *run_hedges (void *arg);
static void start_hedge (void *context, request_t *request,
                         forward_t *forward);

int
attempts_new (attempts_t **out, engine_t *engine)
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
      thread->jobs = mailbox_new (RING);
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
  *out = attempts;
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
      hedge_t *end;

      if (thread->started)
        {
          end = g_new0 (hedge_t, 1);
          while (mailbox_put (thread->jobs, end) != 0)
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
  const run_t *run = context;
  request_t *request = run->request;
  uint64_t winner = atomic_load (&request->winner);

  /* A request with a key goes on, so that its outcome is recorded for a
     repeat.  A hedge may outlast the connection, so it does not look.  */
  if (!run->forward->hedge && !request->keyed
      && (request->gone || caller_has_left (&request->watch)))
    return true;
  return atomic_load (&request->cancelled) == run->forward->attempt
         || (winner != 0 && winner != run->forward->attempt);
}

/* The first attempt that gets an answer is the one that writes it.  */
static int
on_head (void *context, const backend_response_head_t *head)
{
  run_t *run = context;
  uint64_t none = 0;

  run->head_us = clock_now_us ();
  if (!atomic_compare_exchange_strong (&run->request->winner, &none,
                                       run->forward->attempt))
    return -ECANCELED;
  run->request->answer->write_by = run->forward->deadline;
  if (run->resumes)
    return answer_resume (run->request->answer, head);
  return answer_start (run->request->answer, head);
}

static int
on_body (void *context, const void *data, size_t length)
{
  const run_t *run = context;

  return answer_write (run->request->answer, data, length);
}

static void
write_span (const request_t *request, const forward_t *forward,
            const telemetry_trace_t *trace, const backend_result_t *result,
            int64_t start_us, int64_t duration_us)
{
  static const char *const names[] = {
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
    .outcome = names[result->end.result],
    .start_us = start_us,
    .duration_us = duration_us,
  };

  telemetry_write_span (&span);
}

/* Sends the request; an answer that was broken is continued with a range
   request where its entity tag allows it.  */
static void
send_attempt (attempts_t *attempts, run_t *run, backend_result_t *result)
{
  request_t *request = run->request;
  answer_t *answer = request->answer;
  char traceparent[TELEMETRY_TRACEPARENT_SIZE];
  char range[64];
  telemetry_trace_t trace;
  int64_t real_us = g_get_real_time ();
  int64_t start_us = clock_now_us ();
  backend_request_t out = {
    .address = run->forward->address,
    .method = request->method,
    .path = request->path,
    .header_count = request->header_count,
    .headers = request->headers,
    .idempotency_key = request->idempotency_key,
    .traceparent = traceparent,
    .range = request->range,
    .body = request->body,
    .body_length = request->body_length,
    .start_by = run->forward->start_by,
    .deadline = run->forward->deadline,
    .idempotent = request->idempotent,
    .no_reconnect = engine_uses_grants (attempts->engine),
    .cancel_fd = -1,
    .context = run,
    .cancelled = is_cancelled,
    .on_head = on_head,
    .on_body = on_body,
  };

  run->resumes = answer->head_sent;
  if (run->resumes)
    {
      g_snprintf (range, sizeof range, "bytes=%" PRId64 "-", answer->sent);
      out.range = range;
      out.if_range = answer->etag;
      telemetry_counter_increment (TELEMETRY_RESUMES, 0);
    }
  telemetry_new_child (&request->trace, &trace);
  telemetry_format_traceparent (&trace, traceparent);
  if (backend_attempt (attempts->pool, &out, result) != 0)
    result->end.result = DECIDE_ATTEMPT_NOT_SENT;
  if (result->first_byte)
    telemetry_histogram_observe (TELEMETRY_FIRST_BYTE_US, result->latency_us);
  write_span (request, run->forward, &trace, result, real_us,
              clock_now_us () - start_us);
}

void
attempts_check_caller (attempts_t *attempts, request_t *request)
{
  if (request->gone || !caller_has_left (&request->watch))
    return;
  request->gone = true;
  engine_post_cancel_request (attempts->engine, request);
}

bool
attempts_run (attempts_t *attempts, request_t *request, forward_t *forward)
{
  run_t run = { .request = request, .forward = forward };
  answer_t *answer = request->answer;
  backend_result_t result = { .end.result = DECIDE_ATTEMPT_UNUSED };
  const decide_response_t *kept = NULL;
  bool whole = false;
  bool won;

  if (!is_cancelled (&run)
      && (!answer->head_sent
          || (answer_can_resume (answer) && request->range == NULL)))
    send_attempt (attempts, &run, &result);
  won = atomic_load (&request->winner) == forward->attempt;
  if (won && result.end.result == DECIDE_ATTEMPT_ANSWERED)
    {
      whole = answer_finish (answer);
      if (answer->keep && !answer->too_large)
        kept = &answer->kept;
      telemetry_histogram_observe (TELEMETRY_ADDED_US,
                                   clock_now_us () - request->received_us
                                       - result.latency_us);
    }
  else if (result.end.result == DECIDE_ATTEMPT_ANSWERED)
    result.end.result = DECIDE_ATTEMPT_CANCELLED;
  /* Before the end of the attempt, which would be followed by a retry.  */
  if (won && answer->failed)
    engine_post_cancel_request (attempts->engine, request);
  else if (!forward->hedge)
    attempts_check_caller (attempts, request);
  engine_post_attempt_end (attempts->engine, request, forward->attempt,
                           &result.end, kept);
  /* Lets a further attempt continue the answer, unless the caller has gone and
     the worker gives its connection up.  */
  if (won && !answer->failed && result.end.result != DECIDE_ATTEMPT_ANSWERED)
    atomic_store (&request->winner, 0);
  free (forward);
  return whole;
}

/* Called by the decision thread.  */
static void
start_hedge (void *context, request_t *request, forward_t *forward)
{
  attempts_t *attempts = context;
  hedge_thread_t *thread
      = &attempts->threads[attempts->turn++ % HEDGE_THREADS];
  decide_attempt_end_t end = { .result = DECIDE_ATTEMPT_UNUSED };
  hedge_t *hedge = g_new (hedge_t, 1);

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
  bool end = false;

  while (!end)
    {
      hedge_t *hedge = mailbox_get (thread->jobs, -1);

      if (hedge == NULL)
        continue;
      end = hedge->request == NULL;
      if (!end)
        {
          /* The worker keeps the answer until it is told.  */
          bool whole = attempts_run (thread->attempts, hedge->request,
                                     hedge->forward);

          request_post_decision (
              hedge->request,
              whole ? DECISION_HEDGE_ANSWERED : DECISION_HEDGE_FAILED, NULL);
          request_unref (hedge->request);
        }
      g_free (hedge);
    }
  return NULL;
}
