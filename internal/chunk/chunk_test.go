package chunk

import (
	"bytes"
	"testing"

	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func encode(t must.T, raw []byte) *Document {
	d, err := Encode(raw)
	must.NoError(t, err)
	return d
}

// Whatever parts are lost, repeated, resized or replaced by those of a newer
// document, only whole documents come out, and one does if its parts get through.
func TestOnlyWholeDocumentsComeOut(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		raws := [][]byte{
			rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "first"),
			rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "second"),
		}
		docs := []*Document{encode(t, raws[0]), encode(t, raws[1])}
		var a Assembly
		for range 60 {
			which := rapid.IntRange(0, 1).Draw(t, "sender")
			digest, offset := a.Next()
			p := docs[which].Part(digest, offset, rapid.IntRange(1, 100).Draw(t, "size"))
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				continue // lost
			case 1:
				p.Data = append(bytes.Clone(p.Data), 0) // damaged
			case 2:
				p.Offset++
			}
			raw, complete, _ := a.Add(p)
			if complete {
				must.True(t, bytes.Equal(raw, raws[0]) || bytes.Equal(raw, raws[1]))
			}
		}
		for range 2 { // a damaged prefix is noticed at the end of the document
			var raw []byte
			var err error
			for complete := false; !complete && err == nil; {
				digest, offset := a.Next()
				raw, complete, err = a.Add(docs[0].Part(digest, offset, 50))
			}
			if err == nil {
				must.Eq(t, string(raws[0]), string(raw))
				return
			}
		}
		t.Fatal("no document came through")
	})
}

func TestTransferGoesOnWithAnotherSender(t *testing.T) {
	raw := bytes.Repeat([]byte("route "), 5000)
	first, second := encode(t, raw), encode(t, raw)
	var a Assembly
	_, complete, err := a.Add(first.Part(0, 0, 20))
	must.NoError(t, err)
	must.False(t, complete)
	digest, offset := a.Next()
	must.Eq(t, 20, offset)
	got, complete, err := a.Add(second.Part(digest, offset, 1<<20))
	must.NoError(t, err)
	must.True(t, complete)
	must.Eq(t, string(raw), string(got))
}

func TestMalformedParts(t *testing.T) {
	for name, p := range map[string]Part{
		"no bytes":        {Size: 3},
		"no size":         {Data: []byte("abc")},
		"beyond its size": {Size: 2, Data: []byte("abc")},
		"too large":       {Size: MaxSize + 1, Data: []byte("abc")},
		"wrong digest":    {Digest: 1, Size: 3, Data: []byte("abc")},
		"negative offset": {Size: 3, Offset: -1, Data: []byte("abc")},
	} {
		t.Run(name, func(t *testing.T) {
			var a Assembly
			_, complete, err := a.Add(p)
			must.Error(t, err)
			must.False(t, complete)
		})
	}
}
