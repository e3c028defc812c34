#include "pool.h"

#include <errno.h>
#include <pthread.h>
#include <search.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#define IDLE_MAX 32
/* As long as an endpoint is taken as warm without use: a restart in that time
   shows by the closed connection.  */
#define IDLE_MS 10000
#define HEADER_MAX (32 * 1024)
#define SWEEP_US 1000000
/* An endpoint without connections is forgotten after a minute, so that the
   table doesn't grow as endpoints are replaced.  */
#define FORGET_US 60000000

typedef struct endpoint
{
  const char *address;
  struct endpoint *next;
  conn_t *idle; /* the one that answered last comes first */
  uint32_t idle_count;
  int64_t good_us; /* end of the last complete answer */
  int64_t used_us;
  uint32_t proven;   /* attempts under way on connections that have answered */
  uint32_t unproven; /* attempts under way on new connections */
} endpoint_t;

struct backend_pool
{
  pthread_mutex_t lock; /* protects the endpoints */
  void *tree;           /* endpoints by address */
  endpoint_t *endpoints;
  int64_t swept_us;
  uint32_t idle_max;
  int64_t idle_us;
  uint32_t header_max;
  counters_t counters;
};

int64_t
backend_now_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

counters_t *
backend_pool_get_counters (backend_pool_t *pool)
{
  return &pool->counters;
}

uint32_t
backend_pool_get_header_max (const backend_pool_t *pool)
{
  return pool->header_max;
}

conn_t *
backend_conn_new (void)
{
  conn_t *conn = calloc (1, sizeof *conn);

  if (conn == NULL)
    return NULL;
  conn->multi = curl_multi_init ();
  conn->easy = curl_easy_init ();
  if (conn->multi == NULL || conn->easy == NULL)
    {
      backend_conn_free (conn);
      return NULL;
    }
  curl_multi_setopt (conn->multi, CURLMOPT_MAXCONNECTS, 1L);
  return conn;
}

void
backend_conn_free (conn_t *conn)
{
  if (conn == NULL)
    return;
  curl_easy_cleanup (conn->easy);
  curl_multi_cleanup (conn->multi);
  free (conn);
}

/* Frees a list.  Called without the lock, since closing takes system
   calls.  */
static void
free_list (conn_t *list)
{
  while (list != NULL)
    {
      conn_t *next = list->next;

      backend_conn_free (list);
      list = next;
    }
}

static int
compare (const void *a, const void *b)
{
  const endpoint_t *left = a;
  const endpoint_t *right = b;

  return strcmp (left->address, right->address);
}

static endpoint_t *
find (backend_pool_t *pool, const char *address)
{
  endpoint_t key = { .address = address };
  endpoint_t **found = tfind (&key, &pool->tree, compare);

  return found == NULL ? NULL : *found;
}

static endpoint_t *
find_or_add (backend_pool_t *pool, const char *address)
{
  endpoint_t *endpoint = find (pool, address);
  size_t length = strlen (address) + 1;
  char *name;

  if (endpoint != NULL)
    return endpoint;
  endpoint = calloc (1, sizeof *endpoint + length);
  if (endpoint == NULL)
    return NULL;
  name = (char *)(endpoint + 1);
  memcpy (name, address, length);
  endpoint->address = name;
  if (tsearch (endpoint, &pool->tree, compare) == NULL)
    {
      free (endpoint);
      return NULL;
    }
  endpoint->next = pool->endpoints;
  pool->endpoints = endpoint;
  return endpoint;
}

/* Moves connections whose last answer ended before @limit_us to @victims.
   The list is ordered by that time, so they are its end.  */
static uint32_t
cut (backend_pool_t *pool, endpoint_t *endpoint, int64_t limit_us,
     conn_t **victims)
{
  conn_t **link = &endpoint->idle;
  uint32_t count = 0;

  while (*link != NULL && (*link)->answered_us >= limit_us)
    link = &(*link)->next;
  while (*link != NULL)
    {
      conn_t *conn = *link;

      *link = conn->next;
      conn->next = *victims;
      *victims = conn;
      count++;
    }
  endpoint->idle_count -= count;
  atomic_fetch_sub (&pool->counters.idle, count);
  return count;
}

