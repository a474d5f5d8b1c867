//! Plays a scripted day: processes, troubles by the clock, logs in one folder, and the audit.

use crate::audit::rules;
use crate::common::load_stats::LoadSummary;
use crate::common::process::Program;
use crate::common::script::{self, clip_to_duration, day_actions};
use crate::rig::fleet::{any, Fleet};
use crate::rig::watch::Watch;
use anyhow::{bail, Context};
use chalkdeck_net::clock::monotonic_micros;
use chalkdeck_net::signals::Signals;
use chalkdeck_proto::chalkdeck::lab::v1::Day;
use clap::Args;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How late a client may hear of an address after its process is up.
const UP: Duration = Duration::from_millis(20);

#[derive(Args)]
pub struct RunArgs {
    pub day: PathBuf,
    /// Where logs go; made, and emptied of an earlier run's logs
    #[arg(long, default_value = "lab-out")]
    pub dir: PathBuf,
    #[arg(long, hide = true)]
    pub fault: Option<String>,
    /// With the counter that keeps its counts, in place of its stand-in
    #[arg(long)]
    pub own_counter: bool,
    /// Calls go through the client library
    #[arg(long, conflicts_with = "naive")]
    pub library: bool,
    /// Tries beyond the first that a call makes at once
    #[arg(long, default_value_t = 0)]
    pub naive: u32,
    /// Print figures each second
    #[arg(long)]
    pub lines: bool,
}

/// Who calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Clients {
    /// Each call is one try.
    #[default]
    Plain,
    /// So many more at once, whatever the answer.
    Naive(u32),
    /// The client library.
    Library,
}

/// How a day is played.
#[derive(Clone, Debug, Default)]
pub struct Ways {
    /// A fault in the gateways' carrying code.
    pub fault: Option<String>,
    /// Print what happens.
    pub lines: bool,
    pub clients: Clients,
}

/// Plays a day and leaves its logs in `dir`. Returns what the load saw.
pub fn run(program: Program, day: Day, dir: &Path, ways: &Ways) -> anyhow::Result<LoadSummary> {
    let acts = clip_to_duration(day_actions(&day)?, day.seconds.saturating_mul(1_000));
    let signals = Signals::install()?;
    let seconds = f64::from(day.seconds);
    let mut fleet = Fleet::start(program, day, dir, any(), ways.fault.clone())?;
    let (log, out) = (dir.join("client.jsonl"), dir.join("summary.json"));
    let (log, out_text) = (log.display().to_string(), out.display().to_string());
    let mut more = vec!["--log", &log, "--out", &out_text];
    let tries;
    match ways.clients {
        Clients::Library => more.push("--library"),
        Clients::Naive(n) => {
            tries = n.to_string();
            more.extend(["--naive", &tries]);
        }
        Clients::Plain => {}
    }
    if ways.lines {
        more.push("--lines");
    }
    let watched = fleet.watches_sites();
    let admins = (0..fleet.gateways().len())
        .map(|g| fleet.admin(g))
        .collect();
    let watch = watched
        .then(|| Watch::start(admins, &dir.join("sites.jsonl")))
        .transpose()?;
    let mut load = fleet.load(seconds, &more)?;
    // The library's load takes no commands; days that need them say so when they come to it.
    let control = load.address("control").ok();
    load.forward_stdout();
    let begin = monotonic_micros();
    for timed in acts {
        while monotonic_micros() < begin + u64::from(timed.at_ms) * 1_000 {
            if signals.is_stop_requested() {
                bail!("stopped by a signal");
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        if ways.lines {
            println!(
                "# {:.1} s: {:?}",
                f64::from(timed.at_ms) / 1e3,
                timed.action
            );
        }
        fleet
            .act(&timed.action, control)
            .with_context(|| format!("{:?}", timed.action))?;
    }
    if !load.wait() {
        bail!(
            "the load ended badly, see {}",
            dir.join("load.log").display()
        );
    }
    fleet.note("load_ended", "all");
    watch.into_iter().for_each(Watch::stop);
    if !fleet.stop_gateways() {
        bail!("a gateway ended badly, see the logs in {}", dir.display());
    }
    // The cells' last lines.
    std::thread::sleep(UP * 5);
    Ok(serde_json::from_str(&std::fs::read_to_string(out)?)?)
}

/// Plays and audits what the arguments name.
pub fn command(before: &[&str], args: RunArgs) -> anyhow::Result<()> {
    let mut day = script::read(&args.day)?;
    day.own_counter |= args.own_counter;
    let clients = match args.naive {
        _ if args.library => Clients::Library,
        0 => Clients::Plain,
        tries => Clients::Naive(tries),
    };
    play(
        before,
        day,
        &args.dir,
        &Ways {
            fault: args.fault,
            lines: args.lines,
            clients,
        },
    )
}

/// Plays a day in a folder emptied of an earlier run and audits it.
pub fn play(before: &[&str], day: Day, dir: &Path, ways: &Ways) -> anyhow::Result<()> {
    clear(dir)?;
    let summary = run(Program::this(before)?, day, dir, ways)?;
    println!("{}", serde_json::to_string(&summary)?);
    report(dir)
}

/// Removes an earlier run's logs, and nothing else.
pub fn clear(dir: &Path) -> anyhow::Result<()> {
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

/// Prints the audit of a folder. Errors: a rule was broken.
pub fn report(dir: &Path) -> anyhow::Result<()> {
    let verdict = rules::audit(&rules::Record::read(dir)?);
    println!(
        "calls {} ends {:?} attempts {} work done {}",
        verdict.calls, verdict.ends, verdict.attempts, verdict.effects
    );
    for breach in verdict.breaches.iter().take(20) {
        println!("rule {}: {}", breach.rule, breach.what);
    }
    if !verdict.breaches.is_empty() {
        bail!("{} breaches of the rules", verdict.breaches.len());
    }
    println!("no rule broken");
    Ok(())
}
