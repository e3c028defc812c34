#ifndef PERIDOT_BALANCE_BACKENDS_H
#define PERIDOT_BALANCE_BACKENDS_H

/* Table of the endpoints of all services, with their entries in the store, the
   health and load that probes and responses report, and the limits for sending
   requests to them.  */

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "decide.h"

/* Handle of a table entry.  The generation tells an endpoint from a later one
   in the same slot of the table, so that a stale handle is not resolved.  */
typedef struct backend_ref
{
  uint32_t index;
  uint32_t generation;
} backend_ref_t;

typedef int service_ref_t;

/* Entry of an endpoint in the store.  */
typedef struct backend_entry
{
  char *id;
  char *service;
  char *data_centre;
  char *software; /* version of its software; NULL: not stated */
  struct sockaddr_in address;
  uint32_t slots;
  bool draining;
  clock_ms_t cold;   /* ms of warm-up left at the time of the entry */
  uint64_t born;     /* time of its start, Unix ms; 0: not stated */
  uint64_t revision; /* store revision of the entry */
} backend_entry_t;

/* Load as an endpoint reports it.  */
typedef struct backend_load
{
  uint32_t running;
  uint32_t waiting;
  uint32_t slots;
  uint32_t slowdown_percent; /* slowdown; duration of requests, per cent of
                                normal (100) */
} backend_load_t;

typedef enum backend_health
{
  BACKEND_UNKNOWN,
  BACKEND_HEALTHY,
  BACKEND_UNHEALTHY,   /* reports that it is draining or failing */
  BACKEND_UNREACHABLE, /* refused the connection or did not respond */
  BACKEND_ID_MISMATCH  /* another endpoint responds at this address */
} backend_health_t;

typedef struct backend
{
  backend_entry_t entry;
  uint32_t index; /* position in the table */
  uint32_t generation;
  bool in_use;  /* the slot of the table holds an endpoint */
  bool removed; /* no longer in the store, kept while in use */
  service_ref_t service;
  clock_ms_t cold_until;
  backend_health_t health;
  clock_ms_t health_checked_at;
  clock_ms_t backoff_until; /* end of the backoff after failed probes */
  uint32_t consecutive_failures;
  backend_load_t load;
  clock_ms_t load_reported_at; /* time of the last report of @load; 0: never */
  uint32_t in_flight;          /* requests of this instance in progress */
  double failure_rate;         /* share of requests that failed (EWMA) */
  clock_ms_t failure_rate_at;  /* time of its last update */
  double slowdown;             /* actual time by expected time (EWMA) */
  clock_ms_t slowdown_at;
  clock_ms_t cold_sent_at;      /* last send while cold, by this instance */
  uint32_t sender_rank_version; /* instances_version of @sender_rank */
  int sender_rank;   /* instances that take precedence when it is cold */
  uint32_t affinity; /* rendezvous weight for this instance */
} backend_t;

typedef struct service
{
  char *name;
  char *health_path;
  int connections_max;
  double cold_per_s; /* limit for a cold endpoint, requests per second */
  double full_load_slowdown; /* with nearly all slots in use, at least 1 */
  void *user;                /* opaque pointer of the proxy */
} service_t;

typedef struct backends backends_t;

backends_t *backends_new (const char *own_name, const char *own_data_centre);
void backends_free (backends_t *backends);

/* Finds the service with this name, or adds it.  */
service_ref_t backends_ensure_service (backends_t *backends, const char *name);
service_t *backends_service_get (backends_t *backends, service_ref_t service);
int backends_service_count (const backends_t *backends);

/**
 * backends_put() - add or update an endpoint from its entry in the store
 *
 * An entry with an older revision than the known one is ignored.  An endpoint
 * that was restarted under the same id is added as a new one.
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
backend_t *backends_get (backends_t *backends, backend_ref_t ref);
backend_ref_t backends_ref (const backends_t *backends,
                            const backend_t *backend);

/* Takes a data centre out of service, or back in.  Endpoints of a data centre
   that is out get no new requests.  */
void backends_set_data_centre_out (backends_t *backends,
                                   const char *data_centre, bool out);
bool backends_is_data_centre_out (const backends_t *backends,
                                  const char *data_centre);

bool backend_is_local (const backends_t *backends, const backend_t *backend);
bool backend_is_cold (const backend_t *backend, clock_ms_t now);

/* ---- Results of probes and requests ---- */

/* Records the result of a probe.  @load may be NULL; @cold is the remaining
   warm-up in ms.  */
void backend_record_probe (backend_t *backend, backend_health_t health,
                           const backend_load_t *load, clock_ms_t cold,
                           clock_ms_t now);
/* Records the load that a response of the endpoint reported.  */
void backend_record_load (backend_t *backend, const backend_load_t *load,
                          clock_ms_t now);
/* Records the end of a request, with a complete response or a failure of the
   endpoint.  */
void backend_record_result (backend_t *backend, bool is_failure,
                            clock_ms_t now);
/* Share of failed requests (EWMA), which decays while no request is sent.  */
double backend_failure_rate (const backend_t *backend, clock_ms_t now);

/**
 * backend_record_duration() - record how long a request took at an endpoint,
 * or has taken so far
 * @expected: expected response time in ms, from estimate_response_time()
 * @duration: actual time in ms
 * @is_complete: the request was answered; one in progress can only raise the
 * slowdown
 */
void backend_record_duration (backend_t *backend, double expected,
                              clock_ms_t duration, bool is_complete,
                              clock_ms_t now);
/* Factor by which requests take longer than expected (EWMA), at least 1.  It
   decays while no request is sent.  The load that an endpoint reports does not
   include it.  */
double backend_slowdown (const backend_t *backend, clock_ms_t now);

/* ---- Rate limit of cold endpoints, shared by the instances ---- */

/**
 * backends_set_instances() - set the instances that share the rate limit of
 * cold endpoints
 * @names: names of the known instances, including this one
 */
void backends_set_instances (backends_t *backends, const char *const *names,
                             int count);

/**
 * backends_can_send_to_cold() - whether this instance may send a request to a
 * cold endpoint
 *
 * Rendezvous hashing assigns each cold endpoint to a few instances.  Each of
 * them sends at most one request a second, so that the sum stays within the
 * service's limit without a message for each request.
 */
bool backends_can_send_to_cold (backends_t *backends, backend_t *backend,
                                clock_ms_t now);

#endif
