package region

import (
	"testing"
	"time"
)

// TestStartCallsUnsettled checks after which outcomes a start call may still be executed.
func TestStartCallsUnsettled(t *testing.T) {
	type step func(c *startCalls)
	send := func(c *startCalls) { c.sent(0) }
	answer := func(err CallError) step { return func(c *startCalls) { c.answered(err, 0) } }
	list := func(c *startCalls) { c.runListed() }
	inherit := func(n int) step { return func(c *startCalls) { c.inherited = n } }
	for name, c := range map[string]struct {
		steps []step
		want  bool
	}{
		"none sent":                   {nil, false},
		"in flight":                   {[]step{send}, true},
		"executed":                    {[]step{send, answer(CallOK)}, false},
		"refused":                     {[]step{send, answer(CallRefused)}, false},
		"not sent":                    {[]step{send, answer(CallNotSent)}, false},
		"no answer":                   {[]step{send, answer(CallNoAnswer)}, true},
		"no answer, listed":           {[]step{send, answer(CallNoAnswer), list}, false},
		"listed, no answer":           {[]step{send, list, answer(CallNoAnswer)}, false},
		"second one executed":         {[]step{send, answer(CallNoAnswer), send, answer(CallOK)}, true},
		"second one executed, listed": {[]step{send, answer(CallNoAnswer), send, answer(CallOK), list}, true},
		"two without answer, listed":  {[]step{send, answer(CallNoAnswer), send, answer(CallNoAnswer), list}, true},
		"listed, second one executed": {[]step{send, answer(CallNoAnswer), send, list, answer(CallOK)}, true},
		"one inherited":               {[]step{inherit(1)}, true},
		"one inherited, listed":       {[]step{inherit(1), list}, false},
		"two inherited, listed":       {[]step{inherit(2), list}, true},
		"inherited, settled":          {[]step{inherit(2), (*startCalls).settle}, false},
	} {
		t.Run(name, func(t *testing.T) {
			calls := &startCalls{}
			for _, do := range c.steps {
				do(calls)
			}
			if got := calls.unsettled(); got != c.want {
				t.Errorf("unsettled is %v, want %v", got, c.want)
			}
		})
	}
}

// TestStartCallsOpen checks that the window runs from the time-out of the newest call that
// may still be executed, not from one that was answered.
func TestStartCallsOpen(t *testing.T) {
	const first, second = time.Second, 5 * time.Second // time-out of the first call, answer to the second
	c := &startCalls{}
	want := func(open bool, at time.Duration, when string) {
		t.Helper()
		if got := c.open(at, time.Minute); got != open {
			t.Errorf("%s: open at %v is %v, want %v", when, at, got, open)
		}
	}
	c.sent(0)
	want(true, maxSendDelay+lateCallWindow-1, "call in flight")
	c.answered(CallNoAnswer, first)
	want(true, first+lateCallWindow-1, "no answer")
	want(false, first+lateCallWindow, "no answer")
	c.sent(second)
	c.answered(CallOK, second)
	want(false, first+lateCallWindow, "second call executed")
	c.inherited = 1
	want(true, time.Minute+inheritedWindow-1, "call of an earlier leader")
	want(false, time.Minute+inheritedWindow, "call of an earlier leader")
}
