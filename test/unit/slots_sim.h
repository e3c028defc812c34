#ifndef PERIDOT_SLOTS_SIM_H
#define PERIDOT_SLOTS_SIM_H

/* Discrete-event simulation, in virtual time, of 12 instances and 20 endpoints
   in 3 data centres.  The instances run the pools and routers of lib/decide,
   or a baseline policy for comparison.  */

#include <stdbool.h>
#include <stdint.h>

/* Faults (bit mask).  Every 100 ms on average, one of the kinds from
   SIM_RESTART to SIM_COLD is drawn at random and injected if its bit is
   set.  */
enum
{
  SIM_RESTART = 1,  /* an endpoint resets its requests and becomes cold */
  SIM_DRAIN = 2,    /* an endpoint begins to drain, or restarts if it is
                       draining */
  SIM_PAUSE = 4,    /* an instance pauses for up to 3 s */
  SIM_HANDOVER = 8, /* a pool is handed over to a new owner */
  SIM_OUT = 16,     /* a data centre goes out of service or returns */
  SIM_COLD = 32,    /* a pool marks all its endpoints as cold */
  SIM_LOSS = 64,    /* 1% of the messages between instances are lost */
  SIM_ALL = 127
};

typedef struct sim_options
{
  const char *policy; /* name for policy_find() */
  uint64_t seed;
  uint32_t duration_ms; /* time during which requests arrive */
  /* Requests that arrive earlier are left out of the result's answered,
     refused, goodput, wait time and latencies.  */
  uint32_t warm_up_ms;
  uint32_t load_percent; /* offered load, in percent of the capacity of all
                            slots */
  uint32_t timeout_ms;   /* from the arrival of a request to its deadline */
  bool noise; /* at times endpoints are ten times slower for 20 to 200 ms */
  bool cold;  /* an endpoint restarts cold every 500 ms */
  uint32_t faults;     /* bit mask of SIM_RESTART to SIM_LOSS */
  uint32_t service_ms; /* mean service time; half is fixed, half exponential */
  bool hedge;          /* idempotent requests may be hedged */
  uint32_t hedge_after_ms;
  uint32_t non_idempotent_percent; /* share of non-idempotent requests */
} sim_options_t;

typedef struct sim_result
{
  uint32_t requests;
  uint32_t answered;
  uint32_t refused;
  uint32_t attempts;
  uint32_t hedges;
  uint32_t shed; /* attempts that an endpoint rejected */
  /* Latency of the answered requests from their arrival.  */
  double p50_ms;
  double p99_ms;
  double p999_ms;
  double wait_p99_ms; /* from arrival to the first attempt; 0 with a baseline
                         policy */
  double goodput;    /* share of the capacity of all slots that served answered
                        requests, from 0 to 1 */
  uint32_t messages; /* sent by instances, also to themselves */
  /* Highest number of requests that ran or waited at an endpoint in excess of
     its slots, and in excess of 1 while it was cold.  */
  uint32_t over_slots;
  uint32_t over_cold;
  /* Errors of the decision code; 0 in a correct run.  */
  uint32_t ran_twice;     /* non-idempotent requests that ran more than once */
  uint32_t false_not_run; /* refused as not run, but ran */
  uint32_t ended_twice;
  uint32_t not_ended;
  /* Ended more than 2 ms after the deadline, at an instance that was never
     paused.  */
  uint32_t ended_late;
  /* Attempts sent to a data centre more than 1 ms after it went out of
     service; more than 3 s if the sending instance was ever paused.  */
  uint32_t sent_to_out;
  /* Attempts that arrived at a draining endpoint more than 100 ms after it
     first shed one.  */
  uint32_t sent_to_drained;
  /* Retries in excess of a limit: one for each request, one for each instance
     and second of duration_ms, and five for each instance.  */
  uint32_t retries_over;
} sim_result_t;

/* Runs the simulation until all requests have had time to end.  */
void sim_run (const sim_options_t *options, sim_result_t *result);

#endif
