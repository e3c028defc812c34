#ifndef PERIDOT_BALANCE_BACKENDS_H
#define PERIDOT_BALANCE_BACKENDS_H

/* Table of the endpoints of all services.  It holds their entries in the
   store, their health and load as probes and responses report them, and the
   state of the rate limit for cold endpoints.  An endpoint is cold while it is
   warming up after its start.  */

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "decide.h"
#include "rate_limit.h"
#include "store_revision.h"

/* Handle of an endpoint in the table.  The generation changes when the table
   entry is reused, so that a stale handle does not resolve to another
   endpoint.  */
typedef struct backend_handle
{
  uint32_t index;
  uint32_t generation;
} backend_handle_t;

/* Index of a service in the table of services.  */
typedef int service_index_t;

/* Entry of an endpoint in the store.  */
typedef struct backend_entry
{
  char *id;
  char *service;
  char *data_centre;
  char *software; /* version of the endpoint's software; NULL: not stated */
  struct sockaddr_in address;
  uint32_t slots;    /* number of requests that it can run at the same time */
  bool draining;     /* no new requests may be sent to it */
  clock_ms_t cold;   /* remaining warm-up time in ms, counted from the call of
                        backends_put() */
  uint64_t born;     /* time at which the endpoint was started, Unix ms; 0: not
                        stated */
  uint64_t sequence; /* number of the endpoint's heartbeat since its start that
                        has written the entry; 0: not stated */
  store_revision_t revision; /* store revision of the entry */
} backend_entry_t;

/* Load as an endpoint reports it.  */
typedef struct backend_load
{
  uint32_t running; /* number of requests that it is running */
  uint32_t waiting; /* number of requests in its queue */
  uint32_t slots;   /* number of requests that it can run at the same time */
  uint32_t slowdown_percent; /* duration of requests as a percentage of the
                                normal duration (100 = no slowdown) */
} backend_load_t;

typedef enum backend_health
{
  BACKEND_UNKNOWN, /* not probed yet */
  BACKEND_HEALTHY,
  BACKEND_UNHEALTHY,   /* responded to the probe with a status other than 200,
                          or without its ID */
  BACKEND_UNREACHABLE, /* refused the connection or did not respond */
  BACKEND_ID_MISMATCH  /* another endpoint responds at this address */
} backend_health_t;

/* Which requests an endpoint may get, by the version of its software (see
   rollouts.h).  */
typedef enum backend_track
{
  BACKEND_STABLE,  /* those of its service */
  BACKEND_CANARY,  /* those of its service that a rollout gives to the new
                      version */
  BACKEND_WITHHELD /* none */
} backend_track_t;

/* An endpoint in the table.  */
typedef struct backend
{
  backend_entry_t entry;
  uint32_t index;      /* position in the table */
  uint32_t generation; /* see backend_handle_t */
  bool in_use;         /* false: the table entry is on the free list */
  bool removed; /* always false, since the table entry of a removed endpoint is
                   put on the free list at once */
  service_index_t service; /* if @track is BACKEND_CANARY, the canary pool of
                              its service */
  backend_track_t track;
  clock_ms_t cold_until;        /* time at which the warm-up ends */
  backend_health_t health;      /* result of the last probe */
  clock_ms_t health_checked_at; /* time of the last probe */
  clock_ms_t backoff_until; /* time until which the endpoint is probed only if
                               there are no others, after a failed probe */
  uint32_t consecutive_failures; /* number of failed probes since the last
                                    successful one */
  backend_load_t load; /* load that the endpoint reported last, plus the
                          requests sent to it since */
  clock_ms_t load_reported_at; /* time at which the endpoint last reported its
                                  load; 0: never */
  uint32_t in_flight;  /* number of this instance's attempts in progress */
  double failure_rate; /* share of attempts that failed, 0 to 1 (EWMA) */
  clock_ms_t failure_rate_at; /* time of the last update of @failure_rate */
  double slowdown; /* ratio of actual to expected response time (EWMA) */
  clock_ms_t slowdown_at;  /* time of the last update of @slowdown */
  clock_ms_t cold_sent_at; /* time at which this instance last sent a request
                              to the endpoint while the endpoint was cold; 0:
                              never */
  uint32_t cold_rank_instances_version; /* the table's @instances_version when
                                           @cold_rank was computed */
  int cold_rank; /* number of instances that precede this one in the order that
                    decides which instances may send it requests while it is
                    cold */
  bool says_leaving;   /* the endpoint has stated in a response that it is
                          leaving; holds as long as the endpoint runs */
  bool leaving_is_own; /* the response was to this instance */
  clock_ms_t leaving_learnt_at; /* time at which this instance learnt of it */
  clock_ms_t
      declined_until;      /* the endpoint has asked for no requests from this
                              instance before this time; 0: it has not */
  rate_limit_t rate_limit; /* limit that the endpoint has stated */
  uint32_t rendezvous_weight; /* weight of the endpoint for this instance in
                                 rendezvous hashing */
} backend_t;

/* A service, whose requests any of its endpoints can serve.  */
typedef struct service
{
  char *name;
  char *health_path;   /* path that probes request */
  int connections_max; /* largest number of connections to one endpoint, from
                          all instances together; 0: unlimited */
  double cold_per_s;   /* largest number of requests per second that one cold
                          endpoint may get from all instances together */
  double full_load_slowdown; /* factor by which requests take longer when
                                nearly all slots of the endpoint are in use, at
                                least 1 */
  service_index_t canary;    /* service that has the endpoints in track
                                BACKEND_CANARY; -1: none was needed yet */
  bool is_canary;            /* it is such a service */
  void *user; /* the proxy's state of the service, a service_state_t; NULL: not
                 created yet */
} service_t;

