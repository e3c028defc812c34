#ifndef PERIDOT_BALANCE_BACKENDS_H
#define PERIDOT_BALANCE_BACKENDS_H

/* Table of the endpoints of all services: what the store says of them, what
   probes and answers have shown, and which of them may be sent a request.  */

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "decide.h"

/* Handles stay valid as names of an entry; one that was removed since is no
   longer found.  */
typedef struct backend_ref
{
  uint32_t index;
  uint32_t generation;
} backend_ref_t;

typedef int service_ref_t;

/* What the store says of an endpoint.  */
typedef struct backend_entry
{
  char *id;
  char *service;
  char *data_centre;
  char *software; /* version of its software, NULL: not stated */
  struct sockaddr_in address;
  uint32_t slots;
  bool draining;
  clock_ms_t cold;   /* ms that it stays cold, as of the entry */
  uint64_t born;     /* Unix ms of its start; 0: not stated */
  uint64_t revision; /* store revision of the entry */
} backend_entry_t;

/* Load as an endpoint reports it.  */
typedef struct backend_load
{
  uint32_t running;
  uint32_t waiting;
  uint32_t slots;
  uint32_t pace; /* per cent of the usual time; 100: as usual */
} backend_load_t;

typedef enum backend_health
{
  BACKEND_UNKNOWN,
  BACKEND_WELL,
  BACKEND_ILL,    /* says that it is draining or failing */
  BACKEND_SILENT, /* refused or did not answer */
  BACKEND_OTHER   /* another endpoint answers at its address */
} backend_health_t;

typedef struct backend
{
  backend_entry_t entry;
  uint32_t index; /* in the table */
  uint32_t generation;
  bool used;
  bool removed; /* gone from the store, kept while in use */
  service_ref_t service;
  clock_ms_t cold_until;
  backend_health_t health;
  clock_ms_t health_at;
  clock_ms_t avoid_until; /* not probed before, after a failure */
  uint32_t silent_in_a_row;
  backend_load_t load;
  clock_ms_t load_at;   /* 0: never */
  uint32_t in_flight;   /* requests of this instance */
  double faults;        /* smoothed share of requests that failed */
  clock_ms_t faults_at; /* of the last request that counted */
  double slow;          /* smoothed times that requests take longer */
  clock_ms_t slow_at;
  clock_ms_t cold_sent_at; /* last request of this instance while cold */
  uint32_t senders_set;    /* the set of instances as of which */
  int senders_before;      /* so many go before this one while it is cold */
  uint32_t affinity;       /* orders endpoints differently on each instance */
} backend_t;

typedef struct service
{
  char *name;
  char *health_path;
  int connections_max;
  double cold_per_s;
  double crowded; /* slowdown with all slots in use, at least 1 */
  void *user;     /* of the proxy */
} service_t;

typedef struct backends backends_t;

backends_t *backends_new (const char *own_name, const char *own_data_centre);
void backends_free (backends_t *backends);

/* The service of that name, created when it is new.  */
service_ref_t backends_service (backends_t *backends, const char *name);
service_t *backends_service_get (backends_t *backends, service_ref_t service);
int backends_service_count (const backends_t *backends);

/**
 * backends_put() - apply an entry of the store
 *
 * An entry older than the one that is known is left out.  An endpoint that was
 * started again under its id counts as a new one.
 */
void backends_put (backends_t *backends, const backend_entry_t *entry,
                   clock_ms_t now);

/**
 * backends_remove() - an endpoint is gone from the store
 * Return: whether it was known.
 */
bool backends_remove (backends_t *backends, const char *id);

/* Number of endpoints.  */
int backends_count (const backends_t *backends);
/* Entries of the store in their order; NULL ends.  */
backend_t *backends_next (backends_t *backends, uint32_t *position);
backend_t *backends_find (backends_t *backends, const char *id);
backend_t *backends_get (backends_t *backends, backend_ref_t ref);
backend_ref_t backends_ref (const backends_t *backends,
                            const backend_t *backend);

/* A data centre that is taken out gets no new work.  */
void backends_take_out (backends_t *backends, const char *data_centre,
                        bool out);
bool backends_is_out (const backends_t *backends, const char *data_centre);

bool backend_is_local (const backends_t *backends, const backend_t *backend);
bool backend_is_cold (const backend_t *backend, clock_ms_t now);

/* ---- What probes and requests show ---- */

void backend_probed (backend_t *backend, backend_health_t health,
                     const backend_load_t *load, clock_ms_t cold,
                     clock_ms_t now);
/* An answer of the endpoint stated its load.  */
void backend_reported (backend_t *backend, const backend_load_t *load,
                       clock_ms_t now);
/* A request ended: whole answer or a fault of the endpoint.  */
void backend_finished (backend_t *backend, bool fault, clock_ms_t now);
/* Smoothed share of failed requests; fades while none is sent.  */
double backend_faults (const backend_t *backend, clock_ms_t now);

/**
 * backend_took() - a request took its time at an endpoint, or has taken it
 * already without an answer
 * @expected: ms, from estimate_at()
 * @ended: the request was answered; one under way can only show slowness
 */
void backend_took (backend_t *backend, double expected, clock_ms_t took,
                   bool ended, clock_ms_t now);
/* How many times longer than expected requests take there, at least 1; fades
   while none is sent.  What an endpoint says of its load does not show it.  */
double backend_slowness (const backend_t *backend, clock_ms_t now);

/* ---- Shared bound of cold endpoints ---- */

/**
 * cold_share_set() - state the instances among which cold endpoints are shared
 * @names: names of the known instances, own one included
 */
void cold_share_set (backends_t *backends, const char *const *names,
                     int count);

/**
 * cold_may_send() - whether this instance may send a request to a cold
 * endpoint
 *
 * Each cold endpoint is dealt to a few instances by rendezvous hashing, and
 * each of them sends at most one request a second, so that the sum stays
 * within the service's rate without a message for each request.
 */
bool cold_may_send (backends_t *backends, backend_t *backend, clock_ms_t now);

#endif
