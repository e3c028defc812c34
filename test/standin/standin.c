#include "standin.h"

#include <arpa/inet.h>
#include <err.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <xxhash.h>

#define DESCRIPTORS_MAX 65536
#define PORTS_MAX 1024
#define JSON_MAX (1 << 20)

/* CivetWeb does not give out the descriptor of a connection, which is needed
   to notice that the caller has gone and to reset the connection.  It is
   found once for each connection by the pair of ports.  */
static int connected_port[DESCRIPTORS_MAX];
static int descriptors = 3;
static pthread_mutex_t connections_lock = PTHREAD_MUTEX_INITIALIZER;

static int find_descriptor (const struct mg_request_info *info);
static int begin (struct mg_connection *conn);
static int log_message (const struct mg_connection *conn, const char *text);
static void closing (const struct mg_connection *conn);
static int descriptor (const struct mg_connection *conn);
static void abort_connection (int fd);

/* Step of the MMIX generator.  */
static uint64_t
next_random (uint64_t state)
{
  return state * 6364136223846793005U + 1442695040888963407U;
}

double
standin_random_uniform (standin_random_t *random)
{
  random->state = next_random (random->state);
  return ((double)(random->state >> 11) + 0.5) / 9007199254740992.0;
}

int64_t
standin_now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

void
standin_parse_options (int argc, const char **argv,
                       const struct poptOption *options)
{
  poptContext parser = poptGetContext (NULL, argc, argv, options, 0);
  int result = poptGetNextOpt (parser);

  if (result < -1)
    errx (2, "%s: %s", poptBadOption (parser, 0), poptStrerror (result));
  if (poptPeekArg (parser) != NULL)
    {
      poptPrintUsage (parser, stderr, 0);
      exit (2);
    }
  poptFreeContext (parser);
}

static void
stop_signals (sigset_t *set)
{
  sigemptyset (set);
  sigaddset (set, SIGTERM);
  sigaddset (set, SIGINT);
}

void
standin_block_signals (void)
{
  sigset_t set;

  stop_signals (&set);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
}

void
standin_wait_for_stop (void)
{
  sigset_t set;
  int got;

  stop_signals (&set);
  sigwait (&set, &got);
}

bool
standin_wait_stop_for (int timeout_ms)
{
  struct timespec wait = { timeout_ms / 1000, timeout_ms % 1000 * 1000000 };
  sigset_t set;

  stop_signals (&set);
  return sigtimedwait (&set, NULL, &wait) > 0;
}

struct mg_context *
standin_start_server (const char *ports, int threads)
{
  struct mg_callbacks callbacks = { .begin_request = begin,
                                    .connection_close = closing,
                                    .log_message = log_message };
  char list[PORTS_MAX * 16] = "";
  char count[16];
  const char *options[] = { "listening_ports",
                            list,
                            "num_threads",
                            count,
                            "enable_keep_alive",
                            "yes",
                            "keep_alive_timeout_ms",
                            "60000",
                            "request_timeout_ms",
                            "600000",
                            "tcp_nodelay",
                            "1",
                            "listen_backlog",
                            "1024",
                            NULL };
  struct mg_context *server;
  size_t used = 0;

  for (const char *next = ports; *next != '\0';)
    {
      char *end;
      long port = strtol (next, &end, 10);

      if (end == next || port < 0 || port > 65535 || used > sizeof list - 32)
        errx (2, "%s: not a list of ports", ports);
      used += (size_t)snprintf (list + used, sizeof list - used,
                                "%s127.0.0.1:%ld", used > 0 ? "," : "", port);
      next = *end == ',' ? end + 1 : end;
    }
  snprintf (count, sizeof count, "%d", threads);
  server = mg_start (&callbacks, NULL, options);
  if (server == NULL)
    errx (1, "can't listen on ports %s", ports);
  return server;
}

void
standin_set_handler (struct mg_context *server, mg_request_handler handler,
                     void *context)
{
  mg_set_request_handler (server, "**", handler, context);
}

int
standin_get_port (struct mg_context *server, int index)
{
  struct mg_server_port ports[PORTS_MAX];
  int count = mg_get_server_ports (server, PORTS_MAX, ports);

  if (index >= count)
    errx (1, "port %d of %d is not listened on", index, count);
  return ports[index].port;
}

void
standin_stop_server (struct mg_context *server)
{
  struct mg_server_port ports[PORTS_MAX];
  int count = mg_get_server_ports (server, PORTS_MAX, ports);

  for (int i = 0; i < count; i++)
    standin_reset_port (ports[i].port);
  mg_stop (server);
}

void
standin_print_ready (int port)
{
  printf ("ready %d\n", port);
  fflush (stdout);
}

/* Called with the lock held.  Returns -1 when the connection is gone.  */
static int
find_descriptor (const struct mg_request_info *info)
{
  for (int fd = 3; fd < DESCRIPTORS_MAX && fd < descriptors + 64; fd++)
    {
      struct sockaddr_in near = { .sin_family = AF_UNSPEC };
      struct sockaddr_in far = { .sin_family = AF_UNSPEC };
      socklen_t near_length = sizeof near;
      socklen_t far_length = sizeof far;

      if (connected_port[fd] != 0
          || getpeername (fd, (struct sockaddr *)&far, &far_length) != 0
          || getsockname (fd, (struct sockaddr *)&near, &near_length) != 0)
        continue;
      if (far.sin_family != AF_INET
          || ntohs (far.sin_port) != info->remote_port
          || ntohs (near.sin_port) != info->server_port)
        continue;
      if (fd >= descriptors)
        descriptors = fd + 1;
      connected_port[fd] = info->server_port;
      return fd;
    }
  return -1;
}

