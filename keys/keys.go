// Package keys creates and loads the keys with which instances authenticate each other: one
// certificate authority for a tier and, for each instance, a certificate with its name. It
// opens no connections; package peer uses the loaded keys.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"regexp"
	"time"

	"balsamwinch.example/result"
)

// Protocol is the application protocol (ALPN) of connections between instances. Its number is
// incremented when versions of the program become incompatible.
const Protocol = "balsamwinch/1"

const (
	authorityLifetime = 20 * 365 * 24 * time.Hour
	instanceLifetime  = 5 * 365 * 24 * time.Hour
	// clockSkew is how far the clock of a verifier may be behind.
	clockSkew  = time.Hour
	serialBits = 128
)

const (
	blockCertificate = "CERTIFICATE"
	blockKey         = "PRIVATE KEY"
)

// namePattern is the syntax of instance names, which are used as DNS names in certificates and
// as file names.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9-]{0,61}[A-Za-z0-9])?$`)

// Subject is the instance that a certificate is issued to.
type Subject struct {
	Name string   // name of the instance in its settings
	IPs  []net.IP // IP addresses of the instance
}

// Pair is a certificate and its private key, both in PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// Authority is a certificate authority with its private key.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pair Pair
}

// NewAuthority creates a certificate authority with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make key of authority: %w", err)
	}
	now := time.Now()
	tmpl := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "balsamwinch authority"},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(authorityLifetime),
		KeyUsage:              x509.KeyUsageCertSign,
		BasicConstraintsValid: true,
		IsCA:                  true,
		MaxPathLenZero:        true,
	}
	pa, err := sign(tmpl, tmpl, key, key)
	if err != nil {
		return nil, err
	}
	return readAuthority(pa)
}

// readAuthority parses the certificate and key of an authority.
func readAuthority(pa Pair) (*Authority, error) {
	tc, err := tls.X509KeyPair(pa.Certificate, pa.Key)
	if err != nil {
		return nil, badKey("keys.Authority", "the authority's certificate and key must belong together", err)
	}
	key, ok := tc.PrivateKey.(*ecdsa.PrivateKey)
	if !ok || !tc.Leaf.IsCA {
		return nil, badKey("keys.Authority", "want an ECDSA certificate authority", nil)
	}
	return &Authority{cert: tc.Leaf, key: key, pair: pa}, nil
}

// Certificate returns the authority's certificate in PEM.
func (au *Authority) Certificate() []byte {
	return au.pair.Certificate
}

// Issue creates a key and a certificate for the subject, valid for both ends of a connection.
// An invalid name is a *result.Error with the code BadKey.
func (au *Authority) Issue(su Subject) (Pair, error) {
	if !namePattern.MatchString(su.Name) {
		detail := fmt.Sprintf("name %q: want 1 to 63 letters, digits and hyphens", su.Name)
		return Pair{}, badKey("keys.Issue", detail, nil)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, fmt.Errorf("make key of %s: %w", su.Name, err)
	}
	now := time.Now()
	tmpl := &x509.Certificate{
		Subject:     pkix.Name{CommonName: su.Name},
		DNSNames:    []string{su.Name},
		IPAddresses: su.IPs,
		NotBefore:   now.Add(-clockSkew),
		NotAfter:    now.Add(instanceLifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	return sign(tmpl, au.cert, key, au.key)
}

// sign creates a certificate for key, signed with the parent's key.
func sign(tmpl, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) (Pair, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return Pair{}, fmt.Errorf("make serial number: %w", err)
	}
	tmpl.SerialNumber = serial
	cert, err := x509.CreateCertificate(rand.Reader, tmpl, parent, key.Public(), parentKey)
	if err != nil {
		return Pair{}, fmt.Errorf("sign certificate of %s: %w", tmpl.Subject.CommonName, err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, fmt.Errorf("encode key of %s: %w", tmpl.Subject.CommonName, err)
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: blockCertificate, Bytes: cert}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: blockKey, Bytes: der}),
	}, nil
}

// Config returns the TLS configuration of an instance from a pair in memory.
func (au *Authority) Config(pa Pair) (*tls.Config, error) {
	return newTLSConfig(au.Certificate(), pa.Certificate, pa.Key)
}

// newTLSConfig returns the TLS configuration for both ends of a connection: TLS 1.3, with
// certificates signed by the authority on both sides. It verifies the instance's own
// certificate as a handshake would, so that a wrong file is found at the start and not by the
// other instances.
func newTLSConfig(ca, cert, key []byte) (*tls.Config, error) {
	const op = "keys.Load"
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, badKey(op, "authority: want a certificate in PEM", nil)
	}
	tc, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, badKey(op, "want a certificate in PEM and the key that belongs to it", err)
	}
	for _, us := range []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth} {
		opts := x509.VerifyOptions{Roots: pool, KeyUsages: []x509.ExtKeyUsage{us}}
		if _, err := tc.Leaf.Verify(opts); err != nil {
			return nil, badKey(op, "want a currently valid certificate that the authority signed for both ends", err)
		}
	}
	if name := tc.Leaf.Subject.CommonName; name == "" || tc.Leaf.VerifyHostname(name) != nil {
		return nil, badKey(op, fmt.Sprintf("want the instance's name as common name and DNS name, got %q", name), nil)
	}
	return &tls.Config{
		Certificates:           []tls.Certificate{tc},
		RootCAs:                pool,
		ClientCAs:              pool,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{Protocol},
		SessionTicketsDisabled: true,
	}, nil
}

// PeerName returns the instance name in the certificate of the other end of a connection, or
// "" if it has none.
func PeerName(cs tls.ConnectionState) string {
	if len(cs.PeerCertificates) == 0 {
		return ""
	}
	return cs.PeerCertificates[0].Subject.CommonName
}

// OwnName returns the instance's own name in a TLS configuration, or "" if it has no
// certificate.
func OwnName(tc *tls.Config) string {
	if len(tc.Certificates) == 0 || tc.Certificates[0].Leaf == nil {
		return ""
	}
	return tc.Certificates[0].Leaf.Subject.CommonName
}

func badKey(op, detail string, err error) *result.Error {
	return &result.Error{Code: result.BadKey, Op: op, Detail: detail, Err: err}
}
