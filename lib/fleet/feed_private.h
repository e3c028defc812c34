#ifndef PERIDOT_FLEET_FEED_PRIVATE_H
#define PERIDOT_FLEET_FEED_PRIVATE_H

/* Shared by the parts of the feed: feed.c calls the store, feed_apply.c
   applies what it returns, and feed_takeover.c decides whether this instance
   becomes the reader.  */

#include "feed.h"

/* State of the calls that read one kind of object.  After a complete list, the
   objects are watched for changes; endpoints are listed periodically
   instead.  */
typedef struct channel
{
  bool busy;       /* a list or watch is pending */
  bool listing;    /* the pending or last call is a list, not a watch */
  bool has_list;   /* a complete list was read, and no failure has made it
                      necessary to read a new one */
  bool has_failed; /* the last list of the kind has failed, or a watch has got
                      no response since */
  store_revision_t revision; /* store revision of the last complete list or of
                        the last changes that a watch has reported */
  store_revision_t revision_min; /* newest revision that a response had stated
                                    when the last list or watch began: one of
                                    an older revision is outdated */
  clock_ms_t next_call_at;       /* ms; time before which no call starts */
  GPtrArray *items; /* feed_item_t *; while a list is read in pages, the
                       objects of the pages received so far */
} channel_t;

struct feed
{
  struct ev_loop *loop;
  feed_source_t source;
  view_t *view;
  members_t *members;
  reader_t *reader;
  channel_t channels[FEED_KIND_COUNT];
  feed_bounds_t bounds;
  bool storing;             /* a call of store_members() is pending */
  clock_ms_t next_store_at; /* ms; time before which store_members() is not
                               called; 0: no call is scheduled */
  uint64_t storing_digest;  /* digest of the members that the pending call of
                               store_members() writes */
  uint64_t stored_digest;   /* digest of the members that the store lists */
  store_revision_t members_revision; /* store revision of the list of members;
                                zero: the store has no list */
  char *storing_rollout; /* service of the rollout whose phase a pending call
                            of store_rollout() writes; NULL: none is pending */
  rollout_phase_t storing_phase; /* that phase */
  clock_ms_t next_order_look_at; /* ms; see look_for_order() */
  bool stopping;                 /* feed_stop() was called */
  bool was_reader;        /* this instance was the reader at the last tick */
  bool is_candidate;      /* this instance has read the endpoints and reads the
                             other kinds, to take over from the reader */
  bool store_unreachable; /* the last call that listed the endpoints failed */
  bool knows_era;         /* a response of the store was received */
  uint64_t era;           /* newest era in the responses of the store */
  store_revision_t newest_revision; /* newest revision in its responses */
};

/* ---- feed.c ---- */

/* Requests a page of a list.  @after: last name on the previous page; NULL:
   the first page.  */
void feed_start_list (feed_t *feed, feed_kind_t kind, const char *after);
/* Cancels the pending lists and watches.  When the feed reads again, it begins
   with complete lists.  */
void feed_stop_reading (feed_t *feed);
/* Whether the objects of a kind are of use to this site.  */
bool feed_is_needed (const feed_t *feed, feed_kind_t kind);
/* Returns the delay from a failed list of a kind to the next one, in ms.  */
clock_ms_t feed_get_retry_delay (const feed_t *feed, feed_kind_t kind);

/* ---- feed_apply.c ---- */

/* Applies the objects of a complete list, which are in the channel's items,
   and frees them.  */
void feed_apply_list (feed_t *feed, feed_kind_t kind,
                      store_revision_t revision, clock_ms_t now);
/* Applies the changes that a watch has reported.  A configuration stays in
   use when it is deleted from the store, as only removals of the kinds
   FEED_OUT_OF_SERVICE and FEED_ROLLOUTS are applied.  */
void feed_apply_watched_changes (feed_t *feed, feed_kind_t kind,
                                 const GPtrArray *items,
                                 store_revision_t revision, clock_ms_t now);

/* ---- feed_takeover.c ---- */

/* Names of the kinds in the log.  */
extern const char *const feed_kind_labels[FEED_KIND_COUNT];

/* Called when the first list of the endpoints has failed.  The watches are
   ended, as their connections may be dead.  The other kinds are read again
   after a while, in case that only the endpoints cannot be read.  */
void feed_begin_outage (feed_t *feed, int error, clock_ms_t now);
/* Passes the result of an attempt to read the store to the reader, which this
   instance may become.  */
void feed_handle_read_result (feed_t *feed, reader_result_t result,
                              clock_ms_t now);
/* Records that a list of the endpoints has succeeded, after which this
   instance may become the reader.  */
void feed_record_backends_list (feed_t *feed, clock_ms_t now);
/* Starts to read the kinds other than the endpoints, which were just read.  */
void feed_become_candidate (feed_t *feed, clock_ms_t now);
/* Takes over if all kinds were read, or ends the attempt if one cannot be
   read.  */
void feed_continue_candidacy (feed_t *feed, clock_ms_t now);
/* Updates whether this instance, as the reader, says that it cannot read the
   objects of some kind, so that one that can takes over.  */
void feed_update_partial (feed_t *feed);
/* Returns the value of TELEMETRY_READER_STATE.  */
int feed_get_reader_state (const reader_t *reader, clock_ms_t now);

#endif
