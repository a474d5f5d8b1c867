//! `docs/on-call.md` lists the message of every log line at warn or above, and no message that no program writes.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const MACROS: [&str; 2] = ["tracing::warn!(", "tracing::error!("];
const SECTION: &str = "## Every log line at warn or above";

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

/// The arguments of a macro call: the text up to its closing parenthesis. Parentheses in string literals are ignored.
fn arguments(call: &str) -> &str {
    let (mut depth, mut in_string, mut is_escaped) = (1, false, false);
    for (at, character) in call.char_indices() {
        match character {
            _ if is_escaped => is_escaped = false,
            '\\' if in_string => is_escaped = true,
            '"' => in_string = !in_string,
            '(' if !in_string => depth += 1,
            ')' if !in_string => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return &call[..at];
        }
    }
    call
}

/// The message of a log call: its last string literal.
fn message(arguments: &str) -> Option<&str> {
    let end = arguments.rfind('"')?;
    let begin = arguments[..end].rfind('"')?;
    Some(&arguments[begin + 1..end])
}

fn logged_messages(root: &Path) -> BTreeSet<String> {
    let mut texts = BTreeSet::new();
    let mut files = Vec::new();
    for package in std::fs::read_dir(root.join("crates"))
        .expect("packages")
        .flatten()
    {
        let source = package.path().join("src");
        if source.is_dir() {
            source_files(&source, &mut files);
        }
    }
    for file in files {
        let source = std::fs::read_to_string(&file).expect("a source file");
        for name in MACROS {
            for call in source.split(name).skip(1) {
                let found = message(arguments(call));
                let place = file.display();
                let text = found.unwrap_or_else(|| panic!("{place}: a log line without a message"));
                assert!(
                    !text.contains('{'),
                    "{place}: '{text}': a log message has no values; they belong in fields"
                );
                texts.insert(text.to_string());
            }
        }
    }
    texts
}

fn documented_messages(root: &Path) -> BTreeSet<String> {
    let page = std::fs::read_to_string(root.join("docs/on-call.md")).expect("the page");
    let (_, section) = page.split_once(SECTION).expect("the section");
    let rows = section.lines().filter_map(|line| line.strip_prefix("| \""));
    rows.filter_map(|row| row.split_once("\" |"))
        .map(|(text, _)| text.to_string())
        .collect()
}

#[test]
fn each_warning_and_error_has_its_row_on_the_on_call_page() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let (logged, documented) = (logged_messages(&root), documented_messages(&root));
    assert!(logged.len() > 20, "{logged:?}");
    let missing: Vec<_> = logged.difference(&documented).collect();
    assert!(missing.is_empty(), "not on the page: {missing:#?}");
    let stale: Vec<_> = documented.difference(&logged).collect();
    assert!(
        stale.is_empty(),
        "on the page, but no program writes: {stale:#?}"
    );
}
