//! The project's own protobuf schemas stay compatible with those of commit d5a4349: the checker finds no incompatibility of the
//! services at the wire level in either direction, and messages that people write or read as text keep every field and enum name.

use chalkdeck_contract::{
    find_incompatibilities, CompatibilityLevel, Idempotency, KeyScope, Promise, ServiceVersion,
    SubscriberBounds,
};
use prost_reflect::{DescriptorPool, MessageDescriptor};
use std::collections::{BTreeMap, BTreeSet};

const RECORDED_DESCRIPTORS: &[u8] = include_bytes!("fixtures/descriptors-d5a4349.bin");
const SERVICES: [&str; 2] = ["chalkdeck.keeper.v1.Keeper", "chalkdeck.counter.v1.Counter"];
/// Messages that operators and users write or read in text form. The messages nested in them count too.
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
        priority_weight: 1.0,
    }
}

fn version(service: &str, descriptors: &[u8]) -> ServiceVersion {
    let pool = DescriptorPool::decode(descriptors).expect("descriptors");
    let service_descriptor = pool.get_service_by_name(service).expect("a known service");
    let promises: BTreeMap<String, Promise> = service_descriptor
        .methods()
        .map(|method| (method.name().to_string(), promise()))
        .collect();
    ServiceVersion::parse("v1", service, descriptors, promises).expect("a valid version")
}

/// Adds a line for each field and enum value of a message and of the messages nested in it.
fn add_lines(
    message: &MessageDescriptor,
    visited: &mut BTreeSet<String>,
    lines: &mut BTreeSet<String>,
) {
    if !visited.insert(message.full_name().to_string()) {
        return;
    }
    for field in message.fields() {
        let kind = field.kind();
        lines.insert(format!(
            "{} {} {} {:?} {:?}",
            message.full_name(),
            field.number(),
            field.name(),
            field.cardinality(),
            kind
        ));
        if let Some(enum_type) = kind.as_enum() {
            lines.extend(enum_type.values().map(|value| {
                format!(
                    "{} {} {}",
                    enum_type.full_name(),
                    value.number(),
                    value.name()
                )
            }));
        }
        if let Some(nested) = kind.as_message() {
            add_lines(nested, visited, lines);
        }
    }
}

/// The fields and enum values of all messages in text form, one in each line.
fn lines_of_text_messages(descriptors: &[u8]) -> BTreeSet<String> {
    let pool = DescriptorPool::decode(descriptors).expect("descriptors");
    let mut lines = BTreeSet::new();
    for name in TEXT_MESSAGES {
        let message = pool
            .get_message_by_name(name)
            .unwrap_or_else(|| panic!("{name} is a message"));
        add_lines(&message, &mut BTreeSet::new(), &mut lines);
    }
    lines
}

#[test]
fn services_stay_compatible_with_the_recorded_commit_in_both_directions() {
    for service in SERVICES {
        let recorded = version(service, RECORDED_DESCRIPTORS);
        let current = version(service, chalkdeck_proto::DESCRIPTORS);
        for (old, new) in [(&recorded, &current), (&current, &recorded)] {
            let incompatibilities = find_incompatibilities(
                old,
                new,
                CompatibilityLevel::Wire,
                SubscriberBounds::default(),
            );
            assert!(
                incompatibilities.is_empty(),
                "{service}: {incompatibilities:?}"
            );
        }
    }
}

#[test]
fn messages_in_text_form_keep_every_name_number_and_type() {
    let (recorded, current) = (
        lines_of_text_messages(RECORDED_DESCRIPTORS),
        lines_of_text_messages(chalkdeck_proto::DESCRIPTORS),
    );
    assert!(recorded.len() > 200, "{} lines", recorded.len());
    let missing: Vec<_> = recorded.difference(&current).collect();
    assert!(missing.is_empty(), "removed or changed: {missing:#?}");
}

#[test]
fn changed_field_number_is_found() {
    let mut changed = decode_file_set(RECORDED_DESCRIPTORS);
    let field = changed
        .file
        .iter_mut()
        .flat_map(|file| file.message_type.iter_mut())
        .find(|message| message.name() == "AddRequest")
        .and_then(|message| message.field.first_mut())
        .expect("a field");
    field.number = Some(field.number() + 100);
    let changed = prost::Message::encode_to_vec(&changed);
    let service = "chalkdeck.counter.v1.Counter";
    let incompatibilities = find_incompatibilities(
        &version(service, RECORDED_DESCRIPTORS),
        &version(service, &changed),
        CompatibilityLevel::Wire,
        SubscriberBounds::default(),
    );
    assert!(!incompatibilities.is_empty());
}

fn decode_file_set(descriptors: &[u8]) -> prost_types::FileDescriptorSet {
    prost::Message::decode(descriptors).expect("descriptors")
}
