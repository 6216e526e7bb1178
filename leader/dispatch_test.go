package leader

import (
	"net/http"
	"testing"

	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/region"
)

// Guards against a start that is taken for refused, and is executed: its status comes from an
// intermediary that has passed the call on.
func TestUnknownStatusIsNoAnswer(t *testing.T) {
	for status, want := range map[int]region.CallError{
		http.StatusBadRequest:          region.CallRefused,
		http.StatusConflict:            region.CallRefused,
		http.StatusMisdirectedRequest:  region.CallOtherIncarnation,
		http.StatusTooManyRequests:     region.CallRefused,
		http.StatusServiceUnavailable:  region.CallRefused,
		http.StatusInternalServerError: region.CallNoAnswer,
		http.StatusBadGateway:          region.CallNoAnswer,
		http.StatusGatewayTimeout:      region.CallNoAnswer,
	} {
		err := &platform.StatusError{Status: status}
		if got := callError(platform.Receipt{Err: err}, nil); got != want {
			t.Errorf("status %d: outcome %d, want %d", status, got, want)
		}
		if got := callError(platform.Receipt{}, &platform.NotSentError{Cause: err}); got != region.CallNotSent && status != http.StatusMisdirectedRequest {
			t.Errorf("status %d of a handshake: outcome %d, want %d", status, got, region.CallNotSent)
		}
	}
}
