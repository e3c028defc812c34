#include "pool.h"

#include <errno.h>
#include <pthread.h>
#include <search.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#define IDLE_CONNECTIONS_MAX 32
/* An endpoint counts as warm for this time after its last use.  Its idle
   connections must stay open until then: the backend server closes them when
   it restarts, and that is how a restart is detected.  */
#define IDLE_TIMEOUT_MS 10000
#define HEADER_MAX_BYTES (32 * 1024)
#define EXPIRY_INTERVAL_US 1000000
/* An unused endpoint without connections is removed after a minute, so that
   the table doesn't grow as endpoints are replaced.  */
#define ENDPOINT_RETENTION_US 60000000

typedef struct endpoint
{
  const char *address;
  struct endpoint *next;
  backend_conn_t *idle; /* most recently used first */
  uint32_t idle_count;
  int64_t newest_response_us; /* end of the last complete response */
  int64_t last_used_us;       /* last use of a connection */
  uint32_t pooled_attempts;   /* running attempts on pooled connections */
  uint32_t new_connection_attempts; /* running attempts on new connections */
} endpoint_t;

struct backend_pool
{
  pthread_mutex_t lock;  /* protects tree, endpoints and last_expiry_us */
  void *tree;            /* tsearch() tree of endpoints by address */
  endpoint_t *endpoints; /* linked list of the same endpoints */
  int64_t last_expiry_us;
  uint32_t idle_max;
  int64_t idle_timeout_us;
  uint32_t header_max_bytes;
  backend_counters_t counters;
};

int64_t
backend_now_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

backend_counters_t *
backend_pool_get_counters (backend_pool_t *pool)
{
  return &pool->counters;
}

uint32_t
backend_pool_get_header_max_bytes (const backend_pool_t *pool)
{
  return pool->header_max_bytes;
}

backend_conn_t *
backend_conn_new (void)
{
  backend_conn_t *conn = calloc (1, sizeof *conn);

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
backend_conn_free (backend_conn_t *conn)
{
  if (conn == NULL)
    return;
  curl_easy_cleanup (conn->easy);
  curl_multi_cleanup (conn->multi);
  free (conn);
}

/* Closes and frees a list of connections.  The lock must not be held, since
   closing takes system calls.  */
static void
free_connections (backend_conn_t *list)
{
  while (list != NULL)
    {
      backend_conn_t *next = list->next;

      backend_conn_free (list);
      list = next;
    }
}

static int
compare_addresses (const void *a, const void *b)
{
  const endpoint_t *left = a;
  const endpoint_t *right = b;

  return strcmp (left->address, right->address);
}

static endpoint_t *
find_endpoint (backend_pool_t *pool, const char *address)
{
  endpoint_t key = { .address = address };
  endpoint_t **found = tfind (&key, &pool->tree, compare_addresses);

  return found == NULL ? NULL : *found;
}

static endpoint_t *
find_or_add_endpoint (backend_pool_t *pool, const char *address)
{
  endpoint_t *endpoint = find_endpoint (pool, address);
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
  if (tsearch (endpoint, &pool->tree, compare_addresses) == NULL)
    {
      free (endpoint);
      return NULL;
    }
  endpoint->next = pool->endpoints;
  pool->endpoints = endpoint;
  return endpoint;
}

/* Moves connections whose last response ended before @limit_us to @to_close.
   The list is ordered by that time, so they are at its end.  Return: their
   number.  */
static uint32_t
remove_connections_before (backend_pool_t *pool, endpoint_t *endpoint,
                           int64_t limit_us, backend_conn_t **to_close)
{
  backend_conn_t **link = &endpoint->idle;
  uint32_t count = 0;

  while (*link != NULL && (*link)->last_response_us >= limit_us)
    link = &(*link)->next;
  while (*link != NULL)
    {
      backend_conn_t *conn = *link;

      *link = conn->next;
      conn->next = *to_close;
      *to_close = conn;
      count++;
    }
  endpoint->idle_count -= count;
  atomic_fetch_sub (&pool->counters.idle, count);
  return count;
}

/* Moves connections that exceed the idle timeout to @to_close, and removes
   unused endpoints.  */
static void
remove_expired_entries (backend_pool_t *pool, int64_t now_us,
                        backend_conn_t **to_close)
{
  endpoint_t **link = &pool->endpoints;

  while (*link != NULL)
    {
      endpoint_t *endpoint = *link;

      atomic_fetch_add (
          &pool->counters.expired,
          remove_connections_before (
              pool, endpoint, now_us - pool->idle_timeout_us, to_close));
      if (endpoint->idle == NULL && endpoint->pooled_attempts == 0
          && endpoint->new_connection_attempts == 0
          && now_us - endpoint->last_used_us > ENDPOINT_RETENTION_US)
        {
          *link = endpoint->next;
          tdelete (endpoint, &pool->tree, compare_addresses);
          free (endpoint);
          continue;
        }
      link = &endpoint->next;
    }
  pool->last_expiry_us = now_us;
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
  /* TLS is not used, so libcurl need not initialise it.  */
  if (curl_global_init (CURL_GLOBAL_NOTHING) != CURLE_OK)
    {
      free (pool);
      return NULL;
    }
  pthread_mutex_init (&pool->lock, NULL);
  pool->idle_max
      = options->idle_max != 0 ? options->idle_max : IDLE_CONNECTIONS_MAX;
  pool->idle_timeout_us
      = (options->idle_timeout_ms != 0 ? options->idle_timeout_ms
                                       : IDLE_TIMEOUT_MS)
        * 1000;
  pool->header_max_bytes = options->header_max_bytes != 0
                               ? options->header_max_bytes
                               : HEADER_MAX_BYTES;
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
      free_connections (endpoint->idle);
      tdelete (endpoint, &pool->tree, compare_addresses);
      free (endpoint);
    }
  pthread_mutex_destroy (&pool->lock);
  free (pool);
  curl_global_cleanup ();
}

