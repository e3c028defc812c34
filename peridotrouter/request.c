#include "request.h"

#include <glib.h>
#include <stdlib.h>
#include <time.h>

typedef struct queued_decision
{
  decision_t decision;
  forward_t *forward;
} queued_decision_t;

clock_ms_t
clock_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return (clock_ms_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
clock_now_us (void)
{
  return g_get_monotonic_time ();
}

request_t *
request_new (uint64_t id)
{
  pthread_condattr_t attr;
  request_t *request = calloc (1, sizeof *request);

  if (request == NULL)
    return NULL;
  atomic_init (&request->references, 1);
  request->id = id;
  pthread_mutex_init (&request->lock, NULL);
  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (&request->decision_added, &attr);
  pthread_condattr_destroy (&attr);
  return request;
}

request_t *
request_ref (request_t *request)
{
  atomic_fetch_add (&request->references, 1);
  return request;
}

void
request_unref (request_t *request)
{
  queued_decision_t *item;

  if (atomic_fetch_sub (&request->references, 1) != 1)
    return;
  pthread_mutex_destroy (&request->lock);
  pthread_cond_destroy (&request->decision_added);
  while ((item = g_queue_pop_head (&request->decisions)) != NULL)
    {
      free (item->forward);
      g_free (item);
    }
  for (size_t i = 0; i < request->header_count; i++)
    {
      g_free ((char *)request->headers[i].name);
      g_free ((char *)request->headers[i].value);
    }
  g_free (request->headers);
  g_free (request->method);
  g_free (request->path);
  g_free (request->idempotency_key);
  g_free (request->range);
  g_free (request->addresses);
  g_free (request->response);
  free (request->body);
  free (request);
}

void
request_post_decision (request_t *request, decision_t decision,
                       forward_t *forward)
{
  queued_decision_t *item = g_new (queued_decision_t, 1);

  item->decision = decision;
  item->forward = forward;
  pthread_mutex_lock (&request->lock);
  g_queue_push_tail (&request->decisions, item);
  pthread_cond_signal (&request->decision_added);
  pthread_mutex_unlock (&request->lock);
}

decision_t
request_wait_for_decision (request_t *request, clock_ms_t wait_until,
                           forward_t **forward)
{
  clock_ms_t remaining_ms = wait_until - clock_now_ms ();
  struct timespec wake_time;
  decision_t decision = DECISION_NONE;
  queued_decision_t *item;

  clock_gettime (CLOCK_MONOTONIC, &wake_time);
  if (remaining_ms < 0)
    remaining_ms = 0;
  wake_time.tv_sec += remaining_ms / 1000;
  wake_time.tv_nsec += remaining_ms % 1000 * 1000000;
  if (wake_time.tv_nsec >= 1000000000)
    {
      wake_time.tv_sec++;
      wake_time.tv_nsec -= 1000000000;
    }
  *forward = NULL;
  pthread_mutex_lock (&request->lock);
  while (g_queue_is_empty (&request->decisions))
    if (pthread_cond_timedwait (&request->decision_added, &request->lock,
                                &wake_time)
        != 0)
      break;
  item = g_queue_pop_head (&request->decisions);
  pthread_mutex_unlock (&request->lock);
  if (item != NULL)
    {
      decision = item->decision;
      *forward = item->forward;
      g_free (item);
    }
  return decision;
}
