#ifndef PERIDOT_SLOTS_SIM_H
#define PERIDOT_SLOTS_SIM_H

/* Discrete-event simulation in virtual time of 12 instances and 20 endpoints
   in 3 data centres.  The instances run the pools and routers of lib/decide,
   or a baseline policy for comparison.  */

#include <stdbool.h>
#include <stdint.h>

/* Faults (bit mask); they happen at random, every 100 ms on average.  */
enum
{
  SIM_RESTART = 1,  /* endpoints reset their requests and are cold */
  SIM_DRAIN = 2,    /* endpoints drain, then restart */
  SIM_PAUSE = 4,    /* instances pause for up to 3 s */
  SIM_HANDOVER = 8, /* pools move to a new owner */
  SIM_OUT = 16,     /* data centres go out of service and return */
  SIM_COLD = 32,    /* pools take all endpoints as cold */
  SIM_LOSS = 64,    /* 1% of messages are lost */
  SIM_ALL = 127
};

typedef struct sim_options
{
  const char *policy; /* name for policy_find() */
  uint64_t seed;
  uint32_t duration_ms;
  uint32_t warm_up_ms;   /* requests that arrive earlier are not counted */
  uint32_t load_percent; /* offered load, of the capacity of all slots */
  uint32_t timeout_ms;
  bool noise; /* at times endpoints are ten times slower for 20 to 200 ms */
  bool cold;  /* an endpoint restarts cold every 500 ms */
  uint32_t faults;     /* SIM_RESTART and so on */
  uint32_t service_ms; /* mean service time; half is fixed, half exponential */
  bool hedge;
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
  uint32_t shed;
  double p50_ms;
  double p99_ms;
  double p999_ms;
  double wait_p99_ms; /* from arrival to the first attempt; only with pools */
  double goodput; /* work answered, as a fraction of what all slots could do */
  uint32_t messages;
  /* Highest number of requests at an endpoint above what it can take at a
     time: its slots, or 1 while it is cold.  */
  uint32_t over_slots;
  uint32_t over_cold;
  /* Errors of the decision code; 0 in a correct run.  */
  uint32_t ran_twice;     /* non-idempotent requests that ran more than once */
  uint32_t false_not_run; /* refused as not run, but ran */
  uint32_t ended_twice;
  uint32_t not_ended;
  uint32_t ended_late;      /* after the deadline, without a pause */
  uint32_t sent_to_out;     /* attempts sent to a data centre out of service */
  uint32_t sent_to_drained; /* more than 100 ms after the first response that
                               shows the draining */
  uint32_t retries_over;    /* retries above the retry budget */
} sim_result_t;

/* Runs the simulation until all requests have had time to end.  */
void sim_run (const sim_options_t *options, sim_result_t *result);

#endif
