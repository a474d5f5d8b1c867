//! Names that others rely on are those of commit d5a4349: metrics with their labels, HTTP paths, JSON fields, RESP commands and error
//! texts, gRPC paths, error codes.

mod fleet;

use chalkdeck_testbed::parts::control;
use fleet::{Caller, Fleet};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const SCRAPED: &str = include_str!("wire_names/scraped.txt");
const LITERALS: &str = include_str!("wire_names/literals.txt");

/// `name{label,label}` of each metric; values of `kind` are names, too.
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
    let keeper = fleet.replicas[0].as_ref().expect("it runs");
    let keeper = keeper.address("admin").expect("its admin port");
    names.extend(metric_names("keeper", &get(keeper, "/metrics")));
    for path in ["/keepers", "/sites"] {
        let text = get(fleet.admin_address(0), path);
        // One object, or one in each line.
        for line in text
            .lines()
            .filter(|l| l.starts_with('{') || l.starts_with('['))
        {
            let value = serde_json::from_str(line).expect("JSON");
            json_fields(path, &value, &mut names);
        }
    }
    let text: Vec<&String> = names.iter().collect();
    let played = text
        .iter()
        .map(|n| n.as_str())
        .collect::<Vec<_>>()
        .join("\n");
    assert_eq!(played, SCRAPED.trim_end(), "played:\n{played}\n");
}

fn sources(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder").flatten() {
        let path = entry.path();
        if path.is_dir() {
            sources(&path, files);
        } else if path.extension().is_some_and(|e| e == "rs") {
            files.push(path);
        }
    }
}

/// Texts that cross the wire are literals of the shipped packages; each of the recorded ones still stands in one.
#[test]
fn recorded_literals_are_still_in_the_sources() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut text = String::new();
    for package in std::fs::read_dir(root).expect("packages").flatten() {
        let source = package.path().join("src");
        if source.is_dir() {
            let mut files = Vec::new();
            sources(&source, &mut files);
            for file in files {
                text += &std::fs::read_to_string(file).expect("a source file");
            }
        }
    }
    let lost: Vec<&str> = LITERALS.lines().filter(|l| !text.contains(*l)).collect();
    assert!(LITERALS.lines().count() > 100);
    assert!(lost.is_empty(), "no longer in the sources: {lost:#?}");
}
