/* Test double of callers: open-loop arrivals, address answers kept for their
   lifetime, and a check of every answer against its own request.  */

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

#define ID_MAX 64
/* Problem documents are short; the rest of an answer is only hashed.  */
#define PREFIX_MAX 2048
#define CONNECTS_MAX 3
/* Time in ms in which a repeat with the same key follows its first.  */
#define REPEAT_WITHIN_MS 100

typedef struct kind
{
  const char *name;
  const char *service;
  const char *path;
  bool post;
  double weight;
  tally_t tally;
} kind_t;

typedef struct request
{
  struct request *next; /* while it waits to be sent */
  kind_t *kind;
  char id[ID_MAX];
  char key[ID_MAX + 4];
  char first_id[ID_MAX]; /* of the first request with this key */
  bool repeat;
  int64_t intended_us;
  int64_t send_us;
  address_t address;
  int connects;
  bool sent;
  bool resent;
  CURL *curl;
  struct curl_slist *headers;
  char sent_body[128];
  /* The answer.  */
  XXH64_state_t *hash;
  size_t length;
  char prefix[PREFIX_MAX + 1];
  char echo[ID_MAX];
  char body_hash[20];
  char ran[16];
  bool problem;
  bool retry_after;
} request_t;

typedef struct caller
{
  bool direct;
  const char *name;
  int seed;
  int timeout_ms;
  int grace_ms;
  int delay_ms;
  double repeat_share;
  kind_t *kinds;
  size_t kind_count;
  standin_random_t random; /* of the arrivals */
  standin_random_t ad_hoc; /* of what depends on the answers */
  int64_t sequence;
  addresses_t addresses;
  CURLM *multi;
  request_t *waiting; /* by send_us */
  int64_t in_flight;
  int64_t reconnects;
  int64_t resends;
  int64_t repeats;
  FILE *log;
  char *expected;
  size_t expected_size;
} caller_t;

static void send_request (caller_t *caller, request_t *request);
static void finish (caller_t *caller, request_t *request, CURLcode result);

/* Adds a request that waits to be sent, in order of time.  */
static void
push (caller_t *caller, request_t *request)
{
  request_t **place = &caller->waiting;

  while (*place != NULL && (*place)->send_us <= request->send_us)
    place = &(*place)->next;
  request->next = *place;
  *place = request;
}

static request_t *
pop (caller_t *caller)
{
  request_t *first = caller->waiting;

  caller->waiting = first->next;
  return first;
}

/* ---- One request ---- */

