/* Tests of the decoding of the platform's JSON documents: objects of the store
   and the settings file.  */

#include <errno.h>
#include <glib/gstdio.h>
#include <string.h>

#include "settings.h"
#include "store_decode.h"
#include "wire.h"

/* Decodes a response of the store that lists the objects @items, which are
   JSON texts separated by commas.  Return: the result of store_decode().  */
static int
decode (feed_kind_t kind, const char *items, feed_response_t *response)
{
  g_autofree char *body = g_strdup_printf (
      "{\"items\":[%s],\"more\":false,\"store-revision\":9}", items);

  *response = (feed_response_t){ 0 };
  return store_decode (kind, body, strlen (body), response);
}

/* Returns the number of items that are endpoints.  */
static int
count_backends (const feed_response_t *response)
{
  int n = 0;

  for (guint i = 0; i < response->items->len; i++)
    n += ((const feed_item_t *)g_ptr_array_index (response->items, i))->backend
         != NULL;
  return n;
}

/* Returns whether an object of the store whose "spec" is the JSON text @spec
   is decoded to an endpoint.  */
static bool
decodes_to_backend (const char *spec)
{
  g_autofree char *item = g_strdup_printf (
      "{\"metadata\":{\"name\":\"i-1\",\"revision\":7},\"spec\":%s}", spec);
  feed_response_t response;
  bool found;

  g_assert_cmpint (decode (FEED_BACKENDS, item, &response), ==, 0);
  g_assert_cmpuint (response.items->len, ==, 1);
  found = ((feed_item_t *)g_ptr_array_index (response.items, 0))->backend
          != NULL;
  g_ptr_array_free (response.items, TRUE);
  return found;
}

/* Guards against decoding invalid objects to endpoints; other programs may
   write such objects to the store.  */
static void
invalid_endpoints_are_skipped (void)
{
  g_assert_true (decodes_to_backend (
      "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
      "\"slots\":3,\"state\":\"ready\",\"cold-remaining-s\":0.5}"));
  g_assert_false (decodes_to_backend ("null"));
  g_assert_false (decodes_to_backend ("[]"));
  g_assert_false (decodes_to_backend ("\"text\""));
  g_assert_false (decodes_to_backend (
      "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
      "\"slots\":\"3\",\"state\":\"ready\"}"));
  g_assert_false (decodes_to_backend (
      "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
      "\"slots\":3,\"state\":\"sleeping\"}"));
  g_assert_false (decodes_to_backend (
      "{\"service\":\"s\",\"address\":\"nowhere\",\"zone\":\"a\","
      "\"slots\":3,\"state\":\"ready\"}"));
  g_assert_false (decodes_to_backend (
      "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"slots\":3,"
      "\"state\":\"ready\"}"));
  g_assert_false (decodes_to_backend (
      "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
      "\"slots\":3,\"state\":\"ready\",\"born\":\"yesterday\"}"));
}

/* Guards against one entry that another program has written and that cannot be
   read: very deeply nested, with numbers that are out of range, or without a
   name.  It must neither hide the others nor end the process.  */
