// Command layers fails if a package imports a package of a higher layer, or if
// a package below the transport layer imports a package that does I/O.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
)

const module = "geraniumstack.org/geraniumstack/"

// layers lists the layers from the lowest to the highest. A package may import
// packages of its own layer and of lower ones. Packages outside the layers
// (daemon, bench, cmd) may import any package.
var layers = []string{"state", "coordination", "protocol", "transport"}

func rank(path string) int {
	top, _, _ := strings.Cut(strings.TrimPrefix(path, module), "/")
	for i, layer := range layers {
		if top == layer {
			return i
		}
	}
	return len(layers)
}

type listedPackage struct {
	ImportPath string
	Imports    []string
}

func main() {
	out, err := exec.Command("go", "list", "-json=ImportPath,Imports", "./...").Output()
	if err != nil {
		fmt.Fprintln(os.Stderr, "go list:", err)
		os.Exit(1)
	}
	bad := 0
	dec := json.NewDecoder(strings.NewReader(string(out)))
	for {
		var p listedPackage
		if err := dec.Decode(&p); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			fmt.Fprintln(os.Stderr, "decode:", err)
			os.Exit(1)
		}
		bad += reportViolations(p)
	}
	if bad > 0 {
		os.Exit(1)
	}
}

// ioPackages are packages that the layers below transport must not import,
// because those layers only make decisions and do no I/O.
var ioPackages = map[string]bool{"net": true, "net/http": true, "os": true, "os/exec": true, "syscall": true}

func reportViolations(p listedPackage) int {
	bad := 0
	for _, imp := range p.Imports {
		if rank(p.ImportPath) < rank(module+"transport") && ioPackages[imp] {
			fmt.Printf("%s imports %s though its layer does no I/O\n", p.ImportPath, imp)
			bad++
		}
		if strings.HasPrefix(imp, module+"gen/") || !strings.HasPrefix(imp, module) {
			continue
		}
		if rank(imp) > rank(p.ImportPath) {
			fmt.Printf("%s imports %s of a higher layer\n", p.ImportPath, imp)
			bad++
		}
	}
	return bad
}
