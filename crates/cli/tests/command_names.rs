//! Commands that were renamed are still accepted by their earlier names.

use std::process::Command;

fn help_of(command: &str) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_chalkdeck"))
        .args([command, "--help"])
        .output()
        .expect("the program runs");
    assert!(output.status.success(), "{command}: {output:?}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn lab_is_accepted_for_testbed() {
    assert_eq!(help_of("lab"), help_of("testbed"));
    assert!(help_of("testbed").contains("Usage: chalkdeck testbed"));
}
