//! How answers change the learned capacity, the admission level and the recovery ramp, and which answers must not change them.

use chalkdeck_site_failover::admission::AdmissionLevel;
use chalkdeck_site_failover::capacity::{congestion, LearnedCapacity};
use chalkdeck_site_failover::ramp::{RampStart, RecoveryRamp};
use chalkdeck_site_failover::{CompletedRequest, FinalAnswer};
use chalkdeck_time::{TimeDelta, Timestamp};

const SECOND: TimeDelta = TimeDelta::from_secs(1);
const OBJECTIVE: TimeDelta = TimeDelta::from_millis(500);
/// A throughput below this, in units per second, sets no limit.
const MIN_LIMIT: f64 = 5.0;

/// A stream of answers of one unit each.
struct AnswerStream {
    seconds: u64,
    per_second: u64,
    congestion: f64,
}

impl AnswerStream {
    /// Records the stream in the capacity from `start` on and returns its end.
    fn record(&self, capacity: &mut LearnedCapacity, start: Timestamp) -> Timestamp {
        let interval = TimeDelta::from_micros(SECOND.as_micros() / self.per_second);
        for number in 0..self.seconds * self.per_second {
            let now = start + interval * number;
            capacity.advance(now);
            capacity.record_answer(now, 1.0, self.congestion, MIN_LIMIT);
        }
        start + SECOND * self.seconds
    }
}

fn at(span: TimeDelta) -> Timestamp {
    Timestamp::ZERO + span
}

/// This many tenths of the latency objective.
fn tenths_of_objective(tenths: u64) -> TimeDelta {
    TimeDelta::from_micros(OBJECTIVE.as_micros() * tenths / 10)
}

fn complete(
    level: &mut AdmissionLevel,
    answer: FinalAnswer,
    latency: TimeDelta,
    throughput_ratio: f64,
) {
    let request = CompletedRequest {
        answer,
        latency,
        objective: OBJECTIVE,
    };
    level.record_completion(request, throughput_ratio);
}

#[test]
fn congested_answers_set_a_limit_near_the_throughput() {
    let mut capacity = LearnedCapacity::default();
    let uncongested = AnswerStream {
        seconds: 4,
        per_second: 50,
        congestion: 0.0,
    };
    let now = uncongested.record(&mut capacity, at(SECOND));
    assert_eq!(capacity.limit(), None, "no limit was reached");
    let congested = AnswerStream {
        congestion: 1.0,
        ..uncongested
    };
    congested.record(&mut capacity, now);
    let limit = capacity.limit().expect("a limit was reached");
    assert!(
        (40.0..50.0).contains(&limit),
        "{limit} with 50 answers a second"
    );
}

#[test]
fn congestion_at_low_throughput_sets_no_limit() {
    let mut capacity = LearnedCapacity::default();
    let low_rate = AnswerStream {
        seconds: 4,
        per_second: 2,
        congestion: 1.0,
    };
    low_rate.record(&mut capacity, at(SECOND));
    assert_eq!(capacity.limit(), None);
}

#[test]
fn limit_that_is_not_reached_grows_and_is_dropped() {
    let mut capacity = LearnedCapacity::default();
    let congested = AnswerStream {
        seconds: 4,
        per_second: 50,
        congestion: 1.0,
    };
    let now = congested.record(&mut capacity, at(SECOND));
    let low_rate = AnswerStream {
        seconds: 60,
        per_second: 5,
        congestion: 0.0,
    };
    low_rate.record(&mut capacity, now);
    assert_eq!(capacity.limit(), None);
}

#[test]
fn short_congestion_does_not_shed_load_that_is_served() {
    let mut level = AdmissionLevel::default();
    for _ in 0..200 {
        complete(&mut level, FinalAnswer::Served, OBJECTIVE, 0.8);
    }
    assert!((0.7..0.75).contains(&level.0), "{}", level.0);
    for _ in 0..200 {
        let early = tenths_of_objective(1);
        complete(&mut level, FinalAnswer::Served, early, 0.8);
    }
    assert_eq!(level.0, 1.0);
}

