//! Tests of the discovery client against an agent that responds, but late: every response counts, silent connections beside it are
//! replaced, and the calls do not load it more than it can serve. All times are in microseconds.

use super::test_support::*;
use super::*;

/// The latest time at which the platform counts a change as told after discovery had it.
const TOLD_AFTER: u64 = 6_000_000;
const DRAIN_GRACES: [u64; 2] = [250_000, DRAIN_GRACE];

fn setup(drain_grace: u64) -> Setup {
    let timing = Timing::new(TimeDelta::from_micros(drain_grace));
    let no_delay = ResponseDelay::default();
    let mut setup = Setup::with_timing(AgentMode::Responds, with_length, timing, no_delay);
    setup.advance(1_000_000);
    assert_eq!(setup.version, setup.published, "the list is up to date");
    setup
}

/// Checks that changes are applied in time, from the first one after the agent becomes slow.
fn assert_applied_in_time(setup: &mut Setup, drain_grace: u64, case: &str) {
    for change in 0..4 {
        let delay = setup.publish_delay();
        assert!(
            delay <= TOLD_AFTER + drain_grace,
            "{case}, grace {drain_grace}, change {change}: applied after {delay}"
        );
        setup.advance(370_000);
    }
}

/// Guards against a fleet that never learns the list: responses that always arrive after the time-out of their call were dropped.
#[test]
fn agent_always_later_than_the_call_timeout_then_its_lists_are_applied() {
    for drain_grace in DRAIN_GRACES {
        for first_byte in [150_000, 400_000, 1_000_000, 2_500_000, 4_000_000] {
            let mut setup = setup(drain_grace);
            setup.response_delay.first_byte = first_byte;
            assert_applied_in_time(&mut setup, drain_grace, &format!("{first_byte} late"));
        }
    }
}

/// Guards against a response that is requested anew each time it takes longer than the time-out to arrive in pieces.
#[test]
fn response_in_pieces_over_more_than_the_call_timeout_then_applied() {
    for drain_grace in DRAIN_GRACES {
        for (first_byte, spread) in [(0, 1_000_000), (400_000, 3_000_000)] {
            let mut setup = setup(drain_grace);
            setup.response_delay = ResponseDelay {
                first_byte,
                spread,
                busy: 0,
            };
            assert_applied_in_time(&mut setup, drain_grace, &format!("pieces over {spread}"));
        }
    }
}

/// Guards against a process that starts beside a slow agent and serves by the configured list for good.
#[test]
fn agent_late_from_the_start_of_the_process_then_its_list_is_applied() {
    for drain_grace in DRAIN_GRACES {
        let timing = Timing::new(TimeDelta::from_micros(drain_grace));
        let delay = ResponseDelay {
            first_byte: 1_000_000,
            spread: 3_000_000,
            busy: 0,
        };
        let mut setup = Setup::with_timing(AgentMode::Responds, with_length, timing, delay);
        let elapsed = setup.delay_until_applied();
        assert!(
            elapsed <= TOLD_AFTER,
            "grace {drain_grace}: after {elapsed}"
        );
    }
}

/// Guards against waiting for a connection that has fallen silent while others are only late.
#[test]
fn connections_fall_silent_beside_a_late_agent_then_replaced_in_time() {
    for drain_grace in DRAIN_GRACES {
        for first_byte in [400_000, 2_500_000, 4_000_000] {
            let mut setup = setup(drain_grace);
            setup.response_delay.first_byte = first_byte;
            setup.silence_open_conns();
            let case = format!("silent, then {first_byte} late");
            assert_applied_in_time(&mut setup, drain_grace, &case);
            setup.advance(3_000_000);
            setup.silence_open_conns();
            let case = format!("{first_byte} late, then silent");
            assert_applied_in_time(&mut setup, drain_grace, &case);
            let silent = setup.silent_conns.clone();
            setup.advance(6_000_000);
            let is_open = |conn: &ConnId| setup.agent_conns.contains(conn);
            assert!(!silent.iter().any(is_open), "{case}: not closed");
        }
    }
}

/// Guards against a remembered response time that delays the replacement of a silent connection once the agent is quick again.
#[test]
fn agent_quick_again_and_a_connection_falls_silent_then_replaced_within_the_call_timeout() {
    for drain_grace in DRAIN_GRACES {
        let mut setup = setup(drain_grace);
        setup.response_delay.first_byte = 2_500_000;
        setup.advance(12_000_000);
        setup.response_delay = ResponseDelay::default();
        setup.advance(8_000_000);
        setup.silence_open_conns();
        let delay = setup.publish_delay();
        let timeout = Timing::new(TimeDelta::from_micros(drain_grace)).timeout;
        assert!(
            delay <= timeout.as_micros() + 3 * STEP + TOLERANCE,
            "grace {drain_grace}: {delay}"
        );
    }
}

