#ifndef PERIDOT_STANDIN_ENDPOINT_H
#define PERIDOT_STANDIN_ENDPOINT_H

/* One endpoint of the stand-in for backend servers.  It simulates slots, a
   queue, cold starts and crashes, and counts the requests that it receives,
   among them those that clients should not have sent, such as those long after
   the start of a drain.  */

#include "standin.h"

#include <pthread.h>

/* A request counts as late when it arrives more than this time after the start
   of a drain or after the mark "out".  */
#define ENDPOINT_LATE_MS 3000
/* Number of recorded loads from which a delayed load is selected.  */
#define ENDPOINT_HISTORY_MAX 1024

/* Settings that all endpoints of the process share.  */
typedef struct endpoint_options
{
  int slots;                 /* number of requests that run at a time */
  int queue_max;             /* number of requests that may wait for a slot */
  int cold_start_ms;         /* duration of a cold start in ms */
  int cold_factor;           /* factor of the service time while cold */
  int crash_downtime_ms;     /* downtime in ms after a crash */
  int load_lag_ms;           /* age in ms of the load that GET /load reports */
  double service_time_sigma; /* sigma of the log-normal service time */
  int seed;
} endpoint_options_t;

/* Load of an endpoint at one time.  */
typedef struct endpoint_load
{
  int64_t time_us; /* CLOCK_BOOTTIME, when the load was recorded */
  int in_flight;   /* requests that occupy a slot */
  int queued;      /* requests that wait for a slot */
  bool cold;
  bool draining;
  uint64_t identity; /* of the simulated process, new after a restart */
} endpoint_load_t;

/* A request that waits for a slot or occupies one.  */
typedef struct endpoint_request
{
  struct mg_connection *conn;
  struct endpoint_request *next;
  int64_t deadline_us; /* CLOCK_BOOTTIME */
  bool running;        /* occupies a slot */
  bool sending;        /* the response is being sent */
  bool removed;        /* no longer in active_requests */
} endpoint_request_t;

typedef struct endpoint
{
  const endpoint_options_t *options;
  int port;
  pthread_mutex_t lock;
  pthread_cond_t slot_freed;
  endpoint_request_t *active_requests; /* linked list, in any order */
  int in_flight;                       /* requests that occupy a slot */
  int queued;                          /* requests that wait for a slot */
  standin_random_t random;
  uint64_t identity; /* of the simulated process, new after a restart */
  /* The following times are those of CLOCK_BOOTTIME.  */
  int64_t cold_until_us;
  int64_t down_until_us;
  int64_t drain_since_us; /* start of the drain; 0 when not draining */
  int64_t out_since_us;   /* time of the mark "out"; 0 when not marked */
  double slow_factor;     /* of the service time */
  int slow_ms;            /* added to the service time */
  bool sheds;             /* rejects all requests */
  bool fails;             /* fails all requests */
  bool loses_responses;   /* resets the connection instead of responding */
  endpoint_load_t history[ENDPOINT_HISTORY_MAX]; /* ring buffer of loads */
  unsigned int history_next; /* number of loads recorded so far */
  int64_t request_count;     /* requests that arrived */
  int64_t shed_count;        /* rejected requests */
  int64_t probe_count;       /* GET /load and GET /health */
  int64_t cancelled;         /* requests ended by a disconnect or a restart */
  int64_t expired;           /* requests ended by their deadline */
  int64_t cold_overloads;    /* crashes by a second request while cold */
  int64_t late_after_drain;  /* late requests during a drain */
  int64_t work_after_out;    /* requests while marked out */
  int64_t late_after_out;    /* late requests while marked out */
  int64_t last_after_out_us; /* time from the mark to the latest request */
  int max_concurrency;       /* most requests waiting or running at a time */
  int max_over_capacity;     /* most requests beyond slots, beyond 1 if cold */
} endpoint_t;

typedef enum endpoint_result
{
  ENDPOINT_OK,      /* has a slot, or was executed */
  ENDPOINT_SHED,    /* rejected, was not executed */
  ENDPOINT_FAILED,  /* failed by the fault "fail", was not executed */
  ENDPOINT_EXPIRED, /* deadline passed in the queue or during the execution */
  ENDPOINT_RESPONSE_LOST, /* was executed, but no response is to be sent */
  ENDPOINT_CANCELLED      /* client disconnected, or the endpoint restarted */
} endpoint_result_t;

/* Initializes an endpoint, which begins with a cold start.  */
void endpoint_init (endpoint_t *endpoint, const endpoint_options_t *options,
                    int port);

/**
 * endpoint_acquire_slot() - wait for a slot
 * @request: request with conn and deadline_us set; must stay allocated until
 *   endpoint_release_slot()
 *
 * Return: ENDPOINT_OK when the request has a slot; otherwise the reason why it
 *   has none, and the caller may free @request.
 */
endpoint_result_t endpoint_acquire_slot (endpoint_t *endpoint,
                                         endpoint_request_t *request);

/* Frees the request's slot, unless it has already been freed.  Called before
   the last byte of the response is sent, so that the slot is free for a client
   that sends its next request at once.  */
void endpoint_release_slot (endpoint_t *endpoint, endpoint_request_t *request);

/**
 * endpoint_run() - simulate the execution of a request
 * @mean_ms: mean of the random service time
 *
 * Return: ENDPOINT_OK after the service time; ENDPOINT_EXPIRED,
 *   ENDPOINT_RESPONSE_LOST or ENDPOINT_CANCELLED.
 */
endpoint_result_t endpoint_run (endpoint_t *endpoint,
                                const endpoint_request_t *request,
                                double mean_ms);

/* Records that the response is being sent, for endpoint_abort_expired().  */
void endpoint_mark_sending (endpoint_t *endpoint, endpoint_request_t *request);

/* Aborts the requests whose response is still being sent at their deadline,
   because the client no longer reads.  */
void endpoint_abort_expired (endpoint_t *endpoint);

/* Counts a GET /load or GET /health.  */
void endpoint_count_probe (endpoint_t *endpoint);

/* Returns whether the endpoint is down after a crash.  */
bool endpoint_is_down (endpoint_t *endpoint);

/* Returns the load: the present one, or that of load_lag_ms ago if @delayed.
   @exclude_own subtracts one running request, the one in whose response the
   load is sent.  */
endpoint_load_t endpoint_get_load (endpoint_t *endpoint, bool exclude_own,
                                   bool delayed);

/**
 * endpoint_configure() - change the state and the faults of an endpoint
 * @value: members to change:
 *   cold: true begins a cold start, false ends it
 *   restart: true simulates a new process, which begins with a cold start
 *   drain: true begins a drain, false ends it
 *   slow_factor, slow_ms: set the members of the same name
 *   shed, fail, lose_answers: set the members sheds, fails, loses_responses
 *   mark: "out" begins counting the requests that arrive after the mark, any
 *     other text ends it
 *   reset_max: true sets max_concurrency and max_over_capacity to 0
 */
void endpoint_configure (endpoint_t *endpoint, json_object *value);

/* Returns the counters as a JSON object, to be released by the caller.  */
json_object *endpoint_get_stats (endpoint_t *endpoint);

#endif
