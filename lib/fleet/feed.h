#ifndef PERIDOT_FLEET_FEED_H
#define PERIDOT_FLEET_FEED_H

/* Polls and watches the platform's store while this instance is the reader,
   and keeps the view and the list of members up to date.  The protocol of the
   store is left to a feed_source_t.  */

#include <ev.h>

#include "members.h"
#include "reader.h"
#include "view.h"

/* The collections of the store that are read.  */
typedef enum feed_kind
{
  FEED_BACKENDS,
  FEED_CONFIG,
  FEED_OUT_OF_SERVICE, /* data centres that are out of service */
  FEED_MEMBERS,        /* a single object, which readers write */
  FEED_KIND_COUNT      /* number of kinds */

} feed_kind_t;

typedef struct feed_member
{
  char *name;
  char *data_centre;
  uint32_t ip; /* network byte order */
} feed_member_t;

/* One decoded object of the store.  If the object could not be decoded, the
   member for its kind is NULL and the object is skipped.  */
typedef struct feed_item
{
  char *name;
  uint64_t revision;        /* store revision of the object */
  bool removed;             /* the object was deleted */
  backend_entry_t *backend; /* FEED_BACKENDS */
  routes_t *routes;         /* FEED_CONFIG */
  GPtrArray *members;       /* FEED_MEMBERS: feed_member_t * */
} feed_item_t;

/* The result of a list or a watch.  */
typedef struct feed_response
{
  int error; /* 0, -ESTALE if the store has dropped the history after the
                requested revision, or another negative errno */
  uint64_t revision; /* store revision of the result */
  bool more;         /* a further page of the list follows */
  GPtrArray *items;  /* feed_item_t * */
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
  /* Waits up to @wait ms for changes after a revision.  */
  void (*watch) (void *context, feed_kind_t kind, uint64_t revision,
                 clock_ms_t wait);
  /* Replaces the list of members if its revision still equals @revision, or,
     if that is 0, if the list does not exist yet.  */
  void (*store_members) (void *context, const members_t *members,
                         uint64_t revision);
  /* Cancels the pending call of a kind.  */
  void (*cancel) (void *context, feed_kind_t kind);
  void *context;
} feed_source_t;

feed_t *feed_new (struct ev_loop *loop, const feed_source_t *source,
                  view_t *view, members_t *members, reader_t *reader);
void feed_free (feed_t *feed);

/* Handles the result of list() or watch().  Takes ownership of the items if
   they are a page of a list.  */
void feed_handle_response (feed_t *feed, feed_kind_t kind,
                           feed_response_t *response);
/* Handles the result of store_members().  @error: 0, -EEXIST if another reader
   has changed the list, or another negative errno.  */
void feed_handle_store_result (feed_t *feed, int error, uint64_t revision);
void feed_member_free (gpointer member);

/* Starts the calls that are due.  Must be called a few times a second.  */
void feed_tick (feed_t *feed, clock_ms_t now);

/* Cancels pending calls and starts no further ones.  */
void feed_stop (feed_t *feed);

#endif