static void
expire (backend_pool_t *pool, int64_t now_us, conn_t **victims)
{
  endpoint_t **link = &pool->endpoints;

  while (*link != NULL)
    {
      endpoint_t *endpoint = *link;

      atomic_fetch_add (&pool->counters.expired,
                        cut (pool, endpoint, now_us - pool->idle_us, victims));
      if (endpoint->idle == NULL && endpoint->proven == 0
          && endpoint->unproven == 0 && now_us - endpoint->used_us > FORGET_US)
        {
          *link = endpoint->next;
          tdelete (endpoint, &pool->tree, compare);
          free (endpoint);
          continue;
        }
      link = &endpoint->next;
    }
  pool->swept_us = now_us;
}

backend_pool_t *
backend_pool_new (const backend_options_t *options)
{
  static const backend_options_t defaults;
  backend_pool_t *pool = calloc (1, sizeof *pool);

  if (pool == NULL)
    return NULL;
  if (options == NULL)
    options = &defaults;
  /* No TLS: the library's part of it is not initialised.  */
  if (curl_global_init (CURL_GLOBAL_NOTHING) != CURLE_OK)
    {
      free (pool);
      return NULL;
    }
  pthread_mutex_init (&pool->lock, NULL);
  pool->idle_max = options->idle_max != 0 ? options->idle_max : IDLE_MAX;
  pool->idle_us = (options->idle_ms != 0 ? options->idle_ms : IDLE_MS) * 1000;
  pool->header_max
      = options->header_max != 0 ? options->header_max : HEADER_MAX;
  return pool;
}

void
backend_pool_free (backend_pool_t *pool)
{
  if (pool == NULL)
    return;
  while (pool->endpoints != NULL)
    {
      endpoint_t *endpoint = pool->endpoints;

      pool->endpoints = endpoint->next;
      free_list (endpoint->idle);
      tdelete (endpoint, &pool->tree, compare);
      free (endpoint);
    }
  pthread_mutex_destroy (&pool->lock);
  free (pool);
  curl_global_cleanup ();
}

void
backend_pool_expire (backend_pool_t *pool)
{
  conn_t *victims = NULL;

  pthread_mutex_lock (&pool->lock);
  expire (pool, backend_now_us (), &victims);
  pthread_mutex_unlock (&pool->lock);
  free_list (victims);
}

/* Return: whether the connection is open and nothing has arrived on it.
   libcurl would take bytes that followed an answer as the next answer.  */
