#ifndef PERIDOT_DECIDE_POOL_H
#define PERIDOT_DECIDE_POOL_H

/* A pool controls admission to a set of endpoints of a service in one data
   centre.  The pool's owner issues the grants for attempts at an endpoint,
   counts the outstanding grants exactly, and keeps waiting requests in a queue
   that is ordered by priority, then deadline.

   Callbacks run inside the calls below and must not call functions of the same
   pool.  The node therefore queues messages to its own instance and delivers
   them after the call has returned.  */

#include "decide.h"

typedef struct pool pool_t;

typedef struct pool_endpoint
{
  decide_id_t id;
  uint32_t slots; /* maximum number of concurrent attempts */
  bool out;       /* out of service: it gets no new grants */
  /* Time in ms before which no grant on the endpoint is issued, since another
     pool may still have grants on it; 0 if it is not blocked.  */
  clock_ms_t grants_blocked_until;
} pool_endpoint_t;

typedef struct pool_settings
{
  decide_id_t id;
  clock_ms_t run_ms;  /* maximum duration of one attempt, in ms */
  uint32_t queue_max; /* maximum number of waiting requests */
  bool out;           /* the data centre is out of service: no new grants */
  uint32_t endpoint_count;
  pool_endpoint_t endpoints[DECIDE_POOL_ENDPOINTS_MAX];
} pool_settings_t;

/* Each callback except @probe sends a message to @holder, the instance that
   requested the grant.  The pool sets the fields of @msg that
   decide_msg_grant_t lists for the type of the message; the callback adds that
   type.  */
typedef struct pool_callbacks
{
  void *context;
  /* Sends GRANT; wait_ms is the time that the request waited at the owner.
     When lend_ms and queued are above 0, the holder may reuse the grant only
     for requests of its own that wait in this pool and are at least as urgent
     as @msg's priority.  */
  void (*granted) (void *context, decide_id_t holder,
                   const decide_msg_grant_t *msg);
  /* These three send QUEUED, REFUSED and RECALL.  */
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
 * @settings: copied
 * @callbacks: copied; every function must be set
 * @first_grant: number of the first grant; the caller passes a random one, so
 *   that grants of earlier owners and processes are not mistaken for grants of
 *   this pool
 * @now: time in ms
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
 * Endpoints that stay in the settings keep their state.  An endpoint that is
 * no longer in them gets no new grants and is removed when its last grant
 * ends.
 *
 * Return: 0, or -ENOMEM, in which case the old settings remain.
 */
int pool_configure (pool_t *pool, clock_ms_t now,
                    const pool_settings_t *settings);

/**
 * pool_handle_grant_request() - handle GRANT_REQUEST of a holder
 * @msg: the fields request, priority, left_ms, run_ms and lend_ms are used; a
 *   run_ms of 0 or above the pool's run_ms is replaced by the pool's; a
 *   lend_ms of 0 requests a grant for one attempt only
 *
 * Calls exactly one of the callbacks granted, queued and refused for the
 * request.  A queued request later ends by granted, refused,
 * pool_handle_grant_cancel() or pool_drop_holder_requests().
 */
void pool_handle_grant_request (pool_t *pool, clock_ms_t now,
                                decide_id_t holder,
                                const decide_msg_grant_t *msg);

/**
 * pool_handle_grant_cancel() - handle GRANT_CANCEL of a holder
 * @request: number of the grant request, which the holder chose
 *
 * Removes the waiting request, or the grant that was issued for it.  The
 * holder must not use that grant any more.
 */
void pool_handle_grant_cancel (pool_t *pool, clock_ms_t now,
                               decide_id_t holder, uint64_t request);

/**
 * pool_handle_release() - handle RELEASE of a holder
 * @msg: results of one or more attempts under the grant
 *
 * Records the results.  Unless keep is set in @msg, the grant ends as well.
 * A message about an unknown grant is ignored.
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
 * pool_tick() - expire grants, refuse infeasible requests, start probes
 *
 * A waiting request is refused as soon as it can no longer meet its deadline.
 *
 * Return: time in ms at which the next call is due, or INT64_MAX.
 */
clock_ms_t pool_tick (pool_t *pool, clock_ms_t now);

/* Removes the waiting requests of a holder that is no longer reachable.  Its
   grants stay until they are released or expire, since their attempts may
   still run.  */
void pool_drop_holder_requests (pool_t *pool, clock_ms_t now,
                                decide_id_t holder);

/* Marks all endpoints as cold: each starts again with a limit of 1.  */
void pool_set_cold (pool_t *pool, clock_ms_t now);

/* Stops granting and refuses all waiting requests.  Outstanding grants stay
   counted; reusable ones are recalled.  */
void pool_suspend (pool_t *pool, clock_ms_t now);
/* Allows grants again; a new pool is suspended until this is called.  */
void pool_resume (pool_t *pool, clock_ms_t now);
bool pool_is_suspended (const pool_t *pool);

/* Returns the number of grants that are neither released nor expired.  */
uint32_t pool_grant_count (const pool_t *pool);

/**
 * pool_export_grants() - list outstanding grants for a handover to another
 * owner
 * @from: index of the first grant to write, from 0, so that a long list can be
 *   exported in parts
 *
 * Return: number of grants written to @grants, at most @max.
 */
uint32_t pool_export_grants (const pool_t *pool, clock_ms_t now, uint32_t from,
                             decide_handover_grant_t *grants, uint32_t max);

/**
 * pool_import_grant() - count a grant that the previous owner issued
 *
 * A grant that is known already or has no time left is ignored.
 *
 * Return: 0, also for an ignored grant, or -ENOMEM.
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

/* Gets the pool's numbers of free slots and of waiting requests, each limited
   to UINT16_MAX.  */
void pool_get_load (const pool_t *pool, decide_pool_load_t *load);

/* State of one endpoint for status reports.  */
typedef struct pool_endpoint_view
{
  decide_id_t id;
  uint32_t slots;     /* configured maximum of concurrent attempts */
  uint32_t limit;     /* number of slots that may be in use now */
  uint32_t in_flight; /* number of outstanding grants */
  bool cold;          /* in slow start */
  bool draining;
  bool suspended; /* failed; gets no grants until a probe succeeds */
  bool out;       /* it or its data centre is out of service */
} pool_endpoint_view_t;

/**
 * pool_get_endpoint() - get the state of one endpoint
 * @index: index of the endpoint in the settings, from 0
 *
 * Return: 0, or -ENOENT if @index is past the last endpoint.
 */
int pool_get_endpoint (const pool_t *pool, uint32_t index,
                       pool_endpoint_view_t *view);

#endif
