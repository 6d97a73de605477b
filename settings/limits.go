package settings

// Limits are the resources that a process may use on its VM; zero values mean those of the smallest VM.
type Limits struct {
	// MemoryBytes is the memory of the process and of its connections in the kernel.
	MemoryBytes int64
	// Descriptors is the number of open files and connections.
	Descriptors int
}

// The limits of a process on the smallest VM.
const (
	DefaultMemoryMB    = 184
	DefaultDescriptors = 4100
)

const (
	leastMemoryMB    = 48 // below, nothing is left for requests
	leastDescriptors = 300
	maxCount         = 1 << 20
)

// OrDefault returns the limits with those of the smallest VM in place of zero values.
func (l Limits) OrDefault() Limits {
	if l.MemoryBytes == 0 {
		l.MemoryBytes = DefaultMemoryMB << 20
	}
	if l.Descriptors == 0 {
		l.Descriptors = DefaultDescriptors
	}
	return l
}