static void
odd_entry_does_not_hide_the_others (void)
{
  static const char valid[]
      = "{\"metadata\":{\"name\":\"i-2\",\"revision\":8},\"spec\":"
        "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
        "\"slots\":3,\"state\":\"ready\"}}";
  static const char *const odd[] = {
    "17",
    "null",
    "[[[]]]",
    "{}",
    "{\"spec\":{}}",
    "{\"metadata\":{\"name\":1e999},\"spec\":{}}",
    "{\"metadata\":{\"name\":\"i-1\",\"revision\":1e999},\"spec\":{}}",
    "{\"metadata\":{\"name\":\"i\"},\"spec\":{\"slots\":9999999999999999999}}",
    "{\"metadata\":{\"name\":\"i-1\"},\"spec\":{\"a\":\"\\ud800\"}}",
    "{\"metadata\":{\"name\":\"i-1\"},\"spec\":{\"a\":-}}",
    "{\"metadata\":{\"name\":\"i-1\"},\"spec\":\"\\\"}]\"}",
  };
  GString *deep = g_string_new ("{\"metadata\":{\"name\":\"i-1\"},\"spec\":");
  feed_response_t response;

  for (size_t i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      g_autofree char *items = g_strdup_printf ("%s,%s", odd[i], valid);

      g_assert_cmpint (decode (FEED_BACKENDS, items, &response), ==, 0);
      g_assert_cmpint (count_backends (&response), ==, 1);
      g_ptr_array_free (response.items, TRUE);
    }
  for (int i = 0; i < 400000; i++)
    g_string_append (deep, i % 2 == 0 ? "[" : "{\"a\":");
  for (int i = 0; i < 400000; i++)
    g_string_append (deep, i % 2 == 0 ? "}" : "]");
  g_string_append_printf (deep, "},%s", valid);
  g_assert_cmpint (decode (FEED_BACKENDS, deep->str, &response), ==, 0);
  g_assert_cmpint (count_backends (&response), ==, 1);
  g_ptr_array_free (response.items, TRUE);
  /* Of a data centre out of service, only the name is of use.  */
  g_assert_cmpint (decode (FEED_OUT_OF_SERVICE, deep->str, &response), ==, 0);
  g_assert_cmpuint (response.items->len, ==, 2);
  g_ptr_array_free (response.items, TRUE);
  g_string_free (deep, TRUE);
}

/* Guards against entries with values out of range that are used.  */
static void
endpoints_with_values_out_of_range_are_skipped (void)
{
  static const char *const invalid[] = {
    "\"address\":\"10.0.0.1:65536\"",
    "\"address\":\"10.0.0.1:0\"",
    "\"address\":\"10.0.0.1:-1\"",
    "\"slots\":1e400",
    "\"slots\":4294967296",
    "\"slots\":-1",
    "\"slots\":2.5",
    "\"cold-remaining-s\":1e300",
    "\"cold-remaining-s\":5000000",
    "\"born\":1e30",
    "\"service\":\"s\\u0000t\"",
    "\"zone\":\"a\\u0000\"",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      /* The last one of several members with the same name counts.  */
      g_autofree char *spec = g_strdup_printf (
          "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
          "\"slots\":3,\"state\":\"ready\",%s}",
          invalid[i]);

      if (decodes_to_backend (spec))
        g_error ("accepted: %s", invalid[i]);
    }
}

/* Guards against an entry with an id that is too long for the datagrams
   between instances: no message with it could be encoded, so that the other
   instances would stop following the store.  The name of a service may be as
   long as in the configuration.  */
static void
endpoints_with_long_ids_are_skipped (void)
{
  g_autofree char *name = g_strnfill (FLEET_ID_MAX + 1, 'n');
  static const char *const fields[] = { "zone", "version" };
  g_autofree char *long_service = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
      "\"slots\":3,\"state\":\"ready\"}",
      name);
  g_autofree char *item = g_strdup_printf (
      "{\"metadata\":{\"name\":\"%s\"},\"spec\":{\"service\":\"s\","
      "\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"slots\":3,"
      "\"state\":\"ready\"}}",
      name);
  feed_response_t response;

  g_assert_true (decodes_to_backend (long_service));
  g_assert_cmpint (decode (FEED_BACKENDS, item, &response), ==, 0);
  g_assert_cmpint (count_backends (&response), ==, 0);
  g_ptr_array_free (response.items, TRUE);
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    {
      g_autofree char *spec = g_strdup_printf (
          "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
          "\"slots\":3,\"state\":\"ready\",\"%s\":\"%s\"}",
          fields[i], name);

      g_assert_false (decodes_to_backend (spec));
    }
}

#define LIMITS                                                                \
  "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":1000,"           \
  "\"header-timeout-s\":3,\"idle-timeout-s\":15}"
#define SERVICES                                                              \
  "\"services\":{\"s\":{\"health-check-path\":\"/healthz\","                  \
  "\"max-connections\":220,\"cold-per-s\":7.9},\"t\":{}}"

/* Decodes a configuration with one route, of which @route is the JSON text.
   Return: the routes, or NULL if the configuration is rejected.  */
