#ifndef PERIDOT_NODE_H
#define PERIDOT_NODE_H

/* State of one instance.  The node connects the modules of the library:
   catalog (configuration), ownership of slices, pools, router and idempotency
   keys, and passes messages between them.  Internal to the library.  */

#include <glib.h>

#include "catalog.h"
#include "claim.h"
#include "decide.h"
#include "keys.h"
#include "ownership.h"
#include "pool.h"
#include "router.h"

/* Time in which all instances learn that a service moved to another group, or
   an endpoint to another pool (4 s).  The new owner issues no grants before
   this time has passed and the previous owner's grants have ended.  */
#define NODE_MOVE_PROPAGATION_MS 4000

/* Pool that this instance owns, or one that it owned whose grants have not
   ended yet.  */
typedef struct node_pool
{
  decide_id_t id;
  pool_handle_t handle;
  pool_t *pool;
  clock_ms_t next_tick_at; /* time of the next pool_tick() */
  bool tick_pending; /* the pool was used since its last pool_tick(); it is in
                        decide_t.tick_pending */
} node_pool_t;

/* Load of a pool as its owner last reported it.  */
typedef struct node_load
{
  uint16_t free;          /* slots */
  uint16_t queued;        /* requests */
  clock_ms_t received_at; /* when this instance received the report */
} node_load_t;

/* Instance in the settings other than this one.  */
typedef struct node_peer
{
  decide_id_t id;
  char name[DECIDE_NAME_MAX];
  char data_centre[DECIDE_NAME_MAX];
} node_peer_t;

/* Request with an idempotency key that has not ended yet.  */
typedef struct node_keyed_request
{
  uint64_t id;
  router_request_t request; /* passed to the router once the claim of the key
                               has succeeded */
} node_keyed_request_t;

/* Message that this instance sends to itself.  */
typedef struct node_loopback
{
  decide_msg_t msg;
} node_loopback_t;

struct decide
{
  decide_settings_t settings;
  decide_id_t id;
  decide_callbacks_t callbacks;
  decide_rng_t rng;
  clock_ms_t now;
  catalog_t *catalog;
  ownership_t *ownership;
  router_t *router;
  keys_t *keys;
  claims_t *claims;
  GArray *peers;               /* node_peer_t */
  GHashTable *pools;           /* pool id -> node_pool_t */
  GHashTable *pool_loads;      /* pool id -> node_load_t */
  GHashTable *keyed_requests;  /* request id -> node_keyed_request_t */
  GQueue loopback;             /* node_loopback_t; messages to this instance */
  bool delivering_loopback;    /* node_deliver_loopback() is running */
  uint32_t next_load_index;    /* index of the first pool whose load the next
                                  heartbeat reports */
  bool store_read_in_progress; /* a read of the store is in progress */
  /* Another read must follow the one in progress.  */
  bool store_reread_requested;
  bool record_seen;      /* the group's ownership record was received */
  bool record_malformed; /* the read in progress returned a malformed ownership
                            record of the group */
  clock_ms_t next_store_read_at;    /* time of the next read of the store */
  clock_ms_t store_read_started_at; /* start of the last read of the store */
  clock_ms_t store_contact_at;      /* start of the last successful read of the
                                       store */
  clock_ms_t last_pull_at; /* when objects were last pulled from a peer */
  clock_ms_t stopping_at;  /* time of decide_stop() */
  bool stopping;
  bool pools_changed;  /* node_update_pools() must run */
  bool has_read_store; /* a read of the store has succeeded */
  /* Assignment of services to groups, by service and data centre.  */
  GHashTable *group_assignments;
  uint64_t assignment_generation; /* number of node_update_group_assignments()
                                     calls */
  clock_ms_t next_pool_tick_at;   /* earliest next_tick_at of all pools */
  GPtrArray *tick_pending;        /* node_pool_t whose @tick_pending is set */
  /* For each key slice, the last owner in the record that was not this
     process, or 0, and its incarnation.  get_key_origin() derives from them
     how this instance became the owner.  */
  decide_id_t previous_key_owner[DECIDE_SLICES];
  uint64_t previous_key_incarnation[DECIDE_SLICES];
  /* Key slices that this instance serves as delegate: they were handed over to
     it, and the record does not name it as their owner yet.  */
  bool key_delegated[DECIDE_SLICES];
};

/* node_pools.c */

/* Suspends or resumes a pool, depending on whether this instance may issue
   grants now.  Return: the pool if it may, else NULL.  */
pool_t *node_update_pool_suspension (decide_t *node, decide_id_t pool);

/* Updates the pool's suspension and marks the pool for the next
   node_tick_pools().  Return: the pool, which may be suspended, or NULL when
   this instance does not have it.  */
pool_t *node_get_pool_for_update (decide_t *node, decide_id_t pool);

/* Creates the pools of the slices that this instance owns or serves as
   delegate, applies changed settings, and frees the pools that it no longer
   serves and that have no grants left.  */
void node_update_pools (decide_t *node);

/* Runs the pools' timers that have expired.
   Return: the time at which the next one expires.  */
clock_ms_t node_tick_pools (decide_t *node);

/* Adds the loads of this instance's pools to a heartbeat.  */
void node_add_loads (decide_t *node, decide_msg_heartbeat_t *heartbeat);

/* Suspends the pools of a slice and copies at most @max of their grants to
   @grants.
   Return: the number of all their grants, which may be greater than @max.  */