/// Guards against calls that stay away after an outage of an agent that was slow before it.
#[test]
fn slow_agent_is_down_and_returns_then_called_within_the_call_timeout() {
    for drain_grace in DRAIN_GRACES {
        for outage in (6_000_000..7_000_000).step_by(130_000) {
            let mut setup = setup(drain_grace);
            setup.response_delay.first_byte = 2_500_000;
            setup.advance(12_000_000);
            setup.set_mode(AgentMode::Silent);
            setup.silence_open_conns();
            setup.advance(outage);
            setup.silence_open_conns();
            setup.response_delay = ResponseDelay::default();
            setup.set_mode(AgentMode::Responds);
            let delay = setup.publish_delay();
            let timeout = Timing::new(TimeDelta::from_micros(drain_grace)).timeout;
            assert!(
                delay <= timeout.as_micros() + 3 * STEP + TOLERANCE,
                "grace {drain_grace}, outage {outage}: {delay}"
            );
        }
    }
}

/// Guards against drains that are learned after the grace: with all calls in flight from before an outage, none began for twice the response
/// time of the slow agent.
#[test]
fn slow_agent_is_down_for_any_time_then_its_list_is_applied_within_the_grace_of_its_return() {
    for first_byte in [1_000_000, 2_500_000, 4_500_000] {
        for outage in (500_000..9_000_000).step_by(370_000) {
            let mut setup = setup(DRAIN_GRACE);
            setup.response_delay.first_byte = first_byte;
            setup.advance(15_000_000);
            setup.set_mode(AgentMode::Silent);
            setup.silence_open_conns();
            setup.advance(outage);
            setup.silence_open_conns();
            setup.response_delay = ResponseDelay::default();
            setup.set_mode(AgentMode::Responds);
            let delay = setup.publish_delay();
            assert!(
                delay <= DRAIN_GRACE + TOLERANCE,
                "{first_byte} late, outage {outage}: {delay}"
            );
        }
    }
}

/// Guards against repeats that load an agent more than it can serve, so that each response is later than the one before.
#[test]
fn agent_serves_one_call_at_a_time_then_calls_do_not_pile_up() {
    for drain_grace in DRAIN_GRACES {
        for busy in [100_000, 200_000, 400_000, 600_000] {
            let mut setup = setup(drain_grace);
            setup.response_delay.busy = busy;
            setup.advance(10_000_000);
            let before = setup.request_count;
            let span = 30_000_000;
            setup.advance(span);
            let served = span / busy;
            let requests = (setup.request_count - before) as u64;
            assert!(
                requests <= served + MAX_CALLS_IN_FLIGHT as u64,
                "grace {drain_grace}, busy {busy}: {requests} requests, {served} served"
            );
            assert_applied_in_time(&mut setup, drain_grace, &format!("busy {busy}"));
        }
    }
}

/// Guards against a descriptor for each repeat while the agent is silent.
#[test]
fn agent_silent_for_long_then_calls_in_flight_stay_bounded() {
    let mut setup = setup(250_000);
    setup.set_mode(AgentMode::Silent);
    for _ in 0..100 {
        setup.advance(1_000_000);
        let now = clock::now(&setup.engine);
        let in_flight = setup.discovery.metrics(now).calls_in_flight;
        assert!(
            (1..=MAX_CALLS_IN_FLIGHT).contains(&in_flight),
            "{in_flight}"
        );
    }
}

/// Guards against memory for a whole response of each repeat while a long response arrives slowly.
#[test]
fn long_response_in_pieces_then_partial_responses_stay_bounded() {
    let padded = |body: &str| with_length(&(body.to_string() + &" ".repeat(5 << 20)));
    let timing = Timing::new(TimeDelta::from_micros(DRAIN_GRACE));
    let delay = ResponseDelay {
        first_byte: 0,
        spread: 4_000_000,
        busy: 0,
    };
    let mut setup = Setup::with_timing(AgentMode::Responds, padded, timing, delay);
    let started_at = setup.engine.now();
    let mut most = 0;
    while setup.version != setup.published {
        setup.step();
        let calls = setup.discovery.calls.iter();
        most = most.max(calls.map(|call| call.exchange.buffered_bytes()).sum());
        assert!(most <= MAX_RESPONSE_BYTES, "{most}");
        let elapsed = setup.engine.now() - started_at;
        assert!(elapsed < 2 * TOLD_AFTER, "never applied");
    }
    assert!(most > 5 << 20, "{most}");
}

/// Guards against metrics that do not tell a slow agent from a silent one.
#[test]
fn late_responses_and_the_age_of_the_list_are_counted() {
    let mut setup = setup(250_000);
    let metrics = |setup: &Setup| setup.discovery.metrics(clock::now(&setup.engine));
    assert_eq!(metrics(&setup).late_responses, 0);
    let age = metrics(&setup).list_age.expect("a confirmed list");
    assert!(age.as_micros() < 250_000, "{age:?}");
    setup.response_delay.first_byte = 1_000_000;
    setup.advance(5_000_000);
    assert!(metrics(&setup).late_responses > 0 && metrics(&setup).repeated_calls > 0);
    let age = metrics(&setup).list_age.expect("a confirmed list");
    assert!((1_000_000..3_000_000).contains(&age.as_micros()), "{age:?}");
    setup.set_mode(AgentMode::Silent);
    setup.silence_open_conns();
    let late_responses = metrics(&setup).late_responses;
    setup.advance(5_000_000);
    assert_eq!(metrics(&setup).late_responses, late_responses);
    let age = metrics(&setup).list_age.expect("a confirmed list");
    assert!(age.as_micros() >= 5_000_000, "{age:?}");
}
