//! Renamed commands are also accepted by their earlier names.

use std::process::Command;

fn help_text(command: &str) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_chalkdeck"))
        .args([command, "--help"])
        .output()
        .expect("the program runs");
    assert!(output.status.success(), "{command}: {output:?}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn testbed_is_accepted_as_lab() {
    assert_eq!(help_text("lab"), help_text("testbed"));
    assert!(help_text("testbed").contains("Usage: chalkdeck testbed"));
}
