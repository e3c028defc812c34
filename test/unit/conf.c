#include "conf.h"

#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define LISTEN                                                                \
  "\"listen\":{\"callers\":\"127.0.0.1:1\",\"admin\":\"127.0.0.1:2\","        \
  "\"peers\":\"127.0.0.1:3\"}"
#define STORE "\"store\":{\"url\":\"http://127.0.0.1:9\"}"
#define IDENTITY "\"instance\":\"a\",\"data_centre\":\"q\""
/* @port: last digit of both port numbers.  */
#define INSTANCE(name, port)                                                  \
  "{\"name\":\"" name                                                         \
  "\",\"data_centre\":\"q\",\"callers\":\"10.0.0.1:1" port                    \
  "\",\"peers\":\"10.0.0.1:2" port "\"}"
#define INSTANCE_LIST "\"instances\":[" INSTANCE ("a", "1") "]"
#define SETTINGS_WITH(more)                                                   \
  "{" IDENTITY "," LISTEN "," INSTANCE_LIST "," STORE "," more "}"
#define SETTINGS_WITH_INSTANCES(list)                                         \
  "{" IDENTITY "," LISTEN "," STORE ",\"instances\":[" list "]}"

static const struct
{
  const char *text;
  const char *message; /* expected error text without the file name "f" */
} bad_settings[] = {
  { "", ":1:1: unexpected end of text" },
  { "{\n  \"instance\": x}", ":2:15: unexpected character" },
  { "{\"instance\":\"\xff\"}", ":1:14: invalid utf-8 string" },
  { "{} {}", ":1:4: text after the end" },
  { "{} \"", ":1:4: text after the end" },
  { "{} /* open", ":1:11: unexpected end of text" },
  { "12", ": $: must be an object" },
  { "[[[[[[[[[[[[[[[[", ":1:13: nesting too deep" },
  { "[]", ": $: must be an object" },
  { "{}", ": $.instance: missing" },
  { "{" IDENTITY ",\"colour\":1}", ": $: unknown key \"colour\"" },
  { "{" IDENTITY ",\"\\u0001\xc3\xa5\":1}", ": $: unknown key \"???\"" },
  { "{\"instance\":3}", ": $.instance: must be a string" },
  { "{\"instance\":null}", ": $.instance: must be a string" },
  { "{\"instance\":\"a b\"}",
    ": $.instance: \"a b\" is not a name (letters, digits, '-', '_', '.')" },
  { "{\"instance\":\"\"}",
    ": $.instance: \"\" is not a name (letters, digits, '-', '_', '.')" },
  { "{\"instance\":\"a\\u0000b\"}", ": $.instance: contains a NUL character" },
  { "{\"instance\":\"0123456789012345678901234567890123456789012345678901234"
    "567890123\"}",
    ": $.instance: longer than 63 bytes" },
  { "{" IDENTITY "}", ": $.listen: missing" },
  { "{" IDENTITY ",\"listen\":[]}", ": $.listen: must be an object" },
  { "{" IDENTITY ",\"listen\":{\"callers\":\"localhost:80\"}}",
    ": $.listen.callers: \"localhost:80\" is not IP:PORT" },
  { "{" IDENTITY ",\"listen\":{\"callers\":\"127.0.0.1:1\"}}",
    ": $.listen.admin: missing" },
  { "{" IDENTITY ",\"listen\":{\"callers\":\"127.0.0.1:1\",\"admin\":"
    "\"127.0.0.1:2\",\"peers\":\"127.0.0.1:1\"}}",
    ": $.listen: two of the addresses are equal" },
  { SETTINGS_WITH_INSTANCES (""), ": $.instances: must have 1 to 16 items" },
  { SETTINGS_WITH_INSTANCES ("7"), ": $.instances[0]: must be an object" },
  { SETTINGS_WITH_INSTANCES (INSTANCE ("a", "1") "," INSTANCE ("a", "2")),
    ": $.instances[1].name: duplicate instance \"a\"" },
  { SETTINGS_WITH_INSTANCES (INSTANCE ("a", "1") "," INSTANCE ("b", "1")),
    ": $.instances[1].callers: same address as instance \"a\"" },
  { SETTINGS_WITH_INSTANCES (INSTANCE ("b", "1")),
    ": $.instances: own instance \"a\" is not listed" },
  { SETTINGS_WITH_INSTANCES (
        "{\"name\":\"a\",\"data_centre\":\"z\",\"callers\":"
        "\"10.0.0.1:1\",\"peers\":\"10.0.0.1:2\"}"),
    ": $.instances[0].data_centre: differs from $.data_centre \"q\"" },
  { SETTINGS_WITH_INSTANCES (
        "{\"name\":\"a\",\"data_centre\":\"q\",\"callers\":"
        "\"10.0.0.1:0\"}"),
    ": $.instances[0].callers: \"10.0.0.1:0\" is not IP:PORT" },
  { "{" IDENTITY "," LISTEN "," INSTANCE_LIST "}", ": $.store: missing" },
  { "{" IDENTITY "," LISTEN "," INSTANCE_LIST
    ",\"store\":{\"url\":\"http://h/\"}}",
    ": $.store.url: \"http://h/\" is not an http or https URL with an IP "
    "number" },
  { "{" IDENTITY "," LISTEN "," INSTANCE_LIST
    ",\"store\":{\"url\":\"http://127.0.0.1:9\",\"timeout_ms\":49}}",
    ": $.store.timeout_ms: must be from 50 to 5000" },
  { SETTINGS_WITH ("\"workers\":0"), ": $.workers: must be from 1 to 4096" },
  { SETTINGS_WITH ("\"workers\":4097"),
    ": $.workers: must be from 1 to 4096" },
  { SETTINGS_WITH ("\"workers\":99999999999999999999999"),
    ": $.workers: must be from 1 to 4096" },
  { SETTINGS_WITH ("\"workers\":8.0"), ": $.workers: must be a whole number" },
  { SETTINGS_WITH ("\"workers\":\"8\""),
    ": $.workers: must be a whole number" },
  { SETTINGS_WITH ("\"limits\":{\"body_bytes\":1023}"),
    ": $.limits.body_bytes: must be from 1024 to 67108864" },
  { SETTINGS_WITH ("\"limits\":{\"key_bytes\":1048575}"),
    ": $.limits.key_bytes: must be from 1048576 to 4294967296" },
  { SETTINGS_WITH ("\"limits\":{\"x\":1}"), ": $.limits: unknown key \"x\"" },
  { SETTINGS_WITH ("\"trace\":1.01"), ": $.trace: must be from 0 to 1" },
  { SETTINGS_WITH ("\"trace\":NaN"), ": $.trace: must be from 0 to 1" },
  { SETTINGS_WITH ("\"trace\":true"), ": $.trace: must be a number" },
  { SETTINGS_WITH ("\"log_level\":\"loud\""),
    ": $.log_level: must be error, critical, warning, notice, info or debug" },
  { SETTINGS_WITH ("\"policy\":\"best\""),
    ": $.policy: must be owner, random, round-robin, least-outstanding or "
    "power-of-two" },
  { SETTINGS_WITH ("\"seed\":-1"),
    ": $.seed: must be from 0 to 9223372036854775807" },
  { SETTINGS_WITH ("\"advertise\":\"[::1]:080\""),
    ": $.advertise: \"[::1]:080\" is not IP:PORT" },
};

