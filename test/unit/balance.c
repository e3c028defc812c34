/* Unit tests of lib/balance: routes, weighted distribution, retry budget,
   shared rate limit of cold endpoints, probing, admission control and
   estimates.  balance_load.c tests them together, under simulated load.  */

#include <string.h>

#include "assign.h"
#include "caller_age.h"
#include "probing.h"
#include "choose.h"
#include "repeats.h"
#include "routes.h"

static route_t *
new_route (const char *name, const char *prefix)
{
  route_t *route = g_new0 (route_t, 1);

  route->name = g_strdup (name);
  route->host = g_strdup ("here.example");
  route->prefix = g_strdup (prefix);
  route_add_part (route, "slots", 1);
  return route;
}

/* Guards against a request being routed by a shorter matching prefix.  */
static void
longest_prefix_wins (void)
{
  routes_t *routes = routes_new (1);

  routes_add (routes, new_route ("short", "/a/"));
  routes_add (routes, new_route ("long", "/a/b/"));
  routes_index (routes);
  g_assert_cmpstr (routes_find (routes, "here.example", "/a/b/c")->name, ==,
                   "long");
  g_assert_cmpstr (routes_find (routes, "HERE.example", "/a/c")->name, ==,
                   "short");
  g_assert_null (routes_find (routes, "here.example", "/a"));
  g_assert_null (routes_find (routes, "other.example", "/a/b/c"));
  /* The query is ignored.  */
  g_assert_null (routes_find (routes, "here.example", "/x?/a/b/"));
  routes_free (routes);
}

/* Returns a route with these weights, to be freed with route_free().  */
static route_t *
new_split_route (const uint32_t *weights, int count)
{
  route_t *route = new_route ("split", "/");

  g_free (route->parts[0].service);
  route->n_parts = 0;
  for (int i = 0; i < count; i++)
    {
      g_autofree char *service = g_strdup_printf ("s%d", i);

      route_add_part (route, service, weights[i]);
    }
  return route;
}

/* Guards against a service that, for a long time, gets less than its share of
   a route's requests.  */
static void
split_keeps_weights (void)
{
  const uint32_t weights[3] = { 70, 25, 5 };
  route_t *route = new_split_route (weights, 3);
  route_split_t split = { 0 };
  int counts[3] = { 0 };
  decide_rng_t rng;

  decide_rng_seed (&rng, 1);
  do
    (void)route_split_next (&split, route, &rng);
  while (split.parts[0].current_weight != 0
         || split.parts[1].current_weight != 0
         || split.parts[2].current_weight != 0);
  for (int n = 1; n <= 1000; n++)
    {
      counts[route_split_next (&split, route, &rng)]++;
      for (int i = 0; i < 3; i++)
        g_assert_cmpint (ABS (counts[i] * 100 - n * (int)weights[i]), <=, 100);
    }
  route_split_clear (&split);
  route_free (route);
}

/* Guards against a split with many parts that is cut short, or whose parts get
   other shares than their weights say.  */
static void
split_has_any_number_of_parts (void)
{
  enum
  {
    PARTS = 300,
    REQUESTS = 300000
  };
  static uint32_t weights[PARTS];
  static int counts[PARTS];
  route_split_t split = { 0 };
  route_t *route;
  decide_rng_t rng;
  double total = 0;

  for (int i = 0; i < PARTS; i++)
    {
      weights[i] = (uint32_t)(i % 3);
      total += weights[i];
    }
  decide_rng_seed (&rng, 4);
  route = new_split_route (weights, PARTS);
  for (int n = 0; n < REQUESTS; n++)
    counts[route_split_next (&split, route, &rng)]++;
  for (int i = 0; i < PARTS; i++)
    g_assert_cmpfloat_with_epsilon (counts[i], REQUESTS * weights[i] / total,
                                    200);
  route_split_clear (&split);
  route_free (route);
}

/* Guards against shares that are off the weights although each instance keeps
   them in the long run, because every instance sends its first requests to the
   heavier service: after a start, and after a change of the weights.  */
