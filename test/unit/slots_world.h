#ifndef PERIDOT_SLOTS_WORLD_H
#define PERIDOT_SLOTS_WORLD_H

/* State of the simulation, shared by the files that implement it.

   Instances, endpoints and pools have an index from 0, which the simulation
   uses, and an ID for lib/decide, which is the index plus 1.  */

#include "slots_sim.h"

#include "budget.h"
#include "decide.h"
#include "policy.h"
#include "pool.h"
#include "router.h"

#include <glib.h>

#define INSTANCES 12
#define ENDPOINTS 20
#define DATA_CENTRES 3
#define POOLS 6           /* two in each data centre */
#define SLOTS 3           /* of each endpoint */
#define SERVER_QUEUE 6    /* a server sheds requests above SLOTS plus this */
#define COLD_RESPONSES 40 /* a server is cold until it has sent these */
#define COLD_FACTOR 3     /* slowdown of a cold server */
#define NOISE_FACTOR 10   /* slowdown of a server with noise */
#define RUN_MS 1000       /* maximum duration of an attempt */
#define QUEUE_MAX 32      /* maximum number of waiting requests of a pool */
#define US_PER_MS 1000
/* The baseline policies see the loads of the servers as they were
   REPORT_AGE_STEPS steps, or 100 ms, ago.  */
#define REPORT_STEP_MS 10
#define REPORT_AGE_STEPS 10
#define SERVICE_ID 77

typedef int64_t us_t; /* time in microseconds */

typedef enum
{
  EV_ARRIVE,    /* a request arrives at an instance */
  EV_FORWARD,   /* the instance sends an attempt */
  EV_AT_SERVER, /* the attempt arrives at the server */
  EV_FINISH,    /* the server has run the attempt */
  EV_CLOSE,     /* the server learns that the connection of the attempt was
                   closed, or that its deadline has passed */
  EV_RESULT,    /* the instance learns of the end of an attempt */
  EV_TIMEOUT,   /* the deadline of the attempt is reached at the instance */
  EV_TO_OWNER,  /* message to an owner */
  EV_TO_HOLDER, /* message to a holder */
  EV_PROBED,    /* the owner of a pool learns of the success of a probe */
  EV_TICK,      /* 1 ms has passed */
  EV_FAULT      /* a fault is due */
} event_kind_t;

typedef struct
{
  us_t at;
  uint64_t sequence; /* orders events of the same time */
  event_kind_t kind;
  uint32_t target; /* index of the instance that processes the event;
                      EV_FINISH: of the endpoint */
  /* EV_ARRIVE: 0 for a new request, 1 for a retry; EV_RESULT: the result;
     EV_TO_OWNER and EV_TO_HOLDER: index of the sender; EV_PROBED: index of the
     pool.  */
  uint32_t detail;
  uint64_t index; /* EV_ARRIVE: of the request to retry; EV_PROBED: ID of the
                     endpoint; other kinds: index of the attempt */
  /* The message of EV_TO_OWNER and EV_TO_HOLDER.  EV_RESULT uses only
     release.end.load, the server's load report.  */
  decide_msg_type_t type;
  decide_msg_grant_t grant;
  decide_msg_release_t release;
} event_t;

typedef struct
{
  uint32_t instance;
  us_t arrived_at;
  us_t deadline;
  bool non_idempotent;
  bool ended;
  uint32_t attempts;
  uint32_t ran; /* number of attempts that a server began to run */
} request_t;

typedef struct
{
  uint32_t request;
  uint32_t instance;
  uint32_t endpoint;
  uint64_t attempt_id; /* as chosen by the router */
  clock_ms_t start_by; /* latest time in ms at which it may be sent */
  us_t deadline;
  us_t sent_at;
  bool at_server;   /* the server has accepted it; stays true afterwards */
  bool running;     /* the server has begun to run it; stays true afterwards */
  bool left_server; /* shed, finished, closed or reset */
  bool done;        /* the instance has learned of its end */
} attempt_t;