static routes_t *
decode_config (const char *route)
{
  g_autofree char *item = g_strdup_printf (
      "{\"metadata\":{\"name\":\"main\",\"revision\":7},\"spec\":{"
      "\"version\":4,\"routes\":{\"r\":%s}," SERVICES "," LIMITS "}}",
      route);
  feed_response_t response;
  feed_item_t *found;
  routes_t *routes;

  g_assert_cmpint (decode (FEED_CONFIG, item, &response), ==, 0);
  found = g_ptr_array_index (response.items, 0);
  routes = g_steal_pointer (&found->routes);
  g_ptr_array_free (response.items, TRUE);
  return routes;
}

/* Guards against durations that are read in the wrong unit, and against routes
   of an unsafe or unknown kind that are treated as idempotent.  */
static void
configuration_is_decoded (void)
{
  routes_t *routes = decode_config (
      "{\"host\":\"h\",\"path-prefix\":\"/a/\",\"kind\":\"unsafe\","
      "\"timeout-s\":0.8,\"target-latency-s\":0.3,\"priority\":1,"
      "\"traffic-split\":[{\"service\":\"s\",\"weight\":90},"
      "{\"service\":\"t\",\"weight\":10}],\"max-attempts\":2}");
  const route_t *route = g_ptr_array_index (routes->routes, 0);

  g_assert_cmpuint (routes->version, ==, 4);
  g_assert_cmpint (route->timeout, ==, 800);
  g_assert_cmpint (route->target, ==, 300);
  g_assert_false (route->idempotent);
  g_assert_cmpint (route->n_parts, ==, 2);
  g_assert_cmpint (route->endpoints_max, ==, 2);
  g_assert_cmpint (routes->limits.idle_timeout, ==, 15000);
  g_assert_cmpfloat (routes_find_service (routes, "s")->cold_per_s, ==, 7.9);
  routes_free (routes);
  routes = decode_config ("{\"host\":\"h\",\"path-prefix\":\"/a/\","
                          "\"kind\":\"new-kind\",\"service\":\"s\"}");
  g_assert_false (
      ((const route_t *)g_ptr_array_index (routes->routes, 0))->idempotent);
  routes_free (routes);
}

/* Guards against a version whose number or tables cannot be read and that is
   applied all the same: without its tenants, all requests would pass.  */
static void
unreadable_configuration_is_rejected (void)
{
  static const char *const invalid[] = {
    "17",
    "{\"routes\":{},\"services\":{}}",
    "{\"version\":0,\"routes\":{},\"services\":{}}",
    "{\"version\":4,\"services\":{}}",
    "{\"version\":4,\"routes\":{}}",
    "{\"version\":4,\"routes\":[],\"services\":{}}",
    "{\"version\":4,\"routes\":{},\"services\":{},\"tenants\":[]}",
    "{\"version\":4,\"routes\":{},\"services\":{},\"tenants\":null}",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      g_autofree char *item = g_strdup_printf (
          "{\"metadata\":{\"name\":\"main\"},\"spec\":%s}", invalid[i]);
      feed_response_t response;

      g_assert_cmpint (decode (FEED_CONFIG, item, &response), ==, 0);
      g_assert_null (
          ((feed_item_t *)g_ptr_array_index (response.items, 0))->routes);
      g_ptr_array_free (response.items, TRUE);
    }
}

/* Guards against limits for clients that are zero because they were not
   stated.  */
static void
limits_have_defaults (void)
{
  static const char item[]
      = "{\"metadata\":{\"name\":\"main\"},\"spec\":{\"version\":4,"
        "\"routes\":{},\"services\":{},\"limits\":{\"idle-timeout-s\":2,"
        "\"max-body-bytes\":-1}}}";
  feed_response_t response;
  const routes_t *routes;

  g_assert_cmpint (decode (FEED_CONFIG, item, &response), ==, 0);
  routes = ((feed_item_t *)g_ptr_array_index (response.items, 0))->routes;
  g_assert_nonnull (routes);
  g_assert_cmpint (routes->limits.idle_timeout, ==, 2000);
  g_assert_cmpint (routes->limits.header_bytes, >=, 4096);
  g_assert_cmpint (routes->limits.body_bytes, >=, 65536);
  g_assert_cmpint (routes->limits.header_timeout, >=, 1000);
  g_assert_cmpuint (routes->rows_left_out, ==, 3);
  g_ptr_array_free (response.items, TRUE);
}

