#include "backend.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Bits that record which fields a value contains.  */
typedef enum field
{
  FIELD_IN_FLIGHT = 1,
  FIELD_QUEUED = 2,
  FIELD_SLOTS = 4,
  FIELD_COLD = 8,
  FIELD_DRAINING = 16,
  FIELD_IDENTITY = 32,
  FIELD_ALL = 63
} field_t;

/* Parses a number that ends at ';', a blank or the end of the text.  */
static int
parse_number (const char *text, int base, uint64_t max, uint64_t *number)
{
  char *rest;

  /* strtoull() would skip a leading blank and accept a sign.  */
  if (*text == '-' || *text == '+' || *text == ' ')
    return -EPROTO;
  errno = 0;
  *number = strtoull (text, &rest, base);
  if (rest == text || errno != 0 || *number > max)
    return -EPROTO;
  return *rest == '\0' || *rest == ';' || *rest == ' ' ? 0 : -EPROTO;
}

static int
parse_field (const char *name, size_t length, const char *text,
             decide_load_t *load, unsigned int *seen)
{
  static const struct
  {
    const char *name;
    field_t field;
    int base;
    uint64_t max;
  } fields[] = {
    { "in_flight", FIELD_IN_FLIGHT, 10, UINT32_MAX },
    { "queued", FIELD_QUEUED, 10, UINT32_MAX },
    { "slots", FIELD_SLOTS, 10, UINT32_MAX },
    { "cold", FIELD_COLD, 10, 1 },
    { "draining", FIELD_DRAINING, 10, 1 },
    { "identity", FIELD_IDENTITY, 16, UINT64_MAX },
  };
  size_t i = 0;
  uint64_t number;

  while (strlen (fields[i].name) != length
         || memcmp (fields[i].name, name, length) != 0)
    if (++i == sizeof fields / sizeof fields[0])
      return 0; /* unknown fields of later versions are ignored */
  if (parse_number (text, fields[i].base, fields[i].max, &number) != 0)
    return -EPROTO;
  *seen |= fields[i].field;
  switch (fields[i].field)
    {
    case FIELD_IN_FLIGHT:
      load->in_flight = (uint32_t)number;
      break;
    case FIELD_QUEUED:
      load->queued = (uint32_t)number;
      break;
    case FIELD_SLOTS:
      load->slots = (uint32_t)number;
      break;
    case FIELD_COLD:
      load->cold = number != 0;
      break;
    case FIELD_DRAINING:
      load->draining = number != 0;
      break;
    default:
      load->identity = number;
      break;
    }
  return 0;
}

int
backend_load_parse (const char *value, decide_load_t *load)
{
  decide_load_t parsed = { .present = true };
  unsigned int seen = 0;

  *load = (decide_load_t){ 0 };
  while (*value != '\0')
    {
      size_t length = strcspn (value, "=;");

      if (value[length] != '='
          || parse_field (value, length, value + length + 1, &parsed, &seen)
                 != 0)
        return -EPROTO;
      value += strcspn (value, ";");
      value += strspn (value, "; ");
    }
  if (seen != FIELD_ALL)
    return -EPROTO;
  *load = parsed;
  return 0;
}
