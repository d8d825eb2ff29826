package usage

import "time"

const (
	// slewDivisor bounds how fast the smoothed time of day follows the time of day: by a twentieth of the elapsed time. A jump of a second that is
	// undone after 5 s shifts the counts by a quarter of a second instead of a second; a lasting one is followed within 20 s.
	slewDivisor = 20
	// jumpSize is the difference from which on a jump is reported. Clocks that are kept in step with others deviate by some milliseconds.
	jumpSize = 200 * time.Millisecond
)

// Clock smooths jumps of the time of day by comparison with a monotonic clock that counts suspended time. The zero value takes the first time of day
// as it is.
type Clock struct {
	// offset is the smoothed time of day minus the monotonic time.
	offset  time.Duration
	at      time.Time
	jumping bool
}

// Now returns the smoothed time of day. boot is the monotonic time, wall the time of day. jumped reports the distance between the two times of day
// when a jump is noticed, zero otherwise.
func (c *Clock) Now(boot, wall time.Time) (now time.Time, jumped time.Duration) {
	offset := time.Duration(wall.UnixNano() - boot.UnixNano())
	if c.at.IsZero() {
		c.offset, c.at = offset, boot
	}
	distance := offset - c.offset
	if elapsed := boot.Sub(c.at); elapsed > 0 {
		limit := elapsed / slewDivisor
		c.offset += max(-limit, min(limit, distance))
		c.at = boot
	}
	jumping := distance.Abs() >= jumpSize
	if jumping && !c.jumping {
		jumped = distance
	}
	c.jumping = jumping
	return time.Unix(0, boot.UnixNano()+int64(c.offset)), jumped
}
