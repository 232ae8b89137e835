package bwproof_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwconfig"
	"basilwood.example/basilwood/bwhttp"
	"basilwood.example/basilwood/bwpipe"
	"basilwood.example/basilwood/bwstore"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// slowLink is 10 Mbit/s in bytes a second.
const slowLink = 10_000_000 / 8

// storeHandler serves the given number of keys with values of 16 KB, and watches without changes.
func storeHandler(keys int) http.Handler {
	value, _ := json.Marshal(map[string]any{"writeId": "w", "value": strings.Repeat("x", 16<<10)})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/keys", func(w http.ResponseWriter, r *http.Request) {
		m := bwstore.ListMessage{Revision: int64(keys)}
		for i := range keys {
			if key := fmt.Sprintf("config/roster/%03d", i); strings.HasPrefix(key, r.FormValue("prefix")) {
				m.Entries = append(m.Entries, bwstore.KeyMessage{Key: key, Revision: int64(i + 1), Value: value})
			}
		}
		bwhttp.WriteJSON(w, http.StatusOK, m)
	})
	mux.HandleFunc("GET /v1/watch", func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(500 * time.Millisecond)
		bwhttp.WriteJSON(w, http.StatusOK, bwstore.ListMessage{Revision: int64(keys)})
	})
	return mux
}

// Guards against a configuration that an entry host with a slow link never loads.
func TestSyncerLoadsLargeConfigurationOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := bwpipe.New()
		listener := bwpipe.PaceListener(network.Listen(storeAddress), slowLink)
		server := bwhttp.NewServer(storeHandler(256))
		go func() { _ = bwhttp.Serve(server, listener) }()
		client := bwstore.New("http://"+storeAddress, bwstore.WithTransport(&http.Transport{DialContext: network.DialContext("10.0.0.2")}))
		ctx, cancel := context.WithCancel(t.Context())
		replica := &bwconfig.Replica{}
		syncer := bwconfig.NewSyncer(client, replica, &bwconfig.Freshness{}, bwclock.New(), hclog.NewNullLogger(), func() {})
		go syncer.Run(ctx)
		time.Sleep(20 * time.Second)
		assert.Check(t, replica.IsLoaded(), "not loaded after 20 s")
		cancel()
		client.Close()
		assert.Check(t, server.Close())
		// Replies that the client has abandoned are still being written.
		time.Sleep(time.Minute)
	})
}
