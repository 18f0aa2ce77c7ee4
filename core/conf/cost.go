package conf

// Costs of what documents are decoded to, in bytes, by the characters that stand for it.
const (
	// objectCost is the memory of an object: the structures that are decoded have up to some 300 bytes,
	// and arrays are copied as they grow.
	objectCost = 256
	// elementCost is the memory of an element of an array or a field.
	elementCost = 32
)

// DocumentCost returns an estimate of the memory that a JSON document takes when it is decoded. Two bytes may
// stand for a structure of hundreds.
func DocumentCost(data []byte) (n int64) {
	n = int64(len(data))
	for _, b := range data {
		switch b {
		case '{':
			n += objectCost
		case ',', '[':
			n += elementCost
		}
	}
	return n
}
