#include "serve.h"

#include <civetweb.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/random.h>
#include <urcu.h>
#include <xxhash.h>

#include "answer.h"
#include "request.h"

/* Largest value of the header Request-Timeout-Ms.  */
#define TIMEOUT_MAX_MS 600000
#define IDEMPOTENCY_KEY_MAX_BYTES 255
/* Time for which a worker still waits for the final decision after the
   deadline of its request.  */
#define DECISION_GRACE_MS 2000
/* Interval between checks whether the client of a waiting request has
   disconnected.  */
#define DISCONNECT_CHECK_INTERVAL_MS 20
/* Value that a CivetWeb handler returns after it has sent a response, whatever
   the status of the response.  Whether the connection stays open is set by
   mg_disable_connection_keep_alive().  */
#define REQUEST_HANDLED 200

struct serve
{
  struct mg_context *context;
  engine_t *engine;
  attempts_t *attempts;
  conf_settings_t settings;
  atomic_uint_fast64_t next_id;
  atomic_uint_fast32_t active_requests;
};

static int handle_addresses (struct mg_connection *conn, void *data);
static int handle_unknown_path (struct mg_connection *conn, void *data);
static int handle_service (struct mg_connection *conn, void *data);
static int handle_http_error (struct mg_connection *conn, int status,
                              const char *message);
static int read_body (serve_t *serve, struct mg_connection *conn,
                      request_t *request);
static bool serve_request (serve_t *serve, request_t *request);
static void *register_rcu_thread (const struct mg_context *context, int type);
static void unregister_rcu_thread (const struct mg_context *context, int type,
                                   void *pointer);

static void *
register_rcu_thread (const struct mg_context *context, int type)
{
  (void)context;
  (void)type;
  rcu_register_thread ();
  return NULL;
}

static void
unregister_rcu_thread (const struct mg_context *context, int type,
                       void *pointer)
{
  (void)context;
  (void)type;
  (void)pointer;
  rcu_unregister_thread ();
}

static int
log_message (const struct mg_connection *conn, const char *message)
{
  (void)conn;
  g_info ("caller listener: %s", message);
  return 1;
}

int
serve_start (serve_t **out, const conf_settings_t *settings, engine_t *engine,
             attempts_t *attempts)
{
  struct mg_callbacks callbacks = { .init_thread = register_rcu_thread,
                                    .exit_thread = unregister_rcu_thread,
                                    .http_error = handle_http_error,
                                    .log_message = log_message };
  char workers[16];
  char header_bytes[16];
  char header_timeout_ms[24];
  const char *options[] = { "listening_ports",
                            settings->listen_clients,
                            "num_threads",
                            workers,
                            "max_request_size",
                            header_bytes,
                            "request_timeout_ms",
                            header_timeout_ms,
                            "enable_keep_alive",
                            "yes",
                            "keep_alive_timeout_ms",
                            "30000",
                            "tcp_nodelay",
                            "1",
                            "connection_queue",
                            "256",
                            NULL };
  serve_t *serve = calloc (1, sizeof *serve);
  uint64_t first_id;

  if (serve == NULL)
    return -ENOMEM;
  serve->engine = engine;
  serve->attempts = attempts;
  serve->settings = *settings;
  if (getrandom (&first_id, sizeof first_id, 0) != sizeof first_id)
    first_id = (uint64_t)g_get_real_time ();
  /* The first id is random, so that the ids of different instances and
     processes differ.  */
  atomic_init (&serve->next_id, first_id);
  snprintf (workers, sizeof workers, "%u", settings->workers);
  snprintf (header_bytes, sizeof header_bytes, "%u", settings->header_bytes);
  snprintf (header_timeout_ms, sizeof header_timeout_ms, "%" PRId64,
            settings->request_header_timeout_ms);
  serve->context = mg_start (&callbacks, serve, options);
  if (serve->context == NULL)
    {
      g_critical ("cannot listen for callers on %s", settings->listen_clients);
      free (serve);
      return -EADDRINUSE;
    }
  mg_set_request_handler (serve->context, "/addresses$", handle_addresses,
                          serve);
  mg_set_request_handler (serve->context, "/s/", handle_service, serve);
  mg_set_request_handler (serve->context, "/", handle_unknown_path, serve);
  *out = serve;
  return 0;
}

