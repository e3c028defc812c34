/* Tests of changes of the configuration between versions, without a network:
   an instance that is sent only the changed rows must have exactly the
   sender's version, or notice that it has not.  */

#include <errno.h>
#include <glib.h>

#include "tenants.h"
#include "view.h"
#include "wire.h"

/* Versions that the random test goes through.  */
#define RANDOM_VERSIONS 400

static void
add_route (routes_t *routes, int number, clock_ms_t timeout)
{
  route_t *route = g_new0 (route_t, 1);

  route->name = g_strdup_printf ("route-%d", number);
  route->host = g_strdup ("here.example");
  route->prefix = g_strdup_printf ("/r%d/", number);
  route->idempotent = true;
  route->timeout = timeout;
  route_add_part (route, "slots", 1);
  routes_add (routes, route);
}

/* Adds a tenant with a key, which has its number, and a rate.  */
static void
add_tenant (routes_t *routes, int number, clock_ms_t rate)
{
  g_autofree char *name = g_strdup_printf ("tenant-%d", number);
  tenant_t *tenant = tenant_new (name);

  g_ptr_array_add (tenant->keys, g_strdup_printf ("key-%d", number));
  tenant->rate_per_s = (double)rate;
  tenant->burst = 2.5;
  routes_add_tenant (routes, tenant);
}

/* Returns a version with the routes and tenants from @first to @last
 * (exclusive).  */
static routes_t *
make_version (uint64_t version, int first, int last, clock_ms_t timeout)
{
  routes_t *routes = routes_new (version);
  service_rules_t *rules = g_new0 (service_rules_t, 1);

  for (int i = first; i < last; i++)
    add_route (routes, i, timeout);
  for (int i = first; i < last; i++)
    add_tenant (routes, i, timeout);
  routes->requires_key = true;
  rules->name = g_strdup ("slots");
  rules->health_path = g_strdup ("/healthz");
  routes_add_service (routes, rules);
  routes_index (routes);
  return routes;
}

/* Guards against a row that is left out of a change or stays in the result
   although it was removed, also over several versions.  */
static void
change_leads_to_the_new_version (void)
{
  config_history_t history;
  routes_t *versions[4]
      = { make_version (3, 0, 5, 800), make_version (7, 0, 6, 800),
          make_version (8, 1, 6, 800), make_version (12, 1, 6, 900) };
  const routes_t *last = versions[3];

  config_history_init (&history);
  for (int i = 0; i < 3; i++)
    config_history_record (&history, versions[i], versions[i + 1]);
  for (int i = 0; i < 4; i++)
    {
      config_change_t *change = config_change_since (
          &history, last, config_digest (last), versions[i]->version);
      routes_t *result = NULL;

      g_assert_cmpuint (change->base, ==, versions[i]->version);
      g_assert_cmpint (config_change_apply (versions[i], change, &result), ==,
                       0);
      g_assert_cmpuint (config_digest (result), ==, config_digest (last));
      g_assert_cmpuint (result->routes->len, ==, 5);
      g_assert_null (routes_find (result, "here.example", "/r0/x"));
      g_assert_true (result->requires_key);
      g_assert_null (routes_find_tenant (result, "key-0"));
      g_assert_cmpfloat (routes_find_tenant (result, "key-5")->rate_per_s, ==,
                         900.0);
      routes_free (result);
      config_change_free (change);
    }
  config_history_clear (&history);
  for (int i = 0; i < 4; i++)
    routes_free (versions[i]);
}

/* Guards against an instance that mixes rows of two versions: a change is
   refused by an instance with another version than its base, and by one whose
   rows are not those of the base.  */
static void
versions_are_not_mixed (void)
{
  config_history_t history;
  routes_t *before = make_version (3, 0, 5, 800);
  routes_t *after = make_version (4, 0, 6, 800);
  routes_t *other = make_version (2, 0, 5, 800);
  routes_t *wrong_rows = make_version (3, 0, 4, 800);
  routes_t *result = NULL;
  config_change_t *change;

  config_history_init (&history);
  config_history_record (&history, before, after);
  change = config_change_since (&history, after, config_digest (after), 3);
  g_assert_cmpuint (change->routes->len, ==, 1);
  g_assert_cmpint (config_change_apply (other, change, &result), ==, -ESTALE);
  g_assert_cmpint (config_change_apply (NULL, change, &result), ==, -ESTALE);
  g_assert_cmpint (config_change_apply (wrong_rows, change, &result), ==,
                   -EBADMSG);
  g_assert_null (result);
  config_change_free (change);
  config_history_clear (&history);
  routes_free (before);
  routes_free (after);
  routes_free (other);
  routes_free (wrong_rows);
}

/* Guards against an instance that is too far behind the history of the sender
   and gets rows that do not make up its version.  */
static void
old_versions_get_the_whole_configuration (void)
{
  config_history_t history;
  routes_t *current = make_version (1, 0, 3, 800);
  config_change_t *change;
  routes_t *result = NULL;

  config_history_init (&history);
  for (int i = 0; i <= CONFIG_HISTORY_STEPS_MAX; i++)
    {
      routes_t *next = make_version (current->version + 1, 0, 3, 801 + i);

      config_history_record (&history, current, next);
      routes_free (current);
      current = next;
    }
  change = config_change_since (&history, current, config_digest (current), 1);
  g_assert_cmpuint (change->base, ==, 0);
  g_assert_cmpuint (change->routes->len, ==, 3);
  g_assert_cmpint (config_change_apply (NULL, change, &result), ==, 0);
  routes_free (result);
  config_change_free (change);
  change = config_change_since (&history, current, config_digest (current), 2);
  g_assert_cmpuint (change->base, ==, 2);
  config_change_free (change);
  config_history_clear (&history);
  routes_free (current);
}

