package engine

// pump carries out commands of one machine in order. Carrying one out may step
// the machine again; what comes of that waits its turn, so that no command is
// carried out in the middle of another.
type pump[C any] struct {
	queue []C
	busy  bool
}

// run queues cmds and, unless it is already under way, carries out the queue.
func (p *pump[C]) run(cmds []C, do func(C)) {
	p.queue = append(p.queue, cmds...)
	if p.busy {
		return
	}
	p.busy = true
	for i := 0; i < len(p.queue); i++ {
		do(p.queue[i])
	}
	clear(p.queue)
	p.queue = p.queue[:0]
	p.busy = false
}
