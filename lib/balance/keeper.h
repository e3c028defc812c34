#ifndef PERIDOT_BALANCE_KEEPER_H
#define PERIDOT_BALANCE_KEEPER_H

/* Keepers: one instance keeps the state of a subject, such as a tenant, for
   all.  It is the ready instance with the highest weight in rendezvous
   hashing; those with the next weights are its successors, which answer while
   it does not.

   Instances learn at different times which of them are ready.  This module
   says what an instance may do as a keeper so that no two of them act for the
   same part of the instances: a share of the state that is no more than the
   share of the instances that it is in contact with, and nothing of a keeper's
   after it may have been replaced, as after a pause.  It uses no network.  */

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"

/* Number of instances that are asked about a subject, one after the other: the
   keeper and its successors.  */
#define KEEPER_CANDIDATES 3
/* Rank of an instance that is none of them.  */
#define KEEPER_NO_RANK (-1)
/* Time after which a new keeper acts as such.  It is longer than that between
   two announcements, by which the one before it hears that it is replaced.  */
#define KEEPER_HANDOVER_MS 300
/* An instance that has heard no announcement for this time may have been
   replaced as a keeper at the other instances.  It is less than the time after
   which a silent instance is replaced.  */
#define KEEPER_CONTACT_MS 1000
/* Time after the start of a process in which its share rises at once: until
   then it has been in contact with no other part of the instances.  */
#define KEEPER_START_MS 2000

/* A share that falls at once and rises KEEPER_HANDOVER_MS later: instances
   that come back into contact have been counted elsewhere until then.  */
typedef struct late_share
{
  double value;
  double next; /* lowest share since @next_since */
  clock_ms_t next_since;
} late_share_t;

/* What an instance knows of its contact with the others.  All zero at first:
   it has heard none of them.  */
typedef struct contact
{
  clock_ms_t heard_at; /* time of the last announcement; 0: none */
  bool is_listed;      /* the last one that tells says that this instance is
                          ready */
  late_share_t announced_share; /* share of the known instances that the
                                   announcing one hears, itself included */
  late_share_t own_share;       /* share that this instance hears itself */
  uint64_t term; /* number of times that this instance was listed after it was
                    not, or after it may have been replaced */
  clock_ms_t term_at; /* time at which the term began */
} contact_t;

/* What an announcement says about an instance that receives it.  */
typedef struct contact_news
{
  bool tells_listing; /* whether it tells if the instance is listed as ready */
  bool is_listed;
  double share; /* see contact_t */
} contact_news_t;

/* Records that an announcement was received, or was made by this instance.  */
void contact_handle_announcement (contact_t *contact,
                                  const contact_news_t *news, clock_ms_t now);
/* Records the share of the known instances that this one hears itself.  */
void contact_set_own_share (contact_t *contact, double share, clock_ms_t now);
/* Called after a pause of the process: this instance is no keeper before it
   has heard that it is listed.  */
void contact_lose (contact_t *contact);
/* Share of the subjects' state that this instance may give out as a keeper or
   successor; 0: none.  The shares of instances that are not in contact with
   each other add up to no more than 1.  */
double contact_share (const contact_t *contact, clock_ms_t now);

/* The place of an instance among those that are asked about a subject.  All
   zero at first except for the rank.  */
typedef struct keeper_role
{
  int rank;         /* 0: the keeper; KEEPER_NO_RANK: none */
  uint64_t term;    /* term of the contact; see contact_t */
  clock_ms_t since; /* time at which the rank or the term changed */
} keeper_role_t;

/* Sets the place.  @changed_at: time of the last change of the ready
   instances.  Return: whether the place is another one, or of another term. */
bool keeper_role_set (keeper_role_t *role, int rank, const contact_t *contact,
                      clock_ms_t changed_at, clock_ms_t now);
/* Whether the instance acts as the keeper now.  */
bool keeper_role_is_acting (const keeper_role_t *role, clock_ms_t now);

#endif
