#ifndef PERIDOT_FLEET_FEED_H
#define PERIDOT_FLEET_FEED_H

/* A feed reads the platform's store.  It polls and watches the store while
   this instance is the reader, the instance that reads the store on behalf of
   all.  It applies what it reads to the view (the replica of the endpoints and
   the configuration, see view.h) and to the table of members.  A feed_source_t
   implements the store's network protocol.  */

#include <ev.h>

#include "members.h"
#include "reader.h"
#include "view.h"

/* The kinds of objects that are read from the store.  */
typedef enum feed_kind
{
  FEED_BACKENDS,       /* one object for each endpoint */
  FEED_CONFIG,         /* routes, services and limits */
  FEED_OUT_OF_SERVICE, /* one object for each data centre that is out of
                          service */
  FEED_ROLLOUTS,  /* one object for each service whose software is replaced;
                     read only if rollouts are enabled */
  FEED_MEMBERS,   /* a single object with the list of instances, which only
                     readers write */
  FEED_KIND_COUNT /* number of kinds */

} feed_kind_t;

/* Limits of the lengths of texts in the store's objects, without their NUL.
   Ids of endpoints, versions of software and names of data centres have to fit
   into datagrams.  Other texts, and the lists of a configuration, have no
   limit but the size of their object.  */
#define FEED_ID_MAX_BYTES 512
#define FEED_OBJECT_MAX_BYTES (4 << 20)

/* An instance in the list that the store holds.  */
typedef struct feed_member
{
  char *name;
  char *data_centre;
  uint32_t ip; /* IPv4 address in network byte order */
  bool weak;   /* see member_t */
} feed_member_t;

/* An operator's order to replace the software of a service.  */
typedef struct feed_rollout
{
  char *service;
  char *version;
  clock_ms_t duration;      /* ms */
  store_revision_t created; /* store revision at which it was made */
  /* Phase that the status names for this version: ROLLOUT_CANARY for one that
     is running, ROLLOUT_ROLLED_BACK, ROLLOUT_COMPLETED, or ROLLOUT_PHASE_COUNT
     if there is none.  */
  rollout_phase_t stored_phase;
} feed_rollout_t;

/* A decoded object of the store.  Of @backend, @routes, @members and
   @rollout, only the one for the object's kind is set.  None is set if the
   object was removed, if it is invalid and therefore to be skipped, or if its
   kind is FEED_OUT_OF_SERVICE, of which only the name is used.  */
typedef struct feed_item
{
  char *name; /* name of the object; that of an endpoint is its id */
  store_revision_t revision; /* store revision of the object's last change */
  bool removed;              /* the object was deleted from the store */
  backend_entry_t *backend;  /* endpoint, for FEED_BACKENDS */
  routes_t *routes;          /* configuration, for FEED_CONFIG */
  GPtrArray *members;        /* feed_member_t *; instances, for FEED_MEMBERS */
  feed_rollout_t *rollout;   /* for FEED_ROLLOUTS */
} feed_item_t;

/* The result of a list or a watch.  */
typedef struct feed_response
{
  int error; /* 0, -ESTALE if the store has dropped the history after the
                requested revision, or another negative errno */
  store_revision_t revision; /* store revision of the list, or the one up to
                                which the watch has reported changes */
  bool more;                 /* a further page of the list follows */
  GPtrArray *items; /* feed_item_t *; objects of the page of the list, or
                       changes that the watch has reported */
} feed_response_t;

/* Frees a feed_item_t and all that it owns.  */
void feed_item_free (gpointer item);

typedef struct feed feed_t;

/* Functions that start asynchronous calls of the store.  When a call has
   ended, feed_handle_response() must be called for list() and watch(), and
   feed_handle_store_result() for store_members().  */
typedef struct feed_source
{
  /* Reads a page of the list of a kind's objects, ordered by name, that starts
     after the name @after; NULL: the first page.  @timeout: in ms.  */
  void (*list) (void *context, feed_kind_t kind, const char *after,
                clock_ms_t timeout);
  /* Waits up to @wait ms for objects of a kind to change after a store
     revision.  The call fails if its response has not come after @timeout
     ms.  */
  void (*watch) (void *context, feed_kind_t kind, store_revision_t revision,
                 clock_ms_t wait, clock_ms_t timeout);
  /* Replaces the list of members in the store if its revision there is still
     @revision.  If @revision is zero, creates the list unless it exists.  */
  void (*store_members) (void *context, const members_t *members,
                         store_revision_t revision);
  /* Writes the phase of a rollout into the status of its object, if the object
     still has its @revision.  */
  void (*store_rollout) (void *context, const rollout_t *rollout);
  /* Cancels the pending list or watch of a kind.  */
  void (*cancel) (void *context, feed_kind_t kind);
  void *context; /* first argument of the functions */
} feed_source_t;

/* Times within which changes must be in force at all instances, in ms.  */
typedef struct feed_bounds
{
  clock_ms_t fault_excused;   /* after a fault of the store has ended, changes
                                 may be late for this time */
  clock_ms_t config_in_force; /* from the store's acknowledgement of a
                                 configuration */
  clock_ms_t out_of_service_in_force; /* from its acknowledgement that a data
                                         centre is out of service */
} feed_bounds_t;

/* Creates a feed that makes no call before the first feed_tick().  @source is
   copied; @view, @members and @reader must outlive the feed.  */
feed_t *feed_new (struct ev_loop *loop, const feed_source_t *source,
                  view_t *view, members_t *members, reader_t *reader);
void feed_free (feed_t *feed);
/* Sets the times within which changes must be in force.  They bound how long a
   watch may go without a response; a watch that is pending keeps its
   timeout.  */
void feed_set_bounds (feed_t *feed, const feed_bounds_t *bounds);

/* Applies the result of list() or watch(), or schedules a retry if the call
   has failed.  If the items are a page of a list, the feed takes ownership of
   them, but not of the array.  */
void feed_handle_response (feed_t *feed, feed_kind_t kind,
                           feed_response_t *response);
/* Records the result of store_members(), and schedules a retry if the call has
   failed.  @error: 0, -EEXIST if another reader has changed the list, or
   another negative errno.  @revision: store revision of the written list, used
   if @error is 0.  */
void feed_handle_store_result (feed_t *feed, int error,
                               store_revision_t revision);
/**
 * feed_store_rollout() - write the phase of a rollout into the store
 *
 * Return: 0 if a call was started, or -EBUSY: another one is pending, or the
 * revision of the object is not known.
 */
int feed_store_rollout (feed_t *feed, rollout_t *rollout);
/* Records the result of store_rollout(); see feed_handle_store_result().  */
void feed_handle_rollout_result (feed_t *feed, int error,
                                 store_revision_t revision);
/* Frees a feed_member_t and its strings.  */
void feed_member_free (gpointer member);

/* Starts the store calls that are due.  An instance that is not the reader
   lists the endpoints when it should take over as the reader (see
   reader_should_take_over()), and then, if it must (see
   reader_must_read_all()), the other kinds.  Must be called a few times a
   second.  */
void feed_tick (feed_t *feed, clock_ms_t now);

/* Cancels the pending reads of the store.  The feed starts no call after
   that.  */
void feed_stop (feed_t *feed);

#endif
