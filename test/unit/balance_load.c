/* Simulations of load in virtual time, without network.  As in the site files,
   endpoints have slots and a queue.  They are slower while they have a noisy
   neighbour (other load on the same machine) and when nearly all their slots
   are in use.  Instances decide with lib/balance and probe at most at their
   share of the allowed rate; clients that they refuse retry once.  Each test
   simulates one pattern of load and compares lib/balance with a baseline
   without probes and retries.  The tests require a minimum share of clients
   that are answered in time.  The minima are from the site files: 0.905, which
   they set for a day of low load, and 0.387, which they set for the benefit on
   the heaviest day.  */

#include <stdlib.h>
#include <string.h>

#include "assign.h"
#include "caller_age.h"
#include "probing.h"

#define ENDPOINTS 21
#define INSTANCES 13
/* Slots of each endpoint.  */
#define SLOTS 3
/* Longest queue of each endpoint, in requests.  */
#define QUEUE_MAX 6
/* Share of the slots above which an endpoint is slower.  */
#define KNEE_UTILIZATION 0.8
/* Factor by which requests take longer while more than KNEE_UTILIZATION of the
   slots are in use.  */
#define KNEE_SLOWDOWN 1.7
/* Factor by which requests take longer at an endpoint with a noisy
   neighbour.  */
#define NOISE_SLOWDOWN 4
/* Interval after which it is decided again, at random, whether an endpoint has
   a noisy neighbour.  */
#define NOISE_PERIOD_MS 300
/* Number of endpoints that an instance probes in a round.  The baseline
   compares as many.  */
#define PROBES_PER_ROUND 5
/* Probes per second that one instance may send: of the 60 allowed for each
   endpoint, a share of 0.7 is divided among the 13 instances.  */
#define PROBES_PER_S (60.0 * 0.7 * ENDPOINTS / INSTANCES)
/* Largest number of waiting requests that an instance decides on in a
   round.  */
#define WAITING_MAX 400
/* Mean service time at an endpoint without any slowdown.  */
#define SERVICE_TIME_MS 120
#define TARGET_MS 300
#define CALLER_TIMEOUT_MS 1500
/* Delay after which a refused client retries.  */
#define RETRY_DELAY_MS 120
/* Time for which new clients arrive.  */
#define ARRIVALS_MS 12000
#define JOBS_MAX 40000

static char service_name[] = "booking";

typedef enum policy
{
  POLICY_BASELINE, /* no probes; of a few random endpoints, the instance
                      chooses the one to which it has the fewest outstanding
                      requests */
  POLICY_PROBED    /* an instance probes, and decides with lib/balance */
} policy_t;

/* A request in the simulation; all times are in ms of virtual time.  */
typedef struct job
{
  clock_ms_t arrived_at;
  clock_ms_t first_requested_at; /* time of the client's first request */
  clock_ms_t estimated_first_requested_at; /* @first_requested_at as the
                                              instance estimates it */
  clock_ms_t timeout; /* time for which the client waits, from @arrived_at */
  int instance;       /* index of the instance that the client chose */
  int endpoint;       /* index of the endpoint; -1: none, the request waits */
  clock_ms_t sent_at;
  clock_ms_t started_at;
  clock_ms_t ends_at; /* end of its service; 0: not started */
  bool done;          /* the request was answered, refused or lost */
  bool refused;
  bool is_retry; /* the client's second request, after a refusal */
  bool urgent;
  double expected_duration_ms; /* estimate made when the request was sent */
} job_t;

typedef struct endpoint
{
  char id[16];
  char centre_name[4];
  int running;
  int queue[QUEUE_MAX]; /* indexes of jobs */
  int queued;           /* number of jobs in @queue */
  bool has_noisy_neighbour;
  double slowdown; /* factor by which all its requests take longer, and which
                      it does not report */
  bool is_down;
  clock_ms_t cold_until;
} endpoint_t;

typedef struct scenario
{
  double arrivals_per_s;
  double noise_share; /* share of the endpoints that have a noisy neighbour at
                         any time */
  double burst;       /* factor by which more clients arrive from 4 s to 8 s;
                         0: no burst */
  double slow_share;  /* share of the endpoints that are always slow */
  bool has_outage;    /* data centre "a" is down from 4 s to 8 s */
  bool is_cold_after_outage; /* endpoints of data centre "a" are cold from 8 s
                                to 11 s */
  double urgent_share;       /* share of the requests that are urgent */
  bool ignores_caller_age;   /* retries are treated like first requests */
} scenario_t;

