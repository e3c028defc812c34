#ifndef PERIDOT_CATALOG_H
#define PERIDOT_CATALOG_H

/* Configuration known to this instance: the objects by name with their
   revisions, and the tables of services, pools and endpoints that are built
   from them.  Revisions only increase.  */

#include "decide.h"
#include "groups.h"

/* Enough for the largest number of endpoints of a service, distributed over
   all data centres.  */
#define CATALOG_SERVICE_POOLS_MAX 96

typedef struct catalog catalog_t;

/* Index into the pool table.  */
typedef uint32_t pool_handle_t;

typedef struct catalog_endpoint
{
  decide_endpoint_t endpoint;
  decide_id_t id; /* of "service/endpoint" */
  decide_id_t service;
  pool_handle_t pool;
  bool live;         /* false once removed from its service */
  bool was_assigned; /* has been assigned to a pool */
  bool moved;        /* was in a different pool before */
} catalog_endpoint_t;

typedef struct catalog_pool
{
  decide_id_t id; /* of "service/data centre/index" */
  decide_id_t service;
  decide_id_t centre;
  char centre_name[DECIDE_NAME_MAX];
  uint32_t slice;
  uint32_t count; /* 0 once the pool is no longer used */
  endpoint_handle_t endpoints[DECIDE_POOL_ENDPOINTS_MAX];
} catalog_pool_t;

typedef struct catalog_service
{
  decide_id_t id;
  char name[DECIDE_NAME_MAX];
  char profile_name[DECIDE_NAME_MAX];
  bool live;
  /* Longest run_ms that any profile of the service has had, because grants
     made before a change may still be in use.  */
  clock_ms_t longest_run_ms;
  /* Data centre that determines which group holds the idempotency keys.  */
  char key_centre[DECIDE_NAME_MAX];
  uint32_t group_count;
  char groups[DECIDE_SERVICE_GROUPS_MAX][DECIDE_NAME_MAX];
  uint32_t pool_count;
  pool_handle_t pools[CATALOG_SERVICE_POOLS_MAX];
} catalog_service_t;

/* What an accepted object changed.  */
typedef enum catalog_change
{
  CATALOG_CHANGED_SERVICE = 1,
  CATALOG_CHANGED_PROFILE = 2,
  CATALOG_CHANGED_OUT = 4,
  CATALOG_CHANGED_RECORD = 8,
  CATALOG_CHANGED_GROUP = 16
} catalog_change_t;

catalog_t *catalog_new (void);
void catalog_free (catalog_t *catalog);

/**
 * catalog_apply() - store an object that is newer than the known one
 * @previous: revision up to which the source was complete before this object,
 *   or UINT64_MAX when the source is a read that is still in progress
 *
 * Return: a set of catalog_change_t bits; -ESTALE when an equal or newer
 * version is known; -EEXIST when the id of a name belongs to another name.
 */
int catalog_apply (catalog_t *catalog, uint64_t previous,
                   const decide_object_t *object);

/**
 * catalog_mark_synced() - record that everything up to a revision was applied
 * @previous: as for catalog_apply()
 */
void catalog_mark_synced (catalog_t *catalog, uint64_t previous,
                          uint64_t revision);

/* Whether the catalog has ever been complete up to some revision.  Before
   that, a missing object may exist without having been received yet.  */
bool catalog_has_synced (const catalog_t *catalog);

/* Revision up to which every change is known.  */
uint64_t catalog_revision (const catalog_t *catalog);

/**
 * catalog_each_since() - visit objects changed after a revision, oldest first
 * @visit: called with the object and the revision that precedes it in the
 *   sequence
 */
void catalog_each_since (const catalog_t *catalog, uint64_t since,
                         void (*visit) (void *context,
                                        const decide_msg_object_t *object),
                         void *context);

const catalog_service_t *catalog_find_service (const catalog_t *catalog,
                                               decide_id_t service);

/* Return: the service's profile, or NULL when the service is not known.  Safe
   defaults stand in for a profile that does not exist yet.  */
const decide_profile_t *catalog_profile (const catalog_t *catalog,
                                         decide_id_t service);

/* Whether the service is known, and its profile is known or does not exist.
   An instance that starts may receive a service before its profile.  */
bool catalog_is_profile_known (const catalog_t *catalog, decide_id_t service);

groups_t *catalog_groups (const catalog_t *catalog);

/**
 * catalog_group() - find the group that a service belongs to in a data centre
 * Return: its name, or NULL when there is no such service or no group has the
 *   data centre.
 */
const char *catalog_group (const catalog_t *catalog, decide_id_t service,
                           const char *centre);

/* Return: the longest run of any service in ms; 0 when there is no service. */
clock_ms_t catalog_longest_run_ms (const catalog_t *catalog);

uint32_t catalog_pool_count (const catalog_t *catalog);
const catalog_pool_t *catalog_pool (const catalog_t *catalog,
                                    pool_handle_t pool);

/* Return: the handle, or DECIDE_NO_HANDLE.  */
pool_handle_t catalog_find_pool (const catalog_t *catalog, decide_id_t pool);

uint32_t catalog_endpoint_count (const catalog_t *catalog);
const catalog_endpoint_t *catalog_endpoint (const catalog_t *catalog,
                                            endpoint_handle_t endpoint);
endpoint_handle_t catalog_find_endpoint (const catalog_t *catalog,
                                         decide_id_t endpoint);

bool catalog_centre_is_out (const catalog_t *catalog, decide_id_t centre);
bool catalog_instance_is_out (const catalog_t *catalog, decide_id_t instance);

/* Visits the names of the data centres (or, with @instances, the instances)
   that are out of service.  */
void catalog_each_out (const catalog_t *catalog, bool instances,
                       void (*visit) (void *context, const char *name),
                       void *context);

#endif
