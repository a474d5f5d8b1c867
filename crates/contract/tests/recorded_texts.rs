//! Breaks are found and worded as recorded from commit 129cb7d, byte for byte: they are shown to publishers.
//!
//! Seeded schemas and changes of them are checked at both levels. The text, the help and the witness of every break go into a digest
//! for each block of cases. Texts of promises and of errors are recorded as they are.

mod schemas;

use chalkdeck_contract::{
    check, Bounds, Break, Direction, Effect, Group, Level, Promise, Version, VersionError, Witness,
};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use schemas::{any_schema, change, Change, Schema};
use std::collections::BTreeMap;

const RECORDED_SCHEMAS: &str = include_str!("recorded/schemas.txt");
const RECORDED_PROMISES: &str = include_str!("recorded/promises.txt");
const RECORDED_ERRORS: &str = include_str!("recorded/errors.txt");
const BLOCKS: usize = 16;
const CASES_PER_BLOCK: usize = 200;

/// FNV-1a over texts, each with its length.
struct Digest(u64);

impl Digest {
    fn add(&mut self, bytes: &[u8]) {
        for byte in (bytes.len() as u64).to_le_bytes().iter().chain(bytes) {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn add_break(&mut self, found: &Break) {
        self.add(found.to_string().as_bytes());
        self.add(found.path.as_bytes());
        self.add(found.rule.help().as_bytes());
        match &found.witness {
            Witness::Call(call) => self.add(call.as_bytes()),
            Witness::Message {
                direction,
                message,
                bytes,
                written,
                read,
            } => {
                self.add(match direction {
                    Direction::Request => b"request",
                    Direction::Answer => b"answer",
                });
                self.add(message.as_bytes());
                self.add(bytes);
                self.add(written.as_bytes());
                self.add(read.as_bytes());
            }
        }
    }
}

/// The rule's name in a break's text, which is `path: rule: what`.
fn rule_name(found: &Break) -> String {
    let text = found.to_string();
    let after_path = &text[found.path.len() + 2..];
    after_path.split(':').next().unwrap_or_default().to_string()
}

/// A schema, changes of it, and whether JSON counts.
fn any_case() -> impl Strategy<Value = (Schema, Vec<(u8, usize, u8, bool)>, bool)> {
    let changes = prop::collection::vec(
        (0u8..17, 0usize..8, 0u8..17, prop::bool::weighted(0.3)),
        1..4,
    );
    (any_schema(), changes, any::<bool>())
}

fn breaks_of(schema: &Schema, changes: &[(u8, usize, u8, bool)], json: bool) -> Vec<Break> {
    let mut changed = schema.clone();
    for &(kind, at, to, inner) in changes {
        let drawn = Change {
            kind,
            at,
            to,
            inner,
        };
        change(&mut changed, drawn);
    }
    let (Some(old), Some(new)) = (schema.version("old"), changed.version("new")) else {
        return Vec::new();
    };
    let level = if json {
        Level::WireAndJson
    } else {
        Level::Wire
    };
    check(&old, &new, level, Bounds::default())
}

#[test]
fn breaks_of_seeded_schemas_are_the_recorded_ones() {
    let mut runner = TestRunner::new(Config {
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    });
    let mut lines = Vec::new();
    let mut rules: BTreeMap<String, usize> = BTreeMap::new();
    for block in 0..BLOCKS {
        let mut digest = Digest(0xcbf2_9ce4_8422_2325);
        let mut count = 0;
        for _ in 0..CASES_PER_BLOCK {
            let case = any_case().new_tree(&mut runner).expect("a case");
            let (schema, changes, json) = case.current();
            for found in breaks_of(&schema, &changes, json) {
                digest.add_break(&found);
                *rules.entry(rule_name(&found)).or_default() += 1;
                count += 1;
            }
        }
        lines.push(format!(
            "block={block} breaks={count} digest={:016x}",
            digest.0
        ));
    }
    for (rule, count) in rules {
        lines.push(format!("{rule}={count}"));
    }
    let recorded: Vec<&str> = RECORDED_SCHEMAS.lines().collect();
    assert_eq!(lines, recorded, "now:\n{}\n", lines.join("\n"));
}

/// Two versions of a schema without fields to speak of, with these promises.
fn promise_texts(old: Promise, new: Promise, bounds: Bounds) -> Vec<String> {
    let version = |promise: Promise| {
        let promises = BTreeMap::from([("Call".to_string(), promise)]);
        Version::read("v", "t.S", &descriptors(), promises).expect("a valid version")
    };
    let found = check(&version(old), &version(new), Level::Wire, bounds);
    let text = |found: Break| format!("{found}; {}", found.rule.help());
    found.into_iter().map(text).collect()
}

fn descriptors() -> Vec<u8> {
    schemas::empty_schema().descriptors()
}

#[test]
fn texts_of_promises_are_the_recorded_ones() {
    let effects = [Effect::Safe, Effect::Keyed, Effect::Unsafe];
    let groups = [Group::Cell, Group::Zone, Group::All];
    let mut lines = Vec::new();
    for old_effect in effects {
        for new_effect in effects {
            for old_group in groups {
                for new_group in groups {
                    let old = Promise {
                        effect: old_effect,
                        group: old_group,
                        window_ms: 3_000,
                        ..schemas::promise()
                    };
                    let new = Promise {
                        effect: new_effect,
                        group: new_group,
                        window_ms: 2_000,
                        aim_ms: 90,
                        deadline_ms: 450,
                        units: 2.5,
                        worth: 0.5,
                    };
                    let bounds = Bounds {
                        repeats_ms: Some(2_500),
                        burst: Some(2.0),
                    };
                    lines.extend(promise_texts(old.clone(), new.clone(), bounds));
                    lines.extend(promise_texts(old, new, Bounds::default()));
                }
            }
        }
    }
    let recorded: Vec<&str> = RECORDED_PROMISES.lines().collect();
    assert_eq!(lines, recorded, "now:\n{}\n", lines.join("\n"));
}

#[test]
fn texts_of_errors_are_the_recorded_ones() {
    let errors = [
        VersionError::TooLong(7),
        VersionError::Descriptors("what".into()),
        VersionError::Service("a.B".into()),
        VersionError::Method("C".into()),
        VersionError::Promise("D".into()),
    ];
    let lines: Vec<String> = errors
        .iter()
        .map(|error| {
            let code = miette::Diagnostic::code(error).map(|code| code.to_string());
            let help = miette::Diagnostic::help(error).map(|help| help.to_string());
            format!("{error}; {code:?}; {help:?}")
        })
        .collect();
    let recorded: Vec<&str> = RECORDED_ERRORS.lines().collect();
    assert_eq!(lines, recorded, "now:\n{}\n", lines.join("\n"));
}
