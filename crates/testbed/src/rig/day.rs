//! Runs a scripted day: starts the processes, injects the scheduled faults, collects the logs in one folder and audits them.

use crate::audit::rules;
use crate::common::load_stats::LoadSummary;
use crate::common::process::Program;
use crate::common::script::{self, clip_to_duration, day_actions};
use crate::rig::fleet::{any_port, Fleet};
use crate::rig::site_poller::SitePoller;
use anyhow::{bail, Context};
use chalkdeck_net::clock::monotonic_micros;
use chalkdeck_net::signals::Signals;
use chalkdeck_proto::chalkdeck::lab::v1::Day;
use clap::Args;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How long after the start of a process clients may take to learn its address.
const ADDRESS_DELAY: Duration = Duration::from_millis(20);

#[derive(Args)]
pub struct RunArgs {
    pub day: PathBuf,
    /// Folder for logs; created if needed, and logs of an earlier run are removed
    #[arg(long, default_value = "lab-out")]
    pub dir: PathBuf,
    #[arg(long, hide = true)]
    pub fault: Option<String>,
    /// Run the project's own counter, which persists its counts, in place of its stand-in
    #[arg(long)]
    pub own_counter: bool,
    /// Send the calls through the client library
    #[arg(long, conflicts_with = "naive")]
    pub library: bool,
    /// Retries of each call, sent at once without backoff
    #[arg(long, default_value_t = 0)]
    pub naive: u32,
    /// Print statistics each second
    #[arg(long)]
    pub lines: bool,
}

/// How clients retry their calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ClientMode {
    /// No retries.
    #[default]
    Plain,
    /// This many retries without backoff, whatever the response.
    Naive(u32),
    /// Retries of the client library.
    Library,
}

/// Options for the run of a day.
#[derive(Clone, Debug, Default)]
pub struct RunOptions {
    /// A fault to inject into the gateways' own code, which the audit has to detect.
    pub fault: Option<String>,
    /// Prints each action, and statistics of the load each second.
    pub is_verbose: bool,
    pub client_mode: ClientMode,
}

/// Runs a day, with its logs in `dir`. Returns the summary of the load.
pub fn run(
    program: Program,
    day: Day,
    dir: &Path,
    options: &RunOptions,
) -> anyhow::Result<LoadSummary> {
    let actions = clip_to_duration(day_actions(&day)?, day.seconds.saturating_mul(1_000));
    let signals = Signals::install()?;
    let seconds = f64::from(day.seconds);
    let mut fleet = Fleet::start(program, day, dir, any_port(), options.fault.clone())?;
    let (log, out) = (dir.join("client.jsonl"), dir.join("summary.json"));
    let (log, out_text) = (log.display().to_string(), out.display().to_string());
    let mut extra_args = vec!["--log", &log, "--out", &out_text];
    let retries;
    match options.client_mode {
        ClientMode::Library => extra_args.push("--library"),
        ClientMode::Naive(n) => {
            retries = n.to_string();
            extra_args.extend(["--naive", &retries]);
        }
        ClientMode::Plain => {}
    }
    if options.is_verbose {
        extra_args.push("--lines");
    }
    let watches_sites = fleet.watches_sites();
    let admins = (0..fleet.gateway_addresses().len())
        .map(|g| fleet.admin_address(g))
        .collect();
    let site_poller = watches_sites
        .then(|| SitePoller::start(admins, &dir.join("sites.jsonl")))
        .transpose()?;
    let mut load = fleet.start_load(seconds, &extra_args)?;
    // The load of the client library has no control port; actions that need one fail when they are due.
    let control = load.address("control").ok();
    load.forward_stdout();
    let begin = monotonic_micros();
    for timed in actions {
        while monotonic_micros() < begin + u64::from(timed.at_ms) * 1_000 {
            if signals.is_stop_requested() {
                bail!("stopped by a signal");
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        if options.is_verbose {
            println!(
                "# {:.1} s: {:?}",
                f64::from(timed.at_ms) / 1e3,
                timed.action
            );
        }
        fleet
            .apply(&timed.action, control)
            .with_context(|| format!("{:?}", timed.action))?;
    }
    if !load.wait() {
        bail!("the load failed, see {}", dir.join("load.log").display());
    }
    fleet.note("load_ended", "all");
    site_poller.into_iter().for_each(SitePoller::stop);
    if !fleet.stop_gateways() {
        bail!(
            "a gateway exited with an error, see the logs in {}",
            dir.display()
        );
    }
    // The servers get five times that to write their last log lines.
    std::thread::sleep(ADDRESS_DELAY * 5);
    Ok(serde_json::from_str(&std::fs::read_to_string(out)?)?)
}

/// Runs and audits the day that the arguments name.
pub fn command(leading_args: &[&str], args: RunArgs) -> anyhow::Result<()> {
    let mut day = script::read(&args.day)?;
    day.own_counter |= args.own_counter;
    let client_mode = match args.naive {
        _ if args.library => ClientMode::Library,
        0 => ClientMode::Plain,
        retries => ClientMode::Naive(retries),
    };
    run_and_audit(
        leading_args,
        day,
        &args.dir,
        &RunOptions {
            fault: args.fault,
            is_verbose: args.lines,
            client_mode,
        },
    )
}

/// Removes the logs of an earlier run from `dir`, then runs a day and audits it.
pub fn run_and_audit(
    leading_args: &[&str],
    day: Day,
    dir: &Path,
    options: &RunOptions,
) -> anyhow::Result<()> {
    remove_logs(dir)?;
    let summary = run(Program::this(leading_args)?, day, dir, options)?;
    println!("{}", serde_json::to_string(&summary)?);
    audit_and_print(dir)
}

/// Removes the logs of an earlier run; other files stay.
pub fn remove_logs(dir: &Path) -> anyhow::Result<()> {
    let Ok(entries) = std::fs::read_dir(dir) else {
        return Ok(());
    };
    for entry in entries {
        let path = entry?.path();
        if path.extension().is_some_and(|e| e == "jsonl" || e == "log") {
            std::fs::remove_file(path)?;
        }
    }
    Ok(())
}

/// Audits the logs in a folder and prints the result.
///
/// # Errors
/// A rule was broken, or a log can't be read.
pub fn audit_and_print(dir: &Path) -> anyhow::Result<()> {
    let verdict = rules::audit(&rules::Record::read(dir)?);
    println!(
        "calls {} ends {:?} attempts {} work done {}",
        verdict.calls, verdict.outcomes, verdict.attempts, verdict.effects
    );
    for breach in verdict.breaches.iter().take(20) {
        println!("rule {}: {}", breach.rule, breach.description);
    }
    if !verdict.breaches.is_empty() {
        bail!("{} breaches of the rules", verdict.breaches.len());
    }
    println!("no rule broken");
    Ok(())
}
