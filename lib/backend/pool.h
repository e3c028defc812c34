#ifndef PERIDOT_BACKEND_POOL_H
#define PERIDOT_BACKEND_POOL_H

/* Internal: connection pool.  Times are CLOCK_BOOTTIME in us.  */

#include "backend.h"

#include <curl/curl.h>
#include <stdatomic.h>

/* One connection.  libcurl keeps it in the connection cache of the multi
   handle, whose size is limited to one.  */
typedef struct conn
{
  CURLM *multi;
  CURL *easy;
  curl_socket_t fd; /* owned by libcurl; valid while the connection is open */
  int64_t last_response_us; /* end of its last complete response */
  struct conn *next;
} backend_conn_t;

/* The counters of backend_stats_t.  */
typedef struct counters
{
  atomic_uint_fast64_t attempts;
  atomic_uint_fast64_t connections;
  atomic_uint_fast64_t reused;
  atomic_uint_fast64_t resends;
  atomic_uint_fast64_t resends_refused;
  atomic_uint_fast64_t dropped_after_timeout;
  atomic_uint_fast64_t expired;
  atomic_uint_fast64_t closed_by_server;
  atomic_uint_fast64_t idle;
} backend_counters_t;

/* Return: the time of CLOCK_BOOTTIME in us.  */
int64_t backend_now_us (void);

backend_counters_t *backend_pool_get_counters (backend_pool_t *pool);
uint32_t backend_pool_get_header_max_bytes (const backend_pool_t *pool);

/**
 * backend_pool_take() - take the most recently used idle connection
 * @pool: connection pool
 * @address: address of the endpoint
 * @since_us: the connection's last response must not have ended before this
 *
 * Connections that the backend server has closed, or on which it has sent
 * bytes after its last response, are closed and skipped.
 *
 * Return: the connection, owned by the caller, or NULL.
 */
backend_conn_t *backend_pool_take (backend_pool_t *pool, const char *address,
                                   int64_t since_us);

/**
 * backend_pool_begin_attempt() - register the start of an attempt
 * @pool: connection pool
 * @address: address of the endpoint
 * @pooled: the attempt uses a pooled connection
 * @exclusive: refuse the attempt if it uses a new connection and another such
 *   attempt is running
 *
 * An endpoint that has not yet responded on any open connection may have
 * restarted unnoticed, and a cold server can take only one request at a time.
 * With @exclusive, an attempt on a new connection is therefore refused while
 * another such attempt runs, unless an attempt on a pooled connection runs
 * too.
 *
 * Return: whether the attempt may start; if so, backend_pool_end_attempt()
 * must follow.  It is also false when out of memory.
 */
bool backend_pool_begin_attempt (backend_pool_t *pool, const char *address,
                                 bool pooled, bool exclusive);
/* Registers the end of an attempt.  */
void backend_pool_end_attempt (backend_pool_t *pool, const char *address,
                               bool pooled);

/* Returns a connection to the pool after a complete response, or closes it if
   the pool already has enough for the endpoint.  */
void backend_pool_put (backend_pool_t *pool, const char *address,
                       backend_conn_t *conn);

/**
 * backend_pool_detect_restart() - detect a restart of the backend server
 * @pool: connection pool
 * @address: address of the endpoint
 *
 * If the server has closed the most recently used idle connection, all idle
 * connections of the endpoint are closed.
 *
 * Return: the time since the last response on that connection in us, or -1 if
 * the connection is open or there is none.
 */
int64_t backend_pool_detect_restart (backend_pool_t *pool,
                                     const char *address);

/* Called when a request sent at @sent_us timed out without a first byte.
   Closes the endpoint's idle connections whose last response ended before
   @sent_us or before the last complete response of the endpoint.  */
void backend_pool_drop_after_timeout (backend_pool_t *pool,
                                      const char *address, int64_t sent_us);

/* Creates a connection that libcurl opens on first use.  Return: the
   connection, or NULL.  */
backend_conn_t *backend_conn_new (void);

/* Closes and frees the connection; NULL is allowed.  */
void backend_conn_free (backend_conn_t *conn);

#endif