/* Guards against faulty settings that are accepted, and against error messages
   that do not say where the fault is.  */
static void
test_bad_settings (void)
{
  conf_settings_t settings;
  conf_error_t error;

  for (size_t i = 0; i < G_N_ELEMENTS (bad_settings); i++)
    {
      const char *text = bad_settings[i].text;
      g_autofree char *message
          = g_strconcat ("f", bad_settings[i].message, NULL);

      g_assert_cmpint (
          conf_parse_settings ("f", text, strlen (text), &settings, &error),
          ==, -EINVAL);
      g_assert_cmpstr (error.text, ==, message);
    }
  g_assert_cmpint (conf_parse_settings ("f", "{}\0 ", 4, &settings, &error),
                   ==, -EINVAL);
  g_assert_cmpstr (error.text, ==, "f:1:3: NUL byte");
  g_assert_cmpint (conf_read_settings ("/nonexistent", &settings, &error), ==,
                   -ENOENT);
  g_assert_cmpstr (error.text, ==, "/nonexistent: No such file or directory");
}

/* Guards against comments, or values at the ends of their ranges, that are
   refused, and against changed defaults.  */
static void
test_good_settings (void)
{
  static const char full[] = "// head\n" SETTINGS_WITH (
      "\"advertise\":\"[::1]:65535\",\"group\":\"g\",\"workers\":4096,"
      "\"limits\":{\"body_bytes\":1024,\"header_bytes\":65536,"
      "\"request_header_ms\":100,\"key_bytes\":4294967296},/* inner "
      "*/\"log_level\":\"debug\","
      "\"trace\":1,\"policy\":\"power-of-two\","
      "\"seed\":9223372036854775807") " // tail";
  static const char minimal[] = SETTINGS_WITH ("\"trace\":0.5");
  conf_settings_t settings;
  conf_error_t error;

  g_assert_cmpint (
      conf_parse_settings ("f", full, strlen (full), &settings, &error), ==,
      0);
  g_assert_cmpstr (error.text, ==, "");
  g_assert_cmpstr (settings.advertised_address, ==, "[::1]:65535");
  g_assert_cmpstr (settings.group, ==, "g");
  g_assert_cmpuint (settings.workers, ==, 4096);
  g_assert_cmpuint (settings.body_bytes, ==, 1024);
  g_assert_cmpuint (settings.header_bytes, ==, 65536);
  g_assert_cmpint (settings.request_header_timeout_ms, ==, 100);
  g_assert_cmpuint (settings.key_bytes_limit, ==, UINT64_C (4294967296));
  g_assert_cmpint (settings.log_level, ==, G_LOG_LEVEL_DEBUG);
  g_assert_cmpfloat (settings.trace, ==, 1.0);
  g_assert_cmpint (settings.policy, ==, CONF_POLICY_POWER_OF_TWO);
  g_assert_true (settings.has_seed);
  g_assert_cmpuint (settings.seed, ==, INT64_MAX);

  g_assert_cmpint (
      conf_parse_settings ("f", minimal, strlen (minimal), &settings, &error),
      ==, 0);
  g_assert_cmpstr (settings.advertised_address, ==, "10.0.0.1:11");
  g_assert_cmpstr (settings.listen_peers, ==, "127.0.0.1:3");
  g_assert_cmpstr (settings.group, ==, "default");
  g_assert_cmpstr (settings.store_url, ==, "http://127.0.0.1:9");
  g_assert_cmpint (settings.store_timeout_ms, ==, 800);
  g_assert_cmpuint (settings.key_bytes_limit, ==, 67108864);
  g_assert_cmpint (settings.log_level, ==, G_LOG_LEVEL_INFO);
  g_assert_cmpint (settings.policy, ==, CONF_POLICY_OWNER);
  g_assert_cmpuint (settings.instance_count, ==, 1);
  g_assert_false (settings.has_seed);
}