/* Results of a simulation; all but @probes are shares of the clients.  A
   client counts once, together with its retry.  */
typedef struct result
{
  double in_time; /* answered within the target */
  double in_time_urgent;
  double in_time_other;
  double served;               /* answered before the client's timeout */
  double worst_second_in_time; /* lowest @in_time among the clients whose first
                                  request is in the same second */
  double probes;               /* probes per second that an endpoint gets, on
                                  average */
} result_t;

typedef struct simulation
{
  const scenario_t *scenario;
  policy_t policy;
  endpoint_t endpoints[ENDPOINTS];
  backends_t *tables[INSTANCES]; /* each instance's table of endpoints */
  decide_rng_t rng;
  job_t *jobs;
  int count;      /* number of @jobs */
  clock_ms_t now; /* virtual time */
  service_time_t service_time;
  probing_t probing[INSTANCES];
  caller_age_t caller_ages[INSTANCES];
  clock_ms_t next_round[INSTANCES]; /* earliest time of the next round */
  uint64_t probes;                  /* number of probes sent so far */
} simulation_t;

static void schedule_retry (simulation_t *simulation, const job_t *refused);

/* Returns a random number between 0 and 1.  */
static double
random_uniform (simulation_t *simulation)
{
  return (decide_rng_below (&simulation->rng, 1000000) + 1) / 1000001.0;
}

static void
start_job (simulation_t *simulation, endpoint_t *endpoint, int index)
{
  job_t *job = &simulation->jobs[index];
  double ms = SERVICE_TIME_MS * (0.7 + 0.6 * random_uniform (simulation))
              * endpoint->slowdown;

  if (endpoint->has_noisy_neighbour)
    ms *= NOISE_SLOWDOWN;
  if (endpoint->running + 1 > KNEE_UTILIZATION * SLOTS)
    ms *= KNEE_SLOWDOWN;
  if (simulation->now < endpoint->cold_until)
    ms *= 2;
  endpoint->running++;
  job->started_at = simulation->now;
  job->ends_at = simulation->now + (clock_ms_t)ms;
}

/* Sends a job to the endpoint with the index @to, which starts or queues it.
   Return: false if the endpoint is down or sheds the job.  */
static bool
send_job (simulation_t *simulation, int index, int to)
{
  endpoint_t *endpoint = &simulation->endpoints[to];
  job_t *job = &simulation->jobs[index];

  if (endpoint->is_down)
    return false;
  if (endpoint->running < SLOTS)
    start_job (simulation, endpoint, index);
  else if (endpoint->queued < QUEUE_MAX)
    endpoint->queue[endpoint->queued++] = index;
  else
    return false;
  job->endpoint = to;
  return true;
}

static void
finish_jobs (simulation_t *simulation)
{
  for (int i = 0; i < simulation->count; i++)
    {
      job_t *job = &simulation->jobs[i];
      endpoint_t *endpoint;

      if (job->done || job->endpoint < 0 || job->ends_at == 0
          || simulation->now < job->ends_at)
        continue;
      job->done = true;
      endpoint = &simulation->endpoints[job->endpoint];
      if (simulation->policy == POLICY_PROBED)
        backend_record_duration (
            backends_find (simulation->tables[job->instance], endpoint->id),
            job->expected_duration_ms, job->ends_at - job->sent_at, true,
            simulation->now);
      endpoint->running--;
      if (endpoint->queued > 0)
        {
          int next = endpoint->queue[0];

          memmove (endpoint->queue, endpoint->queue + 1,
                   sizeof (int) * (size_t)--endpoint->queued);
          start_job (simulation, endpoint, next);
        }
    }
}

/* Sends a new request as POLICY_BASELINE does.  A request that the endpoint
   sheds is lost.  @index: index of the request in simulation.jobs.  */
static void
send_baseline (simulation_t *simulation, int index)
{
  int best = -1;
  int own_outstanding[ENDPOINTS] = { 0 };

  for (int i = 0; i < simulation->count; i++)
    if (!simulation->jobs[i].done && simulation->jobs[i].endpoint >= 0
        && simulation->jobs[i].instance == simulation->jobs[index].instance)
      own_outstanding[simulation->jobs[i].endpoint]++;
  for (int n = 0; n < PROBES_PER_ROUND; n++)
    {
      int at = (int)decide_rng_below (&simulation->rng, ENDPOINTS);

      if (!simulation->endpoints[at].is_down
          && (best < 0 || own_outstanding[at] < own_outstanding[best]))
        best = at;
    }
  if (best < 0 || !send_job (simulation, index, best))
    simulation->jobs[index].done = true;
}

