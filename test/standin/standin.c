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
#define JSON_MAX_BYTES (1 << 20)

/* Local port of each connection, by descriptor; 0 for other descriptors.
   CivetWeb doesn't expose the descriptor of a connection, which is needed to
   detect that the client has disconnected and to reset the connection.  The
   descriptor is looked up once for each connection by the local and the remote
   port.  */
static int local_ports[DESCRIPTORS_MAX];
/* One more than the highest descriptor of a connection so far.  */
static int descriptors_end = 3;
/* Protects the two variables above.  */
static pthread_mutex_t connections_lock = PTHREAD_MUTEX_INITIALIZER;

static int find_descriptor (const struct mg_request_info *info);
static int handle_begin_request (struct mg_connection *conn);
static int log_message (const struct mg_connection *conn, const char *text);
static void handle_connection_close (const struct mg_connection *conn);
static int get_descriptor (const struct mg_connection *conn);
static void disconnect_socket (int fd);

/* Returns the next state of Knuth's MMIX linear congruential generator.  */
static uint64_t
advance_lcg (uint64_t state)
{
  return state * 6364136223846793005U + 1442695040888963407U;
}

double
standin_random_uniform (standin_random_t *random)
{
  random->state = advance_lcg (random->state);
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
init_stop_signals (sigset_t *set)
{
  sigemptyset (set);
  sigaddset (set, SIGTERM);
  sigaddset (set, SIGINT);
}

void
standin_block_signals (void)
{
  sigset_t set;

  init_stop_signals (&set);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
}

void
standin_wait_for_stop (void)
{
  sigset_t set;
  int signal_number;

  init_stop_signals (&set);
  sigwait (&set, &signal_number);
}

bool
standin_wait_for_stop_timed (int timeout_ms)
{
  struct timespec wait = { timeout_ms / 1000, timeout_ms % 1000 * 1000000 };
  sigset_t set;

  init_stop_signals (&set);
  return sigtimedwait (&set, NULL, &wait) > 0;
}

struct mg_context *
standin_start_server (const char *ports, int threads)
{
  struct mg_callbacks callbacks
      = { .begin_request = handle_begin_request,
          .connection_close = handle_connection_close,
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
        errx (2, "%s: invalid list of ports", ports);
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
    errx (1, "no listener with index %d, only %d listeners", index, count);
  return ports[index].port;
}

void
standin_stop_server (struct mg_context *server)
{
  struct mg_server_port ports[PORTS_MAX];
  int count = mg_get_server_ports (server, PORTS_MAX, ports);

  for (int i = 0; i < count; i++)
    standin_reset_port_connections (ports[i].port);
  mg_stop (server);
}

void
standin_print_ready (int port)
{
  printf ("ready %d\n", port);
  fflush (stdout);
}

/* Finds the descriptor of a new connection by its ports, and enters it in
   local_ports.  Searches up to 64 descriptors beyond descriptors_end.  Returns
   -1 when the connection is closed.  Called with the lock held.  */
static int
find_descriptor (const struct mg_request_info *info)
{
  for (int fd = 3; fd < DESCRIPTORS_MAX && fd < descriptors_end + 64; fd++)
    {
      struct sockaddr_in local_addr = { .sin_family = AF_UNSPEC };
      struct sockaddr_in remote_addr = { .sin_family = AF_UNSPEC };
      socklen_t local_length = sizeof local_addr;
      socklen_t remote_length = sizeof remote_addr;

      if (local_ports[fd] != 0
          || getpeername (fd, (struct sockaddr *)&remote_addr, &remote_length)
                 != 0
          || getsockname (fd, (struct sockaddr *)&local_addr, &local_length)
                 != 0)
        continue;
      if (remote_addr.sin_family != AF_INET
          || ntohs (remote_addr.sin_port) != info->remote_port
          || ntohs (local_addr.sin_port) != info->server_port)
        continue;
      if (fd >= descriptors_end)
        descriptors_end = fd + 1;
      local_ports[fd] = info->server_port;
      return fd;
    }
  return -1;
}

/* CivetWeb calls this function before the handler of each request.  Finds the
   descriptor of the connection if this is the first request.  */
static int
handle_begin_request (struct mg_connection *conn)
{
  int fd;

  if (get_descriptor (conn) >= 0)
    return 0;
  pthread_mutex_lock (&connections_lock);
  fd = find_descriptor (mg_get_request_info (conn));
  pthread_mutex_unlock (&connections_lock);
  mg_set_user_connection_data (conn, fd < 0 ? NULL : &local_ports[fd]);
  return 0;
}

/* Logs CivetWeb's messages, except those about a connection, because these
   report the effects of injected faults.  */
static int
log_message (const struct mg_connection *conn, const char *text)
{
  if (conn == NULL)
    warnx ("%s", text);
  return 1;
}

static void
handle_connection_close (const struct mg_connection *conn)
{
  int fd = get_descriptor (conn);

  if (fd < 0)
    return;
  pthread_mutex_lock (&connections_lock);
  local_ports[fd] = 0;
  pthread_mutex_unlock (&connections_lock);
}

/* Returns the descriptor that handle_begin_request() found, or -1.  */
static int
get_descriptor (const struct mg_connection *conn)
{
  const int *entry = mg_get_user_connection_data (conn);

  return entry == NULL ? -1 : (int)(entry - local_ports);
}

bool
standin_wait_while_connected (const struct mg_connection *conn,
                              int64_t wait_us)
{
  struct pollfd connection
      = { .fd = get_descriptor (conn), .events = POLLRDHUP };
  struct timespec wait = { 0 };

  if (wait_us > 0)
    {
      wait.tv_sec = wait_us / 1000000;
      wait.tv_nsec = wait_us % 1000000 * 1000;
    }
  return connection.fd >= 0 && ppoll (&connection, 1, &wait, NULL) == 0;
}

/* Connecting a TCP socket to AF_UNSPEC makes Linux send a reset and wakes the
   threads that wait for the socket.  */
static void
disconnect_socket (int fd)
{
  struct sockaddr unspecified = { .sa_family = AF_UNSPEC };

  (void)connect (fd, &unspecified, sizeof unspecified);
}

void
standin_abort_connection (const struct mg_connection *conn)
{
  if (get_descriptor (conn) >= 0)
    disconnect_socket (get_descriptor (conn));
}

void
standin_reset_connection (struct mg_connection *conn)
{
  mg_disable_connection_keep_alive (conn);
  standin_abort_connection (conn);
}

void
standin_reset_port_connections (int port)
{
  pthread_mutex_lock (&connections_lock);
  for (int fd = 3; fd < descriptors_end; fd++)
    if (local_ports[fd] == port)
      disconnect_socket (fd);
  pthread_mutex_unlock (&connections_lock);
}

char *
standin_read_body (struct mg_connection *conn, size_t max, size_t *length)
{
  long long content_length = mg_get_request_info (conn)->content_length;
  size_t wanted = content_length > 0 ? (size_t)content_length : 0;
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
standin_json_add_bool (json_object *value, const char *name, bool boolean)
{
  json_object_object_add (value, name, json_object_new_boolean (boolean));
}

json_object *
standin_read_json (struct mg_connection *conn)
{
  size_t length;
  char *body = standin_read_body (conn, JSON_MAX_BYTES, &length);
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
  char content_length[24];

  snprintf (content_length, sizeof content_length, "%zu", length);
  mg_response_header_start (conn, status);
  mg_response_header_add (conn, "Content-Type", "application/json", -1);
  mg_response_header_add (conn, "Content-Length", content_length, -1);
  mg_response_header_send (conn);
  mg_write (conn, text, length);
  json_object_put (value);
  return status;
}

long long
standin_get_query_number (const struct mg_connection *conn, const char *name,
                          long long default_number)
{
  const char *query = mg_get_request_info (conn)->query_string;
  char text[32];

  if (query == NULL
      || mg_get_var (query, strlen (query), name, text, sizeof text) <= 0)
    return default_number;
  return strtoll (text, NULL, 10);
}

void
standin_generate_body (char *body, size_t length, const char *identity)
{
  static const char tail[] = "\"}";
  uint64_t state = XXH64 (identity, strlen (identity), length);
  size_t fill_end = length - (sizeof tail - 1);
  size_t used = (size_t)snprintf (
      body, length, "{\"identity\":\"%.*s\",\"length\":%zu,\"fill\":\"",
      STANDIN_IDENTITY_MAX_BYTES, identity, length);

  while (used < fill_end)
    {
      size_t part = fill_end - used < 8 ? fill_end - used : 8;
      uint64_t letters;

      state = advance_lcg (state);
      letters = (state >> 4 & 0x0f0f0f0f0f0f0f0fU) + 0x6161616161616161U;
      memcpy (body + used, &letters, part);
      used += part;
    }
  memcpy (body + fill_end, tail, sizeof tail - 1);
}