#define PROFILE_NAME "shared/profile/p"
#define SERVICE_NAME "shared/service/s"
#define ENDPOINT(id, port, slots)                                             \
  "{\"id\":\"" id "\",\"data_centre\":\"q\",\"address\":\"10.0.0.1:" port     \
  "\",\"slots\":" slots "}"
#define SERVICE(list) "{\"profile\":\"p\",\"endpoints\":[" list "]}"

static const struct
{
  const char *name;
  const char *body;
  const char *message; /* expected error text */
} bad_objects[] = {
  { "shared/other/x", "{}", "shared/other/x: not a kind of object" },
  { "shared/profile/", "{}",
    "shared/profile/\"\" is not a name (letters, digits, '-', '_', '.', at "
    "most 63 bytes)" },
  { "shared/profile/a/b", "{}",
    "shared/profile/\"a/b\" is not a name (letters, digits, '-', '_', '.', "
    "at most 63 bytes)" },
  { PROFILE_NAME, "{", PROFILE_NAME ":1:2: unexpected end of text" },
  { PROFILE_NAME, "{\"priority\":8}",
    PROFILE_NAME ": $.priority: must be from 0 to 7" },
  { PROFILE_NAME, "{\"priority\":-1}",
    PROFILE_NAME ": $.priority: must be from 0 to 7" },
  { PROFILE_NAME, "{\"timeout_ms\":9}",
    PROFILE_NAME ": $.timeout_ms: must be from 10 to 600000" },
  { PROFILE_NAME, "{\"run_ms\":60001}",
    PROFILE_NAME ": $.run_ms: must be from 10 to 60000" },
  { PROFILE_NAME, "{\"queue_max\":10001}",
    PROFILE_NAME ": $.queue_max: must be from 0 to 10000" },
  { PROFILE_NAME, "{\"retry\":1}",
    PROFILE_NAME ": $.retry: must be true or false" },
  { PROFILE_NAME, "{\"unknown_retries_per_mille\":101}",
    PROFILE_NAME ": $.unknown_retries_per_mille: must be from 0 to 100" },
  { PROFILE_NAME, "{\"hedge\":true,\"hedge_after_ms\":2000}",
    PROFILE_NAME
    ": $.hedge_after_ms: must be less than run_ms (2000) when hedge is "
    "true" },
  { PROFILE_NAME, "{\"key_retention_ms\":2999}",
    PROFILE_NAME ": $.key_retention_ms: must be at least timeout_ms (3000)" },
  { PROFILE_NAME, "{\"idempotent_prefix\":\"x\"}",
    PROFILE_NAME ": $.idempotent_prefix: must begin with '/'" },
  { PROFILE_NAME, "{\"run\":1}", PROFILE_NAME ": $: unknown key \"run\"" },
  { SERVICE_NAME,
    "{\"profile\":\"p\",\"groups\":[\"a\",\"a\"],\"endpoints\":[" ENDPOINT (
        "e", "1", "1") "]}",
    SERVICE_NAME ": $.groups[1]: duplicate name \"a\"" },
  { SERVICE_NAME,
    "{\"profile\":\"p\",\"key_region\":\"r\",\"endpoints\":[" ENDPOINT (
        "e", "1", "1") "]}",
    SERVICE_NAME ": $.key_region: no endpoint is in data centre \"r\"" },
  { SERVICE_NAME, "{}", SERVICE_NAME ": $.profile: missing" },
  { SERVICE_NAME, SERVICE (""),
    SERVICE_NAME ": $.endpoints: must have 1 to 256 items" },
  { SERVICE_NAME, SERVICE (ENDPOINT ("e", "1", "0")),
    SERVICE_NAME ": $.endpoints[0].slots: must be from 1 to 64" },
  { SERVICE_NAME, SERVICE (ENDPOINT ("e", "1", "65")),
    SERVICE_NAME ": $.endpoints[0].slots: must be from 1 to 64" },
  { SERVICE_NAME,
    SERVICE (ENDPOINT ("e", "1", "1") "," ENDPOINT ("e", "2", "1")),
    SERVICE_NAME ": $.endpoints[1].id: duplicate endpoint \"e\"" },
  { SERVICE_NAME,
    SERVICE (ENDPOINT ("e", "1", "1") "," ENDPOINT ("f", "1", "1")),
    SERVICE_NAME ": $.endpoints[1].address: same address as endpoint \"e\"" },
  { "shared/out/instance/i", "{\"x\":1}",
    "shared/out/instance/i: $: unknown key \"x\"" },
  { "shared/ownership/g", "{\"members\":[],\"data_centres\":[]}",
    "shared/ownership/g: $.members: must have 1 to 16 items" },
  { "shared/ownership/g",
    "{\"members\":[{\"name\":\"a\",\"data_centre\":\"q\",\"incarnation\":"
    "\"1\",\"state\":\"active\"}],\"data_centres\":[]}",
    "shared/ownership/g: $.members[0].incarnation: must be 16 hexadecimal "
    "digits" },
  { "shared/ownership/g",
    "{\"members\":[{\"name\":\"a\",\"data_centre\":\"q\",\"incarnation\":"
    "\"0x00000000000001\",\"state\":\"active\"}],\"data_centres\":[]}",
    "shared/ownership/g: $.members[0].incarnation: must be 16 hexadecimal "
    "digits" },
  { "shared/ownership/g",
    "{\"members\":[{\"name\":\"a\",\"data_centre\":\"q\",\"incarnation\":"
    "\"0000000000000001\",\"state\":\"gone\"}],\"data_centres\":[]}",
    "shared/ownership/g: $.members[0].state: must be active or leaving" },
};

