package keys

import (
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func document(service, org string, stored ...config.Key) *config.Service {
	return &config.Service{Service: service, Organisations: []config.Organisation{{
		Name: org, Keys: stored, StaleKeys: config.StaleRefuse, StaleKeysAfterS: 60,
	}}}
}

func TestCheck(t *testing.T) {
	key, stored, err := Generate()
	must.NoError(t, err)
	must.StrNotContains(t, stored.Digest+stored.Salt, key[len(key)-64:])
	dir := NewDirectory([]*config.Service{document("s", "o", stored)})

	owner, err := dir.Authenticate(key, 0)
	must.NoError(t, err)
	must.Eq(t, config.OrganisationID{Service: "s", Organisation: "o"}, owner.ID)

	_, err = dir.Authenticate(key, time.Minute)
	must.ErrorIs(t, err, ErrStale)
	_, err = dir.Authenticate(key[:len(key)-1]+"x", 0)
	must.ErrorIs(t, err, ErrUnknown)
	_, err = NewDirectory([]*config.Service{document("s", "o")}).Authenticate(key, 0)
	must.ErrorIs(t, err, ErrUnknown)
}

// TestKeyMatchesOnlyItsOrganisation checks that a key is accepted only for the
// organisation that it was issued for, even if two services store the same key ID.
func TestKeyMatchesOnlyItsOrganisation(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		keyA, storedA, err := Generate()
		must.NoError(t, err)
		keyB, storedB, err := Generate()
		must.NoError(t, err)
		if rapid.Bool().Draw(t, "same id") {
			storedB.ID = storedA.ID
			keyB = "eg-" + storedA.ID + keyB[len("eg-")+len(storedA.ID):]
		}
		dir := NewDirectory([]*config.Service{document("a", "x", storedA), document("b", "x", storedB)})
		a, err := dir.Authenticate(keyA, 0)
		must.NoError(t, err)
		b, err := dir.Authenticate(keyB, 0)
		must.NoError(t, err)
		must.Eq(t, "a", a.ID.Service)
		must.Eq(t, "b", b.ID.Service)
		junk := rapid.String().Draw(t, "junk")
		_, err = dir.Authenticate(junk, 0)
		must.ErrorIs(t, err, ErrUnknown)
	})
}
