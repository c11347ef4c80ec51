package logging

// maxDeferredBytes bounds the total length of the deferred lines, in bytes.
const maxDeferredBytes = 256 << 10

// deferredLines is a queue that keeps the newest lines. Its zero value is empty.
type deferredLines struct {
	lines [][]byte
	bytes int
}

// push adds a line and returns how many older ones were dropped to make room.
func (d *deferredLines) push(line []byte) (dropped int) {
	d.lines = append(d.lines, line)
	d.bytes += len(line)
	for d.bytes > maxDeferredBytes && len(d.lines) > 1 {
		d.pop()
		dropped++
	}
	return dropped
}

// pop removes the oldest line. It returns nil if there is none.
func (d *deferredLines) pop() []byte {
	if len(d.lines) == 0 {
		return nil
	}
	line := d.lines[0]
	d.lines[0] = nil
	d.lines = d.lines[1:]
	d.bytes -= len(line)
	return line
}
