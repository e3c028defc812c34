#ifndef PERIDOT_ADMIN_H
#define PERIDOT_ADMIN_H

/* Operators' HTTP interface: GET/PUT/DELETE /v1/profiles, /v1/services
   and /v1/groups, data centres and instances out and in, forget, status,
   metrics.  Handlers run on CivetWeb's threads and reach the daemon through
   callbacks.  */

#include <civetweb.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "decide.h"

/* A profile, service or group as read; the body is allocated with malloc(). */
typedef struct admin_object
{
  uint64_t version;
  uint64_t revision;
  char *body;
} admin_object_t;

/* Result of a conditional change.  */
typedef struct admin_change
{
  uint64_t version;  /* after the change; current one after a conflict, 0
                        when the object does not exist */
  uint64_t revision; /* of the store after the change */
} admin_change_t;

typedef struct admin_instance
{
  char name[DECIDE_NAME_MAX];
  char data_centre[DECIDE_NAME_MAX];
  uint64_t revision;
  bool heard;
  bool leaving;
  bool out;
} admin_instance_t;

typedef struct admin_slice
{
  char data_centre[DECIDE_NAME_MAX];
  uint32_t slice;
  char owner[DECIDE_NAME_MAX]; /* empty: none */
} admin_slice_t;

typedef struct admin_endpoint
{
  char service[DECIDE_NAME_MAX];
  char endpoint[DECIDE_NAME_MAX];
  char data_centre[DECIDE_NAME_MAX];
  char group[DECIDE_NAME_MAX]; /* empty: not divided, or none */
  char owner[DECIDE_NAME_MAX]; /* empty: none */
  uint32_t limit;
  uint32_t in_flight;
  bool cold;
  bool draining;
  bool suspended;
  bool out;
} admin_endpoint_t;

/* The arrays are created empty before collect_status is called.  */
typedef struct admin_status
{
  uint64_t revision;
  uint64_t record_version;
  GArray *instances;        /* admin_instance_t */
  GArray *slices;           /* admin_slice_t */
  GArray *endpoints;        /* admin_endpoint_t */
  GPtrArray *out_centres;   /* char *, allocated with g_malloc() */
  GPtrArray *out_instances; /* char *, allocated with g_malloc() */
} admin_status_t;

typedef void (*admin_visit_t) (void *arg, const char *name,
                               const admin_object_t *object);

/**
 * struct admin_callbacks - what the handlers need of the daemon
 *
 * Called from several threads at the same time.  Names are full names in the
 * store.  Results are 0 or:
 *   -ENOENT     there is no such object or member
 *   -ESTALE     the version was not the expected one, which is stated
 *   -EAGAIN     the store can't be reached: the change was not made
 *   -ETIMEDOUT  no answer, also to the read back: the change may be in effect
 *   any other   answered with status 500
 */
typedef struct admin_callbacks
{
  void *context;
  const char *instance; /* name of this instance */
  int (*read) (void *context, const char *name, admin_object_t *object);
  int (*list) (void *context, const char *prefix, admin_visit_t visit,
               void *arg);
  /* Stores @body if the version is @expected; 0: it must not exist.  */
  int (*put) (void *context, const char *name, const char *body,
              uint64_t expected, const char *change_id,
              admin_change_t *change);
  /* With @expected 0: -ENOENT, or -ESTALE when the object exists.  */
  int (*remove) (void *context, const char *name, uint64_t expected,
                 const char *change_id, admin_change_t *change);
  /* Removes a member from the ownership record without a majority.  */
  int (*forget) (void *context, const char *instance, admin_change_t *change);
  int (*collect_status) (void *context, admin_status_t *status);
} admin_callbacks_t;

/**
 * admin_install() - add the handlers to a CivetWeb server
 * @server: started server
 * @callbacks: used until the server is stopped
 *
 * Handles /v1/ and /metrics.  The server's `request_timeout_ms` bounds slow
 * clients; bodies are bounded here.
 */
void admin_install (struct mg_context *server,
                    const admin_callbacks_t *callbacks);

#endif
