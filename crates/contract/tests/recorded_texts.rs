//! The checker finds the same incompatibilities as at commit 129cb7d, with the same texts byte for byte, because publishers see the texts.
//!
//! Random schemas and changes from a fixed seed are checked at both levels. The text, help and witness of every incompatibility go into
//! one digest for each block of cases. Texts about promises and of errors are recorded in full.

mod schemas;

use chalkdeck_contract::{
    find_incompatibilities, CompatibilityLevel, Direction, Idempotency, Incompatibility, KeyScope,
    Promise, ServiceVersion, SubscriberBounds, VersionError, Witness,
};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use schemas::changes::{any_changes, apply_change, Change};
use schemas::{any_schema, Schema};
use std::collections::BTreeMap;

const RECORDED_SCHEMAS: &str = include_str!("recorded/schemas.txt");
const RECORDED_PROMISES: &str = include_str!("recorded/promises.txt");
const RECORDED_ERRORS: &str = include_str!("recorded/errors.txt");
const BLOCKS: usize = 16;
const CASES_PER_BLOCK: usize = 200;

/// An FNV-1a hash over byte strings, each with its length.
struct Digest(u64);

impl Digest {
    fn add(&mut self, bytes: &[u8]) {
        for byte in (bytes.len() as u64).to_le_bytes().iter().chain(bytes) {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn add_incompatibility(&mut self, found: &Incompatibility) {
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
                    Direction::Response => b"answer",
                });
                self.add(message.as_bytes());
                self.add(bytes);
                self.add(written.as_bytes());
                self.add(read.as_bytes());
            }
        }
    }
}

/// The rule's name in an incompatibility's text, which is `path: rule: change; witness`.
fn rule_name(found: &Incompatibility) -> String {
    let text = found.to_string();
    let after_path = &text[found.path.len() + 2..];
    after_path.split(':').next().unwrap_or_default().to_string()
}

/// A schema, changes of it, and whether its JSON form has to stay compatible.
fn any_case() -> impl Strategy<Value = (Schema, Vec<Change>, bool)> {
    (any_schema(), any_changes(), any::<bool>())
}

fn incompatibilities_of(
    schema: &Schema,
    changes: &[Change],
    is_json_checked: bool,
) -> Vec<Incompatibility> {
    let mut changed = schema.clone();
    for change in changes {
        apply_change(&mut changed, *change);
    }
    let (Some(old), Some(new)) = (schema.version("old"), changed.version("new")) else {
        return Vec::new();
    };
    let level = if is_json_checked {
        CompatibilityLevel::WireAndJson
    } else {
        CompatibilityLevel::Wire
    };
    find_incompatibilities(&old, &new, level, SubscriberBounds::default())
}

#[test]
fn incompatibilities_of_seeded_schemas_are_the_recorded_ones() {
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
            let (schema, changes, is_json_checked) = case.current();
            for found in incompatibilities_of(&schema, &changes, is_json_checked) {
                digest.add_incompatibility(&found);
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

/// The texts of the incompatibilities between two versions of an empty schema with these promises.
fn promise_texts(old: &Promise, new: &Promise, bounds: SubscriberBounds) -> Vec<String> {
    let version = |promise: &Promise| {
        let promises = BTreeMap::from([("Call".to_string(), promise.clone())]);
        let descriptors = schemas::empty_schema().descriptors();
        ServiceVersion::parse("v", "t.S", &descriptors, promises).expect("a valid version")
    };
    let found = find_incompatibilities(
        &version(old),
        &version(new),
        CompatibilityLevel::Wire,
        bounds,
    );
    let text = |found: Incompatibility| format!("{found}; {}", found.rule.help());
    found.into_iter().map(text).collect()
}

fn old_promise(idempotency: Idempotency, key_scope: KeyScope) -> Promise {
    Promise {
        idempotency,
        key_scope,
        key_window_ms: 3_000,
        ..schemas::promise()
    }
}

fn new_promise(idempotency: Idempotency, key_scope: KeyScope) -> Promise {
    Promise {
        idempotency,
        key_scope,
        key_window_ms: 2_000,
        latency_objective_ms: 90,
        deadline_ms: 450,
        units: 2.5,
        priority_weight: 0.5,
    }
}

#[test]
fn texts_of_promises_are_the_recorded_ones() {
    let idempotencies = [
        Idempotency::Idempotent,
        Idempotency::Keyed,
        Idempotency::NonIdempotent,
    ];
    let scopes = [KeyScope::Cell, KeyScope::Zone, KeyScope::All];
    let bounds = SubscriberBounds {
        longest_retry_ms: Some(2_500),
        smallest_burst: Some(2.0),
    };
    let mut lines = Vec::new();
    for old_idempotency in idempotencies {
        for new_idempotency in idempotencies {
            for old_scope in scopes {
                for new_scope in scopes {
                    let old = old_promise(old_idempotency, old_scope);
                    let new = new_promise(new_idempotency, new_scope);
                    lines.extend(promise_texts(&old, &new, bounds));
                    lines.extend(promise_texts(&old, &new, SubscriberBounds::default()));
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
        VersionError::InvalidDescriptors("what".into()),
        VersionError::UnknownService("a.B".into()),
        VersionError::UnknownMethod("C".into()),
        VersionError::MissingPromise("D".into()),
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