static void
split_keeps_weights_from_first_request (void)
{
  enum
  {
    INSTANCES = 4000,
    REQUESTS = 5
  };
  static const uint32_t cases[][3] = {
    { 90, 10, 0 }, { 75, 25, 0 }, { 60, 40, 0 },    { 70, 25, 5 },
    { 1, 1, 1 },   { 1, 0, 0 },   { 997, 1999, 0 }, { 2147483647, 3, 7 }
  };
  decide_rng_t rng;

  decide_rng_seed (&rng, 2);
  for (gsize c = 0; c < G_N_ELEMENTS (cases); c++)
    {
      const uint32_t reversed[3] = { cases[c][2], cases[c][1], cases[c][0] };
      route_t *before = new_split_route (reversed, 3);
      route_t *route = new_split_route (cases[c], 3);
      double total = (double)cases[c][0] + cases[c][1] + cases[c][2];
      int counts[2][REQUESTS][3] = { 0 };

      for (int i = 0; i < INSTANCES; i++)
        {
          route_split_t split = { 0 };
          bool had_other_weights = i % 2 == 1;

          for (int n = 0; had_other_weights && n < 3; n++)
            (void)route_split_next (&split, before, &rng);
          for (int n = 0; n < REQUESTS; n++)
            counts[had_other_weights][n]
                  [route_split_next (&split, route, &rng)]++;
          route_split_clear (&split);
        }
      for (int k = 0; k < 2; k++)
        for (int n = 0; n < REQUESTS; n++)
          for (int i = 0; i < 3; i++)
            /* Four standard deviations of the share among 2,000 draws with
               the probability 0.5 are 0.045.  */
            g_assert_cmpfloat_with_epsilon (counts[k][n][i] * 2.0 / INSTANCES,
                                            cases[c][i] / total, 0.045);
      route_free (before);
      route_free (route);
    }
}

/* Guards against a version that leaves the weights of a route as they are and
   starts the division of its requests anew.  */
static void
split_continues_across_versions (void)
{
  const uint32_t weights[2] = { 75, 25 };
  route_split_t split = { 0 };
  int counts[2] = { 0 };
  decide_rng_t rng;

  decide_rng_seed (&rng, 3);
  for (int version = 1; version <= 400; version++)
    {
      route_t *route = new_split_route (weights, 2);

      route->timeout = version;
      counts[route_split_next (&split, route, &rng)]++;
      for (int i = 0; i < 2; i++)
        g_assert_cmpint (ABS (counts[i] * 100 - version * (int)weights[i]), <,
                         200);
      route_free (route);
    }
  g_assert_cmpuint (split.starts, ==, 1);
  g_assert_cmpuint (split.parts[0].requests, ==, (guint64)counts[0]);
  route_split_clear (&split);
}

/* Guards against a retry storm: in any window, the retries of all instances
   together stay within the site's limit, in whatever order they come.  */
static void
retries_stay_within_budget (void)
{
  enum
  {
    INSTANCES = 13,
    DURATION_MS = 60000
  };
  const retry_budget_rules_t rules
      = { .ratio = 0.2, .slack = 56, .window = 10000 };
  retry_budget_t budgets[INSTANCES] = { 0 };
  GArray *first_attempts = g_array_new (FALSE, TRUE, sizeof (int));
  GArray *retries = g_array_new (FALSE, TRUE, sizeof (int));
  decide_rng_t rng;

  decide_rng_seed (&rng, 7);
  g_array_set_size (first_attempts, DURATION_MS);
  g_array_set_size (retries, DURATION_MS);
  for (int now = 0; now < DURATION_MS; now++)
    for (int i = 0; i < INSTANCES; i++)
      {
        /* Low and high load alternate every 5 s; retries are requested all the
           time.  */
        if (decide_rng_below (&rng, (now / 5000) % 2 ? 400 : 60) == 0)
          {
            retry_budget_add_first (&budgets[i], &rules, now);
            g_array_index (first_attempts, int, now)++;
          }
        if (decide_rng_below (&rng, 20) == 0
            && retry_budget_take (&budgets[i], &rules, INSTANCES, now))
          g_array_index (retries, int, now)++;
      }
  for (int from = 0; from + 10000 <= DURATION_MS; from += 50)
    {
      int window_first_attempts = 0;
      int previous_first_attempts = 0;
      int window_retries = 0;

      for (int at = from; at < from + 10000; at++)
        {
          window_first_attempts += g_array_index (first_attempts, int, at);
          window_retries += g_array_index (retries, int, at);
          if (at >= 10000)
            previous_first_attempts
                += g_array_index (first_attempts, int, at - 10000);
        }
      g_assert_cmpfloat (
          window_retries, <=,
          0.2 * MAX (window_first_attempts, previous_first_attempts) + 56);
    }
  g_array_free (first_attempts, TRUE);
  g_array_free (retries, TRUE);
}

