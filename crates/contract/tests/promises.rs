//! What was promised of methods, versions that cannot be read, and who speaks what.

use chalkdeck_contract::{
    check, Bounds, Effect, Group, Level, Promise, Rule, Spoken, Version, VersionError, Witness,
};
use prost::Message;
use std::collections::BTreeMap;

const SOURCE: &str = r#"syntax = "proto3"; package farm.v1;
message Ask { string field = 1; } message Told { int64 worth = 1; }
service Farm { rpc View(Ask) returns (Told); rpc Watch(Ask) returns (stream Told); }"#;

fn descriptors(source: &str) -> Vec<u8> {
    let file = protox::file::File::from_source("farm.proto", source).expect("it parses");
    let resolver = protox::file::ChainFileResolver::new();
    let mut compiler = protox::Compiler::with_file_resolver({
        let mut resolver = resolver;
        resolver.add(One(file));
        resolver
    });
    compiler.open_file("farm.proto").expect("it compiles");
    compiler.file_descriptor_set().encode_to_vec()
}

struct One(protox::file::File);

impl protox::file::FileResolver for One {
    fn open_file(&self, name: &str) -> Result<protox::file::File, protox::Error> {
        match name {
            "farm.proto" => Ok(self.0.clone()),
            other => Err(protox::Error::file_not_found(other)),
        }
    }
}

fn promise() -> Promise {
    Promise {
        effect: Effect::Keyed,
        group: Group::Zone,
        window_ms: 3_000,
        aim_ms: 500,
        deadline_ms: 2_000,
        units: 2.0,
        worth: 4.0,
    }
}

fn version(source: &str, change: impl Fn(&mut Promise)) -> Version {
    let mut view = promise();
    change(&mut view);
    let promises = BTreeMap::from([("View".to_string(), view), ("Watch".to_string(), promise())]);
    Version::read("v", "farm.v1.Farm", &descriptors(source), promises).expect("it is sound")
}

fn rules(change: impl Fn(&mut Promise), bounds: Bounds) -> Vec<Rule> {
    let breaks = check(
        &version(SOURCE, |_| {}),
        &version(SOURCE, change),
        Level::Wire,
        bounds,
    );
    assert!(
        breaks
            .iter()
            .all(|b| b.path == "farm.v1.Farm/View" && matches!(b.witness, Witness::Call(_))),
        "{breaks:?}"
    );
    breaks.into_iter().map(|b| b.rule).collect()
}