/* Probes an endpoint.  Return: the endpoint, or NULL if it does not
   respond.  */
static backend_t *
probe (simulation_t *simulation, backends_t *table, backend_handle_t handle)
{
  backend_t *backend = backends_get (table, handle);
  const endpoint_t *endpoint
      = &simulation->endpoints[atoi (backend->entry.id)];
  backend_load_t load
      = { .running = (uint32_t)endpoint->running,
          .waiting = (uint32_t)endpoint->queued,
          .slots = SLOTS,
          .slowdown_percent
          = endpoint->has_noisy_neighbour ? NOISE_SLOWDOWN * 100 : 100 };

  simulation->probes++;
  if (endpoint->is_down)
    {
      backend_record_probe (backend, BACKEND_UNREACHABLE, NULL, 0,
                            simulation->now);
      return NULL;
    }
  backend_record_probe (backend, BACKEND_HEALTHY, &load,
                        endpoint->cold_until - simulation->now,
                        simulation->now);
  return backend;
}

/* Sends a job to an endpoint as POLICY_PROBED does.  A job that the endpoint
   sheds keeps waiting at the instance.  */
static void
send_to_backend (simulation_t *simulation, job_t *job, backend_t *backend)
{
  const service_t *service = backends_service_get (
      simulation->tables[job->instance], backend->service);
  bool cold = backend_is_cold (backend, simulation->now);

  if (cold)
    backend->cold_sent_at = simulation->now;
  job->sent_at = simulation->now;
  job->expected_duration_ms = estimate_response_time (
      service, estimate_service_time (&simulation->service_time, TARGET_MS),
      &backend->load, cold);
  (void)send_job (simulation, (int)(job - simulation->jobs),
                  atoi (backend->entry.id));
}

/* Runs one round of probes for the requests that wait at an instance.  */
static void
run_round (simulation_t *simulation, int instance)
{
  backends_t *table = simulation->tables[instance];
  choose_criteria_t criteria
      = { .count
          = probing_take_tokens (&simulation->probing[instance], PROBES_PER_S,
                                 PROBES_PER_ROUND, simulation->now),
          .remote = 2 };
  admission_request_t requests[WAITING_MAX];
  assign_request_t assigned[WAITING_MAX];
  backend_handle_t chosen[CHOOSE_ENDPOINTS_MAX];
  backend_t *endpoints[CHOOSE_ENDPOINTS_MAX];
  int n_endpoints = 0;
  int n = 0;
  int count = choose_candidates (table, &criteria, &simulation->rng,
                                 simulation->now, chosen);

  for (int i = 0; i < count; i++)
    {
      backend_t *backend = probe (simulation, table, chosen[i]);

      if (backend != NULL)
        endpoints[n_endpoints++] = backend;
    }
  for (int i = 0; i < simulation->count && n < WAITING_MAX; i++)
    {
      job_t *job = &simulation->jobs[i];

      if (job->done || job->endpoint >= 0 || job->instance != instance)
        continue;
      requests[n] = (admission_request_t){
        .urgent = job->urgent,
        .first_requested_at = job->estimated_first_requested_at,
        .waiting_since = job->arrived_at,
        .target = TARGET_MS,
        .response_deadline = job->arrived_at + job->timeout,
        .service_time_ms
        = estimate_service_time (&simulation->service_time, TARGET_MS)
      };
      assigned[n] = (assign_request_t){ .request = &requests[n], .user = job };
      n++;
    }
  assign_decide (table, assigned, n, endpoints, n_endpoints, simulation->now);
  for (int i = 0; i < n; i++)
    {
      job_t *job = assigned[i].user;

      if (assigned[i].result == ADMISSION_SEND)
        send_to_backend (simulation, job,
                         endpoints[assigned[i].endpoint_index]);
      else if (assigned[i].result == ADMISSION_REFUSE)
        {
          job->done = job->refused = true;
          schedule_retry (simulation, job);
        }
    }
  simulation->next_round[instance]
      = simulation->now
        + probing_round_pause_ms (&simulation->probing[instance], PROBES_PER_S,
                                  PROBES_PER_ROUND);
}

