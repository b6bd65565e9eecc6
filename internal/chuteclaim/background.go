package chuteclaim

import (
	"context"
	"expvar"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// metrics counts by verdict and end, over all claimers of the process.
var metrics = expvar.NewMap("Claims")

// unsealed is a dead claim whose row may be or become Claimed.
type unsealed struct {
	claim   Claim
	machine Machine
	since   time.Time
}

// addUnsealed takes note of a dead claim and leaves its row to the background.
func (c *Claimer) addUnsealed(claim Claim, m Machine) {
	c.mu.Lock()
	c.unsealedTokens[claim.Token] = true
	c.mu.Unlock()
	c.queueUnsealed(claim, m)
}

// queueUnsealed leaves the row of a noted claim to the background. Beyond the
// bound, which only a long outage reaches, the row is left as it is: that costs
// answers of Unknown, while unbounded memory would cost the process.
func (c *Claimer) queueUnsealed(claim Claim, m Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unsealed) >= c.cfg.MaxUnsealed {
		delete(c.unsealedTokens, claim.Token)
		metrics.Add("SealsAbandoned", 1)
		return
	}
	c.unsealed = append(c.unsealed, unsealed{claim: claim, machine: m, since: c.clock.Now()})
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// dropUnsealed forgets a token whose row needs no seal any more.
func (c *Claimer) dropUnsealed(token string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unsealedTokens, token)
}

// Unsealed returns how many rows wait to be marked given up, for the state dump.
func (c *Claimer) Unsealed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unsealedTokens)
}

// Close waits until all waiting rows are marked given up or ctx ends, and stops
// the background; it returns how many are left.
func (c *Claimer) Close(ctx context.Context) int {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	select {
	case <-c.done:
	case <-ctx.Done():
	}
	c.stop()
	<-c.done
	return c.Unsealed()
}

// sealLate marks the waiting rows one after the other, and waits longer and
// longer while the table does not answer.
func (c *Claimer) sealLate(ctx context.Context) {
	defer close(c.done)
	retry := c.newRetry()
	for {
		next, ok, closing := c.takeUnsealed()
		var pause <-chan time.Time
		switch {
		case !ok && closing:
			return
		case ok && c.sealOne(ctx, next):
			retry.Reset()
			continue
		case ok:
			pause = c.clock.After(retry.NextBackOff())
		}
		if !c.sleep(ctx, pause) {
			return
		}
	}
}

// sleep waits for the pause, or without one for new work; false means that the background shall end.
func (c *Claimer) sleep(ctx context.Context, pause <-chan time.Time) bool {
	wake := c.wake
	if pause != nil {
		wake = nil
	}
	select {
	case <-pause:
	case <-wake:
	case <-ctx.Done():
		return false
	}
	return true
}

func (c *Claimer) takeUnsealed() (next unsealed, ok, closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unsealed) == 0 {
		c.unsealed = nil
		return unsealed{}, false, c.closing
	}
	next, c.unsealed = c.unsealed[0], c.unsealed[1:]
	return next, true, c.closing
}

// sealOne tries one row and says whether the table answered.
func (c *Claimer) sealOne(ctx context.Context, u unsealed) bool {
	m, step := u.machine.Seal()
	for {
		base := step.Base
		event, err := c.execute(ctx, u.claim, step, StepNameSealLate)
		m, step = m.Next(event)
		if step.Kind == StepSealed {
			c.dropUnsealed(u.claim.Token)
			return true
		}
		if step.Base != base {
			continue
		}
		u.machine = m
		c.sealAgain(u, err)
		return false
	}
}

// sealAgain puts the row behind the others, or leaves it after SealFor.
func (c *Claimer) sealAgain(u unsealed, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clock.Since(u.since) < c.cfg.SealFor {
		c.unsealed = append(c.unsealed, u)
		return
	}
	delete(c.unsealedTokens, u.claim.Token)
	metrics.Add("SealsAbandoned", 1)
	c.log.Warn().Str("Step", StepNameSealLate).Str("Key", u.claim.Key.String()).Err(cause).
		Msg("the row of a claim that was not taken could not be marked; it may stay claimed until it expires")
}

func (c *Claimer) newRetry() *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = c.cfg.FirstRetry
	retry.MaxInterval = c.cfg.LongestRetry
	retry.Reset()
	return retry
}
