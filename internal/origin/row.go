package origin

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Row says where the streams began that one run of a router serves, or served a moment ago. It is the value of a key in the
// store that only this run writes.
type Row struct {
	WrittenAt time.Time
	Groups    []RowGroup
}

// RowGroup holds the streams of a Row that began at the same version of the same service, or that begin there if nothing else
// becomes of the request.
type RowGroup struct {
	Service string
	Version string
	Begun   bool // The first events of the streams have come.
	Streams []StreamHash
}

// Len returns the number of streams.
func (r *Row) Len() int {
	n := 0
	for _, g := range r.Groups {
		n += len(g.Streams)
	}
	return n
}

const (
	rowFormat     = 1 // First byte of an encoded row.
	checksumBytes = 8
	hashBytes     = 8
)

// errMalformedRow means that bytes are not those of a whole row.
var errMalformedRow = errors.New("not a row of origins")

// Encode returns the row as bytes:
//
//	Format     1 byte
//	WrittenAt  8 bytes, Unix time in milliseconds
//	Groups, each
//	  Service  length as a varint, text
//	  Version  length as a varint, text
//	  Begun    1 byte, 0 or 1
//	  Streams  count as a varint, 8 bytes each
//	Checksum   8 bytes, xxHash of all bytes before
//
// All numbers of a fixed size are big-endian.
func (r *Row) Encode() []byte {
	out := make([]byte, 0, 1+8+64*len(r.Groups)+hashBytes*r.Len()+checksumBytes)
	out = append(out, rowFormat)
	out = binary.BigEndian.AppendUint64(out, uint64(r.WrittenAt.UnixMilli()))
	for _, g := range r.Groups {
		out = appendText(out, g.Service)
		out = appendText(out, g.Version)
		out = append(out, boolByte(g.Begun))
		out = binary.AppendUvarint(out, uint64(len(g.Streams)))
		for _, h := range g.Streams {
			out = binary.BigEndian.AppendUint64(out, uint64(h))
		}
	}
	return binary.BigEndian.AppendUint64(out, xxhash.Sum64(out))
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

func appendText(out []byte, text string) []byte {
	return append(binary.AppendUvarint(out, uint64(len(text))), text...)
}

// DecodeRow returns the row that Encode made bytes of. Bytes that are torn or of another form are an error.
func DecodeRow(data []byte) (Row, error) {
	if len(data) < 1+8+checksumBytes || data[0] != rowFormat {
		return Row{}, errMalformedRow
	}
	body, checksum := data[:len(data)-checksumBytes], data[len(data)-checksumBytes:]
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(checksum) {
		return Row{}, errors.Wrap(errMalformedRow, "checksum")
	}
	d := rowDecoder{rest: body[1:]}
	row := Row{WrittenAt: time.UnixMilli(int64(d.fixed()))}
	for len(d.rest) > 0 && !d.failed {
		g := RowGroup{Service: d.text(), Version: d.text(), Begun: d.flag()}
		for range d.count(hashBytes) {
			g.Streams = append(g.Streams, StreamHash(d.fixed()))
		}
		row.Groups = append(row.Groups, g)
	}
	if d.failed {
		return Row{}, errMalformedRow
	}
	return row, nil
}

// rowDecoder takes fields off the front of encoded bytes.
type rowDecoder struct {
	rest   []byte
	failed bool // The bytes ended within a field.
}

// take returns the next n bytes, or nil if there are fewer.
func (d *rowDecoder) take(n int) []byte {
	if n > len(d.rest) {
		d.failed = true
		d.rest = nil
		return nil
	}
	taken := d.rest[:n]
	d.rest = d.rest[n:]
	return taken
}

func (d *rowDecoder) fixed() uint64 {
	taken := d.take(8)
	if taken == nil {
		return 0
	}
	return binary.BigEndian.Uint64(taken)
}

func (d *rowDecoder) flag() bool {
	taken := d.take(1)
	return taken != nil && taken[0] == 1
}

// count returns a number of items that each have a size in bytes, which must be there.
func (d *rowDecoder) count(size int) int {
	n, used := binary.Uvarint(d.rest)
	if used <= 0 || n > math.MaxInt32 || int(n)*size > len(d.rest)-used {
		d.failed = true
		d.rest = nil
		return 0
	}
	d.rest = d.rest[used:]
	return int(n)
}

func (d *rowDecoder) text() string { return string(d.take(d.count(1))) }

// Index finds origins in the rows of all routers. The zero value has none.
type Index struct {
	Rows      int
	Streams   int // Entries of all rows.
	Conflicts int // Streams of which two rows say different origins.

	entries map[StreamHash]indexEntry
	groups  []indexGroup
}

// indexEntry is the position in groups of what the rows say of a stream.
type indexEntry struct {
	group    int32
	conflict bool // Two rows say different origins, so none is known.
}

type indexGroup struct {
	service   string
	version   string
	begun     bool
	final     bool
	writtenAt time.Time
}

// Add adds the streams of a row. It is final if the run that wrote it has ended.
func (x *Index) Add(r Row, final bool) {
	if x.entries == nil {
		x.entries = map[StreamHash]indexEntry{}
	}
	x.Rows++
	for _, g := range r.Groups {
		x.groups = append(x.groups, indexGroup{g.Service, g.Version, g.Begun, final || g.Begun, r.WrittenAt})
		for _, h := range g.Streams {
			x.add(h, len(x.groups)-1)
		}
	}
}

func (x *Index) add(h StreamHash, group int) {
	x.Streams++
	e, ok := x.entries[h]
	if !ok {
		x.entries[h] = indexEntry{group: int32(group)}
		return
	}
	before, now := x.groups[e.group], x.groups[group]
	switch {
	case now.begun && !before.begun:
		x.entries[h] = indexEntry{group: int32(group)}
	case before.begun && !now.begun:
	case !e.conflict && (before.service != now.service || before.version != now.version):
		e.conflict = true
		x.entries[h] = e
		x.Conflicts++
	}
}

// Found is what an Index says of a stream.
type Found struct {
	Origin    Origin
	Known     bool
	Final     bool      // A later read does not change it: the stream had begun, or the run that wrote the row had ended.
	Conflict  bool      // Two rows say different origins.
	WrittenAt time.Time // When the row was written, by the clock of its router.
}

// Find returns what the rows say of a stream.
func (x *Index) Find(stream string) Found {
	e, ok := x.entries[HashOf(stream)]
	if !ok {
		return Found{}
	}
	if e.conflict {
		return Found{Conflict: true}
	}
	g := x.groups[e.group]
	return Found{Origin: Origin{Stream: stream, Service: g.service, Version: g.version}, Known: true, Final: g.final, WrittenAt: g.writtenAt}
}
