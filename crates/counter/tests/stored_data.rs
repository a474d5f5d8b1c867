//! Compatibility with stored data: opens a folder that the program of commit d5a4349 wrote until it was killed in the middle
//! of a record.
//!
//! The fixture contains 1,500 increments by 1.5 of 40 names, sent by caller 5, in two snapshots and two segments. The last 25
//! increments are in the torn record.

use chalkdeck_counter::recovery;
use chalkdeck_counter::state::{Limits, NameId};
use chalkdeck_wal::disk::Folder;
use std::path::{Path, PathBuf};
use std::process::Command;

const COMPLETE_INCREMENTS: u64 = 1_475;
const NAME_COUNT: u64 = 40;
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
    let increments = (1..=COMPLETE_INCREMENTS)
        .filter(|number| number % NAME_COUNT == name)
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
fn stored_totals_are_recovered_and_the_torn_tail_is_reported() {
    let folder = copy_of_fixture("replay");
    let path = folder.display().to_string();
    let report = run(&["log", "verify", &path]);
    assert!(
        report.contains("position 1475") && report.contains("torn by a crash"),
        "{report}"
    );
    let recovered = recovery::recover(
        &Folder::open(&folder).expect("a folder"),
        Limits::default(),
        u64::MAX,
    );
    let recovered = recovered.expect("a valid log");
    assert_eq!(recovered.state.position(), COMPLETE_INCREMENTS);
    for name in 0..NAME_COUNT {
        assert_eq!(
            recovered.state.total(NameId(name)),
            Some(expected_total(name)),
            "name {name}"
        );
    }
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn stored_folder_is_compacted_and_opened_again() {
    let folder = copy_of_fixture("compact");
    let path = folder.display().to_string();
    assert!(run(&["log", "compact", &path]).contains("snapshot at 1475"));
    let report = run(&["log", "verify", &path]);
    assert!(
        report.contains("epoch 2") && report.contains("snapshot at 1475"),
        "{report}"
    );
    let replayed = run(&["log", "replay", &path]);
    assert!(replayed.contains("0000000000000001 55.5 "), "{replayed}");
    let _ = std::fs::remove_dir_all(folder);
}
