package disk

import (
	"io"
	"os"
)

// File is an open file in the data folder.
type File interface {
	io.Reader
	io.Writer
	Sync() error
	Truncate(size int64) error
	Seek(offset int64, whence int) (int64, error)
	Close() error
}

// FileSystem holds the file operations that Storage uses. Tests implement it to
// inject failing writes and syncs.
type FileSystem interface {
	// Open opens a file for reading and writing, and creates it if it is missing.
	Open(path string) (File, error)
	// Exists reports whether the file exists.
	Exists(path string) (bool, error)
	Rename(from, to string) error
	// SyncFolder makes creations and renames in the folder durable.
	SyncFolder(path string) error
	// MakeFolder creates the folder and its parents if they are missing.
	MakeFolder(path string) error
}

// OS is the FileSystem of the operating system.
type OS struct{}

const (
	fileMode   = 0o600
	folderMode = 0o700
)

// Open implements FileSystem.
func (OS) Open(path string) (File, error) {
	return os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
}

// Exists implements FileSystem.
func (OS) Exists(path string) (bool, error) {
	_, err := os.Stat(path)
	if os.IsNotExist(err) {
		return false, nil
	}
	return err == nil, err
}

// Rename implements FileSystem.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// SyncFolder implements FileSystem.
func (OS) SyncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// MakeFolder implements FileSystem.
func (OS) MakeFolder(path string) error { return os.MkdirAll(path, folderMode) }
