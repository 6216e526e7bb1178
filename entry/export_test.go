package entry

// AwaitsJobEnd reports whether a caller waits for the end of a job and the engine
// has answered its first question, if there were so many before.
func (h *Host) AwaitsJobEnd(questions uint64) bool {
	w := h.waiters
	w.mu.Lock()
	defer w.mu.Unlock()
	const waitAndFirstLook = 2
	return len(w.ends) > 0 && len(w.calls) == 0 && w.next.Load() >= questions+waitAndFirstLook
}

// Questions returns how many questions were put to the engine.
func (h *Host) Questions() uint64 { return h.waiters.next.Load() }
