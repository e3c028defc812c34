/* Metrics of the routes whose requests are divided among several services.  */

#include "proxy_private.h"

/* Largest number of routes that are listed, so that a configuration with many
   routes does not make the page of metrics large.  */
#define ROUTES_LISTED_MAX 64

static void append_label (GString *text, const char *value);
static void append_route (GString *text, const route_t *route,
                          const route_split_t *split);

/* Appends the value of a label; a backslash, a quote and a newline have to be
   escaped.  */
static void
append_label (GString *text, const char *value)
{
  for (const char *c = value; *c != '\0'; c++)
    if (*c == '\n')
      g_string_append (text, "\\n");
    else
      {
        if (*c == '\\' || *c == '"')
          g_string_append_c (text, '\\');
        g_string_append_c (text, *c);
      }
}

static void
append_route (GString *text, const route_t *route, const route_split_t *split)
{
  for (int i = 0; i < route->n_parts; i++)
    {
      g_string_append (text, "peridot_split_requests{route=\"");
      append_label (text, route->name);
      g_string_append (text, "\",service=\"");
      append_label (text, route->parts[i].service);
      g_string_append_printf (
          text, "\",weight=\"%u\"} %" G_GUINT64_FORMAT "\n",
          route->parts[i].weight, split->parts[i].requests);
    }
  g_string_append (text, "peridot_split_starts{route=\"");
  append_label (text, route->name);
  g_string_append_printf (text, "\"} %" G_GUINT64_FORMAT "\n", split->starts);
}

void
proxy_append_split_metrics (const proxy_t *proxy, GString *text)
{
  int n_listed = 0;

  g_string_append (
      text,
      "# HELP peridot_split_requests Requests of a route given to a service "
      "since the weights last changed.\n"
      "# TYPE peridot_split_requests gauge\n"
      "# HELP peridot_split_starts Times that the division of a route's "
      "requests was started anew since the weights last changed.\n"
      "# TYPE peridot_split_starts gauge\n");
  if (proxy->routes == NULL)
    return;
  for (guint i = 0; i < proxy->routes->routes->len; i++)
    {
      const route_t *route = g_ptr_array_index (proxy->routes->routes, i);
      const route_state_t *state
          = g_hash_table_lookup (proxy->route_states, route->name);

      if (route->n_parts <= 1 || state == NULL
          || route_split_has_changed (&state->split, route))
        continue;
      if (++n_listed > ROUTES_LISTED_MAX)
        return;
      append_route (text, route, &state->split);
    }
}
