//! Incompatible changes of promises and methods, and versions that cannot be parsed.

use chalkdeck_contract::{
    find_incompatibilities, CompatibilityLevel, CompatibilityRule, Idempotency, KeyScope, Promise,
    ServiceVersion, SubscriberBounds, VersionError, Witness, MAX_DESCRIPTOR_BYTES,
};
use prost::Message;
use std::collections::BTreeMap;

const FILE: &str = "farm.proto";
const SERVICE: &str = "farm.v1.Farm";
const SOURCE: &str = r#"syntax = "proto3"; package farm.v1;
message Request { string field = 1; } message Response { int64 worth = 1; }
service Farm { rpc View(Request) returns (Response); rpc Watch(Request) returns (stream Response); }"#;

/// Resolves the only file that is compiled.
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
        priority_weight: 4.0,
    }
}

fn promises(methods: &[&str]) -> BTreeMap<String, Promise> {
    let promised = methods.iter().map(|name| (name.to_string(), promise()));
    promised.collect()
}

/// A version with a changed promise for `View`.
fn version_with(change: impl Fn(&mut Promise)) -> ServiceVersion {
    let mut promises = promises(&["View", "Watch"]);
    promises.get_mut("View").map(change);
    ServiceVersion::parse("v", SERVICE, &descriptors(SOURCE), promises).expect("it is valid")
}

fn old_version() -> ServiceVersion {
    version_with(|_| {})
}

/// The rules that a change of the promise for `View` breaks.
fn rules_broken_by(
    change: impl Fn(&mut Promise),
    bounds: SubscriberBounds,
) -> Vec<CompatibilityRule> {
    let new = version_with(change);
    let found = find_incompatibilities(&old_version(), &new, CompatibilityLevel::Wire, bounds);
    assert!(
        found.iter().all(
            |incompatibility| incompatibility.path == "farm.v1.Farm/View"
                && matches!(incompatibility.witness, Witness::Call(_))
        ),
        "{found:?}"
    );
    found
        .into_iter()
        .map(|incompatibility| incompatibility.rule)
        .collect()
}

/// A change of a promise, the bounds that subscribers rely on, and the rules that the change breaks.
struct PromiseCase {
    change: fn(&mut Promise),
    bounds: SubscriberBounds,
    broken: &'static [CompatibilityRule],
}

const NO_BOUNDS: SubscriberBounds = SubscriberBounds {
    longest_retry_ms: None,
    smallest_burst: None,
};

const fn bounds_with_retries(longest_retry_ms: u64) -> SubscriberBounds {
    SubscriberBounds {
        longest_retry_ms: Some(longest_retry_ms),
        ..NO_BOUNDS
    }
}

const fn bounds_with_burst(smallest_burst: f64) -> SubscriberBounds {
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
    promise.priority_weight = 6.0;
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
    case(|p| p.key_window_ms = 1_000, bounds_with_retries(900), &[]),
    case(
        |p| p.key_window_ms = 1_000,
        bounds_with_retries(1_001),
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
        bounds_with_burst(2.5),
        &[CompatibilityRule::PromiseUnits],
    ),
    case(use_more_units, NO_BOUNDS, &[]),
    case(
        |p| p.priority_weight = 3.9,
        NO_BOUNDS,
        &[CompatibilityRule::PromiseWorth],
    ),
];

#[test]
fn weakened_promise_breaks_its_rule() {
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
            .map(|incompatibility| (incompatibility.path, incompatibility.rule))
            .collect()
    };
    let removed = SOURCE.replace("rpc Watch(Request) returns (stream Response);", "");
    assert_eq!(
        broken_by(&removed, &["View"]),
        [(
            "farm.v1.Farm/Watch".to_string(),
            CompatibilityRule::MethodRemoved
        )]
    );
    let unary_response = SOURCE.replace("(stream Response)", "(Response)");
    assert_eq!(
        broken_by(&unary_response, &["View", "Watch"]),
        [(
            "farm.v1.Farm/Watch".to_string(),
            CompatibilityRule::Streaming
        )]
    );
    let streamed_request = SOURCE.replace("rpc View(Request)", "rpc View(stream Request)");
    assert_eq!(
        broken_by(&streamed_request, &["View", "Watch"]),
        [(
            "farm.v1.Farm/View".to_string(),
            CompatibilityRule::Streaming
        )]
    );
}

#[test]
fn version_that_cannot_be_parsed_is_rejected_with_the_reason() {
    let valid = descriptors(SOURCE);
    let valid_promises = promises(&["View", "Watch"]);
    let error_of = |service: &str, descriptors: &[u8], promises: BTreeMap<String, Promise>| {
        ServiceVersion::parse("v", service, descriptors, promises)
            .map(|_| ())
            .expect_err("it is invalid")
    };
    let too_long = vec![0; (1 << 20) + 1];
    assert_eq!(MAX_DESCRIPTOR_BYTES, 1 << 20);
    assert_eq!(
        error_of(SERVICE, &too_long, valid_promises.clone()),
        VersionError::TooLong((1 << 20) + 1)
    );
    assert!(matches!(
        error_of(SERVICE, b"noise", valid_promises.clone()),
        VersionError::InvalidDescriptors(_)
    ));
    assert_eq!(
        error_of("farm.v1.Barn", &valid, valid_promises),
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
