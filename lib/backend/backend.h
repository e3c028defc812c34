#ifndef PERIDOT_BACKEND_H
#define PERIDOT_BACKEND_H

/* One attempt of a request against one backend server, over HTTP/1.1 with
   libcurl, on the calling thread.  All functions may be called by any thread;
   a pool is shared by all of them.  Times are CLOCK_BOOTTIME in ms.  */

#include "decide.h"

typedef struct backend_pool backend_pool_t;

typedef struct backend_options
{
  uint32_t idle_max;   /* idle connections kept for each endpoint; 0: 32 */
  clock_ms_t idle_ms;  /* an idle connection is closed after it; 0: 10,000 */
  uint32_t header_max; /* bytes of all header lines; 0: 32 KiB */
} backend_options_t;

typedef struct backend_header
{
  const char *name;
  const char *value;
} backend_header_t;

/* Start of an answer.  Valid during the callback only.  */
typedef struct backend_head
{
  uint32_t status;
  int64_t content_length; /* bytes; -1 for chunked framing */
  /* End-to-end headers as received: without Connection, Keep-Alive,
     Transfer-Encoding, Content-Length, Trailer and Upgrade.  */
  size_t header_count;
  const backend_header_t *headers;
} backend_response_head_t;

typedef struct backend_request
{
  const char *address; /* IP:PORT or [IP6]:PORT */
  const char *method;
  const char *path; /* with query; starts with a slash */
  /* Headers to pass on.  Host, Content-Length, Expect and hop-by-hop headers
     are left out, as are those that the fields below set.  */
  size_t header_count;
  const backend_header_t *headers;
  const char *idempotency_key; /* or NULL */
  const char *traceparent;     /* or NULL */
  const char *range;           /* value of Range, or NULL */
  const char *if_range;        /* value of If-Range, or NULL */
  const void *body;
  size_t body_length;
  clock_ms_t start_by;      /* not sent after this time */
  clock_ms_t first_byte_by; /* no first byte until then: timeout; 0: none */
  clock_ms_t deadline;      /* the whole answer ends by this time */
  bool idempotent;
  bool fresh; /* use a new connection */
  /* Never go on to a new connection when a pooled one turns out to be closed
     by the backend server, which may have restarted.  */
  bool no_reconnect;
  /* Readable when the attempt is to be cancelled (an eventfd, for example);
     -1: none.  */
  int cancel_fd;
  void *context;
  /* Asked between steps and at least every 20 ms; may be NULL.  */
  bool (*cancelled) (void *context);
  /* Called once for an answer, not for a shed.  A negative return cancels the
     attempt.  */
  int (*on_head) (void *context, const backend_response_head_t *head);
  /* Called for each part of the body as it arrives; may be NULL.  A negative
     return cancels the attempt.  */
  int (*on_body) (void *context, const void *data, size_t length);
} backend_request_t;

typedef struct backend_result
{
  /* latency_ms is from sending to the first byte, rounded up.  */
  decide_attempt_end_t end;
  int64_t latency_us;  /* the same in microseconds; 0 without first byte */
  int64_t connect_us;  /* from the call to sending */
  bool sent;           /* a byte of the request may have been sent */
  bool first_byte;     /* a byte of an answer arrived */
  bool reused;         /* sent on a pooled connection */
  bool head_delivered; /* on_head was called */
  uint32_t repeats;    /* idempotent only: sent again on a new connection
                          because a pooled one was found closed */
  uint64_t body_bytes; /* passed to on_body */
  char error[128];     /* cause in words, or empty */
} backend_result_t;

typedef struct backend_stats
{
  uint64_t attempts;
  uint64_t connections;     /* opened */
  uint64_t reused;          /* attempts on a pooled connection */
  uint64_t repeats;         /* of idempotent requests, see above */
  uint64_t repeats_refused; /* of non-idempotent requests */
  uint64_t dropped_silent;  /* idle connections dropped after a timeout */
  uint64_t expired;         /* idle connections closed for their age */
  uint64_t closed;          /* idle connections found closed by the server */
  uint64_t idle;            /* idle connections now */
} backend_stats_t;

/**
 * backend_pool_new() - create a pool of connections
 * @options: limits, or NULL for the defaults
 *
 * Initialises libcurl; the first call is made while no other thread uses it.
 *
 * Return: the pool, or NULL when out of memory.
 */
backend_pool_t *backend_pool_new (const backend_options_t *options);

/* Closes all connections; no attempt is running.  */
void backend_pool_free (backend_pool_t *pool);

/* Closes idle connections that are too old.  Attempts do so as well; a timer
   thread calls this for times without attempts.  */
void backend_pool_expire (backend_pool_t *pool);

void backend_pool_get_stats (backend_pool_t *pool, backend_stats_t *stats);

/**
 * backend_attempt() - run one attempt and wait for its end
 * @pool: pool of connections
 * @request: what to send and whom to call; unchanged until the return
 * @result: how the attempt ended; always set
 *
 * The result is DECIDE_ATTEMPT_NOT_SENT only if no byte of the request was
 * sent, DECIDE_ATTEMPT_SHED only if the backend server said that the request
 * did not run, and DECIDE_ATTEMPT_ANSWERED only if the answer is complete.
 * An answer that was cut short, that has no framing or whose header is too
 * large is DECIDE_ATTEMPT_BROKEN; a failure after sending and before the
 * header's end is DECIDE_ATTEMPT_RESET.  A timeout during the body is
 * DECIDE_ATTEMPT_TIMEOUT.  With no_reconnect, DECIDE_ATTEMPT_CLOSED says that
 * the backend server had closed a pooled connection; nothing was sent.
 *
 * Return: 0 when an attempt was made; -EINVAL for a malformed request and
 * -ENOMEM: nothing was sent.
 */
int backend_attempt (backend_pool_t *pool, const backend_request_t *request,
                     backend_result_t *result);

/**
 * backend_probe() - read GET /load of an endpoint on a new connection
 * @pool: pool of connections
 * @address: IP:PORT
 * @timeout_ms: longest duration in ms
 * @load: the stated load; present is false on failure
 * @latency_ms: time from sending to the first byte in ms; may be NULL
 *
 * Return: 0, -ETIMEDOUT, -ECONNREFUSED (not sent), -EIO (reset, cut short or
 * a status other than 200), -EPROTO (not a load report), -EINVAL or -ENOMEM.
 */
int backend_probe (backend_pool_t *pool, const char *address,
                   clock_ms_t timeout_ms, decide_load_t *load,
                   clock_ms_t *latency_ms);

/**
 * backend_load_parse() - parse the value of a Server-Load header
 * Return: 0, or -EPROTO when a known field is missing or malformed; then
 * @load is not present.
 */
int backend_load_parse (const char *value, decide_load_t *load);

#endif