static void
ignore_routes (void *context, const routes_t *routes)
{
  (void)context;
  (void)routes;
}

static void
ignore (void *context)
{
  (void)context;
}

/* Guards against a view that goes back to an older version or keeps wrong rows
   when messages with changes are lost, repeated or late.  */
static void
random_changes_arrive_in_any_order (void)
{
  const view_hooks_t hooks
      = { .routes_changed = ignore_routes, .backends_changed = ignore };
  backends_t *sender_backends = backends_new ("front-1", "a");
  backends_t *receiver_backends = backends_new ("front-2", "a");
  view_t *sender = view_new (sender_backends, &hooks);
  view_t *receiver = view_new (receiver_backends, &hooks);
  GRand *rand = g_rand_new_with_seed (20261);
  uint64_t newest = 0;

  for (int i = 0; i < RANDOM_VERSIONS; i++)
    {
      uint64_t since = 0;
      config_change_t *change;
      fleet_wire_config *wire;
      int result;
      uint64_t before
          = receiver->routes != NULL ? receiver->routes->version : 0;

      newest += (uint64_t)g_rand_int_range (rand, 1, 4);
      view_set_routes (sender,
                       make_version (newest, 0, g_rand_int_range (rand, 1, 40),
                                     g_rand_int_range (rand, 1, 3)));
      if (g_rand_int_range (rand, 0, 3) == 0)
        continue;
      /* The receiver's version, or one that it may have had.  */
      since = g_rand_boolean (rand)
                  ? before
                  : (uint64_t)g_rand_int_range (rand, 0, (gint32)newest);
      change = config_change_since (&sender->config_history, sender->routes,
                                    sender->config_digest, since);
      wire = wire_config_new (change);
      result = wire_apply_config (wire, receiver);
      if (result == 0)
        g_assert_cmpuint (receiver->config_digest, ==, sender->config_digest);
      else
        {
          g_assert_cmpint (result, ==, -ESTALE);
          g_assert_cmpuint (
              receiver->routes != NULL ? receiver->routes->version : 0, ==,
              before);
        }
      g_assert_cmpint (wire_apply_config (wire, receiver), ==, result);
      wire_config_free (wire);
      config_change_free (change);
    }
  g_rand_free (rand);
  view_free (sender);
  view_free (receiver);
  backends_free (sender_backends);
  backends_free (receiver_backends);
}

/* Guards against rows that messages cannot hold: an instance that is told of
   them would keep its older version, with keys that were withdrawn since.  */
static void
large_rows_reach_other_instances (void)
{
  const view_hooks_t hooks
      = { .routes_changed = ignore_routes, .backends_changed = ignore };
  g_autofree char *name = g_strnfill (20000, 'n');
  backends_t *backends[2]
      = { backends_new ("front-1", "a"), backends_new ("front-2", "a") };
  view_t *views[2]
      = { view_new (backends[0], &hooks), view_new (backends[1], &hooks) };
  members_t *members = members_new ("front-1", "a", 1);
  const wire_request_t request = { .parts = FLEET_PART_CONFIG };
  wire_received_t received;
  routes_t *routes = make_version (2, 0, 1, 800);
  tenant_t *tenant = tenant_new (name);
  route_t *route = g_new0 (route_t, 1);
  service_rules_t *rules = g_new0 (service_rules_t, 1);
  GByteArray *data;

  for (int i = 0; i < 5000; i++)
    g_ptr_array_add (tenant->keys, g_strdup_printf ("%.200s-%d", name, i));
  routes_add_tenant (routes, tenant);
  rules->name = g_strdup (name);
  rules->health_path = g_strdup (name);
  routes_add_service (routes, rules);
  route->name = g_strdup (name);
  route->host = g_strdup (name);
  route->prefix = g_strdup (name);
  for (uint32_t i = 0; i < 500; i++)
    route_add_part (route, name, i);
  routes_add (routes, route);
  routes_index (routes);
  view_set_routes (views[0], routes);
  data = wire_encode_snapshot (views[0], members, &request, 0, 1);
  g_assert_cmpint (wire_apply_snapshot ((char *)data->data, data->len,
                                        views[1], members, &received, 1),
                   ==, 0);
  g_assert_cmpint (received.config_error, ==, 0);
  g_assert_cmpuint (views[1]->config_digest, ==, views[0]->config_digest);
  g_assert_cmpstr (
      routes_get_tenant_by_digest (views[1]->routes, tenant_name_digest (name))
          ->name,
      ==, name);
  g_byte_array_free (data, TRUE);
  members_free (members);
  for (int i = 0; i < 2; i++)
    {
      view_free (views[i]);
      backends_free (backends[i]);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/config/change_leads_to_the_new_version",
                   change_leads_to_the_new_version);
  g_test_add_func ("/config/versions_are_not_mixed", versions_are_not_mixed);
  g_test_add_func ("/config/old_versions_get_the_whole_configuration",
                   old_versions_get_the_whole_configuration);
  g_test_add_func ("/config/random_changes_arrive_in_any_order",
                   random_changes_arrive_in_any_order);
  g_test_add_func ("/config/large_rows_reach_other_instances",
                   large_rows_reach_other_instances);
  return g_test_run ();
}
