package bench

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
)

// Binaries are the programs that a run starts.
type Binaries struct {
	Daemon, Standin, Bench string
}

// modulePath prefixes the import paths of the programs.
const modulePath = "github.com/boragelock/boragelock/cmd/"

// FindBinaries returns the programs next to the running one, or builds them
// from the module in the working directory into dir.
func FindBinaries(ctx context.Context, dir string) (Binaries, error) {
	self, err := os.Executable()
	if err != nil {
		return Binaries{}, &RunError{Op: "find own program", Err: err}
	}
	b := Binaries{Bench: self}
	for name, path := range map[string]*string{"boragelockd": &b.Daemon, "boragelock-standin": &b.Standin} {
		beside := filepath.Join(filepath.Dir(self), name)
		if st, err := os.Stat(beside); err == nil && st.Mode()&0o111 != 0 {
			*path = beside
			continue
		}
		*path = filepath.Join(dir, name)
		out, err := exec.CommandContext(ctx, "go", "build", "-o", *path, modulePath+name).CombinedOutput()
		if err != nil {
			return Binaries{}, &RunError{Op: "build " + name + ": " + string(out), Err: err}
		}
	}
	return b, nil
}
