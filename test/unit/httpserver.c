#include "httpserver.h"

#include <arpa/inet.h>
#include <glib.h>
#include <glib/gprintf.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define REQUEST_MAX_BYTES (4 * 1024 * 1024)
#define WAIT_S 5

struct httpserver
{
  int fd; /* listening socket */
  char address[32];
  httpserver_handler_t handler;
  void *context;
  pthread_t thread;     /* runs accept_connections() */
  pthread_mutex_t lock; /* not a GMutex, which ThreadSanitizer doesn't know */
  pthread_cond_t changed; /* a request was received or a connection ended */
  GHashTable *request_counts; /* number of requests by path */
  GPtrArray *connections;
  int closed; /* number of connections that have ended */
};

typedef struct connection
{
  httpserver_t *server;
  int fd;
  int number;
  pthread_t thread;
} connection_t;

/* Reads one request; @text holds its bytes.  Return: whether a complete
   request was received.  */
static bool
read_request (int fd, GString *text, httpserver_request_t *request)
{
  char buffer[16384];
  const char *length;
  char *end = NULL;

  g_string_truncate (text, 0);
  while (end == NULL
         || text->len < (size_t)(end - text->str) + request->body_length)
    {
      ssize_t got = recv (fd, buffer, sizeof buffer, 0);

      if (got <= 0 || text->len > REQUEST_MAX_BYTES)
        return false;
      g_string_append_len (text, buffer, got);
      end = strstr (text->str, "\r\n\r\n");
      if (end == NULL)
        continue;
      end += 4;
      length = strcasestr (text->str, "\r\nContent-Length:");
      request->body_length = length != NULL && length < end
                                 ? strtoul (length + 17, NULL, 10)
                                 : 0;
    }
  request->text = text->str;
  request->body = end;
  end[-2] = '\0'; /* terminates request->text after the headers */
  return sscanf (text->str, "%15s %255s", request->method, request->path) == 2;
}

static void
count_request (httpserver_t *server, const char *path)
{
  int count;

  pthread_mutex_lock (&server->lock);
  count = GPOINTER_TO_INT (g_hash_table_lookup (server->request_counts, path));
  g_hash_table_replace (server->request_counts, g_strdup (path),
                        GINT_TO_POINTER (count + 1));
  pthread_cond_broadcast (&server->changed);
  pthread_mutex_unlock (&server->lock);
}

static void *
serve_connection (void *arg)
{
  connection_t *connection = arg;
  httpserver_t *server = connection->server;
  httpserver_request_t request
      = { .fd = connection->fd, .connection = connection->number };
  GString *text = g_string_new (NULL);

  while (read_request (connection->fd, text, &request))
    {
      request.number++;
      count_request (server, request.path);
      if (!server->handler (server->context, &request))
        break;
    }
  g_string_free (text, TRUE);
  /* httpserver_stop() closes the descriptor.  If it were closed here, its
     number could be reused, and httpserver_stop() would shut down another
     socket.  */
  shutdown (connection->fd, SHUT_RDWR);
  pthread_mutex_lock (&server->lock);
  server->closed++;
  pthread_cond_broadcast (&server->changed);
  pthread_mutex_unlock (&server->lock);
  return NULL;
}

static void *
accept_connections (void *arg)
{
  httpserver_t *server = arg;
  int one = 1;
  int fd;

  while ((fd = accept (server->fd, NULL, NULL)) >= 0)
    {
      connection_t *connection = g_new0 (connection_t, 1);

      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      connection->server = server;
      connection->fd = fd;
      pthread_mutex_lock (&server->lock);
      g_ptr_array_add (server->connections, connection);
      connection->number = (int)server->connections->len;
      pthread_mutex_unlock (&server->lock);
      pthread_create (&connection->thread, NULL, serve_connection, connection);
    }
  return NULL;
}

httpserver_t *
httpserver_start (httpserver_handler_t handler, void *context)
{
  httpserver_t *server = g_new0 (httpserver_t, 1);
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;

  server->handler = handler;
  server->context = context;
  server->request_counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  server->connections = g_ptr_array_new ();
  pthread_mutex_init (&server->lock, NULL);
  pthread_cond_init (&server->changed, NULL);
  server->fd = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (
      bind (server->fd, (struct sockaddr *)&address, sizeof address), ==, 0);
  g_assert_cmpint (listen (server->fd, 128), ==, 0);
  getsockname (server->fd, (struct sockaddr *)&address, &length);
  g_snprintf (server->address, sizeof server->address, "127.0.0.1:%d",
              ntohs (address.sin_port));
  pthread_create (&server->thread, NULL, accept_connections, server);
  return server;
}

void
httpserver_stop (httpserver_t *server)
{
  shutdown (server->fd, SHUT_RDWR);
  pthread_join (server->thread, NULL);
  close (server->fd);
  for (guint i = 0; i < server->connections->len; i++)
    {
      connection_t *connection = g_ptr_array_index (server->connections, i);

      shutdown (connection->fd, SHUT_RDWR);
      pthread_join (connection->thread, NULL);
      close (connection->fd);
      g_free (connection);
    }
  g_ptr_array_free (server->connections, TRUE);
  g_hash_table_destroy (server->request_counts);
  pthread_mutex_destroy (&server->lock);
  pthread_cond_destroy (&server->changed);
  g_free (server);
}

const char *
httpserver_get_address (const httpserver_t *server)
{
  return server->address;
}

static struct timespec
get_wait_deadline (void)
{
  struct timespec end;

  clock_gettime (CLOCK_REALTIME, &end);
  end.tv_sec += WAIT_S;
  return end;
}

int
httpserver_wait_requests (httpserver_t *server, const char *path, int count)
{
  struct timespec end = get_wait_deadline ();
  int received;

  pthread_mutex_lock (&server->lock);
  while (
      (received
       = GPOINTER_TO_INT (g_hash_table_lookup (server->request_counts, path)))
          < count
      && pthread_cond_timedwait (&server->changed, &server->lock, &end) == 0)
    continue;
  pthread_mutex_unlock (&server->lock);
  return received;
}

int
httpserver_get_request_count (httpserver_t *server, const char *path)
{
  return httpserver_wait_requests (server, path, 0);
}

int
httpserver_wait_closed (httpserver_t *server, int count)
{
  struct timespec end = get_wait_deadline ();
  int closed;

  pthread_mutex_lock (&server->lock);
  while (server->closed < count
         && pthread_cond_timedwait (&server->changed, &server->lock, &end)
                == 0)
    continue;
  closed = server->closed;
  pthread_mutex_unlock (&server->lock);
  return closed;
}

void
httpserver_write (int fd, const char *format, ...)
{
  va_list args;
  char *text;
  int length;

  va_start (args, format);
  length = g_vasprintf (&text, format, args);
  va_end (args);
  (void)!send (fd, text, (size_t)length, MSG_NOSIGNAL);
  g_free (text);
}

void
httpserver_drain (int fd)
{
  char buffer[256];

  while (recv (fd, buffer, sizeof buffer, 0) > 0)
    continue;
}
