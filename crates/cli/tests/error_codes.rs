//! The page of error codes tells of each code that the programs print, and of no other.

use std::collections::BTreeSet;
use std::path::Path;

/// The codes in a text: `chalkdeck::`, a package and a name.
fn codes(text: &str, before: &str) -> BTreeSet<String> {
    let sound = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == ':';
    let after = text.split(before).skip(1);
    after
        .map(|rest| rest.split(|c| !sound(c)).next().unwrap_or("").to_string())
        .collect()
}

fn sources(dir: &Path, found: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(dir).expect("a folder").flatten() {
        let path = entry.path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.extend(codes(
                &std::fs::read_to_string(&path).expect("a source"),
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
        let src = package.path().join("src");
        if src.is_dir() {
            sources(&src, &mut found);
        }
    }
    let page = std::fs::read_to_string(root.join("docs/errors.md")).expect("the page");
    let told = codes(&page, "`chalkdeck::");
    assert!(found.len() > 20, "{found:?}");
    assert_eq!(
        found.difference(&told).collect::<Vec<_>>(),
        Vec::<&String>::new(),
        "not on the page"
    );
    assert_eq!(
        told.difference(&found).collect::<Vec<_>>(),
        Vec::<&String>::new(),
        "in no package"
    );
}
