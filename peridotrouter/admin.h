#ifndef PERIDOT_ADMIN_H
#define PERIDOT_ADMIN_H

/* HTTP interface for operators: GET/PUT/DELETE of /v1/profiles, /v1/services
   and /v1/groups, taking data centres and instances out of service and back
   in, removing an instance (forget), status and metrics.  Handlers run on
   CivetWeb's threads and access the daemon through callbacks.  */

#include <civetweb.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "decide.h"

/* A profile, service or group read from the store.  */
typedef struct admin_object
{
  uint64_t version;  /* of the object */
  uint64_t revision; /* of the store, after the last change of the object */
  char *body;        /* JSON text, allocated with malloc() */
} admin_object_t;

/* Result of a change that is made only if the object has an expected
   version.  */
typedef struct admin_change
{
  uint64_t version; /* of the object after the change; with -ESTALE its current
                       version, or 0 if it does not exist */
  uint64_t revision; /* of the store after the change */
} admin_change_t;

/* State of an instance, as this instance sees it.  */
typedef struct admin_instance
{
  char name[DECIDE_NAME_MAX];
  char data_centre[DECIDE_NAME_MAX];
  uint64_t revision; /* configuration revision that it uses */
  bool heard;        /* sent a message in the last DECIDE_PEER_TIMEOUT_MS */
  bool leaving;      /* a graceful shutdown has begun */
  bool out;          /* it or its data centre is out of service */
} admin_instance_t;

/* One of the DECIDE_SLICES slices of a data centre, and the instance that owns
   it in the ownership record.  */
typedef struct admin_slice
{
  char data_centre[DECIDE_NAME_MAX];
  uint32_t slice;              /* index, below DECIDE_SLICES */
  char owner[DECIDE_NAME_MAX]; /* empty: none */
} admin_slice_t;

/* Endpoint of a service, and its state as this instance sees it.  */
typedef struct admin_endpoint
{
  char service[DECIDE_NAME_MAX];
  char endpoint[DECIDE_NAME_MAX];
  char data_centre[DECIDE_NAME_MAX];
  /* Group of instances that serves the service; empty: none, or services are
     not divided among groups.  */
  char group[DECIDE_NAME_MAX];
  char owner[DECIDE_NAME_MAX]; /* grants its slots; empty: none */
  /* The members from @limit to @suspended are 0 or false unless this instance
     is the owner.  */
  uint32_t limit;     /* slots that may be in use now */
  uint32_t in_flight; /* outstanding grants */
  bool cold;          /* in slow start */
  bool draining;
  bool suspended; /* failed; gets no grants until a probe succeeds */
  bool out;       /* its data centre is out of service */
} admin_endpoint_t;

/* Response to GET /v1/status.  The caller of collect_status() creates the
   arrays empty.  */
typedef struct admin_status
{
  uint64_t revision;        /* configuration revision of this instance */
  uint64_t record_version;  /* of the ownership record */
  GArray *instances;        /* admin_instance_t */
  GArray *slices;           /* admin_slice_t */
  GArray *endpoints;        /* admin_endpoint_t */
  GPtrArray *out_centres;   /* char *, allocated with g_malloc() */
  GPtrArray *out_instances; /* char *, allocated with g_malloc() */
} admin_status_t;

/* Called for each listed object; @object is valid only during the call.  */
typedef void (*admin_visit_t) (void *arg, const char *name,
                               const admin_object_t *object);

/**
 * struct admin_callbacks - functions of the daemon that the handlers call
 *
 * They are called from several threads at the same time.  Names are full names
 * in the store.  Results are 0 or:
 *   -ENOENT     there is no such object or member
 *   -ESTALE     the version was not the expected one; admin_change_t has the
 *               current one
 *   -EAGAIN     the store is unreachable; the change was not made
 *   -ETIMEDOUT  no response, and reading back failed: the change may be in
 *               effect
 *   any other   is reported to the client with status 500
 */
typedef struct admin_callbacks
{
  void *context;
  const char *instance; /* name of this instance */
  int (*read) (void *context, const char *name, admin_object_t *object);
  int (*list) (void *context, const char *prefix, admin_visit_t visit,
               void *arg);
  /* Stores @body if the version of the object is @expected; 0: the object must
     not exist.  */
  int (*put) (void *context, const char *name, const char *body,
              uint64_t expected, const char *change_id,
              admin_change_t *change);
  /* Removes an object if its version is @expected.  0 removes nothing: the
     result is -ENOENT, or -ESTALE if the object exists.  */
  int (*remove) (void *context, const char *name, uint64_t expected,
                 const char *change_id, admin_change_t *change);
  /* Removes an instance from the stored record of members and slice owners,
     directly, without the agreement of a majority of the instances.  -ENOENT:
     no such instance.  */
  int (*forget) (void *context, const char *instance, admin_change_t *change);
  /* Fills in the status; -EAGAIN if the decision thread's event queue is
     full.  */
  int (*collect_status) (void *context, admin_status_t *status);
} admin_callbacks_t;

/**
 * admin_install() - add the handlers to a CivetWeb server
 * @server: started server
 * @callbacks: must stay valid until the server is stopped
 *
 * The handlers serve /v1/ and /metrics.  The server's option
 * request_timeout_ms limits slow clients; the handlers limit the size of
 * bodies.
 */
void admin_install (struct mg_context *server,
                    const admin_callbacks_t *callbacks);

#endif
