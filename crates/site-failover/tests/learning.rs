//! What rooms and the level learn, and what they must not.
use chalkdeck_site_failover::level::Level;
use chalkdeck_site_failover::pace::Pace;
use chalkdeck_site_failover::room::{strain, Room};

const SECOND: u64 = 1_000_000;
const AIM: u64 = SECOND / 2;

/// So many answers a second for so long, each of one unit.
fn answers(
    room: &mut Room,
    from: u64,
    seconds: u64,
    a_second: u64,
    strained: f64,
    least: f64,
) -> u64 {
    for i in 0..seconds * a_second {
        let now = from + i * SECOND / a_second;
        room.look(now);
        room.ended(now, 1.0, strained, least);
    }
    from + seconds * SECOND
}

#[test]
fn a_room_is_learnt_from_strain_and_stays_near_what_came_back() {
    let mut room = Room::default();
    let now = answers(&mut room, SECOND, 4, 50, 0.0, 5.0);
    assert_eq!(room.most(), None, "no bound was met");
    answers(&mut room, now, 4, 50, 1.0, 5.0);
    let most = room.most().expect("a bound was met");
    assert!(
        (40.0..50.0).contains(&most),
        "{most} with 50 a second coming back"
    );
}

#[test]
fn strain_on_a_trickle_is_others_doing() {
    let mut room = Room::default();
    answers(&mut room, SECOND, 4, 2, 1.0, 5.0);
    assert_eq!(room.most(), None);
}

#[test]
fn a_bound_that_is_not_met_opens_and_is_forgotten() {
    let mut room = Room::default();
    let now = answers(&mut room, SECOND, 4, 50, 1.0, 5.0);
    answers(&mut room, now, 60, 5, 0.0, 5.0);
    assert_eq!(room.most(), None);
}

#[test]
fn a_jam_of_a_second_does_not_shut_out_what_is_borne() {
    let mut level = Level::default();
    (0..200).for_each(|_| level.ended(true, AIM, AIM, 0.8));
    assert!((0.7..0.75).contains(&level.0), "{}", level.0);
    (0..200).for_each(|_| level.ended(true, AIM / 10, AIM, 0.8));
    assert_eq!(level.0, 1.0);
}

#[test]
fn a_wait_in_vain_tells_more_than_a_late_answer_and_a_quotas_refusal_nothing() {
    let after = |served: bool, waited: u64| {
        let mut level = Level(0.9);
        level.ended(served, waited, AIM, 0.0);
        level.0
    };
    assert!(after(false, AIM * 4 / 10) < after(true, AIM));
    assert!(after(true, AIM) < 0.9 && after(true, AIM / 10) > 0.9);
    assert_eq!(after(false, AIM / 10), 0.9);
}

#[test]
fn strain_is_the_part_of_the_time_that_an_answer_took() {
    assert_eq!((strain(AIM / 4, AIM), strain(AIM, AIM)), (0.0, 1.0));
    assert!((strain(AIM * 6 / 10, AIM) - 0.5).abs() < 1e-6);
}

/// So many answers, then a look after a second.
fn step(pace: &mut Pace, now: &mut u64, good: u32, doubtful: u32) -> f64 {
    (0..good).for_each(|_| pace.ended(*now, 0.0));
    (0..doubtful).for_each(|_| pace.ended(*now, 1.0));
    *now += SECOND;
    pace.look(*now, 1.0);
    pace.part
}

#[test]
fn a_step_is_earned_by_answers_in_time_and_undone_by_doubts() {
    let (mut pace, mut now) = (Pace::begin(0, 7, true), 0);
    let first = pace.part;
    assert_eq!(
        step(&mut pace, &mut now, 2, 0),
        first,
        "two answers earn nothing"
    );
    let second = step(&mut pace, &mut now, 2, 0);
    assert!(second > first);
    assert_eq!(
        step(&mut pace, &mut now, 0, 1),
        second,
        "one late answer is none"
    );
    assert!(
        step(&mut pace, &mut now, 0, 1) < second,
        "two are a step back"
    );
    let low = pace.part;
    assert!(
        step(&mut pace, &mut now, 9, 2) >= low,
        "doubts among many undo nothing"
    );
}

#[test]
fn a_return_that_nobody_needs_ends_with_warm_servers_and_answers_in_time() {
    let mut pace = Pace::begin(0, 7, false);
    (0..4).for_each(|_| pace.ended(SECOND, 0.0));
    assert!(
        !pace.done(9 * SECOND, 1.0) && !pace.done(11 * SECOND, 0.9) && pace.done(11 * SECOND, 1.0)
    );
    pace.ended(12 * SECOND, 1.0);
    assert!(!pace.done(13 * SECOND, 1.0), "a doubt begins the row anew");
}

#[test]
fn gateways_take_their_steps_at_different_moments() {
    let stepped = |seed: u64| {
        let mut pace = Pace::begin(0, seed, true);
        (0..3).for_each(|_| pace.ended(0, 0.0));
        let first = pace.part;
        (0..1_000).map(|ms| ms * 1_000).find(|&now| {
            pace.look(now, 1.0);
            pace.part > first
        })
    };
    let mut moments: Vec<u64> = (0..12).filter_map(stepped).collect();
    assert_eq!(moments.len(), 12);
    moments.sort_unstable();
    assert!(
        moments[0] >= 300_000 && moments[11] - moments[0] > 100_000,
        "{moments:?}"
    );
}