void
backend_pool_close_idle (backend_pool_t *pool)
{
  backend_conn_t *to_close = NULL;

  pthread_mutex_lock (&pool->lock);
  remove_expired_entries (pool, backend_now_us (), &to_close);
  pthread_mutex_unlock (&pool->lock);
  free_connections (to_close);
}

/* Return: whether the connection is open and nothing has arrived on it.
   libcurl would take bytes that follow a response for the next response.  */
static bool
is_reusable (const backend_conn_t *conn)
{
  char byte;

  return recv (conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
         && errno == EAGAIN;
}

/* Return: whether the server has closed the connection or the connection has
   failed.  A connection with unread bytes counts as open.  */
static bool
is_closed_or_failed (const backend_conn_t *conn)
{
  char byte;
  ssize_t got = recv (conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  return got == 0 || (got < 0 && errno != EAGAIN);
}

/* Takes the most recently used idle connection if its last response ended at
   @since_us or later and within the idle timeout.  Does not check whether the
   connection is open.  */
static backend_conn_t *
pop_idle_connection (backend_pool_t *pool, const char *address,
                     int64_t since_us)
{
  int64_t now_us = backend_now_us ();
  endpoint_t *endpoint;
  backend_conn_t *to_close = NULL;
  backend_conn_t *conn = NULL;

  if (since_us < now_us - pool->idle_timeout_us)
    since_us = now_us - pool->idle_timeout_us;
  pthread_mutex_lock (&pool->lock);
  if (now_us - pool->last_expiry_us >= EXPIRY_INTERVAL_US)
    remove_expired_entries (pool, now_us, &to_close);
  endpoint = find_endpoint (pool, address);
  if (endpoint != NULL && endpoint->idle != NULL
      && endpoint->idle->last_response_us >= since_us)
    {
      conn = endpoint->idle;
      endpoint->idle = conn->next;
      endpoint->idle_count--;
      endpoint->last_used_us = now_us;
      atomic_fetch_sub (&pool->counters.idle, 1);
    }
  pthread_mutex_unlock (&pool->lock);
  free_connections (to_close);
  return conn;
}

backend_conn_t *
backend_pool_take (backend_pool_t *pool, const char *address, int64_t since_us)
{
  backend_conn_t *conn;

  while ((conn = pop_idle_connection (pool, address, since_us)) != NULL
         && !is_reusable (conn))
    backend_conn_free (conn);
  return conn;
}

bool
backend_pool_begin_attempt (backend_pool_t *pool, const char *address,
                            bool pooled, bool exclusive)
{
  endpoint_t *endpoint;
  bool may_begin = false;

  pthread_mutex_lock (&pool->lock);
  endpoint = find_or_add_endpoint (pool, address);
  if (endpoint != NULL)
    {
      may_begin = pooled || !exclusive || endpoint->pooled_attempts > 0
                  || endpoint->new_connection_attempts == 0;
      if (may_begin && pooled)
        endpoint->pooled_attempts++;
      else if (may_begin)
        endpoint->new_connection_attempts++;
    }
  pthread_mutex_unlock (&pool->lock);
  return may_begin;
}

void
backend_pool_end_attempt (backend_pool_t *pool, const char *address,
                          bool pooled)
{
  endpoint_t *endpoint;

  pthread_mutex_lock (&pool->lock);
  endpoint = find_endpoint (pool, address);
  if (pooled)
    endpoint->pooled_attempts--;
  else
    endpoint->new_connection_attempts--;
  pthread_mutex_unlock (&pool->lock);
}

int64_t
backend_pool_detect_restart (backend_pool_t *pool, const char *address)
{
  int64_t now_us = backend_now_us ();
  int64_t elapsed_us = -1;
  endpoint_t *endpoint;
  backend_conn_t *to_close = NULL;

  pthread_mutex_lock (&pool->lock);
  endpoint = find_endpoint (pool, address);
  if (endpoint != NULL && endpoint->idle != NULL
      && is_closed_or_failed (endpoint->idle))
    {
      elapsed_us = now_us - endpoint->idle->last_response_us;
      atomic_fetch_add (
          &pool->counters.closed_by_server,
          remove_connections_before (pool, endpoint, INT64_MAX, &to_close));
    }
  pthread_mutex_unlock (&pool->lock);
  free_connections (to_close);
  return elapsed_us;
}

void
backend_pool_put (backend_pool_t *pool, const char *address,
                  backend_conn_t *conn)
{
  endpoint_t *endpoint;
  backend_conn_t *to_close = conn;

  pthread_mutex_lock (&pool->lock);
  endpoint = find_or_add_endpoint (pool, address);
  if (endpoint != NULL)
    {
      /* The time is read under the lock, which keeps the list ordered.  */
      conn->last_response_us = backend_now_us ();
      endpoint->newest_response_us = conn->last_response_us;
      endpoint->last_used_us = conn->last_response_us;
      if (endpoint->idle_count < pool->idle_max)
        {
          conn->next = endpoint->idle;
          endpoint->idle = conn;
          endpoint->idle_count++;
          atomic_fetch_add (&pool->counters.idle, 1);
          to_close = NULL;
        }
    }
  pthread_mutex_unlock (&pool->lock);
  backend_conn_free (to_close);
}

void
backend_pool_drop_after_timeout (backend_pool_t *pool, const char *address,
                                 int64_t sent_us)
{
  endpoint_t *endpoint;
  backend_conn_t *to_close = NULL;

  pthread_mutex_lock (&pool->lock);
  endpoint = find_endpoint (pool, address);
  if (endpoint != NULL)
    atomic_fetch_add (
        &pool->counters.dropped_after_timeout,
        remove_connections_before (pool, endpoint,
                                   sent_us > endpoint->newest_response_us
                                       ? sent_us
                                       : endpoint->newest_response_us,
                                   &to_close));
  pthread_mutex_unlock (&pool->lock);
  free_connections (to_close);
}

void
backend_pool_get_stats (backend_pool_t *pool, backend_stats_t *stats)
{
  backend_counters_t *counters = &pool->counters;

  *stats = (backend_stats_t){
    .attempts = atomic_load (&counters->attempts),
    .connections = atomic_load (&counters->connections),
    .reused = atomic_load (&counters->reused),
    .resends = atomic_load (&counters->resends),
    .resends_refused = atomic_load (&counters->resends_refused),
    .dropped_after_timeout = atomic_load (&counters->dropped_after_timeout),
    .expired = atomic_load (&counters->expired),
    .closed_by_server = atomic_load (&counters->closed_by_server),
    .idle = atomic_load (&counters->idle),
  };
}
