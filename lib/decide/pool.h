#ifndef PERIDOT_DECIDE_POOL_H
#define PERIDOT_DECIDE_POOL_H

/* Owner's side of one pool: exact grants for each endpoint and a queue of
   requests ordered by priority, then deadline.

   Callbacks run inside the calls below and must not call into the same pool:
   the node queues messages to its own instance and delivers them after the
   call has returned.  */

#include "decide.h"

typedef struct pool pool_t;

typedef struct pool_endpoint
{
  decide_id_t id;
  uint32_t slots;
  bool out; /* no new grants */
  clock_ms_t
      grants_blocked_until; /* no grant before this time; 0: none.  For an
                     endpoint that another pool may still have granted */
} pool_endpoint_t;

typedef struct pool_settings
{
  decide_id_t id;
  clock_ms_t run_ms; /* longest run of one use */
  uint32_t queue_max;
  bool out; /* data centre is out: no new grants */
  uint32_t endpoint_count;
  pool_endpoint_t endpoints[DECIDE_POOL_ENDPOINTS_MAX];
} pool_settings_t;

/* The messages are complete but for the type: pool, request, grant, endpoint,
   run_ms, lend_ms, wait_ms, reason, free and queued are set as far as they
   apply.  */
typedef struct pool_callbacks
{
  void *context;
  /* GRANT; wait_ms is the time that the request waited at the owner.  With
     lend_ms and queued above 0, further uses are for requests of the holder
     that wait in this pool and have at least the given priority.  */
  void (*granted) (void *context, decide_id_t holder,
                   const decide_msg_grant_t *msg);
  void (*queued) (void *context, decide_id_t holder,
                  const decide_msg_grant_t *msg);
  void (*refused) (void *context, decide_id_t holder,
                   const decide_msg_grant_t *msg);
  void (*recall) (void *context, decide_id_t holder,
                  const decide_msg_grant_t *msg);
  /* Ends in pool_handle_probe_result().  */
  void (*probe) (void *context, decide_id_t pool, decide_id_t endpoint);
} pool_callbacks_t;

/**
 * pool_new() - create a pool; it grants nothing before pool_resume()
 * @first_grant: number of the first grant; random, so that grants of earlier
 *   owners and processes are not confused with this one's
 *
 * Return: the pool with all endpoints cold, or NULL when out of memory.
 */
pool_t *pool_new (const pool_settings_t *settings,
                  const pool_callbacks_t *callbacks, uint64_t first_grant,
                  clock_ms_t now);
void pool_free (pool_t *pool);

/**
 * pool_configure() - apply changed settings
 *
 * Endpoints that stay keep their state.  A removed endpoint is remembered
 * until its last grant has ended.
 *
 * Return: 0, or -ENOMEM with the old settings in force.
 */
int pool_configure (pool_t *pool, clock_ms_t now,
                    const pool_settings_t *settings);

/**
 * pool_request() - GRANT_REQUEST of a holder
 * @msg: request, priority, left_ms, run_ms (at most the pool's is granted)
 *   and lend_ms (0 when the holder wants one use only)
 *
 * Exactly one of granted, queued or refused is called; a queued request ends
 * in granted, refused or pool_cancel().
 */
void pool_request (pool_t *pool, clock_ms_t now, decide_id_t holder,
                   const decide_msg_grant_t *msg);

/**
 * pool_cancel() - GRANT_CANCEL
 *
 * Ends a waiting request or the grant that answered it.  The holder must not
 * use that grant any more.
 */
void pool_cancel (pool_t *pool, clock_ms_t now, decide_id_t holder,
                  uint64_t request);

/**
 * pool_release() - RELEASE; a grant that is not known is ignored
 * @msg: with keep set, the grant stays in use and only the end is counted
 */
void pool_release (pool_t *pool, clock_ms_t now, decide_id_t holder,
                   const decide_msg_release_t *msg);

void pool_handle_probe_result (pool_t *pool, clock_ms_t now,
                               decide_id_t endpoint, bool ok,
                               clock_ms_t latency_ms,
                               const decide_load_t *load);

/**
 * pool_tick() - expire grants, refuse late requests, start probes
 * Return: the next time in ms at which something is due, or INT64_MAX.
 */
clock_ms_t pool_tick (pool_t *pool, clock_ms_t now);

/* Drops the waiting requests of a holder.  Its grants stay until they are
   released or expire, since their uses may still run.  */
void pool_holder_gone (pool_t *pool, clock_ms_t now, decide_id_t holder);

/* Makes all endpoints cold.  */
void pool_start_cold (pool_t *pool, clock_ms_t now);

/* Stops granting and refuses all waiting requests.  Grants that are
   outstanding stay counted; the lent ones are recalled.  */
void pool_suspend (pool_t *pool, clock_ms_t now);
void pool_resume (pool_t *pool, clock_ms_t now);
bool pool_is_suspended (const pool_t *pool);

/* Grants that have neither been released nor expired.  */
uint32_t pool_grant_count (const pool_t *pool);

/**
 * pool_export_grants() - outstanding grants for a handover
 * @from: index of the first one, for parts
 * Return: number written to @grants, at most @max.
 */
uint32_t pool_export_grants (const pool_t *pool, clock_ms_t now, uint32_t from,
                             decide_handover_grant_t *grants, uint32_t max);

/**
 * pool_import_grant() - count a grant of the previous owner
 * Return: 0 (also when it is known already or has no time left), or -ENOMEM.
 */
int pool_import_grant (pool_t *pool, clock_ms_t now,
                       const decide_handover_grant_t *grant);

/**
 * pool_export_limits() - warm and draining endpoints for a handover
 * Return: number written to @limits, at most @max.
 */
uint32_t pool_export_limits (const pool_t *pool,
                             decide_handover_limit_t *limits, uint32_t max);

/* Goes on with the previous owner's limit; unknown endpoints are ignored.  */
void pool_import_limit (pool_t *pool, clock_ms_t now,
                        const decide_handover_limit_t *limit);

void pool_get_load (const pool_t *pool, decide_pool_load_t *load);

typedef struct pool_endpoint_view
{
  decide_id_t id;
  uint32_t slots;
  uint32_t limit;
  uint32_t in_flight; /* outstanding grants */
  bool cold;
  bool draining;
  bool suspended;
  bool out;
} pool_endpoint_view_t;

/**
 * pool_get_endpoint() - state of one endpoint
 * @index: 0 up, in the order of the settings
 * Return: 0, or -ENOENT past the last one.
 */
int pool_get_endpoint (const pool_t *pool, uint32_t index,
                       pool_endpoint_view_t *view);

#endif
