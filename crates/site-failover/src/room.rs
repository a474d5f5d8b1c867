//! How much work a site takes from here, learnt from what came back: a rate that gives way to late answers, but never
//! below what the site plainly got done, and grows while answers are early.

/// Time over which flow is averaged, in seconds.
const SPAN: f64 = 2.0;
/// An answer that took more than this part of its time says that work waits there; at the second part, fully so.
const EASY: f64 = 0.4;
const STRAINED: f64 = 0.8;
/// What a strained answer takes off the room, what an early one adds.
const CUT: f64 = 0.04;
const GROW: f64 = 0.004;
/// Part of what came back lately that stays at the least.
const FLOOR: f64 = 0.85;
/// A bound is met where at least this part of it is in use, and forgotten where so little of it is.
const IN_USE: f64 = 0.8;
const UNUSED: f64 = 0.25;
/// What an idle bound grows by in a second.
const IDLE_GROW: f64 = 0.05;

/// How strained an answer is that took so long of the time it should take at the most: 0 to 1.
pub fn strain(took: u64, aim: u64) -> f64 {
    ((took as f64 / aim.max(1) as f64 - EASY) / (STRAINED - EASY)).clamp(0.0, 1.0)
}

/// A rate over the last moments.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    level: f64,
    at: u64,
}

impl Rate {
    /// So many units at that time.
    pub fn add(&mut self, now: u64, units: f64) {
        self.level = self.level * self.kept(now) + units;
        self.at = now.max(self.at);
    }
    /// Units a second.
    pub fn per_second(&self, now: u64) -> f64 {
        self.level * self.kept(now) / SPAN
    }
    fn kept(&self, now: u64) -> f64 {
        (-(now.saturating_sub(self.at) as f64 / 1e6) / SPAN).exp()
    }
}

/// What is known of a site's room.
#[derive(Clone, Debug, Default)]
pub struct Room {
    flow: Rate,
    most: Option<f64>,
    looked: u64,
}

impl Room {
    /// Units a second that may go there; none: no bound was met.
    pub fn most(&self) -> Option<f64> {
        self.most
    }
    /// Units a second that come back from there.
    pub fn flow(&self, now: u64) -> f64 {
        self.flow.per_second(now)
    }

    /// An answer came back, `strain` by [`strain`]; `least`: a bound is not learnt from less, nor set lower.
    pub fn ended(&mut self, now: u64, units: f64, strain: f64, least: f64) {
        self.flow.add(now, units);
        let flow = self.flow(now);
        if strain > 0.0 && flow >= least {
            let before = self.most.unwrap_or(flow);
            self.most = Some((before * (1.0 - CUT * strain)).max(flow * FLOOR).max(least));
        } else if let Some(most) = self.most.as_mut().filter(|m| flow > **m * IN_USE) {
            *most *= 1.0 + GROW;
        }
    }

    /// Time passes: a bound that is not met opens and is forgotten in the end, so that detours are undone.
    pub fn look(&mut self, now: u64) {
        let gone = now.saturating_sub(self.looked) as f64 / 1e6;
        self.looked = now;
        let flow = self.flow(now);
        let Some(most) = self.most.as_mut().filter(|m| flow < **m * IN_USE) else {
            return;
        };
        *most *= 1.0 + IDLE_GROW * gone.min(1.0);
        if flow < *most * UNUSED {
            self.most = None;
        }
    }

    /// Nothing learnt holds any more.
    pub fn forget(&mut self) {
        self.most = None;
    }
}
