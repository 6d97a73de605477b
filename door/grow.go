package door

// FreeBody is the length of a body, in bytes, up to which it is not counted: the limit on connections bounds the sum of such bodies.
const FreeBody = 4 << 10

const (
	firstCapacity = 32 << 10 // bytes of a body's first buffer: most bodies fit
	wholeShare    = 8        // a body gets its whole buffer once 1/wholeShare of it has arrived, which keeps copies small
	wholeUnknown  = 16 << 20 // bytes of the longest body allowed, from which that holds for a body of unknown length too
)

// Capacity returns the next size of a body's buffer when have bytes of it are full. Declared is the body's length, or negative if it
// is unknown; most is the longest body allowed, which a buffer of unknown length exceeds by one byte to detect its end. Least is the
// smallest size that suffices if there is no memory for next.
func Capacity(have, declared, most int64) (next, least int64) {
	whole := declared
	if declared < 0 {
		whole = max(most, most+1) // the limit may be the largest number
	}
	least = min(max(firstCapacity, 2*have), whole)
	if have*wholeShare >= whole && (declared >= 0 || most >= wholeUnknown) {
		return whole, least
	}
	return least, least
}

const (
	freeLines   = 64      // lines of a head that are not counted
	freeBytes   = 8 << 10 // bytes of a head that are not counted
	lineBytes   = 256     // memory of one field of a parsed head and its copy for the target, apart from its text
	copiesBytes = 2       // a head's text as read and as sent on
)

// HeadCost returns the memory that a head of the given size holds beyond that of an ordinary one.
func HeadCost(size, lines int) Bytes {
	return Bytes(max(size-freeBytes, 0)*copiesBytes + max(lines-freeLines, 0)*lineBytes)
}
