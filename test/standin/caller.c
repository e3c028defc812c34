/* Load generator that simulates clients.  It starts requests in an open loop,
   that is, without waiting for the responses to earlier ones, uses the
   addresses that GET /addresses returns until they expire, and verifies that
   every response belongs to its request.  */

#include "addresses.h"
#include "tally.h"

#include <curl/curl.h>
#include <err.h>
#include <inttypes.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/signalfd.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>
#include <xxhash.h>

#define ID_SIZE_BYTES 64
/* Number of bytes at the start of a response body that are stored, which is
   enough for a problem document; the rest of the body is only hashed.  */
#define BODY_PREFIX_MAX_BYTES 2048
#define CONNECT_ATTEMPTS_MAX 3
/* Longest time between the start of a request and the start of its repeat with
   the same idempotency key.  */
#define REPEAT_DELAY_MAX_MS 100

typedef struct request_kind
{
  const char *name;
  const char *service;
  const char *path;
  bool post;     /* whether it is sent as a POST */
  double weight; /* frequency relative to the other kinds */
  tally_t tally;
} request_kind_t;

typedef struct request
{
  struct request *next; /* in the list of scheduled requests */
  request_kind_t *kind;
  char id[ID_SIZE_BYTES];
  char key[ID_SIZE_BYTES + 4];  /* idempotency key; empty unless a POST */
  char first_id[ID_SIZE_BYTES]; /* id of the first request with this key */
  bool repeat; /* whether it is the second request with this key */
  /* The following times are those of CLOCK_BOOTTIME.  */
  int64_t intended_start_us; /* when the client starts the request */
  int64_t send_us;           /* intended_start_us plus one-way delay */
  address_t address;
  int connect_attempts;
  bool sent;   /* whether libcurl has begun to send it */
  bool resent; /* whether libcurl sent it again by itself */
  CURL *curl;
  struct curl_slist *headers;
  char sent_body[128];
  /* The response.  */
  XXH64_state_t *hash; /* of the body received so far */
  size_t response_length;
  char body_prefix[BODY_PREFIX_MAX_BYTES + 1];
  char echoed_id[ID_SIZE_BYTES];
  char body_hash[20];
  char ran[16]; /* whether the request ran, as the response says */
  bool problem; /* whether the body is a problem document */
  bool has_retry_after;
} request_t;

typedef struct generator
{
  bool direct;      /* whether requests go to backend servers directly */
  const char *name; /* start of the request ids */
  int seed;
  int timeout_ms;      /* from the start of a request to its deadline */
  int grace_ms;        /* time to wait for a response after the deadline */
  int delay_ms;        /* simulated one-way delay of the client */
  double repeat_share; /* of the POST requests */
  request_kind_t *kinds;
  size_t kind_count;
  standin_random_t random;          /* for the arrivals and their repeats */
  standin_random_t response_random; /* for choices that depend on responses */
  int64_t sequence;                 /* number of requests created */
  addresses_t addresses;
  CURLM *multi;
  request_t *scheduled; /* to be sent, sorted by send_us */
  int64_t in_flight_count;
  int64_t reconnect_count; /* attempts at another address after a failed one */
  int64_t resend_count;    /* requests that libcurl sent again by itself */
  int64_t repeat_count;    /* second requests with an idempotency key */
  FILE *log;               /* gets a line for each request; NULL: none */
  char *expected_body;     /* buffer for the body to compare with */
  size_t expected_body_capacity; /* size of that buffer in bytes */
} generator_t;

static void send_request (generator_t *generator, request_t *request);
static void finish_request (generator_t *generator, request_t *request,
                            CURLcode result);

/* Inserts the request into the list of scheduled requests, which is sorted by
   the time of sending.  */
static void
schedule_request (generator_t *generator, request_t *request)
{
  request_t **position = &generator->scheduled;

  while (*position != NULL && (*position)->send_us <= request->send_us)
    position = &(*position)->next;
  request->next = *position;
  *position = request;
}

