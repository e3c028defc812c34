#ifndef PERIDOT_STANDIN_ADDRESSES_H
#define PERIDOT_STANDIN_ADDRESSES_H

/* Addresses that a caller uses: an answer of GET /addresses, kept for its
   lifetime, and every entry instance heard of.  */

#include "standin.h"

#include <curl/curl.h>

#define ADDRESSES_MAX 64
#define ADDRESS_LENGTH 64

typedef struct address
{
  char text[ADDRESS_LENGTH]; /* IP:PORT */
} address_t;

typedef struct addresses
{
  const char *data_centre;
  address_t known[ADDRESSES_MAX]; /* any entry instance heard of */
  int known_count;
  address_t usable[ADDRESSES_MAX];
  int usable_count;
  int64_t expiry_us;
  CURL *refresh; /* request in flight */
  char text[65536];
  size_t length;
  int64_t response_count;
} addresses_t;

/* Uses the addresses of the list for ever.  */
void addresses_set_fixed (addresses_t *addresses, const char *list);

/* Asks the instances of the list until one answers; exits if none does.  */
void addresses_discover (addresses_t *addresses, standin_random_t *random,
                         const char *list);

/* Asks any known instance when the last answer has expired.  */
void addresses_start_refresh (addresses_t *addresses, standin_random_t *random,
                              CURLM *multi, int64_t now_us);

/* Returns false when @curl is not the request for addresses.  */
bool addresses_finish_refresh (addresses_t *addresses, CURLM *multi,
                               CURL *curl, CURLcode result);

/* Any usable address but @other, if there is one.  */
const address_t *addresses_choose_random (const addresses_t *addresses,
                                          standin_random_t *random,
                                          const char *other);

/* Cancels a request in flight.  */
void addresses_cancel_refresh (addresses_t *addresses, CURLM *multi);

#endif
