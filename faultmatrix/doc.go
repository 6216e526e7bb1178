// Package faultmatrix runs several entry hosts against stand-ins of the
// platform in virtual time, injects faults at chosen steps, and checks every
// promise of the system over what happened.
//
// The hosts are the engines of production; only their edges are replaced, by
// an agenda of messages whose order, loss and delay the fault decides. All
// choices come from a seed, so that a failing cell fails again.
//
// The table of cells is Steps by Faults, with a few chosen pairs of faults. A
// cell passes if none of the checks in check.go finds a broken promise, and if
// the fleet does all its work again after the fault has ended.
package faultmatrix