#[test]
fn late_rejection_lowers_admission_more_than_a_late_answer_and_early_rejection_not_at_all() {
    let level_after = |answer: FinalAnswer, latency: TimeDelta| {
        let mut level = AdmissionLevel(0.9);
        complete(&mut level, answer, latency, 0.0);
        level.0
    };
    let late_answer = level_after(FinalAnswer::Served, OBJECTIVE);
    assert!(level_after(FinalAnswer::Rejected, tenths_of_objective(4)) < late_answer);
    assert!(late_answer < 0.9 && level_after(FinalAnswer::Served, tenths_of_objective(1)) > 0.9);
    assert_eq!(
        level_after(FinalAnswer::Rejected, tenths_of_objective(1)),
        0.9
    );
}

#[test]
fn congestion_grows_with_latency_relative_to_the_objective() {
    let quarter = TimeDelta::from_micros(OBJECTIVE.as_micros() / 4);
    assert_eq!(
        (
            congestion(quarter, OBJECTIVE),
            congestion(OBJECTIVE, OBJECTIVE)
        ),
        (0.0, 1.0)
    );
    assert!((congestion(tenths_of_objective(6), OBJECTIVE) - 0.5).abs() < 1e-6);
}

/// Records timely and late answers at `now`, advances the ramp by a second, and returns its fraction.
fn fraction_after(ramp: &mut RecoveryRamp, now: &mut Timestamp, timely: u32, late: u32) -> f64 {
    for _ in 0..timely {
        ramp.record_attempt(*now, 0.0);
    }
    for _ in 0..late {
        ramp.record_attempt(*now, 1.0);
    }
    *now = *now + SECOND;
    ramp.advance(*now, 1.0);
    ramp.fraction()
}

#[test]
fn timely_answers_lead_to_a_step_up_and_late_ones_to_a_step_down() {
    let mut now = Timestamp::ZERO;
    let mut ramp = RecoveryRamp::new(now, 7, RampStart::Cold);
    let first = ramp.fraction();
    assert_eq!(
        fraction_after(&mut ramp, &mut now, 2, 0),
        first,
        "two timely answers are too few for a step up"
    );
    let second = fraction_after(&mut ramp, &mut now, 2, 0);
    assert!(second > first);
    assert_eq!(
        fraction_after(&mut ramp, &mut now, 0, 1),
        second,
        "one late answer is too few for a step down"
    );
    assert!(
        fraction_after(&mut ramp, &mut now, 0, 1) < second,
        "two late answers lead to a step down"
    );
    let low = ramp.fraction();
    assert!(
        fraction_after(&mut ramp, &mut now, 9, 2) >= low,
        "a few late answers among many lead to no step down"
    );
}

#[test]
fn recovery_without_load_ends_once_endpoints_are_warm_and_answers_are_timely() {
    let mut ramp = RecoveryRamp::new(Timestamp::ZERO, 7, RampStart::Warm);
    for _ in 0..4 {
        ramp.record_attempt(at(SECOND), 0.0);
    }
    assert!(
        !ramp.is_complete(at(SECOND * 9), 1.0)
            && !ramp.is_complete(at(SECOND * 11), 0.9)
            && ramp.is_complete(at(SECOND * 11), 1.0)
    );
    ramp.record_attempt(at(SECOND * 12), 1.0);
    assert!(
        !ramp.is_complete(at(SECOND * 13), 1.0),
        "a late answer resets the count of consecutive timely answers"
    );
}

#[test]
fn gateways_take_their_steps_at_different_moments() {
    let first_step = |seed: u64| {
        let mut ramp = RecoveryRamp::new(Timestamp::ZERO, seed, RampStart::Cold);
        for _ in 0..3 {
            ramp.record_attempt(Timestamp::ZERO, 0.0);
        }
        let first = ramp.fraction();
        (0..1_000).map(Timestamp::from_millis).find(|&now| {
            ramp.advance(now, 1.0);
            ramp.fraction() > first
        })
    };
    let mut moments: Vec<Timestamp> = (0..12).filter_map(first_step).collect();
    assert_eq!(moments.len(), 12);
    moments.sort_unstable();
    assert!(
        moments[0] >= Timestamp::from_millis(300)
            && moments[11] - moments[0] > TimeDelta::from_millis(100),
        "{moments:?}"
    );
}