/* Removes and returns the first scheduled request; there must be one.  */
static request_t *
pop_scheduled_request (generator_t *generator)
{
  request_t *first = generator->scheduled;

  generator->scheduled = first->next;
  return first;
}

/* ---- One request ---- */

static request_t *
create_request (generator_t *generator, request_kind_t *kind,
                int64_t intended_start_us)
{
  request_t *request = calloc (1, sizeof *request);

  if (request == NULL)
    err (1, "can't allocate a request");
  request->kind = kind;
  request->intended_start_us = intended_start_us;
  request->send_us = intended_start_us + generator->delay_ms * 1000LL;
  request->hash = XXH64_createState ();
  snprintf (request->id, sizeof request->id, "%s-%d-%" PRId64, generator->name,
            generator->seed, ++generator->sequence);
  if (kind->post)
    snprintf (request->key, sizeof request->key, "key-%s", request->id);
  memcpy (request->first_id, request->id, sizeof request->first_id);
  return request;
}

static void
free_request (request_t *request)
{
  curl_slist_free_all (request->headers);
  if (request->curl != NULL)
    curl_easy_cleanup (request->curl);
  XXH64_freeState (request->hash);
  free (request);
}

/* Schedules a second request with the same idempotency key, to another
   address if there is one.  */
static void
schedule_repeat (generator_t *generator, const request_t *first)
{
  int64_t after_us = (int64_t)(standin_random_uniform (&generator->random)
                               * REPEAT_DELAY_MAX_MS * 1000);
  request_t *repeat = create_request (generator, first->kind,
                                      first->intended_start_us + after_us);

  memcpy (repeat->key, first->key, sizeof repeat->key);
  memcpy (repeat->first_id, first->id, sizeof repeat->first_id);
  repeat->repeat = true;
  repeat->address = *addresses_choose_random (
      &generator->addresses, &generator->random, first->address.text);
  generator->repeat_count++;
  schedule_request (generator, repeat);
}

static size_t
receive_body (char *data, size_t size, size_t count, void *context)
{
  request_t *request = context;

  (void)size;
  if (request->response_length < BODY_PREFIX_MAX_BYTES)
    {
      size_t free_bytes = BODY_PREFIX_MAX_BYTES - request->response_length;

      memcpy (request->body_prefix + request->response_length, data,
              count < free_bytes ? count : free_bytes);
    }
  XXH64_update (request->hash, data, count);
  request->response_length += count;
  return count;
}

/* Copies the value of the header @name from the line, without the line end;
   returns false if the line is another header.  */
static bool
parse_header (const char *line, size_t length, const char *name, char *value,
              size_t size)
{
  size_t used = strlen (name);
  size_t end = length;

  if (length <= used || strncasecmp (line, name, used) != 0
      || line[used] != ':')
    return false;
  for (used++; used < end && line[used] == ' ';)
    used++;
  while (end > used && strchr ("\r\n ", line[end - 1]) != NULL)
    end--;
  if (end - used >= size)
    end = used + size - 1;
  memcpy (value, line + used, end - used);
  value[end - used] = '\0';
  return true;
}

static size_t
receive_header (char *line, size_t size, size_t count, void *context)
{
  request_t *request = context;
  char text[ID_SIZE_BYTES];

  (void)size;
  /* Entry instances name the request that they respond to in Request-Id;
     it has precedence over Echo-Request-Id, in which backend servers name
     the request that ran.  */
  if (parse_header (line, count, "Request-Id", request->echoed_id,
                    sizeof request->echoed_id))
    return count;
  if (request->echoed_id[0] == '\0')
    (void)parse_header (line, count, "Echo-Request-Id", request->echoed_id,
                        sizeof request->echoed_id);
  (void)parse_header (line, count, "Body-Hash", request->body_hash,
                      sizeof request->body_hash);
  (void)parse_header (line, count, "Request-Ran", request->ran,
                      sizeof request->ran);
  if (parse_header (line, count, "Retry-After", text, sizeof text))
    request->has_retry_after = true;
  if (parse_header (line, count, "Content-Type", text, sizeof text))
    request->problem = strcmp (text, "application/problem+json") == 0;
  return count;
}

