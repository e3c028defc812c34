/* Test double of backend servers: many endpoints in one process, a journal
   of non-idempotent requests, and control while it runs.  */

#include "endpoint.h"

#include <err.h>
#include <inttypes.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define REQUEST_BODY_MAX (1 << 20)
#define CHUNK 65536
/* Time in ms between searches for answers past their deadline.  */
#define EXPIRE_MS 5

/* One kind of request, chosen by the start of its path.  */
typedef struct kind
{
  const char *path;
  const char *path_2; /* the same kind in the other deployment */
  int mean_ms;
  int length;
  bool ranges;
} kind_t;

typedef struct run
{
  char *key;
  char *request_id;
  int port;
  int64_t start_us;
  bool completed;
} run_t;

typedef struct backend
{
  endpoint_options_t options;
  kind_t kinds[4];
  int probe_ms;
  endpoint_t *endpoints;
  int count;
  pthread_mutex_t journal_lock;
  run_t *runs;
  size_t run_count;
  size_t run_capacity;
} backend_t;

static int handle (struct mg_connection *conn, void *context);
static int handle_control (struct mg_connection *conn, void *context);

/* ---- Journal ---- */

static size_t
begin_run (backend_t *backend, const endpoint_t *endpoint, const char *key,
           const char *request_id)
{
  size_t index;

  pthread_mutex_lock (&backend->journal_lock);
  if (backend->run_count == backend->run_capacity)
    {
      backend->run_capacity = backend->run_capacity * 2 + 1024;
      backend->runs = reallocarray (backend->runs, backend->run_capacity,
                                    sizeof *backend->runs);
      if (backend->runs == NULL)
        err (1, "journal");
    }
  index = backend->run_count++;
  backend->runs[index] = (run_t){ .key = strdup (key),
                                  .request_id = strdup (request_id),
                                  .port = endpoint->port,
                                  .start_us = standin_now_us () };
  pthread_mutex_unlock (&backend->journal_lock);
  return index;
}

static void
complete_run (backend_t *backend, size_t index)
{
  pthread_mutex_lock (&backend->journal_lock);
  backend->runs[index].completed = true;
  pthread_mutex_unlock (&backend->journal_lock);
}

static json_object *
journal_json (backend_t *backend)
{
  json_object *list = json_object_new_array ();

  pthread_mutex_lock (&backend->journal_lock);
  for (size_t i = 0; i < backend->run_count; i++)
    {
      const run_t *run = &backend->runs[i];
      json_object *entry = json_object_new_object ();

      standin_json_add_string (entry, "key", run->key);
      standin_json_add_string (entry, "request_id", run->request_id);
      standin_json_add_int (entry, "port", run->port);
      standin_json_add_int (entry, "start_us", run->start_us);
      standin_json_add_bool (entry, "completed", run->completed);
      json_object_array_add (list, entry);
    }
  pthread_mutex_unlock (&backend->journal_lock);
  return list;
}

static int
compare_keys (const void *a, const void *b)
{
  return strcmp (((const run_t *)a)->key, ((const run_t *)b)->key);
}

/* Number of keys that were started more than once, on any endpoint.  */
static int64_t
count_repeated_keys (backend_t *backend)
{
  int64_t repeated = 0;
  size_t count;
  run_t *runs;

  pthread_mutex_lock (&backend->journal_lock);
  count = backend->run_count;
  runs = calloc (count + 1, sizeof *runs);
  if (runs == NULL)
    err (1, "journal");
  if (count > 0)
    memcpy (runs, backend->runs, count * sizeof *runs);
  pthread_mutex_unlock (&backend->journal_lock);
  qsort (runs, count, sizeof *runs, compare_keys);
  for (size_t i = 1; i < count; i++)
    if (runs[i].key[0] != '\0' && strcmp (runs[i].key, runs[i - 1].key) == 0
        && (i < 2 || strcmp (runs[i].key, runs[i - 2].key) != 0))
      repeated++;
  free (runs);
  return repeated;
}

/* ---- Answers ---- */

