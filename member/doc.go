// Package member works out which entry hosts are alive, which of them should
// ask for which worker, and with which of them to exchange digests.
//
// Members is a deterministic state machine. Its inputs are the platform's host
// list, which lags, freezes and errs, and the digests of peers, which show who
// is alive now. Its answer is only ever a wish: it decides who asks for a
// lease, the arbiter of the lease decides who has it. So two hosts that see
// different members cost traffic and time, never a doubled run.
//
// Workers of a zone are spread over the zone's live hosts by rendezvous
// hashing: when a host comes or goes, only the workers move that it gains or
// had. Digests have a bounded size and go to every host of the own zone and to
// a fixed few elsewhere, so that traffic does not grow with the fleet.
package member
