//! The program `chalkdeck-counter` as a child process.

use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};

/// Path of the method that the tests call.
pub const ADDS_METHOD: &str = "/chalkdeck.counter.v1.Counter/Adds";

/// Runs the program to its end.
pub fn run(args: &[&str]) -> Output {
    command(args).output().expect("the program runs")
}

fn command(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_chalkdeck-counter"));
    command.args(args);
    command
}

/// Output as text.
pub fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// An empty folder for one test.
pub fn temporary_folder(test: &str) -> PathBuf {
    let name = format!("chalkdeck-counter-{}-{test}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// A running counter, killed when it is dropped.
pub struct Program {
    child: Child,
    /// gRPC address of each part.
    pub parts: Vec<SocketAddr>,
    /// Admin address of each part.
    pub admin: Vec<SocketAddr>,
}

impl Program {
    /// Starts the service and waits until it is ready.
    pub fn start(config: &Path) -> Program {
        let mut child = command(&["serve", &config.display().to_string()])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("its output");
        BufReader::new(stdout).read_line(&mut line).expect("a line");
        Program {
            parts: addresses(&line, "grpc="),
            admin: addresses(&line, "admin="),
            child,
        }
    }

    /// Asks the service to stop; returns whether it ended with success.
    pub fn stop(&mut self) -> bool {
        let pid = Pid::from_raw(self.child.id() as i32).expect("an id");
        kill_process(pid, Signal::TERM).expect("a signal");
        self.child.wait().expect("its end").success()
    }

    /// Kills the service.
    pub fn kill(&mut self) {
        self.child.kill().expect("a kill");
        self.child.wait().expect("its end");
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The addresses after a key in the line that says that the service is ready.
fn addresses(ready_line: &str, key: &str) -> Vec<SocketAddr> {
    let list = ready_line
        .split_whitespace()
        .find_map(|word| word.strip_prefix(key))
        .unwrap_or_else(|| panic!("ready line: '{ready_line}'"));
    list.split(',')
        .filter(|address| !address.is_empty())
        .map(|address| address.parse().expect("an address"))
        .collect()
}