static request_t *
new_request (caller_t *caller, kind_t *kind, int64_t intended_us)
{
  request_t *request = calloc (1, sizeof *request);

  if (request == NULL)
    err (1, "request");
  request->kind = kind;
  request->intended_us = intended_us;
  request->send_us = intended_us + caller->delay_ms * 1000LL;
  request->hash = XXH64_createState ();
  snprintf (request->id, sizeof request->id, "%s-%d-%" PRId64, caller->name,
            caller->seed, ++caller->sequence);
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

/* Repeats the request with its key through another instance.  */
static void
add_repeat (caller_t *caller, const request_t *first)
{
  int64_t after_us = (int64_t)(standin_random_uniform (&caller->random)
                               * REPEAT_WITHIN_MS * 1000);
  request_t *repeat
      = new_request (caller, first->kind, first->intended_us + after_us);

  memcpy (repeat->key, first->key, sizeof repeat->key);
  memcpy (repeat->first_id, first->id, sizeof repeat->first_id);
  repeat->repeat = true;
  repeat->address = *addresses_choose_random (
      &caller->addresses, &caller->random, first->address.text);
  caller->repeats++;
  push (caller, repeat);
}

static size_t
take_body (char *data, size_t size, size_t count, void *context)
{
  request_t *request = context;

  (void)size;
  if (request->length < PREFIX_MAX)
    {
      size_t room = PREFIX_MAX - request->length;

      memcpy (request->prefix + request->length, data,
              count < room ? count : room);
    }
  XXH64_update (request->hash, data, count);
  request->length += count;
  return count;
}

/* Copies the value of header @name from the line, without its end.  */
static bool
header_value (const char *line, size_t length, const char *name, char *value,
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
take_header (char *line, size_t size, size_t count, void *context)
{
  request_t *request = context;
  char text[ID_MAX];

  (void)size;
  /* Backend servers echo the id of the request that ran; entry instances
     that of the request they answer, which counts.  */
  if (header_value (line, count, "Request-Id", request->echo,
                    sizeof request->echo))
    return count;
  if (request->echo[0] == '\0')
    (void)header_value (line, count, "Echo-Request-Id", request->echo,
                        sizeof request->echo);
  (void)header_value (line, count, "Body-Hash", request->body_hash,
                      sizeof request->body_hash);
  (void)header_value (line, count, "Request-Ran", request->ran,
                      sizeof request->ran);
  if (header_value (line, count, "Retry-After", text, sizeof text))
    request->retry_after = true;
  if (header_value (line, count, "Content-Type", text, sizeof text))
    request->problem = strcmp (text, "application/problem+json") == 0;
  return count;
}

/* libcurl sends a request again by itself when a kept connection turns out
   to be closed, also a POST.  The second sending of a POST is prevented.  */
static int
before_sending (void *context, char *far, char *near, int far_port,
                int near_port)
{
  request_t *request = context;

  (void)far;
  (void)near;
  (void)far_port;
  (void)near_port;
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
    err (1, "header");
  request->headers = headers;
}

static void
send_request (caller_t *caller, request_t *request)
{
  const kind_t *kind = request->kind;
  int64_t left_ms
      = caller->timeout_ms - (standin_now_us () - request->intended_us) / 1000;
  CURL *curl = request->curl != NULL ? request->curl : curl_easy_init ();
  char text[256];

  if (curl == NULL)
    errx (1, "can't make a request");
  if (left_ms < 1)
    left_ms = 1;
  request->curl = curl;
  request->connects++;
  XXH64_reset (request->hash, 0);
  curl_slist_free_all (request->headers);
  request->headers = NULL;
  add_header (request, "Request-Id", request->id);
  snprintf (text, sizeof text, "%" PRId64, left_ms);
  add_header (request,
              caller->direct ? "Request-Deadline-Ms" : "Request-Timeout-Ms",
              text);
  if (kind->post)
    {
      add_header (request, "Idempotency-Key", request->key);
      add_header (request, "Content-Type", "application/json");
      snprintf (request->sent_body, sizeof request->sent_body,
                "{\"booking\":\"%s\"}", request->key);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, request->sent_body);
    }
  if (caller->direct)
    snprintf (text, sizeof text, "http://%s%s", request->address.text,
              kind->path);
  else
    snprintf (text, sizeof text, "http://%s/s/%s%s", request->address.text,
              kind->service, kind->path);
  curl_easy_setopt (curl, CURLOPT_URL, text);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, request->headers);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS,
                    (long)left_ms + caller->grace_ms);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, take_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, request);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, take_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, request);
  curl_easy_setopt (curl, CURLOPT_PREREQFUNCTION, before_sending);
  curl_easy_setopt (curl, CURLOPT_PREREQDATA, request);
  curl_easy_setopt (curl, CURLOPT_PRIVATE, request);
  curl_multi_add_handle (caller->multi, curl);
  caller->in_flight++;
}

/* ---- Check of the answer ---- */

/* A 200 must be the answer to this request, byte by byte.  */
static tally_outcome_t
check_whole (caller_t *caller, const request_t *request)
{
  uint64_t hash = XXH64_digest (request->hash);
  char text[20];

  if (request->length < STANDIN_BODY_MIN_BYTES
      || (strcmp (request->echo, request->id) != 0
          && !(request->kind->post && caller->direct)
          && !(request->repeat
               && strcmp (request->echo, request->first_id) == 0)))
    return OUTCOME_WRONG;
  snprintf (text, sizeof text, "%016" PRIx64, hash);
  if (request->body_hash[0] != '\0' && strcmp (text, request->body_hash) != 0)
    return OUTCOME_WRONG;
  if (request->length > caller->expected_size)
    {
      free (caller->expected);
      caller->expected = malloc (request->length);
      if (caller->expected == NULL)
        err (1, "expected answer");
      caller->expected_size = request->length;
    }
  standin_generate_body (caller->expected, request->length,
                         request->kind->post ? request->key : request->id);
  return XXH64 (caller->expected, request->length, 0) == hash ? OUTCOME_WHOLE
                                                              : OUTCOME_WRONG;
}

