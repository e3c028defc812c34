#ifndef PERIDOT_FLEET_VIEW_H
#define PERIDOT_FLEET_VIEW_H

/* This instance's replica of the store: endpoints, routes, and data centres
   out of service.  It is updated by this instance's own reads of the store and
   by messages of other instances.  An endpoint's entry of a newer store
   revision replaces an older one, in whatever order they arrive.  */

#include "allowance.h"
#include "backends.h"
#include "config_change.h"
#include "counts.h"
#include "rollouts.h"
#include "suspects.h"

/* Limit of the number of endpoint changes in the log of changes, which is kept
   for instances that have missed some; a change takes about 300 bytes.  */
#define VIEW_CHANGES_MAX 1024

/* Removal of an endpoint.  */
typedef struct view_removal
{
  store_revision_t
      revision; /* store revision at which the entry was missing */
  /* Of the last known entry of the endpoint; 0: not known.  */
  uint64_t born;
  uint64_t sequence;
} view_removal_t;

/* A change of an endpoint, in the log of changes.  */
typedef struct view_change
{
  bool removed;              /* the endpoint was removed */
  store_revision_t revision; /* store revision of the change */
  int announce_count;        /* number of announcements (messages to the other
                                instances) that have included the change */
  /* The endpoint's entry after the change or, if the endpoint was removed, its
     last entry.  The change owns the strings in it.  */
  backend_entry_t entry;
  clock_ms_t recorded_at; /* ms; when this instance learned of the change */
} view_change_t;

/* Callbacks of the view.  */
typedef struct view_hooks
{
  /* Called when a newer configuration was applied.  @routes stays valid until
     the next call.  */
  void (*routes_changed) (void *context, const routes_t *routes);
  /* Called when an endpoint was added, changed or removed.  */
  void (*backends_changed) (void *context);
  /* Called when a rollout was ordered or has taken a step.  */
  void (*rollouts_changed) (void *context);
  void *context; /* first argument of the callbacks */
} view_hooks_t;

typedef struct view
{
  backends_t *backends; /* the endpoints */
  suspects_t *suspects; /* requests that may crash endpoints */
  rollouts_t *rollouts; /* rollouts of new software versions */
  bool has_rollouts;    /* there may be such: otherwise versions of
                           software are of no importance */
  bool are_tracks_due;  /* the tracks of the endpoints are to be set anew */
  counts_t *counts;     /* counts about rollouts */
  allowances_t *allowances;        /* of tenants */
  routes_t *routes;                /* configuration; NULL: none yet */
  config_history_t config_history; /* differences between the versions before
                                      @routes */
  uint64_t config_digest;          /* config_digest() of @routes */
  clock_ms_t routes_changed_at;    /* ms; when @routes took effect */
  GPtrArray *out;        /* char *; names of the data centres that are out of
                            service */
  GPtrArray *stated_out; /* char *; those that are according to the newest
                            statement; others in @out are kept there until
                            @retain_out_until */
  store_revision_t
      out_revision;          /* newest store revision at which the orders in
                                @stated_out were read; zero: never */
  clock_ms_t synced_at;      /* ms; when @revision was last confirmed */
  store_revision_t revision; /* newest store revision up to which @backends has
                                all changes */
  bool has_all_backends;     /* a complete set of the endpoints was received */
  uint64_t era; /* newest era of the store of which something was learned */
  /* ms; before this time, only draining endpoints are removed (see
     view_retain_missing()).  */
  clock_ms_t retain_until;
  /* ms; before this time, data centres stay out of service (see
     view_set_out_of_service()).  */
  clock_ms_t retain_out_until;
  GQueue changes; /* log of changes: view_change_t *, newest first */
  /* @changes has all changes after this store revision; unused while
     @has_all_backends is false, as changes are not recorded yet.  */
  store_revision_t history_start;
  /* Removed endpoints: id to view_removal_t *.  */
  GHashTable *tombstones;
  uint64_t digest; /* digest of the endpoints' entries without the software
                      version, and without the revision and the warm-up time,
                      which change with each heartbeat of an endpoint */
  bool log_each_change; /* see view_log_each_change() */
  /* Changes since the last line that view_tick() has logged.  */
  unsigned int unlogged_updates;  /* endpoints added or changed */
  unsigned int unlogged_removals; /* endpoints removed */
  clock_ms_t changes_logged_at;   /* ms; when that line was logged */
  view_hooks_t hooks;
} view_t;

view_t *view_new (backends_t *backends, const view_hooks_t *hooks);
void view_free (view_t *view);