/* libcurl sends a request again by itself, even a POST, when a pooled
   connection turns out to be closed.  This callback, which libcurl calls
   before it sends a request, aborts a POST that was sent before.  */
static int
refuse_post_resend (void *context, char *remote_ip, char *local_ip,
                    int remote_port, int local_port)
{
  request_t *request = context;

  (void)remote_ip;
  (void)local_ip;
  (void)remote_port;
  (void)local_port;
  if (request->sent && request->kind->post)
    return CURL_PREREQFUNC_ABORT;
  request->resent = request->sent;
  request->sent = true;
  return CURL_PREREQFUNC_OK;
}

static void
add_header (request_t *request, const char *name, const char *value)
{
  char line[320];
  struct curl_slist *headers;

  snprintf (line, sizeof line, "%s: %s", name, value);
  headers = curl_slist_append (request->headers, line);
  if (headers == NULL)
    err (1, "can't allocate a header");
  request->headers = headers;
}

static void
send_request (generator_t *generator, request_t *request)
{
  const request_kind_t *kind = request->kind;
  int64_t remaining_ms
      = generator->timeout_ms
        - (standin_now_us () - request->intended_start_us) / 1000;
  CURL *curl = request->curl != NULL ? request->curl : curl_easy_init ();
  char text[256];

  if (curl == NULL)
    errx (1, "can't create a curl handle");
  if (remaining_ms < 1)
    remaining_ms = 1;
  request->curl = curl;
  request->connect_attempts++;
  XXH64_reset (request->hash, 0);
  curl_slist_free_all (request->headers);
  request->headers = NULL;
  add_header (request, "Request-Id", request->id);
  snprintf (text, sizeof text, "%" PRId64, remaining_ms);
  add_header (request,
              generator->direct ? "Request-Deadline-Ms" : "Request-Timeout-Ms",
              text);
  if (kind->post)
    {
      add_header (request, "Idempotency-Key", request->key);
      add_header (request, "Content-Type", "application/json");
      snprintf (request->sent_body, sizeof request->sent_body,
                "{\"booking\":\"%s\"}", request->key);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, request->sent_body);
    }
  if (generator->direct)
    snprintf (text, sizeof text, "http://%s%s", request->address.text,
              kind->path);
  else
    snprintf (text, sizeof text, "http://%s/s/%s%s", request->address.text,
              kind->service, kind->path);
  curl_easy_setopt (curl, CURLOPT_URL, text);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, request->headers);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS,
                    (long)remaining_ms + generator->grace_ms);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, receive_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, request);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, receive_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, request);
  curl_easy_setopt (curl, CURLOPT_PREREQFUNCTION, refuse_post_resend);
  curl_easy_setopt (curl, CURLOPT_PREREQDATA, request);
  curl_easy_setopt (curl, CURLOPT_PRIVATE, request);
  curl_multi_add_handle (generator->multi, curl);
  generator->in_flight_count++;
}

/* ---- Outcome of a request ---- */

/* Returns the outcome of a request with a response of status 200:
   OUTCOME_WHOLE if the response belongs to this request and its body is byte
   for byte the expected one, otherwise OUTCOME_WRONG.  The response to a
   repeat may name the first request with its key; the id that a backend server
   echoes to a POST is not compared.  */