/* An error answer must be a problem document that says whether the request
   ran; backend servers say it in a header.  */
static tally_outcome_t
check_refusal (const caller_t *caller, request_t *request, long status)
{
  json_object *problem;
  json_object *ran;
  bool complete;

  if (caller->direct && request->ran[0] == '\0')
    memcpy (request->ran, "unknown", sizeof "unknown");
  if (!caller->direct)
    {
      problem = json_tokener_parse (request->prefix);
      complete = request->problem
                 && json_object_object_get_ex (problem, "ran", &ran);
      if (complete)
        snprintf (request->ran, sizeof request->ran, "%s",
                  json_object_get_string (ran));
      json_object_put (problem);
      if (!complete)
        return OUTCOME_BROKEN;
    }
  if ((status == 429 || status == 503) && !request->retry_after)
    return OUTCOME_BROKEN;
  if (strcmp (request->ran, "no") == 0)
    return OUTCOME_REFUSED_NO;
  return strcmp (request->ran, "unknown") == 0 ? OUTCOME_REFUSED_UNKNOWN
                                               : OUTCOME_BROKEN;
}

static void
log_request (const caller_t *caller, const request_t *request, int64_t end_us,
             tally_outcome_t outcome, long status, CURLcode result)
{
  if (caller->log == NULL)
    return;
  fprintf (caller->log,
           "{\"request_id\":\"%s\",\"kind\":\"%s\",\"key\":\"%s\","
           "\"repeat\":%s,\"start_us\":%" PRId64 ",\"end_us\":%" PRId64
           ",\"outcome\":\"%s\",\"status\":%ld,\"ran\":\"%s\","
           "\"instance\":\"%s\",\"error\":\"%s\"}\n",
           request->id, request->kind->name, request->key,
           request->repeat ? "true" : "false", request->intended_us, end_us,
           tally_outcome_name (outcome), status,
           outcome == OUTCOME_WHOLE ? "yes" : request->ran,
           request->address.text,
           result == CURLE_OK ? "" : curl_easy_strerror (result));
}

static void
finish (caller_t *caller, request_t *request, CURLcode result)
{
  int64_t end_us = standin_now_us () + caller->delay_ms * 1000LL;
  tally_outcome_t outcome = OUTCOME_BROKEN;
  long status = 0;

  caller->in_flight--;
  caller->resends += request->resent;
  curl_multi_remove_handle (caller->multi, request->curl);
  curl_easy_getinfo (request->curl, CURLINFO_RESPONSE_CODE, &status);
  if (result != CURLE_OK)
    caller->addresses.expiry_us = 0;
  /* Nothing was sent: another address may be tried.  */
  if (result == CURLE_COULDNT_CONNECT && !request->sent
      && request->connects < CONNECTS_MAX)
    {
      caller->reconnects++;
      request->address = *addresses_choose_random (
          &caller->addresses, &caller->ad_hoc, request->address.text);
      send_request (caller, request);
      return;
    }
  if (result == CURLE_OPERATION_TIMEDOUT)
    outcome = OUTCOME_TIMEOUT;
  else if (result == CURLE_OK)
    outcome = status == 200 ? check_whole (caller, request)
                            : check_refusal (caller, request, status);
  tally_add (&request->kind->tally, outcome, end_us - request->intended_us);
  log_request (caller, request, end_us, outcome, status, result);
  free_request (request);
}

/* ---- Run ---- */

static kind_t *
choose_kind (caller_t *caller)
{
  double total = 0;
  double at;

  for (size_t i = 0; i < caller->kind_count; i++)
    total += caller->kinds[i].weight;
  at = standin_random_uniform (&caller->random) * total;
  for (size_t i = 0; i < caller->kind_count; i++)
    if ((at -= caller->kinds[i].weight) <= 0 && caller->kinds[i].weight > 0)
      return &caller->kinds[i];
  return &caller->kinds[0];
}

static void
arrive (caller_t *caller, int64_t intended_us)
{
  request_t *request = new_request (caller, choose_kind (caller), intended_us);

  request->address
      = *addresses_choose_random (&caller->addresses, &caller->random, "");
  if (request->kind->post
      && standin_random_uniform (&caller->random) <= caller->repeat_share)
    add_repeat (caller, request);
  push (caller, request);
}