static void
update_endpoints (simulation_t *simulation)
{
  const scenario_t *scenario = simulation->scenario;

  for (int i = 0; i < ENDPOINTS; i++)
    {
      endpoint_t *endpoint = &simulation->endpoints[i];

      if ((simulation->now + i * 13) % NOISE_PERIOD_MS == 0)
        endpoint->has_noisy_neighbour
            = random_uniform (simulation) < scenario->noise_share;
      if (scenario->has_outage && strcmp (endpoint->centre_name, "a") == 0)
        {
          endpoint->is_down
              = simulation->now >= 4000 && simulation->now < 8000;
          if (simulation->now == 4000)
            endpoint->running = endpoint->queued = 0;
          if (scenario->is_cold_after_outage && simulation->now == 8000)
            endpoint->cold_until = simulation->now + 3000;
        }
    }
  if (scenario->has_outage && simulation->now == 4000)
    for (int i = 0; i < simulation->count; i++)
      if (!simulation->jobs[i].done && simulation->jobs[i].endpoint >= 0
          && simulation->endpoints[simulation->jobs[i].endpoint].is_down)
        simulation->jobs[i].done = true;
}

static void
add_job (simulation_t *simulation, const job_t *request)
{
  job_t *job = &simulation->jobs[simulation->count];

  g_assert_cmpint (simulation->count, <, JOBS_MAX);
  simulation->count++;
  *job = *request;
  job->endpoint = -1;
  job->instance = (int)decide_rng_below (&simulation->rng, INSTANCES);
  job->estimated_first_requested_at
      = job->arrived_at
        - caller_age_update (&simulation->caller_ages[job->instance],
                             job->timeout, job->arrived_at);
  if (simulation->scenario->ignores_caller_age)
    job->estimated_first_requested_at = job->arrived_at;
}

/* Adds the retry of a refused request, unless the refused request was itself a
   retry or the client's timeout ends before the retry.  */
static void
schedule_retry (simulation_t *simulation, const job_t *refused)
{
  job_t retry = { .first_requested_at = refused->first_requested_at,
                  .arrived_at = simulation->now + RETRY_DELAY_MS,
                  .timeout = refused->timeout - RETRY_DELAY_MS
                             - (simulation->now - refused->arrived_at),
                  .is_retry = true,
                  .urgent = refused->urgent };

  if (!refused->is_retry && retry.timeout > 0)
    add_job (simulation, &retry);
}

static void
generate_arrival (simulation_t *simulation)
{
  double arrivals_per_s = simulation->scenario->arrivals_per_s;
  /* The timeouts of clients differ by up to a sixth.  */
  job_t first
      = { .first_requested_at = simulation->now,
          .arrived_at = simulation->now,
          .timeout = (clock_ms_t)(CALLER_TIMEOUT_MS
                                  * (1.0 - random_uniform (simulation) / 6.0)),
          .urgent
          = random_uniform (simulation) < simulation->scenario->urgent_share };

  if (simulation->now >= 4000 && simulation->now < 8000
      && simulation->scenario->burst > 0)
    arrivals_per_s *= simulation->scenario->burst;
  /* At most one request arrives in a millisecond, which suffices since the
     rates are far below 1000 per second.  */
  if (random_uniform (simulation) >= arrivals_per_s / 1000.0)
    return;
  add_job (simulation, &first);
  if (simulation->policy == POLICY_BASELINE)
    send_baseline (simulation, simulation->count - 1);
}

/* Runs a round of probes at each instance where requests wait and the next
   round is due.  A new request starts a round at once.  */
static void
run_due_rounds (simulation_t *simulation)
{
  bool is_due[INSTANCES] = { false };
  int count = simulation->count;

  for (int i = 0; i < count; i++)
    {
      const job_t *job = &simulation->jobs[i];

      if (!job->done && job->endpoint < 0
          && simulation->now >= job->arrived_at)
        is_due[job->instance]
            |= job->arrived_at == simulation->now
               || simulation->now >= simulation->next_round[job->instance];
    }
  for (int i = 0; i < INSTANCES; i++)
    if (is_due[i])
      run_round (simulation, i);
}

