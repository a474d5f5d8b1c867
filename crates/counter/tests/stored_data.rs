//! A folder that the program of commit d5a4349 left behind, killed in the middle of a record, is opened by today's.
//!
//! 1,500 increments of 1.5 to 40 names by caller 5; the last 25 of them are torn. Two snapshots, two segments.

use chalkdeck_counter::recovery;
use chalkdeck_counter::state::{Limits, NameId};
use chalkdeck_wal::disk::Folder;
use std::path::{Path, PathBuf};
use std::process::Command;

const WHOLE_INCREMENTS: u64 = 1_475;
const NAMES: u64 = 40;
const AMOUNT: f64 = 1.5;

fn copy_of_fixture(test: &str) -> PathBuf {
    let from = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/part-d5a4349");
    let to = std::env::temp_dir().join(format!("chalkdeck-stored-{}-{test}", std::process::id()));
    let _ = std::fs::remove_dir_all(&to);
    std::fs::create_dir_all(&to).expect("a folder");
    for entry in std::fs::read_dir(from).expect("the fixture") {
        let entry = entry.expect("an entry");
        std::fs::copy(entry.path(), to.join(entry.file_name())).expect("copied");
    }
    to
}

fn expected_total(name: u64) -> f64 {
    let increments = (1..=WHOLE_INCREMENTS)
        .filter(|number| number % NAMES == name)
        .count();
    increments as f64 * AMOUNT
}

fn run(args: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_chalkdeck-counter"))
        .args(args)
        .output();
    let output = output.expect("the program runs");
    assert!(output.status.success(), "{output:?}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn recorded_totals_are_replayed_and_the_torn_tail_is_named() {
    let folder = copy_of_fixture("replay");
    let path = folder.display().to_string();
    let verdict = run(&["log", "verify", &path]);
    assert!(
        verdict.contains("position 1475") && verdict.contains("torn by a crash"),
        "{verdict}"
    );
    let recovered = recovery::recover(
        &Folder::open(&folder).expect("a folder"),
        Limits::default(),
        u64::MAX,
    );
    let recovered = recovered.expect("a sound log");
    assert_eq!(recovered.state.position(), WHOLE_INCREMENTS);
    for name in 0..NAMES {
        assert_eq!(
            recovered.state.total(NameId(name)),
            Some(expected_total(name)),
            "name {name}"
        );
    }
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_recorded_folder_is_compacted_and_opened_again() {
    let folder = copy_of_fixture("compact");
    let path = folder.display().to_string();
    assert!(run(&["log", "compact", &path]).contains("snapshot at 1475"));
    let verdict = run(&["log", "verify", &path]);
    assert!(
        verdict.contains("epoch 2") && verdict.contains("snapshot at 1475"),
        "{verdict}"
    );
    let replayed = run(&["log", "replay", &path]);
    assert!(replayed.contains("0000000000000001 55.5 "), "{replayed}");
    let _ = std::fs::remove_dir_all(folder);
}