/* Guards against an odd route that keeps the rest of its version from taking
   effect, or whose requests go to the route of a shorter prefix.  */
static void
invalid_route_is_left_out_alone (void)
{
  static const char *const invalid[] = {
    "{\"host\":\"h\",\"path-prefix\":\"/a/\",\"kind\":\"safe\"}",
    "{\"host\":\"h\",\"path-prefix\":\"/a/\",\"kind\":\"safe\","
    "\"service\":\"unknown\"}",
    "{\"path-prefix\":\"/a/\",\"kind\":\"safe\",\"service\":\"s\"}",
    "{\"host\":\"h\",\"path-prefix\":\"/a\",\"kind\":\"safe\","
    "\"service\":\"s\"}",
    "{\"host\":\"h\",\"path-prefix\":\"/a/\",\"kind\":\"safe\","
    "\"service\":\"s\",\"timeout-s\":-1}",
    "{\"host\":\"h\",\"path-prefix\":\"/a/\",\"kind\":\"safe\","
    "\"traffic-split\":[]}",
    "{\"host\":\"h\",\"path-prefix\":\"/a/\",\"kind\":\"safe\","
    "\"traffic-split\":[{\"service\":\"s\",\"weight\":0}]}",
    "{\"host\":\"h\",\"path-prefix\":\"/a/\",\"kind\":\"safe\","
    "\"traffic-split\":[{\"service\":\"s\"}]}",
    "{\"host\":\"h\",\"path-prefix\":\"/a/\",\"kind\":\"safe\","
    "\"traffic-split\":[{\"service\":\"s\",\"weight\":-1},"
    "{\"service\":\"t\",\"weight\":2}]}",
    "{\"host\":\"h\",\"path-prefix\":\"/a/\",\"kind\":\"safe\","
    "\"service\":\"s\",\"public\":\"yes\"}",
    "17",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      g_autofree char *spec = g_strdup_printf (
          "%s,\"other\":{\"host\":\"h\",\"path-prefix\":\"/\","
          "\"kind\":\"safe\",\"service\":\"s\"}",
          invalid[i]);
      bool has_place = strstr (invalid[i], "\"host\"") != NULL
                       && strstr (invalid[i], "\"/a/\"") != NULL;
      routes_t *routes = decode_config (spec);
      const route_t *route;

      g_assert_nonnull (routes);
      g_assert_cmpuint (routes->rows_left_out, ==, 1);
      g_assert_cmpint (routes_find (routes, "h", "/b")->n_parts, ==, 1);
      route = routes_find (routes, "h", "/a/b");
      g_assert_cmpint (route->n_parts, ==, has_place ? 0 : 1);
      routes_free (routes);
    }
}

/* Guards against an odd service that keeps the rest of its version from taking
   effect, or that gets requests.  */
static void
invalid_service_is_left_out_with_its_routes (void)
{
  static const char item[]
      = "{\"metadata\":{\"name\":\"main\"},\"spec\":{\"version\":4,"
        "\"services\":{\"s\":{\"cold-per-s\":-1},\"t\":{},\"u\":7},"
        "\"routes\":{\"a\":{\"host\":\"h\",\"path-prefix\":\"/a/\","
        "\"kind\":\"safe\",\"traffic-split\":["
        "{\"service\":\"t\",\"weight\":1},"
        "{\"service\":\"s\",\"weight\":1}]},"
        "\"b\":{\"host\":\"h\",\"path-prefix\":\"/b/\",\"kind\":\"safe\","
        "\"service\":\"t\"}}," LIMITS "}}";
  feed_response_t response;
  const routes_t *routes;

  g_assert_cmpint (decode (FEED_CONFIG, item, &response), ==, 0);
  routes = ((feed_item_t *)g_ptr_array_index (response.items, 0))->routes;
  g_assert_nonnull (routes);
  g_assert_cmpuint (routes->rows_left_out, ==, 3);
  g_assert_cmpint (routes_find (routes, "h", "/a/")->n_parts, ==, 0);
  g_assert_cmpint (routes_find (routes, "h", "/b/")->n_parts, ==, 1);
  g_ptr_array_free (response.items, TRUE);
}

