package chutesettings

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"strconv"

	"github.com/rs/zerolog"
)

// checker gathers findings about the values of one file.
type checker struct {
	file     string
	settings *Settings
	findings Findings
}

// check says what is wrong with the values.
func (s Settings) check(file string) Findings {
	c := &checker{file: file, settings: &s}

	c.required("NodeName", s.NodeName)
	c.required("Site", s.Site)
	c.required("Zone", s.Zone)
	c.listen("ListenHTTP", s.ListenHTTP)
	c.listen("ListenPeer", s.ListenPeer)

	if s.ListenOperator != "" {
		c.listen("ListenOperator", s.ListenOperator)
	}

	c.advertise("AdvertiseHTTP", s.AdvertiseHTTP)
	c.advertise("AdvertisePeer", s.AdvertisePeer)

	for _, peer := range s.Peers {
		c.advertise("Peers", peer)
	}

	c.url("TableURL", s.TableURL)
	c.url("ObjectsURL", s.ObjectsURL)
	c.url("VMsURL", s.VMsURL)
	c.rate("TableWritesPerSecond", s.TableWritesPerSecond)
	c.rate("TableReadsPerSecond", s.TableReadsPerSecond)

	if s.ShutdownLinger < 0 {
		c.find("ShutdownLinger", s.ShutdownLinger.String(), "is negative")
	}

	if _, err := zerolog.ParseLevel(s.LogLevel); err != nil || s.LogLevel == "" {
		c.find("LogLevel", s.LogLevel, "is no log level")
	}

	return c.findings
}

func (c *checker) find(name, value, problem string) {
	f, _ := c.settings.field(name)
	c.findings = append(c.findings, Finding{File: c.file, Field: name, Value: cut(value), Problem: problem, Mend: f.form})
}

func (c *checker) required(name, value string) {
	if value == "" {
		c.find(name, "", "is missing")
	}
}

// listen takes host:port with an IP number or no host.
func (c *checker) listen(name, value string) {
	if value == "" {
		c.find(name, "", "is missing")

		return
	}

	if _, err := splitAddress(value); err != nil {
		c.find(name, value, err.Error())
	}
}

// advertise takes host:port that others can reach.
func (c *checker) advertise(name, value string) {
	if value == "" {
		return
	}

	addr, err := splitAddress(value)

	switch {
	case err != nil:
		c.find(name, value, err.Error())
	case !addr.IsValid() || addr.IsUnspecified():
		c.find(name, value, "names no host that others can reach")
	}
}

// splitAddress returns the IP number, or the zero one for an empty host; nodes talk by IP numbers, so names are refused.
func splitAddress(value string) (netip.Addr, error) {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		return netip.Addr{}, fmt.Errorf("is not host:port")
	}

	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return netip.Addr{}, fmt.Errorf("has no port from 0 to 65535")
	}

	if host == "" {
		return netip.Addr{}, nil
	}

	addr, err := netip.ParseAddr(host)
	if err != nil {
		return netip.Addr{}, fmt.Errorf("has a host that is no IP number")
	}

	return addr, nil
}

func (c *checker) url(name, value string) {
	if value == "" {
		c.find(name, "", "is missing")

		return
	}

	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.find(name, value, "is no http or https URL")
	}
}

func (c *checker) rate(name string, value float64) {
	if !(value > 0) {
		c.find(name, strconv.FormatFloat(value, 'g', -1, 64), "is not above 0")
	}
}