static result_t
count_results (const simulation_t *simulation)
{
  result_t result = { .worst_second_in_time = 1 };
  /* The index is 1 for urgent requests and 0 for others.  */
  int in_time[2] = { 0 };
  int clients[2] = { 0 };
  int served = 0;
  /* For each second: the number of clients whose first request was sent in it,
     and the number of these clients that were answered in time.  */
  int by_second[ARRIVALS_MS / 1000][2] = { { 0 } };

  for (int i = 0; i < simulation->count; i++)
    {
      const job_t *job = &simulation->jobs[i];
      bool answered
          = job->endpoint >= 0 && job->ends_at != 0 && job->done
            && job->ends_at - job->first_requested_at <= CALLER_TIMEOUT_MS;
      bool is_in_time
          = answered && job->ends_at - job->first_requested_at <= TARGET_MS;

      clients[job->urgent] += !job->is_retry;
      in_time[job->urgent] += is_in_time;
      served += answered;
      by_second[job->first_requested_at / 1000][0] += !job->is_retry;
      by_second[job->first_requested_at / 1000][1] += is_in_time;
    }
  result.in_time
      = (double)(in_time[0] + in_time[1]) / MAX (clients[0] + clients[1], 1);
  result.in_time_urgent = (double)in_time[1] / MAX (clients[1], 1);
  result.in_time_other = (double)in_time[0] / MAX (clients[0], 1);
  result.served = (double)served / MAX (clients[0] + clients[1], 1);
  result.probes = (double)simulation->probes / ENDPOINTS
                  / ((ARRIVALS_MS + 3000) / 1000.0);
  for (int i = 0; i < ARRIVALS_MS / 1000; i++)
    result.worst_second_in_time
        = MIN (result.worst_second_in_time,
               (double)by_second[i][1] / MAX (by_second[i][0], 1));
  return result;
}

static result_t
simulate (const scenario_t *scenario, policy_t policy, uint64_t seed)
{
  simulation_t simulation = { .scenario = scenario,
                              .policy = policy,
                              .service_time = { .ms = SERVICE_TIME_MS } };
  const char *names[INSTANCES];
  char name_buffers[INSTANCES][16];
  result_t result;

  decide_rng_seed (&simulation.rng, seed);
  simulation.jobs = g_new0 (job_t, JOBS_MAX);
  for (int i = 0; i < INSTANCES; i++)
    {
      g_snprintf (name_buffers[i], sizeof name_buffers[i], "front-%d", i);
      names[i] = name_buffers[i];
    }
  for (int i = 0; i < ENDPOINTS; i++)
    {
      endpoint_t *endpoint = &simulation.endpoints[i];

      g_snprintf (endpoint->id, sizeof endpoint->id, "%d", i);
      g_strlcpy (endpoint->centre_name,
                 i % 3 == 0   ? "a"
                 : i % 3 == 1 ? "b"
                              : "c",
                 sizeof endpoint->centre_name);
      endpoint->slowdown
          = i < (int)(scenario->slow_share * ENDPOINTS + 0.5) ? 5.0 : 1.0;
    }
  for (int n = 0; n < INSTANCES; n++)
    {
      simulation.tables[n] = backends_new (names[n], n % 2 ? "b" : "c");
      backends_set_instances (simulation.tables[n], names, INSTANCES);
      for (int i = 0; i < ENDPOINTS; i++)
        {
          backend_entry_t entry
              = { .id = simulation.endpoints[i].id,
                  .service = service_name,
                  .data_centre = simulation.endpoints[i].centre_name,
                  .slots = SLOTS,
                  .born = 1,
                  .revision = { .number = 1 } };

          backends_put (simulation.tables[n], &entry, 0);
        }
      backends_service_get (simulation.tables[n], 0)->full_load_slowdown
          = KNEE_SLOWDOWN;
      backends_service_get (simulation.tables[n], 0)->cold_per_s = 7.9;
    }
  for (simulation.now = 0; simulation.now < ARRIVALS_MS + 3000;
       simulation.now++)
    {
      update_endpoints (&simulation);
      finish_jobs (&simulation);
      if (simulation.now < ARRIVALS_MS)
        generate_arrival (&simulation);
      if (policy == POLICY_PROBED)
        run_due_rounds (&simulation);
    }
  result = count_results (&simulation);
  for (int n = 0; n < INSTANCES; n++)
    backends_free (simulation.tables[n]);
  g_free (simulation.jobs);
  return result;
}

