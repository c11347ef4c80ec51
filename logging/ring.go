package logging

// ringBytes bounds the deferred lines, in bytes.
const ringBytes = 256 << 10

// ring keeps the newest deferred lines. Its zero value is empty.
type ring struct {
	lines [][]byte
	bytes int
}

// push adds a line, and returns how many older ones had to go.
func (r *ring) push(line []byte) (lost int) {
	r.lines = append(r.lines, line)
	r.bytes += len(line)
	for r.bytes > ringBytes && len(r.lines) > 1 {
		r.pop()
		lost++
	}
	return lost
}

// pop removes the oldest line. It returns nil if there is none.
func (r *ring) pop() []byte {
	if len(r.lines) == 0 {
		return nil
	}
	line := r.lines[0]
	r.lines[0] = nil
	r.lines = r.lines[1:]
	r.bytes -= len(line)
	return line
}
