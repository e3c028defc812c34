#ifndef PERIDOT_FLEET_VIEW_H
#define PERIDOT_FLEET_VIEW_H

/* This instance's replica of the store's contents.  It is updated by own reads
   and by messages of other instances; an entry of a newer store revision
   replaces an older one, in whatever order they arrive.  */

#include "backends.h"
#include "routes.h"

/* Length of the log of changes, for instances that have missed some; a change
   takes about 300 bytes.  */
#define VIEW_CHANGES_MAX 1024

typedef struct view_change
{
  bool removed;           /* the endpoint was removed */
  uint64_t revision;      /* store revision of the change */
  int announce_count;     /* announcements that have included it */
  backend_entry_t entry;  /* strings are owned by the change */
  clock_ms_t recorded_at; /* ms */
} view_change_t;

typedef struct view_hooks
{
  void (*routes_changed) (void *context, const routes_t *routes);
  void (*backends_changed) (void *context);
  void *context;
} view_hooks_t;

typedef struct view
{
  backends_t *backends;
  routes_t *routes;  /* NULL: none yet */
  GPtrArray *out;    /* names of data centres that are out of service */
  uint64_t revision; /* store revision at which the endpoints are complete */
  bool listed;       /* a complete set of the endpoints was received */
  /* ms; before this time, an endpoint that is not draining is not removed.  */
  clock_ms_t retain_until;
  GQueue changes; /* view_change_t *, newest first */
  /* @changes has all changes after this store revision; 0: none are known.  */
  uint64_t history_start;
  /* Endpoint id to uint64_t *, the store revision of its removal.  */
  GHashTable *tombstones;
  uint64_t digest;            /* of the endpoints, updated with each change */
  bool in_batch;              /* between view_begin_batch() and its end */
  unsigned int batch_changes; /* changes in the batch so far */
  view_hooks_t hooks;
} view_t;

view_t *view_new (backends_t *backends, const view_hooks_t *hooks);
void view_free (view_t *view);

/* Adds or updates an endpoint, unless a newer revision of it is known.  */
void view_put (view_t *view, const backend_entry_t *entry, clock_ms_t now);

/**
 * view_remove() - remove an endpoint whose entry is gone from the store
 * @revision: store revision at which it was gone
 *
 * For a time after view_outage_ended(), only draining endpoints are removed.
 */
void view_remove (view_t *view, const char *id, uint64_t revision,
                  clock_ms_t now);

/**
 * view_replace() - replace all endpoints, unless the list is outdated
 * @entries: backend_entry_t *
 * @revision: store revision of the list
 */
void view_replace (view_t *view, const GPtrArray *entries, uint64_t revision,
                   clock_ms_t now);

/* Changes between these two calls are logged one by one up to a limit, and the
   others are only counted.  */
void view_begin_batch (view_t *view);
void view_end_batch (view_t *view);

/* Records that the endpoints are complete as of a store revision.  */
void view_set_synced (view_t *view, uint64_t revision);

/**
 * view_outage_ended() - the store can be read again after an outage
 *
 * Entries may have expired during the outage.  Endpoints that are missing from
 * the store, but were not draining, are retained for the time in which live
 * ones register again.
 */
void view_outage_ended (view_t *view, clock_ms_t now);

/* Applies a configuration and takes ownership of it.  One whose version is not
   newer than the current one is freed instead.  */
void view_set_routes (view_t *view, routes_t *routes);

/* Replaces the set of data centres that are out of service.  */
void view_set_out (view_t *view, GPtrArray *names);

/* Whether the log of changes has all changes of the endpoints after a store
   revision.  */
bool view_has_changes_since (const view_t *view, uint64_t since);

/* Digest of the endpoints, equal if two views have the same endpoints.  */
uint64_t view_digest (const view_t *view);

#endif
