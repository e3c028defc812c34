#include "attempt.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define HEADERS_MAX 256
/* Largest status that exists (RFC 9110, section 15).  Clients treat others in
   different ways.  */
#define STATUS_MAX 599
/* When the backend server sheds a request, the body of its response is read up
   to this size and discarded, so that the connection can be reused.  */
#define SHED_BODY_MAX_BYTES 65536
/* Longer Retry-After times are reduced to this.  */
#define RETRY_AFTER_MAX_S 3600

static const char *
find_header (CURL *easy, const char *name)
{
  struct curl_header *header;

  if (curl_easy_header (easy, name, 0, CURLH_HEADER, -1, &header) != CURLHE_OK)
    return NULL;
  return header->value;
}

static bool
is_hop_by_hop_or_framing (const char *name)
{
  static const char *const names[]
      = { "Connection", "Content-Length",    "Keep-Alive",
          "Trailer",    "Transfer-Encoding", "Upgrade" };

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if (strcasecmp (name, names[i]) == 0)
      return true;
  return false;
}

/* Sets @length to the length of the body, or -1 if it is chunked.  Return:
   whether the end of the response can be determined.  A response that ends
   when the connection is closed counts as undetermined, because it can't be
   distinguished from a truncated one.  */
static bool
parse_framing (attempt_t *attempt, uint32_t status, int64_t *length)
{
  CURL *easy = attempt->conn->easy;
  struct curl_header *header;
  const char *coding = find_header (easy, "Transfer-Encoding");
  char first_length[32];
  size_t amount = 1;

  *length = -1;
  if (curl_easy_header (easy, "Content-Length", 0, CURLH_HEADER, -1, &header)
      == CURLHE_OK)
    {
      /* Content-Length with Transfer-Encoding, or two different lengths, make
         the end of the body ambiguous.  */
      if (coding != NULL
          || snprintf (first_length, sizeof first_length, "%s", header->value)
                 >= (int)sizeof first_length)
        return false;
      amount = header->amount;
      for (size_t i = 1; i < amount; i++)
        if (curl_easy_header (easy, "Content-Length", i, CURLH_HEADER, -1,
                              &header)
                != CURLHE_OK
            || strcmp (header->value, first_length) != 0)
          return false;
      *length = strtoll (first_length, NULL, 10);
      return true;
    }
  if (coding != NULL)
    return strcasecmp (coding, "chunked") == 0;
  if (status == 204 || status == 304
      || strcmp (attempt->request->method, "HEAD") == 0)
    {
      *length = 0;
      return true;
    }
  return false;
}

static void
parse_load_and_retry_after (attempt_t *attempt)
{
  decide_attempt_end_t *end = &attempt->result->end;
  CURL *easy = attempt->conn->easy;
  const char *value = find_header (easy, "Server-Load");
  char *rest;

  if (value != NULL)
    backend_load_parse (value, &end->load);
  value = find_header (easy, "Retry-After");
  if (value != NULL)
    {
      long seconds = strtol (value, &rest, 10);

      if (rest != value && *rest == '\0' && seconds > 0)
        end->retry_after_ms
            = (seconds < RETRY_AFTER_MAX_S ? seconds : RETRY_AFTER_MAX_S)
              * 1000;
    }
}

/* Passes the status and the end-to-end headers to on_head().  Return: 0, or -1
   after setting the abort reason.  */
static int
deliver_head (attempt_t *attempt, uint32_t status, int64_t length)
{
  const backend_request_t *request = attempt->request;
  backend_header_t headers[HEADERS_MAX];
  backend_response_head_t head
      = { .status = status, .content_length = length, .headers = headers };
  struct curl_header *header = NULL;

  while ((header = curl_easy_nextheader (attempt->conn->easy, CURLH_HEADER, -1,
                                         header))
         != NULL)
    {
      /* libcurl gives the CR of the line as the value of an empty field.  */
      backend_header_t field
          = { header->name,
              strcmp (header->value, "\r") == 0 ? "" : header->value };

      if (is_hop_by_hop_or_framing (header->name))
        continue;
      if (head.header_count == HEADERS_MAX
          || !backend_header_is_valid (&field))
        {
          attempt->abort_reason = ABORT_MALFORMED;
          return -1;
        }
      headers[head.header_count++] = field;
    }
  attempt->result->head_delivered = true;
  if (request->on_head == NULL
      || request->on_head (request->context, &head) >= 0)
    return 0;
  attempt->abort_reason = ABORT_CANCELLED;
  return -1;
}

/* Evaluates the response head at the empty line that ends it.  Informational
   (1xx) heads are ignored.  Return: 0, or -1 to abort the transfer.  */
static int
evaluate_head (attempt_t *attempt)
{
  CURL *easy = attempt->conn->easy;
  const char *value;
  int64_t length;
  long status = 0;
  long version = 0;

  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (easy, CURLINFO_HTTP_VERSION, &version);
  if (status >= 100 && status < 200 && status != 101)
    return 0;
  attempt->result->end.status = (uint32_t)status;
  parse_load_and_retry_after (attempt);
  value = find_header (easy, "Request-Ran");
  attempt->shed
      = status == 503 && value != NULL && strcasecmp (value, "no") == 0;
  value = find_header (easy, "Connection");
  attempt->closes_connection
      = version != CURL_HTTP_VERSION_1_1
        || (value != NULL && strcasestr (value, "close") != NULL);
  if (status < 200 || status > STATUS_MAX
      || !parse_framing (attempt, (uint32_t)status, &length))
    {
      attempt->abort_reason = ABORT_MALFORMED;
      return -1;
    }
  attempt->head_complete = true;
  return attempt->shed ? 0 : deliver_head (attempt, (uint32_t)status, length);
}

size_t
backend_on_header (char *data, size_t size, size_t count, void *context)
{
  attempt_t *attempt = context;
  backend_result_t *result = attempt->result;
  size_t length = size * count;

  if (!result->first_byte)
    {
      result->first_byte = true;
      result->latency_us = backend_now_us () - attempt->sent_us;
      result->end.latency_ms = (result->latency_us + 999) / 1000;
    }
  attempt->header_bytes += length;
  if (attempt->header_bytes
      > backend_pool_get_header_max_bytes (attempt->pool))
    {
      attempt->abort_reason = ABORT_MALFORMED;
      return 0;
    }
  /* Lines after the head are trailers, which are not forwarded.  */
  if (attempt->head_complete || (data[0] != '\r' && data[0] != '\n'))
    return length;
  return evaluate_head (attempt) == 0 ? length : 0;
}

size_t
backend_on_data (char *data, size_t size, size_t count, void *context)
{
  attempt_t *attempt = context;
  const backend_request_t *request = attempt->request;
  size_t length = size * count;

  if (attempt->shed)
    {
      attempt->discarded_bytes += length;
      return attempt->discarded_bytes <= SHED_BODY_MAX_BYTES ? length : 0;
    }
  attempt->result->body_bytes += length;
  if (request->on_body == NULL
      || request->on_body (request->context, data, length) >= 0)
    return length;
  attempt->abort_reason = ABORT_CANCELLED;
  return 0;
}