typedef struct
{
  uint32_t data_centre;
  uint32_t pool;
  uint32_t slots;
  uint32_t running; /* number of attempts that it runs now */
  GQueue waiting;   /* index + 1 of each waiting attempt, since an element must
                       not be NULL */
  uint32_t cold_responses_left; /* responses until the server is warm */
  uint64_t identity;            /* of the server process */
  bool draining;
  us_t first_shed_at; /* first rejected attempt while draining; 0: none */
  us_t noisy_from;    /* start of the next or current noise */
  us_t noisy_until;
  uint32_t load_history[REPORT_AGE_STEPS]; /* ring buffer of request counts */
} server_t;

typedef struct
{
  uint32_t data_centre;
  router_t *router;
  us_t paused_until;
  bool was_paused; /* at any time in the run */
  /* Loads of the pools in the last heartbeats of their owners.  */
  decide_pool_load_t advertised_loads[POOLS];
  /* Own attempts at each endpoint that have not ended; only with a baseline
     policy.  */
  uint32_t local[ENDPOINTS];
  policy_state_t policy;
  budget_t budget;
} instance_t;

typedef struct
{
  sim_options_t options;
  sim_result_t *result;
  const policy_t *policy;
  us_t now;
  uint64_t sequence;       /* of the next event that is scheduled */
  uint32_t report_step;    /* number of steps of REPORT_STEP_MS since time 0 */
  decide_rng_t rng;        /* for arrivals, faults and servers */
  decide_rng_t router_rng; /* for the routers, pools and policies */
  GSequence *events;       /* event_t, in order of time */
  GArray *requests;        /* request_t */
  GArray *attempts;        /* attempt_t */
  GArray *latencies;       /* ms, as double */
  GArray *wait_times;      /* ms, as double */
  server_t servers[ENDPOINTS];
  instance_t instances[INSTANCES];
  pool_t *pools[POOLS];
  bool out[DATA_CENTRES]; /* the data centre is out of service */
  /* When a data centre last went out of service or returned.  */
  us_t out_changed_at;
  uint32_t retries; /* attempts except the first of a request and hedges */
} sim_t;

extern sim_t sim;

request_t *sim_request (uint64_t index);
attempt_t *sim_attempt (uint64_t index);
clock_ms_t sim_now_ms (void);
/* Returns a random number, uniformly distributed from 0 up to, but not
   including, 1.  */
double sim_uniform (void);
void sim_schedule (us_t at, event_t event);
/* Removes and returns the earliest event.  */
event_t sim_pop_event (void);
/* Returns the one-way delay between two data centres; message is true for
   messages between instances.  */
us_t sim_delay (uint32_t from, uint32_t to, bool message);
/* sim_refuse(), sim_forward() and sim_cancel() are callbacks of the routers,
   with the instance as context.  */
void sim_refuse (void *context, const decide_refusal_t *refusal);
void sim_forward (void *context, const router_forward_t *forward);
/* Schedules the event that the server learns at time @at that the connection
   of an attempt was closed.  */
void sim_schedule_close (uint64_t index, us_t at);
/* Reports the end of an attempt to its instance, unless that was done before;
   @load is NULL if the server sent no response.  */
void sim_end_attempt (uint64_t index, decide_attempt_result_t result,
                      const decide_load_t *load);
void sim_cancel (void *context, uint64_t attempt_id);
/* Returns the load report that the server would send now.  */
decide_load_t sim_server_load (const server_t *server);
/* The server runs an attempt, puts it in its queue, or sheds it.  */
void sim_arrive_at_server (uint64_t index);
/* Removes an attempt from its server, which then starts the next waiting
   one.  */
void sim_leave_server (uint64_t index);
/* The server has run an attempt and responds.  */
void sim_finish_run (uint64_t index);
void sim_restart_server (uint32_t endpoint);
/* Sends an attempt to its server, unless it has ended or its start_by has
   passed.  */
void sim_send_attempt (uint64_t index);
/* Returns the index of the instance that owns the pool.  */
uint32_t sim_owner (uint32_t pool);
void sim_deliver_to_owner (const event_t *event);
void sim_deliver_to_holder (const event_t *event);
router_callbacks_t sim_router_callbacks (instance_t *instance);
pool_callbacks_t sim_pool_callbacks (uint32_t pool);

#endif
