#include "line.h"
#include "telemetry.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TRACEPARENT_LENGTH (TELEMETRY_TRACEPARENT_BYTES - 1)

static bool parse_hex (const char *text, size_t bytes, uint8_t *value);
static void format_hex (const uint8_t *value, size_t bytes, char *text);
static bool is_zero (const uint8_t *value, size_t bytes);
static void generate_id (uint8_t *value, size_t bytes);

/* The format is version "-" trace id "-" span id "-" flags, all in lower-case
   hexadecimal.  A value of version 00 ends after the flags, one of a later
   version may have more fields, and version ff is invalid.  */
int
telemetry_parse_traceparent (const char *text, telemetry_trace_t *trace)
{
  telemetry_trace_t parsed = { 0 };
  uint8_t version = 0;
  size_t length = text == NULL ? 0 : strnlen (text, TRACEPARENT_LENGTH + 1);

  if (length < TRACEPARENT_LENGTH || text[2] != '-' || text[35] != '-'
      || text[52] != '-' || !parse_hex (text, 1, &version)
      || !parse_hex (text + 3, sizeof parsed.trace_id, parsed.trace_id)
      || !parse_hex (text + 36, sizeof parsed.span_id, parsed.span_id)
      || !parse_hex (text + 53, 1, &parsed.flags))
    return -EINVAL;
  if (version == 0xff
      || (text[TRACEPARENT_LENGTH] != '\0'
          && (version == 0 || text[TRACEPARENT_LENGTH] != '-')))
    return -EINVAL;
  if (is_zero (parsed.trace_id, sizeof parsed.trace_id)
      || is_zero (parsed.span_id, sizeof parsed.span_id))
    return -EINVAL;
  /* The header is passed on as version 00, in which the other flags have no
     meaning.  */
  parsed.flags &= TELEMETRY_SAMPLED;
  *trace = parsed;
  return 0;
}

/* Parses 2 * @bytes lower-case hexadecimal digits.  Return: whether they are
   valid.  */
static bool
parse_hex (const char *text, size_t bytes, uint8_t *value)
{
  for (size_t i = 0; i < 2 * bytes; i++)
    {
      if (!g_ascii_isxdigit (text[i]) || g_ascii_isupper (text[i]))
        return false;
      value[i / 2]
          = (uint8_t)(value[i / 2] << 4 | g_ascii_xdigit_value (text[i]));
    }
  return true;
}

static void
format_hex (const uint8_t *value, size_t bytes, char *text)
{
  static const char digits[] = "0123456789abcdef";

  for (size_t i = 0; i < bytes; i++)
    {
      text[2 * i] = digits[value[i] >> 4];
      text[2 * i + 1] = digits[value[i] & 15];
    }
  text[2 * bytes] = '\0';
}

static bool
is_zero (const uint8_t *value, size_t bytes)
{
  for (size_t i = 0; i < bytes; i++)
    if (value[i] != 0)
      return false;
  return true;
}

static void
generate_id (uint8_t *value, size_t bytes)
{
  do
    arc4random_buf (value, bytes);
  while (is_zero (value, bytes));
}

void
telemetry_format_traceparent (const telemetry_trace_t *trace,
                              char text[TELEMETRY_TRACEPARENT_BYTES])
{
  text[0] = '0';
  text[1] = '0';
  text[2] = '-';
  format_hex (trace->trace_id, sizeof trace->trace_id, text + 3);
  text[35] = '-';
  format_hex (trace->span_id, sizeof trace->span_id, text + 36);
  text[52] = '-';
  format_hex (&trace->flags, 1, text + 53);
}

void
telemetry_new_trace (telemetry_trace_t *trace)
{
  *trace = (telemetry_trace_t){ 0 };
  generate_id (trace->trace_id, sizeof trace->trace_id);
  generate_id (trace->span_id, sizeof trace->span_id);
  if (telemetry_is_sampled (trace))
    trace->flags = TELEMETRY_SAMPLED;
}

void
telemetry_new_child (const telemetry_trace_t *parent, telemetry_trace_t *child)
{
  telemetry_trace_t new = *parent;

  memcpy (new.parent_id, parent->span_id, sizeof new.parent_id);
  generate_id (new.span_id, sizeof new.span_id);
  *child = new;
}

/* Compares the last 7 bytes of the trace id, which are random according to W3C
   Trace Context level 2, with the sampling ratio.  */
bool
telemetry_is_sampled (const telemetry_trace_t *trace)
{
  uint64_t random_bits = 0;

  for (size_t i = 9; i < 16; i++)
    random_bits = random_bits << 8 | trace->trace_id[i];
  return (double)random_bits < log_trace_sampling_ratio () * 0x1p56;
}

void
telemetry_write_span (const telemetry_span_t *span)
{
  const telemetry_trace_t *trace = span->trace;
  char id[33];
  GString *line;

  if (!telemetry_is_sampled (trace))
    return;
  line = g_string_new ("{");
  format_hex (trace->trace_id, sizeof trace->trace_id, id);
  line_append_field (line, "trace_id", id);
  format_hex (trace->span_id, sizeof trace->span_id, id);
  line_append_field (line, "span_id", id);
  format_hex (trace->parent_id, sizeof trace->parent_id, id);
  if (!is_zero (trace->parent_id, sizeof trace->parent_id))
    line_append_field (line, "parent_id", id);
  line_append_field (line, "name", span->name);
  line_append_field (line, "service", span->service);
  line_append_field (line, "endpoint", span->endpoint);
  line_append_field (line, "instance", log_instance_name ());
  line_append_time (line, "start", span->start_us);
  line_append_number (line, "duration_us", span->duration_us);
  line_append_field (line, "outcome", span->outcome);
  log_submit (STDOUT_FILENO, line, false);
}
