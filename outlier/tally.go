package outlier

// tally is what entry instances reported on one backend server, by instance. It is bounded:
// if more of them report on a server than are counted separately, none has much weight.
type tally []report

// report sums up what one entry instance reported.
type report struct {
	name  string
	sum   float64
	count uint32
}

// add adds to the report of an entry instance, unless that would be one report more than
// the limit.
func (ta *tally) add(name string, sum float64, count uint32, limit int) {
	for ix := range *ta {
		if re := &(*ta)[ix]; re.name == name {
			re.sum += sum
			re.count += count
			return
		}
	}
	if len(*ta) < limit {
		*ta = append(*ta, report{name, sum, count})
	}
}