/* Guards against faulty configuration objects that are accepted.  The first
   one has an unknown kind and is reported as -ENOENT, all others as
   -EINVAL.  */
static void
test_bad_objects (void)
{
  conf_object_t *object;
  conf_error_t error;
  g_autofree char *large = g_strnfill (2 << 20, ' ');

  for (size_t i = 0; i < G_N_ELEMENTS (bad_objects); i++)
    {
      g_assert_cmpint (conf_parse_object (bad_objects[i].name,
                                          bad_objects[i].body, 1, 1, false,
                                          &object, &error),
                       ==, i == 0 ? -ENOENT : -EINVAL);
      g_assert_cmpstr (error.text, ==, bad_objects[i].message);
      g_assert_null (object);
    }
  g_assert_cmpint (
      conf_parse_object (PROFILE_NAME, large, 1, 1, false, &object, &error),
      ==, -EINVAL);
  g_assert_cmpstr (error.text, ==, PROFILE_NAME ": longer than 1048576 bytes");
}

/* Guards against changed defaults, and against fields that are lost when a
   profile is parsed and formatted.  */
static void
test_profile (void)
{
  conf_object_t *object;
  conf_error_t error;
  char *text;

  g_assert_cmpint (conf_parse_object (PROFILE_NAME, "{ /* defaults */ }", 4, 9,
                                      false, &object, &error),
                   ==, 0);
  g_assert_cmpstr (object->object.name, ==, PROFILE_NAME);
  g_assert_cmpuint (object->object.version, ==, 4);
  g_assert_cmpuint (object->object.revision, ==, 9);
  g_assert_cmpstr (object->object.u.profile->name, ==, "p");
  text = conf_format_profile (object->object.u.profile);
  g_assert_cmpstr (
      text, ==,
      "{\"priority\":3,\"timeout_ms\":3000,\"run_ms\":2000,\"queue_max\":64,"
      "\"retry\":true,\"unknown_retries_per_mille\":100,\"hedge\":false,"
      "\"hedge_after_ms\":100,"
      "\"key_retention_ms\":600000,\"idempotent_prefix\":\"\"}");
  conf_object_free (object);
  free (text);
  g_assert_cmpint (
      conf_parse_object (
          PROFILE_NAME,
          "{\"priority\":7,\"timeout_ms\":10,\"run_ms\":60000,\"queue_max\":0,"
          "\"retry\":false,\"unknown_retries_per_mille\":4,"
          "\"hedge\":true,\"hedge_after_ms\":1,"
          "\"key_retention_ms\":1000,\"idempotent_prefix\":\"/find\"}",
          4, 9, false, &object, &error),
      ==, 0);
  text = conf_format_profile (object->object.u.profile);
  g_assert_cmpstr (text, ==,
                   "{\"priority\":7,\"timeout_ms\":10,\"run_ms\":60000,"
                   "\"queue_max\":0,\"retry\":false,"
                   "\"unknown_retries_per_mille\":4,\"hedge\":true,"
                   "\"hedge_after_ms\":1,\"key_retention_ms\":1000,"
                   "\"idempotent_prefix\":\"/find\"}");
  conf_object_free (object);
  free (text);
}

