//! Child processes of a run: starting them, reading the addresses in their ready line, signalling and killing them.

use anyhow::{bail, Context};
use chalkdeck_grpc_gateway::logs;
use rustix::process::{kill_process, Pid, Signal};
use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};

/// Lines of a process's standard error that the error shows if it does not start.
const SHOWN_STDERR_LINES: usize = 3;

/// The program that child processes run: this executable, with the arguments that select the testbed's subcommands.
#[derive(Clone, Debug)]
pub struct Program {
    pub exe: PathBuf,
    /// Arguments that come before the testbed's own subcommand.
    pub leading_args: Vec<String>,
}

impl Program {
    /// The executable of the current process.
    pub fn this(leading_args: &[&str]) -> anyhow::Result<Program> {
        let exe = std::env::current_exe().context("expected the path of this executable")?;
        Ok(Program {
            exe,
            leading_args: leading_args.iter().map(|s| s.to_string()).collect(),
        })
    }
}

/// A child process, which is killed when this value is dropped.
pub struct Process {
    child: Child,
    stdout: Option<BufReader<ChildStdout>>,
    ready_fields: HashMap<String, String>,
}

impl Process {
    /// Starts a child process and waits for its ready line. Appends its standard error to `stderr_file`.
    pub fn start(
        program: &Program,
        args: &[String],
        stderr_file: &Path,
    ) -> anyhow::Result<Process> {
        let stderr = File::options()
            .create(true)
            .append(true)
            .open(stderr_file)?;
        let mut child = Command::new(&program.exe)
            .args(&program.leading_args)
            .args(args)
            .arg("--with-parent")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .spawn()
            .with_context(|| format!("expected to start {}", program.exe.display()))?;
        let mut stdout = BufReader::new(
            child
                .stdout
                .take()
                .context("expected the process's standard output")?,
        );
        let mut line = String::new();
        stdout.read_line(&mut line)?;
        let Some(rest) = line.trim().strip_prefix("ready") else {
            let _ = child.kill();
            let _ = child.wait();
            bail!(
                "{}: expected a line 'ready ...', found '{}'; the last lines of its standard error: {}",
                args.join(" "),
                line.trim(),
                last_lines(stderr_file)
            );
        };
        let pairs = rest.split_whitespace().filter_map(|p| p.split_once('='));
        let ready_fields = pairs.map(|(k, v)| (k.to_string(), v.to_string())).collect();
        Ok(Process {
            child,
            stdout: Some(stdout),
            ready_fields,
        })
    }

    /// The address under this name in the ready line.
    pub fn address(&self, name: &str) -> anyhow::Result<SocketAddr> {
        let text = self
            .ready_fields
            .get(name)
            .with_context(|| format!("expected {name} in the ready line"))?;
        Ok(text.parse()?)
    }
    /// The comma-separated addresses under this name in the ready line.
    pub fn addresses(&self, name: &str) -> anyhow::Result<Vec<SocketAddr>> {
        let text = self
            .ready_fields
            .get(name)
            .with_context(|| format!("expected {name} in the ready line"))?;
        text.split(',')
            .map(|a| a.parse().map_err(anyhow::Error::from))
            .collect()
    }
    /// Copies the rest of its standard output to this process's, line by line, in a separate thread.
    pub fn forward_stdout(&mut self) {
        let Some(stdout) = self.stdout.take() else {
            return;
        };
        std::thread::spawn(move || {
            stdout
                .lines()
                .map_while(Result::ok)
                .for_each(|line| println!("{line}"))
        });
    }
    pub fn id(&self) -> u32 {
        self.child.id()
    }
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
    /// Waits for the process to exit; returns whether its exit status was 0.
    pub fn wait(&mut self) -> bool {
        self.child.wait().is_ok_and(|status| status.success())
    }
    /// Sends SIGKILL and waits for the process to exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The last lines that a process wrote to its standard error.
fn last_lines(stderr_file: &Path) -> String {
    let text = std::fs::read_to_string(stderr_file).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    let first = lines.len().saturating_sub(SHOWN_STDERR_LINES);
    lines[first..].join(" | ")
}

/// Initializes a child process: starts logging and, if `with_parent` is set, ties its lifetime to the parent's.
pub fn init_process(with_parent: bool) {
    logs::start("info", false);
    if with_parent {
        exit_with_parent();
    }
}

/// Asks the kernel to send SIGTERM to this process when its parent exits.
pub fn exit_with_parent() {
    if let Err(e) = rustix::process::set_parent_process_death_signal(Some(Signal::TERM)) {
        tracing::warn!(error = %e, "process may outlive its parent");
    }
}

/// User and system CPU time of a process, in seconds.
pub fn cpu_seconds(id: u32) -> anyhow::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let fields: Vec<&str> = text
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks: f64 = fields
        .get(11..13)
        .context("expected CPU times in /proc/ID/stat")?
        .iter()
        .filter_map(|f| f.parse::<f64>().ok())
        .sum();
    Ok(ticks / rustix::param::clock_ticks_per_second() as f64)
}

/// Resident memory of a process, in KiB.
pub fn memory_kib(id: u32) -> anyhow::Result<u64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix("VmRSS:"))
        .context("expected VmRSS in /proc/ID/status")?;
    Ok(line.trim().trim_end_matches(" kB").trim().parse()?)
}