static char service_name[] = "slots";
static char first_id[] = "i-1";
static char data_centre_a[] = "a";
static char data_centre_b[] = "b";

/* Adds an endpoint at the time 1000 ms.  @warmup_ms: its remaining warm-up
   time; 0: it is not cold.  */
static void
put_backend (backends_t *backends, char *id, char *data_centre,
             uint64_t revision, clock_ms_t warmup_ms)
{
  backend_entry_t entry = { .id = id,
                            .service = service_name,
                            .data_centre = data_centre,
                            .slots = 3,
                            .cold = warmup_ms,
                            .born = 1,
                            .revision = { .number = revision } };

  backends_put (backends, &entry, 1000);
}

/* Guards against overload of a cold endpoint.  However many instances there
   are, the requests of all of them together in any second stay within 1.5
   times the endpoint's limit plus 5.  The instances exchange no messages about
   this limit, so that it also holds while some of them are cut off from the
   others.  */
static void
cold_endpoint_is_not_overloaded (gconstpointer data)
{
  int count = GPOINTER_TO_INT (data);
  const double requests_per_s = 5.2;
  char **names = g_new0 (char *, (gsize)count + 1);
  backends_t **backends = g_new0 (backends_t *, count);
  GArray *sent = g_array_new (FALSE, TRUE, sizeof (int));
  int max_per_second = 0;
  int sent_total = 0;

  g_array_set_size (sent, 3000);
  for (int i = 0; i < count; i++)
    names[i] = g_strdup_printf ("front-%d", i);
  for (int i = 0; i < count; i++)
    {
      backends[i] = backends_new (names[i], "a");
      backends_set_instances (backends[i], (const char *const *)names, count);
      put_backend (backends[i], first_id, data_centre_a, 1, 60000);
      backends_service_get (backends[i], 0)->cold_per_s = requests_per_s;
    }
  for (int now = 2000; now < 5000; now++)
    for (int i = 0; i < count; i++)
      {
        backend_t *backend = backends_find (backends[i], "i-1");

        if (!choose_is_eligible (backends[i], backend, now))
          continue;
        backend->cold_sent_at = now;
        g_array_index (sent, int, now - 2000)++;
        sent_total++;
      }
  for (int from = 0; from + 1000 <= 3000; from++)
    {
      int window_requests = 0;

      for (int at = from; at < from + 1000; at++)
        window_requests += g_array_index (sent, int, at);
      max_per_second = MAX (max_per_second, window_requests);
    }
  g_assert_cmpfloat (max_per_second, <=, requests_per_s * 1.5 + 5);
  g_assert_cmpint (sent_total, >, 0);
  for (int i = 0; i < count; i++)
    backends_free (backends[i]);
  g_free (backends);
  g_strfreev (names);
  g_array_free (sent, TRUE);
}

/* Guards against requests to endpoints that are draining or whose data centre
   is out of service, and against a handle that still resolves after its
   endpoint was replaced.  */
static void
draining_endpoints_get_no_requests (void)
{
  backends_t *backends = backends_new ("front-1", "a");
  backend_entry_t entry = { .id = first_id,
                            .service = service_name,
                            .data_centre = data_centre_a,
                            .slots = 3,
                            .born = 1,
                            .revision = { .number = 5 } };
  backend_handle_t handle;

  backends_put (backends, &entry, 0);
  handle = backends_get_handle (backends, backends_find (backends, "i-1"));
  g_assert_true (
      choose_is_eligible (backends, backends_get (backends, handle), 0));
  backends_set_data_centre_out (backends, "a", true);
  g_assert_false (
      choose_is_eligible (backends, backends_get (backends, handle), 0));
  backends_set_data_centre_out (backends, "a", false);
  entry.draining = true;
  entry.revision.number = 6;
  backends_put (backends, &entry, 0);
  g_assert_false (
      choose_is_eligible (backends, backends_get (backends, handle), 0));
  /* An entry with an older revision is ignored.  */
  entry.draining = false;
  entry.revision.number = 5;
  backends_put (backends, &entry, 0);
  g_assert_false (
      choose_is_eligible (backends, backends_get (backends, handle), 0));
  /* An endpoint that was restarted under the same id is a new one.  */
  entry.born = 2;
  entry.revision.number = 9;
  backends_put (backends, &entry, 0);
  g_assert_null (backends_get (backends, handle));
  g_assert_nonnull (backends_find (backends, "i-1"));
  backends_free (backends);
}