typedef struct backends backends_t;

/* Creates an empty table for the instance with this name and data centre.  */
backends_t *backends_new (const char *own_name, const char *own_data_centre);
void backends_free (backends_t *backends);

/* Returns the index of the service with this name.  The service is added if it
   is not known.  */
service_index_t backends_ensure_service (backends_t *backends,
                                         const char *name);
service_t *backends_service_get (backends_t *backends,
                                 service_index_t service);
/* Returns the index of a service's canary pool, which is added if there is
   none.  backends_sync_canary() has to be called when the rules of the service
   change.  */
service_index_t backends_ensure_canary (backends_t *backends,
                                        service_index_t service);
/* Copies the rules of a service to its canary pool, if it has one.  */
void backends_sync_canary (backends_t *backends, service_index_t service);
/* Sets the track of an endpoint, and its service index accordingly.  */
void backends_set_track (backends_t *backends, backend_t *backend,
                         backend_track_t track);
int backends_service_count (const backends_t *backends);

/**
 * backends_put() - add or update an endpoint from its entry in the store
 *
 * An entry is ignored if the table has a newer revision of it.
 * If the entry shows that the endpoint was restarted or replaced under the
 * same id, it is added as a new endpoint, so that old handles become stale.
 */
void backends_put (backends_t *backends, const backend_entry_t *entry,
                   clock_ms_t now);

/**
 * backends_remove() - remove an endpoint that the store no longer has
 * Return: whether it was known.
 */
bool backends_remove (backends_t *backends, const char *id);

/* Returns the number of endpoints.  */
int backends_count (const backends_t *backends);
/* Returns the next endpoint in table order and advances @position, which
   starts at 0; NULL after the last one.  */
backend_t *backends_next (backends_t *backends, uint32_t *position);
/* Finds an endpoint by its id; NULL if there is none.  */
backend_t *backends_find (backends_t *backends, const char *id);
/* Resolves a handle; NULL if the endpoint was removed.  */
backend_t *backends_get (backends_t *backends, backend_handle_t handle);
/* Returns the handle of an endpoint.  */
backend_handle_t backends_get_handle (const backends_t *backends,
                                      const backend_t *backend);

/* Takes a data centre out of service, or back in.  Endpoints of a data centre
   that is out get no new requests.  */
void backends_set_data_centre_out (backends_t *backends,
                                   const char *data_centre, bool out);
bool backends_is_data_centre_out (const backends_t *backends,
                                  const char *data_centre);

/* Whether the endpoint is in this instance's data centre.  */
bool backend_is_local (const backends_t *backends, const backend_t *backend);
/* Whether the endpoint is still warming up.  */
bool backend_is_cold (const backend_t *backend, clock_ms_t now);

/* ---- Results of probes and requests ---- */

/* Records the result of a probe.  @load is the load that the endpoint
   reported, or NULL; @warmup_left_ms is its remaining warm-up time.  */
void backend_record_probe (backend_t *backend, backend_health_t health,
                           const backend_load_t *load,
                           clock_ms_t warmup_left_ms, clock_ms_t now);
/* Records the load that the endpoint reported in a response.  */
void backend_record_load (backend_t *backend, const backend_load_t *load,
                          clock_ms_t now);
/* Updates the failure rate after an attempt.  @is_failure: the endpoint failed
   instead of sending a complete response.  */
void backend_record_result (backend_t *backend, bool is_failure,
                            clock_ms_t now);
/* Returns the share of attempts that failed (EWMA, 0 to 1).  The share decays
   while no attempt ends.  */
double backend_failure_rate (const backend_t *backend, clock_ms_t now);

/**
 * backend_record_duration() - record how long a request took at an endpoint,
 * or has taken so far
 * @expected: expected response time in ms, from estimate_response_time()
 * @duration: actual time in ms
 * @is_complete: true if the request was answered; false if it is still in
 *   progress, so that @duration can only raise the slowdown
 */
void backend_record_duration (backend_t *backend, double expected,
                              clock_ms_t duration, bool is_complete,
                              clock_ms_t now);
/* Returns the factor by which requests take longer than expected (EWMA), at
   least 1.  The factor decays while no duration is recorded.  It does not
   include the slowdown that the endpoint itself reports, which is part of the
   expected time.  */
double backend_slowdown (const backend_t *backend, clock_ms_t now);

/* Records that an endpoint has stated that it is leaving.  @is_own: in a
   response to this instance, not to another one.  Return: whether that is new.
 */
bool backend_record_leaving (backend_t *backend, bool is_own, clock_ms_t now);

/* ---- Rate limit of cold endpoints, shared by the instances ---- */

/**
 * backends_set_instances() - set the instances that share the rate limit of
 * cold endpoints
 * @names: names of the known instances, including this one
 */
void backends_set_instances (backends_t *backends, const char *const *names,
                             int count);

/* Returns the number of instances that was set last, at least 1.  */
int backends_instance_count (const backends_t *backends);

/* Returns the weight of an instance for an endpoint in rendezvous hashing.  */
uint32_t backends_rendezvous_weight (const char *instance,
                                     const char *endpoint);

/**
 * backends_can_send_to_cold() - whether this instance may send a request to a
 * cold endpoint
 *
 * Rendezvous hashing assigns each cold endpoint to a few instances.  Each of
 * them sends at most one request a second, so that their total stays within
 * the service's limit although the instances exchange no messages about it.
 */
bool backends_can_send_to_cold (backends_t *backends, backend_t *backend,
                                clock_ms_t now);

#endif