static void
take_finished (caller_t *caller)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (caller->multi, &left)) != NULL)
    {
      CURL *curl = message->easy_handle;
      CURLcode result = message->data.result;
      request_t *request = NULL;

      curl_easy_getinfo (curl, CURLINFO_PRIVATE, (char **)&request);
      if (!addresses_finish_refresh (&caller->addresses, caller->multi, curl,
                                     result))
        finish (caller, request, result);
    }
}

static void
wait_until (const caller_t *caller, int timer, int signals, int64_t until_us)
{
  struct curl_waitfd others[2]
      = { { .fd = timer, .events = CURL_WAIT_POLLIN },
          { .fd = signals, .events = CURL_WAIT_POLLIN } };
  struct itimerspec wake
      = { .it_value = { .tv_sec = until_us / 1000000,
                        .tv_nsec = until_us % 1000000 * 1000 } };

  /* curl_multi_poll() counts in ms, which is too coarse for arrivals.  */
  timerfd_settime (timer, TFD_TIMER_ABSTIME, &wake, NULL);
  curl_multi_poll (caller->multi, others, 2, 1000, NULL);
}

/* Requests arrive as a Poisson process, whatever happens to the earlier
   ones; all are finished before the end.  */
static void
run (caller_t *caller, double rate, int64_t duration_ms, int signals)
{
  int timer = timerfd_create (CLOCK_BOOTTIME, TFD_NONBLOCK);
  int64_t start_us = standin_now_us ();
  int64_t end_us = start_us + duration_ms * 1000;
  double next_us = (double)start_us;
  struct signalfd_siginfo stop;
  int running;

  if (timer < 0)
    err (1, "timer");
  for (;;)
    {
      int64_t now = standin_now_us ();
      int64_t wake_us;

      if (read (signals, &stop, sizeof stop) > 0)
        end_us = 0;
      for (; (int64_t)next_us <= now && (int64_t)next_us < end_us;
           next_us
           -= log (standin_random_uniform (&caller->random)) / rate * 1e6)
        arrive (caller, (int64_t)next_us);
      while (caller->waiting != NULL && caller->waiting->send_us <= now)
        send_request (caller, pop (caller));
      addresses_start_refresh (&caller->addresses, &caller->ad_hoc,
                               caller->multi, now);
      curl_multi_perform (caller->multi, &running);
      take_finished (caller);
      wake_us = (int64_t)next_us;
      if (wake_us >= end_us)
        wake_us = now + 1000000;
      if (caller->waiting != NULL && caller->waiting->send_us < wake_us)
        wake_us = caller->waiting->send_us;
      if ((int64_t)next_us >= end_us && caller->in_flight == 0
          && caller->waiting == NULL)
        break;
      if (wake_us > standin_now_us ())
        wait_until (caller, timer, signals, wake_us);
    }
  close (timer);
}

/* Weights as KIND=WEIGHT,...  */
static void
parse_mix (caller_t *caller, const char *mix)
{
  char *copy = strdup (mix);
  char *rest = copy;

  for (char *next; (next = strsep (&rest, ",")) != NULL;)
    {
      char *weight = strchr (next, '=');
      kind_t *kind = NULL;

      if (weight == NULL)
        errx (2, "--mix: %s: no weight", next);
      *weight++ = '\0';
      for (size_t i = 0; i < caller->kind_count; i++)
        if (strcmp (caller->kinds[i].name, next) == 0)
          kind = &caller->kinds[i];
      if (kind == NULL)
        errx (2, "--mix: %s: no such kind of request", next);
      kind->weight = strtod (weight, NULL);
    }
  free (copy);
}

static void
report (caller_t *caller)
{
  json_object *value = json_object_new_object ();
  json_object *kinds = json_object_new_object ();
  tally_t all = { 0 };

  for (size_t i = 0; i < caller->kind_count; i++)
    {
      kind_t *kind = &caller->kinds[i];
      json_object *part = json_object_new_object ();

      tally_merge (&all, &kind->tally);
      tally_add_to_json (&kind->tally, part);
      if (kind->weight > 0)
        json_object_object_add (kinds, kind->name, part);
      else
        json_object_put (part);
      tally_clear (&kind->tally);
    }
  tally_add_to_json (&all, value);
  tally_clear (&all);
  standin_json_add_int (value, "repeats", caller->repeats);
  standin_json_add_int (value, "reconnects", caller->reconnects);
  standin_json_add_int (value, "resends", caller->resends);
  standin_json_add_int (value, "address_answers",
                        caller->addresses.response_count);
  json_object_object_add (value, "kinds", kinds);
  puts (json_object_to_json_string_ext (value, JSON_C_TO_STRING_PLAIN));
  json_object_put (value);
}

