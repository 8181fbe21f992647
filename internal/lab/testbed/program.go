package testbed

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// gatewayPackage is the package of the gateway's program.
const gatewayPackage = "foldslip/cmd/foldslip"

// BuildProgram builds the gateway's program in a new directory and returns its path. It is called by TestMain of packages
// whose tests start the program, and ends the process if the program cannot be built. remove deletes the directory.
func BuildProgram() (path string, remove func()) {
	dir, err := os.MkdirTemp("", "foldslip")
	if err != nil {
		failBuild(err)
	}
	path = filepath.Join(dir, "foldslip")
	if out, err := exec.Command("go", "build", "-o", path, gatewayPackage).CombinedOutput(); err != nil {
		os.RemoveAll(dir)
		failBuild(fmt.Errorf("%w: %s", err, out))
	}
	return path, func() { os.RemoveAll(dir) }
}

func failBuild(err error) {
	fmt.Println("FAIL: the gateway's program cannot be built:", err)
	os.Exit(1)
}
