#ifndef PERIDOT_FLEET_FEED_H
#define PERIDOT_FLEET_FEED_H

/* Polls and watches the platform's store while this instance is the reader
   (the one that reads the store on behalf of all instances), and keeps the
   view and the list of members up to date.  The network protocol of the store
   is implemented by a feed_source_t.  */

#include <ev.h>

#include "members.h"
#include "reader.h"
#include "view.h"

/* The kinds of objects that are read from the store.  */
typedef enum feed_kind
{
  FEED_BACKENDS,       /* one object for each endpoint */
  FEED_CONFIG,         /* routes, services and limits */
  FEED_OUT_OF_SERVICE, /* data centres that are out of service */
  FEED_MEMBERS,        /* a single object, the list of instances, which only
                          readers write */
  FEED_KIND_COUNT      /* number of kinds */

} feed_kind_t;

/* An instance in the list that the store holds.  */
typedef struct feed_member
{
  char *name;
  char *data_centre;
  uint32_t ip; /* network byte order */
} feed_member_t;

/* One object of the store, decoded.  At most one of the last three members is
   set, the one for the object's kind.  If the object is invalid, none is, and
   the object is skipped.  */
typedef struct feed_item
{
  char *name;               /* of an endpoint: its id */
  uint64_t revision;        /* store revision of the object's last change */
  bool removed;             /* the object was deleted from the store */
  backend_entry_t *backend; /* FEED_BACKENDS */
  routes_t *routes;         /* FEED_CONFIG */
  GPtrArray *members;       /* FEED_MEMBERS: feed_member_t * */
} feed_item_t;

/* The result of a list or a watch.  */
typedef struct feed_response
{
  int error; /* 0, -ESTALE if the store has dropped the history after the
                requested revision, or another negative errno */
  uint64_t revision; /* of the store, when the list was made or up to which
                        the watch has reported changes */
  bool more;         /* a further page of the list follows */
  GPtrArray *items;  /* feed_item_t *; objects of the page, or changes */
} feed_response_t;

void feed_item_free (gpointer item);

typedef struct feed feed_t;

/* Asynchronous calls of the store. list() and watch() complete with
   feed_handle_response(), store_members() with feed_handle_store_result().  */
typedef struct feed_source
{
  /* Lists the objects of a kind whose names follow @after; NULL: from the
     start.  @timeout: in ms.  */
  void (*list) (void *context, feed_kind_t kind, const char *after,
                clock_ms_t timeout);
  /* Waits up to @wait ms for objects of a kind to change after a store
     revision.  */
  void (*watch) (void *context, feed_kind_t kind, uint64_t revision,
                 clock_ms_t wait);
  /* Replaces the list of members in the store if its revision there is still
     @revision.  If @revision is 0, creates the list unless it exists.  */
  void (*store_members) (void *context, const members_t *members,
                         uint64_t revision);
  /* Cancels the pending call of a kind.  */
  void (*cancel) (void *context, feed_kind_t kind);
  void *context; /* first argument of the functions */
} feed_source_t;

/* Creates a feed that makes no call before the first feed_tick().  @source is
   copied; @view, @members and @reader must outlive the feed.  */
feed_t *feed_new (struct ev_loop *loop, const feed_source_t *source,
                  view_t *view, members_t *members, reader_t *reader);
void feed_free (feed_t *feed);

/* Handles the result of list() or watch().  Takes ownership of the items if
   they are a page of a list.  */
void feed_handle_response (feed_t *feed, feed_kind_t kind,
                           feed_response_t *response);
/* Handles the result of store_members().  @error: 0, -EEXIST if another reader
   has changed the list, or another negative errno.  @revision: store revision
   of the written list, used if @error is 0.  */
void feed_handle_store_result (feed_t *feed, int error, uint64_t revision);
void feed_member_free (gpointer member);

/* Starts the store calls that are due: those of the reader, or the list with
   which this instance tries to become the reader.  Must be called a few times
   a second.  */
void feed_tick (feed_t *feed, clock_ms_t now);

/* Cancels pending reads of the store; no further call is started.  */
void feed_stop (feed_t *feed);

#endif
