#include "holdings.h"

/* Added to the time for which a connection waits, so that of several new ones
   the largest is closed.  */
#define AGE_MIN_MS 100.0

void
holdings_add (holdings_t *holdings, holding_t *holding, clock_ms_t now)
{
  holding->link.data = holding;
  holding->since = now;
  holding->bytes = 0;
  g_queue_push_tail_link (&holdings->all, &holding->link);
  holdings_set_bytes (holdings, holding, HOLDINGS_CONNECTION_BYTES);
}

void
holdings_set_waiting (holding_t *holding, bool is_waiting, clock_ms_t now)
{
  if (is_waiting && !holding->is_waiting)
    holding->since = now;
  holding->is_waiting = is_waiting;
}

void
holdings_remove (holdings_t *holdings, holding_t *holding)
{
  holdings_set_bytes (holdings, holding, 0);
  g_queue_unlink (&holdings->all, &holding->link);
}

void
holdings_set_bytes (holdings_t *holdings, holding_t *holding, size_t bytes)
{
  holdings->bytes += bytes - holding->bytes;
  holding->bytes = bytes;
}

bool
holdings_are_exceeded (const holdings_t *holdings)
{
  return (holdings->bytes_max > 0 && holdings->bytes > holdings->bytes_max)
         || (holdings->count_max > 0
             && holdings->all.length > holdings->count_max);
}

holding_t *
holdings_find_victim (const holdings_t *holdings, clock_ms_t now)
{
  holding_t *victim = NULL;
  double worst = 0;

  for (GList *link = holdings->all.head; link != NULL; link = link->next)
    {
      holding_t *holding = link->data;
      double weight = (double)holding->bytes * (double)holding->bytes
                      * ((double)MAX (now - holding->since, 0) + AGE_MIN_MS);

      if (!holding->is_waiting || weight <= worst)
        continue;
      victim = holding;
      worst = weight;
    }
  return victim;
}

int
holdings_shed (holdings_t *holdings, clock_ms_t now)
{
  int n = 0;

  while (holdings_are_exceeded (holdings))
    {
      holding_t *victim = holdings_find_victim (holdings, now);

      if (victim == NULL)
        break;
      holdings->close (victim);
      n++;
    }
  return n;
}
