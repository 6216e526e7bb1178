package ledger

// proof tells whether this holder can be sure that its units are still its own.
//
// It guards against units used in two places after a pause or a cut: others
// lease every worker of the zone, prove with that that this holder can start
// nothing, and take its units over; then this holder wakes, gets a worker's
// lease again and starts tasks with units that it no longer has. As long as it
// holds one lease without a break the proof cannot stand. Once it held none, it
// appends a record after it got a lease, which voids every reclaim that was
// proved before, and uses units only after reading that record back: a reclaim
// that came first is then read before it.
type proof struct {
	leases bool   // holds a lease of a worker
	num    uint64 // the record that must be read back; zero for none yet
	done   bool   // it was read back
}

func (p *proof) stands() bool { return p.leases && p.done }

// pending reports whether a record must be written or read back.
func (p *proof) pending() bool { return p.leases && !p.done }

// needsRecord reports whether the record must still be sent.
func (p *proof) needsRecord() bool { return p.pending() && p.num == 0 }

// sent notes the number of a record sent while a proof is pending.
func (p *proof) sent(num uint64) {
	if p.needsRecord() {
		p.num = num
	}
}

// read notes that a record of this holder with this number is in the stream. It
// reports whether the proof stands from now on.
func (p *proof) read(num uint64) bool {
	if !p.pending() || p.num == 0 || num < p.num {
		return false
	}
	p.done = true
	return true
}

// leases starts or ends a proof.
func (h *Holder) leases(any bool) {
	if any == h.proof.leases {
		return
	}
	h.proof = proof{leases: any}
}
