#ifndef PERIDOT_GROUPS_H
#define PERIDOT_GROUPS_H

/* Groups of instances that divide the services of one store among themselves,
   and the mapping of services to groups.  A region is a set of data centres;
   groups that list the same data centres are in the same region.  */

#include "decide.h"

typedef struct groups groups_t;

groups_t *groups_new (void);
void groups_free (groups_t *groups);

/* Stores a group's object; @group is NULL when the object was deleted.  */
void groups_set_object (groups_t *groups, const char *name,
                        const decide_group_t *group);

/* Stores the members of another group's ownership record; @record is NULL when
   the record was deleted.  */
void groups_set_record (groups_t *groups, const char *name,
                        const decide_record_t *record);

/* Whether there are group objects, so that services are divided among
   groups.  */
bool groups_are_configured (const groups_t *groups);

/* Whether a group object, or the deletion of one, was ever applied.  */
bool groups_have_seen_object (const groups_t *groups);

/* Return: the group's object, or NULL.  */
const decide_group_t *groups_find (const groups_t *groups, const char *name);

/* Whether any other group's ownership record is known.  */
bool groups_have_foreign_record (const groups_t *groups);

/* Whether the group's object lists the data centre.  */
bool groups_have_centre (const groups_t *groups, const char *name,
                         const char *centre);

/**
 * groups_choose() - choose the group for a service in a data centre
 * @service: name of the service
 * @named: names of the groups that the service's object lists
 * @centre: name of the data centre
 *
 * Chooses the first group of @named that has the data centre.  If there is
 * none, chooses among all groups that have it by rendezvous hashing (highest
 * XXH64 of service and group name), so that adding a group moves no service
 * between the other groups.  The result depends only on the objects, not on
 * the order in which they arrived.
 *
 * Return: the group's name, or NULL when no group has the data centre.
 */
const char *groups_choose (const groups_t *groups, const char *service,
                           uint32_t named_count,
                           const char named[][DECIDE_NAME_MAX],
                           const char *centre);

/* Whether the instance is an active member in the group's ownership record;
   true when the record is not known.  The result stays true for a while after
   an instance has died, until it is removed from the record.  */
bool groups_is_presumed_active (const groups_t *groups, const char *group,
                                const char *instance);

#endif
