package segment

import (
	"encoding/binary"
	"hash/crc32"
	"path"

	"github.com/ansel1/merry/v2"
)

// temporarySuffix ends the name of a file that is being written.
const temporarySuffix = ".temporary"

// recordMagic is the number with which a record file begins.
const recordMagic = 0x4e4c5243

// Offsets of the fields in the header of a record file. All fields are little-endian. The data follows the header. The checksum
// covers the length and the data.
const (
	recordMagicOffset    = 0
	recordChecksumOffset = 4
	recordLengthOffset   = 8
	recordHeaderSize     = 16
)

// castagnoli is the lookup table for CRC-32C.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// SaveRecord replaces the contents of a small file. It returns once the new contents are on the disk. After an error or a loss
// of power the file holds either the old or the new contents.
func SaveRecord(fileSystem FileSystem, name string, data []byte) error {
	return saveRecord(fileSystem, name, data)
}

// LoadRecord returns the data that SaveRecord wrote. The returned data is durable, even if the writer was killed before
// SaveRecord returned. The error matches fs.ErrNotExist if there is no file, and ErrDamaged if its contents are not a valid
// record.
func LoadRecord(fileSystem FileSystem, name string) ([]byte, error) {
	data, err := loadRecord(fileSystem, name)
	if err != nil {
		return nil, err
	}
	if err := fileSystem.SyncDirectory(path.Dir(name)); err != nil {
		return nil, merry.Prepend(err, "sync directory")
	}
	return data, nil
}

// saveRecord writes the chunks, in order, as the data of a record file.
func saveRecord(fileSystem FileSystem, name string, chunks ...[]byte) error {
	temporary := name + temporarySuffix
	if err := writeRecord(fileSystem, temporary, chunks); err != nil {
		_ = fileSystem.Remove(temporary)
		return merry.Prependf(err, "write %s", temporary)
	}
	if err := fileSystem.Rename(temporary, name); err != nil {
		_ = fileSystem.Remove(temporary)
		return merry.Prependf(err, "rename %s", temporary)
	}
	if err := fileSystem.SyncDirectory(path.Dir(name)); err != nil {
		return merry.Prepend(err, "sync directory")
	}
	return nil
}

// writeRecord writes and syncs a record file in place: if it fails, an existing file of that name may be lost.
func writeRecord(fileSystem FileSystem, name string, chunks [][]byte) error {
	file, err := fileSystem.Create(name)
	if err != nil {
		return err
	}
	if err := writeChunks(file, chunks); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

// writeChunks writes the header and the chunks and syncs the file. It writes a small record in one call.
func writeChunks(file File, chunks [][]byte) error {
	header := recordHeader(chunks)
	if length := binary.LittleEndian.Uint64(header[recordLengthOffset:]); length <= directWriteSize {
		whole := append(make([]byte, 0, recordHeaderSize+length), header...)
		for _, chunk := range chunks {
			whole = append(whole, chunk...)
		}
		chunks = [][]byte{whole}
	} else {
		chunks = append([][]byte{header}, chunks...)
	}
	for _, chunk := range chunks {
		if _, err := file.Write(chunk); err != nil {
			return err
		}
	}
	return file.Sync()
}

func recordHeader(chunks [][]byte) []byte {
	header := make([]byte, recordHeaderSize)
	length := 0
	for _, chunk := range chunks {
		length += len(chunk)
	}
	binary.LittleEndian.PutUint32(header[recordMagicOffset:], recordMagic)
	binary.LittleEndian.PutUint64(header[recordLengthOffset:], uint64(length))
	checksum := crc32.Checksum(header[recordLengthOffset:], castagnoli)
	for _, chunk := range chunks {
		checksum = crc32.Update(checksum, castagnoli, chunk)
	}
	binary.LittleEndian.PutUint32(header[recordChecksumOffset:], checksum)
	return header
}

func loadRecord(fileSystem FileSystem, name string) ([]byte, error) {
	contents, err := fileSystem.ReadFile(name)
	if err != nil {
		return nil, err
	}
	if len(contents) < recordHeaderSize || binary.LittleEndian.Uint32(contents[recordMagicOffset:]) != recordMagic {
		return nil, merry.Prependf(ErrDamaged, "%s does not begin with a record header", name)
	}
	data := contents[recordHeaderSize:]
	if binary.LittleEndian.Uint64(contents[recordLengthOffset:]) != uint64(len(data)) {
		return nil, merry.Prependf(ErrDamaged, "%s has %d bytes of data, not the length in its header", name, len(data))
	}
	if binary.LittleEndian.Uint32(contents[recordChecksumOffset:]) != crc32.Checksum(contents[recordLengthOffset:], castagnoli) {
		return nil, merry.Prependf(ErrDamaged, "%s does not match its checksum", name)
	}
	return data, nil
}