int
main (int argc, const char **argv)
{
  kind_t kinds[] = { { "slot-check", "booking", "/slot-check", false, 0, {} },
                     { "confirm", "booking", "/confirm", true, 0, {} },
                     { "history", "records", "/history", false, 0, {} },
                     { "archive", "records", "/archive", false, 0, {} },
                     { "slip", "slipdesk", "/slip", false, 0, {} },
                     { "filing", "slipdesk", "/filing", true, 0, {} },
                     { "drawer", "drawerstore", "/drawer", false, 0, {} } };
  caller_t caller = { .seed = 1,
                      .timeout_ms = 2000,
                      .grace_ms = 200,
                      .kinds = kinds,
                      .kind_count = sizeof kinds / sizeof *kinds };
  char *direct = NULL;
  char *entry = NULL;
  char *data_centre = NULL;
  char *name = NULL;
  char *mix = NULL;
  char *log_name = NULL;
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
          { "seed", 0, POPT_ARG_INT, &caller.seed, 0, NULL, "N" },
          { "mix", 0, POPT_ARG_STRING, &mix, 0, "kinds of requests",
            "KIND=WEIGHT,..." },
          { "timeout-ms", 0, POPT_ARG_INT, &caller.timeout_ms, 0,
            "deadline of each request", "MS" },
          { "grace-ms", 0, POPT_ARG_INT, &caller.grace_ms, 0,
            "wait for an answer after the deadline", "MS" },
          { "delay-ms", 0, POPT_ARG_INT, &caller.delay_ms, 0,
            "one-way delay of the client", "MS" },
          { "repeat-share", 0, POPT_ARG_DOUBLE, &caller.repeat_share, 0,
            "share of confirmations that are repeated", "X" },
          { "output", 0, POPT_ARG_STRING, &log_name, 0,
            "file for one line per request", "FILE" },
          POPT_AUTOHELP POPT_TABLEEND };
  sigset_t stop;
  int signals;

  standin_parse_options (argc, argv, options);
  caller.addresses.data_centre = data_centre != NULL ? data_centre : "";
  caller.name = name != NULL ? name : "caller";
  parse_mix (&caller, mix != NULL ? mix : "slot-check=1");
  if ((direct == NULL) == (entry == NULL) || rate <= 0)
    errx (2, "--direct or --entry, and a positive --rate are needed");
  sigemptyset (&stop);
  sigaddset (&stop, SIGTERM);
  sigaddset (&stop, SIGINT);
  standin_block_signals ();
  signals = signalfd (-1, &stop, SFD_NONBLOCK);
  if (log_name != NULL && (caller.log = fopen (log_name, "w")) == NULL)
    err (1, "%s", log_name);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  caller.random.state = XXH64 (&caller.seed, sizeof caller.seed, 0);
  caller.ad_hoc.state = XXH64 (&caller.seed, sizeof caller.seed, 1);
  caller.multi = curl_multi_init ();
  if (signals < 0 || caller.multi == NULL)
    errx (1, "can't start");
  curl_multi_setopt (caller.multi, CURLMOPT_MAXCONNECTS, 1024L);
  caller.direct = direct != NULL;
  if (direct != NULL)
    addresses_set_fixed (&caller.addresses, direct);
  else
    addresses_discover (&caller.addresses, &caller.ad_hoc, entry);
  run (&caller, rate, duration_ms, signals);
  addresses_cancel_refresh (&caller.addresses, caller.multi);
  report (&caller);

  if (caller.log != NULL && fclose (caller.log) != 0)
    err (1, "%s", log_name);
  curl_multi_cleanup (caller.multi);
  curl_global_cleanup ();
  close (signals);
  free (direct);
  free (entry);
  free (data_centre);
  free (name);
  free (mix);
  free (log_name);
  free (caller.expected);
  return 0;
}
