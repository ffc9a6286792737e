package load

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"go.yaml.in/yaml/v3"

	"balsamwinch.example/operator"
)

// The numbers of the partition maps that an experiment knows. The second splits
// the first shard of the first in two.
const (
	wholeMap = 1
	splitMap = 2
)

// Stream is one service of a group, with the load that it gets.
type Stream struct {
	Service Service
	Label   string // Label is what the backend servers announce as their service.
	Rate    float64
}

// Streams returns every service of the experiment at the rates of a phase.
func (ex Experiment) Streams(ph Phase) []Stream {
	var sts []Stream
	for _, se := range ex.Services {
		ra := se.Rate
		if ph.Surge.Service == se.Name {
			ra = ph.Surge.Times * se.Capacity()
		}
		for nu := 1; nu <= se.Count; nu++ {
			sts = append(sts, Stream{Service: se, Label: se.label(nu), Rate: ra})
		}
	}
	return sts
}

// label returns the name of one service of the group.
func (se Service) label(number int) string {
	if se.Count == 1 {
		return se.Name
	}
	return fmt.Sprintf("%s-%02d", se.Name, number)
}

// Capacity returns how many queries a second the slots of one service of the
// group can carry, worked out from the mean service time. Waiting for the
// slowest shard keeps a real tier below it. It is 0 if no service time is set.
func (se Service) Capacity() float64 {
	mean := se.ServiceTime.Median.Seconds() * math.Exp(se.ServiceTime.Sigma*se.ServiceTime.Sigma/2)
	if mean == 0 {
		return 0
	}
	return float64(se.Replicas*se.Slots) / mean
}

// Shards returns the shards of a partition map of the group.
func (se Service) Shards(partition uint64) []string {
	var shs []string
	for nu := 1; nu <= se.Leaves; nu++ {
		shs = append(shs, se.held(nu, partition)...)
	}
	return shs
}

// held returns what the backend servers of a shard of the first map hold in a
// partition map.
func (se Service) held(shard int, partition uint64) []string {
	name := fmt.Sprintf("s%02d", shard)
	if shard == 1 && partition == splitMap {
		return []string{name + "a", name + "b"}
	}
	return []string{name}
}

// ServerSpec describes one backend server of the experiment.
type ServerSpec struct {
	Name       string
	Service    Service
	Label      string // Label is the service that it announces.
	Shard      int    // Shard is its place in the first partition map, from 1.
	Replica    int    // Replica counts from 1.
	DataCentre string
}

// Servers returns every backend server of the experiment.
func (ex Experiment) Servers() []ServerSpec {
	var sps []ServerSpec
	for _, se := range ex.Services {
		for nu := 1; nu <= se.Count; nu++ {
			sps = append(sps, ex.serversOf(se, se.label(nu))...)
		}
	}
	return sps
}

func (ex Experiment) serversOf(se Service, label string) []ServerSpec {
	var sps []ServerSpec
	for sh := 1; sh <= se.Leaves; sh++ {
		for re := 1; re <= se.Replicas; re++ {
			sps = append(sps, ServerSpec{
				Name:       fmt.Sprintf("%s-s%02d-r%d", label, sh, re),
				Service:    se,
				Label:      label,
				Shard:      sh,
				Replica:    re,
				DataCentre: ex.Tier.DataCentres[(sh+re)%len(ex.Tier.DataCentres)],
			})
		}
	}
	return sps
}

// Matches reports whether the target selects the server.
func (ta Target) Matches(sp ServerSpec) bool {
	return (ta.Service == "" || ta.Service == sp.Service.Name) &&
		(ta.Shard == 0 || ta.Shard == sp.Shard) &&
		(ta.Replica == 0 || ta.Replica == sp.Replica)
}

// serviceName returns the name under which an arm's queries reach a service:
// each arm has a service of its own over the same backend servers, so that both
// can run in one tier.
func serviceName(label string, ar Arm) string {
	return label + "-" + ar.Name
}

