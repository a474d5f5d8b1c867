//! The backoff before a lost site may recover: exponential in the number of recent losses, so that a flapping site stays out longer.

use chalkdeck_time::{TimeDelta, Timestamp};

/// The backoff after the first loss; each further loss doubles it.
const FIRST_BACKOFF: TimeDelta = TimeDelta::from_secs(1);
/// The backoff stops growing after this many doublings.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// Maximum backoff.
pub const MAX_BACKOFF: TimeDelta = TimeDelta::from_secs(1 << MAX_BACKOFF_DOUBLINGS);
/// One recorded loss expires for each such period without a loss.
const LOSS_EXPIRY_PERIOD: TimeDelta = TimeDelta::from_secs(120);

/// The recent losses of one site and the backoff that follows from them.
#[derive(Clone, Debug, Default)]
pub struct LossBackoff {
    losses: u32,
    until: Timestamp,
    last_loss: Timestamp,
}

impl LossBackoff {
    /// The number of losses that have not expired.
    pub fn losses(&self) -> u32 {
        self.losses
    }

    /// The end of the backoff. The site does not recover before it.
    pub fn until(&self) -> Timestamp {
        self.until
    }

    /// Records a loss of the site and starts its backoff.
    pub fn record_loss(&mut self, now: Timestamp) {
        let periods_without_loss =
            (now - self.last_loss).as_micros() / LOSS_EXPIRY_PERIOD.as_micros();
        let expired = periods_without_loss.min(u64::from(self.losses)) as u32;
        self.losses = self.losses - expired + 1;
        self.last_loss = now;
        let doublings = (self.losses - 1).min(MAX_BACKOFF_DOUBLINGS);
        self.until = now + FIRST_BACKOFF * (1 << doublings);
    }

    /// Ends the backoff.
    pub(crate) fn end(&mut self, now: Timestamp) {
        self.until = now;
    }
}
