#include "addresses.h"

#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define RESPONSE_TIMEOUT_MS 1000   /* of one GET /addresses */
#define DISCOVERY_TIMEOUT_MS 10000 /* of addresses_discover() */
#define RETRY_INTERVAL_MS 20       /* after a failed GET /addresses */
#define DEFAULT_LIFETIME_MS 5000   /* of a response without lifetime_ms */

static bool parse_response (addresses_t *addresses);

/* Adds an address to the list, unless it is empty, too long or already in the
   list, or the list is full.  */
static void
add_address (address_t *list, int *count, const char *text)
{
  if (text[0] == '\0' || strlen (text) >= sizeof list->text)
    return;
  for (int i = 0; i < *count; i++)
    if (strcmp (list[i].text, text) == 0)
      return;
  if (*count < ADDRESSES_MAX)
    memcpy (list[(*count)++].text, text, strlen (text) + 1);
}

static void
add_address_list (address_t *list, int *count, const char *text)
{
  char *copy = strdup (text);
  char *rest = copy;

  for (char *next; (next = strsep (&rest, ",")) != NULL;)
    add_address (list, count, next);
  free (copy);
  if (*count == 0)
    errx (2, "%s: no address in this list", text);
}

static const char *
get_string_member (json_object *value, const char *name)
{
  json_object *member;

  if (!json_object_object_get_ex (value, name, &member))
    return "";
  return json_object_get_string (member);
}

/* Parses {"addresses": [{"address", "data_centre"}], "lifetime_ms"}.  Only the
   addresses of the load generator's data centre become usable, or all if it
   has none.  Returns false when the response lists no usable address.  */
static bool
parse_response (addresses_t *addresses)
{
  int lifetime_ms = DEFAULT_LIFETIME_MS;
  json_object *value;
  json_object *list;
  json_object *member;

  addresses->response[addresses->response_length] = '\0';
  value = json_tokener_parse (addresses->response);
  if (!json_object_object_get_ex (value, "addresses", &list)
      || !json_object_is_type (list, json_type_array)
      || json_object_array_length (list) == 0)
    {
      json_object_put (value);
      return false;
    }
  addresses->usable_count = 0;
  for (int own_centre_only = 1;
       own_centre_only >= 0 && addresses->usable_count == 0; own_centre_only--)
    for (size_t i = 0; i < json_object_array_length (list); i++)
      {
        json_object *entry = json_object_array_get_idx (list, i);
        const char *text = get_string_member (entry, "address");
        const char *entry_data_centre
            = get_string_member (entry, "data_centre");

        add_address (addresses->known, &addresses->known_count, text);
        if (!own_centre_only
            || strcmp (entry_data_centre, addresses->data_centre) == 0)
          add_address (addresses->usable, &addresses->usable_count, text);
      }
  if (json_object_object_get_ex (value, "lifetime_ms", &member))
    lifetime_ms = json_object_get_int (member);
  addresses->expiry_us = standin_now_us () + lifetime_ms * 1000LL;
  addresses->response_count++;
  json_object_put (value);
  return addresses->usable_count > 0;
}

static size_t
append_response (char *data, size_t size, size_t count, void *context)
{
  addresses_t *addresses = context;

  (void)size;
  if (addresses->response_length + count >= sizeof addresses->response)
    return 0;
  memcpy (addresses->response + addresses->response_length, data, count);
  addresses->response_length += count;
  return count;
}

/* Creates GET /addresses to a random known instance.  */
static CURL *
create_request (addresses_t *addresses, standin_random_t *random)
{
  int index = (int)(standin_random_uniform (random) * addresses->known_count);
  CURL *curl = curl_easy_init ();
  char url[256];

  if (curl == NULL)
    errx (1, "can't create a request for addresses");
  snprintf (url, sizeof url, "http://%s/addresses?data_centre=%s",
            addresses->known[index % addresses->known_count].text,
            addresses->data_centre);
  addresses->response_length = 0;
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_FAILONERROR, 1L);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)RESPONSE_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_response);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, addresses);
  return curl;
}

void
addresses_set_fixed (addresses_t *addresses, const char *list)
{
  add_address_list (addresses->usable, &addresses->usable_count, list);
  addresses->expiry_us = INT64_MAX;
}

void
addresses_discover (addresses_t *addresses, standin_random_t *random,
                    const char *list)
{
  int64_t give_up_us = standin_now_us () + DISCOVERY_TIMEOUT_MS * 1000LL;
  struct timespec retry_interval = { .tv_nsec = RETRY_INTERVAL_MS * 1000000L };

  add_address_list (addresses->known, &addresses->known_count, list);
  while (standin_now_us () < give_up_us)
    {
      CURL *curl = create_request (addresses, random);
      CURLcode result = curl_easy_perform (curl);

      curl_easy_cleanup (curl);
      if (result == CURLE_OK && parse_response (addresses))
        return;
      nanosleep (&retry_interval, NULL);
    }
  errx (1, "no entry instance of %s returned addresses within %d ms", list,
        DISCOVERY_TIMEOUT_MS);
}

void
addresses_start_refresh (addresses_t *addresses, standin_random_t *random,
                         CURLM *multi, int64_t now_us)
{
  if (addresses->known_count == 0 || addresses->refresh_request != NULL
      || now_us < addresses->expiry_us)
    return;
  addresses->refresh_request = create_request (addresses, random);
  curl_multi_add_handle (multi, addresses->refresh_request);
}

bool
addresses_finish_refresh (addresses_t *addresses, CURLM *multi, CURL *curl,
                          CURLcode result)
{
  if (curl != addresses->refresh_request)
    return false;
  addresses_cancel_refresh (addresses, multi);
  if (result != CURLE_OK || !parse_response (addresses))
    addresses->expiry_us = standin_now_us () + RETRY_INTERVAL_MS * 1000LL;
  return true;
}

const address_t *
addresses_choose_random (const addresses_t *addresses,
                         standin_random_t *random, const char *excluded)
{
  int count = addresses->usable_count;
  int start = (int)(standin_random_uniform (random) * count);

  for (int i = 0; i < count; i++)
    {
      const address_t *address = &addresses->usable[(start + i) % count];

      if (strcmp (address->text, excluded) != 0)
        return address;
    }
  return &addresses->usable[0];
}

void
addresses_cancel_refresh (addresses_t *addresses, CURLM *multi)
{
  if (addresses->refresh_request == NULL)
    return;
  curl_multi_remove_handle (multi, addresses->refresh_request);
  curl_easy_cleanup (addresses->refresh_request);
  addresses->refresh_request = NULL;
}
