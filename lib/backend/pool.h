#ifndef PERIDOT_BACKEND_POOL_H
#define PERIDOT_BACKEND_POOL_H

/* Internal: idle connections of each endpoint.  */

#include "backend.h"

#include <curl/curl.h>
#include <stdatomic.h>

/* A connection: libcurl keeps it in the cache of the multi handle, which is
   limited to one.  */
typedef struct conn
{
  CURLM *multi;
  CURL *easy;
  curl_socket_t fd;    /* libcurl's, while the connection is open */
  int64_t answered_us; /* end of its last complete answer */
  struct conn *next;
} conn_t;

typedef struct counters
{
  atomic_uint_fast64_t attempts;
  atomic_uint_fast64_t connections;
  atomic_uint_fast64_t reused;
  atomic_uint_fast64_t repeats;
  atomic_uint_fast64_t repeats_refused;
  atomic_uint_fast64_t dropped_silent;
  atomic_uint_fast64_t expired;
  atomic_uint_fast64_t closed;
  atomic_uint_fast64_t idle;
} counters_t;

/* Microseconds of CLOCK_BOOTTIME.  */
int64_t backend_now_us (void);

counters_t *backend_pool_get_counters (backend_pool_t *pool);
uint32_t backend_pool_get_header_max (const backend_pool_t *pool);

/**
 * backend_pool_take() - take the idle connection that answered last
 *
 * A connection that the backend server has closed, or on which it has sent
 * more than its answers, is closed instead.
 *
 * @since_us: the connection's last answer must have ended at or after it
 *
 * Return: the connection, owned by the caller, or NULL.
 */
conn_t *backend_pool_take (backend_pool_t *pool, const char *address,
                           int64_t since_us);

/**
 * backend_pool_enter() - an attempt begins
 *
 * While an endpoint has answered on no open connection it may have restarted
 * unseen, and a cold server bears one request: an attempt on a new connection
 * does not begin beside another one.
 *
 * @pooled: on a connection that has answered
 * @alone: the above applies
 *
 * Return: whether it may begin; backend_pool_leave() follows then.
 */
bool backend_pool_enter (backend_pool_t *pool, const char *address,
                         bool pooled, bool alone);
void backend_pool_leave (backend_pool_t *pool, const char *address,
                         bool pooled);

/* Keeps a connection after a complete answer; may close it.  */
void backend_pool_put (backend_pool_t *pool, const char *address,
                       conn_t *conn);

/**
 * backend_pool_check_closed() - look for a restart of the backend server
 *
 * When it has closed the idle connection that answered last, none of the
 * endpoint's idle connections is used again.
 *
 * Return: time since the connection's last answer in us, or -1.
 */
int64_t backend_pool_check_closed (backend_pool_t *pool, const char *address);

/* Closes the endpoint's idle connections whose last answer ended before
   @sent_us or before the endpoint's last good answer: a request sent at
   @sent_us got no first byte.  */
void backend_pool_drop_silent (backend_pool_t *pool, const char *address,
                               int64_t sent_us);

conn_t *backend_conn_new (void);

/* Closes the connection; NULL is allowed.  */
void backend_conn_free (conn_t *conn);

#endif