/* Guards against probes beyond the allowed rate: when no probe is allowed, no
   endpoint is chosen in any data centre.  Because of a fault, three endpoints
   in other data centres were once chosen even then.  */
static void
zero_count_gives_no_candidates (void)
{
  backends_t *backends = backends_new ("front-1", "a");
  backend_handle_t chosen[CHOOSE_ENDPOINTS_MAX];
  decide_rng_t rng;
  choose_criteria_t criteria = { .remote = 3 };

  decide_rng_seed (&rng, 1);
  for (int i = 0; i < 8; i++)
    {
      g_autofree char *id = g_strdup_printf ("i-%d", i);

      put_backend (backends, id, i % 2 ? data_centre_a : data_centre_b, 1, 0);
    }
  g_assert_cmpint (choose_candidates (backends, &criteria, &rng, 2000, chosen),
                   ==, 0);
  criteria.count = 2;
  g_assert_cmpint (choose_candidates (backends, &criteria, &rng, 2000, chosen),
                   ==, 2);
  criteria.count = 5;
  g_assert_cmpint (choose_candidates (backends, &criteria, &rng, 2000, chosen),
                   ==, 5);
  backends_free (backends);
}

/* Guards against requests that wait although their deadline cannot be met, and
   against requests that can no longer meet their target but take the slot of
   one that can.  */
static void
admission_rules (void)
{
  admission_request_t request = { .first_requested_at = 1000,
                                  .waiting_since = 1000,
                                  .target = 300,
                                  .response_deadline = 2500,
                                  .service_time_ms = 120 };
  backend_load_t idle = { .slots = 3, .slowdown_percent = 100 };
  backend_load_t busy = { .running = 2, .slots = 3, .slowdown_percent = 100 };
  backend_load_t full = { .running = 3, .slots = 3, .slowdown_percent = 100 };
  backend_load_t slow = { .slots = 3, .slowdown_percent = 400 };

  g_assert_cmpint (admission_decide (&request, &idle, 120, 1005), ==,
                   ADMISSION_SEND);
  g_assert_cmpint (admission_decide (&request, &full, 300, 1005), ==,
                   ADMISSION_WAIT);
  g_assert_cmpint (admission_decide (&request, &slow, 480, 1005), ==,
                   ADMISSION_WAIT);
  g_assert_cmpint (admission_decide (&request, NULL, 0, 1005), ==,
                   ADMISSION_WAIT);
  /* The target can no longer be met, so the request waits for an endpoint
     without running requests.  */
  g_assert_cmpint (admission_decide (&request, &busy, 190, 1200), ==,
                   ADMISSION_WAIT);
  /* A request sent to a slow endpoint would still hold its slot when the
     endpoint is fast again.  */
  g_assert_cmpint (admission_decide (&request, &slow, 480, 1200), ==,
                   ADMISSION_WAIT);
  g_assert_cmpint (admission_decide (&request, &idle, 120, 1200), ==,
                   ADMISSION_SEND);
  g_assert_cmpint (admission_decide (&request, &full, 300, 1310), ==,
                   ADMISSION_REFUSE);
  /* The longest allowed wait is the same if no endpoint responds to a
     probe.  */
  g_assert_cmpint (admission_decide (&request, NULL, 0, 1310), ==,
                   ADMISSION_REFUSE);
  /* The wait of a retry counts from the end of the previous attempt.  */
  request.waiting_since = 1250;
  g_assert_cmpint (admission_decide (&request, &full, 300, 1310), ==,
                   ADMISSION_WAIT);
  /* Shortly before the deadline, the time left is too short for any
     endpoint.  */
  g_assert_false (admission_is_infeasible (&request, 1310));
  g_assert_true (admission_is_infeasible (&request, 2400));
  g_assert_cmpint (admission_decide (&request, &idle, 120, 2400), ==,
                   ADMISSION_REFUSE);
}