static tally_outcome_t
classify_success (generator_t *generator, const request_t *request)
{
  uint64_t hash = XXH64_digest (request->hash);
  char text[20];

  if (request->response_length < STANDIN_BODY_MIN_BYTES
      || (strcmp (request->echoed_id, request->id) != 0
          && !(request->kind->post && generator->direct)
          && !(request->repeat
               && strcmp (request->echoed_id, request->first_id) == 0)))
    return OUTCOME_WRONG;
  snprintf (text, sizeof text, "%016" PRIx64, hash);
  if (request->body_hash[0] != '\0' && strcmp (text, request->body_hash) != 0)
    return OUTCOME_WRONG;
  if (request->response_length > generator->expected_body_capacity)
    {
      free (generator->expected_body);
      generator->expected_body = malloc (request->response_length);
      if (generator->expected_body == NULL)
        err (1, "can't allocate the expected response");
      generator->expected_body_capacity = request->response_length;
    }
  standin_generate_body (generator->expected_body, request->response_length,
                         request->kind->post ? request->key : request->id);
  return XXH64 (generator->expected_body, request->response_length, 0) == hash
             ? OUTCOME_WHOLE
             : OUTCOME_WRONG;
}

/* Returns the outcome of a request with an error response.  The body of an
   error response of an entry instance must be a problem document that says
   whether the request ran.  Backend servers say so in the header Request-Ran;
   without that header, it is unknown whether the request ran.  */
static tally_outcome_t
classify_error_response (const generator_t *generator, request_t *request,
                         long status)
{
  json_object *problem;
  json_object *ran;
  bool complete;

  if (generator->direct && request->ran[0] == '\0')
    memcpy (request->ran, "unknown", sizeof "unknown");
  if (!generator->direct)
    {
      problem = json_tokener_parse (request->body_prefix);
      complete = request->problem
                 && json_object_object_get_ex (problem, "ran", &ran);
      if (complete)
        snprintf (request->ran, sizeof request->ran, "%s",
                  json_object_get_string (ran));
      json_object_put (problem);
      if (!complete)
        return OUTCOME_BROKEN;
    }
  if ((status == 429 || status == 503) && !request->has_retry_after)
    return OUTCOME_BROKEN;
  if (strcmp (request->ran, "no") == 0)
    return OUTCOME_REFUSED_NO;
  return strcmp (request->ran, "unknown") == 0 ? OUTCOME_REFUSED_UNKNOWN
                                               : OUTCOME_BROKEN;
}

static void
log_request (const generator_t *generator, const request_t *request,
             int64_t end_us, tally_outcome_t outcome, long status,
             CURLcode result)
{
  if (generator->log == NULL)
    return;
  fprintf (generator->log,
           "{\"request_id\":\"%s\",\"kind\":\"%s\",\"key\":\"%s\","
           "\"repeat\":%s,\"start_us\":%" PRId64 ",\"end_us\":%" PRId64
           ",\"outcome\":\"%s\",\"status\":%ld,\"ran\":\"%s\","
           "\"instance\":\"%s\",\"error\":\"%s\"}\n",
           request->id, request->kind->name, request->key,
           request->repeat ? "true" : "false", request->intended_start_us,
           end_us, tally_outcome_name (outcome), status,
           outcome == OUTCOME_WHOLE ? "yes" : request->ran,
           request->address.text,
           result == CURLE_OK ? "" : curl_easy_strerror (result));
}

static void
finish_request (generator_t *generator, request_t *request, CURLcode result)
{
  int64_t end_us = standin_now_us () + generator->delay_ms * 1000LL;
  tally_outcome_t outcome = OUTCOME_BROKEN;
  long status = 0;

  generator->in_flight_count--;
  generator->resend_count += request->resent;
  curl_multi_remove_handle (generator->multi, request->curl);
  curl_easy_getinfo (request->curl, CURLINFO_RESPONSE_CODE, &status);
  /* After a failure, the addresses are requested anew at once.  */
  if (result != CURLE_OK)
    generator->addresses.expiry_us = 0;
  /* Another address can be tried, because the request was not sent.  */
  if (result == CURLE_COULDNT_CONNECT && !request->sent
      && request->connect_attempts < CONNECT_ATTEMPTS_MAX)
    {
      generator->reconnect_count++;
      request->address = *addresses_choose_random (&generator->addresses,
                                                   &generator->response_random,
                                                   request->address.text);
      send_request (generator, request);
      return;
    }
  if (result == CURLE_OPERATION_TIMEDOUT)
    outcome = OUTCOME_TIMEOUT;
  else if (result == CURLE_OK)
    outcome = status == 200
                  ? classify_success (generator, request)
                  : classify_error_response (generator, request, status);
  tally_add (&request->kind->tally, outcome,
             end_us - request->intended_start_us);
  log_request (generator, request, end_us, outcome, status, result);
  free_request (request);
}

