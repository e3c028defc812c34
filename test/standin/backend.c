/* Test double of backend servers.  One process simulates many endpoints, keeps
   a journal of the POST requests, which are not idempotent, and has an HTTP
   interface that controls the endpoints.  */

#include "endpoint.h"

#include <err.h>
#include <inttypes.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define REQUEST_BODY_MAX_BYTES (1 << 20)
/* Size of the parts in which a response body is written.  */
#define CHUNK_BYTES 65536
/* Interval at which responses that are still being sent at their deadline are
   aborted.  */
#define EXPIRY_CHECK_INTERVAL_MS 5

/* One kind of request, selected by the start of its path.  The tests simulate
   two deployments, whose services use different paths for the same kind.  */
typedef struct kind
{
  const char *path;
  const char *alternate_path; /* in the other deployment */
  int mean_service_time_ms;
  int length; /* of the response body in bytes */
  bool supports_ranges;
} kind_t;

/* A POST request whose execution was started.  */
typedef struct journal_entry
{
  char *key; /* Idempotency-Key, or "" */
  char *request_id;
  int port;         /* of the endpoint */
  int64_t start_us; /* CLOCK_BOOTTIME */
  bool completed;   /* whether the execution was completed */
} journal_entry_t;

typedef struct backend
{
  endpoint_options_t options;
  kind_t kinds[4];
  int probe_time_ms; /* response time of /load and /health */
  endpoint_t *endpoints;
  int endpoint_count;
  pthread_mutex_t journal_lock;
  journal_entry_t *journal;
  size_t journal_length;
  size_t journal_capacity;
} backend_t;

static int handle_endpoint_request (struct mg_connection *conn, void *context);
static int handle_control_request (struct mg_connection *conn, void *context);

/* ---- Journal ---- */

/* Returns the index of the new entry, for journal_mark_completed().  */
static size_t
journal_add (backend_t *backend, const endpoint_t *endpoint, const char *key,
             const char *request_id)
{
  size_t index;

  pthread_mutex_lock (&backend->journal_lock);
  if (backend->journal_length == backend->journal_capacity)
    {
      backend->journal_capacity = backend->journal_capacity * 2 + 1024;
      backend->journal
          = reallocarray (backend->journal, backend->journal_capacity,
                          sizeof *backend->journal);
      if (backend->journal == NULL)
        err (1, "can't allocate the journal");
    }
  index = backend->journal_length++;
  backend->journal[index]
      = (journal_entry_t){ .key = strdup (key),
                           .request_id = strdup (request_id),
                           .port = endpoint->port,
                           .start_us = standin_now_us () };
  pthread_mutex_unlock (&backend->journal_lock);
  return index;
}

static void
journal_mark_completed (backend_t *backend, size_t index)
{
  pthread_mutex_lock (&backend->journal_lock);
  backend->journal[index].completed = true;
  pthread_mutex_unlock (&backend->journal_lock);
}

static json_object *
journal_json (backend_t *backend)
{
  json_object *list = json_object_new_array ();

  pthread_mutex_lock (&backend->journal_lock);
  for (size_t i = 0; i < backend->journal_length; i++)
    {
      const journal_entry_t *entry = &backend->journal[i];
      json_object *object = json_object_new_object ();

      standin_json_add_string (object, "key", entry->key);
      standin_json_add_string (object, "request_id", entry->request_id);
      standin_json_add_int (object, "port", entry->port);
      standin_json_add_int (object, "start_us", entry->start_us);
      standin_json_add_bool (object, "completed", entry->completed);
      json_object_array_add (list, object);
    }
  pthread_mutex_unlock (&backend->journal_lock);
  return list;
}

static int
compare_keys (const void *a, const void *b)
{
  return strcmp (((const journal_entry_t *)a)->key,
                 ((const journal_entry_t *)b)->key);
}

/* Returns the number of keys for which an execution was started more than
   once, on one endpoint or on several.  */
static int64_t
count_repeated_keys (backend_t *backend)
{
  int64_t repeated = 0;
  size_t count;
  journal_entry_t *entries;

  pthread_mutex_lock (&backend->journal_lock);
  count = backend->journal_length;
  entries = calloc (count + 1, sizeof *entries);
  if (entries == NULL)
    err (1, "can't allocate the journal");
  if (count > 0)
    memcpy (entries, backend->journal, count * sizeof *entries);
  pthread_mutex_unlock (&backend->journal_lock);
  qsort (entries, count, sizeof *entries, compare_keys);
  for (size_t i = 1; i < count; i++)
    if (entries[i].key[0] != '\0'
        && strcmp (entries[i].key, entries[i - 1].key) == 0
        && (i < 2 || strcmp (entries[i].key, entries[i - 2].key) != 0))
      repeated++;
  free (entries);
  return repeated;
}