void
serve_stop (serve_t *serve)
{
  if (serve == NULL)
    return;
  mg_stop (serve->context);
  free (serve);
}

uint32_t
serve_count_active (const serve_t *serve)
{
  return (uint32_t)atomic_load (&serve->active_requests);
}

static int
reject_request (struct mg_connection *conn, const request_t *request,
                uint32_t status, const char *type, const char *detail)
{
  response_t response = { .client.conn = conn, .close_connection = true };

  if (request != NULL && request->response != NULL)
    response.request_id = request->response->request_id;
  telemetry_counter_increment (TELEMETRY_BAD_REQUESTS, 0);
  response_write_problem (&response, status, type, detail, "no", 0);
  /* Unread bytes of the body must not be parsed as the next request.  */
  mg_disable_connection_keep_alive (conn);
  return REQUEST_HANDLED;
}

/* CivetWeb calls this for requests that it rejects itself: the head is
   malformed, too large or late, or the method is not known.  It does not
   say which of these applies.  */
static int
handle_http_error (struct mg_connection *conn, int status, const char *message)
{
  g_autofree char *detail
      = g_strdup_printf ("the head of the request is malformed, too large or "
                         "late, or the method is not known: %s",
                         message);

  (void)reject_request (conn, NULL, (uint32_t)status, "/problems/bad-request",
                        detail);
  return 0;
}

static int
handle_unknown_path (struct mg_connection *conn, void *data)
{
  (void)data;
  return reject_request (conn, NULL, 404, "/problems/not-found",
                         "the paths here are /addresses and /s/SERVICE/PATH");
}

static int
handle_addresses (struct mg_connection *conn, void *data)
{
  serve_t *serve = data;
  const struct mg_request_info *info = mg_get_request_info (conn);
  char data_centre[DECIDE_NAME_MAX] = "";
  char service[DECIDE_NAME_MAX] = "";
  char *text;

  if (strcmp (info->request_method, "GET") != 0)
    return reject_request (conn, NULL, 405, "/problems/method",
                           "/addresses takes GET only");
  if (info->query_string != NULL)
    {
      size_t length = strlen (info->query_string);

      mg_get_var (info->query_string, length, "data_centre", data_centre,
                  sizeof data_centre);
      mg_get_var (info->query_string, length, "service", service,
                  sizeof service);
    }
  if (data_centre[0] == '\0')
    g_strlcpy (data_centre, serve->settings.data_centre, sizeof data_centre);
  text = service[0] == '\0'
             ? engine_format_instance_addresses (serve->engine, data_centre)
             : engine_format_service_addresses (serve->engine, service,
                                                data_centre);
  if (text == NULL)
    return reject_request (conn, NULL, 503, "/problems/overload",
                           "too many requests wait at this instance");
  mg_printf (conn,
             "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
             "Cache-Control: max-age=%d\r\nContent-Length: %zu\r\n\r\n%s",
             DECIDE_ADDRESS_TTL_MS / 1000, strlen (text), text);
  free (text);
  return REQUEST_HANDLED;
}

/* ---- Reading a request ---- */

/* Splits /s/SERVICE/PATH?QUERY into service and path.
   Return: 0 or -EINVAL.  */
static int
parse_target (const struct mg_request_info *info, request_t *request)
{
  const char *target = info->request_uri;
  const char *slash;
  size_t length;

  if (strncmp (target, "/s/", 3) != 0)
    return -EINVAL;
  target += 3;
  slash = strchr (target, '/');
  length = slash == NULL ? strlen (target) : (size_t)(slash - target);
  if (length == 0 || length >= sizeof request->service)
    return -EINVAL;
  memcpy (request->service, target, length);
  request->service[length] = '\0';
  if (conf_check_name (request->service) != 0)
    return -EINVAL;
  request->path = info->query_string == NULL
                      ? g_strdup (slash == NULL ? "/" : slash)
                      : g_strdup_printf ("%s?%s", slash == NULL ? "/" : slash,
                                         info->query_string);
  return 0;
}

