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
  FEED_OUT, /* data centres that are taken out */
  FEED_MEMBERS,
  FEED_KINDS
} feed_kind_t;

/* One object of the store, decoded.  An object that can't be read has no
   content and is left out.  */
typedef struct feed_item
{
  char *name;
  uint64_t revision;
  bool removed;
  backend_entry_t *backend; /* FEED_BACKENDS */
  routes_t *routes;         /* FEED_CONFIG */
  char *data_centre;        /* FEED_MEMBERS */
  uint32_t ip;              /* FEED_MEMBERS, network byte order */
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
  void (*store_member) (void *context, const member_t *member);
  void (*cancel) (void *context, feed_kind_t kind);
  void *context;
} feed_source_t;

feed_t *feed_new (struct ev_loop *loop, const feed_source_t *source,
                  view_t *view, members_t *members, reader_t *reader);
void feed_free (feed_t *feed);

/* Takes over the answer's items.  */
void feed_answered (feed_t *feed, feed_kind_t kind, feed_answer_t *answer);
/* The own entry was stored, or not: negative errno.  */
void feed_stored (feed_t *feed, int error);

/* Called a few times a second.  */
void feed_tick (feed_t *feed, clock_ms_t now);

/* The reader knows this instance, so that its entry need not be stored.  */
void feed_member_known (feed_t *feed);
/* The instance stops for good or for a restart; its entry is kept.  */
void feed_stop (feed_t *feed);

#endif
