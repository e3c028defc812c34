#ifndef PERIDOT_STANDIN_ENDPOINT_H
#define PERIDOT_STANDIN_ENDPOINT_H

/* One endpoint of the backend stand-in: slots, queue, cold start, drain and
   what it recorded about the work it was sent.  */

#include "standin.h"

#include <pthread.h>

/* Time in ms after which new work counts as late (drain, out).  */
#define ENDPOINT_LATE_MS 3000
#define ENDPOINT_HISTORY 1024

typedef struct endpoint_options
{
  int slots;
  int queue;       /* requests that may wait */
  int cold_ms;     /* duration of a cold start */
  int cold_factor; /* service time while cold, times the usual */
  int fall_ms;     /* time for which a fallen endpoint is away */
  int load_lag_ms; /* age of the answers to GET /load */
  double sigma;    /* of the log-normal service time */
  int seed;
} endpoint_options_t;

typedef struct endpoint_load
{
  int64_t at_us;
  int in_flight;
  int queued;
  bool cold;
  bool draining;
  uint64_t identity;
} endpoint_load_t;

/* A request in the endpoint, waiting or running.  */
typedef struct work
{
  struct mg_connection *conn;
  struct work *next;
  int64_t deadline_us;
  bool running;
  bool sending;
  bool left;
} work_t;

typedef struct endpoint
{
  const endpoint_options_t *options;
  int port;
  pthread_mutex_t lock;
  pthread_cond_t freed;
  work_t *work;
  int in_flight;
  int queued;
  standin_random_t random;
  uint64_t identity;
  int64_t cold_until_us;
  int64_t fallen_until_us;
  int64_t drain_since_us; /* 0 when not draining */
  int64_t out_since_us;   /* 0 when not marked out */
  double slow_factor;
  int slow_ms;
  bool shed;
  bool failing;
  bool loses_answers;
  endpoint_load_t history[ENDPOINT_HISTORY];
  unsigned int history_next;
  int64_t requests;
  int64_t shed_count;
  int64_t probes; /* GET /load and /health */
  int64_t cancelled;
  int64_t expired;
  int64_t cold_overloads;
  int64_t late_after_drain;
  int64_t work_after_out;
  int64_t late_after_out;
  int64_t last_after_out_us; /* since the mark */
  int max_concurrency;
  int max_over_bearing;
} endpoint_t;

typedef enum entered
{
  ENTERED,
  ENTER_SHED,    /* did not run */
  ENTER_FAILED,  /* fails at once */
  ENTER_EXPIRED, /* deadline passed in the queue, did not run */
  ENTER_LOST,    /* did the work, but loses the answer */
  ENTER_GONE     /* caller gone, or the endpoint fell over */
} entered_t;

void endpoint_init (endpoint_t *endpoint, const endpoint_options_t *options,
                    int port);

/**
 * endpoint_enter() - wait for a slot
 * @work: conn and deadline_us are set; kept until endpoint_leave()
 *
 * Return: ENTERED when the work may start; otherwise it has left already.
 */
entered_t endpoint_enter (endpoint_t *endpoint, work_t *work);

/* Frees the slot; called before the last byte of the answer is sent, so that
   a caller that sends its next request at once finds the slot free.  */
void endpoint_leave (endpoint_t *endpoint, work_t *work);

/**
 * endpoint_run() - spend a service time with the given mean
 * Return: ENTERED when the work was done, else ENTER_EXPIRED, ENTER_LOST or
 * ENTER_GONE.
 */
entered_t endpoint_run (endpoint_t *endpoint, const work_t *work,
                        double mean_ms);

/* Says that the answer is being sent.  */
void endpoint_send (endpoint_t *endpoint, work_t *work);

/* Ends the work whose caller takes no more of the answer at the deadline.  */
void endpoint_expire (endpoint_t *endpoint);

void endpoint_count_probe (endpoint_t *endpoint);
bool endpoint_is_fallen (endpoint_t *endpoint);

/* Load now without the caller's own request, or as it was a lag ago.  */
endpoint_load_t endpoint_get_load (endpoint_t *endpoint, bool own, bool lag);

/* Applies a control object: cold, restart, drain, slow_factor, slow_ms, shed,
   fail, mark, reset_max.  */
void endpoint_control (endpoint_t *endpoint, json_object *value);

json_object *endpoint_stats (endpoint_t *endpoint);

#endif
