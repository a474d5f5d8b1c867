//! Days played by real processes, and audits that must fail when a fault is put into the carrying code.
use chalkdeck_proto::chalkdeck::lab::v1::{Day, Trouble};
use chalkdeck_testbed::audit::rules::{audit, Record, Verdict};
use chalkdeck_testbed::common::load_stats::LoadSummary;
use chalkdeck_testbed::common::process::Program;
use chalkdeck_testbed::common::script;
use chalkdeck_testbed::rig::day::Ways;
use chalkdeck_testbed::rig::{day, demo};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

fn program() -> Program {
    Program {
        exe: PathBuf::from(env!("CARGO_BIN_EXE_chalkdeck-lab")),
        leading_args: Vec::new(),
    }
}

struct Played {
    summary: LoadSummary,
    verdict: Verdict,
}

/// One day at a time: they share the machine, and a starved one would say nothing of the gateway.
static TURN: Mutex<()> = Mutex::new(());

fn play(name: &str, day: Day, fault: Option<&str>) -> Played {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let dir = std::env::temp_dir().join(format!("chalkdeck-day-{}-{name}", std::process::id()));
    let ways = Ways {
        fault: fault.map(String::from),
        ..Ways::default()
    };
    let summary = day::run(program(), day, &dir, &ways).expect("the day is played");
    let verdict = audit(&Record::read(&dir).expect("its logs are read"));
    if fault.is_some() || verdict.breaches.is_empty() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    Played { summary, verdict }
}

fn demo_day(seconds: u32, rate: f64, trouble: Trouble) -> Day {
    let mut day = demo::fleet().expect("the demo's day");
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
    let played = play("short", script::read(&path).expect("a sound day"), None);
    assert_eq!(played.verdict.breaches, []);
    let s = &played.summary;
    assert_eq!(
        s.sent,
        s.served + s.refused + s.failed + s.lost + s.silent + s.other,
        "every call has one end"
    );
    // Late answers are the audit's, which knows how far apart two sockets' times may lie.
    assert_eq!((s.silent, s.other), (0, 0));
    assert!(
        s.served > s.sent / 3,
        "most that is inside the quotas is served: {s:?}"
    );
}

/// The same day keeps the rule without the fault and breaks it with it.
fn is_caught(rule: u8, fault: &str, day: Day) {
    let sound = play(&format!("{fault}-sound"), day.clone(), None);
    assert_eq!(sound.verdict.breaches, []);
    let faulty = play(&format!("{fault}-faulty"), day, Some(fault));
    assert!(
        faulty.verdict.broke(rule),
        "rule {rule}: {:?}",
        faulty.verdict.breaches
    );
}

#[test]
fn lost_answers_are_caught() {
    is_caught(
        1,
        "lose",
        demo_day(3, 120.0, trouble("tenant_burst", "seed", 200.0, 200, 2_000)),
    );
}

#[test]
fn repeated_effects_are_caught() {
    is_caught(2, "repeat", demo_day(3, 150.0, Trouble::default()));
}

#[test]
fn broken_drains_are_caught() {
    // Two zones drain, and more comes than the third can serve: with one server of nine at a third of the load the gateways
    // may leave it out by themselves, so that a broken drain goes unseen.
    let mut day = demo_day(5, 170.0, Trouble::default());
    day.troubles = (3..9)
        .map(|server| trouble("drain", &server.to_string(), 0.0, 200, 4_700))
        .collect();
    is_caught(3, "drains", day);
}

#[test]
fn cold_servers_pushed_over_are_caught() {
    is_caught(
        4,
        "cold",
        demo_day(7, 230.0, trouble("zone_loss", "north", 0.0, 300, 1_000)),
    );
}

#[test]
fn ceilings_passed_are_caught() {
    is_caught(
        5,
        "ceiling",
        demo_day(4, 100.0, trouble("hot_caller", "estate", 300.0, 200, 3_500)),
    );
}
