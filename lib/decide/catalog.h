#ifndef PERIDOT_CATALOG_H
#define PERIDOT_CATALOG_H

/* Configuration known to this instance: the objects by name with their
   revisions, and the tables of services, pools and endpoints that are built
   from them.  An object is replaced only by one of a higher revision.  */

#include "decide.h"
#include "groups.h"

/* Maximum number of pools of a service.  It is enough for
   DECIDE_SERVICE_ENDPOINTS_MAX endpoints, however they are distributed over
   the data centres.  */
#define CATALOG_SERVICE_POOLS_MAX 96

typedef struct catalog catalog_t;

/* Index into the pool table.  */
typedef uint32_t pool_handle_t;

typedef struct catalog_endpoint
{
  decide_endpoint_t endpoint;
  decide_id_t id; /* of the name "service/endpoint" */
  decide_id_t service;
  pool_handle_t pool;
  bool live;         /* false once removed from its service */
  bool was_assigned; /* has ever been assigned to a pool */
  bool moved;        /* was in a different pool before */
} catalog_endpoint_t;

typedef struct catalog_pool
{
  decide_id_t id; /* of the name "service/data centre/index" */
  decide_id_t service;
  decide_id_t centre;
  char centre_name[DECIDE_NAME_MAX];
  uint32_t slice; /* index of its slice among those of the data centre */
  uint32_t count; /* number of endpoints; 0 once the pool is no longer used */
  endpoint_handle_t endpoints[DECIDE_POOL_ENDPOINTS_MAX];
} catalog_pool_t;

typedef struct catalog_service
{
  decide_id_t id;
  char name[DECIDE_NAME_MAX];
  char profile_name[DECIDE_NAME_MAX];
  bool live; /* false once the service is deleted */
  /* Longest run_ms that any profile of the service has had.  A shorter one
     does not replace it, because grants issued before may still be in use.  */
  clock_ms_t longest_run_ms;
  /* Data centre whose group holds the service's idempotency keys.  */
  char key_centre[DECIDE_NAME_MAX];
  uint32_t group_count;
  char groups[DECIDE_SERVICE_GROUPS_MAX][DECIDE_NAME_MAX];
  uint32_t pool_count;
  pool_handle_t pools[CATALOG_SERVICE_POOLS_MAX];
} catalog_service_t;

/* Kind of an accepted object, as a bit.  */
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
 * catalog_store_object() - store an object that is newer than the known one
 * @previous: a store revision; the source has no other change between it and
 *   the revision of @object; UINT64_MAX for an object of a store read that is
 *   still in progress
 *
 * Return: a set of catalog_change_t bits; -ESTALE when an equal or newer
 * version is known; -EEXIST when the id of a name belongs to another name.
 */
int catalog_store_object (catalog_t *catalog, uint64_t previous,
                          const decide_object_t *object);

/**
 * catalog_mark_synced() - record that all changes of a range of revisions were
 * received
 * @previous: start of the range; the change of this revision is not part of it
 * @revision: end of the range; the change of this revision is part of it
 */
void catalog_mark_synced (catalog_t *catalog, uint64_t previous,
                          uint64_t revision);

/* Whether the catalog has ever had all objects up to some revision.  Before
   that, an object that is not found may exist without having been received
   yet.  */
bool catalog_has_synced (const catalog_t *catalog);

/* Store revision up to which every change is known.  */
uint64_t catalog_revision (const catalog_t *catalog);

/**
 * catalog_each_object_after() - visit the objects changed after a revision,
 * oldest first
 * @since: the revision
 * @visit: called with each object whose revision is at most
 *   catalog_revision(); its @previous is the revision of the object visited
 *   before, or @since
 */
void catalog_each_object_after (
    const catalog_t *catalog, uint64_t since,
    void (*visit) (void *context, const decide_msg_object_t *object),
    void *context);

const catalog_service_t *catalog_find_service (const catalog_t *catalog,
                                               decide_id_t service);

/* Return: the service's profile, or a default profile if that one is not
   known; NULL when the service is not known.  */
const decide_profile_t *catalog_get_profile (const catalog_t *catalog,
                                             decide_id_t service);

/* Whether catalog_get_profile() returns the right profile: the service is
   known, and its profile is known or does not exist.  An instance that starts
   may receive a service before its profile.  */
bool catalog_is_profile_known (const catalog_t *catalog, decide_id_t service);

groups_t *catalog_groups (const catalog_t *catalog);

/**
 * catalog_choose_group() - find the group that a service belongs to in a data
 * centre
 *
 * Return: its name, or NULL when there is no such service or no group
 * has the data centre.
 */
const char *catalog_choose_group (const catalog_t *catalog,
                                  decide_id_t service, const char *centre);

/* Return: the longest run_ms that any profile of any service has had, in ms; 0
   when there is no service.  */
clock_ms_t catalog_longest_run_ms (const catalog_t *catalog);

/* Number of pools, including those that are no longer used.  */
uint32_t catalog_pool_count (const catalog_t *catalog);
const catalog_pool_t *catalog_pool (const catalog_t *catalog,
                                    pool_handle_t pool);

/* Return: the handle, or DECIDE_NO_HANDLE.  */
pool_handle_t catalog_find_pool (const catalog_t *catalog, decide_id_t pool);

/* Number of endpoints, including those removed from their service.  */
uint32_t catalog_endpoint_count (const catalog_t *catalog);
const catalog_endpoint_t *catalog_endpoint (const catalog_t *catalog,
                                            endpoint_handle_t endpoint);
endpoint_handle_t catalog_find_endpoint (const catalog_t *catalog,
                                         decide_id_t endpoint);

bool catalog_centre_is_out (const catalog_t *catalog, decide_id_t centre);
bool catalog_instance_is_out (const catalog_t *catalog, decide_id_t instance);

/* Visits the names of the data centres (or, with @instances, the instances)
   that are out of service.  */
void catalog_each_out_of_service (const catalog_t *catalog, bool instances,
                                  void (*visit) (void *context,
                                                 const char *name),
                                  void *context);

#endif