/* Guards against an instance that cannot probe any endpoint during a burst.
   In scenario scale-2 of the site sedel-gw, waiting requests had used up the
   tokens for probes, and new requests were refused after a second without a
   probe.  */
static void
waiting_requests_leave_tokens (void)
{
  probing_t probing = { 0 };
  clock_ms_t next_round = 0;
  uint32_t probes = 0;

  for (clock_ms_t now = 0; now < 60000; now++)
    {
      if (now >= next_round)
        {
          probes += probing_take_tokens (&probing, 87, 5, now);
          next_round = now + probing_round_pause_ms (&probing, 87, 5);
        }
      if (now % 125 == 0)
        {
          int granted = probing_take_tokens (&probing, 87, 5, now);

          probes += granted;
          g_assert_cmpint (granted, ==, 5);
        }
    }
  /* The limit is 87 probes per second for 60 seconds, plus the initial tokens,
     which allow the probes of one more second.  */
  g_assert_cmpint (probes, <=, 87 * 61);
}

/* Guards against retries of refused clients that delay requests which can
   still meet their target, and against first requests that are mistaken for
   retries.  */
static void
retries_are_recognised (void)
{
  caller_age_t age = { 0 };
  decide_rng_t rng;

  decide_rng_seed (&rng, 5);
  (void)caller_age_update (&age, 2500, 0);
  for (clock_ms_t now = 0; now < 60000; now += 20)
    {
      /* The timeouts of clients differ by up to a sixth.  */
      clock_ms_t stated_timeout = 2084 + decide_rng_below (&rng, 417);
      clock_ms_t waited_ms = 600 + decide_rng_below (&rng, 1000);
      clock_ms_t estimated_wait_ms;

      g_assert_cmpint (caller_age_update (&age, stated_timeout, now), ==, 0);
      estimated_wait_ms
          = caller_age_update (&age, stated_timeout - waited_ms, now);
      /* The estimate never exceeds the actual wait.  It falls short of it by
         less than 600 ms, because the timeouts of clients may differ.  */
      g_assert_cmpint (estimated_wait_ms, <=, waited_ms);
      g_assert_cmpint (estimated_wait_ms, >, waited_ms - 600);
    }
  /* 0 stands for a timeout that is missing or cannot be parsed.  */
  g_assert_cmpint (caller_age_update (&age, 0, 60000), ==, 0);
  /* Once all clients state shorter timeouts, their requests are taken for
     first requests.  */
  g_assert_cmpint (caller_age_update (&age, 1000, 85000), ==, 0);
}

/* Guards against a request that is refused or waits because the fastest
   endpoint is full, although another endpoint has a free slot.  */
static void
endpoint_with_free_slot_is_preferred (void)
{
  backends_t *backends = backends_new ("front-1", "a");
  backend_t *endpoints[2];
  admission_request_t urgent = { .urgent = true,
                                 .waiting_since = 100,
                                 .first_requested_at = 100,
                                 .target = 300,
                                 .response_deadline = 2500,
                                 .service_time_ms = 120 };
  admission_request_t late = { .target = 300,
                               .waiting_since = 100,
                               .response_deadline = 2500,
                               .service_time_ms = 120 };
  assign_request_t requests[]
      = { { .request = &late }, { .request = &urgent } };
  backend_load_t loads[]
      = { { .running = 2, .slots = 2, .slowdown_percent = 100 },
          { .slots = 2, .slowdown_percent = 150 } };

  for (int i = 0; i < 2; i++)
    {
      char id[] = { (char)('x' + i), '\0' };
      char service[] = "s";
      char data_centre[] = "a";
      backend_entry_t entry = { .id = id,
                                .service = service,
                                .data_centre = data_centre,
                                .slots = 2,
                                .revision = { .number = 1 } };

      backends_put (backends, &entry, 0);
      endpoints[i] = backends_find (backends, id);
      backend_record_probe (endpoints[i], BACKEND_HEALTHY, &loads[i], 0, 390);
      backends_service_get (backends, 0)->full_load_slowdown = 1.7;
    }
  assign_decide (backends, requests, 2, endpoints, 2, 400);
  /* Neither request can meet its target any more; the urgent one takes
     precedence.  */
  g_assert_true (requests[0].request == &urgent);
  g_assert_cmpint (requests[0].result, ==, ADMISSION_SEND);
  g_assert_cmpint (requests[0].endpoint_index, ==, 1);
  g_assert_cmpint (requests[1].result, ==, ADMISSION_REFUSE);
  backends_free (backends);
}