/* ---- Responses ---- */

/* Starts the header of a response.  Server-Load shows the load, without the
   request itself if @exclude_own.  */
static void
start_response (struct mg_connection *conn, endpoint_t *endpoint, int status,
                bool exclude_own)
{
  endpoint_load_t load = endpoint_get_load (endpoint, exclude_own, false);
  const char *request_id = mg_get_header (conn, "Request-Id");
  char text[160];

  snprintf (text, sizeof text,
            "in_flight=%d; queued=%d; slots=%d; cold=%d; draining=%d; "
            "identity=%016" PRIx64,
            load.in_flight, load.queued, endpoint->options->slots, load.cold,
            load.draining, load.identity);
  mg_response_header_start (conn, status);
  mg_response_header_add (conn, "Server-Load", text, -1);
  if (request_id != NULL)
    mg_response_header_add (conn, "Echo-Request-Id", request_id, -1);
}

static void
add_content_length (struct mg_connection *conn, size_t length)
{
  char text[24];

  snprintf (text, sizeof text, "%zu", length);
  mg_response_header_add (conn, "Content-Length", text, -1);
}

/* Responds with an empty body, and with "Request-Ran: no" unless the request
   may have run.  */
static int
respond_without_body (struct mg_connection *conn, endpoint_t *endpoint,
                      int status, bool may_have_run)
{
  start_response (conn, endpoint, status, false);
  if (!may_have_run)
    mg_response_header_add (conn, "Request-Ran", "no", -1);
  if (status == 503)
    mg_response_header_add (conn, "Retry-After", "1", -1);
  add_content_length (conn, 0);
  mg_response_header_send (conn);
  return status;
}

/* Resets the connection, so that the client gets no response.  Returns a
   status, which CivetWeb requires of a handler.  */
static int
reset_connection (struct mg_connection *conn)
{
  standin_reset_connection (conn);
  return 500;
}

/* Sets @first and @end (exclusive) to the range of bytes to send, according to
   the headers Range and If-Range.  Returns the status of the response.  */
static int
parse_range (struct mg_connection *conn, const char *etag, size_t length,
             size_t *first, size_t *end)
{
  const char *range = mg_get_header (conn, "Range");
  const char *if_range = mg_get_header (conn, "If-Range");
  char *rest;

  *first = 0;
  *end = length;
  if (range == NULL || strncmp (range, "bytes=", 6) != 0
      || (if_range != NULL && strcmp (if_range, etag) != 0))
    return 200;
  *first = strtoul (range + 6, &rest, 10);
  if (rest == range + 6 || *rest != '-')
    {
      *first = 0;
      return 200;
    }
  if (rest[1] != '\0')
    *end = strtoul (rest + 1, NULL, 10) + 1;
  if (*end > length)
    *end = length;
  return *first < *end ? 206 : 416;
}

/* Sends the body, or the requested range of it.  Releases the slot before the
   last part is written.  Resets the connection when the deadline has passed or
   a write fails.  */
static int
send_body (struct mg_connection *conn, endpoint_t *endpoint,
           endpoint_request_t *request, const kind_t *kind, const char *body)
{
  size_t length = (size_t)kind->length;
  uint64_t hash = XXH64 (body, length, 0);
  char text[80];
  char etag[24];
  size_t first = 0;
  size_t end = length;
  int status = 200;

  snprintf (etag, sizeof etag, "\"%016" PRIx64 "\"", hash);
  if (kind->supports_ranges)
    status = parse_range (conn, etag, length, &first, &end);
  if (status == 416)
    {
      endpoint_release_slot (endpoint, request);
      return respond_without_body (conn, endpoint, 416, false);
    }
  start_response (conn, endpoint, status, true);
  snprintf (text, sizeof text, "%016" PRIx64, hash);
  mg_response_header_add (conn, "Body-Hash", text, -1);
  mg_response_header_add (conn, "Content-Type",
                          kind->supports_ranges ? "application/octet-stream"
                                                : "application/json",
                          -1);
  if (kind->supports_ranges)
    {
      mg_response_header_add (conn, "ETag", etag, -1);
      mg_response_header_add (conn, "Accept-Ranges", "bytes", -1);
    }
  if (status == 206)
    {
      snprintf (text, sizeof text, "bytes %zu-%zu/%zu", first, end - 1,
                length);
      mg_response_header_add (conn, "Content-Range", text, -1);
    }
  add_content_length (conn, end - first);
  endpoint_mark_sending (endpoint, request);
  if (end - first <= CHUNK_BYTES)
    endpoint_release_slot (endpoint, request);
  mg_response_header_send (conn);
  while (first < end)
    {
      size_t part = end - first < CHUNK_BYTES ? end - first : CHUNK_BYTES;

      if (standin_now_us () >= request->deadline_us)
        return reset_connection (conn);
      if (first + part == end)
        endpoint_release_slot (endpoint, request);
      if (mg_write (conn, body + first, part) != (int)part)
        return reset_connection (conn);
      first += part;
    }
  return status;
}