/* ---- Run ---- */

static request_kind_t *
choose_kind (generator_t *generator)
{
  double total = 0;
  double threshold;

  for (size_t i = 0; i < generator->kind_count; i++)
    total += generator->kinds[i].weight;
  threshold = standin_random_uniform (&generator->random) * total;
  for (size_t i = 0; i < generator->kind_count; i++)
    if ((threshold -= generator->kinds[i].weight) <= 0
        && generator->kinds[i].weight > 0)
      return &generator->kinds[i];
  return &generator->kinds[0];
}

/* Creates and schedules a request that a client starts at @intended_start_us,
   and for the configured share of POST requests also a repeat.  */
static void
schedule_arrival (generator_t *generator, int64_t intended_start_us)
{
  request_t *request
      = create_request (generator, choose_kind (generator), intended_start_us);

  request->address = *addresses_choose_random (&generator->addresses,
                                               &generator->random, "");
  if (request->kind->post
      && standin_random_uniform (&generator->random)
             <= generator->repeat_share)
    schedule_repeat (generator, request);
  schedule_request (generator, request);
}

static void
finish_completed_requests (generator_t *generator)
{
  CURLMsg *message;
  int messages_left;

  while ((message = curl_multi_info_read (generator->multi, &messages_left))
         != NULL)
    {
      CURL *curl = message->easy_handle;
      CURLcode result = message->data.result;
      request_t *request = NULL;

      curl_easy_getinfo (curl, CURLINFO_PRIVATE, (char **)&request);
      if (!addresses_finish_refresh (&generator->addresses, generator->multi,
                                     curl, result))
        finish_request (generator, request, result);
    }
}

/* Waits for libcurl, a signal or the time @until_us.  */
static void
wait_until (const generator_t *generator, int timer_fd, int signal_fd,
            int64_t until_us)
{
  struct curl_waitfd extra_fds[2]
      = { { .fd = timer_fd, .events = CURL_WAIT_POLLIN },
          { .fd = signal_fd, .events = CURL_WAIT_POLLIN } };
  struct itimerspec wake
      = { .it_value = { .tv_sec = until_us / 1000000,
                        .tv_nsec = until_us % 1000000 * 1000 } };

  /* The timeout of curl_multi_poll() has a resolution of 1 ms, which is too
     coarse for arrivals.  */
  timerfd_settime (timer_fd, TFD_TIMER_ABSTIME, &wake, NULL);
  curl_multi_poll (generator->multi, extra_fds, 2, 1000, NULL);
}

/* Generates an open-loop load: requests arrive as a Poisson process,
   independently of the progress of earlier ones.  Returns when all requests
   are finished.  */