/* Adds or updates an endpoint, unless the view has a newer revision of its
   entry or knows that the endpoint was removed at the same or a newer
   revision.  In a newer era, an entry that the endpoint wrote before the known
   one, or before its removal, is ignored too: it is in the copy from which the
   store was restored, and the endpoint has yet to write it again or to lapse.
 */
void view_put_backend (view_t *view, const backend_entry_t *entry,
                       clock_ms_t now);

/**
 * view_remove_backend() - remove an endpoint whose entry was deleted from the
 * store
 * @removal: copied
 *
 * The endpoint is not removed if the view has a newer revision of its entry.
 * For a time after view_retain_missing(), only draining endpoints are
 * removed.
 */
void view_remove_backend (view_t *view, const char *id,
                          const view_removal_t *removal, clock_ms_t now);

/**
 * view_replace_backends() - replace all endpoints with those of a complete
 * list
 * @entries: the list, of backend_entry_t *
 * @revision: store revision of the list
 *
 * A list whose revision is older than that of the view is ignored.  Otherwise
 * an entry in it whose own revision is of an earlier era counts as one of the
 * list's era, as the store still had it then.
 */
void view_replace_backends (view_t *view, const GPtrArray *entries,
                            store_revision_t revision, clock_ms_t now);

/* Sets whether changes of single endpoints are logged, which only the reader
   does: the number of lines of all instances would otherwise grow with the
   number of instances times that of endpoints.  */
void view_log_each_change (view_t *view, bool each);

/* Logs how many endpoints have changed since the last such line, if any and if
   that line is old enough.  Puts data centres back into service that were kept
   out after a restore of the store.  Must be called a few times a second.  */
void view_tick (view_t *view, clock_ms_t now);

/* Records that the view has all changes of the endpoints up to a store
   revision.  */
void view_set_synced (view_t *view, store_revision_t revision);

/**
 * view_retain_missing() - retain endpoints that are missing from the store
 * for a time after an outage of the store
 *
 * This is called at the first read after the outage.  During the outage, live
 * endpoints could not renew their entries, which may have expired.  Endpoints
 * that are missing from the store, but were not draining, are therefore
 * retained for the time in which live ones register again.  The view does the
 * same when it learns that the store was restored from an older copy, which
 * lacks the endpoints that have registered since.
 */
void view_retain_missing (view_t *view, clock_ms_t now);

/* Applies a configuration and takes ownership of it.  If its version is not
   newer than that of the current one, it is freed instead.  */
void view_set_routes (view_t *view, routes_t *routes);

/**
 * view_set_out_of_service() - replace the set of data centres that are out of
 * service
 * @names: char *, copied
 * @revision: store revision of the set
 *
 * A set of an older revision than the one known is ignored.  The revision is
 * not that of the endpoints: a reader may have read these later than the
 * operator's orders.  For a time after a restore of the store, data centres
 * stay out of service although the set lacks them: what an operator has
 * ordered since the copy was made is missing until it is written again.
 */
void view_set_out_of_service (view_t *view, const GPtrArray *names,
                              store_revision_t revision, clock_ms_t now);

/* Enables rollouts.  */
void view_enable_rollouts (view_t *view);
/* Adds an order that was read from the store.  @stored_phase: phase that the
   object's status names, or ROLLOUT_PHASE_COUNT.  */
void view_put_rollout (view_t *view, const rollout_order_t *order,
                       rollout_phase_t stored_phase, clock_ms_t now);
/* Cancels the running rollouts that the operator has removed: that of
   @service or, if that is NULL, those that @orders lacks (rollout_order_t *).
   After a restore of the store, an order may be missing for a time.  */
void view_cancel_rollouts (view_t *view, const char *service,
                           const GPtrArray *orders, clock_ms_t now);
/* Takes a step of a rollout and logs it.  */
void view_take_rollout_step (view_t *view, rollout_t *rollout,
                             const rollout_step_t *step, const char *reason,
                             clock_ms_t now);
/* Records what another instance tells of a rollout; see rollouts_learn().  */
void view_learn_rollout (view_t *view, const rollout_order_t *order,
                         uint64_t id, const rollout_step_t *step,
                         clock_ms_t age, clock_ms_t now);

/* Whether the log of changes has all changes of the endpoints after the store
   revision @since.  False if @since is before any.  */
bool view_has_changes_since (const view_t *view, store_revision_t since);

/* Digest of the endpoints.  It does not depend on the revision and the warm-up
   time of their entries, which change with each heartbeat of an endpoint.  */
uint64_t view_digest (const view_t *view);

#endif