static const kind_t *
find_kind (const backend_t *backend, const char *uri)
{
  for (size_t i = 0; i < sizeof backend->kinds / sizeof *backend->kinds; i++)
    {
      const kind_t *kind = &backend->kinds[i];

      if (strncmp (uri, kind->path, strlen (kind->path)) == 0
          || strncmp (uri, kind->alternate_path, strlen (kind->alternate_path))
                 == 0)
        return kind;
    }
  return NULL;
}

/* Executes a request that has a slot, and responds.  */
static int
run_request (backend_t *backend, struct mg_connection *conn,
             endpoint_t *endpoint, endpoint_request_t *request,
             const kind_t *kind)
{
  const char *key = mg_get_header (conn, "Idempotency-Key");
  const char *request_id = mg_get_header (conn, "Request-Id");
  bool is_journalled
      = strcmp (mg_get_request_info (conn)->request_method, "POST") == 0;
  size_t index = 0;
  char *body;
  int status;

  if (request_id == NULL)
    request_id = "";
  if (is_journalled)
    index
        = journal_add (backend, endpoint, key != NULL ? key : "", request_id);
  switch (endpoint_run (endpoint, request, kind->mean_service_time_ms))
    {
    case ENDPOINT_OK:
      break;
    case ENDPOINT_EXPIRED:
      endpoint_release_slot (endpoint, request);
      return respond_without_body (conn, endpoint, 504, true);
    default:
      return reset_connection (conn);
    }
  if (is_journalled)
    journal_mark_completed (backend, index);
  body = malloc ((size_t)kind->length);
  if (body == NULL)
    err (1, "can't allocate an answer");
  /* A retry with the same key gets the same response.  */
  standin_generate_body (body, (size_t)kind->length,
                         is_journalled && key != NULL ? key : request_id);
  status = send_body (conn, endpoint, request, kind, body);
  free (body);
  return status;
}

/* Waits for a slot, executes the request, and responds.  */
static int
serve_request (backend_t *backend, struct mg_connection *conn,
               endpoint_t *endpoint, const kind_t *kind)
{
  const char *remaining_ms = mg_get_header (conn, "Request-Deadline-Ms");
  endpoint_request_t request = { .conn = conn, .deadline_us = INT64_MAX };
  size_t length;
  char *request_body;
  int status;

  if (remaining_ms != NULL)
    request.deadline_us
        = standin_now_us () + strtoll (remaining_ms, NULL, 10) * 1000;
  request_body = standin_read_body (conn, REQUEST_BODY_MAX_BYTES, &length);
  if (request_body == NULL)
    return reset_connection (conn);
  free (request_body);
  switch (endpoint_acquire_slot (endpoint, &request))
    {
    case ENDPOINT_OK:
      break;
    case ENDPOINT_SHED:
      return respond_without_body (conn, endpoint, 503, false);
    case ENDPOINT_FAILED:
      return respond_without_body (conn, endpoint, 500, true);
    case ENDPOINT_EXPIRED:
      return respond_without_body (conn, endpoint, 504, false);
    default:
      return reset_connection (conn);
    }
  status = run_request (backend, conn, endpoint, &request, kind);
  endpoint_release_slot (endpoint, &request);
  return status;
}

