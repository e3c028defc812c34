/* Header fields that are forwarded between clients and endpoints.  */

#include "proxy_private.h"

#include <errno.h>
#include <math.h>
#include <string.h>

/* A longer time for which an endpoint asks is reduced to this.  */
#define RETRY_AFTER_MAX_S 3600.0

static bool is_listed (const char *list, const char *name);

bool
fields_is_hop_by_hop (const char *name)
{
  static const char *const hop_by_hop[] = { "connection",
                                            "keep-alive",
                                            "proxy-connection",
                                            "te",
                                            "trailer",
                                            "transfer-encoding",
                                            "upgrade",
                                            "proxy-authenticate",
                                            "proxy-authorization",
                                            "expect",
                                            "content-length" };

  for (size_t i = 0; i < G_N_ELEMENTS (hop_by_hop); i++)
    if (g_ascii_strcasecmp (name, hop_by_hop[i]) == 0)
      return true;
  return false;
}

/* Whether a name is in the comma-separated list of a Connection field.  @list
   may be NULL.  */
static bool
is_listed (const char *list, const char *name)
{
  size_t length = strlen (name);

  while (list != NULL && *list != '\0')
    {
      size_t item_length;

      list += strspn (list, " \t,");
      item_length = strcspn (list, " \t,");
      if (item_length == length
          && g_ascii_strncasecmp (list, name, length) == 0)
        return true;
      list += item_length;
    }
  return false;
}

void
fields_append_for_endpoint (const proxy_header_names_t *names,
                            const exchange_t *exchange, bool requires_key,
                            const char *tenant, GString *fields)
{
  const char *connection = exchange_header_value (exchange, "Connection");

  for (guint i = 0; i + 1 < exchange->fields->len; i += 2)
    {
      const char *name = g_ptr_array_index (exchange->fields, i);
      const char *value = g_ptr_array_index (exchange->fields, i + 1);

      if (fields_is_hop_by_hop (name) || is_listed (connection, name)
          || g_ascii_strcasecmp (name, names->time_left) == 0
          || g_ascii_strcasecmp (name, names->expected_endpoint) == 0
          || (requires_key
              && (g_ascii_strcasecmp (name, "Authorization") == 0
                  || g_ascii_strcasecmp (name, names->tenant) == 0)))
        continue;
      g_string_append_printf (fields, "%s: %s\r\n", name, value);
    }
  if (tenant != NULL)
    g_string_append_printf (fields, "%s: %s\r\n", names->tenant, tenant);
  /* The endpoint needs Content-Length to find the end of a body.  A request
     without a body states a length of 0 if its method usually has a body,
     because without the field it would be unclear whether a body follows.  */
  if (exchange->body->len > 0 || strcmp (exchange->method, "POST") == 0
      || strcmp (exchange->method, "PUT") == 0
      || strcmp (exchange->method, "PATCH") == 0)
    g_string_append_printf (fields, "Content-Length: %u\r\n",
                            exchange->body->len);
}

int
fields_parse_retry_after (const char *text, clock_ms_t *ms)
{
  char *end;
  double seconds = g_ascii_strtod (text, &end);

  if (end == text || *end != '\0' || !isfinite (seconds)
      || !g_ascii_isdigit (*text))
    return -EINVAL;
  *ms = (clock_ms_t)(MIN (seconds, RETRY_AFTER_MAX_S) * 1000.0);
  return 0;
}

int
fields_parse_load (const char *text, backend_load_t *load)
{
  uint32_t values[4] = { 0, 0, 0, 100 };
  int n_values = 0;

  while (n_values < 4)
    {
      char *end;
      double value = g_ascii_strtod (text, &end);

      if (end == text || value < 0 || value > 1e6)
        return -EINVAL;
      values[n_values++] = (uint32_t)(value + 0.5);
      text = end + strspn (end, " \t");
      if (*text != ',')
        break;
      text++;
    }
  if (n_values < 3 || values[2] == 0)
    return -EINVAL;
  *load = (backend_load_t){ .running = values[0],
                            .waiting = values[1],
                            .slots = values[2],
                            .slowdown_percent = values[3] };
  return 0;
}
