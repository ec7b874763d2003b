// Package keys maps keys to organisations. A key reads "eg-ID-SECRET"; only a
// salted digest of it is stored or relayed. ID finds the digest, so that one
// check costs one hash however many keys there are.
package keys

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
)

// Lengths of the parts of a key, in bytes before hexadecimal encoding.
const (
	prefix      = "eg"
	idBytes     = 6
	secretBytes = 32
	saltBytes   = 16
)

// Errors of Directory.Check.
var (
	// ErrUnknown means that no organisation has the key, or no longer.
	ErrUnknown = errors.New("keys: unknown key")
	// ErrStale means that the organisation's document asks for refusal while
	// the knowledge of its keys is too old.
	ErrStale = errors.New("keys: knowledge of keys too old")
)

// Issue makes a new key and the digest to store in a document. The key is
// shown once and kept nowhere.
func Issue() (secret string, stored config.Key, err error) {
	raw := make([]byte, idBytes+secretBytes+saltBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", config.Key{}, fmt.Errorf("keys: %w", err)
	}
	id := hex.EncodeToString(raw[:idBytes])
	secret = hex.EncodeToString(raw[idBytes : idBytes+secretBytes])
	salt := raw[idBytes+secretBytes:]
	stored = config.Key{ID: id, Salt: hex.EncodeToString(salt), Digest: hex.EncodeToString(digest(salt, secret))}
	return strings.Join([]string{prefix, id, secret}, "-"), stored, nil
}

func digest(salt []byte, secret string) []byte {
	mac := hmac.New(sha256.New, salt)
	mac.Write([]byte(secret))
	return mac.Sum(nil)
}

// Owner is the organisation that a key belongs to.
type Owner struct {
	ID    config.OrganisationID
	KeyID string
	stale config.Stale
	after time.Duration
}

type record struct {
	owner  Owner
	salt   []byte
	digest []byte
}

// Directory holds the keys of all documents in force. It is immutable: a
// change of documents makes a new one.
type Directory struct {
	byID map[string][]record // a list, since two services may share an ID
}

// NewDirectory indexes the keys of the documents.
func NewDirectory(docs []*config.Service) *Directory {
	d := &Directory{byID: map[string][]record{}}
	for _, doc := range docs {
		for _, org := range doc.Organisations {
			d.add(doc.Service, org)
		}
	}
	return d
}

func (d *Directory) add(service string, org config.Organisation) {
	for _, k := range org.Keys {
		salt, saltErr := hex.DecodeString(k.Salt)
		sum, sumErr := hex.DecodeString(k.Digest)
		if saltErr != nil || sumErr != nil {
			continue // config.Parse has refused such a document
		}
		owner := Owner{
			ID:    config.OrganisationID{Service: service, Organisation: org.Name},
			KeyID: k.ID,
			stale: org.StaleKeys,
			after: time.Duration(org.StaleKeysAfterS) * time.Second,
		}
		d.byID[k.ID] = append(d.byID[k.ID], record{owner: owner, salt: salt, digest: sum})
	}
}

// Check returns the owner of a key. age is how old the knowledge of documents
// is. It fails with ErrUnknown or ErrStale.
func (d *Directory) Check(key string, age time.Duration) (Owner, error) {
	parts := strings.Split(key, "-")
	if len(parts) != 3 || parts[0] != prefix {
		return Owner{}, ErrUnknown
	}
	for _, r := range d.byID[parts[1]] {
		if !hmac.Equal(r.digest, digest(r.salt, parts[2])) {
			continue
		}
		if r.owner.stale == config.StaleRefuse && age >= r.owner.after {
			return Owner{}, ErrStale
		}
		return r.owner, nil
	}
	return Owner{}, ErrUnknown
}

// Secret returns the part of a key that must not leave the instance, or "".
func Secret(key string) string {
	parts := strings.Split(key, "-")
	if len(parts) != 3 {
		return ""
	}
	return parts[2]
}
