// Package queue keeps waiting work in order.
//
// Between teams the order follows weighted dominant shares: the team whose
// largest fraction of any resource, divided by its weight, is lowest comes
// first. While the zone is full this shares it by weight; while it is not,
// every team's work is placed and the order does not matter. Urgent work comes
// before all other work as long as its team is within a multiple of its share.
//
// Within a team, pressing work (urgent, or with a deadline) comes before other
// work, but after a few starts in a row it is the turn of older work. Each of
// the two is ordered by a due time that is fixed when the work arrives: the
// deadline, or the arrival plus the patience of its kind, whichever is earlier.
// Work without a deadline therefore ages: what arrives later is due later, and
// nothing starves.
//
// Work of one team with equal needs forms a Class. If the first of a class
// does not fit, none of it does, so that the cost of finding work that fits
// grows with the number of classes and not with the number of waiting jobs.
// It is bounded for each team, so that no team slows the others down with
// thousands of different needs.
package queue
