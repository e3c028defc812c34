#ifndef PERIDOT_GROUPS_H
#define PERIDOT_GROUPS_H

/* Groups of instances that share the services of one store, and the mapping
   of services to them.  Groups with the same data centres are in one
   region.  */

#include "decide.h"

typedef struct groups groups_t;

groups_t *groups_new (void);
void groups_free (groups_t *groups);

/* Takes a group object over; @group is NULL for a tombstone.  */
void groups_apply (groups_t *groups, const char *name,
                   const decide_group_t *group);

/* Takes the ownership record of another group over; @record is NULL for a
   tombstone.  */
void groups_note_record (groups_t *groups, const char *name,
                         const decide_record_t *record);

/* Whether there are group objects, so that services are divided.  */
bool groups_divide (const groups_t *groups);

/* Whether a group object, or its tombstone, was ever seen.  */
bool groups_seen (const groups_t *groups);

/* Return: the group's object, or NULL.  */
const decide_group_t *groups_find (const groups_t *groups, const char *name);

/* Whether the store has the ownership record of another group.  */
bool groups_have_foreign_record (const groups_t *groups);

/* Whether the group's object has the data centre.  */
bool groups_have_centre (const groups_t *groups, const char *name,
                         const char *centre);

/**
 * groups_choose() - group that a service belongs to in a data centre
 * @named: groups that the service's object names
 *
 * The first named group of the data centre's region, otherwise the one with
 * the highest XXH64 of service and group name, so that a new group takes only
 * the services that it gets.  Depends on the objects only, not on the order in
 * which they came.
 *
 * Return: the group's name, or NULL when no group has the data centre.
 */
const char *groups_choose (const groups_t *groups, const char *service,
                           uint32_t named_count,
                           const char named[][DECIDE_NAME_MAX],
                           const char *centre);

/* Whether the group's ownership record, if it is known, has the instance as an
   active member.  Members that are gone are removed from it in time.  */
bool groups_may_answer (const groups_t *groups, const char *group,
                        const char *instance);

#endif
