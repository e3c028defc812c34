#ifndef PERIDOT_STANDIN_ADDRESSES_H
#define PERIDOT_STANDIN_ADDRESSES_H

/* Addresses to which the load generator sends requests.  They come from the
   responses of GET /addresses, each of which is used for its lifetime.  All
   entry instances found so far are kept, to send the next GET /addresses to
   one of them.  */

#include "standin.h"

#include <curl/curl.h>

#define ADDRESSES_MAX 64
#define ADDRESS_MAX_BYTES 64

typedef struct address
{
  char text[ADDRESS_MAX_BYTES]; /* IP:PORT */
} address_t;

typedef struct addresses
{
  const char *data_centre;        /* preferred for usable addresses */
  address_t known[ADDRESSES_MAX]; /* all entry instances found so far */
  int known_count;
  address_t usable[ADDRESSES_MAX]; /* requests are sent to these */
  int usable_count;
  int64_t expiry_us;     /* CLOCK_BOOTTIME, end of the lifetime */
  CURL *refresh_request; /* GET /addresses in flight, or NULL */
  char response[65536];  /* body received so far */
  size_t response_length;
  int64_t response_count; /* responses that listed addresses */
} addresses_t;

/* Sets the usable addresses from a list separated by commas; they never
   expire.  */
void addresses_set_fixed (addresses_t *addresses, const char *list);

/* Sends GET /addresses to random instances of the list, separated by commas,
   until one responds with addresses; exits if none does in time.  */
void addresses_discover (addresses_t *addresses, standin_random_t *random,
                         const char *list);

/* Starts GET /addresses to a random known instance if the last response has
   expired.  */
void addresses_start_refresh (addresses_t *addresses, standin_random_t *random,
                              CURLM *multi, int64_t now_us);

/* Processes the result of the request that addresses_start_refresh() started:
   stores the addresses, or lets the present ones expire soon if the request
   failed.  Returns false and does nothing when @curl is another request.  */
bool addresses_finish_refresh (addresses_t *addresses, CURLM *multi,
                               CURL *curl, CURLcode result);

/* Returns a random usable address other than @excluded, or the first one if
   there is no other.  */
const address_t *addresses_choose_random (const addresses_t *addresses,
                                          standin_random_t *random,
                                          const char *excluded);

/* Cancels the request that addresses_start_refresh() started, if it is in
   flight.  */
void addresses_cancel_refresh (addresses_t *addresses, CURLM *multi);

#endif
