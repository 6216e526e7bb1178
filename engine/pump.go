package engine

// pump executes the commands of one state machine in order. Executing a command
// may step the machine again; the resulting commands are queued, and no command
// is executed while another one is.
type pump[C any] struct {
	queue   []C
	running bool
}

// run queues cmds and executes the queue with do, unless an outer call of run
// is already doing so.
func (p *pump[C]) run(cmds []C, do func(C)) {
	p.queue = append(p.queue, cmds...)
	if p.running {
		return
	}
	p.running = true
	for i := 0; i < len(p.queue); i++ {
		do(p.queue[i])
	}
	clear(p.queue)
	p.queue = p.queue[:0]
	p.running = false
}
