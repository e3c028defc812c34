#include "line.h"

#include <time.h>

static void append_comma (GString *line);

void
line_append_string (GString *line, const char *text, gssize length)
{
  g_autofree char *valid = g_utf8_make_valid (text, length);

  g_string_append_c (line, '"');
  for (const char *p = valid; *p != '\0'; p++)
    if (*p == '"' || *p == '\\')
      {
        g_string_append_c (line, '\\');
        g_string_append_c (line, *p);
      }
    else if (*p == '\n')
      g_string_append (line, "\\n");
    else if ((unsigned char)*p < 0x20 || *p == 0x7f)
      g_string_append_printf (line, "\\u%04x", (unsigned int)*p);
    else
      g_string_append_c (line, *p);
  g_string_append_c (line, '"');
}

static void
append_comma (GString *line)
{
  if (line->str[line->len - 1] != '{')
    g_string_append_c (line, ',');
}

void
line_append_field (GString *line, const char *key, const char *text)
{
  if (text == NULL)
    return;
  append_comma (line);
  line_append_string (line, key, -1);
  g_string_append_c (line, ':');
  line_append_string (line, text, -1);
}

void
line_append_number (GString *line, const char *key, int64_t number)
{
  append_comma (line);
  line_append_string (line, key, -1);
  g_string_append_printf (line, ":%" G_GINT64_FORMAT, number);
}

void
line_append_time (GString *line, const char *key, int64_t us)
{
  time_t seconds = (time_t)(us / G_USEC_PER_SEC);
  char text[40];
  struct tm tm;

  if (gmtime_r (&seconds, &tm) == NULL
      || strftime (text, sizeof text, "%Y-%m-%dT%H:%M:%S", &tm) == 0)
    return;
  append_comma (line);
  g_string_append_printf (line, "\"%s\":\"%s.%06dZ\"", key, text,
                          (int)(us % G_USEC_PER_SEC));
}