static void
compare_policies (const char *pattern, const scenario_t *scenario,
                  double in_time_min)
{
  for (uint64_t seed = 1; seed <= 3; seed++)
    {
      result_t baseline = simulate (scenario, POLICY_BASELINE, seed);
      result_t probed = simulate (scenario, POLICY_PROBED, seed);

      g_test_message (
          "%s, seed %d: in time %.3f (baseline %.3f), worst second "
          "%.3f (%.3f), served %.3f (%.3f), urgent %.3f, other "
          "%.3f, probes %.1f",
          pattern, (int)seed, probed.in_time, baseline.in_time,
          probed.worst_second_in_time, baseline.worst_second_in_time,
          probed.served, baseline.served, probed.in_time_urgent,
          probed.in_time_other, probed.probes);
      /* The site files allow at most 60 probes per second to an endpoint.  */
      g_assert_cmpfloat (probed.probes, <=, 60);
      g_assert_cmpfloat (probed.in_time, >=, in_time_min);
      g_assert_cmpfloat (probed.in_time, >, baseline.in_time);
      /* The site files allow the share that is answered in time to be higher
         for other requests than for urgent ones by at most 0.15.  */
      if (scenario->urgent_share > 0)
        g_assert_cmpfloat (probed.in_time_other - probed.in_time_urgent, <=,
                           0.15);
    }
}

/* A quarter of the endpoints is four times slower at any time.  Which ones are
   slow changes every 300 ms, so that loads known from earlier requests are out
   of date.  */
static void
noisy_neighbours (void)
{
  compare_policies ("noisy neighbours",
                    &(scenario_t){ .arrivals_per_s = 80,
                                   .noise_share = 0.25,
                                   .urgent_share = 0.25 },
                    0.905);
}

/* For four seconds, more clients arrive than can be served in time.  */
static void
flash_crowd (void)
{
  compare_policies ("flash crowd",
                    &(scenario_t){ .arrivals_per_s = 130,
                                   .noise_share = 0.25,
                                   .burst = 1.7,
                                   .urgent_share = 0.25 },
                    0.387);
}

/* Refused clients retry while more clients arrive than can be served.  Guards
   against treating retries like first requests, which would reduce the number
   of clients that are answered in time.  */
static void
returning_callers (void)
{
  scenario_t scenario = { .arrivals_per_s = 130,
                          .noise_share = 0.35,
                          .burst = 1.7,
                          .urgent_share = 0.25 };
  scenario_t without_age = scenario;

  without_age.ignores_caller_age = true;
  compare_policies ("returning callers", &scenario, 0.387);
  for (uint64_t seed = 1; seed <= 3; seed++)
    {
      result_t with_age = simulate (&scenario, POLICY_PROBED, seed);
      result_t ignored = simulate (&without_age, POLICY_PROBED, seed);

      g_test_message (
          "in time %.3f; %.3f if retries are treated as first requests",
          with_age.in_time, ignored.in_time);
      g_assert_cmpfloat (with_age.in_time, >, ignored.in_time);
    }
}

/* Twice as many clients arrive as can be served in time, and a third of the
   endpoints is four times slower at any time.  A request that starts while its
   endpoint is slow still holds its slot after the endpoint has become fast
   again.  */
static void
slow_work_holds_slots (void)
{
  scenario_t scenario = { .arrivals_per_s = 130,
                          .noise_share = 0.35,
                          .burst = 2.5,
                          .urgent_share = 0.25 };

  compare_policies ("slow work holds slots", &scenario, 0.387);
  for (uint64_t seed = 1; seed <= 3; seed++)
    g_assert_cmpfloat (
        simulate (&scenario, POLICY_PROBED, seed).worst_second_in_time, >=,
        0.387);
}

/* A third of the endpoints is always five times slower and does not report
   it.  */
static void
slow_third (void)
{
  compare_policies ("slow third",
                    &(scenario_t){ .arrivals_per_s = 70,
                                   .noise_share = 0.25,
                                   .slow_share = 0.33,
                                   .urgent_share = 0.25 },
                    0.387);
}

/* A data centre is down for four seconds; its endpoints are cold when they
   come back.  */
static void
centre_lost_and_cold (void)
{
  compare_policies ("data centre lost, back cold",
                    &(scenario_t){ .arrivals_per_s = 90,
                                   .noise_share = 0.25,
                                   .has_outage = true,
                                   .is_cold_after_outage = true,
                                   .urgent_share = 0.25 },
                    0.387);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/load/noisy_neighbours", noisy_neighbours);
  g_test_add_func ("/load/flash_crowd", flash_crowd);
  g_test_add_func ("/load/returning_callers", returning_callers);
  g_test_add_func ("/load/slow_work_holds_slots", slow_work_holds_slots);
  g_test_add_func ("/load/slow_third", slow_third);
  g_test_add_func ("/load/centre_lost_and_cold", centre_lost_and_cold);
  return g_test_run ();
}
