#include "http.h"

#include <errno.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#define ANSWER_MAX (16 * 1024 * 1024)

struct store
{
  char address[DECIDE_ADDRESS_MAX];
  CURL *easy; /* with its connection, which libcurl closes on a failure */
  char error[256];
  atomic_uint_fast64_t calls;
  atomic_uint_fast64_t failures;
  atomic_uint_fast64_t timeouts;
  atomic_uint_fast64_t connections;
  atomic_uint_fast64_t bytes_sent;
  atomic_uint_fast64_t bytes_received;
};

typedef struct transfer
{
  store_t *store;
  const call_t *call;
  answer_t *answer;
  size_t capacity;
  bool too_large;
} transfer_t;

clock_ms_t
store_now (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (clock_ms_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

store_t *
store_new (const char *address)
{
  store_t *store = calloc (1, sizeof *store);

  if (store == NULL)
    return NULL;
  if (curl_global_init (CURL_GLOBAL_NOTHING) != CURLE_OK)
    {
      free (store);
      return NULL;
    }
  store->easy = curl_easy_init ();
  if (store->easy == NULL)
    {
      store_free (store);
      return NULL;
    }
  snprintf (store->address, sizeof store->address, "%s", address);
  return store;
}

void
store_free (store_t *store)
{
  if (store == NULL)
    return;
  curl_easy_cleanup (store->easy);
  free (store);
  curl_global_cleanup ();
}

const char *
store_get_error (const store_t *store)
{
  return store->error;
}

int
store_fail (store_t *store, int err, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  vsnprintf (store->error, sizeof store->error, format, args);
  va_end (args);
  return err;
}

void
store_get_stats (store_t *store, store_stats_t *stats)
{
  *stats = (store_stats_t){
    .calls = atomic_load (&store->calls),
    .failures = atomic_load (&store->failures),
    .timeouts = atomic_load (&store->timeouts),
    .connections = atomic_load (&store->connections),
    .bytes_sent = atomic_load (&store->bytes_sent),
    .bytes_received = atomic_load (&store->bytes_received),
  };
}

void
store_answer_clear (answer_t *answer)
{
  free (answer->text);
  *answer = (answer_t){ .text = NULL };
}

static size_t
on_data (char *data, size_t size, size_t count, void *context)
{
  transfer_t *transfer = context;
  answer_t *answer = transfer->answer;
  size_t length = size * count;

  if (answer->length + length > ANSWER_MAX)
    {
      transfer->too_large = true;
      return 0;
    }
  if (answer->length + length + 1 > transfer->capacity)
    {
      size_t capacity = 2 * (answer->length + length + 1);
      char *text = realloc (answer->text, capacity);

      if (text == NULL)
        return 0;
      answer->text = text;
      transfer->capacity = capacity;
    }
  memcpy (answer->text + answer->length, data, length);
  answer->length += length;
  answer->text[answer->length] = '\0';
  return length;
}

static int
on_sending (void *context, char *peer_address, char *local_address,
            int peer_port, int local_port)
{
  transfer_t *transfer = context;

  (void)peer_address;
  (void)local_address;
  (void)peer_port;
  (void)local_port;
  transfer->answer->sent = true;
  return CURL_PREREQFUNC_OK;
}

/* A socket that is opened after the call was sent belongs to a repeat on a
   new connection.  A repeated write could be answered with a conflict with
   itself, or with what came after it.  */
static curl_socket_t
on_open_socket (void *context, curlsocktype purpose,
                struct curl_sockaddr *address)
{
  transfer_t *transfer = context;

  (void)purpose;
  if (transfer->answer->sent && !transfer->call->repeatable)
    return CURL_SOCKET_BAD;
  atomic_fetch_add (&transfer->store->connections, 1);
  return socket (address->family, address->socktype | SOCK_CLOEXEC,
                 address->protocol);
}

/* Return: whether the kept connection, if any, may be used.  libcurl would
   take bytes that followed an answer as the next answer.  */
static bool
is_quiet (store_t *store)
{
  curl_socket_t fd = CURL_SOCKET_BAD;
  char byte;

  if (curl_easy_getinfo (store->easy, CURLINFO_ACTIVESOCKET, &fd) != CURLE_OK
      || fd == CURL_SOCKET_BAD)
    return true;
  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

static int
set_options (transfer_t *transfer)
{
  CURL *easy = transfer->store->easy;
  const call_t *call = transfer->call;
  bool quiet = is_quiet (transfer->store);
  char url[DECIDE_ADDRESS_MAX + 16];

  snprintf (url, sizeof url, "http://%s/", transfer->store->address);
  /* The connection is kept.  */
  curl_easy_reset (easy);
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, quiet ? 0L : 1L);
  if (curl_easy_setopt (easy, CURLOPT_URL, url) != CURLE_OK
      || curl_easy_setopt (easy, CURLOPT_REQUEST_TARGET, call->target)
             != CURLE_OK
      || curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, call->method)
             != CURLE_OK)
    return -ENOMEM;
  if (call->body != NULL)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)strlen (call->body));
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, call->body);
    }
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS,
                    (long)(call->timeout_ms > 0 ? call->timeout_ms : 1));
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_MAXCONNECTS, 1L);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_sending);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETFUNCTION, on_open_socket);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, transfer);
  return 0;
}

static void
count_bytes (store_t *store)
{
  curl_off_t up = 0;
  curl_off_t down = 0;
  long request = 0;
  long header = 0;

  curl_easy_getinfo (store->easy, CURLINFO_SIZE_UPLOAD_T, &up);
  curl_easy_getinfo (store->easy, CURLINFO_SIZE_DOWNLOAD_T, &down);
  curl_easy_getinfo (store->easy, CURLINFO_REQUEST_SIZE, &request);
  curl_easy_getinfo (store->easy, CURLINFO_HEADER_SIZE, &header);
  atomic_fetch_add (&store->bytes_sent, (uint64_t)(up + request));
  atomic_fetch_add (&store->bytes_received, (uint64_t)(down + header));
}

static int
get_error (const transfer_t *transfer, CURLcode code)
{
  if (transfer->too_large)
    return -EMSGSIZE;
  if (code == CURLE_OUT_OF_MEMORY)
    return -ENOMEM;
  if (code == CURLE_OPERATION_TIMEDOUT)
    return -ETIMEDOUT;
  return transfer->answer->sent ? -EIO : -ECONNREFUSED;
}

int
store_call (store_t *store, const call_t *call, answer_t *answer)
{
  transfer_t transfer = { .store = store, .call = call, .answer = answer };
  CURLcode code;
  int err;

  *answer = (answer_t){ .text = NULL };
  if (set_options (&transfer) != 0)
    return store_fail (store, -ENOMEM, "out of memory");
  atomic_fetch_add (&store->calls, 1);
  code = curl_easy_perform (store->easy);
  count_bytes (store);
  if (code == CURLE_OK)
    {
      curl_easy_getinfo (store->easy, CURLINFO_RESPONSE_CODE, &answer->status);
      return 0;
    }
  err = get_error (&transfer, code);
  atomic_fetch_add (&store->failures, 1);
  if (err == -ETIMEDOUT)
    atomic_fetch_add (&store->timeouts, 1);
  if (err == -EMSGSIZE)
    return store_fail (store, err, "%s %s: answer above %d bytes",
                       call->method, call->target, ANSWER_MAX);
  return store_fail (store, err, "%s %s: %s", call->method, call->target,
                     curl_easy_strerror (code));
}
