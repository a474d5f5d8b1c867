//! What the capacity, the admission level and the ramp learn from answers, and what they must not.
use chalkdeck_site_failover::admission::AdmissionLevel;
use chalkdeck_site_failover::capacity::{congestion, LearnedCapacity};
use chalkdeck_site_failover::ramp::{RampStart, RecoveryRamp};
use chalkdeck_site_failover::{CompletedRequest, FinalAnswer};
use chalkdeck_time::{TimeDelta, Timestamp};

const SECOND: TimeDelta = TimeDelta::from_secs(1);
const OBJECTIVE: TimeDelta = TimeDelta::from_millis(500);
/// A limit is not learnt from less than this, in units a second.
const MIN_LIMIT: f64 = 5.0;

/// A stream of answers of one unit each.
struct Answers {
    seconds: u64,
    per_second: u64,
    congestion: f64,
}

impl Answers {
    /// Gives them to the capacity from `start` on and returns their end.
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

/// The part of the objective that this many tenths are.
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
fn strained_answers_set_a_limit_near_the_throughput() {
    let mut capacity = LearnedCapacity::default();
    let calm = Answers {
        seconds: 4,
        per_second: 50,
        congestion: 0.0,
    };
    let now = calm.record(&mut capacity, at(SECOND));
    assert_eq!(capacity.limit(), None, "no limit was met");
    let congested = Answers {
        congestion: 1.0,
        ..calm
    };
    congested.record(&mut capacity, now);
    let limit = capacity.limit().expect("a limit was met");
    assert!(
        (40.0..50.0).contains(&limit),
        "{limit} with 50 answers a second"
    );
}

#[test]
fn strain_on_a_small_throughput_sets_no_limit() {
    let mut capacity = LearnedCapacity::default();
    let trickle = Answers {
        seconds: 4,
        per_second: 2,
        congestion: 1.0,
    };
    trickle.record(&mut capacity, at(SECOND));
    assert_eq!(capacity.limit(), None);
}

#[test]
fn limit_that_is_not_met_grows_and_is_forgotten() {
    let mut capacity = LearnedCapacity::default();
    let congested = Answers {
        seconds: 4,
        per_second: 50,
        congestion: 1.0,
    };
    let now = congested.record(&mut capacity, at(SECOND));
    let trickle = Answers {
        seconds: 60,
        per_second: 5,
        congestion: 0.0,
    };
    trickle.record(&mut capacity, now);
    assert_eq!(capacity.limit(), None);
}

#[test]
fn short_congestion_does_not_shed_what_is_borne() {
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
fn wait_in_vain_lowers_admission_more_than_a_late_answer_and_an_early_rejection_not_at_all() {
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
fn strain_grows_with_the_part_of_the_objective_that_an_answer_took() {
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

/// Gives a ramp answers at `now`, lets a second pass, and returns its part.
fn part_after(ramp: &mut RecoveryRamp, now: &mut Timestamp, in_time: u32, late: u32) -> f64 {
    for _ in 0..in_time {
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
fn answers_in_time_earn_a_step_and_late_ones_undo_it() {
    let mut now = Timestamp::ZERO;
    let mut ramp = RecoveryRamp::new(now, 7, RampStart::Cold);
    let first = ramp.fraction();
    assert_eq!(
        part_after(&mut ramp, &mut now, 2, 0),
        first,
        "two answers earn nothing"
    );
    let second = part_after(&mut ramp, &mut now, 2, 0);
    assert!(second > first);
    assert_eq!(
        part_after(&mut ramp, &mut now, 0, 1),
        second,
        "one late answer undoes nothing"
    );
    assert!(
        part_after(&mut ramp, &mut now, 0, 1) < second,
        "two are a step back"
    );
    let low = ramp.fraction();
    assert!(
        part_after(&mut ramp, &mut now, 9, 2) >= low,
        "a few late answers among many undo nothing"
    );
}

#[test]
fn recovery_that_no_load_needs_ends_with_warm_endpoints_and_answers_in_time() {
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
        "a late answer begins the row anew"
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
