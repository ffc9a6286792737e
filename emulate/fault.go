package emulate

import (
	"context"
	"os"
	"syscall"

	"balsamwinch.example/result"
)

// EntryNames returns the names of the entry instances, in the order of CallerAddresses.
func (lo *LocalTier) EntryNames() []string { return lo.instanceNames(true) }

// ControlNames returns the names of the control instances, in the order of
// ControlAddresses.
func (lo *LocalTier) ControlNames() []string { return lo.instanceNames(false) }

func (lo *LocalTier) instanceNames(entry bool) []string {
	var out []string
	for _, in := range lo.instances {
		if in.se.Entry() == entry {
			out = append(out, in.se.Name)
		}
	}
	return out
}

// instance returns the instance with the name.
func (lo *LocalTier) instance(op, name string) (*localInstance, error) {
	for _, in := range lo.instances {
		if in.se.Name == name {
			return in, nil
		}
	}
	return nil, &result.Error{Code: result.BadSettings, Op: op, Detail: "no instance " + name}
}

// Stop stops an instance gracefully and returns the error that it exited with.
func (lo *LocalTier) Stop(name string) error {
	in, err := lo.instance("stop", name)
	if err != nil {
		return err
	}
	ru := in.current()
	ru.stop()
	<-ru.done
	return ru.err
}

// Kill ends an instance at once, without a graceful stop. Only an instance that runs in a
// process of its own can be killed.
func (lo *LocalTier) Kill(name string) error {
	in, err := lo.instance("kill", name)
	if err != nil {
		return err
	}
	ru := in.current()
	if ru.kill == nil {
		return &result.Error{Code: result.BadSettings, Op: "kill", Detail: name + " runs in this process"}
	}
	ru.kill()
	<-ru.done
	return nil
}

// Hang suspends an instance with all its connections open: its machine still receives
// what is sent, but nothing responds. Only an instance that runs in a process of its own
// can hang.
func (lo *LocalTier) Hang(name string) error { return lo.signal("hang", name, syscall.SIGSTOP) }

// Resume ends a Hang.
func (lo *LocalTier) Resume(name string) error { return lo.signal("resume", name, syscall.SIGCONT) }

func (lo *LocalTier) signal(op, name string, si os.Signal) error {
	in, err := lo.instance(op, name)
	if err != nil {
		return err
	}
	ru := in.current()
	if ru.signal == nil {
		return &result.Error{Code: result.BadSettings, Op: op, Detail: name + " runs in this process"}
	}
	return ru.signal(si)
}

// DeleteData removes the data of a control instance that has exited.
func (lo *LocalTier) DeleteData(name string) error {
	in, err := lo.instance("delete data", name)
	if err != nil {
		return err
	}
	return os.RemoveAll(in.se.DataFolder)
}

// Start restarts an instance that has exited, and returns once it listens.
func (lo *LocalTier) Start(ctx context.Context, name string) error {
	in, err := lo.instance("start", name)
	if err != nil {
		return err
	}
	// An instance that declared again that the tier is new could form a second group.
	se := in.se
	se.FirstStart = false
	if err := lo.launch(in, se); err != nil {
		return err
	}
	return lo.awaitInstance(ctx, in, (*localInstance).listens)
}