static void
generate_load (generator_t *generator, double rate, int64_t duration_ms,
               int signal_fd)
{
  int timer_fd = timerfd_create (CLOCK_BOOTTIME, TFD_NONBLOCK);
  int64_t start_us = standin_now_us ();
  int64_t end_us = start_us + duration_ms * 1000;
  double next_arrival_us = (double)start_us;
  struct signalfd_siginfo stop;
  int running;

  if (timer_fd < 0)
    err (1, "can't create a timer");
  for (;;)
    {
      int64_t now_us = standin_now_us ();
      int64_t wake_us;

      if (read (signal_fd, &stop, sizeof stop) > 0)
        end_us = 0;
      for (; (int64_t)next_arrival_us <= now_us
             && (int64_t)next_arrival_us < end_us;
           next_arrival_us
           -= log (standin_random_uniform (&generator->random)) / rate * 1e6)
        schedule_arrival (generator, (int64_t)next_arrival_us);
      while (generator->scheduled != NULL
             && generator->scheduled->send_us <= now_us)
        send_request (generator, pop_scheduled_request (generator));
      addresses_start_refresh (&generator->addresses,
                               &generator->response_random, generator->multi,
                               now_us);
      curl_multi_perform (generator->multi, &running);
      finish_completed_requests (generator);
      wake_us = (int64_t)next_arrival_us;
      if (wake_us >= end_us)
        wake_us = now_us + 1000000;
      if (generator->scheduled != NULL
          && generator->scheduled->send_us < wake_us)
        wake_us = generator->scheduled->send_us;
      if ((int64_t)next_arrival_us >= end_us && generator->in_flight_count == 0
          && generator->scheduled == NULL)
        break;
      if (wake_us > standin_now_us ())
        wait_until (generator, timer_fd, signal_fd, wake_us);
    }
  close (timer_fd);
}

/* Sets the weights of the kinds of requests from KIND=WEIGHT,...  */
static void
parse_weights (generator_t *generator, const char *mix)
{
  char *copy = strdup (mix);
  char *rest = copy;

  for (char *next; (next = strsep (&rest, ",")) != NULL;)
    {
      char *weight = strchr (next, '=');
      request_kind_t *kind = NULL;

      if (weight == NULL)
        errx (2, "--mix: %s: weight is missing", next);
      *weight++ = '\0';
      for (size_t i = 0; i < generator->kind_count; i++)
        if (strcmp (generator->kinds[i].name, next) == 0)
          kind = &generator->kinds[i];
      if (kind == NULL)
        errx (2, "--mix: %s: no such kind of request", next);
      kind->weight = strtod (weight, NULL);
    }
  free (copy);
}

static void
print_report (generator_t *generator)
{
  json_object *value = json_object_new_object ();
  json_object *kinds = json_object_new_object ();
  tally_t total_tally = { 0 };

  for (size_t i = 0; i < generator->kind_count; i++)
    {
      request_kind_t *kind = &generator->kinds[i];
      json_object *part = json_object_new_object ();

      tally_merge (&total_tally, &kind->tally);
      tally_add_to_json (&kind->tally, part);
      if (kind->weight > 0)
        json_object_object_add (kinds, kind->name, part);
      else
        json_object_put (part);
      tally_clear (&kind->tally);
    }
  tally_add_to_json (&total_tally, value);
  tally_clear (&total_tally);
  standin_json_add_int (value, "repeats", generator->repeat_count);
  standin_json_add_int (value, "reconnects", generator->reconnect_count);
  standin_json_add_int (value, "resends", generator->resend_count);
  standin_json_add_int (value, "address_answers",
                        generator->addresses.response_count);
  json_object_object_add (value, "kinds", kinds);
  puts (json_object_to_json_string_ext (value, JSON_C_TO_STRING_PLAIN));
  json_object_put (value);
}

