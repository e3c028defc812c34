#ifndef PERIDOT_DECIDE_POOL_STATE_H
#define PERIDOT_DECIDE_POOL_STATE_H

/* State of a pool, shared by pool.c (settings, handover, views) and
   pool_grant.c (requests and grants).  */

#include "limit.h"
#include "pool.h"
#include "pool_queue.h"

/* A grant whose attempt was cut off stays counted this long: the backend
   server learns of the closed connection one delay later.  */
#define POOL_SETTLE_MS 20
/* Retry-after of a refusal without a better estimate.  */
#define POOL_RETRY_MS 100
/* A recall may be lost; it is repeated while requests wait.  */
#define POOL_RECALL_AGAIN_MS 100
/* A probe without a result after this time has failed.  */
#define POOL_PROBE_TIMEOUT_MS 2000

typedef struct pool_member
{
  pool_endpoint_t settings;
  bool configured; /* false: removed, kept for its last grants */
  limit_t limit;
  uint32_t in_flight;
} pool_member_t;

typedef struct pool_grant
{
  uint64_t id;
  uint64_t request;
  decide_id_t holder;
  decide_id_t endpoint;
  clock_ms_t granted_at;
  clock_ms_t expires_at;
  clock_ms_t recalled_at;
  clock_ms_t used_from; /* start of the use that is measured */
  bool lent;
  bool chained; /* lent for requests of the same queue */
  bool recalled;
  bool settling; /* released, but the attempt may still run */
} pool_grant_t;

struct pool
{
  pool_settings_t settings;
  pool_callbacks_t callbacks;
  bool suspended;
  uint64_t next_grant;
  uint32_t member_count;
  uint32_t member_max;
  pool_member_t *members; /* configured ones first, in settings order */
  uint32_t grant_count;
  uint32_t grant_max;
  pool_grant_t *grants;
  pool_queue_t queue;
  /* Moving average of the time that one use takes a slot, in 1/16 ms.  */
  int64_t hold_16;
  bool probing;
  decide_id_t probed;
  clock_ms_t probe_started;
};

pool_member_t *pool_find_member (const pool_t *pool, decide_id_t endpoint);
/* Whether new grants may be made on the endpoint at all.  */
bool pool_member_open (const pool_t *pool, const pool_member_t *member,
                       clock_ms_t now);
/* Slots that the endpoints in use may take together now.  */
uint32_t pool_capacity (const pool_t *pool, clock_ms_t now);
void pool_refuse_all (pool_t *pool, clock_ms_t now, decide_reason_t reason);
/* Recalls lent grants on endpoints that are over their limit or closed.  */
void pool_recall_surplus (pool_t *pool, clock_ms_t now);
/* Serves the queue as far as slots are free.  */
void pool_dispatch (pool_t *pool, clock_ms_t now);

#endif