/* Responds to /load and /health.  */
static int
respond_to_probe (backend_t *backend, struct mg_connection *conn,
                  endpoint_t *endpoint)
{
  json_object *value = json_object_new_object ();
  endpoint_load_t load;
  char identity[20];

  endpoint_count_probe (endpoint);
  if (endpoint_is_down (endpoint)
      || !standin_wait_while_connected (conn, backend->probe_time_ms * 1000LL))
    {
      json_object_put (value);
      return reset_connection (conn);
    }
  load = endpoint_get_load (endpoint, false, true);
  snprintf (identity, sizeof identity, "%016" PRIx64, load.identity);
  standin_json_add_int (value, "in_flight", load.in_flight);
  standin_json_add_int (value, "queued", load.queued);
  standin_json_add_int (value, "slots", backend->options.slots);
  standin_json_add_int (value, "cold", load.cold);
  standin_json_add_int (value, "draining", load.draining);
  standin_json_add_string (value, "identity", identity);
  return standin_send_json (conn, 200, value);
}

static int
handle_endpoint_request (struct mg_connection *conn, void *context)
{
  backend_t *backend = context;
  const struct mg_request_info *info = mg_get_request_info (conn);
  const kind_t *kind = find_kind (backend, info->local_uri);
  endpoint_t *endpoint = NULL;

  for (int i = 0; i < backend->endpoint_count; i++)
    if (backend->endpoints[i].port == info->server_port)
      endpoint = &backend->endpoints[i];
  if (endpoint == NULL)
    return reset_connection (conn);
  if (strcmp (info->local_uri, "/load") == 0
      || strcmp (info->local_uri, "/health") == 0)
    return respond_to_probe (backend, conn, endpoint);
  if (kind == NULL)
    return respond_without_body (conn, endpoint, 404, false);
  return serve_request (backend, conn, endpoint, kind);
}

/* ---- Control ---- */

static json_object *
stats_json (backend_t *backend)
{
  json_object *value = json_object_new_object ();
  json_object *list = json_object_new_array ();

  for (int i = 0; i < backend->endpoint_count; i++)
    json_object_array_add (list, endpoint_get_stats (&backend->endpoints[i]));
  standin_json_add_int (value, "repeated_keys", count_repeated_keys (backend));
  json_object_object_add (value, "endpoints", list);
  return value;
}

static int
handle_control_request (struct mg_connection *conn, void *context)
{
  backend_t *backend = context;
  const char *uri = mg_get_request_info (conn)->local_uri;
  json_object *value;
  int index;

  if (strcmp (uri, "/control/journal") == 0)
    return standin_send_json (conn, 200, journal_json (backend));
  if (strcmp (uri, "/control/stats") == 0)
    return standin_send_json (conn, 200, stats_json (backend));
  if (strncmp (uri, "/control/endpoint/", 18) != 0)
    return standin_send_json (conn, 404, json_object_new_object ());
  index = (int)strtol (uri + 18, NULL, 10);
  if (index < 0 || index >= backend->endpoint_count)
    return standin_send_json (conn, 404, json_object_new_object ());
  value = standin_read_json (conn);
  if (value == NULL)
    return standin_send_json (conn, 400, json_object_new_object ());
  endpoint_configure (&backend->endpoints[index], value);
  json_object_put (value);
  return standin_send_json (conn, 200,
                            endpoint_get_stats (&backend->endpoints[index]));
}

/* Returns "0,0,..." with @count entries, which selects free ports.  */
static char *
make_free_port_list (int count)
{
  char *ports = calloc ((size_t)count, 2);

  if (ports == NULL)
    err (1, "can't allocate the ports");
  for (int i = 0; i < count; i++)
    {
      ports[2 * i] = '0';
      if (i + 1 < count)
        ports[2 * i + 1] = ',';
    }
  return ports;
}

static int
count_ports (const char *ports)
{
  int count = 1;

  for (; *ports != '\0'; ports++)
    count += *ports == ',';
  return count;
}