// The files of an experiment's configuration.
type (
	configFile struct {
		Services map[string]configService `json:",omitempty"`
		Limits   *operator.Limits         `json:",omitempty"`
	}
	configService struct {
		Partitions       []operator.Partition
		Selector         configSelector
		Policy           operator.Policy
		Tactics          operator.Tactics
		DeadlineMillis   int64
		ExtraLoadPercent float64
		Weight           int
		Entries          int `json:",omitempty"`
	}
	configSelector struct{ Service string }
)

// Files returns the operators' files of the experiment: the limits, and a file
// for each group with one service for each arm.
func (ex Experiment) Files() ([]operator.File, error) {
	limits := operator.Limits{MaxEntries: ex.Tier.MaxEntries, AddressTTLMillis: ex.Tier.AddressTTL.Milliseconds()}
	fi, err := configuration("10-limits.yaml", configFile{Limits: &limits})
	if err != nil {
		return nil, err
	}
	files := []operator.File{fi}
	for ix, se := range ex.Services {
		fi, err := configuration(fmt.Sprintf("%d-%s.yaml", 20+ix, se.Name), configFile{Services: ex.configServices(se)})
		if err != nil {
			return nil, err
		}
		files = append(files, fi)
	}
	return files, nil
}

func (ex Experiment) configServices(se Service) map[string]configService {
	ses := make(map[string]configService)
	for nu := 1; nu <= se.Count; nu++ {
		for _, ar := range ex.Arms {
			ses[serviceName(se.label(nu), ar)] = configService{
				Partitions: []operator.Partition{
					{Number: wholeMap, Shards: se.Shards(wholeMap)},
					{Number: splitMap, Shards: se.Shards(splitMap)},
				},
				Selector:         configSelector{Service: se.label(nu)},
				Policy:           se.Policy,
				Tactics:          ar.Tactics,
				DeadlineMillis:   se.Deadline.Milliseconds(),
				ExtraLoadPercent: se.ExtraLoadPercent,
				Weight:           se.Weight,
				Entries:          se.Entries,
			}
		}
	}
	return ses
}

// configuration writes a file as YAML with the keys in Pascal case, as the
// fields are named; the YAML library on its own would make them small.
func configuration(name string, cf configFile) (operator.File, error) {
	data, err := json.Marshal(cf)
	if err != nil {
		return operator.File{}, err
	}
	var no yaml.Node
	if err := yaml.Unmarshal(data, &no); err != nil {
		return operator.File{}, err
	}
	plain(&no)
	content, err := yaml.Marshal(&no)
	return operator.File{Name: name, Content: content}, err
}

// plain removes the style that a node has from JSON, but keeps lists of texts
// on one line.
func plain(no *yaml.Node) {
	no.Style = 0
	if no.Kind == yaml.SequenceNode && len(no.Content) > 0 && no.Content[0].Kind == yaml.ScalarNode {
		no.Style = yaml.FlowStyle
	}
	for _, ch := range no.Content {
		plain(ch)
	}
}

// Block is one arm's turn.
type Block struct {
	Phase  int
	Arm    int
	Number int // Number counts the turns of an arm within a phase, from 0.
	Length time.Duration
}

// Blocks returns the turns of all arms in order. The arms alternate in short
// blocks, so that what else the machine does in a minute falls on each of them.
func (ex Experiment) Blocks() []Block {
	var bls []Block
	for pi, ph := range ex.Phases {
		turns := max(1, int(ph.Length/ex.Block)/len(ex.Arms))
		for nu := range turns {
			for ai := range ex.Arms {
				bls = append(bls, Block{Phase: pi, Arm: ai, Number: nu, Length: ex.Block})
			}
		}
	}
	return bls
}

// seed returns the seed of the block's arrivals. It leaves the arm out: the
// arms are offered the same arrivals, turn by turn.
func (bl Block) seed(ex Experiment) uint64 {
	return ex.Seed<<32 | uint64(bl.Phase)<<16 | uint64(bl.Number)
}
