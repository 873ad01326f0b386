package shape_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

const root = "../.."

// TestShape checks the rules of the data file on the whole code base and prints the
// violations.
func TestShape(t *testing.T) {
	files := parseFiles(t)
	datadriven.RunTest(t, "testdata/rules", func(t *testing.T, d *datadriven.TestData) string {
		var found []string
		switch d.Cmd {
		case "imports":
			var below string
			d.ScanArgs(t, "below", &below)
			found = forbiddenImports(files, below, strings.Fields(d.Input))
		case "fields":
			found = exportedFields(files)
		case "clock":
			found = clockReads(files)
		case "locks":
			found = unrankedLocks(files)
		}
		slices.Sort(found)
		if len(found) == 0 {
			return "none\n"
		}
		return strings.Join(slices.Compact(found), "\n") + "\n"
	})
}

// parseFiles parses all files of the code base except tests and generated files.
func parseFiles(t *testing.T) map[string]*ast.File {
	files := make(map[string]*ast.File)
	set := token.NewFileSet()
	err := filepath.WalkDir(root, func(path string, e fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if e.IsDir() && (e.Name() == "tools" || e.Name() == ".git" || e.Name() == "run") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") {
			return nil
		}
		f, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, path)
		files[filepath.ToSlash(name)] = f
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// forbiddenImports finds imports of forbidden packages in files whose path starts with
// below.
func forbiddenImports(files map[string]*ast.File, below string, forbidden []string) (found []string) {
	for name, f := range files {
		if !strings.HasPrefix(name, below) {
			continue
		}
		for _, i := range f.Imports {
			path, _ := strconv.Unquote(i.Path.Value)
			for _, prefix := range forbidden {
				if path == prefix || strings.HasPrefix(path, prefix+"/") {
					found = append(found, name+" imports "+path)
				}
			}
		}
	}
	return found
}

// exportedFields finds exported fields of structs. Tagged fields of unexported types are
// permitted, because libraries set them by reflection.
func exportedFields(files map[string]*ast.File) (found []string) {
	for name, f := range files {
		ast.Inspect(f, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if !ok {
				return true
			}
			s, ok := spec.Type.(*ast.StructType)
			if !ok {
				return true
			}
			for _, field := range s.Fields.List {
				for _, id := range field.Names {
					if id.IsExported() && (spec.Name.IsExported() || field.Tag == nil) {
						found = append(found, fmt.Sprintf("%s: %s.%s", name, spec.Name.Name, id.Name))
					}
				}
			}
			return true
		})
	}
	return found
}

// clockReads finds uses of the clock in the packages below pkg. Their callers pass the time
// as an argument, so that the same decisions can run in simulated time.
func clockReads(files map[string]*ast.File) (found []string) {
	for name, f := range files {
		if !strings.HasPrefix(name, "pkg/") {
			continue
		}
		ast.Inspect(f, func(n ast.Node) bool {
			s, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			x, ok := s.X.(*ast.Ident)
			if ok && x.Name == "time" && slices.Contains([]string{"Now", "Since", "Until", "Sleep", "After", "NewTimer"}, s.Sel.Name) {
				found = append(found, name+" uses time."+s.Sel.Name)
			}
			return true
		})
	}
	return found
}

// unrankedLocks finds locks without a rank in the lock order, except in package lock itself
// and in the tools for tests.
func unrankedLocks(files map[string]*ast.File) (found []string) {
	for name, f := range files {
		if strings.HasPrefix(name, "pkg/lock/") || strings.HasPrefix(name, "internal/standin/") ||
			strings.HasPrefix(name, "internal/load/") || strings.HasPrefix(name, "internal/mesh/") {
			continue
		}
		ast.Inspect(f, func(n ast.Node) bool {
			s, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			if x, ok := s.X.(*ast.Ident); ok && x.Name == "sync" && (s.Sel.Name == "Mutex" || s.Sel.Name == "RWMutex") {
				found = append(found, name+" has a lock without a rank in the lock order")
			}
			return true
		})
	}
	return found
}