/* Guards against a request or probe for an endpoint that has said that it
   leaves, and against the statement of a former endpoint that holds for the
   next one under the same id.  */
static void
leaving_endpoint_gets_nothing_until_it_is_replaced (void)
{
  backends_t *backends = backends_new ("front-0", data_centre_a);
  uint32_t withheld[CHOOSE_OBSTACLE_COUNT] = { 0 };
  choose_criteria_t criteria = { .count = 5, .withheld = withheld };
  backend_handle_t chosen[CHOOSE_ENDPOINTS_MAX];
  char id[] = "x";
  backend_entry_t entry = { .id = id,
                            .service = service_name,
                            .data_centre = data_centre_a,
                            .slots = 3,
                            .born = 2,
                            .revision = { .number = 9 } };
  decide_rng_t rng;

  decide_rng_seed (&rng, 1);
  put_backend (backends, id, data_centre_a, 5, 0);
  g_assert_cmpint (choose_candidates (backends, &criteria, &rng, 2000, chosen),
                   ==, 1);
  backends_find (backends, id)->says_leaving = true;
  g_assert_false (
      choose_is_eligible (backends, backends_find (backends, id), 2000));
  g_assert_cmpint (choose_candidates (backends, &criteria, &rng, 2000, chosen),
                   ==, 0);
  g_assert_cmpuint (withheld[CHOOSE_LEAVING], ==, 1);
  /* An update of its entry changes nothing; a new start does.  */
  put_backend (backends, id, data_centre_a, 6, 0);
  g_assert_cmpint (choose_candidates (backends, &criteria, &rng, 2000, chosen),
                   ==, 0);
  backends_put (backends, &entry, 2000);
  g_assert_cmpint (choose_candidates (backends, &criteria, &rng, 2000, chosen),
                   ==, 1);
  backends_free (backends);
}

/* Guards against requests that wait for probes of slow or unreachable
   endpoints although an idle endpoint has responded, and against the choice of
   the first endpoint that responds, whatever its load.  In scenario scale-2 of
   the site sedel-gw, requests were sent 40 ms after their arrival, to
   endpoints chosen by loads that were 40 ms old.  */
static void
idle_endpoint_is_good_enough (void)
{
  char id[] = "x";
  char service[] = "s";
  char own_data_centre[] = "a";
  char other_data_centre[] = "b";
  backend_entry_t entry = { .id = id,
                            .service = service,
                            .data_centre = own_data_centre,
                            .slots = 3,
                            .revision = { .number = 1 } };
  static const struct
  {
    backend_load_t load;
    bool is_remote;
    bool is_good_enough;
  } cases[] = {
    { { .slots = 3, .slowdown_percent = 100 }, false, true },
    { { .running = 1, .slots = 3, .slowdown_percent = 100 }, false, true },
    { { .running = 2, .slots = 3, .slowdown_percent = 100 }, false, false },
    { { .running = 3, .slots = 3, .slowdown_percent = 100 }, false, false },
    { { .slots = 3, .slowdown_percent = 400 }, false, false },
    { { .slots = 3, .slowdown_percent = 100 }, true, false }
  };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      backends_t *backends = backends_new ("front-1", "a");
      backend_t *backend;

      entry.data_centre
          = cases[i].is_remote ? other_data_centre : own_data_centre;
      backends_put (backends, &entry, 0);
      backends_service_get (backends, 0)->full_load_slowdown = 1.7;
      backend = backends_find (backends, "x");
      backend_record_probe (backend, BACKEND_HEALTHY, &cases[i].load, 0, 10);
      g_assert_cmpint (
          choose_is_good_enough (backends, backend, 120, false, 10), ==,
          cases[i].is_good_enough);
      backends_free (backends);
    }
}

/* Guards against a long retry delay after endpoints with free slots have shed
   a request, since such endpoints may accept it at once.  Guards also against
   clients that are refused at the same time and then retry at the same time.
   In scenario scale-1 of both small sites, the endpoints of one service shed
   55 of 100 requests.  */
