package relay

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/httpconn"
	"github.com/eelgrassbay/eelgrassbay/internal/reach"
)

const (
	// pathReach is asked which upstreams a peer has had answers of.
	pathReach = "/reach"
	// headerAsk has the upstreams of the question, one a line.
	headerAsk = "Eelgrass-Reach"
	// headerRefuses has the one upstream that the peer is to open a connection to.
	headerRefuses = "Eelgrass-Refuses"
)

// Links is what a peer says of its links.
type Links struct {
	// AgeMS is how long ago an upstream answered, in milliseconds, by ID.
	AgeMS map[string]int64 `json:"age_ms,omitempty"`
	// Accepts is whether the upstream of the question accepts connections, absent if the
	// peer does not know.
	Accepts *bool `json:"accepts,omitempty"`
}

// Question returns a request that asks a peer how long ago upstreams answered it.
func Question(address string, upstreams []reach.Upstream) *httpconn.Request {
	var list []string
	for _, u := range upstreams {
		list = append(list, format(u))
	}
	return &httpconn.Request{Address: address, Method: http.MethodGet, RequestURI: pathReach, Host: address, Header: http.Header{headerAsk: list}}
}

// RefusesQuestion returns a request that asks a peer whether an upstream accepts connections.
func RefusesQuestion(address string, u reach.Upstream) *httpconn.Request {
	r := Question(address, nil)
	r.Header.Set(headerRefuses, format(u))
	return r
}

// Questions returns the upstreams of a peer's question, and the one to which a connection is
// to be opened, nil for none.
func Questions(h http.Header) (ages []reach.Upstream, refuses *reach.Upstream) {
	for _, text := range h.Values(headerAsk) {
		if u, ok := parse(text); ok {
			ages = append(ages, u)
		}
	}
	if u, ok := parse(h.Get(headerRefuses)); ok {
		refuses = &u
	}
	return ages, refuses
}

// WriteLinks answers a question.
func WriteLinks(w http.ResponseWriter, l Links) error {
	w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(keepAliveSeconds))
	return json.NewEncoder(w).Encode(l)
}

// maxLinksBytes bounds the answer to a question.
const maxLinksBytes = 64 << 10

// ReadLinks reads the answer to a question.
func ReadLinks(resp *httpconn.Response) (l Links, err error) {
	err = json.NewDecoder(io.LimitReader(resp.Body, maxLinksBytes)).Decode(&l)
	resp.Finish(false)
	if resp.Status != http.StatusOK {
		err = errors.Join(err, errors.New("relay: the peer does not answer the question"))
	}
	return l, err
}

// Age returns how long ago an upstream answered the peer.
func (l *Links) Age(id string) (time.Duration, bool) {
	ms, ok := l.AgeMS[id]
	return time.Duration(ms) * time.Millisecond, ok && ms >= 0
}