#[test]
fn what_a_new_promise_takes_back_is_named() {
    let plain = Bounds::default();
    type Case = (fn(&mut Promise), Bounds, &'static [Rule]);
    let cases: [Case; 13] = [
        (|_| {}, plain, &[]),
        (|p| p.effect = Effect::Unsafe, plain, &[Rule::PromiseEffect]),
        (|p| p.effect = Effect::Safe, plain, &[]),
        (|p| p.group = Group::Cell, plain, &[Rule::PromiseGroup]),
        (|p| p.group = Group::All, plain, &[]),
        (|p| p.window_ms = 2_999, plain, &[Rule::PromiseWindow]),
        (
            |p| p.window_ms = 1_000,
            Bounds {
                repeats_ms: Some(900),
                burst: None,
            },
            &[],
        ),
        (
            |p| p.window_ms = 1_000,
            Bounds {
                repeats_ms: Some(1_001),
                burst: None,
            },
            &[Rule::PromiseWindow],
        ),
        (|p| p.deadline_ms = 1_999, plain, &[Rule::PromiseDeadline]),
        (|p| p.aim_ms = 499, plain, &[Rule::PromiseAim]),
        (
            |p| (p.units, p.worth) = (3.0, 6.0),
            Bounds {
                repeats_ms: None,
                burst: Some(2.5),
            },
            &[Rule::PromiseUnits],
        ),
        (|p| (p.units, p.worth) = (3.0, 6.0), plain, &[]),
        (|p| p.worth = 3.9, plain, &[Rule::PromiseWorth]),
    ];
    for (i, (change, bounds, want)) in cases.into_iter().enumerate() {
        assert_eq!(rules(change, bounds), want, "case {i}");
    }
}

#[test]
fn methods_that_are_gone_or_stream_otherwise_are_named() {
    let of = |source: &str| -> Vec<(String, Rule)> {
        let methods = if source.contains("Watch") {
            vec!["View", "Watch"]
        } else {
            vec!["View"]
        };
        let promises = methods
            .into_iter()
            .map(|m| (m.to_string(), promise()))
            .collect();
        let new = Version::read("n", "farm.v1.Farm", &descriptors(source), promises)
            .expect("it is sound");
        check(
            &version(SOURCE, |_| {}),
            &new,
            Level::Wire,
            Bounds::default(),
        )
        .into_iter()
        .map(|b| (b.path, b.rule))
        .collect()
    };
    let gone = SOURCE.replace("rpc Watch(Ask) returns (stream Told);", "");
    assert_eq!(
        of(&gone),
        [("farm.v1.Farm/Watch".to_string(), Rule::MethodRemoved)]
    );
    let unary = SOURCE.replace("(stream Told)", "(Told)");
    assert_eq!(
        of(&unary),
        [("farm.v1.Farm/Watch".to_string(), Rule::Streaming)]
    );
    let stream = SOURCE.replace("rpc View(Ask)", "rpc View(stream Ask)");
    assert_eq!(
        of(&stream),
        [("farm.v1.Farm/View".to_string(), Rule::Streaming)]
    );
}

#[test]
fn versions_that_cannot_be_read_say_why() {
    let sound = descriptors(SOURCE);
    let both = BTreeMap::from([
        ("View".to_string(), promise()),
        ("Watch".to_string(), promise()),
    ]);
    let read = |service: &str, bytes: &[u8], promises: BTreeMap<String, Promise>| {
        Version::read("v", service, bytes, promises)
            .map(|_| ())
            .expect_err("it is wrong")
    };
    assert_eq!(
        read("farm.v1.Farm", &vec![0; (1 << 20) + 1], both.clone()),
        VersionError::TooLong((1 << 20) + 1)
    );
    assert!(matches!(
        read("farm.v1.Farm", b"noise", both.clone()),
        VersionError::Descriptors(_)
    ));
    assert_eq!(
        read("farm.v1.Barn", &sound, both.clone()),
        VersionError::Service("farm.v1.Barn".into())
    );
    assert_eq!(
        read(
            "farm.v1.Farm",
            &sound,
            BTreeMap::from([("View".to_string(), promise())])
        ),
        VersionError::Promise("Watch".into())
    );
    let mut more = both;
    more.insert("Sell".into(), promise());
    assert_eq!(
        read("farm.v1.Farm", &sound, more),
        VersionError::Method("Sell".into())
    );
}

#[test]
fn spoken_versions_are_known_by_word_and_by_calls() {
    const DAY: u64 = 86_400_000;
    let mut spoken = Spoken::default();
    spoken.declare("v1", "harvest-1", true, Some(800));
    spoken.seen("v2", "harvest-2", 5, 10 * DAY);
    assert_eq!(spoken.versions(11 * DAY, 30 * DAY), ["v1", "v2"]);
    assert_eq!(
        spoken.versions(41 * DAY, 30 * DAY),
        ["v1"],
        "the last call of v2 is too long ago"
    );
    spoken.declare("v1", "harvest-1", false, None);
    assert_eq!(spoken.versions(11 * DAY, 30 * DAY), ["v2"]);
    // Retired by a word; a call after it brings it back, one from before does not.
    spoken.retire("v2", 12 * DAY);
    assert_eq!(
        (spoken.versions(13 * DAY, 30 * DAY), spoken.back()),
        (Vec::new(), Vec::new())
    );
    spoken.seen("v2", "harvest-3", 1, 14 * DAY);
    assert_eq!(
        (spoken.versions(15 * DAY, 30 * DAY), spoken.back()),
        (vec!["v2".to_string()], vec!["v2".to_string()])
    );
    let speakers = spoken.speakers("v2", 15 * DAY, 30 * DAY);
    assert_eq!(
        speakers.iter().map(|(c, _)| c.as_str()).collect::<Vec<_>>(),
        ["harvest-3"]
    );
    (0..10_050).for_each(|i| spoken.seen("v3", &format!("c{i}"), 1, DAY));
    assert!(spoken.uses["v3"].len() <= 10_001);
    assert_eq!(
        spoken.uses["v3"].values().map(|u| u.calls).sum::<u64>(),
        10_050,
        "none is lost"
    );
}

#[test]
fn a_call_within_the_step_of_the_clock_that_retired_its_version_brings_it_back() {
    let mut spoken = Spoken::default();
    spoken.seen("1", "a", 3, 500);
    spoken.retire("1", 500);
    assert!(spoken.speakers("1", 500, 10_000).is_empty() && spoken.back().is_empty());
    spoken.seen("1", "a", 1, 500);
    assert_eq!(
        (spoken.speakers("1", 500, 10_000).len(), spoken.back()),
        (1, vec!["1".to_string()])
    );
    spoken.retire("1", 500);
    assert!(
        spoken.speakers("1", 500, 10_000).is_empty() && spoken.back().is_empty(),
        "retired again"
    );
}
