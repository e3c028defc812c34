#include "addresses.h"

#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* An entry instance that does not answer is given up after this time.  */
#define ANSWER_TIMEOUT_MS 1000
#define START_TIMEOUT_MS 10000
#define RETRY_MS 20
#define DEFAULT_LIFETIME_MS 5000

static bool take_answer (addresses_t *addresses);

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
add_list (address_t *list, int *count, const char *text)
{
  char *copy = strdup (text);
  char *rest = copy;

  for (char *next; (next = strsep (&rest, ",")) != NULL;)
    add_address (list, count, next);
  free (copy);
  if (*count == 0)
    errx (2, "%s: no address", text);
}

static const char *
text_member (json_object *value, const char *name)
{
  json_object *member;

  if (!json_object_object_get_ex (value, name, &member))
    return "";
  return json_object_get_string (member);
}

/* Takes {"addresses": [{"address", "data_centre"}], "lifetime_ms"}.
   Addresses of the own data centre are used if there are any.  */
static bool
take_answer (addresses_t *addresses)
{
  int lifetime_ms = DEFAULT_LIFETIME_MS;
  json_object *value;
  json_object *list;
  json_object *member;

  addresses->text[addresses->length] = '\0';
  value = json_tokener_parse (addresses->text);
  if (!json_object_object_get_ex (value, "addresses", &list)
      || !json_object_is_type (list, json_type_array)
      || json_object_array_length (list) == 0)
    {
      json_object_put (value);
      return false;
    }
  addresses->usable_count = 0;
  for (int own = 1; own >= 0 && addresses->usable_count == 0; own--)
    for (size_t i = 0; i < json_object_array_length (list); i++)
      {
        json_object *entry = json_object_array_get_idx (list, i);
        const char *text = text_member (entry, "address");
        const char *centre = text_member (entry, "data_centre");

        add_address (addresses->known, &addresses->known_count, text);
        if (!own || strcmp (centre, addresses->data_centre) == 0)
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
take_text (char *data, size_t size, size_t count, void *context)
{
  addresses_t *addresses = context;

  (void)size;
  if (addresses->length + count >= sizeof addresses->text)
    return 0;
  memcpy (addresses->text + addresses->length, data, count);
  addresses->length += count;
  return count;
}

static CURL *
make_request (addresses_t *addresses, standin_random_t *random)
{
  int index = (int)(standin_random_uniform (random) * addresses->known_count);
  CURL *curl = curl_easy_init ();
  char url[256];

  if (curl == NULL)
    errx (1, "can't make a request for addresses");
  snprintf (url, sizeof url, "http://%s/addresses?data_centre=%s",
            addresses->known[index % addresses->known_count].text,
            addresses->data_centre);
  addresses->length = 0;
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_FAILONERROR, 1L);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)ANSWER_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, take_text);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, addresses);
  return curl;
}

void
addresses_set_fixed (addresses_t *addresses, const char *list)
{
  add_list (addresses->usable, &addresses->usable_count, list);
  addresses->expiry_us = INT64_MAX;
}

void
addresses_discover (addresses_t *addresses, standin_random_t *random,
                    const char *list)
{
  int64_t until = standin_now_us () + START_TIMEOUT_MS * 1000LL;
  struct timespec pause = { .tv_nsec = RETRY_MS * 1000000L };

  add_list (addresses->known, &addresses->known_count, list);
  while (standin_now_us () < until)
    {
      CURL *curl = make_request (addresses, random);
      CURLcode result = curl_easy_perform (curl);

      curl_easy_cleanup (curl);
      if (result == CURLE_OK && take_answer (addresses))
        return;
      nanosleep (&pause, NULL);
    }
  errx (1, "no entry instance of %s gave addresses within %d ms", list,
        START_TIMEOUT_MS);
}

void
addresses_start_refresh (addresses_t *addresses, standin_random_t *random,
                         CURLM *multi, int64_t now_us)
{
  if (addresses->known_count == 0 || addresses->refresh != NULL
      || now_us < addresses->expiry_us)
    return;
  addresses->refresh = make_request (addresses, random);
  curl_multi_add_handle (multi, addresses->refresh);
}

bool
addresses_finish_refresh (addresses_t *addresses, CURLM *multi, CURL *curl,
                          CURLcode result)
{
  if (curl != addresses->refresh)
    return false;
  addresses_cancel_refresh (addresses, multi);
  if (result != CURLE_OK || !take_answer (addresses))
    addresses->expiry_us = standin_now_us () + RETRY_MS * 1000LL;
  return true;
}

const address_t *
addresses_choose_random (const addresses_t *addresses,
                         standin_random_t *random, const char *other)
{
  int count = addresses->usable_count;
  int start = (int)(standin_random_uniform (random) * count);

  for (int i = 0; i < count; i++)
    {
      const address_t *address = &addresses->usable[(start + i) % count];

      if (strcmp (address->text, other) != 0)
        return address;
    }
  return &addresses->usable[0];
}

void
addresses_cancel_refresh (addresses_t *addresses, CURLM *multi)
{
  if (addresses->refresh == NULL)
    return;
  curl_multi_remove_handle (multi, addresses->refresh);
  curl_easy_cleanup (addresses->refresh);
  addresses->refresh = NULL;
}
