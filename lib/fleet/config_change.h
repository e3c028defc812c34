#ifndef PERIDOT_FLEET_CONFIG_CHANGE_H
#define PERIDOT_FLEET_CONFIG_CHANGE_H

/* Differences between versions of the configuration.  An instance is sent only
   the rows (routes, services and tenants) that have changed since its own
   version, and checks the result against the sender's digest, so that a
   version takes effect whole or not at all.  */

#include "routes.h"

/* Limit of the number of versions whose differences are remembered.  An
   instance that is further behind is sent the whole configuration.  */
#define CONFIG_HISTORY_STEPS_MAX 16

/* What leads from one version of the configuration to a later one.  */
typedef struct config_change
{
  uint64_t base;    /* version that the rows change; 0: none, they are the
                       whole configuration */
  uint64_t version; /* version that results */
  uint64_t digest;  /* config_digest() of the resulting version */
  client_limits_t limits;
  bool requires_key; /* see routes_t */
  uint32_t rows_left_out;
  /* Added and changed rows.  Freed with the change only if it owns them.  */
  GPtrArray *routes;   /* route_t * */
  GPtrArray *services; /* service_rules_t * */
  GPtrArray *tenants;  /* tenant_t * */
  /* Names of removed rows.  */
  GPtrArray *removed_routes;   /* char *, owned */
  GPtrArray *removed_services; /* char *, owned */
  GPtrArray *removed_tenants;  /* char *, owned */
} config_change_t;

/* Differences between consecutive versions: the names of the rows that were
   added, changed or removed.  */
typedef struct config_history
{
  GQueue steps; /* config_step_t *, newest first */
} config_history_t;

void config_history_init (config_history_t *history);
void config_history_clear (config_history_t *history);
/* Records that version @after replaces version @before.  */
void config_history_record (config_history_t *history, const routes_t *before,
                            const routes_t *after);

/* Version before the current one; 0: not known.  */
uint64_t config_history_previous_version (const config_history_t *history);

/* Digest of all rows, the limits and the version.  */
uint64_t config_digest (const routes_t *routes);

/**
 * config_change_since() - make the change from an older version to @routes
 * @digest: config_digest() of @routes
 * @since: version of the receiver; if the history does not reach back to it,
 *   the change has all rows and the base 0
 *
 * Return: a change that refers to the rows of @routes, which must outlive it.
 */
config_change_t *config_change_since (const config_history_t *history,
                                      const routes_t *routes, uint64_t digest,
                                      uint64_t since);

/* Returns an empty change that owns the rows that are added to it.  */
config_change_t *config_change_new (void);
void config_change_free (config_change_t *change);

/**
 * config_change_apply() - make the version that a change leads to
 * @routes: the current version; NULL: none
 * @result: out: the new version, to be freed with routes_free(); set only if 0
 *   is returned
 *
 * Return: 0; -ESTALE if the change applies to another version than @routes;
 * -EBADMSG if the result does not have the digest that the change states.
 */
int config_change_apply (const routes_t *routes, const config_change_t *change,
                         routes_t **result);

#endif