static void
shed_clients_retry_soon (void)
{
  clock_ms_t shortest_delay = 1000;
  clock_ms_t longest_delay = 0;
  decide_rng_t rng;

  decide_rng_seed (&rng, 9);
  for (int i = 0; i < 1000; i++)
    {
      clock_ms_t busy_delay = admission_retry_after_ms (false, 120, &rng);

      /* 37 ms is an eighth of a target of 300 ms.  */
      g_assert_cmpint (admission_retry_after_ms (true, 120, &rng), <=, 37);
      g_assert_cmpint (busy_delay, >=, 60);
      g_assert_cmpint (busy_delay, <=, 180);
      shortest_delay = MIN (shortest_delay, busy_delay);
      longest_delay = MAX (longest_delay, busy_delay);
    }
  g_assert_cmpint (longest_delay - shortest_delay, >, 100);
  g_assert_cmpint (admission_retry_after_ms (false, 60000, &rng), <=, 1000);
}

/* Guards against requests that are refused as infeasible because slow
   endpoints distort the estimated service time.  This happened in scenario
   trouble-2 of the site kbl-gateway, where four tenths of the endpoints were
   twelve times slower.  */
static void
slow_endpoints_do_not_distort_estimates (void)
{
  service_t service = { .full_load_slowdown = 1.0 };
  backend_load_t idle = { .slots = 3, .slowdown_percent = 100 };
  service_time_t service_time = { 0 };
  decide_rng_t rng;

  decide_rng_seed (&rng, 3);
  for (int i = 0; i < 1000; i++)
    {
      clock_ms_t took = 80 + decide_rng_below (&rng, 80);

      if (i > 100 && decide_rng_below (&rng, 10) < 4)
        took *= 12;
      estimate_update (&service, &service_time, &idle, took);
      if (i >= 100)
        /* With a higher estimate no request could meet a target of 300 ms.  */
        g_assert_cmpfloat (estimate_service_time (&service_time, 300), <, 290);
    }
  g_assert_cmpfloat (estimate_service_time (&service_time, 300), >, 100);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/balance/longest_prefix_wins", longest_prefix_wins);
  g_test_add_func ("/balance/split_keeps_weights", split_keeps_weights);
  g_test_add_func ("/routes/split_has_any_number_of_parts",
                   split_has_any_number_of_parts);
  g_test_add_func ("/balance/split_keeps_weights_from_first_request",
                   split_keeps_weights_from_first_request);
  g_test_add_func ("/balance/split_continues_across_versions",
                   split_continues_across_versions);
  g_test_add_func ("/balance/repeats_stay_within_budget",
                   retries_stay_within_budget);
  g_test_add_data_func ("/balance/cold_endpoint_is_spared/1",
                        GINT_TO_POINTER (1), cold_endpoint_is_not_overloaded);
  g_test_add_data_func ("/balance/cold_endpoint_is_spared/13",
                        GINT_TO_POINTER (13), cold_endpoint_is_not_overloaded);
  g_test_add_data_func ("/balance/cold_endpoint_is_spared/104",
                        GINT_TO_POINTER (104),
                        cold_endpoint_is_not_overloaded);
  g_test_add_func ("/balance/leaving_endpoints_get_nothing",
                   draining_endpoints_get_no_requests);
  g_test_add_func ("/balance/no_allowance_no_candidates",
                   zero_count_gives_no_candidates);
  g_test_add_func ("/balance/admission_rules", admission_rules);
  g_test_add_func ("/balance/waiting_requests_leave_probes",
                   waiting_requests_leave_tokens);
  g_test_add_func ("/balance/returning_callers_are_known",
                   retries_are_recognised);
  g_test_add_func ("/balance/endpoint_with_room_is_better",
                   endpoint_with_free_slot_is_preferred);
  g_test_add_func (
      "/balance/leaving_endpoint_gets_nothing_until_it_is_replaced",
      leaving_endpoint_gets_nothing_until_it_is_replaced);
  g_test_add_func ("/balance/idle_endpoint_is_good_enough",
                   idle_endpoint_is_good_enough);
  g_test_add_func ("/balance/shed_callers_return_at_once",
                   shed_clients_retry_soon);
  g_test_add_func ("/balance/slow_endpoints_do_not_spoil_estimates",
                   slow_endpoints_do_not_distort_estimates);
  return g_test_run ();
}
