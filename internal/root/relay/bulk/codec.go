package bulk

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// compressionLevel is low, since small hosts compress as well.
const compressionLevel = 3

// maxContent is the largest size of the content of a block, in bytes.
const maxContent = 64 << 20

// ErrTooLarge is returned for a block whose content is larger than a host takes.
var ErrTooLarge = errors.New("content of the block is too large")

// Compress returns the content in the form in which it is sent.
func Compress(content []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, compressionLevel)
	if err != nil {
		return nil, fmt.Errorf("open compressor: %w", err)
	}
	if _, err := w.Write(content); err != nil {
		return nil, fmt.Errorf("compress block: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("end block: %w", err)
	}
	return out.Bytes(), nil
}

// Expand is the reverse of Compress. It returns ErrTooLarge for a content that a host should not hold.
func Expand(data []byte) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxContent+1))
	if err != nil {
		return nil, fmt.Errorf("expand block: %w", err)
	}
	if len(content) > maxContent {
		return nil, fmt.Errorf("expand block: %w", ErrTooLarge)
	}
	return content, nil
}
