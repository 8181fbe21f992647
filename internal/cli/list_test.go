package cli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"foldslip/internal/cli/program"
)

// exportedList is an exported list with one cache that is up and one that is draining.
const exportedList = `{"last":0,"caches":[{"id":"a","host_port":"10.0.0.1:80","locality":"town","flavor":"edge","cell":0,"size":1,"up_since_ms":0,"phase":"up"},
{"id":"b","host_port":"10.0.0.2:80","locality":"town","flavor":"edge","cell":0,"size":1,"up_since_ms":0,"phase":"draining"}],"left":[],"purges":0}`

// TestList checks the commands on a stored list: import, export, the report of damage, and removal. The subtests share
// a directory and depend on their order.
func TestList(t *testing.T) {
	dir := t.TempDir()
	folder := filepath.Join(dir, "list")
	export := writeFile(t, dir, "export.json", exportedList)
	t.Run("a missing directory ends with status 2 and is not created", func(t *testing.T) { testMissingDirectory(t, folder) })
	t.Run("imported caches are not trusted, and draining ones are left out", func(t *testing.T) {
		if status, out, messages := runCLI("list", "import", folder, export); status != program.ExitOK || !strings.Contains(out, "1 caches taken of 2") {
			t.Fatalf("status %d, output %s, messages %s", status, out, messages)
		}
		_, out, _ := runCLI("list", "show", folder, "--json")
		var view listView
		if err := json.Unmarshal([]byte(out), &view); err != nil || len(view.Caches) != 1 || view.Caches[0].ID != "a" || !view.Caches[0].Imported ||
			view.Caches[0].Confidence == "trusted" {
			t.Errorf("error %v, output %s", err, out)
		}
	})
	t.Run("import reads what export prints", func(t *testing.T) {
		_, exported, _ := runCLI("list", "export", folder)
		path := writeFile(t, dir, "again.json", exported)
		other := filepath.Join(dir, "other")
		if status, _, messages := runCLI("list", "import", other, path); status != program.ExitOK {
			t.Fatal(messages)
		}
		if _, exportedAgain, _ := runCLI("list", "export", other); exportedAgain != exported {
			t.Errorf("first export:\n%s\nexport of the imported list:\n%s", exported, exportedAgain)
		}
	})
	t.Run("bytes after the last complete entry are reported, and the state before them is used", func(t *testing.T) {
		path := filepath.Join(folder, "list-1.rec")
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		writeFile(t, folder, "list-1.rec", string(content)+"torn")
		status, out, _ := runCLI("list", "check", folder)
		if status != program.ExitFailed || !strings.Contains(out, "4 bytes behind the last whole one, 1 caches") {
			t.Errorf("status %d, output %s", status, out)
		}
	})
	t.Run("a file that is not a list ends with status 2 and changes nothing", func(t *testing.T) {
		path := writeFile(t, dir, "bad.json", `{"caches":[{"id":"x","host_port":"nowhere","phase":"up"}]}`)
		if status, _, messages := runCLI("list", "import", folder, path); status != program.ExitUsage || !strings.Contains(messages, `caches[0] "x"`) {
			t.Errorf("status %d, messages %s", status, messages)
		}
	})
	t.Run("forget removes the list", func(t *testing.T) {
		if status, out, _ := runCLI("list", "forget", folder); status != program.ExitOK || !strings.Contains(out, "1 files removed") {
			t.Errorf("status %d, output %s", status, out)
		}
		if _, out, _ := runCLI("list", "show", folder); !strings.Contains(out, "0 caches") {
			t.Error(out)
		}
	})
}

func testMissingDirectory(t *testing.T, folder string) {
	for _, command := range []string{"show", "check", "export", "forget"} {
		if status, _, messages := runCLI("list", command, folder); status != program.ExitUsage || !strings.Contains(messages, "name the folder") {
			t.Errorf("%s: status %d, messages %s", command, status, messages)
		}
	}
	if _, err := os.Stat(folder); err == nil {
		t.Error("the directory was created")
	}
}
