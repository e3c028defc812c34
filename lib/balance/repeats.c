#include "repeats.h"

#include <string.h>

/* Part of the fixed budget that is used: windows of instances do not begin at
   the same time, and the number of live instances is known late.  */
#define FIXED_USED 0.7
/* Part of the ratio that is used, for the same reason.  */
#define RATIO_USED 0.8

static void advance (repeats_t *repeats, const repeats_rules_t *rules,
                     clock_ms_t now);

/* One more cell than the window has, so that a whole window is always
   counted.  */
static void
advance (repeats_t *repeats, const repeats_rules_t *rules, clock_ms_t now)
{
  clock_ms_t width = rules->window / REPEATS_CELLS;

  if (now - repeats->cell_start > 2 * rules->window)
    {
      memset (repeats, 0, sizeof *repeats);
      repeats->cell_start = now;
      return;
    }
  while (now - repeats->cell_start >= width)
    {
      repeats->cell = (repeats->cell + 1) % (REPEATS_CELLS + 1);
      repeats->firsts[repeats->cell] = 0;
      repeats->sent[repeats->cell] = 0;
      repeats->cell_start += width;
    }
}

void
repeats_first (repeats_t *repeats, const repeats_rules_t *rules,
               clock_ms_t now)
{
  advance (repeats, rules, now);
  repeats->firsts[repeats->cell]++;
}

bool
repeats_take (repeats_t *repeats, const repeats_rules_t *rules, int instances,
              clock_ms_t now)
{
  double firsts = 0;
  double sent = 0;

  advance (repeats, rules, now);
  for (int i = 0; i <= REPEATS_CELLS; i++)
    {
      firsts += repeats->firsts[i];
      sent += repeats->sent[i];
    }
  if (sent + 1
      > firsts * rules->ratio * RATIO_USED
            + rules->fixed * FIXED_USED / (instances > 0 ? instances : 1))
    return false;
  repeats->sent[repeats->cell]++;
  return true;
}
