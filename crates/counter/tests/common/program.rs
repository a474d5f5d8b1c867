//! Runs the program `chalkdeck-counter` as a child process.

use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};

/// gRPC path of the method that the tests call.
pub const ADDS_PATH: &str = "/chalkdeck.counter.v1.Counter/Adds";

/// Runs the program until it exits.
pub fn run(args: &[&str]) -> Output {
    command(args).output().expect("the program runs")
}

fn command(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_chalkdeck-counter"));
    command.args(args);
    command
}

/// Converts output to text.
pub fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Creates an empty folder for one test.
pub fn temporary_folder(test: &str) -> PathBuf {
    let name = format!("chalkdeck-counter-{}-{test}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// A running counter; dropping it kills the process.
pub struct Program {
    child: Child,
    /// gRPC address of each partition.
    pub partitions: Vec<SocketAddr>,
    /// Admin address of each partition.
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
        let stdout = child.stdout.take().expect("a piped stdout");
        BufReader::new(stdout).read_line(&mut line).expect("a line");
        Program {
            partitions: addresses(&line, "grpc="),
            admin: addresses(&line, "admin="),
            child,
        }
    }

    /// Stops the service with SIGTERM; returns whether it exited with success.
    pub fn stop(&mut self) -> bool {
        let pid = Pid::from_raw(self.child.id() as i32).expect("an id");
        kill_process(pid, Signal::TERM).expect("signalled");
        self.child.wait().expect("the process exits").success()
    }

    /// Kills the service with SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("the process exits");
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Parses the addresses after a key in the ready line of the service.
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