static void
start_answer (struct mg_connection *conn, endpoint_t *endpoint, int status,
              bool own)
{
  endpoint_load_t load = endpoint_get_load (endpoint, own, false);
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
add_length (struct mg_connection *conn, size_t length)
{
  char text[24];

  snprintf (text, sizeof text, "%zu", length);
  mg_response_header_add (conn, "Content-Length", text, -1);
}

/* Answer without a body.  @ran is false when the request was not started.  */
static int
refuse (struct mg_connection *conn, endpoint_t *endpoint, int status, bool ran)
{
  start_answer (conn, endpoint, status, false);
  if (!ran)
    mg_response_header_add (conn, "Request-Ran", "no", -1);
  if (status == 503)
    mg_response_header_add (conn, "Retry-After", "1", -1);
  add_length (conn, 0);
  mg_response_header_send (conn);
  return status;
}

static int
give_up (struct mg_connection *conn)
{
  standin_reset_connection (conn);
  return 500;
}

/* Start and end of the part to send, from Range and If-Range.  Returns the
   status.  */
static int
choose_range (struct mg_connection *conn, const char *etag, size_t length,
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

static int
send_body (struct mg_connection *conn, endpoint_t *endpoint, work_t *work,
           const kind_t *kind, const char *body)
{
  size_t length = (size_t)kind->length;
  uint64_t hash = XXH64 (body, length, 0);
  char text[80];
  char etag[24];
  size_t first = 0;
  size_t end = length;
  int status = 200;

  snprintf (etag, sizeof etag, "\"%016" PRIx64 "\"", hash);
  if (kind->ranges)
    status = choose_range (conn, etag, length, &first, &end);
  if (status == 416)
    {
      endpoint_leave (endpoint, work);
      return refuse (conn, endpoint, 416, false);
    }
  start_answer (conn, endpoint, status, true);
  snprintf (text, sizeof text, "%016" PRIx64, hash);
  mg_response_header_add (conn, "Body-Hash", text, -1);
  mg_response_header_add (
      conn, "Content-Type",
      kind->ranges ? "application/octet-stream" : "application/json", -1);
  if (kind->ranges)
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
  add_length (conn, end - first);
  endpoint_send (endpoint, work);
  if (end - first <= CHUNK)
    endpoint_leave (endpoint, work);
  mg_response_header_send (conn);
  while (first < end)
    {
      size_t part = end - first < CHUNK ? end - first : CHUNK;

      if (standin_now_us () >= work->deadline_us)
        return give_up (conn);
      if (first + part == end)
        endpoint_leave (endpoint, work);
      if (mg_write (conn, body + first, part) != (int)part)
        return give_up (conn);
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
          || strncmp (uri, kind->path_2, strlen (kind->path_2)) == 0)
        return kind;
    }
  return NULL;
}

/* Runs the work and answers; @identity decides on the body.  */
static int
run (backend_t *backend, struct mg_connection *conn, endpoint_t *endpoint,
     work_t *work, const kind_t *kind)
{
  const char *key = mg_get_header (conn, "Idempotency-Key");
  const char *request_id = mg_get_header (conn, "Request-Id");
  bool journalled
      = strcmp (mg_get_request_info (conn)->request_method, "POST") == 0;
  size_t index = 0;
  char *body;
  int status;

  if (request_id == NULL)
    request_id = "";
  if (journalled)
    index = begin_run (backend, endpoint, key != NULL ? key : "", request_id);
  switch (endpoint_run (endpoint, work, kind->mean_ms))
    {
    case ENTERED:
      break;
    case ENTER_EXPIRED:
      endpoint_leave (endpoint, work);
      return refuse (conn, endpoint, 504, true);
    default:
      return give_up (conn);
    }
  if (journalled)
    complete_run (backend, index);
  body = malloc ((size_t)kind->length);
  if (body == NULL)
    err (1, "answer");
  /* A repeat with the same key gets the same answer.  */
  standin_generate_body (body, (size_t)kind->length,
                         journalled && key != NULL ? key : request_id);
  status = send_body (conn, endpoint, work, kind, body);
  free (body);
  return status;
}

static int
serve (backend_t *backend, struct mg_connection *conn, endpoint_t *endpoint,
       const kind_t *kind)
{
  const char *left_ms = mg_get_header (conn, "Request-Deadline-Ms");
  work_t work = { .conn = conn, .deadline_us = INT64_MAX };
  size_t length;
  char *request;
  int status;

  if (left_ms != NULL)
    work.deadline_us = standin_now_us () + strtoll (left_ms, NULL, 10) * 1000;
  request = standin_read_body (conn, REQUEST_BODY_MAX, &length);
  if (request == NULL)
    return give_up (conn);
  free (request);
  switch (endpoint_enter (endpoint, &work))
    {
    case ENTERED:
      break;
    case ENTER_SHED:
      return refuse (conn, endpoint, 503, false);
    case ENTER_FAILED:
      return refuse (conn, endpoint, 500, true);
    case ENTER_EXPIRED:
      return refuse (conn, endpoint, 504, false);
    default:
      return give_up (conn);
    }
  status = run (backend, conn, endpoint, &work, kind);
  endpoint_leave (endpoint, &work);
  return status;
}

static int
probe (backend_t *backend, struct mg_connection *conn, endpoint_t *endpoint)
{
  json_object *value = json_object_new_object ();
  endpoint_load_t load;
  char identity[20];

  endpoint_count_probe (endpoint);
  if (endpoint_is_fallen (endpoint)
      || !standin_wait_while_connected (conn, backend->probe_ms * 1000LL))
    {
      json_object_put (value);
      return give_up (conn);
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
handle (struct mg_connection *conn, void *context)
{
  backend_t *backend = context;
  const struct mg_request_info *info = mg_get_request_info (conn);
  const kind_t *kind = find_kind (backend, info->local_uri);
  endpoint_t *endpoint = NULL;

  for (int i = 0; i < backend->count; i++)
    if (backend->endpoints[i].port == info->server_port)
      endpoint = &backend->endpoints[i];
  if (endpoint == NULL)
    return give_up (conn);
  if (strcmp (info->local_uri, "/load") == 0
      || strcmp (info->local_uri, "/health") == 0)
    return probe (backend, conn, endpoint);
  if (kind == NULL)
    return refuse (conn, endpoint, 404, false);
  return serve (backend, conn, endpoint, kind);
}

/* ---- Control ---- */

static json_object *
stats_json (backend_t *backend)
{
  json_object *value = json_object_new_object ();
  json_object *list = json_object_new_array ();

  for (int i = 0; i < backend->count; i++)
    json_object_array_add (list, endpoint_stats (&backend->endpoints[i]));
  standin_json_add_int (value, "repeated_keys", count_repeated_keys (backend));
  json_object_object_add (value, "endpoints", list);
  return value;
}

static int
handle_control (struct mg_connection *conn, void *context)
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
  if (index < 0 || index >= backend->count)
    return standin_send_json (conn, 404, json_object_new_object ());
  value = standin_read_json (conn);
  if (value == NULL)
    return standin_send_json (conn, 400, json_object_new_object ());
  endpoint_control (&backend->endpoints[index], value);
  json_object_put (value);
  return standin_send_json (conn, 200,
                            endpoint_stats (&backend->endpoints[index]));
}

/* "0,0,..." with @count entries.  */
static char *
free_ports (int count)
{
  char *ports = calloc ((size_t)count, 2);

  if (ports == NULL)
    err (1, "ports");
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
          .probe_ms = 6,
          .journal_lock = PTHREAD_MUTEX_INITIALIZER };
  endpoint_options_t *endpoint = &backend.options;
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
    { "slots", 0, POPT_ARG_INT, &endpoint->slots, 0, NULL, "N" },
    { "queue", 0, POPT_ARG_INT, &endpoint->queue, 0,
      "requests that may wait for a slot", "N" },
    { "cold-ms", 0, POPT_ARG_INT, &endpoint->cold_ms, 0, NULL, "MS" },
    { "cold-factor", 0, POPT_ARG_INT, &endpoint->cold_factor, 0,
      "service time while cold, times the usual", "N" },
    { "fall-ms", 0, POPT_ARG_INT, &endpoint->fall_ms, 0, NULL, "MS" },
    { "load-lag-ms", 0, POPT_ARG_INT, &endpoint->load_lag_ms, 0, NULL, "MS" },
    { "sigma", 0, POPT_ARG_DOUBLE, &endpoint->sigma, 0,
      "of the log-normal service time", "X" },
    { "seed", 0, POPT_ARG_INT, &endpoint->seed, 0, NULL, "N" },
    { "probe-ms", 0, POPT_ARG_INT, &backend.probe_ms, 0,
      "time of /load and /health", "MS" },
    { "slot-check-ms", 0, POPT_ARG_INT, &kinds[0].mean_ms, 0, NULL, "MS" },
    { "confirm-ms", 0, POPT_ARG_INT, &kinds[1].mean_ms, 0, NULL, "MS" },
    { "history-ms", 0, POPT_ARG_INT, &kinds[2].mean_ms, 0, NULL, "MS" },
    { "archive-ms", 0, POPT_ARG_INT, &kinds[3].mean_ms, 0, NULL, "MS" },
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
      errx (2, "%s: answers have at least %d bytes", kinds[i].path,
            STANDIN_BODY_MIN_BYTES);
  if (ports == NULL && count >= 1)
    ports = free_ports (count);
  if (ports == NULL)
    errx (2, "--count: at least 1");
  standin_block_signals ();
  backend.count = count_ports (ports);
  backend.endpoints
      = calloc ((size_t)backend.count, sizeof *backend.endpoints);
  if (backend.endpoints == NULL)
    err (1, "endpoints");
  server = standin_start_server (ports, threads);
  for (int i = 0; i < backend.count; i++)
    {
      endpoint_init (&backend.endpoints[i], endpoint,
                     standin_get_port (server, i));
      printf ("endpoint %d %d\n", i, backend.endpoints[i].port);
    }
  snprintf (control_ports, sizeof control_ports, "%d", control_port);
  standin_set_handler (server, handle, &backend);
  control = standin_start_server (control_ports, 8);
  standin_set_handler (control, handle_control, &backend);
  standin_print_ready (standin_get_port (control, 0));
  while (!standin_wait_stop_for (EXPIRE_MS))
    for (int i = 0; i < backend.count; i++)
      endpoint_expire (&backend.endpoints[i]);

  standin_stop_server (control);
  standin_stop_server (server);
  for (size_t i = 0; i < backend.run_count; i++)
    {
      free (backend.runs[i].key);
      free (backend.runs[i].request_id);
    }
  free (backend.runs);
  free (backend.endpoints);
  free (ports);
  return 0;
}
