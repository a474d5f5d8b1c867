//! The recovery ramp of a site that answers again. Timely answers lead to a step up, which different gateways take at different
//! moments; late answers lead to a step down.

use chalkdeck_time::{TimeDelta, Timestamp};

/// The fraction of its capacity that a site with cold endpoints is given first.
const INITIAL_FRACTION_COLD: f64 = 0.2;
/// The fraction of its capacity that a site with warm endpoints, which was only unreachable, is given first.
const INITIAL_FRACTION_WARM: f64 = 0.4;
/// Each step up multiplies the fraction by this.
const STEP_UP_FACTOR: f64 = 1.6;
/// Each step down multiplies the fraction by this.
const STEP_DOWN_FACTOR: f64 = 0.5;
/// Steps down do not go below this fraction, because less load gives too few answers to judge the site by.
const MIN_FRACTION: f64 = 0.02;
/// An answer with this [`congestion`](crate::capacity::congestion) or more is late.
const LATE_CONGESTION: f64 = 0.5;
/// Timely answers that a step up requires.
const TIMELY_ANSWERS_FOR_STEP_UP: u32 = 3;
/// Late answers that a step down requires at least.
const MIN_LATE_ANSWERS_FOR_STEP_DOWN: u32 = 2;
/// A step down requires that more than this fraction of the step's answers is late.
const LATE_FRACTION_FOR_STEP_DOWN: f64 = 0.2;
/// Minimum duration of a recovery that ends without the full load, because too few requests need the site.
const MIN_IDLE_RECOVERY: TimeDelta = TimeDelta::from_secs(10);
/// Timely answers in a row that such a recovery requires.
const CONSECUTIVE_ANSWERS_FOR_IDLE_RECOVERY: u32 = 4;
/// The nominal duration of a step. A step lasts at least three quarters of it, plus an offset of up to half of it that differs
/// between gateways.
const STEP_DURATION: TimeDelta = TimeDelta::from_millis(400);
/// Each step down doubles the step duration, up to this.
const MAX_STEP_DURATION: TimeDelta = TimeDelta::from_millis(6_400);

/// Whether the endpoints of a recovering site are cold or warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RampStart {
    /// Some endpoints are still in their slow start.
    Cold,
    /// All endpoints have finished their slow start.
    Warm,
}

/// The recovery ramp of one site at one gateway.
#[derive(Clone, Debug)]
pub struct RecoveryRamp {
    fraction: f64,
    seed: u64,
    step_count: u64,
    step_started_at: Timestamp,
    step_duration: TimeDelta,
    timely_answers: u32,
    late_answers: u32,
    consecutive_timely_answers: u32,
    started_at: Timestamp,
}

impl RecoveryRamp {
    /// Starts a ramp on its first step. `seed` differs between gateways and sites.
    pub fn new(now: Timestamp, seed: u64, start: RampStart) -> RecoveryRamp {
        let fraction = match start {
            RampStart::Cold => INITIAL_FRACTION_COLD,
            RampStart::Warm => INITIAL_FRACTION_WARM,
        };
        RecoveryRamp {
            fraction,
            seed,
            step_count: 0,
            step_started_at: now,
            step_duration: STEP_DURATION,
            timely_answers: 0,
            late_answers: 0,
            consecutive_timely_answers: 0,
            started_at: now,
        }
    }

    /// The fraction of its capacity that the site is given, 0 to 1.
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Raises the fraction to at least `fraction` without starting a new step.
    pub(crate) fn raise_to(&mut self, fraction: f64) {
        self.fraction = self.fraction.max(fraction);
    }

    /// Records an ended attempt with its [`congestion`](crate::capacity::congestion), which is 1 if there was no answer.
    pub fn record_attempt(&mut self, now: Timestamp, congestion: f64) {
        if congestion < LATE_CONGESTION {
            self.timely_answers += 1;
            self.consecutive_timely_answers += 1;
            return;
        }
        self.late_answers += 1;
        self.consecutive_timely_answers = 0;
        let answers = f64::from(self.timely_answers + self.late_answers);
        let exceeds_late_fraction =
            f64::from(self.late_answers) > answers * LATE_FRACTION_FOR_STEP_DOWN;
        if self.late_answers >= MIN_LATE_ANSWERS_FOR_STEP_DOWN && exceeds_late_fraction {
            self.step_duration = (self.step_duration * 2).min(MAX_STEP_DURATION);
            let lowered = (self.fraction * STEP_DOWN_FACTOR)
                .max(MIN_FRACTION)
                .min(self.fraction);
            self.start_step(now, lowered);
        }
    }

    /// Advances the ramp to `now`. `sustainable` is the fraction of the site's capacity that its endpoints can serve by now for all
    /// gateways together.
    pub fn advance(&mut self, now: Timestamp, sustainable: f64) {
        let has_earned_step = self.timely_answers >= TIMELY_ANSWERS_FOR_STEP_UP;
        if has_earned_step && now >= self.step_end() && self.fraction < sustainable {
            self.start_step(now, (self.fraction * STEP_UP_FACTOR).min(1.0));
        }
        self.fraction = self.fraction.min(sustainable);
    }

    /// Whether the recovery is over: either the site got its whole capacity and answered in time, or its endpoints are warm
    /// (`sustainable` is 1) and it answered the few requests that it got in time.
    pub fn is_complete(&self, now: Timestamp, sustainable: f64) -> bool {
        let is_idle_recovery_over = now >= self.started_at + MIN_IDLE_RECOVERY
            && sustainable >= 1.0
            && self.consecutive_timely_answers >= CONSECUTIVE_ANSWERS_FOR_IDLE_RECOVERY;
        let is_full_load_sustained =
            self.fraction >= 1.0 && self.timely_answers >= TIMELY_ANSWERS_FOR_STEP_UP;
        is_full_load_sustained || is_idle_recovery_over
    }

    /// The earliest end of the current step, including the gateway's offset.
    fn step_end(&self) -> Timestamp {
        let step_duration = self.step_duration.as_micros();
        let offset = fastrand::Rng::with_seed(self.seed ^ self.step_count).u64(..step_duration / 2);
        self.step_started_at + TimeDelta::from_micros(step_duration * 3 / 4 + offset)
    }

    fn start_step(&mut self, now: Timestamp, fraction: f64) {
        self.step_count += 1;
        self.fraction = fraction;
        self.step_started_at = now;
        self.timely_answers = 0;
        self.late_answers = 0;
    }
}
