package loopback

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
)

func TestCopyOfRequestIsHandledWithSameBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var bodies []string
		handler := withCopies(fakes.NewCopies(1, 1), fakes.StoreRequest, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			require.NoError(t, err)
			mu.Lock()
			defer mu.Unlock()
			bodies = append(bodies, string(body))
		}))
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/multi", bytes.NewBufferString("written")))
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/keys", http.NoBody))
		time.Sleep(time.Hour)
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		require.Equal(t, []string{"written", "", "written"}, bodies, "reads are not copied")
	})
}
