//! Changes of promises and methods that are reported, and versions that cannot be parsed.

use chalkdeck_contract::{
    find_incompatibilities, CompatibilityLevel, CompatibilityRule, Idempotency, KeyScope, Promise,
    ServiceVersion, SubscriberBounds, VersionError, Witness, MAX_DESCRIPTOR_BYTES,
};
use prost::Message;
use std::collections::BTreeMap;

const FILE: &str = "farm.proto";
const SERVICE: &str = "farm.v1.Farm";
const SOURCE: &str = r#"syntax = "proto3"; package farm.v1;
message Ask { string field = 1; } message Told { int64 worth = 1; }
service Farm { rpc View(Ask) returns (Told); rpc Watch(Ask) returns (stream Told); }"#;

/// Finds the one file that is compiled.
struct OneFile(protox::file::File);

impl protox::file::FileResolver for OneFile {
    fn open_file(&self, name: &str) -> Result<protox::file::File, protox::Error> {
        match name {
            FILE => Ok(self.0.clone()),
            other => Err(protox::Error::file_not_found(other)),
        }
    }
}

fn descriptors(source: &str) -> Vec<u8> {
    let file = protox::file::File::from_source(FILE, source).expect("it parses");
    let mut resolver = protox::file::ChainFileResolver::new();
    resolver.add(OneFile(file));
    let mut compiler = protox::Compiler::with_file_resolver(resolver);
    compiler.open_file(FILE).expect("it compiles");
    compiler.file_descriptor_set().encode_to_vec()
}

fn promise() -> Promise {
    Promise {
        idempotency: Idempotency::Keyed,
        key_scope: KeyScope::Zone,
        key_window_ms: 3_000,
        latency_objective_ms: 500,
        deadline_ms: 2_000,
        units: 2.0,
        value: 4.0,
    }
}

fn promises(methods: &[&str]) -> BTreeMap<String, Promise> {
    let promised = methods.iter().map(|name| (name.to_string(), promise()));
    promised.collect()
}

/// The version with a change of what is promised of `View`.
fn version_with(change: impl Fn(&mut Promise)) -> ServiceVersion {
    let mut promises = promises(&["View", "Watch"]);
    promises.get_mut("View").map(change);
    ServiceVersion::parse("v", SERVICE, &descriptors(SOURCE), promises).expect("it is valid")
}

fn old_version() -> ServiceVersion {
    version_with(|_| {})
}

/// The rules that a change of what is promised of `View` breaks.
fn rules_broken_by(
    change: impl Fn(&mut Promise),
    bounds: SubscriberBounds,
) -> Vec<CompatibilityRule> {
    let new = version_with(change);
    let found = find_incompatibilities(&old_version(), &new, CompatibilityLevel::Wire, bounds);
    assert!(
        found
            .iter()
            .all(|f| f.path == "farm.v1.Farm/View" && matches!(f.witness, Witness::Call(_))),
        "{found:?}"
    );
    found.into_iter().map(|f| f.rule).collect()
}

/// A change of a promise, what subscribers rely on, and the rules that it breaks.
struct PromiseCase {
    change: fn(&mut Promise),
    bounds: SubscriberBounds,
    broken: &'static [CompatibilityRule],
}

const NO_BOUNDS: SubscriberBounds = SubscriberBounds {
    longest_retry_ms: None,
    smallest_burst: None,
};

const fn retries_of(longest_retry_ms: u64) -> SubscriberBounds {
    SubscriberBounds {
        longest_retry_ms: Some(longest_retry_ms),
        ..NO_BOUNDS
    }
}

const fn burst_of(smallest_burst: f64) -> SubscriberBounds {
    SubscriberBounds {
        smallest_burst: Some(smallest_burst),
        ..NO_BOUNDS
    }
}

const fn case(
    change: fn(&mut Promise),
    bounds: SubscriberBounds,
    broken: &'static [CompatibilityRule],
) -> PromiseCase {
    PromiseCase {
        change,
        bounds,
        broken,
    }
}

fn use_more_units(promise: &mut Promise) {
    promise.units = 3.0;
    promise.value = 6.0;
}

