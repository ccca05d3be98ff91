package bench

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
)

// Binaries are the paths of the programs that the bench starts.
type Binaries struct {
	Daemon, Standin, Bench string
}

// modulePath is the prefix of the programs' import paths.
const modulePath = "github.com/boragelock/boragelock/cmd/"

// FindBinaries returns the paths of the programs next to the running executable.
// It builds missing programs into dir, from the module in the working directory.
func FindBinaries(ctx context.Context, dir string) (Binaries, error) {
	self, err := os.Executable()
	if err != nil {
		return Binaries{}, &RunError{Op: "find the path of the running executable", Err: err}
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
