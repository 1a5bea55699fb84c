package balancer

import (
	"encoding/json"
	"os"
	"reflect"
	"slices"
	"testing"
)

// earlierHandoverFile contains the state exported by the version at commit d9ac8c1, with five classes and
// three endpoints, of which s2 had just started.
const earlierHandoverFile = "testdata/handover-d9ac8c1.json"

func readEarlierHandoverFile(t *testing.T) []byte {
	t.Helper()
	data, err := os.ReadFile(earlierHandoverFile)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// newBalancerForEarlierHandover returns a Balancer with the classes and endpoints of earlierHandoverFile.
func newBalancerForEarlierHandover(t *testing.T) *Balancer {
	t.Helper()
	b, h := mustNew(t, named(testSettings())), &recorder{}
	list := readyEndpoints(3)
	list[2].StartedAt = testStart - 5*second
	b.UpdateEndpoints(testStart, h, FullUpdate, list)
	return b
}

func TestImportStateReadsEarlierVersion(t *testing.T) {
	var learned LearnedState
	if err := json.Unmarshal(readEarlierHandoverFile(t), &learned); err != nil {
		t.Fatal(err)
	}
	b := newBalancerForEarlierHandover(t)
	b.ImportState(learned)
	want := LearnedState{
		TierLimit: 5.5, QuotaMultiplier: 0.9000000000000001, CrossZoneWeight: 0.9804000000000002, ErrorRate: 0.16210384490695212,
		Classes: []LearnedClass{
			{"class0", 5.5, 145580.17809267956, 114616.53415782045, 31, 0.21465008574024577},
			{"class1", 5.5, 167618.7266407414, 126319.01753650338, 30, 0.12426938375240973},
			{"class2", 5.5, 303653.36946874997, 229397.92420619164, 21, 0.26049678413898486},
			{"class3", 5.5, 184522.1104092919, 125510.81138594043, 30, 0.10928727171040989},
			{"class4", 5.5, 142932.91376612792, 133942.92912842406, 27, 0.10444340993255526},
		},
		Endpoints: map[string]LearnedEndpoint{
			"s0": {0, 1.4556104731305834, 1,
				[]float64{0.9996147918173518, 0.8288976933062077, 0.05, 0.47289525489090006, 0.47219367318786676}},
			"s1": {0, 1.8750762449799532, 1, []float64{0.05, 0.05456249999999999, 1, 0.40855468749999996, 0.09}},
			"s2": {995000000, 1.4387663618909463, 1, []float64{1, 1, 0.61609375, 1, 1}},
		},
	}
	if got := b.ExportState(); !reflect.DeepEqual(got, want) {
		t.Errorf("ExportState after ImportState:\n got %+v\nwant %+v", got, want)
	}
}

func TestExportStateKeepsJSONKeys(t *testing.T) {
	earlier := readEarlierHandoverFile(t)
	data, err := json.Marshal(newBalancerForEarlierHandover(t).ExportState())
	if err != nil {
		t.Fatal(err)
	}
	if got, want := keyPaths(t, data), keyPaths(t, earlier); !slices.Equal(got, want) {
		t.Errorf("keys of the exported state:\n got %q\nwant %q", got, want)
	}

	var learned LearnedState
	if err := json.Unmarshal(earlier, &learned); err != nil {
		t.Fatal(err)
	}
	if data, err = json.Marshal(learned); err != nil || string(data) != string(earlier) {
		t.Errorf("the earlier state after decoding and encoding (error %v):\n got %s\nwant %s",
			err, data, earlier)
	}
}

// keyPaths returns the sorted paths of all keys in a JSON value. Array elements share the path of their
// array.
func keyPaths(t *testing.T, data []byte) []string {
	t.Helper()
	var value any
	if err := json.Unmarshal(data, &value); err != nil {
		t.Fatal(err)
	}
	paths := appendKeyPaths(nil, "", value)
	slices.Sort(paths)
	return slices.Compact(paths)
}

func appendKeyPaths(paths []string, prefix string, value any) []string {
	switch value := value.(type) {
	case map[string]any:
		for key, inner := range value {
			paths = append(paths, prefix+"/"+key)
			paths = appendKeyPaths(paths, prefix+"/"+key, inner)
		}
	case []any:
		for _, inner := range value {
			paths = appendKeyPaths(paths, prefix, inner)
		}
	}
	return paths
}
