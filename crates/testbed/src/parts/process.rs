//! Processes of a run: started with a line of addresses, ended by their ids.

use anyhow::{bail, Context};
use chalkdeck_grpc_gateway::logs;
use rustix::process::{kill_process, Pid, Signal};
use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};

/// Lines of a part's standard error that are shown where it does not start.
const SHOWN_ERROR_LINES: usize = 3;

/// How the parts of a run are started: this very program, with the arguments that lead to the lab's commands.
#[derive(Clone, Debug)]
pub struct Program {
    pub exe: PathBuf,
    pub before: Vec<String>,
}

impl Program {
    /// The program that runs now.
    pub fn this(before: &[&str]) -> anyhow::Result<Program> {
        let exe = std::env::current_exe().context("expected to know this program's own file")?;
        Ok(Program {
            exe,
            before: before.iter().map(|s| s.to_string()).collect(),
        })
    }
}

/// A part that runs.
pub struct Process {
    child: Child,
    stdout: Option<BufReader<ChildStdout>>,
    ready: HashMap<String, String>,
}

impl Process {
    /// Starts it and waits for its line of addresses. Its standard error goes to a file.
    pub fn start(
        program: &Program,
        args: &[String],
        errors_file: &Path,
    ) -> anyhow::Result<Process> {
        let errors = File::options()
            .create(true)
            .append(true)
            .open(errors_file)?;
        let mut child = Command::new(&program.exe)
            .args(&program.before)
            .args(args)
            .arg("--with-parent")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(errors)
            .spawn()
            .with_context(|| format!("expected to start {}", program.exe.display()))?;
        let mut stdout = BufReader::new(child.stdout.take().context("expected the part's output")?);
        let mut line = String::new();
        stdout.read_line(&mut line)?;
        let Some(rest) = line.trim().strip_prefix("ready") else {
            let _ = child.kill();
            let _ = child.wait();
            bail!(
                "{}: expected a line 'ready ...', found '{}'; its last lines: {}",
                args.join(" "),
                line.trim(),
                last_lines(errors_file)
            );
        };
        let pairs = rest.split_whitespace().filter_map(|p| p.split_once('='));
        let ready = pairs.map(|(k, v)| (k.to_string(), v.to_string())).collect();
        Ok(Process {
            child,
            stdout: Some(stdout),
            ready,
        })
    }

    /// An address that it told.
    pub fn address(&self, name: &str) -> anyhow::Result<SocketAddr> {
        let text = self
            .ready
            .get(name)
            .with_context(|| format!("expected {name} in the part's line"))?;
        Ok(text.parse()?)
    }
    /// Addresses that it told, parted by commas.
    pub fn addresses(&self, name: &str) -> anyhow::Result<Vec<SocketAddr>> {
        let text = self
            .ready
            .get(name)
            .with_context(|| format!("expected {name} in the part's line"))?;
        text.split(',')
            .map(|a| a.parse().map_err(anyhow::Error::from))
            .collect()
    }
    /// Passes the rest of its output on, line by line, from a thread of its own.
    pub fn echo(&mut self) {
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
    /// Whether it still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
    /// Waits for its end; whether it ended well.
    pub fn wait(&mut self) -> bool {
        self.child.wait().is_ok_and(|status| status.success())
    }
    /// Ends it at once.
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

/// The end of what a part wrote to its standard error.
fn last_lines(errors_file: &Path) -> String {
    let text = std::fs::read_to_string(errors_file).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    let first = lines.len().saturating_sub(SHOWN_ERROR_LINES);
    lines[first..].join(" | ")
}

/// The first step of a part: logs, and an end with its parent where that is asked.
pub fn begin(with_parent: bool) {
    logs::start("info", false);
    if with_parent {
        end_with_parent();
    }
}

/// Asks the system to end this process with its parent.
pub fn end_with_parent() {
    if let Err(e) = rustix::process::set_parent_process_death_signal(Some(Signal::TERM)) {
        tracing::warn!(error = %e, "process may outlive its parent");
    }
}

/// Processor time that a process has used, in seconds.
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
        .context("expected times in stat")?
        .iter()
        .filter_map(|f| f.parse::<f64>().ok())
        .sum();
    Ok(ticks / rustix::param::clock_ticks_per_second() as f64)
}

/// Memory that a process holds now, in KiB.
pub fn memory_kib(id: u32) -> anyhow::Result<u64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix("VmRSS:"))
        .context("expected VmRSS")?;
    Ok(line.trim().trim_end_matches(" kB").trim().parse()?)
}
