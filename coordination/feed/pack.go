package feed

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

const (
	// dictionaryID identifies the one dictionary that a packed value may need.
	dictionaryID = 1
	// packWindow is how far back repetitions are found, the dictionary included.
	packWindow = 1 << 20
	// maxUnpackedBytes bounds a value after unpacking, so that a damaged message doesn't exhaust
	// the memory.
	maxUnpackedBytes = 8 << 20
)

// PackError reports that a value could not be packed or unpacked.
type PackError struct {
	Op  string
	Err error
}

func (e *PackError) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *PackError) Unwrap() error { return e.Err }

// Pack compresses a value. The dictionary holds bytes that the value probably repeats, for
// example its former version; the receiver must have it, too. It may be empty.
func Pack(value, dictionary []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(packWindow),
	}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, dictionary))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, &PackError{Op: "pack", Err: err}
	}
	defer encoder.Close()
	return encoder.EncodeAll(value, nil), nil
}

// Unpack returns the value that Pack was called with. It fails if the dictionary is another one.
func Unpack(packed, dictionary []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxUnpackedBytes),
	}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, dictionary))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, &PackError{Op: "unpack", Err: err}
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return nil, &PackError{Op: "unpack", Err: err}
	}
	return value, nil
}

// UnknownBaseError reports an update that builds on a version that is not known here.
type UnknownBaseError struct{ Base uint64 }

func (e *UnknownBaseError) Error() string {
	return fmt.Sprintf("update builds on the unknown revision %d", e.Base)
}
