#include "http.h"

#include <errno.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

/* Largest body of a response.  */
#define RESPONSE_MAX_BYTES (16 * 1024 * 1024)

struct store
{
  char address[DECIDE_ADDRESS_MAX];
  CURL *easy; /* handle with its connection, which libcurl closes on failure */
  char error[256];
  atomic_uint_fast64_t calls;
  atomic_uint_fast64_t failures;
  atomic_uint_fast64_t timeouts;
  atomic_uint_fast64_t connections;
  atomic_uint_fast64_t bytes_sent;
  atomic_uint_fast64_t bytes_received;
};

/* A request that is being performed.  */
typedef struct transfer
{
  store_t *store;
  const store_request_t *request;
  store_response_t *response;
  size_t capacity; /* bytes allocated for the text of @response */
  bool too_large;
} transfer_t;

clock_ms_t
store_now_ms (void)
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
store_set_error (store_t *store, int err, const char *format, ...)
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
store_response_clear (store_response_t *response)
{
  free (response->text);
  *response = (store_response_t){ .text = NULL };
}

static size_t
on_body_data (char *data, size_t size, size_t count, void *context)
{
  transfer_t *transfer = context;
  store_response_t *response = transfer->response;
  size_t length = size * count;

  if (response->length + length > RESPONSE_MAX_BYTES)
    {
      transfer->too_large = true;
      return 0;
    }
  if (response->length + length + 1 > transfer->capacity)
    {
      size_t capacity = 2 * (response->length + length + 1);
      char *text = realloc (response->text, capacity);

      if (text == NULL)
        return 0;
      response->text = text;
      transfer->capacity = capacity;
    }
  memcpy (response->text + response->length, data, length);
  response->length += length;
  response->text[response->length] = '\0';
  return length;
}

/* libcurl calls this immediately before it sends the request.  */
static int
on_request_start (void *context, char *peer_address, char *local_address,
                  int peer_port, int local_port)
{
  transfer_t *transfer = context;

  (void)peer_address;
  (void)local_address;
  (void)peer_port;
  (void)local_port;
  transfer->response->sent = true;
  return CURL_PREREQFUNC_OK;
}

/* When a socket is opened after the request was sent, libcurl is resending it
   on a new connection.  A write must not be resent: if the first copy took
   effect, the response to the second would report a version conflict with the
   first copy or with a later change.  */
static curl_socket_t
on_open_socket (void *context, curlsocktype purpose,
                struct curl_sockaddr *address)
{
  transfer_t *transfer = context;

  (void)purpose;
  if (transfer->response->sent && !transfer->request->can_resend)
    return CURL_SOCKET_BAD;
  atomic_fetch_add (&transfer->store->connections, 1);
  return socket (address->family, address->socktype | SOCK_CLOEXEC,
                 address->protocol);
}

/* Returns false when the persistent connection was closed or has unread bytes,
   and true when there is none.  libcurl would take bytes that follow a
   response for the next response.  */
static bool
is_connection_reusable (store_t *store)
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
  const store_request_t *request = transfer->request;
  bool can_reuse = is_connection_reusable (transfer->store);
  char url[DECIDE_ADDRESS_MAX + 16];

  snprintf (url, sizeof url, "http://%s/", transfer->store->address);
  /* curl_easy_reset() resets the options but keeps the connection open.  */
  curl_easy_reset (easy);
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, can_reuse ? 0L : 1L);
  if (curl_easy_setopt (easy, CURLOPT_URL, url) != CURLE_OK
      || curl_easy_setopt (easy, CURLOPT_REQUEST_TARGET, request->target)
             != CURLE_OK
      || curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method)
             != CURLE_OK)
    return -ENOMEM;
  if (request->body != NULL)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)strlen (request->body));
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, request->body);
    }
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, request->headers);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS,
                    (long)(request->timeout_ms > 0 ? request->timeout_ms : 1));
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_MAXCONNECTS, 1L);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_request_start);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETFUNCTION, on_open_socket);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, transfer);
  return 0;
}

static void
count_bytes (store_t *store)
{
  curl_off_t uploaded = 0;
  curl_off_t downloaded = 0;
  long request_bytes = 0;
  long header_bytes = 0;

  curl_easy_getinfo (store->easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
  curl_easy_getinfo (store->easy, CURLINFO_SIZE_DOWNLOAD_T, &downloaded);
  curl_easy_getinfo (store->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  curl_easy_getinfo (store->easy, CURLINFO_HEADER_SIZE, &header_bytes);
  atomic_fetch_add (&store->bytes_sent, (uint64_t)(uploaded + request_bytes));
  atomic_fetch_add (&store->bytes_received,
                    (uint64_t)(downloaded + header_bytes));
}

static int
errno_from_curl_code (const transfer_t *transfer, CURLcode code)
{
  if (transfer->too_large)
    return -EMSGSIZE;
  if (code == CURLE_OUT_OF_MEMORY)
    return -ENOMEM;
  if (code == CURLE_OPERATION_TIMEDOUT)
    return -ETIMEDOUT;
  return transfer->response->sent ? -EIO : -ECONNREFUSED;
}

int
store_perform_request (store_t *store, const store_request_t *request,
                       store_response_t *response)
{
  transfer_t transfer
      = { .store = store, .request = request, .response = response };
  CURLcode code;
  int err;

  *response = (store_response_t){ .text = NULL };
  if (set_options (&transfer) != 0)
    return store_set_error (store, -ENOMEM, "out of memory");
  atomic_fetch_add (&store->calls, 1);
  code = curl_easy_perform (store->easy);
  count_bytes (store);
  if (code == CURLE_OK)
    {
      curl_easy_getinfo (store->easy, CURLINFO_RESPONSE_CODE,
                         &response->status);
      return 0;
    }
  err = errno_from_curl_code (&transfer, code);
  atomic_fetch_add (&store->failures, 1);
  if (err == -ETIMEDOUT)
    atomic_fetch_add (&store->timeouts, 1);
  if (err == -EMSGSIZE)
    return store_set_error (store, err, "%s %s: response larger than %d bytes",
                            request->method, request->target,
                            RESPONSE_MAX_BYTES);
  return store_set_error (store, err, "%s %s: %s", request->method,
                          request->target, curl_easy_strerror (code));
}
