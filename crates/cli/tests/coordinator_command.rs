//! `chalkdeck coordinator` and its subcommands and flags are also accepted by their earlier names.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// An address at which no replica listens.
const UNREACHABLE: &str = "127.0.0.1:1";

fn chalkdeck(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_chalkdeck"))
        .args(args)
        .output()
        .expect("the program runs")
}

/// Writes a settings file; its name is unique to the test.
fn write_settings(test: &str) -> PathBuf {
    let name = format!("chalkdeck-{test}-{}.txtpb", std::process::id());
    let path = std::env::temp_dir().join(name);
    let text = "slot: 1 keepers: '127.0.0.1:1' folder: 'log'";
    std::fs::write(&path, text).expect("written");
    path
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn check(command: &str, settings: &Path) -> Output {
    chalkdeck(&[command, "check", &settings.display().to_string()])
}

#[test]
fn the_command_is_accepted_under_both_names() {
    let settings = write_settings("both-names");
    for command in ["coordinator", "keeper"] {
        let output = check(command, &settings);
        assert!(output.status.success(), "{command}: {output:?}");
        let expected = format!("{}: ok\n", settings.display());
        assert_eq!(stdout(&output), expected, "{command}");
    }
    std::fs::remove_file(&settings).expect("removed");
}

#[test]
fn replicas_are_accepted_under_both_flags() {
    for flag in ["--replicas", "--keepers"] {
        let output = chalkdeck(&["coordinator", "status", flag, UNREACHABLE]);
        assert!(output.status.success(), "{flag}: {output:?}");
        let expected = format!("{UNREACHABLE}  no answer\n");
        assert_eq!(stdout(&output), expected, "{flag}");
    }
}

#[test]
fn a_site_override_is_accepted_under_both_names_and_its_failure_has_one_code() {
    for subcommand in ["override-site", "word"] {
        let args = ["coordinator", subcommand, "north", "drain"];
        let to = ["--replicas", UNREACHABLE, "--wait", "1"];
        let output = chalkdeck(&[&args[..], &to[..]].concat());
        assert!(!output.status.success(), "{subcommand}");
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        let code = "chalkdeck::keeper::outcome_unknown";
        assert!(error.contains(code), "{subcommand}: {error}");
    }
}

#[test]
fn rules_and_contracts_accept_replicas_under_both_flags() {
    for flag in ["--replicas", "--keepers"] {
        for command in [["rules", "show"], ["contract", "spoken"]] {
            let args = [flag, UNREACHABLE, "--wait", "1"];
            let output = chalkdeck(&[&command[..], &args[..]].concat());
            let error = String::from_utf8_lossy(&output.stderr).into_owned();
            let code = "chalkdeck::keeper::no_answer";
            assert!(error.contains(code), "{command:?} {flag}: {error}");
        }
    }
}