/* Guards against a split that is rejected because its weights are fractions
   or large, or that rounds one of them to none.  */
static void
weights_of_any_size_are_read (void)
{
  routes_t *routes = decode_config (
      "{\"host\":\"h\",\"path-prefix\":\"/a/\",\"kind\":\"safe\","
      "\"traffic-split\":[{\"service\":\"s\",\"weight\":0.75},"
      "{\"service\":\"t\",\"weight\":0.25},"
      "{\"service\":\"t\",\"weight\":1e-9},"
      "{\"service\":\"s\",\"weight\":0}]}");
  const route_t *route = g_ptr_array_index (routes->routes, 0);

  g_assert_cmpint (route->n_parts, ==, 4);
  g_assert_cmpuint (route->parts[0].weight, ==, 3 * route->parts[1].weight);
  g_assert_cmpuint (route->parts[2].weight, ==, 1);
  g_assert_cmpuint (route->parts[3].weight, ==, 0);
  routes_free (routes);
}

/* Guards against truncated or malformed responses of the store that are
   accepted.  */
static void
malformed_responses_are_errors (void)
{
  static const char *const invalid[] = { "",
                                         "{",
                                         "[]",
                                         "null",
                                         "{\"items\":[]}",
                                         "{\"items\":{},\"store-revision\":1}",
                                         "{\"store-revision\":1}" };

  for (size_t i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      feed_response_t response = { 0 };

      g_assert_cmpint (store_decode (FEED_BACKENDS, invalid[i],
                                     strlen (invalid[i]), &response),
                       ==, -EPROTO);
      g_ptr_array_free (response.items, TRUE);
    }
}

/* Guards against a list of instances that is encoded in a form that the
   decoder cannot read.  */
static void
members_are_read_back (void)
{
  members_t *members = members_new ("front-1", "a", 0x0100000a);
  g_autofree char *text = NULL;
  feed_response_t response;
  const feed_item_t *item;

  (void)members_put (members, "front-2", "b", 0x0200000a, 0);
  text = store_encode_members (members, "all", 0);
  g_assert_cmpint (decode (FEED_MEMBERS, text, &response), ==, 0);
  item = g_ptr_array_index (response.items, 0);
  g_assert_cmpuint (item->members->len, ==, 2);
  g_assert_cmpuint (
      ((const feed_member_t *)g_ptr_array_index (item->members, 1))->ip, ==,
      0x0200000a);
  g_ptr_array_free (response.items, TRUE);
  members_free (members);
}

/* Reads a settings file with valid settings in which the text @from is
   replaced by @to; if @from is NULL, nothing is replaced.  Return: the error
   message, to be freed with g_free(), or NULL if the settings are
   accepted.  */
static char *
read_settings_error (const char *from, const char *to)
{
  static const char valid[]
      = "{\"node-name\":\"front-1\",\"zone\":\"a\",\"ip\":\"10.0.0.1\","
        "\"listen\":{\"front\":\"10.0.0.1:8144\",\"ready\":\"10.0.0.1:8140\","
        "\"directory\":\"10.0.0.1:8143\"},\"internal-port-range\":[7660,7675],"
        "\"platform\":{\"address\":\"10.0.0.9:8142\"},\"bounds\":{"
        "\"retry-budget-ratio\":0.2,\"retry-budget-slack\":56,"
        "\"retry-window-s\":10,\"grace-s\":6,\"ttl_max_s\":5},\"new\":1}";
  g_autofree char *path = NULL;
  GString *text = g_string_new (valid);
  instance_settings_t settings;
  char *error = NULL;
  int fd = g_file_open_tmp ("settings-XXXXXX", &path, NULL);

  g_assert_cmpint (fd, >=, 0);
  if (from != NULL)
    g_string_replace (text, from, to, 1);
  g_assert_true (
      g_file_set_contents (path, text->str, (gssize)text->len, NULL));
  if (settings_read (path, &settings, &error) == 0)
    {
      g_assert_cmpint (settings.stop_timeout, ==, 6000);
      g_assert_cmpint (ntohs (settings.peer_listen_address.sin_port), ==,
                       7660);
      settings_clear (&settings);
    }
  (void)g_remove (path);
  (void)g_close (fd, NULL);
  g_string_free (text, TRUE);
  return error;
}

