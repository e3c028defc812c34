#ifndef PERIDOT_NODE_H
#define PERIDOT_NODE_H

/* Joins the aggregates of one instance.  Internal to the library.  */

#include <glib.h>

#include "catalog.h"
#include "claim.h"
#include "decide.h"
#include "keys.h"
#include "ownership.h"
#include "pool.h"
#include "router.h"

/* A pool that comes from another owner is not granted before all instances
   have learnt of the move (4 s) and the old grants have ended.  */
#define NODE_MOVE_HOLD_MS 4000

/* Pool that this instance owns, or owned while its grants last.  */
typedef struct node_pool
{
  decide_id_t id;
  pool_handle_t handle;
  pool_t *pool;
  clock_ms_t due; /* of the next pool_tick() */
  bool touched;   /* in the list of touched pools */
} node_pool_t;

/* What an owner's last heartbeat said of a pool.  */
typedef struct node_load
{
  uint16_t free;
  uint16_t queued;
  clock_ms_t seen;
} node_load_t;

typedef struct node_peer
{
  decide_id_t id;
  char name[DECIDE_NAME_MAX];
  char data_centre[DECIDE_NAME_MAX];
} node_peer_t;

/* Request with an idempotency key, until its outcome is reported.  */
typedef struct node_keyed
{
  uint64_t id;
  router_request_t request;
} node_keyed_t;

/* Message of this instance to itself.  */
typedef struct node_loop
{
  decide_msg_t msg;
} node_loop_t;

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
  GArray *peers;     /* node_peer_t */
  GHashTable *pools; /* id -> node_pool_t */
  GHashTable *loads; /* id -> node_load_t */
  GHashTable *keyed; /* request -> node_keyed_t */
  GQueue loop;       /* node_loop_t; messages to this instance */
  bool in_loop;
  uint32_t load_turn; /* first pool of the next heartbeat's loads */
  bool syncing;
  bool sync_wanted;
  bool record_seen;
  bool record_failed; /* a record of the read under way was malformed */
  clock_ms_t sync_at;
  clock_ms_t sync_started;
  clock_ms_t store_contact;
  clock_ms_t pulled_at;
  clock_ms_t stopping_at;
  bool stopping;
  bool pools_changed;
  bool synced;           /* the store was read completely once */
  GHashTable *divisions; /* of services among groups, by service and centre */
  uint64_t division_round;
  clock_ms_t pools_due; /* earliest due time of all pools */
  GPtrArray *touched;   /* node_pool_t that were called since their tick */
  /* Incarnation of the last recorded owner of each key slice, to tell a first
     owner from one that follows another.  */
  decide_id_t key_owner[DECIDE_SLICES];
  uint64_t key_incarnation[DECIDE_SLICES];
  bool key_delegated[DECIDE_SLICES];
};

/* node_pools.c */
pool_t *node_ready_pool (decide_t *node, decide_id_t pool);
pool_t *node_touch_pool (decide_t *node, decide_id_t pool);
void node_update_pools (decide_t *node);
clock_ms_t node_tick_pools (decide_t *node);
void node_fill_loads (decide_t *node, decide_msg_heartbeat_t *heartbeat);
uint32_t node_export_grants (void *context, uint32_t centre, uint32_t slice,
                             decide_handover_grant_t *grants, uint32_t max);
/* Adds the limits of the slice's endpoints.  */
void node_fill_limits (decide_t *node, decide_msg_handover_t *handover);
void node_import_grants (void *context, const decide_msg_handover_t *handover);
void node_free_pool (void *pool);
uint32_t node_pool_centre (const decide_t *node, const catalog_pool_t *pool);

/* node_keys.c */
void node_create_keys (decide_t *node, const decide_settings_t *settings);
uint32_t node_key_centre (const decide_t *node);
void node_key_slice_changed (decide_t *node, uint32_t slice,
                             ownership_change_t change);
void node_note_key_owners (decide_t *node);

/* node_requests.c */
uint32_t node_list_candidates (void *context, decide_id_t service,
                               router_candidate_t *candidates, uint32_t max);
bool node_is_usable (void *context, decide_id_t service, decide_id_t pool,
                     decide_id_t endpoint);
void node_forward (void *context, const router_forward_t *forward);
void node_refuse (void *context, const decide_refusal_t *refusal);
void node_claim_run (void *context, uint64_t request);
void node_claim_replay (void *context, uint64_t request,
                        const decide_response_t *answer);
void node_claim_refuse (void *context, const decide_refusal_t *refusal);

/* node_groups.c */
GHashTable *node_new_divisions (void);

/* Whether nothing may be granted because the store has the record of another
   group, and this one has no group object that says what it serves: both
   would grant the same slots and keys.  */
bool node_is_guarded (const decide_t *node);

/* Applies a change of groups, or of one service; @service is 0 for all.  */
void node_update_groups (decide_t *node, decide_id_t service);

/* Whether the pool belongs to this instance's group.  */
bool node_serves_pool (const decide_t *node, const catalog_pool_t *pool);

/* When this instance learned that the pool is its group's; far in the future
   when it is not, far in the past when it always was.  */
clock_ms_t node_served_since (const decide_t *node,
                              const catalog_pool_t *pool);

/* Whether this instance's group serves such requests of a service.  */
bool node_takes_request (const decide_t *node, decide_id_t service,
                         bool keyed);

/* Time in ms for which another group may still have claims of the service's
   keys that were made before the keys came to this group; 0: no more.  */
clock_ms_t node_keys_moved_ms (const decide_t *node, decide_id_t service,
                               clock_ms_t retention_ms);

/* node_messages.c */
void node_send (decide_t *node, decide_id_t to, const decide_msg_t *msg);
void node_send_grant (decide_t *node, decide_id_t to, decide_msg_type_t type,
                      const decide_msg_grant_t *grant);
void node_run_loop (decide_t *node);
bool node_has_contact (const decide_t *node);

/* node_config.c */
void node_note_loads (decide_t *node, decide_id_t pool, uint16_t free,
                      uint16_t queued);
void node_pull (decide_t *node, decide_id_t from, uint64_t revision);
void node_push (decide_t *node, decide_id_t to, uint64_t since);
void node_sync (decide_t *node);
void node_add_centres (decide_t *node);

#endif