/* Parses Request-Timeout-Ms; the timeout is 0 when the header is absent.
   Return: 0 or -EINVAL.  */
static int
parse_timeout (const char *text, clock_ms_t *timeout_ms)
{
  char *end;
  long value;

  *timeout_ms = 0;
  if (text == NULL)
    return 0;
  errno = 0;
  value = strtol (text, &end, 10);
  if (errno != 0 || end == text || *end != '\0' || value < 1
      || value > TIMEOUT_MAX_MS)
    return -EINVAL;
  *timeout_ms = value;
  return 0;
}

/* Returns whether a header field is not sent to the endpoint: hop-by-hop
   fields, and fields that the router evaluates or sets itself.  */
static bool
is_excluded_header (const char *name)
{
  static const char *const names[] = { "Host",
                                       "Content-Length",
                                       "Connection",
                                       "Keep-Alive",
                                       "TE",
                                       "Transfer-Encoding",
                                       "Upgrade",
                                       "Trailer",
                                       "Range",
                                       "If-Range",
                                       "Expect",
                                       "traceparent",
                                       "Proxy-Connection",
                                       "Idempotency-Key",
                                       "Request-Timeout-Ms",
                                       "Request-Deadline-Ms",
                                       "Proxy-Authorization" };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcasecmp (name, names[i]) == 0)
      return true;
  return false;
}

static void
copy_request_head (struct mg_connection *conn,
                   const struct mg_request_info *info, request_t *request)
{
  const char *range = mg_get_header (conn, "Range");
  const char *key = mg_get_header (conn, "Idempotency-Key");

  request->method = g_strdup (info->request_method);
  request->range = g_strdup (range);
  request->idempotency_key = g_strdup (key);
  request->headers = g_new0 (backend_header_t, info->num_headers + 1);
  for (int i = 0; i < info->num_headers; i++)
    {
      backend_header_t *header = &request->headers[request->header_count];

      if (is_excluded_header (info->http_headers[i].name))
        continue;
      header->name = g_strdup (info->http_headers[i].name);
      header->value = g_strdup (info->http_headers[i].value);
      request->header_count++;
    }
}

/* Computes a hash of service and key, and one of path and body.  The second
   one differs when a client uses the key again for another request.  */
static void
hash_key (request_t *request)
{
  g_autofree char *scope
      = g_strdup_printf ("%s\n%s", request->service, request->idempotency_key);
  XXH128_hash_t hash = XXH3_128bits (scope, strlen (scope));

  request->key.hash[0] = hash.low64;
  request->key.hash[1] = hash.high64;
  request->key.body = XXH64 (request->path, strlen (request->path),
                             XXH64 (request->body == NULL ? "" : request->body,
                                    request->body_length, 0));
}

/* Return: 0, or the HTTP status of the error response to send.  */
static int
read_body (serve_t *serve, struct mg_connection *conn, request_t *request)
{
  const struct mg_request_info *info = mg_get_request_info (conn);
  const char *transfer_encoding = mg_get_header (conn, "Transfer-Encoding");
  uint64_t max = serve->settings.body_bytes;
  size_t capacity
      = info->content_length > 0 ? (size_t)info->content_length : 16384;

  if (info->content_length > (long long)max)
    return 413;
  if (info->content_length < 0 && transfer_encoding == NULL)
    return strcmp (info->request_method, "POST") == 0
                   || strcmp (info->request_method, "PUT") == 0
                   || strcmp (info->request_method, "PATCH") == 0
               ? 411
               : 0;
  if (info->content_length == 0)
    return 0;
  request->body = malloc (capacity + 1);
  while (request->body != NULL)
    {
      int bytes_read = mg_read (conn, request->body + request->body_length,
                                capacity + 1 - request->body_length);

      if (bytes_read < 0)
        return 400;
      if (bytes_read == 0)
        break;
      request->body_length += (size_t)bytes_read;
      if (request->body_length > max)
        return 413;
      if (request->body_length > capacity)
        {
          char *resized = realloc (request->body, 2 * capacity + 1);

          if (resized == NULL)
            return 503;
          capacity *= 2;
          request->body = resized;
        }
    }
  if (request->body == NULL)
    return 503;
  if (info->content_length > 0
      && request->body_length != (size_t)info->content_length)
    return 400;
  return 0;
}

