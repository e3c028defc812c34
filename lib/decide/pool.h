#ifndef PERIDOT_DECIDE_POOL_H
#define PERIDOT_DECIDE_POOL_H

/* A pool controls admission to a set of endpoints.  Its owner issues a grant
   for each use of an endpoint, counts the outstanding grants exactly, and
   keeps waiting requests in a queue that is ordered by priority, then
   deadline.

   Callbacks run inside the calls below and must not call into the same pool:
   the node queues messages to its own instance and delivers them after the
   call has returned.  */

#include "decide.h"

typedef struct pool pool_t;

typedef struct pool_endpoint
{
  decide_id_t id;
  uint32_t slots; /* maximum number of concurrent uses */
  bool out;       /* out of service: it gets no new grants */
  /* Time in ms before which no grant is made, since another pool may still
     have grants on the endpoint; 0 for no such time.  */
  clock_ms_t grants_blocked_until;
} pool_endpoint_t;

typedef struct pool_settings
{
  decide_id_t id;
  clock_ms_t run_ms;  /* longest run time of one use, in ms */
  uint32_t queue_max; /* maximum number of waiting requests */
  bool out;           /* the data centre is out of service: no new grants */
  uint32_t endpoint_count;
  pool_endpoint_t endpoints[DECIDE_POOL_ENDPOINTS_MAX];
} pool_settings_t;

/* Each callback sends a message to the holder, the instance that requested the
   grant.  The pool sets those of pool, request, grant, endpoint, run_ms,
   lend_ms, wait_ms, reason, free and queued that apply; the callback adds the
   message type.  */
typedef struct pool_callbacks
{
  void *context;
  /* Sends GRANT; wait_ms is the time that the request waited at the owner.
     When lend_ms and queued are above 0, the holder may reuse the grant only
     for its requests that wait in this pool and have at least the given
     priority.  */
  void (*granted) (void *context, decide_id_t holder,
                   const decide_msg_grant_t *msg);
  void (*queued) (void *context, decide_id_t holder,
                  const decide_msg_grant_t *msg);
  void (*refused) (void *context, decide_id_t holder,
                   const decide_msg_grant_t *msg);
  void (*recall) (void *context, decide_id_t holder,
                  const decide_msg_grant_t *msg);
  /* Starts a probe, whose result is passed to pool_handle_probe_result().  */
  void (*probe) (void *context, decide_id_t pool, decide_id_t endpoint);
} pool_callbacks_t;

/**
 * pool_new() - create a pool that grants nothing before pool_resume()
 * @first_grant: ID of the first grant; it is random, so that grants of
 *   earlier owners and processes are not mistaken for grants of this pool
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
 * Endpoints that stay in the settings keep their state.  A removed endpoint
 * is kept until its last grant has ended.
 *
 * Return: 0, or -ENOMEM, in which case the old settings stay in force.
 */
int pool_configure (pool_t *pool, clock_ms_t now,
                    const pool_settings_t *settings);

/**
 * pool_handle_grant_request() - handle GRANT_REQUEST of a holder
 * @msg: request, priority, left_ms, run_ms (the pool's run_ms is the maximum)
 *   and lend_ms (0 when the holder wants a grant for one use only)
 *
 * Calls exactly one of granted, queued and refused for the request.  A queued
 * request later ends with granted, refused or pool_handle_grant_cancel().
 */
void pool_handle_grant_request (pool_t *pool, clock_ms_t now,
                                decide_id_t holder,
                                const decide_msg_grant_t *msg);

/**
 * pool_handle_grant_cancel() - handle GRANT_CANCEL of a holder
 *
 * Removes the waiting request, or the grant that was issued for it.  The
 * holder must not use that grant any more.
 */
void pool_handle_grant_cancel (pool_t *pool, clock_ms_t now,
                               decide_id_t holder, uint64_t request);

/**
 * pool_handle_release() - handle RELEASE of a holder
 * @msg: ends of one or more uses; with keep set, they are recorded and the
 *   grant stays outstanding
 *
 * An unknown grant is ignored.
 */
void pool_handle_release (pool_t *pool, clock_ms_t now, decide_id_t holder,
                          const decide_msg_release_t *msg);

/**
 * pool_handle_probe_result() - handle the result of a probe
 * @ok: whether the probe succeeded
 * @latency_ms: ignored
 * @load: load report of the backend server; used only if the probe succeeded
 *
 * The result is ignored unless a probe of the endpoint is under way.
 */
void pool_handle_probe_result (pool_t *pool, clock_ms_t now,
                               decide_id_t endpoint, bool ok,
                               clock_ms_t latency_ms,
                               const decide_load_t *load);

/**
 * pool_tick() - expire grants, refuse late requests, start probes
 *
 * A waiting request is refused as soon as it cannot meet its deadline.
 *
 * Return: time in ms at which the next call is due, or INT64_MAX.
 */
clock_ms_t pool_tick (pool_t *pool, clock_ms_t now);

/* Drops the waiting requests of a holder that has gone.  Its grants stay until
   they are released or expire, since their uses may still run.  */
void pool_drop_holder_requests (pool_t *pool, clock_ms_t now,
                                decide_id_t holder);

/* Takes all endpoints as cold: each starts again with a limit of 1.  */
void pool_set_cold (pool_t *pool, clock_ms_t now);

/* Stops granting and refuses all waiting requests.  Outstanding grants stay
   counted; reusable ones are recalled.  */
void pool_suspend (pool_t *pool, clock_ms_t now);
void pool_resume (pool_t *pool, clock_ms_t now);
bool pool_is_suspended (const pool_t *pool);

/* Returns the number of grants that are neither released nor expired.  */
uint32_t pool_grant_count (const pool_t *pool);

/**
 * pool_export_grants() - list outstanding grants for a handover to another
 * owner
 * @from: index of the first grant to write, so that a long list can be
 *   exported in parts
 * Return: number of grants written to @grants, at most @max.
 */
uint32_t pool_export_grants (const pool_t *pool, clock_ms_t now, uint32_t from,
                             decide_handover_grant_t *grants, uint32_t max);

/**
 * pool_import_grant() - count a grant that the previous owner issued
 * Return: 0, or -ENOMEM.  A grant that is known already or has no time left is
 *   ignored, with 0 returned.
 */
int pool_import_grant (pool_t *pool, clock_ms_t now,
                       const decide_handover_grant_t *grant);

/**
 * pool_export_limits() - list limits of warm and draining endpoints
 *
 * The list is for a handover to another owner.
 *
 * Return: number of limits written to @limits, at most @max.
 */
uint32_t pool_export_limits (const pool_t *pool,
                             decide_handover_limit_t *limits, uint32_t max);

/* Adopts the previous owner's limit of an endpoint; a limit of an unknown
   endpoint is ignored.  */
void pool_import_limit (pool_t *pool, clock_ms_t now,
                        const decide_handover_limit_t *limit);

/* Gets the number of free slots and of waiting requests.  */
void pool_get_load (const pool_t *pool, decide_pool_load_t *load);

typedef struct pool_endpoint_view
{
  decide_id_t id;
  uint32_t slots;
  uint32_t limit;     /* slots that may be in use now */
  uint32_t in_flight; /* outstanding grants */
  bool cold;
  bool draining;
  bool suspended;
  bool out;
} pool_endpoint_view_t;

/**
 * pool_get_endpoint() - get the state of one endpoint
 * @index: index of the endpoint in the settings, from 0
 * Return: 0, or -ENOENT if @index is past the last endpoint.
 */
int pool_get_endpoint (const pool_t *pool, uint32_t index,
                       pool_endpoint_view_t *view);

#endif
