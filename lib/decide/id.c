#include "decide.h"

#include <string.h>
#include <xxhash.h>

decide_id_t
decide_id (const char *name)
{
  return XXH64 (name, strlen (name), 0);
}