/* Reads and checks a request; sends an error response if it is not valid.
   Return: 0, or the result of reject_request().  */
static int
read_request (serve_t *serve, struct mg_connection *conn, request_t *request)
{
  const struct mg_request_info *info = mg_get_request_info (conn);
  const char *trace = mg_get_header (conn, "traceparent");
  telemetry_trace_t parent;
  int status;

  if (parse_target (info, request) != 0)
    return reject_request (conn, request, 404, "/problems/unknown-service",
                           "the path is not /s/SERVICE/PATH");
  if (strcmp (info->request_method, "CONNECT") == 0
      || strcmp (info->request_method, "TRACE") == 0)
    return reject_request (conn, request, 405, "/problems/method",
                           "this method is not passed on");
  if (parse_timeout (mg_get_header (conn, "Request-Timeout-Ms"),
                     &request->timeout_ms)
      != 0)
    return reject_request (conn, request, 400, "/problems/bad-timeout",
                           "Request-Timeout-Ms is not 1 to 600000");
  copy_request_head (conn, info, request);
  if (request->idempotency_key != NULL
      && (request->idempotency_key[0] == '\0'
          || strlen (request->idempotency_key) > IDEMPOTENCY_KEY_MAX_BYTES))
    return reject_request (conn, request, 400, "/problems/bad-key",
                           "Idempotency-Key is not 1 to 255 bytes");
  status = read_body (serve, conn, request);
  if (status != 0)
    return reject_request (
        conn, request, (uint32_t)status, "/problems/bad-body",
        status == 413   ? "the body is too large"
        : status == 411 ? "the request has a body of unknown length"
                        : "the body could not be read");
  if (request->idempotency_key != NULL)
    hash_key (request);
  if (telemetry_parse_traceparent (trace, &parent) == 0)
    telemetry_new_child (&parent, &request->trace);
  else
    telemetry_new_trace (&request->trace);
  return 0;
}

/* ---- Serving a request ---- */

/* Sends the refusal of a request.  If the head of a response was already sent,
   the response remains incomplete, and the connection must be closed.
   Return: whether the connection can be used for further requests.  */
static bool
send_refusal (request_t *request)
{
  if (request->response->head_sent)
    {
      telemetry_counter_increment (TELEMETRY_CUT_ANSWERS, 0);
      return false;
    }
  request->response->addresses = request->addresses;
  response_write_refusal (request->response, &request->refusal);
  telemetry_histogram_observe (TELEMETRY_REFUSED_US,
                               clock_now_us () - request->received_us);
  return true;
}

/* Reserves the response for the router itself, so that no attempt can write
   it.
   Return: false if an attempt has begun to write it.  */
static bool
try_claim_response (request_t *request)
{
  uint64_t unclaimed = 0;

  return atomic_compare_exchange_strong (&request->winner, &unclaimed,
                                         WINNER_ROUTER);
}

/* Sends the response of the router itself that a final decision requires.
   Return: whether the connection can be used for further requests.  */
static bool
send_local_response (request_t *request, decision_t decision)
{
  if (decision == DECISION_REPLAY)
    {
      response_write_recorded (request->response,
                               &request->response_to_replay);
      return true;
    }
  if (decision == DECISION_NEED_KEY)
    {
      telemetry_counter_increment (TELEMETRY_BAD_REQUESTS, 0);
      response_write_problem (request->response, 400, "/problems/key-required",
                              "this method needs an Idempotency-Key", "no", 0);
      return true;
    }
  return decision != DECISION_CANCELLED && send_refusal (request);
}

/* Carries out the engine's decisions until the request has ended.
   Return: whether the connection can be used for further requests.  */
