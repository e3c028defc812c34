#include "store_fixture.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OBJECT                                                                \
  "{\"name\":\"shared/a b\",\"version\":%d,\"revision\":%d,\"deleted\":%s,"   \
  "\"change_id\":\"%s\",\"body\":\"{\\\"x\\\":1}\"}"

httpserver_t *server;
store_t *store;
platform_t platform;

static void
send_response (int fd, const char *status, const char *text)
{
  httpserver_write (fd, "HTTP/1.1 %s\r\nContent-Length: %zu\r\n\r\n%s", status,
                    strlen (text), text);
}

static void
send_object (int fd, const char *status, bool as_list)
{
  char *object = g_strdup_printf (
      OBJECT, platform.version, 100 + platform.version,
      platform.deleted ? "true" : "false", platform.change_id);
  const char *entry = platform.version > 0 ? object : "";
  char *text
      = as_list
            ? g_strdup_printf ("{\"revision\":200,\"objects\":[%s]}", entry)
            : g_strdup (entry);

  send_response (fd, status, text);
  g_free (text);
  g_free (object);
}

static void
update_object (const httpserver_request_t *request)
{
  const char *id = strstr (request->text, "Change-Id: ");

  platform.version++;
  platform.deleted = strcmp (request->method, "DELETE") == 0;
  g_assert_cmpint (sscanf (id, "Change-Id: %63s", platform.change_id), ==, 1);
}

/* Whether the object meets the condition in the request's If-Match or
   If-None-Match header.  */
static bool
meets_precondition (const httpserver_request_t *request)
{
  const char *match = strstr (request->text, "\r\nIf-Match: ");

  if (strstr (request->text, "\r\nIf-None-Match: *\r\n") != NULL)
    return platform.version == 0 || platform.deleted;
  return match != NULL && atoi (match + 12) == platform.version;
}

/* Return: whether the connection is kept open.  */
static bool
respond_to_write (const httpserver_request_t *request)
{
  int fd = request->fd;

  platform.writes++;
  if (strcmp (request->method, "PUT") == 0)
    g_assert_cmpstr (request->body, ==, "{\"x\":1}");
  if (platform.write_behaviour == WRITE_OTHER_CHANGE_FIRST)
    {
      platform.version++;
      g_strlcpy (platform.change_id, "other", sizeof platform.change_id);
      return false;
    }
  if (platform.write_behaviour == WRITE_LOSE_REQUEST)
    return false;
  if (platform.write_behaviour == WRITE_UNAVAILABLE
      || platform.write_behaviour == WRITE_INVALID)
    {
      send_response (fd,
                     platform.write_behaviour == WRITE_INVALID ? "400 Bad"
                                                               : "503 Busy",
                     "");
      return true;
    }
  if (!meets_precondition (request))
    {
      send_object (fd, "409 Conflict", false);
      return true;
    }
  update_object (request);
  if (platform.write_behaviour == WRITE_OTHER_CHANGE_AFTER)
    {
      platform.version++;
      g_strlcpy (platform.change_id, "other", sizeof platform.change_id);
    }
  if (platform.write_behaviour == WRITE_MALFORMED)
    send_response (fd, "200 OK", "{\"version\":");
  if (platform.write_behaviour == WRITE_OK)
    send_object (fd, "200 OK", false);
  if (platform.write_behaviour == WRITE_SILENT)
    {
      pthread_mutex_unlock (&platform.lock);
      httpserver_drain (fd);
      pthread_mutex_lock (&platform.lock);
    }
  return platform.write_behaviour == WRITE_OK;
}

/* Sends a list of @count objects whose bodies have @length bytes.  */
static void
send_large_list (int fd, int count, size_t length)
{
  char *value = g_strnfill (length, 'x');
  GString *text = g_string_new ("{\"revision\":1,\"objects\":[");

  for (int i = 0; i < count; i++)
    g_string_append_printf (text,
                            "%s{\"name\":\"a\",\"version\":1,"
                            "\"revision\":1,\"body\":\"%s\"}",
                            i > 0 ? "," : "", value);
  g_string_append (text, "]}");
  send_response (fd, "200 OK", text->str);
  g_string_free (text, TRUE);
  g_free (value);
}

/* Return: whether the connection is kept open.  */
static bool
respond_to_read (const httpserver_request_t *request)
{
  const char *path = request->path;
  int fd = request->fd;

  if (strcmp (path, "/objects/shared/a%20b") == 0)
    send_object (fd, platform.version > 0 ? "200 OK" : "404 None", false);
  else if (strcmp (path, "/instances") == 0)
    send_response (fd, "200 OK",
                   "{\"instances\":[{\"name\":\"i1\",\"data_centre\":\"d\","
                   "\"address\":\"127.0.0.1:1\",\"state\":\"live\"},"
                   "{\"name\":\"i2\",\"state\":\"leaving\"}]}");
  else if (strstr (path, "prefix=silent") != NULL)
    httpserver_drain (fd);
  else if (strstr (path, "prefix=twice") != NULL)
    {
      send_object (fd, "200 OK", true);
      sem_wait (&platform.first_response_read);
      send_response (fd, "200 OK", "{\"revision\":999,\"objects\":[]}");
      sem_post (&platform.second_response_sent);
    }
  else if (strstr (path, "prefix=cut") != NULL)
    httpserver_write (fd, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{");
  else if (strstr (path, "prefix=error") != NULL)
    send_response (fd, "500 Error", "{\"revision\":1,\"objects\":[]}");
  else if (strstr (path, "prefix=bad") != NULL)
    send_response (
        fd, "200 OK",
        "{\"revision\":1,\"objects\":[{\"name\":\"a\",\"version\":1,"
        "\"revision\":1},{\"name\":\"b\",\"revision\":1}]}");
  else if (strstr (path, "prefix=large") != NULL)
    send_large_list (fd, 1, STORE_VALUE_MAX_BYTES + 1);
  else if (strstr (path, "prefix=full") != NULL)
    send_large_list (fd, 1, STORE_VALUE_MAX_BYTES);
  else if (strstr (path, "prefix=huge") != NULL)
    send_large_list (fd, 17, STORE_VALUE_MAX_BYTES);
  else
    {
      g_strlcpy (platform.list_target, path, sizeof platform.list_target);
      send_object (fd, "200 OK", true);
    }
  return strstr (path, "prefix=cut") == NULL;
}

static bool
handle_request (void *context, const httpserver_request_t *request)
{
  bool keep;

  (void)context;
  if (strstr (request->path, "prefix=silent") != NULL)
    return respond_to_read (request);
  pthread_mutex_lock (&platform.lock);
  if (strcmp (request->method, "GET") == 0)
    keep = respond_to_read (request);
  else
    keep = respond_to_write (request);
  pthread_mutex_unlock (&platform.lock);
  return keep;
}

void
store_fixture_run (gconstpointer test)
{
  memset (&platform, 0, sizeof platform);
  pthread_mutex_init (&platform.lock, NULL);
  sem_init (&platform.first_response_read, 0, 0);
  sem_init (&platform.second_response_sent, 0, 0);
  platform.version = 3;
  g_strlcpy (platform.change_id, "first", sizeof platform.change_id);
  server = httpserver_start (handle_request, NULL);
  store = store_new (httpserver_get_address (server));
  ((void (*) (void))test) ();
  store_free (store);
  httpserver_stop (server);
}
