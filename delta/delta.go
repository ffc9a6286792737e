// Package delta encodes a document as the difference from an earlier one that the receiver may
// hold, compressed and with a digest of the whole document. It does not interpret or send
// documents.
//
// The format is a zstd frame whose raw dictionary is the earlier document. Sender and receiver
// do not agree on the earlier document beforehand; the digest shows afterwards whether it was
// the right one.
package delta

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/bits"

	"github.com/klauspost/compress/zstd"
)

const (
	// minWindow and maxWindow bound how far back a frame may refer. The compressor's memory
	// grows with the window, so it is no larger than both documents together need. Matches
	// beyond maxWindow are not found; the frame is then larger but still correct.
	minWindow = 128 << 10
	maxWindow = 4 << 20
	// dictionaryID identifies the dictionary in a frame. It has no meaning: the digest shows
	// whether the dictionary was the right one.
	dictionaryID = 1
	// minBaseLength is the length in bytes below which an earlier document is not used as a
	// dictionary.
	minBaseLength = 64
)

// ErrMismatch means that a frame does not decode to the original document: the frame was
// damaged, or the receiver's base differs from the sender's.
var ErrMismatch = errors.New("delta: the decoded document differs from the original")

// Frame is an encoded document.
type Frame struct {
	Data   []byte
	Digest []byte // SHA-256 of the document
}

// Encode encodes a document as the difference from the base, an earlier document; an empty
// base means none. The error is that of the compressor.
func Encode(base, doc []byte) (Frame, error) {
	opts := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithEncoderCRC(false), zstd.WithWindowSize(windowSize(len(base) + len(doc))),
	}
	if len(base) >= minBaseLength {
		opts = append(opts, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	en, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		return Frame{}, fmt.Errorf("delta: %w", err)
	}
	defer en.Close()
	sum := sha256.Sum256(doc)
	return Frame{Data: en.EncodeAll(doc, nil), Digest: sum[:]}, nil
}

// windowSize returns the smallest power of two above span bytes, within the bounds.
func windowSize(span int) int { return min(max(1<<bits.Len(uint(span)), minWindow), maxWindow) }

// Decode decodes a document from a frame. Base is the earlier document that the frame was
// encoded against, and maxLength bounds the decoded document in bytes. If the document cannot
// be recovered, the error wraps ErrMismatch; the receiver must then request the whole
// document.
func Decode(base []byte, fr Frame, maxLength int) ([]byte, error) {
	opts := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(maxLength)), zstd.WithDecoderMaxWindow(maxWindow),
	}
	if len(base) >= minBaseLength {
		opts = append(opts, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	de, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, fmt.Errorf("delta: %w", err)
	}
	defer de.Close()
	doc, err := de.DecodeAll(fr.Data, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMismatch, err)
	}
	if sum := sha256.Sum256(doc); !bytes.Equal(sum[:], fr.Digest) {
		return nil, fmt.Errorf("%w: the digest differs", ErrMismatch)
	}
	return doc, nil
}