/* Guards against a start with invalid settings, and against unknown fields
   that are treated as errors.  */
static void
settings_are_checked (void)
{
  /* Text in the valid settings, its replacement, and a part of the expected
     error message.  */
  static const char *const cases[][3] = {
    { "\"zone\":\"a\"", "\"zone\":1", "zone" },
    { "10.0.0.1:8144", "10.0.0.1", "listen.front" },
    { "\"ready\":\"10.0.0.1:8140\",", "", "listen.ready: missing" },
    { "[7660,7675]", "[0,1]", "internal-port-range" },
    { "10.0.0.9:8142", "", "platform.address" },
    { "\"retry-window-s\":10", "\"retry-window-s\":0", "retry-window-s" },
    { "\"grace-s\":6", "\"grace-s\":-6", "bounds.grace-s" },
    { "\"grace-s\":6", "\"grace-s\":6,\"stable-window-s\":-1",
      "bounds.stable-window-s" },
    { "\"grace-s\":6", "\"grace-s\":6,\"config-apply-s\":\"2\"",
      "bounds.config-apply-s" },
    { "\"grace-s\":6", "\"grace-s\":6,\"evacuate-s\":[]",
      "bounds.evacuate-s" },
    { "{\"node-name\"", "[", "not a readable JSON object" },
  };

  g_assert_null (read_settings_error (NULL, NULL));
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *error = read_settings_error (cases[i][0], cases[i][1]);

      g_assert_nonnull (error);
      g_assert_nonnull (strstr (error, cases[i][2]));
    }
}

/* Returns the configuration with tenants, or NULL if it is rejected.  */
static routes_t *
decode_tenants_of (const char *tenants)
{
  g_autofree char *route
      = g_strdup_printf ("{\"host\":\"h\",\"path-prefix\":\"/a/\","
                         "\"kind\":\"safe\",\"service\":\"s\"}},"
                         "\"tenants\":{%s},\"more\":{\"x\":1",
                         tenants);

  return decode_config (route);
}

/* Guards against odd tenants and keys that keep the rest of their version from
   taking effect, such as the withdrawal of another tenant's key, and against
   requests that pass with one of them.  */
static void
invalid_tenants_are_left_out_alone (void)
{
  static const char *const invalid[] = {
    "\"t\":{}",
    "\"t\":7",
    "\"t\":{\"api-keys\":\"k\"}",
    "\"t\":{\"api-keys\":[1]}",
    "\"t\":{\"api-keys\":[\"\"]}",
    "\"t\":{\"api-keys\":[\"k\\u0000l\"]}",
    "\"t\":{\"api-keys\":[\"k\"],\"rate-per-s\":-1}",
    "\"t\":{\"api-keys\":[\"k\"],\"burst\":\"x\"}",
    "\"t\\r\\nX: y\":{\"api-keys\":[\"k\"]}",
    "\"t\":{\"api-keys\":[\"k\"]},\"u\":{\"api-keys\":[\"k\"]}",
  };
  routes_t *routes = decode_tenants_of (
      "\"t\":{\"api-keys\":[\"k\",\"l\"],\"priority\":2,"
      "\"rate-per-s\":0.5,\"burst\":3},\"u\":{\"api-keys\":[]}");
  const tenant_t *tenant;

  g_assert_nonnull (routes);
  g_assert_true (routes->requires_key);
  tenant = routes_find_tenant (routes, "l");
  g_assert_nonnull (tenant);
  g_assert_cmpstr (tenant->name, ==, "t");
  g_assert_cmpint (tenant->priority, ==, 2);
  g_assert_cmpfloat (tenant->rate_per_s, ==, 0.5);
  g_assert_null (routes_find_tenant (routes, "K"));
  g_assert_cmpint (routes_get_tenant (routes, "u")->priority, ==, -1);
  routes_free (routes);
  for (size_t i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      g_autofree char *tenants = g_strdup_printf (
          "%s,\"other\":{\"api-keys\":[\"o\"]}", invalid[i]);

      routes = decode_tenants_of (tenants);
      g_assert_nonnull (routes);
      g_assert_cmpuint (routes->rows_left_out, ==, 1);
      g_assert_null (routes_find_tenant (routes, "k"));
      g_assert_cmpstr (routes_find_tenant (routes, "o")->name, ==, "other");
      routes_free (routes);
    }
}

