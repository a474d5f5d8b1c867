//! The checker against a judge that does not know its rules: random schemas and random changes. What the checker accepts is written
//! and read both ways with nothing lost or changed; the witness of each rejection shows its incompatibility.

mod agreement;
mod evidence;
mod messages;
#[path = "../schemas/mod.rs"]
mod schemas;

use agreement::{agree_in_binary, agree_in_json};
use chalkdeck_contract::{
    find_incompatibilities, CompatibilityLevel, CompatibilityRule, Direction, Incompatibility,
    ServiceVersion, SubscriberBounds,
};
use evidence::{shows, types_of, Types};
use messages::{random_message, Random};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestRunner};
use schemas::changes::{any_changes, change, Change, CHANGES};
use schemas::{any_schema, Schema};
use std::cell::RefCell;
use std::collections::BTreeMap;

/// The environment variable that sets another number of cases.
const CASES_VARIABLE: &str = "CASES";
const DEFAULT_CASES: u32 = 3_000;
const MESSAGES_PER_DIRECTION: usize = 12;
/// Levels of messages in the random ones.
const MESSAGE_DEPTH: u32 = 2;
/// Rules that the cases have to break at least.
const LEAST_RULES: usize = 13;

/// One random case.
#[derive(Debug)]
struct Case {
    old_schema: Schema,
    new_schema: Schema,
    changes: Vec<Change>,
    level: CompatibilityLevel,
    /// For the random messages.
    seed: u64,
}

impl Case {
    fn new(old_schema: Schema, changes: Vec<Change>, seed: u64, level: CompatibilityLevel) -> Case {
        let mut new_schema = old_schema.clone();
        for drawn in &changes {
            change(&mut new_schema, *drawn);
        }
        Case {
            old_schema,
            new_schema,
            changes,
            level,
            seed,
        }
    }

    /// Checks that messages of both directions mean the same to their readers.
    fn check_accepted(
        &self,
        old: &ServiceVersion,
        new: &ServiceVersion,
    ) -> Result<(), TestCaseError> {
        let mut random = Random(self.seed);
        for direction in [Direction::Request, Direction::Response] {
            let Types { writer, reader } = types_of(old, new, direction);
            for _ in 0..MESSAGES_PER_DIRECTION {
                let written = random_message(&writer, &mut random, MESSAGE_DEPTH);
                prop_assert!(
                    agree_in_binary(&written, &reader),
                    "{direction:?} {written:?}\n{self:?}"
                );
                if self.level == CompatibilityLevel::WireAndJson {
                    prop_assert!(
                        agree_in_json(&written, &reader),
                        "json {direction:?} {written:?}\n{self:?}"
                    );
                }
            }
        }
        Ok(())
    }
}

/// How often a kind of change was drawn.
#[derive(Default)]
struct Drawn {
    cases: usize,
    accepted: usize,
    without_effect: usize,
}

/// What was drawn and found in all cases.
#[derive(Default)]
struct Statistics {
    changes: BTreeMap<&'static str, Drawn>,
    rules: BTreeMap<CompatibilityRule, usize>,
}

impl Statistics {
    fn add(&mut self, case: &Case, found: &[Incompatibility]) {
        for drawn in &case.changes {
            let name = CHANGES[usize::from(drawn.kind)];
            let count = self.changes.entry(name).or_default();
            count.cases += 1;
            count.accepted += usize::from(found.is_empty());
            count.without_effect += usize::from(case.new_schema == case.old_schema);
        }
        for incompatibility in found {
            *self.rules.entry(incompatibility.rule).or_default() += 1;
        }
    }

    fn print(&self) {
        for (name, drawn) in &self.changes {
            println!(
                "{name}: {} drawn, {} accepted, {} without effect",
                drawn.cases, drawn.accepted, drawn.without_effect
            );
        }
        println!("{:?}", self.rules);
    }
}

fn run_case(case: &Case, statistics: &mut Statistics) -> Result<(), TestCaseError> {
    let versions = (
        case.old_schema.version("old"),
        case.new_schema.version("new"),
    );
    let (Some(old), Some(new)) = versions else {
        return Ok(());
    };
    let found = find_incompatibilities(&old, &new, case.level, SubscriberBounds::default());
    statistics.add(case, &found);
    for incompatibility in &found {
        prop_assert!(
            shows(incompatibility, &old, &new),
            "its witness shows nothing: {incompatibility}\n{case:?}"
        );
    }
    if found.is_empty() {
        case.check_accepted(&old, &new)?;
    }
    Ok(())
}

#[test]
fn accepted_changes_read_the_same_and_rejected_ones_have_a_witness() {
    let cases = std::env::var(CASES_VARIABLE).ok();
    let mut runner = TestRunner::new(Config {
        cases: cases
            .and_then(|cases| cases.parse().ok())
            .unwrap_or(DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    });
    let level = any::<bool>().prop_map(|has_json| {
        if has_json {
            CompatibilityLevel::WireAndJson
        } else {
            CompatibilityLevel::Wire
        }
    });
    let statistics = RefCell::new(Statistics::default());
    let strategy = (any_schema(), any_changes(), any::<u64>(), level);
    let result = runner.run(&strategy, |(schema, changes, seed, level)| {
        let case = Case::new(schema, changes, seed, level);
        run_case(&case, &mut statistics.borrow_mut())
    });
    let statistics = statistics.into_inner();
    statistics.print();
    result.unwrap_or_else(|error| panic!("{error}"));
    assert_eq!(
        statistics.changes.len(),
        CHANGES.len(),
        "every kind of change was drawn"
    );
    assert!(
        statistics.rules.len() >= LEAST_RULES,
        "{:?}",
        statistics.rules
    );
}
