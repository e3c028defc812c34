#ifndef PERIDOT_FLEET_VIEW_H
#define PERIDOT_FLEET_VIEW_H

/* What this instance believes of the store's contents.  It is fed by its own
   reads and by other instances; newer statements replace older ones, in
   whatever order they arrive.  */

#include "backends.h"
#include "routes.h"

/* Changes that are remembered for instances that have missed some; about
   300 bytes each.  */
#define VIEW_CHANGES_MAX 1024

typedef struct view_change
{
  bool removed;
  uint64_t revision;     /* of the change */
  int sent;              /* statements that told it */
  backend_entry_t entry; /* strings are owned by the change */
  clock_ms_t at;
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
  GPtrArray *out;    /* names of data centres that are taken out, sorted */
  uint64_t revision; /* store revision of the last whole list */
  bool listed;       /* the endpoints are known completely */
  clock_ms_t
      keep_until; /* no endpoint that is only missing is removed before */
  GQueue changes; /* view_change_t *, newest first */
  /* All changes after this revision are in @changes; 0: none are known.  */
  uint64_t complete_since;
  GHashTable *removed; /* id to the revision of its removal */
  uint64_t digest;     /* of the endpoints, kept with each change */
  bool in_batch;       /* many changes at a time are being applied */
  unsigned int batch;  /* changes of it so far */
  view_hooks_t hooks;
} view_t;

view_t *view_new (backends_t *backends, const view_hooks_t *hooks);
void view_free (view_t *view);

/* An entry of the store that was added or changed.  */
void view_put (view_t *view, const backend_entry_t *entry, clock_ms_t now);

/**
 * view_remove() - an entry is gone from the store
 * @revision: store revision at which it was gone
 */
void view_remove (view_t *view, const char *id, uint64_t revision,
                  clock_ms_t now);

/**
 * view_replace() - a whole list of the endpoints
 * @entries: backend_entry_t *
 * @revision: store revision of the list
 */
void view_replace (view_t *view, const GPtrArray *entries, uint64_t revision,
                   clock_ms_t now);

/* Changes between the two calls are logged one by one up to a number, and the
   rest is summed up.  */
void view_begin_batch (view_t *view);
void view_end_batch (view_t *view);

/* The endpoints are those of another instance at a revision of the store.  */
void view_agrees (view_t *view, uint64_t revision);

/**
 * view_outage_ended() - the store is back after it could not be read
 *
 * Entries may have lapsed while it was away; endpoints that are only missing
 * are kept for the time in which live ones come back.
 */
void view_outage_ended (view_t *view, clock_ms_t now);

/* Takes over a configuration; an older version is freed and left out.  */
void view_set_routes (view_t *view, routes_t *routes);

/* Replaces the set of data centres that are taken out.  */
void view_set_out (view_t *view, GPtrArray *names);

/* Whether @changes tell all that happened to the endpoints after a revision.
 */
bool view_covers (const view_t *view, uint64_t since);

/* Digest of the endpoints, equal where two views agree.  */
uint64_t view_digest (const view_t *view);

#endif