int
main (int argc, const char **argv)
{
  backend_t backend
      = { .options = { 3, 16, 2000, 3, 500, 200, 0.4, 1 },
          .kinds = { { "/slot-check", "/slip", 8, 256, false },
                     { "/confirm", "/filing", 15, 256, false },
                     { "/history", "/ledger", 12, 20480, false },
                     { "/archive", "/drawer", 25, 2 << 20, true } },
          .probe_time_ms = 6,
          .journal_lock = PTHREAD_MUTEX_INITIALIZER };
  endpoint_options_t *endpoint_options = &backend.options;
  kind_t *kinds = backend.kinds;
  char *ports = NULL;
  int control_port = 0;
  int count = 1;
  int threads = 256;
  struct poptOption options[] = {
    { "ports", 0, POPT_ARG_STRING, &ports, 0, "ports of the endpoints",
      "N,N" },
    { "count", 0, POPT_ARG_INT, &count, 0, "endpoints on free ports", "N" },
    { "control-port", 0, POPT_ARG_INT, &control_port, 0, NULL, "N" },
    { "threads", 0, POPT_ARG_INT, &threads, 0, "connections at a time", "N" },
    { "slots", 0, POPT_ARG_INT, &endpoint_options->slots, 0, NULL, "N" },
    { "queue", 0, POPT_ARG_INT, &endpoint_options->queue_max, 0,
      "requests that may wait for a slot", "N" },
    { "cold-ms", 0, POPT_ARG_INT, &endpoint_options->cold_start_ms, 0, NULL,
      "MS" },
    { "cold-factor", 0, POPT_ARG_INT, &endpoint_options->cold_factor, 0,
      "factor of the service time while cold", "N" },
    { "fall-ms", 0, POPT_ARG_INT, &endpoint_options->crash_downtime_ms, 0,
      NULL, "MS" },
    { "load-lag-ms", 0, POPT_ARG_INT, &endpoint_options->load_lag_ms, 0, NULL,
      "MS" },
    { "sigma", 0, POPT_ARG_DOUBLE, &endpoint_options->service_time_sigma, 0,
      "of the log-normal service time", "X" },
    { "seed", 0, POPT_ARG_INT, &endpoint_options->seed, 0, NULL, "N" },
    { "probe-ms", 0, POPT_ARG_INT, &backend.probe_time_ms, 0,
      "response time of /load and /health", "MS" },
    { "slot-check-ms", 0, POPT_ARG_INT, &kinds[0].mean_service_time_ms, 0,
      NULL, "MS" },
    { "confirm-ms", 0, POPT_ARG_INT, &kinds[1].mean_service_time_ms, 0, NULL,
      "MS" },
    { "history-ms", 0, POPT_ARG_INT, &kinds[2].mean_service_time_ms, 0, NULL,
      "MS" },
    { "archive-ms", 0, POPT_ARG_INT, &kinds[3].mean_service_time_ms, 0, NULL,
      "MS" },
    { "slot-check-bytes", 0, POPT_ARG_INT, &kinds[0].length, 0, NULL, "N" },
    { "confirm-bytes", 0, POPT_ARG_INT, &kinds[1].length, 0, NULL, "N" },
    { "history-bytes", 0, POPT_ARG_INT, &kinds[2].length, 0, NULL, "N" },
    { "archive-bytes", 0, POPT_ARG_INT, &kinds[3].length, 0, NULL, "N" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  struct mg_context *server;
  struct mg_context *control;
  char control_ports[16];

  standin_parse_options (argc, argv, options);
  for (int i = 0; i < 4; i++)
    if (kinds[i].length < STANDIN_BODY_MIN_BYTES)
      errx (2, "%s: response bodies have at least %d bytes", kinds[i].path,
            STANDIN_BODY_MIN_BYTES);
  if (ports == NULL && count >= 1)
    ports = make_free_port_list (count);
  if (ports == NULL)
    errx (2, "--count: at least 1");
  standin_block_signals ();
  backend.endpoint_count = count_ports (ports);
  backend.endpoints
      = calloc ((size_t)backend.endpoint_count, sizeof *backend.endpoints);
  if (backend.endpoints == NULL)
    err (1, "can't allocate the endpoints");
  server = standin_start_server (ports, threads);
  for (int i = 0; i < backend.endpoint_count; i++)
    {
      endpoint_init (&backend.endpoints[i], endpoint_options,
                     standin_get_port (server, i));
      printf ("endpoint %d %d\n", i, backend.endpoints[i].port);
    }
  snprintf (control_ports, sizeof control_ports, "%d", control_port);
  standin_set_handler (server, handle_endpoint_request, &backend);
  control = standin_start_server (control_ports, 8);
  standin_set_handler (control, handle_control_request, &backend);
  standin_print_ready (standin_get_port (control, 0));
  while (!standin_wait_for_stop_timed (EXPIRY_CHECK_INTERVAL_MS))
    for (int i = 0; i < backend.endpoint_count; i++)
      endpoint_abort_expired (&backend.endpoints[i]);

  standin_stop_server (control);
  standin_stop_server (server);
  for (size_t i = 0; i < backend.journal_length; i++)
    {
      free (backend.journal[i].key);
      free (backend.journal[i].request_id);
    }
  free (backend.journal);
  free (backend.endpoints);
  free (ports);
  return 0;
}