static bool
is_quiet (const conn_t *conn)
{
  char byte;

  return recv (conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
         && errno == EAGAIN;
}

/* Return: whether the backend server has closed the connection.  */
static bool
is_closed (const conn_t *conn)
{
  char byte;
  ssize_t got = recv (conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  return got == 0 || (got < 0 && errno != EAGAIN);
}

static conn_t *
take (backend_pool_t *pool, const char *address, int64_t since_us)
{
  int64_t now_us = backend_now_us ();
  endpoint_t *endpoint;
  conn_t *victims = NULL;
  conn_t *conn = NULL;

  if (since_us < now_us - pool->idle_us)
    since_us = now_us - pool->idle_us;
  pthread_mutex_lock (&pool->lock);
  if (now_us - pool->swept_us >= SWEEP_US)
    expire (pool, now_us, &victims);
  endpoint = find (pool, address);
  if (endpoint != NULL && endpoint->idle != NULL
      && endpoint->idle->answered_us >= since_us)
    {
      conn = endpoint->idle;
      endpoint->idle = conn->next;
      endpoint->idle_count--;
      endpoint->used_us = now_us;
      atomic_fetch_sub (&pool->counters.idle, 1);
    }
  pthread_mutex_unlock (&pool->lock);
  free_list (victims);
  return conn;
}

conn_t *
backend_pool_take (backend_pool_t *pool, const char *address, int64_t since_us)
{
  conn_t *conn;

  while ((conn = take (pool, address, since_us)) != NULL && !is_quiet (conn))
    backend_conn_free (conn);
  return conn;
}

bool
backend_pool_enter (backend_pool_t *pool, const char *address, bool pooled,
                    bool alone)
{
  endpoint_t *endpoint;
  bool enters = false;

  pthread_mutex_lock (&pool->lock);
  endpoint = find_or_add (pool, address);
  if (endpoint != NULL)
    {
      enters = pooled || !alone || endpoint->proven > 0
               || endpoint->unproven == 0;
      if (enters && pooled)
        endpoint->proven++;
      else if (enters)
        endpoint->unproven++;
    }
  pthread_mutex_unlock (&pool->lock);
  return enters;
}

void
backend_pool_leave (backend_pool_t *pool, const char *address, bool pooled)
{
  endpoint_t *endpoint;

  pthread_mutex_lock (&pool->lock);
  endpoint = find (pool, address);
  if (pooled)
    endpoint->proven--;
  else
    endpoint->unproven--;
  pthread_mutex_unlock (&pool->lock);
}

int64_t
backend_pool_check_closed (backend_pool_t *pool, const char *address)
{
  int64_t now_us = backend_now_us ();
  int64_t idle_us = -1;
  endpoint_t *endpoint;
  conn_t *victims = NULL;

  pthread_mutex_lock (&pool->lock);
  endpoint = find (pool, address);
  if (endpoint != NULL && endpoint->idle != NULL && is_closed (endpoint->idle))
    {
      idle_us = now_us - endpoint->idle->answered_us;
      atomic_fetch_add (&pool->counters.closed,
                        cut (pool, endpoint, INT64_MAX, &victims));
    }
  pthread_mutex_unlock (&pool->lock);
  free_list (victims);
  return idle_us;
}

void
backend_pool_put (backend_pool_t *pool, const char *address, conn_t *conn)
{
  endpoint_t *endpoint;
  conn_t *victim = conn;

  pthread_mutex_lock (&pool->lock);
  endpoint = find_or_add (pool, address);
  if (endpoint != NULL)
    {
      /* Read inside the lock, which keeps the list in order.  */
      conn->answered_us = backend_now_us ();
      endpoint->good_us = conn->answered_us;
      endpoint->used_us = conn->answered_us;
      if (endpoint->idle_count < pool->idle_max)
        {
          conn->next = endpoint->idle;
          endpoint->idle = conn;
          endpoint->idle_count++;
          atomic_fetch_add (&pool->counters.idle, 1);
          victim = NULL;
        }
    }
  pthread_mutex_unlock (&pool->lock);
  backend_conn_free (victim);
}

void
backend_pool_drop_silent (backend_pool_t *pool, const char *address,
                          int64_t sent_us)
{
  endpoint_t *endpoint;
  conn_t *victims = NULL;

  pthread_mutex_lock (&pool->lock);
  endpoint = find (pool, address);
  if (endpoint != NULL)
    atomic_fetch_add (
        &pool->counters.dropped_silent,
        cut (pool, endpoint,
             sent_us > endpoint->good_us ? sent_us : endpoint->good_us,
             &victims));
  pthread_mutex_unlock (&pool->lock);
  free_list (victims);
}

void
backend_pool_get_stats (backend_pool_t *pool, backend_stats_t *stats)
{
  counters_t *counters = &pool->counters;

  *stats = (backend_stats_t){
    .attempts = atomic_load (&counters->attempts),
    .connections = atomic_load (&counters->connections),
    .reused = atomic_load (&counters->reused),
    .repeats = atomic_load (&counters->repeats),
    .repeats_refused = atomic_load (&counters->repeats_refused),
    .dropped_silent = atomic_load (&counters->dropped_silent),
    .expired = atomic_load (&counters->expired),
    .closed = atomic_load (&counters->closed),
    .idle = atomic_load (&counters->idle),
  };
}
