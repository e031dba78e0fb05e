package link

import (
	"math"
	"sync"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

const (
	// minCompressedBytes is the size from which specs are compressed: below it the frame
	// around the data takes up what is saved.
	minCompressedBytes = 256
	// maxSpecBytes bounds a decompressed spec.
	maxSpecBytes = 64 << 10
	// maxSpecsBytes bounds the specs of a message after decompression, in bytes.
	// maxFrameBytes does not: 64 KiB of zeros are compressed to 100 bytes. An entry sends at
	// most 1,000 starts with specs of 4 KB.
	maxSpecsBytes = 16 << 20
	// specWindowBytes is the window of the compression, which bounds its memory.
	specWindowBytes = 8 << 10
)

// Encoder and decoder are safe for concurrent use. Specs are short, so that all of the
// gain may come from the entropy coding of single bytes.
var (
	specEncoder = sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithEncoderCRC(false),
			zstd.WithWindowSize(specWindowBytes), zstd.WithAllLitEntropyCompression(true))
	})
	specDecoder = sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxSpecBytes), zstd.WithDecoderLowmem(true),
			zstd.WithDecodeAllCapLimit(true))
	})
)

// specBuffers holds buffers for one decompressed spec. Their capacity bounds what is
// decompressed, also of a spec that does not declare its size.
var specBuffers = sync.Pool{New: func() any { return new([maxSpecBytes]byte) }}

// SpecPacker encodes the specs of several messages. A job's spec goes to each agent that
// runs a task of the job; it is compressed once. The zero value is ready to use. It is not
// safe for concurrent use.
type SpecPacker struct {
	encoded map[string]Spec
}

// Pack sets Specs and the SpecIndex of each start. The bytes of a spec are sent once for
// all starts of a message: on the slow link of a small host, the specs of a wide job take
// longer than its tasks.
func (p *SpecPacker) Pack(c *Commands) error {
	c.Specs = nil
	indexes := make(map[string]uint16, 1)
	left := maxSpecsBytes
	for i := range c.Starts {
		spec := c.Starts[i].Spec
		index, ok := indexes[spec]
		if !ok {
			if left -= len(spec); left < 0 {
				return errSpecsTooLarge
			}
			encoded, err := p.encode(spec)
			if err != nil {
				return err
			}
			if len(c.Specs) > math.MaxUint16 {
				return errors.Errorf("a message has more than %d specs", len(c.Specs))
			}
			index = uint16(len(c.Specs))
			c.Specs = append(c.Specs, encoded)
			indexes[spec] = index
		}
		c.Starts[i].SpecIndex = index
	}
	return nil
}

func (p *SpecPacker) encode(spec string) (Spec, error) {
	if len(spec) < minCompressedBytes {
		return Spec{Data: []byte(spec)}, nil
	}
	if encoded, ok := p.encoded[spec]; ok {
		return encoded, nil
	}
	encoder, err := specEncoder()
	if err != nil {
		return Spec{}, errors.Wrap(err, "create the encoder of specs")
	}
	encoded := Spec{Compressed: true, Data: encoder.EncodeAll([]byte(spec), make([]byte, 0, len(spec)))}
	if len(encoded.Data) >= len(spec) {
		encoded = Spec{Data: []byte(spec)}
	}
	if p.encoded == nil {
		p.encoded = map[string]Spec{}
	}
	p.encoded[spec] = encoded
	return encoded, nil
}

var errSpecsTooLarge = errors.Errorf("the specs of a message exceed the limit of %d bytes", maxSpecsBytes)

// unpackSpecs sets the Spec of each start from Specs.
func (c *Commands) unpackSpecs() error {
	specs := make([]string, len(c.Specs))
	left := maxSpecsBytes
	buf := specBuffers.Get().(*[maxSpecBytes]byte)
	defer specBuffers.Put(buf)
	for i, s := range c.Specs {
		data := s.Data
		if s.Compressed {
			decoder, err := specDecoder()
			if err != nil {
				return errors.Wrap(err, "create the decoder of specs")
			}
			if data, err = decoder.DecodeAll(s.Data, buf[:0]); err != nil {
				return errors.Wrap(err, "decompress a spec")
			}
		}
		if left -= len(data); left < 0 {
			return errSpecsTooLarge
		}
		specs[i] = string(data)
	}
	c.Specs = nil
	for i := range c.Starts {
		if int(c.Starts[i].SpecIndex) >= len(specs) {
			return errors.Errorf("start %d refers to spec %d of %d", i, c.Starts[i].SpecIndex, len(specs))
		}
		c.Starts[i].Spec = specs[c.Starts[i].SpecIndex]
		c.Starts[i].SpecIndex = 0
	}
	return nil
}
