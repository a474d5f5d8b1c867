//! Tests of when pending commands are proposed again.

use super::*;

const ORIGIN: u64 = 7;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn add(pending: &mut PendingCommands, now: Timestamp) -> u64 {
    let command = wire::Command::default();
    let command = pending.add(command, Requester::Replica, ORIGIN, now);
    command.origin_number
}

/// Proposes a command each 100 ms, each decided after `decision_ms`, and returns how often one is proposed in the mean.
fn proposals_per_command(decision_ms: u64) -> f64 {
    let mut pending = PendingCommands::default();
    let mut open: Vec<(u64, u64)> = Vec::new();
    let (mut commands, mut repeats) = (0, 0);
    for now in (0..60_000).step_by(20) {
        if now % 100 == 0 {
            let number = add(&mut pending, at(now));
            open.push((now + decision_ms, number));
            commands += 1;
        }
        open.retain(|(decided_at, number)| {
            if *decided_at <= now {
                pending.remove(*number, at(now));
            }
            *decided_at > now
        });
        repeats += pending.due_for_retry(at(now)).count();
    }
    1.0 + repeats as f64 / f64::from(commands)
}

/// Guards against a slow cluster whose log fills with repeats of commands that are already on their way.
#[test]
fn decisions_take_longer_than_the_retry_interval_then_commands_are_not_repeated_each_time() {
    assert!(proposals_per_command(100) <= 1.0);
    for decision_ms in [600, 900, 1_500] {
        let proposals = proposals_per_command(decision_ms);
        assert!(proposals < 1.05, "{decision_ms} ms: {proposals}");
    }
}

/// Guards against a command that was lost on its way and waits long for its repeat because decisions were slow for a while.
#[test]
fn command_is_lost_then_repeated_soon_also_after_a_time_without_decisions() {
    let mut pending = PendingCommands::default();
    let slow = add(&mut pending, at(0));
    pending.remove(slow, at(20_000));
    add(&mut pending, at(20_000));
    let max_interval = MAX_RETRY_INTERVAL.as_millis();
    assert_eq!(pending.due_for_retry(at(20_000 + max_interval)).count(), 1);
    for _ in 0..20 {
        let quick = add(&mut pending, at(30_000));
        pending.remove(quick, at(30_010));
    }
    add(&mut pending, at(30_000));
    let due = pending.due_for_retry(at(30_000 + MIN_RETRY_INTERVAL.as_millis()));
    assert_eq!(due.count(), 2);
}
