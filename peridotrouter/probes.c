#include "probes.h"

#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <stdlib.h>

#include "backend.h"
#include "mailbox.h"

#define PROBE_QUEUE_CAPACITY 1024
/* A probe usually takes about 6 ms.  */
#define PROBE_TIMEOUT_MS 250

typedef struct probe_job
{
  bool stop; /* the thread ends; the other members are unused */
  endpoint_handle_t endpoint;
  char address[DECIDE_ADDRESS_MAX];
} probe_job_t;

struct probes
{
  backend_pool_t *pool;
  mailbox_t *jobs;
  pthread_t thread;
  probes_callback_t done;
  void *context;
};

static void *run_probes (void *arg);

int
probes_start (probes_t **new_probes, probes_callback_t done, void *context)
{
  probes_t *probes = calloc (1, sizeof *probes);
  int error = ENOMEM;

  if (probes == NULL)
    return -ENOMEM;
  probes->done = done;
  probes->context = context;
  probes->pool = backend_pool_new (NULL);
  probes->jobs = mailbox_new (PROBE_QUEUE_CAPACITY);
  if (probes->pool != NULL && probes->jobs != NULL)
    error = pthread_create (&probes->thread, NULL, run_probes, probes);
  if (error != 0)
    {
      mailbox_free (probes->jobs);
      if (probes->pool != NULL)
        backend_pool_free (probes->pool);
      free (probes);
      return -error;
    }
  *new_probes = probes;
  return 0;
}

/* Queues a copy of a job.  If the queue is full, a probe is reported as
   failed, while a stop job waits for room.  */
static void
enqueue_job (probes_t *probes, const probe_job_t *new_job)
{
  probe_job_t *job = g_memdup2 (new_job, sizeof *new_job);

  while (mailbox_put (probes->jobs, job) != 0)
    {
      if (!job->stop)
        {
          probe_result_t result = { .endpoint = job->endpoint };

          probes->done (probes->context, &result);
          g_free (job);
          return;
        }
      g_usleep (1000);
    }
}

void
probes_enqueue (probes_t *probes, endpoint_handle_t endpoint,
                const char *address)
{
  probe_job_t job = { .endpoint = endpoint };

  g_strlcpy (job.address, address, sizeof job.address);
  enqueue_job (probes, &job);
}

void
probes_stop (probes_t *probes)
{
  probe_job_t stop = { .stop = true };
  probe_job_t *remaining;

  if (probes == NULL)
    return;
  enqueue_job (probes, &stop);
  pthread_join (probes->thread, NULL);
  while ((remaining = mailbox_get (probes->jobs, 0)) != NULL)
    g_free (remaining);
  mailbox_free (probes->jobs);
  backend_pool_free (probes->pool);
  free (probes);
}

static void *
run_probes (void *arg)
{
  probes_t *probes = arg;
  bool stop = false;

  while (!stop)
    {
      probe_job_t *job = mailbox_get (probes->jobs, -1);
      probe_result_t result = { 0 };

      if (job == NULL)
        continue;
      stop = job->stop;
      if (!stop)
        {
          result.endpoint = job->endpoint;
          result.ok
              = backend_probe (probes->pool, job->address, PROBE_TIMEOUT_MS,
                               &result.load, &result.latency_ms)
                == 0;
          probes->done (probes->context, &result);
        }
      g_free (job);
    }
  return NULL;
}
