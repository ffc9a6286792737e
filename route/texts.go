package route

import (
	"errors"

	"balsamwinch.example/identifier"
)

// CheckTexts returns a *ConfigError for the first text in the configuration that isn't accepted
// from an operator: it would be written into logs, metrics, messages and heads of requests. New
// doesn't call it, so that what an earlier release accepted stays in force.
func (tb *Table) CheckTexts() error {
	for _, se := range tb.serviceList {
		if err := se.checkTexts(); err != nil {
			return err
		}
	}
	for ix := range tb.routes {
		if err := tb.routes[ix].checkTexts(); err != nil {
			return err
		}
	}
	for cu := range tb.customers.All() {
		if err := identifier.Check("Name", cu.Name); err != nil {
			return asConfigError(err, ConfigError{Customer: shortName(cu.Name)})
		}
	}
	return nil
}

func (ro *Route) checkTexts() error {
	for _, err := range []error{
		identifier.CheckOptional("Name", ro.Name), identifier.CheckOptional("Host", ro.Host), identifier.CheckPath("Prefix", ro.Prefix),
	} {
		if err != nil {
			return asConfigError(err, ConfigError{Route: shortName(ro.Name)})
		}
	}
	return nil
}

func (se Service) checkTexts() error {
	for _, err := range []error{identifier.CheckOptional("Name", se.Name), identifier.CheckPath("HealthPath", se.HealthPath)} {
		if err != nil {
			return asConfigError(err, ConfigError{})
		}
	}
	return nil
}

// asConfigError returns a *ConfigError with the field and detail of an *identifier.Error.
func asConfigError(err error, ce ConfigError) error {
	var ie *identifier.Error
	if !errors.As(err, &ie) {
		return err
	}
	ce.Field, ce.Detail = ie.Field, ie.Detail
	return &ce
}

// shortName returns the beginning of a name that may be of any length.
func shortName(name string) string { return name[:min(len(name), identifier.MaxBytes)] }
