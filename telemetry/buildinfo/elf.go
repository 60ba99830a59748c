package buildinfo

import (
	"debug/elf"
	"encoding/binary"
	"strings"
)

// executable is the file of the running program, also after another file has taken its place.
const executable = "/proc/self/exe"

// Layout of the ELF note with the Go build ID: three 32-bit numbers, of which the second is the size of the ID, and a
// name of four bytes.
const (
	buildIDSection = ".note.go.buildid"
	noteHeaderSize = 16
	noteSizeOffset = 4
)

// readBuildID returns the content hash of the Go build ID of a program file, Unknown if the file cannot be read or has
// none.
func readBuildID(path string) string {
	f, err := elf.Open(path)
	if err != nil {
		return Unknown
	}
	defer f.Close()
	section := f.Section(buildIDSection)
	if section == nil {
		return Unknown
	}
	note, err := section.Data()
	if err != nil {
		return Unknown
	}
	return contentHash(note, f.ByteOrder)
}

// contentHash returns the last part of the build ID in an ELF note.
func contentHash(note []byte, order binary.ByteOrder) string {
	if len(note) < noteHeaderSize {
		return Unknown
	}
	size := order.Uint32(note[noteSizeOffset:])
	id := note[noteHeaderSize:]
	if size == 0 || uint64(size) > uint64(len(id)) {
		return Unknown
	}
	text := string(id[:size])
	return text[strings.LastIndexByte(text, '/')+1:]
}
