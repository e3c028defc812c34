#include "backend_fixture.h"

#include <pthread.h>
#include <string.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#define LOAD_JSON                                                             \
  "{\"in_flight\":2,\"queued\":1,\"slots\":3,\"cold\":true,\"draining\":0,"   \
  "\"identity\":\"fe\"}"

#define RESPONSE_OK "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
#define RESPONSE_OTHER "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"

httpserver_t *server;
backend_pool_t *pool;
int release_fd;
int written_fd;
const char *response_field;

static bool
handle_request (void *context, const httpserver_request_t *request)
{
  const char *path = request->path;
  int fd = request->fd;
  uint64_t one;

  (void)context;
  if (strcmp (request->method, "HEAD") == 0)
    {
      httpserver_write (fd, "HTTP/1.1 200 OK\r\n\r\n");
      return true;
    }
  if (strcmp (path, "/truncated") == 0)
    httpserver_write (fd, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
  else if (strcmp (path, "/chunk-truncated") == 0)
    httpserver_write (fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                          "\r\n\r\n3\r\nabc\r\n");
  else if (strcmp (path, "/unframed") == 0)
    httpserver_write (fd, "HTTP/1.1 200 OK\r\n\r\nabc");
  else if (strcmp (path, "/two-lengths") == 0)
    httpserver_write (fd, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
                          "Content-Length: 2\r\n\r\nabc");
  else if (strcmp (path, "/garbage") == 0)
    httpserver_write (fd, "no http at all\r\n\r\n");
  else if (g_str_has_prefix (path, "/status-"))
    httpserver_write (fd, "HTTP/1.1 %s Odd\r\nContent-Length: 2\r\n\r\nok",
                      path + strlen ("/status-"));
  else if (strcmp (path, "/field") == 0)
    httpserver_write (fd,
                      "HTTP/1.1 200 OK\r\n%s\r\nContent-Length: 2\r\n\r\nok",
                      response_field);
  else if (strcmp (path, "/close-reused") == 0 && request->number > 1)
    return false;
  else if (strcmp (path, "/silent") == 0)
    httpserver_drain (fd);
  else if (strcmp (path, "/extra") == 0)
    {
      httpserver_write (fd, RESPONSE_OK RESPONSE_OTHER);
      return true;
    }
  else if (strcmp (path, "/extra-later") == 0)
    {
      httpserver_write (fd, RESPONSE_OK);
      /* Waits until the test has received the first response.  */
      (void)!read (release_fd, &one, sizeof one);
      httpserver_write (fd, RESPONSE_OTHER);
      (void)!write (written_fd, &one, sizeof one);
      return true;
    }
  else if (strcmp (path, "/interim") == 0)
    {
      httpserver_write (fd, "HTTP/1.1 103 Hints\r\nRequest-Ran: no\r\n"
                            "X-Hint: 1\r\n\r\n" RESPONSE_OK);
      return true;
    }
  else if (strcmp (path, "/slow-body") == 0)
    {
      httpserver_write (fd, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
      httpserver_drain (fd);
    }
  else if (strcmp (path, "/large-header") == 0)
    httpserver_write (fd,
                      "HTTP/1.1 200 OK\r\nA: %01000d\r\n"
                      "Content-Length: 0\r\n\r\n",
                      1);
  else
    {
      if (strcmp (path, "/held") == 0)
        (void)!read (release_fd, &one, sizeof one);
      if (strcmp (path, "/shed") == 0)
        httpserver_write (fd,
                          "HTTP/1.1 503 Busy\r\nRequest-Ran: no\r\n"
                          "Retry-After: 2\r\nServer-Load: " SERVER_LOAD_VALUE
                          "\r\nContent-Length: 4\r\n\r\nfull");
      else if (strcmp (path, "/range") == 0)
        httpserver_write (
            fd,
            "HTTP/1.1 206 Part\r\nContent-Length: 2\r\n"
            "ETag: \"e\"\r\n\r\n%s",
            strstr (request->text, "Range: bytes=4-5\r\n") != NULL
                    && strstr (request->text, "If-Range: \"e\"\r\n") != NULL
                ? "ok"
                : "??");
      else if (strcmp (path, "/load") == 0)
        httpserver_write (fd,
                          "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
                          sizeof LOAD_JSON - 1, LOAD_JSON);
      else if (strcmp (path, "/echo") == 0)
        httpserver_write (fd,
                          "HTTP/1.1 200 OK\r\nServer-Load: " SERVER_LOAD_VALUE
                          "\r\n"
                          "Transfer-Encoding: chunked\r\nX-End: 1\r\n\r\n"
                          "%zx\r\n%s\r\n3\r\nend\r\n0\r\n\r\n",
                          strlen (request->text), request->text);
      else
        httpserver_write (fd,
                          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      return true;
    }
  return false;
}

static int
on_head (void *context, const backend_response_head_t *head)
{
  response_t *response = context;

  response->on_head_calls++;
  response->status = head->status;
  response->stated_length = head->content_length;
  for (size_t i = 0; i < head->header_count; i++)
    response->has_framing_header
        |= g_ascii_strcasecmp (head->headers[i].name, "Transfer-Encoding") == 0
           || g_ascii_strcasecmp (head->headers[i].name, "Content-Length")
                  == 0;
  return 0;
}

static int
on_body (void *context, const void *data, size_t length)
{
  response_t *response = context;

  response->on_body_calls++;
  g_string_append_len (response->body, data, (gssize)length);
  return 0;
}

clock_ms_t
now_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (clock_ms_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

backend_request_t
make_request (const char *method, const char *path, response_t *response)
{
  clock_ms_t now = now_ms ();

  *response = (response_t){ .body = g_string_new (NULL) };
  return (backend_request_t){ .address = httpserver_get_address (server),
                              .method = method,
                              .path = path,
                              .start_by = now + 4000,
                              .deadline = now + 5000,
                              .idempotent = strcmp (method, "GET") == 0,
                              .cancel_fd = -1,
                              .context = response,
                              .on_head = on_head,
                              .on_body = on_body };
}

char *
run_request (const char *method, const char *path, backend_result_t *result)
{
  response_t response;
  backend_request_t request = make_request (method, path, &response);

  g_assert_cmpint (backend_attempt (pool, &request, result), ==, 0);
  g_assert_cmpint (response.on_head_calls, ==, result->head_delivered);
  return g_string_free (response.body, FALSE);
}

void
assert_result (const char *method, const char *path,
               decide_attempt_result_t expected)
{
  backend_result_t result;

  g_free (run_request (method, path, &result));
  g_assert_cmpint (result.end.result, ==, expected);
}

uint64_t
get_idle_count (void)
{
  backend_stats_t stats;

  backend_pool_get_stats (pool, &stats);
  return stats.idle;
}

void
replace_server (void)
{
  httpserver_stop (server);
  server = httpserver_start (handle_request, NULL);
}

void
with_server (gconstpointer test)
{
  backend_options_t options = { .idle_max = 2, .header_max_bytes = 800 };

  release_fd = eventfd (0, EFD_SEMAPHORE);
  written_fd = eventfd (0, 0);
  server = httpserver_start (handle_request, NULL);
  pool = backend_pool_new (&options);
  ((void (*) (void))test) ();
  backend_pool_free (pool);
  httpserver_stop (server);
  close (release_fd);
  close (written_fd);
}

static void *
run_held_request (void *arg)
{
  backend_result_t *result = arg;

  g_free (run_request ("GET", "/held", result));
  return NULL;
}

void
open_connections (int count)
{
  backend_result_t results[4];
  pthread_t threads[4];
  uint64_t releases = (uint64_t)count;

  for (int i = 0; i < count; i++)
    pthread_create (&threads[i], NULL, run_held_request, &results[i]);
  g_assert_cmpint (httpserver_wait_requests (server, "/held", count), ==,
                   count);
  (void)!write (release_fd, &releases, sizeof releases);
  for (int i = 0; i < count; i++)
    pthread_join (threads[i], NULL);
}