/* Guards against services whose endpoints are lost or mixed up, and against
   tombstones that are refused because they have no body.  */
static void
test_service_and_tombstone (void)
{
  conf_object_t *object;
  conf_error_t error;

  g_assert_cmpint (
      conf_parse_object (
          SERVICE_NAME,
          SERVICE (ENDPOINT ("e", "1", "64") "," ENDPOINT ("f", "2", "1")), 1,
          1, false, &object, &error),
      ==, 0);
  g_assert_cmpint (object->object.kind, ==, DECIDE_OBJECT_SERVICE);
  g_assert_cmpuint (object->object.u.service->endpoint_count, ==, 2);
  g_assert_cmpuint (object->object.u.service->endpoints[0].slots, ==, 64);
  g_assert_cmpstr (object->object.u.service->endpoints[1].address, ==,
                   "10.0.0.1:2");
  conf_object_free (object);
  g_assert_cmpint (
      conf_parse_object (SERVICE_NAME, NULL, 2, 3, true, &object, &error), ==,
      0);
  g_assert_true (object->object.deleted);
  g_assert_null (object->object.u.service);
  conf_object_free (object);
  g_assert_cmpint (conf_parse_object ("shared/out/data-centre/q", NULL, 2, 3,
                                      true, &object, &error),
                   ==, 0);
  g_assert_cmpstr (object->object.u.out, ==, "q");
  conf_object_free (object);
}

