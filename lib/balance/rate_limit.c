#include "rate_limit.h"

#include <errno.h>
#include <glib.h>
#include <math.h>
#include <string.h>

/* Rate at which an endpoint with a lower limit, or a limit of 0, still gets
   requests, so that the end of the limit is noticed also if responses to
   probes do not state it.  */
#define RATE_MIN_PER_S 0.1
/* Number of permits that are saved up while no instance asks.  Without any,
   the time between a permit that is due and the next request would be lost. */
#define PERMITS_SAVED_MAX 1
/* Length of a value that is longer than any number that makes sense.  */
#define VALUE_MAX_BYTES 32

static double rate (const rate_limit_t *limit);
static clock_ms_t interval_ms (double per_s);
static bool differs (const rate_limit_t *limit,
                     const rate_limit_statement_t *statement);
static clock_ms_t newest_of (const rate_limit_t *limit, unsigned int sources);
static bool apply (rate_limit_t *limit,
                   const rate_limit_statement_t *statement,
                   unsigned int sources, clock_ms_t stated_at, bool is_own,
                   clock_ms_t now);
static void set_statement (rate_limit_t *limit,
                           const rate_limit_statement_t *statement,
                           bool is_own, clock_ms_t now);

static double
rate (const rate_limit_t *limit)
{
  return MAX (limit->statement.per_s, RATE_MIN_PER_S);
}

/* Returns the time between two requests at a rate, rounded up.  */
static clock_ms_t
interval_ms (double per_s)
{
  return (clock_ms_t)ceil (1000.0 / per_s);
}

static bool
differs (const rate_limit_t *limit, const rate_limit_statement_t *statement)
{
  return statement->is_limited != limit->statement.is_limited
         || statement->per_s != limit->statement.per_s;
}

/* Replaces the statement.  After a limit was not in force, its first permit is
   due after one interval: other instances have just sent requests freely.  */
static void
set_statement (rate_limit_t *limit, const rate_limit_statement_t *statement,
               bool is_own, clock_ms_t now)
{
  bool was_limited = limit->statement.is_limited;

  limit->statement = *statement;
  limit->changed_at = now;
  limit->is_own = is_own;
  if (!statement->is_limited)
    {
      limit->permit_until = 0;
      limit->asked_at = 0;
      limit->ask_again_at = 0;
    }
  else if (!was_limited)
    limit->next_permit_at
        = MAX (limit->next_permit_at, now) + interval_ms (rate (limit));
  else
    /* The time may be that of a much lower limit.  */
    limit->next_permit_at
        = MIN (limit->next_permit_at, now + interval_ms (rate (limit)));
}

/* Returns the time of the newest known response of some kinds.  */
static clock_ms_t
newest_of (const rate_limit_t *limit, unsigned int sources)
{
  clock_ms_t newest = 0;

  for (int i = 0; i < RATE_LIMIT_SOURCE_COUNT; i++)
    if ((sources >> i & 1U) != 0)
      newest = MAX (newest, limit->stated_at[i]);
  return newest;
}

clock_ms_t
rate_limit_stated_at (const rate_limit_t *limit)
{
  return newest_of (limit, limit->sources);
}

/* Records a statement that responses of the kinds @sources have made.  */
static bool
apply (rate_limit_t *limit, const rate_limit_statement_t *statement,
       unsigned int sources, clock_ms_t stated_at, bool is_own, clock_ms_t now)
{
  bool has_changed = differs (limit, statement);

  for (int i = 0; i < RATE_LIMIT_SOURCE_COUNT; i++)
    if ((sources >> i & 1U) != 0)
      limit->stated_at[i] = stated_at;
  if (!statement->is_limited && limit->statement.is_limited
      && (limit->sources & sources) == 0)
    return false;
  limit->sources = has_changed ? sources : limit->sources | sources;
  if (has_changed)
    set_statement (limit, statement, is_own, now);
  return has_changed;
}

bool
rate_limit_state (rate_limit_t *limit, rate_limit_source_t source,
                  const rate_limit_statement_t *statement, clock_ms_t now)
{
  return statement != NULL && apply (limit, statement, source, now, true, now);
}

bool
rate_limit_learn (rate_limit_t *limit, const rate_limit_statement_t *statement,
                  unsigned int sources, clock_ms_t stated_at, clock_ms_t now)
{
  sources &= RATE_LIMIT_SOURCES;
  return sources != 0 && stated_at > newest_of (limit, sources)
         && apply (limit, statement, sources, stated_at, false, now);
}

bool
rate_limit_needs_permit (const rate_limit_t *limit, int instances)
{
  return limit->statement.is_limited
         && limit->statement.per_s < RATE_LIMIT_SHARE_MIN_PER_S * instances;
}

bool
rate_limit_allows (const rate_limit_t *limit, int instances, clock_ms_t now)
{
  if (!limit->statement.is_limited)
    return true;
  if (!rate_limit_needs_permit (limit, instances))
    return now >= limit->next_share_at;
  return now >= limit->permit_from && now < limit->permit_until;
}

void
rate_limit_take (rate_limit_t *limit, int instances, clock_ms_t now)
{
  if (!limit->statement.is_limited)
    return;
  limit->permit_until = 0;
  if (!rate_limit_needs_permit (limit, instances))
    limit->next_share_at = MAX (limit->next_share_at, now)
                           + interval_ms (rate (limit) / instances);
}

bool
rate_limit_should_ask (const rate_limit_t *limit, int instances,
                       clock_ms_t now)
{
  return rate_limit_needs_permit (limit, instances)
         && now >= limit->permit_until && now >= limit->ask_again_at
         && (limit->asked_at == 0
             || now - limit->asked_at >= RATE_LIMIT_ASK_TIMEOUT_MS);
}

void
rate_limit_ask (rate_limit_t *limit, clock_ms_t now)
{
  limit->asked_at = now;
}

void
rate_limit_handle_reply (rate_limit_t *limit, const rate_limit_reply_t *reply,
                         clock_ms_t asked_at, clock_ms_t now)
{
  if (limit->asked_at == 0 || asked_at != limit->asked_at
      || now - asked_at >= RATE_LIMIT_ASK_TIMEOUT_MS
      || !limit->statement.is_limited)
    return;
  limit->asked_at = 0;
  if (!reply->is_issued)
    {
      limit->ask_again_at = now + reply->wait;
      return;
    }
  limit->permit_from = now + reply->wait;
  limit->permit_until = limit->permit_from + RATE_LIMIT_PERMIT_MS;
}

rate_limit_reply_t
rate_limit_issue (rate_limit_t *limit, clock_ms_t wait_max, clock_ms_t now)
{
  clock_ms_t interval = interval_ms (rate (limit));
  clock_ms_t wait;

  limit->next_permit_at
      = MAX (limit->next_permit_at, now - PERMITS_SAVED_MAX * interval);
  wait = MAX (limit->next_permit_at - now, 0);
  if (wait > wait_max)
    return (rate_limit_reply_t){ .wait = wait - wait_max };
  limit->next_permit_at += interval;
  return (rate_limit_reply_t){ .is_issued = true, .wait = wait };
}

int
rate_limit_parse (const char *text, rate_limit_statement_t *statement)
{
  size_t length = strlen (text);
  char *end;
  double per_s;

  if (length == 0 || length > VALUE_MAX_BYTES
      || strspn (text, "0123456789.") != length)
    return -EINVAL;
  per_s = g_ascii_strtod (text, &end);
  if (*end != '\0' || end == text)
    return -EINVAL;
  *statement = (rate_limit_statement_t){ .is_limited = true, .per_s = per_s };
  return 0;
}
