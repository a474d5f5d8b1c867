//! For how long a lost site is kept out: longer with each further loss, up to a limit.

use chalkdeck_time::{TimeDelta, Timestamp};

/// How long a site stays out after its first loss; each further loss doubles the time.
const FIRST_HOLD_OUT: TimeDelta = TimeDelta::from_secs(1);
/// After so many doublings the hold-out does not grow any more.
const MAX_HOLD_OUT_DOUBLINGS: u32 = 5;
/// The longest hold-out.
pub const MAX_HOLD_OUT: TimeDelta = TimeDelta::from_secs(1 << MAX_HOLD_OUT_DOUBLINGS);
/// Each such span without a loss forgives one loss.
const FORGIVE_LOSS: TimeDelta = TimeDelta::from_secs(120);

/// For how long earlier losses keep a site out.
#[derive(Clone, Debug, Default)]
pub struct HoldOut {
    losses: u32,
    until: Timestamp,
    last_loss: Timestamp,
}

impl HoldOut {
    /// Losses that are not yet forgiven.
    pub fn losses(&self) -> u32 {
        self.losses
    }

    /// The site is kept out until then.
    pub fn until(&self) -> Timestamp {
        self.until
    }

    /// Takes a loss of the site into account.
    pub fn record_loss(&mut self, now: Timestamp) {
        let quiet_spans = (now - self.last_loss).as_micros() / FORGIVE_LOSS.as_micros();
        let forgiven = quiet_spans.min(u64::from(self.losses)) as u32;
        self.losses = self.losses - forgiven + 1;
        self.last_loss = now;
        let doublings = (self.losses - 1).min(MAX_HOLD_OUT_DOUBLINGS);
        self.until = now + FIRST_HOLD_OUT * (1 << doublings);
    }

    /// Ends the hold-out.
    pub(crate) fn end(&mut self, now: Timestamp) {
        self.until = now;
    }
}
