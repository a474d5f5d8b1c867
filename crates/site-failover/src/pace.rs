//! The pace of a return: steps that answers in time earn, taken at different moments by different gateways, and given
//! back at the first doubt. A site that is lost again and again is held out longer each time, up to a bound.

/// The first step: of a site whose servers start cold, and of one that was only out of reach.
const FIRST: f64 = 0.2;
const FIRST_WARM: f64 = 0.4;
/// What a step multiplies the part by, and what a doubt does.
const STEP: f64 = 1.6;
const BACK: f64 = 0.5;
/// Doubts leave this much, or nothing would be learnt any more.
const LEAST: f64 = 0.02;
/// Answers that earn a step; doubtful ones among them, as a part, that undo one.
const EARNS: u32 = 3;
const DOUBT: f64 = 0.2;
/// A return that nobody needs is over after this, with so many answers in time in a row.
const IDLE: u64 = 10_000_000;
const IDLE_EARNS: u32 = 4;
/// The least time on a step, before the gateway's own offset.
const DWELL: u64 = 400_000;
/// The longest that doubts can make it.
const DWELL_MOST: u64 = 6_400_000;
/// How long a site stays out after a loss; each further loss doubles it, up to the bound.
const HOLD: u64 = 1_000_000;
const HOLD_DOUBLINGS: u32 = 5;
/// The longest hold-out.
pub const HOLD_MOST: u64 = HOLD << HOLD_DOUBLINGS;
/// After so long without a loss, losses are forgotten one by one.
const FORGIVE: u64 = 120_000_000;

/// How a site climbs.
#[derive(Clone, Debug)]
pub struct Pace {
    /// The part of its room that it is given.
    pub part: f64,
    seed: u64,
    steps: u64,
    since: u64,
    dwell: u64,
    good: u32,
    doubts: u32,
    /// In time since the last doubt.
    in_row: u32,
    begun: u64,
}

impl Pace {
    /// At the first step. `seed` tells gateways and sites apart.
    pub fn begin(now: u64, seed: u64, cold: bool) -> Pace {
        let part = if cold { FIRST } else { FIRST_WARM };
        Pace {
            part,
            seed,
            steps: 0,
            since: now,
            dwell: DWELL,
            good: 0,
            doubts: 0,
            in_row: 0,
            begun: now,
        }
    }

    /// An answer came back; `strain` 0 to 1, or 1 for none.
    pub fn ended(&mut self, now: u64, strain: f64) {
        if strain < 0.5 {
            self.good += 1;
            self.in_row += 1;
            return;
        }
        self.doubts += 1;
        self.in_row = 0;
        let all = f64::from(self.good + self.doubts);
        if self.doubts >= 2 && f64::from(self.doubts) > all * DOUBT {
            self.dwell = (self.dwell * 2).min(DWELL_MOST);
            self.enter(now, (self.part * BACK).max(LEAST).min(self.part));
        }
    }

    /// Time passes; `most`: the part that its servers bear by now, from all gateways together.
    pub fn look(&mut self, now: u64, most: f64) {
        let offset = fastrand::Rng::with_seed(self.seed ^ self.steps).u64(..self.dwell / 2);
        if self.good >= EARNS && now >= self.since + self.dwell * 3 / 4 + offset && self.part < most
        {
            self.enter(now, (self.part * STEP).min(1.0));
        }
        self.part = self.part.min(most);
    }

    /// The whole part is given and was borne; or the servers are warm (`bears` 1), and those few requests that were sent
    /// there for want of any need came back in time.
    pub fn done(&self, now: u64, bears: f64) -> bool {
        let idle = now >= self.begun + IDLE && bears >= 1.0 && self.in_row >= IDLE_EARNS;
        self.part >= 1.0 && self.good >= EARNS || idle
    }

    fn enter(&mut self, now: u64, part: f64) {
        self.steps += 1;
        (self.part, self.since, self.good, self.doubts) = (part, now, 0, 0);
    }
}

/// What losses in the past cost a site.
#[derive(Clone, Debug, Default)]
pub struct HoldOut {
    /// Losses not yet forgiven.
    pub losses: u32,
    /// Kept out until then.
    pub until: u64,
    last: u64,
}

impl HoldOut {
    /// It is lost.
    pub fn lost(&mut self, now: u64) {
        let forgiven = (now.saturating_sub(self.last) / FORGIVE).min(u64::from(self.losses)) as u32;
        self.losses = self.losses - forgiven + 1;
        self.last = now;
        self.until = now + (HOLD << (self.losses - 1).min(HOLD_DOUBLINGS));
    }
}