/* Guards against a configuration with very many tenants that is rejected or
   takes long.  */
static void
many_tenants_are_read (void)
{
  GString *text = g_string_new (NULL);
  routes_t *routes;

  for (int i = 0; i < 10000; i++)
    g_string_append_printf (text, "%s\"t%d\":{\"api-keys\":[\"k%d\"]}",
                            i > 0 ? "," : "", i, i);
  routes = decode_tenants_of (text->str);
  g_assert_nonnull (routes);
  g_assert_cmpuint (routes->tenants->len, ==, 10000);
  g_assert_cmpstr (routes_find_tenant (routes, "k9999")->name, ==, "t9999");
  routes_free (routes);
  g_string_free (text, TRUE);
}

/* Guards against a valid configuration that is rejected because of a limit
   below the size of its object: withdrawn keys would stay valid.  */
static void
only_the_object_limits_a_configuration (void)
{
  g_autofree char *name = g_strnfill (20000, 'n');
  GString *keys = g_string_new (NULL);
  GString *parts = g_string_new (NULL);
  g_autofree char *tenants = NULL;
  g_autofree char *spec = NULL;
  routes_t *routes;

  for (int i = 0; i < 5000; i++)
    g_string_append_printf (keys, "%s\"%.200s-%d\"", i > 0 ? "," : "", name,
                            i);
  tenants = g_strdup_printf ("\"%s\":{\"api-keys\":[%s]}", name, keys->str);
  routes = decode_tenants_of (tenants);
  g_assert_nonnull (routes);
  g_assert_nonnull (routes_get_tenant (routes, name));
  g_assert_cmpuint (routes_get_tenant (routes, name)->keys->len, ==, 5000);
  routes_free (routes);
  for (int i = 0; i < 500; i++)
    g_string_append_printf (parts, "%s{\"service\":\"s\",\"weight\":%d}",
                            i > 0 ? "," : "", i);
  spec = g_strdup_printf ("{\"host\":\"%s\",\"path-prefix\":\"/%s/\","
                          "\"kind\":\"safe\",\"traffic-split\":[%s]},"
                          "\"%s\":{\"host\":\"h\",\"path-prefix\":\"/a/\","
                          "\"kind\":\"safe\",\"service\":\"s\"}",
                          name, name, parts->str, name);
  routes = decode_config (spec);
  g_assert_nonnull (routes);
  g_assert_cmpuint (routes->routes->len, ==, 2);
  g_assert_cmpint (
      ((const route_t *)g_ptr_array_index (routes->routes, 0))->n_parts, ==,
      500);
  routes_free (routes);
  g_string_free (keys, TRUE);
  g_string_free (parts, TRUE);
}

/* Returns the rollout that an object is decoded to, to be freed with
   feed_item_free() of @item; NULL: the object is skipped.  */
static feed_rollout_t *
decode_order (const char *spec, const char *status, feed_response_t *response)
{
  g_autofree char *item = g_strdup_printf (
      "{\"metadata\":{\"name\":\"s\",\"revision\":7,\"created\":3},"
      "\"spec\":%s,\"status\":%s}",
      spec, status);

  g_assert_cmpint (decode (FEED_ROLLOUTS, item, response), ==, 0);
  return ((feed_item_t *)g_ptr_array_index (response->items, 0))->rollout;
}

