#ifndef PERIDOT_DECIDE_POOL_STATE_H
#define PERIDOT_DECIDE_POOL_STATE_H

/* State of a pool, shared by pool.c (settings, handover, status) and
   pool_grant.c (requests and grants).  */

#include "limit.h"
#include "pool.h"
#include "pool_queue.h"

/* Time for which a grant stays counted after its attempt was aborted, since
   the backend server learns of the closed connection one network delay
   later.  */
#define POOL_LINGER_MS 20
/* Retry-after time of a refusal when there is no estimate.  */
#define POOL_DEFAULT_RETRY_AFTER_MS 100
/* A recall may be lost, so it is repeated at this interval while requests
   wait.  */
#define POOL_RECALL_RETRY_MS 100
/* A probe without a result after this time counts as failed.  */
#define POOL_PROBE_TIMEOUT_MS 2000

/* An endpoint of the pool.  */
typedef struct pool_member
{
  pool_endpoint_t settings;
  bool configured; /* false: not in the settings; kept until its last grant
                      ends */
  limit_t limit;
  uint32_t in_flight; /* number of outstanding grants */
} pool_member_t;

/* An outstanding grant.  Times are in ms.  */
typedef struct pool_grant
{
  uint64_t id;
  uint64_t request; /* number of the holder's grant request; 0 if imported */
  decide_id_t holder;
  decide_id_t endpoint;
  clock_ms_t granted_at;
  clock_ms_t expires_at;
  clock_ms_t recalled_at; /* time of the last RECALL */
  /* Start of the attempt whose time in the slot is being measured.  */
  clock_ms_t attempt_started_at;
  bool reusable;        /* several attempts may start under the grant */
  bool only_for_queued; /* reusable only for requests that wait in this pool */
  bool recalled;        /* a RECALL was sent */
  bool lingering;       /* released, but the attempt may still run */
} pool_grant_t;

struct pool
{
  pool_settings_t settings;
  pool_callbacks_t callbacks;
  bool suspended;      /* no grants are issued until pool_resume() */
  uint64_t next_grant; /* number of the next grant */
  uint32_t member_count;
  uint32_t member_max; /* number of entries allocated at @members */
  /* The configured endpoints in the order of the settings, then the removed
     ones.  */
  pool_member_t *members;
  uint32_t grant_count;
  uint32_t grant_max;   /* number of entries allocated at @grants */
  pool_grant_t *grants; /* in no particular order */
  pool_queue_t queue;
  /* Moving average of the time that one attempt occupies a slot, in 1/16 ms; 0
     without a sample.  */
  int64_t hold_time_sixteenths;
  bool probing; /* a probe is under way; only one runs at a time */
  decide_id_t probed_endpoint;
  clock_ms_t probe_started_at; /* in ms */
};

/* Returns the endpoint's entry, or NULL.  */
pool_member_t *pool_find_member (const pool_t *pool, decide_id_t endpoint);
/* Returns whether new grants may be issued for the endpoint, without regard to
   its limit.  */
bool pool_member_is_available (const pool_t *pool, const pool_member_t *member,
                               clock_ms_t now);
/* Returns the sum of the current limits of all available endpoints.  */
uint32_t pool_capacity (const pool_t *pool, clock_ms_t now);
/* Refuses all waiting requests for the given reason.  */
void pool_refuse_all (pool_t *pool, clock_ms_t now, decide_reason_t reason);
/* Recalls reusable grants on endpoints that are over their limit or not
   available.  */
void pool_recall_surplus (pool_t *pool, clock_ms_t now);
/* Issues grants to waiting requests as far as slots are free, and refuses
   those that can no longer meet their deadline.  */
void pool_dispatch (pool_t *pool, clock_ms_t now);

#endif
