package emulate

import (
	"context"
	"os"
	"syscall"

	"balsamwinch.example/result"
)

// EntryNames returns the names of the entry instances, in the order of Callers.
func (lo *LocalTier) EntryNames() []string { return lo.names(true) }

// ControlNames returns the names of the control instances, in the order of Control.
func (lo *LocalTier) ControlNames() []string { return lo.names(false) }

func (lo *LocalTier) names(entry bool) []string {
	var out []string
	for _, in := range lo.instances {
		if in.se.Entry() == entry {
			out = append(out, in.se.Name)
		}
	}
	return out
}

// instance returns the instance with a name.
func (lo *LocalTier) instance(op, name string) (*localInstance, error) {
	for _, in := range lo.instances {
		if in.se.Name == name {
			return in, nil
		}
	}
	return nil, &result.Error{Code: result.BadSettings, Op: op, Detail: "no instance " + name}
}

// Stop stops an instance gracefully and returns how it ended.
func (lo *LocalTier) Stop(name string) error {
	in, err := lo.instance("stop", name)
	if err != nil {
		return err
	}
	ru := in.life()
	ru.stop()
	<-ru.done
	return ru.err
}

// Kill ends an instance at once, without a word to anybody. Only one that runs in
// a process of its own can be killed.
func (lo *LocalTier) Kill(name string) error {
	in, err := lo.instance("kill", name)
	if err != nil {
		return err
	}
	ru := in.life()
	if ru.kill == nil {
		return &result.Error{Code: result.BadSettings, Op: "kill", Detail: name + " runs in this process"}
	}
	ru.kill()
	<-ru.done
	return nil
}

// Hang makes an instance stand still with all its connections open: its machine takes
// what is sent, and nothing answers. Only one that runs in a process of its own can hang.
func (lo *LocalTier) Hang(name string) error { return lo.signal("hang", name, syscall.SIGSTOP) }

// Resume ends a Hang.
func (lo *LocalTier) Resume(name string) error { return lo.signal("resume", name, syscall.SIGCONT) }

func (lo *LocalTier) signal(op, name string, si os.Signal) error {
	in, err := lo.instance(op, name)
	if err != nil {
		return err
	}
	ru := in.life()
	if ru.signal == nil {
		return &result.Error{Code: result.BadSettings, Op: op, Detail: name + " runs in this process"}
	}
	return ru.signal(si)
}

// LoseDisk removes the data of a control instance that has ended.
func (lo *LocalTier) DeleteData(name string) error {
	in, err := lo.instance("lose the disk", name)
	if err != nil {
		return err
	}
	return os.RemoveAll(in.se.DataFolder)
}

// Start starts an instance again that has ended, and returns once it listens.
func (lo *LocalTier) Start(ctx context.Context, name string) error {
	in, err := lo.instance("start", name)
	if err != nil {
		return err
	}
	// One that said again that the tier is new could form a second group.
	se := in.se
	se.FirstStart = false
	if err := lo.run(in, se); err != nil {
		return err
	}
	return lo.awaitOne(ctx, in, (*localInstance).listens)
}
