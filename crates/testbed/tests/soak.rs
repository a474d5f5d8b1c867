//! The soak: fixed seeds pass, each of its checks beside the five rules finds a fault of the product, and a seed draws the same again.

use chalkdeck_testbed::load::command::may_repeat;
use chalkdeck_testbed::parts::process::Program;
use chalkdeck_testbed::soak::{draw, play, FaultKind, Outcome, PlaySettings, SoakPlan};
use std::path::PathBuf;
use std::time::Duration;

/// Seeds that CI plays.
const SEEDS: [u64; 2] = [1, 2];
const SECONDS: u32 = 12;
/// Seconds and quiet of plays that look for one fault of the product.
const SHORT_SECONDS: u32 = 6;
const SHORT_QUIET: Duration = Duration::from_millis(200);

fn play_in_own_folder(
    name: &str,
    plan: &SoakPlan,
    quiet: Duration,
    fault: Option<&str>,
) -> Outcome {
    let dir = std::env::temp_dir().join(format!("chalkdeck-soak-{}-{name}", std::process::id()));
    let settings = PlaySettings {
        program: Program {
            exe: PathBuf::from(env!("CARGO_BIN_EXE_chalkdeck-lab")),
            before: Vec::new(),
        },
        dir: dir.clone(),
        quiet,
        fault: fault.map(String::from),
    };
    let outcome = play(plan, &settings).expect("the soak is played");
    if fault.is_some() || outcome.breaches.is_empty() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    outcome
}

#[test]
fn fixed_seeds_break_nothing() {
    for seed in SEEDS {
        let plan = draw(seed, SECONDS, &[]).expect("a sound plan");
        let faults: Vec<String> = plan.faults.iter().map(ToString::to_string).collect();
        println!("seed {seed}: {}; {}", plan.world(), faults.join(", "));
        let quiet = Duration::from_secs(10);
        let outcome = play_in_own_folder(&format!("seed-{seed}"), &plan, quiet, None);
        assert_eq!(outcome.breaches, Vec::<String>::new(), "seed {seed}");
        assert!(outcome.calls > 300, "seed {seed}: {} calls", outcome.calls);
    }
}

/// The first plan that has a fault of a kind and few others.
fn plan_with(kind: FaultKind) -> SoakPlan {
    let others: Vec<FaultKind> = FaultKind::ALL
        .iter()
        .copied()
        .filter(|k| *k != kind)
        .collect();
    let mut plans =
        (0..1_000).map(|seed| draw(seed, SHORT_SECONDS, &others).expect("a sound plan"));
    plans
        .find(|plan| !plan.faults.is_empty())
        .expect("some seed has one")
}

/// A play with a fault of the product breaks what is expected.
fn is_caught(fault: &str, kind: FaultKind, expected: &[&str]) {
    let plan = plan_with(kind);
    let outcome = play_in_own_folder(fault, &plan, SHORT_QUIET, Some(fault));
    for text in expected {
        assert!(
            outcome.breaches.iter().any(|breach| breach.contains(text)),
            "{fault}: '{text}' is not among {:?}",
            outcome.breaches
        );
    }
}

#[test]
fn gateway_that_does_not_end_is_caught() {
    is_caught(
        "linger",
        FaultKind::HupSeries,
        &["did not end in time after SIGTERM"],
    );
}

#[test]
fn leaks_are_caught() {
    is_caught(
        "leak",
        FaultKind::HupSeries,
        &["descriptors at rest", "KiB at rest"],
    );
}

#[test]
fn error_that_no_fault_explains_is_caught() {
    is_caught(
        "complain",
        FaultKind::HupSeries,
        &["fault injection: reload logged as an error"],
    );
}

#[test]
fn calm_load_that_is_served_less_than_before_is_caught() {
    is_caught("shut", FaultKind::HupSeries, &["of a calm load are served"]);
}

#[test]
fn seed_draws_the_same_again_and_without_a_kind_all_others_stay() {
    for seed in 0..200 {
        let plan = draw(seed, SECONDS, &[]).expect("a sound plan");
        let again = draw(seed, SECONDS, &[]).expect("a sound plan");
        assert_eq!((&plan.day, &plan.faults), (&again.day, &again.faults));
        let Some(left_out) = plan.faults.first().map(|fault| fault.kind) else {
            continue;
        };
        let without = draw(seed, SECONDS, &[left_out]).expect("a sound plan");
        let mut kept = plan.faults.clone();
        kept.retain(|fault| fault.kind != left_out);
        assert_eq!(without.faults, kept, "seed {seed}");
    }
}

#[test]
fn seeds_draw_every_kind_of_fault() {
    let mut drawn: Vec<FaultKind> = Vec::new();
    for seed in 0..300 {
        let plan = draw(seed, SECONDS, &[]).expect("a sound plan");
        drawn.extend(plan.faults.iter().map(|fault| fault.kind));
        let last = plan.faults.iter().map(|fault| fault.until_ms).max();
        assert!(last.unwrap_or(0) < SECONDS * 1_000, "seed {seed}: in time");
    }
    let missing: Vec<_> = FaultKind::ALL
        .iter()
        .filter(|kind| !drawn.contains(kind))
        .collect();
    assert!(missing.is_empty(), "never drawn: {missing:?}");
}

/// What happened: seed 60 of 14 s broke rule 2, "had its effect 2 times". Why: the rig's clients repeated a keyed sale after
/// DEADLINE_EXCEEDED, which may have run, through another gateway and so in another zone, though its key holds in one zone alone; the
/// users' pages have clients repeat such calls only after a refusal. Shown by: one attempt for each of the calls c1343 and c1524 of that
/// key, the second call begun 18 us after the first one's DEADLINE_EXCEEDED.
#[test]
fn clients_repeat_after_a_failure_only_what_may_run_twice() {
    let plan = draw(60, 14, &[]).expect("a sound plan");
    let load = plan.day.load.expect("a load");
    let gateway = plan.day.gateway.expect("settings");
    let repeated = may_repeat(&gateway, &load);
    let sales: Vec<bool> = load.mix.iter().map(|m| m.path.ends_with("Sell")).collect();
    let wanted: Vec<bool> = sales.iter().map(|is_sale| !is_sale).collect();
    assert_eq!(
        repeated, wanted,
        "sales are keyed in one zone, or have no key"
    );
}
