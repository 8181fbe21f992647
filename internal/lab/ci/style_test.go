package ci

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const (
	repositoryRoot   = "../../.."
	maxFileLines     = 500
	maxFunctionLines = 60
)

// unfinished lists the packages that do not follow the rules of TestStyle yet. A
// package that follows them must be removed from the list, and no package is added.
var unfinished = []string{}

// sourceFile is a parsed Go file that is not a test file.
type sourceFile struct {
	path   string // relative to the root of the repository, with slashes
	syntax *ast.File
}

// parseModule parses every Go file of the module except test files. It skips the folders .git, journal and testdata.
func parseModule(t *testing.T, positions *token.FileSet) (files []sourceFile) {
	t.Helper()
	err := filepath.WalkDir(repositoryRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == ".git" || entry.Name() == "journal" || entry.Name() == "testdata") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		syntax, err := parser.ParseFile(positions, path, nil, parser.ParseComments|parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(repositoryRoot, path)
		if err != nil {
			return err
		}
		files = append(files, sourceFile{filepath.ToSlash(relative), syntax})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// undocumented returns the exported names of a file that have no doc
// comment. The comment of a declaration group covers all names in it.
func undocumented(file *ast.File) (names []string) {
	for _, declaration := range file.Decls {
		switch declared := declaration.(type) {
		case *ast.FuncDecl:
			if declared.Name.IsExported() && declared.Doc == nil && hasExportedReceiver(declared) {
				names = append(names, declared.Name.Name)
			}
		case *ast.GenDecl:
			for _, spec := range declared.Specs {
				names = append(names, undocumentedSpec(declared.Doc, spec)...)
			}
		}
	}
	return names
}

// undocumentedSpec returns the exported names of a type, constant or variable
// declaration that have no doc comment. group is the comment of its declaration group.
func undocumentedSpec(group *ast.CommentGroup, spec ast.Spec) (names []string) {
	switch spec := spec.(type) {
	case *ast.TypeSpec:
		if spec.Name.IsExported() && group == nil && spec.Doc == nil && spec.Comment == nil {
			names = append(names, spec.Name.Name)
		}
	case *ast.ValueSpec:
		if group != nil || spec.Doc != nil || spec.Comment != nil {
			return nil
		}
		for _, name := range spec.Names {
			if name.IsExported() {
				names = append(names, name.Name)
			}
		}
	}
	return names
}

// hasExportedReceiver reports whether a function has no receiver or a receiver of an exported type.
func hasExportedReceiver(function *ast.FuncDecl) bool {
	if function.Recv == nil {
		return true
	}
	receiver := function.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	name, ok := receiver.(*ast.Ident)
	return ok && name.IsExported()
}

// TestStyle checks packages that are not listed as unfinished for rules that staticcheck does not
// cover: each exported name has a doc comment, and no function or file exceeds its limit of lines.
func TestStyle(t *testing.T) {
	positions := token.NewFileSet()
	faults := map[string][]string{}
	packages := map[string]bool{}
	for _, file := range parseModule(t, positions) {
		folder := filepath.ToSlash(filepath.Dir(file.path))
		packages[folder] = true
		for _, name := range undocumented(file.syntax) {
			faults[folder] = append(faults[folder], file.path+": "+name+" has no doc comment")
		}
		if lines := positions.File(file.syntax.Pos()).LineCount(); lines > maxFileLines {
			faults[folder] = append(faults[folder], file.path+" has too many lines")
		}
		for _, declaration := range file.syntax.Decls {
			function, ok := declaration.(*ast.FuncDecl)
			if ok && positions.Position(function.End()).Line-positions.Position(function.Pos()).Line > maxFunctionLines {
				faults[folder] = append(faults[folder], file.path+": "+function.Name.Name+" has too many lines")
			}
		}
	}
	for folder, found := range faults {
		if !slices.Contains(unfinished, folder) {
			t.Errorf("%s:\n\t%s", folder, strings.Join(found, "\n\t"))
		}
	}
	for _, folder := range unfinished {
		if !packages[folder] {
			t.Errorf("%s is listed as unfinished but is not a package", folder)
		}
		if len(faults[folder]) == 0 {
			t.Errorf("%s is listed as unfinished but follows the rules: remove it from the list", folder)
		}
	}
}

// TestStyleFindsFaults checks undocumented with a file that has an exported name of each kind without a doc comment.
func TestStyleFindsFaults(t *testing.T) {
	const source = `package made

func Undocumented() {}

// Documented does nothing.
func Documented() {}

type Bare struct{}

func (Bare) Method() {}

type hidden struct{}

func (hidden) Method() {}

// Group of constants.
const (
	First = 1
	Second = 2
)

var Loose = 1
`
	file, err := parser.ParseFile(token.NewFileSet(), "made.go", source, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := undocumented(file), []string{"Undocumented", "Bare", "Method", "Loose"}; !slices.Equal(got, want) {
		t.Errorf("undocumented returned %v, want %v", got, want)
	}
}
