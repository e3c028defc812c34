#ifndef PERIDOT_FLEET_FEED_H
#define PERIDOT_FLEET_FEED_H

/* Reads the platform's store and keeps the view and the list of members up to
   date while this instance is the reader.  How calls are spelled is the
   source's matter.  */

#include <ev.h>

#include "members.h"
#include "reader.h"
#include "view.h"

typedef enum feed_kind
{
  FEED_BACKENDS,
  FEED_CONFIG,
  FEED_OUT,     /* data centres that are taken out */
  FEED_MEMBERS, /* one object, written by readers */
  FEED_KINDS
} feed_kind_t;

typedef struct feed_member
{
  char *name;
  char *data_centre;
  uint32_t ip; /* network byte order */
} feed_member_t;

/* One object of the store, decoded.  An object that can't be read has no
   content and is left out.  */
typedef struct feed_item
{
  char *name;
  uint64_t revision;
  bool removed;
  backend_entry_t *backend; /* FEED_BACKENDS */
  routes_t *routes;         /* FEED_CONFIG */
  GPtrArray *members;       /* FEED_MEMBERS: feed_member_t * */
} feed_item_t;

typedef struct feed_answer
{
  int error; /* 0, -ESTALE: the history is gone, or another negative errno */
  uint64_t revision;
  bool more;
  GPtrArray *items; /* feed_item_t * */
} feed_answer_t;

void feed_item_free (gpointer item);

typedef struct feed feed_t;

/* Calls of the store; each ends with feed_answered() or feed_stored().  */
typedef struct feed_source
{
  void (*list) (void *context, feed_kind_t kind, const char *after,
                clock_ms_t timeout);
  void (*watch) (void *context, feed_kind_t kind, uint64_t revision,
                 clock_ms_t wait);
  /* Replaces the list of members if its revision is still the stated one; 0:
     it does not exist yet.  */
  void (*store_members) (void *context, const members_t *members,
                         uint64_t revision);
  void (*cancel) (void *context, feed_kind_t kind);
  void *context;
} feed_source_t;

feed_t *feed_new (struct ev_loop *loop, const feed_source_t *source,
                  view_t *view, members_t *members, reader_t *reader);
void feed_free (feed_t *feed);

/* Takes over the answer's items.  */
void feed_answered (feed_t *feed, feed_kind_t kind, feed_answer_t *answer);
/* The list of members was stored, or not: -EEXIST when another reader has
   changed it, or another negative errno.  */
void feed_stored (feed_t *feed, int error, uint64_t revision);
void feed_member_free (gpointer member);

/* Called a few times a second.  */
void feed_tick (feed_t *feed, clock_ms_t now);

/* The instance stops.  */
void feed_stop (feed_t *feed);

#endif
