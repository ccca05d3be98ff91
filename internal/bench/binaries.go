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
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	for name, path := range map[string]*string{"boragelockd": &b.Daemon, "boragelock-standin": &b.Standin} {
		*path = filepath.Join(filepath.Dir(self), name)
		if st, err := os.Stat(*path); err == nil && st.Mode()&0o111 != 0 {
			continue
		}
		*path = filepath.Join(dir, name)
		args = append(args, modulePath+name)
	}
	if len(args) == 3 {
		return b, nil
	}
	if out, err := exec.CommandContext(ctx, "go", args...).CombinedOutput(); err != nil {
		return Binaries{}, &RunError{Op: "build the programs: " + string(out), Err: err}
	}
	return b, nil
}