const PROMISE_CASES: [PromiseCase; 13] = [
    case(|_| {}, NO_BOUNDS, &[]),
    case(
        |p| p.idempotency = Idempotency::NonIdempotent,
        NO_BOUNDS,
        &[CompatibilityRule::PromiseEffect],
    ),
    case(|p| p.idempotency = Idempotency::Idempotent, NO_BOUNDS, &[]),
    case(
        |p| p.key_scope = KeyScope::Cell,
        NO_BOUNDS,
        &[CompatibilityRule::PromiseGroup],
    ),
    case(|p| p.key_scope = KeyScope::All, NO_BOUNDS, &[]),
    case(
        |p| p.key_window_ms = 2_999,
        NO_BOUNDS,
        &[CompatibilityRule::PromiseWindow],
    ),
    case(|p| p.key_window_ms = 1_000, retries_of(900), &[]),
    case(
        |p| p.key_window_ms = 1_000,
        retries_of(1_001),
        &[CompatibilityRule::PromiseWindow],
    ),
    case(
        |p| p.deadline_ms = 1_999,
        NO_BOUNDS,
        &[CompatibilityRule::PromiseDeadline],
    ),
    case(
        |p| p.latency_objective_ms = 499,
        NO_BOUNDS,
        &[CompatibilityRule::PromiseAim],
    ),
    case(
        use_more_units,
        burst_of(2.5),
        &[CompatibilityRule::PromiseUnits],
    ),
    case(use_more_units, NO_BOUNDS, &[]),
    case(
        |p| p.value = 3.9,
        NO_BOUNDS,
        &[CompatibilityRule::PromiseWorth],
    ),
];

#[test]
fn promise_that_takes_something_back_breaks_its_rule() {
    for (index, case) in PROMISE_CASES.into_iter().enumerate() {
        let broken = rules_broken_by(case.change, case.bounds);
        assert_eq!(broken, case.broken, "case {index}");
    }
}

#[test]
fn removed_method_or_changed_streaming_breaks_its_rule() {
    let broken_by = |source: &str, methods: &[&str]| -> Vec<(String, CompatibilityRule)> {
        let descriptors = descriptors(source);
        let new = ServiceVersion::parse("n", SERVICE, &descriptors, promises(methods))
            .expect("it is valid");
        let level = CompatibilityLevel::Wire;
        find_incompatibilities(&old_version(), &new, level, SubscriberBounds::default())
            .into_iter()
            .map(|found| (found.path, found.rule))
            .collect()
    };
    let removed = SOURCE.replace("rpc Watch(Ask) returns (stream Told);", "");
    assert_eq!(
        broken_by(&removed, &["View"]),
        [(
            "farm.v1.Farm/Watch".to_string(),
            CompatibilityRule::MethodRemoved
        )]
    );
    let unary = SOURCE.replace("(stream Told)", "(Told)");
    assert_eq!(
        broken_by(&unary, &["View", "Watch"]),
        [(
            "farm.v1.Farm/Watch".to_string(),
            CompatibilityRule::Streaming
        )]
    );
    let stream = SOURCE.replace("rpc View(Ask)", "rpc View(stream Ask)");
    assert_eq!(
        broken_by(&stream, &["View", "Watch"]),
        [(
            "farm.v1.Farm/View".to_string(),
            CompatibilityRule::Streaming
        )]
    );
}

#[test]
fn version_that_cannot_be_parsed_is_rejected_with_the_reason() {
    let valid = descriptors(SOURCE);
    let both = promises(&["View", "Watch"]);
    let error_of = |service: &str, descriptors: &[u8], promises: BTreeMap<String, Promise>| {
        ServiceVersion::parse("v", service, descriptors, promises)
            .map(|_| ())
            .expect_err("it is invalid")
    };
    let too_long = vec![0; (1 << 20) + 1];
    assert_eq!(MAX_DESCRIPTOR_BYTES, 1 << 20);
    assert_eq!(
        error_of(SERVICE, &too_long, both.clone()),
        VersionError::TooLong((1 << 20) + 1)
    );
    assert!(matches!(
        error_of(SERVICE, b"noise", both.clone()),
        VersionError::InvalidDescriptors(_)
    ));
    assert_eq!(
        error_of("farm.v1.Barn", &valid, both),
        VersionError::UnknownService("farm.v1.Barn".into())
    );
    assert_eq!(
        error_of(SERVICE, &valid, promises(&["View"])),
        VersionError::MissingPromise("Watch".into())
    );
    assert_eq!(
        error_of(SERVICE, &valid, promises(&["View", "Watch", "Sell"])),
        VersionError::UnknownMethod("Sell".into())
    );
}
