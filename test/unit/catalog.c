/* Tests of the catalog: an object is not replaced by an older one, the
   catalog's revision has no gaps, and pools are rebuilt when their service
   changes.  */

#include "catalog.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

static int
apply_profile (catalog_t *catalog, uint64_t previous, uint64_t revision,
               clock_ms_t timeout_ms)
{
  decide_profile_t profile = { .name = "slots", .timeout_ms = timeout_ms };
  decide_object_t object = { .kind = DECIDE_OBJECT_PROFILE,
                             .name = "shared/profile/slots",
                             .version = revision,
                             .revision = revision,
                             .body = "{}",
                             .u.profile = &profile };

  return catalog_store_object (catalog, previous, &object);
}

static int
apply_service (catalog_t *catalog, uint64_t revision, uint32_t endpoints,
               uint32_t centres)
{
  decide_endpoint_t list[64];
  decide_service_t service = { .name = "booking",
                               .profile = "slots",
                               .endpoint_count = endpoints,
                               .endpoints = list };
  decide_object_t object = { .kind = DECIDE_OBJECT_SERVICE,
                             .name = "shared/service/booking",
                             .version = revision,
                             .revision = revision,
                             .body = "{}",
                             .u.service = &service };

  memset (list, 0, sizeof list);
  for (uint32_t i = 0; i < endpoints; i++)
    {
      g_snprintf (list[i].name, sizeof list[i].name, "e%u", i);
      g_snprintf (list[i].data_centre, sizeof list[i].data_centre, "dc%u",
                  i % centres);
      list[i].slots = 3;
    }
  return catalog_store_object (catalog, UINT64_MAX, &object);
}

/* Guards against an older profile that arrives late and replaces a newer
   one.  */
static void
test_never_reverts (void)
{
  catalog_t *catalog = catalog_new ();
  decide_id_t booking = decide_id ("booking");

  g_assert_cmpint (apply_service (catalog, 1, 1, 1), >, 0);
  g_assert_cmpint (apply_profile (catalog, UINT64_MAX, 5, 500), >, 0);
  g_assert_cmpint (apply_profile (catalog, UINT64_MAX, 3, 300), ==, -ESTALE);
  g_assert_cmpint (apply_profile (catalog, UINT64_MAX, 5, 300), ==, -ESTALE);
  g_assert_cmpint (catalog_get_profile (catalog, booking)->timeout_ms, ==,
                   500);
  catalog_free (catalog);
}

/* Guards against a catalog revision that is higher than the revision of an
   object that was not received.  When the objects from a peer have a gap, the
   catalog's revision must not advance past it, so that the missing objects
   are requested.  */
static void
test_revision_has_no_gap (void)
{
  catalog_t *catalog = catalog_new ();

  apply_profile (catalog, 0, 2, 100);
  g_assert_cmpuint (catalog_revision (catalog), ==, 2);
  apply_profile (catalog, 4, 6, 100);
  g_assert_cmpuint (catalog_revision (catalog), ==, 2);
  catalog_mark_synced (catalog, 2, 6);
  g_assert_cmpuint (catalog_revision (catalog), ==, 6);
  catalog_mark_synced (catalog, 0, 4);
  g_assert_cmpuint (catalog_revision (catalog), ==, 6);
  catalog_free (catalog);
}

/* @context: two numbers, the revision of the last object visited and the
   number of objects visited.  */
static void
count_object (void *context, const decide_msg_object_t *object)
{
  uint64_t *last_and_count = context;

  g_assert_cmpuint (object->previous, ==, last_and_count[0]);
  g_assert_cmpuint (object->revision, >, last_and_count[0]);
  last_and_count[0] = object->revision;
  last_and_count[1]++;
}

/* Guards against sending objects to a peer out of order, or sending an object
   although an earlier change may be missing.  */
static void
test_each_object_after (void)
{
  catalog_t *catalog = catalog_new ();
  uint64_t last_and_count[2] = { 3, 0 };

  apply_service (catalog, 9, 1, 1);
  apply_profile (catalog, UINT64_MAX, 4, 100);
  catalog_mark_synced (catalog, 0, 5);
  catalog_each_object_after (catalog, 3, count_object, last_and_count);
  g_assert_cmpuint (last_and_count[1], ==, 1);
  catalog_mark_synced (catalog, 5, 9);
  last_and_count[0] = 3;
  last_and_count[1] = 0;
  catalog_each_object_after (catalog, 3, count_object, last_and_count);
  g_assert_cmpuint (last_and_count[1], ==, 2);
  catalog_free (catalog);
}

/* Guards against pools that are too large, and against endpoints that are in
   no pool or in two.  */
static void
test_pools (void)
{
  catalog_t *catalog = catalog_new ();
  decide_id_t booking = decide_id ("booking");
  const catalog_service_t *service;
  uint32_t endpoints_in_pools = 0;

  apply_service (catalog, 1, 20, 3);
  service = catalog_find_service (catalog, booking);
  g_assert_cmpuint (service->pool_count, ==, 6);
  for (uint32_t i = 0; i < service->pool_count; i++)
    {
      const catalog_pool_t *pool = catalog_pool (catalog, service->pools[i]);

      g_assert_cmpuint (pool->count, <=, DECIDE_POOL_ENDPOINTS_MAX);
      endpoints_in_pools += pool->count;
      for (uint32_t j = 0; j < pool->count; j++)
        g_assert_cmpstr (catalog_endpoint (catalog, pool->endpoints[j])
                             ->endpoint.data_centre,
                         ==, pool->centre_name);
    }
  g_assert_cmpuint (endpoints_in_pools, ==, 20);

  /* Endpoints that the service's new, shorter list lacks become unused; their
     handles stay valid.  */
  apply_service (catalog, 2, 2, 1);
  g_assert_cmpuint (service->pool_count, ==, 1);
  g_assert_cmpuint (catalog_endpoint_count (catalog), ==, 20);
  g_assert_false (catalog_endpoint (catalog, 5)->live);
  catalog_free (catalog);
}

/* Guards against a service that still exists after its deletion, or that an
   older object restores.  */
static void
test_delete (void)
{
  catalog_t *catalog = catalog_new ();
  decide_id_t booking = decide_id ("booking");
  decide_object_t object = { .kind = DECIDE_OBJECT_SERVICE,
                             .name = "shared/service/booking",
                             .revision = 2,
                             .deleted = true };

  apply_service (catalog, 1, 4, 1);
  g_assert_cmpint (catalog_store_object (catalog, UINT64_MAX, &object), >, 0);
  g_assert_null (catalog_find_service (catalog, booking));
  g_assert_cmpint (apply_service (catalog, 1, 4, 1), ==, -ESTALE);
  g_assert_null (catalog_find_service (catalog, booking));
  catalog_free (catalog);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/catalog/never-reverts", test_never_reverts);
  g_test_add_func ("/catalog/no-gap", test_revision_has_no_gap);
  g_test_add_func ("/catalog/each-since", test_each_object_after);
  g_test_add_func ("/catalog/pools", test_pools);
  g_test_add_func ("/catalog/delete", test_delete);
  return g_test_run ();
}