/* Guards against 64-bit values that change when a record is formatted as JSON
   and parsed again.  */
static void
test_record (void)
{
  static decide_record_t record;
  conf_object_t *object;
  conf_error_t error;
  char *text;
  const decide_record_t *parsed;

  record.member_count = DECIDE_MEMBERS_MAX;
  for (int i = 0; i < DECIDE_MEMBERS_MAX; i++)
    {
      (void)g_snprintf (record.members[i].name, DECIDE_NAME_MAX, "m%d", i);
      memcpy (record.members[i].data_centre, "q", 2);
      record.members[i].incarnation = UINT64_MAX - (uint64_t)i;
      record.members[i].state = i % 2;
    }
  record.centre_count = 2;
  memcpy (record.centres[0].name, DECIDE_KEY_CENTRE, 2);
  memcpy (record.centres[1].name, "q", 2);
  for (int i = 0; i < DECIDE_SLICES; i++)
    record.centres[1].slices[i]
        = (decide_slice_t){ .owner = decide_id ("m1") + (uint64_t)i,
                            .incarnation = INT64_MAX + 7ULL,
                            .assigned = INT64_MAX };
  text = conf_format_record (&record);
  g_assert_cmpint (conf_parse_object ("shared/ownership/g", text, 12, 13,
                                      false, &object, &error),
                   ==, 0);
  parsed = object->object.u.record;
  g_assert_cmpuint (parsed->version, ==, 12);
  record.version = 12;
  g_assert_cmpmem (parsed, sizeof *parsed, &record, sizeof record);
  conf_object_free (object);
  free (text);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/conf/settings/bad", test_bad_settings);
  g_test_add_func ("/conf/settings/good", test_good_settings);
  g_test_add_func ("/conf/object/bad", test_bad_objects);
  g_test_add_func ("/conf/object/profile", test_profile);
  g_test_add_func ("/conf/object/service", test_service_and_tombstone);
  g_test_add_func ("/conf/object/record", test_record);
  return g_test_run ();
}
