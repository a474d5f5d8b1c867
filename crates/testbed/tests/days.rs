//! Runs days with real processes. The audit must find no breach, and must find one if a fault is injected into the gateways' code.
use chalkdeck_proto::chalkdeck::lab::v1::{Day, Trouble};
use chalkdeck_testbed::audit::rules::{audit, Record, Verdict};
use chalkdeck_testbed::common::load_stats::LoadSummary;
use chalkdeck_testbed::common::process::Program;
use chalkdeck_testbed::common::script;
use chalkdeck_testbed::rig::day::RunOptions;
use chalkdeck_testbed::rig::{day, demo};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

fn program() -> Program {
    Program {
        exe: PathBuf::from(env!("CARGO_BIN_EXE_chalkdeck-lab")),
        leading_args: Vec::new(),
    }
}

struct DayResult {
    summary: LoadSummary,
    verdict: Verdict,
}

/// Serializes the days: they share the machine, and the result of a starved day says nothing about the gateway.
static DAY_LOCK: Mutex<()> = Mutex::new(());

fn run_day(name: &str, day: Day, fault: Option<&str>) -> DayResult {
    let _guard = DAY_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let dir = std::env::temp_dir().join(format!("chalkdeck-day-{}-{name}", std::process::id()));
    let options = RunOptions {
        fault: fault.map(String::from),
        ..RunOptions::default()
    };
    let summary = day::run(program(), day, &dir, &options).expect("the day runs");
    let verdict = audit(&Record::read(&dir).expect("the logs can be read"));
    if fault.is_some() || verdict.breaches.is_empty() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    DayResult { summary, verdict }
}

fn demo_day(seconds: u32, rate: f64, trouble: Trouble) -> Day {
    let mut day = demo::day().expect("the demo's day");
    day.seconds = seconds;
    day.load.as_mut().expect("a load").rate = rate;
    day.troubles = if trouble.kind.is_empty() {
        Vec::new()
    } else {
        vec![trouble]
    };
    day
}

fn trouble(kind: &str, target: &str, factor: f64, at_ms: u32, for_ms: u32) -> Trouble {
    Trouble {
        kind: kind.into(),
        at_ms,
        for_ms,
        target: target.into(),
        factor,
    }
}

#[test]
fn a_short_bad_day_breaks_no_rule() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("days/short.txtpb");
    let result = run_day("short", script::read(&path).expect("a valid day"), None);
    assert_eq!(result.verdict.breaches, []);
    let summary = &result.summary;
    assert_eq!(
        summary.sent,
        summary.served
            + summary.refused
            + summary.failed
            + summary.lost
            + summary.silent
            + summary.other,
        "every call has one outcome"
    );
    // The audit checks for late responses, as it allows for the difference between the times that two sockets record.
    assert_eq!((summary.silent, summary.other), (0, 0));
    assert!(
        summary.served > summary.sent / 3,
        "most calls inside the quotas are served: {summary:?}"
    );
}

/// Runs a day without a fault, in which the audit must find no breach, and with it, in which the rule must be broken.
fn assert_fault_is_detected(rule: u8, fault: &str, day: Day) {
    let without_fault = run_day(&format!("{fault}-off"), day.clone(), None);
    assert_eq!(without_fault.verdict.breaches, []);
    let with_fault = run_day(&format!("{fault}-on"), day, Some(fault));
    assert!(
        with_fault.verdict.has_breach_of(rule),
        "rule {rule}: {:?}",
        with_fault.verdict.breaches
    );
}

#[test]
fn lost_responses_are_detected() {
    assert_fault_is_detected(
        1,
        "lose",
        demo_day(3, 120.0, trouble("tenant_burst", "seed", 200.0, 200, 2_000)),
    );
}

#[test]
fn repeated_effects_are_detected() {
    assert_fault_is_detected(2, "repeat", demo_day(3, 150.0, Trouble::default()));
}

#[test]
fn calls_to_draining_servers_are_detected() {
    // Drains two zones at a load above the capacity of the third. With a single draining server of nine and a third of the load,
    // the gateways may avoid that server anyway, and the test would miss the fault.
    let mut day = demo_day(5, 170.0, Trouble::default());
    day.troubles = (3..9)
        .map(|server| trouble("drain", &server.to_string(), 0.0, 200, 4_700))
        .collect();
    assert_fault_is_detected(3, "drains", day);
}

#[test]
fn overloaded_cold_servers_are_detected() {
    assert_fault_is_detected(
        4,
        "cold",
        demo_day(7, 230.0, trouble("zone_loss", "north", 0.0, 300, 1_000)),
    );
}

#[test]
fn exceeded_ceilings_are_detected() {
    assert_fault_is_detected(
        5,
        "ceiling",
        demo_day(4, 100.0, trouble("hot_caller", "estate", 300.0, 200, 3_500)),
    );
}
