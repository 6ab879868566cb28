package admission

// hashOf returns the FNV-1a hash of a string, with its bits mixed by mix64. Unlike hash/fnv it does not allocate.
func hashOf(text string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	hash := uint64(offset)
	for i := range len(text) {
		hash ^= uint64(text[i])
		hash *= prime
	}
	return mix64(hash)
}

// mix64 mixes the bits of a number with the output function of splitmix64.
func mix64(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