/* Called before the handler of each request.  */
static int
begin (struct mg_connection *conn)
{
  int fd;

  if (descriptor (conn) >= 0)
    return 0;
  pthread_mutex_lock (&connections_lock);
  fd = find_descriptor (mg_get_request_info (conn));
  pthread_mutex_unlock (&connections_lock);
  mg_set_user_connection_data (conn, fd < 0 ? NULL : &connected_port[fd]);
  return 0;
}

/* Reports of the library; those about a connection say what faults did.  */
static int
log_message (const struct mg_connection *conn, const char *text)
{
  if (conn == NULL)
    warnx ("%s", text);
  return 1;
}

static void
closing (const struct mg_connection *conn)
{
  int fd = descriptor (conn);

  if (fd < 0)
    return;
  pthread_mutex_lock (&connections_lock);
  connected_port[fd] = 0;
  pthread_mutex_unlock (&connections_lock);
}

static int
descriptor (const struct mg_connection *conn)
{
  const int *slot = mg_get_user_connection_data (conn);

  return slot == NULL ? -1 : (int)(slot - connected_port);
}

bool
standin_wait_while_connected (const struct mg_connection *conn,
                              int64_t wait_us)
{
  struct pollfd gone = { .fd = descriptor (conn), .events = POLLRDHUP };
  struct timespec wait = { 0 };

  if (wait_us > 0)
    {
      wait.tv_sec = wait_us / 1000000;
      wait.tv_nsec = wait_us % 1000000 * 1000;
    }
  return gone.fd >= 0 && ppoll (&gone, 1, &wait, NULL) == 0;
}

/* Dissolving the association of a TCP socket makes Linux send a reset and
   wakes the threads that wait for it.  */
static void
abort_connection (int fd)
{
  struct sockaddr none = { .sa_family = AF_UNSPEC };

  (void)connect (fd, &none, sizeof none);
}

void
standin_interrupt (const struct mg_connection *conn)
{
  if (descriptor (conn) >= 0)
    abort_connection (descriptor (conn));
}

void
standin_reset_connection (struct mg_connection *conn)
{
  mg_disable_connection_keep_alive (conn);
  standin_interrupt (conn);
}

void
standin_reset_port (int port)
{
  pthread_mutex_lock (&connections_lock);
  for (int fd = 3; fd < descriptors; fd++)
    if (connected_port[fd] == port)
      abort_connection (fd);
  pthread_mutex_unlock (&connections_lock);
}

char *
standin_read_body (struct mg_connection *conn, size_t max, size_t *length)
{
  long long stated = mg_get_request_info (conn)->content_length;
  size_t wanted = stated > 0 ? (size_t)stated : 0;
  char *body;

  *length = 0;
  if (wanted > max || (body = malloc (wanted + 1)) == NULL)
    return NULL;
  while (*length < wanted)
    {
      int got = mg_read (conn, body + *length, wanted - *length);

      if (got <= 0)
        {
          free (body);
          return NULL;
        }
      *length += (size_t)got;
    }
  body[wanted] = '\0';
  return body;
}

void
standin_json_add_int (json_object *value, const char *name, int64_t number)
{
  json_object_object_add (value, name, json_object_new_int64 (number));
}

void
standin_json_add_string (json_object *value, const char *name,
                         const char *text)
{
  json_object_object_add (value, name, json_object_new_string (text));
}

void
standin_json_add_bool (json_object *value, const char *name, bool flag)
{
  json_object_object_add (value, name, json_object_new_boolean (flag));
}

json_object *
standin_read_json (struct mg_connection *conn)
{
  size_t length;
  char *body = standin_read_body (conn, JSON_MAX, &length);
  json_object *value = body != NULL ? json_tokener_parse (body) : NULL;

  free (body);
  if (json_object_is_type (value, json_type_object))
    return value;
  json_object_put (value);
  return NULL;
}

int
standin_send_json (struct mg_connection *conn, int status, json_object *value)
{
  size_t length;
  const char *text = json_object_to_json_string_length (
      value, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE, &length);
  char stated[24];

  snprintf (stated, sizeof stated, "%zu", length);
  mg_response_header_start (conn, status);
  mg_response_header_add (conn, "Content-Type", "application/json", -1);
  mg_response_header_add (conn, "Content-Length", stated, -1);
  mg_response_header_send (conn);
  mg_write (conn, text, length);
  json_object_put (value);
  return status;
}

long long
standin_get_query_number (const struct mg_connection *conn, const char *name,
                          long long otherwise)
{
  const char *query = mg_get_request_info (conn)->query_string;
  char text[32];

  if (query == NULL
      || mg_get_var (query, strlen (query), name, text, sizeof text) <= 0)
    return otherwise;
  return strtoll (text, NULL, 10);
}

void
standin_generate_body (char *body, size_t length, const char *identity)
{
  static const char end[] = "\"}";
  uint64_t state = XXH64 (identity, strlen (identity), length);
  size_t last = length - (sizeof end - 1);
  size_t used = (size_t)snprintf (
      body, length, "{\"identity\":\"%.*s\",\"length\":%zu,\"fill\":\"",
      STANDIN_IDENTITY_MAX, identity, length);

  while (used < last)
    {
      size_t part = last - used < 8 ? last - used : 8;
      uint64_t letters;

      state = next_random (state);
      letters = (state >> 4 & 0x0f0f0f0f0f0f0f0fU) + 0x6161616161616161U;
      memcpy (body + used, &letters, part);
      used += part;
    }
  memcpy (body + last, end, sizeof end - 1);
}
