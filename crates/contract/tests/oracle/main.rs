//! Compares the checker with an oracle that does not know its rules, on random schemas and random changes of them. If the checker accepts
//! a change, random requests and responses have to keep their meaning between the two versions. If it finds an incompatibility, the
//! witness has to show it.

mod preservation;
mod random_messages;
#[path = "../schemas/mod.rs"]
mod schemas;
mod witness_check;

use chalkdeck_contract::{
    find_incompatibilities, CompatibilityLevel, CompatibilityRule, Direction, Incompatibility,
    ServiceVersion, SubscriberBounds,
};
use preservation::{is_preserved_in_binary, is_preserved_in_json};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestRunner};
use random_messages::{random_message, Random};
use schemas::changes::{any_changes, apply_change, Change, CHANGE_DESCRIPTIONS};
use schemas::{any_schema, Schema};
use std::cell::RefCell;
use std::collections::BTreeMap;
use witness_check::{is_shown_by_witness, types_of, Types};

/// The environment variable that overrides [`DEFAULT_CASES`].
const CASES_VARIABLE: &str = "CASES";
const DEFAULT_CASES: u32 = 3_000;
const MESSAGES_PER_DIRECTION: usize = 12;
/// Levels of nested messages in a random message.
const MESSAGE_DEPTH: u32 = 2;
/// The number of different rules that the cases have to break at least, so that the test covers them.
const MIN_BROKEN_RULES: usize = 13;

/// One random case.
#[derive(Debug)]
struct Case {
    old_schema: Schema,
    new_schema: Schema,
    changes: Vec<Change>,
    level: CompatibilityLevel,
    /// The seed of the random messages.
    seed: u64,
}

impl Case {
    fn new(old_schema: Schema, changes: Vec<Change>, seed: u64, level: CompatibilityLevel) -> Case {
        let mut new_schema = old_schema.clone();
        for change in &changes {
            apply_change(&mut new_schema, *change);
        }
        Case {
            old_schema,
            new_schema,
            changes,
            level,
            seed,
        }
    }

    /// Checks that random messages of both directions keep their meaning.
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
                    is_preserved_in_binary(&written, &reader),
                    "{direction:?} {written:?}\n{self:?}"
                );
                if self.level == CompatibilityLevel::WireAndJson {
                    prop_assert!(
                        is_preserved_in_json(&written, &reader),
                        "json {direction:?} {written:?}\n{self:?}"
                    );
                }
            }
        }
        Ok(())
    }
}

/// How often a kind of change was drawn, was accepted, and had no effect.
#[derive(Default)]
struct ChangeCounts {
    drawn: usize,
    accepted: usize,
    without_effect: usize,
}

/// Counts of the changes and of the broken rules in all cases.
#[derive(Default)]
struct Statistics {
    changes: BTreeMap<&'static str, ChangeCounts>,
    rules: BTreeMap<CompatibilityRule, usize>,
}

impl Statistics {
    fn add(&mut self, case: &Case, found: &[Incompatibility]) {
        for change in &case.changes {
            let description = CHANGE_DESCRIPTIONS[usize::from(change.kind)];
            let counts = self.changes.entry(description).or_default();
            counts.drawn += 1;
            counts.accepted += usize::from(found.is_empty());
            counts.without_effect += usize::from(case.new_schema == case.old_schema);
        }
        for incompatibility in found {
            *self.rules.entry(incompatibility.rule).or_default() += 1;
        }
    }

    fn print(&self) {
        for (description, counts) in &self.changes {
            println!(
                "{description}: {} drawn, {} accepted, {} without effect",
                counts.drawn, counts.accepted, counts.without_effect
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
            is_shown_by_witness(incompatibility, &old, &new),
            "the witness does not show its incompatibility: {incompatibility}\n{case:?}"
        );
    }
    if found.is_empty() {
        case.check_accepted(&old, &new)?;
    }
    Ok(())
}

#[test]
fn accepted_changes_preserve_messages_and_rejected_changes_have_a_witness() {
    let cases = std::env::var(CASES_VARIABLE).ok();
    let mut runner = TestRunner::new(Config {
        cases: cases
            .and_then(|cases| cases.parse().ok())
            .unwrap_or(DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    });
    let level = any::<bool>().prop_map(|is_json_checked| {
        if is_json_checked {
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
        CHANGE_DESCRIPTIONS.len(),
        "every kind of change was drawn"
    );
    assert!(
        statistics.rules.len() >= MIN_BROKEN_RULES,
        "{:?}",
        statistics.rules
    );
}
