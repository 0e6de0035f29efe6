package loopback

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
)

func TestCopyOfRequestIsHandledWithSameBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var bodies []string
		handler := withCopies(fakes.NewCopies(1, 1), fakes.StoreRequest, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			require.NoError(t, err)
			bodies = append(bodies, string(body))
		}))
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/multi", bytes.NewBufferString("written")))
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/keys", http.NoBody))
		time.Sleep(time.Hour)
		synctest.Wait()
		require.Equal(t, []string{"written", "", "written"}, bodies, "reads are not copied")
	})
}
