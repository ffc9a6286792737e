package outlier

// tally is what entry instances told of one backend server, each by itself. It is bounded:
// where more of them tell of a server than are told apart, none weighs much.
type tally []teller

// teller is what one entry instance told.
type teller struct {
	name  string
	sum   float64
	count uint32
}

// add takes in what an entry instance told, unless it would be one more than most.
func (ta *tally) add(name string, sum float64, count uint32, most int) {
	for ix := range *ta {
		if te := &(*ta)[ix]; te.name == name {
			te.sum += sum
			te.count += count
			return
		}
	}
	if len(*ta) < most {
		*ta = append(*ta, teller{name, sum, count})
	}
}
