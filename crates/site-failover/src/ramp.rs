//! The recovery ramp of a site that answers again: steps that answers in time earn, taken at different moments by different
//! gateways, and given back when answers are late.

use chalkdeck_time::{TimeDelta, Timestamp};

/// The first step of a site whose endpoints start cold.
const FIRST_PART_COLD: f64 = 0.2;
/// The first step of a site that was only unreachable.
const FIRST_PART_WARM: f64 = 0.4;
/// What a step up multiplies the part by.
const STEP_UP: f64 = 1.6;
/// What a step down multiplies the part by.
const STEP_DOWN: f64 = 0.5;
/// Steps down leave this much; from less nothing could be learnt.
const MIN_PART: f64 = 0.02;
/// Answers with this strain or more are late.
const LATE_STRAIN: f64 = 0.5;
/// Answers in time that earn a step up.
const ANSWERS_FOR_STEP: u32 = 3;
/// Late answers that a step down takes at least.
const LATE_ANSWERS_FOR_STEP_DOWN: u32 = 2;
/// A step down follows when more than this part of the step's answers is late.
const LATE_PART_FOR_STEP_DOWN: f64 = 0.2;
/// A recovery that no load needs may end after this time.
const IDLE_RECOVERY: TimeDelta = TimeDelta::from_secs(10);
/// Answers in time in a row that end a recovery that no load needs.
const IDLE_ANSWERS_IN_ROW: u32 = 4;
/// Three quarters of this is the least time on a step; each gateway adds an offset of its own of up to half of it.
const DWELL: TimeDelta = TimeDelta::from_millis(400);
/// The longest dwell that late answers lead to.
const MAX_DWELL: TimeDelta = TimeDelta::from_millis(6_400);
/// Whether a recovering site's endpoints have to warm up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RampStart {
    /// Some endpoints started a short time ago.
    Cold,
    /// All endpoints have run for long enough.
    Warm,
}

/// The ramp of one site at one gateway.
#[derive(Clone, Debug)]
pub struct RecoveryRamp {
    part: f64,
    seed: u64,
    steps: u64,
    step_since: Timestamp,
    dwell: TimeDelta,
    answers_in_time: u32,
    late_answers: u32,
    answers_in_time_in_row: u32,
    started_at: Timestamp,
}

impl RecoveryRamp {
    /// A ramp on its first step. Gateways and sites are told apart by `seed`.
    pub fn new(now: Timestamp, seed: u64, start: RampStart) -> RecoveryRamp {
        let part = match start {
            RampStart::Cold => FIRST_PART_COLD,
            RampStart::Warm => FIRST_PART_WARM,
        };
        RecoveryRamp {
            part,
            seed,
            steps: 0,
            step_since: now,
            dwell: DWELL,
            answers_in_time: 0,
            late_answers: 0,
            answers_in_time_in_row: 0,
            started_at: now,
        }
    }

    /// The part of its capacity that the site is given, 0 to 1.
    pub fn part(&self) -> f64 {
        self.part
    }

    /// Raises the part to at least `part` without a step.
    pub(crate) fn raise_to(&mut self, part: f64) {
        self.part = self.part.max(part);
    }

    /// Takes the end of an attempt into account: its [`strain`](crate::capacity::strain), or 1 for no answer.
    pub fn record_answer(&mut self, now: Timestamp, strain: f64) {
        if strain < LATE_STRAIN {
            self.answers_in_time += 1;
            self.answers_in_time_in_row += 1;
            return;
        }
        self.late_answers += 1;
        self.answers_in_time_in_row = 0;
        let answers = f64::from(self.answers_in_time + self.late_answers);
        let is_often_late = f64::from(self.late_answers) > answers * LATE_PART_FOR_STEP_DOWN;
        if self.late_answers >= LATE_ANSWERS_FOR_STEP_DOWN && is_often_late {
            self.dwell = (self.dwell * 2).min(MAX_DWELL);
            let lowered = (self.part * STEP_DOWN).max(MIN_PART).min(self.part);
            self.start_step(now, lowered);
        }
    }

    /// Lets time pass. `bearable` is the part that the site's endpoints bear by now from all gateways together.
    pub fn advance(&mut self, now: Timestamp, bearable: f64) {
        let is_earned = self.answers_in_time >= ANSWERS_FOR_STEP;
        if is_earned && now >= self.step_end() && self.part < bearable {
            self.start_step(now, (self.part * STEP_UP).min(1.0));
        }
        self.part = self.part.min(bearable);
    }

    /// Whether the recovery is over: the whole part was given and borne; or the endpoints are warm (`bearable` is 1) and the few
    /// requests that there were for the site were answered in time.
    pub fn is_complete(&self, now: Timestamp, bearable: f64) -> bool {
        let is_idle_recovery_over = now >= self.started_at + IDLE_RECOVERY
            && bearable >= 1.0
            && self.answers_in_time_in_row >= IDLE_ANSWERS_IN_ROW;
        let is_whole_part_borne = self.part >= 1.0 && self.answers_in_time >= ANSWERS_FOR_STEP;
        is_whole_part_borne || is_idle_recovery_over
    }

    /// The earliest end of the present step, with the gateway's own offset.
    fn step_end(&self) -> Timestamp {
        let dwell = self.dwell.as_micros();
        let offset = fastrand::Rng::with_seed(self.seed ^ self.steps).u64(..dwell / 2);
        self.step_since + TimeDelta::from_micros(dwell * 3 / 4 + offset)
    }

    fn start_step(&mut self, now: Timestamp, part: f64) {
        self.steps += 1;
        self.part = part;
        self.step_since = now;
        self.answers_in_time = 0;
        self.late_answers = 0;
    }
}