int
main (int argc, const char **argv)
{
  request_kind_t kinds[]
      = { { "slot-check", "booking", "/slot-check", false, 0, {} },
          { "confirm", "booking", "/confirm", true, 0, {} },
          { "history", "records", "/history", false, 0, {} },
          { "archive", "records", "/archive", false, 0, {} },
          { "slip", "slipdesk", "/slip", false, 0, {} },
          { "filing", "slipdesk", "/filing", true, 0, {} },
          { "drawer", "drawerstore", "/drawer", false, 0, {} } };
  generator_t generator = { .seed = 1,
                            .timeout_ms = 2000,
                            .grace_ms = 200,
                            .kinds = kinds,
                            .kind_count = sizeof kinds / sizeof *kinds };
  char *direct = NULL;
  char *entry = NULL;
  char *data_centre = NULL;
  char *name = NULL;
  char *mix = NULL;
  char *log_path = NULL;
  double rate = 100;
  int duration_ms = 1000;
  struct poptOption options[]
      = { { "entry", 0, POPT_ARG_STRING, &entry, 0, "entry instances",
            "IP:PORT,..." },
          { "direct", 0, POPT_ARG_STRING, &direct, 0,
            "backend servers, without entry instances", "IP:PORT,..." },
          { "data-centre", 0, POPT_ARG_STRING, &data_centre, 0, NULL, "NAME" },
          { "name", 0, POPT_ARG_STRING, &name, 0, "start of request ids",
            "NAME" },
          { "rate", 0, POPT_ARG_DOUBLE, &rate, 0, "requests per second", "X" },
          { "duration-ms", 0, POPT_ARG_INT, &duration_ms, 0, NULL, "MS" },
          { "seed", 0, POPT_ARG_INT, &generator.seed, 0, NULL, "N" },
          { "mix", 0, POPT_ARG_STRING, &mix, 0, "kinds of requests",
            "KIND=WEIGHT,..." },
          { "timeout-ms", 0, POPT_ARG_INT, &generator.timeout_ms, 0,
            "deadline of each request", "MS" },
          { "grace-ms", 0, POPT_ARG_INT, &generator.grace_ms, 0,
            "wait for an answer after the deadline", "MS" },
          { "delay-ms", 0, POPT_ARG_INT, &generator.delay_ms, 0,
            "one-way delay of the client", "MS" },
          { "repeat-share", 0, POPT_ARG_DOUBLE, &generator.repeat_share, 0,
            "share of confirmations that are repeated", "X" },
          { "output", 0, POPT_ARG_STRING, &log_path, 0,
            "file for one line per request", "FILE" },
          POPT_AUTOHELP POPT_TABLEEND };
  sigset_t stop;
  int signal_fd;

  standin_parse_options (argc, argv, options);
  generator.addresses.data_centre = data_centre != NULL ? data_centre : "";
  generator.name = name != NULL ? name : "caller";
  parse_weights (&generator, mix != NULL ? mix : "slot-check=1");
  if ((direct == NULL) == (entry == NULL) || rate <= 0)
    errx (2, "either --direct or --entry, and a positive --rate are required");
  sigemptyset (&stop);
  sigaddset (&stop, SIGTERM);
  sigaddset (&stop, SIGINT);
  standin_block_signals ();
  signal_fd = signalfd (-1, &stop, SFD_NONBLOCK);
  if (log_path != NULL && (generator.log = fopen (log_path, "w")) == NULL)
    err (1, "%s", log_path);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  generator.random.state = XXH64 (&generator.seed, sizeof generator.seed, 0);
  generator.response_random.state
      = XXH64 (&generator.seed, sizeof generator.seed, 1);
  generator.multi = curl_multi_init ();
  if (signal_fd < 0 || generator.multi == NULL)
    errx (1, "can't create a signalfd or a curl multi handle");
  curl_multi_setopt (generator.multi, CURLMOPT_MAXCONNECTS, 1024L);
  generator.direct = direct != NULL;
  if (direct != NULL)
    addresses_set_fixed (&generator.addresses, direct);
  else
    addresses_discover (&generator.addresses, &generator.response_random,
                        entry);
  generate_load (&generator, rate, duration_ms, signal_fd);
  addresses_cancel_refresh (&generator.addresses, generator.multi);
  print_report (&generator);

  if (generator.log != NULL && fclose (generator.log) != 0)
    err (1, "%s", log_path);
  curl_multi_cleanup (generator.multi);
  curl_global_cleanup ();
  close (signal_fd);
  free (direct);
  free (entry);
  free (data_centre);
  free (name);
  free (mix);
  free (log_path);
  free (generator.expected_body);
  return 0;
}
