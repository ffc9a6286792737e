package keys

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"balsamwinch.example/result"
)

// File names of the authority. The files of an instance are named after it, with the same
// suffixes.
const (
	AuthorityFile    = "authority.crt"
	AuthorityKeyFile = "authority.key"

	certificateSuffix = ".crt"
	keySuffix         = ".key"
)

const (
	publicMode  = 0o644
	privateMode = 0o600
	folderMode  = 0o700
)

// CertificateFile returns the name of an instance's certificate file.
func CertificateFile(name string) string {
	return name + certificateSuffix
}

// KeyFile returns the name of an instance's key file.
func KeyFile(name string) string {
	return name + keySuffix
}

// Write issues a certificate and key to each subject and writes them to the folder. It uses
// the authority in the folder, so that further instances can join the same tier, and creates
// one if there is none. Existing files are never overwritten: a subject whose files exist is
// an error.
func Write(dir string, subjects ...Subject) error {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return fmt.Errorf("make folder of keys: %w", err)
	}
	au, err := openAuthority(dir)
	if err != nil {
		return err
	}
	for _, su := range subjects {
		pa, err := au.Issue(su)
		if err != nil {
			return err
		}
		if err := writePair(dir, CertificateFile(su.Name), KeyFile(su.Name), pa); err != nil {
			return err
		}
	}
	return nil
}

// openAuthority reads the authority in the folder, or creates one if the folder holds neither
// of its files.
func openAuthority(dir string) (*Authority, error) {
	cert, cerr := os.ReadFile(filepath.Join(dir, AuthorityFile))
	key, kerr := os.ReadFile(filepath.Join(dir, AuthorityKeyFile))
	if cerr == nil && kerr == nil {
		return readAuthority(Pair{Certificate: cert, Key: key})
	}
	if !errors.Is(cerr, fs.ErrNotExist) || !errors.Is(kerr, fs.ErrNotExist) {
		return nil, badKey("keys.Write", "want both files of the authority or neither", errors.Join(cerr, kerr))
	}
	au, err := NewAuthority()
	if err != nil {
		return nil, err
	}
	return au, writePair(dir, AuthorityFile, AuthorityKeyFile, au.pair)
}

func writePair(dir, cert, key string, pa Pair) error {
	if err := createFile(filepath.Join(dir, key), pa.Key, privateMode); err != nil {
		return err
	}
	return createFile(filepath.Join(dir, cert), pa.Certificate, publicMode)
}

// createFile writes a file that must not exist yet.
func createFile(path string, data []byte, mode fs.FileMode) error {
	fi, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return fmt.Errorf("write key file: %w", err)
	}
	_, err = fi.Write(data)
	return errors.Join(err, fi.Sync(), fi.Close())
}

// Load reads an instance's TLS configuration from three files: the authority's certificate,
// the instance's certificate and its key. A missing or invalid file is a *result.Error with
// the code BadKey that says what was expected.
func Load(ca, cert, key string) (*tls.Config, error) {
	var data [3][]byte
	for ix, path := range []string{ca, cert, key} {
		var err error
		if data[ix], err = os.ReadFile(path); err != nil {
			return nil, badKey("keys.Load", "want a file that can be read", err)
		}
	}
	tc, err := newTLSConfig(data[0], data[1], data[2])
	if err != nil {
		return nil, withFileNames(err, ca, cert, key)
	}
	return tc, nil
}

// withFileNames adds the file names to an error about their content.
func withFileNames(err error, ca, cert, key string) error {
	var er *result.Error
	if !errors.As(err, &er) {
		return err
	}
	cp := *er
	cp.Detail = fmt.Sprintf("%s (authority %s, certificate %s, key %s)", er.Detail, ca, cert, key)
	return &cp
}
