package keys

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/result"
)

var loopback = []net.IP{net.IPv4(127, 0, 0, 1)}

func TestWrittenKeysLoad(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	c.Assert(Write(dir, Subject{"entry-1", loopback}), qt.IsNil)
	c.Assert(Write(dir, Subject{"entry-2", loopback}), qt.IsNil)
	for _, name := range []string{"entry-1", "entry-2"} {
		tc, err := Load(filepath.Join(dir, AuthorityFile), filepath.Join(dir, CertificateFile(name)), filepath.Join(dir, KeyFile(name)))
		c.Assert(err, qt.IsNil)
		c.Assert(OwnName(tc), qt.Equals, name)
		c.Assert(tc.Certificates[0].Leaf.VerifyHostname("127.0.0.1"), qt.IsNil)
		fi, err := os.Stat(filepath.Join(dir, KeyFile(name)))
		c.Assert(err, qt.IsNil)
		c.Assert(fi.Mode().Perm(), qt.Equals, os.FileMode(privateMode))
	}
	c.Assert(Write(dir, Subject{"entry-1", loopback}), qt.ErrorMatches, `write key file: .*entry-1.key: file exists`)
	c.Assert(os.Remove(filepath.Join(dir, AuthorityKeyFile)), qt.IsNil)
	c.Assert(Write(dir, Subject{"entry-3", loopback}), qt.ErrorMatches, `.*BadKey \(401\): want both files of the authority or neither.*`)
}

func TestInvalidKeysAreRejected(t *testing.T) {
	c := qt.New(t)
	dir, other := t.TempDir(), t.TempDir()
	c.Assert(Write(dir, Subject{"entry-1", nil}, Subject{"entry-2", nil}), qt.IsNil)
	c.Assert(Write(other, Subject{"entry-1", nil}), qt.IsNil)
	in := func(dir, file string) string { return filepath.Join(dir, file) }
	for _, tt := range []struct{ name, ca, cert, key, want string }{
		{"Missing", in(dir, AuthorityFile), in(dir, "gone"), in(dir, "gone"), `.*want a file that can be read: .*gone.*`},
		{"AuthorityIsKey", in(dir, AuthorityKeyFile), in(dir, "entry-1.crt"), in(dir, "entry-1.key"), `.*authority: want a certificate.*`},
		{"OthersKey", in(dir, AuthorityFile), in(dir, "entry-1.crt"), in(dir, "entry-2.key"), `.*the key that belongs to it.*`},
		{"OtherAuthority", in(other, AuthorityFile), in(dir, "entry-1.crt"), in(dir, "entry-1.key"), `.*that the authority signed.*`},
		{"AuthorityAsInstance", in(dir, AuthorityFile), in(dir, AuthorityFile), in(dir, AuthorityKeyFile), `.*as common name and DNS name.*`},
	} {
		c.Run(tt.name, func(c *qt.C) {
			_, err := Load(tt.ca, tt.cert, tt.key)
			c.Assert(err, qt.ErrorMatches, tt.want)
			var er *result.Error
			c.Assert(errors.As(err, &er), qt.IsTrue)
			c.Assert(er.Code, qt.Equals, result.BadKey)
		})
	}
	au, err := NewAuthority()
	c.Assert(err, qt.IsNil)
	for _, name := range []string{"", "../entry", "a b", "10.0.0.1"} {
		_, err = au.Issue(Subject{Name: name})
		c.Assert(err, qt.ErrorMatches, `keys.Issue: BadKey \(401\): name .*`)
	}
}
