//! Tests of the soak: fixed seeds pass, each check besides the five audit rules detects an injected fault of the product, and
//! a seed always generates the same plan.

use chalkdeck_testbed::common::process::Program;
use chalkdeck_testbed::load::command::may_repeat;
use chalkdeck_testbed::soak::{
    generate_plan, run_plan, FaultKind, RunSettings, SoakOutcome, SoakPlan,
};
use std::path::PathBuf;
use std::time::Duration;

/// Seeds that CI runs.
const SEEDS: [u64; 2] = [1, 2];
const LOAD_SECONDS: u32 = 12;
/// Length of the load and of the quiet time in runs that detect one fault of the product.
const SHORT_LOAD_SECONDS: u32 = 6;
const SHORT_QUIET: Duration = Duration::from_millis(200);

fn run_in_own_folder(
    name: &str,
    plan: &SoakPlan,
    quiet: Duration,
    fault: Option<&str>,
) -> SoakOutcome {
    let dir = std::env::temp_dir().join(format!("chalkdeck-soak-{}-{name}", std::process::id()));
    let settings = RunSettings {
        program: Program {
            exe: PathBuf::from(env!("CARGO_BIN_EXE_chalkdeck-lab")),
            leading_args: Vec::new(),
        },
        dir: dir.clone(),
        quiet,
        fault: fault.map(String::from),
    };
    let outcome = run_plan(plan, &settings).expect("the soak runs");
    if fault.is_some() || outcome.breaches.is_empty() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    outcome
}

#[test]
fn fixed_seeds_pass_all_checks() {
    for seed in SEEDS {
        let plan = generate_plan(seed, LOAD_SECONDS, &[]).expect("a plan");
        let faults: Vec<String> = plan.faults.iter().map(ToString::to_string).collect();
        println!("seed {seed}: {}; {}", plan.topology(), faults.join(", "));
        let quiet = Duration::from_secs(10);
        let outcome = run_in_own_folder(&format!("seed-{seed}"), &plan, quiet, None);
        assert_eq!(outcome.breaches, Vec::<String>::new(), "seed {seed}");
        assert!(outcome.calls > 300, "seed {seed}: {} calls", outcome.calls);
    }
}

/// The plan of the first seed that has a fault of this kind, without faults of other kinds.
fn plan_with(kind: FaultKind) -> SoakPlan {
    let other_kinds: Vec<FaultKind> = FaultKind::ALL
        .iter()
        .copied()
        .filter(|k| *k != kind)
        .collect();
    let mut plans = (0..1_000)
        .map(|seed| generate_plan(seed, SHORT_LOAD_SECONDS, &other_kinds).expect("a plan"));
    plans
        .find(|plan| !plan.faults.is_empty())
        .expect("a seed with a fault of this kind")
}

/// Runs a plan with a fault injected into the product and expects breaches with these texts.
fn assert_detected(fault: &str, kind: FaultKind, expected: &[&str]) {
    let plan = plan_with(kind);
    let outcome = run_in_own_folder(fault, &plan, SHORT_QUIET, Some(fault));
    for text in expected {
        assert!(
            outcome.breaches.iter().any(|breach| breach.contains(text)),
            "{fault}: '{text}' is not among {:?}",
            outcome.breaches
        );
    }
}

#[test]
fn gateway_that_does_not_exit_is_detected() {
    assert_detected(
        "linger",
        FaultKind::HupSeries,
        &["did not end in time after SIGTERM"],
    );
}

#[test]
fn leaks_are_detected() {
    assert_detected(
        "leak",
        FaultKind::HupSeries,
        &["descriptors at rest", "KiB at rest"],
    );
}

#[test]
fn logged_error_that_no_fault_explains_is_detected() {
    assert_detected(
        "complain",
        FaultKind::HupSeries,
        &["fault injection: reload logged as an error"],
    );
}

#[test]
fn baseline_load_that_is_served_less_than_before_is_detected() {
    assert_detected("shut", FaultKind::HupSeries, &["of a calm load are served"]);
}

#[test]
fn seed_generates_the_same_plan_and_excluding_a_kind_keeps_all_others() {
    for seed in 0..200 {
        let plan = generate_plan(seed, LOAD_SECONDS, &[]).expect("a plan");
        let again = generate_plan(seed, LOAD_SECONDS, &[]).expect("a plan");
        assert_eq!((&plan.day, &plan.faults), (&again.day, &again.faults));
        let Some(excluded) = plan.faults.first().map(|fault| fault.kind) else {
            continue;
        };
        let without = generate_plan(seed, LOAD_SECONDS, &[excluded]).expect("a plan");
        let mut expected = plan.faults.clone();
        expected.retain(|fault| fault.kind != excluded);
        assert_eq!(without.faults, expected, "seed {seed}");
    }
}

#[test]
fn seeds_generate_every_kind_of_fault() {
    let mut generated: Vec<FaultKind> = Vec::new();
    for seed in 0..300 {
        let plan = generate_plan(seed, LOAD_SECONDS, &[]).expect("a plan");
        generated.extend(plan.faults.iter().map(|fault| fault.kind));
        let last = plan.faults.iter().map(|fault| fault.until_ms).max();
        assert!(
            last.unwrap_or(0) < LOAD_SECONDS * 1_000,
            "seed {seed}: a fault ends after the load"
        );
    }
    let missing: Vec<_> = FaultKind::ALL
        .iter()
        .filter(|kind| !generated.contains(kind))
        .collect();
    assert!(missing.is_empty(), "never generated: {missing:?}");
}

/// Guards against a load generator that retries a keyed sale after DEADLINE_EXCEEDED, when the first try may have run. The retry
/// went through a gateway in another zone, and as keys hold in one zone only, seed 60 of 14 s broke rule 2 ("had its effect 2
/// times"): calls c1343 and c1524 had the same key and one attempt each, and the second began 18 us after the first one's
/// DEADLINE_EXCEEDED. The user documentation has clients retry such calls only after a refusal.
#[test]
fn clients_retry_failed_calls_only_if_they_may_run_twice() {
    let plan = generate_plan(60, 14, &[]).expect("a plan");
    let load = plan.day.load.expect("a load");
    let gateway = plan.day.gateway.expect("settings");
    let retried = may_repeat(&gateway, &load);
    let sales: Vec<bool> = load.mix.iter().map(|m| m.path.ends_with("Sell")).collect();
    let expected: Vec<bool> = sales.iter().map(|is_sale| !is_sale).collect();
    assert_eq!(
        retried, expected,
        "sales have no key, or a key that holds in one zone only"
    );
}
