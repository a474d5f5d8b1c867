//! The project's own messages stay readable by what commit d5a4349 speaks: the checker finds no break at its wire level, and messages
//! that people write as text keep every name.

use chalkdeck_contract::{
    find_incompatibilities, CompatibilityLevel, Idempotency, KeyScope, Promise, ServiceVersion,
    SubscriberBounds,
};
use prost_reflect::{DescriptorPool, MessageDescriptor};
use std::collections::{BTreeMap, BTreeSet};

const RECORDED: &[u8] = include_bytes!("fixtures/descriptors-d5a4349.bin");
const SERVICES: [&str; 2] = ["chalkdeck.keeper.v1.Keeper", "chalkdeck.counter.v1.Counter"];
/// Messages that operators and users write or read in text form, with all that they contain.
const TEXT_MESSAGES: [&str; 9] = [
    "chalkdeck.client.v1.Settings",
    "chalkdeck.config.v1.Gateway",
    "chalkdeck.counter.v1.Settings",
    "chalkdeck.keeper.v1.Settings",
    "chalkdeck.keeper.v1.RuleSet",
    "chalkdeck.keeper.v1.Contract",
    "chalkdeck.lab.v1.Day",
    "chalkdeck.plan.v1.SiteLoss",
    "envoy.config.endpoint.v3.ClusterLoadAssignment",
];

fn promise() -> Promise {
    Promise {
        idempotency: Idempotency::NonIdempotent,
        key_scope: KeyScope::All,
        key_window_ms: 0,
        latency_objective_ms: 100,
        deadline_ms: 1_000,
        units: 1.0,
        value: 1.0,
    }
}

fn version(service: &str, descriptors: &[u8]) -> ServiceVersion {
    let pool = DescriptorPool::decode(descriptors).expect("descriptors");
    let service_descriptor = pool.get_service_by_name(service).expect("the service");
    let promises: BTreeMap<String, Promise> = service_descriptor
        .methods()
        .map(|m| (m.name().to_string(), promise()))
        .collect();
    ServiceVersion::parse("v1", service, descriptors, promises).expect("a sound version")
}

/// One line for each field of a message and of the messages in it, with its name.
fn fields(of: &MessageDescriptor, seen: &mut BTreeSet<String>, lines: &mut BTreeSet<String>) {
    if !seen.insert(of.full_name().to_string()) {
        return;
    }
    for field in of.fields() {
        let kind = field.kind();
        lines.insert(format!(
            "{} {} {} {:?} {:?}",
            of.full_name(),
            field.number(),
            field.name(),
            field.cardinality(),
            kind
        ));
        if let Some(values) = kind.as_enum() {
            lines.extend(
                values
                    .values()
                    .map(|v| format!("{} {} {}", values.full_name(), v.number(), v.name())),
            );
        }
        if let Some(message) = kind.as_message() {
            fields(message, seen, lines);
        }
    }
}

fn text_forms(descriptors: &[u8]) -> BTreeSet<String> {
    let pool = DescriptorPool::decode(descriptors).expect("descriptors");
    let mut lines = BTreeSet::new();
    for name in TEXT_MESSAGES {
        let message = pool
            .get_message_by_name(name)
            .unwrap_or_else(|| panic!("{name} is a message"));
        fields(&message, &mut BTreeSet::new(), &mut lines);
    }
    lines
}

#[test]
fn services_of_the_recorded_commit_are_not_broken_either_way() {
    for service in SERVICES {
        let recorded = version(service, RECORDED);
        let present = version(service, chalkdeck_proto::DESCRIPTORS);
        for (old, new) in [(&recorded, &present), (&present, &recorded)] {
            let breaks = find_incompatibilities(
                old,
                new,
                CompatibilityLevel::Wire,
                SubscriberBounds::default(),
            );
            assert!(breaks.is_empty(), "{service}: {breaks:?}");
        }
    }
}

#[test]
fn messages_in_text_form_keep_every_name_number_and_type() {
    let (recorded, present) = (
        text_forms(RECORDED),
        text_forms(chalkdeck_proto::DESCRIPTORS),
    );
    assert!(recorded.len() > 200, "{} lines", recorded.len());
    let lost: Vec<_> = recorded.difference(&present).collect();
    assert!(lost.is_empty(), "gone or changed: {lost:#?}");
}

#[test]
fn a_changed_field_number_would_be_found() {
    let mut changed = prost_types_of(RECORDED);
    let field = changed
        .file
        .iter_mut()
        .flat_map(|f| f.message_type.iter_mut())
        .find(|m| m.name() == "AddRequest")
        .and_then(|m| m.field.first_mut())
        .expect("a field");
    field.number = Some(field.number() + 100);
    let changed = prost::Message::encode_to_vec(&changed);
    let service = "chalkdeck.counter.v1.Counter";
    let breaks = find_incompatibilities(
        &version(service, RECORDED),
        &version(service, &changed),
        CompatibilityLevel::Wire,
        SubscriberBounds::default(),
    );
    assert!(!breaks.is_empty());
}

fn prost_types_of(descriptors: &[u8]) -> prost_types::FileDescriptorSet {
    prost::Message::decode(descriptors).expect("descriptors")
}
