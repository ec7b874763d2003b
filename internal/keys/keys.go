// Package keys issues API keys and maps them to organisations. A key has the form
// "eg-ID-SECRET"; only a salted digest of it is stored or sent to other instances.
// The digest is looked up by ID, so that one check costs one hash, however many keys
// exist.
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

// Prefix of a key and lengths of its parts and of the salt, in bytes before
// hexadecimal encoding.
const (
	prefix      = "eg"
	idBytes     = 6
	secretBytes = 32
	saltBytes   = 16
)

// Errors of Directory.Authenticate.
var (
	// ErrUnknown means that the key does not belong to any organisation, or no
	// longer does.
	ErrUnknown = errors.New("keys: unknown key")
	// ErrStale means that the local copy of the keys is older than the maximum
	// age at which the organisation's document allows its use.
	ErrStale = errors.New("keys: local copy of the keys is too old")
)

// Generate generates a key and returns it with the digest to store in a document.
// The key itself is shown once and not stored anywhere.
func Generate() (secret string, stored config.Key, err error) {
	raw := make([]byte, idBytes+secretBytes+saltBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", config.Key{}, fmt.Errorf("keys: generating a key: %w", err)
	}
	id := hex.EncodeToString(raw[:idBytes])
	secret = hex.EncodeToString(raw[idBytes : idBytes+secretBytes])
	salt := raw[idBytes+secretBytes:]
	stored = config.Key{ID: id, Salt: hex.EncodeToString(salt), Digest: hex.EncodeToString(digest(salt, secret))}
	return strings.Join([]string{prefix, id, secret}, "-"), stored, nil
}

// digest returns the HMAC-SHA256 of a secret, keyed by the salt.
func digest(salt []byte, secret string) []byte {
	mac := hmac.New(sha256.New, salt)
	mac.Write([]byte(secret))
	return mac.Sum(nil)
}

// Owner identifies the organisation to which a key belongs.
type Owner struct {
	ID         config.OrganisationID
	KeyID      string
	staleKeys  config.StaleKeysPolicy
	staleAfter time.Duration
}

// keyRecord is the stored digest of one key.
type keyRecord struct {
	owner  Owner
	salt   []byte
	digest []byte
}

// Directory holds the key digests of all documents in force, by ID. It is
// immutable; a change of documents creates a new one.
type Directory struct {
	byID map[string][]keyRecord // slice, because two services may use the same ID
}

// NewDirectory returns a directory of the keys in docs.
func NewDirectory(docs []*config.Service) *Directory {
	d := &Directory{byID: map[string][]keyRecord{}}
	for _, doc := range docs {
		for _, org := range doc.Organisations {
			d.add(doc.Service, org)
		}
	}
	return d
}

// add adds the keys of an organisation of the named service.
func (d *Directory) add(service string, org config.Organisation) {
	for _, k := range org.Keys {
		salt, saltErr := hex.DecodeString(k.Salt)
		sum, sumErr := hex.DecodeString(k.Digest)
		if saltErr != nil || sumErr != nil {
			continue // unreachable: config.Parse rejects such a document
		}
		owner := Owner{
			ID:         config.OrganisationID{Service: service, Organisation: org.Name},
			KeyID:      k.ID,
			staleKeys:  org.StaleKeys,
			staleAfter: time.Duration(org.StaleKeysAfterS) * time.Second,
		}
		d.byID[k.ID] = append(d.byID[k.ID], keyRecord{owner: owner, salt: salt, digest: sum})
	}
}

// Authenticate returns the owner of a key. age is the age of the documents in the
// directory. Authenticate returns ErrUnknown or ErrStale if the key is not valid.
func (d *Directory) Authenticate(key string, age time.Duration) (Owner, error) {
	parts := strings.Split(key, "-")
	if len(parts) != 3 || parts[0] != prefix {
		return Owner{}, ErrUnknown
	}
	for _, r := range d.byID[parts[1]] {
		if !hmac.Equal(r.digest, digest(r.salt, parts[2])) {
			continue
		}
		if r.owner.staleKeys == config.StaleRefuse && age >= r.owner.staleAfter {
			return Owner{}, ErrStale
		}
		return r.owner, nil
	}
	return Owner{}, ErrUnknown
}

// SecretPart returns the secret part of a key, which must not leave the instance,
// or "" if key is malformed.
func SecretPart(key string) string {
	parts := strings.Split(key, "-")
	if len(parts) != 3 {
		return ""
	}
	return parts[2]
}