static bool
serve_request (serve_t *serve, request_t *request)
{
  clock_ms_t decision_deadline
      = clock_now_ms () + DECISION_GRACE_MS
        + (request->timeout_ms == 0 ? TIMEOUT_MAX_MS : request->timeout_ms);
  decision_t final_decision = DECISION_NONE;

  for (;;)
    {
      forward_t *forward;
      clock_ms_t next_check = clock_now_ms () + DISCONNECT_CHECK_INTERVAL_MS;
      decision_t decision = request_wait_for_decision (
          request, MIN (decision_deadline, next_check), &forward);

      switch (decision)
        {
        case DECISION_FORWARD:
          request->response->record_body = request->keyed;
          if (attempts_run (serve->attempts, request, forward))
            return true;
          break;
        case DECISION_HEDGE_SUCCEEDED:
          return true;
        case DECISION_HEDGE_FAILED:
          break;
        case DECISION_NONE:
          if (clock_now_ms () < decision_deadline)
            {
              attempts_cancel_if_disconnected (serve->attempts, request);
              continue;
            }
          g_warning ("timed out while waiting for a decision on a request for "
                     "service %s",
                     request->service);
          engine_post_cancel_request (serve->engine, request);
          request->refusal
              = (decide_refusal_t){ .reason = DECIDE_REASON_FAILED,
                                    .ran = DECIDE_RAN_UNKNOWN };
          final_decision = DECISION_REFUSE;
          break;
        default:
          final_decision = decision;
          break;
        }
      if (request->response->write_failed
          && (decision == DECISION_FORWARD
              || decision == DECISION_HEDGE_FAILED))
        return false;
      /* If a hedge is writing the response, the decision has no effect: the
         worker waits for the result of the hedge.  */
      if (final_decision != DECISION_NONE && try_claim_response (request))
        return send_local_response (request, final_decision);
      /* The wait timed out, but a hedge is writing the response on this
         connection.  The worker must not return before the hedge has ended, so
         wait DECISION_GRACE_MS more.  */
      if (decision == DECISION_NONE)
        decision_deadline = clock_now_ms () + DECISION_GRACE_MS;
    }
}

static int
handle_service (struct mg_connection *conn, void *data)
{
  serve_t *serve = data;
  request_t *request = request_new (atomic_fetch_add (&serve->next_id, 1));
  telemetry_span_t span = { .name = "request" };
  const char *request_id = mg_get_header (conn, "Request-Id");
  int64_t wall_clock_us = g_get_real_time ();
  bool close_connection;
  bool keep_alive;
  int result;

  if (request == NULL)
    {
      mg_disable_connection_keep_alive (conn);
      return REQUEST_HANDLED;
    }
  request->received_us = clock_now_us ();
  request->response = g_new0 (response_t, 1);
  request->response->client.conn = conn;
  request->connection.conn = conn;
  request->response->request_id = request_id;
  request->response->close_connection = engine_is_stopping (serve->engine);
  request->response->no_body
      = strcmp (mg_get_request_info (conn)->request_method, "HEAD") == 0;
  telemetry_counter_increment (TELEMETRY_REQUESTS, 0);
  result = read_request (serve, conn, request);
  if (result != 0)
    {
      request_unref (request);
      return result;
    }
  atomic_fetch_add (&serve->active_requests, 1);
  if (engine_post_request (serve->engine, request) != 0)
    {
      response_write_problem (request->response, 503, "/problems/overload",
                              "too many requests wait at this instance", "no",
                              1000);
      keep_alive = true;
    }
  else
    keep_alive = serve_request (serve, request);
  span.trace = &request->trace;
  span.service = request->service;
  span.outcome = !keep_alive                       ? "cut"
                 : request->response->status < 400 ? "answered"
                                                   : "refused";
  span.start_us = wall_clock_us;
  span.duration_us = clock_now_us () - request->received_us;
  telemetry_write_span (&span);
  if (keep_alive && request->response->status < 400)
    {
      telemetry_counter_increment (TELEMETRY_ANSWERED, 0);
      telemetry_histogram_observe (TELEMETRY_ANSWERED_US, span.duration_us);
    }
  atomic_fetch_sub (&serve->active_requests, 1);
  close_connection = request->response->close_connection;
  request_unref (request);
  if (!keep_alive || close_connection)
    mg_disable_connection_keep_alive (conn);
  return REQUEST_HANDLED;
}
