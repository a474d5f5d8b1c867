//! `docs/errors.md` lists every error code that the programs print, and no other.

use std::collections::BTreeSet;
use std::path::Path;

/// The error codes in a text, without `chalkdeck::`, which is the end of `prefix`.
fn codes(text: &str, prefix: &str) -> BTreeSet<String> {
    let is_code_character = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == ':';
    let after_prefix = text.split(prefix).skip(1);
    after_prefix
        .map(|rest| {
            rest.split(|c| !is_code_character(c))
                .next()
                .unwrap_or("")
                .to_string()
        })
        .collect()
}

/// Collects the codes of all source files of a folder and its subfolders.
fn collect_codes(folder: &Path, found: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(folder).expect("a folder").flatten() {
        let path = entry.path();
        if path.is_dir() {
            collect_codes(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.extend(codes(
                &std::fs::read_to_string(&path).expect("a source file"),
                "code(chalkdeck::",
            ));
        }
    }
}

#[test]
fn each_code_has_its_line_on_the_page() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut found = BTreeSet::new();
    for package in std::fs::read_dir(root.join("crates"))
        .expect("the packages")
        .flatten()
    {
        let source = package.path().join("src");
        if source.is_dir() {
            collect_codes(&source, &mut found);
        }
    }
    let page = std::fs::read_to_string(root.join("docs/errors.md")).expect("the page");
    let documented = codes(&page, "`chalkdeck::");
    assert!(found.len() > 20, "{found:?}");
    assert_eq!(
        found.difference(&documented).collect::<Vec<_>>(),
        Vec::<&String>::new(),
        "not on the page"
    );
    assert_eq!(
        documented.difference(&found).collect::<Vec<_>>(),
        Vec::<&String>::new(),
        "on the page, but in no package"
    );
}
