package rollout

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"

	"github.com/gravitational/trace"
)

// errMalformedColumns means that an encoding of columns exceeds a limit or is inconsistent.
var errMalformedColumns = errors.New("malformed columns of evidence")

// Columns of the encoding. Names are encoded as indexes into tables, and windows relative to the first window.
const (
	columnWindow = iota
	columnStep
	columnDataCentre
	columnRoute
	columnCounts
	// Encodings of earlier builds, and those without unmeasured requests, end before columnUnmeasured. Earlier builds ignore what follows.
	columnUnmeasured = columnCounts + 6
	columns          = columnUnmeasured + 2
)

// columnRow is a cell encoded as numbers, one per column.
type columnRow [columns]uint64

// nameTable assigns indexes to names in the order of their first use.
type nameTable []string

// index returns the index of a name, and adds the name if it is new.
func (t *nameTable) index(name string) uint64 {
	i := slices.Index(*t, name)
	if i < 0 {
		i = len(*t)
		*t = append(*t, name)
	}
	return uint64(i)
}

// append appends the encoded table to buf.
func (t nameTable) append(buf []byte) []byte {
	buf = binary.AppendUvarint(buf, uint64(len(t)))
	for _, name := range t {
		buf = binary.AppendUvarint(buf, uint64(len(name)))
		buf = append(buf, name...)
	}
	return buf
}

// EncodeColumns returns the evidence as compressed columns of numbers, preceded by the tables of names. It needs about 60% of the
// bytes of Encode, because the values of one column are similar and compress better together: some columns have few distinct
// values and others repeat a pattern. Receivers support it since minor version 1 of the protocol.
func (e Evidence) EncodeColumns() ([]byte, error) {
	var buf bytes.Buffer
	// NewWriter fails only if the level is invalid, and writes to a buffer do not fail.
	compressed, _ := flate.NewWriter(&buf, flate.BestCompression)
	if _, err := compressed.Write(e.columns()); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := compressed.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return buf.Bytes(), nil
}

// columns returns the encoding before compression: the number of cells, the first window, the tables of data centres and routes,
// and the columns one after another.
func (e Evidence) columns() []byte {
	cells := e.Cells()
	var first int64
	if len(cells) > 0 {
		first = cells[0].Key.Window
	}
	var dataCentres, routes nameTable
	rows := make([]columnRow, len(cells))
	for i, c := range cells {
		rows[i] = columnRow{
			uint64(c.Key.Window - first), uint64(c.Key.Step), dataCentres.index(c.Key.DataCentre), routes.index(c.Key.Route),
			uint64(c.Old.OK), uint64(c.New.OK), uint64(c.Old.Slow), uint64(c.New.Slow), uint64(c.Old.Failed), uint64(c.New.Failed),
			uint64(c.Old.Unmeasured), uint64(c.New.Unmeasured),
		}
	}
	buf := binary.AppendUvarint(nil, uint64(len(rows)))
	buf = binary.AppendVarint(buf, first)
	buf = routes.append(dataCentres.append(buf))
	used := columns
	if !slices.ContainsFunc(rows, func(r columnRow) bool { return r[columnUnmeasured]+r[columnUnmeasured+1] > 0 }) {
		used = columnUnmeasured
	}
	for column := range used {
		for i := range rows {
			buf = binary.AppendUvarint(buf, rows[i][column])
		}
	}
	return buf
}

// DecodeColumns decodes the output of EncodeColumns. It rejects evidence with more than maxCells cells.
func DecodeColumns(data []byte) (Evidence, error) {
	e, err := readColumns(bufio.NewReader(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxEvidenceBytes)))
	return e, trace.Wrap(err)
}

// readColumns reads the encoding after decompression.
func readColumns(r *bufio.Reader) (Evidence, error) {
	// The number is checked before any allocation, because a few compressed bytes can declare a cell count that would exhaust the
	// memory.
	n, err := readBoundedUvarint(r, maxCells)
	if err != nil {
		return Evidence{}, err
	}
	first, err := binary.ReadVarint(r)
	if err != nil {
		return Evidence{}, err
	}
	dataCentres, err := readNames(r, n)
	if err != nil {
		return Evidence{}, err
	}
	routes, err := readNames(r, n)
	if err != nil {
		return Evidence{}, err
	}
	rows, err := readRows(r, int(n), uint64(len(dataCentres)), uint64(len(routes)))
	if err != nil {
		return Evidence{}, err
	}
	var e Evidence
	for _, row := range rows {
		e.AddCell(row.cell(first, dataCentres, routes))
	}
	return e, nil
}

// readBoundedUvarint reads a number and rejects one above limit.
func readBoundedUvarint(r *bufio.Reader, limit uint64) (uint64, error) {
	n, err := binary.ReadUvarint(r)
	if err == nil && n > limit {
		err = fmt.Errorf("%w: value %d exceeds limit %d", errMalformedColumns, n, limit)
	}
	return n, err
}

// readNames reads a table of at most limit names.
func readNames(r *bufio.Reader, limit uint64) (nameTable, error) {
	n, err := readBoundedUvarint(r, limit)
	if err != nil {
		return nil, err
	}
	var names nameTable
	for range n {
		size, err := readBoundedUvarint(r, maxNameBytes)
		if err != nil {
			return nil, err
		}
		name := make([]byte, size)
		if _, err := io.ReadFull(r, name); err != nil {
			return nil, err
		}
		names = append(names, string(name))
	}
	return names, nil
}

// maxNameBytes bounds the length of the name of a route or data centre in a peer's evidence.
const maxNameBytes = 1 << 12

// readRows reads n rows. The values of a column are limited by the type of the field that they set or, for names, by the size of
// the name table.
func readRows(r *bufio.Reader, n int, dataCentres, routes uint64) ([]columnRow, error) {
	if n > 0 && (dataCentres == 0 || routes == 0) {
		return nil, fmt.Errorf("%w: cells without names", errMalformedColumns)
	}
	limits := columnRow{math.MaxInt32, math.MaxUint8, dataCentres - 1, routes - 1}
	for i := columnCounts; i < columns; i++ {
		limits[i] = math.MaxUint32
	}
	rows := make([]columnRow, n)
	for column, limit := range limits {
		if _, err := r.Peek(1); column == columnUnmeasured && errors.Is(err, io.EOF) {
			return rows, nil
		}
		for i := range rows {
			value, err := readBoundedUvarint(r, limit)
			if err != nil {
				return nil, err
			}
			rows[i][column] = value
		}
	}
	return rows, nil
}

// cell returns the cell that the row encodes. Its name indexes must be valid.
func (r columnRow) cell(first int64, dataCentres, routes nameTable) Cell {
	counts := r[columnCounts:]
	return Cell{
		Key: Key{
			DataCentre: dataCentres[r[columnDataCentre]], Route: routes[r[columnRoute]],
			Window: first + int64(r[columnWindow]), Step: uint8(r[columnStep]),
		},
		Old: Counts{OK: uint32(counts[0]), Slow: uint32(counts[2]), Failed: uint32(counts[4]), Unmeasured: uint32(counts[6])},
		New: Counts{OK: uint32(counts[1]), Slow: uint32(counts[3]), Failed: uint32(counts[5]), Unmeasured: uint32(counts[7])},
	}
}
