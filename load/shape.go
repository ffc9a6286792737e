package load

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"go.yaml.in/yaml/v3"

	"balsamwinch.example/operator"
)

// Numbers of the partition maps of an experiment. The second map splits the first shard in
// two.
const (
	wholeMap = 1
	splitMap = 2
)

// Stream is one service of a group with the rate of its queries.
type Stream struct {
	Service Service
	Label   string // service that the backend servers announce
	Rate    float64
}

// Streams returns every service of the experiment with its rate in a phase.
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

// Capacity returns the queries per second that the slots of one service of the group can
// process, computed from the mean service time. A real tier reaches less, because queries wait
// for the slowest shard. It is 0 if no service time is set.
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
		shs = append(shs, se.shardsHeld(nu, partition)...)
	}
	return shs
}

// shardsHeld returns what the backend servers of a shard of the first map hold in a partition
// map.
func (se Service) shardsHeld(shard int, partition uint64) []string {
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
	Label      string // service that it announces
	Shard      int    // number in the first partition map, from 1
	Replica    int    // number from 1
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

// serviceName returns the name of a service in the configuration of an arm: each arm has its
// own service over the same backend servers, so that both arms can run in one tier.
func serviceName(label string, ar Arm) string {
	return label + "-" + ar.Name
}

// Files of an experiment's configuration.
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

// Files returns the operators' files of the experiment: the limits, and a file for each group
// with one service for each arm.
func (ex Experiment) Files() ([]operator.File, error) {
	limits := operator.Limits{MaxEntries: ex.Tier.MaxEntries, AddressTTLMillis: ex.Tier.AddressTTL.Milliseconds()}
	fi, err := marshalConfiguration("10-limits.yaml", configFile{Limits: &limits})
	if err != nil {
		return nil, err
	}
	files := []operator.File{fi}
	for ix, se := range ex.Services {
		fi, err := marshalConfiguration(fmt.Sprintf("%d-%s.yaml", 20+ix, se.Name), configFile{Services: ex.configServices(se)})
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

// marshalConfiguration encodes a file as YAML with the field names as keys; the YAML library
// alone would convert them to lower case.
func marshalConfiguration(name string, cf configFile) (operator.File, error) {
	data, err := json.Marshal(cf)
	if err != nil {
		return operator.File{}, err
	}
	var no yaml.Node
	if err := yaml.Unmarshal(data, &no); err != nil {
		return operator.File{}, err
	}
	clearStyle(&no)
	content, err := yaml.Marshal(&no)
	return operator.File{Name: name, Content: content}, err
}

// clearStyle removes the style that a node has from JSON, but keeps lists of strings on one
// line.
func clearStyle(no *yaml.Node) {
	no.Style = 0
	if no.Kind == yaml.SequenceNode && len(no.Content) > 0 && no.Content[0].Kind == yaml.ScalarNode {
		no.Style = yaml.FlowStyle
	}
	for _, ch := range no.Content {
		clearStyle(ch)
	}
}

// Block is a short period in which one arm is loaded.
type Block struct {
	Phase  int
	Arm    int
	Number int // number within the arm and phase, from 0
	Length time.Duration
}

// Blocks returns the blocks of all arms in order. The arms alternate in short blocks, so that
// other load on the machine affects all of them equally.
func (ex Experiment) Blocks() []Block {
	var bls []Block
	for pi, ph := range ex.Phases {
		rounds := max(1, int(ph.Length/ex.Block)/len(ex.Arms))
		for nu := range rounds {
			for ai := range ex.Arms {
				bls = append(bls, Block{Phase: pi, Arm: ai, Number: nu, Length: ex.Block})
			}
		}
	}
	return bls
}

// seed returns the seed of the block's arrivals. It does not depend on the arm, so that all
// arms are offered the same arrivals in blocks of the same number.
func (bl Block) seed(ex Experiment) uint64 {
	return ex.Seed<<32 | uint64(bl.Phase)<<16 | uint64(bl.Number)
}