uint32_t node_export_grants (void *context, uint32_t centre, uint32_t slice,
                             decide_handover_grant_t *grants, uint32_t max);

/* Adds the concurrency limits of the slice's endpoints to a handover.  */
void node_add_limits (decide_t *node, decide_msg_handover_t *handover);

/* Takes over the limits and grants of a handover.  */
void node_import_grants (void *context, const decide_msg_handover_t *handover);

/* Frees a node_pool_t and its pool, as GDestroyNotify of decide_t.pools.  */
void node_free_pool (void *pool);

/* Return: index of the pool's data centre in the ownership record, or
   DECIDE_NO_HANDLE when the record does not have it.  */
uint32_t node_find_pool_centre (const decide_t *node,
                                const catalog_pool_t *pool);

/* node_keys.c */
void node_create_key_modules (decide_t *node,
                              const decide_settings_t *settings);

/* Return: index of DECIDE_KEY_CENTRE in the ownership record, or
   DECIDE_NO_HANDLE when the record does not have it.  */
uint32_t node_find_key_centre (const decide_t *node);

/* Starts or stops serving the keys of a slice after a change of its owner.  */
void node_handle_key_slice_change (decide_t *node, uint32_t slice,
                                   ownership_change_t change);

/* Updates previous_key_owner and previous_key_incarnation from the ownership
   record.  */
void node_update_previous_key_owners (decide_t *node);

/* node_requests.c: callbacks of the router and of the claims */

/* Lists the pools from whose owners a grant for a service may be requested
   now.  Return: their number, at most @max.  */
uint32_t node_list_candidates (void *context, decide_id_t service,
                               router_candidate_t *candidates, uint32_t max);

/* Whether attempts may be sent to the endpoint now.  */
bool node_is_endpoint_usable (void *context, decide_id_t service,
                              decide_id_t pool, decide_id_t endpoint);

/* Passes the start of an attempt to decide_callbacks_t.forward.  */
void node_forward (void *context, const router_forward_t *forward);

/* Passes a refusal by the router to decide_callbacks_t.refuse.  If the request
   has an idempotency key, it ends the claim of the key first.  */
void node_refuse (void *context, const decide_refusal_t *refusal);

/* Passes a request to the router because the claim of its key succeeded.  */
void node_claim_run (void *context, uint64_t request);

/* Ends a request with the response that was recorded for its key.  */
void node_claim_replay (void *context, uint64_t request,
                        const decide_response_t *answer);

/* Refuses a request because the claim of its key failed.  */
void node_claim_refuse (void *context, const decide_refusal_t *refusal);

/* node_groups.c */
GHashTable *node_new_group_assignments (void);

/* Whether this instance must not issue grants, because the store has the
   ownership record of another group but no group object of this group, which
   would say what it serves.  Both groups would grant the same slots and
   keys.  */
bool node_has_group_conflict (const decide_t *node);

/* Recomputes whether this group serves a service, or with @service 0, all
   services.  It is called after a change of a service or of the groups.  */
void node_update_group_assignments (decide_t *node, decide_id_t service);

/* Whether this instance's group serves the pool.  */
bool node_serves_pool (const decide_t *node, const catalog_pool_t *pool);

/* Return: the time at which this instance learned that its group serves the
   pool; far in the future when the group does not serve it, far in the past
   when it always has.  */
clock_ms_t node_pool_served_since (const decide_t *node,
                                   const catalog_pool_t *pool);

/* Whether this instance's group serves requests of a service; @keyed selects
   requests with an idempotency key.  */
bool node_serves_request (const decide_t *node, decide_id_t service,
                          bool keyed);

/* Return: the remaining time in ms in which another group may have claims of
   the service's keys that it accepted before the keys moved to this group; 0
   when that time has passed.  */
clock_ms_t node_other_group_claims_ms (const decide_t *node,
                                       decide_id_t service,
                                       clock_ms_t retention_ms);

/* node_messages.c */

/* Sends a message to another instance, or queues it when @to is this instance
   itself.  */
void node_send (decide_t *node, decide_id_t to, const decide_msg_t *msg);
void node_send_grant (decide_t *node, decide_id_t to, decide_msg_type_t type,
                      const decide_msg_grant_t *grant);

/* Handles the queued messages of this instance to itself.  */
void node_deliver_loopback (decide_t *node);

/* Whether the store or a peer was reached within DECIDE_PEER_TIMEOUT_MS, so
   that the configuration is up to date; always true when this instance is the
   only member.  */
bool node_is_config_fresh (const decide_t *node);

/* node_config.c */

/* Stores the load of a pool that its owner has reported.  */
void node_update_load (decide_t *node, decide_id_t pool, uint16_t free,
                       uint16_t queued);

/* Requests from a peer the objects that this instance lacks; @revision is the
   one up to which the peer has every change.  */
void node_pull_objects (decide_t *node, decide_id_t from, uint64_t revision);

/* Sends a peer the objects that changed after the revision @since.  */
void node_push_objects (decide_t *node, decide_id_t to, uint64_t since);

/* Starts a read of the store, or requests another one when a read is in
   progress.  */
void node_read_store (decide_t *node);

/* Passes the data centres of all pools to the ownership module, which adds
   missing ones to the ownership record.  */
void node_add_pool_centres_to_record (decide_t *node);

#endif