/* Guards against an order that is read wrongly, or taken for finished by the
   status of another version.  */
static void
orders_of_rollouts_are_read (void)
{
  static const char order[] = "{\"service\":\"s\",\"target-version\":\"v2\","
                              "\"duration-s\":12.5}";
  static const struct
  {
    const char *status;
    rollout_phase_t phase;
  } rows[] = {
    { "null", ROLLOUT_PHASE_COUNT },
    { "{\"state\":\"running\",\"target-version\":\"v2\"}", ROLLOUT_CANARY },
    { "{\"state\":\"completed\",\"target-version\":\"v2\"}",
      ROLLOUT_COMPLETED },
    { "{\"state\":\"rolled_back\",\"target-version\":\"v2\"}",
      ROLLOUT_ROLLED_BACK },
    { "{\"state\":\"completed\",\"target-version\":\"v1\"}",
      ROLLOUT_PHASE_COUNT },
    { "{\"state\":\"odd\",\"target-version\":\"v2\"}", ROLLOUT_PHASE_COUNT },
  };
  static const char *const invalid[] = {
    "{}",
    "{\"service\":\"other\",\"target-version\":\"v2\",\"duration-s\":12}",
    "{\"service\":\"s\",\"target-version\":\"\",\"duration-s\":12}",
    "{\"service\":\"s\",\"target-version\":\"v2\",\"duration-s\":-1}",
    "{\"service\":\"s\",\"target-version\":\"v2\",\"duration-s\":1e9}",
  };
  feed_response_t response;

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const feed_rollout_t *rollout
          = decode_order (order, rows[i].status, &response);

      g_assert_nonnull (rollout);
      g_assert_cmpstr (rollout->version, ==, "v2");
      g_assert_cmpint (rollout->duration, ==, 12500);
      g_assert_cmpuint (rollout->created.number, ==, 3);
      g_assert_cmpint (rollout->stored_phase, ==, rows[i].phase);
      g_ptr_array_free (response.items, TRUE);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      g_assert_null (decode_order (invalid[i], "null", &response));
      g_ptr_array_free (response.items, TRUE);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_log_set_always_fatal (G_LOG_FATAL_MASK);
  g_test_add_func ("/platform/foreign_entries_name_nothing",
                   invalid_endpoints_are_skipped);
  g_test_add_func ("/platform/odd_entry_does_not_hide_the_others",
                   odd_entry_does_not_hide_the_others);
  g_test_add_func ("/platform/endpoints_with_values_out_of_range_are_skipped",
                   endpoints_with_values_out_of_range_are_skipped);
  g_test_add_func ("/platform/endpoints_with_long_ids_are_skipped",
                   endpoints_with_long_ids_are_skipped);
  g_test_add_func ("/platform/configuration_is_decoded",
                   configuration_is_decoded);
  g_test_add_func ("/platform/unreadable_configuration_is_rejected",
                   unreadable_configuration_is_rejected);
  g_test_add_func ("/platform/limits_have_defaults", limits_have_defaults);
  g_test_add_func ("/platform/invalid_route_is_left_out_alone",
                   invalid_route_is_left_out_alone);
  g_test_add_func ("/platform/invalid_service_is_left_out_with_its_routes",
                   invalid_service_is_left_out_with_its_routes);
  g_test_add_func ("/platform/weights_of_any_size_are_read",
                   weights_of_any_size_are_read);
  g_test_add_func ("/platform/broken_answers_are_errors",
                   malformed_responses_are_errors);
  g_test_add_func ("/platform/members_are_read_back", members_are_read_back);
  g_test_add_func ("/platform/settings_are_checked", settings_are_checked);
  g_test_add_func ("/platform/invalid_tenants_are_left_out_alone",
                   invalid_tenants_are_left_out_alone);
  g_test_add_func ("/platform/many_tenants", many_tenants_are_read);
  g_test_add_func ("/platform/only_the_object_limits_a_configuration",
                   only_the_object_limits_a_configuration);
  g_test_add_func ("/platform/orders", orders_of_rollouts_are_read);
  return g_test_run ();
}
