// Package queue orders the backlog of a zone.
//
// Teams are ordered by weighted dominant resource fairness: the team with the
// lowest dominant share (its largest fraction of any resource) divided by its
// weight comes first. In a full zone this divides the resources by weight; in a
// zone that is not full, the work of every team is placed and the order does
// not matter. Urgent work comes before all other work while its team uses at
// most a multiple of its share.
//
// Within a team, pressing work (urgent, or with a deadline) comes before other
// work, but after a few starts in a row older work is next. Both are ordered by
// a due time that is fixed on arrival: the deadline, or the arrival plus the
// patience of the kind of work, whichever is earlier. Later arrivals are due
// later, so work without a deadline ages and does not starve.
//
// Items of one team with the same Shape form a Class. If the first item of a
// class does not fit, none of the class does. The cost of finding work that
// fits therefore grows with the number of classes, not of waiting jobs. It is
// bounded for each team, so a team with thousands of different needs does not
// delay the others.
package queue
