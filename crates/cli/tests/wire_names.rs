//! Names that clients, scrapers and operators' tools rely on are still those of commit d5a4349: metrics with their labels, HTTP paths,
//! JSON fields, RESP commands and error texts, gRPC paths, error codes.

mod fleet;

use chalkdeck_testbed::common::control;
use fleet::{Caller, Fleet};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Metric names and JSON fields of a gateway and a replica.
const SCRAPED: &str = include_str!("wire_names/scraped.txt");
/// Literals of the source files, one a line.
const LITERALS: &str = include_str!("wire_names/literals.txt");

/// The name of each metric with its labels. For the labels `kind` and `end` the values are included.
fn metric_names(program: &str, text: &str) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for line in text.lines().filter(|l| !l.starts_with('#')) {
        let (metric, _) = line.rsplit_once(' ').unwrap_or((line, ""));
        let (name, labels) = metric.split_once('{').unwrap_or((metric, ""));
        let labels: Vec<String> = labels
            .trim_end_matches('}')
            .split(',')
            .filter(|l| !l.is_empty())
            .map(|l| match l.split_once('=') {
                Some((label @ ("kind" | "end"), value)) => format!("{label}={value}"),
                Some((label, _)) => label.to_string(),
                None => l.to_string(),
            })
            .collect();
        names.insert(
            format!("{program} metric {name} {}", labels.join(" "))
                .trim_end()
                .to_string(),
        );
    }
    names
}

/// Collects the paths of all fields of a JSON value.
fn json_fields(path: &str, value: &serde_json::Value, fields: &mut BTreeSet<String>) {
    match value {
        serde_json::Value::Object(object) => {
            for (name, inner) in object {
                let inner_path = format!("{path}.{name}");
                fields.insert(format!("json {inner_path}"));
                json_fields(&inner_path, inner, fields);
            }
        }
        serde_json::Value::Array(array) => {
            array
                .iter()
                .for_each(|inner| json_fields(&format!("{path}[]"), inner, fields));
        }
        _ => {}
    }
}

#[test]
fn scraped_names_are_the_recorded_ones() {
    let mut fleet = Fleet::start(1, 1);
    fleet.add_endpoint("");
    let mut caller = Caller::new(fleet.grpc_address(0));
    caller.is_admitted("c");
    let mut names = BTreeSet::new();
    let get = |address, path: &str| control::get(address, path).expect(path);
    names.extend(metric_names(
        "gateway",
        &get(fleet.admin_address(0), "/metrics"),
    ));
    let replica = fleet.replicas[0].as_ref().expect("it runs");
    let replica_admin = replica.address("admin").expect("its admin address");
    names.extend(metric_names("keeper", &get(replica_admin, "/metrics")));
    for path in ["/keepers", "/sites"] {
        let text = get(fleet.admin_address(0), path);
        // The response is one JSON object, or one in each line.
        for line in text
            .lines()
            .filter(|l| l.starts_with('{') || l.starts_with('['))
        {
            let value = serde_json::from_str(line).expect("JSON");
            json_fields(path, &value, &mut names);
        }
    }
    let names: Vec<&String> = names.iter().collect();
    let scraped = names
        .iter()
        .map(|n| n.as_str())
        .collect::<Vec<_>>()
        .join("\n");
    assert_eq!(scraped, SCRAPED.trim_end(), "scraped:\n{scraped}\n");
}

/// Collects the Rust source files of a folder and its subfolders.
fn source_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder").flatten() {
        let path = entry.path();
        if path.is_dir() {
            source_files(&path, files);
        } else if path.extension().is_some_and(|e| e == "rs") {
            files.push(path);
        }
    }
}

/// Texts on the wire are literals in the sources of the packages; every recorded literal is still in some source file.
#[test]
fn recorded_literals_are_still_in_the_sources() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut text = String::new();
    for package in std::fs::read_dir(root).expect("packages").flatten() {
        let source = package.path().join("src");
        if source.is_dir() {
            let mut files = Vec::new();
            source_files(&source, &mut files);
            for file in files {
                text += &std::fs::read_to_string(file).expect("a source file");
            }
        }
    }
    let missing: Vec<&str> = LITERALS.lines().filter(|l| !text.contains(*l)).collect();
    assert!(LITERALS.lines().count() > 100);
    assert!(missing.is_empty(), "no longer in the sources: {missing:#?}");
}
