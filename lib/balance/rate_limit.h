#ifndef PERIDOT_BALANCE_RATE_LIMIT_H
#define PERIDOT_BALANCE_RATE_LIMIT_H

/* Limits that endpoints state in their responses: the number of requests per
   second that an endpoint takes from all instances together, for as long as it
   says so.

   A limit is often lower than the number of instances, so that it cannot be
   divided among them.  One instance, the keeper of the endpoint, therefore
   issues permits at the endpoint's rate, and an instance needs a permit for
   each request.  A limit that is large enough is divided among the instances
   instead, without permits.  */

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"

/* A limit that leaves each instance at least this many requests per second is
   divided among the instances.  A lower one would make requests wait longer
   for the instance's next turn than for a permit.  */
#define RATE_LIMIT_SHARE_MIN_PER_S 10.0
/* Time for which a permit can be used, from the time for which it was issued.
   It covers the probe of the endpoint.  */
#define RATE_LIMIT_PERMIT_MS 500
/* An instance that got no reply from the keeper asks again after this time. */
#define RATE_LIMIT_ASK_TIMEOUT_MS 100

/* Kinds of response that can state a limit; bits of a mask.  An endpoint may
   state its limit in responses of one kind only.  */
typedef enum rate_limit_source
{
  RATE_LIMIT_PROBE = 1,   /* response to a probe */
  RATE_LIMIT_REQUEST = 2, /* response to a request */
  RATE_LIMIT_SOURCES = 3  /* mask of all kinds */
} rate_limit_source_t;

/* Number of kinds of response.  */
#define RATE_LIMIT_SOURCE_COUNT 2

/* What an endpoint has stated about its limit.  */
typedef struct rate_limit_statement
{
  bool is_limited; /* false: it takes requests at any rate */
  double per_s;    /* the limit, requests per second; 0 unless @is_limited */
} rate_limit_statement_t;

/* State of the limit of one endpoint at this instance.  All points in time are
   those of clock_now(); 0: never.  */
typedef struct rate_limit
{
  rate_limit_statement_t statement;
  /* Times of the newest known responses, by kind.  */
  clock_ms_t stated_at[RATE_LIMIT_SOURCE_COUNT];
  clock_ms_t changed_at; /* time at which @statement last changed here */
  bool is_own; /* @statement was in a response to this instance, and not told
                  by another one */
  unsigned int sources;     /* mask of the kinds of response that have made
                               @statement; a response of another kind without a
                               limit does not end it */
  clock_ms_t next_share_at; /* time from which this instance may send the next
                               request of its share, if the limit is divided */
  /* The permit of this instance, or its request for one.  */
  clock_ms_t permit_from;
  clock_ms_t permit_until;
  clock_ms_t asked_at;       /* time of the request that has no reply yet */
  clock_ms_t ask_again_at;   /* time from which the keeper may issue a permit
                                again, as it has said when it refused one */
  clock_ms_t next_permit_at; /* if this instance is the keeper: time of the
                                next permit */
} rate_limit_t;

/**
 * rate_limit_state() - record what a response of the endpoint says
 * @statement: what the response states; NULL: the value was malformed, which
 *   says nothing
 *
 * Return: whether the limit has changed.
 */
bool rate_limit_state (rate_limit_t *limit, rate_limit_source_t source,
                       const rate_limit_statement_t *statement,
                       clock_ms_t now);

/**
 * rate_limit_learn() - record what another instance tells about the endpoint
 * @sources: mask of the kinds of response that have said so
 * @stated_at: time of the newest of these responses
 *
 * A statement is ignored unless it is newer than all known responses of these
 * kinds.
 * Return: whether the limit has changed.
 */
bool rate_limit_learn (rate_limit_t *limit,
                       const rate_limit_statement_t *statement,
                       unsigned int sources, clock_ms_t stated_at,
                       clock_ms_t now);

/* Returns the time of the newest response that has made the statement.  */
clock_ms_t rate_limit_stated_at (const rate_limit_t *limit);

/* Whether a request to the endpoint needs a permit.  @instances: number of
   instances, at least 1.  */
bool rate_limit_needs_permit (const rate_limit_t *limit, int instances);
/* Whether a request may be sent to the endpoint now.  */
bool rate_limit_allows (const rate_limit_t *limit, int instances,
                        clock_ms_t now);
/* Records that a request is sent, which uses up the permit.  */
void rate_limit_take (rate_limit_t *limit, int instances, clock_ms_t now);

/* Whether to ask the keeper for a permit.  */
bool rate_limit_should_ask (const rate_limit_t *limit, int instances,
                            clock_ms_t now);
/* Records that the keeper is asked.  */
void rate_limit_ask (rate_limit_t *limit, clock_ms_t now);

/* Reply of a keeper.  */
typedef struct rate_limit_reply
{
  bool is_issued;  /* a permit was issued */
  clock_ms_t wait; /* ms from the reply until the permit can be used, or until
                      it is worth to ask again */
} rate_limit_reply_t;

/* Records the reply to the request of @asked_at.  A reply that comes too late
   to a request is ignored: its permit may have run out meanwhile.  */
void rate_limit_handle_reply (rate_limit_t *limit,
                              const rate_limit_reply_t *reply,
                              clock_ms_t asked_at, clock_ms_t now);

/**
 * rate_limit_issue() - decide, as the keeper, on a request for a permit
 * @wait_max: longest time that the request can wait for the permit, ms
 *
 * In any time t, at most t times the endpoint's rate and two more permits can
 * be used.
 */
rate_limit_reply_t rate_limit_issue (rate_limit_t *limit, clock_ms_t wait_max,
                                     clock_ms_t now);

/**
 * rate_limit_parse() - parse the value of the header field with the limit
 * @text: a decimal number without a sign or an exponent
 *
 * Return: 0, or -EINVAL.
 */
int rate_limit_parse (const char *text, rate_limit_statement_t *statement);

#endif
